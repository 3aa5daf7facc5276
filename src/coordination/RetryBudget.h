#ifndef MP_COORDINATION_RETRY_BUDGET_H
#define MP_COORDINATION_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/*
 * RetryBudget - how many further attempts one pool gets from one instance.
 *
 * The bound holds for the sum over all instances in any window: each takes
 * its part of the slack, and a part of the requests that it has seen itself
 * in a window that lies wholly in the past window.
 */

#define MP_RETRY_SLOTS 10

struct MpRetryBudget {
    int64_t window_ms;
    int64_t permille; /* of the requests */
    int64_t slack;    /* of the whole fleet */
    int64_t slot;     /* number of the newest slot */
    uint32_t requests[MP_RETRY_SLOTS];
    uint32_t retries[MP_RETRY_SLOTS];
};

void MpRetryBudget_Init(struct MpRetryBudget *this, int64_t window_ms,
                        int64_t permille, int64_t slack);

/* Counts a request. */
void MpRetryBudget_CountRequest(struct MpRetryBudget *this, int64_t now_ms);

/* Takes one further attempt; instances is the number of instances that share
 * the slack. Returns false when the budget is spent. */
bool MpRetryBudget_Take(struct MpRetryBudget *this, uint32_t instances,
                        int64_t now_ms);

/* Returns whether Take would succeed now. */
bool MpRetryBudget_MayRetry(struct MpRetryBudget *this, uint32_t instances,
                            int64_t now_ms);

#endif
