#include "transport/GatewayCall.h"

#include "state/Error.h"
#include "transport/ErrorBody.h"
#include "transport/GatewayAttempt.h"
#include "transport/GatewayLoans.h"
#include "transport/GatewayRequest.h"
#include "transport/GatewaySuspect.h"
#include "transport/HttpServer.h"
#include "transport/Log.h"

#include <inttypes.h>
#include <string.h>

/* Longest wait for a part of the budget, ms: a quorum that is there answers
 * within a few round trips and syncs. */
#define BUDGET_WAIT_MS 300
/* Time for a caller to take what is ready of an answer that ends, ms: a round
 * trip or two. */
#define CUT_WAIT_MS 200
/* Pause between two looks for a caller, ms. */
#define CALLER_CHECK_MS 200
/* When a caller may come back, ms. */
#define RETRY_ELSEWHERE_MS 200
#define RETRY_NOT_READY_MS 300
#define RETRY_LEAVING_MS 20

/* ---- life ---- */

void
MpGatewayCall_Free(struct MpGatewayCall *this)
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

/* Gives back what of the reservation was not used; returns what was, in
 * tokens. */
static int64_t
settle(struct MpGatewayCall *this)
{
    const struct MpForward *forward = &this->forward;
    const struct MpPoolConf *pool =
        this->pool ? g_hash_table_lookup(this->document->pools, this->pool)
                   : NULL;
    if (this->reserved_mtok == 0) {
        return 0;
    }
    int64_t output =
        pool ? forward->events * MAX(pool->engine.event_tokens, 1) : 0;
    int64_t used = 0;
    /* A caller that got no answer, or a failure, is charged nothing. */
    if (forward->is_head_sent && this->head_status < 400) {
        used = this->facts.prompt_tokens +
               MIN(output, this->facts.output_tokens_max);
    }
    MpSlices_Settle(&this->gateway->slices, this->workspace,
                    this->reserved_mtok, used * MP_MTOK_PER_TOKEN);
    this->reserved_mtok = 0;
    return used;
}

/* Latencies by path, of which there are few; counts by workspace. */
static void
count_end(const struct MpGatewayCall *this, const char *outcome,
          int64_t billed, int64_t now_ms)
{
    struct MpMetrics *metrics = this->gateway->metrics;
    MpMetrics_Count(metrics, "mimosapath_path_ended_total", "outcome", outcome,
                    1);
    if (this->path) {
        MpHistogram_Add(MpMetrics_Histogram(metrics, "mimosapath_path_took_ms",
                                            "path", this->path->name),
                        (uint64_t)(now_ms - this->forward.began_ms));
    }
    if (this->path && this->forward.is_head_sent) {
        MpHistogram_Add(MpMetrics_Histogram(metrics,
                                            "mimosapath_path_first_ms", "path",
                                            this->path->name),
                        (uint64_t)this->first_ms);
    }
    if (this->workspace) {
        MpMetrics_Count(metrics, "mimosapath_workspace_ended_total",
                        "workspace", this->workspace, 1);
        MpMetrics_Count(metrics, "mimosapath_workspace_billed_tokens_total",
                        "workspace", this->workspace, (uint64_t)billed);
    }
}

