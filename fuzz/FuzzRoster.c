#include "Input.h"

#include "coordination/Roster.h"
#include "state/Error.h"

#include <glib.h>
#include <string.h>

/*
 * FuzzRoster - fuzzes the choice among a pool's targets: first targets fail,
 * say that they leave, ask for pauses and start again under their names in any
 * order, and zones are drained and restored; then all are healthy and get
 * at-most-once requests only.
 *
 * Oracle: a half-open target gets one attempt at a time; a target gets nothing
 * within a pause that it asked for, nothing after its answer that it leaves,
 * until it has started again, and nothing, not even a probe, while its zone is
 * drained; once all targets are healthy, each
 * request gets one at once, and each target accepts requests again within
 * MP_EJECTION_MAX_MS + MP_PROBE_DELAY_MS.
 */

#define TARGETS 5
#define ZONES 2
#define POOL "p"
#define TICK_MS 100
#define ATTEMPTS_MAX 12
#define PAUSE_MAX_MS 3000
#define REFUSALS_MAX 64

/* A refusal that asked for a pause. */
struct refusal {
    int64_t sent_ms;
    int64_t received_ms;
    int64_t end_ms;
};

/* What a target has said since its start, and what the list says. */
struct words {
    bool is_leaving;
    bool is_listed_leaving;
    int64_t started_ms;
    struct refusal refusals[REFUSALS_MAX];
    uint32_t refusal_count;
};

struct attempt {
    struct MpPoolTarget *target;
    int64_t sent_ms;
};

struct fixture {
    struct FuzzInput *input;
    struct MpRoster roster;
    struct MpDrainedZones zones;
    bool is_drained[ZONES];
    GArray *attempts;  /* of struct attempt */
    GPtrArray *probes; /* of struct MpPoolTarget */
    int64_t now_ms;
    int64_t ticked_ms;
    struct words words[TARGETS];
};

static void
ignore_dropped(void *owner, struct MpPoolTarget *target)
{
    (void)owner;
    (void)target;
}

static struct words *
words_of(struct fixture *this, const struct MpPoolTarget *target)
{
    return &this->words[target->incarnation[1] - '0'];
}

/* Begins another life of a target under its name. */
static void
begin_life(struct words *words)
{
    words->is_leaving = false;
    words->refusal_count = 0;
}

static char *const zone_names[ZONES] = {"a", "b"};

static uint32_t
zone_of(uint32_t target)
{
    return target % ZONES;
}

static void
set_zones(struct fixture *this)
{
    struct mp_zone list[ZONES];
    for (uint32_t i = 0; i < ZONES; i++) {
        list[i] = (struct mp_zone){.name = zone_names[i],
                                   .is_drained = this->is_drained[i],
                                   .restored_age_ms = -1};
    }
    MpDrainedZones_Apply(&this->zones, this->zones.version + 1, list, ZONES,
                         this->now_ms, NULL);
    MpRoster_SetDrainedZones(&this->roster, &this->zones);
}

/* Sets the pool's target list; target number leaving, if any, is leaving, and
 * number gone, if any, is not in it. */
static void
set_targets(struct fixture *this, uint32_t leaving, uint32_t gone)
{
    GPtrArray *list = g_ptr_array_new();
    struct MpListedTarget entries[TARGETS];
    static char *names[] = {"t0", "t1", "t2", "t3", "t4"};
    for (uint32_t i = 0; i < TARGETS; i++) {
        struct words *words = &this->words[i];
        if (i == gone || (words->is_listed_leaving && i != leaving)) {
            begin_life(words);
        }
        words->is_listed_leaving = i == leaving && i != gone;
        entries[i] = (struct MpListedTarget){.incarnation = names[i],
                                             .pool = (char *)POOL,
                                             .address = names[i],
                                             .zone = zone_names[zone_of(i)],
                                             .slots = 4,
                                             .is_leaving = i == leaving,
                                             .started_ms = words->started_ms};
        if (i != gone) {
            g_ptr_array_add(list, &entries[i]);
        }
    }
    MpRoster_SetList(&this->roster, list, this->now_ms);
    g_ptr_array_unref(list);
}

/* Whether a pause that the target asked for lasts: no request that was sent
 * after its answer was read has been refused since. */
static bool
is_paused(const struct words *words, int64_t now_ms)
{
    for (uint32_t i = 0; i < words->refusal_count; i++) {
        const struct refusal *refusal = &words->refusals[i];
        bool is_replaced = false;
        for (uint32_t j = i + 1; j < words->refusal_count; j++) {
            is_replaced |= words->refusals[j].sent_ms > refusal->received_ms;
        }
        if (!is_replaced && now_ms < refusal->end_ms) {
            return true;
        }
    }
    return false;
}

