#include "coordination/PickCost.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Cost, as waiting time, of an error rate that exceeds the pool's mean plus
 * ERROR_MARGIN by 1. */
#define ERROR_COST_MS 2000
/* Time that each request waiting at a target adds to the wait of a new one:
 * prefill of a mean prompt. */
#define WAITING_MS 60
/* Time that each running request adds to the decoding steps and prefills of
 * others. */
#define RUNNING_MS 1
/* Cost of a prefill to the requests that run on the same target, as a
 * fraction of its duration: they all wait for it. */
#define PREFILL_DELAY_RATIO 1.0
/* A pause between events that makes a response late, ms. */
#define PAUSE_MAX_MS 200
/* Cost of such a pause for each request that runs at the target, as far as
 * that is known, and how many of them count: more would weigh known targets
 * too much against those of which nothing is known. */
#define STALL_MS 30
#define STALLED_MAX 4
/* Fraction of a prompt part assumed to be cached at its preferred targets even
 * if this instance has not sent it there: other instances have, half of them
 * to the other one first. */
static const double cached_ratios[] = {[MP_PREFERENCE_ONLY] = 0.7,
                                       [MP_PREFERENCE_FIRST] = 0.9,
                                       [MP_PREFERENCE_SECOND] = 0.85};

/* Returns the weight of the last load report, which falls linearly with its
 * age. */
static double
report_weight(const struct MpPoolTarget *target, int64_t now_ms)
{
    int64_t age_ms = now_ms - target->reported_ms;
    return target->reported_ms == 0 || age_ms >= MP_LOAD_REPORT_DECAY_MS
               ? 0.0
               : 1.0 - (double)age_ms / MP_LOAD_REPORT_DECAY_MS;
}

static double
running_at(const struct MpPoolTarget *target, int64_t now_ms)
{
    /* Attempts sent since the report lose weight with it: some of them have
     * ended, and a target may never report its load. */
    double reported = report_weight(target, now_ms) *
                      (target->reported_running + target->sent_since_report);
    return MAX(reported, (double)target->running);
}

static double
waiting_at(const struct MpPoolTarget *target, int64_t now_ms)
{
    return report_weight(target, now_ms) * target->reported_waiting;
}

bool
MpPickCost_IsFull(const struct MpPoolTarget *target, int64_t now_ms)
{
    return target->slots > 0 &&
           running_at(target, now_ms) >= (double)target->slots;
}

uint64_t
MpPickCost_AffinityPart(const struct MpRequestMeta *meta)
{
    if (meta->part_count == 0) {
        return 0;
    }
    return meta->parts[meta->part_count >= 2 ? meta->part_count - 2 : 0].id;
}

double
MpPickCost_Rank(const struct MpPoolTarget *target,
                const struct MpPoolQuery *query, uint64_t part)
{
    uint64_t pair[2] = {target->hash, part};
    double hash = (double)(XXH64(pair, sizeof(pair), 0) >> 11);
    /* Equal weights leave the order of the hashes, and a logarithm for each
     * target of a pool is dear where there are hundreds. */
    return query->has_speeds ? -MpTargetSpeed_Share(&target->speed) /
                                   log((hash + 0.5) * 0x1p-53)
                             : hash;
}

bool
MpPickCost_IsSwapped(const struct MpPoolQuery *query)
{
    uint64_t pair[2] = {query->instance_rank,
                        MpPickCost_AffinityPart(query->meta)};
    return XXH64(pair, sizeof(pair), 0) % 2 != 0;
}

int64_t
MpPickCost_UncachedTokens(const struct MpPoolTarget *target,
                          const struct MpRequestMeta *meta,
                          enum MpPreference preference, int64_t now_ms)
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
        if (preference == MP_PREFERENCE_NONE || i + 1 >= meta->part_count) {
            break;
        }
        shared += cached_ratios[preference] * (double)part->tokens;
    }
    cached += (int64_t)shared;
    return MAX(meta->prompt_tokens - cached, 0);
}

/* Returns the time that work takes as a multiple of the usual one. */
static double
slowness_at(const struct MpPoolTarget *target, const struct MpPoolQuery *query,
            int64_t now_ms)
{
    return target->slowness *
           MpTargetSpeed_Now(&target->speed, query->usual, now_ms);
}

double
MpPickCost_Queue(const struct MpPoolTarget *target,
                 const struct MpPoolQuery *query, int64_t now_ms)
{
    return (waiting_at(target, now_ms) * WAITING_MS +
            (double)target->prefill_tokens / MP_PREFILL_TOKENS_PER_MS) *
           slowness_at(target, query, now_ms);
}

double
MpPickCost_Wait(const struct MpPoolTarget *target,
                const struct MpPoolQuery *query, int64_t tokens,
                int64_t now_ms)
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
    return wait_ms * slowness_at(target, query, now_ms);
}

/* Returns what it costs the requests that run at an engine that a prompt is
 * read for read_ms, in a pool of uneven speed. */
static double
stall_cost(const struct MpPoolTarget *target, const struct MpPoolQuery *query,
           double read_ms, int64_t now_ms)
{
    return query->has_speeds && read_ms > PAUSE_MAX_MS
               ? MIN(running_at(target, now_ms), STALLED_MAX) * STALL_MS
               : 0;
}

double
MpPickCost_Beyond(const struct MpPoolQuery *query,
                  const struct MpPoolTarget *target, int64_t tokens,
                  double max_error_rate, int64_t now_ms)
{
    double read_ms = (double)tokens / MP_PREFILL_TOKENS_PER_MS *
                     MpTargetSpeed_Now(&target->speed, query->usual, now_ms);
    double cost = MAX(target->error_rate - max_error_rate, 0) * ERROR_COST_MS;
    if (query->is_engine) {
        cost += stall_cost(target, query, read_ms, now_ms);
    }
    return cost + read_ms * PREFILL_DELAY_RATIO;
}
