#include "state/Machine.h"

#include "state/Error.h"
#include "state/Fault.h"
#include "state/MachineInternal.h"

#include <string.h>

/* ---- construction ---- */

static void
incarnation_delete(void *data)
{
    struct MpIncarnation *this = data;
    g_free(this->instance);
    g_free(this->address);
    g_free(this->zone);
    g_free(this);
}

static void
marker_delete(void *data)
{
    struct MpMarker *this = data;
    g_free(this->id);
    g_free(this->scope);
    g_free(this);
}

static void
history_delete(void *data)
{
    struct mp_history *this = data;
    g_free(this->author);
    g_free(this->submission);
    g_free(this);
}

void
MpMachine_AddHistory(struct MpMachine *this, uint64_t version, int64_t at_ms,
                     const char *author, const char *submission)
{
    struct mp_history *entry = g_new0(struct mp_history, 1);
    entry->document_version = version;
    entry->at_ms = at_ms;
    entry->author = g_strdup(author);
    entry->submission = g_strdup(submission);
    g_queue_push_tail(&this->history, entry);
    if (this->history.length > MP_HISTORY_MAX) {
        history_delete(g_queue_pop_head(&this->history));
    }
}

void
MpMachine_Init(struct MpMachine *this)
{
    *this = (struct MpMachine){.document = g_strdup(""),
                               .document_author = g_strdup("")};
    MpLedger_Init(&this->ledger);
    this->incarnations = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                               incarnation_delete);
    this->topups =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, marker_delete);
    this->submissions =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, marker_delete);
    MpQuarantine_Init(&this->quarantine);
    g_queue_init(&this->history);
    g_queue_init(&this->topup_order);
    g_queue_init(&this->submission_order);
}

void
MpMachine_Done(struct MpMachine *this)
{
    g_queue_clear_full(&this->history, history_delete);
    g_queue_clear(&this->topup_order);
    g_queue_clear(&this->submission_order);
    MpQuarantine_Done(&this->quarantine);
    g_hash_table_unref(this->submissions);
    g_hash_table_unref(this->topups);
    g_hash_table_unref(this->incarnations);
    MpLedger_Done(&this->ledger);
    g_free(this->document);
    g_free(this->document_author);
    g_free(this->slices_held);
}

/* ---- markers ---- */

struct MpMarker *
MpMachine_AddMarker(GHashTable *table, GQueue *order, const char *scope,
                    const char *id)
{
    struct MpMarker *marker = g_new0(struct MpMarker, 1);
    marker->id = g_strdup(id);
    marker->scope = g_strdup(scope);
    char *name = g_strdup_printf("%s\n%s", scope, id);
    g_hash_table_insert(table, name, marker);
    g_queue_push_tail(order, name);
    if (order->length > MP_MARKERS_MAX) {
        g_hash_table_remove(table, g_queue_pop_head(order));
    }
    return marker;
}

static struct MpMarker *
marker_find(GHashTable *table, const char *scope, const char *id)
{
    char name[MP_NAME_MAX + MP_KEY_MAX + 2];
    g_snprintf(name, sizeof(name), "%s\n%s", scope, id);
    return g_hash_table_lookup(table, name);
}

static int
marker_answer(const struct MpMarker *marker, struct mp_result *result)
{
    result->number = marker->number;
    result->amount_mtok = marker->amount_mtok;
    return marker->code;
}

/* ---- commands ---- */

bool
MpMachine_IsCurrent(const struct MpMachine *this,
                    const struct mp_incarnation *holder)
{
    const struct MpIncarnation *life =
        g_hash_table_lookup(this->incarnations, holder->instance);
    return life && life->boot == holder->boot && !life->fenced;
}

static void
fence(struct MpMachine *this, struct MpIncarnation *life)
{
    if (life->boot > 0 && !life->fenced) {
        MpLedger_Fence(&this->ledger, life->instance, life->boot,
                       this->now_ms);
    }
    life->fenced = true;
}

static int
apply_register(struct MpMachine *this, const struct mp_register *reg,
               struct mp_result *result)
{
    struct MpIncarnation *life =
        g_hash_table_lookup(this->incarnations, reg->instance);
    if (life && life->nonce == reg->nonce && !life->fenced) {
        result->number = life->boot;
        return MP_OK;
    }
    if (!life) {
        life = g_new0(struct MpIncarnation, 1);
        life->instance = g_strdup(reg->instance);
        g_hash_table_insert(this->incarnations, life->instance, life);
    }
    fence(this, life);
    life->boot++;
    life->nonce = reg->nonce;
    life->fenced = false;
    g_free(life->address);
    g_free(life->zone);
    life->address = g_strdup(reg->address);
    life->zone = g_strdup(reg->zone);
    result->number = life->boot;
    return MP_OK;
}

