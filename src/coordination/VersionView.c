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
    char *base;              /* NULL: none */
    int64_t base_ms;         /* since when; -1: from the start */
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
    g_free(this->base);
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
          const struct mp_pool_base *base, int64_t now_ms)
{
    struct pool_view *pool = g_new(struct pool_view, 1);
    bool is_settled = from->age_ms < 0 || from->age_ms > SETTLED_MS;
    *pool = (struct pool_view){
        .pool = g_strdup(from->pool),
        .versions = g_ptr_array_new_with_free_func(version_delete),
        .changed_ms = from->age_ms < 0 ? -1 : now_ms - from->age_ms,
        .base = base->has_base ? g_strdup(base->base) : NULL,
        .base_ms = base->age_ms < 0 ? -1 : now_ms - base->age_ms,
        .other_listed_ms = before ? before->other_listed_ms : 0};
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
    return pool;
}

void
MpVersionView_Apply(struct MpVersionView *this,
                    const struct mp_pool_versions *pools,
                    const struct mp_pool_base *bases, u_int count,
                    int64_t now_ms)
{
    for (u_int i = 0; i < count; i++) {
        struct pool_view *pool =
            make_pool(g_hash_table_lookup(this->pools, pools[i].pool),
                      &pools[i], &bases[i], now_ms);
        g_hash_table_replace(this->pools, pool->pool, pool);
    }
}

static bool
is_base(const struct pool_view *pool, const char *version)
{
    return pool->base && strcmp(pool->base, version) == 0;
}

/* Returns whether streams at a version that the quorum has announced need a
 * record, which a router that does not hear from it cannot get. */
static bool
is_unrecordable(const struct pool_view *pool, const char *version,
                int64_t heard_ms, int64_t now_ms)
{
    return pool->base && !is_base(pool, version) &&
           now_ms - heard_ms >= MP_VERSION_LEASE_MS &&
           !MP_FAULT(MP_FAULT_UNRECORDABLE_BEGUN);
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
    return version && version->active_ms <= now_ms &&
           !is_unrecordable(pool, target->version, heard_ms, now_ms);
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
MpVersionView_IsAnnounced(const struct MpVersionView *this,
                          const char *pool_name, const char *version)
{
    const struct pool_view *pool = g_hash_table_lookup(this->pools, pool_name);
    return pool && find_version(pool, version);
}

enum MpRecording
MpVersionView_GetRecording(const struct MpVersionView *this,
                           const char *pool_name, const char *version,
                           int64_t stream_ms, int64_t heard_ms, int64_t now_ms)
{
    const struct pool_view *pool = g_hash_table_lookup(this->pools, pool_name);
    if (!pool || (!pool->base && !is_mixed(pool, stream_ms, now_ms))) {
        return MP_RECORDING_NONE;
    }
    if (is_base(pool, version)) {
        bool is_settled =
            pool->base_ms < 0 ||
            now_ms - pool->base_ms > MP_TAKE_UP_MAX_MS + stream_ms;
        return is_settled ? MP_RECORDING_NONE : MP_RECORDING_LATER;
    }
    /* A version that the quorum does not know of is used only where nothing
     * else serves. */
    bool can_wait =
        find_version(pool, version) || now_ms - heard_ms < MP_VERSION_LEASE_MS;
    return pool->base && can_wait && !MP_FAULT(MP_FAULT_SENT_BEFORE_RECORD)
               ? MP_RECORDING_FIRST
               : MP_RECORDING_LATER;
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
