#include "coordination/Roster.h"

#include "coordination/PickCost.h"
#include "coordination/RosterInternal.h"
#include "state/Error.h"
#include "state/Fault.h"

#include <string.h>

/* The choice of a target for a request; see Roster.h. */

/* A target whose error rate exceeds the pool's mean by more than this is used
 * less. */
#define ERROR_MARGIN 0.2
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

/* Whether the target names a limit and no permit can be had for it now. */
static bool
is_withheld(const struct MpPoolTarget *target, const struct MpPoolQuery *query,
            int64_t now_ms)
{
    return target->limit.rate_mrps != MP_LIMIT_NONE &&
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
        if (!target->is_leaving && strcmp(target->version, version) == 0) {
            return true;
        }
    }
    return false;
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

/* Whether no target of the pool that is not leaving has an active version:
 * the leader may be unable to read the target list. */
static bool
has_no_active_version(const GPtrArray *pool, const struct MpPoolQuery *query,
                      int64_t now_ms)
{
    for (guint i = 0; i < pool->len; i++) {
        const struct MpPoolTarget *target = g_ptr_array_index(pool, i);
        if (!target->is_leaving && is_version_active(target, query, now_ms)) {
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
    if (target->is_leaving || target->is_removed ||
        target->ejected_until_ms > now_ms || is_tried(target, query) ||
        MpTargetPause_IsActive(&target->pause, now_ms) ||
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
           (!MpTargetPause_IsActive(&target->pause, now_ms) ||
            MP_FAULT(MP_FAULT_PAUSED_LAST_RESORT)) &&
           !is_withheld(target, query, now_ms) &&
           MpPoolTarget_HasRoom(target, query, now_ms) &&
           has_right_version(target, query, now_ms) &&
           (!target->is_under_test ||
            MP_FAULT(MP_FAULT_HALF_OPEN_UNBOUNDED)) &&
           !is_tried(target, query);
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

/* Returns the usable target with the highest rank for the affinity part of the
 * request, or NULL.  is_unlimited: only targets that name no limit count;
 * other: does not count. */
static const struct MpPoolTarget *
preferred_of(const GPtrArray *pool, const struct MpPoolQuery *query,
             bool is_unlimited, const struct MpPoolTarget *other,
             int64_t now_ms)
{
    uint64_t part = MpPickCost_AffinityPart(query->meta);
    const struct MpPoolTarget *preferred = NULL;
    double preferred_rank = 0;
    for (guint i = 0; part && i < pool->len; i++) {
        const struct MpPoolTarget *target = g_ptr_array_index(pool, i);
        double rank = MpPickCost_Rank(target, part);
        bool counts =
            target != other && (!is_unlimited || target->limit.rate_mrps < 0);
        if (counts && is_usable(target, query, now_ms) &&
            (!preferred || rank > preferred_rank)) {
            preferred = target;
            preferred_rank = rank;
        }
    }
    return preferred;
}

/* The targets at which the shared parts of a request are cached, or NULL. */
struct preferred {
    const struct MpPoolTarget *first;
    const struct MpPoolTarget *second;
};

/* Finds the two targets that all instances prefer for the affinity part of the
 * request.  With two of them, a part that many requests share does not make
 * one target busy, and there is a choice when one is slow for a moment. */
static struct preferred
find_preferred(const GPtrArray *pool, const struct MpPoolQuery *query,
               int64_t now_ms)
{
    struct preferred found = {
        .first = preferred_of(pool, query, false, NULL, now_ms)};
    bool is_limited =
        found.first && found.first->limit.rate_mrps != MP_LIMIT_NONE;
    if (!found.first || (!is_limited && !query->is_engine)) {
        return found;
    }
    /* What a target with a limit cannot take goes to one other target, not to
     * whichever is free, so that shared parts are cached there too. */
    found.second = preferred_of(pool, query, is_limited, found.first, now_ms);
    if (found.second && !is_limited && MpPickCost_IsSwapped(query)) {
        return (struct preferred){.first = found.second,
                                  .second = found.first};
    }
    return found;
}

static enum MpPreference
preference_of(const struct preferred *preferred,
              const struct MpPoolTarget *target)
{
    return target == preferred->first    ? MP_PREFERENCE_FIRST
           : target == preferred->second ? MP_PREFERENCE_SECOND
                                         : MP_PREFERENCE_NONE;
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
    int64_t tokens = MpPickCost_UncachedTokens(best, query->meta,
                                               MP_PREFERENCE_NONE, now_ms);
    *picked = (struct MpPicked){
        .target = best,
        .wait_ms = (int64_t)MpPickCost_Wait(best, query, tokens, now_ms),
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
    int64_t tokens = MpPickCost_UncachedTokens(target, query->meta,
                                               MP_PREFERENCE_NONE, now_ms);
    *picked = (struct MpPicked){
        .target = target,
        .wait_ms = (int64_t)MpPickCost_Wait(target, query, tokens, now_ms),
        .prefill_tokens = tokens};
    return true;
}

static bool
needs_permit(const struct MpPoolTarget *target,
             const struct MpPoolQuery *query)
{
    return target->limit.rate_mrps != MP_LIMIT_NONE &&
           !is_permitted(target, query);
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
    picked->queue_ms =
        (int64_t)MpPickCost_Queue(picked->target, query, now_ms);
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

/* Picks the target that costs least, if any can take the request. */
static void
pick_cheapest(struct MpRoster *this, const GPtrArray *pool,
              const struct MpPoolQuery *query, int64_t now_ms,
              struct MpPicked *picked, struct left_out *left_out)
{
    double best_cost = 0;
    const struct preferred preferred = find_preferred(pool, query, now_ms);
    double max_error_rate = mean_error_rate(pool) + ERROR_MARGIN;
    for (guint i = 0; i < pool->len; i++) {
        struct MpPoolTarget *target = g_ptr_array_index(pool, i);
        if (!is_usable(target, query, now_ms)) {
            continue;
        }
        bool is_held = is_withheld(target, query, now_ms);
        left_out->has_withheld |= is_held;
        if (is_held || !MpTargetPause_MaySend(&target->pause, now_ms) ||
            (MpPickCost_IsFull(target, now_ms) && query->is_engine) ||
            !MpPoolTarget_HasRoom(target, query, now_ms)) {
            left_out->has_full = true;
            continue;
        }
        int64_t tokens = MpPickCost_UncachedTokens(
            target, query->meta, preference_of(&preferred, target), now_ms);
        double wait_ms = MpPickCost_Wait(target, query, tokens, now_ms);
        double cost = g_random_double();
        if (this->policy == MP_PICK_AFFINITY) {
            cost += wait_ms + MpPickCost_Beyond(this, query, target, tokens,
                                                max_error_rate, now_ms);
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
    if (pick_permitted(this, query, now_ms, picked)) {
        return MP_OK;
    }
    pick_cheapest(this, pool, query, now_ms, picked, &left_out);
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

static double
usual_speed(const struct MpRoster *this, const char *pool)
{
    const struct MpPoolSpeed *speed = g_hash_table_lookup(this->speeds, pool);
    return speed ? speed->usual : 1.0;
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
    adjusted.room = last_room_word(pool);
    adjusted.usual = usual_speed(this, query->pool);
    adjusted.needs_no_announcement =
        query->view && !query->version &&
        has_no_active_version(pool, query, now_ms);
    int code = pick_from(this, pool, &adjusted, now_ms, picked);
    picked->needs_permit =
        picked->target && needs_permit(picked->target, query);
    return code;
}

/* Notes a target's pause; pause_ms of the status is INT64_MAX until a target
 * that does not leave has been seen. */
static void
count_pause(const struct MpPoolTarget *target, int64_t now_ms,
            struct MpPoolStatus *status)
{
    bool is_paused = MpTargetPause_IsActive(&target->pause, now_ms);
    status->resting += is_paused;
    if (!target->is_leaving && !target->is_removed) {
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
    adjusted.room = last_room_word(pool);
    status->listed = pool->len;
    status->pause_ms = INT64_MAX;
    for (guint i = 0; i < pool->len; i++) {
        const struct MpPoolTarget *target = g_ptr_array_index(pool, i);
        status->leaving += target->is_leaving || target->is_removed;
        status->ejected +=
            target->ejected_until_ms > now_ms || target->failures > 0;
        status->tried += is_tried(target, query);
        status->full += MpPickCost_IsFull(target, now_ms) ||
                        !MpPoolTarget_HasRoom(target, &adjusted, now_ms);
        count_pause(target, now_ms, status);
        if (is_withheld(target, query, now_ms)) {
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
