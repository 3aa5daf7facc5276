#ifndef MP_COORDINATION_PERMITS_H
#define MP_COORDINATION_PERMITS_H

#include "coordination/TargetLimit.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * MpPermits - hands out permits to send one request each to targets that name
 * a rate limit.
 *
 * A few instances, the keepers of a target, each hand out an equal share of
 * its limit.  A permit is for a slot of time; the slots of one keeper are
 * evenly spaced, so that a target gets in no span of time more than its limit
 * allows.  A slot may be given out a little in advance, which keeps the limit
 * in use while requests wait for it.
 *
 * A keeper that has restarted knows nothing of the slots that it gave out
 * before, so its first slot comes after all those.
 */

/* Longest time by which a slot is given out in advance, ms. */
#define MP_PERMIT_AHEAD_MAX_MS 250

/* Keepers of one target.  With two, half of a limit can be used while one of
 * them is out of reach; with more, the slots of independent keepers add up to
 * more than the limit in short spans. */
#define MP_KEEPERS_MAX 2

/* A request for a permit. */
struct MpPermitQuery {
    const char *incarnation;    /* of the target */
    struct MpTargetLimit limit; /* as the asking instance knows it */
    uint32_t shares;            /* keepers of the target */
    int32_t share;    /* number of the keeper, from 0; -1: shares are equal and
                       * not whole requests */
    int64_t ahead_ms; /* how long the request can wait */
};

struct MpPermitAnswer {
    bool is_granted;
    /* If granted, time until the slot, otherwise time after which to ask
     * again, ms. */
    int64_t wait_ms;
    struct MpTargetLimit limit; /* as the keeper knows it */
};

struct MpPermits {
    GHashTable *targets; /* incarnation -> struct target_slots */
    int64_t swept_ms;
    uint64_t granted; /* counter */
    uint64_t denied;  /* counter */
};

void MpPermits_Init(struct MpPermits *this);
void MpPermits_Done(struct MpPermits *this);

/* Answers a request for a permit; without a limit it is always granted. */
void MpPermits_Ask(struct MpPermits *this, const struct MpPermitQuery *query,
                   int64_t now_ms, struct MpPermitAnswer *answer);

/* Returns how long a request may wait for a slot, ms: a part of its latency
 * target, less for requests of a lower rank (0 is the highest), so that a
 * slot that both want goes to the higher rank. */
int64_t MpPermits_Ahead(int64_t latency_target_ms, int64_t rank);

#endif
