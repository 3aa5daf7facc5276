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
    MpSlices_SetIncarnation(&this->slices, 1);
    this->slices.primary_count = 10;
    MpSlices_Add(&this->slices, "w", true);
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
    struct mp_incarnation holder = {.instance = (char *)"r", .boot = 1};
    struct mp_slices slices = {.incarnation = holder};
    struct mp_slice_status held[4];
    g_assert_true(MpSlices_IsReportDue(&this->slices, this->now_ms));
    MpSlices_FillReport(&this->slices, &slices, this->now_ms);
    for (u_int i = 0; i < slices.list.list_len; i++) {
        MpLedger_UpdateSlice(&this->ledger, &holder, slices.seq,
                             &slices.list.list_val[i], &held[i]);
    }
    struct mp_result result = {
        .slices = {.slices_val = held, .slices_len = slices.list.list_len}};
    MpSlices_HandleReply(&this->slices, &result, this->now_ms);
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
    MpSlices_Settle(&pair.slices, "w", 5000, 1234);
    pair.now_ms += 2 * MP_SLICE_REPORT_MS;
    report(&pair);
    const struct MpAccount *account = MpLedger_FindAccount(&pair.ledger, "w");
    g_assert_cmpint(account->settled_mtok, ==, 1234);
    g_assert_cmpint(MpLedger_Check(&pair.ledger), ==, MP_OK);
    pair_end(&pair);
}

/* All slices together leave most of the budget free. */
static void
test_bound_of_all(void)
{
    struct MpLedger ledger;
    struct mp_slice_status held;
    struct mp_slice wanted = {.workspace = (char *)"w",
                              .requested_mtok = 1000000};
    char *const names[] = {(char *)"a", (char *)"b", (char *)"c"};
    MpLedger_Init(&ledger);
    MpLedger_SetPrepaid(&ledger, "w", 1000000);
    for (guint i = 0; i < G_N_ELEMENTS(names); i++) {
        struct mp_incarnation holder = {.instance = names[i], .boot = 1};
        MpLedger_UpdateSlice(&ledger, &holder, 1, &wanted, &held);
    }
    const struct MpAccount *account = MpLedger_FindAccount(&ledger, "w");
    g_assert_cmpint(account->leased_mtok, <=,
                    1000 * MP_LEDGER_SLICES_MAX_PERMILLE);
    MpLedger_Done(&ledger);
}

/* Near the end of the budget little is held beyond what is running. */
static void
test_end_of_budget(void)
{
    struct MpLedger ledger;
    struct mp_slice_status held;
    struct mp_incarnation holder = {.instance = (char *)"r", .boot = 1};
    struct mp_slice wanted = {.workspace = (char *)"w",
                              .requested_mtok = 1000000,
                              .need_mtok = 900000};
    MpLedger_Init(&ledger);
    MpLedger_SetPrepaid(&ledger, "w", 1000000);
    MpLedger_UpdateSlice(&ledger, &holder, 1, &wanted, &held);
    g_assert_cmpint(held.held_mtok, ==, 900000);
    wanted = (struct mp_slice){.workspace = (char *)"w",
                               .drawn_mtok = 900000,
                               .spent_mtok = 900000,
                               .requested_mtok = 1000000};
    MpLedger_UpdateSlice(&ledger, &holder, 2, &wanted, &held);
    g_assert_cmpint(held.held_mtok, <=, 100 * MP_LEDGER_SLICES_MIN_PERMILLE);
    MpLedger_Done(&ledger);
}

/* ---- loans ---- */

static struct mp_lend
lend_of(int64_t need_mtok, int64_t want_mtok)
{
    return (struct mp_lend){.workspace = (char *)"w",
                            .need_mtok = need_mtok,
                            .want_mtok = want_mtok};
}

/* A lender gives what is needed and a part of the rest; out of touch with the
 * ledger it gives what it has, and says so. */
static void
test_lend(void)
{
    struct pair pair;
    int64_t lent_mtok;
    pair_start(&pair, 1000000);
    struct mp_lend lend = lend_of(5000, 900000);
    g_assert_cmpint(
        MpSlices_Lend(&pair.slices, &lend, false, pair.now_ms, &lent_mtok), ==,
        MP_ERROR_RECALLING);
    g_assert_cmpint(lent_mtok, ==, 0);
    report(&pair);
    g_assert_cmpint(
        MpSlices_Lend(&pair.slices, &lend, true, pair.now_ms, &lent_mtok), ==,
        MP_OK);
    g_assert_cmpint(lent_mtok, >=, 5000);
    g_assert_cmpint(lent_mtok, <, 900000);
    struct mp_lend bad = lend_of(-5000, 5000);
    int64_t before_mtok =
        MpSlices_Held(&pair.slices) + MpSlices_Balances(&pair.slices);
    g_assert_cmpint(
        MpSlices_Lend(&pair.slices, &bad, true, pair.now_ms, &lent_mtok), ==,
        MP_ERROR_INVALID);
    g_assert_cmpint(lent_mtok, ==, 0);
    g_assert_cmpint(MpSlices_Held(&pair.slices) +
                        MpSlices_Balances(&pair.slices),
                    ==, before_mtok);
    pair.now_ms += MP_SLICE_PARTITION_MS + 1;
    int64_t left_mtok =
        MpSlices_Held(&pair.slices) + MpSlices_Balances(&pair.slices);
    lend = lend_of(left_mtok + 1, left_mtok + 1);
    g_assert_cmpint(
        MpSlices_Lend(&pair.slices, &lend, false, pair.now_ms, &lent_mtok), ==,
        MP_ERROR_NO_QUORUM);
    g_assert_cmpint(lent_mtok, ==, left_mtok);
    pair_end(&pair);
}