static int
apply_fence(struct MpMachine *this, const struct mp_incarnation *holder)
{
    struct MpIncarnation *life =
        g_hash_table_lookup(this->incarnations, holder->instance);
    if (!life || life->boot != holder->boot) {
        return MP_ERROR_STALE;
    }
    fence(this, life);
    return MP_OK;
}

static void
put_document(struct MpMachine *this, const struct mp_document_put *put,
             uint64_t version)
{
    g_free(this->document);
    g_free(this->document_author);
    this->document = g_strdup(put->text);
    this->document_author = g_strdup(put->author);
    this->document_version = version;
    this->ledger.retention_ms = put->retention_ms;
    for (u_int i = 0; i < put->grants.grants_len; i++) {
        const struct mp_grant *grant = &put->grants.grants_val[i];
        MpLedger_SetPrepaid(&this->ledger, grant->workspace,
                            grant->prepaid_mtok);
    }
    MpMachine_AddHistory(this, version, this->now_ms, put->author,
                         put->submission);
}

/* The operator numbers the versions and the highest is in force: one that is
 * not higher has been overtaken, or is here already. */
static int
apply_numbered(struct MpMachine *this, const struct mp_document_put *put,
               struct mp_result *result)
{
    if (put->number > this->document_version ||
        MP_FAULT(MP_FAULT_DOCUMENT_GOES_BACK)) {
        put_document(this, put, put->number);
    }
    result->number = this->document_version;
    return MP_OK;
}

static int
apply_document(struct MpMachine *this, const struct mp_document_put *put,
               struct mp_result *result)
{
    if (put->number > 0) {
        return apply_numbered(this, put, result);
    }
    struct MpMarker *marker =
        marker_find(this->submissions, "", put->submission);
    if (marker) {
        return marker_answer(marker, result);
    }
    bool is_base = put->base_version == this->document_version;
    if (MP_FAULT(MP_FAULT_DOCUMENT_BY_CONTENT)) {
        is_base = strcmp(put->text, this->document) != 0;
    }
    marker = MpMachine_AddMarker(this->submissions, &this->submission_order,
                                 "", put->submission);
    if (is_base) {
        put_document(this, put, this->document_version + 1);
    }
    marker->code = is_base ? MP_OK : MP_ERROR_VERSION;
    marker->number = this->document_version;
    return marker_answer(marker, result);
}

static int
apply_topup(struct MpMachine *this, const struct mp_topup *topup,
            struct mp_result *result)
{
    struct MpMarker *marker =
        marker_find(this->topups, topup->workspace, topup->topup_id);
    if (marker && !MP_FAULT(MP_FAULT_TOPUP_TWICE)) {
        return marker_answer(marker, result);
    }
    int code =
        MpLedger_Grant(&this->ledger, topup->workspace, topup->amount_mtok);
    if (code != MP_OK) {
        return code;
    }
    if (!marker) {
        marker = MpMachine_AddMarker(this->topups, &this->topup_order,
                                     topup->workspace, topup->topup_id);
    }
    marker->amount_mtok =
        MpLedger_FindAccount(&this->ledger, topup->workspace)->granted_mtok;
    return marker_answer(marker, result);
}

/* ---- apply ---- */

static int
apply_open(struct MpMachine *this, const struct mp_open *open,
           struct mp_result *result)
{
    const struct MpRecord *record =
        MpLedger_FindRecord(&this->ledger, open->workspace, open->key);
    result->state = record ? record->state : MP_RECORD_NONE;
    if (!MpMachine_IsCurrent(this, &open->holder)) {
        return MP_ERROR_FENCED;
    }
    int code = MpQuarantine_CheckOpen(&this->quarantine, &this->ledger, open);
    if (code != MP_OK) {
        return code;
    }
    code = MpLedger_Open(&this->ledger, open, this->now_ms, result);
    if (code == MP_OK && result->state == MP_RECORD_OPEN) {
        MpQuarantine_NoteOpen(&this->quarantine, open);
    }
    return code;
}

