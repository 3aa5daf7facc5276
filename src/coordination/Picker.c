#include "coordination/Picker.h"

#include "state/Error.h"

#include <string.h>
#include <xxhash.h>

#define EJECT_FAILURES 3
#define EJECT_BASE_MS 1000
#define EJECT_MAX_MS 30000
/* A target with a cached prefix is preferred while its load is at most
 * BOUND_PERCENT of the mean load plus 1/BOUND_DIVISOR of its capacity. */
#define BOUND_PERCENT 125
#define BOUND_DIVISOR 4
/* An older load report counts as outdated. */
#define REPORT_MAX_AGE_MS 5000

const char *const MpTargetHealth_Names[] = {
    [MP_HEALTH_OK] = "in",
    [MP_HEALTH_DRAINING] = "draining",
    [MP_HEALTH_LEAVING] = "leaving",
    [MP_HEALTH_PAUSED] = "paused",
    [MP_HEALTH_EJECTED] = "ejected",
    [MP_HEALTH_PROBING] = "probing",
    [MP_HEALTH_DRAINED] = "zone drained",
};

/* ---- targets ---- */

static void
target_delete(void *data)
{
    struct MpTarget *this = data;
    g_hash_table_unref(this->blocks);
    g_queue_clear_full(&this->block_order, g_free);
    g_free(this->name);
    g_free(this->address);
    g_free(this->zone);
    g_free(this);
}

static struct MpTarget *
target_new(const char *name)
{
    struct MpTarget *this = g_new0(struct MpTarget, 1);
    this->name = g_strdup(name);
    this->blocks = g_hash_table_new(g_int64_hash, g_int64_equal);
    g_queue_init(&this->block_order);
    return this;
}

static void
clear_blocks(struct MpTarget *this)
{
    g_hash_table_remove_all(this->blocks);
    g_queue_clear_full(&this->block_order, g_free);
}

/* A changed address means another process, whose state is not known yet. */
static void
target_configure(struct MpTarget *this, const struct MpTargetConf *conf)
{
    if (g_strcmp0(this->address, conf->address) != 0) {
        MpTarget_HandleRestart(this);
        this->failures = 0;
        this->ejections = 0;
        this->ejected_until_ms = 0;
    }
    g_free(this->address);
    g_free(this->zone);
    this->address = g_strdup(conf->address);
    this->zone = g_strdup(conf->zone);
    this->capacity = conf->capacity;
    this->is_draining = conf->state == MP_TARGET_DRAIN;
    this->is_listed = true;
}

void
MpTarget_HandleRestart(struct MpTarget *this)
{
    clear_blocks(this);
    this->report_sequence = 0;
    this->event_sequence = 0;
    this->leaving = (struct MpTargetLeaving){.by_list = false};
    this->pause = (struct MpTargetPause){.until_ms = 0};
}

int64_t
MpTarget_Load(const struct MpTarget *this)
{
    int64_t load =
        this->reported_load + this->in_flight - this->in_flight_at_report;
    return MAX(load, this->in_flight);
}

enum MpTargetHealth
MpTarget_Health(const struct MpTarget *this, int64_t now_ms)
{
    if (this->is_draining || !this->is_listed) {
        return MP_HEALTH_DRAINING;
    }
    if (this->is_zone_drained) {
        return MP_HEALTH_DRAINED;
    }
    if (MpTargetLeaving_IsLeaving(&this->leaving)) {
        return MP_HEALTH_LEAVING;
    }
    if (MpTargetPause_IsActive(&this->pause, now_ms)) {
        return MP_HEALTH_PAUSED;
    }
    if (now_ms < this->ejected_until_ms) {
        return MP_HEALTH_EJECTED;
    }
    return this->is_probing ? MP_HEALTH_PROBING : MP_HEALTH_OK;
}

void
MpTarget_Start(struct MpTarget *this)
{
    this->in_flight++;
    MpTargetPause_NoteSent(&this->pause);
    this->picked++;
    /* The first request after an ejection is a probe. */
    this->is_probing = this->ejected_until_ms > 0;
}

static void
eject(struct MpPicker *picker, struct MpTarget *this, int64_t now_ms)
{
    int64_t time_ms = EJECT_BASE_MS << MIN(this->ejections, 5);
    this->ejected_until_ms = now_ms + MIN(time_ms, EJECT_MAX_MS);
    this->ejections++;
    this->failures = 0;
    picker->ejections++;
}

