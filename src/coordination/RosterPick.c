#include "coordination/Roster.h"

#include "coordination/PickCost.h"
#include "coordination/PickZone.h"
#include "coordination/RosterInternal.h"
#include "state/Error.h"
#include "state/Fault.h"

#include <string.h>

/* The choice of a target for a request; see Roster.h. */

/* A target whose error rate exceeds the pool's mean by more than this is used
 * less. */
#define ERROR_MARGIN 0.2
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
           now_ms - target->listed_ms >= UNANNOUNCED_MS &&
           !MpVersionView_IsAnnounced(query->view, target->pool,
                                      target->version);
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

static double
mean_error_rate(const GPtrArray *pool)
{
    double sum = 0;
    for (guint i = 0; i < pool->len; i++) {
        sum += ((struct MpPoolTarget *)g_ptr_array_index(pool, i))->error_rate;
    }
    return pool->len > 0 ? sum / pool->len : 0;
}

/* Which targets count for a preference. */
struct filter {
    const struct MpPoolQuery *query;
    int64_t now_ms;
    bool is_unlimited;                /* only those that need no permit */
    const struct MpPoolTarget *other; /* not this one, or NULL */
    const struct MpRoster *roster;    /* with it only those in place */
    enum MpPlace place;
};

static bool
passes(const struct filter *filter, const struct MpPoolTarget *target)
{
    return target != filter->other &&
           (!filter->is_unlimited ||
            !is_paced(target, filter->query, filter->now_ms)) &&
           (!filter->roster ||
            MpPickZone_PlaceOf(filter->roster, target) == filter->place);
}

/* Returns the usable target with the highest rank for the affinity part of the
 * request, or NULL. */
