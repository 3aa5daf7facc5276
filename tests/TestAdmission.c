#include "coordination/Admission.h"

#include <string.h>

/* Which requests begin when a pool is too small, in replays without a network:
 * instances that decide by themselves, and a pool that works off a queue. */

#define INSTANCES 16
#define WORKSPACES 10
#define CAPACITY_PER_S 350
#define TARGET_MS 500
#define LEFT_MS 3000
/* Time to the first answer at an idle target. */
#define IDLE_MS 120
#define GREEDY 0

/* Something that is to happen. */
struct later {
    int64_t at_ms;
    uint32_t instance;
    double part; /* answer; negative: a retry */
    int workspace;
    int rank;
};

struct count {
    uint32_t asked;
    uint32_t served; /* admitted by the first or the second try */
    uint32_t in_time;
};

struct replay {
    struct MpAdmission instances[INSTANCES];
    GSequence *later;
    GRand *random;
    int64_t now_ms;
    double queue; /* requests that wait at the pool */
    struct count of_rank[MP_ADMISSION_RANKS];
    struct count of_workspace[WORKSPACES];
    uint32_t refused;
    uint32_t retries_in[LEFT_MS / 50]; /* of one second, by Retry-After */
    int64_t served_ms[MP_ADMISSION_RANKS];
    int64_t longest_gap_ms[MP_ADMISSION_RANKS];
    double queue_max_ms; /* since it was last set to 0 */
};

static gint
compare_later(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct later *x = a;
    const struct later *y = b;
    (void)data;
    return (x->at_ms > y->at_ms) - (x->at_ms < y->at_ms);
}

static void
add_later(struct replay *this, struct later later)
{
    g_sequence_insert_sorted(this->later,
                             g_memdup2(&later, sizeof(struct later)),
                             compare_later, NULL);
}

static void
replay_init(struct replay *this, bool is_active)
{
    *this = (struct replay){.later = g_sequence_new(g_free),
                            .random = g_rand_new_with_seed(3),
                            .now_ms = 1000000};
    for (int i = 0; i < INSTANCES; i++) {
        MpAdmission_Init(&this->instances[i]);
        if (is_active) {
            MpAdmission_Activate(&this->instances[i], "p");
        }
    }
}

static void
replay_done(struct replay *this)
{
    for (int i = 0; i < INSTANCES; i++) {
        MpAdmission_Done(&this->instances[i]);
    }
    g_sequence_free(this->later);
    g_rand_free(this->random);
}

static void
note_served(struct replay *this, int workspace, int rank, double first_ms)
{
    bool is_in_time = first_ms <= TARGET_MS;
    this->of_rank[rank].served++;
    this->of_rank[rank].in_time += is_in_time;
    this->of_workspace[workspace].served++;
    this->of_workspace[workspace].in_time += is_in_time;
    this->longest_gap_ms[rank] =
        MAX(this->longest_gap_ms[rank], this->now_ms - this->served_ms[rank]);
    this->served_ms[rank] = this->now_ms;
}

static void
ask(struct replay *this, int workspace, int rank, bool is_retry)
{
    char name[16];
    uint32_t instance = (uint32_t)g_rand_int_range(this->random, 0, INSTANCES);
    double wait_ms = this->queue * 1000 / CAPACITY_PER_S + IDLE_MS;
    g_snprintf(name, sizeof(name), "w%d", workspace);
    /* What targets reported is older than what they will take. */
    const struct MpAdmissionRequest request = {
        .pool = "p",
        .workspace = name,
        .rank = rank,
        .latency_target_ms = TARGET_MS,
        .wait_ms = (int64_t)(this->queue * 700 / CAPACITY_PER_S),
        .left_ms = LEFT_MS};
    const double random[2] = {g_rand_double(this->random),
                              g_rand_double(this->random)};
    struct MpAdmissionVerdict verdict;
    this->of_rank[rank].asked += !is_retry;
    this->of_workspace[workspace].asked += !is_retry;
    MpAdmission_Decide(&this->instances[instance], &request, random,
                       this->now_ms, &verdict);
    if (verdict.is_admitted) {
        this->queue++;
        note_served(this, workspace, rank, wait_ms);
        add_later(this,
                  (struct later){.at_ms = this->now_ms + (int64_t)wait_ms,
                                 .instance = instance,
                                 .part = wait_ms / TARGET_MS});
        return;
    }
    this->refused++;
    g_assert_cmpint(verdict.retry_after_ms, >=, 1);
    g_assert_cmpint(verdict.retry_after_ms, <=, LEFT_MS / 3);
    this->retries_in[verdict.retry_after_ms / 50]++;
    if (!is_retry) {
        add_later(this, (struct later){.at_ms = this->now_ms +
                                                verdict.retry_after_ms,
                                       .part = -1,
                                       .workspace = workspace,
                                       .rank = rank});
    }
}

