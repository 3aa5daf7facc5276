#include "coordination/Roster.h"

#include "coordination/RosterInternal.h"
#include "state/Error.h"
#include "state/Fault.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* The choice of a target for a request; see Roster.h. */

/* A target whose error rate exceeds the pool's mean by more than this is used
 * less. */
#define ERROR_MARGIN 0.2
/* Cost, as waiting time, of an error rate that exceeds the pool's mean plus
 * ERROR_MARGIN by 1. */
#define ERROR_COST_MS 2000
/* Cost of a target in another zone, as waiting time: twice the network delay
 * between zones. */
#define OTHER_ZONE_MS 2
/* Time that each request waiting at a target adds to the wait of a new one:
 * prefill of a mean prompt. */
#define WAITING_MS 60
/* Time that each running request adds to the decoding steps and prefills of
 * others. */
#define RUNNING_MS 1
/* Cost of a prefill to the requests that run on the same target, as a
 * fraction of its duration: they all wait for it. */
#define PREFILL_DELAY_RATIO 1.0
/* Fraction of a prompt part assumed to be cached at its preferred target even
 * if this instance has not sent it there: all other instances may have. */
#define SHARED_CACHED_RATIO 0.7

/* Longest time behind others at an engine, in thousandths of the latency
 * target, by rank; the last one is for all lower ranks. */
#define RANKS 3
static const int64_t queue_permille[RANKS] = {300, 200, 100};

/* Largest decaying average of the time to the first answer at targets without
 * a limit, as a part of the latency target, at which requests of each rank are
 * still sent there. */
static const double delay_max[RANKS] = {1.0, 0.7, 0.4};
/* Weight of one answer in that average, and time over which the average falls
 * linearly to 0 without answers, ms. */
#define DELAY_WEIGHT 0.1
#define DELAY_DECAY_MS 2000
/* Longest time to the first answer that counts, in latency targets. */
#define DELAY_PART_MAX 3.0

struct delay {
    double average;
    int64_t noted_ms;
};

/* Time in the list after which streams begin at a target whose version was not
 * announced, if the pool has no other, ms.  By then no router takes streams up
 * at versions of a list in which it was missing. */
#define UNANNOUNCED_MS 4000

/* ---- conditions ---- */

static bool
is_tried(const struct MpPoolTarget *target, const struct MpPoolQuery *query)
{
    return query->avoid &&
           g_ptr_array_find((GPtrArray *)query->avoid, target, NULL);
}

static bool
is_permitted(const struct MpPoolTarget *target,
             const struct MpPoolQuery *query)
{
    return query->permitted &&
           strcmp(query->permitted, target->incarnation) == 0;
}

/* Whether the target may be used only with a permit. */
static bool
is_paced(const struct MpPoolTarget *target, const struct MpPoolQuery *query,
         int64_t now_ms)
{
    return target->limit.rate_mrps != MP_LIMIT_NONE ||
           MpPoolTarget_IsCold(target, query, now_ms);
}

/* Whether the target names a limit or is cold, and no permit can be had for it
 * now. */
static bool
is_withheld(const struct MpPoolTarget *target, const struct MpPoolQuery *query,
            int64_t now_ms)
{
    return is_paced(target, query, now_ms) &&
           (query->has_no_permits || now_ms < target->permit_ms) &&
           !is_permitted(target, query);
}

bool
MpRoster_HasVersion(const struct MpRoster *this, const char *pool_name,
                    const char *version)
{
    const GPtrArray *pool = g_hash_table_lookup(this->pools, pool_name);
    for (guint i = 0; pool && i < pool->len; i++) {
        const struct MpPoolTarget *target = g_ptr_array_index(pool, i);
        if (!target->is_leaving && !target->is_drained &&
            strcmp(target->version, version) == 0) {
            return true;
        }
    }
    return false;
}

static bool
is_outside(const struct MpPoolTarget *target, const struct MpPoolQuery *query)
{
    return !MpRegionRule_Allows(query->regions, target->zone);
}

