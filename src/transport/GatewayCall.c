#include "transport/GatewayCall.h"

#include "protocol/EventSplit.h"
#include "state/Error.h"
#include "transport/ErrorBody.h"
#include "transport/GatewayRequest.h"
#include "transport/HttpServer.h"
#include "transport/Log.h"

#include <inttypes.h>
#include <string.h>

/* Amounts of the ledger are thousandths of a token. */
#define MTOK_PER_TOKEN 1000
/* Longest wait for a part of the budget, ms: a quorum that is there answers
 * within a few round trips and syncs. */
#define BUDGET_WAIT_MS 300
/* Pause between two looks for a caller, ms. */
#define CALLER_CHECK_MS 200
/* When a caller may come back, ms. */
#define RETRY_BUSY_MS 400
#define RETRY_ELSEWHERE_MS 200
#define RETRY_NOT_READY_MS 300
#define RETRY_LEAVING_MS 20

static void start_attempt(struct MpGatewayCall *this);

/* ---- life ---- */

static void
call_free(struct MpGatewayCall *this)
{
    g_queue_unlink(&this->gateway->calls, &this->link);
    MpLoop_ClearTimer(&this->timer);
    MpCallerAnswer_Done(&this->answer);
    MpDocument_Unref(this->document);
    g_free(this->id);
    if (this->head) {
        g_byte_array_unref(this->head);
    }
    if (this->body) {
        g_byte_array_unref(this->body);
    }
    g_byte_array_unref(this->partial);
    g_ptr_array_unref(this->avoid);
    g_free(this);
}

/* Gives back what of the reservation was not used. */
static void
settle(struct MpGatewayCall *this)
{
    const struct MpForward *forward = &this->forward;
    const struct MpPoolConf *pool =
        this->pool ? g_hash_table_lookup(this->document->pools, this->pool)
                   : NULL;
    if (this->reserved_mtok == 0) {
        return;
    }
    int64_t output =
        pool ? forward->events * MAX(pool->engine.event_tokens, 1) : 0;
    int64_t used = 0;
    if (forward->may_have_run || forward->is_head_sent) {
        used = this->facts.prompt_tokens +
               MIN(output, this->facts.output_tokens_most);
    }
    MpSlices_Settle(&this->gateway->slices, this->workspace, this->boot,
                    this->reserved_mtok, used * MTOK_PER_TOKEN);
    this->reserved_mtok = 0;
}

static void
end(struct MpGatewayCall *this, const char *outcome, int code)
{
    const struct MpForward *forward = &this->forward;
    int64_t now_ms = MpLoop_Now();
    this->stage = MP_CALL_ENDED;
    MpLoop_ClearTimer(&this->timer);
    settle(this);
    MpMetrics_Count(this->gateway->metrics, "mimosapath_path_ended_total",
                    "outcome", outcome, 1);
    MpLog_Event(code == MP_OK ? LOG_INFO : LOG_WARNING, "request-ended",
                "id=%s path=%s workspace=%s outcome=%s error=%s status=%d "
                "attempts=%u events=%" PRId64 " first_ms=%" PRId64
                " took_ms=%" PRId64 " document=%" PRIu64,
                this->id ? this->id : "-", this->path ? this->path->name : "-",
                this->workspace ? this->workspace : "-", outcome,
                MpError_Name(code), this->status, forward->sends,
                forward->events, this->first_ms, now_ms - forward->began_ms,
                this->document ? this->document->version : 0);
}

/* ---- refusals ---- */

static void
add_retry_after(const struct MpGateway *gateway, h2o_req_t *req,
                int64_t wait_ms)
{
    char seconds[32];
    if (wait_ms <= 0) {
        return;
    }
    if (gateway->dialect->has_fractions) {
        g_snprintf(seconds, sizeof(seconds), "%" PRId64 ".%03" PRId64,
                   wait_ms / 1000, wait_ms % 1000);
    }
    else {
        g_snprintf(seconds, sizeof(seconds), "%" PRId64,
                   (wait_ms + 999) / 1000);
    }
    MpHttp_AddHeader(req, "retry-after", seconds);
}

