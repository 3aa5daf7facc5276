#include "transport/GatewayAttempt.h"

#include "state/Error.h"
#include "transport/GatewayAdmission.h"
#include "transport/GatewayCaller.h"
#include "transport/GatewayLoad.h"
#include "transport/GatewayNotice.h"
#include "transport/GatewayPermits.h"
#include "transport/GatewayRequest.h"
#include "transport/GatewayResponse.h"
#include "transport/GatewaySpeed.h"
#include "transport/GatewayStream.h"
#include "transport/GatewaySuspect.h"
#include "transport/GatewayVersions.h"
#include "transport/HttpServer.h"
#include "transport/Log.h"

#include <inttypes.h>
#include <string.h>

/* Shortest Retry-After when no target takes a request now, ms. */
#define RETRY_AFTER_MIN_MS 100

static bool
may_retry(struct MpGatewayCall *this)
{
    return MpRetryBudget_MayRetry(
        MpGateway_GetRetryBudget(this->gateway, this->pool),
        MpGateway_CountRetryFleet(this->gateway), MpLoop_Now());
}

/* Ends the attempt's use of its target. */
static void
release_target(struct MpGatewayCall *this, enum MpTargetOutcome outcome)
{
    if (!this->target) {
        return;
    }
    MpGatewaySpeed_End(this);
    MpPoolTarget_EndAttempt(&this->gateway->roster, this->target,
                            this->has_response, this->prefill_tokens, outcome,
                            MpLoop_Now());
    this->target = NULL;
    this->conn = NULL;
}

void
MpGatewayAttempt_Cancel(struct MpGatewayCall *this,
                        enum MpTargetOutcome outcome)
{
    if (this->conn) {
        MpTargetConn_Cancel(this->conn);
    }
    MpGatewayResponse_DropHead(this);
    release_target(this, outcome);
}

/* Takes the next step after an attempt.  While the target is being probed, a
 * request that may be sent again waits for the result first. */
static void
run_next_step(struct MpGatewayCall *this, enum MpForwardResult result,
              int code)
{
    enum MpForwardStep step = MpForward_EndAttempt(
        &this->forward, result, may_retry(this), MpLoop_Now());
    bool is_sent_again = step == MP_STEP_SEND || step == MP_STEP_RESUME;
    this->is_caller_asked = false;
    if (is_sent_again && MpGatewayCaller_EndIfLeft(this)) {
        return;
    }
    if (!is_sent_again) {
        MpGatewayCall_GiveUp(this, step, code,
                             MpGatewayNotice_RetryAfter(
                                 this, MP_RETRY_AFTER_BUSY_MS, MpLoop_Now()));
        return;
    }
    g_byte_array_set_size(this->partial, 0);
    if (this->check) {
        MpGatewaySuspect_WaitForProbe(this);
        return;
    }
    MpGatewaySuspect_Admit(this);
}

/* Returns the result of an attempt that broke off or was given up. */
static enum MpForwardResult
result_of_break(const struct MpGatewayCall *this)
{
    return this->forward.is_head_sent ? MP_RESULT_CUT : MP_RESULT_UNKNOWN;
}

/* Returns whether the target rejected the request without running it. */
static bool
is_rejected(const struct MpGatewayCall *this, const struct MpTargetHead *head)
{
    size_t size;
    return head->status == 421 ||
           MpTargetHead_Find(head, this->gateway->dialect->target.not_run,
                             &size) != NULL;
}

static void
note_delay(struct MpGatewayCall *this, int64_t now_ms)
{
    int64_t target_ms = this->path->latency_target_ms;
    /* Answers of cold targets say nothing of the others. */
    if (target_ms > 0 && !this->is_cold) {
        MpGatewayAdmission_NoteDelay(this, now_ms);
        MpRoster_NoteDelay(
            &this->gateway->roster, this->target,
            (double)(now_ms - this->sent_ms) / (double)target_ms, now_ms);
    }
}

/* Ends an attempt whose answer may not be forwarded any further; it may have
 * run. */
