#ifndef MP_TRANSPORT_HTTP_CONN_H
#define MP_TRANSPORT_HTTP_CONN_H

#include "coordination/MemoryAccount.h"

#include <glib.h>
#include <h2o.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * HttpConn - one connection of a client to an HttpServer, and the record of
 * how its requests and the connection itself end.
 *
 * Each request that was read whole is counted once when it is read and once
 * when it ends, so that the counts of the ends add up to the requests read,
 * but for those in progress.
 */

struct MpHttpServer;

/* How a request ended. */
enum MpHttpEnd {
    MP_HTTP_ANSWERED,    /* whole response of a target or of this instance */
    MP_HTTP_REFUSED,     /* error response of this instance */
    MP_HTTP_CUT,         /* response aborted by this instance */
    MP_HTTP_CALLER_LEFT, /* the client closed or reset its connection */
    MP_HTTP_UNANSWERED,  /* the process ended first */
    MP_HTTP_ENDS
};

/* Why a connection was closed. */
enum MpHttpClose {
    MP_HTTP_CLOSE_CLIENT,    /* by the client */
    MP_HTTP_CLOSE_ANNOUNCED, /* after a response that announced it */
    MP_HTTP_CLOSE_CUT,       /* to abort a response */
    MP_HTTP_CLOSE_IDLE,      /* idle for too long */
    MP_HTTP_CLOSE_STALLED,   /* its next request did not arrive in time */
    MP_HTTP_CLOSE_MEMORY,    /* no room for its next request */
    MP_HTTP_CLOSE_STOP,      /* the process ends */
    MP_HTTP_CLOSE_CROWDED,   /* too many connections */
    MP_HTTP_CLOSE_MOVED,     /* so that the client goes to another instance */
    MP_HTTP_CLOSES
};

/* Counts of one server. */
struct MpHttpCounts {
    uint64_t read; /* requests read whole */
    uint64_t ended[MP_HTTP_ENDS];
    uint64_t opened; /* connections */
    uint64_t closed[MP_HTTP_CLOSES];
    uint64_t received_bytes; /* as far as MpHttpConn_CountBytes has counted */
    uint64_t sent_bytes;
};

/* Allocated in the memory of h2o's request. */
struct MpHttpRequest {
    struct MpHttpConn *conn;
    h2o_req_t *req;
    enum MpHttpEnd end; /* MP_HTTP_ENDS: not known yet */
    bool must_linger;   /* the client may send more after the response */
};

struct MpHttpConn {
    struct MpHttpServer *server;
    h2o_socket_t *socket;
    GList link;                    /* in MpHttpServer.conns */
    struct MpHttpRequest *request; /* in progress, or NULL */
    enum MpHttpClose reason;       /* why it is to be closed, or by default */
    uint32_t requests;             /* read so far */
    int64_t idle_since_ms;         /* end of the last request, or accepted */
    int64_t idle_timeout_ms;       /* in force at idle_since_ms */
    int64_t reading_since_ms;      /* first seen part of the next request, or
                                    * 0 */
    size_t read_bytes;             /* in the buffer, by the last check */
    int64_t read_ms;               /* when read_bytes last changed */
    int64_t closing_ms;            /* when our side was closed, 0: open */
    /* see HttpMemory.h */
    struct MpMemoryHolder memory;
    struct MpMemoryHolder ahead; /* what waits unread behind its request */
    h2o_socket_cb read_by_h2o;   /* the callback that is replaced */
    size_t announced_bytes;      /* of the request being read, 0: not known */
    size_t buffer_capacity;      /* of the input buffer at the last read */
    size_t buffer_used_bytes;    /* most that this buffer has held */
    size_t parsed_bytes;         /* what h2o made of its head */
    bool has_head;               /* its head has arrived */
    bool has_large_receive_buffer;
    bool is_dropping; /* what still arrives is dropped */
    size_t dropped_bytes;
    bool is_request_done;     /* the last one; see MpHttpMemory_NoteDone */
    bool is_watched;          /* h2o may set its own callback in this round */
    GList watched_link;       /* in MpHttpServer.watched */
    size_t counted_in_bytes;  /* of the request that is arriving */
    size_t counted_out_bytes; /* of all that was written */
};

/* Returns the name of a reason for log lines and metrics. */
const char *MpHttpClose_Name(enum MpHttpClose reason);

/* Starts the record of an accepted connection. */
void MpHttpConn_New(struct MpHttpServer *server, h2o_socket_t *socket);

/* Returns the connection of a request. */
struct MpHttpConn *MpHttpConn_Of(const h2o_req_t *req);

/* Closes a connection that is idle for longer than its timeout, and one whose
 * next request does not arrive in time; completes a close under way. */
void MpHttpConn_Check(struct MpHttpConn *this, int64_t now_ms);

/* Refuses a request of which only a part has arrived (408), and closes its
 * connection. */
void MpHttpConn_RefuseUnfinished(struct MpHttpConn *this);

/* Returns whether a part of a request has arrived. */
bool MpHttpConn_IsReading(const struct MpHttpConn *this);

/* Refuses the request that is arriving: sends an error response, and closes
 * our side of the connection for reason.  retry_after_ms of 0 promises
 * nothing. */
void MpHttpConn_Refuse(struct MpHttpConn *this, int code,
                       int64_t retry_after_ms, enum MpHttpClose reason);

/* Closes a connection without a request in progress, so that others can be
 * opened. */
void MpHttpConn_CloseForRoom(struct MpHttpConn *this);

/* Closes an idle connection: our side at once, the rest when the client closes
 * or a moment later.  One with bytes of a request on it stays open, and so
 * does one that was opened just now. */
void MpHttpConn_CloseIdle(struct MpHttpConn *this, enum MpHttpClose reason);

/* Records that a request was read. */
void MpHttpConn_BeginRequest(struct MpHttpConn *this, h2o_req_t *req);

/* Adds the bytes received and sent since the last call to the counts of the
 * server. */
void MpHttpConn_CountBytes(struct MpHttpConn *this);

/* Records how the request in progress ends; the first call counts. */
void MpHttpConn_NoteEnd(struct MpHttpConn *this, enum MpHttpEnd end);

/* Returns the bytes of a request that were received and are not answered: in
 * the buffer, and waiting in the socket (at most a few KB of these). */
size_t MpHttpConn_UnreadBytes(const struct MpHttpConn *this);

/* Writes a line for a connection that the end of the process closes with a
 * request on it, read or not, and counts it. */
void MpHttpConn_Stop(struct MpHttpConn *this);

/* Formats the counts of requests, and of connections still open, as fields of
 * a log line, each after a blank. */
void MpHttpCounts_Format(const struct MpHttpCounts *this, GString *out);

/* Appends the counts as metrics; client, as in mimosapath_CLIENT_requests_...,
 * says who connects to the server. */
void MpHttpCounts_Write(const struct MpHttpCounts *this, const char *client,
                        GString *out);

#endif
