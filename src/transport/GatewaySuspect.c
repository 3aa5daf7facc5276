#include "transport/GatewaySuspect.h"

#include "state/Error.h"
#include "transport/GatewayAttempt.h"
#include "transport/Log.h"

#include <inttypes.h>
#include <string.h>

/* Words that need no answer are given up after this time, ms: the trial that
 * they end has passed by then. */
#define TELL_MS MP_TRIAL_MAX_MS

/* A question about a request, at a target or at the quorum; its call may end
 * before the answer. */
struct MpSuspectJob {
    struct MpGateway *gateway;
    struct MpGatewayCall *call; /* that waits; NULL: none does */
    struct MpTimer timer;       /* bounds the wait of the call */
    char *id;
    char *same;
    char *target; /* NULL before an attempt */
    int64_t sent_ms;
    struct mp_trial trial;
};

static struct MpSuspects *
suspects_of(const struct MpSuspectJob *job)
{
    return &job->gateway->fleet->suspects;
}

static const uint8_t *
fingerprint_of(const struct MpSuspectJob *job)
{
    return (const uint8_t *)job->trial.fingerprint;
}

/* ---- jobs ---- */

static struct MpSuspectJob *
job_new(struct MpGatewayCall *call, enum mp_trial_kind kind)
{
    struct MpSuspectJob *job = g_new0(struct MpSuspectJob, 1);
    job->gateway = call->gateway;
    job->id = g_strdup(call->id ? call->id : "-");
    job->same = g_strdup(call->same);
    job->target = call->target ? g_strdup(call->target->incarnation) : NULL;
    job->sent_ms = call->sent_ms;
    job->trial.kind = kind;
    job->trial.run = call->run;
    job->trial.attempt = call->forward.sends;
    memcpy(job->trial.fingerprint, call->fingerprint, MP_HASH_BYTES);
    return job;
}

/* Lets go of the call; what was asked goes on. */
static struct MpGatewayCall *
detach(struct MpSuspectJob *job)
{
    struct MpGatewayCall *call = job->call;
    MpLoop_ClearTimer(&job->timer);
    job->call = NULL;
    if (call) {
        call->job = NULL;
    }
    return call;
}

static void
job_free(struct MpSuspectJob *job)
{
    detach(job);
    g_free(job->id);
    g_free(job->same);
    g_free(job->target);
    g_free(job);
}

static void
attach(struct MpSuspectJob *job, struct MpGatewayCall *call)
{
    job->call = call;
    call->job = job;
    call->stage = MP_CALL_TRIAL;
}

/* The call goes on as code says. */
static void
go_on(struct MpGatewayCall *call, int code)
{
    bool is_new = call->forward.sends == 0;
    if (code != MP_OK) {
        MpGatewayCall_GiveUp(call, MpForward_NoTarget(&call->forward), code,
                             code == MP_ERROR_POISON ? MP_POISON_MS
                                                     : MP_RETRY_BUSY_MS);
        return;
    }
    call->stage = MP_CALL_RUNNING;
    if (is_new) {
        MpGatewayCall_TakeBudget(call);
        return;
    }
    MpGatewayAttempt_Start(call);
}

/* ---- the quorum ---- */

static void
log_decision(const struct MpSuspectJob *job, const char *by, int code,
             uint64_t deaths)
{
    const struct MpControlClient *fleet = job->gateway->fleet;
    bool is_death = job->trial.kind == MP_TRIAL_CRASH;
    MpLog_Event(LOG_WARNING, is_death ? "request-suspected" : "request-tried",
                "id=%s same=%s target=%s by=%s deaths=%" PRIu64
                " outcome=%s suspects=%" PRIu64 " synced_age_ms=%" PRId64,
                job->id, job->same, job->target ? job->target : "-", by,
                deaths, MpError_Name(code), fleet->suspects.version,
                MpLoop_Now() - fleet->synced_ms);
}

/* Without the quorum's word an instance that is cut off decides by what it
 * knows; another one sends no suspect that the quorum has not let through. */
static void
decide_alone(struct MpSuspectJob *job)
{
    struct MpGatewayCall *call = detach(job);
    int64_t now_ms = MpLoop_Now();
    int code = MP_ERROR_HELD_BACK;
    if (MpControlClient_IsPartitioned(job->gateway->fleet)) {
        code = MpSuspects_DecideLocally(
            suspects_of(job), fingerprint_of(job), job->trial.run,
            MpForward_TimeLeft(&call->forward, now_ms), now_ms);
    }
    log_decision(job, "instance", code, 0);
    go_on(call, code);
}

static void
on_word_late(struct MpTimer *timer)
{
    decide_alone(timer->data);
}

static void
on_word(void *data, int code, const struct mp_result *result)
{
    struct MpSuspectJob *job = data;
    job->gateway->reports -= job->trial.kind == MP_TRIAL_CRASH;
    if (code == MP_OK) {
        MpSuspects_SetCrashes(suspects_of(job), fingerprint_of(job),
                              result->number);
        log_decision(job, "quorum", result->code, result->number);
    }
    if (job->call && code != MP_OK) {
        decide_alone(job);
    }
    else if (job->call) {
        go_on(detach(job), result->code);
    }
    job_free(job);
}

