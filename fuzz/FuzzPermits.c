#include "Input.h"

#include "coordination/Lenders.h"
#include "coordination/Permits.h"

#include <glib.h>
#include <string.h>

/*
 * FuzzPermits - fuzzes the permits for one target that names a limit, with 10
 * to 300 routers that always have something to send, their keepers, messages
 * that take up to JITTER_MS, routers that restart, and routers that cannot
 * reach a keeper.  Answers overtake each other.
 *
 * Oracle, from what arrives at the target: from SETTLE_MS on, 3 s after it
 * first named its limit, no 4 s have more requests than it allows; while all
 * keepers can be reached, nine tenths of that; AFTER_MS after it stopped, no
 * router holds requests back.
 */

#define ROUTERS_MAX 300
#define TICK_MS 5
#define JITTER_MS 20
#define ANSWER_MAX_MS 400
/* One answer in LATE_ANSWERS takes up to this long, ms. */
#define LATE_ANSWER_MAX_MS 5000
#define LATE_ANSWERS 50
#define BEGIN_MS 1000
#define SETTLE_MS 4000
#define LIMITED_MS 24000
#define AFTER_MS 6000
#define WINDOW_MS 4000
/* Interval at which the leader tells all routers. */
#define SPREAD_MS 700
#define TARGET "target"
#define AHEAD_MS 150

struct router {
    char address[16];
    struct MpPermits permits;
    struct MpTargetLimit limit;
    int64_t keeper_ms[MP_KEEPERS_MAX];
    int64_t asked_ms; /* last answer of a keeper */
    int64_t down_until_ms;
    bool is_cut; /* reaches no other router */
};

struct answer {
    uint32_t router;
    int64_t sent_ms;
    int64_t at_ms;
    int64_t rate_mrps;
};

struct fixture {
    struct router routers[ROUTERS_MAX];
    uint32_t count;
    uint32_t keepers[MP_KEEPERS_MAX]; /* indices of routers */
    uint32_t keeper_count;
    struct MpLenders lenders;
    struct MpTargetLimit leader;
    GRand *random;
    GArray *answers;  /* of struct answer, under way */
    GArray *arrivals; /* of int64_t, sorted */
    GArray *pending;  /* of struct answer: to be sent at at_ms */
    int64_t rate_mrps;
    int64_t demand_permille; /* of a router, per tick */
    int64_t now_ms;
    int64_t end_ms; /* of the limit */
    bool has_faults;
};

static bool
is_up(const struct fixture *this, uint32_t router)
{
    return this->routers[router].down_until_ms <= this->now_ms;
}

static void
set_up(struct fixture *this, struct FuzzInput *input)
{
    static const char *const zones[] = {"a", "b", "c"};
    static const uint32_t counts[] = {1, 10, 30, ROUTERS_MAX};
    struct mp_lender peers[ROUTERS_MAX];
    this->count = counts[FuzzInput_Below(input, 4)];
    this->rate_mrps = 2000 + 250 * (int64_t)FuzzInput_Below(input, 32);
    this->has_faults = FuzzInput_Below(input, 2);
    this->demand_permille = 1 + 4000 / this->count;
    this->random = g_rand_new_with_seed(FuzzInput_Byte(input) * 256u +
                                        FuzzInput_Byte(input));
    this->leader = (struct MpTargetLimit)MP_TARGET_LIMIT_INIT;
    this->answers = g_array_new(false, false, sizeof(struct answer));
    this->pending = g_array_new(false, false, sizeof(struct answer));
    this->arrivals = g_array_new(false, false, sizeof(int64_t));
    for (uint32_t i = 0; i < this->count; i++) {
        struct router *router = &this->routers[i];
        g_snprintf(router->address, sizeof(router->address), "10.0.0.%u", i);
        MpPermits_Init(&router->permits);
        router->limit = (struct MpTargetLimit)MP_TARGET_LIMIT_INIT;
        peers[i] = (struct mp_lender){.address = router->address,
                                      .zone = (char *)zones[i % 3],
                                      .lends = true};
    }
    MpLenders_Init(&this->lenders, this->routers[0].address, "a");
    MpLenders_SetPeers(&this->lenders, peers, this->count);
    GPtrArray *keepers = g_ptr_array_new();
    MpLenders_ListKeepers(&this->lenders, TARGET, keepers);
    this->keeper_count = keepers->len;
    for (guint k = 0; k < keepers->len; k++) {
        for (uint32_t i = 0; i < this->count; i++) {
            if (strcmp(this->routers[i].address,
                       g_ptr_array_index(keepers, k)) == 0) {
                this->keepers[k] = i;
            }
        }
    }
    g_ptr_array_unref(keepers);
}