/* Answers with an error of this instance and ends the call. */
static void
refuse(struct MpGatewayCall *this, int code, int64_t retry_after_ms)
{
    bool may_have_run = this->forward.may_have_run;
    h2o_req_t *req = MpCallerAnswer_Release(&this->answer);
    end(this, "refused", code);
    if (req) {
        char *text = MpErrorBody_Text(code, NULL, may_have_run);
        MpHttp_AddHeader(req, "x-mimosapath-run",
                         MpErrorBody_Run(code, may_have_run));
        add_retry_after(this->gateway, req, retry_after_ms);
        if (code == MP_ERROR_INVALID) {
            req->http1_is_persistent = 0;
        }
        MpHttp_Send(req, MpError_Info(code)->http_status, "application/json",
                    text, strlen(text));
        g_free(text);
    }
    call_free(this);
}

/* Carries out a step that ends the request. */
static void
give_up(struct MpGatewayCall *this, enum MpForwardStep step, int code,
        int64_t retry_after_ms)
{
    if (step == MP_STEP_CUT) {
        end(this, "cut", code);
        if (!this->answer.req) {
            call_free(this);
            return;
        }
        MpCallerAnswer_Abort(&this->answer);
        return;
    }
    if (step == MP_STEP_FAIL) {
        refuse(this, MP_ERROR_TARGET_FAILED, 0);
        return;
    }
    refuse(this, code, retry_after_ms);
}

/* ---- attempts ---- */

static bool
has_retry(struct MpGatewayCall *this)
{
    return MpRetryBudget_Has(MpGateway_Retries(this->gateway, this->pool),
                             this->gateway->fleet->instances, MpLoop_Now());
}

/* Lets go of the target of the attempt. */
static void
leave_target(struct MpGatewayCall *this, enum MpTargetOutcome outcome)
{
    if (!this->target) {
        return;
    }
    MpPoolTarget_End(&this->gateway->roster, this->target, this->has_answered,
                     this->prefill_tokens, outcome, MpLoop_Now());
    this->target = NULL;
    this->conn = NULL;
}

static void
drop_attempt(struct MpGatewayCall *this, enum MpTargetOutcome outcome)
{
    if (this->conn) {
        MpTargetConn_Cancel(this->conn);
    }
    leave_target(this, outcome);
}

static void
next_step(struct MpGatewayCall *this, enum MpFate fate, int code)
{
    enum MpForwardStep step =
        MpForward_Ended(&this->forward, fate, has_retry(this), MpLoop_Now());
    if (step == MP_STEP_SEND || step == MP_STEP_RESUME) {
        g_byte_array_set_size(this->partial, 0);
        start_attempt(this);
        return;
    }
    give_up(this, step, code, RETRY_BUSY_MS);
}

static void
take_load(struct MpGatewayCall *this, const struct MpTargetHead *head)
{
    size_t size;
    const char *value =
        MpTargetHead_Find(head, this->gateway->dialect->target.load, &size);
    if (!value) {
        return;
    }
    int64_t numbers[3] = {0, 0, 0};
    char *text = g_strndup(value, size);
    char **fields = g_strsplit(text, ",", 3);
    for (int i = 0; i < 3 && fields[i]; i++) {
        if (!MpCallFacts_Number(fields[i], strlen(fields[i]), &numbers[i])) {
            numbers[i] = 0;
        }
    }
    MpPoolTarget_Told(this->target, numbers[0], numbers[1], numbers[2],
                      MpLoop_Now());
    g_strfreev(fields);
    g_free(text);
}

/* Whether the target turned the request away, so that it did not run. */
static bool
is_turned_away(const struct MpGatewayCall *this,
               const struct MpTargetHead *head)
{
    size_t size;
    return head->status == 421 ||
           MpTargetHead_Find(head, this->gateway->dialect->target.not_run,
                             &size) != NULL;
}

