#include "Input.h"

#include "coordination/RetryBudget.h"

#include <glib.h>
#include <string.h>

/*
 * FuzzRetries - fuzzes the retry budget of one pool on 4 to 300 routers,
 * each with a clock of its own: uneven load that moves and comes in bursts,
 * retries at any time and as many as the budget gives, arrivals that take up
 * to DELAY_MS, requests that are counted up to TRANSIT_MS after they were
 * sent, routers that join, are restarted, stand still or are cut off, and
 * leaders that do not know the routers yet.  Within MP_RETRY_FLEET_SETTLE_MS
 * of the first start of a router the leader does not change and no router is
 * cut off, and it knows MP_RETRY_FLEET_FIRST routers when one joins later;
 * what is not covered by this is named in docs/PLATFORM.md, Retries.
 *
 * Oracle: in each window from each millisecond on, the retries that arrive
 * are at most the slack and the ratio of the requests sent in that window, in
 * the one before, or in the one half a window before.
 */

#define ROUTERS_MAX 300
#define WINDOW_MS 4000
#define DELAY_MS (WINDOW_MS * MP_RETRY_DELAY_SLOTS / MP_RETRY_WINDOW_SLOTS)
#define TRANSIT_MS (WINDOW_MS * MP_RETRY_TRANSIT_SLOTS / MP_RETRY_WINDOW_SLOTS)
#define TICK_MS 20
#define END_MS 40000
/* Time for which the leader counts a router that it does not hear. */
#define TIMEOUT_MS MP_RETRY_FLEET_CONTACT_MS
#define SYNC_MS 500
#define AWAY_MAX_MS 16000
#define CLOCK_MAX_MS 1000000

struct router {
    struct MpRetryBudget budget;
    struct MpRetryFleet fleet;
    uint64_t incarnation; /* 0: never up */
    int64_t clock_ms;     /* ahead of the time of the case */
    int64_t load_permille;
    int64_t away_until_ms;  /* neither told nor counted */
    int64_t still_until_ms; /* sends nothing either */
    int64_t synced_ms;      /* as the leader knows it; -1: never */
    bool is_up;
};

/* What happens for some time. */
struct phase {
    int64_t until_ms;
    uint32_t load;     /* multiple of the load */
    uint32_t from;     /* shifts which routers get it */
    uint32_t part;     /* one router in so many does */
    uint32_t appetite; /* retries wanted in a tick; 255: all */
    bool is_late;      /* all retries arrive at the latest moment */
};

struct fixture {
    struct router routers[ROUTERS_MAX];
    uint32_t count;
    int64_t permille;
    int64_t slack;
    int64_t joined_ms; /* the last time that a router started first */
    struct phase phase;
    GRand *random;
    int64_t now_ms;
    uint32_t requests[END_MS + WINDOW_MS];
    uint32_t retries[END_MS + WINDOW_MS];
};

static int64_t
below(struct fixture *this, int64_t limit)
{
    return g_rand_int_range(this->random, 0, (gint32)limit);
}

static void
start(struct fixture *this, struct router *router)
{
    router->is_up = true;
    router->incarnation++;
    router->clock_ms = below(this, CLOCK_MAX_MS);
    memset(&router->fleet, 0, sizeof(router->fleet));
    MpRetryBudget_Init(&router->budget, WINDOW_MS, this->permille,
                       this->slack);
}

static void
set_up(struct fixture *this, struct FuzzInput *input)
{
    static const uint32_t counts[] = {4, 10, 12, 30, 100, ROUTERS_MAX};
    static const int64_t ratios[] = {0, 100, 200, 200, 500};
    static const int64_t slacks[] = {0, 20, 60, 200};
    this->count = counts[FuzzInput_Below(input, 6)];
    this->permille = ratios[FuzzInput_Below(input, 5)];
    this->slack = slacks[FuzzInput_Below(input, 4)];
    this->random = g_rand_new_with_seed(FuzzInput_Byte(input) * 256u +
                                        FuzzInput_Byte(input));
    /* The rest joins later. */
    uint32_t first = this->count * 2 / 3;
    for (uint32_t i = 0; i < this->count; i++) {
        struct router *router = &this->routers[i];
        router->synced_ms = -1;
        router->load_permille = 10 + below(this, i % 7 == 0 ? 3000 : 300);
        if (i < first) {
            start(this, router);
        }
    }
}

static void
begin_phase(struct fixture *this, struct FuzzInput *input)
{
    static const uint32_t loads[] = {0, 1, 1, 3, 10};
    static const uint32_t appetites[] = {0, 0, 1, 255, 255};
    this->phase = (struct phase){
        .until_ms = this->now_ms + 20 + 20 * FuzzInput_Byte(input),
        .load = loads[FuzzInput_Below(input, 5)],
        .from = FuzzInput_Below(input, 4),
        .part = 1 + FuzzInput_Below(input, 4),
        .appetite = appetites[FuzzInput_Below(input, 5)],
        .is_late = FuzzInput_Below(input, 2)};
}

/* ---- the leader ---- */

static uint32_t
count_routers(const struct fixture *this)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < this->count; i++) {
        int64_t synced_ms = this->routers[i].synced_ms;
        count += synced_ms >= 0 && this->now_ms - synced_ms < TIMEOUT_MS;
    }
    return count;
}

