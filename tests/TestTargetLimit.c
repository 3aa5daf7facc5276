#include "coordination/TargetLimit.h"

#include <glib.h>
#include <string.h>

/* Parsing of limits, and the order of answers that overtake each other. */

static void
check_invalid(const char *text)
{
    int64_t rate_mrps = -7;
    g_assert_false(MpTargetLimit_Parse(text, strlen(text), &rate_mrps));
    g_assert_cmpint(rate_mrps, ==, -7);
}

static void
check_valid(const char *text, int64_t expected_mrps)
{
    int64_t rate_mrps = -7;
    g_assert_true(MpTargetLimit_Parse(text, strlen(text), &rate_mrps));
    g_assert_cmpint(rate_mrps, ==, expected_mrps);
}

static void
test_values(void)
{
    static const char *const invalid[] = {"",
                                          "none",
                                          "-1",
                                          "-0.5",
                                          "nan",
                                          "inf",
                                          "1e3",
                                          "1.",
                                          ".5",
                                          "1.2.3",
                                          "+1",
                                          "2 ",
                                          "0x2",
                                          "1,5",
                                          "infinity",
                                          "1000000.001",
                                          "99999999999999999999999999"};
    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        check_invalid(invalid[i]);
    }
    check_valid("0", 0);
    check_valid("3", 3000);
    check_valid("3.5", 3500);
    check_valid("0.05", 50);
    check_valid("2.33333333333333", 2333);
    check_valid("1000000", MP_LIMIT_MAX_MRPS);
}

static void
test_old_answer_changes_nothing(void)
{
    struct MpTargetLimit limit = MP_TARGET_LIMIT_INIT;
    g_assert_cmpint(MpTargetLimit_Rate(&limit), ==, MP_LIMIT_NONE);
    g_assert_true(MpTargetLimit_Note(&limit, 4000, 100, 200));
    /* Sent before the limit was known: it may have been written before. */
    g_assert_false(MpTargetLimit_Note(&limit, MP_LIMIT_NONE, 150, 300));
    g_assert_false(MpTargetLimit_Note(&limit, 9000, 90, 310));
    g_assert_true(MpTargetLimit_Note(&limit, 2000, 210, 320));
    g_assert_cmpint(MpTargetLimit_Rate(&limit), ==, 2000);
    g_assert_true(MpTargetLimit_Note(&limit, MP_LIMIT_NONE, 400, 500));
    g_assert_cmpint(MpTargetLimit_Rate(&limit), ==, MP_LIMIT_NONE);
    /* A late answer that still names the limit. */
    g_assert_false(MpTargetLimit_Note(&limit, 2000, 330, 600));
    g_assert_cmpint(MpTargetLimit_Rate(&limit), ==, MP_LIMIT_NONE);
    g_assert_true(MpTargetLimit_Note(&limit, 1000, 410, 700));
}

static void
test_zero_still_lets_its_end_be_seen(void)
{
    struct MpTargetLimit limit = MP_TARGET_LIMIT_INIT;
    g_assert_true(MpTargetLimit_Note(&limit, 0, 100, 200));
    g_assert_cmpint(MpTargetLimit_Rate(&limit), ==, MP_LIMIT_MIN_MRPS);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/limit/values", test_values);
    g_test_add_func("/limit/an old answer changes nothing",
                    test_old_answer_changes_nothing);
    g_test_add_func("/limit/zero still lets its end be seen",
                    test_zero_still_lets_its_end_be_seen);
    return g_test_run();
}
