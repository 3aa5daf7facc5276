#include "coordination/Roster.h"

#include "coordination/RosterInternal.h"

#include <string.h>
#include <xxhash.h>

/* ---- construction ---- */

void
MpListedTarget_Delete(void *data)
{
    struct MpListedTarget *this = data;
    g_free(this->incarnation);
    g_free(this->pool);
    g_free(this->address);
    g_free(this->zone);
    g_free(this->version);
    g_free(this);
}

void
MpPoolTarget_Unref(struct MpRoster *this, struct MpPoolTarget *target)
{
    if (--target->references > 0) {
        return;
    }
    this->dropped(this->owner, target);
    g_hash_table_unref(target->cached_parts);
    g_free(target->incarnation);
    g_free(target->pool);
    g_free(target->address);
    g_free(target->zone);
    g_free(target->version);
    g_free(target);
}

void
MpRoster_Init(struct MpRoster *this, const char *zone,
              void (*dropped)(void *owner, struct MpPoolTarget *target),
              void *owner)
{
    *this = (struct MpRoster){
        .zone = g_strdup(zone), .dropped = dropped, .owner = owner};
    this->targets = g_hash_table_new(g_str_hash, g_str_equal);
    this->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                        (GDestroyNotify)g_ptr_array_unref);
    this->delays =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    this->speeds =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    this->spills =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static GPtrArray *
pool_of(struct MpRoster *this, const char *name)
{
    GPtrArray *pool = g_hash_table_lookup(this->pools, name);
    if (!pool) {
        pool = g_ptr_array_new();
        g_hash_table_insert(this->pools, g_strdup(name), pool);
    }
    return pool;
}

/* Returns whether the target's zone was drained or restored. */
static bool
mark_drained(const struct MpRoster *this, struct MpPoolTarget *target)
{
    bool was_drained = target->is_drained;
    target->is_drained =
        this->zones && MpDrainedZones_Contains(this->zones, target->zone);
    return target->is_drained != was_drained;
}

static struct MpPoolTarget *
target_new(struct MpRoster *this, const struct MpListedTarget *entry,
           int64_t now_ms)
{
    struct MpPoolTarget *target = g_new0(struct MpPoolTarget, 1);
    target->incarnation = g_strdup(entry->incarnation);
    target->pool = g_strdup(entry->pool);
    target->address = g_strdup(entry->address);
    target->zone = g_strdup(entry->zone);
    target->version = g_strdup(entry->version ? entry->version : "");
    target->hash = XXH64(target->incarnation, strlen(target->incarnation), 0);
    target->listed_ms = now_ms;
    mark_drained(this, target);
    target->slowness = 1.0;
    target->speed = (struct MpTargetSpeed)MP_TARGET_SPEED_INIT;
    target->limit = (struct MpTargetLimit)MP_TARGET_LIMIT_INIT;
    target->cached_parts =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    target->references = 1;
    g_hash_table_insert(this->targets, target->incarnation, target);
    g_ptr_array_add(pool_of(this, target->pool), target);
    return target;
}

void
MpRoster_Done(struct MpRoster *this)
{
    GPtrArray *nothing = g_ptr_array_new();
    MpRoster_SetList(this, nothing, this->listed_ms);
    g_ptr_array_unref(nothing);
    g_hash_table_unref(this->targets);
    g_hash_table_unref(this->pools);
    g_hash_table_unref(this->delays);
    g_hash_table_unref(this->speeds);
    g_hash_table_unref(this->spills);
    g_free(this->zone);
}

struct MpPoolTarget *
MpRoster_Find(const struct MpRoster *this, const char *incarnation)
{
    return g_hash_table_lookup(this->targets, incarnation);
}

/* ---- zones ---- */

uint32_t
MpRoster_SetDrainedZones(struct MpRoster *this,
                         const struct MpDrainedZones *zones)
{
    GHashTableIter iter;
    void *value;
    uint32_t changes = 0;
    this->zones = zones;
    g_hash_table_iter_init(&iter, this->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        changes += mark_drained(this, value);
    }
    return changes;
}

int64_t
MpRoster_ZoneRestoredMs(const struct MpRoster *this, const char *zone)
{
    return this->zones ? MpDrainedZones_RestoredMs(this->zones, zone) : -1;
}

/* ---- target list ---- */

