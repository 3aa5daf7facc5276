/* Tests of the roster: the listed targets of the pools, their health and load,
 * and the choice of a target for a request. */

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
init_roster(struct MpRoster *this, guint count)
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
pick(struct MpRoster *roster, const struct MpRequestMeta *meta,
     bool is_at_most_once, int64_t now_ms, struct MpPicked *picked)
{
    struct MpPoolQuery ask = {.pool = POOL,
                              .meta = meta,
                              .is_at_most_once = is_at_most_once,
                              .is_engine = true};
    return MpRoster_Pick(roster, &ask, now_ms, picked);
}

/* Entries with ever new names of pools must not grow memory. */
static void
test_names_of_pools_grow(void)
{
    struct MpRoster roster;
    GPtrArray *none = g_ptr_array_new();
    GPtrArray *list = g_ptr_array_new();
    init_roster(&roster, 2);
    for (int64_t i = 0; i < 1000; i++) {
        char *pool = g_strdup_printf("pool%" G_GINT64_FORMAT, i);
        struct MpListedTarget entry = {.incarnation = (char *)"t0",
                                       .pool = pool,
                                       .address = (char *)"10.0.0.0:80",
                                       .zone = (char *)"a",
                                       .slots = 8};
        g_ptr_array_set_size(list, 0);
        g_ptr_array_add(list, &entry);
        if (i % 2) {
            MpRoster_SetList(&roster, list, 2000 + i);
        }
        else {
            MpRoster_ApplyChanges(&roster, list, none, 2000 + i);
        }
        g_assert_cmpuint(g_hash_table_size(roster.pools), <=, 2);
        g_free(pool);
    }
    MpRoster_SetList(&roster, none, 4000);
    g_assert_cmpuint(g_hash_table_size(roster.pools), ==, 0);
    struct MpRequestMeta meta = {.prompt_tokens = 100};
    struct MpPicked picked;
    g_assert_cmpint(pick(&roster, &meta, false, 4000, &picked), ==,
                    MP_ERROR_NO_TARGET);
    g_ptr_array_unref(list);
    g_ptr_array_unref(none);
    MpRoster_Done(&roster);
}

/* The estimated load of a target that never reports its load must not grow
 * until the target counts as full. */
static void
test_no_load_reports(void)
{
    struct MpRoster roster;
    struct MpRequestMeta meta = {.prompt_tokens = 100};
    struct MpPicked picked;
    init_roster(&roster, 2);
    for (int i = 0; i < 100; i++) {
        g_assert_cmpint(pick(&roster, &meta, false, 1000 + i, &picked), ==,
                        MP_OK);
        MpPoolTarget_StartAttempt(picked.target, &meta, picked.prefill_tokens,
                                  1000 + i);
        MpPoolTarget_EndAttempt(&roster, picked.target, false,
                                picked.prefill_tokens, MP_OUTCOME_OK,
                                1000 + i);
    }
}

/* Requests that share a prompt part are sent to the same target by every
 * instance.  A burst that exceeds this target's slots spills over to others.
 */
static void
test_affinity_and_burst(void)
{
    struct MpRoster roster;
    struct MpRoster other_roster;
    struct MpPicked first;
    struct MpPicked second;
    struct MpRequestMeta meta = {
        .prompt_tokens = 9000,
        .parts = {{.id = 77, .tokens = 6000}, {.id = 5, .tokens = 3000}},
        .part_count = 2};
    init_roster(&roster, 6);
    init_roster(&other_roster, 6);
    g_assert_cmpint(pick(&roster, &meta, false, 1000, &first), ==, MP_OK);
    g_assert_cmpint(pick(&other_roster, &meta, false, 1000, &second), ==,
                    MP_OK);
    g_assert_cmpstr(first.target->incarnation, ==, second.target->incarnation);
    guint elsewhere = 0;
    for (int i = 0; i < 12; i++) {
        struct MpPicked next;
        g_assert_cmpint(pick(&roster, &meta, false, 1000, &next), ==, MP_OK);
        MpPoolTarget_StartAttempt(next.target, &meta, next.prefill_tokens,
                                  1000);
        elsewhere += next.target != first.target;
    }
    g_assert_cmpuint(elsewhere, >, 0);
    g_assert_cmpuint(elsewhere, <, 12);
}

static void
fail_target(struct MpRoster *roster, const struct MpRequestMeta *meta,
            int64_t now_ms, struct MpPicked *picked)
{
    g_assert_cmpint(pick(roster, meta, true, now_ms, picked), ==, MP_OK);
    MpPoolTarget_StartAttempt(picked->target, meta, 0, now_ms);
    MpPoolTarget_EndAttempt(roster, picked->target, false, 0,
                            MP_OUTCOME_FAILED, now_ms);
}