void
MpTarget_Finish(struct MpPicker *picker, struct MpTarget *this,
                enum MpAttemptOutcome outcome, int64_t now_ms)
{
    bool was_probing = this->is_probing;
    this->in_flight = MAX(this->in_flight - 1, 0);
    this->is_probing = false;
    if (outcome == MP_ATTEMPT_OK) {
        this->failures = 0;
        this->ejections = 0;
        this->ejected_until_ms = 0;
    }
    else if (outcome == MP_ATTEMPT_FAILED) {
        this->failures++;
        if (was_probing || this->failures >= EJECT_FAILURES) {
            eject(picker, this, now_ms);
        }
    }
}

void
MpTarget_ApplyReport(struct MpTarget *this, const struct MpLoadReport *report,
                     int64_t now_ms)
{
    if (report->sequence < this->report_sequence) {
        return;
    }
    this->report_sequence = report->sequence;
    this->reported_load = report->running + report->waiting;
    this->in_flight_at_report = this->in_flight;
    this->report_ms = now_ms;
    MpTargetLeaving_NoteEntry(&this->leaving, report->is_leaving, 0);
    /* The target answers again.  At-most-once requests are never probes, so
     * the end of the ejection is noted here to let them use the target. */
    if (now_ms >= this->ejected_until_ms && !this->is_probing) {
        this->ejected_until_ms = 0;
    }
}

void
MpTarget_ReportFailed(struct MpPicker *picker, struct MpTarget *this,
                      int64_t now_ms)
{
    this->failures++;
    if (this->failures >= EJECT_FAILURES && now_ms >= this->ejected_until_ms) {
        eject(picker, this, now_ms);
    }
}

/* ---- cached prefix blocks ---- */

uint32_t
MpPicker_HashBlocks(const void *text, size_t size, uint64_t *blocks)
{
    uint32_t count = 0;
    uint64_t hash = 0;
    for (size_t at = 0;
         at + MP_PREFIX_BLOCK_BYTES <= size && count < MP_PREFIX_BLOCKS_MAX;
         at += MP_PREFIX_BLOCK_BYTES) {
        hash = XXH64((const char *)text + at, MP_PREFIX_BLOCK_BYTES, hash);
        blocks[count++] = hash;
    }
    return count;
}

static void
drop_block(struct MpTarget *this, uint64_t block)
{
    GList *link = g_hash_table_lookup(this->blocks, &block);
    if (link) {
        g_hash_table_remove(this->blocks, &block);
        g_free(link->data);
        g_queue_delete_link(&this->block_order, link);
    }
}

static void
add_block(struct MpTarget *this, uint64_t block)
{
    GList *link = g_hash_table_lookup(this->blocks, &block);
    if (link) {
        g_queue_unlink(&this->block_order, link);
        g_queue_push_tail_link(&this->block_order, link);
        return;
    }
    uint64_t *key = g_new(uint64_t, 1);
    *key = block;
    g_queue_push_tail(&this->block_order, key);
    g_hash_table_insert(this->blocks, key, this->block_order.tail);
    if (this->block_order.length > MP_PREFIX_CACHE_MAX) {
        drop_block(this, *(uint64_t *)this->block_order.head->data);
    }
}

/* Drops the count least recently used blocks, one for each missed event. */
static void
drop_oldest(struct MpTarget *this, uint64_t count)
{
    for (; count > 0 && this->block_order.head; count--) {
        drop_block(this, *(uint64_t *)this->block_order.head->data);
    }
}

void
MpTarget_NoteBlocks(struct MpTarget *this, const uint64_t *blocks,
                    uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        add_block(this, blocks[i]);
    }
}

void
MpTarget_ApplyCacheEvent(struct MpTarget *this, uint64_t sequence,
                         uint64_t block, bool is_added)
{
    if (sequence <= this->event_sequence) {
        return;
    }
    if (this->event_sequence > 0) {
        drop_oldest(this, sequence - this->event_sequence - 1);
    }
    this->event_sequence = sequence;
    if (is_added) {
        add_block(this, block);
    }
    else {
        drop_block(this, block);
    }
}

/* Returns how many blocks from the start of the prompt are expected to be
 * cached. */
static uint32_t
cached_blocks(const struct MpTarget *this, const struct MpPickQuery *query)
{
    uint32_t count = 0;
    while (count < query->block_count &&
           g_hash_table_contains(this->blocks, &query->blocks[count])) {
        count++;
    }
    return count;
}

/* ---- picker ---- */

void
MpPicker_Init(struct MpPicker *this, const char *zone, uint32_t seed)
{
    *this = (struct MpPicker){.zone = g_strdup(zone)};
    this->targets =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, target_delete);
    this->random = g_rand_new_with_seed(seed);
}

void
MpPicker_Done(struct MpPicker *this)
{
    g_hash_table_unref(this->targets);
    g_rand_free(this->random);
    g_free(this->zone);
}

