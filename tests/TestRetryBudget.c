#include "coordination/RetryBudget.h"

#include <glib.h>

/* Retries of a fleet in any span of a window, against the requests for it. */

#define WINDOW_MS 10000
#define PERMILLE 200
#define SLACK 60
#define ROUTERS 10
#define END_MS 60000

struct fleet {
    struct MpRetryBudget budgets[ROUTERS];
    uint32_t requests[END_MS]; /* of all routers, in each millisecond */
    uint32_t retries[END_MS];
};

static struct fleet *
make_fleet(void)
{
    struct fleet *this = g_new0(struct fleet, 1);
    for (int i = 0; i < ROUTERS; i++) {
        MpRetryBudget_Init(&this->budgets[i], WINDOW_MS, PERMILLE, SLACK);
    }
    return this;
}

static void
send_request(struct fleet *this, int router, int64_t now_ms)
{
    MpRetryBudget_CountRequest(&this->budgets[router], now_ms);
    this->requests[now_ms]++;
}

/* Takes all retries that the budget gives now, which arrive delay_ms later. */
static int64_t
take_all(struct fleet *this, int router, int64_t now_ms, int64_t delay_ms)
{
    int64_t taken = 0;
    while (MpRetryBudget_Take(&this->budgets[router], ROUTERS, now_ms)) {
        this->retries[now_ms + delay_ms]++;
        taken++;
    }
    return taken;
}

static int64_t
sum(const uint32_t *counts, int64_t from_ms)
{
    int64_t result = 0;
    for (int64_t t = MAX(from_ms, 0); t < MIN(from_ms + WINDOW_MS, END_MS);
         t++) {
        result += counts[t];
    }
    return result;
}

/* Returns by how much the worst window exceeds what it allows, in retries. */
static int64_t
excess(const struct fleet *this)
{
    int64_t worst = INT64_MIN;
    for (int64_t t = 0; t < END_MS; t++) {
        if (this->retries[t] == 0) {
            continue;
        }
        int64_t requests = MAX(
            MAX(sum(this->requests, t), sum(this->requests, t - WINDOW_MS)),
            sum(this->requests, t - WINDOW_MS / 2));
        int64_t allowed = requests * PERMILLE / 1000 + SLACK;
        worst = MAX(worst, sum(this->retries, t) - allowed);
    }
    return worst;
}

/* All routers have the same load, and want retries from from_ms for 0.1 s, and
 * again from 9.9 s later. */
static void
check_both_ends(int64_t from_ms, int64_t delay_ms)
{
    struct fleet *this = make_fleet();
    int64_t taken = 0;
    for (int64_t t = 0; t < END_MS - WINDOW_MS; t++) {
        int64_t since_ms = t - from_ms;
        bool is_first = since_ms >= 0 && since_ms < 100;
        bool is_second = since_ms >= 9900 && since_ms < 10000;
        for (int i = 0; i < ROUTERS; i++) {
            if ((t + i) % 30 == 0) {
                send_request(this, i, t);
            }
            if (is_first || is_second) {
                taken += take_all(this, i, t, is_first ? delay_ms : 0);
            }
        }
    }
    g_test_message("from %d ms, delay %d ms: %d retries, excess %d",
                   (int)from_ms, (int)delay_ms, (int)taken, (int)excess(this));
    g_assert_cmpint(excess(this), <=, 0);
    g_free(this);
}

static void
test_retries_at_both_ends_of_a_window(void)
{
    for (int64_t from_ms = 20000; from_ms < 21000; from_ms += 130) {
        check_both_ends(from_ms, 0);
    }
}

static void
test_late_arrivals_meet_the_next_retries(void)
{
    for (int64_t from_ms = 20000; from_ms < 21000; from_ms += 130) {
        check_both_ends(from_ms - 300, 300);
    }
}

static void
test_load_moves_to_other_routers(void)
{
    struct fleet *this = make_fleet();
    for (int64_t t = 10000; t < 40000; t++) {
        bool is_first = t < 20000;
        bool is_second = t >= 25000 && t < 29700;
        for (int i = 0; i < ROUTERS / 2 && is_first; i++) {
            send_request(this, i, t);
        }
        for (int i = ROUTERS / 2; i < ROUTERS && is_second; i++) {
            send_request(this, i, t);
        }
        for (int i = 0; i < ROUTERS && (t == 20000 || t == 29700); i++) {
            take_all(this, i, t, 0);
        }
    }
    g_test_message("excess %d", (int)excess(this));
    g_assert_cmpint(excess(this), <=, 0);
    g_free(this);
}

#define CONTACT_MS MP_RETRY_FLEET_CONTACT_MS
#define WAIT_MS (WINDOW_MS + WINDOW_MS / 20 + MP_RETRY_FLEET_SETTLE_MS)

