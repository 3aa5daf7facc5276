#include "transport/RpcLink.h"

#include "state/Error.h"
#include "transport/Log.h"
#include "transport/RpcConn.h"

#include <inttypes.h>
#include <string.h>

/* The server side of RpcLink; see RpcLink.h. */

/* Longest time from a connection to its hello, ms. */
#define GREETING_MS 5000
/* Part of the connections without a hello that is closed at once. */
#define BATCH_PARTS 16

/* ---- connections before the hello ---- */

static void
end_greeting(struct MpRpcServer *this, struct MpRpcConn *conn)
{
    if (conn->greeting_link.data) {
        g_queue_unlink(&this->greeting, &conn->greeting_link);
        conn->greeting_link.data = NULL;
    }
}

/* Closes connections without a hello, the oldest first, while there are more
 * than max or they were accepted before a time. */
static void
close_ungreeted(struct MpRpcServer *this, uint32_t max, int64_t before_ms)
{
    uint32_t waiting = this->greeting.length;
    const struct MpRpcConn *oldest = g_queue_peek_head(&this->greeting);
    int64_t oldest_ms = oldest ? MpLoop_Now() - oldest->accepted_ms : 0;
    struct MpRpcConn *conn;
    while ((conn = g_queue_peek_head(&this->greeting)) &&
           (this->greeting.length > max || conn->accepted_ms < before_ms)) {
        MpRpcConn_Close(conn);
    }
    uint32_t closed = waiting - this->greeting.length;
    this->ungreeted += closed;
    if (closed > 0) {
        MpLog_Event(LOG_NOTICE, "rpc-connections-without-hello",
                    "waiting=%u limit=%u closed=%u oldest_ms=%" PRId64,
                    waiting, this->greeting_max, closed, oldest_ms);
    }
}

static void
on_greeting_timer(struct MpTimer *timer)
{
    struct MpRpcServer *this = timer->data;
    int64_t now_ms = MpLoop_Now();
    close_ungreeted(this, UINT32_MAX, now_ms - GREETING_MS + 1);
    const struct MpRpcConn *oldest = g_queue_peek_head(&this->greeting);
    if (oldest) {
        MpLoop_SetTimer(this->loop, timer,
                        oldest->accepted_ms + GREETING_MS - now_ms,
                        on_greeting_timer, this);
    }
}

static void
begin_greeting(struct MpRpcServer *this, struct MpRpcConn *conn)
{
    conn->accepted_ms = MpLoop_Now();
    conn->greeting_link.data = conn;
    g_queue_push_tail_link(&this->greeting, &conn->greeting_link);
    if (!this->greeting_timer.position) {
        MpLoop_SetTimer(this->loop, &this->greeting_timer, GREETING_MS,
                        on_greeting_timer, this);
    }
    if (this->greeting.length > this->greeting_max) {
        close_ungreeted(
            this, this->greeting_max - this->greeting_max / BATCH_PARTS, 0);
    }
}

/* ---- calls ---- */

static int
reply_hello(struct MpRpcConn *conn, struct MpRpcCall *call)
{
    const struct mp_hello *hello = call->argument;
    struct mp_hello reply = {.instance = (char *)""};
    memcpy(conn->session.client_nonce, hello->nonce, MP_NONCE_BYTES);
    MpRpc_MakeNonce(reply.nonce);
    MpRpc_AppendReply(&conn->session, conn->out, call->xid, MP_PROC_HELLO,
                      &reply);
    MpRpcSession_SetKey(&conn->session, hello->nonce, reply.nonce);
    conn->is_ready = true;
    end_greeting(conn->owner, conn);
    return MP_OK;
}

static void
call_free(struct MpRpcCall *call)
{
    MpRpc_FreeArgument(call->procedure, call->argument);
    g_free(call);
}

