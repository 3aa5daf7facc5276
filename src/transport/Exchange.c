#include "transport/Exchange.h"

#include "state/Ledger.h"
#include "transport/LeaseManager.h"

#include <inttypes.h>
#include <openssl/rand.h>
#include <string.h>

#define QUEUE_WAIT_MS 2000
#define OPEN_WAIT_MS 3000
#define RECALL_RETRY_MS 50
#define RECALL_MOST_MS 200
#define LOOKUP_WAIT_MS 400
#define SETTLE_WAIT_MS 5000
#define BUSY_RETRY_MS 250
#define NO_QUORUM_RETRY_MS 1000
#define IN_PROGRESS_RETRY_MS 1000
/* Largest answer that is kept to be given again. */
#define KEPT_ANSWER_BYTES 4096
/* Bytes of a prompt that count as a token when an engine gave no usage. */
#define BYTES_PER_TOKEN 4

/* ---- life ---- */

static char *
make_request_id(struct MpRouter *router)
{
    uint64_t number = 0;
    RAND_bytes((unsigned char *)&number, sizeof(number));
    return g_strdup_printf("%s-%016" PRIx64, router->settings->instance,
                           number);
}

static struct MpExchange *
exchange_new(struct MpRouter *router, h2o_req_t *req)
{
    struct MpExchange *this = g_new0(struct MpExchange, 1);
    this->router = router;
    this->document = MpDocument_Ref(router->control.document);
    this->began_ms = MpLoop_Now();
    this->request_id = make_request_id(router);
    this->method = g_strndup(req->method.base, req->method.len);
    this->path = g_strndup(req->path.base, req->path.len);
    this->body = g_byte_array_new();
    this->body_type = MpHttp_CopyHeader(req, "content-type");
    if (req->entity.len > 0) {
        g_byte_array_append(this->body, (const guint8 *)req->entity.base,
                            (guint)req->entity.len);
    }
    this->out = g_byte_array_new();
    this->sending = g_byte_array_new();
    this->answer = g_byte_array_new();
    this->avoid = g_ptr_array_new_with_free_func(g_free);
    this->content_type = g_strdup("");
    this->link.data = this;
    MpSse_Init(&this->sse);
    g_queue_push_tail_link(&router->exchanges, &this->link);
    MpExchange_AttachCaller(this, req);
    return this;
}

static void
exchange_free(struct MpExchange *this)
{
    g_queue_unlink(&this->router->exchanges, &this->link);
    MpLoop_ClearTimer(&this->timer);
    MpSse_Done(&this->sse);
    MpChat_Done(&this->chat);
    MpDocument_Unref(this->document);
    g_ptr_array_unref(this->avoid);
    g_byte_array_unref(this->body);
    g_byte_array_unref(this->out);
    g_byte_array_unref(this->sending);
    g_byte_array_unref(this->answer);
    g_free(this->workspace);
    g_free(this->request_id);
    g_free(this->key);
    g_free(this->method);
    g_free(this->path);
    g_free(this->body_type);
    g_free(this->content_type);
    g_free(this->target_boot);
    g_free(this);
}

/* Frees the exchange once neither caller nor quorum need it. */
static void
maybe_free(struct MpExchange *this)
{
    if (this->stage == MP_STAGE_ENDED && !this->req) {
        exchange_free(this);
    }
}

static void
end(struct MpExchange *this)
{
    if (this->stage == MP_STAGE_ENDED) {
        return;
    }
    this->stage = MP_STAGE_ENDED;
    MpLoop_ClearTimer(&this->timer);
    if (this->is_admitted) {
        MpLimits_Leave(&this->router->limits, this->workspace);
    }
    MpRouter_ScheduleDispatch(this->router);
}

/* ---- settlement ---- */

int64_t
MpExchange_Price(const struct MpExchange *this)
{
    if (!this->is_chat) {
        return this->status < 400 ? this->reserve_mtok : 0;
    }
    int64_t prompt_tokens =
        this->has_usage ? this->prompt_tokens
                        : (int64_t)this->chat.prompt->len / BYTES_PER_TOKEN;
    int64_t output_tokens =
        this->has_usage ? this->output_tokens : this->tokens;
    return prompt_tokens * this->model->prompt_price_mtok +
           output_tokens * this->model->output_price_mtok;
}

