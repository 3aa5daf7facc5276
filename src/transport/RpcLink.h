#ifndef MP_TRANSPORT_RPC_LINK_H
#define MP_TRANSPORT_RPC_LINK_H

#include "protocol/Rpc.h"
#include "transport/Loop.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * RpcLink - RPC between instances over TCP: a server, and a client that keeps
 * one connection to one address.
 *
 * The client reconnects after a failure and pings with the null procedure.  A
 * connection on which nothing is received is closed, so that calls do not wait
 * for a peer that has stopped responding.
 */

/* ---- server ---- */

struct MpRpcServer;
struct MpRpcConn;

/* A call on the server that awaits its reply. */
struct MpRpcCall {
    struct MpRpcConn *conn; /* NULL after the connection was closed */
    uint32_t xid;
    uint32_t procedure;
    void *argument;
};

struct MpRpcServerClass {
    /* Handles a call.  It must be ended by MpRpcCall_Reply, at once or later;
     * with a NULL result if the procedure is one-way. */
    void (*call)(void *owner, struct MpRpcCall *call);
};

struct MpRpcServer {
    const struct MpRpcServerClass *klass;
    void *owner;
    struct MpLoop *loop;
    uint8_t fleet_key[MP_RPC_KEY_BYTES];
    GPtrArray *conns;
    GQueue greeting; /* connections before the hello, the oldest first */
    uint32_t greeting_max;
    struct MpTimer greeting_timer;
    uint64_t rejected;  /* records with a wrong MAC */
    uint64_t ungreeted; /* connections closed before the hello */
    uint64_t received_bytes;
    uint64_t sent_bytes;
    uint16_t port;
};

/* Listens on address; fleet_key has MP_RPC_KEY_BYTES.  A connection has 5 s
 * for its hello; beyond greeting_max connections without one the oldest of
 * them are closed.  Errors: MP_ERROR_IO. */
int MpRpcServer_Init(struct MpRpcServer *this,
                     const struct MpRpcServerClass *klass, void *owner,
                     struct MpLoop *loop, const char *address,
                     const uint8_t *fleet_key, uint32_t greeting_max);

/* Sends the reply to a call, unless its connection was closed, and frees the
 * call with its argument.  With a NULL result the reply is the RPC error
 * GARBAGE_ARGS. */
void MpRpcCall_Reply(struct MpRpcCall *this, const void *result);

/* The same, and hands the socket of the connection over once the reply is
 * written, which ends the RPC on it; see MpRpcConn_Detach.  on_detached may be
 * called before this function returns. */
void MpRpcCall_ReplyAndDetach(struct MpRpcCall *this, const void *result,
                              void (*on_detached)(void *data,
                                                  h2o_socket_t *socket),
                              void *data);

/* ---- client ---- */

/* Called when a call ends.  result is NULL if code is not MP_OK, and is freed
 * after the callback. */
typedef void (*MpRpcDone)(void *data, int code, const void *result);

struct MpRpcClient {
    struct MpLoop *loop;
    char *address;
    char *instance; /* name of the calling instance */
    uint8_t fleet_key[MP_RPC_KEY_BYTES];
    struct MpRpcConn *conn;
    GHashTable *pending; /* xid -> struct pending_call */
    uint32_t next_xid;
    int64_t retry_at_ms;
    int64_t pinged_ms;
    bool was_ready;           /* at least once */
    uint32_t failed_connects; /* attempts since the last one that got ready */
    /* Pings only while a call is pending; for many connections, few in
     * use. */
    bool may_idle;
    struct MpTimer timer;
    uint64_t received_bytes;
    uint64_t sent_bytes;
    uint64_t calls;
    uint64_t busy_ns; /* CPU time of calls, replies and callbacks */
    /* Connections closed on a timeout or a full output buffer. */
    uint64_t aborted;
};

void MpRpcClient_Init(struct MpRpcClient *this, struct MpLoop *loop,
                      const char *address, const char *instance,
                      const uint8_t *fleet_key);

/* Returns whether the connection is up and calls can be sent. */
bool MpRpcClient_IsReady(const struct MpRpcClient *this);

/* Calls a procedure.  done gets MP_ERROR_TIMEOUT after timeout_ms, and
 * MP_ERROR_CLOSED if the connection fails or is not ready; it may be called
 * before this function returns.  One-way calls have no done. */
void MpRpcClient_Call(struct MpRpcClient *this, uint32_t procedure,
                      const void *argument, int64_t timeout_ms, MpRpcDone done,
                      void *data);

#endif
