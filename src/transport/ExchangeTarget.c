#include "transport/Exchange.h"

#include "state/Machine.h"
#include "transport/TargetPoller.h"

#include <inttypes.h>
#include <string.h>

/* Attempts at targets; see Exchange.h. */

#define ATTEMPTS_MOST 3
/* Largest plain answer that is held until it is settled. */
#define ANSWER_MAX_BYTES (16 * 1024 * 1024)

static const struct MpUpstreamClass attempt_class;

static void attempt_failed(struct MpExchange *this, bool is_sent);

/* ---- timers ---- */

static void
on_silence(struct MpTimer *timer)
{
    struct MpExchange *this = timer->data;
    MpMetrics_Count(&this->router->metrics, "mimosapath_silent_total", NULL,
                    NULL, 1);
    MpUpstream_Cancel(this->upstream);
    this->upstream = NULL;
    attempt_failed(this, true);
}

static void
expect(struct MpExchange *this, int64_t wait_ms)
{
    MpLoop_SetTimer(this->router->loop, &this->timer, wait_ms, on_silence,
                    this);
}

static int64_t
first_wait(const struct MpExchange *this)
{
    if (!this->is_chat) {
        return this->service->timeout_ms;
    }
    if (this->chat.is_stream) {
        return this->model->first_token_ms;
    }
    /* A plain answer comes with its last token. */
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

static GByteArray *
build_request(const struct MpExchange *this)
{
    char *chat_body =
        this->is_chat
            ? MpChat_EngineBody(&this->chat, this->model, this->tokens,
                                MpPriorityClass_Names[this->conf->priority])
            : NULL;
    const void *body = chat_body ? (void *)chat_body : this->body->data;
    size_t size = chat_body ? strlen(chat_body) : this->body->len;
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
    if (size > 0) {
        g_byte_array_append(request, body, (guint)size);
    }
    g_free(head);
    g_free(chat_body);
    return request;
}

void
MpExchange_StartAttempt(struct MpExchange *this)
{
    this->stage = MP_STAGE_RUNNING;
    this->attempts++;
    this->is_stream = false;
    this->is_done = false;
    this->status = 0;
    g_byte_array_set_size(this->answer, 0);
    MpSse_Done(&this->sse);
    MpSse_Init(&this->sse);
    g_free(this->target_boot);
    this->target_boot =
        MpTargetPoller_GetBoot(this->router->poller, this->target->name);
    if (this->is_chat) {
        MpTarget_NoteBlocks(this->target, this->blocks, this->block_count);
    }
    expect(this, first_wait(this));
    this->upstream = MpUpstream_Start(&this->router->upstreams, &attempt_class,
                                      this, this->target->address,
                                      this->method, build_request(this));
}

void
MpExchange_DropAttempt(struct MpExchange *this, enum MpAttemptOutcome outcome)
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
    bool can_go_on = !this->is_started || this->model->may_resume;
    return this->attempts < ATTEMPTS_MOST && can_go_on &&
           MpLimits_TakeRetry(&this->router->limits, this->workspace);
}

/* Nothing more can be tried. */
static void
give_up(struct MpExchange *this, int code)
{
    if (!this->was_sent) {
        MpExchange_Refuse(this, MP_ERROR_NO_TARGET, NULL, 1000);
        this->is_aborted = true;
        MpExchange_Settle(this, MP_RECORD_NOT_RUN, 0);
        return;
    }
    MpExchange_AbortAnswer(this, code);
    this->is_aborted = true;
    MpExchange_Settle(
        this, this->at_most_once ? MP_RECORD_UNKNOWN : MP_RECORD_CANCELLED,
        this->is_started ? MpExchange_Price(this) : 0);
}

static void
try_elsewhere(struct MpExchange *this, bool is_sent)
{
    int code = MP_ERROR_NO_TARGET;
    bool may_run_again = !is_sent || !this->at_most_once;
    if (may_run_again && this->req && may_retry(this)) {
        this->target = MpRouter_Pick(this->router, this, &code);
    }
    if (!this->target) {
        give_up(this, this->is_started ? MP_ERROR_STREAM_CUT
                                       : MP_ERROR_TARGET_FAILED);
        return;
    }
    MpMetrics_Count(&this->router->metrics, "mimosapath_retries_total",
                    "workspace", this->workspace, 1);
    MpTarget_Start(this->target);
    MpExchange_StartAttempt(this);
}

/* The target may have died of this request: other targets get it only after
 * that is known, and its death is counted by the whole fleet. */
static void
on_poison_reported(void *data, int code, const struct mp_result *result)
{
    struct MpExchange *this = data;
    if (code != MP_OK) {
        give_up(this, MP_ERROR_TARGET_FAILED);
        return;
    }
    if (result->number >= MP_POISON_CRASHES) {
        give_up(this, MP_ERROR_POISON);
        return;
    }
    /* Those that run now may kill their targets too. */
    if ((int64_t)result->number + result->amount_mtok >= MP_POISON_CRASHES) {
        give_up(this, MP_ERROR_HELD_BACK);
        return;
    }
    try_elsewhere(this, true);
}

static void
report_death(struct MpExchange *this, const char *target)
{
    struct mp_command command = {.body = {.kind = MP_CMD_POISON}};
    struct mp_poison *poison = &command.body.mp_command_body_u.poison;
    poison->target = (char *)target;
    poison->workspace = this->workspace;
    poison->key = this->key;
    poison->open_id = this->open_id;
    memcpy(poison->body_hash, this->body_hash, MP_HASH_BYTES);
    MpControlClient_Propose(&this->router->control, &command,
                            MpLoop_Now() + 2000, on_poison_reported, this);
}

