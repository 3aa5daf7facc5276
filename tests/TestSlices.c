/* Tests of slices: the parts of a workspace's budget that routers hold, draw
 * from, lend to each other and report to the ledger. */

#include "coordination/Slices.h"
#include "state/Error.h"
#include "state/Ledger.h"

#include <glib.h>

/* One router, and a ledger that replies immediately. */
struct fixture {
    struct MpLedger ledger;
    struct MpSlices slices;
    int64_t now_ms;
};

static void
fixture_init(struct fixture *this, int64_t prepaid_mtok)
{
    *this = (struct fixture){.now_ms = 1000};
    MpLedger_Init(&this->ledger);
    MpSlices_Init(&this->slices);
    MpLedger_SetPrepaid(&this->ledger, "w", prepaid_mtok);
    MpSlices_SetIncarnation(&this->slices, 1);
    this->slices.primary_count = 10;
    MpSlices_Add(&this->slices, "w", true);
}

static void
fixture_done(struct fixture *this)
{
    MpSlices_Done(&this->slices);
    MpLedger_Done(&this->ledger);
}

static void
report(struct fixture *this)
{
    struct mp_incarnation holder = {.instance = (char *)"r", .boot = 1};
    struct mp_slices slices = {.incarnation = holder};
    struct mp_slice_status status[4];
    g_assert_true(MpSlices_IsReportDue(&this->slices, this->now_ms));
    MpSlices_FillReport(&this->slices, &slices, this->now_ms);
    for (u_int i = 0; i < slices.list.list_len; i++) {
        MpLedger_UpdateSlice(&this->ledger, &holder, slices.seq,
                             &slices.list.list_val[i], &status[i]);
    }
    struct mp_result result = {
        .slices = {.slices_val = status, .slices_len = slices.list.list_len}};
    MpSlices_HandleReply(&this->slices, &result, this->now_ms);
    g_free(slices.list.list_val);
}

static void
test_wait_for_slice(void)
{
    struct fixture fixture;
    fixture_init(&fixture, 1000000);
    g_assert_cmpint(
        MpSlices_Reserve(&fixture.slices, "w", 5000, false, fixture.now_ms),
        ==, MP_ERROR_RECALLING);
    report(&fixture);
    g_assert_cmpint(
        MpSlices_Reserve(&fixture.slices, "w", 5000, true, fixture.now_ms), ==,
        MP_OK);
    fixture_done(&fixture);
}

/* When more requests wait than the rest of the budget covers, those that fit
 * are served and the others are refused with MP_ERROR_BUDGET. */
static void
test_budget_exhausted(void)
{
    struct fixture fixture;
    fixture_init(&fixture, 10000);
    for (int i = 0; i < 4; i++) {
        g_assert_cmpint(MpSlices_Reserve(&fixture.slices, "w", 4000, false,
                                         fixture.now_ms),
                        ==, MP_ERROR_RECALLING);
    }
    report(&fixture);
    int served = 0;
    for (int i = 0; i < 4; i++) {
        int code =
            MpSlices_Reserve(&fixture.slices, "w", 4000, true, fixture.now_ms);
        served += code == MP_OK;
        g_assert_cmpint(code, ==, i < 2 ? MP_OK : MP_ERROR_BUDGET);
    }
    g_assert_cmpint(served, ==, 2);
    fixture_done(&fixture);
}

/* The settled amount is billed once, whatever amount was reserved. */
static void
test_bill(void)
{
    struct fixture fixture;
    fixture_init(&fixture, 1000000);
    MpSlices_Reserve(&fixture.slices, "w", 5000, false, fixture.now_ms);
    report(&fixture);
    MpSlices_Reserve(&fixture.slices, "w", 5000, true, fixture.now_ms);
    MpSlices_Settle(&fixture.slices, "w", 5000, 1234);
    fixture.now_ms += 2 * MP_SLICE_REPORT_MS;
    report(&fixture);
    const struct MpAccount *account =
        MpLedger_FindAccount(&fixture.ledger, "w");
    g_assert_cmpint(account->settled_mtok, ==, 1234);
    g_assert_cmpint(MpLedger_Check(&fixture.ledger), ==, MP_OK);
    fixture_done(&fixture);
}

/* All slices together are limited to MP_LEDGER_SLICES_MAX_PERMILLE of the
 * budget. */