/* While other targets are healthy, a failed target is ejected for
 * MP_EJECTION_MS.  After that it is half-open: it gets one retryable request
 * at a time and no at-most-once requests. */
static void
test_failure(void)
{
    struct MpRoster roster;
    struct MpRequestMeta meta = {.prompt_tokens = 100};
    struct MpPicked failed;
    struct MpPicked picked;
    int64_t now_ms = 1000;
    init_roster(&roster, 2);
    fail_target(&roster, &meta, now_ms, &failed);
    for (int i = 0; i < 2 * 8; i++) {
        g_assert_cmpint(pick(&roster, &meta, i % 2, now_ms, &picked), ==,
                        MP_OK);
        g_assert_true(picked.target != failed.target);
    }
    now_ms += MP_EJECTION_MS;
    GPtrArray *avoided = g_ptr_array_new();
    g_ptr_array_add(avoided, picked.target);
    struct MpPoolQuery ask = {
        .pool = POOL, .meta = &meta, .is_engine = true, .avoid = avoided};
    g_assert_cmpint(MpRoster_Pick(&roster, &ask, now_ms, &picked), ==, MP_OK);
    g_assert_true(picked.target == failed.target);
    MpPoolTarget_StartAttempt(picked.target, &meta, 0, now_ms);
    struct MpPicked none;
    g_assert_cmpint(MpRoster_Pick(&roster, &ask, now_ms, &none), ==,
                    MP_ERROR_NO_TARGET);
    ask.is_at_most_once = true;
    g_assert_cmpint(MpRoster_Pick(&roster, &ask, now_ms, &none), ==,
                    MP_ERROR_NO_TARGET);
    for (int i = 0; i < 16; i++) {
        g_assert_cmpint(pick(&roster, &meta, true, now_ms, &none), ==, MP_OK);
        g_assert_true(none.target != failed.target);
    }
    MpPoolTarget_EndAttempt(&roster, picked.target, true, 0, MP_OUTCOME_OK,
                            now_ms);
    g_ptr_array_unref(avoided);
    MpRoster_Done(&roster);
}

/* While no target is healthy, one request at a time is sent to a half-open
 * target, at-most-once requests included. */
static void
test_all_ejected(void)
{
    struct MpRoster roster;
    struct MpRequestMeta meta = {.prompt_tokens = 100};
    struct MpPicked picked;
    struct MpPicked none;
    int64_t now_ms = 1000;
    init_roster(&roster, 1);
    fail_target(&roster, &meta, now_ms, &picked);
    g_assert_cmpint(pick(&roster, &meta, true, now_ms, &picked), ==, MP_OK);
    MpPoolTarget_StartAttempt(picked.target, &meta, 0, now_ms);
    g_assert_cmpint(pick(&roster, &meta, false, now_ms, &none), ==,
                    MP_ERROR_NO_TARGET);
    MpPoolTarget_EndAttempt(&roster, picked.target, true, 0, MP_OUTCOME_OK,
                            now_ms);
    g_assert_cmpuint(picked.target->failures, ==, 0);
    MpRoster_Done(&roster);
}

/* A pool that gets only at-most-once requests never sends one to a failed
 * target while others are healthy.  A successful probe connection returns
 * the target to service. */
static void
test_probe(void)
{
    struct MpRoster roster;
    struct MpRequestMeta meta = {.prompt_tokens = 100};
    struct MpPicked failed;
    GPtrArray *candidates = g_ptr_array_new();
    int64_t now_ms = 1000;
    init_roster(&roster, 3);
    fail_target(&roster, &meta, now_ms, &failed);
    now_ms += MP_EJECTION_MS + MP_PROBE_DELAY_MS - 1;
    MpRoster_ListProbeCandidates(&roster, now_ms, candidates);
    g_assert_cmpuint(candidates->len, ==, 0);
    MpRoster_ListProbeCandidates(&roster, ++now_ms, candidates);
    MpRoster_ListProbeCandidates(&roster, ++now_ms, candidates);
    g_assert_cmpuint(candidates->len, ==, 1);
    MpPoolTarget_HandleProbe(&roster, failed.target, false, now_ms);
    now_ms += MP_EJECTION_MAX_MS + MP_PROBE_DELAY_MS;
    MpRoster_ListProbeCandidates(&roster, now_ms, candidates);
    g_assert_cmpuint(candidates->len, ==, 2);
    MpPoolTarget_HandleProbe(&roster, failed.target, true, now_ms);
    guint pick_count = 0;
    for (int i = 0; i < 64; i++) {
        struct MpPicked picked;
        g_assert_cmpint(pick(&roster, &meta, true, now_ms, &picked), ==,
                        MP_OK);
        pick_count += picked.target == failed.target;
    }
    g_assert_cmpuint(pick_count, >, 0);
    g_ptr_array_unref(candidates);
    MpRoster_Done(&roster);
}

