#include "state/Ledger.h"

#include "state/Error.h"
#include "state/Fault.h"
#include "state/LedgerInternal.h"
#include "state/TextHash.h"

#include <string.h>

/* ---- construction ---- */

static void
lease_delete(void *data)
{
    g_free(data);
}

static void
account_delete(void *data)
{
    struct MpAccount *this = data;
    g_ptr_array_unref(this->leases);
    g_free(this->workspace);
    g_free(this);
}

static void
record_delete(void *data)
{
    struct MpRecord *this = data;
    g_free(this->id);
    g_free(this->content_type);
    if (this->answer) {
        g_bytes_unref(this->answer);
    }
    g_free(this);
}

void
MpLedger_Init(struct MpLedger *this)
{
    *this = (struct MpLedger){.retention_ms = MP_RETENTION_MS};
    this->accounts =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, account_delete);
    this->records = g_hash_table_new_full(MpTextHash_OfString, g_str_equal,
                                          NULL, record_delete);
    this->bodies = MpLedger_NewBodies();
    g_queue_init(&this->closed);
    g_queue_init(&this->brief);
}

void
MpLedger_Done(struct MpLedger *this)
{
    g_hash_table_unref(this->records);
    g_hash_table_unref(this->bodies);
    g_hash_table_unref(this->accounts);
}

/* ---- lookup ---- */

struct MpAccount *
MpLedger_FindAccount(const struct MpLedger *this, const char *workspace)
{
    return g_hash_table_lookup(this->accounts, workspace);
}

struct MpRecord *
MpLedger_FindRecord(const struct MpLedger *this, const char *workspace,
                    const char *key)
{
    char id[MP_NAME_MAX + MP_KEY_MAX + 2];
    g_snprintf(id, sizeof(id), "%s\n%s", workspace, key);
    return g_hash_table_lookup(this->records, id);
}

int64_t
MpAccount_Available(const struct MpAccount *this)
{
    return this->granted_mtok - this->settled_mtok - this->reserved_mtok -
           this->leased_mtok - this->outstanding_mtok;
}

static struct MpAccount *
find_or_add_account(struct MpLedger *this, const char *workspace)
{
    struct MpAccount *account = MpLedger_FindAccount(this, workspace);
    if (account) {
        return account;
    }
    account = g_new0(struct MpAccount, 1);
    account->workspace = g_strdup(workspace);
    account->leases = g_ptr_array_new_with_free_func(lease_delete);
    g_hash_table_insert(this->accounts, account->workspace, account);
    return account;
}

struct MpLease *
MpLedger_FindLease(const struct MpAccount *account, const char *instance,
                   uint64_t boot, enum MpLeaseUse use)
{
    /* Hundreds of routers have a lease on each account, so interned names are
     * compared by pointer. */
    const char *name = g_intern_string(instance);
    for (guint i = 0; i < account->leases->len; i++) {
        struct MpLease *lease = g_ptr_array_index(account->leases, i);
        if (lease->boot == boot && lease->use == use &&
            lease->instance == name) {
            return lease;
        }
    }
    return NULL;
}

struct MpLease *
MpLedger_FindOrAddLease(struct MpAccount *account,
                        const struct mp_incarnation *holder,
                        enum MpLeaseUse use)
{
    struct MpLease *lease =
        MpLedger_FindLease(account, holder->instance, holder->boot, use);
    if (lease) {
        return lease;
    }
    lease = g_new0(struct MpLease, 1);
    lease->instance = g_intern_string(holder->instance);
    lease->boot = holder->boot;
    lease->use = use;
    g_ptr_array_add(account->leases, lease);
    return lease;
}

bool
MpLedger_IsValidAmount(int64_t amount_mtok)
{
    return amount_mtok >= 0 && amount_mtok <= MP_AMOUNT_MAX_MTOK;
}

/* ---- grants and leases ---- */

