#include "transport/Exchange.h"

#include "protocol/Dialect.h"
#include "protocol/EventStream.h"
#include "state/Machine.h"
#include "transport/HopHeaders.h"
#include "transport/Log.h"
#include "transport/TargetNotice.h"
#include "transport/TargetPoller.h"

#include <inttypes.h>
#include <string.h>

/* The target's side of an exchange: attempts, retries and responses. */

#define ATTEMPTS_MAX 3

static const struct MpUpstreamClass attempt_class;

static void fail_attempt(struct MpExchange *this, bool is_sent);

/* ---- timers ---- */

static void
on_silence_timeout(struct MpTimer *timer)
{
    struct MpExchange *this = timer->data;
    MpMetrics_Count(&this->router->metrics, "mimosapath_silent_total", NULL,
                    NULL, 1);
    MpExchange_FailAttempt(this);
}

static void
arm_silence_timer(struct MpExchange *this, int64_t wait_ms)
{
    MpLoop_SetTimer(this->router->loop, &this->timer, wait_ms,
                    on_silence_timeout, this);
}

void
MpExchange_ExpectToken(struct MpExchange *this, int64_t wait_ms)
{
    if (this->is_caller_slow) {
        this->silence_left_ms = wait_ms;
        return;
    }
    arm_silence_timer(this, wait_ms);
}

static int64_t
first_wait_ms(const struct MpExchange *this)
{
    if (!this->is_chat) {
        return this->service->timeout_ms;
    }
    if (this->chat.is_stream) {
        return this->model->first_token_ms;
    }
    /* A plain response starts only after its last token was generated. */
    return this->model->first_token_ms +
           MpChat_TokenLimit(&this->chat, this->model) *
               this->model->between_tokens_ms;
}

/* ---- the request to the target ---- */

static const char *
target_path(const struct MpExchange *this)
{
    if (this->is_chat) {
        return this->path;
    }
    const char *rest =
        this->path + strlen("/services/") + strlen(this->queue_name);
    return rest[0] == '/' ? rest : "/";
}

/* Returns the request, for a service without its body. */
static GByteArray *
build_request(const struct MpExchange *this)
{
    char *chat_body =
        this->is_chat
            ? MpChat_EngineBody(
                  &this->chat, this->model, this->sent_tokens,
                  MpPriorityClass_Names[this->workspace_conf->priority])
            : NULL;
    size_t size = chat_body ? strlen(chat_body) : this->body->size;
    char *head = g_strdup_printf(
        "%s %s HTTP/1.1\r\nhost: %s\r\nconnection: close\r\n"
        "content-type: %s\r\ncontent-length: %zu\r\n"
        "x-mimosapath-request: %s\r\nidempotency-key: %s:%s\r\n"
        "x-mimosapath-workspace: %s\r\n\r\n",
        this->method, target_path(this), this->target->address,
        chat_body ? "application/json"
                  : (this->body_type ? this->body_type : "text/plain"),
        size, this->request_id, this->workspace, this->key, this->workspace);
    GByteArray *request = g_byte_array_new();
    g_byte_array_append(request, (const guint8 *)head, (guint)strlen(head));
    if (chat_body) {
        g_byte_array_append(request, (const guint8 *)chat_body, (guint)size);
    }
    g_free(head);
    g_free(chat_body);
    return request;
}

static struct MpTargetNotice
notice_of(const struct MpExchange *this, int64_t sent_ms)
{
    return (struct MpTargetNotice){.id = this->request_id,
                                   .target = this->target->name,
                                   .pool = this->queue_name,
                                   .sent_ms = sent_ms,
                                   .received_ms = MpLoop_Now()};
}

static void retry_at_other_target(struct MpExchange *this, bool is_sent);

void
MpExchange_StartAttempt(struct MpExchange *this)
{
    if (this->target->is_zone_drained) {
        /* Since the target was picked, while the record was opened. */
        MpExchange_EndAttempt(this, MP_ATTEMPT_CANCELLED);
        retry_at_other_target(this, false);
        return;
    }
    const struct MpTargetNotice notice = notice_of(this, MpLoop_Now());
    this->stage = MP_STAGE_RUNNING;
    this->sent_ms = notice.received_ms;
    this->is_pause_answer = false;
    this->is_caller_slow = false;
    MpTargetNotice_Sent(&notice, &this->target->pause);
    this->attempts++;
    this->is_stream = false;
    this->has_done_event = false;
    this->status = 0;
    MpExchange_DropResponse(this);
    MpSse_Done(&this->sse);
    MpSse_Init(&this->sse);
    g_free(this->target_boot);
    this->target_boot =
        MpTargetPoller_GetBoot(this->router->poller, this->target->name);
    if (this->is_chat) {
        MpTarget_NoteBlocks(this->target, this->blocks, this->block_count);
    }
    arm_silence_timer(this, first_wait_ms(this));
    this->upstream = MpUpstream_Start(
        this->router->loop, &this->router->gateway.dialer, &this->regions,
        &attempt_class, this, this->target->address, this->method,
        build_request(this), this->is_chat ? NULL : this->body);
}

