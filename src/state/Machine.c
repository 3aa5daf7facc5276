#include "state/Machine.h"

#include "state/Error.h"
#include "state/Fault.h"
#include "state/MachineInternal.h"

#include <string.h>

/* From this HTTP status on an answer is a failure of the target. */
#define SERVER_ERROR_STATUS 500
/* Scope of the ids of zone drains among those of submissions. */
#define ZONE_SCOPE "zone"

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
dedup_delete(void *data)
{
    struct MpDedupEntry *this = data;
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
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, dedup_delete);
    this->submissions =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, dedup_delete);
    MpQuarantine_Init(&this->quarantine);
    MpVersions_Init(&this->versions);
    MpZoneDrains_Init(&this->zones);
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
    MpVersions_Done(&this->versions);
    MpZoneDrains_Done(&this->zones);
    g_hash_table_unref(this->submissions);
    g_hash_table_unref(this->topups);
    g_hash_table_unref(this->incarnations);
    MpLedger_Done(&this->ledger);
    g_free(this->document);
    g_free(this->document_author);
    g_free(this->slice_status);
}

/* ---- detection of repeated commands ---- */

struct MpDedupEntry *
MpMachine_AddDedupEntry(GHashTable *table, GQueue *order, const char *scope,
                        const char *id)
{
    struct MpDedupEntry *dedup = g_new0(struct MpDedupEntry, 1);
    dedup->id = g_strdup(id);
    dedup->scope = g_strdup(scope);
    char *name = g_strdup_printf("%s\n%s", scope, id);
    g_hash_table_insert(table, name, dedup);
    g_queue_push_tail(order, name);
    if (order->length > MP_DEDUP_ENTRIES_MAX) {
        g_hash_table_remove(table, g_queue_pop_head(order));
    }
    return dedup;
}

static struct MpDedupEntry *
dedup_find(GHashTable *table, const char *scope, const char *id)
{
    char name[MP_NAME_MAX + MP_KEY_MAX + 2];
    g_snprintf(name, sizeof(name), "%s\n%s", scope, id);
    return g_hash_table_lookup(table, name);
}

static int
dedup_replay(const struct MpDedupEntry *dedup, struct mp_result *result)
{
    result->number = dedup->number;
    result->amount_mtok = dedup->amount_mtok;
    return dedup->code;
}

/* ---- commands ---- */

bool
MpMachine_IsCurrent(const struct MpMachine *this,
                    const struct mp_incarnation *incarnation)
{
    const struct MpIncarnation *newest =
        g_hash_table_lookup(this->incarnations, incarnation->instance);
    return newest && newest->boot == incarnation->boot && !newest->is_fenced;
}

static void
fence(struct MpMachine *this, struct MpIncarnation *incarnation)
{
    if (incarnation->boot > 0 && !incarnation->is_fenced) {
        MpLedger_Fence(&this->ledger, incarnation->instance, incarnation->boot,
                       this->now_ms);
    }
    incarnation->is_fenced = true;
}

static int
apply_register(struct MpMachine *this, const struct mp_register *reg,
               struct mp_result *result)
{
    struct MpIncarnation *incarnation =
        g_hash_table_lookup(this->incarnations, reg->instance);
    if (incarnation && incarnation->nonce == reg->nonce &&
        !incarnation->is_fenced) {
        result->number = incarnation->boot;
        return MP_OK;
    }
    if (!incarnation) {
        incarnation = g_new0(struct MpIncarnation, 1);
        incarnation->instance = g_strdup(reg->instance);
        g_hash_table_insert(this->incarnations, incarnation->instance,
                            incarnation);
    }
    fence(this, incarnation);
    incarnation->boot++;
    incarnation->nonce = reg->nonce;
    incarnation->is_fenced = false;
    g_free(incarnation->address);
    g_free(incarnation->zone);
    incarnation->address = g_strdup(reg->address);
    incarnation->zone = g_strdup(reg->zone);
    result->number = incarnation->boot;
    return MP_OK;
}