static const struct MpPoolTarget *
preferred_of(const GPtrArray *pool, const struct MpPoolQuery *query,
             const struct filter *filter, int64_t now_ms)
{
    uint64_t part = MpPickCost_AffinityPart(query->meta);
    const struct MpPoolTarget *preferred = NULL;
    double preferred_rank = 0;
    for (guint i = 0; part && i < pool->len; i++) {
        const struct MpPoolTarget *target = g_ptr_array_index(pool, i);
        double rank = MpPickCost_Rank(target, query, part);
        if (passes(filter, target) && is_usable(target, query, now_ms) &&
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

/* Finds the targets that all instances prefer for the affinity part of the
 * request: two in a pool of uneven speed, so that a part that many requests
 * share does not make one target busy, and there is a choice when one is slow
 * for a moment.  Elsewhere a second one costs more reads than it saves. */
static struct preferred
find_preferred(const GPtrArray *pool, const struct MpPoolQuery *query,
               struct filter filter, int64_t now_ms)
{
    struct preferred found = {.first =
                                  preferred_of(pool, query, &filter, now_ms)};
    bool is_limited = found.first && is_paced(found.first, query, now_ms);
    bool has_two = query->is_engine && query->has_speeds && !filter.roster;
    if (!found.first || (!is_limited && !has_two)) {
        return found;
    }
    /* What a target with a limit cannot take goes to one other target, not to
     * whichever is free, so that shared parts are cached there too. */
    filter.is_unlimited = is_limited;
    filter.other = found.first;
    found.second = preferred_of(pool, query, &filter, now_ms);
    if (found.second && !is_limited && MpPickCost_IsSwapped(query)) {
        return (struct preferred){.first = found.second,
                                  .second = found.first};
    }
    return found;
}

/* Finds them for each place. */
static void
find_all_preferred(const struct MpRoster *this, const GPtrArray *pool,
                   const struct MpPoolQuery *query, int64_t now_ms,
                   struct preferred preferred[static MP_PLACES])
{
    struct filter filter = {.query = query,
                            .now_ms = now_ms,
                            .roster = MpPickZone_IsOn(this) ? this : NULL};
    for (int place = 0; place < MP_PLACES; place++) {
        filter.place = (enum MpPlace)place;
        preferred[place] = place > 0 && !filter.roster
                               ? preferred[0]
                               : find_preferred(pool, query, filter, now_ms);
    }
}

static enum MpPreference
preference_of(const struct preferred *preferred,
              const struct MpPoolQuery *query,
              const struct MpPoolTarget *target)
{
    if (!query->has_speeds) {
        return target == preferred->first || target == preferred->second
                   ? MP_PREFERENCE_ONLY
                   : MP_PREFERENCE_NONE;
    }
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
    if (picked->queue_ms <= query->queue_max_ms &&
        !MpRoster_IsDelayTooLong(this, query, now_ms)) {
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
           !(MpPickCost_IsFull(target, now_ms) && query->is_engine) &&
           MpPoolTarget_HasRoom(target, query, now_ms);
}

bool
MpPoolTarget_IsCandidate(const struct MpPoolTarget *this,
                         const struct MpPoolQuery *query, int64_t now_ms)
{
    return is_usable(this, query, now_ms) && can_take(this, query, now_ms);
}

/* How a target is weighed in a choice. */
struct weighing {
    enum MpPreference preference;
    enum MpTargetGroup group; /* that the target is picked from */
    double max_error_rate;    /* see MpPickCost_Beyond */
};

/* Returns what a request costs at a target, as far as the policy minds, and
 * fills picked.  Cold targets are all empty: one of them is picked at random.
 */
static double
weigh(const struct MpRoster *this, const struct MpPoolQuery *query,
      struct MpPoolTarget *target, const struct weighing *weighing,
      int64_t now_ms, struct MpPicked *picked)
{
    int64_t tokens = MpPickCost_UncachedTokens(target, query->meta,
                                               weighing->preference, now_ms);
    double wait_ms = MpPickCost_Wait(target, query, tokens, now_ms);
    double cost = g_random_double();
    *picked = (struct MpPicked){.target = target,
                                .wait_ms = (int64_t)wait_ms,
                                .prefill_tokens = tokens};
    if (this->policy == MP_PICK_AFFINITY && weighing->group != MP_GROUP_COLD) {
        return cost + wait_ms +
               MpPickCost_Beyond(query, target, tokens,
                                 weighing->max_error_rate, now_ms);
    }
    return this->policy == MP_PICK_LEAST_OUTSTANDING ? cost + target->running
                                                     : cost;
}

/* Picks the target of the group that costs least, if any can take the request.
 */
static void
pick_cheapest(struct MpRoster *this, const GPtrArray *pool,
              const struct MpPoolQuery *query, enum MpTargetGroup group,
              int64_t now_ms, struct MpPicked *picked,
              struct left_out *left_out)
{
    struct MpPlaceBest best[MP_PLACES] = {{.cost = 0}};
    struct preferred preferred[MP_PLACES];
    double max_error_rate = mean_error_rate(pool) + ERROR_MARGIN;
    find_all_preferred(this, pool, query, now_ms, preferred);
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
        enum MpPlace place = MpPickZone_PlaceOf(this, target);
        const struct weighing weighing = {
            .preference = preference_of(&preferred[place], query, target),
            .group = group,
            .max_error_rate = max_error_rate};
        struct MpPlaceBest offer;
        offer.cost =
            weigh(this, query, target, &weighing, now_ms, &offer.picked);
        if (!best[place].picked.target || offer.cost < best[place].cost) {
            best[place] = offer;
        }
    }
    MpPickZone_Choose(this, query, best, now_ms, picked);
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
    const struct MpPoolSpeed *speed =
        g_hash_table_lookup(this->speeds, query->pool);
    adjusted.has_speeds = speed && speed->figures > 0;
    adjusted.usual = adjusted.has_speeds ? speed->usual : 1.0;
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
        status->full += MpPickCost_IsFull(target, now_ms) ||
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
