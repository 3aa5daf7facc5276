#include "transport/SuspectCheck.h"

#include "state/Error.h"
#include "transport/CallFingerprint.h"
#include "transport/Log.h"

#include <inttypes.h>
#include <string.h>

struct MpSuspects *
MpSuspectCheck_Suspects(const struct MpSuspectCheck *this)
{
    return &this->gateway->control->suspects;
}

const uint8_t *
MpSuspectCheck_Fingerprint(const struct MpSuspectCheck *this)
{
    return (const uint8_t *)this->trial.fingerprint;
}

uint32_t
MpSuspectCheck_CountRuns(const struct MpGatewayCall *call)
{
    return call->forward.sends - call->forward.not_run;
}

struct MpSuspectCheck *
MpSuspectCheck_New(struct MpGatewayCall *call, enum mp_trial_kind kind,
                   unsigned key)
{
    struct MpSuspectCheck *this = g_new0(struct MpSuspectCheck, 1);
    this->gateway = call->gateway;
    this->id = g_strdup(call->id ? call->id : "-");
    this->fingerprint_hex = g_strdup(call->fingerprint_hex);
    this->target = call->target ? g_strdup(call->target->incarnation) : NULL;
    this->sent_ms = call->sent_ms;
    this->key = key;
    this->trial.kind = kind;
    this->trial.run = call->run_id;
    this->trial.attempt =
        kind == MP_TRIAL_RELEASE
            ? MpSuspectCheck_CountRuns(call) - call->runs_before_trial
            : call->forward.sends;
    MpCallFingerprint_Copy(call, key, this->trial.fingerprint);
    return this;
}

struct MpSuspectCheck *
MpSuspectCheck_NewPartReport(struct MpGateway *gateway,
                             const uint8_t *fingerprint,
                             enum mp_trial_kind kind)
{
    struct MpSuspectCheck *this = g_new0(struct MpSuspectCheck, 1);
    this->gateway = gateway;
    this->id = g_strdup("-");
    this->fingerprint_hex = g_strdup("-");
    this->trial.kind = kind;
    memcpy(this->trial.fingerprint, fingerprint, MP_HASH_BYTES);
    return this;
}

struct MpGatewayCall *
MpSuspectCheck_Detach(struct MpSuspectCheck *this)
{
    struct MpGatewayCall *call = this->call;
    MpLoop_ClearTimer(&this->timer);
    this->call = NULL;
    if (call) {
        call->check = NULL;
    }
    return call;
}

void
MpSuspectCheck_Delete(struct MpSuspectCheck *this)
{
    MpSuspectCheck_Detach(this);
    g_clear_pointer(&this->parts, g_byte_array_unref);
    g_free(this->id);
    g_free(this->fingerprint_hex);
    g_free(this->target);
    g_free(this);
}

void
MpSuspectCheck_Attach(struct MpSuspectCheck *this, struct MpGatewayCall *call)
{
    this->call = call;
    call->check = this;
    call->stage = MP_CALL_TRIAL;
}

void
MpSuspectCheck_Log(const struct MpSuspectCheck *this, const char *by, int code,
                   uint64_t crashes)
{
    static const char *const events[] = {
        [MP_TRIAL_REQUEST] = "request-tried",
        [MP_TRIAL_CRASH] = "request-suspected",
        [MP_TRIAL_RELEASE] = "trial-released",
        [MP_TRIAL_CLEAR] = "request-cleared",
        [MP_TRIAL_WAITED] = "part-waited",
        [MP_TRIAL_VOUCH] = "part-vouched"};
    const struct MpControlClient *control = this->gateway->control;
    char part[MP_PART_NAME_BYTES];
    MpLog_Event(LOG_WARNING, events[this->trial.kind],
                "id=%s same=%s part=%s target=%s by=%s deaths=%" PRIu64
                " outcome=%s suspects=%" PRIu64 " synced_age_ms=%" PRId64,
                this->id, this->fingerprint_hex,
                MpCallFingerprint_PartName(this->trial.fingerprint, part),
                this->target ? this->target : "-", by, crashes,
                MpError_Name(code), control->suspects.version,
                MpLoop_Now() - control->synced_ms);
}

void
MpSuspectCheck_Propose(struct MpSuspectCheck *this, int64_t deadline_ms,
                       MpProposeDone done)
{
    struct mp_command command = {.body = {.kind = MP_CMD_TRIAL}};
    if (this->trial.kind == MP_TRIAL_REQUEST && this->key > 0) {
        command.body.kind = MP_CMD_PART_TRIAL;
        command.body.mp_command_body_u.part_trial = (struct mp_part_trial){
            .trial = this->trial,
            .parts = {.parts_len = this->parts->len,
                      .parts_val = (char *)this->parts->data}};
    }
    else {
        command.body.mp_command_body_u.trial = this->trial;
    }
    MpControlClient_Propose(this->gateway->control, &command, deadline_ms,
                            done, this);
}
