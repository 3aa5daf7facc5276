#include "coordination/VersionView.h"

#include "state/Fault.h"
#include "state/Versions.h"

#include <string.h>

/* Age of a change from which on a version is used at once, ms; clocks of
 * control instances may differ by seconds. */
#define SETTLED_MS 5000

struct version_view {
    char *name;
    int64_t active_ms; /* used for streams from then on */
};

struct pool_view {
    char *pool;
    GPtrArray *versions;     /* of struct version_view */
    int64_t changed_ms;      /* last change, -1 if there was none */
    int64_t other_listed_ms; /* last time the list had an unknown version, or
                              * one beside the sole version */
};

static void
version_delete(void *data)
{
    struct version_view *this = data;
    g_free(this->name);
    g_free(this);
}

static void
pool_delete(void *data)
{
    struct pool_view *this = data;
    g_free(this->pool);
    g_ptr_array_unref(this->versions);
    g_free(this);
}

void
MpVersionView_Init(struct MpVersionView *this)
{
    *this = (struct MpVersionView){
        .pools =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_delete)};
}

void
MpVersionView_Done(struct MpVersionView *this)
{
    g_hash_table_unref(this->pools);
}

static const struct version_view *
find_version(const struct pool_view *pool, const char *name)
{
    for (guint i = 0; i < pool->versions->len; i++) {
        const struct version_view *version =
            g_ptr_array_index(pool->versions, i);
        if (strcmp(version->name, name) == 0) {
            return version;
        }
    }
    return NULL;
}

static struct pool_view *
make_pool(const struct pool_view *before, const struct mp_pool_versions *from,
          int64_t now_ms)
{
    struct pool_view *pool = g_new0(struct pool_view, 1);
    bool is_settled = from->age_ms < 0 || from->age_ms > SETTLED_MS;
    pool->pool = g_strdup(from->pool);
    pool->versions = g_ptr_array_new_with_free_func(version_delete);
    for (u_int i = 0; i < from->list.list_len; i++) {
        const char *name = from->list.list_val[i].name;
        const struct version_view *known =
            before ? find_version(before, name) : NULL;
        struct version_view *version = g_new(struct version_view, 1);
        *version = (struct version_view){
            .name = g_strdup(name),
            .active_ms = is_settled ? now_ms : now_ms + MP_VERSION_LEASE_MS};
        if (known) {
            version->active_ms = MIN(version->active_ms, known->active_ms);
        }
        g_ptr_array_add(pool->versions, version);
    }
    pool->other_listed_ms = before ? before->other_listed_ms : 0;
    pool->changed_ms = from->age_ms < 0 ? -1 : now_ms - from->age_ms;
    return pool;
}

void
MpVersionView_Apply(struct MpVersionView *this,
                    const struct mp_pool_versions *pools, u_int count,
                    int64_t now_ms)
{
    for (u_int i = 0; i < count; i++) {
        struct pool_view *pool =
            make_pool(g_hash_table_lookup(this->pools, pools[i].pool),
                      &pools[i], now_ms);
        g_hash_table_replace(this->pools, pool->pool, pool);
    }
}

bool
MpVersionView_IsActive(const struct MpVersionView *this,
                       const struct MpVersionCandidate *target,
                       int64_t heard_ms, int64_t now_ms)
{
    const struct pool_view *pool =
        g_hash_table_lookup(this->pools, target->pool);
    const struct version_view *version =
        pool ? find_version(pool, target->version) : NULL;
    if (!pool || MP_FAULT(MP_FAULT_VERSION_USED_EARLY)) {
        return true;
    }
    if (now_ms - heard_ms >= MP_VERSION_LEASE_MS &&
        now_ms - target->listed_ms < MP_VERSION_UNHEARD_MS) {
        return false;
    }
    return version && version->active_ms <= now_ms;
}

/* Returns whether streams that can still be taken up may have begun at several
 * versions. */
static bool
is_mixed(const struct pool_view *pool, int64_t stream_ms, int64_t now_ms)
{
    return pool->versions->len != 1 ||
           (pool->changed_ms >= 0 &&
            now_ms - pool->changed_ms < MP_TAKE_UP_MAX_MS + stream_ms);
}

bool
MpVersionView_MustRecord(const struct MpVersionView *this,
                         const char *pool_name, int64_t stream_ms,
                         int64_t now_ms)
{
    const struct pool_view *pool = g_hash_table_lookup(this->pools, pool_name);
    return pool && is_mixed(pool, stream_ms, now_ms);
}

void
MpVersionView_BeginList(struct MpVersionView *this, int64_t heard_ms,
                        int64_t now_ms)
{
    if (now_ms - MAX(this->listed_ms, heard_ms) >= MP_VERSION_LEASE_MS) {
        this->gap_ms = now_ms;
    }
    this->listed_ms = now_ms;
}

void
MpVersionView_NoteListed(struct MpVersionView *this, const char *pool_name,
                         const char *version, int64_t now_ms)
{
    struct pool_view *pool = g_hash_table_lookup(this->pools, pool_name);
    if (pool && (pool->versions->len != 1 || !find_version(pool, version))) {
        pool->other_listed_ms = now_ms;
    }
}

/* Returns whether this router has heard of all versions at which streams can
 * have begun. */
static bool
is_fresh(const struct MpVersionView *this, const struct pool_view *pool,
         int64_t heard_ms, int64_t now_ms)
{
    bool is_list_complete = now_ms - this->listed_ms < MP_VERSION_LEASE_MS &&
                            this->gap_ms <= heard_ms &&
                            pool->other_listed_ms <= heard_ms;
    return now_ms - heard_ms < MP_VERSION_LEASE_MS || is_list_complete ||
           MP_FAULT(MP_FAULT_STALE_VERSIONS_TRUSTED);
}

enum MpTakeUp
MpVersionView_CheckTakeUp(const struct MpVersionView *this,
                          const char *pool_name, int64_t stream_ms,
                          int64_t heard_ms, int64_t now_ms,
                          const char **version)
{
    const struct pool_view *pool = g_hash_table_lookup(this->pools, pool_name);
    if (!pool) {
        return MP_TAKE_UP_ANY;
    }
    if (is_mixed(pool, stream_ms, now_ms) ||
        !is_fresh(this, pool, heard_ms, now_ms)) {
        return MP_TAKE_UP_ASK;
    }
    *version =
        ((struct version_view *)g_ptr_array_index(pool->versions, 0))->name;
    return MP_TAKE_UP_SOLE;
}
