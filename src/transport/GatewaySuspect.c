#include "transport/GatewaySuspect.h"

#include "state/Error.h"
#include "transport/GatewayAttempt.h"
#include "transport/Log.h"

#include <inttypes.h>
#include <string.h>

/* Reports for which no call waits are dropped after this time, ms; by then the
 * trial that they end has expired. */
#define REPORT_TIMEOUT_MS MP_TRIAL_MAX_MS

/* A probe of a target, or a query or report to the quorum, for one request.
 * The call may end before the reply arrives. */
struct MpSuspectCheck {
    struct MpGateway *gateway;
    struct MpGatewayCall *call; /* waits for the reply; may be NULL */
    struct MpTimer timer;       /* limits how long the call waits */
    char *id;
    char *fingerprint_hex;
    char *target; /* incarnation; NULL before an attempt */
    int64_t sent_ms;
    struct mp_trial trial;
};

static struct MpSuspects *
suspects_of(const struct MpSuspectCheck *check)
{
    return &check->gateway->control->suspects;
}

static const uint8_t *
fingerprint_of(const struct MpSuspectCheck *check)
{
    return (const uint8_t *)check->trial.fingerprint;
}

/* ---- checks ---- */

static struct MpSuspectCheck *
check_new(struct MpGatewayCall *call, enum mp_trial_kind kind)
{
    struct MpSuspectCheck *check = g_new0(struct MpSuspectCheck, 1);
    check->gateway = call->gateway;
    check->id = g_strdup(call->id ? call->id : "-");
    check->fingerprint_hex = g_strdup(call->fingerprint_hex);
    check->target = call->target ? g_strdup(call->target->incarnation) : NULL;
    check->sent_ms = call->sent_ms;
    check->trial.kind = kind;
    check->trial.run = call->run_id;
    check->trial.attempt = call->forward.sends;
    memcpy(check->trial.fingerprint, call->fingerprint, MP_HASH_BYTES);
    return check;
}

/* Detaches and returns the call, or NULL; the probe or query goes on. */
static struct MpGatewayCall *
detach(struct MpSuspectCheck *check)
{
    struct MpGatewayCall *call = check->call;
    MpLoop_ClearTimer(&check->timer);
    check->call = NULL;
    if (call) {
        call->check = NULL;
    }
    return call;
}

static void
check_free(struct MpSuspectCheck *check)
{
    detach(check);
    g_free(check->id);
    g_free(check->fingerprint_hex);
    g_free(check->target);
    g_free(check);
}

static void
attach(struct MpSuspectCheck *check, struct MpGatewayCall *call)
{
    check->call = call;
    call->check = check;
    call->stage = MP_CALL_TRIAL;
}

/* Resumes the call if code is MP_OK, otherwise ends it with that error. */
static void
resume_call(struct MpGatewayCall *call, int code)
{
    bool is_new = call->forward.sends == 0;
    if (code != MP_OK) {
        MpGatewayCall_GiveUp(call, MpForward_NoTarget(&call->forward), code,
                             code == MP_ERROR_POISON ? MP_POISON_MS
                                                     : MP_RETRY_AFTER_BUSY_MS);
        return;
    }
    call->stage = MP_CALL_RUNNING;
    if (is_new) {
        MpGatewayCall_ReserveBudget(call);
        return;
    }
    MpGatewayAttempt_Start(call);
}

/* ---- the quorum ---- */

static void
log_decision(const struct MpSuspectCheck *check, const char *by, int code,
             uint64_t crashes)
{
    const struct MpControlClient *control = check->gateway->control;
    bool is_crash = check->trial.kind == MP_TRIAL_CRASH;
    MpLog_Event(LOG_WARNING, is_crash ? "request-suspected" : "request-tried",
                "id=%s same=%s target=%s by=%s deaths=%" PRIu64
                " outcome=%s suspects=%" PRIu64 " synced_age_ms=%" PRId64,
                check->id, check->fingerprint_hex,
                check->target ? check->target : "-", by, crashes,
                MpError_Name(code), control->suspects.version,
                MpLoop_Now() - control->synced_ms);
}

/* Decides without the quorum.  A partitioned instance decides by the crashes
 * that it knows of.  Any other holds the request back, as only the quorum may
 * admit a suspect. */
static void
decide_locally(struct MpSuspectCheck *check)
{
    struct MpGatewayCall *call = detach(check);
    int64_t now_ms = MpLoop_Now();
    int code = MP_ERROR_HELD_BACK;
    if (MpControlClient_IsPartitioned(check->gateway->control)) {
        code = MpSuspects_DecideLocally(
            suspects_of(check), fingerprint_of(check), check->trial.run,
            MpForward_TimeLeft(&call->forward, now_ms), now_ms);
    }
    log_decision(check, "instance", code, 0);
    resume_call(call, code);
}

static void
on_decision_timeout(struct MpTimer *timer)
{
    decide_locally(timer->data);
}

static void
on_decision(void *data, int code, const struct mp_result *result)
{
    struct MpSuspectCheck *check = data;
    check->gateway->crash_reports -= check->trial.kind == MP_TRIAL_CRASH;
    if (code == MP_OK) {
        MpSuspects_SetCrashes(suspects_of(check), fingerprint_of(check),
                              result->number);
        log_decision(check, "quorum", result->code, result->number);
    }
    if (check->call && code != MP_OK) {
        decide_locally(check);
    }
    else if (check->call) {
        resume_call(detach(check), result->code);
    }
    check_free(check);
}

