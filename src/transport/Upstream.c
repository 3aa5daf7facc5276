#include "transport/Upstream.h"

#include "transport/BodyLength.h"

#include <string.h>

/* h2o's timeout for reads and writes.  It is set high because the owner bounds
 * each request with its own timer. */
#define IO_TIMEOUT_MS 3600000
#define CONNECT_TIMEOUT_MS 1000

static void
on_getaddr(h2o_multithread_receiver_t *receiver, h2o_linklist_t *messages)
{
    h2o_hostinfo_getaddr_receiver(receiver, messages);
}

void
MpUpstreamContext_Init(struct MpUpstreamContext *this, struct MpLoop *loop)
{
    this->loop = loop;
    h2o_timeout_init(loop->h2o, &this->io_timeout, IO_TIMEOUT_MS);
    h2o_multithread_register_receiver(loop->queue, &this->getaddr, on_getaddr);
    this->client = (h2o_http1client_ctx_t){
        .loop = loop->h2o,
        .getaddr_receiver = &this->getaddr,
        .io_timeout = &this->io_timeout,
    };
}

static void
upstream_free(struct MpUpstream *this)
{
    MpLoop_ClearTimer(&this->connect_timer);
    g_byte_array_unref(this->request);
    g_free(this);
}

/* Ends the request; h2o frees the client. */
static void
finish(struct MpUpstream *this, enum MpUpstreamResult result)
{
    this->client = NULL;
    if (!this->is_cancelled) {
        this->is_in_callback = true;
        this->klass->end(this->owner, result);
    }
    upstream_free(this);
}

static int
on_body(h2o_http1client_t *client, const char *error)
{
    struct MpUpstream *this = client->data;
    h2o_buffer_t **input = &client->sock->input;
    this->is_in_callback = true;
    if ((*input)->size > 0 && !this->is_cancelled) {
        this->klass->body(this->owner, (*input)->bytes, (*input)->size);
    }
    h2o_buffer_consume(input, (*input)->size);
    this->is_in_callback = false;
    if (error) {
        bool is_complete =
            error == h2o_http1client_error_is_eos && this->is_framed;
        finish(this,
               is_complete ? MP_UPSTREAM_COMPLETE : MP_UPSTREAM_INCOMPLETE);
        return 0;
    }
    if (this->is_cancelled) {
        upstream_free(this);
        return -1;
    }
    return 0;
}

/* Returns the number of headers that tell where the body ends. */
static uint32_t
count_framings(const h2o_header_t *headers, size_t count)
{
    uint32_t framings = 0;
    for (size_t i = 0; i < count; i++) {
        if (h2o_memis(headers[i].name->base, headers[i].name->len,
                      H2O_STRLIT("content-length")) ||
            h2o_memis(headers[i].name->base, headers[i].name->len,
                      H2O_STRLIT("transfer-encoding"))) {
            framings++;
        }
    }
    return framings;
}

static h2o_http1client_body_cb
on_head(h2o_http1client_t *client, const char *error, int minor_version,
        int status, h2o_iovec_t message, h2o_header_t *headers, size_t count,
        int head_size)
{
    struct MpUpstream *this = client->data;
    (void)minor_version;
    (void)message;
    (void)head_size;
    if (error && error != h2o_http1client_error_is_eos) {
        finish(this, MP_UPSTREAM_INCOMPLETE);
        return NULL;
    }
    bool has_no_body = MpBodyLength_HasNoBody(this->is_head, status);
    uint32_t framings = count_framings(headers, count);
    if (framings > 1) {
        /* h2o takes the last of several lengths. */
        finish(this, MP_UPSTREAM_INCOMPLETE);
        return NULL;
    }
    this->is_framed = has_no_body || framings > 0;
    this->is_in_callback = true;
    this->klass->head(this->owner, status, headers, count);
    this->is_in_callback = false;
    if (error || (has_no_body && !this->is_cancelled)) {
        finish(this, this->is_framed ? MP_UPSTREAM_COMPLETE
                                     : MP_UPSTREAM_INCOMPLETE);
        return NULL;
    }
    if (this->is_cancelled) {
        upstream_free(this);
        return NULL;
    }
    return on_body;
}

static h2o_http1client_head_cb
on_connect(h2o_http1client_t *client, const char *error, h2o_iovec_t **buffers,
           size_t *count, int *is_head)
{
    struct MpUpstream *this = client->data;
    MpLoop_ClearTimer(&this->connect_timer);
    if (error) {
        finish(this, MP_UPSTREAM_NOT_SENT);
        return NULL;
    }
    this->is_sent = true;
    this->vector = h2o_iovec_init(this->request->data, this->request->len);
    *buffers = &this->vector;
    *count = 1;
    *is_head = this->is_head;
    return on_head;
}

static void
on_connect_timeout(struct MpTimer *timer)
{
    struct MpUpstream *this = timer->data;
    h2o_http1client_cancel(this->client);
    finish(this, MP_UPSTREAM_NOT_SENT);
}

struct MpUpstream *
MpUpstream_Start(struct MpUpstreamContext *context,
                 const struct MpUpstreamClass *klass, void *owner,
                 const char *address, const char *method, GByteArray *request)
{
    struct MpUpstream *this = g_new0(struct MpUpstream, 1);
    struct sockaddr_in addr;
    const char *colon = strrchr(address, ':');
    this->klass = klass;
    this->owner = owner;
    this->context = context;
    this->request = request;
    this->is_head = strcmp(method, "HEAD") == 0;
    MpLoop_ParseAddress(address, &addr);
    MpLoop_SetTimer(context->loop, &this->connect_timer, CONNECT_TIMEOUT_MS,
                    on_connect_timeout, this);
    h2o_http1client_connect(&this->client, this, &context->client,
                            h2o_iovec_init(address, (size_t)(colon - address)),
                            ntohs(addr.sin_port), 0, on_connect);
    return this;
}

void
MpUpstream_Cancel(struct MpUpstream *this)
{
    if (this->is_in_callback) {
        this->is_cancelled = true;
        return;
    }
    if (this->client) {
        h2o_http1client_cancel(this->client);
    }
    upstream_free(this);
}

void
MpUpstream_Pause(struct MpUpstream *this)
{
    if (!this->client || !this->client->sock || this->paused_read) {
        return;
    }
    this->paused_read = this->client->sock->_cb.read;
    h2o_socket_read_stop(this->client->sock);
}

void
MpUpstream_Resume(struct MpUpstream *this)
{
    if (!this->paused_read || !this->client) {
        return;
    }
    h2o_socket_cb callback = this->paused_read;
    this->paused_read = NULL;
    h2o_socket_read_start(this->client->sock, callback);
}
