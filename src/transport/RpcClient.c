#include "transport/RpcLink.h"

#include "state/Error.h"
#include "transport/RpcConn.h"

#include <string.h>

/* The client side of RpcLink; see RpcLink.h. */

#define CHECK_INTERVAL_MS 100
#define PING_INTERVAL_MS 400
/* Interval of the timer while the connection is idle, ms. */
#define IDLE_CHECK_INTERVAL_MS 1000
/* A connection on which nothing was received for this long is closed. */
#define RECEIVE_TIMEOUT_MS 1200
#define RECONNECT_DELAY_MS 200
/* Delay to reconnect, and timer interval, while no connection has ever been
 * ready, ms.  It is shorter as the peer may be about to start. */
#define FIRST_CONNECT_DELAY_MS 60

struct pending_call {
    uint32_t procedure;
    int64_t deadline_ms;
    MpRpcDone done;
    void *data;
};

static void
pending_finish(struct pending_call *call, int code, const void *result)
{
    if (call->done) {
        call->done(call->data, code, result);
    }
    g_free(call);
}

/* Ends all pending calls with code.  The table is replaced first, so that
 * calls made by their callbacks stay pending. */
static void
fail_pending(struct MpRpcClient *this, int code)
{
    GHashTable *failed = this->pending;
    GHashTableIter iter;
    void *value;
    this->pending = g_hash_table_new(g_direct_hash, g_direct_equal);
    g_hash_table_iter_init(&iter, failed);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        pending_finish(value, code, NULL);
    }
    g_hash_table_unref(failed);
}

static int
client_message(struct MpRpcConn *conn, const uint8_t *body, size_t size)
{
    struct MpRpcClient *this = conn->owner;
    struct MpRpcHeader head;
    void *result;
    int code = MpRpc_ReadHeader(body, size, &head);
    if (code != MP_OK || head.is_call) {
        return MP_ERROR_CORRUPT;
    }
    if (!conn->is_ready) {
        code = MpRpcConn_ReadHello(conn, body, size);
        this->was_ready |= code == MP_OK;
        this->failed_connects = code == MP_OK ? 0 : this->failed_connects;
        return code;
    }
    void *key = GUINT_TO_POINTER(head.xid);
    struct pending_call *call = g_hash_table_lookup(this->pending, key);
    if (!call) {
        return MP_OK; /* The call has timed out. */
    }
    g_hash_table_remove(this->pending, key);
    uint32_t procedure = call->procedure;
    code = MpRpc_ReadResult(body, size, procedure, &result);
    pending_finish(call, code, result);
    MpRpc_FreeResult(procedure, result);
    return MP_OK;
}

static void
client_closed(struct MpRpcConn *conn)
{
    struct MpRpcClient *this = conn->owner;
    if (this->conn == conn) {
        this->conn = NULL;
        this->failed_connects += !conn->is_ready;
        this->retry_at_ms =
            MpLoop_Now() +
            (this->was_ready ? RECONNECT_DELAY_MS : FIRST_CONNECT_DELAY_MS);
        fail_pending(this, MP_ERROR_CLOSED);
    }
}

static const struct MpRpcConnClass client_conn_class = {
    .message = client_message, .closed = client_closed};

static void
on_connect(h2o_socket_t *socket, const char *error)
{
    struct MpRpcConn *conn = socket->data;
    if (error) {
        MpRpcConn_Close(conn);
        return;
    }
    conn->last_received_ms = MpLoop_Now();
    MpRpcConn_Start(conn, socket);
    MpRpcConn_Flush(conn);
}

/* Starts a connection attempt and queues MP_PROC_HELLO.  Calls can be sent
 * once its reply has brought the server's nonce. */
static void
connect_now(struct MpRpcClient *this)
{
    struct sockaddr_in addr;
    this->retry_at_ms = MpLoop_Now() + RECONNECT_DELAY_MS;
    if (!MpLoop_ParseAddress(this->address, &addr)) {
        return;
    }
    h2o_socket_t *socket = h2o_socket_connect(
        this->loop->h2o, (struct sockaddr *)&addr, sizeof(addr), on_connect);
    if (!socket) {
        return;
    }
    struct MpRpcConn *conn = MpRpcConn_New(&client_conn_class, this,
                                           this->loop, this->fleet_key, true);
    conn->received_bytes = &this->received_bytes;
    conn->sent_bytes = &this->sent_bytes;
    conn->busy_ns = &this->busy_ns;
    conn->socket = socket;
    socket->data = conn;
    MpRpcConn_QueueHello(conn, this->instance);
    this->conn = conn;
}

static void
append_call(struct MpRpcClient *this, uint32_t xid, uint32_t procedure,
            const void *argument)
{
    MpRpc_AppendCall(&this->conn->session, this->conn->out, xid, procedure,
                     argument);
    MpRpcConn_Flush(this->conn);
}