int
MpLedger_Grant(struct MpLedger *this, const char *workspace,
               int64_t amount_mtok)
{
    if (!MpLedger_IsValidAmount(amount_mtok)) {
        return MP_ERROR_OVERFLOW;
    }
    struct MpAccount *account = find_or_add_account(this, workspace);
    if (account->granted_mtok + amount_mtok > MP_AMOUNT_MAX_MTOK) {
        return MP_ERROR_OVERFLOW;
    }
    account->granted_mtok += amount_mtok;
    account->highest_mtok = MAX(account->highest_mtok, account->granted_mtok);
    return MP_OK;
}

int
MpLedger_SetPrepaid(struct MpLedger *this, const char *workspace,
                    int64_t prepaid_mtok)
{
    if (!MpLedger_IsValidAmount(prepaid_mtok)) {
        return MP_ERROR_OVERFLOW;
    }
    struct MpAccount *account = find_or_add_account(this, workspace);
    int64_t granted_mtok =
        account->granted_mtok - account->prepaid_mtok + prepaid_mtok;
    if (granted_mtok > MP_AMOUNT_MAX_MTOK) {
        return MP_ERROR_OVERFLOW;
    }
    account->prepaid_mtok = prepaid_mtok;
    account->granted_mtok = granted_mtok;
    account->highest_mtok = MAX(account->highest_mtok, granted_mtok);
    return MP_OK;
}

/* A grant is at most this fraction of the available budget, so that grants
 * shrink as the budget is used up. */
#define LEASE_DIVISOR 16

int
MpLedger_GrantLease(struct MpLedger *this, const struct mp_lease *request,
                    struct mp_result *result)
{
    struct MpAccount *account = MpLedger_FindAccount(this, request->workspace);
    if (!account) {
        return MP_ERROR_BUDGET;
    }
    if (!MpLedger_IsValidAmount(request->amount_mtok)) {
        return MP_ERROR_OVERFLOW;
    }
    struct MpLease *lease = MpLedger_FindOrAddLease(
        account, &request->incarnation, MP_LEASE_NATIVE);
    if (request->seq > lease->seq) {
        int64_t grant_mtok =
            MAX(MpAccount_Available(account), 0) / LEASE_DIVISOR;
        grant_mtok = MIN(grant_mtok, request->amount_mtok);
        lease->seq = request->seq;
        lease->last_grant_mtok = grant_mtok;
        lease->amount_mtok += grant_mtok;
        account->leased_mtok += grant_mtok;
    }
    result->number = request->seq;
    result->amount_mtok =
        request->seq == lease->seq ? lease->last_grant_mtok : 0;
    return MP_OK;
}

int
MpLedger_ReturnLease(struct MpLedger *this, const struct mp_lease *request,
                     struct mp_result *result)
{
    struct MpAccount *account = MpLedger_FindAccount(this, request->workspace);
    if (!account) {
        return MP_ERROR_NOT_FOUND;
    }
    struct MpLease *lease =
        MpLedger_FindLease(account, request->incarnation.instance,
                           request->incarnation.boot, MP_LEASE_NATIVE);
    if (!lease) {
        return MP_ERROR_NOT_FOUND;
    }
    if (request->seq > lease->seq &&
        MpLedger_IsValidAmount(request->amount_mtok)) {
        int64_t amount_mtok = MIN(request->amount_mtok, lease->amount_mtok);
        lease->seq = request->seq;
        lease->last_grant_mtok = 0;
        lease->amount_mtok -= amount_mtok;
        account->leased_mtok -= amount_mtok;
        lease->is_recalled = false;
    }
    result->number = request->seq;
    result->amount_mtok = lease->amount_mtok;
    return MP_OK;
}

static bool
reserve_amount(struct MpAccount *account, int64_t amount_mtok)
{
    if (amount_mtok > MpAccount_Available(account)) {
        return false;
    }
    account->reserved_mtok += amount_mtok;
    return true;
}

/* Marks all native leases for recall.  Returns false, and marks none, if even
 * all of the budget that is not settled cannot cover the amount. */