void
MpRpcCall_Reply(struct MpRpcCall *this, const void *result)
{
    struct MpRpcConn *conn = this->conn;
    if (conn) {
        g_ptr_array_remove_fast(conn->calls, this);
    }
    if (conn && !MpRpc_Procedure(this->procedure)->is_one_way) {
        int code = MpRpc_AppendReply(&conn->session, conn->out, this->xid,
                                     this->procedure, result);
        if (code != MP_OK) {
            MpRpc_AppendReply(&conn->session, conn->out, this->xid,
                              this->procedure, NULL);
        }
        MpRpcConn_Flush(conn);
    }
    call_free(this);
}

void
MpRpcCall_ReplyAndDetach(struct MpRpcCall *this, const void *result,
                         void (*on_detached)(void *data, h2o_socket_t *socket),
                         void *data)
{
    if (!this->conn) {
        call_free(this);
        on_detached(data, NULL);
        return;
    }
    MpRpcConn_Detach(this->conn, on_detached, data);
    MpRpcCall_Reply(this, result);
}

static int
server_message(struct MpRpcConn *conn, const uint8_t *body, size_t size)
{
    struct MpRpcServer *server = conn->owner;
    struct MpRpcHeader head;
    void *argument;
    int code = MpRpc_ReadCall(body, size, &head, &argument);
    if (code != MP_OK) {
        return code;
    }
    struct MpRpcCall *call = g_new0(struct MpRpcCall, 1);
    call->xid = head.xid;
    call->procedure = head.procedure;
    call->argument = argument;
    call->conn = conn;
    if (!conn->is_ready) {
        code = head.procedure == MP_PROC_HELLO ? reply_hello(conn, call)
                                               : MP_ERROR_AUTHENTICATION;
        call_free(call);
        return code;
    }
    if (head.procedure == 0 || head.procedure == MP_PROC_HELLO) {
        char void_result = 0;
        code = head.procedure == 0 ? MP_OK : MP_ERROR_AUTHENTICATION;
        MpRpc_AppendReply(&conn->session, conn->out, call->xid, 0,
                          &void_result);
        call_free(call);
        return code;
    }
    g_ptr_array_add(conn->calls, call);
    server->klass->call(server->owner, call);
    return MP_OK;
}

static void
server_closed(struct MpRpcConn *conn)
{
    struct MpRpcServer *server = conn->owner;
    for (guint i = 0; i < conn->calls->len; i++) {
        struct MpRpcCall *call = g_ptr_array_index(conn->calls, i);
        call->conn = NULL;
    }
    end_greeting(server, conn);
    g_ptr_array_remove_fast(server->conns, conn);
}

static const struct MpRpcConnClass server_conn_class = {
    .message = server_message, .closed = server_closed};

static void
on_accept(h2o_socket_t *listener, const char *error)
{
    struct MpRpcServer *this = listener->data;
    h2o_socket_t *socket;
    if (error || !(socket = h2o_evloop_socket_accept(listener))) {
        return;
    }
    struct MpRpcConn *conn = MpRpcConn_New(&server_conn_class, this,
                                           this->loop, this->fleet_key, false);
    conn->received_bytes = &this->received_bytes;
    conn->sent_bytes = &this->sent_bytes;
    conn->rejected = &this->rejected;
    g_ptr_array_add(this->conns, conn);
    MpRpcConn_Start(conn, socket);
    begin_greeting(this, conn);
}

int
MpRpcServer_Init(struct MpRpcServer *this,
                 const struct MpRpcServerClass *klass, void *owner,
                 struct MpLoop *loop, const char *address,
                 const uint8_t *fleet_key, uint32_t greeting_max)
{
    *this = (struct MpRpcServer){.klass = klass,
                                 .owner = owner,
                                 .loop = loop,
                                 .greeting_max = greeting_max};
    memcpy(this->fleet_key, fleet_key, MP_RPC_KEY_BYTES);
    this->conns = g_ptr_array_new();
    h2o_socket_t *listener =
        MpLoop_ListenForPeers(loop, address, on_accept, this, &this->port);
    return listener ? MP_OK : MP_ERROR_IO;
}
