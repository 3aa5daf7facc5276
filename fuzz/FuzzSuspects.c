#include "Input.h"

#include "coordination/Suspects.h"
#include "state/Error.h"
#include "state/Machine.h"

#include <glib.h>
#include <string.h>

/*
 * FuzzSuspects - four instances, one quorum, and requests that come again and
 * again: two that end each target that runs them, and two that do not, but
 * see targets end of other causes.
 *
 * Instances are cut off and restarted, words of the quorum come too late,
 * callers leave, and the state is saved and loaded.
 *
 * Oracle, from what happened at the targets: 3 s after the third end that any
 * instance lived to report, those in touch send the request in at most three
 * tries more; the quorum
 * lets one run at a time; a request that saw no target end is never refused,
 * one that saw one is stopped only after trials without a verdict, and no
 * trial is waited for that nobody has.
 */

#define INSTANCES 4
#define PRINTS 4
#define CRASHING 2 /* the first of them */
#define RUNS_MOST 16
#define CONTACT_MS 3000
#define SYNC_MS 250
#define LASTS_MS 4000
#define RETRIES_MOST 3

struct instance {
    struct MpSuspects suspects;
    GArray *reports;  /* of struct mp_trial that the quorum does not have */
    int64_t touch_ms; /* since when it is up and connected */
    int64_t synced_ms;
    bool is_connected;
    bool is_ready;
};

struct run {
    bool is_active;
    bool is_granted; /* by the quorum */
    uint32_t instance;
    uint32_t print;
    uint64_t number;
    uint32_t attempt;
    int64_t until_ms; /* its deadline */
};

struct truth {
    uint32_t ends;
    uint32_t told;   /* ends that the quorum was told since a whole answer */
    uint32_t trials; /* that it has granted since */
    uint32_t reports;
    int64_t third_ms;
    uint32_t retries;
    int64_t idle_ms; /* since when nothing of it runs */
};

struct world {
    struct FuzzInput *input;
    struct MpMachine machine;
    uint64_t index;
    struct instance instances[INSTANCES];
    struct run runs[RUNS_MOST];
    struct truth truths[PRINTS];
    uint64_t next_run;
    int64_t now_ms;
};

static void
print_of(uint32_t print, void *out)
{
    memset(out, (int)print + 1, MP_HASH_BYTES);
}

/* ---- the quorum ---- */

/* What was granted before a whole answer holds nobody back any more. */
static void
void_grants(struct world *this, int print)
{
    for (int i = 0; i < RUNS_MOST; i++) {
        this->runs[i].is_granted &= (int)this->runs[i].print != print;
    }
}

static int
apply(struct world *this, const struct mp_trial *trial, uint64_t *deaths)
{
    struct mp_command command = {.at_ms = this->now_ms,
                                 .body = {.kind = MP_CMD_TRIAL}};
    struct mp_result result;
    command.body.mp_command_body_u.trial = *trial;
    struct truth *truth = &this->truths[trial->fingerprint[0] - 1];
    if (trial->kind == MP_TRIAL_CRASH) {
        truth->told = MAX(truth->told + 1, trial->crashes_seen);
        if (++truth->reports == 3) {
            truth->third_ms = this->now_ms;
        }
    }
    if (trial->kind == MP_TRIAL_CLEAR) {
        truth->told = 0;
        truth->trials = 0;
        void_grants(this, trial->fingerprint[0] - 1);
    }
    int code =
        MpMachine_Apply(&this->machine, ++this->index, &command, &result);
    *deaths = result.number;
    truth->trials += code == MP_OK && trial->kind <= MP_TRIAL_CRASH;
    return code;
}

static void
restore(struct world *this)
{
    GBytes *image = MpMachine_Save(&this->machine);
    gsize size;
    const void *bytes = g_bytes_get_data(image, &size);
    if (MpMachine_Load(&this->machine, bytes, size) != MP_OK) {
        Fuzz_Fail("a snapshot cannot be read");
    }
    g_bytes_unref(image);
}