static void
expire_calls(struct MpRpcClient *this, int64_t now_ms)
{
    GHashTableIter iter;
    void *value;
    GPtrArray *expired = g_ptr_array_new();
    g_hash_table_iter_init(&iter, this->pending);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct pending_call *call = value;
        if (call->deadline_ms <= now_ms) {
            g_ptr_array_add(expired, call);
            g_hash_table_iter_remove(&iter);
        }
    }
    for (guint i = 0; i < expired->len; i++) {
        pending_finish(g_ptr_array_index(expired, i), MP_ERROR_TIMEOUT, NULL);
    }
    g_ptr_array_unref(expired);
}

static void
ping(struct MpRpcClient *this, int64_t now_ms)
{
    char void_argument = 0;
    /* No ping is needed if data arrived within the interval. */
    if (now_ms - this->pinged_ms < PING_INTERVAL_MS ||
        now_ms - this->conn->last_received_ms < PING_INTERVAL_MS) {
        return;
    }
    this->pinged_ms = now_ms;
    append_call(this, ++this->next_xid, 0, &void_argument);
}

/* Returns whether the connection is ready, has no pending calls, and is
 * allowed to be idle without pings. */
static bool
is_idle(const struct MpRpcClient *this)
{
    return this->may_idle && MpRpcClient_IsReady(this) &&
           g_hash_table_size(this->pending) == 0;
}

static int64_t
inactivity_timeout_ms(const struct MpRpcClient *this)
{
    return this->conn->is_open ? RECEIVE_TIMEOUT_MS
                               : MpRpc_ConnectTimeout(this->failed_connects);
}

static void
on_timer(struct MpTimer *timer)
{
    struct MpRpcClient *this = timer->data;
    int64_t now_ms = MpLoop_Now();
    expire_calls(this, now_ms);
    if (!this->conn) {
        if (now_ms >= this->retry_at_ms) {
            connect_now(this);
        }
    }
    else if ((now_ms - this->conn->last_received_ms >
                  inactivity_timeout_ms(this) &&
              !is_idle(this)) ||
             this->conn->out->len > MP_RPC_OUT_MAX_BYTES) {
        this->aborted++;
        MpRpcConn_Close(this->conn);
    }
    else if (this->conn->is_ready && !is_idle(this)) {
        ping(this, now_ms);
    }
    int64_t check_ms =
        this->was_ready ? CHECK_INTERVAL_MS : FIRST_CONNECT_DELAY_MS;
    MpLoop_SetTimer(this->loop, &this->timer,
                    is_idle(this) ? IDLE_CHECK_INTERVAL_MS : check_ms,
                    on_timer, this);
}

void
MpRpcClient_Init(struct MpRpcClient *this, struct MpLoop *loop,
                 const char *address, const char *instance,
                 const uint8_t *fleet_key)
{
    *this = (struct MpRpcClient){.loop = loop};
    this->address = g_strdup(address);
    this->instance = g_strdup(instance);
    memcpy(this->fleet_key, fleet_key, MP_RPC_KEY_BYTES);
    this->pending = g_hash_table_new(g_direct_hash, g_direct_equal);
    connect_now(this);
    MpLoop_SetTimer(loop, &this->timer, CHECK_INTERVAL_MS, on_timer, this);
}

bool
MpRpcClient_IsReady(const struct MpRpcClient *this)
{
    return this->conn && this->conn->is_ready;
}

void
MpRpcClient_Call(struct MpRpcClient *this, uint32_t procedure,
                 const void *argument, int64_t timeout_ms, MpRpcDone done,
                 void *data)
{
    if (!MpRpcClient_IsReady(this)) {
        if (done) {
            done(data, MP_ERROR_CLOSED, NULL);
        }
        return;
    }
    uint64_t start_ns = MpRpcConn_ThreadCpuNs();
    if (is_idle(this)) {
        this->conn->last_received_ms = MpLoop_Now();
        MpLoop_SetTimer(this->loop, &this->timer, CHECK_INTERVAL_MS, on_timer,
                        this);
    }
    uint32_t xid = ++this->next_xid;
    this->calls++;
    if (!MpRpc_Procedure(procedure)->is_one_way) {
        struct pending_call *call = g_new0(struct pending_call, 1);
        call->procedure = procedure;
        call->deadline_ms = MpLoop_Now() + timeout_ms;
        call->done = done;
        call->data = data;
        g_hash_table_insert(this->pending, GUINT_TO_POINTER(xid), call);
    }
    append_call(this, xid, procedure, argument);
    this->busy_ns += MpRpcConn_ThreadCpuNs() - start_ns;
}
