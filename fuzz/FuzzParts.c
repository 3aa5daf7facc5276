#include "CheckedApply.h"
#include "Input.h"

#include "coordination/Suspects.h"
#include "state/Error.h"
#include "state/Machine.h"

#include <glib.h>
#include <string.h>

/*
 * FuzzParts - fuzzes the quarantine of prompt parts with four instances, one
 * quorum, and requests that are never equal but share parts.  From some moment
 * on, part 0 crashes each target that begins to answer a request with it;
 * other targets crash for other reasons.
 *
 * Instances are partitioned and restarted, callers disconnect, and the state
 * is saved and loaded.
 *
 * Oracle, from what happened at the targets: PROPAGATION_MS after the fifth
 * crash under part 0 that was reported, connected instances send at most three
 * more requests with it; requests whose parts were all answered since they
 * last had a part in a crash run.
 */

#define INSTANCES 4
#define PARTS 6
#define RUNS_MAX 16
#define PROPAGATION_MS 3000
#define SYNC_MS 250
#define RUN_TIMEOUT_MS 4000
#define CRASHES_MOST 5
#define RETRIES_MOST 3

struct late_report {
    struct mp_trial trial;
    uint32_t part;
    int64_t at_ms;
};

struct instance {
    struct MpSuspects suspects;
    GArray *reports; /* of struct late_report, not yet sent to the quorum */
    int64_t stable_since_ms; /* last restart or change of the connection */
    int64_t synced_ms;
    bool is_connected;
    bool is_ready; /* has synced since its start */
};

struct run {
    bool is_active;
    bool has_begun; /* the head of the response has arrived */
    bool is_sent;
    uint32_t instance;
    uint32_t parts;  /* bits */
    uint32_t trials; /* bits of the parts that it has on trial */
    uint64_t number;
    uint32_t target;
    int64_t deadline_ms;
};

/* What the targets have seen of a part. */
struct oracle {
    int64_t crashed_ms;   /* last crash of a target under a request with it, or
                           * last late report of one */
    int64_t answered_ms;  /* last answer at a connected instance; 0 when that
                           * may have lost it */
    uint32_t answered_by; /* that instance */
};

struct fixture {
    struct FuzzInput *input;
    struct MpMachine machine;
    uint64_t index;
    struct instance instances[INSTANCES];
    struct run runs[RUNS_MAX];
    struct oracle oracles[PARTS];
    uint32_t crash_reports; /* of part 0 */
    int64_t last_report_ms; /* of the fifth */
    uint32_t retries;
    bool is_crashing; /* part 0 crashes targets */
    uint64_t next_run;
    int64_t now_ms;
};

static void
fill_fingerprint(uint32_t part, void *out)
{
    MpQuarantine_SetPartFingerprint(part + 1, out);
}

static struct mp_trial
make_trial(const struct run *run, uint32_t part, enum mp_trial_kind kind)
{
    struct mp_trial trial = {.kind = kind, .run = run->number};
    fill_fingerprint(part, trial.fingerprint);
    return trial;
}

/* ---- the quorum ---- */

static int
apply_command(struct fixture *this, struct instance *instance,
              const struct mp_command_body *body, const char *fingerprint)
{
    struct mp_command command = {.at_ms = this->now_ms, .body = *body};
    struct mp_result result;
    int code = CheckedApply(&this->machine, ++this->index, &command, &result);
    MpSuspects_SetCrashes(&instance->suspects, (const uint8_t *)fingerprint,
                          result.number);
    return code;
}

static int
apply(struct fixture *this, struct instance *instance,
      const struct mp_trial *trial)
{
    struct mp_command_body body = {.kind = MP_CMD_TRIAL};
    body.mp_command_body_u.trial = *trial;
    return apply_command(this, instance, &body, trial->fingerprint);
}

static int
request_trial(struct fixture *this, struct instance *instance,
              const struct mp_trial *trial, uint32_t parts)
{
    struct mp_command_body body = {.kind = MP_CMD_PART_TRIAL};
    uint8_t fingerprints[PARTS * MP_HASH_BYTES];
    u_int bytes = 0;
    for (uint32_t part = 0; part < PARTS; part++) {
        if (parts & 1U << part) {
            fill_fingerprint(part, fingerprints + bytes);
            bytes += MP_HASH_BYTES;
        }
    }
    body.mp_command_body_u.part_trial = (struct mp_part_trial){
        .trial = *trial,
        .parts = {.parts_len = bytes, .parts_val = (char *)fingerprints}};
    return apply_command(this, instance, &body, trial->fingerprint);
}