static void
note_answer(struct MpExchange *this)
{
    struct MpMetrics *metrics = &this->router->metrics;
    uint64_t time_ms = (uint64_t)(MpLoop_Now() - this->began_ms);
    MpHistogram_Add(MpMetrics_Histogram(metrics, "mimosapath_answer_ms",
                                        "workspace", this->workspace),
                    time_ms);
    MpHistogram_Add(
        MpMetrics_Histogram(metrics, "mimosapath_answer_ms", "class",
                            MpPriorityClass_Names[this->conf->priority]),
        time_ms);
}

void
MpExchange_FinishSettled(struct MpExchange *this)
{
    note_answer(this);
    if (!this->is_started) {
        MpExchange_StartAnswer(this, this->status, this->content_type,
                               this->answer->len);
    }
    MpExchange_Write(this, this->answer->data, this->answer->len);
    MpExchange_FinishAnswer(this);
    end(this);
    maybe_free(this);
}

static void
on_settled(void *data, int code, const struct mp_result *result)
{
    struct MpExchange *this = data;
    MpLoop_ClearTimer(&this->timer);
    if (code == MP_OK && result->code == MP_OK) {
        MpMetrics_Count(&this->router->metrics, "mimosapath_settled_total",
                        "workspace", this->workspace, 1);
        if (!this->is_aborted) {
            MpExchange_FinishSettled(this);
            return;
        }
    }
    else {
        /* Another attempt has taken the key over, or a fence has. */
        MpMetrics_Count(&this->router->metrics,
                        "mimosapath_settle_refused_total", "cause",
                        MpError_Name(result ? result->code : code), 1);
        MpExchange_AbortAnswer(this, MP_ERROR_OUTCOME_UNKNOWN);
    }
    end(this);
    maybe_free(this);
}

/* The quorum does not answer: the caller is told, and the settlement goes
 * on in the background. */
static void
on_settle_late(struct MpTimer *timer)
{
    struct MpExchange *this = timer->data;
    MpExchange_AbortAnswer(this, MP_ERROR_OUTCOME_UNKNOWN);
}

static void
fill_settle(const struct MpExchange *this, struct mp_command *command,
            enum mp_record_state outcome, int64_t spent_mtok)
{
    bool is_kept = this->at_most_once && outcome == MP_RECORD_DONE &&
                   this->answer->len <= KEPT_ANSWER_BYTES;
    command->body.kind = MP_CMD_SETTLE;
    command->body.mp_command_body_u.settle = (struct mp_settle){
        .holder = this->holder,
        .workspace = this->workspace,
        .key = this->key,
        .open_id = this->open_id,
        .spent_mtok = spent_mtok,
        .outcome = outcome,
        .status = this->status,
        .content_type = is_kept ? this->content_type : (char *)"",
        .answer = {.answer_val = (char *)this->answer->data,
                   .answer_len = is_kept ? this->answer->len : 0},
    };
}

void
MpExchange_Settle(struct MpExchange *this, enum mp_record_state outcome,
                  int64_t spent_mtok)
{
    struct mp_command command = {.at_ms = 0};
    this->stage = MP_STAGE_SETTLING;
    MpLoop_ClearTimer(&this->timer);
    if (this->is_rerun) {
        if (this->is_aborted) {
            end(this);
            maybe_free(this);
            return;
        }
        MpExchange_FinishSettled(this);
        return;
    }
    if (this->is_offline) {
        MpLeaseKeeper_Settle(this->router->leases, this, spent_mtok);
        return;
    }
    MpLoop_SetTimer(this->router->loop, &this->timer, SETTLE_WAIT_MS,
                    on_settle_late, this);
    fill_settle(this, &command, outcome, spent_mtok);
    MpControlClient_Propose(&this->router->control, &command, 0, on_settled,
                            this);
}

/* ---- opening ---- */

static void propose_open(struct MpExchange *this);

static void
release_target(struct MpExchange *this)
{
    if (this->target) {
        MpTarget_Finish(&this->router->picker, this->target,
                        MP_ATTEMPT_CANCELLED, MpLoop_Now());
        this->target = NULL;
        MpRouter_ScheduleDispatch(this->router);
    }
}

static void
refuse_now(struct MpExchange *this, int code, int64_t retry_after_ms)
{
    MpExchange_Refuse(this, code, NULL, retry_after_ms);
    end(this);
    maybe_free(this);
}