static bool
recall_leases(struct MpAccount *account, int64_t amount_mtok)
{
    if (account->granted_mtok - account->settled_mtok < amount_mtok) {
        return false;
    }
    for (guint i = 0; i < account->leases->len; i++) {
        struct MpLease *lease = g_ptr_array_index(account->leases, i);
        lease->is_recalled =
            lease->is_recalled ||
            (lease->amount_mtok > 0 && lease->use == MP_LEASE_NATIVE);
        account->has_recalls |= lease->is_recalled;
    }
    return true;
}

/* ---- records ---- */

GQueue *
MpLedger_ExpiryQueue(struct MpLedger *this, const struct MpRecord *record)
{
    return record->is_brief ? &this->brief : &this->closed;
}

void
MpLedger_CloseRecord(struct MpLedger *this, struct MpRecord *record,
                     enum mp_record_state state, int64_t now_ms)
{
    MpLedger_CountBody(this, record, false);
    record->state = state;
    MpLedger_CountBody(this, record, true);
    record->closed_ms = now_ms;
    record->link.data = record;
    g_queue_push_tail_link(MpLedger_ExpiryQueue(this, record), &record->link);
}

void
MpLedger_UnlinkRecord(struct MpLedger *this, struct MpRecord *record)
{
    if (record->link.data) {
        g_queue_unlink(MpLedger_ExpiryQueue(this, record), &record->link);
        record->link.data = NULL;
    }
}

struct MpRecord *
MpLedger_NewRecord(struct MpLedger *this, struct MpAccount *account,
                   const char *key)
{
    struct MpRecord *record = g_new0(struct MpRecord, 1);
    record->id = g_strdup_printf("%s\n%s", account->workspace, key);
    record->key = strchr(record->id, '\n') + 1;
    record->account = account;
    record->content_type = g_strdup("");
    g_hash_table_insert(this->records, record->id, record);
    return record;
}

static void
record_start(struct MpLedger *this, struct MpRecord *record,
             const struct mp_open *open)
{
    MpLedger_UnlinkRecord(this, record);
    MpLedger_CountBody(this, record, false);
    memcpy(record->body_hash, open->body_hash, MP_HASH_BYTES);
    record->instance = g_intern_string(open->incarnation.instance);
    record->boot = open->incarnation.boot;
    record->state = MP_RECORD_OPEN;
    MpLedger_CountBody(this, record, true);
    record->is_at_most_once = open->at_most_once;
    record->is_brief = open->is_brief;
    record->open_id = open->open_id;
    record->reserve_mtok = open->reserve_mtok;
}

static void
set_recorded_answer(struct mp_result *result, const struct MpRecord *record)
{
    result->state = record->state;
    result->status = record->status;
    result->amount_mtok = record->spent_mtok;
    result->content_type = record->content_type;
    if (record->answer) {
        gsize size;
        result->answer.answer_val =
            (char *)g_bytes_get_data(record->answer, &size);
        result->answer.answer_len = (u_int)size;
    }
}

/* Handles a repeat of an answered key: returns the recorded answer, or allows
 * an unbilled rerun of a repeatable request without one. */
static int
open_answered(struct MpRecord *record, struct mp_result *result)
{
    set_recorded_answer(result, record);
    if (record->answer || record->is_at_most_once) {
        return MP_ERROR_ALREADY_ANSWERED;
    }
    if (record->reruns >= MP_RERUNS_MAX) {
        return MP_ERROR_ALREADY_ANSWERED;
    }
    record->reruns++;
    return MP_OK;
}

static int
reserve_or_recall(struct MpAccount *account, const struct mp_open *open)
{
    if (reserve_amount(account, open->reserve_mtok)) {
        return MP_OK;
    }
    if (recall_leases(account, open->reserve_mtok)) {
        return MP_ERROR_RECALLING;
    }
    return MP_ERROR_BUDGET;
}

/* Handles a new attempt of a repeatable request whose record is still open:
 * the reservation moves to the new attempt. */
static int
open_taken_over(struct MpLedger *this, struct MpRecord *record,
                const struct mp_open *open)
{
    struct MpAccount *account = record->account;
    account->reserved_mtok -= record->reserve_mtok;
    int code = reserve_or_recall(account, open);
    if (code != MP_OK) {
        account->reserved_mtok += record->reserve_mtok;
        return code;
    }
    record_start(this, record, open);
    return MP_OK;
}

