#include "transport/TunnelClient.h"

#include "protocol/Rpc.h"
#include "state/Error.h"
#include "transport/RpcConn.h"
#include "transport/TargetSocket.h"

#include <string.h>

struct MpTunnelClient {
    struct MpLoop *loop;
    struct MpRpcConn *conn;
    struct MpTimer timer;
    struct mp_tunnel call;
    MpTunnelDone done;
    void *data;
    int code; /* of the reply */
    uint64_t received_bytes;
    uint64_t sent_bytes;
};

static void
client_free(struct MpTunnelClient *this)
{
    MpLoop_ClearTimer(&this->timer);
    g_free(this->call.instance);
    g_free(this->call.target);
    g_free(this->call.request);
    g_free(this);
}

static void
finish(struct MpTunnelClient *this, int code, h2o_socket_t *socket)
{
    MpTunnelDone done = this->done;
    void *data = this->data;
    client_free(this);
    done(data, code, socket);
}

static void
on_detached(void *data, h2o_socket_t *socket)
{
    struct MpTunnelClient *this = data;
    this->conn = NULL;
    finish(this, socket ? MP_OK : MP_ERROR_IO, socket);
}

static int
read_hello(struct MpRpcConn *conn, const uint8_t *body, size_t size)
{
    struct MpTunnelClient *this = conn->owner;
    int code = MpRpcConn_ReadHello(conn, body, size);
    if (code == MP_OK) {
        MpRpc_AppendCall(&conn->session, conn->out, 1, MP_PROC_TUNNEL,
                         &this->call);
        MpRpcConn_Flush(conn);
    }
    return code;
}

static int
on_message(struct MpRpcConn *conn, const uint8_t *body, size_t size)
{
    struct MpTunnelClient *this = conn->owner;
    struct MpRpcHeader head;
    void *result;
    int code = MpRpc_ReadHeader(body, size, &head);
    if (code != MP_OK || head.is_call) {
        return MP_ERROR_CORRUPT;
    }
    if (!conn->is_ready) {
        return read_hello(conn, body, size);
    }
    code = MpRpc_ReadResult(body, size, MP_PROC_TUNNEL, &result);
    if (code != MP_OK) {
        return code;
    }
    this->code = ((const struct mp_tunnel_reply *)result)->code;
    MpRpc_FreeResult(MP_PROC_TUNNEL, result);
    if (this->code != MP_OK) {
        return MP_ERROR_CLOSED;
    }
    MpRpcConn_Detach(conn, on_detached, this);
    return MP_OK;
}

static void
on_closed(struct MpRpcConn *conn)
{
    struct MpTunnelClient *this = conn->owner;
    if (this && !conn->on_detached) {
        this->conn = NULL;
        finish(this, this->code, NULL);
    }
}

static const struct MpRpcConnClass conn_class = {.message = on_message,
                                                 .closed = on_closed};

/* Closes the connection, without a callback. */
static void
drop_conn(struct MpTunnelClient *this)
{
    struct MpRpcConn *conn = this->conn;
    this->conn = NULL;
    if (conn) {
        conn->owner = NULL;
        conn->on_detached = NULL;
        MpRpcConn_Close(conn);
    }
}

static void
on_timeout(struct MpTimer *timer)
{
    struct MpTunnelClient *this = timer->data;
    drop_conn(this);
    finish(this, MP_ERROR_IO, NULL);
}

static void
on_connect(h2o_socket_t *socket, const char *error)
{
    struct MpRpcConn *conn = socket->data;
    if (error) {
        MpRpcConn_Close(conn);
        return;
    }
    MpRpcConn_Start(conn, socket);
    MpRpcConn_Flush(conn);
}

struct MpTunnelClient *
MpTunnelClient_Start(struct MpLoop *loop, const uint8_t *fleet_key,
                     const char *address, const struct mp_tunnel *call,
                     int64_t timeout_ms, MpTunnelDone done, void *data)
{
    struct sockaddr_in addr;
    struct MpTunnelClient *this = g_new0(struct MpTunnelClient, 1);
    this->loop = loop;
    this->done = done;
    this->data = data;
    this->code = MP_ERROR_IO;
    this->call = (struct mp_tunnel){.instance = g_strdup(call->instance),
                                    .target = g_strdup(call->target),
                                    .request = g_strdup(call->request),
                                    .timeout_ms = call->timeout_ms};
    h2o_socket_t *socket =
        MpLoop_ParseAddress(address, &addr)
            ? h2o_socket_connect(loop->h2o, (struct sockaddr *)&addr,
                                 sizeof(addr), on_connect)
            : NULL;
    MpLoop_SetTimer(loop, &this->timer, socket ? timeout_ms : 0, on_timeout,
                    this);
    if (!socket) {
        return this;
    }
    MpTargetSocket_SetReceive(socket, MP_TUNNEL_RECEIVE_BYTES);
    struct MpRpcConn *conn =
        MpRpcConn_New(&conn_class, this, loop, fleet_key, true);
    conn->received_bytes = &this->received_bytes;
    conn->sent_bytes = &this->sent_bytes;
    conn->socket = socket;
    socket->data = conn;
    MpRpcConn_QueueHello(conn, this->call.instance);
    this->conn = conn;
    return this;
}

void
MpTunnelClient_Cancel(struct MpTunnelClient *this)
{
    drop_conn(this);
    client_free(this);
}
