#include "transport/ReplicaVersions.h"

#include "coordination/Roster.h"
#include "state/Error.h"
#include "transport/Log.h"
#include "transport/ReplicaCalls.h"

#include <string.h>
#include <xxhash.h>

static gint
compare_names(gconstpointer a, gconstpointer b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Returns pool -> sorted GPtrArray of versions; the strings belong to the
 * targets. */
static GHashTable *
collect(const GPtrArray *targets)
{
    GHashTable *pools = g_hash_table_new_full(
        g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_ptr_array_unref);
    for (guint i = 0; i < targets->len; i++) {
        const struct MpListedTarget *target = g_ptr_array_index(targets, i);
        const char *version = target->version ? target->version : "";
        if (strlen(target->pool) > MP_NAME_MAX ||
            strlen(version) > MP_NAME_MAX) {
            continue;
        }
        GPtrArray *names = g_hash_table_lookup(pools, target->pool);
        if (!names) {
            names = g_ptr_array_new();
            g_hash_table_insert(pools, target->pool, names);
        }
        if (names->len < MP_POOL_VERSIONS_MAX &&
            !g_ptr_array_find_with_equal_func(names, version, g_str_equal,
                                              NULL)) {
            g_ptr_array_add(names, (char *)version);
        }
    }
    return pools;
}

static void
announce(struct MpReplica *replica, const char *pool, const GPtrArray *names)
{
    struct mp_version_name list[MP_POOL_VERSIONS_MAX];
    struct mp_command_body body = {.kind = MP_CMD_VERSIONS};
    for (guint i = 0; i < names->len; i++) {
        list[i].name = g_ptr_array_index(names, i);
    }
    body.mp_command_body_u.pool_versions = (struct mp_pool_versions){
        .pool = (char *)pool,
        .list = {.list_val = list, .list_len = names->len}};
    int code = MpReplica_Append(replica, &body);
    MpLog_Event(LOG_NOTICE, "versions-seen",
                "pool=%s versions=%u newest=%s error=%s", pool, names->len,
                (const char *)g_ptr_array_index(names, names->len - 1),
                MpError_Name(code));
}

void
MpReplicaVersions_Announce(struct MpReplica *replica, const GPtrArray *targets)
{
    if (!MpRaft_IsLeader(&replica->raft)) {
        return;
    }
    GHashTable *pools = collect(targets);
    GHashTableIter iter;
    void *key;
    void *value;
    g_hash_table_iter_init(&iter, pools);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        GPtrArray *names = value;
        g_ptr_array_sort(names, compare_names);
        if (!MpVersions_IsEqual(&replica->machine.versions, key, names)) {
            announce(replica, key, names);
        }
    }
    g_hash_table_unref(pools);
}

static uint64_t
hash_pool(const struct MpPoolVersions *pool)
{
    uint64_t hash = XXH64(pool->pool, strlen(pool->pool), 1);
    hash = XXH64(&pool->changed_ms, sizeof(pool->changed_ms), hash);
    hash = XXH64(&pool->base_ms, sizeof(pool->base_ms), hash);
    if (pool->base) {
        hash = XXH64(pool->base, strlen(pool->base) + 1, hash);
    }
    for (guint i = 0; i < pool->names->len; i++) {
        const char *name = g_ptr_array_index(pool->names, i);
        hash = XXH64(name, strlen(name) + 1, hash);
    }
    return hash;
}

/* Returns the time since at_ms, -1 if that is negative. */
static int64_t
age_of(int64_t at_ms)
{
    return at_ms < 0 ? -1 : MAX(MpLoop_WallMs() - at_ms, 0);
}

static void
fill_pool(const struct MpPoolVersions *pool, struct mp_pool_versions *to,
          struct mp_pool_base *base)
{
    struct mp_version_name *list =
        g_new(struct mp_version_name, pool->names->len);
    for (guint i = 0; i < pool->names->len; i++) {
        list[i].name = g_ptr_array_index(pool->names, i);
    }
    *to = (struct mp_pool_versions){
        .pool = pool->pool,
        .list = {.list_val = list, .list_len = pool->names->len},
        .age_ms = age_of(pool->changed_ms)};
    *base = (struct mp_pool_base){.has_base = pool->base != NULL,
                                  .base = pool->base ? pool->base : (char *)"",
                                  .age_ms = age_of(pool->base_ms)};
}

void
MpReplicaVersions_Fill(const struct MpReplica *replica,
                       const struct mp_sync *sync, struct mp_sync_reply *reply)
{
    GHashTable *pools = replica->machine.versions.pools;
    GHashTableIter iter;
    void *value;
    reply->versions_hash = 1;
    g_hash_table_iter_init(&iter, pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        /* The hashes are added, as the order of a hash table is arbitrary. */
        reply->versions_hash += hash_pool(value);
    }
    if (sync->versions_hash == reply->versions_hash) {
        return;
    }
    reply->versions.versions_val =
        g_new0(struct mp_pool_versions, g_hash_table_size(pools));
    reply->bases.bases_val =
        g_new0(struct mp_pool_base, g_hash_table_size(pools));
    g_hash_table_iter_init(&iter, pools);
    while (g_hash_table_iter_next(&iter, NULL, &value) &&
           reply->versions.versions_len < MP_POOLS_MAX) {
        fill_pool(
            value,
            &reply->versions.versions_val[reply->versions.versions_len++],
            &reply->bases.bases_val[reply->bases.bases_len++]);
    }
}

void
MpReplicaVersions_Free(struct mp_sync_reply *reply)
{
    for (u_int i = 0; i < reply->versions.versions_len; i++) {
        g_free(reply->versions.versions_val[i].list.list_val);
    }
    g_free(reply->versions.versions_val);
    g_free(reply->bases.bases_val);
}
