#include "state/Ledger.h"

#include "state/Fault.h"
#include "state/LedgerInternal.h"

/* Slices: leases that routers hold for requests on paths; see Ledger.h. */

int64_t
MpAccount_Fenced(const struct MpAccount *this)
{
    int64_t fenced_mtok = 0;
    for (guint i = 0; i < this->leases->len; i++) {
        const struct MpLease *lease = g_ptr_array_index(this->leases, i);
        fenced_mtok += lease->is_fenced ? lease->amount_mtok : 0;
    }
    return fenced_mtok;
}

/* Raises the running total *known_mtok to reported_mtok, by at most max_mtok.
 * Returns the increase. */
static int64_t
advance_total(int64_t *known_mtok, int64_t reported_mtok, int64_t max_mtok)
{
    int64_t new_mtok = CLAMP(reported_mtok - *known_mtok, 0, max_mtok);
    *known_mtok += new_mtok;
    return new_mtok;
}

/* Applies what was drawn, spent and returned since the last report.  What a
 * router spends may have been drawn by another router that lent it. */
static void
settle_slice(struct MpAccount *account, struct MpLease *lease,
             const struct mp_slice *report)
{
    int64_t drawn_mtok = advance_total(&lease->drawn_mtok, report->drawn_mtok,
                                       lease->amount_mtok);
    int64_t spent_mtok = advance_total(&lease->spent_mtok, report->spent_mtok,
                                       MP_AMOUNT_MAX_MTOK);
    int64_t returned_mtok = advance_total(
        &lease->returned_mtok, report->returned_mtok, MP_AMOUNT_MAX_MTOK);
    if (MP_FAULT(MP_FAULT_RETURNED_TWICE)) {
        returned_mtok = report->returned_mtok;
    }
    lease->amount_mtok -= drawn_mtok;
    account->leased_mtok -= drawn_mtok;
    account->settled_mtok += spent_mtok;
    account->outstanding_mtok += drawn_mtok - spent_mtok - returned_mtok;
    if (MP_FAULT(MP_FAULT_DRAWN_NOT_OUTSTANDING)) {
        account->outstanding_mtok -= drawn_mtok;
    }
}

/* Returns the limit of all slices as a share of left_mtok, in thousandths.  It
 * falls as the budget is used up, because a crash of all routers then strands
 * a part of the budget that is still needed. */
static int64_t
slices_permille(const struct MpAccount *account, int64_t left_mtok)
{
    int64_t left_permille = left_mtok / MAX(account->granted_mtok / 1000, 1);
    int64_t more_permille =
        (left_permille - MP_LEDGER_BUDGET_LOW_PERMILLE) *
        (MP_LEDGER_SLICES_MAX_PERMILLE - MP_LEDGER_SLICES_MIN_PERMILLE) /
        (MP_LEDGER_BUDGET_HIGH_PERMILLE - MP_LEDGER_BUDGET_LOW_PERMILLE);
    return CLAMP(MP_LEDGER_SLICES_MIN_PERMILLE + more_permille,
                 MP_LEDGER_SLICES_MIN_PERMILLE, MP_LEDGER_SLICES_MAX_PERMILLE);
}

/* Returns the limit of the sum of all slices; *active_mtok is the sum of the
 * leases that are not fenced. */
static int64_t
slices_max(const struct MpAccount *account, int64_t *active_mtok)
{
    *active_mtok = account->leased_mtok - MpAccount_Fenced(account);
    int64_t left_mtok = MAX(MpAccount_Available(account) + *active_mtok, 0);
    return left_mtok / 1000 * slices_permille(account, left_mtok);
}

/* Returns the change of a slice towards requested_mtok: a decrease in full, an
 * increase as far as the limit of all slices and the budget allow. */
static int64_t
slice_change(const struct MpAccount *account, const struct MpLease *lease,
             const struct mp_slice *report)
{
    int64_t change_mtok = report->requested_mtok - lease->amount_mtok;
    if (change_mtok <= 0) {
        return change_mtok;
    }
    int64_t active_mtok;
    int64_t free_mtok = MAX(MpAccount_Available(account), 0);
    int64_t max_mtok = slices_max(account, &active_mtok) - active_mtok;
    if (MP_FAULT(MP_FAULT_SLICE_BEYOND_BUDGET)) {
        return change_mtok;
    }
    /* Waiting requests may exceed the limit of all slices, up to the available
     * budget. */
    max_mtok = MAX(max_mtok, MIN(report->need_mtok, free_mtok));
    return CLAMP(change_mtok, 0, MAX(MIN(max_mtok, free_mtok), 0));
}

/* Returns the limit of one slice.  While all slices together exceed their
 * limit, each is reduced in proportion. */
static int64_t
slice_max(const struct MpAccount *account, const struct MpLease *lease)
{
    int64_t active_mtok;
    int64_t max_mtok = slices_max(account, &active_mtok);
    if (active_mtok <= max_mtok) {
        return lease->amount_mtok + (max_mtok - active_mtok);
    }
    return (int64_t)((double)lease->amount_mtok * (double)max_mtok /
                     (double)active_mtok);
}

void
MpLedger_UpdateSlice(struct MpLedger *this,
                     const struct mp_incarnation *holder, uint64_t seq,
                     const struct mp_slice *report,
                     struct mp_slice_status *status)
{
    struct MpAccount *account = MpLedger_FindAccount(this, report->workspace);
    *status = (struct mp_slice_status){.held_mtok = 0};
    if (!account || !MpLedger_IsValidAmount(report->requested_mtok) ||
        !MpLedger_IsValidAmount(report->need_mtok)) {
        return;
    }
    struct MpLease *lease =
        MpLedger_FindOrAddLease(account, holder, MP_LEASE_PATHS);
    if (seq > lease->seq || MP_FAULT(MP_FAULT_SLICE_SEQ_IGNORED)) {
        lease->seq = seq;
        settle_slice(account, lease, report);
        int64_t change_mtok = slice_change(account, lease, report);
        lease->amount_mtok += change_mtok;
        account->leased_mtok += change_mtok;
    }
    status->held_mtok = lease->amount_mtok;
    status->free_mtok = MAX(MpAccount_Available(account), 0);
    status->max_mtok = slice_max(account, lease);
}
