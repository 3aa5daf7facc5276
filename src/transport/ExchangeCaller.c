#include "transport/Exchange.h"

#include "transport/ErrorBody.h"
#include "transport/HopHeaders.h"
#include "transport/Log.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

/* The caller's side of an exchange: sending responses and errors. */

/* Reading from the target pauses when more than the high mark is unsent to a
 * slow caller, and resumes at the low mark. */
#define UNSENT_HIGH_BYTES 65536
#define UNSENT_LOW_BYTES 16384

/* ---- sending ---- */

/* The caller has read nothing for as long as a connection may be idle. */
static void
on_caller_stalled(struct MpTimer *timer)
{
    struct MpExchange *this = timer->data;
    MpLog_Event(LOG_NOTICE, "caller-stalled", "id=%s unsent=%u",
                this->request_id, this->unsent->len);
    MpExchange_NoteEnd(this, "cut", MP_ERROR_STREAM_CUT);
    /* h2o sees the end of the connection and stops the response. */
    shutdown(h2o_socket_get_fd(
                 this->req->conn->callbacks->get_socket(this->req->conn)),
             SHUT_RDWR);
}

/* The target is not read for now, so that its silence means nothing. */
static void
pause_target(struct MpExchange *this)
{
    if (this->is_caller_slow) {
        return;
    }
    MpUpstream_Pause(this->upstream);
    this->is_caller_slow = true;
    this->silence_left_ms = this->timer.at_ms - MpLoop_Now();
    MpLoop_SetTimer(this->router->loop, &this->timer,
                    this->document->limits.idle_timeout_ms, on_caller_stalled,
                    this);
}

static void
resume_target(struct MpExchange *this)
{
    if (this->upstream && this->is_caller_slow &&
        this->unsent->len <= UNSENT_LOW_BYTES) {
        this->is_caller_slow = false;
        MpUpstream_Resume(this->upstream);
        MpExchange_ExpectToken(this, MAX(this->silence_left_ms, 0));
    }
}

/* Passes unsent data to h2o.  In MP_STAGE_ENDED, sending the last part may
 * free the exchange, which must not be used afterwards. */
static void
flush(struct MpExchange *this)
{
    if (!this->req || !this->is_head_sent || this->sending->len > 0) {
        return;
    }
    if (this->unsent->len == 0 && !this->is_output_closed) {
        return;
    }
    GByteArray *chunk = this->unsent;
    this->unsent = this->sending;
    this->sending = chunk;
    h2o_iovec_t buffer = {.base = (char *)chunk->data, .len = chunk->len};
    h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
    h2o_req_t *req = this->req;
    if (this->is_output_closed && this->is_aborted && chunk->len == 0) {
        MpHttp_Abort(req);
        return;
    }
    if (this->is_output_closed && this->unsent->len == 0 &&
        !this->is_aborted) {
        state = H2O_SEND_STATE_FINAL;
        MpHttp_NoteEnd(req, MP_HTTP_ANSWERED);
    }
    h2o_send(req, &buffer, chunk->len > 0 ? 1 : 0, state);
}

/* Frees a large buffer; an array keeps its memory when its size is set. */
static void
empty_sending(struct MpExchange *this)
{
    if (this->sending->len < UNSENT_LOW_BYTES) {
        g_byte_array_set_size(this->sending, 0);
        return;
    }
    g_byte_array_unref(this->sending);
    this->sending = g_byte_array_new();
}

static void
on_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
    struct MpExchange *this = ((struct MpCallerLink *)generator)->exchange;
    (void)req;
    if (this) {
        empty_sending(this);
        MpExchange_CountMemory(this);
        resume_target(this);
        flush(this);
    }
}

static void
detach(struct MpCallerLink *link)
{
    struct MpExchange *exchange = link->exchange;
    if (exchange) {
        link->exchange = NULL;
        MpExchange_CallerDisconnected(exchange);
    }
}

static void
on_stop(h2o_generator_t *generator, h2o_req_t *req)
{
    (void)req;
    detach((struct MpCallerLink *)generator);
}

static void
on_request_freed(void *data)
{
    detach(data);
}

void
MpExchange_AttachCaller(struct MpExchange *this, h2o_req_t *req)
{
    struct MpCallerLink *link =
        h2o_mem_alloc_shared(&req->pool, sizeof(*link), on_request_freed);
    *link = (struct MpCallerLink){
        .super = {.proceed = on_proceed, .stop = on_stop}, .exchange = this};
    this->req = req;
    this->caller = link;
}

/* ---- refusals ---- */

static void
add_common_headers(h2o_req_t *req, const char *run, const char *request_id,
                   int64_t retry_after_ms)
{
    char seconds[24];
    if (request_id) {
        MpHttp_AddHeader(req, "x-mimosapath-request", request_id);
    }
    MpHttp_AddHeader(req, MP_RUN_HEADER, run);
    if (retry_after_ms > 0) {
        g_snprintf(seconds, sizeof(seconds), "%" PRId64,
                   (retry_after_ms + 999) / 1000);
        MpHttp_AddHeader(req, "retry-after", seconds);
    }
}

