#include "coordination/InstanceLoad.h"

#include <string.h>

/* What an instance at the limit of its machine refuses, in replays of load on
 * a link with a queue; without a network. */

#define STEP_MS 50
/* 7.5 Mbit/s. */
#define LINK_BYTES_PER_S 937500
#define BODY_BYTES 2500
#define ANSWER_BYTES 2500

/* A link in one direction: bytes wait in its queue. */
struct link {
    double queue;
};

static double
carry(struct link *link, double bytes, int64_t elapsed_ms)
{
    double most = (double)LINK_BYTES_PER_S * (double)elapsed_ms / 1000;
    link->queue += bytes;
    double carried = MIN(link->queue, most);
    link->queue -= carried;
    return carried;
}

static double
delay_ms(const struct link *link)
{
    return link->queue * 1000 / LINK_BYTES_PER_S;
}

struct replay {
    struct MpInstanceLoad load;
    struct MpLoadSample totals;
    struct link in;
    struct link out;
    GRand *random;
    int64_t now_ms;
    double arrived; /* parts of requests */
    double answers; /* bytes that targets send */
    double callers; /* connections */
    uint32_t admitted[MP_LOAD_RANKS];
    uint32_t asked[MP_LOAD_RANKS];
    double worst_in_ms;
    double worst_out_ms;
    int64_t away_ms;
};

static void
replay_init(struct replay *this, const struct MpMachineLimits *limits)
{
    *this =
        (struct replay){.random = g_rand_new_with_seed(1), .now_ms = 1000000};
    this->totals.instances = 89;
    this->totals.callers = 100;
    MpInstanceLoad_Init(&this->load, limits);
    MpInstanceLoad_Sample(&this->load, &this->totals, 0.5, this->now_ms);
}

static void
replay_done(struct replay *this)
{
    MpInstanceLoad_Done(&this->load);
    g_rand_free(this->random);
}

static bool
ask(struct replay *this, const char *workspace, int64_t rank,
    struct MpLoadVerdict *verdict)
{
    const struct MpLoadRequest request = {.workspace = workspace,
                                          .rank = rank,
                                          .body_bytes = BODY_BYTES,
                                          .left_ms = 1000};
    const double random[2] = {g_rand_double(this->random),
                              g_rand_double(this->random)};
    MpInstanceLoad_Admit(&this->load, &request, random, this->now_ms, verdict);
    this->asked[rank]++;
    this->admitted[rank] += verdict->is_admitted;
    return verdict->is_admitted;
}

/* One step of the load, for requests of all ranks in turn. */
static void
step(struct replay *this, double requests_per_s, const char *const *workspaces)
{
    double in = this->answers + requests_per_s * STEP_MS / 1000 * BODY_BYTES;
    double out = 0;
    this->answers = 0;
    in = carry(&this->in, in, STEP_MS);
    this->totals.received_bytes += (uint64_t)in;
    this->arrived += requests_per_s * STEP_MS / 1000;
    for (uint32_t i = 0; this->arrived >= 1; i++, this->arrived -= 1) {
        struct MpLoadVerdict verdict;
        if (ask(this, workspaces[i % 4], i % MP_LOAD_RANKS, &verdict)) {
            out += BODY_BYTES + ANSWER_BYTES;
            this->answers += ANSWER_BYTES;
        }
        else {
            out += 300;
        }
    }
    /* The system takes all writes at once. */
    this->totals.sent_bytes += (uint64_t)out;
    carry(&this->out, out, STEP_MS);
    this->worst_in_ms = MAX(this->worst_in_ms, delay_ms(&this->in));
    this->worst_out_ms = MAX(this->worst_out_ms, delay_ms(&this->out));
    this->now_ms += STEP_MS;
    MpInstanceLoad_Sample(&this->load, &this->totals,
                          g_rand_double(this->random), this->now_ms);
    this->away_ms += this->load.is_away ? STEP_MS : 0;
}

static const struct MpMachineLimits small = {.link_bytes_per_s =
                                                 LINK_BYTES_PER_S};