/* A target that is removed from the list gets no new requests.  It is kept
 * until the requests that run there have ended. */
static void
test_leaving(void)
{
    struct MpRoster roster;
    struct MpRequestMeta meta = {.prompt_tokens = 100};
    struct MpPicked picked;
    GPtrArray *empty_list = g_ptr_array_new();
    init_roster(&roster, 1);
    g_assert_cmpint(pick(&roster, &meta, false, 1000, &picked), ==, MP_OK);
    MpPoolTarget_StartAttempt(picked.target, &meta, 0, 1000);
    MpRoster_SetList(&roster, empty_list, 1100);
    struct MpPicked none;
    g_assert_cmpint(pick(&roster, &meta, false, 1100, &none), ==,
                    MP_ERROR_NO_TARGET);
    g_assert_cmpstr(picked.target->incarnation, ==, "t0");
    MpPoolTarget_EndAttempt(&roster, picked.target, false, 0, MP_OUTCOME_OK,
                            1200);
    g_ptr_array_unref(empty_list);
}

/* A partial update leaves targets that it does not name unchanged. */
static void
test_changes(void)
{
    struct MpRoster roster;
    struct MpListedTarget removed_target = {.incarnation = (char *)"t0"};
    struct MpListedTarget leaving_target = {.incarnation = (char *)"t1",
                                            .pool = (char *)POOL,
                                            .address = (char *)"10.0.0.1:80",
                                            .zone = (char *)"a",
                                            .slots = 8,
                                            .is_leaving = true};
    GPtrArray *changed = g_ptr_array_new();
    GPtrArray *removed = g_ptr_array_new();
    g_ptr_array_add(changed, &leaving_target);
    g_ptr_array_add(removed, &removed_target);
    init_roster(&roster, 3);
    g_assert_cmpuint(MpRoster_ApplyChanges(&roster, changed, removed, 2000),
                     ==, 2);
    g_assert_cmpuint(MpRoster_ApplyChanges(&roster, changed, removed, 2100),
                     ==, 0);
    g_assert_cmpuint(g_hash_table_size(roster.targets), ==, 2);
    for (int i = 0; i < 50; i++) {
        struct MpRequestMeta meta = {.prompt_tokens = 100};
        struct MpPicked picked;
        g_assert_cmpint(pick(&roster, &meta, false, 2200, &picked), ==, MP_OK);
        g_assert_cmpstr(picked.target->incarnation, ==, "t2");
    }
    g_ptr_array_unref(changed);
    g_ptr_array_unref(removed);
}

/* Hash 0 stands for a list that the instance read itself, which may happen
 * while its query to the leader is in flight. */
static void
test_classify_update(void)
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

/* The baseline policies use neither prompt caches nor reported loads. */
static void
test_baselines(void)
{
    struct MpRoster roster;
    struct MpRequestMeta meta = {.prompt_tokens = 4000,
                                 .parts = {{.id = 7, .tokens = 4000}},
                                 .part_count = 1};
    struct MpPicked picked;
    GHashTable *seen = g_hash_table_new(g_direct_hash, g_direct_equal);
    init_roster(&roster, 4);
    roster.policy = MP_PICK_LEAST_OUTSTANDING;
    for (int i = 0; i < 4; i++) {
        g_assert_cmpint(pick(&roster, &meta, false, 1000, &picked), ==, MP_OK);
        MpPoolTarget_StartAttempt(picked.target, &meta, 4000, 1000);
        g_hash_table_add(seen, picked.target);
    }
    g_assert_cmpuint(g_hash_table_size(seen), ==, 4);
    g_hash_table_remove_all(seen);
    roster.policy = MP_PICK_RANDOM;
    for (int i = 0; i < 200; i++) {
        g_assert_cmpint(pick(&roster, &meta, false, 1000, &picked), ==, MP_OK);
        g_hash_table_add(seen, picked.target);
    }
    g_assert_cmpuint(g_hash_table_size(seen), ==, 4);
    g_hash_table_unref(seen);
}

