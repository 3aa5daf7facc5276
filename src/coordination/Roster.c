#include "coordination/Roster.h"

#include "coordination/RosterInternal.h"
#include "state/Error.h"
#include "state/Fault.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* A target whose errors exceed the pool's by this much is used less. */
#define ERROR_MARGIN 0.2
/* What an error in excess costs, as waiting time, ms. */
#define ERROR_COST_MS 2000
/* What another zone costs, as waiting time, ms: twice its distance. */
#define OTHER_ZONE_MS 2
/* Time that one waiting request adds, ms: a mean prompt. */
#define WAITING_MS 60
/* Time that one running request adds to the others' steps and prompts, ms. */
#define RUNNING_MS 1
/* What reading a prompt costs those that run alongside, as a part of its own
 * time: each of them waits meanwhile. */
#define DELAY_OF_OTHERS 1.0
/* Part of a prompt that is taken to be cached where all instances send it. */
#define SHARED_GUESS 0.7

/* ---- life ---- */

void
MpListedTarget_Delete(void *data)
{
    struct MpListedTarget *this = data;
    g_free(this->incarnation);
    g_free(this->pool);
    g_free(this->address);
    g_free(this->zone);
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

static struct MpPoolTarget *
target_new(struct MpRoster *this, const struct MpListedTarget *entry)
{
    struct MpPoolTarget *target = g_new0(struct MpPoolTarget, 1);
    target->incarnation = g_strdup(entry->incarnation);
    target->pool = g_strdup(entry->pool);
    target->address = g_strdup(entry->address);
    target->zone = g_strdup(entry->zone);
    target->hash = XXH64(target->incarnation, strlen(target->incarnation), 0);
    target->slowness = 1.0;
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
    g_free(this->zone);
}

/* ---- the list ---- */

static void
forget(struct MpRoster *this, struct MpPoolTarget *target)
{
    target->is_removed = true;
    g_ptr_array_remove(pool_of(this, target->pool), target);
    g_hash_table_remove(this->targets, target->incarnation);
    MpPoolTarget_Unref(this, target);
}

/* A target that starts again under its name at another place, or later, is
 * another one. */
static bool
is_same(const struct MpPoolTarget *target, const struct MpListedTarget *entry)
{
    return strcmp(target->address, entry->address) == 0 &&
           strcmp(target->pool, entry->pool) == 0;
}

static uint32_t
take_entry(struct MpRoster *this, const struct MpListedTarget *entry,
           int64_t now_ms)
{
    struct MpPoolTarget *target =
        g_hash_table_lookup(this->targets, entry->incarnation);
    uint32_t changes = 0;
    if (target && !is_same(target, entry)) {
        forget(this, target);
        target = NULL;
    }
    if (!target) {
        target = target_new(this, entry);
        changes = 1;
    }
    changes += target->is_leaving != entry->is_leaving;
    target->is_leaving = entry->is_leaving;
    target->is_listed = true;
    target->slots = entry->slots;
    target->cold_until_ms = now_ms + entry->cold_ms;
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
        changes += take_entry(this, g_ptr_array_index(list, i), now_ms);
    }
    g_hash_table_iter_init(&iter, this->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (!((struct MpPoolTarget *)value)->is_listed) {
            g_ptr_array_add(missing, value);
        }
    }
    for (guint i = 0; i < missing->len; i++) {
        forget(this, g_ptr_array_index(missing, i));
    }
    changes += missing->len;
    g_ptr_array_unref(missing);
    this->version += changes > 0;
    this->listed_ms = now_ms;
    return changes;
}

uint32_t
MpRoster_ApplyChanges(struct MpRoster *this, const GPtrArray *changed,
                      const GPtrArray *gone, int64_t now_ms)
{
    uint32_t changes = 0;
    for (guint i = 0; i < gone->len; i++) {
        const struct MpListedTarget *entry = g_ptr_array_index(gone, i);
        struct MpPoolTarget *target =
            g_hash_table_lookup(this->targets, entry->incarnation);
        if (target) {
            forget(this, target);
            changes++;
        }
    }
    for (guint i = 0; i < changed->len; i++) {
        changes += take_entry(this, g_ptr_array_index(changed, i), now_ms);
    }
    this->version += changes > 0;
    this->listed_ms = now_ms;
    return changes;
}

enum MpListUpdate
MpRoster_ClassifyUpdate(uint64_t held, uint64_t asked, uint64_t told,
                        bool is_partial)
{
    if (told == held) {
        return MP_UPDATE_NONE;
    }
    /* The leader sends no list that the asking instance had. */
    if (told == asked || (is_partial && asked != held)) {
        return MP_UPDATE_STALE;
    }
    return is_partial ? MP_UPDATE_PARTIAL : MP_UPDATE_FULL;
}

/* ---- the choice ---- */

