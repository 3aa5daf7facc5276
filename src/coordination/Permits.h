#ifndef MP_COORDINATION_PERMITS_H
#define MP_COORDINATION_PERMITS_H

#include "coordination/ColdStart.h"
#include "coordination/TargetLimit.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * MpPermits - hands out permits to send one request each to targets that name
 * a rate limit or are cold.
 *
 * A few instances, the keepers of a target, each hand out an equal share of
 * its limit.  A permit is for a slot of time; the slots of one keeper are
 * evenly spaced, so that a target gets in no span of time more than its limit
 * allows.  A slot may be given out a little in advance, which keeps the limit
 * in use while requests wait for it.
 *
 * A keeper that has restarted knows nothing of the slots that it gave out
 * before, so its first slot comes after all those.  For a target that is only
 * cold it need not wait if the list of keepers has been the same for a while:
 * then nobody else has given out any, and a cold target is warm again soon.
 */

/* Longest time by which a slot is given out in advance, ms. */
#define MP_PERMIT_AHEAD_MAX_MS 250

/* Keepers of one target.  With two, half of a limit can be used while one of
 * them is out of reach; with more, the slots of independent keepers add up to
 * more than the limit in short spans. */
#define MP_KEEPERS_MAX 2

/* Time after a change of the list of instances, or the start, during which
 * another instance may have handed out what is now this keeper's share, ms:
 * the interval of syncs is 700 ms at most. */
#define MP_KEEPERS_SETTLE_MS 1000

/* A request for a permit. */
struct MpPermitQuery {
    const char *incarnation;    /* of the target */
    struct MpTargetLimit limit; /* as the asking instance knows it */
    struct MpColdConf cold;     /* is_set: the target is cold */
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
    int64_t changed_ms; /* when the list of keepers last changed */
    uint64_t granted;   /* counter */
    uint64_t denied;    /* counter */
};

void MpPermits_Init(struct MpPermits *this);
void MpPermits_Done(struct MpPermits *this);

/* Notes that the list of the instances that may be keepers has changed, or
 * that this one has started. */
void MpPermits_NoteKeepers(struct MpPermits *this, int64_t now_ms);

/* Answers a request for a permit; without a limit it is always granted, unless
 * the target is cold.  Of two rates the lower one holds. */
void MpPermits_Ask(struct MpPermits *this, const struct MpPermitQuery *query,
                   int64_t now_ms, struct MpPermitAnswer *answer);

/* Returns how long a request may wait for a slot, ms: a part of its latency
 * target, less for requests of a lower rank (0 is the highest), so that a
 * slot that both want goes to the higher rank. */
int64_t MpPermits_Ahead(int64_t latency_target_ms, int64_t rank);

#endif