/* Whether streams may begin at the target's software version. */
static bool
is_version_active(const struct MpPoolTarget *target,
                  const struct MpPoolQuery *query, int64_t now_ms)
{
    const struct MpVersionCandidate candidate = {
        .pool = target->pool,
        .version = target->version,
        .listed_ms = query->boot_ms - (now_ms - target->listed_ms)};
    return MpVersionView_IsActive(query->view, &candidate, query->heard_ms,
                                  query->boot_ms);
}

/* Whether the request may go to the target's software version. */
static bool
has_right_version(const struct MpPoolTarget *target,
                  const struct MpPoolQuery *query, int64_t now_ms)
{
    if (query->version) {
        return strcmp(target->version, query->version) == 0;
    }
    if (!query->view || is_version_active(target, query, now_ms)) {
        return true;
    }
    return query->needs_no_announcement &&
           now_ms - target->listed_ms >= UNANNOUNCED_MS;
}

/* Whether no allowed target of the pool that is neither leaving nor in a
 * drained zone has an active version: the leader may be unable to read the
 * list. */
static bool
has_no_active_version(const GPtrArray *pool, const struct MpPoolQuery *query,
                      int64_t now_ms)
{
    for (guint i = 0; i < pool->len; i++) {
        const struct MpPoolTarget *target = g_ptr_array_index(pool, i);
        if (!target->is_leaving && !target->is_drained &&
            !is_outside(target, query) &&
            is_version_active(target, query, now_ms)) {
            return false;
        }
    }
    return true;
}

/* Whether the target is healthy, or half-open and this request may be the one
 * that tests it. */
static bool
is_usable(const struct MpPoolTarget *target, const struct MpPoolQuery *query,
          int64_t now_ms)
{
    if (target->is_leaving || target->is_removed || target->is_drained ||
        target->ejected_until_ms > now_ms || is_tried(target, query) ||
        MpTargetPause_IsActive(&target->pause, now_ms) ||
        is_outside(target, query) ||
        !has_right_version(target, query, now_ms)) {
        return false;
    }
    /* After an ejection one request tests the target.  An at-most-once request
     * does so only after a probe has shown that the target listens. */
    return target->failures == 0 ||
           (!target->is_under_test &&
            (!query->is_at_most_once || target->is_listening));
}

/* Whether the target may be tried when no target is usable: one request at a
 * time tests it, even while it is ejected. */
static bool
is_last_resort(const struct MpPoolTarget *target,
               const struct MpPoolQuery *query, int64_t now_ms)
{
    return !target->is_leaving && !target->is_removed &&
           (!target->is_drained || MP_FAULT(MP_FAULT_DRAINED_LAST_RESORT)) &&
           !is_outside(target, query) &&
           (!MpTargetPause_IsActive(&target->pause, now_ms) ||
            MP_FAULT(MP_FAULT_PAUSED_LAST_RESORT)) &&
           !is_withheld(target, query, now_ms) &&
           MpPoolTarget_HasRoom(target, query, now_ms) &&
           has_right_version(target, query, now_ms) &&
           (!target->is_under_test ||
            MP_FAULT(MP_FAULT_HALF_OPEN_UNBOUNDED)) &&
           !is_tried(target, query);
}

/* Returns value, a number of requests in the last load report, with a weight
 * that falls linearly with the age of the report. */
static double
weighted_load(const struct MpPoolTarget *target, int32_t value, int64_t now_ms)
{
    int64_t age_ms = now_ms - target->reported_ms;
    if (target->reported_ms == 0 || age_ms >= MP_LOAD_REPORT_DECAY_MS) {
        return 0.0;
    }
    return value * (1.0 - (double)age_ms / MP_LOAD_REPORT_DECAY_MS);
}

static double
running_at(const struct MpPoolTarget *target, int64_t now_ms)
{
    /* Attempts sent since the report lose weight with it: some of them have
     * ended, and a target may never report its load. */
    double reported = weighted_load(
        target, target->reported_running + target->sent_since_report, now_ms);
    return MAX(reported, (double)target->running);
}