void
MpExchange_SendError(h2o_req_t *req, int code, const char *detail,
                     const char *request_id, int64_t retry_after_ms,
                     bool may_have_run)
{
    const char *run = MpErrorBody_RunName(code, may_have_run);
    char *text = MpErrorBody_Format(code, detail, run);
    add_common_headers(req, run, request_id, retry_after_ms);
    MpHttp_Send(req, MpError_Info(code)->http_status, "application/json", text,
                strlen(text));
    g_free(text);
}

void
MpExchange_Refuse(struct MpExchange *this, int code, const char *detail,
                  int64_t retry_after_ms)
{
    h2o_req_t *req = this->req;
    MpMetrics_Count(&this->router->metrics, "mimosapath_refused_total",
                    "cause", MpError_Name(code), 1);
    if (!req || this->is_output_closed) {
        return;
    }
    /* h2o gets the whole response at once and makes no calls that need the
     * exchange. */
    MpExchange_NoteEnd(this, "refused", code);
    this->is_output_closed = true;
    this->caller->exchange = NULL;
    this->req = NULL;
    this->caller = NULL;
    MpExchange_SendError(req, code, detail, this->request_id, retry_after_ms,
                         this->may_have_run || this->was_sent);
}

/* ---- responses ---- */

void
MpExchange_StartResponse(struct MpExchange *this, int32_t status,
                         const char *content_type, size_t size)
{
    this->is_head_sent = true;
    if (!this->req) {
        return;
    }
    if (content_type[0]) {
        MpHttp_AddHeader(this->req, "content-type", content_type);
    }
    MpHttp_AddHeader(this->req, "x-mimosapath-request", this->request_id);
    for (guint i = 0; i + 1 < this->headers->len; i += 2) {
        const char *name = g_ptr_array_index(this->headers, i);
        const char *value = g_ptr_array_index(this->headers, i + 1);
        MpHopHeaders_Forward(this->req, NULL,
                             h2o_iovec_init(name, strlen(name)),
                             h2o_iovec_init(value, strlen(value)));
    }
    MpBodyLength_Start(&this->length, this->req, &this->caller->super, status,
                       size);
}

/* Returns whether so much more may be written; ends a response that would be
 * longer than announced. */
static bool
may_write(struct MpExchange *this, size_t size)
{
    if (!this->req || size == 0 || this->length.has_no_body ||
        this->is_output_closed) {
        return false;
    }
    if (!MpBodyLength_Add(&this->length, this->request_id, size)) {
        MpExchange_NoteEnd(this, "cut", MP_ERROR_TARGET_FAILED);
        this->is_output_closed = true;
        this->is_aborted = true;
        flush(this);
        return false;
    }
    return true;
}

void
MpExchange_WriteKept(struct MpExchange *this)
{
    if (this->unsent->len > 0) {
        MpExchange_Write(this, this->response->data, this->response->len);
    }
    else if (may_write(this, this->response->len)) {
        GByteArray *kept = this->response;
        this->response = this->unsent;
        this->unsent = kept;
        MpExchange_CountMemory(this);
        flush(this);
    }
    MpExchange_DropResponse(this);
}

void
MpExchange_Write(struct MpExchange *this, const void *data, size_t size)
{
    if (!may_write(this, size)) {
        return;
    }
    g_byte_array_append(this->unsent, data, (guint)size);
    MpExchange_CountMemory(this);
    flush(this);
    if (this->upstream && this->unsent->len > UNSENT_HIGH_BYTES) {
        pause_target(this);
    }
}

void
MpExchange_FinishResponse(struct MpExchange *this)
{
    if (this->is_output_closed) {
        return;
    }
    this->is_output_closed = true;
    if (this->req && !MpBodyLength_CheckEnd(&this->length, this->request_id)) {
        MpExchange_NoteEnd(this, "cut", MP_ERROR_TARGET_FAILED);
        this->is_aborted = true;
    }
    MpExchange_NoteEnd(this, "answered", MP_OK);
    flush(this);
}

void
MpExchange_AbortResponse(struct MpExchange *this, int code)
{
    if (this->is_output_closed) {
        return;
    }
    if (!this->is_head_sent) {
        this->is_aborted = true;
        MpExchange_Refuse(this, code, NULL, 0);
        return;
    }
    this->is_aborted = true;
    MpExchange_NoteEnd(this, "cut", code);
    MpMetrics_Count(&this->router->metrics, "mimosapath_cut_total", "cause",
                    MpError_Name(code), 1);
    /* Only streams begin before their target has finished, and they are sent
     * by whole events. */
    char *text = MpErrorBody_Format(code, NULL, "unknown");
    char *event = g_strdup_printf("data: %s\n\n", text);
    MpExchange_Write(this, event, strlen(event));
    g_free(event);
    g_free(text);
    this->is_output_closed = true;
    flush(this);
}
