#ifndef MP_TRANSPORT_HTTP_SERVER_H
#define MP_TRANSPORT_HTTP_SERVER_H

#include "transport/HttpConn.h"
#include "transport/LingeringClose.h"
#include "transport/Loop.h"

#include <h2o.h>
#include <stdbool.h>

/*
 * HttpServer - HTTP listener based on h2o, with one handler for all paths.
 *
 * Error responses that h2o makes itself, such as for malformed requests, get
 * the JSON body of ErrorBody.h too.
 */

/* Header of error responses of this instance: whether a target may have run
 * the request. */
#define MP_RUN_HEADER "x-mimosapath-run"
/* Header of recorded responses that are sent again. */
#define MP_REPLAYED_HEADER "x-mimosapath-replayed"

struct MpHttpServer {
    size_t body_max_bytes;
    h2o_globalconf_t config;
    h2o_context_t context;
    h2o_accept_ctx_t accept;
    struct MpLoop *loop;
    h2o_socket_t *listener;
    void (*handle)(void *owner, h2o_req_t *req);
    void *owner;
    uint16_t port;
    GQueue conns;                    /* of struct MpHttpConn */
    uint32_t conns_closing;          /* of them, closed on our side */
    uint32_t conns_max;              /* see ConnLimit.h; 0: no limit */
    struct MpMemoryAccount *account; /* or NULL */
    GQueue watched;             /* of struct MpHttpConn, see HttpMemory.h */
    struct MpHttpConn *reading; /* whose read callback is running, or NULL */
    struct MpHttpCounts counts;
    struct MpLingeringClose lingering;
    struct MpTimer check_timer;
    int64_t idle_timeout_ms;
    bool has_stopped_connects;
};

/* Listens on address and passes each request to handle; rejects bodies over
 * body_max_bytes.  Errors: MP_ERROR_IO. */
int MpHttpServer_Start(struct MpHttpServer *this, struct MpLoop *loop,
                       const char *address, size_t body_max_bytes,
                       void (*handle)(void *owner, h2o_req_t *req),
                       void *owner);

/* Counts what clients send in account from now on, and refuses or closes them
 * where there is no room. */
void MpHttpServer_SetAccount(struct MpHttpServer *this,
                             struct MpMemoryAccount *account);

/* Sets the most connections that clients may keep open. */
void MpHttpServer_SetConnLimit(struct MpHttpServer *this, uint32_t max);

/* Sets how long a connection may be idle, ms.  Connections that are idle
 * already keep a longer timeout that held when they became idle. */
void MpHttpServer_SetIdleTimeout(struct MpHttpServer *this,
                                 int64_t timeout_ms);

/* Drops new connections from now on; clients try again about a second later,
 * when the listener is closed.  Called some ms before
 * MpHttpServer_StopListening: a listener that is closed resets the connections
 * that were established since it accepted the last one, with the requests that
 * they may have brought. */
void MpHttpServer_StopConnects(struct MpHttpServer *this);

/* Closes the listener once it has taken the connections that wait in its
 * queue; open connections are closed after their next response. */
void MpHttpServer_StopListening(struct MpHttpServer *this);

/* Closes idle connections. */
void MpHttpServer_CloseIdle(struct MpHttpServer *this);

/* Lets the responses in progress that have not begun announce that their
 * connections will be closed. */
void MpHttpServer_AnnounceClose(struct MpHttpServer *this);

/* Refuses requests of which only a part has arrived (408). */
void MpHttpServer_RefuseUnfinished(struct MpHttpServer *this);

/* Counts the connections that have been idle for idle_ms. */
uint32_t MpHttpServer_CountIdle(const struct MpHttpServer *this,
                                int64_t idle_ms);

/* Closes so many of them, the oldest connections first, so that their clients
 * connect anew. */
void MpHttpServer_MoveIdle(struct MpHttpServer *this, int64_t idle_ms,
                           uint32_t count);

/* Brings the counts of bytes up to date. */
void MpHttpServer_CountBytes(struct MpHttpServer *this);

/* Returns whether all connections are closed. */
bool MpHttpServer_IsClosed(const struct MpHttpServer *this);

/* The process ends: counts requests in progress as unanswered, and writes a
 * line for each connection with a request on it. */
void MpHttpServer_Stop(struct MpHttpServer *this);

/* Returns whether the client has closed its end of the connection.  h2o does
 * not report this while it waits for the response. */
bool MpHttp_IsDisconnected(const h2o_req_t *req);

/* Records how a request ends; the first call counts. */
void MpHttp_NoteEnd(const h2o_req_t *req, enum MpHttpEnd end);

/* Returns a copy of a request header's value, NULL if there is none; free it
 * with g_free. */
char *MpHttp_CopyHeader(const h2o_req_t *req, const char *name);

/* Returns whether the bytes of vector equal text. */
bool MpHttp_Equals(h2o_iovec_t vector, const char *text);

/* Adds a header to the response; value is copied. */
void MpHttp_AddHeader(h2o_req_t *req, const char *name, const char *value);

/* Returns whether only the end of the connection ends the response's body. */
bool MpHttp_EndsWithConnection(const h2o_req_t *req);

/* Aborts a response that was started: closes its connection, so that the
 * client sees that it is incomplete.  Data sent before still arrives, unless
 * the body ends with the connection: that is reset, as its end would look like
 * the end of the body. */
void MpHttp_Abort(h2o_req_t *req);

/* Sends a complete response. */
void MpHttp_Send(h2o_req_t *req, int status, const char *content_type,
                 const char *body, size_t size);

#endif