static void
sync_routers(struct fixture *this)
{
    uint32_t count = count_routers(this);
    for (uint32_t i = 0; i < this->count; i++) {
        struct router *router = &this->routers[i];
        if (!router->is_up || router->away_until_ms > this->now_ms ||
            (this->now_ms / TICK_MS + i) % (SYNC_MS / TICK_MS) != 0) {
            continue;
        }
        count += router->synced_ms < 0 ||
                 this->now_ms - router->synced_ms >= TIMEOUT_MS;
        router->synced_ms = this->now_ms;
        MpRetryFleet_Note(&router->fleet, count, router->incarnation,
                          this->now_ms + router->clock_ms);
    }
}

/* ---- faults ---- */

static bool
is_any_away(const struct fixture *this)
{
    for (uint32_t i = 0; i < this->count; i++) {
        if (this->routers[i].away_until_ms + SYNC_MS > this->now_ms) {
            return true;
        }
    }
    return false;
}

static void
disturb_router(struct fixture *this, struct router *router, uint32_t kind,
               int64_t away_ms)
{
    if ((kind == 1 && !router->is_up) || (kind == 3 && router->is_up)) {
        start(this, router);
    }
    if (kind == 4 || kind == 5) {
        router->away_until_ms = this->now_ms + away_ms;
    }
    if (kind == 5) {
        router->still_until_ms = this->now_ms + away_ms;
    }
}

static void
disturb(struct fixture *this, struct FuzzInput *input)
{
    uint32_t kind = FuzzInput_Below(input, 20);
    uint32_t part = 1 + FuzzInput_Below(input, 4);
    uint32_t from = FuzzInput_Byte(input);
    int64_t away_ms = below(this, AWAY_MAX_MS);
    if ((kind == 0 || kind == 4 || kind == 5) &&
        this->now_ms - this->joined_ms < MP_RETRY_FLEET_SETTLE_MS) {
        return;
    }
    if (kind == 1 &&
        (count_routers(this) < MP_RETRY_FLEET_FIRST || is_any_away(this))) {
        return;
    }
    if (kind == 1) {
        this->joined_ms = this->now_ms;
    }
    if (kind == 0) {
        for (uint32_t i = 0; i < this->count; i++) {
            this->routers[i].synced_ms = -1;
        }
    }
    for (uint32_t i = from % part; i < this->count; i += part) {
        disturb_router(this, &this->routers[i], kind, away_ms);
    }
}

/* ---- requests and retries ---- */

static void
run_router(struct fixture *this, uint32_t number)
{
    const struct phase *phase = &this->phase;
    struct router *router = &this->routers[number];
    int64_t clock_ms = this->now_ms + router->clock_ms;
    bool is_loaded = (number + phase->from) % phase->part == 0;
    int64_t permille =
        router->load_permille * (is_loaded ? phase->load : 1) / 4;
    int64_t requests = permille / 1000 + (below(this, 1000) < permille % 1000);
    for (int64_t i = 0; i < requests; i++) {
        int64_t sent_ms = this->now_ms - below(this, TRANSIT_MS);
        this->requests[MAX(sent_ms, 0)]++;
        MpRetryBudget_CountRequest(&router->budget, clock_ms);
    }
    for (uint32_t i = 0; i < phase->appetite; i++) {
        uint32_t size = MpRetryFleet_Size(&router->fleet, WINDOW_MS, clock_ms);
        if (!MpRetryBudget_Take(&router->budget, size, clock_ms)) {
            break;
        }
        int64_t delay_ms =
            phase->is_late ? DELAY_MS - 1 : below(this, DELAY_MS);
        this->retries[this->now_ms + delay_ms]++;
    }
}

/* ---- oracle ---- */

static int64_t
sum_window(const int64_t *sums, int64_t from_ms)
{
    int64_t last_ms = END_MS + WINDOW_MS;
    int64_t to_ms = CLAMP(from_ms + WINDOW_MS, 0, last_ms);
    return sums[to_ms] - sums[CLAMP(from_ms, 0, last_ms)];
}

static void
check(struct fixture *this)
{
    int64_t *requests = g_new0(int64_t, END_MS + WINDOW_MS + 1);
    int64_t *retries = g_new0(int64_t, END_MS + WINDOW_MS + 1);
    for (int64_t t = 0; t < END_MS + WINDOW_MS; t++) {
        requests[t + 1] = requests[t] + this->requests[t];
        retries[t + 1] = retries[t] + this->retries[t];
    }
    for (int64_t t = 0; t < END_MS; t++) {
        int64_t most = MAX(MAX(sum_window(requests, t - WINDOW_MS),
                               sum_window(requests, t - WINDOW_MS / 2)),
                           sum_window(requests, t));
        int64_t seen = sum_window(retries, t);
        if (seen * 1000 > most * this->permille + this->slack * 1000) {
            Fuzz_Fail("%u routers: %ld retries from %ld ms for %ld requests, "
                      "ratio %ld/1000, slack %ld",
                      this->count, (long)seen, (long)t, (long)most,
                      (long)this->permille, (long)this->slack);
        }
    }
    g_free(requests);
    g_free(retries);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct FuzzInput input = {.data = data, .size = size};
    struct fixture *this = g_new0(struct fixture, 1);
    set_up(this, &input);
    for (; this->now_ms < END_MS; this->now_ms += TICK_MS) {
        Fuzz_Steps++;
        if (this->now_ms >= this->phase.until_ms) {
            begin_phase(this, &input);
        }
        if (this->now_ms % 200 == 0) {
            disturb(this, &input);
        }
        sync_routers(this);
        for (uint32_t i = 0; i < this->count; i++) {
            if (this->routers[i].is_up &&
                this->routers[i].still_until_ms <= this->now_ms) {
                run_router(this, i);
            }
        }
    }
    check(this);
    g_rand_free(this->random);
    g_free(this);
    return 0;
}
