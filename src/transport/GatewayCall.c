#include "transport/GatewayCall.h"

#include "state/Error.h"
#include "transport/CallerProbe.h"
#include "transport/ErrorBody.h"
#include "transport/GatewayAttempt.h"
#include "transport/GatewayCaller.h"
#include "transport/GatewayLoad.h"
#include "transport/GatewayLoans.h"
#include "transport/GatewayPermits.h"
#include "transport/GatewayRequest.h"
#include "transport/GatewaySuspect.h"
#include "transport/GatewayVersions.h"
#include "transport/HttpServer.h"
#include "transport/Log.h"

#include <inttypes.h>
#include <string.h>

/* Longest wait for budget, ms; a reachable quorum answers within a few round
 * trips and disk syncs. */
#define BUDGET_WAIT_MS 300
/* Time for a caller to read the buffered rest of an aborted response, ms; one
 * or two round trips. */
#define ABORT_WAIT_MS 200
/* Retry-After values, ms. */
#define RETRY_AFTER_NO_QUORUM_MS 200
#define RETRY_AFTER_NOT_READY_MS 300
#define RETRY_AFTER_DRAINING_MS 20

/* ---- lifetime ---- */

void
MpGatewayCall_Free(struct MpGatewayCall *this)
{
    g_queue_unlink(&this->gateway->calls, &this->link);
    MpLoop_ClearTimer(&this->timer);
    MpGatewayVersions_CancelRecord(this);
    MpCallerResponse_Done(&this->response);
    MpDocument_Unref(this->document);
    g_free(this->id);
    g_free(this->resumes);
    g_free(this->version);
    if (this->head) {
        g_byte_array_unref(this->head);
    }
    g_clear_pointer(&this->body, MpRequestBody_Unref);
    g_byte_array_unref(this->partial);
    g_ptr_array_unref(this->tried);
    g_free(this);
}

/* Returns the unused part of the reservation to the balance.  Returns the used
 * part in tokens. */
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
    /* A caller that got an error or no response is not charged. */
    if (forward->is_head_sent && this->caller_status < 400) {
        used = this->meta.prompt_tokens +
               MIN(output, this->meta.output_tokens_max);
    }
    MpSlices_Settle(&this->gateway->slices, this->workspace,
                    this->reserved_mtok, used * MP_MTOK_PER_TOKEN);
    this->reserved_mtok = 0;
    return used;
}

/* Counts latencies per path, as there are few paths, and requests and tokens
 * per workspace. */
static void
count_outcome(const struct MpGatewayCall *this, const char *outcome,
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
                        (uint64_t)this->first_byte_ms);
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
    g_clear_pointer(&this->probe, MpCallerProbe_Cancel);
    MpGatewayPermits_Cancel(this);
    MpGatewayVersions_Cancel(this);
    MpGatewaySuspect_End(this);
    int64_t billed = settle(this);
    count_outcome(this, outcome, billed, now_ms);
    MpLog_Event(
        code == MP_OK ? LOG_INFO : LOG_WARNING, "request-ended",
        "id=%s same=%s path=%s workspace=%s outcome=%s error=%s "
        "status=%d attempts=%u events=%" PRId64 " billed=%" PRId64
        " prompt=%" PRId64 " most=%" PRId64 " after=%" PRId64 " resumes=%s"
        " first_ms=%" PRId64 " record_ms=%" PRId64 " took_ms=%" PRId64
        " document=%" PRIu64,
        this->id ? this->id : "-",
        this->fingerprint_hex[0] ? this->fingerprint_hex : "-",
        this->path ? this->path->name : "-",
        this->workspace ? this->workspace : "-", outcome, MpError_Name(code),
        this->status, forward->sends, forward->events, billed,
        this->meta.prompt_tokens, this->meta.output_tokens_max,
        this->meta.resume_after, this->resumes ? this->resumes : "-",
        this->first_byte_ms, this->record_wait_ms, now_ms - forward->began_ms,
        this->document ? this->document->version : 0);
}

void
MpGatewayCall_Finish(struct MpGatewayCall *this)
{
    MpGatewayCall_End(this, this->status < 500 ? "answered" : "target-error",
                      MP_OK);
    if (!this->response.req) {
        MpGatewayCall_Free(this);
        return;
    }
    MpCallerResponse_Finish(&this->response);
}

bool
MpGatewayCall_IsResumable(const struct MpGatewayCall *this)
{
    return this->path->repeat == MP_REPEAT_RESUME;
}