static void
sync_instance(struct world *this, struct instance *instance)
{
    const struct MpQuarantine *quarantine = &this->machine.quarantine;
    if (!instance->is_connected) {
        return;
    }
    for (guint i = 0; i < instance->reports->len; i++) {
        const struct mp_trial *trial =
            &g_array_index(instance->reports, struct mp_trial, i);
        uint64_t deaths;
        apply(this, trial, &deaths);
        MpSuspects_SetCrashes(&instance->suspects,
                              (const uint8_t *)trial->fingerprint, deaths);
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
trial_of(const struct world *this, const struct run *run,
         enum mp_trial_kind kind)
{
    int64_t left_ms = MAX(run->until_ms - this->now_ms, 0);
    struct mp_trial trial = {.kind = kind,
                             .run = run->number,
                             .attempt = run->attempt,
                             .timeout_ms = (u_int)left_ms};
    print_of(run->print, trial.fingerprint);
    return trial;
}

static void
check_granted(const struct world *this, const struct run *run)
{
    for (int i = 0; i < RUNS_MOST; i++) {
        const struct run *other = &this->runs[i];
        if (other != run && other->is_active && other->is_granted &&
            other->print == run->print && other->until_ms > this->now_ms) {
            Fuzz_Fail("two runs on trial at once");
        }
    }
}

static bool
is_running(const struct world *this, uint32_t print)
{
    for (int i = 0; i < RUNS_MOST; i++) {
        if (this->runs[i].is_active && this->runs[i].print == print) {
            return true;
        }
    }
    return false;
}

static void
check_refusal(const struct world *this, const struct run *run, int code,
              bool is_quorum)
{
    const struct truth *truth = &this->truths[run->print];
    if (truth->ends == 0) {
        Fuzz_Fail("refused, and no target has ended under it");
    }
    if (code == MP_ERROR_POISON && truth->ends == 1 && !is_quorum) {
        Fuzz_Fail("stopped after one end");
    }
    if (code == MP_ERROR_POISON && is_quorum &&
        truth->told < MP_POISON_CRASHES && truth->trials < MP_TRIALS_MAX) {
        Fuzz_Fail("stopped after %u ends since it was answered", truth->told);
    }
    if (code == MP_ERROR_HELD_BACK && is_quorum &&
        !is_running(this, run->print) &&
        this->now_ms - truth->idle_ms > MP_TRIAL_MAX_MS) {
        Fuzz_Fail("held back, and nothing of it runs");
    }
}

/* Whether the run may go to a target now. */
static bool
may_go(struct world *this, struct run *run, enum mp_trial_kind kind)
{
    struct instance *instance = &this->instances[run->instance];
    struct mp_trial trial = trial_of(this, run, kind);
    const uint8_t *print = (const uint8_t *)trial.fingerprint;
    bool is_heard = instance->is_connected;
    bool is_late = FuzzInput_Below(this->input, 16) == 0;
    uint64_t deaths = 0;
    int code = MP_OK;
    trial.crashes_seen = MpSuspects_SeenCrashes(&instance->suspects, print);
    if (is_heard) {
        code = apply(this, &trial, &deaths);
    }
    else if (kind == MP_TRIAL_CRASH) {
        g_array_append_val(instance->reports, trial);
    }
    if (is_heard && !is_late) {
        MpSuspects_SetCrashes(&instance->suspects, print, deaths);
        run->is_granted = code == MP_OK && deaths > 0;
    }
    else if (is_heard) {
        run->is_granted = false;
        return false; /* its word came too late */
    }
    else {
        code = MpSuspects_DecideLocally(
            &instance->suspects, print, run->number,
            run->until_ms - this->now_ms, this->now_ms);
        run->is_granted = false;
    }
    if (code != MP_OK) {
        check_refusal(this, run, code, is_heard);
        return false;
    }
    if (run->is_granted) {
        check_granted(this, run);
    }
    return true;
}

static void
send_run(struct world *this, struct run *run)
{
    struct truth *truth = &this->truths[run->print];
    const struct instance *instance = &this->instances[run->instance];
    run->attempt++;
    bool is_in_touch = instance->is_connected &&
                       this->now_ms - instance->touch_ms > CONTACT_MS;
    if (run->print < CRASHING && truth->reports >= 3 && is_in_touch &&
        this->now_ms > truth->third_ms + CONTACT_MS &&
        ++truth->retries > RETRIES_MOST) {
        Fuzz_Fail("%u retries later than the third end", truth->retries);
    }
}

/* Gives back a trial that the quorum may have granted too late. */
static void
release(struct world *this, const struct run *run)
{
    struct mp_trial trial = trial_of(this, run, MP_TRIAL_RELEASE);
    uint64_t deaths;
    if (this->instances[run->instance].is_connected) {
        apply(this, &trial, &deaths);
    }
}

static void
arrive(struct world *this)
{
    uint32_t at = FuzzInput_Below(this->input, INSTANCES);
    uint32_t print = FuzzInput_Below(this->input, PRINTS);
    struct instance *instance = &this->instances[at];
    struct run *run = NULL;
    for (int i = 0; i < RUNS_MOST && !run; i++) {
        run = this->runs[i].is_active ? NULL : &this->runs[i];
    }
    if (!run || !instance->is_ready) {
        return;
    }
    *run = (struct run){.instance = at,
                        .print = print,
                        .number = ++this->next_run,
                        .until_ms = this->now_ms + LASTS_MS};
    struct mp_trial trial = trial_of(this, run, MP_TRIAL_REQUEST);
    enum MpSuspicion suspicion = MpSuspects_Lookup(
        &instance->suspects, (const uint8_t *)trial.fingerprint);
    if (suspicion == MP_SUSPICION_STOPPED) {
        check_refusal(this, run, MP_ERROR_POISON, false);
        return;
    }
    if (suspicion == MP_SUSPICION_TRIAL &&
        !may_go(this, run, MP_TRIAL_REQUEST)) {
        release(this, run);
        return;
    }
    run->is_active = true;
    send_run(this, run);
}

static void
end_run(struct world *this, struct run *run, enum mp_trial_kind kind)
{
    struct instance *instance = &this->instances[run->instance];
    struct mp_trial trial = trial_of(this, run, kind);
    const uint8_t *print = (const uint8_t *)trial.fingerprint;
    uint64_t deaths;
    run->is_active = false;
    this->truths[run->print].idle_ms = this->now_ms;
    if (kind == MP_TRIAL_CLEAR &&
        !MpSuspects_NoteAnswer(&instance->suspects, print)) {
        return;
    }
    MpSuspects_EndTrial(&instance->suspects, print, run->number);
    if (instance->is_connected) {
        apply(this, &trial, &deaths);
    }
    else if (kind == MP_TRIAL_CLEAR) {
        g_array_append_val(instance->reports, trial);
    }
}

static void
die(struct world *this, struct run *run)
{
    struct truth *truth = &this->truths[run->print];
    struct instance *instance = &this->instances[run->instance];
    struct mp_trial trial = trial_of(this, run, MP_TRIAL_CRASH);
    truth->ends++;
    bool is_suspect = MpSuspects_NoteCrash(&instance->suspects,
                                           (const uint8_t *)trial.fingerprint,
                                           run->number, this->now_ms);
    bool goes_on = FuzzInput_Below(this->input, 2);
    if (is_suspect && !may_go(this, run, MP_TRIAL_CRASH)) {
        goes_on = false;
    }
    if (goes_on) {
        send_run(this, run);
        return;
    }
    end_run(this, run, MP_TRIAL_RELEASE);
}

static void
finish(struct world *this)
{
    struct run *run = &this->runs[FuzzInput_Below(this->input, RUNS_MOST)];
    if (!run->is_active) {
        return;
    }
    uint32_t how = FuzzInput_Below(this->input, 16);
    if (how == 0 || run->until_ms <= this->now_ms) {
        end_run(this, run, MP_TRIAL_RELEASE);
    }
    else if (run->print < CRASHING || how == 1) {
        die(this, run);
    }
    else {
        end_run(this, run, MP_TRIAL_CLEAR);
    }
}

/* ---- instances ---- */

static void
restart(struct world *this, uint32_t at)
{
    struct instance *instance = &this->instances[at];
    for (int i = 0; i < RUNS_MOST; i++) {
        struct run *run = &this->runs[i];
        if (run->is_active && run->instance == at) {
            run->is_active = false;
            this->truths[run->print].idle_ms = this->now_ms;
        }
    }
    MpSuspects_Done(&instance->suspects);
    MpSuspects_Init(&instance->suspects);
    g_array_set_size(instance->reports, 0);
    instance->touch_ms = this->now_ms;
    instance->is_ready = false;
}

static void
advance(struct world *this)
{
    this->now_ms += 5 * (1 + FuzzInput_Byte(this->input));
    for (int i = 0; i < INSTANCES; i++) {
        if (this->now_ms - this->instances[i].synced_ms >= SYNC_MS) {
            sync_instance(this, &this->instances[i]);
        }
    }
    for (int i = 0; i < RUNS_MOST; i++) {
        struct run *run = &this->runs[i];
        if (run->is_active && run->until_ms <= this->now_ms) {
            end_run(this, run, MP_TRIAL_RELEASE);
        }
    }
}

static void
step(struct world *this)
{
    uint32_t kind = FuzzInput_Below(this->input, 64);
    uint32_t at = FuzzInput_Below(this->input, INSTANCES);
    struct instance *instance = &this->instances[at];
    if (kind < 24) {
        arrive(this);
    }
    else if (kind < 44) {
        finish(this);
    }
    else if (kind < 60) {
        advance(this);
    }
    else if (kind == 60) {
        instance->is_connected = !instance->is_connected;
        instance->touch_ms = this->now_ms;
    }
    else if (kind == 61) {
        restart(this, at);
    }
    else if (kind == 62) {
        restore(this);
    }
    else {
        sync_instance(this, instance);
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct FuzzInput input = {.data = data, .size = size};
    struct world world = {.input = &input, .now_ms = 1000000};
    MpMachine_Init(&world.machine);
    for (int i = 0; i < INSTANCES; i++) {
        world.instances[i] = (struct instance){
            .reports = g_array_new(false, false, sizeof(struct mp_trial)),
            .is_connected = true,
            .is_ready = true};
        MpSuspects_Init(&world.instances[i].suspects);
    }
    while (!FuzzInput_IsOver(&input)) {
        step(&world);
        Fuzz_Steps++;
    }
    for (int i = 0; i < INSTANCES; i++) {
        MpSuspects_Done(&world.instances[i].suspects);
        g_array_unref(world.instances[i].reports);
    }
    MpMachine_Done(&world.machine);
    return 0;
}
