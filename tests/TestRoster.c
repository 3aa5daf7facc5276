#include "coordination/Roster.h"
#include "state/Error.h"

#include <glib.h>
#include <string.h>

#define POOL "p"

static void
ignore_dropped(void *owner, struct MpPoolTarget *target)
{
    (void)owner;
    (void)target;
}

/* A roster of count targets t0, t1, ... with eight slots each. */
static void
roster_start(struct MpRoster *this, guint count)
{
    GPtrArray *list = g_ptr_array_new();
    struct MpListedTarget entries[8];
    char names[8][16];
    char addresses[8][32];
    MpRoster_Init(this, "a", ignore_dropped, NULL);
    for (guint i = 0; i < count; i++) {
        g_snprintf(names[i], sizeof(names[i]), "t%u", i);
        g_snprintf(addresses[i], sizeof(addresses[i]), "10.0.0.%u:80", i);
        entries[i] = (struct MpListedTarget){.incarnation = names[i],
                                             .pool = (char *)POOL,
                                             .address = addresses[i],
                                             .zone = (char *)"a",
                                             .slots = 8};
        g_ptr_array_add(list, &entries[i]);
    }
    MpRoster_SetList(this, list, 1000);
    g_ptr_array_unref(list);
}

static int
pick(struct MpRoster *roster, const struct MpRequestMeta *facts, bool is_once,
     int64_t now_ms, struct MpPicked *picked)
{
    struct MpPoolQuery ask = {.pool = POOL,
                              .meta = facts,
                              .is_at_most_once = is_once,
                              .is_engine = true};
    return MpRoster_Pick(roster, &ask, now_ms, picked);
}

/* A target that never tells its load must not look full after a while. */
static void
test_untold_load(void)
{
    struct MpRoster roster;
    struct MpRequestMeta facts = {.prompt_tokens = 100};
    struct MpPicked picked;
    roster_start(&roster, 2);
    for (int i = 0; i < 100; i++) {
        g_assert_cmpint(pick(&roster, &facts, false, 1000 + i, &picked), ==,
                        MP_OK);
        MpPoolTarget_StartAttempt(picked.target, &facts, picked.prefill_tokens,
                                  1000 + i);
        MpPoolTarget_EndAttempt(&roster, picked.target, false,
                                picked.prefill_tokens, MP_OUTCOME_OK,
                                1000 + i);
    }
}

/* Requests that share a part go together, on every instance alike; a burst
 * that the home target cannot take goes elsewhere. */
static void
test_affinity_and_burst(void)
{
    struct MpRoster one;
    struct MpRoster other;
    struct MpPicked first;
    struct MpPicked second;
    struct MpRequestMeta facts = {
        .prompt_tokens = 9000,
        .parts = {{.id = 77, .tokens = 6000}, {.id = 5, .tokens = 3000}},
        .part_count = 2};
    roster_start(&one, 6);
    roster_start(&other, 6);
    g_assert_cmpint(pick(&one, &facts, false, 1000, &first), ==, MP_OK);
    g_assert_cmpint(pick(&other, &facts, false, 1000, &second), ==, MP_OK);
    g_assert_cmpstr(first.target->incarnation, ==, second.target->incarnation);
    guint elsewhere = 0;
    for (int i = 0; i < 12; i++) {
        struct MpPicked next;
        g_assert_cmpint(pick(&one, &facts, false, 1000, &next), ==, MP_OK);
        MpPoolTarget_StartAttempt(next.target, &facts, next.prefill_tokens,
                                  1000);
        elsewhere += next.target != first.target;
    }
    g_assert_cmpuint(elsewhere, >, 0);
    g_assert_cmpuint(elsewhere, <, 12);
}

static void
fail_one(struct MpRoster *roster, const struct MpRequestMeta *facts,
         int64_t now_ms, struct MpPicked *picked)
{
    g_assert_cmpint(pick(roster, facts, true, now_ms, picked), ==, MP_OK);
    MpPoolTarget_StartAttempt(picked->target, facts, 0, now_ms);
    MpPoolTarget_EndAttempt(roster, picked->target, false, 0,
                            MP_OUTCOME_FAILED, now_ms);
}

/* Beside a healthy target, one that failed rests, then gets one attempt that
 * may run again, and none that must not run twice. */
