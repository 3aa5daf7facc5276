#include "transport/GatewayAttempt.h"

#include "protocol/EventSplit.h"
#include "state/Error.h"
#include "transport/GatewayRequest.h"
#include "transport/GatewaySuspect.h"
#include "transport/HttpServer.h"
#include "transport/Log.h"

#include <inttypes.h>
#include <string.h>

static bool
has_retry(struct MpGatewayCall *this)
{
    return MpRetryBudget_MayRetry(MpGateway_Retries(this->gateway, this->pool),
                                  this->gateway->fleet->instances,
                                  MpLoop_Now());
}

/* Lets go of the target of the attempt. */
static void
leave_target(struct MpGatewayCall *this, enum MpTargetOutcome outcome)
{
    if (!this->target) {
        return;
    }
    MpPoolTarget_EndAttempt(&this->gateway->roster, this->target,
                            this->has_answered, this->prefill_tokens, outcome,
                            MpLoop_Now());
    this->target = NULL;
    this->conn = NULL;
}

void
MpGatewayAttempt_Drop(struct MpGatewayCall *this, enum MpTargetOutcome outcome)
{
    if (this->conn) {
        MpTargetConn_Cancel(this->conn);
    }
    leave_target(this, outcome);
}

/* Waits first, if the end of the target is looked into, and it may matter for
 * the next step. */
static void
next_step(struct MpGatewayCall *this, enum MpForwardResult fate, int code)
{
    enum MpForwardStep step = MpForward_EndAttempt(
        &this->forward, fate, has_retry(this), MpLoop_Now());
    if (step != MP_STEP_SEND && step != MP_STEP_RESUME) {
        MpGatewayCall_GiveUp(this, step, code, MP_RETRY_BUSY_MS);
        return;
    }
    g_byte_array_set_size(this->partial, 0);
    if (this->job) {
        MpGatewaySuspect_Wait(this);
        return;
    }
    MpGatewayAttempt_Start(this);
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
        if (!MpRequestMeta_ParseNumber(fields[i], strlen(fields[i]),
                                       &numbers[i])) {
            numbers[i] = 0;
        }
    }
    MpPoolTarget_ApplyReport(this->target, numbers[0], numbers[1], numbers[2],
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
    this->head_status = head->status;
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
    this->heard_ms = now_ms;
    take_load(this, head);
    this->has_answered = true;
    MpPoolTarget_NoteFirstAnswer(this->target, this->prefill_tokens,
                                 now_ms - this->sent_ms, this->wait_ms);
    bool is_failure = head->status >= 500;
    if (is_turned_away(this, head) ||
        (is_failure &&
         MpForward_MayRetryError(&this->forward, has_retry(this), now_ms))) {
        return;
    }
    bool is_resumed = this->forward.is_head_sent;
    if (is_resumed && head->status != 200) {
        return;
    }
    /* An answer that nobody waits for any more is not begun. */
    this->checked_ms = 0;
    if (MpGatewayCall_CheckCaller(this, now_ms)) {
        return;
    }
    this->is_relayed = true;
    this->is_events = this->path->is_stream && head->status == 200;
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
    size_t whole = MpEventSplit_Complete((const char *)this->partial->data,
                                         this->partial->len, &forward->events,
                                         &forward->last_event);
    if (whole > 0) {
        MpCallerAnswer_Write(&this->answer, this->partial->data, whole);
        g_byte_array_remove_range(this->partial, 0, (guint)whole);
    }
}

/* What comes is no event, however long it is waited for. */
static void
end_broken_stream(struct MpGatewayCall *this)
{
    MpLog_Event(LOG_WARNING, "event-too-long",
                "id=%s same=%s target=%s bytes=%u events=%" PRId64,
                this->id ? this->id : "-", this->same,
                this->target->incarnation, this->partial->len,
                this->forward.events);
    g_byte_array_set_size(this->partial, 0);
    MpGatewayAttempt_Drop(this, MP_OUTCOME_ERROR);
    next_step(this, MP_RESULT_CUT, MP_ERROR_STREAM_CUT);
}