static bool
is_tried(const struct MpPoolTarget *target, const struct MpPoolQuery *ask)
{
    return ask->avoid &&
           g_ptr_array_find((GPtrArray *)ask->avoid, target, NULL);
}

/* Whether the target takes requests, or may have this one as its trial. */
static bool
is_usable(const struct MpPoolTarget *target, const struct MpPoolQuery *ask,
          int64_t now_ms)
{
    if (target->is_leaving || target->is_removed ||
        target->ejected_until_ms > now_ms || is_tried(target, ask)) {
        return false;
    }
    /* After a pause one attempt goes ahead; one that must not run twice is no
     * trial of a target that may be down. */
    return target->failures == 0 ||
           (!target->is_half_open &&
            (!ask->is_at_most_once || target->is_listening));
}

/* Whether the target may be tried when nothing is known to be healthy: one
 * request at a time shows whether it is back, whatever its pause. */
static bool
is_last_resort(const struct MpPoolTarget *target,
               const struct MpPoolQuery *ask)
{
    return !target->is_leaving && !target->is_removed &&
           (!target->is_half_open || MP_FAULT(MP_FAULT_HALF_OPEN_UNBOUNDED)) &&
           !is_tried(target, ask);
}

/* Requests at the target by its last word and what was sent since; the word
 * loses weight with its age. */
static double
told(const struct MpPoolTarget *target, int32_t value, int64_t now_ms)
{
    int64_t age_ms = now_ms - target->reported_ms;
    if (target->reported_ms == 0 || age_ms >= MP_LOAD_KEEP_MS) {
        return 0.0;
    }
    return value * (1.0 - (double)age_ms / MP_LOAD_KEEP_MS);
}

static double
running_at(const struct MpPoolTarget *target, int64_t now_ms)
{
    /* What was sent since fades with the word that it adds to: some of it
     * has ended, and a target may never tell its load. */
    double seen = told(
        target, target->reported_running + target->sent_since_report, now_ms);
    return MAX(seen, (double)target->running);
}

static double
waiting_at(const struct MpPoolTarget *target, int64_t now_ms)
{
    return told(target, target->reported_waiting, now_ms);
}

static bool
is_full(const struct MpPoolTarget *target, int64_t now_ms)
{
    return target->slots > 0 &&
           running_at(target, now_ms) >= (double)target->slots;
}

/* The part under which requests of one kind go together: the last one that
 * others share. */
static uint64_t
affinity_of(const struct MpRequestMeta *facts)
{
    if (facts->part_count == 0) {
        return 0;
    }
    return facts->parts[facts->part_count >= 2 ? facts->part_count - 2 : 0].id;
}

/* Rank of a target for a part, the same on all instances. */
static uint64_t
rank_of(const struct MpPoolTarget *target, uint64_t part)
{
    uint64_t pair[2] = {target->hash, part};
    return XXH64(pair, sizeof(pair), 0);
}

/* Tokens of the prompt that the target has to read. */
static int64_t
tokens_to_read(const struct MpPoolTarget *target,
               const struct MpRequestMeta *facts, bool is_home, int64_t now_ms)
{
    int64_t cached = 0;
    double shared = 0;
    for (uint32_t i = 0; i < facts->part_count; i++) {
        const struct MpPart *part = &facts->parts[i];
        const int64_t *used_ms =
            g_hash_table_lookup(target->cached_parts, &part->id);
        if (used_ms && now_ms - *used_ms < MP_CACHE_KEEP_MS) {
            cached += part->tokens + (int64_t)shared;
            shared = 0;
            continue;
        }
        if (!is_home || i + 1 >= facts->part_count) {
            break;
        }
        shared += SHARED_GUESS * (double)part->tokens;
    }
    cached += (int64_t)shared;
    return MAX(facts->prompt_tokens - cached, 0);
}

static double
mean_error_rate(const GPtrArray *pool)
{
    double sum = 0;
    for (guint i = 0; i < pool->len; i++) {
        sum += ((struct MpPoolTarget *)g_ptr_array_index(pool, i))->error_rate;
    }
    return pool->len > 0 ? sum / pool->len : 0;
}

static double
wait_at(const struct MpPoolTarget *target, const struct MpPoolQuery *ask,
        int64_t tokens, int64_t now_ms)
{
    double wait_ms = waiting_at(target, now_ms) * WAITING_MS +
                     running_at(target, now_ms) * RUNNING_MS;
    if (ask->is_engine) {
        wait_ms += (double)(target->prefill_tokens + tokens) /
                   MP_PREFILL_TOKENS_PER_MS;
    }
    else {
        double load = running_at(target, now_ms) / MAX(target->slots, 1);
        wait_ms += load * WAITING_MS;
    }
    return wait_ms * target->slowness;
}