static void
ask_quorum(struct MpSuspectJob *job, int64_t deadline_ms)
{
    struct mp_command command = {.body = {.kind = MP_CMD_TRIAL}};
    int64_t now_ms = MpLoop_Now();
    if (job->call) {
        int64_t left_ms = MpForward_TimeLeft(&job->call->forward, now_ms);
        job->trial.timeout_ms = (u_int)MIN(left_ms, MP_TRIAL_MAX_MS);
        job->call->is_on_trial = true;
        MpLoop_SetTimer(job->gateway->loop, &job->timer,
                        MpControlClient_IsPartitioned(job->gateway->fleet)
                            ? 0
                            : MP_TRIAL_WAIT_MS,
                        on_word_late, job);
    }
    command.body.mp_command_body_u.trial = job->trial;
    MpControlClient_Propose(job->gateway->fleet, &command, deadline_ms,
                            on_word, job);
}

static void
on_told(void *data, int code, const struct mp_result *result)
{
    struct MpSuspectJob *job = data;
    bool is_told = code == MP_OK && result->code == MP_OK;
    MpLog_Event(LOG_NOTICE,
                job->trial.kind == MP_TRIAL_CLEAR ? "request-cleared"
                                                  : "trial-released",
                "id=%s same=%s told=%d", job->id, job->same, is_told);
    job_free(job);
}

/* Tells the quorum what nobody waits for. */
static void
tell_quorum(struct MpGatewayCall *call, enum mp_trial_kind kind)
{
    struct mp_command command = {.body = {.kind = MP_CMD_TRIAL}};
    struct MpSuspectJob *job = job_new(call, kind);
    command.body.mp_command_body_u.trial = job->trial;
    MpControlClient_Propose(call->gateway->fleet, &command,
                            MpLoop_Now() + TELL_MS, on_told, job);
}

/* ---- targets ---- */

static const char *
sign_name(enum MpTargetSign sign)
{
    static const char *const names[] = {[MP_TARGET_LISTENS] = "listens",
                                        [MP_TARGET_ENDED] = "ended",
                                        [MP_TARGET_MUTE] = "mute"};
    return names[sign];
}

static void
on_seen(void *owner, enum MpTargetSign sign)
{
    struct MpSuspectJob *job = owner;
    int64_t now_ms = MpLoop_Now();
    bool is_suspect =
        sign == MP_TARGET_ENDED &&
        MpSuspects_NoteCrash(suspects_of(job), fingerprint_of(job),
                             job->trial.run, now_ms);
    MpLog_Event(sign == MP_TARGET_ENDED ? LOG_WARNING : LOG_INFO,
                "target-looked",
                "id=%s same=%s target=%s sign=%s sent_ms_ago=%" PRId64
                " is_suspect=%d",
                job->id, job->same, job->target, sign_name(sign),
                now_ms - job->sent_ms, is_suspect);
    if (!is_suspect) {
        struct MpGatewayCall *call = detach(job);
        job_free(job);
        if (call) {
            go_on(call, MP_OK);
        }
        return;
    }
    if (job->gateway->reports >= MP_REPORTS_MAX) {
        MpLog_Event(LOG_ERR, "report-dropped",
                    "id=%s same=%s target=%s reports=%u", job->id, job->same,
                    job->target, job->gateway->reports);
        if (job->call) {
            decide_alone(job);
        }
        job_free(job);
        return;
    }
    job->gateway->reports++;
    job->trial.crashes_seen =
        MpSuspects_SeenCrashes(suspects_of(job), fingerprint_of(job));
    ask_quorum(job, 0);
}

void
MpGatewaySuspect_Broken(struct MpGatewayCall *call)
{
    struct MpSuspectJob *job = job_new(call, MP_TRIAL_CRASH);
    call->job = job;
    job->call = call;
    MpTargetPlace_Look(call->target->connections, on_seen, job);
}

void
MpGatewaySuspect_Wait(struct MpGatewayCall *call)
{
    call->stage = MP_CALL_TRIAL;
}

/* ---- calls ---- */

void
MpGatewaySuspect_Admit(struct MpGatewayCall *call)
{
    enum MpSuspicion suspicion =
        MpSuspects_Lookup(&call->gateway->fleet->suspects, call->fingerprint);
    if (suspicion != MP_SUSPICION_TRIAL) {
        go_on(call,
              suspicion == MP_SUSPICION_STOPPED ? MP_ERROR_POISON : MP_OK);
        return;
    }
    struct MpSuspectJob *job = job_new(call, MP_TRIAL_REQUEST);
    attach(job, call);
    ask_quorum(job, MpLoop_Now() + MP_TRIAL_WAIT_MS);
}

void
MpGatewaySuspect_Answered(struct MpGatewayCall *call)
{
    if (MpSuspects_NoteAnswer(&call->gateway->fleet->suspects,
                              call->fingerprint)) {
        tell_quorum(call, MP_TRIAL_CLEAR);
        call->is_on_trial = false;
    }
}

void
MpGatewaySuspect_End(struct MpGatewayCall *call)
{
    if (call->job) {
        detach(call->job);
    }
    if (call->is_on_trial) {
        MpSuspects_EndTrial(&call->gateway->fleet->suspects, call->fingerprint,
                            call->run);
        tell_quorum(call, MP_TRIAL_RELEASE);
        call->is_on_trial = false;
    }
}