static void
drop_answer(struct MpGatewayCall *this)
{
    bool is_refused = this->status >= 300 && this->status < 500;
    g_byte_array_set_size(this->partial, 0);
    MpGatewayAttempt_Cancel(this, is_refused ? MP_OUTCOME_REFUSED
                                             : MP_OUTCOME_ERROR);
    run_next_step(this, result_of_break(this), MP_ERROR_STREAM_CUT);
}

static void
on_head(void *owner, const struct MpTargetHead *head)
{
    struct MpGatewayCall *this = owner;
    int64_t now_ms = MpLoop_Now();
    this->status = head->status;
    this->received_ms = now_ms;
    this->is_rejected = is_rejected(this, head);
    MpGatewayNotice_Read(this, head, now_ms);
    this->has_response = true;
    int64_t took_ms = now_ms - this->sent_ms;
    MpPoolTarget_NoteFirstAnswer(this->target, this->prefill_tokens, took_ms,
                                 this->is_cold ? took_ms
                                               : this->expected_wait_ms);
    note_delay(this, now_ms);
    bool is_failure = head->status >= 500;
    if (this->is_rejected ||
        (is_failure &&
         MpForward_MayRetryError(&this->forward, may_retry(this), now_ms))) {
        MpTargetConn_SkipRest(this->conn, head);
        return;
    }
    if (!MpGatewayStream_Start(this, head)) {
        drop_answer(this);
        return;
    }
    /* No response is started for a caller that has disconnected. */
    this->caller_checked_ms = 0;
    if (MpGatewayCaller_Check(this, now_ms)) {
        return;
    }
    this->is_relayed = true;
    if (!this->forward.is_resuming) {
        MpGatewayResponse_TakeHead(this, head);
    }
}

static void
log_oversized_event(const struct MpGatewayCall *this)
{
    MpLog_Event(LOG_WARNING, "event-too-long",
                "id=%s same=%s target=%s bytes=%u events=%" PRId64,
                this->id ? this->id : "-", this->fingerprint_hex,
                this->target->incarnation, this->partial->len,
                this->forward.events);
}

static void
on_body(void *owner, const char *data, size_t size)
{
    struct MpGatewayCall *this = owner;
    this->received_ms = MpLoop_Now();
    MpGatewaySpeed_NoteReceived(this, size);
    if (!this->is_relayed) {
        return;
    }
    if (this->is_event_stream) {
        int code = MpGatewayStream_Forward(this, data, size);
        if (code == MP_ERROR_TOO_LARGE) {
            log_oversized_event(this);
        }
        if (code != MP_OK) {
            drop_answer(this);
            return;
        }
    }
    else {
        MpGatewayResponse_Write(this, data, size);
    }
    if (this->response.pending->len > MP_RESPONSE_HIGH_BYTES && this->conn) {
        MpGatewaySpeed_NoteHeld(this);
        MpTargetConn_Pause(this->conn);
    }
}

static void
finish_response(struct MpGatewayCall *this)
{
    bool is_ok = this->status < 500;
    if (!this->is_event_stream && this->status < 300) {
        MpGatewaySuspect_NoteContent(this);
    }
    MpGatewaySuspect_Answered(this);
    release_target(this, is_ok                   ? MP_OUTCOME_OK
                         : this->is_pause_answer ? MP_OUTCOME_REFUSED
                                                 : MP_OUTCOME_ERROR);
    if (MpCallerResponse_IsHeld(&this->response)) {
        this->is_finish_held = true;
        MpGatewaySuspect_End(this);
        return;
    }
    MpGatewayCall_Finish(this);
}

static void
on_complete(struct MpGatewayCall *this)
{
    if (this->is_relayed) {
        MpGatewayResponse_SendHead(this);
        finish_response(this);
        return;
    }
    bool is_resuming = this->forward.is_head_sent;
    if (this->is_rejected) {
        release_target(this, this->status == 421 ? MP_OUTCOME_REPLACED
                                                 : MP_OUTCOME_REFUSED);
        run_next_step(this, MP_RESULT_NOT_RUN,
                      is_resuming ? MP_ERROR_STREAM_CUT : MP_ERROR_NO_TARGET);
        return;
    }
    /* Whatever its status, the answer doesn't say that nothing has run. */
    release_target(this, this->status == 503 || this->status < 500
                             ? MP_OUTCOME_REFUSED
                             : MP_OUTCOME_ERROR);
    run_next_step(this, result_of_break(this),
                  is_resuming ? MP_ERROR_STREAM_CUT : MP_ERROR_TARGET_FAILED);
}

