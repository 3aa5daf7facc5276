#include "coordination/Forward.h"

#include "state/Fault.h"

#include <glib.h>

void
MpForward_Init(struct MpForward *this, const struct MpPathConf *path,
               int64_t caller_ms, int64_t resume_after, int64_t now_ms)
{
    int64_t timeout_ms = path->timeout_ms;
    if (caller_ms > 0) {
        timeout_ms = MIN(timeout_ms, caller_ms);
    }
    *this = (struct MpForward){
        .began_ms = now_ms,
        .deadline_ms = now_ms + timeout_ms,
        .attempts_max = path->attempts_max,
        .latency_target_ms = path->latency_target_ms,
        .event_gap_ms = path->event_gap_ms,
        .repeat = (enum MpRepeatPolicy)path->repeat,
        .is_stream = path->is_stream,
        .last_event = resume_after,
    };
}

void
MpForward_StartAttempt(struct MpForward *this)
{
    this->sends++;
    this->attempt_events = 0;
    this->is_resuming = this->is_head_sent;
    this->is_positioned =
        this->is_resuming ||
        (this->repeat == MP_REPEAT_RESUME && this->last_event >= 0);
}

void
MpForward_StartAnswer(struct MpForward *this, bool is_stream_answer)
{
    this->is_head_sent = true;
    this->is_stream_answer = is_stream_answer;
}

static bool
continues(const struct MpForward *this, bool has_data, int64_t id)
{
    if (!this->is_positioned || this->last_event < 0 ||
        MP_FAULT(MP_FAULT_EVENT_REPEATED)) {
        return true;
    }
    if (id >= 0) {
        return id > this->last_event;
    }
    return !has_data || this->attempt_events > 0;
}

bool
MpForward_TakeEvent(struct MpForward *this, bool has_data, int64_t id)
{
    if (!continues(this, has_data, id)) {
        return false;
    }
    if (has_data) {
        this->is_unnumbered = id < 0 && !MP_FAULT(MP_FAULT_POSITION_GUESSED);
    }
    if (id >= 0) {
        this->is_unordered |= this->events > 0 && id <= this->last_event;
        this->last_event = id;
    }
    this->events += has_data;
    this->attempt_events += has_data;
    return true;
}

bool
MpForward_CanResume(const struct MpForward *this)
{
    return this->repeat == MP_REPEAT_RESUME && this->is_stream_answer &&
           !this->is_unordered && !this->is_unnumbered;
}

int64_t
MpForward_TimeLeft(const struct MpForward *this, int64_t now_ms)
{
    return MAX(this->deadline_ms - now_ms, 0);
}

bool
MpForward_IsOfUse(const struct MpForward *this, int64_t wait_ms,
                  int64_t now_ms)
{
    int64_t answer_ms = this->is_stream ? this->event_gap_ms : 0;
    int64_t needed_ms = MAX(wait_ms + answer_ms, MP_FORWARD_ATTEMPT_MIN_MS);
    return MpForward_TimeLeft(this, now_ms) >= needed_ms ||
           MP_FAULT(MP_FAULT_SENT_AFTER_DEADLINE);
}

static enum MpForwardStep
give_up(const struct MpForward *this)
{
    if (this->is_head_sent) {
        return MP_STEP_CUT;
    }
    return this->may_have_run ? MP_STEP_FAIL : MP_STEP_REFUSE;
}

enum MpForwardStep
MpForward_EndAttempt(struct MpForward *this, enum MpForwardResult result,
                     bool has_budget, int64_t now_ms)
{
    bool may_retry = result == MP_RESULT_NOT_RUN;
    this->not_run += result == MP_RESULT_NOT_RUN;
    if (result != MP_RESULT_NOT_RUN) {
        this->may_have_run = !MP_FAULT(MP_FAULT_REFUSED_AFTER_UNKNOWN);
        this->runs++;
        may_retry = (this->repeat != MP_REPEAT_NEVER ||
                     MP_FAULT(MP_FAULT_AT_MOST_ONCE_REPEATED)) &&
                    (this->runs < this->attempts_max ||
                     MP_FAULT(MP_FAULT_ATTEMPTS_UNBOUNDED));
    }
    if (this->is_head_sent && !MpForward_CanResume(this)) {
        may_retry = false;
    }
    if (!may_retry || !has_budget || !MpForward_IsOfUse(this, 0, now_ms) ||
        this->sends >= MP_FORWARD_SENDS_MAX) {
        return give_up(this);
    }
    if (MP_FAULT(MP_FAULT_RESENT_AFTER_HEAD)) {
        this->last_event = -1;
    }
    return this->is_head_sent ? MP_STEP_RESUME : MP_STEP_SEND;
}

bool
MpForward_MayRetryError(const struct MpForward *this, bool has_budget,
                        int64_t now_ms)
{
    return has_budget && this->repeat == MP_REPEAT_ALLOWED &&
           !this->is_head_sent && this->runs + 1 < this->attempts_max &&
           this->sends < MP_FORWARD_SENDS_MAX &&
           MpForward_IsOfUse(this, 0, now_ms);
}

bool
MpForward_IsStalled(const struct MpForward *this, int64_t idle_ms,
                    bool is_path_lost, bool has_budget, int64_t now_ms)
{
    int64_t limit_ms =
        this->is_head_sent
            ? this->event_gap_ms * MP_FORWARD_GAP_STALL_TENTHS / 10
            : this->latency_target_ms * MP_FORWARD_FIRST_STALL_TENTHS / 10;
    bool may_resend = this->is_head_sent ? MpForward_CanResume(this)
                                         : this->repeat != MP_REPEAT_NEVER;
    bool is_silent =
        limit_ms > 0 && idle_ms >= MAX(limit_ms, MP_FORWARD_STALL_MIN_MS);
    return (is_silent || is_path_lost) && may_resend && has_budget &&
           this->runs + 1 < this->attempts_max &&
           this->sends < MP_FORWARD_SENDS_MAX &&
           MpForward_IsOfUse(this, MP_FORWARD_STALL_MIN_MS, now_ms);
}

enum MpForwardStep
MpForward_NoTarget(const struct MpForward *this)
{
    return give_up(this);
}

enum MpForwardStep
MpForward_Expired(const struct MpForward *this)
{
    return this->sends > 0 && !this->is_head_sent ? MP_STEP_FAIL
                                                  : give_up(this);
}

bool
MpForward_SurvivesDisconnect(const struct MpForward *this)
{
    return this->repeat == MP_REPEAT_NEVER && !this->is_stream;
}