/* What was drawn by one router and spent by another is billed once, and
 * nothing stays set aside when both have given back their rest. */
static void
test_loan_is_billed(void)
{
    struct pair pair;
    struct MpSlices borrower;
    struct mp_slice_status held;
    int64_t lent_mtok;
    struct mp_incarnation holder = {.instance = (char *)"b", .boot = 1};
    struct mp_slices told = {.incarnation = holder};
    pair_start(&pair, 1000000);
    MpSlices_Init(&borrower);
    MpSlices_SetIncarnation(&borrower, 1);
    MpSlices_Add(&borrower, "w", false);
    /* The first report tells what is free, the second asks for a share. */
    report(&pair);
    pair.now_ms += MP_SLICE_REPORT_MS;
    report(&pair);
    struct mp_lend lend = lend_of(3000, 4000);
    MpSlices_Lend(&pair.slices, &lend, true, pair.now_ms, &lent_mtok);
    MpSlices_Credit(&borrower, "w", lent_mtok);
    g_assert_cmpint(MpSlices_Reserve(&borrower, "w", 3000, false, 1000), ==,
                    MP_OK);
    MpSlices_Settle(&borrower, "w", 3000, 1200);
    borrower.is_leaving = true;
    pair.slices.is_leaving = true;
    /* The borrower's word comes first. */
    MpSlices_FillReport(&borrower, &told, 2000);
    g_assert_cmpuint(told.list.list_len, ==, 1);
    MpLedger_UpdateSlice(&pair.ledger, &holder, 1, &told.list.list_val[0],
                         &held);
    pair.now_ms += 2 * MP_SLICE_REPORT_MS;
    report(&pair);
    const struct MpAccount *account = MpLedger_FindAccount(&pair.ledger, "w");
    g_assert_cmpint(account->settled_mtok, ==, 1200);
    g_assert_cmpint(MpAccount_Available(account), ==, 1000000 - 1200);
    g_free(told.list.list_val);
    MpSlices_Done(&borrower);
    pair_end(&pair);
}

/* Out of touch with the ledger nothing is given back to it. */
static void
test_keeps_while_cut_off(void)
{
    struct pair pair;
    pair_start(&pair, 1000000);
    struct mp_slices told = {
        .incarnation = {.instance = (char *)"r", .boot = 1}};
    MpSlices_Reserve(&pair.slices, "w", 20000, false, pair.now_ms);
    report(&pair);
    MpSlices_Reserve(&pair.slices, "w", 20000, true, pair.now_ms);
    MpSlices_Settle(&pair.slices, "w", 20000, 0);
    int64_t before_mtok =
        MpSlices_Held(&pair.slices) + MpSlices_Balances(&pair.slices);
    /* Long enough for all demand to have faded. */
    pair.now_ms += 20 * MP_SLICE_DECAY_MS;
    MpSlices_FillReport(&pair.slices, &told, pair.now_ms);
    MpSlices_HandleReply(&pair.slices, NULL, pair.now_ms);
    g_free(told.list.list_val);
    g_assert_cmpint(MpSlices_Held(&pair.slices) +
                        MpSlices_Balances(&pair.slices),
                    ==, before_mtok);
    pair_end(&pair);
}

/* What was refused a moment ago is refused at once, but not what is
 * smaller. */
static void
test_noted(void)
{
    struct pair pair;
    pair_start(&pair, 1000);
    MpSlices_NoteExhausted(&pair.slices, "w", 5000, MP_ERROR_BUDGET,
                           pair.now_ms);
    g_assert_cmpint(
        MpSlices_Reserve(&pair.slices, "w", 5000, false, pair.now_ms), ==,
        MP_ERROR_BUDGET);
    g_assert_cmpint(
        MpSlices_Reserve(&pair.slices, "w", 4999, false, pair.now_ms), ==,
        MP_ERROR_RECALLING);
    pair.now_ms += MP_SLICE_EXHAUSTED_MS;
    g_assert_cmpint(
        MpSlices_Reserve(&pair.slices, "w", 5000, false, pair.now_ms), ==,
        MP_ERROR_RECALLING);
    pair_end(&pair);
}

/* ---- a partition under load ---- */

/* One workspace, many routers with a request now and then; all are cut off
 * from the ledger, but not from each other, while most of the budget is free,
 * and its callers move to other routers at that moment. */
#define ROUTERS 24
#define KEEPERS 2
#define LOAD_PREPAID INT64_C(10000000)
#define LOAD_REQUEST 6460
#define LOAD_STEP_MS 20
#define CUT_FROM_MS 6000
#define CUT_TO_MS 15000