static int
apply_fence(struct MpMachine *this, const struct mp_incarnation *incarnation)
{
    struct MpIncarnation *newest =
        g_hash_table_lookup(this->incarnations, incarnation->instance);
    if (!newest || newest->boot != incarnation->boot) {
        return MP_ERROR_STALE;
    }
    fence(this, newest);
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

/* Applies a document whose version number is set by the operator.  The highest
 * number is in force; any other is a repeat or was superseded. */
static int
apply_numbered(struct MpMachine *this, const struct mp_document_put *put,
               struct mp_result *result)
{
    if (put->number > this->document_version ||
        MP_FAULT(MP_FAULT_DOCUMENT_VERSION_LOWERED)) {
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
    struct MpDedupEntry *dedup =
        dedup_find(this->submissions, "", put->submission);
    if (dedup) {
        return dedup_replay(dedup, result);
    }
    bool is_base = put->base_version == this->document_version;
    if (MP_FAULT(MP_FAULT_DOCUMENT_COMPARED_BY_TEXT)) {
        is_base = strcmp(put->text, this->document) != 0;
    }
    dedup = MpMachine_AddDedupEntry(this->submissions, &this->submission_order,
                                    "", put->submission);
    if (is_base) {
        put_document(this, put, this->document_version + 1);
    }
    dedup->code = is_base ? MP_OK : MP_ERROR_VERSION;
    dedup->number = this->document_version;
    return dedup_replay(dedup, result);
}

static int
apply_topup(struct MpMachine *this, const struct mp_topup *topup,
            struct mp_result *result)
{
    struct MpDedupEntry *dedup =
        dedup_find(this->topups, topup->workspace, topup->topup_id);
    if (dedup && !MP_FAULT(MP_FAULT_TOPUP_TWICE)) {
        return dedup_replay(dedup, result);
    }
    int code =
        MpLedger_Grant(&this->ledger, topup->workspace, topup->amount_mtok);
    if (code != MP_OK) {
        return code;
    }
    if (!dedup) {
        dedup = MpMachine_AddDedupEntry(this->topups, &this->topup_order,
                                        topup->workspace, topup->topup_id);
    }
    dedup->amount_mtok =
        MpLedger_FindAccount(&this->ledger, topup->workspace)->granted_mtok;
    return dedup_replay(dedup, result);
}

static int
apply_zone_drain(struct MpMachine *this, const struct mp_zone_drain *order,
                 struct mp_result *result)
{
    struct MpDedupEntry *dedup =
        dedup_find(this->submissions, ZONE_SCOPE, order->submission);
    if (dedup && !MP_FAULT(MP_FAULT_ZONE_DRAIN_TWICE)) {
        return dedup_replay(dedup, result);
    }
    int code = MpZoneDrains_Apply(&this->zones, order, this->now_ms);
    if (code != MP_OK) {
        return code;
    }
    if (!dedup) {
        dedup =
            MpMachine_AddDedupEntry(this->submissions, &this->submission_order,
                                    ZONE_SCOPE, order->submission);
    }
    dedup->number = this->zones.version;
    return dedup_replay(dedup, result);
}

/* ---- apply ---- */

static int
apply_open(struct MpMachine *this, const struct mp_open *open,
           struct mp_result *result)
{
    const struct MpRecord *record =
        MpLedger_FindRecord(&this->ledger, open->workspace, open->key);
    result->state = record ? record->state : MP_RECORD_NONE;
    if (!MpMachine_IsCurrent(this, &open->incarnation)) {
        return MP_ERROR_FENCED;
    }
    int code = MpQuarantine_CheckOpen(&this->quarantine, &this->ledger, open);
    if (code != MP_OK) {
        return code;
    }
    code = MpLedger_Open(&this->ledger, open, this->now_ms, result);
    if (code == MP_OK && result->state == MP_RECORD_OPEN) {
        MpQuarantine_RecordOpen(&this->quarantine, open);
    }
    return code;
}

static int
apply_settle(struct MpMachine *this, const struct mp_settle *settle,
             struct mp_result *result)
{
    int code = MpLedger_Settle(&this->ledger, settle, this->now_ms, result);
    const struct MpRecord *record =
        MpLedger_FindRecord(&this->ledger, settle->workspace, settle->key);
    if (code == MP_OK && record && settle->outcome == MP_RECORD_DONE &&
        settle->status < SERVER_ERROR_STATUS) {
        MpQuarantine_RecordAnswer(&this->quarantine, record, settle);
    }
    return code;
}

static int
apply_lease(struct MpMachine *this, const struct mp_lease *lease,
            struct mp_result *result)
{
    if (!MpMachine_IsCurrent(this, &lease->incarnation)) {
        return MP_ERROR_FENCED;
    }
    return MpLedger_GrantLease(&this->ledger, lease, result);
}

/* A fenced incarnation may still return its own lease. */
static int
apply_lease_return(struct MpMachine *this, const struct mp_lease *lease_return,
                   struct mp_result *result)
{
    struct mp_lease request = *lease_return;
    const struct MpIncarnation *incarnation =
        g_hash_table_lookup(this->incarnations, request.incarnation.instance);
    if (incarnation && MP_FAULT(MP_FAULT_RETURN_BY_OLD_INCARNATION)) {
        request.incarnation.boot = incarnation->boot;
    }
    return MpLedger_ReturnLease(&this->ledger, &request, result);
}

/* The slices in result are valid until the next command. */
static int
apply_slices(struct MpMachine *this, const struct mp_slices *slices,
             struct mp_result *result)
{
    if (!MpMachine_IsCurrent(this, &slices->incarnation)) {
        return MP_ERROR_FENCED;
    }
    u_int count = slices->list.list_len;
    this->slice_status =
        g_renew(struct mp_slice_status, this->slice_status, count + 1);
    for (u_int i = 0; i < count; i++) {
        MpLedger_UpdateSlice(&this->ledger, &slices->incarnation, slices->seq,
                             &slices->list.list_val[i],
                             &this->slice_status[i]);
    }
    result->number = slices->seq;
    result->slices.slices_val = this->slice_status;
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
        return apply_settle(this, &body->mp_command_body_u.settle, result);
    case MP_CMD_LEASE:
        return apply_lease(this, &body->mp_command_body_u.lease, result);
    case MP_CMD_LEASE_RETURN:
        return apply_lease_return(this, &body->mp_command_body_u.lease_return,
                                  result);
    case MP_CMD_OFFLINE:
        return MpLedger_BillOffline(&this->ledger,
                                    &body->mp_command_body_u.offline,
                                    this->now_ms, result);
    case MP_CMD_WRITEOFF:
        result->amount_mtok = MpLedger_WriteOff(
            &this->ledger,
            body->mp_command_body_u.writeoff.incarnation.instance,
            body->mp_command_body_u.writeoff.incarnation.boot,
            body->mp_command_body_u.writeoff.with_paths);
        return MP_OK;
    case MP_CMD_POISON:
        return MpQuarantine_ReportCrash(&this->quarantine, &this->ledger,
                                        &body->mp_command_body_u.poison,
                                        this->now_ms, result);
    case MP_CMD_TRIAL:
        return MpQuarantine_HandleTrial(&this->quarantine,
                                        &body->mp_command_body_u.trial,
                                        this->now_ms, result);
    case MP_CMD_PART_TRIAL:
        return MpQuarantine_HandlePartTrial(
            &this->quarantine, &body->mp_command_body_u.part_trial,
            this->now_ms, result);
    case MP_CMD_VERSIONS:
        MpVersions_SetPool(&this->versions,
                           &body->mp_command_body_u.pool_versions,
                           this->now_ms);
        return MP_OK;
    case MP_CMD_STREAMS:
        MpVersions_AddStreams(&this->versions,
                              &body->mp_command_body_u.streams, 0,
                              this->now_ms);
        return MP_OK;
    case MP_CMD_STREAMS_KEPT:
        MpVersions_AddStreams(
            &this->versions, &body->mp_command_body_u.kept_streams.streams,
            CLAMP(body->mp_command_body_u.kept_streams.lasts_ms, 0,
                  MP_STREAM_LASTS_MAX_MS),
            this->now_ms);
        return MP_OK;
    case MP_CMD_ZONE_DRAIN:
        return apply_zone_drain(this, &body->mp_command_body_u.zone_drain,
                                result);
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
    MpVersions_Expire(&this->versions, this->now_ms);
    result->code = apply_body(this, &command->body, result);
    return result->code;
}

void
MpMachine_Skip(struct MpMachine *this, uint64_t index)
{
    this->applied = index;
}