static void
check_words(struct fixture *this, const struct MpPoolTarget *target)
{
    const struct words *words = words_of(this, target);
    if (words->is_leaving || words->is_listed_leaving) {
        Fuzz_Fail("%s leaves and gets a request", target->incarnation);
    }
    if (this->is_drained[zone_of((uint32_t)(target->incarnation[1] - '0'))]) {
        Fuzz_Fail("the zone of %s is drained and it gets a request",
                  target->incarnation);
    }
    if (is_paused(words, this->now_ms)) {
        Fuzz_Fail("%s is paused and gets a request", target->incarnation);
    }
}

static int
pick(struct fixture *this, bool is_at_most_once, struct MpPicked *picked)
{
    struct MpRequestMeta meta = {.prompt_tokens = 10};
    struct MpPoolQuery query = {.pool = POOL,
                                .meta = &meta,
                                .is_at_most_once = is_at_most_once,
                                .is_engine = true};
    int code = MpRoster_Pick(&this->roster, &query, this->now_ms, picked);
    if (code == MP_OK && picked->target->failures > 0 &&
        picked->target->is_under_test) {
        Fuzz_Fail("second attempt at a half-open target");
    }
    if (code == MP_OK) {
        check_words(this, picked->target);
        MpPoolTarget_StartAttempt(picked->target, &meta,
                                  picked->prefill_tokens, this->now_ms);
    }
    return code;
}

static void
end_attempt(struct fixture *this, struct MpPoolTarget *target,
            enum MpTargetOutcome outcome)
{
    MpPoolTarget_EndAttempt(&this->roster, target, false, 10, outcome,
                            this->now_ms);
}

static void
check_probe(struct fixture *this, const struct MpPoolTarget *target)
{
    if (this->is_drained[zone_of((uint32_t)(target->incarnation[1] - '0'))]) {
        Fuzz_Fail("the zone of %s is drained and it is probed",
                  target->incarnation);
    }
}

static void
advance(struct fixture *this, int64_t ms)
{
    this->now_ms += ms;
    if (this->now_ms - this->ticked_ms >= TICK_MS) {
        this->ticked_ms = this->now_ms;
        guint known = this->probes->len;
        MpRoster_ListProbeCandidates(&this->roster, this->now_ms,
                                     this->probes);
        for (guint i = known; i < this->probes->len; i++) {
            check_probe(this, g_ptr_array_index(this->probes, i));
        }
    }
}

static struct attempt
take_attempt(struct fixture *this, guint index)
{
    struct attempt attempt =
        g_array_index(this->attempts, struct attempt, index);
    g_array_remove_index_fast(this->attempts, index);
    return attempt;
}

/* Ends an attempt with an answer by which its target leaves or asks for a
 * pause. */
static void
hear_words(struct fixture *this)
{
    struct attempt attempt =
        take_attempt(this, FuzzInput_Below(this->input, this->attempts->len));
    struct MpPoolTarget *target = attempt.target;
    struct words *words = words_of(this, target);
    bool is_current = !target->is_removed;
    if (FuzzInput_Below(this->input, 12) == 0) {
        MpTargetLeaving_NoteAnswer(&target->leaving);
        target->is_leaving = true;
        words->is_leaving |= is_current;
        end_attempt(this, target, MP_OUTCOME_OK);
        return;
    }
    int64_t pause_ms = FuzzInput_Byte(this->input) * PAUSE_MAX_MS / UINT8_MAX;
    MpTargetPause_Note(&target->pause, pause_ms, attempt.sent_ms, this->now_ms,
                       FuzzInput_Below(this->input, 3) / 2.0);
    if (is_current && words->refusal_count < REFUSALS_MAX) {
        words->refusals[words->refusal_count++] =
            (struct refusal){.sent_ms = attempt.sent_ms,
                             .received_ms = this->now_ms,
                             .end_ms = this->now_ms + pause_ms};
    }
    end_attempt(this, target, MP_OUTCOME_REFUSED);
}

/* Changes the list: a target leaves, is gone, or has started again. */
static void
change_list(struct fixture *this)
{
    uint32_t restarted = FuzzInput_Below(this->input, TARGETS + 3);
    /* The list tells two starts within a millisecond from one no more than a
     * real one could. */
    if (restarted < TARGETS &&
        this->words[restarted].started_ms != this->now_ms) {
        this->words[restarted].started_ms = this->now_ms;
        begin_life(&this->words[restarted]);
    }
    set_targets(this, FuzzInput_Below(this->input, TARGETS + 3),
                FuzzInput_Below(this->input, 6 * TARGETS));
    if (FuzzInput_Below(this->input, 4) == 0) {
        uint32_t zone = FuzzInput_Below(this->input, ZONES);
        this->is_drained[zone] = !this->is_drained[zone];
        set_zones(this);
    }
}