static void
start_answer(struct MpGatewayCall *this, const struct MpTargetHead *head)
{
    this->forward.is_head_sent = true;
    if (this->answer.req) {
        MpGatewayRequest_CopyHead(head, this->answer.req);
    }
    MpCallerAnswer_Start(&this->answer, head->status,
                         head->size >= 0 ? (size_t)head->size : SIZE_MAX);
}

static void
on_head(void *owner, const struct MpTargetHead *head)
{
    struct MpGatewayCall *this = owner;
    int64_t now_ms = MpLoop_Now();
    this->status = head->status;
    take_load(this, head);
    this->has_answered = true;
    MpPoolTarget_Answered(this->target, this->prefill_tokens,
                          now_ms - this->sent_ms, this->wait_ms);
    bool is_failure = head->status >= 500;
    if (is_turned_away(this, head) ||
        (is_failure && MpForward_MayRepeatFailure(&this->forward,
                                                  has_retry(this), now_ms))) {
        return;
    }
    bool is_resumed = this->forward.is_head_sent;
    if (is_resumed && head->status != 200) {
        return;
    }
    this->is_relayed = true;
    this->is_events = this->path->stream && head->status == 200;
    if (!is_resumed) {
        this->first_ms = now_ms - this->forward.began_ms;
        start_answer(this, head);
    }
}

/* Passes on whole events only: what another target goes on with starts at an
 * event. */
static void
relay_events(struct MpGatewayCall *this, const char *data, size_t size)
{
    struct MpForward *forward = &this->forward;
    g_byte_array_append(this->partial, (const guint8 *)data, (guint)size);
    size_t whole = MpEventSplit_Whole((const char *)this->partial->data,
                                      this->partial->len, &forward->events,
                                      &forward->last_event);
    if (whole > 0) {
        MpCallerAnswer_Write(&this->answer, this->partial->data, whole);
        g_byte_array_remove_range(this->partial, 0, (guint)whole);
    }
}

static void
on_body(void *owner, const char *data, size_t size)
{
    struct MpGatewayCall *this = owner;
    if (!this->is_relayed) {
        return;
    }
    if (this->is_events) {
        relay_events(this, data, size);
    }
    else {
        MpCallerAnswer_Write(&this->answer, data, size);
    }
    if (this->answer.out->len > MP_ANSWER_HIGH_BYTES && this->conn) {
        MpTargetConn_Pause(this->conn);
    }
}

static void
finish_answer(struct MpGatewayCall *this)
{
    bool is_ok = this->status < 500;
    leave_target(this, is_ok ? MP_OUTCOME_OK : MP_OUTCOME_ERROR);
    end(this, is_ok ? "answered" : "target-error", MP_OK);
    if (!this->answer.req) {
        call_free(this);
        return;
    }
    MpCallerAnswer_Write(&this->answer, this->partial->data,
                         this->partial->len);
    MpCallerAnswer_Finish(&this->answer);
}

static void
on_whole(struct MpGatewayCall *this)
{
    if (this->is_relayed) {
        finish_answer(this);
        return;
    }
    if (this->forward.is_head_sent) {
        /* It would not go on with the stream. */
        leave_target(this, MP_OUTCOME_FULL);
        next_step(this, MP_FATE_NOT_RUN, MP_ERROR_STREAM_CUT);
        return;
    }
    bool is_gone = this->status == 421;
    if (this->status < 500 || this->status == 503 || is_gone) {
        leave_target(this, is_gone ? MP_OUTCOME_GONE : MP_OUTCOME_FULL);
        next_step(this, MP_FATE_NOT_RUN, MP_ERROR_NO_TARGET);
        return;
    }
    leave_target(this, MP_OUTCOME_ERROR);
    next_step(this, MP_FATE_UNKNOWN, MP_ERROR_TARGET_FAILED);
}