static void
test_bound_of_all(void)
{
    struct MpLedger ledger;
    struct mp_slice_status status;
    struct mp_slice request = {.workspace = (char *)"w",
                               .requested_mtok = 1000000};
    char *const names[] = {(char *)"a", (char *)"b", (char *)"c"};
    MpLedger_Init(&ledger);
    MpLedger_SetPrepaid(&ledger, "w", 1000000);
    for (guint i = 0; i < G_N_ELEMENTS(names); i++) {
        struct mp_incarnation holder = {.instance = names[i], .boot = 1};
        MpLedger_UpdateSlice(&ledger, &holder, 1, &request, &status);
    }
    const struct MpAccount *account = MpLedger_FindAccount(&ledger, "w");
    g_assert_cmpint(account->leased_mtok, <=,
                    1000 * MP_LEDGER_SLICES_MAX_PERMILLE);
    MpLedger_Done(&ledger);
}

/* Near the end of the budget a slice holds little beyond the running
 * requests. */
static void
test_end_of_budget(void)
{
    struct MpLedger ledger;
    struct mp_slice_status status;
    struct mp_incarnation holder = {.instance = (char *)"r", .boot = 1};
    struct mp_slice request = {.workspace = (char *)"w",
                               .requested_mtok = 1000000,
                               .need_mtok = 900000};
    MpLedger_Init(&ledger);
    MpLedger_SetPrepaid(&ledger, "w", 1000000);
    MpLedger_UpdateSlice(&ledger, &holder, 1, &request, &status);
    g_assert_cmpint(status.held_mtok, ==, 900000);
    request = (struct mp_slice){.workspace = (char *)"w",
                                .drawn_mtok = 900000,
                                .spent_mtok = 900000,
                                .requested_mtok = 1000000};
    MpLedger_UpdateSlice(&ledger, &holder, 2, &request, &status);
    g_assert_cmpint(status.held_mtok, <=, 100 * MP_LEDGER_SLICES_MIN_PERMILLE);
    MpLedger_Done(&ledger);
}

/* ---- loans ---- */

static struct mp_lend
make_lend(int64_t need_mtok, int64_t want_mtok)
{
    return (struct mp_lend){.workspace = (char *)"w",
                            .need_mtok = need_mtok,
                            .want_mtok = want_mtok};
}

/* A lender grants the needed amount and a part of the further amount wanted.
 * While the quorum is unreachable it grants what it holds, and returns
 * MP_ERROR_NO_QUORUM if that does not cover the need. */
static void
test_lend_amounts(void)
{
    struct fixture fixture;
    int64_t lent_mtok;
    fixture_init(&fixture, 1000000);
    struct mp_lend lend = make_lend(5000, 900000);
    g_assert_cmpint(MpSlices_Lend(&fixture.slices, &lend, false,
                                  fixture.now_ms, &lent_mtok),
                    ==, MP_ERROR_RECALLING);
    g_assert_cmpint(lent_mtok, ==, 0);
    report(&fixture);
    g_assert_cmpint(MpSlices_Lend(&fixture.slices, &lend, true, fixture.now_ms,
                                  &lent_mtok),
                    ==, MP_OK);
    g_assert_cmpint(lent_mtok, >=, 5000);
    g_assert_cmpint(lent_mtok, <, 900000);
    struct mp_lend invalid = make_lend(-5000, 5000);
    int64_t before_mtok =
        MpSlices_Held(&fixture.slices) + MpSlices_Balances(&fixture.slices);
    g_assert_cmpint(MpSlices_Lend(&fixture.slices, &invalid, true,
                                  fixture.now_ms, &lent_mtok),
                    ==, MP_ERROR_INVALID);
    g_assert_cmpint(lent_mtok, ==, 0);
    g_assert_cmpint(MpSlices_Held(&fixture.slices) +
                        MpSlices_Balances(&fixture.slices),
                    ==, before_mtok);
    fixture.now_ms += MP_SLICE_PARTITION_MS + 1;
    int64_t left_mtok =
        MpSlices_Held(&fixture.slices) + MpSlices_Balances(&fixture.slices);
    lend = make_lend(left_mtok + 1, left_mtok + 1);
    g_assert_cmpint(MpSlices_Lend(&fixture.slices, &lend, false,
                                  fixture.now_ms, &lent_mtok),
                    ==, MP_ERROR_NO_QUORUM);
    g_assert_cmpint(lent_mtok, ==, left_mtok);
    fixture_done(&fixture);
}

/* An amount drawn by one router and spent by another is billed once, and
 * nothing remains set aside after both have returned their rest. */