/* Sends a report now, or with the next sync of a partitioned instance. */
static void
report(struct fixture *this, struct instance *instance, uint32_t part,
       const struct mp_trial *trial)
{
    if (instance->is_connected) {
        apply(this, instance, trial);
    }
    else {
        struct late_report late = {
            .trial = *trial, .part = part, .at_ms = this->now_ms};
        g_array_append_val(instance->reports, late);
    }
}

static void
vouch(struct fixture *this, struct instance *instance,
      const uint8_t *fingerprint)
{
    struct mp_trial trial = {.kind = MP_TRIAL_VOUCH};
    int64_t answered_ms =
        MpSuspects_PartAnsweredAt(&instance->suspects, fingerprint);
    trial.timeout_ms = (u_int)(this->now_ms - answered_ms);
    memcpy(trial.fingerprint, fingerprint, MP_HASH_BYTES);
    if (instance->is_connected) {
        apply(this, instance, &trial);
    }
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
        struct late_report *late =
            &g_array_index(instance->reports, struct late_report, i);
        if (late->trial.kind == MP_TRIAL_CRASH ||
            late->trial.kind == MP_TRIAL_WAITED) {
            late->trial.timeout_ms = (u_int)(this->now_ms - late->at_ms);
            this->oracles[late->part].crashed_ms = this->now_ms;
        }
        apply(this, instance, &late->trial);
    }
    g_array_set_size(instance->reports, 0);
    instance->synced_ms = this->now_ms;
    instance->is_ready = true;
    if (quarantine->version <= instance->suspects.version) {
        return;
    }
    GByteArray *stopped = MpQuarantine_List(quarantine, true);
    GByteArray *suspected = MpQuarantine_List(quarantine, false);
    MpSuspects_SetLists(&instance->suspects, quarantine->version,
                        (char *)stopped->data, stopped->len,
                        (char *)suspected->data, suspected->len);
    GByteArray *groups = MpQuarantine_ListGroups(quarantine);
    MpSuspects_SetGroups(&instance->suspects, (char *)suspected->data,
                         (char *)groups->data, groups->len);
    g_byte_array_unref(groups);
    g_byte_array_unref(stopped);
    g_byte_array_unref(suspected);
    GByteArray *vouched =
        MpSuspects_ListVouchedParts(&instance->suspects, this->now_ms);
    for (guint at = 0; at < vouched->len; at += MP_HASH_BYTES) {
        vouch(this, instance, vouched->data + at);
    }
    g_byte_array_unref(vouched);
}

/* ---- runs ---- */

static void
release_trials(struct fixture *this, struct run *run)
{
    struct instance *instance = &this->instances[run->instance];
    for (uint32_t part = 0; part < PARTS; part++) {
        struct mp_trial trial = make_trial(run, part, MP_TRIAL_RELEASE);
        trial.attempt = run->is_sent;
        if (run->trials & 1U << part) {
            MpSuspects_EndTrial(&instance->suspects,
                                (const uint8_t *)trial.fingerprint,
                                run->number);
            report(this, instance, part, &trial);
        }
    }
    run->trials = 0;
}

static uint32_t
count_group(const struct instance *instance, uint32_t parts,
            const uint8_t *member)
{
    uint8_t fingerprint[MP_HASH_BYTES];
    uint32_t count = 0;
    for (uint32_t part = 0; part < PARTS; part++) {
        fill_fingerprint(part, fingerprint);
        count +=
            parts & 1U << part &&
            MpSuspects_Lookup(&instance->suspects, fingerprint) !=
                MP_SUSPICION_NONE &&
            MpSuspects_IsSameGroup(&instance->suspects, member, fingerprint);
    }
    return count;
}