static void
on_end(void *owner, enum MpTargetEnd how)
{
    struct MpGatewayCall *this = owner;
    this->conn = NULL;
    MpLog_Event(
        how == MP_TARGET_WHOLE ? LOG_DEBUG : LOG_WARNING, "attempt-ended",
        "id=%s target=%s how=%s status=%d took_ms=%" PRId64,
        this->id ? this->id : "-", this->target->incarnation,
        how == MP_TARGET_WHOLE      ? "whole"
        : how == MP_TARGET_NOT_SENT ? "not-sent"
                                    : "cut",
        this->has_answered ? this->status : 0, MpLoop_Now() - this->sent_ms);
    if (how == MP_TARGET_WHOLE) {
        on_whole(this);
        return;
    }
    leave_target(this, MP_OUTCOME_FAILED);
    if (how == MP_TARGET_NOT_SENT) {
        next_step(this, MP_FATE_NOT_RUN, MP_ERROR_NO_TARGET);
        return;
    }
    next_step(this, this->forward.is_head_sent ? MP_FATE_CUT : MP_FATE_UNKNOWN,
              MP_ERROR_STREAM_CUT);
}

static const struct MpTargetConnClass attempt_class = {
    .head = on_head, .body = on_body, .end = on_end};

static void
send_attempt(struct MpGatewayCall *this, const struct MpPicked *picked)
{
    struct MpGateway *gateway = this->gateway;
    struct MpPoolTarget *target = picked->target;
    int64_t now_ms = MpLoop_Now();
    if (!target->connections) {
        target->connections =
            MpTargetPlace_New(gateway->loop, target->address);
    }
    this->stage = MP_CALL_RUNNING;
    this->target = target;
    this->sent_ms = now_ms;
    this->wait_ms = picked->wait_ms;
    this->prefill_tokens = picked->prefill_tokens;
    this->has_answered = false;
    this->is_relayed = false;
    this->status = 0;
    MpForward_Sent(&this->forward);
    MpPoolTarget_Begin(target, &this->facts, picked->prefill_tokens, now_ms);
    g_ptr_array_add(this->avoid, target);
    struct MpTargetRequest request = {
        .bytes = MpGatewayRequest_Make(this, target,
                                       MpForward_Left(&this->forward, now_ms)),
        .id_header = gateway->dialect->target.request,
        .id = this->id,
        .is_head = this->is_head,
    };
    this->conn = MpTargetPlace_Send(target->connections, &attempt_class, this,
                                    &request);
    MpLog_Event(
        LOG_INFO, "request-sent",
        "id=%s target=%s pool=%s attempt=%u wait_ms=%" PRId64
        " tokens=%" PRId64 " running=%d told_age_ms=%" PRId64 " list=%" PRIu64
        " left_ms=%" PRId64,
        this->id ? this->id : "-", target->incarnation, this->pool,
        this->forward.sends, picked->wait_ms, picked->prefill_tokens,
        target->running, target->told_ms > 0 ? now_ms - target->told_ms : -1,
        gateway->roster.version, MpForward_Left(&this->forward, now_ms));
}

/* Picks one of the pools of the path by their weights. */
static const char *
choose_pool(const struct MpPathConf *path)
{
    const struct MpShareConf *chosen = g_ptr_array_index(path->shares, 0);
    int64_t sum = 0;
    for (guint i = 0; i < path->shares->len; i++) {
        const struct MpShareConf *share = g_ptr_array_index(path->shares, i);
        sum += share->weight;
        /* Each share replaces the choice with its part of the sum so far. */
        if (share->weight > 0 &&
            g_random_double() * (double)sum < (double)share->weight) {
            chosen = share;
        }
    }
    return chosen->pool;
}