static void
test_loan_is_billed(void)
{
    struct fixture fixture;
    struct MpSlices borrower;
    struct mp_slice_status status;
    int64_t lent_mtok;
    struct mp_incarnation holder = {.instance = (char *)"b", .boot = 1};
    struct mp_slices message = {.incarnation = holder};
    fixture_init(&fixture, 1000000);
    MpSlices_Init(&borrower);
    MpSlices_SetIncarnation(&borrower, 1);
    MpSlices_Add(&borrower, "w", false);
    /* The reply to the first report carries the free amount; the second
     * report requests a share of it. */
    report(&fixture);
    fixture.now_ms += MP_SLICE_REPORT_MS;
    report(&fixture);
    struct mp_lend lend = make_lend(3000, 4000);
    MpSlices_Lend(&fixture.slices, &lend, true, fixture.now_ms, &lent_mtok);
    MpSlices_Credit(&borrower, "w", lent_mtok);
    g_assert_cmpint(MpSlices_Reserve(&borrower, "w", 3000, false, 1000), ==,
                    MP_OK);
    MpSlices_Settle(&borrower, "w", 3000, 1200);
    borrower.is_leaving = true;
    fixture.slices.is_leaving = true;
    /* The ledger gets the borrower's report before the lender's. */
    MpSlices_FillReport(&borrower, &message, 2000);
    g_assert_cmpuint(message.list.list_len, ==, 1);
    MpLedger_UpdateSlice(&fixture.ledger, &holder, 1,
                         &message.list.list_val[0], &status);
    fixture.now_ms += 2 * MP_SLICE_REPORT_MS;
    report(&fixture);
    const struct MpAccount *account =
        MpLedger_FindAccount(&fixture.ledger, "w");
    g_assert_cmpint(account->settled_mtok, ==, 1200);
    g_assert_cmpint(MpAccount_Available(account), ==, 1000000 - 1200);
    g_free(message.list.list_val);
    MpSlices_Done(&borrower);
    fixture_done(&fixture);
}

/* While the quorum is unreachable, a router keeps the amounts it holds. */
static void
test_no_return_in_partition(void)
{
    struct fixture fixture;
    fixture_init(&fixture, 1000000);
    struct mp_slices message = {
        .incarnation = {.instance = (char *)"r", .boot = 1}};
    MpSlices_Reserve(&fixture.slices, "w", 20000, false, fixture.now_ms);
    report(&fixture);
    MpSlices_Reserve(&fixture.slices, "w", 20000, true, fixture.now_ms);
    MpSlices_Settle(&fixture.slices, "w", 20000, 0);
    int64_t before_mtok =
        MpSlices_Held(&fixture.slices) + MpSlices_Balances(&fixture.slices);
    /* Long enough for the average demand to decay to nothing. */
    fixture.now_ms += 20 * MP_SLICE_DECAY_MS;
    MpSlices_FillReport(&fixture.slices, &message, fixture.now_ms);
    MpSlices_HandleReply(&fixture.slices, NULL, fixture.now_ms);
    g_free(message.list.list_val);
    g_assert_cmpint(MpSlices_Held(&fixture.slices) +
                        MpSlices_Balances(&fixture.slices),
                    ==, before_mtok);
    fixture_done(&fixture);
}

/* A refusal for an exhausted budget is cached for MP_SLICE_EXHAUSTED_MS:
 * requests of the same amount are refused immediately, smaller ones are not.
 */
static void
test_refusal_cached(void)
{
    struct fixture fixture;
    fixture_init(&fixture, 1000);
    MpSlices_NoteExhausted(&fixture.slices, "w", 5000, MP_ERROR_BUDGET,
                           fixture.now_ms);
    g_assert_cmpint(
        MpSlices_Reserve(&fixture.slices, "w", 5000, false, fixture.now_ms),
        ==, MP_ERROR_BUDGET);
    g_assert_cmpint(
        MpSlices_Reserve(&fixture.slices, "w", 4999, false, fixture.now_ms),
        ==, MP_ERROR_RECALLING);
    fixture.now_ms += MP_SLICE_EXHAUSTED_MS;
    g_assert_cmpint(
        MpSlices_Reserve(&fixture.slices, "w", 5000, false, fixture.now_ms),
        ==, MP_ERROR_RECALLING);
    fixture_done(&fixture);
}

/* ---- a partition under load ---- */

/* One workspace and many routers with few requests each.  While most of the
 * budget is free, all routers lose the ledger but not each other, and the
 * callers move to the other half of the routers at the same moment. */
#define ROUTERS 24
#define PRIMARIES 2
#define LOAD_PREPAID INT64_C(10000000)
#define LOAD_REQUEST 6460
#define LOAD_STEP_MS 20
#define PARTITION_START_MS 6000
#define PARTITION_END_MS 15000

struct load {
    struct MpLedger ledger;
    struct MpSlices routers[ROUTERS];
    uint64_t seq[ROUTERS];
    int64_t now_ms;
    int64_t request_count;
    int64_t refused_count;
};

