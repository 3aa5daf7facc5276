#ifndef MP_COORDINATION_LIMITS_H
#define MP_COORDINATION_LIMITS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * MpLimits - rate, concurrency and retry limits of each workspace on one
 * instance.
 *
 * A token bucket limits the requests per second and a counter those in
 * flight.  Each admitted request adds a fraction of a retry to the retry
 * budget, so that retries remain a fraction of the traffic when many targets
 * fail at once.
 */

struct MpLimit {
    char *workspace;
    int64_t running;      /* requests in flight */
    int64_t bucket_milli; /* tokens, thousandths of a request */
    int64_t filled_ms;    /* when the bucket was last refilled */
    int64_t retry_milli;  /* retry budget, thousandths of a retry */
};

struct MpLimits {
    GHashTable *limits; /* workspace -> struct MpLimit */
};

void MpLimits_Init(struct MpLimits *this);
void MpLimits_Done(struct MpLimits *this);

/* Admits a request of workspace.  Returns MP_OK, or MP_ERROR_LIMIT and sets
 * *retry_after_ms, the time after which a retry is worthwhile. */
int MpLimits_Enter(struct MpLimits *this, const char *workspace,
                   int64_t concurrent_max, int64_t rate_per_s, int64_t now_ms,
                   int64_t *retry_after_ms);

/* Counts the end of an admitted request. */
void MpLimits_Leave(struct MpLimits *this, const char *workspace);

/* Takes one retry from the retry budget of workspace.  Returns false when the
 * budget is used up. */
bool MpLimits_TakeRetry(struct MpLimits *this, const char *workspace);

#endif