void
MpExchange_EndAttempt(struct MpExchange *this, enum MpAttemptOutcome outcome)
{
    MpLoop_ClearTimer(&this->timer);
    if (this->upstream) {
        MpUpstream_Cancel(this->upstream);
        this->upstream = NULL;
    }
    if (this->target) {
        MpTarget_Finish(&this->router->picker, this->target, outcome,
                        MpLoop_Now());
        this->target = NULL;
        MpRouter_ScheduleDispatch(this->router);
    }
}

/* ---- failures ---- */

static bool
may_retry(struct MpExchange *this)
{
    bool can_resume = !this->is_head_sent || this->model->may_resume;
    return this->attempts < ATTEMPTS_MAX && can_resume &&
           MpLimits_TakeRetry(&this->router->limits, this->workspace);
}

/* Ends a request for which no further attempt is made. */
static void
fail_request(struct MpExchange *this, int code)
{
    if (!this->was_sent) {
        MpExchange_Refuse(this, MP_ERROR_NO_TARGET, NULL,
                          MpExchange_RetryAfter(this, 1000));
        this->is_aborted = true;
        MpExchange_Settle(this, MP_RECORD_NOT_RUN, 0);
        return;
    }
    MpExchange_AbortResponse(this, code);
    this->is_aborted = true;
    MpExchange_Settle(
        this, this->at_most_once ? MP_RECORD_UNKNOWN : MP_RECORD_CANCELLED,
        this->is_head_sent ? MpExchange_Price(this) : 0);
}

void
MpExchange_StopAttempt(struct MpExchange *this)
{
    if (!this->upstream) {
        /* A failed attempt is being looked into; its reply ends the
         * request. */
        MpExchange_AbortResponse(this, MP_ERROR_OUTCOME_UNKNOWN);
        return;
    }
    this->was_sent = true;
    MpExchange_EndAttempt(this, MP_ATTEMPT_CANCELLED);
    fail_request(this, MP_ERROR_OUTCOME_UNKNOWN);
}

static void
retry_at_other_target(struct MpExchange *this, bool is_sent)
{
    int code = MP_ERROR_NO_TARGET;
    bool may_run_again = !is_sent || !this->at_most_once;
    if (may_run_again && MpExchange_HasCaller(this) && !this->is_stopping &&
        may_retry(this)) {
        this->target = MpRouter_Pick(this->router, this, &code);
    }
    if (!this->target) {
        fail_request(this, this->is_head_sent ? MP_ERROR_STREAM_CUT
                                              : MP_ERROR_TARGET_FAILED);
        return;
    }
    MpMetrics_Count(&this->router->metrics, "mimosapath_retries_total",
                    "workspace", this->workspace, 1);
    MpTarget_Start(this->target);
    MpExchange_StartAttempt(this);
}

/* Reply to a reported crash.  The request may have crashed the target, so it
 * goes to another target only after the quorum has counted the crash and the
 * number of crashes in the whole fleet allows it. */
static void
on_crash_reported(void *data, int code, const struct mp_result *result)
{
    struct MpExchange *this = data;
    if (code != MP_OK) {
        fail_request(this, MP_ERROR_TARGET_FAILED);
        return;
    }
    if (result->number >= MP_POISON_CRASHES) {
        fail_request(this, MP_ERROR_POISON);
        return;
    }
    /* amount_mtok is the number of other open requests with this body: each
     * of them may crash a target too. */
    if ((int64_t)result->number + result->amount_mtok >= MP_POISON_CRASHES) {
        fail_request(this, MP_ERROR_HELD_BACK);
        return;
    }
    retry_at_other_target(this, true);
}

static void
report_crash(struct MpExchange *this, const char *target)
{
    struct mp_command command = {.body = {.kind = MP_CMD_POISON}};
    struct mp_poison *poison = &command.body.mp_command_body_u.poison;
    poison->target = (char *)target;
    poison->workspace = this->workspace;
    poison->key = this->key;
    poison->open_id = this->open_id;
    memcpy(poison->body_hash, this->body_hash, MP_HASH_BYTES);
    MpControlClient_Propose(&this->router->control, &command,
                            MpLoop_Now() + 2000, on_crash_reported, this);
}

static void
on_probed(void *data, bool has_crashed)
{
    struct MpExchange *this = data;
    const char *name = g_ptr_array_index(this->tried, this->tried->len - 1);
    if (has_crashed) {
        report_crash(this, name);
        return;
    }
    retry_at_other_target(this, true);
}