static void
test_restarted_instance_has_no_slack_yet(void)
{
    struct MpRetryFleet fleet = {0};
    g_assert_cmpuint(MpRetryFleet_Size(&fleet, WINDOW_MS, 5000), ==, 0);
    for (int64_t t = 50000; t <= 50000 + 2 * WAIT_MS; t += 500) {
        MpRetryFleet_Note(&fleet, 1, 2, t);
        uint32_t size = MpRetryFleet_Size(&fleet, WINDOW_MS, t);
        g_assert_cmpuint(size, ==, t < 50000 + WAIT_MS ? 0 : 1);
    }
}

static void
test_joined_instance_has_no_slack_yet(void)
{
    struct MpRetryFleet fleet = {0};
    for (int64_t t = 50000; t <= 50000 + 2 * WAIT_MS; t += 500) {
        MpRetryFleet_Note(&fleet, ROUTERS, 1, t);
        uint32_t size = MpRetryFleet_Size(&fleet, WINDOW_MS, t);
        g_assert_cmpuint(size, ==, t < 50000 + WAIT_MS ? 0 : ROUTERS);
    }
}

static void
test_new_fleet_has_slack_at_once(void)
{
    struct MpRetryFleet fleet = {0};
    MpRetryFleet_Note(&fleet, 0, 1, 400);
    g_assert_cmpuint(MpRetryFleet_Size(&fleet, WINDOW_MS, 400), ==, 0);
    MpRetryFleet_Note(&fleet, 1, 1, 500);
    g_assert_cmpuint(MpRetryFleet_Size(&fleet, WINDOW_MS, 500), ==, 1);
    MpRetryFleet_Note(&fleet, 4, 1, 1000);
    g_assert_cmpuint(MpRetryFleet_Size(&fleet, WINDOW_MS, 1000), ==, 4);
    MpRetryFleet_Note(&fleet, 5, 1, 1500);
    g_assert_cmpuint(MpRetryFleet_Size(&fleet, WINDOW_MS, 1500), ==, 0);
}

static void
test_fewer_instances_leave_the_shares(void)
{
    struct MpRetryFleet fleet = {0};
    for (int64_t t = 500; t <= 100000; t += 500) {
        MpRetryFleet_Note(&fleet, t < 20000 ? 4 : 1, 1, t);
        g_assert_cmpuint(MpRetryFleet_Size(&fleet, WINDOW_MS, t), ==, 4);
    }
}

static void
test_no_slack_without_contact(void)
{
    struct MpRetryFleet fleet = {0};
    int64_t woken_ms = 1000 + 3 * CONTACT_MS;
    MpRetryFleet_Note(&fleet, 4, 1, 1000);
    g_assert_cmpuint(
        MpRetryFleet_Size(&fleet, WINDOW_MS, 1000 + CONTACT_MS - 1), ==, 4);
    g_assert_cmpuint(MpRetryFleet_Size(&fleet, WINDOW_MS, 1000 + CONTACT_MS),
                     ==, 0);
    for (int64_t t = woken_ms; t <= woken_ms + 2 * WAIT_MS; t += 500) {
        MpRetryFleet_Note(&fleet, 4, 1, t);
        uint32_t size = MpRetryFleet_Size(&fleet, WINDOW_MS, t);
        g_assert_cmpuint(size, ==, t < woken_ms + WAIT_MS ? 0 : 4);
    }
}

/* 300 instances have less than a retry each, and no load. */
static void
test_shares_below_one_retry(void)
{
    struct MpRetryBudget budget;
    MpRetryBudget_Init(&budget, WINDOW_MS, PERMILLE, SLACK);
    g_assert_false(MpRetryBudget_Take(&budget, 300, 100000));
    for (int i = 0; i < 9; i++) {
        MpRetryBudget_CountRequest(&budget, 100000);
    }
    /* 0.1 of 9, and 60 / 302. */
    g_assert_true(MpRetryBudget_Take(&budget, 300, 100000));
    g_assert_false(MpRetryBudget_Take(&budget, 300, 100000));
    g_assert_false(MpRetryBudget_Take(&budget, 300, 110000));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/retry-budget/retries at both ends of a window",
                    test_retries_at_both_ends_of_a_window);
    g_test_add_func("/retry-budget/late arrivals meet the next retries",
                    test_late_arrivals_meet_the_next_retries);
    g_test_add_func("/retry-budget/load moves to other routers",
                    test_load_moves_to_other_routers);
    g_test_add_func("/retry-budget/a restarted instance has no slack yet",
                    test_restarted_instance_has_no_slack_yet);
    g_test_add_func("/retry-budget/a joined instance has no slack yet",
                    test_joined_instance_has_no_slack_yet);
    g_test_add_func("/retry-budget/a new fleet has slack at once",
                    test_new_fleet_has_slack_at_once);
    g_test_add_func("/retry-budget/fewer instances leave the shares",
                    test_fewer_instances_leave_the_shares);
    g_test_add_func("/retry-budget/no slack without contact",
                    test_no_slack_without_contact);
    g_test_add_func("/retry-budget/shares below one retry",
                    test_shares_below_one_retry);
    return g_test_run();
}