static void
run_later(struct replay *this)
{
    GSequenceIter *first = g_sequence_get_begin_iter(this->later);
    while (!g_sequence_iter_is_end(first)) {
        struct later later = *(struct later *)g_sequence_get(first);
        if (later.at_ms > this->now_ms) {
            return;
        }
        g_sequence_remove(first);
        if (later.part < 0) {
            ask(this, later.workspace, later.rank, true);
        }
        else {
            MpAdmission_NoteAnswer(&this->instances[later.instance], "p",
                                   later.part, this->now_ms);
        }
        first = g_sequence_get_begin_iter(this->later);
    }
}

/* Plays seconds with requests_per_s, of which greedy times the part of another
 * workspace come from one. */
static void
play(struct replay *this, int seconds, double requests_per_s, double greedy)
{
    double arrived = 0;
    for (int64_t until_ms = this->now_ms + seconds * 1000;
         this->now_ms < until_ms; this->now_ms++) {
        this->queue = MAX(this->queue - CAPACITY_PER_S / 1000.0, 0);
        run_later(this);
        for (arrived += requests_per_s / 1000; arrived >= 1; arrived--) {
            double number =
                g_rand_double(this->random) * (WORKSPACES - 1 + greedy);
            int workspace =
                number < greedy ? GREEDY : 1 + (int)(number - greedy);
            ask(this, MIN(workspace, WORKSPACES - 1),
                g_rand_int_range(this->random, 0, MP_ADMISSION_RANKS), false);
        }
        this->queue_max_ms =
            MAX(this->queue_max_ms, this->queue * 1000 / CAPACITY_PER_S);
    }
}

static void
forget_counts(struct replay *this)
{
    memset(this->of_rank, 0, sizeof(this->of_rank));
    memset(this->of_workspace, 0, sizeof(this->of_workspace));
    memset(this->retries_in, 0, sizeof(this->retries_in));
    memset(this->longest_gap_ms, 0, sizeof(this->longest_gap_ms));
    this->queue_max_ms = 0;
    this->refused = 0;
}

static double
served_part(const struct count *count)
{
    return (double)count->served / count->asked;
}

static double
in_time_part(const struct count *count)
{
    return (double)count->in_time / count->asked;
}

/* Guards against refusals while there is room, and where nothing asks for
 * admission. */
static void
test_room_means_no_refusals(void)
{
    struct replay replay;
    replay_init(&replay, true);
    play(&replay, 20, 250, 1);
    g_assert_cmpuint(replay.refused, ==, 0);
    replay_done(&replay);
    replay_init(&replay, false);
    play(&replay, 20, 560, 5);
    g_assert_cmpuint(replay.refused, ==, 0);
    replay_done(&replay);
}

/* 560 requests a second onto a pool that bears 350, after a usual time. */
static void
overload(struct replay *replay, double requests_per_s, double greedy)
{
    replay_init(replay, true);
    play(replay, 20, 300, 1);
    play(replay, 4, requests_per_s, greedy);
    forget_counts(replay);
    for (int rank = 0; rank < MP_ADMISSION_RANKS; rank++) {
        replay->served_ms[rank] = replay->now_ms;
    }
    play(replay, 20, requests_per_s, greedy);
}