/* Ends a call whose connection timed out as this instance is overloaded: a
 * further attempt would wait in the same queue, and the caller's own retry
 * goes to another instance. */
static void
give_up_overloaded(struct MpGatewayCall *this)
{
    MpForward_EndAttempt(&this->forward, MP_RESULT_NOT_RUN, false,
                         MpLoop_Now());
    MpGatewayCall_GiveUp(
        this, MpForward_NoTarget(&this->forward), MP_ERROR_OVERLOADED,
        g_random_int_range(MP_LOAD_RETRY_MIN_MS, MP_LOAD_RETRY_MAX_MS));
}

static void
on_end(void *owner, enum MpTargetResult result)
{
    struct MpGatewayCall *this = owner;
    const struct MpTargetConn *conn = this->conn;
    bool is_peer_gone = MpTargetConn_IsPeerGone(conn);
    this->conn = NULL;
    result = MpGatewayStream_Result(this, result);
    bool is_complete =
        result == MP_TARGET_COMPLETE || result == MP_TARGET_CLOSED;
    MpLog_Event(is_complete ? LOG_DEBUG : LOG_WARNING, "attempt-ended",
                "id=%s target=%s how=%s why=%s status=%d events=%" PRId64
                " conn=%s by=%s peer=%s took_ms=%" PRId64,
                this->id ? this->id : "-", this->target->incarnation,
                is_complete                    ? "whole"
                : result == MP_TARGET_NOT_SENT ? "not-sent"
                                               : "cut",
                MpTargetConn_FailureReason(conn),
                this->has_response ? this->status : 0,
                this->forward.attempt_events,
                MpTargetConn_IsKept(conn) ? "kept" : "new",
                MpAttribution_Name(MpTargetConn_Attribution(conn)),
                MpTargetConn_Peer(conn), MpLoop_Now() - this->sent_ms);
    if (is_complete) {
        on_complete(this);
        return;
    }
    MpGatewayResponse_DropHead(this);
    /* Nothing is sent to a drained zone, and a failure there is more likely
     * that of the zone than of the request. */
    if (result == MP_TARGET_INCOMPLETE && !this->target->is_drained) {
        MpGatewaySuspect_ProbeTarget(this);
    }
    /* Neither a lost path nor the instance between tell of the target. */
    bool is_overloaded =
        result == MP_TARGET_NOT_SENT &&
        strcmp(MpTargetConn_FailureReason(conn), MP_DIAL_OVERLOADED) == 0;
    bool is_unwanted =
        result == MP_TARGET_NOT_SENT &&
        strcmp(MpTargetConn_FailureReason(conn), MP_TARGET_UNWANTED) == 0;
    bool is_target_at_fault =
        !is_peer_gone && !is_overloaded && !is_unwanted &&
        !MpTargetPaths_IsInDoubt(&this->gateway->dialer.paths);
    release_target(this, is_target_at_fault ? MP_OUTCOME_FAILED
                                            : MP_OUTCOME_CANCELLED);
    if (is_overloaded) {
        give_up_overloaded(this);
        return;
    }
    if (result == MP_TARGET_NOT_SENT) {
        run_next_step(this, MP_RESULT_NOT_RUN, MP_ERROR_NO_TARGET);
        return;
    }
    run_next_step(this, result_of_break(this), MP_ERROR_STREAM_CUT);
}

static bool
is_wanted(void *owner)
{
    return !MpGatewayCaller_MayHaveLeft(owner);
}

static const struct MpTargetConnClass attempt_class = {
    .is_wanted = is_wanted, .head = on_head, .body = on_body, .end = on_end};

