#include "coordination/Slices.h"
#include "state/Error.h"
#include "state/Ledger.h"

#include <glib.h>

/* One router and the ledger, which answers at once. */
struct pair {
    struct MpLedger ledger;
    struct MpSlices slices;
    int64_t now_ms;
};

static void
pair_start(struct pair *this, int64_t prepaid_mtok)
{
    *this = (struct pair){.now_ms = 1000};
    MpLedger_Init(&this->ledger);
    MpSlices_Init(&this->slices);
    MpLedger_SetPrepaid(&this->ledger, "w", prepaid_mtok);
    MpSlices_Registered(&this->slices, 1);
    this->slices.instances = 10;
    MpSlices_Add(&this->slices, "w");
}

static void
pair_end(struct pair *this)
{
    MpSlices_Done(&this->slices);
    MpLedger_Done(&this->ledger);
}

static void
report(struct pair *this)
{
    struct mp_holder holder = {.instance = (char *)"r", .boot = 1};
    struct mp_slices slices = {.holder = holder};
    struct mp_slice_held held[4];
    g_assert_true(MpSlices_IsDue(&this->slices, this->now_ms));
    MpSlices_Report(&this->slices, &slices, this->now_ms);
    for (u_int i = 0; i < slices.list.list_len; i++) {
        MpLedger_Slice(&this->ledger, &holder, slices.seq,
                       &slices.list.list_val[i], &held[i]);
    }
    struct mp_result result = {
        .slices = {.slices_val = held, .slices_len = slices.list.list_len}};
    MpSlices_Take(&this->slices, &result, this->now_ms);
    g_free(slices.list.list_val);
}

static void
test_waiting(void)
{
    struct pair pair;
    pair_start(&pair, 1000000);
    g_assert_cmpint(
        MpSlices_Reserve(&pair.slices, "w", 5000, false, pair.now_ms), ==,
        MP_ERROR_RECALLING);
    report(&pair);
    g_assert_cmpint(
        MpSlices_Reserve(&pair.slices, "w", 5000, true, pair.now_ms), ==,
        MP_OK);
    pair_end(&pair);
}

/* More wait than is left: as many as fit get their part, the others learn
 * that the budget is spent. */
static void
test_last_part(void)
{
    struct pair pair;
    pair_start(&pair, 10000);
    for (int i = 0; i < 4; i++) {
        g_assert_cmpint(
            MpSlices_Reserve(&pair.slices, "w", 4000, false, pair.now_ms), ==,
            MP_ERROR_RECALLING);
    }
    report(&pair);
    int served = 0;
    for (int i = 0; i < 4; i++) {
        int code =
            MpSlices_Reserve(&pair.slices, "w", 4000, true, pair.now_ms);
        served += code == MP_OK;
        g_assert_cmpint(code, ==, i < 2 ? MP_OK : MP_ERROR_BUDGET);
    }
    g_assert_cmpint(served, ==, 2);
    pair_end(&pair);
}

/* What is used is billed once, whatever it was reserved for. */
static void
test_bill(void)
{
    struct pair pair;
    pair_start(&pair, 1000000);
    MpSlices_Reserve(&pair.slices, "w", 5000, false, pair.now_ms);
    report(&pair);
    MpSlices_Reserve(&pair.slices, "w", 5000, true, pair.now_ms);
    MpSlices_Settle(&pair.slices, "w", 1, 5000, 1234);
    pair.now_ms += 2 * MP_SLICE_REPORT_MS;
    report(&pair);
    const struct MpAccount *account = MpLedger_Find(&pair.ledger, "w");
    g_assert_cmpint(account->settled_mtok, ==, 1234);
    g_assert_cmpint(MpLedger_Check(&pair.ledger), ==, MP_OK);
    pair_end(&pair);
}

/* All slices together leave most of the budget free. */
static void
test_bound_of_all(void)
{
    struct MpLedger ledger;
    struct mp_slice_held held;
    struct mp_slice wanted = {.workspace = (char *)"w", .hold_mtok = 1000000};
    char *const names[] = {(char *)"a", (char *)"b", (char *)"c"};
    MpLedger_Init(&ledger);
    MpLedger_SetPrepaid(&ledger, "w", 1000000);
    for (guint i = 0; i < G_N_ELEMENTS(names); i++) {
        struct mp_holder holder = {.instance = names[i], .boot = 1};
        MpLedger_Slice(&ledger, &holder, 1, &wanted, &held);
    }
    const struct MpAccount *account = MpLedger_Find(&ledger, "w");
    g_assert_cmpint(account->leased_mtok, <=,
                    1000 * MP_LEDGER_SLICES_PERMILLE);
    MpLedger_Done(&ledger);
}

/* Near the end of the budget little is held beyond what is running. */
static void
test_end_of_budget(void)
{
    struct MpLedger ledger;
    struct mp_slice_held held;
    struct mp_holder holder = {.instance = (char *)"r", .boot = 1};
    struct mp_slice wanted = {
        .workspace = (char *)"w", .hold_mtok = 1000000, .need_mtok = 900000};
    MpLedger_Init(&ledger);
    MpLedger_SetPrepaid(&ledger, "w", 1000000);
    MpLedger_Slice(&ledger, &holder, 1, &wanted, &held);
    g_assert_cmpint(held.held_mtok, ==, 900000);
    wanted = (struct mp_slice){
        .workspace = (char *)"w", .spent_mtok = 900000, .hold_mtok = 1000000};
    MpLedger_Slice(&ledger, &holder, 2, &wanted, &held);
    g_assert_cmpint(held.held_mtok, <=, 100 * MP_LEDGER_SLICES_LEAST_PERMILLE);
    MpLedger_Done(&ledger);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/slices/a request waits for its part", test_waiting);
    g_test_add_func("/slices/the last part goes to those that fit",
                    test_last_part);
    g_test_add_func("/slices/what is used is billed", test_bill);
    g_test_add_func("/slices/all together leave most free", test_bound_of_all);
    g_test_add_func("/slices/little is held near the end", test_end_of_budget);
    return g_test_run();
}
