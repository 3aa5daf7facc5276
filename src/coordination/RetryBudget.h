#ifndef MP_COORDINATION_RETRY_BUDGET_H
#define MP_COORDINATION_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/*
 * MpRetryBudget - limit on the retries that one instance sends to one pool.
 *
 * In any window of window_ms all instances together send at most slack
 * retries plus permille of the requests.  To keep this without communication,
 * each instance uses its share of the slack, and counts its own requests and
 * retries in a sliding window that is never longer than window_ms.
 */

/* Slots that the sliding window is divided into. */
#define MP_RETRY_SLOTS 10

struct MpRetryBudget {
    int64_t window_ms;
    int64_t permille; /* retries per 1000 requests */
    int64_t slack;    /* further retries that the whole fleet may send */
    int64_t slot;     /* number of the newest slot, counted from time 0 */
    uint32_t requests[MP_RETRY_SLOTS];
    uint32_t retries[MP_RETRY_SLOTS];
};

void MpRetryBudget_Init(struct MpRetryBudget *this, int64_t window_ms,
                        int64_t permille, int64_t slack);

/* Counts a request. */
void MpRetryBudget_CountRequest(struct MpRetryBudget *this, int64_t now_ms);

/* Takes one retry from the budget; instances is the number of instances that
 * share the slack.  Returns false when the budget is used up. */
bool MpRetryBudget_Take(struct MpRetryBudget *this, uint32_t instances,
                        int64_t now_ms);

/* Returns whether MpRetryBudget_Take would succeed now. */
bool MpRetryBudget_MayRetry(struct MpRetryBudget *this, uint32_t instances,
                            int64_t now_ms);

#endif