static struct MpPoolTarget *
name_limit(struct MpRoster *roster, const char *incarnation, int64_t now_ms)
{
    struct MpPoolTarget *target = MpRoster_Find(roster, incarnation);
    MpTargetLimit_Note(&target->limit, 2000, now_ms, now_ms);
    return target;
}

/* A target that names a limit gets no request without a permit, not even as
 * the last one left. */
static void
test_limit_needs_permit(void)
{
    struct MpRoster roster;
    struct MpRequestMeta meta = {.prompt_tokens = 100};
    struct MpPoolQuery query = {
        .pool = POOL, .meta = &meta, .is_engine = true};
    struct MpPicked picked;
    struct MpPoolStatus status;
    init_roster(&roster, 1);
    struct MpPoolTarget *target = name_limit(&roster, "t0", 1000);
    g_assert_cmpint(MpRoster_Pick(&roster, &query, 1000, &picked), ==, MP_OK);
    g_assert_true(picked.needs_permit);
    target->permit_ms = 1300;
    g_assert_cmpint(MpRoster_Pick(&roster, &query, 1100, &picked), ==,
                    MP_ERROR_LIMIT);
    MpRoster_GetPoolStatus(&roster, &query, 1100, &status);
    g_assert_cmpuint(status.limited, ==, 1);
    g_assert_cmpint(status.permit_ms, ==, 1300);
    target->failures = 1;
    target->ejected_until_ms = 5000;
    g_assert_cmpint(MpRoster_Pick(&roster, &query, 1100, &picked), ==,
                    MP_ERROR_NO_TARGET);
    target->failures = 0;
    target->ejected_until_ms = 0;
    query.permitted = "t0";
    g_assert_cmpint(MpRoster_Pick(&roster, &query, 1100, &picked), ==, MP_OK);
    g_assert_false(picked.needs_permit);
    query.permitted = NULL;
    query.has_no_permits = true;
    g_assert_cmpint(MpRoster_Pick(&roster, &query, 2000, &picked), ==,
                    MP_ERROR_LIMIT);
    MpTargetLimit_Note(&target->limit, MP_LIMIT_NONE, 1500, 1600);
    g_assert_cmpint(MpRoster_Pick(&roster, &query, 2000, &picked), ==, MP_OK);
    g_assert_false(picked.needs_permit);
    MpRoster_Done(&roster);
}

/* Most targets of a pool name limits, and what they do not take would pile up
 * at the rest until every answer is late.  It is refused by rank instead;
 * without limits the same queue is no reason to refuse. */
static void
test_limits_do_not_pile_up_work(void)
{
    struct MpRoster roster;
    struct MpRequestMeta meta = {.prompt_tokens = 3000};
    struct MpPicked picked;
    init_roster(&roster, 2);
    struct MpPoolTarget *limited = name_limit(&roster, "t1", 1000);
    uint32_t taken[3] = {0, 0, 0};
    struct MpPoolTarget *sent[12];
    uint32_t count = 0;
    limited->permit_ms = 9000;
    for (uint32_t i = 0; i < 12; i++) {
        /* Lower ranks come first, and still get less. */
        uint32_t rank = 2 - i / 4;
        struct MpPoolQuery query = {.pool = POOL,
                                    .meta = &meta,
                                    .is_engine = true,
                                    .queue_max_ms =
                                        MpRoster_QueueMax(600, rank)};
        if (MpRoster_Pick(&roster, &query, 1000, &picked) == MP_OK) {
            taken[rank]++;
            sent[count++] = picked.target;
            MpPoolTarget_StartAttempt(picked.target, &meta,
                                      picked.prefill_tokens, 1000);
        }
        else {
            g_assert_cmpint(picked.queue_ms, >, query.queue_max_ms);
        }
    }
    g_assert_cmpuint(taken[2], ==, 1);
    g_assert_cmpuint(taken[1], >, 0);
    g_assert_cmpuint(taken[0], >, 0);
    g_assert_cmpuint(taken[0] + taken[1] + taken[2], <, 8);
    MpTargetLimit_Note(&limited->limit, MP_LIMIT_NONE, 1100, 1200);
    struct MpPoolQuery query = {
        .pool = POOL, .meta = &meta, .is_engine = true, .queue_max_ms = 1};
    g_assert_cmpint(MpRoster_Pick(&roster, &query, 1300, &picked), ==, MP_OK);
    for (uint32_t i = 0; i < count; i++) {
        MpPoolTarget_EndAttempt(&roster, sent[i], false, 0,
                                MP_OUTCOME_CANCELLED, 1300);
    }
    MpRoster_Done(&roster);
}

/* Hundreds of instances each know little of the queue at a target, but all see
 * that answers come late.  While limits hold work back, lower ranks are
 * refused first; without limits late answers are no reason to refuse. */
