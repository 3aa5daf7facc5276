#include "CheckedApply.h"
#include "Input.h"

#include "coordination/Suspects.h"
#include "state/Error.h"
#include "state/Machine.h"

#include <glib.h>
#include <string.h>

/*
 * FuzzSuspects - fuzzes the quarantine of poison requests with four instances,
 * one quorum, and four requests that are sent again and again: two crash each
 * target that runs them, two are harmless but some of their targets crash for
 * other reasons.
 *
 * Instances are partitioned and restarted, replies of the quorum come too
 * late, callers disconnect, and the state is saved and loaded.
 *
 * Oracle, from what happened at the targets: 3 s after the third crash that
 * was reported to the quorum, instances that have been connected for 3 s send
 * a crashing request at most three more times; the quorum grants one trial at
 * a time; a request is never refused before a target has crashed under it, and
 * after one crash it is stopped only if its trials ended without a verdict; no
 * request is held back when its last run ended more than MP_TRIAL_MAX_MS ago.
 */

#define INSTANCES 4
#define REQUESTS 4
#define CRASHING_REQUESTS 2 /* requests below this crash targets */
#define RUNS_MAX 16
/* Time in which a decision of the quorum must reach connected instances. */
#define PROPAGATION_MS 3000
#define SYNC_MS 250
#define RUN_TIMEOUT_MS 4000
#define RETRIES_MAX 3

struct instance {
    struct MpSuspects suspects;
    GArray *reports; /* of struct mp_trial, not yet sent to the quorum */
    int64_t stable_since_ms; /* last restart or change of the connection */
    int64_t synced_ms;
    bool is_connected;
    bool is_ready; /* has synced since its start */
};

struct run {
    bool is_active;
    bool is_granted; /* the quorum granted it a trial */
    uint32_t instance;
    uint32_t request;
    uint64_t number;
    uint32_t attempt;
    int64_t deadline_ms;
};

struct oracle {
    uint32_t crashes;
    /* Crashes reported to the quorum, and trials that it has granted, since
     * the last complete response. */
    uint32_t reported;
    uint32_t trials;
    uint32_t report_count; /* crash reports, never reset */
    int64_t third_report_ms;
    uint32_t retries;
    int64_t idle_since_ms; /* end of its last run */
};

struct fixture {
    struct FuzzInput *input;
    struct MpMachine machine;
    uint64_t index;
    struct instance instances[INSTANCES];
    struct run runs[RUNS_MAX];
    struct oracle oracles[REQUESTS];
    uint64_t next_run;
    int64_t now_ms;
};

static void
fill_fingerprint(uint32_t request, void *out)
{
    memset(out, (int)request + 1, MP_HASH_BYTES);
}

/* ---- the quorum ---- */

/* Trials granted before a complete response no longer exclude other runs. */
static void
void_grants(struct fixture *this, int request)
{
    for (int i = 0; i < RUNS_MAX; i++) {
        this->runs[i].is_granted &= (int)this->runs[i].request != request;
    }
}

static int
apply(struct fixture *this, const struct mp_trial *trial,
      uint64_t *crash_count)
{
    struct mp_command command = {.at_ms = this->now_ms,
                                 .body = {.kind = MP_CMD_TRIAL}};
    struct mp_result result;
    command.body.mp_command_body_u.trial = *trial;
    struct oracle *oracle = &this->oracles[trial->fingerprint[0] - 1];
    if (trial->kind == MP_TRIAL_CRASH) {
        oracle->reported = MAX(oracle->reported + 1, trial->seen_crashes);
        if (++oracle->report_count == 3) {
            oracle->third_report_ms = this->now_ms;
        }
    }
    if (trial->kind == MP_TRIAL_CLEAR) {
        oracle->reported = 0;
        oracle->trials = 0;
        void_grants(this, trial->fingerprint[0] - 1);
    }
    int code = CheckedApply(&this->machine, ++this->index, &command, &result);
    *crash_count = result.number;
    oracle->trials += code == MP_OK && trial->kind <= MP_TRIAL_CRASH;
    return code;
}