static void
tear_down(struct fixture *this)
{
    for (uint32_t i = 0; i < this->count; i++) {
        MpPermits_Done(&this->routers[i].permits);
    }
    MpLenders_Done(&this->lenders);
    g_array_unref(this->answers);
    g_array_unref(this->pending);
    g_array_unref(this->arrivals);
    g_rand_free(this->random);
}

/* ---- requests ---- */

static void
arrive(struct fixture *this, uint32_t router, int64_t at_ms)
{
    bool is_late = g_rand_int_range(this->random, 0, LATE_ANSWERS) == 0;
    int32_t took_max_ms = is_late ? LATE_ANSWER_MAX_MS : ANSWER_MAX_MS;
    struct answer answer = {
        .router = router,
        .sent_ms = at_ms,
        .at_ms = at_ms + 1 + g_rand_int_range(this->random, 0, took_max_ms),
        .rate_mrps = at_ms >= BEGIN_MS && at_ms < this->end_ms
                         ? this->rate_mrps
                         : MP_LIMIT_NONE};
    g_array_append_val(this->arrivals, at_ms);
    g_array_append_val(this->answers, answer);
}

static void
take_answers(struct fixture *this)
{
    for (guint i = 0; i < this->answers->len;) {
        const struct answer *answer =
            &g_array_index(this->answers, struct answer, i);
        if (answer->at_ms > this->now_ms) {
            i++;
            continue;
        }
        if (is_up(this, answer->router)) {
            MpTargetLimit_Note(&this->routers[answer->router].limit,
                               answer->rate_mrps, answer->sent_ms,
                               answer->at_ms);
            if (!this->routers[answer->router].is_cut) {
                MpTargetLimit_Note(&this->leader, answer->rate_mrps,
                                   answer->sent_ms, answer->at_ms);
            }
        }
        g_array_remove_index_fast(this->answers, i);
    }
}

static void
send_pending(struct fixture *this)
{
    for (guint i = 0; i < this->pending->len;) {
        const struct answer *pending =
            &g_array_index(this->pending, struct answer, i);
        if (pending->at_ms > this->now_ms) {
            i++;
            continue;
        }
        if (is_up(this, pending->router)) {
            arrive(this, pending->router, this->now_ms);
        }
        g_array_remove_index_fast(this->pending, i);
    }
}

/* Asks one keeper; returns whether it granted a permit. */
static bool
ask(struct fixture *this, uint32_t number, uint32_t share)
{
    struct router *router = &this->routers[number];
    struct router *keeper = &this->routers[this->keepers[share]];
    bool is_remote = keeper != router;
    if (is_remote && (router->is_cut || keeper->is_cut ||
                      !is_up(this, this->keepers[share]))) {
        router->keeper_ms[share] = this->now_ms + 500;
        return false;
    }
    MpTargetLimit_Note(&keeper->limit, router->limit.rate_mrps,
                       router->limit.sent_ms, router->limit.received_ms);
    struct MpPermitQuery query = {.incarnation = TARGET,
                                  .limit = keeper->limit,
                                  .shares = this->keeper_count,
                                  .share = (int32_t)share,
                                  .ahead_ms = AHEAD_MS};
    struct MpPermitAnswer answer;
    MpPermits_Ask(&keeper->permits, &query, this->now_ms, &answer);
    MpTargetLimit_Note(&router->limit, answer.limit.rate_mrps,
                       answer.limit.sent_ms, answer.limit.received_ms);
    int64_t reply_ms =
        is_remote ? g_rand_int_range(this->random, 0, JITTER_MS) : 0;
    if (!answer.is_granted) {
        router->keeper_ms[share] = this->now_ms + answer.wait_ms;
        return false;
    }
    struct answer pending = {
        .router = number, .at_ms = this->now_ms + answer.wait_ms + reply_ms};
    g_array_append_val(this->pending, pending);
    return true;
}

static void
request(struct fixture *this, uint32_t number)
{
    struct router *router = &this->routers[number];
    if (router->limit.rate_mrps == MP_LIMIT_NONE) {
        arrive(this, number, this->now_ms);
        return;
    }
    for (uint32_t share = 0; share < this->keeper_count; share++) {
        if (router->keeper_ms[share] <= this->now_ms &&
            ask(this, number, share)) {
            return;
        }
    }
}

