#include "state/Ledger.h"

#include "state/Error.h"
#include "state/Fault.h"
#include "state/LedgerInternal.h"

#include <string.h>

/* Offline bills, fences, write-offs, expiry, and the check of the invariant;
 * see Ledger.h. */

/* ---- offline spending ---- */

int
MpLedger_BillOffline(struct MpLedger *this, const struct mp_offline *offline,
                     int64_t now_ms, struct mp_result *result)
{
    struct MpAccount *account = MpLedger_FindAccount(this, offline->workspace);
    if (!account) {
        return MP_ERROR_NOT_FOUND;
    }
    struct MpRecord *record =
        MpLedger_FindRecord(this, offline->workspace, offline->key);
    if (record && record->state == MP_RECORD_DONE) {
        result->amount_mtok = 0;
        return memcmp(record->body_hash, offline->body_hash, MP_HASH_BYTES)
                   ? MP_ERROR_KEY_REUSED
                   : MP_OK;
    }
    if (record && record->at_most_once) {
        return MP_ERROR_KEY_REUSED;
    }
    struct MpLease *lease =
        MpLedger_FindLease(account, offline->incarnation.instance,
                           offline->incarnation.boot, MP_LEASE_NATIVE);
    if (!lease || !MpLedger_IsValidAmount(offline->spent_mtok) ||
        lease->amount_mtok < offline->spent_mtok) {
        return MP_ERROR_BUDGET;
    }
    if (record && record->state == MP_RECORD_OPEN) {
        account->reserved_mtok -= record->reserve_mtok;
    }
    if (record) {
        account->settled_mtok -= record->spent_mtok;
        MpLedger_UnlinkRecord(this, record);
    }
    else {
        record = MpLedger_NewRecord(this, account, offline->key);
    }
    lease->amount_mtok -= offline->spent_mtok;
    account->leased_mtok -= offline->spent_mtok;
    account->settled_mtok += offline->spent_mtok;
    MpLedger_CountBody(this, record, false);
    record->state = MP_RECORD_NONE;
    memcpy(record->body_hash, offline->body_hash, MP_HASH_BYTES);
    record->instance = g_intern_string(offline->incarnation.instance);
    record->boot = offline->incarnation.boot;
    record->open_id = 0;
    record->reserve_mtok = 0;
    record->spent_mtok = offline->spent_mtok;
    MpLedger_CloseRecord(this, record, MP_RECORD_DONE, now_ms);
    result->amount_mtok = offline->spent_mtok;
    return MP_OK;
}

/* ---- fences, write-offs and expiry ---- */

static bool
is_held_by(const struct MpRecord *record, const char *instance, uint64_t boot)
{
    return record->state == MP_RECORD_OPEN && record->boot <= boot &&
           strcmp(record->instance, instance) == 0;
}

static int
compare_records(const void *a, const void *b)
{
    const struct MpRecord *const *x = a;
    const struct MpRecord *const *y = b;
    return strcmp((*x)->id, (*y)->id);
}

/* Marks the leases of fenced incarnations.  They stay counted, since what was
 * spent from them is unknown. */
static void
mark_fenced(struct MpLedger *this, const char *instance, uint64_t boot)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, this->accounts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct MpAccount *account = value;
        for (guint i = 0; i < account->leases->len; i++) {
            struct MpLease *lease = g_ptr_array_index(account->leases, i);
            lease->is_fenced |=
                lease->boot <= boot && lease->instance == instance;
        }
    }
}

/* Which leases of fenced incarnations are dropped. */
enum drop { DROP_EMPTY, DROP_NATIVE, DROP_ALL };

static bool
is_dropped(const struct MpLease *lease, enum drop what)
{
    return what == DROP_ALL || lease->amount_mtok <= 0 ||
           (what == DROP_NATIVE &&
            (lease->use == MP_LEASE_NATIVE ||
             MP_FAULT(MP_FAULT_WRITEOFF_FREES_SLICES))) ||
           MP_FAULT(MP_FAULT_FENCE_FREES_LEASES);
}