static const char *const four[] = {"w1", "w2", "w3", "w4"};
static const char *const greedy[] = {"w1", "w1", "w1", "w2"};

static void
test_without_limits_all_is_admitted(void)
{
    struct replay replay;
    replay_init(&replay, &(struct MpMachineLimits){0});
    for (int i = 0; i < 200; i++) {
        step(&replay, 2000, four);
    }
    for (int rank = 0; rank < MP_LOAD_RANKS; rank++) {
        g_assert_cmpuint(replay.admitted[rank], ==, replay.asked[rank]);
    }
    g_assert_false(MpInstanceLoad_IsSaturated(&replay.load, replay.now_ms));
    g_assert_true(MpInstanceLoad_IsInRotation(&replay.load));
    replay_done(&replay);
}

static void
test_usual_load_is_admitted(void)
{
    struct replay replay;
    replay_init(&replay, &small);
    for (int i = 0; i < 400; i++) {
        step(&replay, 80, four);
    }
    for (int rank = 0; rank < MP_LOAD_RANKS; rank++) {
        g_assert_cmpuint(replay.admitted[rank], ==, replay.asked[rank]);
    }
    g_assert_cmpint(replay.away_ms, ==, 0);
    replay_done(&replay);
}

/* Guards against a full link: 1.7 times what it bears after a quiet time. */
static void
test_burst_leaves_no_queue(void)
{
    struct replay replay;
    replay_init(&replay, &small);
    for (int i = 0; i < 40; i++) {
        step(&replay, 40, four);
    }
    for (int i = 0; i < 400; i++) {
        step(&replay, 200, four);
    }
    /* The link bears 187 such requests a second each way, but the bodies of
     * those that are refused use the way in.  Nothing waits for long, and the
     * rest of the link is used. */
    g_assert_cmpfloat(replay.worst_in_ms, <, 100);
    g_assert_cmpfloat(replay.worst_out_ms, <, 150);
    uint32_t sum = 0;
    for (int rank = 0; rank < MP_LOAD_RANKS; rank++) {
        sum += replay.admitted[rank];
    }
    g_assert_cmpuint(sum, >, 20 * 200 / 2);
    g_assert_cmpuint(replay.admitted[0], >, replay.admitted[1]);
    g_assert_cmpuint(replay.admitted[1], >, replay.admitted[2]);
    replay_done(&replay);
}

/* Guards against one workspace that takes the room of the others. */
static void
test_greedy_workspace_yields_first(void)
{
    struct MpInstanceLoad load;
    struct MpLoadVerdict verdict;
    uint32_t refused[2] = {0, 0};
    MpInstanceLoad_Init(&load, &small);
    GRand *random = g_rand_new_with_seed(2);
    load.sampled_ms = 1;
    load.used[MP_LOAD_LINK_OUT] = 0.87;
    for (int i = 0; i < 4000; i++) {
        bool is_greedy = i % 10 != 0;
        struct MpLoadRequest request = {
            .workspace = is_greedy ? "w1" : four[1 + i / 10 % 3],
            .rank = 0,
            .body_bytes = BODY_BYTES,
            .left_ms = 1000};
        const double numbers[2] = {g_rand_double(random), 0};
        load.promised_bytes = 0;
        MpInstanceLoad_Admit(&load, &request, numbers, 1000 + i, &verdict);
        refused[is_greedy] += !verdict.is_admitted;
    }
    g_assert_cmpuint(refused[0], ==, 0);
    g_assert_cmpuint(refused[1], >, 1000);
    g_rand_free(random);
    MpInstanceLoad_Done(&load);
}

/* Guards against refusals after which all callers come back at once, or whose
 * Retry-After a caller does not honour. */