static int
apply_lease(struct MpMachine *this, const struct mp_lease *lease,
            struct mp_result *result)
{
    if (!MpMachine_IsCurrent(this, &lease->holder)) {
        return MP_ERROR_FENCED;
    }
    return MpLedger_Lease(&this->ledger, lease, result);
}

/* A life that has ended may still hand in what it held, and no more. */
static int
apply_handin(struct MpMachine *this, const struct mp_lease *lease_return,
             struct mp_result *result)
{
    struct mp_lease back = *lease_return;
    const struct MpIncarnation *life =
        g_hash_table_lookup(this->incarnations, back.holder.instance);
    if (life && MP_FAULT(MP_FAULT_HANDIN_OF_OLD_LIFE)) {
        back.holder.boot = life->boot;
    }
    return MpLedger_Handin(&this->ledger, &back, result);
}

/* The answer holds until the next command. */
static int
apply_slices(struct MpMachine *this, const struct mp_slices *slices,
             struct mp_result *result)
{
    if (!MpMachine_IsCurrent(this, &slices->holder)) {
        return MP_ERROR_FENCED;
    }
    u_int count = slices->list.list_len;
    this->slices_held =
        g_renew(struct mp_slice_status, this->slices_held, count + 1);
    for (u_int i = 0; i < count; i++) {
        MpLedger_UpdateSlice(&this->ledger, &slices->holder, slices->seq,
                             &slices->list.list_val[i], &this->slices_held[i]);
    }
    result->number = slices->seq;
    result->slices.slices_val = this->slices_held;
    result->slices.slices_len = count;
    return MP_OK;
}

static int
apply_body(struct MpMachine *this, const struct mp_command_body *body,
           struct mp_result *result)
{
    switch (body->kind) {
    case MP_CMD_REGISTER:
        return apply_register(this, &body->mp_command_body_u.reg, result);
    case MP_CMD_FENCE:
        return apply_fence(this, &body->mp_command_body_u.fence);
    case MP_CMD_DOCUMENT:
        return apply_document(this, &body->mp_command_body_u.document, result);
    case MP_CMD_TOPUP:
        return apply_topup(this, &body->mp_command_body_u.topup, result);
    case MP_CMD_OPEN:
        return apply_open(this, &body->mp_command_body_u.open, result);
    case MP_CMD_SETTLE:
        return MpLedger_Settle(&this->ledger, &body->mp_command_body_u.settle,
                               this->now_ms, result);
    case MP_CMD_LEASE:
        return apply_lease(this, &body->mp_command_body_u.lease, result);
    case MP_CMD_LEASE_RETURN:
        return apply_handin(this, &body->mp_command_body_u.lease_return,
                            result);
    case MP_CMD_OFFLINE:
        return MpLedger_Offline(&this->ledger,
                                &body->mp_command_body_u.offline, this->now_ms,
                                result);
    case MP_CMD_WRITEOFF:
        result->amount_mtok = MpLedger_WriteOff(
            &this->ledger, body->mp_command_body_u.writeoff.holder.instance,
            body->mp_command_body_u.writeoff.holder.boot,
            body->mp_command_body_u.writeoff.with_paths);
        return MP_OK;
    case MP_CMD_POISON:
        return MpQuarantine_Report(&this->quarantine, &this->ledger,
                                   &body->mp_command_body_u.poison,
                                   this->now_ms, result);
    case MP_CMD_TRIAL:
        return MpQuarantine_HandleTrial(&this->quarantine,
                                        &body->mp_command_body_u.trial,
                                        this->now_ms, result);
    case MP_CMD_SLICES:
        return apply_slices(this, &body->mp_command_body_u.slices, result);
    default:
        return MP_ERROR_INVALID;
    }
}

int
MpMachine_Apply(struct MpMachine *this, uint64_t index,
                const struct mp_command *command, struct mp_result *result)
{
    *result = (struct mp_result){.content_type = (char *)""};
    this->applied = index;
    this->now_ms = MAX(this->now_ms, command->at_ms);
    MpLedger_Expire(&this->ledger, this->now_ms);
    MpQuarantine_Expire(&this->quarantine, this->now_ms);
    result->code = apply_body(this, &command->body, result);
    return result->code;
}

void
MpMachine_Skip(struct MpMachine *this, uint64_t index)
{
    this->applied = index;
}