/* Bytes of the list of a request's parts in a log line. */
#define PARTS_LOG_BYTES 128

/* Writes the ids of the first parts of the prompt for a log line. */
static void
format_parts(const struct MpRequestMeta *meta, char *out)
{
    size_t used = 0;
    g_strlcpy(out, "-", PARTS_LOG_BYTES);
    for (uint32_t i = 0; i < meta->part_count; i++) {
        int size =
            g_snprintf(out + used, PARTS_LOG_BYTES - used, "%s%08x",
                       i > 0 ? "," : "", (unsigned)meta->parts[i].own_id);
        used += (size_t)size;
        if (used >= PARTS_LOG_BYTES) {
            return;
        }
    }
}

static void
send_attempt(struct MpGatewayCall *this, const struct MpPicked *picked)
{
    struct MpGateway *gateway = this->gateway;
    struct MpPoolTarget *target = picked->target;
    int64_t now_ms = MpLoop_Now();
    this->stage = MP_CALL_RUNNING;
    this->target = target;
    this->sent_ms = now_ms;
    this->received_ms = now_ms;
    this->expected_wait_ms = picked->wait_ms;
    this->prefill_tokens = picked->prefill_tokens;
    this->is_cold = picked->cold.is_set;
    gateway->cold_sent += picked->cold.is_set;
    this->has_response = false;
    this->is_rejected = false;
    this->is_relayed = false;
    this->is_head_held = false;
    this->is_event_stream = false;
    this->is_silence_borne = false;
    this->status = 0;
    MpForward_StartAttempt(&this->forward);
    MpGatewayNotice_Sent(this, target, now_ms);
    MpPoolTarget_StartAttempt(target, &this->meta, picked->prefill_tokens,
                              now_ms);
    g_ptr_array_add(this->tried, target);
    struct MpTargetRequest request = {
        .bytes = MpGatewayRequest_Build(
            this, target, MpForward_TimeLeft(&this->forward, now_ms)),
        .body = this->body,
        .id_header = gateway->dialect->target.request_id,
        .id = this->id,
        .is_head = this->is_head,
        .expected_ms = picked->wait_ms,
        .regions = &this->regions,
    };
    MpGatewaySpeed_NoteSent(this, request.bytes->len +
                                      (this->body ? this->body->size : 0));
    this->conn = MpConnPool_Send(MpGateway_GetConnPool(gateway, target),
                                 &attempt_class, this, &request);
    char parts[PARTS_LOG_BYTES];
    char speed[MP_SPEED_LOG_BYTES];
    format_parts(&this->meta, parts);
    MpGatewaySpeed_Format(gateway, picked, now_ms, speed);
    MpLog_Event(
        LOG_INFO, "request-sent",
        "id=%s same=%s parts=%s target=%s version=%s pool=%s attempt=%u "
        "wait_ms=%" PRId64 " tokens=%" PRId64
        " running=%d told_age_ms=%" PRId64 " list=%" PRIu64 " left_ms=%" PRId64
        " limit_mrps=%" PRId64 " cold=%d permit_ms=%" PRId64
        " closed_ms=%" PRId64 " %s",
        this->id ? this->id : "-", this->fingerprint_hex, parts,
        target->incarnation, target->version, this->pool, this->forward.sends,
        picked->wait_ms, picked->prefill_tokens, target->running,
        target->reported_ms > 0 ? now_ms - target->reported_ms : -1,
        gateway->roster.version, MpForward_TimeLeft(&this->forward, now_ms),
        target->limit.rate_mrps, this->is_cold, this->permit_wait_ms,
        this->closed_ms, speed);
    g_clear_pointer(&this->permitted, g_free);
    this->permit_tries = 0;
    this->permit_wait_ms = 0;
}

/* Refuses a request that no target takes now.  If permits are what is missing,
 * the caller comes back when the next one may be had. */