static void
test_late_answers_refuse_low_ranks(void)
{
    struct MpRoster roster;
    struct MpRequestMeta meta = {.prompt_tokens = 100};
    struct MpPicked picked;
    init_roster(&roster, 2);
    struct MpPoolTarget *limited = name_limit(&roster, "t1", 1000);
    const struct MpPoolTarget *free = MpRoster_Find(&roster, "t0");
    limited->permit_ms = 9000;
    for (int i = 0; i < 50; i++) {
        MpRoster_NoteDelay(&roster, free, 0.5, 1000);
    }
    for (int64_t rank = 0; rank < 4; rank++) {
        struct MpPoolQuery query = {.pool = POOL,
                                    .meta = &meta,
                                    .is_engine = true,
                                    .rank = rank,
                                    .queue_max_ms =
                                        MpRoster_QueueMax(600, rank)};
        g_assert_cmpint(MpRoster_Pick(&roster, &query, 1000, &picked), ==,
                        rank < 2 ? MP_OK : MP_ERROR_LIMIT);
        g_assert_cmpint(MpRoster_Pick(&roster, &query, 4000, &picked), ==,
                        MP_OK);
    }
    MpTargetLimit_Note(&limited->limit, MP_LIMIT_NONE, 1100, 1200);
    struct MpPoolQuery query = {.pool = POOL,
                                .meta = &meta,
                                .is_engine = true,
                                .rank = 2,
                                .queue_max_ms = 1};
    g_assert_cmpint(MpRoster_Pick(&roster, &query, 1000, &picked), ==, MP_OK);
    MpRoster_Done(&roster);
}

static int
pick_stream(struct MpRoster *roster, const struct MpVersionView *view,
            const char *version, int64_t now_ms)
{
    struct MpRequestMeta meta = {.prompt_tokens = 100};
    struct MpPoolQuery query = {.pool = POOL,
                                .meta = &meta,
                                .is_engine = true,
                                .version = version,
                                .view = view,
                                .heard_ms = now_ms,
                                .boot_ms = now_ms};
    struct MpPicked picked;
    return MpRoster_Pick(roster, &query, now_ms, &picked);
}

/* Streams begin only at versions that the leader has announced.  If it cannot
 * read the list any more and all targets of known versions are gone, streams
 * begin at the others after a while, as nothing would be served else. */
static void
test_unannounced_version(void)
{
    struct MpRoster roster;
    struct MpVersionView view;
    struct mp_version_name name = {.name = (char *)""};
    struct mp_pool_versions versions = {
        .pool = (char *)POOL,
        .list = {.list_val = &name, .list_len = 1},
        .age_ms = -1};
    struct mp_pool_base base = {
        .has_base = true, .base = (char *)"", .age_ms = -1};
    struct MpListedTarget newer = {.incarnation = (char *)"n",
                                   .pool = (char *)POOL,
                                   .address = (char *)"10.0.0.9:80",
                                   .zone = (char *)"a",
                                   .version = (char *)"v2",
                                   .slots = 8};
    GPtrArray *list = g_ptr_array_new();
    init_roster(&roster, 1);
    MpVersionView_Init(&view);
    MpVersionView_Apply(&view, &versions, &base, 1, 1000);
    g_assert_cmpint(pick_stream(&roster, &view, NULL, 1000), ==, MP_OK);
    g_assert_cmpint(pick_stream(&roster, &view, "v2", 1000), ==,
                    MP_ERROR_NO_TARGET);
    g_ptr_array_add(list, &newer);
    MpRoster_SetList(&roster, list, 2000);
    g_assert_cmpint(pick_stream(&roster, &view, NULL, 2000), ==,
                    MP_ERROR_NO_TARGET);
    g_assert_cmpint(pick_stream(&roster, &view, "v2", 2000), ==, MP_OK);
    g_assert_cmpint(pick_stream(&roster, &view, NULL, 5900), ==,
                    MP_ERROR_NO_TARGET);
    g_assert_cmpint(pick_stream(&roster, &view, NULL, 6000), ==, MP_OK);
    g_ptr_array_unref(list);
    MpVersionView_Done(&view);
    MpRoster_Done(&roster);
}

/* Sets the list of the only target t0. */
static void
list_one(struct MpRoster *roster, bool is_leaving, int64_t started_ms,
         int64_t now_ms)
{
    struct MpListedTarget entry = {.incarnation = (char *)"t0",
                                   .pool = (char *)POOL,
                                   .address = (char *)"10.0.0.0:80",
                                   .zone = (char *)"a",
                                   .slots = 8,
                                   .is_leaving = is_leaving,
                                   .started_ms = started_ms};
    GPtrArray *list = g_ptr_array_new();
    g_ptr_array_add(list, &entry);
    MpRoster_SetList(roster, list, now_ms);
    g_ptr_array_unref(list);
}