static void
reload(struct fixture *this)
{
    GBytes *bytes = MpMachine_Save(&this->machine);
    gsize size;
    const void *data = g_bytes_get_data(bytes, &size);
    if (MpMachine_Load(&this->machine, data, size) != MP_OK) {
        Fuzz_Fail("cannot read a snapshot");
    }
    g_bytes_unref(bytes);
}

static void
sync_instance(struct fixture *this, struct instance *instance)
{
    const struct MpQuarantine *quarantine = &this->machine.quarantine;
    if (!instance->is_connected) {
        return;
    }
    for (guint i = 0; i < instance->reports->len; i++) {
        const struct mp_trial *trial =
            &g_array_index(instance->reports, struct mp_trial, i);
        uint64_t crash_count;
        apply(this, trial, &crash_count);
        MpSuspects_SetCrashes(&instance->suspects,
                              (const uint8_t *)trial->fingerprint,
                              crash_count);
    }
    g_array_set_size(instance->reports, 0);
    if (quarantine->version > instance->suspects.version) {
        GByteArray *stopped = MpQuarantine_List(quarantine, true);
        GByteArray *suspected = MpQuarantine_List(quarantine, false);
        MpSuspects_SetLists(&instance->suspects, quarantine->version,
                            (char *)stopped->data, stopped->len,
                            (char *)suspected->data, suspected->len);
        g_byte_array_unref(stopped);
        g_byte_array_unref(suspected);
    }
    instance->synced_ms = this->now_ms;
    instance->is_ready = true;
}

/* ---- runs ---- */

static struct mp_trial
make_trial(const struct fixture *this, const struct run *run,
           enum mp_trial_kind kind)
{
    int64_t left_ms = MAX(run->deadline_ms - this->now_ms, 0);
    struct mp_trial trial = {.kind = kind,
                             .run = run->number,
                             .attempt = run->attempt,
                             .timeout_ms = (u_int)left_ms};
    fill_fingerprint(run->request, trial.fingerprint);
    return trial;
}

static void
check_granted(const struct fixture *this, const struct run *run)
{
    for (int i = 0; i < RUNS_MAX; i++) {
        const struct run *other = &this->runs[i];
        if (other != run && other->is_active && other->is_granted &&
            other->request == run->request &&
            other->deadline_ms > this->now_ms) {
            Fuzz_Fail("two runs on trial at once");
        }
    }
}

static bool
is_running(const struct fixture *this, uint32_t request)
{
    for (int i = 0; i < RUNS_MAX; i++) {
        if (this->runs[i].is_active && this->runs[i].request == request) {
            return true;
        }
    }
    return false;
}

static void
check_refusal(const struct fixture *this, const struct run *run, int code,
              bool is_by_quorum)
{
    const struct oracle *oracle = &this->oracles[run->request];
    if (oracle->crashes == 0) {
        Fuzz_Fail("request is refused, but crashed no target");
    }
    if (code == MP_ERROR_POISON && oracle->crashes == 1 && !is_by_quorum) {
        Fuzz_Fail("request is stopped after one crash");
    }
    if (code == MP_ERROR_POISON && is_by_quorum &&
        oracle->reported < MP_POISON_CRASHES &&
        oracle->trials < MP_TRIALS_MAX) {
        Fuzz_Fail("stopped after %u crashes since it was answered",
                  oracle->reported);
    }
    if (code == MP_ERROR_HELD_BACK && is_by_quorum &&
        !is_running(this, run->request) &&
        this->now_ms - oracle->idle_since_ms > MP_TRIAL_MAX_MS) {
        Fuzz_Fail("request is held back after its last run ended");
    }
}

/* Asks the quorum, or the instance's own state if partitioned, whether the run
 * may be sent to a target now. */