/* Handles a new attempt after a cancelled one.  The bill of the cancelled
 * attempt is undone and the new attempt reserved instead, so that the key is
 * billed once. */
static int
open_cancelled(struct MpLedger *this, struct MpRecord *record,
               const struct mp_open *open)
{
    struct MpAccount *account = record->account;
    if (record->reruns >= MP_RERUNS_MAX) {
        return MP_ERROR_ALREADY_ANSWERED;
    }
    account->settled_mtok -= record->spent_mtok;
    int code = reserve_or_recall(account, open);
    if (code != MP_OK) {
        account->settled_mtok += record->spent_mtok;
        return code;
    }
    record->spent_mtok = 0;
    record->reruns++;
    record_start(this, record, open);
    return MP_OK;
}

static int
open_known(struct MpLedger *this, struct MpRecord *record,
           const struct mp_open *open, struct mp_result *result)
{
    if (record->open_id == open->open_id &&
        record->boot == open->incarnation.boot &&
        strcmp(record->instance, open->incarnation.instance) == 0) {
        return record->state == MP_RECORD_OPEN ? MP_OK : MP_ERROR_STALE;
    }
    if (memcmp(record->body_hash, open->body_hash, MP_HASH_BYTES) != 0 &&
        record->state != MP_RECORD_NOT_RUN) {
        return MP_ERROR_KEY_REUSED;
    }
    switch (record->state) {
    case MP_RECORD_DONE:
        return open_answered(record, result);
    case MP_RECORD_UNKNOWN:
        return MP_ERROR_OUTCOME_UNKNOWN;
    case MP_RECORD_OPEN:
        return record->is_at_most_once ? MP_ERROR_IN_PROGRESS
                                       : open_taken_over(this, record, open);
    case MP_RECORD_CANCELLED:
        return open_cancelled(this, record, open);
    default:
        break;
    }
    int code = reserve_or_recall(record->account, open);
    if (code == MP_OK) {
        record_start(this, record, open);
    }
    return code;
}

bool
MpLedger_MayHaveRun(enum mp_record_state state)
{
    return state != MP_RECORD_NONE && state != MP_RECORD_NOT_RUN;
}

int
MpLedger_Open(struct MpLedger *this, const struct mp_open *open,
              int64_t now_ms, struct mp_result *result)
{
    (void)now_ms;
    struct MpAccount *account = MpLedger_FindAccount(this, open->workspace);
    if (!account) {
        return MP_ERROR_BUDGET;
    }
    if (!MpLedger_IsValidAmount(open->reserve_mtok)) {
        return MP_ERROR_OVERFLOW;
    }
    struct MpRecord *record =
        MpLedger_FindRecord(this, open->workspace, open->key);
    enum mp_record_state before = record ? record->state : MP_RECORD_NONE;
    result->state = before;
    if (record && !MP_FAULT(MP_FAULT_KEY_UNCHECKED)) {
        int known = open_known(this, record, open, result);
        if (known == MP_OK && record->state == MP_RECORD_OPEN) {
            result->state = MP_RECORD_OPEN;
            result->number = MpLedger_MayHaveRun(before);
        }
        return known;
    }
    int code = reserve_or_recall(account, open);
    if (code != MP_OK) {
        return code;
    }
    if (!record) {
        record = MpLedger_NewRecord(this, account, open->key);
    }
    record_start(this, record, open);
    result->state = MP_RECORD_OPEN;
    return MP_OK;
}

static void
record_keep_answer(struct MpRecord *record, const struct mp_settle *settle)
{
    record->status = settle->status;
    g_free(record->content_type);
    record->content_type = g_strdup(settle->content_type);
    if (record->answer) {
        g_bytes_unref(record->answer);
        record->answer = NULL;
    }
    if (settle->answer.answer_len > 0) {
        record->answer =
            g_bytes_new(settle->answer.answer_val, settle->answer.answer_len);
    }
}

