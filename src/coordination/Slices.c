#include "coordination/Slices.h"

#include "state/Error.h"
#include "state/Fault.h"
#include "state/Ledger.h"

#include <math.h>

static void
slice_delete(void *data)
{
    struct MpSlice *this = data;
    g_free(this->workspace);
    g_free(this);
}

void
MpSlices_Init(struct MpSlices *this)
{
    *this = (struct MpSlices){.boot = 0};
    this->slices =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, slice_delete);
    this->reported = g_ptr_array_new();
}

void
MpSlices_Done(struct MpSlices *this)
{
    g_hash_table_unref(this->slices);
    g_ptr_array_unref(this->reported);
}

static struct MpSlice *
slice_of(struct MpSlices *this, const char *workspace)
{
    struct MpSlice *slice = g_hash_table_lookup(this->slices, workspace);
    if (!slice) {
        slice = g_new0(struct MpSlice, 1);
        slice->workspace = g_strdup(workspace);
        g_hash_table_insert(this->slices, slice->workspace, slice);
    }
    return slice;
}

void
MpSlices_Add(struct MpSlices *this, const char *workspace, bool is_primary)
{
    slice_of(this, workspace)->is_primary = is_primary;
}

void
MpSlices_SetIncarnation(struct MpSlices *this, uint64_t boot)
{
    GHashTableIter iter;
    void *value;
    if (boot == this->boot) {
        return;
    }
    this->boot = boot;
    this->seq = 0;
    this->is_reporting = false;
    this->reported_ms = 0;
    g_ptr_array_set_size(this->reported, 0);
    g_hash_table_iter_init(&iter, this->slices);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct MpSlice *slice = value;
        if (!MP_FAULT(MP_FAULT_SLICE_OF_OLD_INCARNATION)) {
            slice->held_mtok = 0;
        }
        slice->drawn_mtok = 0;
        slice->spent_mtok = 0;
        slice->returned_mtok = 0;
        slice->drawn_reported_mtok = 0;
        slice->spent_reported_mtok = 0;
        slice->returned_reported_mtok = 0;
        slice->has_reply = false;
    }
}

static void
decay(struct MpSlice *slice, int64_t now_ms)
{
    int64_t since_ms = now_ms - slice->decayed_ms;
    slice->decayed_ms = now_ms;
    double factor = exp(-(double)since_ms / MP_SLICE_DECAY_MS);
    slice->demand_mtok *= factor;
    slice->recent_requests *= factor;
    slice->is_busy =
        slice->recent_requests >=
        (slice->is_busy ? MP_SLICE_BUSY_REQUESTS / 2 : MP_SLICE_BUSY_REQUESTS);
}

/* Moves up to amount_mtok from the slice to the balance. */
static void
draw(struct MpSlice *slice, int64_t amount_mtok)
{
    int64_t drawn_mtok = CLAMP(amount_mtok, 0, MAX(slice->held_mtok, 0));
    slice->held_mtok -= drawn_mtok;
    slice->drawn_mtok += drawn_mtok;
    slice->balance_mtok += drawn_mtok;
}

static bool
holds_slice(const struct MpSlice *slice)
{
    return slice->is_primary || slice->is_busy;
}

bool
MpSlice_UsesLedger(const struct MpSlice *this)
{
    return holds_slice(this) || this->is_direct;
}

static bool
is_exhausted(const struct MpSlice *slice, int64_t amount_mtok, int64_t now_ms)
{
    return now_ms < slice->exhausted_until_ms &&
           amount_mtok >= slice->exhausted_mtok;
}

bool
MpSlices_IsExhausted(const struct MpSlices *this, const char *workspace,
                     int64_t amount_mtok, int64_t now_ms)
{
    const struct MpSlice *slice = g_hash_table_lookup(this->slices, workspace);
    return slice && is_exhausted(slice, amount_mtok, now_ms);
}

void
MpSlices_RequestDirectly(struct MpSlices *this, const char *workspace)
{
    slice_of(this, workspace)->is_direct = true;
}

int
MpSlices_Reserve(struct MpSlices *this, const char *workspace,
                 int64_t amount_mtok, bool is_answered, int64_t now_ms)
{
    struct MpSlice *slice = slice_of(this, workspace);
    draw(slice, amount_mtok - slice->balance_mtok);
    if (slice->balance_mtok >= amount_mtok) {
        decay(slice, now_ms);
        slice->demand_mtok += (double)amount_mtok;
        slice->recent_requests++;
        slice->balance_mtok -= amount_mtok;
        slice->reserved_mtok += amount_mtok;
        return MP_OK;
    }
    if (is_exhausted(slice, amount_mtok, now_ms)) {
        return slice->exhausted_code;
    }
    if (is_answered && slice->has_reply &&
        slice->balance_mtok + slice->free_mtok < amount_mtok) {
        return MP_ERROR_BUDGET;
    }
    slice->need_mtok += amount_mtok;
    return MP_ERROR_RECALLING;
}