static void
test_retries_are_spread_and_short(void)
{
    struct replay replay;
    struct MpLoadVerdict verdict;
    bool seen[MP_LOAD_RETRY_MAX_MS + 1] = {false};
    uint32_t different = 0;
    replay_init(&replay, &small);
    replay.load.used[MP_LOAD_LINK_OUT] = 1.1;
    for (int i = 0; i < 2000; i++) {
        g_assert_false(ask(&replay, "w1", 0, &verdict));
        g_assert_cmpint(verdict.retry_after_ms, >=, 1);
        g_assert_cmpint(verdict.retry_after_ms, <=, MP_LOAD_RETRY_MAX_MS);
        different += !seen[verdict.retry_after_ms];
        seen[verdict.retry_after_ms] = true;
    }
    g_assert_cmpuint(different, >, 30);
    const struct MpLoadRequest late = {.left_ms = 30};
    const double random[2] = {0, 0.99};
    MpInstanceLoad_Admit(&replay.load, &late, random, replay.now_ms, &verdict);
    g_assert_cmpint(verdict.retry_after_ms, <=, 10);
    replay_done(&replay);
}

/* Guards against an instance that is out of rotation for an eighth of the
 * time, or never comes back. */
static void
test_absence_is_bounded(void)
{
    struct replay replay;
    replay_init(&replay, &small);
    for (int i = 0; i < 20 * 240; i++) {
        step(&replay, 400, four);
    }
    int64_t took_ms = replay.now_ms - 1000000;
    g_assert_cmpint(replay.away_ms, >, 3000);
    g_assert_cmpint(replay.away_ms, <, MP_LOAD_AWAY_MAX_MS + took_ms / 8);
    /* The callers have gone, with what waited on the link. */
    replay.in.queue = 0;
    for (int i = 0; i < 20 * 10; i++) {
        step(&replay, 10, four);
    }
    g_assert_true(MpInstanceLoad_IsInRotation(&replay.load));
    g_assert_false(MpInstanceLoad_IsSaturated(&replay.load, replay.now_ms));
    replay_done(&replay);
}

/* Guards against closing the connections of callers that would come straight
 * back, and against moving all of them at once. */
static void
test_callers_move_only_when_noticed(void)
{
    struct replay replay;
    uint32_t moved = 0;
    replay_init(&replay, &small);
    while (!replay.load.is_away) {
        g_assert_false(MpInstanceLoad_ShouldMove(&replay.load, 0.9));
        step(&replay, 400, greedy);
    }
    int64_t left_ms = replay.now_ms;
    while (replay.now_ms - left_ms < MP_LOAD_NOTICED_MS) {
        g_assert_false(MpInstanceLoad_ShouldMove(&replay.load, 0.9));
        step(&replay, 400, greedy);
    }
    for (int i = 0; i < 20; i++) {
        for (int j = 0; j < 20; j++) {
            moved += MpInstanceLoad_ShouldMove(&replay.load,
                                               g_rand_double(replay.random));
        }
        step(&replay, 400, greedy);
    }
    /* In one second, of 100. */
    g_assert_cmpuint(moved, >, 10);
    g_assert_cmpuint(moved, <, 40);
    replay_done(&replay);
}

/* Guards against requests that wait on a full link while their callers go
 * slowly: with a queue most connections are closed within a second. */
static void
test_callers_move_fast_from_a_queue(void)
{
    struct replay replay;
    uint32_t moved = 0;
    replay_init(&replay, &small);
    while (!MpInstanceLoad_IsNoticed(&replay.load, replay.now_ms)) {
        step(&replay, 400, greedy);
    }
    for (int i = 0; i < 20; i++) {
        MpInstanceLoad_StartConnect(&replay.load);
        MpInstanceLoad_EndConnect(&replay.load, 900, replay.now_ms);
        step(&replay, 400, greedy);
        moved += MpInstanceLoad_TakeIdleMoves(&replay.load, 2);
        for (int j = 0; j < 20; j++) {
            moved += MpInstanceLoad_ShouldMove(&replay.load,
                                               g_rand_double(replay.random));
        }
    }
    g_assert_cmpuint(moved, >, 60);
    g_assert_cmpuint(moved, ==, replay.load.moved);
    replay_done(&replay);
}

#define HERD 8
#define HERD_CALLERS 100
#define HERD_REQUESTS_PER_S 4

