#include "Input.h"

#include "coordination/Roster.h"
#include "state/Error.h"

#include <glib.h>

/*
 * FuzzRoster - fuzzes the choice among a pool's targets: first targets fail in
 * any order, then all are healthy and get at-most-once requests only.
 *
 * Oracle: a half-open target gets one attempt at a time; once all targets are
 * healthy, each request gets one at once, and each target accepts requests
 * again within MP_EJECTION_MAX_MS + MP_PROBE_DELAY_MS.
 */

#define TARGETS 5
#define POOL "p"
#define TICK_MS 100
#define ATTEMPTS_MAX 12

struct fixture {
    struct FuzzInput *input;
    struct MpRoster roster;
    GPtrArray *attempts; /* of struct MpPoolTarget */
    GPtrArray *probes;   /* of struct MpPoolTarget */
    int64_t now_ms;
    int64_t ticked_ms;
};

static void
ignore_dropped(void *owner, struct MpPoolTarget *target)
{
    (void)owner;
    (void)target;
}

/* Sets the pool's target list; target number leaving, if any, is leaving. */
static void
set_targets(struct fixture *this, uint32_t leaving)
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
pick(struct fixture *this, bool is_at_most_once, struct MpPicked *picked)
{
    struct MpRequestMeta facts = {.prompt_tokens = 10};
    struct MpPoolQuery ask = {.pool = POOL,
                              .meta = &facts,
                              .is_at_most_once = is_at_most_once,
                              .is_engine = true};
    int code = MpRoster_Pick(&this->roster, &ask, this->now_ms, picked);
    if (code == MP_OK && picked->target->failures > 0 &&
        picked->target->is_under_test) {
        Fuzz_Fail("second attempt at a half-open target");
    }
    if (code == MP_OK) {
        MpPoolTarget_StartAttempt(picked->target, &facts,
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
advance(struct fixture *this, int64_t ms)
{
    this->now_ms += ms;
    if (this->now_ms - this->ticked_ms >= TICK_MS) {
        this->ticked_ms = this->now_ms;
        MpRoster_ListProbeCandidates(&this->roster, this->now_ms,
                                     this->probes);
    }
}

static void
step(struct fixture *this)
{
    static const enum MpTargetOutcome outcomes[] = {
        MP_OUTCOME_OK,     MP_OUTCOME_REFUSED, MP_OUTCOME_ERROR,
        MP_OUTCOME_FAILED, MP_OUTCOME_FAILED,  MP_OUTCOME_CANCELLED};
    struct MpPicked picked;
    uint32_t kind = FuzzInput_Below(this->input, 10);
    if (kind < 4 && this->attempts->len < ATTEMPTS_MAX) {
        if (pick(this, kind < 2, &picked) == MP_OK) {
            g_ptr_array_add(this->attempts, picked.target);
        }
    }
    else if (kind < 8 && this->attempts->len > 0) {
        guint index = FuzzInput_Below(this->input, this->attempts->len);
        end_attempt(
            this, g_ptr_array_steal_index_fast(this->attempts, index),
            outcomes[FuzzInput_Below(this->input, G_N_ELEMENTS(outcomes))]);
    }
    else if (kind == 8 && this->probes->len > 0) {
        MpPoolTarget_HandleProbe(
            &this->roster, g_ptr_array_steal_index_fast(this->probes, 0),
            FuzzInput_Below(this->input, 2), this->now_ms);
    }
    else if (FuzzInput_Below(this->input, 16) == 0) {
        set_targets(this, FuzzInput_Below(this->input, TARGETS + 3));
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

/* Checks that all targets get requests again once all are healthy. */
static void
check_recovery(struct fixture *this)
{
    int64_t bound_ms =
        this->now_ms + MP_EJECTION_MAX_MS + MP_PROBE_DELAY_MS + 2 * TICK_MS;
    struct MpPicked picked;
    set_targets(this, TARGETS);
    while (this->attempts->len > 0) {
        end_attempt(this, g_ptr_array_steal_index_fast(this->attempts, 0),
                    MP_OUTCOME_CANCELLED);
    }
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
        if (target->failures > 0 && !target->is_listening) {
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
    fixture.attempts = g_ptr_array_new();
    fixture.probes = g_ptr_array_new();
    set_targets(&fixture, TARGETS);
    while (!FuzzInput_IsAtEnd(&input)) {
        step(&fixture);
        Fuzz_Steps++;
    }
    check_recovery(&fixture);
    g_ptr_array_unref(fixture.attempts);
    g_ptr_array_unref(fixture.probes);
    MpRoster_Done(&fixture.roster);
    return 0;
}
