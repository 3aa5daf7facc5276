#include "coordination/Roster.h"

#include "coordination/RosterInternal.h"

/* How late the answers of a pool come, and how long a request may wait there;
 * see Roster.h. */

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

bool
MpRoster_IsDelayTooLong(const struct MpRoster *this,
                        const struct MpPoolQuery *query, int64_t now_ms)
{
    return delay_at(this, query->pool, now_ms) >
           delay_max[CLAMP(query->rank, 0, RANKS - 1)];
}