int64_t
MpGatewayCall_Rank(const struct MpGatewayCall *this)
{
    const struct MpWorkspaceConf *workspace =
        this->workspace
            ? g_hash_table_lookup(this->document->workspaces, this->workspace)
            : NULL;
    return workspace && workspace->path_priority >= 0
               ? workspace->path_priority
               : this->path->priority;
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

/* Sends an error response of this instance and ends the call. */
static void
refuse(struct MpGatewayCall *this, int code, int64_t retry_after_ms)
{
    bool may_have_run = this->forward.may_have_run;
    h2o_req_t *req = MpCallerResponse_Release(&this->response);
    MpGatewayCall_End(this, "refused", code);
    if (req) {
        /* Covers this request only, not earlier ones that it repeats. */
        const char *run = may_have_run ? "unknown" : "no";
        char *text = MpErrorBody_Format(code, NULL, run);
        MpHttp_AddHeader(req, MP_RUN_HEADER, run);
        MpGatewayRequest_AddId(this, req);
        add_retry_after(this->gateway, req, retry_after_ms);
        if (code == MP_ERROR_INVALID) {
            req->http1_is_persistent = 0;
        }
        if (code == MP_ERROR_OVERLOADED) {
            MpGatewayLoad_MoveRefused(this->gateway, req);
        }
        MpHttp_Send(req, MpError_Info(code)->http_status, "application/json",
                    text, strlen(text));
        g_free(text);
    }
    MpGatewayCall_Free(this);
}

static void
on_abort_timeout(struct MpTimer *timer)
{
    struct MpGatewayCall *this = timer->data;
    MpLog_Event(LOG_NOTICE, "caller-too-slow",
                "id=%s same=%s left_bytes=%u events=%" PRId64,
                this->id ? this->id : "-", this->fingerprint_hex,
                this->response.sending->len + this->response.pending->len,
                this->forward.events);
    MpCallerResponse_Close(&this->response);
}

/* Returns whether the events of a stream that broke off can still reach its
 * caller, when they are recorded. */
static bool
may_wait_for_record(const struct MpGatewayCall *this, int code)
{
    return !this->is_cut_held && this->timer.position &&
           code != MP_ERROR_DRAINING;
}

void
MpGatewayCall_GiveUp(struct MpGatewayCall *this, enum MpForwardStep step,
                     int code, int64_t retry_after_ms)
{
    if (step == MP_STEP_CUT && MpCallerResponse_IsHeld(&this->response)) {
        if (may_wait_for_record(this, code)) {
            this->is_cut_held = true;
            this->held_code = code;
            MpGatewaySuspect_End(this);
            return;
        }
        MpGatewayVersions_DropHeld(this);
        step = MP_STEP_FAIL;
    }
    if (step == MP_STEP_CUT) {
        MpGatewayCall_End(this, "cut", code);
        if (!this->response.req) {
            MpGatewayCall_Free(this);
            return;
        }
        MpLoop_SetTimer(this->gateway->loop, &this->timer, ABORT_WAIT_MS,
                        on_abort_timeout, this);
        MpCallerResponse_Abort(&this->response);
        return;
    }
    if (step == MP_STEP_FAIL) {
        refuse(this,
               code == MP_ERROR_OUTCOME_UNKNOWN ? code
                                                : MP_ERROR_TARGET_FAILED,
               0);
        return;
    }
    refuse(this, code, retry_after_ms);
}

/* ---- the end of the drain ---- */

void
MpGatewayCall_Stop(struct MpGatewayCall *this)
{
    enum MpForwardStep step = MpForward_Expired(&this->forward);
    if (this->stage == MP_CALL_ENDED) {
        return;
    }
    if (step == MP_STEP_FAIL) {
        this->forward.may_have_run = true;
    }
    MpLog_Event(
        LOG_WARNING, "request-outlasts-drain",
        "id=%s target=%s attempts=%u events=%" PRId64 " took_ms=%" PRId64,
        this->id ? this->id : "-",
        this->target ? this->target->incarnation : "-", this->forward.sends,
        this->forward.events, MpLoop_Now() - this->forward.began_ms);
    MpGatewayAttempt_Cancel(this, MP_OUTCOME_CANCELLED);
    MpGatewayCall_GiveUp(this, step, MP_ERROR_DRAINING,
                         RETRY_AFTER_DRAINING_MS);
}

/* ---- deadline ---- */

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
                this->target ? now_ms - this->received_ms : -1);
    bool is_target_late =
        !this->has_response && !MpGatewayLoad_IsSaturated(this->gateway);
    MpGatewayAttempt_Cancel(this, is_target_late ? MP_OUTCOME_FAILED
                                                 : MP_OUTCOME_CANCELLED);
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

/* Refuses with a Retry-After, because another instance may hold budget that
 * this one cannot get now. */
