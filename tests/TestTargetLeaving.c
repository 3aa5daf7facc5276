#include "coordination/TargetLeaving.h"

#include <glib.h>
#include <string.h>

/* What a target and the list say of its leaving. */

static void
test_values(void)
{
    static const char *const yes[] = {"1", " 1 ", "1,1", "1, ,1", ",1"};
    static const char *const no[] = {"",    "0",    "2",   "11",    "yes",
                                     "1;1", "true", "1,0", "0,\t1", ",",
                                     "1 1", "01",   "1.0", "\"1\""};
    for (size_t i = 0; i < G_N_ELEMENTS(yes); i++) {
        g_assert_true(MpTargetLeaving_Parse(yes[i], strlen(yes[i])));
    }
    for (size_t i = 0; i < G_N_ELEMENTS(no); i++) {
        g_assert_false(MpTargetLeaving_Parse(no[i], strlen(no[i])));
    }
}

static void
test_list_takes_nothing_back(void)
{
    struct MpTargetLeaving leaving = {.by_list = false};
    g_assert_false(MpTargetLeaving_NoteEntry(&leaving, false, 100));
    g_assert_true(MpTargetLeaving_NoteAnswer(&leaving));
    g_assert_false(MpTargetLeaving_NoteAnswer(&leaving));
    g_assert_false(MpTargetLeaving_NoteEntry(&leaving, false, 100));
    g_assert_false(MpTargetLeaving_NoteEntry(&leaving, false, 0));
    g_assert_false(MpTargetLeaving_NoteEntry(&leaving, false, 90));
    g_assert_true(MpTargetLeaving_IsLeaving(&leaving));
}

static void
test_ends_with_the_incarnation(void)
{
    struct MpTargetLeaving leaving = {.by_list = false};
    MpTargetLeaving_NoteEntry(&leaving, false, 100);
    MpTargetLeaving_NoteAnswer(&leaving);
    g_assert_true(MpTargetLeaving_NoteEntry(&leaving, false, 200));
    g_assert_false(MpTargetLeaving_IsLeaving(&leaving));
    MpTargetLeaving_NoteAnswer(&leaving);
    g_assert_false(MpTargetLeaving_NoteEntry(&leaving, true, 200));
    g_assert_true(MpTargetLeaving_IsLeaving(&leaving));
    g_assert_true(MpTargetLeaving_NoteEntry(&leaving, false, 200));
    g_assert_false(MpTargetLeaving_IsLeaving(&leaving));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/leaving/values", test_values);
    g_test_add_func("/leaving/the list takes nothing back",
                    test_list_takes_nothing_back);
    g_test_add_func("/leaving/it ends with the incarnation",
                    test_ends_with_the_incarnation);
    return g_test_run();
}