static void
test_failure(void)
{
    struct MpRoster roster;
    struct MpRequestMeta facts = {.prompt_tokens = 100};
    struct MpPicked failed;
    struct MpPicked picked;
    int64_t now_ms = 1000;
    roster_start(&roster, 2);
    fail_one(&roster, &facts, now_ms, &failed);
    for (int i = 0; i < 2 * 8; i++) {
        g_assert_cmpint(pick(&roster, &facts, i % 2, now_ms, &picked), ==,
                        MP_OK);
        g_assert_true(picked.target != failed.target);
    }
    now_ms += MP_EJECTION_MS;
    GPtrArray *other = g_ptr_array_new();
    g_ptr_array_add(other, picked.target);
    struct MpPoolQuery ask = {
        .pool = POOL, .meta = &facts, .is_engine = true, .avoid = other};
    g_assert_cmpint(MpRoster_Pick(&roster, &ask, now_ms, &picked), ==, MP_OK);
    g_assert_true(picked.target == failed.target);
    MpPoolTarget_StartAttempt(picked.target, &facts, 0, now_ms);
    struct MpPicked none;
    g_assert_cmpint(MpRoster_Pick(&roster, &ask, now_ms, &none), ==,
                    MP_ERROR_NO_TARGET);
    ask.is_at_most_once = true;
    g_assert_cmpint(MpRoster_Pick(&roster, &ask, now_ms, &none), ==,
                    MP_ERROR_NO_TARGET);
    for (int i = 0; i < 16; i++) {
        g_assert_cmpint(pick(&roster, &facts, true, now_ms, &none), ==, MP_OK);
        g_assert_true(none.target != failed.target);
    }
    MpPoolTarget_EndAttempt(&roster, picked.target, true, 0, MP_OUTCOME_OK,
                            now_ms);
    g_ptr_array_unref(other);
    MpRoster_Done(&roster);
}

/* While all targets are in doubt, one request at a time tries one, whatever
 * its kind. */
static void
test_all_in_doubt(void)
{
    struct MpRoster roster;
    struct MpRequestMeta facts = {.prompt_tokens = 100};
    struct MpPicked picked;
    struct MpPicked none;
    int64_t now_ms = 1000;
    roster_start(&roster, 1);
    fail_one(&roster, &facts, now_ms, &picked);
    g_assert_cmpint(pick(&roster, &facts, true, now_ms, &picked), ==, MP_OK);
    MpPoolTarget_StartAttempt(picked.target, &facts, 0, now_ms);
    g_assert_cmpint(pick(&roster, &facts, false, now_ms, &none), ==,
                    MP_ERROR_NO_TARGET);
    MpPoolTarget_EndAttempt(&roster, picked.target, true, 0, MP_OUTCOME_OK,
                            now_ms);
    g_assert_cmpuint(picked.target->failures, ==, 0);
    MpRoster_Done(&roster);
}

/* A target that failed, among healthy ones that only requests that must not
 * run twice are sent to: a connection shows that it is back. */
static void
test_looked_at(void)
{
    struct MpRoster roster;
    struct MpRequestMeta facts = {.prompt_tokens = 100};
    struct MpPicked failed;
    GPtrArray *doubtful = g_ptr_array_new();
    int64_t now_ms = 1000;
    roster_start(&roster, 3);
    fail_one(&roster, &facts, now_ms, &failed);
    now_ms += MP_EJECTION_MS + MP_PROBE_DELAY_MS - 1;
    MpRoster_ListProbeCandidates(&roster, now_ms, doubtful);
    g_assert_cmpuint(doubtful->len, ==, 0);
    MpRoster_ListProbeCandidates(&roster, ++now_ms, doubtful);
    MpRoster_ListProbeCandidates(&roster, ++now_ms, doubtful);
    g_assert_cmpuint(doubtful->len, ==, 1);
    MpPoolTarget_HandleProbe(&roster, failed.target, false, now_ms);
    now_ms += MP_EJECTION_MAX_MS + MP_PROBE_DELAY_MS;
    MpRoster_ListProbeCandidates(&roster, now_ms, doubtful);
    g_assert_cmpuint(doubtful->len, ==, 2);
    MpPoolTarget_HandleProbe(&roster, failed.target, true, now_ms);
    guint tries = 0;
    for (int i = 0; i < 64; i++) {
        struct MpPicked picked;
        g_assert_cmpint(pick(&roster, &facts, true, now_ms, &picked), ==,
                        MP_OK);
        tries += picked.target == failed.target;
    }
    g_assert_cmpuint(tries, >, 0);
    g_ptr_array_unref(doubtful);
    MpRoster_Done(&roster);
}

/* The list's word on a target that leaves or is gone holds at once; what
 * runs there keeps it. */
static void
test_leaving(void)
{
    struct MpRoster roster;
    struct MpRequestMeta facts = {.prompt_tokens = 100};
    struct MpPicked picked;
    GPtrArray *nothing = g_ptr_array_new();
    roster_start(&roster, 1);
    g_assert_cmpint(pick(&roster, &facts, false, 1000, &picked), ==, MP_OK);
    MpPoolTarget_StartAttempt(picked.target, &facts, 0, 1000);
    MpRoster_SetList(&roster, nothing, 1100);
    struct MpPicked none;
    g_assert_cmpint(pick(&roster, &facts, false, 1100, &none), ==,
                    MP_ERROR_NO_TARGET);
    g_assert_cmpstr(picked.target->incarnation, ==, "t0");
    MpPoolTarget_EndAttempt(&roster, picked.target, false, 0, MP_OUTCOME_OK,
                            1200);
    g_ptr_array_unref(nothing);
}

