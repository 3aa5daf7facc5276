#include "state/Ledger.h"

#include "state/Error.h"
#include "state/Fault.h"

#include <string.h>

/* Saving and loading of snapshot images of the ledger; see Ledger.h. */

static void
save_leases(const struct MpAccount *account, struct mp_account_image *image)
{
    guint count = account->leases->len;
    image->leases.leases_len = count;
    image->leases.leases_val = g_new0(struct mp_lease_image, count);
    for (guint i = 0; i < count; i++) {
        struct MpLease *lease = g_ptr_array_index(account->leases, i);
        image->leases.leases_val[i] = (struct mp_lease_image){
            .incarnation = {.instance = (char *)lease->instance,
                            .boot = lease->boot},
            .seq = lease->seq,
            .amount_mtok = lease->amount_mtok,
            .last_grant_mtok = lease->last_grant_mtok,
            .spent_mtok = MP_FAULT(MP_FAULT_SNAPSHOT_OMITS_TOTALS)
                              ? 0
                              : lease->spent_mtok,
            .drawn_mtok = MP_FAULT(MP_FAULT_SNAPSHOT_OMITS_TOTALS)
                              ? 0
                              : lease->drawn_mtok,
            .returned_mtok = lease->returned_mtok,
            .recalled = lease->is_recalled,
            .is_fenced = lease->is_fenced,
            .is_for_paths = lease->use == MP_LEASE_PATHS,
        };
    }
}

static void
save_record(const struct MpRecord *record, struct mp_record_image *image)
{
    *image = (struct mp_record_image){
        .workspace = record->account->workspace,
        .key = (char *)record->key,
        .incarnation = {.instance = (char *)record->instance,
                        .boot = record->boot},
        .state = record->state,
        .at_most_once = record->at_most_once,
        .is_brief = record->is_brief,
        .open_id = record->open_id,
        .reserve_mtok = record->reserve_mtok,
        .spent_mtok = record->spent_mtok,
        .closed_ms = record->closed_ms,
        .reruns = record->reruns,
        .status = record->status,
        .content_type = record->content_type,
    };
    memcpy(image->body_hash, record->body_hash, MP_HASH_BYTES);
    if (record->answer) {
        gsize size;
        image->answer.answer_val =
            (char *)g_bytes_get_data(record->answer, &size);
        image->answer.answer_len = (u_int)size;
    }
}

static void
save_accounts(const struct MpLedger *this, struct mp_machine_image *image)
{
    GHashTableIter iter;
    void *value;
    guint count = g_hash_table_size(this->accounts);
    struct mp_account_image *next = g_new0(struct mp_account_image, count);
    image->accounts.accounts_len = count;
    image->accounts.accounts_val = next;
    g_hash_table_iter_init(&iter, this->accounts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct MpAccount *account = value;
        next->workspace = account->workspace;
        next->granted_mtok = account->granted_mtok;
        next->prepaid_mtok = account->prepaid_mtok;
        next->highest_mtok = account->highest_mtok;
        next->settled_mtok = account->settled_mtok;
        next->reserved_mtok = account->reserved_mtok;
        next->outstanding_mtok = MP_FAULT(MP_FAULT_SNAPSHOT_OMITS_OUTSTANDING)
                                     ? 0
                                     : account->outstanding_mtok;
        save_leases(account, next);
        next++;
    }
}

void
MpLedger_Save(const struct MpLedger *this, struct mp_machine_image *image)
{
    GHashTableIter iter;
    void *value;
    save_accounts(this, image);
    guint closed = this->closed.length + this->brief.length;
    guint open = g_hash_table_size(this->records) - closed;
    struct mp_record_image *next = g_new0(struct mp_record_image, open);
    image->open_records.open_records_val = next;
    image->open_records.open_records_len = open;
    g_hash_table_iter_init(&iter, this->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct MpRecord *record = value;
        if (record->state == MP_RECORD_OPEN) {
            save_record(record, next++);
        }
    }
    next = g_new0(struct mp_record_image, closed);
    image->closed_records.closed_records_val = next;
    image->closed_records.closed_records_len = closed;
    for (GList *link = this->closed.head; link; link = link->next) {
        save_record(link->data, next++);
    }
    for (GList *link = this->brief.head; link; link = link->next) {
        save_record(link->data, next++);
    }
}