static void
give_up_pick(struct MpGatewayCall *this, const struct MpPoolQuery *query,
             const struct MpPicked *picked, int code, int64_t now_ms)
{
    const struct MpRoster *roster = &this->gateway->roster;
    struct MpPoolStatus status;
    MpRoster_GetPoolStatus(roster, query, now_ms, &status);
    int64_t retry_after_ms = MP_RETRY_AFTER_BUSY_MS;
    if (code == MP_ERROR_LIMIT && picked->queue_ms > 0) {
        retry_after_ms = picked->queue_ms - query->queue_max_ms;
    }
    else if (code == MP_ERROR_LIMIT && status.permit_ms > 0) {
        retry_after_ms = status.permit_ms - now_ms;
    }
    retry_after_ms = MpGatewayNotice_RetryAfter(
        this, MAX(retry_after_ms, RETRY_AFTER_MIN_MS), now_ms);
    MpLog_Event(
        LOG_WARNING, "target-none",
        "id=%s pool=%s error=%s attempt=%u listed=%u leaving=%u drained=%u "
        "paused=%u resting=%u tried=%u full=%u limited=%u cold=%u "
        "outside=%u queue_ms=%" PRId64 " list=%" PRIu64 " list_age_ms=%" PRId64
        " has_retry=%d",
        this->id ? this->id : "-", this->pool, MpError_Name(code),
        this->forward.sends + 1, status.listed, status.leaving, status.drained,
        status.ejected, status.resting, status.tried, status.full,
        status.limited, status.cold, status.outside, picked->queue_ms,
        roster->version,
        roster->listed_ms > 0 ? now_ms - roster->listed_ms : -1,
        this->forward.sends == 0 || may_retry(this));
    MpGatewayCall_GiveUp(this, MpForward_NoTarget(&this->forward), code,
                         retry_after_ms);
}

static void
log_late_retry(const struct MpGatewayCall *this, const struct MpPicked *picked,
               int64_t now_ms)
{
    MpLog_Event(LOG_NOTICE, "retry-too-late",
                "id=%s pool=%s target=%s attempt=%u wait_ms=%" PRId64
                " left_ms=%" PRId64,
                this->id ? this->id : "-", this->pool,
                picked->target->incarnation, this->forward.sends + 1,
                picked->wait_ms, MpForward_TimeLeft(&this->forward, now_ms));
}

/* Picks a target for the next attempt. */
static int
pick(struct MpGatewayCall *this, int64_t now_ms, struct MpPoolQuery *query,
     struct MpPicked *picked)
{
    struct MpGateway *gateway = this->gateway;
    const struct MpPoolConf *pool =
        g_hash_table_lookup(this->document->pools, this->pool);
    *query = (struct MpPoolQuery){
        .pool = this->pool,
        .meta = &this->meta,
        .is_at_most_once = this->path->repeat == MP_REPEAT_NEVER,
        .is_engine = pool->engine.slots > 0,
        .avoid = this->tried,
        .permitted = this->permitted,
        .regions = &this->regions,
        .version = this->version,
        .view = MpGatewayCall_IsResumable(this) ? &gateway->versions : NULL,
        .heard_ms = gateway->control->heard_ms,
        .boot_ms = MpLoop_BootMs(),
        .instance_rank = gateway->dialer.peers.own_rank,
        .instances = gateway->dialer.peers.listed->len + 1,
        .wall_ms = MpLoop_WallMs(),
        .bytes = this->body ? (int64_t)this->body->size : 0,
        .has_no_permits = this->permit_tries >= MP_PERMIT_TRIES_MAX,
        .cold = MpGateway_ColdConf(gateway, pool),
        .prefers_warm = this->permit_tries > 0};
    if (this->forward.sends == 0) {
        query->rank = MpGatewayCall_Rank(this);
        query->queue_max_ms = MpRoster_QueueMax(this->path->latency_target_ms,
                                                MpGatewayCall_Rank(this));
    }
    return MpRoster_Pick(&gateway->roster, query, now_ms, picked);
}

