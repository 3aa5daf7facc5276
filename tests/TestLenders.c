#include "coordination/Lenders.h"

#include <glib.h>
#include <string.h>

#define ZONES 3
#define PER_ZONE 20

static char addresses[ZONES * PER_ZONE][32];
static struct mp_lender peers[ZONES * PER_ZONE];
static char *const zone_names[ZONES] = {(char *)"a", (char *)"b", (char *)"c"};

static void
make_peers(void)
{
    for (int i = 0; i < ZONES * PER_ZONE; i++) {
        g_snprintf(addresses[i], sizeof(addresses[i]), "10.0.%d.%d:7", i % 7,
                   i);
        peers[i] = (struct mp_lender){.address = addresses[i],
                                      .zone = zone_names[i % ZONES]};
    }
}

static void
lenders_of(struct MpLenders *lenders, int i, int count)
{
    MpLenders_Init(lenders, addresses[i], zone_names[i % ZONES]);
    MpLenders_SetPeers(lenders, peers, (uint32_t)count);
}

/* However the list is ordered, all come to the same keepers: just two of a
 * zone say that they keep a workspace, and these are asked first. */
static void
test_agreement(void)
{
    int keepers = 0;
    make_peers();
    for (int i = 0; i < ZONES * PER_ZONE; i++) {
        struct MpLenders lenders;
        lenders_of(&lenders, i, ZONES * PER_ZONE);
        keepers += MpLenders_IsPrimary(&lenders, "w");
        g_assert_cmpuint(MpLenders_CountPrimaries(&lenders), ==,
                         ZONES * MP_PRIMARIES_PER_ZONE);
        MpLenders_Done(&lenders);
        struct mp_lender first = peers[0];
        memmove(peers, peers + 1, sizeof(peers) - sizeof(peers[0]));
        peers[ZONES * PER_ZONE - 1] = first;
    }
    g_assert_cmpint(keepers, ==, ZONES * MP_PRIMARIES_PER_ZONE);
}

/* The own zone is asked first, by few connections; a lender that failed is
 * left out for a while. */
static void
test_order(void)
{
    struct MpLenders lenders;
    GPtrArray *order = g_ptr_array_new_with_free_func(g_free);
    make_peers();
    lenders_of(&lenders, 0, ZONES * PER_ZONE);
    MpLenders_ListCandidates(&lenders, "w", 1000, order);
    guint near = 0;
    for (guint i = 0; i < order->len; i++) {
        for (int k = 0; k < ZONES * PER_ZONE; k += ZONES) {
            near += strcmp(g_ptr_array_index(order, i), addresses[k]) == 0;
        }
        if (i < MP_PRIMARIES_PER_ZONE) {
            g_assert_cmpuint(near, ==, i + 1);
        }
        g_assert_cmpstr(g_ptr_array_index(order, i), !=, addresses[0]);
    }
    g_assert_cmpuint(near, <=, MP_LENDERS_PER_ZONE);
    char *first = g_strdup(g_ptr_array_index(order, 0));
    MpLenders_NoteFailure(&lenders, first, 1000);
    g_ptr_array_set_size(order, 0);
    MpLenders_ListCandidates(&lenders, "w",
                             1000 + MP_LENDER_FAILURE_BACKOFF_MS - 1, order);
    g_assert_cmpstr(g_ptr_array_index(order, 0), !=, first);
    g_ptr_array_set_size(order, 0);
    MpLenders_ListCandidates(&lenders, "w",
                             1000 + MP_LENDER_FAILURE_BACKOFF_MS, order);
    g_assert_cmpstr(g_ptr_array_index(order, 0), ==, first);
    g_free(first);
    g_ptr_array_unref(order);
    MpLenders_Done(&lenders);
}

/* Workspaces are spread over the lenders of a zone. */
static void
test_spread(void)
{
    struct MpLenders lenders;
    GHashTable *firsts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    make_peers();
    lenders_of(&lenders, 0, ZONES * PER_ZONE);
    for (int i = 0; i < 64; i++) {
        char workspace[8];
        GPtrArray *order = g_ptr_array_new_with_free_func(g_free);
        g_snprintf(workspace, sizeof(workspace), "w%d", i);
        MpLenders_ListCandidates(&lenders, workspace, 0, order);
        g_hash_table_add(firsts, g_strdup(g_ptr_array_index(order, 0)));
        g_ptr_array_unref(order);
    }
    g_assert_cmpuint(g_hash_table_size(firsts), >=, MP_LENDERS_PER_ZONE - 1);
    g_hash_table_unref(firsts);
    MpLenders_Done(&lenders);
}

/* A router without an address keeps all; one that was told of nobody keeps
 * nothing, so that hundreds do not ask for slices at their start. */
static void
test_alone(void)
{
    struct MpLenders lenders;
    GPtrArray *order = g_ptr_array_new_with_free_func(g_free);
    MpLenders_Init(&lenders, NULL, "a");
    g_assert_true(MpLenders_IsPrimary(&lenders, "w"));
    MpLenders_Done(&lenders);
    MpLenders_Init(&lenders, "10.0.0.1:7", "a");
    g_assert_false(MpLenders_IsPrimary(&lenders, "w"));
    MpLenders_ListCandidates(&lenders, "w", 0, order);
    g_assert_cmpuint(order->len, ==, 0);
    MpLenders_Done(&lenders);
    g_ptr_array_unref(order);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/lenders/all agree on the keepers", test_agreement);
    g_test_add_func("/lenders/the own zone goes first", test_order);
    g_test_add_func("/lenders/workspaces are spread", test_spread);
    g_test_add_func("/lenders/alone, and before the list", test_alone);
    return g_test_run();
}