static void
step(struct fixture *this)
{
    static const enum MpTargetOutcome outcomes[] = {
        MP_OUTCOME_OK,     MP_OUTCOME_REFUSED, MP_OUTCOME_ERROR,
        MP_OUTCOME_FAILED, MP_OUTCOME_FAILED,  MP_OUTCOME_CANCELLED};
    struct MpPicked picked;
    uint32_t kind = FuzzInput_Below(this->input, 11);
    if (kind < 4 && this->attempts->len < ATTEMPTS_MAX) {
        if (pick(this, kind < 2, &picked) == MP_OK) {
            struct attempt attempt = {.target = picked.target,
                                      .sent_ms = this->now_ms};
            g_array_append_val(this->attempts, attempt);
        }
    }
    else if (kind < 8 && this->attempts->len > 0) {
        guint index = FuzzInput_Below(this->input, this->attempts->len);
        struct attempt attempt = take_attempt(this, index);
        MpTargetPause_NoteAnswer(&attempt.target->pause, attempt.sent_ms);
        end_attempt(
            this, attempt.target,
            outcomes[FuzzInput_Below(this->input, G_N_ELEMENTS(outcomes))]);
    }
    else if (kind == 8 && this->probes->len > 0) {
        MpPoolTarget_HandleProbe(
            &this->roster, g_ptr_array_steal_index_fast(this->probes, 0),
            FuzzInput_Below(this->input, 2), this->now_ms);
    }
    else if (kind == 9 && this->attempts->len > 0 &&
             FuzzInput_Below(this->input, 4) == 0) {
        hear_words(this);
    }
    else if (FuzzInput_Below(this->input, 16) == 0) {
        change_list(this);
    }
    else {
        advance(this, 10 * (1 + FuzzInput_Byte(this->input)));
    }
}

static void
finish_probes(struct fixture *this)
{
    while (this->probes->len > 0) {
        MpPoolTarget_HandleProbe(&this->roster,
                                 g_ptr_array_steal_index_fast(this->probes, 0),
                                 true, this->now_ms);
    }
}

/* Whether a target has asked for a pause so late that it may not get
 * everything at once. */
static bool
is_any_paused(const struct fixture *this)
{
    for (uint32_t i = 0; i < TARGETS; i++) {
        const struct words *words = &this->words[i];
        for (uint32_t j = 0; j < words->refusal_count; j++) {
            if (this->now_ms < words->refusals[j].end_ms +
                                   MP_PAUSE_SPREAD_MAX_MS + MP_PAUSE_RAMP_MS) {
                return true;
            }
        }
    }
    return false;
}

/* Checks that all targets get requests again once all are healthy. */
static void
check_recovery(struct fixture *this)
{
    struct MpPicked picked;
    /* Pauses end in their time, or with the lives of their targets. */
    bool are_all_restarted = this->attempts->len % 2 == 0;
    for (uint32_t i = 0; i < TARGETS; i++) {
        if (this->words[i].is_leaving || are_all_restarted) {
            this->words[i].started_ms = this->now_ms + 1;
            begin_life(&this->words[i]);
        }
    }
    set_targets(this, TARGETS, TARGETS);
    memset(this->is_drained, 0, sizeof(this->is_drained));
    set_zones(this);
    while (this->attempts->len > 0) {
        end_attempt(this, take_attempt(this, 0).target, MP_OUTCOME_CANCELLED);
    }
    if (is_any_paused(this)) {
        advance(this,
                PAUSE_MAX_MS + MP_PAUSE_SPREAD_MAX_MS + MP_PAUSE_RAMP_MS + 1);
    }
    int64_t bound_ms =
        this->now_ms + MP_EJECTION_MAX_MS + MP_PROBE_DELAY_MS + 2 * TICK_MS;
    while (this->now_ms < bound_ms) {
        finish_probes(this);
        if (pick(this, true, &picked) != MP_OK) {
            Fuzz_Fail("all targets are healthy, none is picked for a request");
        }
        end_attempt(this, picked.target, MP_OUTCOME_OK);
        advance(this, 50);
    }
    finish_probes(this);
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, this->roster.targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct MpPoolTarget *target = value;
        if ((target->failures > 0 && !target->is_listening) ||
            target->is_leaving ||
            !MpTargetPause_MaySend(&target->pause, this->now_ms)) {
            Fuzz_Fail("%s is healthy but accepts no requests",
                      target->incarnation);
        }
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct FuzzInput input = {.data = data, .size = size};
    struct fixture fixture = {.input = &input, .now_ms = 1000};
    g_random_set_seed(1); /* MpRoster_Pick breaks ties with it */
    MpRoster_Init(&fixture.roster, "a", ignore_dropped, NULL);
    MpDrainedZones_Init(&fixture.zones);
    fixture.attempts = g_array_new(false, false, sizeof(struct attempt));
    fixture.probes = g_ptr_array_new();
    for (uint32_t i = 0; i < TARGETS; i++) {
        fixture.words[i].started_ms = 1;
    }
    set_targets(&fixture, TARGETS, TARGETS);
    while (!FuzzInput_IsAtEnd(&input)) {
        step(&fixture);
        Fuzz_Steps++;
    }
    check_recovery(&fixture);
    g_array_unref(fixture.attempts);
    g_ptr_array_unref(fixture.probes);
    MpRoster_Done(&fixture.roster);
    MpDrainedZones_Done(&fixture.zones);
    return 0;
}