/* What a choice costs beside the request's own wait, as time, ms. */
static double
cost_beyond_wait(const struct MpRoster *this,
                 const struct MpPoolTarget *target, int64_t tokens,
                 double errors)
{
    double cost = strcmp(target->zone, this->zone) != 0 ? OTHER_ZONE_MS : 0;
    cost += MAX(target->error_rate - errors, 0) * ERROR_COST_MS;
    return cost + (double)tokens / MP_PREFILL_TOKENS_PER_MS * DELAY_OF_OTHERS;
}

/* Returns the target that requests with the part share, or NULL. */
static const struct MpPoolTarget *
home_of(const GPtrArray *pool, const struct MpPoolQuery *ask, int64_t now_ms)
{
    uint64_t part = affinity_of(ask->meta);
    const struct MpPoolTarget *home = NULL;
    uint64_t home_rank = 0;
    for (guint i = 0; part && i < pool->len; i++) {
        const struct MpPoolTarget *target = g_ptr_array_index(pool, i);
        uint64_t rank = rank_of(target, part);
        if (is_usable(target, ask, now_ms) && (!home || rank > home_rank)) {
            home = target;
            home_rank = rank;
        }
    }
    return home;
}

/* Picks the target in doubt whose pause ends first. */
static int
pick_last_resort(const GPtrArray *pool, const struct MpPoolQuery *ask,
                 int64_t now_ms, struct MpPicked *picked)
{
    struct MpPoolTarget *best = NULL;
    if (MP_FAULT(MP_FAULT_NO_LAST_RESORT)) {
        return MP_ERROR_NO_TARGET;
    }
    for (guint i = 0; i < pool->len; i++) {
        struct MpPoolTarget *target = g_ptr_array_index(pool, i);
        if (is_last_resort(target, ask) &&
            (!best || target->ejected_until_ms < best->ejected_until_ms)) {
            best = target;
        }
    }
    if (!best) {
        return MP_ERROR_NO_TARGET;
    }
    int64_t tokens = tokens_to_read(best, ask->meta, false, now_ms);
    *picked = (struct MpPicked){
        .target = best,
        .wait_ms = (int64_t)wait_at(best, ask, tokens, now_ms),
        .prefill_tokens = tokens};
    return MP_OK;
}

int
MpRoster_Pick(struct MpRoster *this, const struct MpPoolQuery *ask,
              int64_t now_ms, struct MpPicked *picked)
{
    const GPtrArray *pool = g_hash_table_lookup(this->pools, ask->pool);
    double best_cost = 0;
    bool has_usable = false;
    *picked = (struct MpPicked){.target = NULL};
    if (!pool) {
        return MP_ERROR_NO_TARGET;
    }
    const struct MpPoolTarget *home = home_of(pool, ask, now_ms);
    double errors = mean_error_rate(pool) + ERROR_MARGIN;
    for (guint i = 0; i < pool->len; i++) {
        struct MpPoolTarget *target = g_ptr_array_index(pool, i);
        if (!is_usable(target, ask, now_ms)) {
            continue;
        }
        has_usable = true;
        if (is_full(target, now_ms) && ask->is_engine) {
            continue;
        }
        int64_t tokens =
            tokens_to_read(target, ask->meta, target == home, now_ms);
        double wait_ms = wait_at(target, ask, tokens, now_ms);
        double cost = g_random_double();
        if (this->policy == MP_PICK_AFFINITY) {
            cost += wait_ms + cost_beyond_wait(this, target, tokens, errors);
        }
        else if (this->policy == MP_PICK_LEAST_OUTSTANDING) {
            cost += target->running;
        }
        if (!picked->target || cost < best_cost) {
            best_cost = cost;
            *picked = (struct MpPicked){.target = target,
                                        .wait_ms = (int64_t)wait_ms,
                                        .prefill_tokens = tokens};
        }
    }
    if (picked->target) {
        return MP_OK;
    }
    if (has_usable) {
        return MP_ERROR_LIMIT;
    }
    return pick_last_resort(pool, ask, now_ms, picked);
}

void
MpRoster_GetPoolStatus(const struct MpRoster *this,
                       const struct MpPoolQuery *ask, int64_t now_ms,
                       struct MpPoolStatus *view)
{
    const GPtrArray *pool = g_hash_table_lookup(this->pools, ask->pool);
    *view = (struct MpPoolStatus){.listed = 0};
    if (!pool) {
        return;
    }
    view->listed = pool->len;
    for (guint i = 0; i < pool->len; i++) {
        const struct MpPoolTarget *target = g_ptr_array_index(pool, i);
        view->leaving += target->is_leaving || target->is_removed;
        view->ejected +=
            target->ejected_until_ms > now_ms || target->failures > 0;
        view->tried += is_tried(target, ask);
        view->full += is_full(target, now_ms);
    }
}