static int
pick_one(struct MpRoster *roster, int64_t now_ms)
{
    struct MpRequestMeta meta = {.prompt_tokens = 10};
    struct MpPicked picked;
    return pick(roster, &meta, false, now_ms, &picked);
}

/* Neither as the last resort nor after any list that shows no other start. */
static void
test_said_leaving(void)
{
    struct MpRoster roster;
    struct MpPoolTarget *target;
    init_roster(&roster, 1);
    list_one(&roster, false, 500, 1000);
    target = MpRoster_Find(&roster, "t0");
    g_assert_cmpint(pick_one(&roster, 1000), ==, MP_OK);
    MpTargetLeaving_NoteAnswer(&target->leaving);
    target->is_leaving = true;
    g_assert_cmpint(pick_one(&roster, 1001), ==, MP_ERROR_NO_TARGET);
    list_one(&roster, false, 500, 1100);
    g_assert_cmpint(pick_one(&roster, 1100), ==, MP_ERROR_NO_TARGET);
    list_one(&roster, false, 1050, 1200);
    g_assert_cmpint(pick_one(&roster, 1200), ==, MP_OK);
    MpRoster_Done(&roster);
}

static void
test_paused(void)
{
    struct MpRoster roster;
    struct MpPoolTarget *target;
    struct MpPoolStatus status;
    GPtrArray *probes = g_ptr_array_new();
    const struct MpPoolQuery query = {.pool = POOL};
    init_roster(&roster, 2);
    target = MpRoster_Find(&roster, "t0");
    MpTargetPause_Note(&target->pause, 5000, 900, 1000, 0);
    MpRoster_GetPoolStatus(&roster, &query, 1000, &status);
    g_assert_cmpint(status.pause_ms, ==, 0);
    target->failures = 1; /* it may not be probed either */
    target = MpRoster_Find(&roster, "t1");
    MpTargetPause_Note(&target->pause, 3000, 900, 1000, 0);
    MpRoster_GetPoolStatus(&roster, &query, 1000, &status);
    g_assert_cmpint(status.pause_ms, ==, 4000);
    g_assert_cmpint(status.resting, ==, 2);
    g_assert_cmpint(pick_one(&roster, 3999), ==, MP_ERROR_NO_TARGET);
    MpRoster_ListProbeCandidates(&roster, 3999, probes);
    g_assert_cmpuint(probes->len, ==, 0);
    g_assert_cmpint(pick_one(&roster, 4000), ==, MP_OK);
    /* A target that leaves does not keep callers from hearing of a pause. */
    target->is_leaving = true;
    MpRoster_GetPoolStatus(&roster, &query, 4000, &status);
    g_assert_cmpint(status.pause_ms, ==, 6000);
    /* A new start ends a pause. */
    list_one(&roster, true, 0, 4100);
    list_one(&roster, false, 0, 4200);
    g_assert_cmpint(pick_one(&roster, 4200), ==, MP_OK);
    g_ptr_array_unref(probes);
    MpRoster_Done(&roster);
}

/* A target that has just started falls over as it has not said yet that it is
 * brittle, while all others of its pool have. */
static void
test_brittle_pool(void)
{
    struct MpRoster roster;
    struct MpRequestMeta meta = {0};
    struct MpPicked picked;
    struct MpPoolQuery query = {
        .pool = POOL, .meta = &meta, .instances = 16, .instance_rank = 0};
    init_roster(&roster, 3);
    for (int i = 0; i < 2; i++) {
        char name[8];
        g_snprintf(name, sizeof(name), "t%d", i);
        struct MpPoolTarget *target = MpRoster_Find(&roster, name);
        MpTargetRoom_Note(&target->room, 2, 5000);
    }
    /* Shares of 8 slots for 16 instances: half of these have none. */
    int sent = 0;
    for (uint32_t rank = 0; rank < 16; rank++) {
        query.instance_rank = rank;
        query.wall_ms = 1000000 + MP_ROOM_TURN_USED_MS;
        int running = 0;
        while (MpRoster_Pick(&roster, &query, 5100, &picked) == MP_OK) {
            MpPoolTarget_StartAttempt(picked.target, &meta, 0, 5100);
            running += strcmp(picked.target->incarnation, "t2") == 0;
        }
        sent += running;
        g_assert_cmpint(running, <=, 1);
        for (int i = 0; i < 3; i++) {
            char name[8];
            g_snprintf(name, sizeof(name), "t%d", i);
            MpRoster_Find(&roster, name)->running = 0;
        }
    }
    g_assert_cmpint(sent, ==, 8);
    /* Its own word counts as soon as there is one. */
    MpTargetRoom_Note(&MpRoster_Find(&roster, "t2")->room, 0, 5050);
    int free_slots = 0;
    while (MpRoster_Pick(&roster, &query, 5100, &picked) == MP_OK &&
           free_slots < 8) {
        MpPoolTarget_StartAttempt(picked.target, &meta, 0, 5100);
        free_slots += strcmp(picked.target->incarnation, "t2") == 0;
    }
    g_assert_cmpint(free_slots, ==, 8);
}

