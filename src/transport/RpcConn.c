#include "transport/RpcConn.h"

#include "state/Error.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <time.h>

/* Largest record before the keys are exchanged. */
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
    this->heard_ms = MpLoop_Now();
    MpRpcSession_Init(&this->session, fleet_key, is_client);
    return this;
}

void
MpRpcConn_Close(struct MpRpcConn *this)
{
    if (this->is_closing) {
        return;
    }
    this->is_closing = true;
    this->klass->closed(this);
    if (this->socket) {
        h2o_socket_close(this->socket);
    }
    g_ptr_array_unref(this->calls);
    g_byte_array_unref(this->out);
    g_byte_array_unref(this->writing);
    g_free(this);
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
}

void
MpRpcConn_Flush(struct MpRpcConn *this)
{
    if (!this->is_open || this->writing->len > 0 || this->out->len == 0) {
        return;
    }
    GByteArray *full = this->out;
    this->out = this->writing;
    this->writing = full;
    *this->sent_bytes += full->len;
    h2o_iovec_t buffer = {.base = (char *)full->data, .len = full->len};
    h2o_socket_write(this->socket, &buffer, 1, on_written);
}

static int
take_record(struct MpRpcConn *this, const uint8_t *record, size_t size)
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
MpRpcConn_ThreadNs(void)
{
    struct timespec now;
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return (uint64_t)now.tv_sec * 1000000000 + (uint64_t)now.tv_nsec;
}

static void
on_read(h2o_socket_t *socket, const char *error)
{
    struct MpRpcConn *this = socket->data;
    uint64_t began_ns = MpRpcConn_ThreadNs();
    if (error) {
        MpRpcConn_Close(this);
        return;
    }
    this->heard_ms = MpLoop_Now();
    size_t at = 0;
    while (at < socket->input->size) {
        const uint8_t *data = (const uint8_t *)socket->input->bytes + at;
        int64_t size = MpRpc_RecordSize(data, socket->input->size - at);
        /* Nobody who has not shown the key makes this end hold much. */
        if (size > HELLO_MAX_BYTES && !this->is_ready) {
            MpRpcConn_Close(this);
            return;
        }
        if (size == 0 ||
            (size > 0 && (size_t)size > socket->input->size - at)) {
            break;
        }
        if (size < 0 || take_record(this, data, (size_t)size) != MP_OK) {
            MpRpcConn_Close(this);
            return;
        }
        at += (size_t)size;
    }
    *this->received_bytes += at;
    h2o_buffer_consume(&socket->input, at);
    MpRpcConn_Flush(this);
    if (this->busy_ns) {
        *this->busy_ns += MpRpcConn_ThreadNs() - began_ns;
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