static void
remove_target(struct MpRoster *this, struct MpPoolTarget *target)
{
    GPtrArray *pool = pool_of(this, target->pool);
    target->is_removed = true;
    g_ptr_array_remove(pool, target);
    if (pool->len == 0) {
        g_hash_table_remove(this->pools, target->pool);
        g_hash_table_remove(this->speeds, target->pool);
        g_hash_table_remove(this->spills, target->pool);
    }
    g_hash_table_remove(this->targets, target->incarnation);
    MpPoolTarget_Unref(this, target);
}

/* Whether an entry with the target's incarnation is the same target: another
 * address, pool or version makes it another one. */
static bool
is_same(const struct MpPoolTarget *target, const struct MpListedTarget *entry)
{
    return strcmp(target->address, entry->address) == 0 &&
           strcmp(target->pool, entry->pool) == 0 &&
           strcmp(target->version, entry->version ? entry->version : "") == 0;
}

static uint32_t
apply_entry(struct MpRoster *this, const struct MpListedTarget *entry,
            int64_t now_ms)
{
    struct MpPoolTarget *target =
        g_hash_table_lookup(this->targets, entry->incarnation);
    uint32_t changes = 0;
    if (target && !is_same(target, entry)) {
        remove_target(this, target);
        target = NULL;
    }
    if (!target) {
        target = target_new(this, entry, now_ms);
        changes = 1;
    }
    if (strcmp(target->zone, entry->zone) != 0) {
        g_free(target->zone);
        target->zone = g_strdup(entry->zone);
        changes += mark_drained(this, target);
    }
    if (MpTargetLeaving_NoteEntry(&target->leaving, entry->is_leaving,
                                  entry->started_ms)) {
        target->pause = (struct MpTargetPause){.until_ms = 0};
    }
    bool is_leaving = MpTargetLeaving_IsLeaving(&target->leaving);
    changes += target->is_leaving != is_leaving;
    target->is_leaving = is_leaving;
    target->is_listed = true;
    target->slots = entry->slots;
    MpColdStart_NoteList(&target->cold, entry->cold_ms, now_ms);
    return changes;
}

uint32_t
MpRoster_SetList(struct MpRoster *this, const GPtrArray *list, int64_t now_ms)
{
    GHashTableIter iter;
    void *value;
    uint32_t changes = 0;
    GPtrArray *missing = g_ptr_array_new();
    g_hash_table_iter_init(&iter, this->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((struct MpPoolTarget *)value)->is_listed = false;
    }
    for (guint i = 0; i < list->len; i++) {
        changes += apply_entry(this, g_ptr_array_index(list, i), now_ms);
    }
    g_hash_table_iter_init(&iter, this->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (!((struct MpPoolTarget *)value)->is_listed) {
            g_ptr_array_add(missing, value);
        }
    }
    for (guint i = 0; i < missing->len; i++) {
        remove_target(this, g_ptr_array_index(missing, i));
    }
    changes += missing->len;
    g_ptr_array_unref(missing);
    this->version += changes > 0;
    this->listed_ms = now_ms;
    return changes;
}

uint32_t
MpRoster_ApplyChanges(struct MpRoster *this, const GPtrArray *changed,
                      const GPtrArray *removed, int64_t now_ms)
{
    uint32_t changes = 0;
    for (guint i = 0; i < removed->len; i++) {
        const struct MpListedTarget *entry = g_ptr_array_index(removed, i);
        struct MpPoolTarget *target =
            g_hash_table_lookup(this->targets, entry->incarnation);
        if (target) {
            remove_target(this, target);
            changes++;
        }
    }
    for (guint i = 0; i < changed->len; i++) {
        changes += apply_entry(this, g_ptr_array_index(changed, i), now_ms);
    }
    this->version += changes > 0;
    this->listed_ms = now_ms;
    return changes;
}

enum MpListUpdate
MpRoster_ClassifyUpdate(uint64_t held_hash, uint64_t requested_hash,
                        uint64_t leader_hash, bool is_partial)
{
    if (leader_hash == held_hash) {
        return MP_UPDATE_NONE;
    }
    /* A reply carries no list that the instance had when it sent the request.
     * Changes apply only to the list that the instance had then. */
    if (leader_hash == requested_hash ||
        (is_partial && requested_hash != held_hash)) {
        return MP_UPDATE_STALE;
    }
    return is_partial ? MP_UPDATE_PARTIAL : MP_UPDATE_FULL;
}