void
MpGatewayAttempt_Start(struct MpGatewayCall *this)
{
    struct MpGateway *gateway = this->gateway;
    if (MpGatewayCaller_Ask(this) || MpGatewayVersions_Check(this)) {
        return;
    }
    struct MpPicked picked;
    struct MpPoolQuery query;
    int64_t now_ms = MpLoop_Now();
    bool is_retry = this->forward.sends > 0;
    int code = pick(this, now_ms, &query, &picked);
    if (code == MP_OK && is_retry &&
        !MpForward_IsOfUse(&this->forward, picked.wait_ms, now_ms)) {
        /* The retry stays for a request that can still be answered. */
        log_late_retry(this, &picked, now_ms);
        MpGatewayCall_GiveUp(this, MpForward_NoTarget(&this->forward),
                             MP_ERROR_NO_TARGET, MP_RETRY_AFTER_BUSY_MS);
        return;
    }
    if (code == MP_OK && picked.needs_permit &&
        (!is_retry || may_retry(this))) {
        MpGatewayPermits_Request(this, &picked);
        return;
    }
    if (code == MP_OK && is_retry &&
        !MpRetryBudget_Take(MpGateway_GetRetryBudget(gateway, this->pool),
                            MpGateway_CountRetryFleet(gateway), now_ms)) {
        gateway->retries_refused++;
        code = MP_ERROR_LIMIT;
    }
    if (code != MP_OK) {
        give_up_pick(this, &query, &picked, code, now_ms);
        return;
    }
    int64_t retry_after_ms;
    if (!is_retry && query.is_engine &&
        !MpGatewayAdmission_Admit(this, &picked, &retry_after_ms)) {
        MpGatewayCall_GiveUp(this, MpForward_NoTarget(&this->forward),
                             MP_ERROR_NO_TARGET, retry_after_ms);
        return;
    }
    send_attempt(this, &picked);
}

/* Returns whether an attempt that has fallen silent can be replaced at once by
 * one at a target that is not ejected.  A permit would have to be waited for,
 * so targets that name a limit are passed over, now and when the attempt is
 * made. */
static bool
can_replace(struct MpGatewayCall *this, int64_t now_ms)
{
    struct MpPicked picked;
    struct MpPoolQuery query;
    uint32_t permit_tries = this->permit_tries;
    this->permit_tries = MP_PERMIT_TRIES_MAX;
    if (MpGatewaySuspect_MayGoOn(this) &&
        pick(this, now_ms, &query, &picked) == MP_OK &&
        picked.target->ejected_until_ms <= now_ms &&
        MpForward_IsOfUse(&this->forward, picked.wait_ms, now_ms)) {
        return true;
    }
    this->permit_tries = permit_tries;
    return false;
}

static void
log_silence(struct MpGatewayCall *this, int64_t silent_ms, bool is_path_lost,
            bool is_replaced)
{
    if (!is_replaced && this->is_silence_borne) {
        return;
    }
    this->is_silence_borne = !is_replaced;
    MpLog_Event(LOG_WARNING, "target-silent",
                "id=%s target=%s silent_ms=%" PRId64 " events=%" PRId64
                " path_lost=%d replaced=%d",
                this->id ? this->id : "-", this->target->incarnation,
                silent_ms, this->forward.events, is_path_lost, is_replaced);
}

void
MpGatewayAttempt_CheckSilence(struct MpGatewayCall *this, int64_t now_ms)
{
    int64_t silent_ms = now_ms - this->received_ms;
    if (this->stage != MP_CALL_RUNNING || !this->conn || !this->response.req ||
        this->response.pending->len > 0 ||
        MpGatewayLoad_IsSaturated(this->gateway)) {
        return;
    }
    bool is_path_lost = MpTargetConn_IsStuck(this->conn, now_ms);
    if (!MpForward_IsStalled(&this->forward, silent_ms, is_path_lost,
                             may_retry(this), now_ms)) {
        return;
    }
    bool is_replaced = is_path_lost || can_replace(this, now_ms);
    log_silence(this, silent_ms, is_path_lost, is_replaced);
    if (!is_replaced) {
        return;
    }
    if (!this->has_response && !is_path_lost) {
        note_delay(this, now_ms);
    }
    MpGatewayAttempt_Cancel(this, MP_OUTCOME_CANCELLED);
    run_next_step(this, result_of_break(this), MP_ERROR_TIMEOUT);
}