static void
print_counts(const struct replay *replay)
{
    for (int rank = 0; rank < MP_ADMISSION_RANKS; rank++) {
        g_test_message("rank %d: served %.3f in time %.3f longest gap %d ms",
                       rank, served_part(&replay->of_rank[rank]),
                       in_time_part(&replay->of_rank[rank]),
                       (int)replay->longest_gap_ms[rank]);
    }
    for (int i = 0; i < WORKSPACES; i++) {
        g_test_message("workspace %d: asked %u served %.3f", i,
                       replay->of_workspace[i].asked,
                       served_part(&replay->of_workspace[i]));
    }
    g_test_message("longest queue %d ms, refused %u",
                   (int)replay->queue_max_ms, replay->refused);
}

/* Guards against urgent requests that wait behind others, answers that all
 * come late, and ranks that get nothing. */
static void
test_urgent_requests_are_served(void)
{
    struct replay replay;
    overload(&replay, 560, 1);
    print_counts(&replay);
    g_assert_cmpfloat(in_time_part(&replay.of_rank[0]), >, 0.9);
    g_assert_cmpfloat(served_part(&replay.of_rank[1]), >,
                      served_part(&replay.of_rank[2]));
    for (int rank = 0; rank < MP_ADMISSION_RANKS; rank++) {
        g_assert_cmpint(replay.longest_gap_ms[rank], <, 2000);
        g_assert_cmpuint(replay.of_rank[rank].served, >, 20);
    }
    /* Nearly all that the pool bears begins, and in time. */
    uint32_t in_time = 0;
    for (int rank = 0; rank < MP_ADMISSION_RANKS; rank++) {
        in_time += replay.of_rank[rank].in_time;
    }
    g_assert_cmpuint(in_time, >, 20 * CAPACITY_PER_S * 9 / 10);
    g_assert_cmpfloat(replay.queue_max_ms, <, 1.5 * TARGET_MS);
    replay_done(&replay);
}

/* Guards against one workspace with five times its usual that crowds out the
 * others: 5 + 9 parts of 560 onto 350. */
static void
test_greedy_workspace_yields(void)
{
    struct replay replay;
    overload(&replay, 420, 5);
    print_counts(&replay);
    double least = 1;
    for (int i = 1; i < WORKSPACES; i++) {
        least = MIN(least, served_part(&replay.of_workspace[i]));
    }
    g_assert_cmpfloat(served_part(&replay.of_workspace[GREEDY]), <, 0.8);
    g_assert_cmpfloat(served_part(&replay.of_workspace[GREEDY]), >, 0.2);
    g_assert_cmpfloat(least, >, 0.9);
    replay_done(&replay);
}

/* Guards against refused callers that all come back at the same time. */
static void
test_callers_come_back_spread(void)
{
    struct replay replay;
    overload(&replay, 560, 1);
    uint32_t most = 0;
    for (uint32_t i = 0; i < G_N_ELEMENTS(replay.retries_in); i++) {
        most = MAX(most, replay.retries_in[i]);
    }
    g_assert_cmpuint(replay.refused, >, 1000);
    g_assert_cmpuint(most, <, replay.refused / 4);
    replay_done(&replay);
}

/* Guards against overload that is noticed late, and refusals that go on after
 * it. */
static void
test_overload_is_known_within_a_second(void)
{
    struct replay replay;
    replay_init(&replay, true);
    play(&replay, 20, 300, 1);
    forget_counts(&replay);
    play(&replay, 2, 840, 1);
    g_assert_cmpuint(replay.refused, >, 100);
    play(&replay, 18, 840, 1);
    print_counts(&replay);
    /* Rank 0 alone and the part of the others that is always admitted need
     * nearly all; what came in the first second waits. */
    g_assert_cmpfloat(in_time_part(&replay.of_rank[0]), >, 0.7);
    play(&replay, 3, 200, 1);
    forget_counts(&replay);
    play(&replay, 5, 250, 1);
    g_assert_cmpuint(replay.refused, ==, 0);
    replay_done(&replay);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/admission/room means no refusals",
                    test_room_means_no_refusals);
    g_test_add_func("/admission/urgent requests are served",
                    test_urgent_requests_are_served);
    g_test_add_func("/admission/greedy workspace yields",
                    test_greedy_workspace_yields);
    g_test_add_func("/admission/callers come back spread",
                    test_callers_come_back_spread);
    g_test_add_func("/admission/overload is known within a second",
                    test_overload_is_known_within_a_second);
    return g_test_run();
}