void
MpSlices_Settle(struct MpSlices *this, const char *workspace,
                int64_t reserved_mtok, int64_t used_mtok)
{
    struct MpSlice *slice = slice_of(this, workspace);
    slice->reserved_mtok -= reserved_mtok;
    slice->spent_mtok += used_mtok;
    slice->balance_mtok += reserved_mtok - used_mtok;
}

/* ---- loans ---- */

/* Returns the demand of MP_BALANCE_COVER_MS, which the balance should hold. */
static int64_t
balance_cover(const struct MpSlice *slice)
{
    return (int64_t)(slice->demand_mtok * MP_BALANCE_COVER_MS /
                     (double)MP_SLICE_DECAY_MS);
}

int64_t
MpSlices_LoanAmount(struct MpSlices *this, const char *workspace,
                    int64_t missing_mtok, int64_t now_ms)
{
    struct MpSlice *slice = slice_of(this, workspace);
    int64_t loan_mtok = MAX(missing_mtok, slice->need_mtok);
    decay(slice, now_ms);
    if (!MpSlice_UsesLedger(slice)) {
        slice->need_mtok = 0;
    }
    return loan_mtok + balance_cover(slice);
}

int64_t
MpSlices_PrefetchAmount(const struct MpSlices *this, const char *workspace)
{
    const struct MpSlice *slice = g_hash_table_lookup(this->slices, workspace);
    if (!slice || MpSlice_UsesLedger(slice) ||
        slice->recent_requests < MP_BALANCE_PREFETCH_REQUESTS) {
        return 0;
    }
    int64_t cover_mtok = balance_cover(slice);
    return slice->balance_mtok < cover_mtok / 2 ? cover_mtok : 0;
}

int64_t
MpSlices_Missing(const struct MpSlices *this, const char *workspace,
                 int64_t amount_mtok)
{
    const struct MpSlice *slice = g_hash_table_lookup(this->slices, workspace);
    if (!slice) {
        return amount_mtok;
    }
    return MAX(amount_mtok - slice->balance_mtok - MAX(slice->held_mtok, 0),
               0);
}

static bool
is_amount(int64_t amount_mtok)
{
    return amount_mtok >= 0 && amount_mtok <= MP_AMOUNT_MAX_MTOK;
}

/* Takes a loan out of the balance first and the slice second, as a balance
 * goes back to the ledger only with another report. */
static int64_t
take_loan(struct MpSlice *slice, int64_t amount_mtok)
{
    draw(slice, amount_mtok - slice->balance_mtok);
    int64_t lent_mtok = MP_FAULT(MP_FAULT_LOAN_BEYOND_BALANCE)
                            ? amount_mtok
                            : MIN(amount_mtok, slice->balance_mtok);
    if (!MP_FAULT(MP_FAULT_LOAN_NOT_DEDUCTED)) {
        slice->balance_mtok -= lent_mtok;
    }
    slice->demand_mtok += (double)lent_mtok;
    return lent_mtok;
}

int
MpSlices_Lend(struct MpSlices *this, const struct mp_lend *lend,
              bool is_answered, int64_t now_ms, int64_t *lent_mtok)
{
    struct MpSlice *slice = slice_of(this, lend->workspace);
    int64_t available_mtok = slice->balance_mtok + MAX(slice->held_mtok, 0);
    *lent_mtok = 0;
    if (!is_amount(lend->need_mtok) || !is_amount(lend->want_mtok)) {
        return MP_ERROR_INVALID;
    }
    decay(slice, now_ms);
    if (this->boot == 0 || this->is_leaving) {
        return MP_ERROR_NO_QUORUM;
    }
    if (available_mtok >= lend->need_mtok) {
        int64_t more_mtok =
            (available_mtok - lend->need_mtok) / MP_LEND_DIVISOR;
        *lent_mtok =
            take_loan(slice, MIN(MAX(lend->want_mtok, lend->need_mtok),
                                 lend->need_mtok + more_mtok));
        return MP_OK;
    }
    bool is_fresh =
        is_answered || now_ms - this->answered_ms < MP_SLICE_FRESH_MS;
    bool is_spent = is_fresh && slice->has_reply &&
                    available_mtok + slice->free_mtok < lend->need_mtok;
    if (!is_spent && !MpSlices_IsPartitioned(this, now_ms)) {
        slice->need_mtok += lend->need_mtok - available_mtok;
        return MP_ERROR_RECALLING;
    }
    *lent_mtok = take_loan(slice, MP_FAULT(MP_FAULT_LOAN_BEYOND_BALANCE)
                                      ? lend->need_mtok
                                      : available_mtok);
    return is_spent ? MP_ERROR_BUDGET : MP_ERROR_NO_QUORUM;
}

