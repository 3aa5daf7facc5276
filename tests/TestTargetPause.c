#include "coordination/TargetPause.h"

#include <glib.h>
#include <string.h>

/* Parsing of pauses, the order of refusals that overtake each other, and how a
 * target is used again. */

static void
check_value(const char *text, int64_t expected_ms)
{
    int64_t pause_ms = -7;
    bool is_valid = MpTargetPause_Parse(text, strlen(text), &pause_ms);
    g_assert_cmpint(pause_ms, ==, expected_ms);
    g_assert_true(is_valid == (expected_ms >= 0));
}

static void
test_values(void)
{
    static const char *const invalid[] = {"",
                                          " ",
                                          "-1",
                                          "-0.5",
                                          "soon",
                                          "nan",
                                          "inf",
                                          "1e9",
                                          "1.",
                                          ".5",
                                          "1 2",
                                          "2,3",
                                          "+2",
                                          "0x2",
                                          "2s",
                                          "1;1",
                                          "1.2.3",
                                          "infinity",
                                          "Fri, 01 Jan 2100 00:00:00 GMT"};
    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        check_value(invalid[i], -7);
    }
    check_value("0", 0);
    check_value("0.0004", 0);
    check_value("0.25", 250);
    check_value("1.5", 1500);
    check_value(" 3\t", 3000);
    check_value("3600", MP_PAUSE_MAX_MS);
    check_value("3600.001", MP_PAUSE_MAX_MS);
    check_value("99999999999999999999999999999999", MP_PAUSE_MAX_MS);
}

static void
test_later_end_of_crossing_refusals(void)
{
    struct MpTargetPause pause = {.until_ms = 0};
    g_assert_true(MpTargetPause_MaySend(&pause, 1));
    g_assert_true(MpTargetPause_Note(&pause, 2000, 100, 200, 0));
    g_assert_cmpint(pause.until_ms, ==, 2200);
    g_assert_false(MpTargetPause_Note(&pause, 1000, 150, 300, 0));
    g_assert_false(MpTargetPause_Note(&pause, 0, 200, 310, 0));
    g_assert_true(MpTargetPause_Note(&pause, 2000, 90, 400, 0));
    g_assert_cmpint(pause.until_ms, ==, 2400);
    g_assert_true(MpTargetPause_IsActive(&pause, 2399));
    g_assert_false(MpTargetPause_MaySend(&pause, 2399));
    g_assert_true(MpTargetPause_MaySend(&pause, 2400));
}

static void
test_later_refusal_replaces(void)
{
    struct MpTargetPause pause = {.until_ms = 0};
    g_assert_false(MpTargetPause_Note(&pause, 0, 10, 20, 0));
    g_assert_true(MpTargetPause_Note(&pause, 5000, 100, 200, 0));
    g_assert_true(MpTargetPause_Note(&pause, 1000, 201, 300, 0));
    g_assert_cmpint(pause.until_ms, ==, 1300);
    g_assert_true(MpTargetPause_Note(&pause, 0, 301, 400, 0));
    g_assert_false(MpTargetPause_IsActive(&pause, 400));
}

/* The last of many crossing refusals must not draw the end out to the most. */
static void
test_spread_is_drawn_once(void)
{
    struct MpTargetPause pause = {.until_ms = 0};
    MpTargetPause_Note(&pause, 2000, 100, 200, 0.5);
    g_assert_cmpint(pause.until_ms, ==, 2200 + 125);
    g_assert_false(MpTargetPause_Note(&pause, 2000, 100, 200, 1.0));
    MpTargetPause_Note(&pause, 3600000, 300, 400, 1.0);
    g_assert_cmpint(pause.until_ms, ==, 3600400 + MP_PAUSE_SPREAD_MAX_MS);
}

/* Requests that a target gets in each 50 ms after a pause, from instances that
 * heard of the same end and have a request to send each ms; it answers each
 * after 20 ms. */
static void
count_sent(uint32_t instances, uint32_t *counts, uint32_t steps)
{
    struct MpTargetPause *pauses = g_new0(struct MpTargetPause, instances);
    GRand *random = g_rand_new_with_seed(7);
    GQueue *open = g_new0(GQueue, instances);
    for (uint32_t i = 0; i < instances; i++) {
        MpTargetPause_Note(&pauses[i], 4000, 0, 0, g_rand_double(random));
    }
    for (int64_t now_ms = 4000; now_ms < 4000 + 50 * (int64_t)steps;
         now_ms++) {
        for (uint32_t i = 0; i < instances; i++) {
            while (open[i].head &&
                   now_ms - GPOINTER_TO_INT(open[i].head->data) >= 20) {
                MpTargetPause_NoteAnswer(
                    &pauses[i], GPOINTER_TO_INT(g_queue_pop_head(&open[i])));
            }
            if (MpTargetPause_MaySend(&pauses[i], now_ms)) {
                MpTargetPause_NoteSent(&pauses[i]);
                g_queue_push_tail(&open[i], GINT_TO_POINTER((int)now_ms));
                counts[(now_ms - 4000) / 50]++;
            }
        }
    }
    for (uint32_t i = 0; i < instances; i++) {
        g_queue_clear(&open[i]);
    }
    g_free(open);
    g_free(pauses);
    g_rand_free(random);
}

static void
test_no_burst_at_the_end(void)
{
    static const uint32_t fleets[] = {1, 10, 300};
    for (size_t i = 0; i < G_N_ELEMENTS(fleets); i++) {
        uint32_t counts[60] = {0};
        count_sent(fleets[i], counts, G_N_ELEMENTS(counts));
        /* Demand is 50 in 50 ms for each instance. */
        g_test_message("%u instances: %u, %u, %u, %u ... %u", fleets[i],
                       counts[0], counts[1], counts[2], counts[3], counts[59]);
        g_assert_cmpint(counts[0], <=, 3 * fleets[i]);
        g_assert_cmpint(counts[59], ==, 50 * fleets[i]);
    }
}

static void
test_slow_answers_hold_back_for_the_ramp_only(void)
{
    struct MpTargetPause pause = {.until_ms = 0};
    MpTargetPause_Note(&pause, 1000, 0, 0, 0);
    g_assert_false(MpTargetPause_TakeEnd(&pause, 999));
    g_assert_true(MpTargetPause_TakeEnd(&pause, 1000));
    g_assert_false(MpTargetPause_TakeEnd(&pause, 1001));
    MpTargetPause_NoteSent(&pause);
    g_assert_false(MpTargetPause_MaySend(&pause, 1100));
    /* An answer to a request from before the pause says nothing. */
    MpTargetPause_NoteAnswer(&pause, 0);
    g_assert_false(MpTargetPause_MaySend(&pause, 1100));
    g_assert_true(MpTargetPause_MaySend(&pause, 1000 + MP_PAUSE_RAMP_MS));
    MpTargetPause_NoteAnswer(&pause, 1000);
    g_assert_true(MpTargetPause_MaySend(&pause, 1200));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/pause/values", test_values);
    g_test_add_func("/pause/the later end of crossing refusals counts",
                    test_later_end_of_crossing_refusals);
    g_test_add_func("/pause/a later refusal replaces it",
                    test_later_refusal_replaces);
    g_test_add_func("/pause/the spread is drawn once",
                    test_spread_is_drawn_once);
    g_test_add_func("/pause/no burst at the end", test_no_burst_at_the_end);
    g_test_add_func("/pause/slow answers hold back for the ramp only",
                    test_slow_answers_hold_back_for_the_ramp_only);
    return g_test_run();
}