static void
on_looked_up(void *data, int code, const struct mp_read_reply *reply)
{
    struct MpExchange *this = data;
    this->may_have_run = code != MP_OK || MpLedger_MayHaveRun(reply->record);
    refuse_now(this, this->refusal, this->refusal_retry_ms);
}

/* Refuses a request that was not opened.  The caller of a named key may have
 * sent it before: "not run" is said only if the ledger shows it. */
static void
refuse_and_end(struct MpExchange *this, int code, int64_t retry_after_ms)
{
    release_target(this);
    if (!this->is_brief && MpLeaseKeeper_IsCutOff(this->router->leases)) {
        this->may_have_run = true; /* nobody can be asked */
    }
    if (this->is_brief || this->may_have_run || !this->req) {
        refuse_now(this, code, retry_after_ms);
        return;
    }
    this->stage = MP_STAGE_REFUSING;
    this->refusal = code;
    this->refusal_retry_ms = retry_after_ms;
    MpControlClient_ReadRecord(&this->router->control, this->workspace,
                               this->key, MpLoop_Now() + LOOKUP_WAIT_MS,
                               on_looked_up, this);
}

static void
give_up_open(struct MpExchange *this, int code)
{
    refuse_and_end(this, code, NO_QUORUM_RETRY_MS);
}

static void
on_recall_retry(struct MpTimer *timer)
{
    propose_open(timer->data);
}

static void
replay_answer(struct MpExchange *this, const struct mp_result *result)
{
    release_target(this);
    if (this->req && result->answer.answer_len > 0) {
        MpHttp_AddHeader(this->req, "x-mimosapath-replayed", "yes");
        MpExchange_StartAnswer(this, result->status, result->content_type,
                               result->answer.answer_len);
        MpExchange_Write(this, result->answer.answer_val,
                         result->answer.answer_len);
        MpExchange_FinishAnswer(this);
    }
    else {
        MpExchange_Refuse(this, MP_ERROR_ALREADY_ANSWERED, NULL, 0);
    }
    end(this);
    maybe_free(this);
}

static void
on_open_refused(struct MpExchange *this, const struct mp_result *result)
{
    int code = result->code;
    bool may_change = code == MP_ERROR_RECALLING || code == MP_ERROR_HELD_BACK;
    this->recall_wait_ms =
        CLAMP(2 * this->recall_wait_ms, RECALL_RETRY_MS, RECALL_MOST_MS);
    if (may_change &&
        MpLoop_Now() + this->recall_wait_ms < this->deadline_ms) {
        MpLoop_SetTimer(this->router->loop, &this->timer, this->recall_wait_ms,
                        on_recall_retry, this);
        return;
    }
    if (code == MP_ERROR_ALREADY_ANSWERED) {
        replay_answer(this, result);
        return;
    }
    /* The ledger has answered: its word on the record is the last one. */
    release_target(this);
    this->may_have_run = MpLedger_MayHaveRun(result->state);
    refuse_now(
        this, code,
        code == MP_ERROR_IN_PROGRESS || may_change ? IN_PROGRESS_RETRY_MS : 0);
}

static void
on_opened(void *data, int code, const struct mp_result *result)
{
    struct MpExchange *this = data;
    if (code != MP_OK) {
        MpLeaseKeeper_CloseOpen(this->router->leases, this);
        if (this->req &&
            MpLeaseKeeper_TryOffline(this->router->leases, this)) {
            return;
        }
        give_up_open(this, code);
        return;
    }
    if (result->code != MP_OK) {
        on_open_refused(this, result);
        return;
    }
    this->is_rerun = result->state == MP_RECORD_DONE;
    this->may_have_run = this->is_rerun || result->number != 0;
    if (!this->req) {
        release_target(this);
        this->is_aborted = true;
        MpExchange_Settle(this, MP_RECORD_NOT_RUN, 0);
        return;
    }
    MpExchange_StartAttempt(this);
}

static void
propose_open(struct MpExchange *this)
{
    struct mp_command command = {.body = {.kind = MP_CMD_OPEN}};
    struct mp_open *open = &command.body.mp_command_body_u.open;
    *open = (struct mp_open){.holder = this->holder,
                             .workspace = this->workspace,
                             .key = this->key,
                             .reserve_mtok = this->reserve_mtok,
                             .at_most_once = this->at_most_once,
                             .is_brief = this->is_brief,
                             .open_id = this->open_id};
    memcpy(open->body_hash, this->body_hash, MP_HASH_BYTES);
    MpControlClient_Propose(&this->router->control, &command,
                            this->deadline_ms, on_opened, this);
}

