#include "coordination/Slices.h"

#include "state/Error.h"
#include "state/Fault.h"

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
    this->asked = g_ptr_array_new();
}

void
MpSlices_Done(struct MpSlices *this)
{
    g_hash_table_unref(this->slices);
    g_ptr_array_unref(this->asked);
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
MpSlices_Add(struct MpSlices *this, const char *workspace)
{
    slice_of(this, workspace);
}

void
MpSlices_Registered(struct MpSlices *this, uint64_t boot)
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
    g_ptr_array_set_size(this->asked, 0);
    g_hash_table_iter_init(&iter, this->slices);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct MpSlice *slice = value;
        slice->held_mtok = 0;
        slice->reserved_mtok = 0;
        slice->spent_mtok = 0;
        slice->reported_mtok = 0;
        slice->is_known = false;
    }
}

static void
fade(struct MpSlice *slice, int64_t now_ms)
{
    int64_t since_ms = now_ms - slice->demand_ms;
    slice->demand_ms = now_ms;
    slice->demand_mtok *= exp(-(double)since_ms / MP_SLICE_FADE_MS);
}

int
MpSlices_Reserve(struct MpSlices *this, const char *workspace,
                 int64_t amount_mtok, bool is_answered, int64_t now_ms)
{
    struct MpSlice *slice = slice_of(this, workspace);
    int64_t open_mtok = slice->held_mtok - slice->reserved_mtok;
    if (open_mtok >= amount_mtok) {
        fade(slice, now_ms);
        slice->demand_mtok += (double)amount_mtok;
        slice->reserved_mtok += amount_mtok;
        return MP_OK;
    }
    if (is_answered && slice->is_known &&
        MAX(open_mtok, 0) + slice->free_mtok < amount_mtok) {
        return MP_ERROR_BUDGET;
    }
    slice->need_mtok += amount_mtok;
    return MP_ERROR_RECALLING;
}

void
MpSlices_Settle(struct MpSlices *this, const char *workspace, uint64_t boot,
                int64_t reserved_mtok, int64_t used_mtok)
{
    struct MpSlice *slice = slice_of(this, workspace);
    if (boot != this->boot && !MP_FAULT(MP_FAULT_SLICE_OF_OLD_LIFE)) {
        return;
    }
    slice->reserved_mtok -= reserved_mtok;
    slice->spent_mtok += used_mtok;
    slice->held_mtok -= used_mtok;
}

bool
MpSlices_IsCutOff(const struct MpSlices *this, int64_t now_ms)
{
    return this->answered_ms > 0 &&
           now_ms - this->answered_ms > MP_SLICE_CUT_OFF_MS;
}

bool
MpSlices_IsDue(const struct MpSlices *this, int64_t now_ms)
{
    GHashTableIter iter;
    void *value;
    if (this->is_reporting || this->boot == 0) {
        return false;
    }
    if (now_ms - this->reported_ms >= MP_SLICE_REPORT_MS) {
        return g_hash_table_size(this->slices) > 0;
    }
    g_hash_table_iter_init(&iter, this->slices);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct MpSlice *slice = value;
        if (slice->need_mtok > 0) {
            return true;
        }
    }
    return false;
}

/* What the slice should hold beside what is reserved. */
static int64_t
cover(const struct MpSlices *this, const struct MpSlice *slice)
{
    if (this->is_leaving) {
        return 0;
    }
    double mtok =
        slice->demand_mtok * MP_SLICE_COVER_MS / (double)MP_SLICE_FADE_MS;
    int64_t least_mtok =
        slice->free_mtok / (MP_SLICE_IDLE_DIVISOR * MAX(this->instances, 1));
    int64_t most_mtok = slice->most_mtok - slice->reserved_mtok;
    return CLAMP(MAX((int64_t)mtok, least_mtok), 0, MAX(most_mtok, 0));
}

/* A slice that holds nothing and is not wanted needs no report.  One that
 * holds something does: what it may hold shrinks with what is free. */
static bool
is_idle(const struct MpSlice *slice)
{
    return slice->is_known && slice->need_mtok == 0 &&
           slice->spent_mtok == slice->reported_mtok &&
           slice->held_mtok <= 0 && slice->free_mtok <= 0;
}

static bool
ask(struct MpSlices *this, struct MpSlice *slice, struct mp_slice *out,
    int64_t now_ms)
{
    fade(slice, now_ms);
    int64_t hold_mtok =
        slice->reserved_mtok + cover(this, slice) + slice->need_mtok;
    if (is_idle(slice)) {
        return false;
    }
    *out = (struct mp_slice){.workspace = slice->workspace,
                             .spent_mtok = slice->spent_mtok,
                             .hold_mtok = hold_mtok,
                             .need_mtok = slice->need_mtok};
    slice->reported_mtok = slice->spent_mtok;
    /* Given back before the call leaves. */
    if (!MP_FAULT(MP_FAULT_SLICE_SPENT_AFTER_RETURN)) {
        slice->held_mtok = MIN(slice->held_mtok, hold_mtok);
    }
    return true;
}

void
MpSlices_Report(struct MpSlices *this, struct mp_slices *report,
                int64_t now_ms)
{
    GHashTableIter iter;
    void *value;
    u_int count = 0;
    report->seq = ++this->seq;
    report->list.list_val =
        g_new0(struct mp_slice, g_hash_table_size(this->slices) + 1);
    g_ptr_array_set_size(this->asked, 0);
    g_hash_table_iter_init(&iter, this->slices);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (ask(this, value, &report->list.list_val[count], now_ms)) {
            g_ptr_array_add(this->asked, value);
            count++;
        }
    }
    report->list.list_len = count;
    this->is_reporting = true;
    this->reported_ms = now_ms;
}

/* The ledger's word on what is left, less what was spent since. */
static void
take_held(struct MpSlice *slice, const struct mp_slice_held *held)
{
    slice->free_mtok = held->free_mtok;
    slice->most_mtok = held->most_mtok;
    slice->held_mtok =
        held->held_mtok - (slice->spent_mtok - slice->reported_mtok);
    if (MP_FAULT(MP_FAULT_SLICE_ANSWER_STALE)) {
        slice->held_mtok = held->held_mtok;
    }
    slice->need_mtok = 0;
    slice->is_known = true;
}

void
MpSlices_Take(struct MpSlices *this, const struct mp_result *result,
              int64_t now_ms)
{
    this->is_reporting = false;
    if (result) {
        this->answered_ms = now_ms;
    }
    for (guint i = 0; i < this->asked->len; i++) {
        struct MpSlice *slice = g_ptr_array_index(this->asked, i);
        if (result && i < result->slices.slices_len) {
            take_held(slice, &result->slices.slices_val[i]);
        }
    }
    g_ptr_array_set_size(this->asked, 0);
}

int64_t
MpSlices_Held(const struct MpSlices *this)
{
    GHashTableIter iter;
    void *value;
    int64_t sum_mtok = 0;
    g_hash_table_iter_init(&iter, this->slices);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        sum_mtok += ((const struct MpSlice *)value)->held_mtok;
    }
    return sum_mtok;
}