void
MpGatewayCall_End(struct MpGatewayCall *this, const char *outcome, int code)
{
    const struct MpForward *forward = &this->forward;
    int64_t now_ms = MpLoop_Now();
    this->stage = MP_CALL_ENDED;
    MpLoop_ClearTimer(&this->timer);
    MpGatewaySuspect_End(this);
    int64_t billed = settle(this);
    count_end(this, outcome, billed, now_ms);
    MpLog_Event(code == MP_OK ? LOG_INFO : LOG_WARNING, "request-ended",
                "id=%s same=%s path=%s workspace=%s outcome=%s error=%s "
                "status=%d attempts=%u events=%" PRId64 " billed=%" PRId64
                " prompt=%" PRId64 " most=%" PRId64 " after=%" PRId64
                " first_ms=%" PRId64 " took_ms=%" PRId64 " document=%" PRIu64,
                this->id ? this->id : "-", this->same[0] ? this->same : "-",
                this->path ? this->path->name : "-",
                this->workspace ? this->workspace : "-", outcome,
                MpError_Name(code), this->status, forward->sends,
                forward->events, billed, this->facts.prompt_tokens,
                this->facts.output_tokens_max, this->facts.resume_after,
                this->first_ms, now_ms - forward->began_ms,
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
    if (gateway->dialect->has_decimal_retry_after) {
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
    MpGatewayCall_End(this, "refused", code);
    if (req) {
        /* Each arrival on a path counts by itself. */
        const char *run = may_have_run ? "unknown" : "no";
        char *text = MpErrorBody_Format(code, NULL, run);
        MpHttp_AddHeader(req, "x-mimosapath-run", run);
        add_retry_after(this->gateway, req, retry_after_ms);
        if (code == MP_ERROR_INVALID) {
            req->http1_is_persistent = 0;
        }
        MpHttp_Send(req, MpError_Info(code)->http_status, "application/json",
                    text, strlen(text));
        g_free(text);
    }
    MpGatewayCall_Free(this);
}

static void
on_cut_late(struct MpTimer *timer)
{
    struct MpGatewayCall *this = timer->data;
    MpLog_Event(LOG_NOTICE, "caller-too-slow",
                "id=%s same=%s left_bytes=%u events=%" PRId64,
                this->id ? this->id : "-", this->same,
                this->answer.sending->len + this->answer.out->len,
                this->forward.events);
    MpCallerAnswer_Close(&this->answer);
}

/* Carries out a step that ends the request. */
void
MpGatewayCall_GiveUp(struct MpGatewayCall *this, enum MpForwardStep step,
                     int code, int64_t retry_after_ms)
{
    if (step == MP_STEP_CUT) {
        MpGatewayCall_End(this, "cut", code);
        if (!this->answer.req) {
            MpGatewayCall_Free(this);
            return;
        }
        MpLoop_SetTimer(this->gateway->loop, &this->timer, CUT_WAIT_MS,
                        on_cut_late, this);
        MpCallerAnswer_Abort(&this->answer);
        return;
    }
    if (step == MP_STEP_FAIL) {
        refuse(this, code == MP_ERROR_CLOSED ? code : MP_ERROR_TARGET_FAILED,
               0);
        return;
    }
    refuse(this, code, retry_after_ms);
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
    int64_t now_ms = MpLoop_Now();
    MpLog_Event(LOG_WARNING, "deadline-passed",
                "id=%s target=%s attempts=%u events=%" PRId64
                " allowed_ms=%" PRId64 " silent_ms=%" PRId64,
                this->id ? this->id : "-",
                this->target ? this->target->incarnation : "-",
                this->forward.sends, this->forward.events,
                this->forward.deadline_ms - this->forward.began_ms,
                this->target ? now_ms - this->heard_ms : -1);
    MpGatewayAttempt_Drop(this, this->has_answered ? MP_OUTCOME_CANCELLED
                                                   : MP_OUTCOME_FAILED);
    MpGatewayCall_GiveUp(this, step, MP_ERROR_TIMEOUT, 0);
}

static void
set_deadline(struct MpGatewayCall *this)
{
    MpLoop_SetTimer(this->gateway->loop, &this->timer,
                    MpForward_TimeLeft(&this->forward, MpLoop_Now()),
                    on_deadline, this);
}

/* ---- budget ---- */

static void
log_slice(const struct MpGatewayCall *this, const char *event)
{
    const struct MpSlices *slices = &this->gateway->slices;
    const struct MpSlice *slice =
        g_hash_table_lookup(slices->slices, this->workspace);
    const struct MpWorkspaceConf *workspace =
        g_hash_table_lookup(this->document->workspaces, this->workspace);
    MpLog_Event(LOG_WARNING, event,
                "id=%s workspace=%s wanted_mtok=%" PRId64 " held_mtok=%" PRId64
                " purse_mtok=%" PRId64 " reserved_mtok=%" PRId64
                " free_mtok=%" PRId64 " keeps=%d answer_age_ms=%" PRId64
                " heard_age_ms=%" PRId64 " rounds=%u prepaid=%" PRId64,
                this->id ? this->id : "-", this->workspace,
                this->reserved_mtok, slice->held_mtok, slice->balance_mtok,
                slice->reserved_mtok, slice->free_mtok, slice->is_primary,
                MpLoop_Now() - slices->answered_ms,
                MpLoop_Now() - slices->quorum_reply_ms, this->budget_rounds,
                workspace->prepaid_tokens);
}

/* Another instance may hold what this one cannot get now. */
static void
on_budget_late(struct MpTimer *timer)
{
    struct MpGatewayCall *this = timer->data;
    if (MpSlices_Missing(&this->gateway->slices, this->workspace,
                         this->reserved_mtok) == 0) {
        MpGatewayCall_RetryBudget(this, false);
        return;
    }
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
        MpGatewayLoans_Refill(this->gateway->loans, this->workspace);
        this->stage = MP_CALL_RUNNING;
        set_deadline(this);
        MpGatewayAttempt_Start(this);
        return;
    }
    this->budget_rounds += is_answered;
    bool is_spent = code == MP_ERROR_BUDGET;
    bool is_final =
        MpSlices_IsExhausted(&this->gateway->slices, this->workspace,
                             this->reserved_mtok, MpLoop_Now());
    if (!is_final && MpGatewayLoans_Seek(this->gateway->loans, this->workspace,
                                         this->reserved_mtok, is_spent)) {
        return;
    }
    log_slice(this, is_spent ? "budget-short" : "budget-cut-off");
    this->reserved_mtok = 0;
    refuse(this, is_spent ? MP_ERROR_BUDGET : MP_ERROR_NO_QUORUM,
           is_spent ? 0 : RETRY_ELSEWHERE_MS);
}

void
MpGatewayCall_TakeBudget(struct MpGatewayCall *this)
{
    const struct MpWorkspaceConf *workspace =
        this->workspace
            ? g_hash_table_lookup(this->document->workspaces, this->workspace)
            : NULL;
    int64_t tokens = this->facts.prompt_tokens + this->facts.output_tokens_max;
    if (!workspace || workspace->prepaid_tokens < 0 || tokens == 0) {
        MpGatewayAttempt_Start(this);
        return;
    }
    this->stage = MP_CALL_BUDGET;
    this->reserved_mtok = tokens * MP_MTOK_PER_TOKEN;
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
        MpForward_SurvivesDisconnect(&this->forward)) {
        return;
    }
    if (this->stage != MP_CALL_ENDED) {
        if (this->stage == MP_CALL_BUDGET) {
            this->reserved_mtok = 0;
        }
        this->forward.may_have_run |= this->forward.sends > 0;
        MpGatewayAttempt_Drop(this, MP_OUTCOME_CANCELLED);
        MpGatewayCall_End(this, "caller-gone", MP_OK);
    }
    MpGatewayCall_Free(this);
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
        MpGatewayCall_Free(this);
    }
}