/* Changes alone: what is not named stays as it is. */
static void
test_changes(void)
{
    struct MpRoster roster;
    struct MpListedTarget gone = {.incarnation = (char *)"t0"};
    struct MpListedTarget leaving = {.incarnation = (char *)"t1",
                                     .pool = (char *)POOL,
                                     .address = (char *)"10.0.0.1:80",
                                     .zone = (char *)"a",
                                     .slots = 8,
                                     .is_leaving = true};
    GPtrArray *changed = g_ptr_array_new();
    GPtrArray *missing = g_ptr_array_new();
    g_ptr_array_add(changed, &leaving);
    g_ptr_array_add(missing, &gone);
    roster_start(&roster, 3);
    g_assert_cmpuint(MpRoster_ApplyChanges(&roster, changed, missing, 2000),
                     ==, 2);
    g_assert_cmpuint(MpRoster_ApplyChanges(&roster, changed, missing, 2100),
                     ==, 0);
    g_assert_cmpuint(g_hash_table_size(roster.targets), ==, 2);
    for (int i = 0; i < 50; i++) {
        struct MpRequestMeta facts = {.prompt_tokens = 100};
        struct MpPicked picked;
        g_assert_cmpint(pick(&roster, &facts, false, 2200, &picked), ==,
                        MP_OK);
        g_assert_cmpstr(picked.target->incarnation, ==, "t2");
    }
    g_ptr_array_unref(changed);
    g_ptr_array_unref(missing);
}

/* The instance has read the list itself (0) while the leader was asked. */
static void
test_news(void)
{
    g_assert_cmpint(MpRoster_ClassifyUpdate(7, 7, 7, false), ==,
                    MP_UPDATE_NONE);
    g_assert_cmpint(MpRoster_ClassifyUpdate(7, 7, 8, true), ==,
                    MP_UPDATE_PARTIAL);
    g_assert_cmpint(MpRoster_ClassifyUpdate(7, 7, 8, false), ==,
                    MP_UPDATE_FULL);
    g_assert_cmpint(MpRoster_ClassifyUpdate(0, 0, 8, false), ==,
                    MP_UPDATE_FULL);
    g_assert_cmpint(MpRoster_ClassifyUpdate(0, 7, 8, false), ==,
                    MP_UPDATE_FULL);
    g_assert_cmpint(MpRoster_ClassifyUpdate(0, 7, 7, false), ==,
                    MP_UPDATE_STALE);
    g_assert_cmpint(MpRoster_ClassifyUpdate(0, 7, 8, true), ==,
                    MP_UPDATE_STALE);
}

/* The baselines know neither caches nor what targets tell. */
static void
test_baselines(void)
{
    struct MpRoster roster;
    struct MpRequestMeta facts = {.prompt_tokens = 4000,
                                  .parts = {{.id = 7, .tokens = 4000}},
                                  .part_count = 1};
    struct MpPicked picked;
    GHashTable *seen = g_hash_table_new(g_direct_hash, g_direct_equal);
    roster_start(&roster, 4);
    roster.policy = MP_PICK_LEAST_OUTSTANDING;
    for (int i = 0; i < 4; i++) {
        g_assert_cmpint(pick(&roster, &facts, false, 1000, &picked), ==,
                        MP_OK);
        MpPoolTarget_StartAttempt(picked.target, &facts, 4000, 1000);
        g_hash_table_add(seen, picked.target);
    }
    g_assert_cmpuint(g_hash_table_size(seen), ==, 4);
    g_hash_table_remove_all(seen);
    roster.policy = MP_PICK_RANDOM;
    for (int i = 0; i < 200; i++) {
        g_assert_cmpint(pick(&roster, &facts, false, 1000, &picked), ==,
                        MP_OK);
        g_hash_table_add(seen, picked.target);
    }
    g_assert_cmpuint(g_hash_table_size(seen), ==, 4);
    g_hash_table_unref(seen);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/roster/a target that tells no load does not fill up",
                    test_untold_load);
    g_test_add_func("/roster/parts go together until a burst",
                    test_affinity_and_burst);
    g_test_add_func("/roster/a failed target rests", test_failure);
    g_test_add_func("/roster/one request at a time tries a pool in doubt",
                    test_all_in_doubt);
    g_test_add_func("/roster/a target in doubt is looked at", test_looked_at);
    g_test_add_func("/roster/a leaving target gets nothing new", test_leaving);
    g_test_add_func("/roster/changes", test_changes);
    g_test_add_func("/roster/news", test_news);
    g_test_add_func("/roster/baselines", test_baselines);
    return g_test_run();
}