static void
on_body(void *owner, const char *data, size_t size)
{
    struct MpGatewayCall *this = owner;
    this->heard_ms = MpLoop_Now();
    if (!this->is_relayed) {
        return;
    }
    if (this->is_events) {
        relay_events(this, data, size);
        if (this->partial->len > MP_EVENT_MAX_BYTES) {
            end_broken_stream(this);
            return;
        }
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
    MpGatewaySuspect_Answered(this);
    leave_target(this, is_ok ? MP_OUTCOME_OK : MP_OUTCOME_ERROR);
    MpGatewayCall_End(this, is_ok ? "answered" : "target-error", MP_OK);
    if (!this->answer.req) {
        MpGatewayCall_Free(this);
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
        leave_target(this, MP_OUTCOME_REFUSED);
        next_step(this, MP_RESULT_NOT_RUN, MP_ERROR_STREAM_CUT);
        return;
    }
    bool is_gone = this->status == 421;
    if (this->status < 500 || this->status == 503 || is_gone) {
        leave_target(this, is_gone ? MP_OUTCOME_REPLACED : MP_OUTCOME_REFUSED);
        next_step(this, MP_RESULT_NOT_RUN, MP_ERROR_NO_TARGET);
        return;
    }
    leave_target(this, MP_OUTCOME_ERROR);
    next_step(this, MP_RESULT_UNKNOWN, MP_ERROR_TARGET_FAILED);
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
    if (how == MP_TARGET_CUT) {
        MpGatewaySuspect_Broken(this);
    }
    leave_target(this, MP_OUTCOME_FAILED);
    if (how == MP_TARGET_NOT_SENT) {
        next_step(this, MP_RESULT_NOT_RUN, MP_ERROR_NO_TARGET);
        return;
    }
    next_step(this,
              this->forward.is_head_sent ? MP_RESULT_CUT : MP_RESULT_UNKNOWN,
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
    this->stage = MP_CALL_RUNNING;
    this->target = target;
    this->sent_ms = now_ms;
    this->heard_ms = now_ms;
    this->wait_ms = picked->wait_ms;
    this->prefill_tokens = picked->prefill_tokens;
    this->has_answered = false;
    this->is_relayed = false;
    this->status = 0;
    MpForward_StartAttempt(&this->forward);
    MpPoolTarget_StartAttempt(target, &this->facts, picked->prefill_tokens,
                              now_ms);
    g_ptr_array_add(this->avoid, target);
    struct MpTargetRequest request = {
        .bytes = MpGatewayRequest_Make(
            this, target, MpForward_TimeLeft(&this->forward, now_ms)),
        .id_header = gateway->dialect->target.request_id,
        .id = this->id,
        .is_head = this->is_head,
    };
    this->conn = MpTargetPlace_Send(MpGateway_Place(gateway, target),
                                    &attempt_class, this, &request);
    MpLog_Event(LOG_INFO, "request-sent",
                "id=%s same=%s target=%s pool=%s attempt=%u wait_ms=%" PRId64
                " tokens=%" PRId64 " running=%d told_age_ms=%" PRId64
                " list=%" PRIu64 " left_ms=%" PRId64,
                this->id ? this->id : "-", this->same, target->incarnation,
                this->pool, this->forward.sends, picked->wait_ms,
                picked->prefill_tokens, target->running,
                target->reported_ms > 0 ? now_ms - target->reported_ms : -1,
                gateway->roster.version,
                MpForward_TimeLeft(&this->forward, now_ms));
}

static void
log_no_target(struct MpGatewayCall *this, const struct MpPoolQuery *ask,
              int code, int64_t now_ms)
{
    const struct MpRoster *roster = &this->gateway->roster;
    struct MpPoolStatus view;
    MpRoster_GetPoolStatus(roster, ask, now_ms, &view);
    MpLog_Event(LOG_WARNING, "target-none",
                "id=%s pool=%s error=%s attempt=%u listed=%u leaving=%u "
                "paused=%u tried=%u full=%u list=%" PRIu64
                " list_age_ms=%" PRId64 " has_retry=%d",
                this->id ? this->id : "-", this->pool, MpError_Name(code),
                this->forward.sends + 1, view.listed, view.leaving,
                view.ejected, view.tried, view.full, roster->version,
                roster->listed_ms > 0 ? now_ms - roster->listed_ms : -1,
                this->forward.sends == 0 || has_retry(this));
}

void
MpGatewayAttempt_Start(struct MpGatewayCall *this)
{
    struct MpGateway *gateway = this->gateway;
    const struct MpPoolConf *pool =
        g_hash_table_lookup(this->document->pools, this->pool);
    struct MpPicked picked;
    struct MpPoolQuery ask = {.pool = this->pool,
                              .meta = &this->facts,
                              .is_at_most_once =
                                  this->path->repeat == MP_REPEAT_NEVER,
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
        log_no_target(this, &ask, code, now_ms);
        MpGatewayCall_GiveUp(this, MpForward_NoTarget(&this->forward), code,
                             MP_RETRY_BUSY_MS);
        return;
    }
    send_attempt(this, &picked);
}

void
MpGatewayAttempt_CheckSilence(struct MpGatewayCall *this, int64_t now_ms)
{
    int64_t silent_ms = now_ms - this->heard_ms;
    if (this->stage != MP_CALL_RUNNING || !this->conn || !this->answer.req ||
        this->answer.out->len > 0 ||
        !MpForward_IsStalled(&this->forward, silent_ms, has_retry(this),
                             now_ms)) {
        return;
    }
    MpLog_Event(LOG_WARNING, "target-silent",
                "id=%s target=%s silent_ms=%" PRId64 " events=%" PRId64,
                this->id ? this->id : "-", this->target->incarnation,
                silent_ms, this->forward.events);
    MpGatewayAttempt_Drop(this, MP_OUTCOME_CANCELLED);
    next_step(this,
              this->forward.is_head_sent ? MP_RESULT_CUT : MP_RESULT_UNKNOWN,
              MP_ERROR_TIMEOUT);
}
