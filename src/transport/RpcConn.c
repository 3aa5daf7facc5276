#include "transport/RpcConn.h"

#include "state/Error.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <time.h>

/* Maximum size of a record before the nonces are exchanged. */
#define HELLO_MAX_BYTES 1024

struct MpRpcConn *
MpRpcConn_New(const struct MpRpcConnClass *klass, void *owner,
              struct MpLoop *loop, const uint8_t *fleet_key, bool is_client)
{
    struct MpRpcConn *this = g_new0(struct MpRpcConn, 1);
    this->klass = klass;
    this->owner = owner;
    this->loop = loop;
    this->out = g_byte_array_new();
    this->writing = g_byte_array_new();
    this->calls = g_ptr_array_new();
    this->last_received_ms = MpLoop_Now();
    MpRpcSession_Init(&this->session, fleet_key, is_client);
    return this;
}

/* Frees the connection; a socket to be handed over goes to on_detached. */
static void
conn_free(struct MpRpcConn *this, h2o_socket_t *detached)
{
    MpRpcDetached on_detached = this->on_detached;
    void *data = this->detached_data;
    this->is_closing = true;
    this->klass->closed(this);
    if (this->socket) {
        h2o_socket_close(this->socket);
    }
    g_ptr_array_unref(this->calls);
    g_byte_array_unref(this->out);
    g_byte_array_unref(this->writing);
    g_free(this);
    if (on_detached) {
        on_detached(data, detached);
    }
}

void
MpRpcConn_Close(struct MpRpcConn *this)
{
    if (!this->is_closing) {
        conn_free(this, NULL);
    }
}

/* Hands the socket over if that is asked for and all output is written.
 * Returns whether the connection was freed. */
static bool
maybe_detach(struct MpRpcConn *this)
{
    if (!this->on_detached || this->writing->len > 0 || this->out->len > 0) {
        return false;
    }
    h2o_socket_t *socket = this->socket;
    h2o_socket_read_stop(socket);
    socket->data = NULL;
    this->socket = NULL;
    conn_free(this, socket);
    return true;
}

static void
on_written(h2o_socket_t *socket, const char *error)
{
    struct MpRpcConn *this = socket->data;
    g_byte_array_set_size(this->writing, 0);
    if (error) {
        MpRpcConn_Close(this);
        return;
    }
    MpRpcConn_Flush(this);
    maybe_detach(this);
}

void
MpRpcConn_QueueHello(struct MpRpcConn *this, const char *instance)
{
    struct mp_hello hello = {.instance = (char *)instance};
    MpRpc_MakeNonce(hello.nonce);
    MpRpc_AppendCall(&this->session, this->out, 0, MP_PROC_HELLO, &hello);
    memcpy(this->session.client_nonce, hello.nonce, MP_NONCE_BYTES);
}

int
MpRpcConn_ReadHello(struct MpRpcConn *this, const uint8_t *body, size_t size)
{
    void *result;
    int code = MpRpc_ReadResult(body, size, MP_PROC_HELLO, &result);
    if (code != MP_OK) {
        return code;
    }
    const struct mp_hello *hello = result;
    MpRpcSession_SetKey(&this->session,
                        (const char *)this->session.client_nonce,
                        hello->nonce);
    this->is_ready = true;
    MpRpc_FreeResult(MP_PROC_HELLO, result);
    return MP_OK;
}

void
MpRpcConn_Detach(struct MpRpcConn *this, MpRpcDetached on_detached, void *data)
{
    this->on_detached = on_detached;
    this->detached_data = data;
}

void
MpRpcConn_Flush(struct MpRpcConn *this)
{
    if (!this->is_open || this->writing->len > 0 || this->out->len == 0) {
        return;
    }
    GByteArray *pending = this->out;
    this->out = this->writing;
    this->writing = pending;
    *this->sent_bytes += pending->len;
    h2o_iovec_t buffer = {.base = (char *)pending->data, .len = pending->len};
    h2o_socket_write(this->socket, &buffer, 1, on_written);
}

static int
handle_record(struct MpRpcConn *this, const uint8_t *record, size_t size)
{
    const uint8_t *body;
    size_t body_size;
    int code = MpRpc_Verify(&this->session, record, size, &body, &body_size);
    if (code == MP_ERROR_AUTHENTICATION && this->rejected) {
        (*this->rejected)++;
    }
    return code == MP_OK ? this->klass->message(this, body, body_size) : code;
}

uint64_t
MpRpcConn_ThreadCpuNs(void)
{
    struct timespec now;
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return (uint64_t)now.tv_sec * 1000000000 + (uint64_t)now.tv_nsec;
}

static void
on_read(h2o_socket_t *socket, const char *error)
{
    struct MpRpcConn *this = socket->data;
    uint64_t start_ns = MpRpcConn_ThreadCpuNs();
    if (error) {
        MpRpcConn_Close(this);
        return;
    }
    this->last_received_ms = MpLoop_Now();
    size_t at = 0;
    while (at < socket->input->size && !this->on_detached) {
        const uint8_t *data = (const uint8_t *)socket->input->bytes + at;
        int64_t size = MpRpc_RecordSize(data, socket->input->size - at);
        /* Bounds the memory that a peer can use before it has proved that it
         * has the fleet key. */
        if (size > HELLO_MAX_BYTES && !this->is_ready) {
            MpRpcConn_Close(this);
            return;
        }
        if (size == 0 ||
            (size > 0 && (size_t)size > socket->input->size - at)) {
            break;
        }
        if (size < 0 || handle_record(this, data, (size_t)size) != MP_OK) {
            MpRpcConn_Close(this);
            return;
        }
        at += (size_t)size;
    }
    *this->received_bytes += at;
    h2o_buffer_consume(&socket->input, at);
    MpRpcConn_Flush(this);
    if (maybe_detach(this)) {
        return;
    }
    if (this->busy_ns) {
        *this->busy_ns += MpRpcConn_ThreadCpuNs() - start_ns;
    }
}

void
MpRpcConn_Start(struct MpRpcConn *this, h2o_socket_t *socket)
{
    int yes = 1;
    this->socket = socket;
    this->is_open = true;
    socket->data = this;
    setsockopt(h2o_socket_get_fd(socket), IPPROTO_TCP, TCP_NODELAY, &yes,
               sizeof(yes));
    h2o_socket_read_start(socket, on_read);
}