void
MpSlices_Credit(struct MpSlices *this, const char *workspace,
                int64_t amount_mtok)
{
    slice_of(this, workspace)->balance_mtok += amount_mtok;
}

/* Returns what the balance has above its cover, if it is above twice that. */
static int64_t
surplus(const struct MpSlice *slice)
{
    int64_t cover_mtok = balance_cover(slice);
    return slice->balance_mtok > 2 * cover_mtok
               ? slice->balance_mtok - cover_mtok
               : 0;
}

int64_t
MpSlices_TakeSurplus(struct MpSlices *this, const char *workspace,
                     int64_t now_ms)
{
    struct MpSlice *slice = slice_of(this, workspace);
    decay(slice, now_ms);
    if (holds_slice(slice) || this->is_leaving) {
        return 0;
    }
    int64_t surplus_mtok = surplus(slice);
    if (!MP_FAULT(MP_FAULT_REPAYMENT_NOT_DEDUCTED)) {
        slice->balance_mtok -= surplus_mtok;
    }
    return surplus_mtok;
}

void
MpSlices_NoteExhausted(struct MpSlices *this, const char *workspace,
                       int64_t amount_mtok, int32_t code, int64_t now_ms)
{
    struct MpSlice *slice = slice_of(this, workspace);
    if (now_ms < slice->exhausted_until_ms &&
        slice->exhausted_mtok < amount_mtok) {
        return;
    }
    slice->exhausted_mtok = amount_mtok;
    slice->exhausted_until_ms = now_ms + MP_SLICE_EXHAUSTED_MS;
    slice->exhausted_code = code;
}

/* ---- reports ---- */

bool
MpSlices_IsPartitioned(const struct MpSlices *this, int64_t now_ms)
{
    GHashTableIter iter;
    void *value;
    int64_t last_ms = MAX(this->answered_ms, this->quorum_reply_ms);
    g_hash_table_iter_init(&iter, this->slices);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        /* A router that holds a slice reports often enough that only the
         * replies to its reports count. */
        if (holds_slice(value)) {
            last_ms = this->answered_ms;
            break;
        }
    }
    return last_ms > 0 && now_ms - last_ms > MP_SLICE_PARTITION_MS;
}

bool
MpSlices_IsReportDue(const struct MpSlices *this, int64_t now_ms)
{
    GHashTableIter iter;
    void *value;
    if (this->is_reporting || this->boot == 0) {
        return false;
    }
    bool is_slow = true;
    g_hash_table_iter_init(&iter, this->slices);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct MpSlice *slice = value;
        if (slice->need_mtok > 0 && MpSlice_UsesLedger(slice)) {
            return true;
        }
        is_slow = is_slow && !holds_slice(slice);
    }
    return g_hash_table_size(this->slices) > 0 &&
           now_ms - this->reported_ms >= (is_slow && !this->is_leaving
                                              ? MP_SLICE_REPORT_SLOW_MS
                                              : MP_SLICE_REPORT_MS);
}

/* Returns the amount that the slice should hold. */
static int64_t
slice_cover(const struct MpSlices *this, const struct MpSlice *slice)
{
    if (this->is_leaving || !holds_slice(slice)) {
        return 0;
    }
    double mtok =
        slice->demand_mtok * MP_SLICE_COVER_MS / (double)MP_SLICE_DECAY_MS;
    int64_t min_mtok = slice->is_primary
                           ? slice->free_mtok / (MP_SLICE_IDLE_DIVISOR *
                                                 MAX(this->primary_count, 1))
                           : 0;
    return CLAMP(MAX((int64_t)mtok, min_mtok), 0, MAX(slice->max_mtok, 0));
}

static bool
is_reported(const struct MpSlice *slice)
{
    return slice->spent_mtok == slice->spent_reported_mtok &&
           slice->drawn_mtok == slice->drawn_reported_mtok &&
           slice->returned_mtok == slice->returned_reported_mtok;
}

/* Whether the slice may be left out of the report: it is empty and not wanted,
 * and its sums are unchanged since the last report.  One that is not empty is
 * always reported, as the amount that it may hold falls with the free
 * budget. */
static bool
is_idle(const struct MpSlice *slice)
{
    bool is_wanted =
        holds_slice(slice) && (!slice->has_reply || slice->free_mtok > 0);
    return !is_wanted && slice->need_mtok == 0 && is_reported(slice) &&
           slice->held_mtok <= 0;
}