static void
start_attempt(struct MpGatewayCall *this)
{
    struct MpGateway *gateway = this->gateway;
    const struct MpPoolConf *pool =
        g_hash_table_lookup(this->document->pools, this->pool);
    struct MpPicked picked;
    struct MpPickAsk ask = {.pool = this->pool,
                            .facts = &this->facts,
                            .is_once = this->path->repeat == MP_REPEAT_ONCE,
                            .is_engine = pool->engine.slots > 0,
                            .avoid = this->avoid};
    int64_t now_ms = MpLoop_Now();
    int code = MpRoster_Pick(&gateway->roster, &ask, now_ms, &picked);
    if (code == MP_OK && this->forward.sends > 0 &&
        !MpRetryBudget_Take(MpGateway_Retries(gateway, this->pool),
                            gateway->fleet->instances, now_ms)) {
        gateway->retries_refused++;
        code = MP_ERROR_LIMIT;
    }
    if (code != MP_OK) {
        give_up(this, MpForward_NoTarget(&this->forward), code, RETRY_BUSY_MS);
        return;
    }
    send_attempt(this, &picked);
}

/* ---- time ---- */

static void
on_deadline(struct MpTimer *timer)
{
    struct MpGatewayCall *this = timer->data;
    enum MpForwardStep step = MpForward_Expired(&this->forward);
    if (step == MP_STEP_FAIL) {
        this->forward.may_have_run = true;
    }
    drop_attempt(this, this->has_answered ? MP_OUTCOME_CANCELLED
                                          : MP_OUTCOME_FAILED);
    give_up(this, step, MP_ERROR_TIMEOUT, 0);
}

static void
set_deadline(struct MpGatewayCall *this)
{
    MpLoop_SetTimer(this->gateway->loop, &this->timer,
                    MpForward_Left(&this->forward, MpLoop_Now()), on_deadline,
                    this);
}

/* ---- budget ---- */

static void
log_slice(const struct MpGatewayCall *this, const char *event)
{
    const struct MpSlices *slices = &this->gateway->slices;
    const struct MpSlice *slice =
        g_hash_table_lookup(slices->slices, this->workspace);
    MpLog_Event(LOG_WARNING, event,
                "id=%s workspace=%s wanted_mtok=%" PRId64 " held_mtok=%" PRId64
                " reserved_mtok=%" PRId64 " free_mtok=%" PRId64
                " answer_age_ms=%" PRId64 " rounds=%u",
                this->id ? this->id : "-", this->workspace,
                this->reserved_mtok, slice->held_mtok, slice->reserved_mtok,
                slice->free_mtok, MpLoop_Now() - slices->answered_ms,
                this->budget_rounds);
}

/* Another instance may hold what this one cannot get now. */
static void
on_budget_late(struct MpTimer *timer)
{
    struct MpGatewayCall *this = timer->data;
    log_slice(this, "budget-unanswered");
    this->reserved_mtok = 0;
    refuse(this, MP_ERROR_NO_QUORUM, RETRY_ELSEWHERE_MS);
}

void
MpGatewayCall_RetryBudget(struct MpGatewayCall *this, bool is_answered)
{
    int code =
        MpSlices_Reserve(&this->gateway->slices, this->workspace,
                         this->reserved_mtok, is_answered, MpLoop_Now());
    if (code == MP_OK) {
        this->boot = this->gateway->slices.boot;
        this->stage = MP_CALL_RUNNING;
        set_deadline(this);
        start_attempt(this);
        return;
    }
    this->budget_rounds += is_answered;
    if (code == MP_ERROR_RECALLING &&
        MpSlices_IsCutOff(&this->gateway->slices, MpLoop_Now())) {
        log_slice(this, "budget-cut-off");
        this->reserved_mtok = 0;
        refuse(this, MP_ERROR_NO_QUORUM, RETRY_ELSEWHERE_MS);
        return;
    }
    if (code == MP_ERROR_BUDGET) {
        log_slice(this, "budget-short");
        this->reserved_mtok = 0;
        refuse(this, MP_ERROR_BUDGET, 0);
    }
}

