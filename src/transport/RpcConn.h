#ifndef MP_TRANSPORT_RPC_CONN_H
#define MP_TRANSPORT_RPC_CONN_H

#include "protocol/Rpc.h"
#include "transport/Loop.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * RpcConn - one TCP connection that carries RPC records; used by the client
 * and the server side of RpcLink.
 */

/* The client closes a connection with more bytes than this in its output
 * buffer. */
#define MP_RPC_OUT_MAX_BYTES (64 * 1024 * 1024)

struct MpRpcConn;

struct MpRpcConnClass {
    /* Handles a message whose MAC was verified.  Returns MP_OK, or an error,
     * on which the connection is closed. */
    int (*message)(struct MpRpcConn *this, const uint8_t *body, size_t size);
    /* Called before the connection is freed. */
    void (*closed)(struct MpRpcConn *this);
};

/* Takes the socket of a detached connection; NULL if it was closed before all
 * output was written. */
typedef void (*MpRpcDetached)(void *data, h2o_socket_t *socket);

struct MpRpcConn {
    const struct MpRpcConnClass *klass;
    void *owner;
    struct MpLoop *loop;
    h2o_socket_t *socket;
    struct MpRpcSession session;
    GByteArray *out;     /* to be written next */
    GByteArray *writing; /* is being written */
    GPtrArray *calls;    /* server: struct MpRpcCall that await a reply */
    GList greeting_link; /* server: in MpRpcServer.greeting until is_ready */
    int64_t accepted_ms; /* server */
    int64_t last_received_ms;

    /* Counters of the owner; busy_ns (CPU time) and rejected may be NULL. */
    uint64_t *received_bytes;
    uint64_t *sent_bytes;
    uint64_t *busy_ns;
    uint64_t *rejected;
    MpRpcDetached on_detached; /* see MpRpcConn_Detach; else NULL */
    void *detached_data;
    bool is_open;  /* the socket is connected */
    bool is_ready; /* nonces are exchanged */
    bool is_closing;
};

/* Creates a connection; MpRpcConn_Start gives it a connected socket. */
struct MpRpcConn *MpRpcConn_New(const struct MpRpcConnClass *klass,
                                void *owner, struct MpLoop *loop,
                                const uint8_t *fleet_key, bool is_client);
void MpRpcConn_Start(struct MpRpcConn *this, h2o_socket_t *socket);

/* Returns the CPU time of the calling thread, ns. */
uint64_t MpRpcConn_ThreadCpuNs(void);

/* Writes the contents of out, unless a write is under way. */
void MpRpcConn_Flush(struct MpRpcConn *this);

/* The client's side of the exchange of nonces: queues MP_PROC_HELLO, and reads
 * the reply, after which calls can be sent.  Errors of the latter: as
 * MpRpc_ReadResult. */
void MpRpcConn_QueueHello(struct MpRpcConn *this, const char *instance);
int MpRpcConn_ReadHello(struct MpRpcConn *this, const uint8_t *body,
                        size_t size);

/* Ends the RPC on the connection: nothing more is read, and when all output is
 * written the socket is handed over and the connection freed.  on_detached is
 * called once, also if the connection is closed before; after closed. */
void MpRpcConn_Detach(struct MpRpcConn *this, MpRpcDetached on_detached,
                      void *data);

/* Closes and frees the connection. */
void MpRpcConn_Close(struct MpRpcConn *this);

#endif