static void
on_budget_timeout(struct MpTimer *timer)
{
    struct MpGatewayCall *this = timer->data;
    if (MpSlices_Missing(&this->gateway->slices, this->workspace,
                         this->reserved_mtok) == 0) {
        MpGatewayCall_RetryReserve(this, false);
        return;
    }
    log_slice(this, "budget-unanswered");
    this->reserved_mtok = 0;
    refuse(this, MP_ERROR_NO_QUORUM, RETRY_AFTER_NO_QUORUM_MS);
}

void
MpGatewayCall_RetryReserve(struct MpGatewayCall *this, bool is_answered)
{
    int code =
        MpSlices_Reserve(&this->gateway->slices, this->workspace,
                         this->reserved_mtok, is_answered, MpLoop_Now());
    if (code == MP_OK) {
        MpGatewayLoans_Prefetch(this->gateway->loans, this->workspace);
        this->stage = MP_CALL_RUNNING;
        set_deadline(this);
        MpGatewayAttempt_Start(this);
        return;
    }
    this->budget_rounds += is_answered;
    bool is_exhausted = code == MP_ERROR_BUDGET;
    bool is_final =
        MpSlices_IsExhausted(&this->gateway->slices, this->workspace,
                             this->reserved_mtok, MpLoop_Now());
    if (!is_final &&
        MpGatewayLoans_RequestLoan(this->gateway->loans, this->workspace,
                                   this->reserved_mtok, is_exhausted)) {
        return;
    }
    log_slice(this, is_exhausted ? "budget-short" : "budget-cut-off");
    this->reserved_mtok = 0;
    refuse(this, is_exhausted ? MP_ERROR_BUDGET : MP_ERROR_NO_QUORUM,
           is_exhausted ? 0 : RETRY_AFTER_NO_QUORUM_MS);
}

void
MpGatewayCall_ReserveBudget(struct MpGatewayCall *this)
{
    const struct MpWorkspaceConf *workspace =
        this->workspace
            ? g_hash_table_lookup(this->document->workspaces, this->workspace)
            : NULL;
    int64_t tokens = this->meta.prompt_tokens + this->meta.output_tokens_max;
    if (!workspace || workspace->prepaid_tokens < 0 || tokens == 0) {
        MpGatewayAttempt_Start(this);
        return;
    }
    this->stage = MP_CALL_BUDGET;
    this->reserved_mtok = tokens * MP_MTOK_PER_TOKEN;
    MpLoop_SetTimer(this->gateway->loop, &this->timer, BUDGET_WAIT_MS,
                    on_budget_timeout, this);
    MpGatewayCall_RetryReserve(this, false);
}

/* ---- arrival ---- */

/* Picks one of the path's pools at random, by weight. */
static const char *
choose_pool(const struct MpPathConf *path)
{
    const struct MpShareConf *chosen = g_ptr_array_index(path->shares, 0);
    int64_t sum = 0;
    for (guint i = 0; i < path->shares->len; i++) {
        const struct MpShareConf *share = g_ptr_array_index(path->shares, i);
        sum += share->weight;
        /* A share replaces the choice with probability weight / sum. */
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
    this->tried = g_ptr_array_new();
    this->link.data = this;
    this->caller_checked_ms = now_ms;
    this->run_id = (uint64_t)g_random_int() << 32 | g_random_int();
    this->forward.began_ms = now_ms;
    g_queue_push_tail_link(&gateway->calls, &this->link);
    MpCallerResponse_Init(&this->response, &MpGatewayCaller_Class, this, req,
                          gateway->memory);
    if (!gateway->control->document || !MpGateway_HasTargets(gateway)) {
        refuse(this, MP_ERROR_NOT_READY, RETRY_AFTER_NOT_READY_MS);
        return;
    }
    if (gateway->is_draining && now_ms >= gateway->refuse_from_ms) {
        refuse(this, MP_ERROR_DRAINING, RETRY_AFTER_DRAINING_MS);
        return;
    }
    this->document = MpDocument_Ref(gateway->control->document);
    int code = MpGatewayRequest_Read(this, req);
    if (code != MP_OK) {
        refuse(this, code, 0);
        return;
    }
    MpForward_Init(&this->forward, this->path, this->meta.deadline_ms,
                   this->meta.resume_after, now_ms);
    /* It could outlast the process, and nobody would get its answer. */
    if (gateway->is_draining && this->forward.deadline_ms > gateway->stop_ms) {
        refuse(this, MP_ERROR_DRAINING, RETRY_AFTER_DRAINING_MS);
        return;
    }
    int64_t retry_after_ms;
    if (!MpGatewayLoad_Admit(this, &retry_after_ms)) {
        refuse(this, MP_ERROR_OVERLOADED, retry_after_ms);
        return;
    }
    this->pool = choose_pool(this->path);
    MpRetryBudget_CountRequest(MpGateway_GetRetryBudget(gateway, this->pool),
                               now_ms);
    set_deadline(this);
    MpGatewaySuspect_Admit(this);
}
