#include "transport/GatewaySuspect.h"

#include "state/Error.h"
#include "transport/CallFingerprint.h"
#include "transport/GatewayAttempt.h"
#include "transport/Log.h"
#include "transport/SuspectCheck.h"

#include <inttypes.h>
#include <string.h>

/* Reports for which no call waits are dropped after this time, ms; by then the
 * trial that they end has expired. */
#define REPORT_TIMEOUT_MS MP_TRIAL_MAX_MS
/* Reports on parts are repeated with their new age after this time, ms. */
#define PART_REPORT_TIMEOUT_MS 300

/* Ends a call that may not run. */
static void
refuse_call(struct MpGatewayCall *call, unsigned key, int code)
{
    int64_t retry_after_ms = MP_RETRY_AFTER_BUSY_MS;
    if (code == MP_ERROR_POISON) {
        retry_after_ms = key == 0 ? MP_POISON_MS : MP_PART_PAUSE_MS;
    }
    MpGatewayCall_GiveUp(call, MpForward_NoTarget(&call->forward), code,
                         retry_after_ms);
}

static void
resume_call(struct MpGatewayCall *call)
{
    call->stage = MP_CALL_RUNNING;
    if (call->forward.sends == 0) {
        MpGatewayCall_ReserveBudget(call);
        return;
    }
    MpGatewayAttempt_Start(call);
}

/* ---- the quorum ---- */

static void admit_from(struct MpGatewayCall *call, unsigned key);

/* Goes on with a call after the decision on one of its fingerprints. */
static void
apply_decision(struct MpGatewayCall *call, unsigned key, int code)
{
    if (code == MP_OK) {
        admit_from(call, key + 1);
        return;
    }
    refuse_call(call, key, code);
}

/* Decides without the quorum.  A partitioned instance decides by the crashes
 * that it knows of.  Any other holds the request back, as only the quorum may
 * admit a suspect. */
static void
decide_locally(struct MpSuspectCheck *check)
{
    struct MpGatewayCall *call = MpSuspectCheck_Detach(check);
    int64_t now_ms = MpLoop_Now();
    int code = MP_ERROR_HELD_BACK;
    if (MpControlClient_IsPartitioned(check->gateway->control)) {
        code = MpSuspects_DecideLocally(
            MpSuspectCheck_Suspects(check), MpSuspectCheck_Fingerprint(check),
            check->trial.run, MpForward_TimeLeft(&call->forward, now_ms),
            now_ms);
    }
    MpSuspectCheck_Log(check, "instance", code, 0);
    apply_decision(call, check->key, code);
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
        MpSuspects_SetCrashes(MpSuspectCheck_Suspects(check),
                              MpSuspectCheck_Fingerprint(check),
                              result->number);
        MpSuspectCheck_Log(check, "quorum", result->code, result->number);
    }
    if (check->call && code != MP_OK) {
        decide_locally(check);
    }
    else if (check->call) {
        struct MpGatewayCall *call = MpSuspectCheck_Detach(check);
        if (result->code == MP_ERROR_POISON && check->key > 0) {
            MpSuspects_NotePartRefused(MpSuspectCheck_Suspects(check),
                                       MpSuspectCheck_Fingerprint(check),
                                       check->trial.attempt, MpLoop_Now());
        }
        if (result->code != MP_OK || result->number == 0) {
            call->trials &= ~(1U << check->key); /* no trial was granted */
        }
        apply_decision(call, check->key, result->code);
    }
    MpSuspectCheck_Delete(check);
}

static void
query_quorum(struct MpSuspectCheck *check, int64_t deadline_ms)
{
    int64_t now_ms = MpLoop_Now();
    if (check->call) {
        int64_t left_ms = MpForward_TimeLeft(&check->call->forward, now_ms);
        check->trial.timeout_ms = (u_int)MIN(left_ms, MP_TRIAL_MAX_MS);
        check->call->trials |= 1U << check->key;
        check->call->runs_before_trial = MpSuspectCheck_CountRuns(check->call);
        MpLoop_SetTimer(check->gateway->loop, &check->timer,
                        MpControlClient_IsPartitioned(check->gateway->control)
                            ? 0
                            : MP_DECISION_WAIT_MS,
                        on_decision_timeout, check);
    }
    MpSuspectCheck_Propose(check, deadline_ms, on_decision);
}

static void report_part(struct MpSuspectCheck *report);

/* A part is suspected or cleared by the reply, unless the quorum was not
 * reached; then a crash is reported again. */
