#include "transport/CallerResponse.h"

#include "transport/HttpServer.h"
#include "transport/Log.h"
#include "transport/Loop.h"

#include <inttypes.h>
#include <sys/socket.h>

/* A buffer of this size or more is freed when it is empty, bytes. */
#define BUFFER_KEPT_BYTES 16384
/* Bytes that may wait at the target's connection while it is not read. */
#define UNREAD_BYTES 65536

/* Counts what the caller has not taken. */
static void
count_memory(struct MpCallerResponse *this)
{
    int64_t bytes = (int64_t)this->pending->len + this->sending->len;
    if (this->pending->len > MP_RESPONSE_HIGH_BYTES) {
        bytes += UNREAD_BYTES;
    }
    if (bytes != this->memory.held_bytes) {
        MpMemoryAccount_Set(this->account, &this->memory, bytes, MpLoop_Now());
    }
}

/* Closes the connection of a caller for the room that its response takes. */
static void
close_for_memory(struct MpMemoryHolder *holder)
{
    struct MpCallerResponse *this = holder->owner;
    MpLog_Event(LOG_NOTICE, "response-over-memory",
                "id=%s bytes=%" PRId64 " silent_ms=%" PRId64
                " held_bytes=%" PRId64 " limit_bytes=%" PRId64,
                this->id ? this->id : "-", holder->held_bytes,
                MpLoop_Now() - holder->progress_ms, this->account->held_bytes,
                this->account->limit_bytes);
    if (this->req) {
        MpHttp_NoteEnd(this->req, MP_HTTP_CUT);
        MpCallerResponse_Close(this);
    }
}

static void
empty(GByteArray **array)
{
    if ((*array)->len < BUFFER_KEPT_BYTES) {
        g_byte_array_set_size(*array, 0);
        return;
    }
    g_byte_array_unref(*array);
    *array = g_byte_array_new();
}

/* Passes the buffered data to h2o.  The owner may be freed afterwards. */
static void
flush(struct MpCallerResponse *this)
{
    if (!this->req || !this->is_started || this->is_held ||
        this->is_handed_over || this->sending->len > 0 ||
        (this->pending->len == 0 && !this->is_output_closed)) {
        return;
    }
    GByteArray *full = this->pending;
    this->pending = this->sending;
    this->sending = full;
    h2o_iovec_t buffer = {.base = (char *)full->data, .len = full->len};
    h2o_req_t *req = this->req;
    h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
    if (this->is_output_closed && !this->is_aborted) {
        this->is_handed_over = true;
        state = H2O_SEND_STATE_FINAL;
        MpHttp_NoteEnd(req, MP_HTTP_ANSWERED);
    }
    else if (this->is_output_closed && full->len == 0) {
        this->is_handed_over = true;
        MpHttp_Abort(req);
        return;
    }
    h2o_send(req, &buffer, full->len > 0 ? 1 : 0, state);
}

static void
on_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
    struct MpCallerResponse *this =
        ((struct MpResponseLink *)generator)->response;
    (void)req;
    if (!this) {
        return;
    }
    empty(&this->sending);
    count_memory(this);
    if (this->pending->len <= MP_RESPONSE_LOW_BYTES) {
        this->klass->writable(this->owner);
    }
    flush(this);
}

/* Called when h2o is done with the request: it was answered, or its caller has
 * disconnected. */
static void
detach(struct MpResponseLink *link)
{
    struct MpCallerResponse *this = link->response;
    if (!this) {
        return;
    }
    link->response = NULL;
    this->req = NULL;
    this->link = NULL;
    /* Nobody gets the rest. */
    empty(&this->pending);
    empty(&this->sending);
    count_memory(this);
    if (this->is_output_closed) {
        this->klass->sent(this->owner);
        return;
    }
    this->klass->disconnected(this->owner);
}

static void
on_stop(h2o_generator_t *generator, h2o_req_t *req)
{
    (void)req;
    detach((struct MpResponseLink *)generator);
}

static void
on_request_freed(void *data)
{
    detach(data);
}

