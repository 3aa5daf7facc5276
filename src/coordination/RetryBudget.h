#ifndef MP_COORDINATION_RETRY_BUDGET_H
#define MP_COORDINATION_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/*
 * MpRetryBudget - limit on the retries that one instance sends to one pool.
 *
 * The retries of all instances that arrive in any window [a, a + W) are at
 * most slack plus permille of the requests in [a - W, a) or of those in
 * [a, a + W), whichever are more.  To keep this without communication, each
 * instance allows itself its share of the slack plus permille of half of its
 * own requests in [a - W, a + W): the sum of all instances is then at most
 * the mean of the two windows, however load, clocks and windows of the
 * instances lie.  A retry is taken only if this holds for each a that it
 * counts for.
 *
 * A retry may arrive MP_RETRY_DELAY_SLOTS after it was taken, and a request
 * may be counted MP_RETRY_TRANSIT_SLOTS after it was sent.
 */

/* Slots that a window is divided into. */
#define MP_RETRY_WINDOW_SLOTS 40
/* From taking a retry to its arrival at the target: 0.5 s of 10 s. */
#define MP_RETRY_DELAY_SLOTS 2
/* From sending a request to its being counted: 0.25 s of 10 s. */
#define MP_RETRY_TRANSIT_SLOTS 1
/* Spans of slots, up to the newest, that a retry is checked for: the window,
 * the delay, and the slot in which the longest of them begins. */
#define MP_RETRY_SPANS (MP_RETRY_WINDOW_SLOTS + MP_RETRY_DELAY_SLOTS + 1)
/* Whole slots of requests that count in addition to those of a span: the
 * window before, without what the delays leave uncertain. */
#define MP_RETRY_EARLIER_SLOTS                                                \
    (MP_RETRY_WINDOW_SLOTS - MP_RETRY_DELAY_SLOTS - MP_RETRY_TRANSIT_SLOTS - 1)
#define MP_RETRY_SLOTS (MP_RETRY_SPANS + MP_RETRY_EARLIER_SLOTS)

/* For how long the largest number of instances is remembered, at least, ms. */
#define MP_RETRY_FLEET_MEMORY_MS 600000
/* An instance uses no share of the slack after this long without an answer of
 * the leader, ms; not longer than the leader counts it. */
#define MP_RETRY_FLEET_CONTACT_MS 10000
/* Time in which all instances hear of a new one, or a new leader of all, ms.
 */
#define MP_RETRY_FLEET_SETTLE_MS 1000
/* The first instances of a fleet do not wait for their shares. */
#define MP_RETRY_FLEET_FIRST 4
/* Added to the number of instances by which the slack is divided: if each of
 * the first four counts only itself and those before it, they have 1/3, 1/4,
 * 1/5 and 1/6 of it. */
#define MP_RETRY_FLEET_MARGIN 2

/*
 * MpRetryFleet - how many instances share the slack.
 *
 * An instance cannot know what an earlier incarnation of it has used, and the
 * others do not count it yet.  It uses its share only once it has been in
 * contact with the leader for a window and the delay, so that no window holds
 * retries by the slack from two incarnations, or from one that the others did
 * not count.  First incarnations in a fleet of up to MP_RETRY_FLEET_FIRST do
 * not wait.  Times are on a clock that goes on while the process stands still.
 */
struct MpRetryFleet {
    int64_t since_ms; /* in contact since then */
    int64_t heard_ms; /* when the last call that was answered was sent */
    int64_t period;   /* of length MP_RETRY_FLEET_MEMORY_MS */
    uint32_t most;    /* largest number of instances in this period */
    uint32_t most_before;
    bool is_first; /* first incarnation, and first contact */
};

struct MpRetryBudget {
    int64_t window_ms;
    int64_t permille; /* retries per 1000 requests */
    int64_t slack;    /* further retries that the whole fleet may send */
    int64_t slot;     /* number of the newest slot, counted from time 0 */
    uint32_t requests[MP_RETRY_SLOTS];
    uint32_t retries[MP_RETRY_SLOTS];
};

/* Notes an answer of the leader to a call sent at heard_ms: the number of
 * instances that it counts, and that of this incarnation of the instance, from
 * 1; 0 for none yet. */
void MpRetryFleet_Note(struct MpRetryFleet *this, uint32_t instances,
                       uint64_t incarnation, int64_t heard_ms);

/* Returns the number of instances that share the slack, 0 if this one has no
 * share now; window_ms is that of the budget. */
uint32_t MpRetryFleet_Size(const struct MpRetryFleet *this, int64_t window_ms,
                           int64_t now_ms);

void MpRetryBudget_Init(struct MpRetryBudget *this, int64_t window_ms,
                        int64_t permille, int64_t slack);

/* Counts a request. */
void MpRetryBudget_CountRequest(struct MpRetryBudget *this, int64_t now_ms);

/* Takes one retry from the budget; instances is the number of instances that
 * share the slack, 0 for none of the slack.  Returns false when the budget is
 * used up. */
bool MpRetryBudget_Take(struct MpRetryBudget *this, uint32_t instances,
                        int64_t now_ms);

/* Returns whether MpRetryBudget_Take would succeed now. */
bool MpRetryBudget_MayRetry(struct MpRetryBudget *this, uint32_t instances,
                            int64_t now_ms);

#endif