/* Returns the instance to which the load balancer sends new connections of the
 * workspace: the first that it takes for ready. */
static int
balance(const struct replay *herd)
{
    for (int i = 0; i < HERD; i++) {
        const struct MpInstanceLoad *load = &herd[i].load;
        if (!load->is_away || herd[i].now_ms - load->away_since_ms < 1500) {
            return i;
        }
    }
    return 0;
}

/* Guards against a herd that moves on as a whole, and against an instance that
 * takes it back: the callers of one workspace, with twice what the link of one
 * instance bears, spread over as many as they need, and stay there. */
static void
test_herd_spreads(void)
{
    struct replay herd[HERD];
    double late_in_ms = 0;
    uint32_t refused = 0;
    for (int i = 0; i < HERD; i++) {
        replay_init(&herd[i], &small);
    }
    herd[0].callers = HERD_CALLERS;
    for (int at = 0; at < 60 * 1000 / STEP_MS; at++) {
        for (int i = 0; i < HERD; i++) {
            struct replay *replay = &herd[i];
            double requests_per_s = replay->callers * HERD_REQUESTS_PER_S;
            replay->totals.callers = (int64_t)replay->callers + 1;
            uint32_t answers = (uint32_t)(requests_per_s * STEP_MS / 1000);
            for (uint32_t j = 0; j < answers && replay->callers >= 1; j++) {
                if (MpInstanceLoad_ShouldMove(&replay->load,
                                              g_rand_double(replay->random))) {
                    replay->callers--;
                    herd[balance(herd)].callers++;
                }
            }
            step(replay, replay->callers * HERD_REQUESTS_PER_S, greedy);
            if (at > 30 * 1000 / STEP_MS) {
                late_in_ms = MAX(late_in_ms, delay_ms(&replay->in));
            }
        }
    }
    for (int i = 0; i < HERD; i++) {
        g_test_message(
            "instance %d: callers %.0f link in %.2f worst queue "
            "%.0f ms admitted %u of %u away %d",
            i, herd[i].callers, herd[i].load.used[0], herd[i].worst_in_ms,
            herd[i].admitted[0] + herd[i].admitted[1] + herd[i].admitted[2],
            herd[i].asked[0] + herd[i].asked[1] + herd[i].asked[2],
            herd[i].load.is_away);
        refused += herd[i].asked[0] - herd[i].admitted[0];
        if (i > 0) {
            g_assert_cmpfloat(herd[i].worst_in_ms, <, 300);
        }
        replay_done(&herd[i]);
    }
    g_test_message("refused of rank 0: %u", refused);
    g_assert_cmpfloat(late_in_ms, <, 100);
}

/* Guards against connect timeouts of an overloaded instance that are taken for
 * lost paths, and against lost paths that are taken for overload. */
static void
test_timeouts_are_own_only_when_saturated(void)
{
    struct replay replay;
    replay_init(&replay, &small);
    for (int i = 0; i < 20; i++) {
        MpInstanceLoad_StartConnect(&replay.load);
        MpInstanceLoad_EndConnect(&replay.load, 300, replay.now_ms);
        step(&replay, 40, four);
        g_assert_false(
            MpInstanceLoad_IsSaturated(&replay.load, replay.now_ms));
    }
    for (int i = 0; i < 20; i++) {
        step(&replay, 400, four);
    }
    g_assert_true(MpInstanceLoad_IsSaturated(&replay.load, replay.now_ms));
    /* The callers have given up, and the link still has their bodies. */
    int64_t until_ms = replay.now_ms + 1500;
    while (replay.now_ms < until_ms) {
        MpInstanceLoad_StartConnect(&replay.load);
        MpInstanceLoad_EndConnect(&replay.load, 300, replay.now_ms);
        step(&replay, 0, four);
        g_assert_true(MpInstanceLoad_IsSaturated(&replay.load, replay.now_ms));
    }
    for (int i = 0; i < 40; i++) {
        MpInstanceLoad_StartConnect(&replay.load);
        MpInstanceLoad_EndConnect(&replay.load, 300, replay.now_ms);
        step(&replay, 0, four);
    }
    g_assert_false(MpInstanceLoad_IsSaturated(&replay.load, replay.now_ms));
    replay_done(&replay);
}