static void
on_part_reported(void *data, int code, const struct mp_result *result)
{
    struct MpSuspectCheck *report = data;
    report->gateway->crash_reports--;
    MpSuspectCheck_Log(report, "quorum", code,
                       code == MP_OK ? result->number : 0);
    if (code == MP_OK) {
        MpSuspects_SetCrashes(MpSuspectCheck_Suspects(report),
                              MpSuspectCheck_Fingerprint(report),
                              result->number);
    }
    else if (report->trial.kind != MP_TRIAL_VOUCH &&
             MpLoop_Now() - report->event_ms < REPORT_TIMEOUT_MS) {
        report_part(report);
        return;
    }
    MpSuspectCheck_Delete(report);
}

/* Reports on a part, unless too many reports are under way.  The report has
 * the age of what it is about, so it must be applied soon. */
static void
report_part(struct MpSuspectCheck *report)
{
    int64_t now_ms = MpLoop_Now();
    char part[MP_PART_NAME_BYTES];
    if (report->gateway->crash_reports >= MP_CRASH_REPORTS_MAX) {
        MpLog_Event(
            LOG_ERR, "report-dropped",
            "id=%s same=%s part=%s target=%s reports=%u", report->id,
            report->fingerprint_hex,
            MpCallFingerprint_PartName(report->trial.fingerprint, part),
            report->target ? report->target : "-",
            report->gateway->crash_reports);
        MpSuspectCheck_Delete(report);
        return;
    }
    report->gateway->crash_reports++;
    report->trial.timeout_ms = (u_int)(now_ms - report->event_ms);
    if (report->trial.kind == MP_TRIAL_VOUCH) {
        /* Not younger than it is when the quorum applies it. */
        report->trial.timeout_ms += PART_REPORT_TIMEOUT_MS;
    }
    MpSuspectCheck_Propose(report, now_ms + PART_REPORT_TIMEOUT_MS,
                           on_part_reported);
}

static void
on_reported(void *data, int code, const struct mp_result *result)
{
    struct MpSuspectCheck *check = data;
    bool is_acknowledged = code == MP_OK && result->code == MP_OK;
    char part[MP_PART_NAME_BYTES];
    MpLog_Event(LOG_NOTICE,
                check->trial.kind == MP_TRIAL_CLEAR ? "request-cleared"
                                                    : "trial-released",
                "id=%s same=%s part=%s told=%d", check->id,
                check->fingerprint_hex,
                MpCallFingerprint_PartName(check->trial.fingerprint, part),
                is_acknowledged);
    MpSuspectCheck_Delete(check);
}

