#include "transport/ReplicaLimits.h"

#include "coordination/TargetLimit.h"
#include "transport/Log.h"

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

/* The hash of the limits is computed at most this often, ms, as each change
 * of it is sent to all instances. */
#define REFRESH_MS 300
/* A limit that has ended is still sent for this long, ms, so that all
 * instances learn of its end. */
#define ENDED_MS 30000
/* A limit is dropped when nobody has seen it for this long, ms. */
#define UNSEEN_MS 600000

void
MpReplicaLimits_Init(struct MpReplica *replica)
{
    replica->limits =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static void
note_report(struct MpReplica *replica, const struct mp_limit *report,
            int64_t now_ms)
{
    struct MpTargetLimit *limit =
        g_hash_table_lookup(replica->limits, report->incarnation);
    if (report->rate_mrps < MP_LIMIT_NONE ||
        report->rate_mrps > MP_LIMIT_MAX_MRPS) {
        return;
    }
    if (!limit) {
        if (g_hash_table_size(replica->limits) >= MP_TARGETS_MAX) {
            return;
        }
        limit = g_new(struct MpTargetLimit, 1);
        *limit = (struct MpTargetLimit)MP_TARGET_LIMIT_INIT;
        g_hash_table_insert(replica->limits, g_strdup(report->incarnation),
                            limit);
    }
    if (MpTargetLimit_Note(limit, report->rate_mrps,
                           now_ms - report->sent_age_ms,
                           now_ms - report->received_age_ms)) {
        MpLog_Event(LOG_INFO, "target-limit",
                    "target=%s limit_mrps=%" PRId64 " age_ms=%u from=router",
                    report->incarnation, (int64_t)report->rate_mrps,
                    report->sent_age_ms);
    }
}

static gboolean
is_outdated(void *key, void *value, void *now_ms)
{
    const struct MpTargetLimit *limit = value;
    int64_t age_ms = *(int64_t *)now_ms - limit->received_ms;
    (void)key;
    return age_ms >=
           (limit->rate_mrps == MP_LIMIT_NONE ? ENDED_MS : UNSEEN_MS);
}

static void
refresh_hash(struct MpReplica *replica, int64_t now_ms)
{
    GHashTableIter iter;
    void *key;
    void *value;
    g_hash_table_foreach_remove(replica->limits, is_outdated, &now_ms);
    replica->limits_ms = now_ms;
    replica->limits_hash = 1;
    g_hash_table_iter_init(&iter, replica->limits);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct MpTargetLimit *limit = value;
        uint64_t hash = XXH64(key, strlen(key), 1);
        /* The hashes are added, as the order of a hash table is arbitrary. */
        replica->limits_hash +=
            XXH64(&limit->rate_mrps, sizeof(limit->rate_mrps), hash);
    }
}

void
MpReplicaLimits_Fill(struct MpReplica *replica, const struct mp_sync *sync,
                     struct mp_sync_reply *reply)
{
    int64_t now_ms = MpLoop_Now();
    for (u_int i = 0; i < sync->limits.limits_len; i++) {
        note_report(replica, &sync->limits.limits_val[i], now_ms);
    }
    if (replica->limits_hash == 0 ||
        now_ms - replica->limits_ms >= REFRESH_MS) {
        refresh_hash(replica, now_ms);
    }
    reply->limits_hash = replica->limits_hash;
    if (sync->limits_hash == replica->limits_hash) {
        return;
    }
    GHashTableIter iter;
    void *key;
    void *value;
    struct mp_limit *list =
        g_new0(struct mp_limit, g_hash_table_size(replica->limits));
    reply->limits.limits_val = list;
    g_hash_table_iter_init(&iter, replica->limits);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct MpTargetLimit *limit = value;
        list[reply->limits.limits_len++] = (struct mp_limit){
            .incarnation = key,
            .rate_mrps = limit->rate_mrps,
            .sent_age_ms =
                (u_int)CLAMP(now_ms - limit->sent_ms, 0, UINT32_MAX),
            .received_age_ms =
                (u_int)CLAMP(now_ms - limit->received_ms, 0, UINT32_MAX)};
    }
}