static void
query_quorum(struct MpSuspectCheck *check, int64_t deadline_ms)
{
    struct mp_command command = {.body = {.kind = MP_CMD_TRIAL}};
    int64_t now_ms = MpLoop_Now();
    if (check->call) {
        int64_t left_ms = MpForward_TimeLeft(&check->call->forward, now_ms);
        check->trial.timeout_ms = (u_int)MIN(left_ms, MP_TRIAL_MAX_MS);
        check->call->is_on_trial = true;
        MpLoop_SetTimer(check->gateway->loop, &check->timer,
                        MpControlClient_IsPartitioned(check->gateway->control)
                            ? 0
                            : MP_DECISION_WAIT_MS,
                        on_decision_timeout, check);
    }
    command.body.mp_command_body_u.trial = check->trial;
    MpControlClient_Propose(check->gateway->control, &command, deadline_ms,
                            on_decision, check);
}

static void
on_reported(void *data, int code, const struct mp_result *result)
{
    struct MpSuspectCheck *check = data;
    bool is_acknowledged = code == MP_OK && result->code == MP_OK;
    MpLog_Event(LOG_NOTICE,
                check->trial.kind == MP_TRIAL_CLEAR ? "request-cleared"
                                                    : "trial-released",
                "id=%s same=%s told=%d", check->id, check->fingerprint_hex,
                is_acknowledged);
    check_free(check);
}

/* Sends a report to the quorum for which no call waits. */
static void
report_to_quorum(struct MpGatewayCall *call, enum mp_trial_kind kind)
{
    struct mp_command command = {.body = {.kind = MP_CMD_TRIAL}};
    struct MpSuspectCheck *check = check_new(call, kind);
    command.body.mp_command_body_u.trial = check->trial;
    MpControlClient_Propose(call->gateway->control, &command,
                            MpLoop_Now() + REPORT_TIMEOUT_MS, on_reported,
                            check);
}

/* ---- targets ---- */

static const char *
probe_result_name(enum MpProbeResult result)
{
    static const char *const names[] = {[MP_PROBE_LISTENING] = "listens",
                                        [MP_PROBE_REFUSED] = "ended",
                                        [MP_PROBE_TIMED_OUT] = "mute"};
    return names[result];
}

static void
on_probed(void *owner, enum MpProbeResult result)
{
    struct MpSuspectCheck *check = owner;
    int64_t now_ms = MpLoop_Now();
    bool is_suspect =
        result == MP_PROBE_REFUSED &&
        MpSuspects_NoteCrash(suspects_of(check), fingerprint_of(check),
                             check->trial.run, now_ms);
    MpLog_Event(
        result == MP_PROBE_REFUSED ? LOG_WARNING : LOG_INFO, "target-looked",
        "id=%s same=%s target=%s sign=%s sent_ms_ago=%" PRId64
        " is_suspect=%d",
        check->id, check->fingerprint_hex, check->target,
        probe_result_name(result), now_ms - check->sent_ms, is_suspect);
    if (!is_suspect) {
        struct MpGatewayCall *call = detach(check);
        check_free(check);
        if (call) {
            resume_call(call, MP_OK);
        }
        return;
    }
    if (check->gateway->crash_reports >= MP_CRASH_REPORTS_MAX) {
        MpLog_Event(LOG_ERR, "report-dropped",
                    "id=%s same=%s target=%s reports=%u", check->id,
                    check->fingerprint_hex, check->target,
                    check->gateway->crash_reports);
        if (check->call) {
            decide_locally(check);
        }
        check_free(check);
        return;
    }
    check->gateway->crash_reports++;
    check->trial.seen_crashes =
        MpSuspects_SeenCrashes(suspects_of(check), fingerprint_of(check));
    query_quorum(check, 0);
}

void
MpGatewaySuspect_ProbeTarget(struct MpGatewayCall *call)
{
    struct MpSuspectCheck *check = check_new(call, MP_TRIAL_CRASH);
    call->check = check;
    check->call = call;
    MpConnPool_Probe(call->target->connections, on_probed, check);
}

void
MpGatewaySuspect_WaitForProbe(struct MpGatewayCall *call)
{
    call->stage = MP_CALL_TRIAL;
}

/* ---- calls ---- */

void
MpGatewaySuspect_Admit(struct MpGatewayCall *call)
{
    enum MpSuspicion suspicion = MpSuspects_Lookup(
        &call->gateway->control->suspects, call->fingerprint);
    if (suspicion != MP_SUSPICION_TRIAL) {
        resume_call(call, suspicion == MP_SUSPICION_STOPPED ? MP_ERROR_POISON
                                                            : MP_OK);
        return;
    }
    struct MpSuspectCheck *check = check_new(call, MP_TRIAL_REQUEST);
    attach(check, call);
    query_quorum(check, MpLoop_Now() + MP_DECISION_WAIT_MS);
}

void
MpGatewaySuspect_Answered(struct MpGatewayCall *call)
{
    if (MpSuspects_NoteAnswer(&call->gateway->control->suspects,
                              call->fingerprint)) {
        report_to_quorum(call, MP_TRIAL_CLEAR);
        call->is_on_trial = false;
    }
}

void
MpGatewaySuspect_End(struct MpGatewayCall *call)
{
    if (call->check) {
        detach(call->check);
    }
    if (call->is_on_trial) {
        MpSuspects_EndTrial(&call->gateway->control->suspects,
                            call->fingerprint, call->run_id);
        report_to_quorum(call, MP_TRIAL_RELEASE);
        call->is_on_trial = false;
    }
}