struct MpTarget *
MpPicker_Find(const struct MpPicker *this, const char *name)
{
    return g_hash_table_lookup(this->targets, name);
}

static void
mark_drained(struct MpPicker *this)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, this->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct MpTarget *target = value;
        target->is_zone_drained =
            this->zones && MpDrainedZones_Contains(this->zones, target->zone);
    }
}

void
MpPicker_SetDocument(struct MpPicker *this, const struct MpDocument *document)
{
    GHashTableIter iter;
    void *key;
    void *value;
    g_hash_table_iter_init(&iter, this->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((struct MpTarget *)value)->is_listed = false;
    }
    g_hash_table_iter_init(&iter, document->targets);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        struct MpTarget *target = MpPicker_Find(this, key);
        if (!target) {
            target = target_new(key);
            g_hash_table_insert(this->targets, target->name, target);
        }
        target_configure(target, value);
    }
    mark_drained(this);
}

void
MpPicker_SetDrainedZones(struct MpPicker *this,
                         const struct MpDrainedZones *zones)
{
    this->zones = zones;
    mark_drained(this);
}

/* Targets that may be picked for one request; full counts those left out
 * because they are at capacity. */
struct candidates {
    struct MpTarget **list;
    guint count;
    guint full;
};

/* Whether the target was tried already or is outside of the allowed regions.
 */
static bool
is_avoided(const struct MpPickQuery *query, const struct MpTarget *target)
{
    return (query->avoid &&
            MpDocument_ListContains(query->avoid, target->name)) ||
           !MpRegionRule_Allows(query->regions, target->zone);
}

static bool
is_usable(const struct MpTarget *target, int64_t now_ms)
{
    enum MpTargetHealth health = MpTarget_Health(target, now_ms);
    return health == MP_HEALTH_OK;
}

static void
add_candidate(struct candidates *candidates, struct MpTarget *target,
              int64_t now_ms)
{
    if (MpTarget_Load(target) >= target->capacity ||
        !MpTargetPause_MaySend(&target->pause, now_ms)) {
        candidates->full++;
        return;
    }
    candidates->list[candidates->count++] = target;
}

static void
collect_usable(struct MpPicker *this, const struct MpPickQuery *query,
               int64_t now_ms, struct candidates *candidates)
{
    for (guint i = 0; i < query->names->len; i++) {
        const char *name = g_ptr_array_index(query->names, i);
        struct MpTarget *target = MpPicker_Find(this, name);
        if (!target || is_avoided(query, target) ||
            !is_usable(target, now_ms)) {
            continue;
        }
        /* An at-most-once request is never a probe. */
        if (query->is_at_most_once && target->ejected_until_ms > 0) {
            continue;
        }
        add_candidate(candidates, target, now_ms);
    }
}

/* Adds the ejected targets if they are more than half of all that are not in
 * drained zones: then the fault
 * may be local to this instance. */
static void
collect_ejected(struct MpPicker *this, const struct MpPickQuery *query,
                int64_t now_ms, struct candidates *candidates)
{
    guint ejected = 0;
    guint drained = 0;
    for (guint i = 0; i < query->names->len; i++) {
        struct MpTarget *target =
            MpPicker_Find(this, g_ptr_array_index(query->names, i));
        ejected +=
            target && MpTarget_Health(target, now_ms) == MP_HEALTH_EJECTED;
        drained += target && target->is_zone_drained;
    }
    if (ejected * 2 <= query->names->len - drained) {
        return;
    }
    for (guint i = 0; i < query->names->len; i++) {
        const char *name = g_ptr_array_index(query->names, i);
        struct MpTarget *target = MpPicker_Find(this, name);
        if (target && !is_avoided(query, target) &&
            MpTarget_Health(target, now_ms) == MP_HEALTH_EJECTED) {
            add_candidate(candidates, target, now_ms);
        }
    }
}

static int64_t
scaled_load(const struct MpTarget *target)
{
    return MpTarget_Load(target) * 1000 / MAX(target->capacity, 1);
}

static struct MpTarget *
less_loaded(const struct MpPicker *this, struct MpTarget *a,
            struct MpTarget *b)
{
    if (scaled_load(a) != scaled_load(b)) {
        return scaled_load(a) < scaled_load(b) ? a : b;
    }
    return g_strcmp0(b->zone, this->zone) == 0 ? b : a;
}

static struct MpTarget *
pick_of_two(struct MpPicker *this, const struct candidates *candidates)
{
    guint first =
        (guint)g_rand_int_range(this->random, 0, (gint32)candidates->count);
    guint second =
        (guint)g_rand_int_range(this->random, 0, (gint32)candidates->count);
    return less_loaded(this, candidates->list[first],
                       candidates->list[second]);
}