/* Takes the surplus, or the whole balance when the router shuts down, out of
 * the balance and counts it as returned to the ledger. */
static void
return_surplus(const struct MpSlices *this, struct MpSlice *slice)
{
    int64_t surplus_mtok =
        this->is_leaving ? slice->balance_mtok : surplus(slice);
    slice->returned_mtok += surplus_mtok;
    if (!MP_FAULT(MP_FAULT_BALANCE_SPENT_AFTER_RETURN)) {
        slice->balance_mtok -= surplus_mtok;
    }
}

static bool
fill_entry(struct MpSlices *this, struct MpSlice *slice, struct mp_slice *out,
           int64_t now_ms)
{
    /* While the quorum is unreachable, nothing is returned to it: no other
     * router could use it. */
    bool holds_all = MpSlices_IsPartitioned(this, now_ms) && !this->is_leaving;
    decay(slice, now_ms);
    if (!holds_all) {
        return_surplus(this, slice);
    }
    if (is_idle(slice)) {
        return false;
    }
    int64_t need_mtok = MpSlice_UsesLedger(slice) ? slice->need_mtok : 0;
    int64_t hold_mtok = slice_cover(this, slice) + need_mtok;
    if (holds_all) {
        hold_mtok = MAX(hold_mtok, slice->held_mtok);
    }
    *out = (struct mp_slice){.workspace = slice->workspace,
                             .drawn_mtok = slice->drawn_mtok,
                             .spent_mtok = slice->spent_mtok,
                             .returned_mtok = slice->returned_mtok,
                             .requested_mtok = hold_mtok,
                             .need_mtok = need_mtok};
    slice->drawn_reported_mtok = slice->drawn_mtok;
    slice->spent_reported_mtok = slice->spent_mtok;
    slice->returned_reported_mtok = slice->returned_mtok;
    /* What is returned is taken out of the slice before the report is sent, so
     * that it cannot be spent. */
    if (!MP_FAULT(MP_FAULT_SLICE_SPENT_AFTER_RETURN)) {
        slice->held_mtok = MIN(slice->held_mtok, hold_mtok);
    }
    return true;
}

void
MpSlices_FillReport(struct MpSlices *this, struct mp_slices *report,
                    int64_t now_ms)
{
    GHashTableIter iter;
    void *value;
    u_int count = 0;
    report->seq = ++this->seq;
    report->list.list_val =
        g_new0(struct mp_slice, g_hash_table_size(this->slices) + 1);
    g_ptr_array_set_size(this->reported, 0);
    g_hash_table_iter_init(&iter, this->slices);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (fill_entry(this, value, &report->list.list_val[count], now_ms)) {
            g_ptr_array_add(this->reported, value);
            count++;
        }
    }
    report->list.list_len = count;
    this->is_reporting = true;
    this->reported_ms = now_ms;
}

/* Sets the slice to the ledger's reply, less what was drawn since the
 * report. */
static void
apply_held(struct MpSlice *slice, const struct mp_slice_status *held)
{
    slice->free_mtok = held->free_mtok;
    slice->max_mtok = held->max_mtok;
    slice->held_mtok =
        held->held_mtok - (slice->drawn_mtok - slice->drawn_reported_mtok);
    if (MP_FAULT(MP_FAULT_SLICE_REPLY_STALE)) {
        slice->held_mtok = held->held_mtok;
    }
    slice->need_mtok = 0;
    slice->is_direct = false;
    slice->has_reply = true;
}

void
MpSlices_HandleReply(struct MpSlices *this, const struct mp_result *result,
                     int64_t now_ms)
{
    this->is_reporting = false;
    if (result) {
        this->answered_ms = now_ms;
    }
    for (guint i = 0; i < this->reported->len; i++) {
        struct MpSlice *slice = g_ptr_array_index(this->reported, i);
        if (result && i < result->slices.slices_len) {
            apply_held(slice, &result->slices.slices_val[i]);
        }
    }
    g_ptr_array_set_size(this->reported, 0);
}

static int64_t
sum_of(const struct MpSlices *this, size_t offset)
{
    GHashTableIter iter;
    void *value;
    int64_t sum_mtok = 0;
    g_hash_table_iter_init(&iter, this->slices);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        sum_mtok += *(const int64_t *)((const char *)value + offset);
    }
    return sum_mtok;
}

int64_t
MpSlices_Held(const struct MpSlices *this)
{
    return sum_of(this, offsetof(struct MpSlice, held_mtok));
}

int64_t
MpSlices_Balances(const struct MpSlices *this)
{
    return sum_of(this, offsetof(struct MpSlice, balance_mtok));
}
