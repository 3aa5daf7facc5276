#ifndef MP_TRANSPORT_RPC_CONN_H
#define MP_TRANSPORT_RPC_CONN_H

#include "protocol/Rpc.h"
#include "transport/Loop.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * RpcConn - one TCP connection that carries records; shared by the client
 * and the server side of RpcLink.
 */

/* Bytes that may wait to be written before the connection is closed. */
#define MP_RPC_OUT_MAX (64 * 1024 * 1024)

struct MpRpcConn;

struct MpRpcConnClass {
    /* Takes a message whose code is right.  Returns MP_OK, or an error that
     * closes the connection. */
    int (*message)(struct MpRpcConn *this, const uint8_t *body, size_t size);
    /* The connection is about to be freed. */
    void (*closed)(struct MpRpcConn *this);
};

struct MpRpcConn {
    const struct MpRpcConnClass *klass;
    void *owner;
    struct MpLoop *loop;
    h2o_socket_t *socket;
    struct MpRpcSession session;
    GByteArray *out;     /* waits for the socket */
    GByteArray *writing; /* is being written */
    GPtrArray *calls;    /* server: calls without reply */
    int64_t heard_ms;
    uint64_t *received_bytes;
    uint64_t *sent_bytes;
    uint64_t *busy_ns; /* processor time, or NULL */
    uint64_t *rejected;
    bool is_open;  /* the socket is connected */
    bool is_ready; /* keys are exchanged */
    bool is_closing;
};

/* Takes a connected or accepted socket. */
struct MpRpcConn *MpRpcConn_New(const struct MpRpcConnClass *klass,
                                void *owner, struct MpLoop *loop,
                                const uint8_t *fleet_key, bool is_client);
void MpRpcConn_Start(struct MpRpcConn *this, h2o_socket_t *socket);

/* Returns the processor time of this thread, ns. */
uint64_t MpRpcConn_ThreadNs(void);

/* Writes what was appended to out. */
void MpRpcConn_Flush(struct MpRpcConn *this);
void MpRpcConn_Close(struct MpRpcConn *this);

#endif
