#ifndef MP_TRANSPORT_TARGET_CONN_INTERNAL_H
#define MP_TRANSPORT_TARGET_CONN_INTERNAL_H

#include "protocol/BodyJoin.h"
#include "protocol/TunnelFrame.h"
#include "transport/TargetConn.h"

/*
 * TargetConnInternal - what TargetConn.c (a connection and the request on it)
 * and ConnPool.c (the connections to one target) share.
 */

struct MpTargetConn {
    const struct MpTargetConnClass *klass; /* NULL while idle */
    void *owner;
    MpProbeDone probe_done; /* of a probe, else NULL */
    struct MpConnPool *conn_pool;
    GList link;          /* in conn_pool->idle */
    struct MpDial *dial; /* while it is being opened */
    h2o_socket_t *socket;
    char *peer;                  /* address of the instance between, or NULL */
    struct MpFrameReader frames; /* with a peer: what it passes on */
    GByteArray *unframed;        /* with a peer: not read yet */
    bool is_peer_gone;           /* it broke off, not the target */
    struct MpPathWait wait;      /* while a request is under way directly */
    int64_t expected_ms;
    struct MpTimer timer;
    struct MpResponseReader reader;
    struct MpBodyJoin body;     /* what reader passes on of the body */
    GByteArray *request;        /* the head, or all */
    struct MpRequestBody *sent; /* the body that follows it, or NULL */
    GArray *id_hashes;          /* of the ids that it carried */
    uint32_t requests;          /* sent on it, with the current one */
    bool is_large;              /* the last request was larger than a window */
    bool is_written;
    bool is_paused;
    bool is_in_callback;  /* a callback of the owner is running */
    bool is_free_pending; /* free it after the callback */
    int64_t idle_timeout_ms;
    int64_t idle_since_ms;
    size_t received_bytes; /* since the request */
    bool is_rest_skipped;  /* the rest of the response is read past */
    size_t rest_max_bytes; /* received_bytes up to which that is done */
    const char *failure;   /* why the request failed, or NULL */
};

/* Creates a connection of the pool, which is being opened; id is that of the
 * request, or NULL.  See MpDial_Start for purpose and regions. */
struct MpTargetConn *MpTargetConn_New(struct MpConnPool *conn_pool,
                                      enum MpConnPurpose purpose,
                                      const struct MpRegionRule *regions,
                                      const char *id);

/* Frees a connection that is not in conn_pool->idle, after the callback that
 * is running. */
void MpTargetConn_Free(struct MpTargetConn *this);

/* Returns whether nothing waits to be read and the connection is open.  What
 * came before a request can't be its response. */
bool MpTargetConn_IsSilent(const struct MpTargetConn *this);

/* Writes the request on the open connection. */
void MpTargetConn_Write(struct MpTargetConn *this);

/* Ends a probe by its timeout. */
void MpTargetConn_ExpireProbe(struct MpTimer *timer);

/* Closes all idle connections. */
void MpConnPool_CloseIdle(struct MpConnPool *this);

/* Frees a deleted pool without connections. */
void MpConnPool_FreeUnused(struct MpConnPool *this);

#endif