/* Guards against ever more connections under way on a full link. */
static void
test_connects_under_way_are_bounded(void)
{
    struct replay replay;
    struct MpLoadVerdict verdict;
    replay_init(&replay, &small);
    replay.load.saturated_ms = replay.now_ms;
    uint32_t under_way = 0;
    while (under_way < 1000 && ask(&replay, "w1", 0, &verdict)) {
        replay.load.promised_bytes = 0;
        MpInstanceLoad_StartConnect(&replay.load);
        under_way++;
    }
    g_assert_cmpuint(under_way, >, 16);
    g_assert_cmpuint(under_way, <, 150);
    g_assert_cmpint(verdict.cause, ==, MP_LOAD_CONNECTS);
    replay_done(&replay);
}

/* Guards against refusals for a short use of the processor that delays
 * nobody. */
static void
test_processor_counts_when_the_loop_is_late(void)
{
    struct replay replay;
    enum MpLoadCause cause;
    replay_init(&replay, &(struct MpMachineLimits){.cpu_permille = 90});
    for (int i = 0; i < 20; i++) {
        replay.totals.cpu_us += 4500;
        step(&replay, 0, four);
    }
    g_assert_cmpfloat(MpInstanceLoad_Pressure(&replay.load, &cause), <, 0.1);
    replay.totals.loop_delay_ms = 60;
    for (int i = 0; i < 20; i++) {
        replay.totals.cpu_us += 4500;
        step(&replay, 0, four);
    }
    g_assert_cmpfloat(MpInstanceLoad_Pressure(&replay.load, &cause), >, 0.9);
    g_assert_cmpint(cause, ==, MP_LOAD_PROCESSOR);
    replay_done(&replay);
}

/* Guards against refusals of all requests for a second after a pause of the
 * process where the clock of its processor time counts all time: the loop is
 * late then, and 11 times as much is measured as the machine can give. */
static void
test_implausible_processor_time_is_ignored(void)
{
    const struct MpMachineLimits limits = {.cpu_permille = 90};
    struct replay replay;
    enum MpLoadCause cause;
    replay_init(&replay, &limits);
    replay.totals.loop_delay_ms = 3500;
    for (int i = 0; i < 20; i++) {
        replay.now_ms += STEP_MS;
        replay.totals.cpu_us += STEP_MS * 1000;
        MpInstanceLoad_Sample(&replay.load, &replay.totals, 0.5,
                              replay.now_ms);
    }
    g_assert_cmpfloat(MpInstanceLoad_Pressure(&replay.load, &cause), <, 0.1);
    replay_done(&replay);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/load/without limits all is admitted",
                    test_without_limits_all_is_admitted);
    g_test_add_func("/load/usual load is admitted",
                    test_usual_load_is_admitted);
    g_test_add_func("/load/burst leaves no queue", test_burst_leaves_no_queue);
    g_test_add_func("/load/greedy workspace yields first",
                    test_greedy_workspace_yields_first);
    g_test_add_func("/load/retries are spread and short",
                    test_retries_are_spread_and_short);
    g_test_add_func("/load/absence is bounded", test_absence_is_bounded);
    g_test_add_func("/load/callers move only when noticed",
                    test_callers_move_only_when_noticed);
    g_test_add_func("/load/callers move fast from a queue",
                    test_callers_move_fast_from_a_queue);
    g_test_add_func("/load/herd spreads", test_herd_spreads);
    g_test_add_func("/load/timeouts are own only when saturated",
                    test_timeouts_are_own_only_when_saturated);
    g_test_add_func("/load/connects under way are bounded",
                    test_connects_under_way_are_bounded);
    g_test_add_func("/load/processor counts when the loop is late",
                    test_processor_counts_when_the_loop_is_late);
    g_test_add_func("/load/implausible processor time is ignored",
                    test_implausible_processor_time_is_ignored);
    return g_test_run();
}