/* Returns whether the run may go to a target now. */
static int
admit(struct fixture *this, struct run *run)
{
    struct instance *instance = &this->instances[run->instance];

    for (uint32_t part = 0; part < PARTS; part++) {
        struct mp_trial trial = make_trial(run, part, MP_TRIAL_REQUEST);
        const uint8_t *fingerprint = (const uint8_t *)trial.fingerprint;
        if (!(run->parts & 1U << part) || run->trials & 1U << part) {
            continue;
        }
        uint32_t group = count_group(instance, run->parts, fingerprint);
        enum MpSuspicion suspicion = MpSuspects_LookupPart(
            &instance->suspects, fingerprint, group, this->now_ms);
        if (suspicion == MP_SUSPICION_NONE) {
            continue;
        }
        if (suspicion == MP_SUSPICION_STOPPED) {
            return MP_ERROR_POISON;
        }
        trial.attempt = group;
        trial.timeout_ms = (u_int)MAX(run->deadline_ms - this->now_ms, 0);
        int code = instance->is_connected
                       ? request_trial(this, instance, &trial, run->parts)
                       : MpSuspects_DecideLocally(
                             &instance->suspects, fingerprint, run->number,
                             trial.timeout_ms, this->now_ms);
        if (code == MP_ERROR_POISON && instance->is_connected) {
            MpSuspects_NotePartRefused(&instance->suspects, fingerprint, group,
                                       this->now_ms);
        }
        if (code != MP_OK) {
            return code;
        }
        run->trials |= 1U << part;
    }
    return MP_OK;
}

/* Checks that sound requests run: each of their parts was answered later than
 * its last crash, and long enough ago for all instances to know. */
static void
check_refusal(const struct fixture *this, const struct run *run, int code)
{
    const struct instance *instance = &this->instances[run->instance];
    if (!instance->is_connected ||
        this->now_ms - instance->stable_since_ms <= PROPAGATION_MS) {
        return;
    }
    for (uint32_t part = 0; part < PARTS; part++) {
        const struct oracle *oracle = &this->oracles[part];
        if (run->parts & 1U << part &&
            (oracle->answered_ms <= oracle->crashed_ms ||
             this->now_ms - oracle->answered_ms <= PROPAGATION_MS)) {
            return;
        }
    }
    Fuzz_Fail("sound request is refused: %d", code);
}

static void
send_run(struct fixture *this, struct run *run)
{
    const struct instance *instance = &this->instances[run->instance];
    run->target = FuzzInput_Below(this->input, 64);
    run->has_begun = false;
    run->is_sent = true;
    bool is_stable = instance->is_connected &&
                     this->now_ms - instance->stable_since_ms > PROPAGATION_MS;
    if (run->parts & 1 && this->is_crashing && is_stable &&
        this->crash_reports >= CRASHES_MOST &&
        this->now_ms > this->last_report_ms + PROPAGATION_MS &&
        ++this->retries > RETRIES_MOST) {
        Fuzz_Fail("%u requests long after the fifth crash", this->retries);
    }
}

static void
start_run(struct fixture *this)
{
    uint32_t instance_number = FuzzInput_Below(this->input, INSTANCES);
    uint32_t parts = FuzzInput_Byte(this->input) & ((1U << PARTS) - 1);
    struct run *run = NULL;
    for (int i = 0; i < RUNS_MAX && !run; i++) {
        run = this->runs[i].is_active ? NULL : &this->runs[i];
    }
    if (!run || !this->instances[instance_number].is_ready) {
        return;
    }
    *run = (struct run){.instance = instance_number,
                        .parts = parts,
                        .number = ++this->next_run,
                        .deadline_ms = this->now_ms + RUN_TIMEOUT_MS};
    int code = admit(this, run);
    if (code != MP_OK) {
        check_refusal(this, run, code);
        release_trials(this, run);
        return;
    }
    run->is_active = true;
    send_run(this, run);
}

static void
end_run(struct fixture *this, struct run *run)
{
    run->is_active = false;
    release_trials(this, run);
}

static void
answer(struct fixture *this, struct run *run)
{
    struct instance *instance = &this->instances[run->instance];
    for (uint32_t part = 0; part < PARTS; part++) {
        struct mp_trial trial = make_trial(run, part, MP_TRIAL_CLEAR);
        if (!(run->parts & 1U << part)) {
            continue;
        }
        if (instance->is_connected) {
            this->oracles[part].answered_ms = this->now_ms;
            this->oracles[part].answered_by = run->instance;
        }
        if (MpSuspects_NotePartAnswer(&instance->suspects,
                                      (const uint8_t *)trial.fingerprint,
                                      this->now_ms)) {
            report(this, instance, part, &trial);
            run->trials &= ~(1U << part);
        }
    }
    end_run(this, run);
}