static bool
may_send(struct fixture *this, struct run *run, enum mp_trial_kind kind)
{
    struct instance *instance = &this->instances[run->instance];
    struct mp_trial trial = make_trial(this, run, kind);
    const uint8_t *fingerprint = (const uint8_t *)trial.fingerprint;
    bool is_connected = instance->is_connected;
    bool is_late = FuzzInput_Below(this->input, 16) == 0;
    uint64_t crash_count = 0;
    int code = MP_OK;
    trial.seen_crashes =
        MpSuspects_SeenCrashes(&instance->suspects, fingerprint);
    if (is_connected) {
        code = apply(this, &trial, &crash_count);
    }
    else if (kind == MP_TRIAL_CRASH) {
        g_array_append_val(instance->reports, trial);
    }
    if (is_connected && !is_late) {
        MpSuspects_SetCrashes(&instance->suspects, fingerprint, crash_count);
        run->is_granted = code == MP_OK && crash_count > 0;
    }
    else if (is_connected) {
        run->is_granted = false;
        return false; /* the quorum's reply came too late */
    }
    else {
        code = MpSuspects_DecideLocally(
            &instance->suspects, fingerprint, run->number,
            run->deadline_ms - this->now_ms, this->now_ms);
        run->is_granted = false;
    }
    if (code != MP_OK) {
        check_refusal(this, run, code, is_connected);
        return false;
    }
    if (run->is_granted) {
        check_granted(this, run);
    }
    return true;
}

static void
send_run(struct fixture *this, struct run *run)
{
    struct oracle *oracle = &this->oracles[run->request];
    const struct instance *instance = &this->instances[run->instance];
    run->attempt++;
    bool is_stable = instance->is_connected &&
                     this->now_ms - instance->stable_since_ms > PROPAGATION_MS;
    if (run->request < CRASHING_REQUESTS && oracle->report_count >= 3 &&
        is_stable && this->now_ms > oracle->third_report_ms + PROPAGATION_MS &&
        ++oracle->retries > RETRIES_MAX) {
        Fuzz_Fail("%u retries long after the third crash", oracle->retries);
    }
}

/* Ends a trial that the quorum may have granted although its reply came too
 * late. */
static void
release_trial(struct fixture *this, const struct run *run)
{
    struct mp_trial trial = make_trial(this, run, MP_TRIAL_RELEASE);
    uint64_t crash_count;
    if (this->instances[run->instance].is_connected) {
        apply(this, &trial, &crash_count);
    }
}

static void
start_run(struct fixture *this)
{
    uint32_t instance_number = FuzzInput_Below(this->input, INSTANCES);
    uint32_t request = FuzzInput_Below(this->input, REQUESTS);
    struct instance *instance = &this->instances[instance_number];
    struct run *run = NULL;
    for (int i = 0; i < RUNS_MAX && !run; i++) {
        run = this->runs[i].is_active ? NULL : &this->runs[i];
    }
    if (!run || !instance->is_ready) {
        return;
    }
    *run = (struct run){.instance = instance_number,
                        .request = request,
                        .number = ++this->next_run,
                        .deadline_ms = this->now_ms + RUN_TIMEOUT_MS};
    struct mp_trial trial = make_trial(this, run, MP_TRIAL_REQUEST);
    enum MpSuspicion suspicion = MpSuspects_Lookup(
        &instance->suspects, (const uint8_t *)trial.fingerprint);
    if (suspicion == MP_SUSPICION_STOPPED) {
        check_refusal(this, run, MP_ERROR_POISON, false);
        return;
    }
    if (suspicion == MP_SUSPICION_TRIAL &&
        !may_send(this, run, MP_TRIAL_REQUEST)) {
        release_trial(this, run);
        return;
    }
    run->is_active = true;
    send_run(this, run);
}

static void
end_run(struct fixture *this, struct run *run, enum mp_trial_kind kind)
{
    struct instance *instance = &this->instances[run->instance];
    struct mp_trial trial = make_trial(this, run, kind);
    const uint8_t *fingerprint = (const uint8_t *)trial.fingerprint;
    uint64_t crash_count;
    run->is_active = false;
    this->oracles[run->request].idle_since_ms = this->now_ms;
    if (kind == MP_TRIAL_CLEAR &&
        !MpSuspects_NoteAnswer(&instance->suspects, fingerprint)) {
        return;
    }
    MpSuspects_EndTrial(&instance->suspects, fingerprint, run->number);
    if (instance->is_connected) {
        apply(this, &trial, &crash_count);
    }
    else if (kind == MP_TRIAL_CLEAR) {
        g_array_append_val(instance->reports, trial);
    }
}