/* ---- faults ---- */

static void
restart(struct fixture *this, uint32_t number)
{
    struct router *router = &this->routers[number];
    MpPermits_Done(&router->permits);
    MpPermits_Init(&router->permits);
    router->down_until_ms =
        this->now_ms + g_rand_int_range(this->random, 0, 1000);
    memset(router->keeper_ms, 0, sizeof(router->keeper_ms));
}

static void
disturb(struct fixture *this)
{
    uint32_t number =
        (uint32_t)g_rand_int_range(this->random, 0, (gint32)this->count);
    if (g_rand_int_range(this->random, 0, 2) == 0) {
        number = this->keepers[g_rand_int_range(this->random, 0,
                                                (gint32)this->keeper_count)];
    }
    if (g_rand_int_range(this->random, 0, 2) == 0) {
        restart(this, number);
    }
    else {
        this->routers[number].is_cut = !this->routers[number].is_cut;
    }
}

/* The leader tells all connected routers what it knows. */
static void
spread(struct fixture *this)
{
    for (uint32_t i = 0; i < this->count; i++) {
        if (!this->routers[i].is_cut && is_up(this, i)) {
            MpTargetLimit_Note(&this->routers[i].limit, this->leader.rate_mrps,
                               this->leader.sent_ms, this->leader.received_ms);
        }
    }
}

/* ---- oracle ---- */

static gint
compare_times(gconstpointer a, gconstpointer b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;
    return x < y ? -1 : x > y;
}

static uint32_t
count_between(const struct fixture *this, int64_t from_ms, int64_t to_ms)
{
    uint32_t count = 0;
    for (guint i = 0; i < this->arrivals->len; i++) {
        int64_t at_ms = g_array_index(this->arrivals, int64_t, i);
        count += at_ms >= from_ms && at_ms < to_ms;
    }
    return count;
}

static void
check(struct fixture *this)
{
    int64_t allowed = this->rate_mrps * WINDOW_MS / 1000000;
    g_array_sort(this->arrivals, compare_times);
    for (guint i = 0; i + (guint)allowed < this->arrivals->len; i++) {
        int64_t from_ms = g_array_index(this->arrivals, int64_t, i);
        int64_t to_ms =
            g_array_index(this->arrivals, int64_t, i + (guint)allowed);
        if (from_ms >= SETTLE_MS && to_ms < this->end_ms &&
            to_ms - from_ms < WINDOW_MS) {
            Fuzz_Fail("%u routers, limit %ld/1000: %ld requests from %ld ms "
                      "to %ld ms",
                      this->count, (long)this->rate_mrps, (long)allowed + 1,
                      (long)from_ms, (long)to_ms);
        }
    }
    uint32_t used = count_between(this, SETTLE_MS, this->end_ms);
    int64_t wanted =
        this->rate_mrps * (this->end_ms - SETTLE_MS) / 1000000 * 9 / 10;
    if (!this->has_faults && used < wanted) {
        Fuzz_Fail("%u routers, limit %ld/1000: %u of %ld requests used",
                  this->count, (long)this->rate_mrps, used, (long)wanted);
    }
    for (uint32_t i = 0; i < this->count; i++) {
        const struct router *router = &this->routers[i];
        if (!this->has_faults && router->limit.rate_mrps != MP_LIMIT_NONE) {
            Fuzz_Fail("%u routers: router %u still holds requests back",
                      this->count, i);
        }
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct FuzzInput input = {.data = data, .size = size};
    struct fixture *this = g_new0(struct fixture, 1);
    this->end_ms = LIMITED_MS;
    set_up(this, &input);
    for (; this->now_ms < LIMITED_MS + AFTER_MS; this->now_ms += TICK_MS) {
        Fuzz_Steps++;
        if (this->now_ms % SPREAD_MS == 0) {
            spread(this);
        }
        take_answers(this);
        send_pending(this);
        for (uint32_t i = 0; i < this->count; i++) {
            if (is_up(this, i) && g_rand_int_range(this->random, 0, 10000) <
                                      this->demand_permille) {
                request(this, i);
            }
        }
        if (this->has_faults && this->now_ms > SPREAD_MS &&
            g_rand_int_range(this->random, 0, 200) == 0) {
            disturb(this);
        }
    }
    check(this);
    tear_down(this);
    g_free(this);
    return 0;
}
