#ifndef MP_TRANSPORT_TARGET_CONN_H
#define MP_TRANSPORT_TARGET_CONN_H

#include "transport/Loop.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * TargetConn - HTTP/1.1 requests to targets on connections that are kept.
 *
 * A connection carries one request at a time.  It is used again only if the
 * last answer was whole, nothing came after it, the request was written to
 * its end, and the target wants to keep it.  An answer that bears the id of
 * another request belongs to nobody: it is dropped, and the connection is
 * closed after the right one.
 */

/* Longest time to connect, ms; a healthy target is a few ms away. */
#define MP_TARGET_CONNECT_MS 300
/* Unacknowledged bytes for this long end a connection, ms. */
#define MP_TARGET_UNACKED_MS 1500
/* How long a connection is kept whose target does not say, ms. */
#define MP_TARGET_KEEP_MS 2000
/* Bytes of a target that the system holds while they are not read; source: a
 * connection within a region carries 30 MB/s with it. */
#define MP_TARGET_WINDOW_BYTES 65536
/* Bytes of answers that belong to nobody before one that does; source: the
 * longest whole answer of either user's engines, several times over. */
#define MP_TARGET_STRAY_MOST_BYTES 262144
/* Time that a look at a target may take, ms: several round trips within a
 * region. */
#define MP_TARGET_LOOK_MS 150
/* A connection is given up this long before the target would, ms. */
#define MP_TARGET_KEEP_MARGIN_MS 700

enum MpTargetEnd {
    MP_TARGET_WHOLE,    /* the answer came to its end */
    MP_TARGET_NOT_SENT, /* no byte of the request left */
    MP_TARGET_CUT       /* the request may have arrived */
};

/* What a new connection to a target has shown. */
enum MpTargetSign {
    MP_TARGET_LISTENS, /* it took the connection */
    MP_TARGET_ENDED,   /* nobody listens at its address */
    MP_TARGET_MUTE     /* no answer in time */
};

typedef void (*MpTargetSeen)(void *owner, enum MpTargetSign sign);

struct MpTargetHeader {
    const char *name;
    size_t name_size;
    const char *value;
    size_t value_size;
};

/* Head of an answer; lasts for the call. */
struct MpTargetHead {
    int status;
    int64_t size; /* of the body; -1 when it is not told */
    const struct MpTargetHeader *headers;
    size_t count;
};

struct MpTargetConnClass {
    void (*head)(void *owner, const struct MpTargetHead *head);
    void (*body)(void *owner, const char *data, size_t size);
    /* The last call. */
    void (*end)(void *owner, enum MpTargetEnd end);
};

struct MpTargetConn;

/* Idle connections to one target. */
struct MpTargetPlace {
    struct MpLoop *loop;
    char *address;
    GQueue idle; /* of struct MpTargetConn, newest first */
    uint32_t open;
    bool is_deleted; /* to be freed with its last connection */
    uint64_t opened; /* counter */
    uint64_t reused; /* counter */
};

/* One request.  request is owned from now on; the strings are copied. */
struct MpTargetRequest {
    GByteArray *bytes;
    const char *id_header; /* echoed in the answer, or NULL */
    const char *id;
    bool is_head;     /* method HEAD */
    bool wants_fresh; /* on a new connection */
};

struct MpTargetPlace *MpTargetPlace_New(struct MpLoop *loop,
                                        const char *address);

/* Closes the idle connections; running requests go on. */
void MpTargetPlace_Delete(struct MpTargetPlace *this);

/* Closes connections that were idle for long. */
void MpTargetPlace_Sweep(struct MpTargetPlace *this, int64_t now_ms);

/* Sends a request; klass gets what comes of it, never within this call. */
struct MpTargetConn *MpTargetPlace_Send(struct MpTargetPlace *this,
                                        const struct MpTargetConnClass *klass,
                                        void *owner,
                                        const struct MpTargetRequest *request);

/* Opens a connection to see whether the target is there; seen is called once,
 * never within this call.  The connection is kept for the next request. */
void MpTargetPlace_Look(struct MpTargetPlace *this, MpTargetSeen seen,
                        void *owner);

/* Drops the request with its connection; no more calls follow. */
void MpTargetConn_Cancel(struct MpTargetConn *this);

/* Stops and starts reading, for back-pressure. */
void MpTargetConn_Pause(struct MpTargetConn *this);
void MpTargetConn_Resume(struct MpTargetConn *this);

/* Returns the value of a header, or NULL; *size is its length. */
const char *MpTargetHead_Find(const struct MpTargetHead *this,
                              const char *name, size_t *size);

#endif