void
MpCallerResponse_Init(struct MpCallerResponse *this,
                      const struct MpCallerResponseClass *klass, void *owner,
                      h2o_req_t *req, struct MpMemoryAccount *account)
{
    struct MpResponseLink *link =
        h2o_mem_alloc_shared(&req->pool, sizeof(*link), on_request_freed);
    *link = (struct MpResponseLink){
        .super = {.proceed = on_proceed, .stop = on_stop}, .response = this};
    *this = (struct MpCallerResponse){.klass = klass,
                                      .owner = owner,
                                      .req = req,
                                      .link = link,
                                      .account = account,
                                      .memory = {.use = MP_MEMORY_SENDING,
                                                 .close = close_for_memory,
                                                 .owner = this}};
    this->pending = g_byte_array_new();
    this->sending = g_byte_array_new();
}

void
MpCallerResponse_Done(struct MpCallerResponse *this)
{
    if (this->link) {
        this->link->response = NULL;
    }
    MpMemoryAccount_Set(this->account, &this->memory, 0, MpLoop_Now());
    g_byte_array_unref(this->pending);
    g_byte_array_unref(this->sending);
}

void
MpCallerResponse_Start(struct MpCallerResponse *this, int status, size_t size)
{
    this->is_started = true;
    this->status = status;
    this->length = (struct MpBodyLength){.announced = size};
    if (this->req && !this->is_held) {
        MpBodyLength_Start(&this->length, this->req, &this->link->super,
                           status, size);
    }
}

void
MpCallerResponse_Hold(struct MpCallerResponse *this)
{
    this->is_held = true;
}

void
MpCallerResponse_LetGo(struct MpCallerResponse *this)
{
    bool was_held = this->is_held;
    this->is_held = false;
    if (was_held && this->is_started) {
        MpCallerResponse_Start(this, this->status, this->length.announced);
        flush(this);
    }
}

bool
MpCallerResponse_IsHeld(const struct MpCallerResponse *this)
{
    return this->is_held;
}

void
MpCallerResponse_DropHeld(struct MpCallerResponse *this)
{
    this->is_held = false;
    this->is_started = false;
    empty(&this->pending);
    count_memory(this);
}

void
MpCallerResponse_Write(struct MpCallerResponse *this, const void *data,
                       size_t size)
{
    if (!this->req || size == 0 || this->is_output_closed ||
        this->length.has_no_body) {
        return;
    }
    if (!MpBodyLength_Add(&this->length, this->id, size)) {
        MpCallerResponse_Abort(this);
        return;
    }
    g_byte_array_append(this->pending, data, (guint)size);
    count_memory(this);
    flush(this);
}

void
MpCallerResponse_Finish(struct MpCallerResponse *this)
{
    if (this->is_output_closed) {
        return;
    }
    if (this->req && !MpBodyLength_CheckEnd(&this->length, this->id)) {
        MpCallerResponse_Abort(this);
        return;
    }
    this->is_output_closed = true;
    flush(this);
}

static h2o_socket_t *
socket_of(const struct MpCallerResponse *this)
{
    return this->req->conn->callbacks->get_socket(this->req->conn);
}

void
MpCallerResponse_Abort(struct MpCallerResponse *this)
{
    if (!this->is_output_closed) {
        this->is_output_closed = true;
        this->is_aborted = true;
        flush(this);
    }
}

void
MpCallerResponse_Close(struct MpCallerResponse *this)
{
    if (this->req) {
        /* h2o sees the end of the connection and frees the request. */
        shutdown(h2o_socket_get_fd(socket_of(this)), SHUT_RDWR);
    }
}

h2o_req_t *
MpCallerResponse_Release(struct MpCallerResponse *this)
{
    h2o_req_t *req = this->req;
    if (this->link) {
        this->link->response = NULL;
    }
    this->req = NULL;
    this->link = NULL;
    return req;
}

bool
MpCallerResponse_IsDisconnected(const struct MpCallerResponse *this)
{
    return !this->req || MpHttp_IsDisconnected(this->req);
}