static void
crash_target(struct fixture *this, struct run *run)
{
    struct oracle *oracle = &this->oracles[run->request];
    struct instance *instance = &this->instances[run->instance];
    struct mp_trial trial = make_trial(this, run, MP_TRIAL_CRASH);
    oracle->crashes++;
    bool is_suspect = MpSuspects_NoteCrash(&instance->suspects,
                                           (const uint8_t *)trial.fingerprint,
                                           run->number, this->now_ms);
    bool is_retried = FuzzInput_Below(this->input, 2);
    if (is_suspect && !may_send(this, run, MP_TRIAL_CRASH)) {
        is_retried = false;
    }
    if (is_retried) {
        send_run(this, run);
        return;
    }
    end_run(this, run, MP_TRIAL_RELEASE);
}

static void
finish_run(struct fixture *this)
{
    struct run *run = &this->runs[FuzzInput_Below(this->input, RUNS_MAX)];
    if (!run->is_active) {
        return;
    }
    uint32_t choice = FuzzInput_Below(this->input, 16);
    if (choice == 0 || run->deadline_ms <= this->now_ms) {
        end_run(this, run, MP_TRIAL_RELEASE);
    }
    else if (run->request < CRASHING_REQUESTS || choice == 1) {
        crash_target(this, run);
    }
    else {
        end_run(this, run, MP_TRIAL_CLEAR);
    }
}

/* ---- instances ---- */

static void
restart(struct fixture *this, uint32_t instance_number)
{
    struct instance *instance = &this->instances[instance_number];
    for (int i = 0; i < RUNS_MAX; i++) {
        struct run *run = &this->runs[i];
        if (run->is_active && run->instance == instance_number) {
            run->is_active = false;
            this->oracles[run->request].idle_since_ms = this->now_ms;
        }
    }
    MpSuspects_Done(&instance->suspects);
    MpSuspects_Init(&instance->suspects);
    g_array_set_size(instance->reports, 0);
    instance->stable_since_ms = this->now_ms;
    instance->is_ready = false;
}

static void
advance(struct fixture *this)
{
    this->now_ms += 5 * (1 + FuzzInput_Byte(this->input));
    for (int i = 0; i < INSTANCES; i++) {
        if (this->now_ms - this->instances[i].synced_ms >= SYNC_MS) {
            sync_instance(this, &this->instances[i]);
        }
    }
    for (int i = 0; i < RUNS_MAX; i++) {
        struct run *run = &this->runs[i];
        if (run->is_active && run->deadline_ms <= this->now_ms) {
            end_run(this, run, MP_TRIAL_RELEASE);
        }
    }
}

static void
step(struct fixture *this)
{
    uint32_t kind = FuzzInput_Below(this->input, 64);
    uint32_t instance_number = FuzzInput_Below(this->input, INSTANCES);
    struct instance *instance = &this->instances[instance_number];
    if (kind < 24) {
        start_run(this);
    }
    else if (kind < 44) {
        finish_run(this);
    }
    else if (kind < 60) {
        advance(this);
    }
    else if (kind == 60) {
        instance->is_connected = !instance->is_connected;
        instance->stable_since_ms = this->now_ms;
    }
    else if (kind == 61) {
        restart(this, instance_number);
    }
    else if (kind == 62) {
        reload(this);
    }
    else {
        sync_instance(this, instance);
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct FuzzInput input = {.data = data, .size = size};
    struct fixture fixture = {.input = &input, .now_ms = 1000000};
    MpMachine_Init(&fixture.machine);
    for (int i = 0; i < INSTANCES; i++) {
        fixture.instances[i] = (struct instance){
            .reports = g_array_new(false, false, sizeof(struct mp_trial)),
            .is_connected = true,
            .is_ready = true};
        MpSuspects_Init(&fixture.instances[i].suspects);
    }
    while (!FuzzInput_IsAtEnd(&input)) {
        step(&fixture);
        Fuzz_Steps++;
    }
    for (int i = 0; i < INSTANCES; i++) {
        MpSuspects_Done(&fixture.instances[i].suspects);
        g_array_unref(fixture.instances[i].reports);
    }
    MpMachine_Done(&fixture.machine);
    return 0;
}