static void
on_probed(void *data, bool is_dead)
{
    struct MpExchange *this = data;
    const char *name = g_ptr_array_index(this->avoid, this->avoid->len - 1);
    if (is_dead) {
        report_death(this, name);
        return;
    }
    try_elsewhere(this, true);
}

static void
attempt_failed(struct MpExchange *this, bool is_sent)
{
    struct MpTarget *target = this->target;
    g_ptr_array_add(this->avoid, g_strdup(target->name));
    this->upstream = NULL;
    this->was_sent = this->was_sent || is_sent;
    MpExchange_DropAttempt(this, MP_ATTEMPT_FAILED);
    MpMetrics_Count(&this->router->metrics, "mimosapath_attempt_failed_total",
                    "target", target->name, 1);
    if (!is_sent) {
        try_elsewhere(this, false);
        return;
    }
    MpTargetPoller_Probe(this->router->poller, target->name, this->target_boot,
                         on_probed, this);
}

/* ---- answers of the target ---- */

static void
on_head(void *owner, int status, const h2o_header_t *headers, size_t count)
{
    struct MpExchange *this = owner;
    this->status = status;
    g_free(this->content_type);
    this->content_type = g_strdup("");
    for (size_t i = 0; i < count; i++) {
        if (h2o_memis(headers[i].name->base, headers[i].name->len,
                      H2O_STRLIT("content-type"))) {
            g_free(this->content_type);
            this->content_type =
                g_strndup(headers[i].value.base, headers[i].value.len);
        }
    }
    this->is_stream =
        this->is_chat && status == 200 &&
        g_str_has_prefix(this->content_type, "text/event-stream");
}

static void
note_token(struct MpExchange *this)
{
    int64_t now_ms = MpLoop_Now();
    struct MpMetrics *metrics = &this->router->metrics;
    const char *class = MpPriorityClass_Names[this->conf->priority];
    this->tokens++;
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
    expect(this, this->model->between_tokens_ms);
}

static void
take_event(struct MpExchange *this, const struct MpSseEvent *event)
{
    switch (event->kind) {
    case MP_SSE_DONE:
        this->is_done = true;
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
        note_token(this);
        break;
    default:
        break;
    }
    if (!this->is_started) {
        MpExchange_StartAnswer(this, this->status, this->content_type,
                               SIZE_MAX);
    }
    MpExchange_Write(this, event->text, event->size);
}

static const char done_event[] = "data: [DONE]\n\n";

/* The stream is whole: its last event waits for the settlement. */
static void
finish_stream(struct MpExchange *this)
{
    MpExchange_DropAttempt(this, MP_ATTEMPT_OK);
    if (!this->is_started) {
        MpExchange_StartAnswer(this, this->status, this->content_type,
                               SIZE_MAX);
    }
    g_byte_array_append(this->answer, (const guint8 *)done_event,
                        sizeof(done_event) - 1);
    MpExchange_Settle(this, MP_RECORD_DONE, MpExchange_Price(this));
}

static void
take_stream(struct MpExchange *this, const char *data, size_t size)
{
    struct MpSseEvent event;
    int code = MpSse_Feed(&this->sse, data, size);
    while (code == MP_OK && MpSse_Next(&this->sse, &event)) {
        if (event.kind == MP_SSE_ERROR) {
            code = MP_ERROR_TARGET_FAILED;
            break;
        }
        take_event(this, &event);
        /* An engine that runs past its limit is stopped. */
        if (this->is_done ||
            this->tokens > MpChat_TokenLimit(&this->chat, this->model)) {
            finish_stream(this);
            return;
        }
    }
    if (code != MP_OK) {
        MpUpstream_Cancel(this->upstream);
        attempt_failed(this, true);
    }
}

static void
on_body(void *owner, const char *data, size_t size)
{
    struct MpExchange *this = owner;
    if (this->is_stream) {
        take_stream(this, data, size);
        return;
    }
    if (this->answer->len + size > ANSWER_MAX_BYTES) {
        MpUpstream_Cancel(this->upstream);
        attempt_failed(this, true);
        return;
    }
    g_byte_array_append(this->answer, (const guint8 *)data, (guint)size);
}

static bool
is_worth_retry(const struct MpExchange *this)
{
    return !this->at_most_once && (this->status >= 500 || this->status == 429);
}

static void
finish_plain(struct MpExchange *this)
{
    if (this->is_chat && this->status == 200) {
        this->has_usage = MpChat_ParseUsage(
            (const char *)this->answer->data, this->answer->len,
            &this->prompt_tokens, &this->output_tokens);
    }
    int64_t price =
        this->is_chat && this->status != 200 ? 0 : MpExchange_Price(this);
    if (this->is_chat && this->status == 200 && !this->has_usage) {
        price = this->reserve_mtok;
    }
    MpExchange_DropAttempt(this, MP_ATTEMPT_OK);
    MpExchange_Settle(this, MP_RECORD_DONE, price);
}

static void
on_end(void *owner, enum MpUpstreamResult end)
{
    struct MpExchange *this = owner;
    this->upstream = NULL;
    MpLoop_ClearTimer(&this->timer);
    if (end == MP_UPSTREAM_NOT_SENT) {
        attempt_failed(this, false);
        return;
    }
    if (end == MP_UPSTREAM_INCOMPLETE || this->is_stream ||
        is_worth_retry(this)) {
        attempt_failed(this, true);
        return;
    }
    finish_plain(this);
}

static const struct MpUpstreamClass attempt_class = {
    .head = on_head, .body = on_body, .end = on_end};
