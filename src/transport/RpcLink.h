#ifndef MP_TRANSPORT_RPC_LINK_H
#define MP_TRANSPORT_RPC_LINK_H

#include "protocol/Rpc.h"
#include "transport/Loop.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * RpcLink - RPC between instances over TCP: a server that answers calls and
 * a client that keeps one connection to one address.
 *
 * The client connects again after a failure and pings with the null
 * procedure; a connection on which nothing comes back is closed, so that
 * calls do not wait for a peer that has gone silent.
 */

/* ---- server ---- */

struct MpRpcServer;
struct MpRpcConn;

/* A call that waits for its reply. */
struct MpRpcCall {
    struct MpRpcConn *conn; /* NULL once the connection is closed */
    uint32_t xid;
    uint32_t procedure;
    void *argument;
};

struct MpRpcServerClass {
    /* Takes a call, to be answered by MpRpcCall_Reply sooner or later.  The
     * call of a one-way procedure is answered with NULL. */
    void (*call)(void *owner, struct MpRpcCall *call);
};

struct MpRpcServer {
    const struct MpRpcServerClass *klass;
    void *owner;
    struct MpLoop *loop;
    uint8_t fleet_key[MP_RPC_KEY_BYTES];
    GPtrArray *conns;
    uint64_t rejected; /* records with a wrong code */
    uint64_t received_bytes;
    uint64_t sent_bytes;
    uint16_t port;
};

/* Listens on address.  Errors: MP_ERROR_IO. */
int MpRpcServer_Init(struct MpRpcServer *this,
                     const struct MpRpcServerClass *klass, void *owner,
                     struct MpLoop *loop, const char *address,
                     const uint8_t *fleet_key);

/* Answers a call and frees it with its argument; result may be NULL. */
void MpRpcCall_Reply(struct MpRpcCall *this, const void *result);

/* ---- client ---- */

/* result is NULL when code is not MP_OK; it is freed after the call. */
typedef void (*MpRpcDone)(void *data, int code, const void *result);

struct MpRpcClient {
    struct MpLoop *loop;
    char *address;
    char *instance; /* name of this end */
    uint8_t fleet_key[MP_RPC_KEY_BYTES];
    struct MpRpcConn *conn;
    GHashTable *pending; /* xid -> struct pending_call */
    uint32_t next_xid;
    int64_t retry_at_ms;
    int64_t pinged_ms;
    bool was_ready; /* once at least */
    bool may_idle;  /* pings only while a call waits: for many connections of
                     * which few are in use */
    struct MpTimer timer;
    uint64_t received_bytes;
    uint64_t sent_bytes;
    uint64_t calls;
    uint64_t busy_ns;       /* processor time of calls and their answers, with
                               what the callers of this module do in them */
    uint64_t silent_closed; /* connections closed for silence */
};

void MpRpcClient_Init(struct MpRpcClient *this, struct MpLoop *loop,
                      const char *address, const char *instance,
                      const uint8_t *fleet_key);

/* Returns whether the connection is up. */
bool MpRpcClient_IsReady(const struct MpRpcClient *this);

/* Calls a procedure.  done gets MP_ERROR_TIMEOUT after timeout_ms and
 * MP_ERROR_CLOSED when the connection fails.  done may be called before this
 * returns. One-way calls take no done. */
void MpRpcClient_Call(struct MpRpcClient *this, uint32_t procedure,
                      const void *argument, int64_t timeout_ms, MpRpcDone done,
                      void *data);

#endif
