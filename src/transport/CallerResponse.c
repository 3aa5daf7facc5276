#include "transport/CallerResponse.h"

#include "transport/HttpServer.h"

#include <errno.h>
#include <sys/socket.h>

/* Hands over what waits.  The owner may be gone afterwards. */
static void
flush(struct MpCallerAnswer *this)
{
    if (!this->req || !this->is_started || this->is_handed_over ||
        this->sending->len > 0 || (this->out->len == 0 && !this->is_last)) {
        return;
    }
    GByteArray *full = this->out;
    this->out = this->sending;
    this->sending = full;
    h2o_iovec_t buffer = {.base = (char *)full->data, .len = full->len};
    h2o_req_t *req = this->req;
    h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
    if (this->is_last && !this->is_aborted) {
        this->is_handed_over = true;
        state = H2O_SEND_STATE_FINAL;
    }
    else if (this->is_last && full->len == 0) {
        this->is_handed_over = true;
        MpHttp_Abort(req);
        return;
    }
    h2o_send(req, &buffer, full->len > 0 ? 1 : 0, state);
}

static void
on_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
    struct MpCallerAnswer *this = ((struct MpAnswerLink *)generator)->answer;
    (void)req;
    if (!this) {
        return;
    }
    g_byte_array_set_size(this->sending, 0);
    if (this->out->len <= MP_ANSWER_LOW_BYTES) {
        this->klass->drained(this->owner);
    }
    flush(this);
}

/* h2o is done with the request: it was answered, or its caller is gone. */
static void
detach(struct MpAnswerLink *link)
{
    struct MpCallerAnswer *this = link->answer;
    if (!this) {
        return;
    }
    link->answer = NULL;
    this->req = NULL;
    this->link = NULL;
    if (this->is_last) {
        this->klass->sent(this->owner);
        return;
    }
    this->klass->gone(this->owner);
}

static void
on_stop(h2o_generator_t *generator, h2o_req_t *req)
{
    (void)req;
    detach((struct MpAnswerLink *)generator);
}

static void
on_request_freed(void *data)
{
    detach(data);
}

void
MpCallerAnswer_Init(struct MpCallerAnswer *this,
                    const struct MpCallerAnswerClass *klass, void *owner,
                    h2o_req_t *req)
{
    struct MpAnswerLink *link =
        h2o_mem_alloc_shared(&req->pool, sizeof(*link), on_request_freed);
    *link = (struct MpAnswerLink){
        .super = {.proceed = on_proceed, .stop = on_stop}, .answer = this};
    *this = (struct MpCallerAnswer){
        .klass = klass, .owner = owner, .req = req, .link = link};
    this->out = g_byte_array_new();
    this->sending = g_byte_array_new();
}

void
MpCallerAnswer_Done(struct MpCallerAnswer *this)
{
    if (this->link) {
        this->link->answer = NULL;
    }
    g_byte_array_unref(this->out);
    g_byte_array_unref(this->sending);
}

void
MpCallerAnswer_Start(struct MpCallerAnswer *this, int status, size_t size)
{
    this->is_started = true;
    if (!this->req) {
        return;
    }
    this->req->res.status = status;
    this->req->res.reason = "Answer";
    this->req->res.content_length = size;
    h2o_start_response(this->req, &this->link->super);
}

void
MpCallerAnswer_Write(struct MpCallerAnswer *this, const void *data,
                     size_t size)
{
    if (this->req && size > 0) {
        g_byte_array_append(this->out, data, (guint)size);
        flush(this);
    }
}

void
MpCallerAnswer_Finish(struct MpCallerAnswer *this)
{
    if (!this->is_last) {
        this->is_last = true;
        flush(this);
    }
}

static h2o_socket_t *
socket_of(const struct MpCallerAnswer *this)
{
    return this->req->conn->callbacks->get_socket(this->req->conn);
}

void
MpCallerAnswer_Abort(struct MpCallerAnswer *this)
{
    if (!this->is_last) {
        this->is_last = true;
        this->is_aborted = true;
        flush(this);
    }
}

void
MpCallerAnswer_Close(struct MpCallerAnswer *this)
{
    if (this->req) {
        /* h2o notes the end of the connection and lets go of the request. */
        shutdown(h2o_socket_get_fd(socket_of(this)), SHUT_RDWR);
    }
}

h2o_req_t *
MpCallerAnswer_Release(struct MpCallerAnswer *this)
{
    h2o_req_t *req = this->req;
    if (this->link) {
        this->link->answer = NULL;
    }
    this->req = NULL;
    this->link = NULL;
    return req;
}

bool
MpCallerAnswer_IsCallerGone(const struct MpCallerAnswer *this)
{
    char byte;
    if (!this->req) {
        return true;
    }
    ssize_t got = recv(h2o_socket_get_fd(socket_of(this)), &byte, 1,
                       MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK &&
                        errno != EINTR);
}