static void
take_budget(struct MpGatewayCall *this)
{
    const struct MpWorkspaceConf *workspace =
        this->workspace
            ? g_hash_table_lookup(this->document->workspaces, this->workspace)
            : NULL;
    int64_t tokens =
        this->facts.prompt_tokens + this->facts.output_tokens_most;
    if (!workspace || workspace->prepaid_tokens < 0 || tokens == 0) {
        start_attempt(this);
        return;
    }
    this->stage = MP_CALL_BUDGET;
    this->reserved_mtok = tokens * MTOK_PER_TOKEN;
    MpLoop_SetTimer(this->gateway->loop, &this->timer, BUDGET_WAIT_MS,
                    on_budget_late, this);
    MpGatewayCall_RetryBudget(this, false);
}

/* ---- the caller ---- */

static void
on_caller_gone(void *owner)
{
    struct MpGatewayCall *this = owner;
    if (this->stage == MP_CALL_RUNNING &&
        MpForward_OutlivesCaller(&this->forward)) {
        return;
    }
    if (this->stage != MP_CALL_ENDED) {
        if (this->stage == MP_CALL_BUDGET) {
            this->reserved_mtok = 0;
        }
        this->forward.may_have_run |= this->forward.sends > 0;
        drop_attempt(this, MP_OUTCOME_CANCELLED);
        end(this, "caller-gone", MP_OK);
    }
    call_free(this);
}

static void
on_drained(void *owner)
{
    struct MpGatewayCall *this = owner;
    if (this->conn) {
        MpTargetConn_Resume(this->conn);
    }
}

static void
on_sent(void *owner)
{
    struct MpGatewayCall *this = owner;
    if (this->stage == MP_CALL_ENDED) {
        call_free(this);
    }
}

static const struct MpCallerAnswerClass answer_class = {
    .gone = on_caller_gone, .drained = on_drained, .sent = on_sent};

void
MpGatewayCall_CheckCaller(struct MpGatewayCall *this, int64_t now_ms)
{
    if (this->stage == MP_CALL_ENDED || !this->answer.req ||
        now_ms - this->checked_ms < CALLER_CHECK_MS) {
        return;
    }
    this->checked_ms = now_ms;
    if (!MpCallerAnswer_IsCallerGone(&this->answer)) {
        return;
    }
    if (this->stage == MP_CALL_RUNNING &&
        MpForward_OutlivesCaller(&this->forward)) {
        return;
    }
    if (this->stage == MP_CALL_BUDGET) {
        this->reserved_mtok = 0;
    }
    this->forward.may_have_run |= this->forward.sends > 0;
    drop_attempt(this, MP_OUTCOME_CANCELLED);
    give_up(this, this->forward.is_head_sent ? MP_STEP_CUT : MP_STEP_FAIL,
            MP_ERROR_CLOSED, 0);
}

/* ---- arrival ---- */

void
MpGatewayCall_Begin(struct MpGateway *gateway, h2o_req_t *req)
{
    struct MpGatewayCall *this = g_new0(struct MpGatewayCall, 1);
    int64_t now_ms = MpLoop_Now();
    this->gateway = gateway;
    this->partial = g_byte_array_new();
    this->avoid = g_ptr_array_new();
    this->link.data = this;
    this->checked_ms = now_ms;
    this->forward.began_ms = now_ms;
    g_queue_push_tail_link(&gateway->calls, &this->link);
    MpCallerAnswer_Init(&this->answer, &answer_class, this, req);
    if (!gateway->fleet->document) {
        refuse(this, MP_ERROR_NOT_READY, RETRY_NOT_READY_MS);
        return;
    }
    if (gateway->is_leaving && now_ms >= gateway->refuse_from_ms) {
        refuse(this, MP_ERROR_DRAINING, RETRY_LEAVING_MS);
        return;
    }
    this->document = MpDocument_Ref(gateway->fleet->document);
    int code = MpGatewayRequest_Read(this, req);
    if (code != MP_OK) {
        refuse(this, code, 0);
        return;
    }
    MpForward_Init(&this->forward, this->path, this->facts.deadline_ms,
                   this->facts.resume_after, now_ms);
    this->pool = choose_pool(this->path);
    MpRetryBudget_Request(MpGateway_Retries(gateway, this->pool), now_ms);
    set_deadline(this);
    take_budget(this);
}