static void
load_report(struct load *load, int index)
{
    char name[8];
    struct MpSlices *slices = &load->routers[index];
    struct mp_slice_status status[1];
    g_snprintf(name, sizeof(name), "r%d", index);
    struct mp_slices message = {.incarnation = {.instance = name, .boot = 1}};
    if (!MpSlices_IsReportDue(slices, load->now_ms)) {
        return;
    }
    bool is_partitioned =
        load->now_ms >= PARTITION_START_MS && load->now_ms < PARTITION_END_MS;
    MpSlices_FillReport(slices, &message, load->now_ms);
    for (u_int i = 0; i < message.list.list_len && !is_partitioned; i++) {
        MpLedger_UpdateSlice(&load->ledger, &message.incarnation, message.seq,
                             &message.list.list_val[i], &status[i]);
    }
    struct mp_result result = {
        .slices = {.slices_val = status, .slices_len = message.list.list_len}};
    MpSlices_HandleReply(slices, is_partitioned ? NULL : &result,
                         load->now_ms);
    g_free(message.list.list_val);
}

static bool
load_request_loan(struct load *load, int index)
{
    struct MpSlices *slices = &load->routers[index];
    for (int k = 0; k < PRIMARIES; k++) {
        int64_t lent_mtok;
        int64_t missing_mtok = MpSlices_Missing(slices, "w", LOAD_REQUEST);
        struct mp_lend lend = make_lend(
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
run_load(bool has_loans)
{
    struct load *load = g_new0(struct load, 1);
    GRand *random = g_rand_new_with_seed(7);
    MpLedger_Init(&load->ledger);
    MpLedger_SetPrepaid(&load->ledger, "w", LOAD_PREPAID);
    for (int i = 0; i < ROUTERS; i++) {
        MpSlices_Init(&load->routers[i]);
        MpSlices_SetIncarnation(&load->routers[i], 1);
        load->routers[i].primary_count = has_loans ? PRIMARIES : ROUTERS;
        MpSlices_Add(&load->routers[i], "w", !has_loans || i < PRIMARIES);
    }
    for (load->now_ms = 1; load->now_ms < PARTITION_END_MS;
         load->now_ms += LOAD_STEP_MS) {
        for (int i = 0; i < ROUTERS; i++) {
            load_report(load, i);
        }
        /* About 50 requests per second, a third of the budget in total. */
        int index = g_rand_int_range(random, 0, ROUTERS / 2) +
                    (load->now_ms < PARTITION_START_MS ? 0 : ROUTERS / 2);
        struct MpSlices *slices = &load->routers[index];
        bool is_reserved = MpSlices_Reserve(slices, "w", LOAD_REQUEST, false,
                                            load->now_ms) == MP_OK;
        if (!is_reserved && has_loans) {
            is_reserved = load_request_loan(load, index);
        }
        if (!is_reserved) {
            load_report(load, index);
            is_reserved = MpSlices_Reserve(slices, "w", LOAD_REQUEST, true,
                                           load->now_ms) == MP_OK;
        }
        if (is_reserved) {
            MpSlices_Settle(slices, "w", LOAD_REQUEST, LOAD_REQUEST / 2);
        }
        load->request_count++;
        load->refused_count += !is_reserved;
    }
    int64_t refused_permille =
        1000 * load->refused_count / load->request_count;
    g_assert_cmpint(MpLedger_Check(&load->ledger), ==, MP_OK);
    for (int i = 0; i < ROUTERS; i++) {
        MpSlices_Done(&load->routers[i]);
    }
    MpLedger_Done(&load->ledger);
    g_rand_free(random);
    g_free(load);
    return refused_permille;
}

static void
test_partition_load(void)
{
    int64_t without_loans = run_load(false);
    int64_t with_loans = run_load(true);
    g_test_message("refused of 1,000: %d for routers without loans, "
                   "%d with loans",
                   (int)without_loans, (int)with_loans);
    g_assert_cmpint(with_loans, <=, 10);
    g_assert_cmpint(without_loans, >, with_loans);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/slices/a request waits for its slice",
                    test_wait_for_slice);
    g_test_add_func("/slices/the last part goes to those that fit",
                    test_budget_exhausted);
    g_test_add_func("/slices/the settled amount is billed", test_bill);
    g_test_add_func("/slices/all slices leave most of the budget free",
                    test_bound_of_all);
    g_test_add_func("/slices/little is held near the end", test_end_of_budget);
    g_test_add_func("/slices/a lender grants what it holds",
                    test_lend_amounts);
    g_test_add_func("/slices/a loan is billed once", test_loan_is_billed);
    g_test_add_func("/slices/nothing is returned while cut off",
                    test_no_return_in_partition);
    g_test_add_func("/slices/a refusal is cached for a moment",
                    test_refusal_cached);
    g_test_add_func("/slices/many routers in a partition",
                    test_partition_load);
    return g_test_run();
}