static void
fail_attempt(struct MpExchange *this, bool is_sent)
{
    struct MpTarget *target = this->target;
    g_ptr_array_add(this->tried, g_strdup(target->name));
    this->upstream = NULL;
    this->was_sent = this->was_sent || is_sent;
    MpExchange_DropResponse(this);
    MpExchange_EndAttempt(this, this->is_pause_answer ? MP_ATTEMPT_CANCELLED
                                                      : MP_ATTEMPT_FAILED);
    MpMetrics_Count(&this->router->metrics, "mimosapath_attempt_failed_total",
                    "target", target->name, 1);
    if (!is_sent) {
        retry_at_other_target(this, false);
        return;
    }
    /* As in GatewayAttempt.c. */
    if (target->is_zone_drained) {
        retry_at_other_target(this, true);
        return;
    }
    MpTargetPoller_Probe(this->router->poller, target->name, this->target_boot,
                         on_probed, this);
}

void
MpExchange_FailAttempt(struct MpExchange *this)
{
    MpUpstream_Cancel(this->upstream);
    fail_attempt(this, true);
}

/* ---- responses of the target ---- */

static void
log_not_resumed(const struct MpExchange *this, const char *reason)
{
    char *escaped = MpEventStream_EscapeType(this->content_type,
                                             strlen(this->content_type));
    MpLog_Event(LOG_WARNING, "stream-not-resumed",
                "id=%s target=%s status=%d type=\"%s\" tokens=%" PRId64
                " reason=%s",
                this->request_id, this->target->name, this->status, escaped,
                this->sent_tokens, reason);
    g_free(escaped);
}

/* Keeps the headers to forward, but the content type, which is recorded with
 * the response. */
static void
keep_headers(struct MpExchange *this, const struct MpTargetHead *head)
{
    size_t size;
    const char *value = MpTargetHead_Find(head, "connection", &size);
    char *connection = value ? g_strndup(value, size) : NULL;
    g_ptr_array_set_size(this->headers, 0);
    for (size_t i = 0; i < head->count; i++) {
        const struct MpTargetHeader *header = &head->headers[i];
        char *name = g_ascii_strdown(header->name, (gssize)header->name_size);
        if (strcmp(name, "content-type") == 0 ||
            strcmp(name, "x-mimosapath-request") == 0 ||
            MpHopHeaders_Contains(connection, name, header->name_size)) {
            g_free(name);
            continue;
        }
        g_ptr_array_add(this->headers, name);
        g_ptr_array_add(this->headers,
                        g_strndup(header->value, header->value_size));
    }
    g_free(connection);
}

/* Applies what the target says of itself, unless it has started again since
 * the request was sent. */
static void
read_notices(struct MpExchange *this, const struct MpTargetHead *head)
{
    const struct MpTargetHeaders *names = &MpDialect_Native.target;
    const struct MpTargetNotice notice = notice_of(this, this->sent_ms);
    char *boot =
        MpTargetPoller_GetBoot(this->router->poller, this->target->name);
    bool is_same =
        head->status != 421 &&
        (!this->target_boot || g_strcmp0(boot, this->target_boot) == 0);
    g_free(boot);
    if (!is_same) {
        return;
    }
    size_t size = 0;
    const char *value = MpTargetHead_Find(head, names->leaving, &size);
    MpTargetNotice_ReadLeaving(&notice, value, size, &this->target->leaving);
    value = head->status == 503 ? MpTargetHead_Find(head, names->pause, &size)
                                : NULL;
    this->is_pause_answer =
        MpTargetNotice_ReadPause(&notice, value, size, &this->target->pause,
                                 &this->router->gateway.target_pauses);
}

static bool
is_retryable(const struct MpExchange *this)
{
    return !this->at_most_once && (this->status >= 500 || this->status == 429);
}

static void
on_head(void *owner, const struct MpTargetHead *head)
{
    struct MpExchange *this = owner;
    read_notices(this, head);
    size_t type_size = 0;
    size_t encoding_size = 0;
    const char *type = MpTargetHead_Find(head, "content-type", &type_size);
    const char *encoding =
        MpTargetHead_Find(head, "content-encoding", &encoding_size);
    const char *reason = MpEventStream_Refute(head->status, type, type_size,
                                              encoding, encoding_size);
    this->status = head->status;
    this->announced_bytes = head->size >= 0 ? (size_t)head->size : SIZE_MAX;
    g_free(this->content_type);
    this->content_type = type ? g_strndup(type, type_size) : g_strdup("");
    this->is_encoded = encoding != NULL;
    keep_headers(this, head);
    this->is_stream = this->is_chat && !reason;
    if (this->is_head_sent && !this->is_stream) {
        log_not_resumed(this, reason);
        MpExchange_FailAttempt(this);
    }
    else if (is_retryable(this)) {
        /* Whether it is sent again or not, nobody gets the answer. */
        MpUpstream_SkipRest(this->upstream, head);
    }
}

