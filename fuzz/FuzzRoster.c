#include "Input.h"

#include "coordination/Roster.h"
#include "state/Error.h"

#include <glib.h>

/*
 * FuzzRoster - the targets of one pool with any history of failures, and then
 * in good health, asked only by requests that must not run twice.
 *
 * Oracle: one attempt at a time tries a target that is in doubt; once targets
 * are healthy, each request gets one at once, and each target takes requests
 * again within the longest pause and MP_PROBE_DELAY_MS.
 */

#define TARGETS 5
#define POOL "p"
#define TICK_MS 100
#define ATTEMPTS_MOST 12

struct world {
    struct FuzzInput *input;
    struct MpRoster roster;
    GPtrArray *attempts; /* of struct MpPoolTarget */
    GPtrArray *looks;    /* of struct MpPoolTarget */
    int64_t now_ms;
    int64_t ticked_ms;
};

static void
ignore_dropped(void *owner, struct MpPoolTarget *target)
{
    (void)owner;
    (void)target;
}

static void
list_targets(struct world *this, uint32_t leaving)
{
    GPtrArray *list = g_ptr_array_new();
    struct MpListedTarget entries[TARGETS];
    static char *names[] = {"t0", "t1", "t2", "t3", "t4"};
    for (uint32_t i = 0; i < TARGETS; i++) {
        entries[i] = (struct MpListedTarget){.incarnation = names[i],
                                             .pool = (char *)POOL,
                                             .address = names[i],
                                             .zone = (char *)"a",
                                             .slots = 4,
                                             .is_leaving = i == leaving};
        g_ptr_array_add(list, &entries[i]);
    }
    MpRoster_SetList(&this->roster, list, this->now_ms);
    g_ptr_array_unref(list);
}

static int
pick(struct world *this, bool is_once, struct MpPicked *picked)
{
    struct MpRequestMeta facts = {.prompt_tokens = 10};
    struct MpPoolQuery ask = {.pool = POOL,
                              .meta = &facts,
                              .is_at_most_once = is_once,
                              .is_engine = true};
    int code = MpRoster_Pick(&this->roster, &ask, this->now_ms, picked);
    if (code == MP_OK && picked->target->failures > 0 &&
        picked->target->is_half_open) {
        Fuzz_Fail("a second trial of a target");
    }
    if (code == MP_OK) {
        MpPoolTarget_StartAttempt(picked->target, &facts,
                                  picked->prefill_tokens, this->now_ms);
    }
    return code;
}

static void
end(struct world *this, struct MpPoolTarget *target,
    enum MpTargetOutcome outcome)
{
    MpPoolTarget_EndAttempt(&this->roster, target, false, 10, outcome,
                            this->now_ms);
}

static void
advance(struct world *this, int64_t ms)
{
    this->now_ms += ms;
    if (this->now_ms - this->ticked_ms >= TICK_MS) {
        this->ticked_ms = this->now_ms;
        MpRoster_ListProbeCandidates(&this->roster, this->now_ms, this->looks);
    }
}

static void
step(struct world *this)
{
    static const enum MpTargetOutcome outcomes[] = {
        MP_OUTCOME_OK,     MP_OUTCOME_REFUSED, MP_OUTCOME_ERROR,
        MP_OUTCOME_FAILED, MP_OUTCOME_FAILED,  MP_OUTCOME_CANCELLED};
    struct MpPicked picked;
    uint32_t kind = FuzzInput_Below(this->input, 10);
    if (kind < 4 && this->attempts->len < ATTEMPTS_MOST) {
        if (pick(this, kind < 2, &picked) == MP_OK) {
            g_ptr_array_add(this->attempts, picked.target);
        }
    }
    else if (kind < 8 && this->attempts->len > 0) {
        guint at = FuzzInput_Below(this->input, this->attempts->len);
        end(this, g_ptr_array_steal_index_fast(this->attempts, at),
            outcomes[FuzzInput_Below(this->input, G_N_ELEMENTS(outcomes))]);
    }
    else if (kind == 8 && this->looks->len > 0) {
        MpPoolTarget_HandleProbe(
            &this->roster, g_ptr_array_steal_index_fast(this->looks, 0),
            FuzzInput_Below(this->input, 2), this->now_ms);
    }
    else if (FuzzInput_Below(this->input, 16) == 0) {
        list_targets(this, FuzzInput_Below(this->input, TARGETS + 3));
    }
    else {
        advance(this, 10 * (1 + FuzzInput_Byte(this->input)));
    }
}

static void
look_well(struct world *this)
{
    while (this->looks->len > 0) {
        MpPoolTarget_HandleProbe(&this->roster,
                                 g_ptr_array_steal_index_fast(this->looks, 0),
                                 true, this->now_ms);
    }
}

/* All targets are well from now on. */
static void
check_health(struct world *this)
{
    int64_t bound_ms =
        this->now_ms + MP_EJECTION_MAX_MS + MP_PROBE_DELAY_MS + 2 * TICK_MS;
    struct MpPicked picked;
    list_targets(this, TARGETS);
    while (this->attempts->len > 0) {
        end(this, g_ptr_array_steal_index_fast(this->attempts, 0),
            MP_OUTCOME_CANCELLED);
    }
    while (this->now_ms < bound_ms) {
        look_well(this);
        if (pick(this, true, &picked) != MP_OK) {
            Fuzz_Fail("healthy targets, and none for a request");
        }
        end(this, picked.target, MP_OUTCOME_OK);
        advance(this, 50);
    }
    look_well(this);
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, this->roster.targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct MpPoolTarget *target = value;
        if (target->failures > 0 && !target->is_listening) {
            Fuzz_Fail("%s is healthy and gets no work", target->incarnation);
        }
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct FuzzInput input = {.data = data, .size = size};
    struct world world = {.input = &input, .now_ms = 1000};
    g_random_set_seed(1); /* the choice among equals draws from it */
    MpRoster_Init(&world.roster, "a", ignore_dropped, NULL);
    world.attempts = g_ptr_array_new();
    world.looks = g_ptr_array_new();
    list_targets(&world, TARGETS);
    while (!FuzzInput_IsOver(&input)) {
        step(&world);
        Fuzz_Steps++;
    }
    check_health(&world);
    g_ptr_array_unref(world.attempts);
    g_ptr_array_unref(world.looks);
    MpRoster_Done(&world.roster);
    return 0;
}