void
MpLedger_FreeImage(struct mp_machine_image *image)
{
    for (u_int i = 0; i < image->accounts.accounts_len; i++) {
        g_free(image->accounts.accounts_val[i].leases.leases_val);
    }
    g_free(image->accounts.accounts_val);
    g_free(image->open_records.open_records_val);
    g_free(image->closed_records.closed_records_val);
}

static void
load_account(struct MpLedger *this, const struct mp_account_image *image)
{
    MpLedger_Grant(this, image->workspace, 0);
    struct MpAccount *account = MpLedger_FindAccount(this, image->workspace);
    account->granted_mtok = image->granted_mtok;
    account->prepaid_mtok = image->prepaid_mtok;
    account->highest_mtok = image->highest_mtok;
    account->settled_mtok = image->settled_mtok;
    account->reserved_mtok = image->reserved_mtok;
    account->outstanding_mtok = image->outstanding_mtok;
    for (u_int i = 0; i < image->leases.leases_len; i++) {
        const struct mp_lease_image *from = &image->leases.leases_val[i];
        struct MpLease *lease = g_new0(struct MpLease, 1);
        lease->instance = g_intern_string(from->incarnation.instance);
        lease->boot = from->incarnation.boot;
        lease->seq = from->seq;
        lease->amount_mtok = from->amount_mtok;
        lease->last_grant_mtok = from->last_grant_mtok;
        lease->spent_mtok = from->spent_mtok;
        lease->drawn_mtok = from->drawn_mtok;
        lease->returned_mtok = from->returned_mtok;
        lease->is_recalled = from->recalled;
        account->has_recalls |= from->recalled;
        lease->is_fenced = from->is_fenced;
        lease->use = from->is_for_paths ? MP_LEASE_PATHS : MP_LEASE_NATIVE;
        account->leased_mtok += from->amount_mtok;
        g_ptr_array_add(account->leases, lease);
    }
}

static int
load_record(struct MpLedger *this, const struct mp_record_image *image)
{
    struct MpAccount *account = MpLedger_FindAccount(this, image->workspace);
    if (!account) {
        return MP_ERROR_CORRUPT;
    }
    struct MpRecord *record = g_new0(struct MpRecord, 1);
    record->id = g_strdup_printf("%s\n%s", image->workspace, image->key);
    record->key = strchr(record->id, '\n') + 1;
    record->account = account;
    record->instance = g_intern_string(image->incarnation.instance);
    record->boot = image->incarnation.boot;
    record->state = image->state;
    record->at_most_once = image->at_most_once;
    record->is_brief = image->is_brief;
    record->open_id = image->open_id;
    record->reserve_mtok = image->reserve_mtok;
    record->spent_mtok = image->spent_mtok;
    record->closed_ms = image->closed_ms;
    record->reruns = image->reruns;
    record->status = image->status;
    record->content_type = g_strdup(image->content_type);
    memcpy(record->body_hash, image->body_hash, MP_HASH_BYTES);
    if (image->answer.answer_len > 0) {
        record->answer =
            g_bytes_new(image->answer.answer_val, image->answer.answer_len);
    }
    g_hash_table_insert(this->records, record->id, record);
    MpLedger_CountBody(this, record, true);
    if (record->state != MP_RECORD_OPEN) {
        record->link.data = record;
        g_queue_push_tail_link(MpLedger_ExpiryQueue(this, record),
                               &record->link);
    }
    return MP_OK;
}

int
MpLedger_Load(struct MpLedger *this, const struct mp_machine_image *image)
{
    for (u_int i = 0; i < image->accounts.accounts_len; i++) {
        load_account(this, &image->accounts.accounts_val[i]);
    }
    for (u_int i = 0; i < image->open_records.open_records_len; i++) {
        int code = load_record(this, &image->open_records.open_records_val[i]);
        if (code != MP_OK) {
            return code;
        }
    }
    for (u_int i = 0; i < image->closed_records.closed_records_len; i++) {
        int code =
            load_record(this, &image->closed_records.closed_records_val[i]);
        if (code != MP_OK) {
            return code;
        }
    }
    return MpLedger_Check(this);
}