/* No target in a drained zone may be picked: not as the last resort, not with
 * a permit and not by its version; and none may be probed.  When the zone is
 * restored, its targets are picked again. */
static void
test_drained_zone(void)
{
    struct MpRoster roster;
    struct MpDrainedZones zones;
    struct MpPicked picked;
    const struct MpRequestMeta meta = {.prompt_tokens = 0};
    struct mp_zone state[] = {{.name = (char *)"a", .restored_age_ms = -1},
                              {.name = (char *)"b", .restored_age_ms = -1}};
    GPtrArray *list = g_ptr_array_new();
    GPtrArray *probes = g_ptr_array_new();
    struct MpListedTarget entries[] = {{.incarnation = (char *)"a0",
                                        .pool = (char *)POOL,
                                        .address = (char *)"10.0.0.1:80",
                                        .zone = (char *)"a",
                                        .version = (char *)"v1",
                                        .slots = 8},
                                       {.incarnation = (char *)"b0",
                                        .pool = (char *)POOL,
                                        .address = (char *)"10.0.0.2:80",
                                        .zone = (char *)"b",
                                        .version = (char *)"v2",
                                        .slots = 8}};
    g_ptr_array_add(list, &entries[0]);
    g_ptr_array_add(list, &entries[1]);
    MpRoster_Init(&roster, "a", ignore_dropped, NULL);
    MpDrainedZones_Init(&zones);
    g_assert_cmpint(MpRoster_ZoneRestoredMs(&roster, "a"), ==, -1);
    MpRoster_SetList(&roster, list, 1000);
    state[0].is_drained = true;
    MpDrainedZones_Apply(&zones, 1, state, 2, 1000, NULL);
    g_assert_cmpuint(MpRoster_SetDrainedZones(&roster, &zones), ==, 1);
    g_assert_false(MpRoster_HasVersion(&roster, POOL, "v1"));
    g_assert_true(MpRoster_HasVersion(&roster, POOL, "v2"));
    for (int i = 0; i < 50; i++) {
        g_assert_cmpint(pick(&roster, &meta, false, 1000 + i, &picked), ==,
                        MP_OK);
        g_assert_cmpstr(picked.target->incarnation, ==, "b0");
    }
    struct MpPoolQuery permitted = {
        .pool = POOL, .meta = &meta, .permitted = "a0"};
    g_assert_cmpint(MpRoster_Pick(&roster, &permitted, 1100, &picked), ==,
                    MP_OK);
    g_assert_cmpstr(picked.target->incarnation, ==, "b0");

    /* With both zones drained nothing is picked, whether the targets are
     * healthy, ejected or new in the list. */
    state[1].is_drained = true;
    MpDrainedZones_Apply(&zones, 2, state, 2, 1100, NULL);
    MpRoster_SetDrainedZones(&roster, &zones);
    g_assert_cmpint(pick(&roster, &meta, false, 1200, &picked), ==,
                    MP_ERROR_NO_TARGET);
    g_assert_cmpint(MpRoster_Pick(&roster, &permitted, 1200, &picked), ==,
                    MP_ERROR_NO_TARGET);
    struct MpPoolTarget *target = MpRoster_Find(&roster, "a0");
    MpPoolTarget_StartAttempt(target, &meta, 0, 1200);
    MpPoolTarget_EndAttempt(&roster, target, false, 0, MP_OUTCOME_FAILED,
                            1210);
    g_assert_cmpint(pick(&roster, &meta, false, 1220, &picked), ==,
                    MP_ERROR_NO_TARGET);
    MpRoster_ListProbeCandidates(&roster, 9000, probes);
    g_assert_cmpuint(probes->len, ==, 0);
    entries[0].incarnation = (char *)"a1";
    MpRoster_SetList(&roster, list, 9000);
    g_assert_cmpint(pick(&roster, &meta, false, 9001, &picked), ==,
                    MP_ERROR_NO_TARGET);
    struct MpPoolStatus status;
    MpRoster_GetPoolStatus(&roster, &permitted, 9002, &status);
    g_assert_cmpuint(status.listed, ==, 2);
    g_assert_cmpuint(status.drained, ==, 2);

    state[0].is_drained = false;
    state[0].restored_age_ms = 20;
    MpDrainedZones_Apply(&zones, 3, state, 2, 9100, NULL);
    g_assert_cmpuint(MpRoster_SetDrainedZones(&roster, &zones), ==, 1);
    g_assert_cmpint(pick(&roster, &meta, false, 9101, &picked), ==, MP_OK);
    g_assert_cmpstr(picked.target->incarnation, ==, "a1");
    g_assert_cmpint(MpRoster_ZoneRestoredMs(&roster, "a"), ==, 9080);
    g_assert_cmpint(MpRoster_ZoneRestoredMs(&roster, "b"), ==, -1);
    g_assert_cmpint(MpRoster_ZoneRestoredMs(&roster, "c"), ==, -1);

    /* The list corrects the zone of a target. */
    entries[1].zone = (char *)"a";
    MpRoster_SetList(&roster, list, 9200);
    g_assert_false(MpRoster_Find(&roster, "b0")->is_drained);
    entries[1].zone = (char *)"b";
    MpRoster_SetList(&roster, list, 9300);
    g_assert_true(MpRoster_Find(&roster, "b0")->is_drained);
    MpRoster_Done(&roster);
    MpDrainedZones_Done(&zones);
    g_ptr_array_unref(list);
    g_ptr_array_unref(probes);
}

