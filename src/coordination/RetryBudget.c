#include "coordination/RetryBudget.h"

#include <glib.h>

#define PERMILLE 1000
/* Added to the number of instances by which the slack is divided.  The number
 * is updated with a delay, and the sum of all shares must stay within the
 * slack while new instances join. */
#define SLACK_MARGIN 2

void
MpRetryBudget_Init(struct MpRetryBudget *this, int64_t window_ms,
                   int64_t permille, int64_t slack)
{
    *this = (struct MpRetryBudget){
        .window_ms = window_ms, .permille = permille, .slack = slack};
}

static void
advance(struct MpRetryBudget *this, int64_t now_ms)
{
    int64_t slot = now_ms / MAX(this->window_ms / MP_RETRY_SLOTS, 1);
    int64_t steps = MIN(slot - this->slot, MP_RETRY_SLOTS);
    for (int64_t i = 1; i <= steps; i++) {
        int64_t cleared = (this->slot + i) % MP_RETRY_SLOTS;
        this->requests[cleared] = 0;
        this->retries[cleared] = 0;
    }
    if (slot > this->slot) {
        this->slot = slot;
    }
}

void
MpRetryBudget_CountRequest(struct MpRetryBudget *this, int64_t now_ms)
{
    advance(this, now_ms);
    this->requests[this->slot % MP_RETRY_SLOTS]++;
}

bool
MpRetryBudget_MayRetry(struct MpRetryBudget *this, uint32_t instances,
                       int64_t now_ms)
{
    int64_t requests = 0;
    int64_t retries = 0;
    advance(this, now_ms);
    for (int i = 0; i < MP_RETRY_SLOTS; i++) {
        requests += this->requests[i];
        retries += this->retries[i];
    }
    int64_t slack = this->slack / (MAX(instances, 1) + SLACK_MARGIN);
    return (retries + 1) * PERMILLE <=
           requests * this->permille + slack * PERMILLE;
}

bool
MpRetryBudget_Take(struct MpRetryBudget *this, uint32_t instances,
                   int64_t now_ms)
{
    if (!MpRetryBudget_MayRetry(this, instances, now_ms)) {
        return false;
    }
    this->retries[this->slot % MP_RETRY_SLOTS]++;
    return true;
}