/* Handles a late report of an at-most-once request that was closed as
 * unknown, for example by a fence: the bill stays and the answer is stored. */
static int
settle_unknown(struct MpLedger *this, struct MpRecord *record,
               const struct mp_settle *settle)
{
    if (settle->outcome == MP_RECORD_DONE) {
        MpLedger_CountBody(this, record, false);
        record->state = MP_RECORD_DONE;
        MpLedger_CountBody(this, record, true);
        record_keep_answer(record, settle);
    }
    return MP_OK;
}

static bool
is_closing_state(enum mp_record_state state)
{
    return state == MP_RECORD_DONE || state == MP_RECORD_UNKNOWN ||
           state == MP_RECORD_NOT_RUN || state == MP_RECORD_CANCELLED;
}

/* Adds a closed record for an attempt whose open command was not applied yet.
 * That command may still arrive and must then reserve nothing. */
static int
settle_unopened(struct MpLedger *this, const struct mp_settle *settle,
                int64_t now_ms)
{
    struct MpAccount *account = MpLedger_FindAccount(this, settle->workspace);
    if (!account) {
        return MP_ERROR_NOT_FOUND;
    }
    if (settle->outcome != MP_RECORD_NOT_RUN) {
        return MP_ERROR_STALE;
    }
    struct MpRecord *record = MpLedger_NewRecord(this, account, settle->key);
    record->instance = g_intern_string(settle->incarnation.instance);
    record->boot = settle->incarnation.boot;
    record->open_id = settle->open_id;
    MpLedger_CloseRecord(this, record, MP_RECORD_NOT_RUN, now_ms);
    return MP_OK;
}

static int
settle_open(struct MpLedger *this, struct MpRecord *record,
            const struct mp_settle *settle, int64_t now_ms)
{
    int64_t spent_mtok = CLAMP(settle->spent_mtok, 0, record->reserve_mtok);
    enum mp_record_state outcome = settle->outcome;
    /* A cancelled run may still take effect, so an at-most-once request is
     * never repeated and is billed as run. */
    if (outcome == MP_RECORD_CANCELLED && record->is_at_most_once) {
        outcome = MP_RECORD_UNKNOWN;
    }
    if (outcome == MP_RECORD_UNKNOWN) {
        spent_mtok =
            MP_FAULT(MP_FAULT_UNKNOWN_UNBILLED) ? 0 : record->reserve_mtok;
    }
    if (outcome == MP_RECORD_NOT_RUN) {
        spent_mtok = 0;
    }
    record->account->reserved_mtok -= record->reserve_mtok;
    record->account->settled_mtok += spent_mtok;
    record->spent_mtok = spent_mtok;
    record->reserve_mtok = 0;
    record_keep_answer(record, settle);
    MpLedger_CloseRecord(this, record, outcome, now_ms);
    return MP_OK;
}

int
MpLedger_Settle(struct MpLedger *this, const struct mp_settle *settle,
                int64_t now_ms, struct mp_result *result)
{
    if (!is_closing_state(settle->outcome)) {
        return MP_ERROR_INVALID;
    }
    struct MpRecord *record =
        MpLedger_FindRecord(this, settle->workspace, settle->key);
    if (!record) {
        return settle_unopened(this, settle, now_ms);
    }
    if (record->open_id != settle->open_id ||
        record->boot != settle->incarnation.boot ||
        strcmp(record->instance, settle->incarnation.instance) != 0) {
        return MP_ERROR_STALE;
    }
    result->state = record->state;
    if (MP_FAULT(MP_FAULT_SETTLE_TWICE) && record->state == MP_RECORD_DONE) {
        record->account->settled_mtok += settle->spent_mtok;
        return MP_OK;
    }
    switch (record->state) {
    case MP_RECORD_OPEN:
        return settle_open(this, record, settle, now_ms);
    case MP_RECORD_UNKNOWN:
        return settle_unknown(this, record, settle);
    case MP_RECORD_ABANDONED:
        return MP_ERROR_STALE;
    default:
        return MP_OK;
    }
}