/* A pause of all targets that may be used tells when to come back; targets in
 * drained zones do not count. */
static void
test_drained_and_paused(void)
{
    struct MpRoster roster;
    struct MpDrainedZones zones;
    struct MpPoolStatus status;
    const struct MpRequestMeta meta = {.prompt_tokens = 0};
    const struct MpPoolQuery ask = {.pool = POOL, .meta = &meta};
    const struct mp_zone drained = {
        .name = (char *)"b", .is_drained = true, .restored_age_ms = -1};
    init_roster(&roster, 2);
    MpDrainedZones_Init(&zones);
    MpDrainedZones_Apply(&zones, 1, &drained, 1, 1000, NULL);
    MpRoster_Find(&roster, "t0")->pause.until_ms = 3000;
    g_free(MpRoster_Find(&roster, "t1")->zone);
    MpRoster_Find(&roster, "t1")->zone = g_strdup("b");
    MpRoster_SetDrainedZones(&roster, &zones);
    MpRoster_GetPoolStatus(&roster, &ask, 2000, &status);
    g_assert_cmpint(status.pause_ms, ==, 3000);
    MpRoster_Done(&roster);
    MpDrainedZones_Done(&zones);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/roster/a target without load reports does not fill up",
                    test_no_load_reports);
    g_test_add_func("/roster/shared parts go together until a burst",
                    test_affinity_and_burst);
    g_test_add_func("/roster/a failed target is ejected", test_failure);
    g_test_add_func("/roster/an ejected pool gets one request at a time",
                    test_all_ejected);
    g_test_add_func("/roster/a failed target is probed", test_probe);
    g_test_add_func("/roster/a leaving target gets nothing new", test_leaving);
    g_test_add_func("/roster/changes", test_changes);
    g_test_add_func("/roster/classify update", test_classify_update);
    g_test_add_func("/roster/baselines", test_baselines);
    g_test_add_func("/roster/a target with a limit needs a permit",
                    test_limit_needs_permit);
    g_test_add_func("/roster/limits do not pile up work at other targets",
                    test_limits_do_not_pile_up_work);
    g_test_add_func("/roster/late answers behind limits refuse low ranks",
                    test_late_answers_refuse_low_ranks);
    g_test_add_func("/roster/a version that was not announced",
                    test_unannounced_version);
    g_test_add_func("/roster/names of pools grow", test_names_of_pools_grow);
    g_test_add_func("/roster/the list takes back no word of a target",
                    test_said_leaving);
    g_test_add_func("/roster/a new target of a brittle pool",
                    test_brittle_pool);
    g_test_add_func("/roster/a paused target gets nothing", test_paused);
    g_test_add_func("/roster/a drained zone gets nothing", test_drained_zone);
    g_test_add_func("/roster/pauses beside a drained zone",
                    test_drained_and_paused);
    return g_test_run();
}