static void
report_parts(struct fixture *this, struct run *run)
{
    struct instance *instance = &this->instances[run->instance];
    for (uint32_t part = 0; part < PARTS; part++) {
        struct mp_trial trial = make_trial(
            run, part, run->has_begun ? MP_TRIAL_CRASH : MP_TRIAL_WAITED);
        const uint8_t *fingerprint = (const uint8_t *)trial.fingerprint;
        if (!(run->parts & 1U << part)) {
            continue;
        }
        bool is_answered =
            run->has_begun
                ? MpSuspects_TakePartAnswer(&instance->suspects, fingerprint,
                                            this->now_ms)
                : MpSuspects_IsPartAnswered(&instance->suspects, fingerprint,
                                            this->now_ms);
        if (!run->has_begun && is_answered) {
            continue;
        }
        if (run->has_begun && !is_answered) {
            MpSuspects_NoteCrash(&instance->suspects, fingerprint, run->number,
                                 this->now_ms);
        }
        trial.attempt = run->target;
        trial.seen_crashes =
            MpSuspects_SeenCrashes(&instance->suspects, fingerprint);
        report(this, instance, part, &trial);
        if (is_answered) {
            vouch(this, instance, fingerprint);
        }
    }
}

/* The target of a run crashes, with all runs on it. */
static void
crash_target(struct fixture *this, struct run *cause)
{
    uint32_t target = cause->target;
    for (int i = 0; i < RUNS_MAX; i++) {
        struct run *run = &this->runs[i];
        if (!run->is_active || run->target != target) {
            continue;
        }
        for (uint32_t part = 0; part < PARTS; part++) {
            if (run->parts & 1U << part) {
                this->oracles[part].crashed_ms = this->now_ms;
            }
        }
        report_parts(this, run);
        run->trials = 0;
        bool is_retried = FuzzInput_Below(this->input, 2);
        if (is_retried && admit(this, run) == MP_OK) {
            send_run(this, run);
            continue;
        }
        end_run(this, run);
    }
}

static void
finish_run(struct fixture *this)
{
    struct run *run = &this->runs[FuzzInput_Below(this->input, RUNS_MAX)];
    if (!run->is_active) {
        return;
    }
    uint32_t choice = FuzzInput_Below(this->input, 16);
    run->has_begun = choice != 1;
    if (choice == 0) {
        end_run(this, run);
        return;
    }
    bool is_cause = run->parts & 1 && this->is_crashing;
    if (is_cause && this->instances[run->instance].is_connected &&
        run->has_begun && ++this->crash_reports == CRASHES_MOST) {
        this->last_report_ms = this->now_ms;
    }
    if (is_cause || choice == 2) {
        crash_target(this, run);
        return;
    }
    answer(this, run);
}

/* ---- instances ---- */

/* The instance may not have told the quorum of its last answers. */
static void
forget_answers(struct fixture *this, uint32_t instance_number)
{
    for (uint32_t part = 0; part < PARTS; part++) {
        if (this->oracles[part].answered_by == instance_number) {
            this->oracles[part].answered_ms = 0;
        }
    }
}

static void
restart(struct fixture *this, uint32_t instance_number)
{
    struct instance *instance = &this->instances[instance_number];
    for (int i = 0; i < RUNS_MAX; i++) {
        if (this->runs[i].instance == instance_number) {
            this->runs[i].is_active = false;
        }
    }
    forget_answers(this, instance_number);
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
            end_run(this, run);
        }
    }
}

static void
step(struct fixture *this)
{
    uint32_t kind = FuzzInput_Below(this->input, 128);
    uint32_t instance_number = FuzzInput_Below(this->input, INSTANCES);
    struct instance *instance = &this->instances[instance_number];
    if (kind < 44) {
        start_run(this);
    }
    else if (kind < 92) {
        finish_run(this);
    }
    else if (kind < 122) {
        advance(this);
    }
    else if (kind == 122) {
        instance->is_connected = !instance->is_connected;
        forget_answers(this, instance_number);
        instance->stable_since_ms = this->now_ms;
    }
    else if (kind == 123) {
        restart(this, instance_number);
    }
    else if (kind == 124) {
        reload(this);
    }
    else if (kind == 125) {
        this->is_crashing = true;
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
            .reports = g_array_new(false, false, sizeof(struct late_report)),
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
