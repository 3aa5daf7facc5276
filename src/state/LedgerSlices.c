#include "state/Ledger.h"

#include "state/Fault.h"
#include "state/LedgerInternal.h"

/* Slices of budgets that routers hold; see Ledger.h. */

int64_t
MpAccount_Fenced(const struct MpAccount *this)
{
    int64_t dead_mtok = 0;
    for (guint i = 0; i < this->leases->len; i++) {
        const struct MpLease *lease = g_ptr_array_index(this->leases, i);
        dead_mtok += lease->is_dead ? lease->amount_mtok : 0;
    }
    return dead_mtok;
}

/* Takes what is new in a sum that only grows. */
static int64_t
advance(int64_t *known_mtok, int64_t told_mtok, int64_t most_mtok)
{
    int64_t new_mtok = CLAMP(told_mtok - *known_mtok, 0, most_mtok);
    *known_mtok += new_mtok;
    return new_mtok;
}

/* Moves what was drawn, spent and returned since the last report.  What a
 * router spends may have been drawn by another one. */
static void
settle_slice(struct MpAccount *account, struct MpLease *lease,
             const struct mp_slice *told)
{
    int64_t drawn_mtok =
        advance(&lease->drawn_mtok, told->drawn_mtok, lease->amount_mtok);
    int64_t spent_mtok =
        advance(&lease->spent_mtok, told->spent_mtok, MP_AMOUNT_MAX_MTOK);
    int64_t returned_mtok = advance(&lease->returned_mtok, told->returned_mtok,
                                    MP_AMOUNT_MAX_MTOK);
    if (MP_FAULT(MP_FAULT_RETURNED_TWICE)) {
        returned_mtok = told->returned_mtok;
    }
    lease->amount_mtok -= drawn_mtok;
    account->leased_mtok -= drawn_mtok;
    account->settled_mtok += spent_mtok;
    account->outstanding_mtok += drawn_mtok - spent_mtok - returned_mtok;
    if (MP_FAULT(MP_FAULT_SPENT_NOT_AFLOAT)) {
        account->outstanding_mtok -= drawn_mtok;
    }
}

/* Much is held while much is left; near the end of a budget what a death of
 * all strands would be missed. */
static int64_t
slices_permille(const struct MpAccount *account, int64_t left_mtok)
{
    int64_t left_permille = left_mtok / MAX(account->granted_mtok / 1000, 1);
    int64_t more_permille =
        (left_permille - MP_LEDGER_SLICES_LOW_PERMILLE) *
        (MP_LEDGER_SLICES_MAX_PERMILLE - MP_LEDGER_SLICES_MIN_PERMILLE) /
        (MP_LEDGER_SLICES_HIGH_PERMILLE - MP_LEDGER_SLICES_LOW_PERMILLE);
    return CLAMP(MP_LEDGER_SLICES_MIN_PERMILLE + more_permille,
                 MP_LEDGER_SLICES_MIN_PERMILLE, MP_LEDGER_SLICES_MAX_PERMILLE);
}

/* Returns what the slices of living routers may take in all; *live is what
 * they take now. */
static int64_t
slices_most(const struct MpAccount *account, int64_t *live_mtok)
{
    *live_mtok = account->leased_mtok - MpAccount_Fenced(account);
    int64_t left_mtok = MAX(MpAccount_Available(account) + *live_mtok, 0);
    return left_mtok / 1000 * slices_permille(account, left_mtok);
}

/* Returns the change of a slice that brings it to requested_mtok: less at
 * once, more as far as all slices together and the budget allow. */
static int64_t
slice_change(const struct MpAccount *account, const struct MpLease *lease,
             const struct mp_slice *wanted)
{
    int64_t change_mtok = wanted->requested_mtok - lease->amount_mtok;
    if (change_mtok <= 0) {
        return change_mtok;
    }
    int64_t live_mtok;
    int64_t free_mtok = MAX(MpAccount_Available(account), 0);
    int64_t most_mtok = slices_most(account, &live_mtok) - live_mtok;
    if (MP_FAULT(MP_FAULT_SLICE_BEYOND_BUDGET)) {
        return change_mtok;
    }
    /* What waits goes before what is held, as far as there is any. */
    most_mtok = MAX(most_mtok, MIN(wanted->need_mtok, free_mtok));
    return CLAMP(change_mtok, 0, MAX(MIN(most_mtok, free_mtok), 0));
}

/* Returns the part of a slice that leaves room for the others: all shrink
 * alike while they take too much. */
static int64_t
slice_most(const struct MpAccount *account, const struct MpLease *lease)
{
    int64_t live_mtok;
    int64_t most_mtok = slices_most(account, &live_mtok);
    if (live_mtok <= most_mtok) {
        return lease->amount_mtok + (most_mtok - live_mtok);
    }
    return (int64_t)((double)lease->amount_mtok * (double)most_mtok /
                     (double)live_mtok);
}

void
MpLedger_UpdateSlice(struct MpLedger *this,
                     const struct mp_incarnation *holder, uint64_t seq,
                     const struct mp_slice *wanted,
                     struct mp_slice_status *held)
{
    struct MpAccount *account = MpLedger_FindAccount(this, wanted->workspace);
    *held = (struct mp_slice_status){.held_mtok = 0};
    if (!account || !MpLedger_IsAmount(wanted->requested_mtok) ||
        !MpLedger_IsAmount(wanted->need_mtok)) {
        return;
    }
    struct MpLease *lease = MpLedger_LeaseOf(account, holder, MP_LEASE_PATHS);
    if (seq > lease->seq || MP_FAULT(MP_FAULT_SLICE_SEQ_IGNORED)) {
        lease->seq = seq;
        settle_slice(account, lease, wanted);
        int64_t change_mtok = slice_change(account, lease, wanted);
        lease->amount_mtok += change_mtok;
        account->leased_mtok += change_mtok;
    }
    held->held_mtok = lease->amount_mtok;
    held->free_mtok = MAX(MpAccount_Available(account), 0);
    held->max_mtok = slice_most(account, lease);
}