static void
record_token(struct MpExchange *this)
{
    int64_t now_ms = MpLoop_Now();
    struct MpMetrics *metrics = &this->router->metrics;
    const char *class = MpPriorityClass_Names[this->workspace_conf->priority];
    this->sent_tokens++;
    if (this->first_token_ms == 0) {
        this->first_token_ms = now_ms;
        uint64_t wait_ms = (uint64_t)(now_ms - this->began_ms);
        MpHistogram_Add(MpMetrics_Histogram(metrics,
                                            "mimosapath_first_token_ms",
                                            "workspace", this->workspace),
                        wait_ms);
        MpHistogram_Add(MpMetrics_Histogram(metrics,
                                            "mimosapath_first_token_ms",
                                            "class", class),
                        wait_ms);
    }
    else {
        MpHistogram_Add(MpMetrics_Histogram(metrics,
                                            "mimosapath_between_tokens_ms",
                                            "class", class),
                        (uint64_t)(now_ms - this->last_token_ms));
    }
    this->last_token_ms = now_ms;
    MpExchange_ExpectToken(this, this->model->between_tokens_ms);
}

static void
forward_event(struct MpExchange *this, const struct MpSseEvent *event)
{
    switch (event->kind) {
    case MP_SSE_DONE:
        this->has_done_event = true;
        return;
    case MP_SSE_USAGE:
        this->has_usage = true;
        this->prompt_tokens = event->prompt_tokens;
        this->output_tokens = event->output_tokens;
        if (!this->wants_usage) {
            return;
        }
        break;
    case MP_SSE_TOKEN:
        record_token(this);
        break;
    default:
        break;
    }
    if (!this->is_head_sent) {
        MpExchange_StartResponse(this, this->status, this->content_type,
                                 SIZE_MAX);
    }
    MpExchange_Write(this, event->text, event->size);
}

static const char done_event[] = "data: [DONE]\n\n";

/* Settles a complete stream; its last event is sent after the settlement, and
 * so is the head of one without others. */
static void
finish_stream(struct MpExchange *this)
{
    MpExchange_EndAttempt(this, MP_ATTEMPT_OK);
    g_byte_array_append(this->response, (const guint8 *)done_event,
                        sizeof(done_event) - 1);
    MpExchange_Settle(this, MP_RECORD_DONE, MpExchange_Price(this));
}

static void
read_stream(struct MpExchange *this, const char *data, size_t size)
{
    struct MpSseEvent event;
    int code = MpSse_Feed(&this->sse, data, size);
    while (code == MP_OK && MpSse_Next(&this->sse, &event)) {
        if (event.kind == MP_SSE_ERROR) {
            code = MP_ERROR_TARGET_FAILED;
            break;
        }
        forward_event(this, &event);
        /* Stops an engine that exceeds the token limit. */
        if (this->has_done_event ||
            this->sent_tokens > MpChat_TokenLimit(&this->chat, this->model)) {
            finish_stream(this);
            return;
        }
    }
    if (code != MP_OK) {
        MpExchange_FailAttempt(this);
    }
}

static void
on_body(void *owner, const char *data, size_t size)
{
    struct MpExchange *this = owner;
    if (this->is_stream) {
        read_stream(this, data, size);
        return;
    }
    if (!MpExchange_KeepResponse(this, data, size)) {
        MpExchange_FailAttempt(this);
    }
}

static void
finish_plain(struct MpExchange *this)
{
    if (this->is_chat && this->status == 200) {
        this->has_usage = MpChat_ParseUsage(
            (const char *)this->response->data, this->response->len,
            &this->prompt_tokens, &this->output_tokens);
    }
    int64_t price =
        this->is_chat && this->status != 200 ? 0 : MpExchange_Price(this);
    if (this->is_chat && this->status == 200 && !this->has_usage) {
        price = this->reserve_mtok;
    }
    MpExchange_EndAttempt(this, MP_ATTEMPT_OK);
    MpExchange_Settle(this, MP_RECORD_DONE, price);
}

static void
on_end(void *owner, enum MpUpstreamResult result)
{
    struct MpExchange *this = owner;
    this->upstream = NULL;
    MpLoop_ClearTimer(&this->timer);
    if (result == MP_UPSTREAM_NOT_SENT) {
        fail_attempt(this, false);
        return;
    }
    if (result == MP_UPSTREAM_INCOMPLETE || this->is_stream ||
        is_retryable(this)) {
        fail_attempt(this, true);
        return;
    }
    finish_plain(this);
}

static const struct MpUpstreamClass attempt_class = {
    .head = on_head, .body = on_body, .end = on_end};