struct load {
    struct MpLedger ledger;
    struct MpSlices routers[ROUTERS];
    uint64_t seq[ROUTERS];
    int64_t now_ms;
    int64_t asked;
    int64_t refused;
};

static void
load_report(struct load *load, int number)
{
    char name[8];
    struct MpSlices *slices = &load->routers[number];
    struct mp_slice_status held[1];
    g_snprintf(name, sizeof(name), "r%d", number);
    struct mp_slices told = {.incarnation = {.instance = name, .boot = 1}};
    if (!MpSlices_IsReportDue(slices, load->now_ms)) {
        return;
    }
    bool is_cut = load->now_ms >= CUT_FROM_MS && load->now_ms < CUT_TO_MS;
    MpSlices_FillReport(slices, &told, load->now_ms);
    for (u_int i = 0; i < told.list.list_len && !is_cut; i++) {
        MpLedger_UpdateSlice(&load->ledger, &told.incarnation, told.seq,
                             &told.list.list_val[i], &held[i]);
    }
    struct mp_result result = {
        .slices = {.slices_val = held, .slices_len = told.list.list_len}};
    MpSlices_HandleReply(slices, is_cut ? NULL : &result, load->now_ms);
    g_free(told.list.list_val);
}

static bool
load_borrow(struct load *load, int number)
{
    struct MpSlices *slices = &load->routers[number];
    for (int k = 0; k < KEEPERS; k++) {
        int64_t lent_mtok;
        int64_t missing_mtok = MpSlices_Missing(slices, "w", LOAD_REQUEST);
        struct mp_lend lend = lend_of(
            missing_mtok,
            MpSlices_LoanAmount(slices, "w", missing_mtok, load->now_ms));
        MpSlices_Lend(&load->routers[k], &lend, false, load->now_ms,
                      &lent_mtok);
        MpSlices_Credit(slices, "w", lent_mtok);
        if (MpSlices_Reserve(slices, "w", LOAD_REQUEST, false, load->now_ms) ==
            MP_OK) {
            return true;
        }
        load_report(load, k);
    }
    return false;
}

static int64_t
play_load(bool lends)
{
    struct load *load = g_new0(struct load, 1);
    GRand *random = g_rand_new_with_seed(7);
    MpLedger_Init(&load->ledger);
    MpLedger_SetPrepaid(&load->ledger, "w", LOAD_PREPAID);
    for (int i = 0; i < ROUTERS; i++) {
        MpSlices_Init(&load->routers[i]);
        MpSlices_SetIncarnation(&load->routers[i], 1);
        load->routers[i].primary_count = lends ? KEEPERS : ROUTERS;
        MpSlices_Add(&load->routers[i], "w", !lends || i < KEEPERS);
    }
    for (load->now_ms = 1; load->now_ms < CUT_TO_MS;
         load->now_ms += LOAD_STEP_MS) {
        for (int i = 0; i < ROUTERS; i++) {
            load_report(load, i);
        }
        /* About 50 requests a second: a third of the budget in all. */
        int number = g_rand_int_range(random, 0, ROUTERS / 2) +
                     (load->now_ms < CUT_FROM_MS ? 0 : ROUTERS / 2);
        struct MpSlices *slices = &load->routers[number];
        bool is_good = MpSlices_Reserve(slices, "w", LOAD_REQUEST, false,
                                        load->now_ms) == MP_OK;
        if (!is_good && lends) {
            is_good = load_borrow(load, number);
        }
        if (!is_good) {
            load_report(load, number);
            is_good = MpSlices_Reserve(slices, "w", LOAD_REQUEST, true,
                                       load->now_ms) == MP_OK;
        }
        if (is_good) {
            MpSlices_Settle(slices, "w", LOAD_REQUEST, LOAD_REQUEST / 2);
        }
        load->asked++;
        load->refused += !is_good;
    }
    int64_t permille = 1000 * load->refused / load->asked;
    g_assert_cmpint(MpLedger_Check(&load->ledger), ==, MP_OK);
    for (int i = 0; i < ROUTERS; i++) {
        MpSlices_Done(&load->routers[i]);
    }
    MpLedger_Done(&load->ledger);
    g_rand_free(random);
    g_free(load);
    return permille;
}

static void
test_partition_load(void)
{
    int64_t apart = play_load(false);
    int64_t together = play_load(true);
    g_test_message("refused of 1,000: %d each for itself, %d with loans",
                   (int)apart, (int)together);
    g_assert_cmpint(together, <=, 10);
    g_assert_cmpint(apart, >, together);
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
    g_test_add_func("/slices/a lender gives what there is", test_lend);
    g_test_add_func("/slices/a loan is billed once", test_loan_is_billed);
    g_test_add_func("/slices/nothing goes back while cut off",
                    test_keeps_while_cut_off);
    g_test_add_func("/slices/a refusal stands for a moment", test_noted);
    g_test_add_func("/slices/many routers in a partition",
                    test_partition_load);
    return g_test_run();
}
