#include "coordination/RetryBudget.h"

#include "state/Fault.h"

#include <glib.h>

#define PERMILLE 1000

/* ---- the fleet ---- */

void
MpRetryFleet_Note(struct MpRetryFleet *this, uint32_t instances,
                  uint64_t incarnation, int64_t heard_ms)
{
    int64_t period = heard_ms / MP_RETRY_FLEET_MEMORY_MS;
    bool is_first = this->most == 0 && this->most_before == 0;
    if (instances == 0 || (is_first && incarnation == 0)) {
        return;
    }
    if (is_first || heard_ms - this->heard_ms >= MP_RETRY_FLEET_CONTACT_MS) {
        this->since_ms = heard_ms;
        this->is_first = is_first;
    }
    if (period != this->period) {
        this->most_before = period == this->period + 1 ? this->most : 0;
        this->most = 0;
        this->period = period;
    }
    this->heard_ms = heard_ms;
    this->most = MAX(this->most, instances);
    this->is_first = this->is_first && incarnation == 1;
    if (MP_FAULT(MP_FAULT_RETRY_FLEET_FORGOTTEN)) {
        this->most = instances;
        this->most_before = 0;
    }
}

uint32_t
MpRetryFleet_Size(const struct MpRetryFleet *this, int64_t window_ms,
                  int64_t now_ms)
{
    uint32_t most = MAX(this->most, this->most_before);
    int64_t wait_ms = 0;
    if (!(this->is_first && most <= MP_RETRY_FLEET_FIRST) &&
        !MP_FAULT(MP_FAULT_RETRY_START_UNAWAITED)) {
        int64_t late_ms =
            window_ms * MP_RETRY_DELAY_SLOTS / MP_RETRY_WINDOW_SLOTS;
        wait_ms = MAX(window_ms + late_ms, MP_RETRY_FLEET_CONTACT_MS) +
                  MP_RETRY_FLEET_SETTLE_MS;
    }
    bool is_lost = now_ms - this->heard_ms >= MP_RETRY_FLEET_CONTACT_MS;
    return is_lost || now_ms - this->since_ms < wait_ms ? 0 : most;
}

/* ---- the budget ---- */

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
    /* The fraction keeps slots even where they are no whole milliseconds. */
    int64_t slot = now_ms * MP_RETRY_WINDOW_SLOTS / MAX(this->window_ms, 1);
    int64_t steps = MIN(slot - this->slot, MP_RETRY_SLOTS);
    for (int64_t i = 0; i < steps; i++) {
        int64_t cleared = (slot - i) % MP_RETRY_SLOTS;
        this->requests[cleared] = 0;
        this->retries[cleared] = 0;
    }
    this->slot = MAX(this->slot, slot);
}

/* Returns the count of the slot that was the newest age slots ago. */
static int64_t
count_at(const struct MpRetryBudget *this, const uint32_t *counts, int64_t age)
{
    return age > this->slot ? 0 : counts[(this->slot - age) % MP_RETRY_SLOTS];
}

/* Returns an instance's share of the slack, in thousandths of a retry. */
static int64_t
slack_share(const struct MpRetryBudget *this, int64_t instances)
{
    return instances > 0
               ? this->slack * PERMILLE / (instances + MP_RETRY_FLEET_MARGIN)
               : 0;
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
    int64_t retries = 1;
    int64_t slack = slack_share(this, instances);
    int64_t part = MP_FAULT(MP_FAULT_RETRY_REQUESTS_TWICE) ? 1 : 2;
    int64_t spans = MP_FAULT(MP_FAULT_RETRY_WINDOW_SHORT)
                        ? MP_RETRY_WINDOW_SLOTS - 1
                        : MP_RETRY_SPANS;
    advance(this, now_ms);
    for (int64_t age = 0; age < MP_RETRY_EARLIER_SLOTS; age++) {
        requests += count_at(this, this->requests, age);
    }
    for (int64_t age = 0; age < spans; age++) {
        retries += count_at(this, this->retries, age);
        requests +=
            count_at(this, this->requests, age + MP_RETRY_EARLIER_SLOTS);
        if (part * (retries * PERMILLE - slack) > requests * this->permille) {
            return false;
        }
    }
    return true;
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