static int64_t
mean_load(const struct candidates *candidates)
{
    int64_t sum = 0;
    for (guint i = 0; i < candidates->count; i++) {
        sum += MpTarget_Load(candidates->list[i]);
    }
    return sum / candidates->count;
}

/* Returns the target with the longest cached prefix whose load is within the
 * bound, or NULL. */
static struct MpTarget *
pick_cached(const struct MpPickQuery *query,
            const struct candidates *candidates)
{
    struct MpTarget *best = NULL;
    uint32_t best_blocks = 0;
    int64_t mean = mean_load(candidates) * BOUND_PERCENT / 100;
    for (guint i = 0; i < candidates->count; i++) {
        struct MpTarget *target = candidates->list[i];
        uint32_t blocks = cached_blocks(target, query);
        int64_t bound = mean + MAX(target->capacity / BOUND_DIVISOR, 1);
        if (blocks == 0 || MpTarget_Load(target) > bound) {
            continue;
        }
        if (blocks > best_blocks ||
            (blocks == best_blocks &&
             MpTarget_Load(target) < MpTarget_Load(best))) {
            best = target;
            best_blocks = blocks;
        }
    }
    if (best) {
        best->hit_blocks += best_blocks;
    }
    return best;
}

/* Returns the target least likely to fail: few consecutive failures, a recent
 * load report, low load. */
static struct MpTarget *
pick_safest(struct MpPicker *this, const struct candidates *candidates,
            int64_t now_ms)
{
    struct MpTarget *best = NULL;
    int64_t best_score = INT64_MAX;
    for (guint i = 0; i < candidates->count; i++) {
        struct MpTarget *target = candidates->list[i];
        int64_t score = scaled_load(target) + target->failures * 10000;
        score += now_ms - target->report_ms > REPORT_MAX_AGE_MS ? 5000 : 0;
        score += g_rand_int_range(this->random, 0, 100);
        if (score < best_score) {
            best = target;
            best_score = score;
        }
    }
    return best;
}

static struct MpTarget *
pick_least_outstanding(const struct candidates *candidates)
{
    struct MpTarget *best = candidates->list[0];
    for (guint i = 1; i < candidates->count; i++) {
        if (candidates->list[i]->in_flight < best->in_flight) {
            best = candidates->list[i];
        }
    }
    return best;
}

static struct MpTarget *
pick_from(struct MpPicker *this, const struct MpPickQuery *query,
          const struct candidates *candidates, int64_t now_ms)
{
    if (this->policy == MP_PICK_RANDOM) {
        return candidates->list[g_rand_int_range(this->random, 0,
                                                 (gint32)candidates->count)];
    }
    if (this->policy == MP_PICK_LEAST_OUTSTANDING) {
        return pick_least_outstanding(candidates);
    }
    if (query->is_at_most_once) {
        return pick_safest(this, candidates, now_ms);
    }
    struct MpTarget *cached =
        query->block_count > 0 ? pick_cached(query, candidates) : NULL;
    return cached ? cached : pick_of_two(this, candidates);
}

struct MpTarget *
MpPicker_Pick(struct MpPicker *this, const struct MpPickQuery *query,
              int64_t now_ms, int *code)
{
    struct candidates candidates = {
        .list = g_new(struct MpTarget *, query->names->len + 1)};
    collect_usable(this, query, now_ms, &candidates);
    if (candidates.count == 0 && candidates.full == 0) {
        collect_ejected(this, query, now_ms, &candidates);
    }
    struct MpTarget *target = NULL;
    if (candidates.count > 0) {
        target = pick_from(this, query, &candidates, now_ms);
    }
    *code = candidates.full > 0 ? MP_ERROR_LIMIT : MP_ERROR_NO_TARGET;
    if (target) {
        *code = MP_OK;
    }
    g_free(candidates.list);
    return target;
}

int64_t
MpPicker_FirstPauseEnd(const struct MpPicker *this, const GPtrArray *names,
                       int64_t now_ms)
{
    int64_t first_ms = INT64_MAX;
    for (guint i = 0; i < names->len; i++) {
        const struct MpTarget *target =
            MpPicker_Find(this, g_ptr_array_index(names, i));
        enum MpTargetHealth health =
            target ? MpTarget_Health(target, now_ms) : MP_HEALTH_DRAINING;
        if (health == MP_HEALTH_PAUSED) {
            first_ms = MIN(first_ms, target->pause.until_ms);
        }
        else if (health != MP_HEALTH_DRAINING && health != MP_HEALTH_DRAINED &&
                 health != MP_HEALTH_LEAVING) {
            return 0;
        }
    }
    return first_ms == INT64_MAX ? 0 : first_ms;
}
