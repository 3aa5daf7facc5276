#ifndef MP_TRANSPORT_TARGET_CONN_H
#define MP_TRANSPORT_TARGET_CONN_H

#include "protocol/ResponseReader.h"
#include "state/Metrics.h"
#include "transport/Dialer.h"
#include "transport/Loop.h"
#include "transport/RequestBody.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * TargetConn - HTTP/1.1 client for targets with keep-alive connections, one
 * connection pool per target.
 *
 * A connection carries one request at a time.  It is reused only if the last
 * response was complete and had the id of its request, no data followed it,
 * the request was written in full, and the target keeps the connection open.
 * A request without an id, or with method HEAD, goes over a connection of its
 * own.  A connection never carries the same id twice.
 *
 * ResponseReader decides which response answers the request; others are
 * discarded, and the connection is closed after the right one.  A connection
 * on which data waits before the request is written is not used.
 *
 * Where this instance has no path to the target, a connection goes by way of
 * another instance (see Dialer).  Such a connection carries one request.
 */

/* Connect timeout of a new pool, ms; a healthy target is a few ms away. */
#define MP_TARGET_CONNECT_MS 300
/* Idle timeout of connections whose target sends no Keep-Alive header, ms. */
#define MP_TARGET_IDLE_MS 2000
/* After a response without an id on a kept connection, connections to the
 * target are not kept for this long, ms: on a new one the first response is
 * certain. */
#define MP_TARGET_NO_KEEP_MS 60000
/* Maximum number of requests on a connection. */
#define MP_TARGET_REQUESTS_MAX 256
/* Timeout of a probe, ms; several round trips within a region. */
#define MP_TARGET_PROBE_MS 150
/* Most that is read of a response whose rest nobody gets, bytes and ms: it
 * usually comes with the head, and its connection can then be kept. */
#define MP_TARGET_REST_MAX_BYTES 65536
#define MP_TARGET_REST_MS 100
/* An idle connection is closed this long before the target's own idle timeout
 * would close it, ms. */
#define MP_TARGET_IDLE_MARGIN_MS 700

enum MpTargetResult {
    MP_TARGET_COMPLETE,  /* the response is complete */
    MP_TARGET_CLOSED,    /* the response had no length and ended with its
                          * connection; only its content can show whether
                          * it is complete */
    MP_TARGET_NOT_SENT,  /* no byte of the request was sent */
    MP_TARGET_INCOMPLETE /* cut off or malformed; the request may have
                             arrived */
};

/* Result of a probe, which opens a new connection to a target. */
enum MpProbeResult {
    MP_PROBE_LISTENING, /* it accepted the connection */
    MP_PROBE_REFUSED,   /* nothing listens at the target */
    MP_PROBE_TIMED_OUT  /* no reply within MP_TARGET_PROBE_MS, or no path */
};

typedef void (*MpProbeDone)(void *owner, enum MpProbeResult result);

/* Failure reason of a request that its owner did not want any more when its
 * connection was there. */
#define MP_TARGET_UNWANTED "caller-left"

struct MpTargetConnClass {
    /* Asked before a request is written to a new connection; or NULL. */
    bool (*is_wanted)(void *owner);
    void (*head)(void *owner, const struct MpTargetHead *head);
    void (*body)(void *owner, const char *data, size_t size);
    /* The last callback of a request. */
    void (*end)(void *owner, enum MpTargetResult result);
};

struct MpTargetConn;

/* The connections to one target. */
struct MpConnPool {
    struct MpLoop *loop;
    struct MpMetrics *metrics; /* counts stray answers; or NULL */
    struct MpDialer *dialer;   /* NULL: connections are direct */
    char *address;
    int64_t connect_ms;       /* connect timeout */
    GQueue idle;              /* of struct MpTargetConn, newest first */
    uint32_t open;            /* connections, idle or in use */
    int64_t kept_max;         /* above it no connection becomes idle */
    bool is_deleted;          /* to be freed with its last connection */
    int64_t no_keep_until_ms; /* until then no connection becomes idle */
    uint64_t opened;          /* counter */
    uint64_t reused;          /* counter */
};

/* One request.  MpConnPool_Send takes ownership of bytes, shares body and
 * copies the strings. */
struct MpTargetRequest {
    GByteArray *bytes;          /* the head, or all */
    struct MpRequestBody *body; /* sent after bytes, or NULL */
    const char *id_header;      /* echoed in the response, or NULL */
    const char *id;             /* or NULL */
    bool is_head;               /* method HEAD */
    int64_t expected_ms; /* usual time to the first data; 0: not known */
    const struct MpRegionRule *regions; /* where it may be passed on, or NULL;
                                         * outlives the request */
};

/* metrics may be NULL. */
struct MpConnPool *MpConnPool_New(struct MpLoop *loop,
                                  struct MpMetrics *metrics,
                                  const char *address);

/* Closes the idle connections; requests under way are finished. */
void MpConnPool_Delete(struct MpConnPool *this);

/* Closes connections that reached their idle timeout. */
void MpConnPool_Sweep(struct MpConnPool *this, int64_t now_ms);

/* Sends a request.  The callbacks of klass are never called from within this
 * function. */
struct MpTargetConn *MpConnPool_Send(struct MpConnPool *this,
                                     const struct MpTargetConnClass *klass,
                                     void *owner,
                                     const struct MpTargetRequest *request);

/* Opens a connection to find out whether the target accepts it.  done is
 * called once, never from within this function.  The connection is kept for
 * the next request. */
void MpConnPool_Probe(struct MpConnPool *this, MpProbeDone done, void *owner);

/* Cancels the request and closes its connection; no callbacks follow. */
void MpTargetConn_Cancel(struct MpTargetConn *this);

/* Returns whether the request was written to a connection. */
bool MpTargetConn_IsSent(const struct MpTargetConn *this);

/* Returns whether the connection carried another request before this one.
 * During the callback end, too. */
bool MpTargetConn_IsKept(const struct MpTargetConn *this);

/* Returns how the response was attributed to the request.  During the callback
 * end, too. */
enum MpAttribution MpTargetConn_Attribution(const struct MpTargetConn *this);

/* Returns why the request ended without a whole response, "-" if it has not.
 * During the callback end, too. */
const char *MpTargetConn_FailureReason(const struct MpTargetConn *this);

/* Returns the address of the instance by way of which the connection goes, "-"
 * if it is direct.  During the callback end, too. */
const char *MpTargetConn_Peer(const struct MpTargetConn *this);

/* Returns whether that instance broke off, so that nothing is known of the
 * target.  During the callback end, too. */
bool MpTargetConn_IsPeerGone(const struct MpTargetConn *this);

/* Returns whether the request waits on a connection whose path is lost, so
 * that nothing will arrive soon. */
bool MpTargetConn_IsStuck(const struct MpTargetConn *this, int64_t now_ms);

/* Called during the callback head by an owner that knows all it needs: no body
 * follows.  The request ends as complete with its response, or once that is
 * longer than MP_TARGET_REST_MAX_BYTES or takes MP_TARGET_REST_MS; then the
 * connection is closed. */
void MpTargetConn_SkipRest(struct MpTargetConn *this,
                           const struct MpTargetHead *head);

/* Stop and resume reading, for back-pressure. */
void MpTargetConn_Pause(struct MpTargetConn *this);
void MpTargetConn_Resume(struct MpTargetConn *this);

#endif