static int64_t
drop_account_leases(struct MpAccount *account, const char *instance,
                    uint64_t boot, enum drop what)
{
    int64_t freed_mtok = 0;
    for (guint i = account->leases->len; i > 0; i--) {
        struct MpLease *lease = g_ptr_array_index(account->leases, i - 1);
        if (lease->boot > boot || lease->instance != instance ||
            !is_dropped(lease, what)) {
            continue;
        }
        freed_mtok += lease->amount_mtok;
        account->leased_mtok -= lease->amount_mtok;
        g_ptr_array_remove_index(account->leases, i - 1);
    }
    return freed_mtok;
}

static int64_t
drop_leases(struct MpLedger *this, const char *instance, uint64_t boot,
            enum drop what)
{
    GHashTableIter iter;
    void *value;
    int64_t freed_mtok = 0;
    g_hash_table_iter_init(&iter, this->accounts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        freed_mtok += drop_account_leases(value, instance, boot, what);
    }
    return freed_mtok;
}

void
MpLedger_Fence(struct MpLedger *this, const char *instance, uint64_t boot,
               int64_t now_ms)
{
    GHashTableIter iter;
    void *value;
    GPtrArray *open_records = g_ptr_array_new();
    g_hash_table_iter_init(&iter, this->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (is_held_by(value, instance, boot)) {
            g_ptr_array_add(open_records, value);
        }
    }
    /* Records must be closed in the same order on all replicas. */
    g_ptr_array_sort(open_records, compare_records);
    for (guint i = 0; i < open_records->len; i++) {
        struct MpRecord *record = g_ptr_array_index(open_records, i);
        int64_t spent_mtok = record->at_most_once ? record->reserve_mtok : 0;
        record->account->reserved_mtok -= record->reserve_mtok;
        record->account->settled_mtok += spent_mtok;
        record->spent_mtok = spent_mtok;
        record->reserve_mtok = 0;
        MpLedger_CloseRecord(this, record,
                             record->at_most_once ? MP_RECORD_UNKNOWN
                                                  : MP_RECORD_ABANDONED,
                             now_ms);
    }
    g_ptr_array_unref(open_records);
    const char *name = g_intern_string(instance);
    mark_fenced(this, name, boot);
    drop_leases(this, name, boot, DROP_EMPTY);
}

int64_t
MpLedger_WriteOff(struct MpLedger *this, const char *instance, uint64_t boot,
                  bool with_paths)
{
    return drop_leases(this, g_intern_string(instance), boot,
                       with_paths ? DROP_ALL : DROP_NATIVE);
}

static void
expire(struct MpLedger *this, GQueue *queue, int64_t before_ms)
{
    struct MpRecord *record;
    while ((record = g_queue_peek_head(queue)) &&
           record->closed_ms <= before_ms) {
        MpLedger_UnlinkRecord(this, record);
        MpLedger_CountBody(this, record, false);
        g_hash_table_remove(this->records, record->id);
    }
}

bool
MpLedger_HasOpen(const struct MpLedger *this, const char *instance,
                 uint64_t boot)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, this->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct MpRecord *record = value;
        if (record->state == MP_RECORD_OPEN && record->boot == boot &&
            strcmp(record->instance, instance) == 0) {
            return true;
        }
    }
    return false;
}

void
MpLedger_Expire(struct MpLedger *this, int64_t now_ms)
{
    expire(this, &this->closed, now_ms - this->retention_ms);
    expire(this, &this->brief,
           now_ms - MIN(this->retention_ms, MP_BRIEF_RETENTION_MS));
}

/* ---- checks ---- */

static bool
is_account_valid(const struct MpAccount *account)
{
    int64_t leased_mtok = 0;
    for (guint i = 0; i < account->leases->len; i++) {
        struct MpLease *lease = g_ptr_array_index(account->leases, i);
        if (lease->amount_mtok < 0) {
            return false;
        }
        leased_mtok += lease->amount_mtok;
    }
    return leased_mtok == account->leased_mtok && account->settled_mtok >= 0 &&
           account->reserved_mtok >= 0 &&
           MpAccount_Available(account) + account->highest_mtok >=
               account->granted_mtok;
}

int
MpLedger_Check(const struct MpLedger *this)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, this->accounts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (!is_account_valid(value)) {
            return MP_ERROR_CORRUPT;
        }
    }
    return MP_OK;
}