static const struct MpCallerAnswerClass answer_class = {
    .gone = on_caller_gone, .drained = on_drained, .sent = on_sent};

bool
MpGatewayCall_CheckCaller(struct MpGatewayCall *this, int64_t now_ms)
{
    if (this->stage == MP_CALL_ENDED || !this->answer.req ||
        now_ms - this->checked_ms < CALLER_CHECK_MS) {
        return false;
    }
    this->checked_ms = now_ms;
    if (!MpCallerAnswer_IsCallerGone(&this->answer)) {
        return false;
    }
    if (this->stage == MP_CALL_RUNNING &&
        MpForward_SurvivesDisconnect(&this->forward)) {
        return false;
    }
    if (this->stage == MP_CALL_BUDGET) {
        this->reserved_mtok = 0;
    }
    this->forward.may_have_run |= this->forward.sends > 0;
    MpGatewayAttempt_Drop(this, MP_OUTCOME_CANCELLED);
    MpGatewayCall_GiveUp(
        this, this->forward.is_head_sent ? MP_STEP_CUT : MP_STEP_FAIL,
        MP_ERROR_CLOSED, 0);
    return true;
}

/* ---- arrival ---- */

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
    this->run = (uint64_t)g_random_int() << 32 | g_random_int();
    this->forward.began_ms = now_ms;
    g_queue_push_tail_link(&gateway->calls, &this->link);
    MpCallerAnswer_Init(&this->answer, &answer_class, this, req);
    if (!gateway->fleet->document || !MpGateway_HasTargets(gateway)) {
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
    if (gateway->is_leaving && this->path->is_stream &&
        this->forward.deadline_ms > gateway->stop_ms) {
        refuse(this, MP_ERROR_DRAINING, RETRY_LEAVING_MS);
        return;
    }
    this->pool = choose_pool(this->path);
    MpRetryBudget_CountRequest(MpGateway_Retries(gateway, this->pool), now_ms);
    set_deadline(this);
    MpGatewaySuspect_Admit(this);
}
