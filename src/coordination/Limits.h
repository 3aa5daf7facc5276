#ifndef MP_COORDINATION_LIMITS_H
#define MP_COORDINATION_LIMITS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Limits - how much of an instance one workspace may take, and how much of
 * its traffic may be retries.
 *
 * Requests a second by a token bucket, requests at once by a count, and a
 * retry budget: each request earns a part of a retry, so that retries stay a
 * fraction of the traffic when many targets fail together.
 */

struct MpLimit {
    char *workspace;
    int64_t running;
    int64_t bucket_milli; /* thousandths of a request */
    int64_t filled_ms;
    int64_t retry_milli; /* thousandths of a retry */
};

struct MpLimits {
    GHashTable *limits; /* workspace -> struct MpLimit */
};

void MpLimits_Init(struct MpLimits *this);
void MpLimits_Done(struct MpLimits *this);

/* Admits a request of workspace.  Returns MP_OK, or MP_ERROR_LIMIT with
 * *retry_after_ms, the time until it would be admitted. */
int MpLimits_Enter(struct MpLimits *this, const char *workspace,
                   int64_t concurrent_most, int64_t rate_per_s, int64_t now_ms,
                   int64_t *retry_after_ms);

/* Ends a request that was admitted. */
void MpLimits_Leave(struct MpLimits *this, const char *workspace);

/* Takes a retry from the budget of workspace; false when it is used up. */
bool MpLimits_TakeRetry(struct MpLimits *this, const char *workspace);

#endif