/* Sends a report to the quorum for which no call waits. */
static void
report_to_quorum(struct MpGatewayCall *call, enum mp_trial_kind kind,
                 unsigned key)
{
    MpSuspectCheck_Propose(MpSuspectCheck_New(call, kind, key),
                           MpLoop_Now() + REPORT_TIMEOUT_MS, on_reported);
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

/* Tells the quorum of an earlier answer to a request with the part. */
static void
vouch(struct MpGateway *gateway, const uint8_t *fingerprint)
{
    struct MpSuspectCheck *report =
        MpSuspectCheck_NewPartReport(gateway, fingerprint, MP_TRIAL_VOUCH);
    report->event_ms =
        MpSuspects_PartAnsweredAt(&gateway->control->suspects, fingerprint);
    report_part(report);
}

/* Reports the parts of a request without content when its target crashed.
 * The content of any other request has shown that its parts are sound. */
static void
report_parts(const struct MpSuspectCheck *probe, int64_t now_ms)
{
    struct MpSuspects *suspects = MpSuspectCheck_Suspects(probe);
    for (guint at = 0; probe->parts && at < probe->parts->len;
         at += MP_HASH_BYTES) {
        const uint8_t *fingerprint = probe->parts->data + at;
        bool is_answered =
            probe->has_begun
                ? MpSuspects_TakePartAnswer(suspects, fingerprint, now_ms)
                : MpSuspects_IsPartAnswered(suspects, fingerprint, now_ms);
        if (!probe->has_begun && is_answered) {
            continue;
        }
        if (probe->has_begun && !is_answered) {
            MpSuspects_NoteCrash(suspects, fingerprint, probe->trial.run,
                                 now_ms);
        }
        struct MpSuspectCheck *report = MpSuspectCheck_NewPartReport(
            probe->gateway, fingerprint,
            probe->has_begun ? MP_TRIAL_CRASH : MP_TRIAL_WAITED);
        report->target = g_strdup(probe->target);
        report->trial.run = probe->trial.run;
        report->trial.attempt = g_str_hash(probe->target);
        report->trial.seen_crashes =
            MpSuspects_SeenCrashes(suspects, fingerprint);
        report->event_ms = now_ms;
        report_part(report);
        if (is_answered) {
            vouch(probe->gateway, fingerprint);
        }
    }
}

static void
on_probed(void *owner, enum MpProbeResult result)
{
    struct MpSuspectCheck *check = owner;
    int64_t now_ms = MpLoop_Now();
    bool is_suspect = result == MP_PROBE_REFUSED &&
                      MpSuspects_NoteCrash(MpSuspectCheck_Suspects(check),
                                           MpSuspectCheck_Fingerprint(check),
                                           check->trial.run, now_ms);
    MpLog_Event(
        result == MP_PROBE_REFUSED ? LOG_WARNING : LOG_INFO, "target-looked",
        "id=%s same=%s target=%s sign=%s sent_ms_ago=%" PRId64
        " is_suspect=%d",
        check->id, check->fingerprint_hex, check->target,
        probe_result_name(result), now_ms - check->sent_ms, is_suspect);
    if (result == MP_PROBE_REFUSED) {
        report_parts(check, now_ms);
    }
    if (result == MP_PROBE_REFUSED && check->parts && check->call) {
        check->call->trials &= 1U; /* the trials of its parts have ended */
    }
    if (!is_suspect) {
        struct MpGatewayCall *call = MpSuspectCheck_Detach(check);
        MpSuspectCheck_Delete(check);
        if (call) {
            admit_from(call, 1);
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
        MpSuspectCheck_Delete(check);
        return;
    }
    check->gateway->crash_reports++;
    check->trial.seen_crashes = MpSuspects_SeenCrashes(
        MpSuspectCheck_Suspects(check), MpSuspectCheck_Fingerprint(check));
    query_quorum(check, 0);
}

void
MpGatewaySuspect_ProbeTarget(struct MpGatewayCall *call)
{
    struct MpSuspectCheck *check = MpSuspectCheck_New(call, MP_TRIAL_CRASH, 0);
    call->check = check;
    check->call = call;
    check->has_begun = call->has_response;
    if (call->forward.attempt_events == 0) {
        check->parts = MpCallFingerprint_CopyParts(call);
    }
    MpConnPool_Probe(call->target->connections, on_probed, check);
}

void
MpGatewaySuspect_WaitForProbe(struct MpGatewayCall *call)
{
    call->stage = MP_CALL_TRIAL;
}

/* ---- calls ---- */

/* Checks the call's fingerprints from key on, and lets it run if none of them
 * is a suspect. */
static void
admit_from(struct MpGatewayCall *call, unsigned key)
{
    struct MpSuspects *suspects = &call->gateway->control->suspects;
    uint8_t fingerprint[MP_HASH_BYTES];
    char part[MP_PART_NAME_BYTES];
    int64_t now_ms = MpLoop_Now();
    for (; key < MpCallFingerprint_Count(call); key++) {
        MpCallFingerprint_Copy(call, key, fingerprint);
        unsigned group =
            key == 0 ? 0 : MpCallFingerprint_CountGroup(call, key);
        enum MpSuspicion suspicion =
            key == 0
                ? MpSuspects_Lookup(suspects, fingerprint)
                : MpSuspects_LookupPart(suspects, fingerprint, group, now_ms);
        bool is_on_trial = call->trials & 1U << key;
        if (suspicion == MP_SUSPICION_NONE || is_on_trial) {
            continue;
        }
        if (suspicion == MP_SUSPICION_STOPPED) {
            MpLog_Event(LOG_WARNING, "request-stopped",
                        "id=%s same=%s part=%s suspects=%" PRIu64,
                        call->id ? call->id : "-", call->fingerprint_hex,
                        MpCallFingerprint_PartName(fingerprint, part),
                        suspects->version);
            refuse_call(call, key, MP_ERROR_POISON);
            return;
        }
        struct MpSuspectCheck *check =
            MpSuspectCheck_New(call, MP_TRIAL_REQUEST, key);
        if (key > 0) {
            check->trial.attempt = group;
            check->parts = MpCallFingerprint_CopyParts(call);
        }
        MpSuspectCheck_Attach(check, call);
        query_quorum(check, now_ms + MP_DECISION_WAIT_MS);
        return;
    }
    resume_call(call);
}

void
MpGatewaySuspect_Admit(struct MpGatewayCall *call)
{
    admit_from(call, 0);
}

bool
MpGatewaySuspect_MayGoOn(const struct MpGatewayCall *call)
{
    uint8_t fingerprint[MP_HASH_BYTES];
    for (unsigned key = 0; key < MpCallFingerprint_Count(call); key++) {
        MpCallFingerprint_Copy(call, key, fingerprint);
        if (!(call->trials & 1U << key) &&
            MpSuspects_Lookup(&call->gateway->control->suspects,
                              fingerprint) != MP_SUSPICION_NONE) {
            return false;
        }
    }
    return true;
}

void
MpGatewaySuspect_NoteContent(struct MpGatewayCall *call)
{
    struct MpSuspects *suspects = &call->gateway->control->suspects;
    uint8_t fingerprint[MP_HASH_BYTES];
    for (unsigned key = 1; key < MpCallFingerprint_Count(call); key++) {
        MpCallFingerprint_Copy(call, key, fingerprint);
        if (MpSuspects_NotePartAnswer(suspects, fingerprint, MpLoop_Now())) {
            report_to_quorum(call, MP_TRIAL_CLEAR, key);
            call->trials &= ~(1U << key);
        }
    }
}

void
MpGatewaySuspect_Answered(struct MpGatewayCall *call)
{
    if (MpSuspects_NoteAnswer(&call->gateway->control->suspects,
                              call->fingerprint)) {
        report_to_quorum(call, MP_TRIAL_CLEAR, 0);
        call->trials &= ~1U;
    }
}

void
MpGatewaySuspect_End(struct MpGatewayCall *call)
{
    uint8_t fingerprint[MP_HASH_BYTES];
    if (call->check) {
        MpSuspectCheck_Detach(call->check);
    }
    for (unsigned key = 0;
         call->trials != 0 && key < MpCallFingerprint_Count(call); key++) {
        if (call->trials & 1U << key) {
            MpCallFingerprint_Copy(call, key, fingerprint);
            MpSuspects_EndTrial(&call->gateway->control->suspects, fingerprint,
                                call->run_id);
            report_to_quorum(call, MP_TRIAL_RELEASE, key);
        }
    }
    call->trials = 0;
}

/* ---- lists of the quorum ---- */

/* Returns whether the call waits for the content of a response, and a part of
 * its prompt was stopped since it was admitted. */
static bool
must_recall(const struct MpGatewayCall *call)
{
    const struct MpSuspects *suspects = &call->gateway->control->suspects;
    uint8_t fingerprint[MP_HASH_BYTES];
    if (call->stage != MP_CALL_RUNNING || !call->conn ||
        call->forward.attempt_events > 0) {
        return false;
    }
    for (unsigned key = 1; key < MpCallFingerprint_Count(call); key++) {
        MpCallFingerprint_Copy(call, key, fingerprint);
        if (!(call->trials & 1U << key) &&
            !MpSuspects_IsPartAnswered(suspects, fingerprint, MpLoop_Now()) &&
            MpSuspects_Lookup(suspects, fingerprint) == MP_SUSPICION_STOPPED) {
            return true;
        }
    }
    return false;
}

static void
recall(struct MpGatewayCall *call)
{
    MpLog_Event(LOG_WARNING, "request-recalled",
                "id=%s same=%s target=%s sent_ms_ago=%" PRId64,
                call->id ? call->id : "-", call->fingerprint_hex,
                call->target->incarnation, MpLoop_Now() - call->sent_ms);
    MpGatewayAttempt_Cancel(call, MP_OUTCOME_CANCELLED);
    call->forward.may_have_run = true;
    refuse_call(call, 1, MP_ERROR_POISON);
}

void
MpGatewaySuspect_ApplyLists(struct MpGateway *gateway)
{
    int64_t now_ms = MpLoop_Now();
    GByteArray *vouched =
        MpSuspects_ListVouchedParts(&gateway->control->suspects, now_ms);
    for (guint at = 0; at < vouched->len; at += MP_HASH_BYTES) {
        vouch(gateway, vouched->data + at);
    }
    g_byte_array_unref(vouched);
    GList *link = gateway->calls.head;
    while (link) {
        struct MpGatewayCall *call = link->data;
        link = link->next;
        if (must_recall(call)) {
            recall(call);
        }
    }
}