void
MpExchange_Open(struct MpExchange *this, struct MpTarget *target)
{
    MpLoop_ClearTimer(&this->timer);
    this->target = target;
    MpTarget_Start(target);
    this->stage = MP_STAGE_OPENING;
    this->open_id = ++this->router->next_open_id;
    this->holder = MpControlClient_Holder(&this->router->control);
    this->deadline_ms = MpLoop_Now() + OPEN_WAIT_MS;
    MpLeaseKeeper_NoteDemand(this->router->leases, this);
    if (MpLeaseKeeper_IsCutOff(this->router->leases)) {
        /* Nothing is proposed that could pile up through the partition. */
        if (!MpLeaseKeeper_TryOffline(this->router->leases, this)) {
            refuse_and_end(this, MP_ERROR_NO_QUORUM, NO_QUORUM_RETRY_MS);
        }
        return;
    }
    propose_open(this);
}

void
MpExchange_RunOffline(struct MpExchange *this)
{
    if (!this->req) {
        release_target(this);
        this->is_aborted = true;
        MpExchange_Settle(this, MP_RECORD_NOT_RUN, 0);
        return;
    }
    MpExchange_StartAttempt(this);
}

/* ---- arrival ---- */

void
MpExchange_Shed(struct MpExchange *this, int code)
{
    refuse_and_end(this, code, BUSY_RETRY_MS);
}

static void
wait_for_target(struct MpExchange *this)
{
    int code;
    struct MpTarget *target = MpRouter_Pick(this->router, this, &code);
    this->stage = MP_STAGE_WAITING;
    if (target) {
        MpExchange_Open(this, target);
        return;
    }
    this->item = (struct MpQueueItem){
        .workspace = this->workspace,
        .priority = this->conf->priority,
        .deadline_ms = MpLoop_Now() + QUEUE_WAIT_MS,
        .data = this,
    };
    if (code == MP_ERROR_NO_TARGET ||
        MpRouter_Enqueue(this->router, this) != MP_OK) {
        MpExchange_Shed(this, code);
    }
}

static int
admit(struct MpExchange *this, int64_t *retry_after_ms)
{
    if (MpControlClient_IsPoison(&this->router->control, this->body_hash)) {
        return MP_ERROR_POISON;
    }
    int code = MpLimits_Enter(
        &this->router->limits, this->workspace, this->conf->concurrent_max,
        this->conf->rate_per_s, MpLoop_Now(), retry_after_ms);
    this->is_admitted = code == MP_OK;
    return code;
}

void
MpExchange_Begin(struct MpRouter *router, h2o_req_t *req)
{
    struct MpExchange *this = exchange_new(router, req);
    const char *why = NULL;
    int64_t retry_after_ms = 0;
    int code = MpExchange_Read(this, req, &why);
    if (code == MP_OK) {
        code = admit(this, &retry_after_ms);
    }
    if (code == MP_ERROR_LIMIT) {
        refuse_and_end(this, code, retry_after_ms);
        return;
    }
    if (code != MP_OK) {
        MpExchange_Refuse(this, code, why, retry_after_ms);
        end(this);
        maybe_free(this);
        return;
    }
    wait_for_target(this);
}

/* ---- the caller leaves ---- */

void
MpExchange_CallerGone(struct MpExchange *this)
{
    this->req = NULL;
    this->caller = NULL;
    switch (this->stage) {
    case MP_STAGE_WAITING:
        MpLoop_ClearTimer(&this->timer);
        if (this->item.lane) {
            MpFairQueue_Remove(
                g_hash_table_lookup(this->router->queues, this->queue_name),
                &this->item);
        }
        end(this);
        break;
    case MP_STAGE_RUNNING:
        /* What must not run twice goes on, so that its outcome is known. */
        if (!this->at_most_once && this->upstream) {
            MpExchange_DropAttempt(this, MP_ATTEMPT_CANCELLED);
            this->is_aborted = true;
            MpExchange_Settle(this, MP_RECORD_CANCELLED,
                              MpExchange_Price(this));
            return;
        }
        break;
    default:
        break;
    }
    maybe_free(this);
}