static double
waiting_at(const struct MpPoolTarget *target, int64_t now_ms)
{
    return weighted_load(target, target->reported_waiting, now_ms);
}

static bool
is_full(const struct MpPoolTarget *target, int64_t now_ms)
{
    return target->slots > 0 &&
           running_at(target, now_ms) >= (double)target->slots;
}

/* Returns the id of the part by which similar requests are sent to the same
 * target: the last but one, as the last is seldom shared, or the only one. */
static uint64_t
affinity_part(const struct MpRequestMeta *meta)
{
    if (meta->part_count == 0) {
        return 0;
    }
    return meta->parts[meta->part_count >= 2 ? meta->part_count - 2 : 0].id;
}

/* Rendezvous hash of a target and a part, the same on all instances. */
static uint64_t
rank_of(const struct MpPoolTarget *target, uint64_t part)
{
    uint64_t pair[2] = {target->hash, part};
    return XXH64(pair, sizeof(pair), 0);
}

/* Returns the tokens of the prompt that are not expected in the target's
 * cache. */
static int64_t
uncached_tokens(const struct MpPoolTarget *target,
                const struct MpRequestMeta *meta, bool is_preferred,
                int64_t now_ms)
{
    int64_t cached = 0;
    double shared = 0;
    for (uint32_t i = 0; i < meta->part_count; i++) {
        const struct MpPromptPart *part = &meta->parts[i];
        const int64_t *used_ms =
            g_hash_table_lookup(target->cached_parts, &part->id);
        if (used_ms && now_ms - *used_ms < MP_CACHE_RETENTION_MS) {
            cached += part->tokens + (int64_t)shared;
            shared = 0;
            continue;
        }
        if (!is_preferred || i + 1 >= meta->part_count) {
            break;
        }
        shared += SHARED_CACHED_RATIO * (double)part->tokens;
    }
    cached += (int64_t)shared;
    return MAX(meta->prompt_tokens - cached, 0);
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

/* Returns the expected wait behind the requests that wait or run at an engine
 * already. */
static double
queue_at(const struct MpPoolTarget *target, int64_t now_ms)
{
    return (waiting_at(target, now_ms) * WAITING_MS +
            (double)target->prefill_tokens / MP_PREFILL_TOKENS_PER_MS) *
           target->slowness;
}

static double
wait_at(const struct MpPoolTarget *target, const struct MpPoolQuery *query,
        int64_t tokens, int64_t now_ms)
{
    double wait_ms = waiting_at(target, now_ms) * WAITING_MS +
                     running_at(target, now_ms) * RUNNING_MS;
    if (query->is_engine) {
        wait_ms += (double)(target->prefill_tokens + tokens) /
                   MP_PREFILL_TOKENS_PER_MS;
    }
    else {
        double load = running_at(target, now_ms) / MAX(target->slots, 1);
        wait_ms += load * WAITING_MS;
    }
    return wait_ms * target->slowness;
}

/* Returns what picking the target costs besides the request's own wait, as
 * waiting time: the zone, the error rate above max_error_rate, and delay of
 * others. */
static double
cost_beyond_wait(const struct MpRoster *this,
                 const struct MpPoolTarget *target, int64_t tokens,
                 double max_error_rate)
{
    double cost = strcmp(target->zone, this->zone) != 0 ? OTHER_ZONE_MS : 0;
    cost += MAX(target->error_rate - max_error_rate, 0) * ERROR_COST_MS;
    return cost +
           (double)tokens / MP_PREFILL_TOKENS_PER_MS * PREFILL_DELAY_RATIO;
}

/* Returns the usable target that all instances prefer for the affinity part
 * of the request, or NULL.  is_unlimited: only targets that need no permit
 * count. */
static const struct MpPoolTarget *
preferred_of(const GPtrArray *pool, const struct MpPoolQuery *query,
             bool is_unlimited, int64_t now_ms)
{
    uint64_t part = affinity_part(query->meta);
    const struct MpPoolTarget *preferred = NULL;
    uint64_t preferred_rank = 0;
    for (guint i = 0; part && i < pool->len; i++) {
        const struct MpPoolTarget *target = g_ptr_array_index(pool, i);
        uint64_t rank = rank_of(target, part);
        bool counts = !is_unlimited || !is_paced(target, query, now_ms);
        if (counts && is_usable(target, query, now_ms) &&
            (!preferred || rank > preferred_rank)) {
            preferred = target;
            preferred_rank = rank;
        }
    }
    return preferred;
}

/* Picks the failed target whose ejection ends first. */
static int
pick_last_resort(const GPtrArray *pool, const struct MpPoolQuery *query,
                 int64_t now_ms, struct MpPicked *picked)
{
    struct MpPoolTarget *best = NULL;
    if (MP_FAULT(MP_FAULT_NO_LAST_RESORT)) {
        return MP_ERROR_NO_TARGET;
    }
    for (guint i = 0; i < pool->len; i++) {
        struct MpPoolTarget *target = g_ptr_array_index(pool, i);
        if (is_last_resort(target, query, now_ms) &&
            (!best || target->ejected_until_ms < best->ejected_until_ms)) {
            best = target;
        }
    }
    if (!best) {
        return MP_ERROR_NO_TARGET;
    }
    int64_t tokens = uncached_tokens(best, query->meta, false, now_ms);
    *picked = (struct MpPicked){
        .target = best,
        .wait_ms = (int64_t)wait_at(best, query, tokens, now_ms),
        .prefill_tokens = tokens};
    return MP_OK;
}

/* Picks the target for which there is a permit.  Returns false when it has
 * become unusable. */
static bool
pick_permitted(struct MpRoster *this, const struct MpPoolQuery *query,
               int64_t now_ms, struct MpPicked *picked)
{
    struct MpPoolTarget *target =
        query->permitted ? MpRoster_Find(this, query->permitted) : NULL;
    if (!target || !is_usable(target, query, now_ms) ||
        !MpTargetPause_MaySend(&target->pause, now_ms)) {
        return false;
    }
    int64_t tokens = uncached_tokens(target, query->meta, false, now_ms);
    *picked = (struct MpPicked){
        .target = target,
        .wait_ms = (int64_t)wait_at(target, query, tokens, now_ms),
        .prefill_tokens = tokens};
    return true;
}

int64_t
MpRoster_QueueMax(int64_t latency_target_ms, int64_t rank)
{
    int64_t permille = queue_permille[CLAMP(rank, 0, RANKS - 1)];
    return latency_target_ms > 0 ? MAX(latency_target_ms * permille / 1000, 1)
                                 : 0;
}

static double
delay_at(const struct MpRoster *this, const char *pool, int64_t now_ms)
{
    const struct delay *delay = g_hash_table_lookup(this->delays, pool);
    int64_t age_ms = delay ? now_ms - delay->noted_ms : DELAY_DECAY_MS;
    return age_ms >= DELAY_DECAY_MS
               ? 0.0
               : delay->average * (1.0 - (double)age_ms / DELAY_DECAY_MS);
}

void
MpRoster_NoteDelay(struct MpRoster *this, const struct MpPoolTarget *target,
                   double part, int64_t now_ms)
{
    struct delay *delay = g_hash_table_lookup(this->delays, target->pool);
    if (target->limit.rate_mrps != MP_LIMIT_NONE) {
        return;
    }
    if (!delay) {
        delay = g_new0(struct delay, 1);
        g_hash_table_insert(this->delays, g_strdup(target->pool), delay);
    }
    delay->average = delay_at(this, target->pool, now_ms);
    delay->average +=
        DELAY_WEIGHT * (MIN(part, DELAY_PART_MAX) - delay->average);
    delay->noted_ms = now_ms;
}

/* Drops the picked target if the request would wait too long behind others:
 * by the queue that this instance knows of, or as the answers of all such
 * targets come late. */
static bool
is_queue_too_long(const struct MpRoster *this, const struct MpPoolQuery *query,
                  int64_t now_ms, struct MpPicked *picked)
{
    if (!picked->target || !query->is_engine || query->queue_max_ms == 0) {
        return false;
    }
    picked->queue_ms = (int64_t)queue_at(picked->target, now_ms);
    double delay = delay_at(this, query->pool, now_ms);
    if (picked->queue_ms <= query->queue_max_ms &&
        delay <= delay_max[CLAMP(query->rank, 0, RANKS - 1)]) {
        return false;
    }
    picked->queue_ms = MAX(picked->queue_ms, query->queue_max_ms + 1);
    picked->target = NULL;
    return true;
}

/* Which targets were left out of a choice. */
struct left_out {
    bool has_full;     /* usable, but full or without a permit */
    bool has_withheld; /* without a permit */
};

static bool
can_take(const struct MpPoolTarget *target, const struct MpPoolQuery *query,
         int64_t now_ms)
{
    return !is_withheld(target, query, now_ms) &&
           MpTargetPause_MaySend(&target->pause, now_ms) &&
           !(is_full(target, now_ms) && query->is_engine) &&
           MpPoolTarget_HasRoom(target, query, now_ms);
}

bool
MpPoolTarget_IsCandidate(const struct MpPoolTarget *this,
                         const struct MpPoolQuery *query, int64_t now_ms)
{
    return is_usable(this, query, now_ms) && can_take(this, query, now_ms);
}

/* Picks the target of the group that costs least, if any can take the request.
 * Cold targets are all empty, so one of them is picked at random. */
static void
pick_cheapest(struct MpRoster *this, const GPtrArray *pool,
              const struct MpPoolQuery *query, enum MpTargetGroup group,
              int64_t now_ms, struct MpPicked *picked,
              struct left_out *left_out)
{
    double best_cost = 0;
    const struct MpPoolTarget *preferred =
        preferred_of(pool, query, false, now_ms);
    /* What a target with a limit cannot take goes to one other target, not to
     * whichever is free, so that shared parts are cached there too. */
    const struct MpPoolTarget *second =
        preferred && is_paced(preferred, query, now_ms)
            ? preferred_of(pool, query, true, now_ms)
            : NULL;
    double max_error_rate = mean_error_rate(pool) + ERROR_MARGIN;
    for (guint i = 0; i < pool->len; i++) {
        struct MpPoolTarget *target = g_ptr_array_index(pool, i);
        if (!is_usable(target, query, now_ms) ||
            !MpPoolTarget_IsInGroup(target, query, group, now_ms)) {
            continue;
        }
        left_out->has_withheld |= target->limit.rate_mrps != MP_LIMIT_NONE &&
                                  is_withheld(target, query, now_ms);
        if (!can_take(target, query, now_ms)) {
            left_out->has_full = true;
            continue;
        }
        int64_t tokens =
            uncached_tokens(target, query->meta,
                            target == preferred || target == second, now_ms);
        double wait_ms = wait_at(target, query, tokens, now_ms);
        double cost = g_random_double();
        if (this->policy == MP_PICK_AFFINITY && group != MP_GROUP_COLD) {
            cost += wait_ms +
                    cost_beyond_wait(this, target, tokens, max_error_rate);
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
}

static int
pick_from(struct MpRoster *this, const GPtrArray *pool,
          const struct MpPoolQuery *query, int64_t now_ms,
          struct MpPicked *picked)
{
    struct left_out left_out = {.has_full = false};
    bool has_warm = false;
    if (pick_permitted(this, query, now_ms, picked)) {
        return MP_OK;
    }
    enum MpTargetGroup group =
        MpRoster_FirstGroup(pool, query, now_ms, &has_warm);
    pick_cheapest(this, pool, query, group, now_ms, picked, &left_out);
    if (!picked->target && group != MP_GROUP_ALL) {
        group = group == MP_GROUP_COLD ? MP_GROUP_WARM : MP_GROUP_COLD;
        pick_cheapest(this, pool, query, group, now_ms, picked, &left_out);
    }
    picked->has_warm = has_warm;
    if (left_out.has_withheld &&
        is_queue_too_long(this, query, now_ms, picked)) {
        return MP_ERROR_LIMIT;
    }
    if (picked->target) {
        return MP_OK;
    }
    return left_out.has_full ? MP_ERROR_LIMIT
                             : pick_last_resort(pool, query, now_ms, picked);
}

/* Returns what the targets of a pool said last of the refusals they bear. */
static struct MpRoomWord
last_room_word(const GPtrArray *pool)
{
    struct MpRoomWord last = {.sent_ms = 0};
    for (guint i = 0; i < pool->len; i++) {
        const struct MpPoolTarget *target = g_ptr_array_index(pool, i);
        if (target->room.word.sent_ms > last.sent_ms) {
            last = target->room.word;
        }
    }
    return last;
}

int
MpRoster_Pick(struct MpRoster *this, const struct MpPoolQuery *query,
              int64_t now_ms, struct MpPicked *picked)
{
    const GPtrArray *pool = g_hash_table_lookup(this->pools, query->pool);
    struct MpPoolQuery adjusted = *query;
    *picked = (struct MpPicked){.target = NULL};
    if (!pool) {
        return MP_ERROR_NO_TARGET;
    }
    adjusted.roster = this;
    adjusted.room = last_room_word(pool);
    adjusted.needs_no_announcement =
        query->view && !query->version &&
        has_no_active_version(pool, query, now_ms);
    int code = pick_from(this, pool, &adjusted, now_ms, picked);
    if (!picked->target) {
        return code;
    }
    picked->needs_permit = is_paced(picked->target, &adjusted, now_ms) &&
                           !is_permitted(picked->target, &adjusted);
    if (MpPoolTarget_IsCold(picked->target, &adjusted, now_ms)) {
        picked->cold = query->cold;
    }
    return code;
}

/* Notes a target's pause; pause_ms of the status is INT64_MAX until a target
 * that may be used has been seen. */
static void
count_pause(const struct MpPoolTarget *target, int64_t now_ms,
            struct MpPoolStatus *status)
{
    bool is_paused = MpTargetPause_IsActive(&target->pause, now_ms);
    status->resting += is_paused;
    if (!target->is_leaving && !target->is_removed && !target->is_drained) {
        status->pause_ms =
            is_paused ? MIN(status->pause_ms, target->pause.until_ms) : 0;
    }
}

void
MpRoster_GetPoolStatus(const struct MpRoster *this,
                       const struct MpPoolQuery *query, int64_t now_ms,
                       struct MpPoolStatus *status)
{
    const GPtrArray *pool = g_hash_table_lookup(this->pools, query->pool);
    struct MpPoolQuery adjusted = *query;
    *status = (struct MpPoolStatus){.listed = 0};
    if (!pool) {
        return;
    }
    adjusted.roster = this;
    adjusted.room = last_room_word(pool);
    status->listed = pool->len;
    status->pause_ms = INT64_MAX;
    for (guint i = 0; i < pool->len; i++) {
        const struct MpPoolTarget *target = g_ptr_array_index(pool, i);
        status->leaving += target->is_leaving || target->is_removed;
        status->drained += target->is_drained;
        status->ejected +=
            target->ejected_until_ms > now_ms || target->failures > 0;
        status->tried += is_tried(target, query);
        status->outside += is_outside(target, query);
        status->full += is_full(target, now_ms) ||
                        !MpPoolTarget_HasRoom(target, &adjusted, now_ms);
        count_pause(target, now_ms, status);
        status->cold += MpPoolTarget_IsCold(target, &adjusted, now_ms);
        if (is_withheld(target, &adjusted, now_ms)) {
            status->limited++;
            status->permit_ms =
                status->permit_ms == 0
                    ? target->permit_ms
                    : MIN(status->permit_ms, target->permit_ms);
        }
    }
    if (status->pause_ms == INT64_MAX) {
        status->pause_ms = 0;
    }
}
