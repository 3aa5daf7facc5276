#include "transport/ReplicaCalls.h"

#include "state/Codec.h"
#include "state/Error.h"
#include "transport/Log.h"
#include "transport/ReplicaDocument.h"
#include "transport/ReplicaLenders.h"
#include "transport/ReplicaLimits.h"
#include "transport/ReplicaVersions.h"
#include "transport/ReplicaTargets.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Time for which the number of instances is cached, ms. */
#define COUNT_INTERVAL_MS 100

/* A proposal that was appended to the log and is not applied yet. */
struct proposal {
    uint64_t index;
    uint64_t term;
    struct MpRpcCall *call; /* NULL for the replica's own proposals */
};

/* ---- proposals ---- */

static bool
has_detail(const struct mp_result *result)
{
    return result->number != 0 || result->amount_mtok != 0 ||
           result->status != 0 || result->answer.answer_len > 0 ||
           result->slices.slices_len > 0;
}

static void
reply_propose(struct MpReplica *this, struct MpRpcCall *call, int code,
              const struct mp_result *result)
{
    struct mp_propose_reply reply = {.code = code, .leader = (char *)""};
    if (code != MP_OK) {
        reply.leader = (char *)MpReplica_LeaderAddress(this);
    }
    if (result) {
        reply.result_code = result->code;
        reply.state = result->state;
        reply.detail = has_detail(result) ? (struct mp_result *)result : NULL;
    }
    MpRpcCall_Reply(call, &reply);
}

static int
append_command(struct MpReplica *this, const struct mp_command_body *body,
               struct MpRpcCall *call)
{
    uint64_t index;
    struct mp_command command = {.at_ms = MpLoop_WallMs(), .body = *body};
    GBytes *payload = MpCodec_Encode(MP_XDR(mp_command), &command);
    if (!payload) {
        return MP_ERROR_TOO_LARGE;
    }
    int code = MpRaft_Propose(&this->raft, MP_ENTRY_COMMAND, payload, &index);
    g_bytes_unref(payload);
    if (code == MP_OK) {
        struct proposal *proposal = g_new0(struct proposal, 1);
        proposal->index = index;
        proposal->term = this->raft.term;
        proposal->call = call;
        g_hash_table_insert(this->proposals, &proposal->index, proposal);
    }
    return code;
}

int
MpReplica_Append(struct MpReplica *this, const struct mp_command_body *body)
{
    return append_command(this, body, NULL);
}

static void
on_propose(struct MpReplica *this, struct MpRpcCall *call)
{
    struct mp_propose *propose = call->argument;
    int code = append_command(this, &propose->body, call);
    if (code != MP_OK) {
        reply_propose(this, call, code, NULL);
    }
}

void
MpReplica_FinishProposal(struct MpReplica *this,
                         const struct MpLogEntry *entry,
                         const struct mp_result *result)
{
    struct proposal *proposal =
        g_hash_table_lookup(this->proposals, &entry->index);
    if (!proposal) {
        return;
    }
    bool is_committed = proposal->term == entry->term && result;
    if (proposal->call) {
        reply_propose(this, proposal->call,
                      is_committed ? MP_OK : MP_ERROR_NOT_LEADER,
                      is_committed ? result : NULL);
    }
    g_hash_table_remove(this->proposals, &entry->index);
}

void
MpReplica_FailProposals(struct MpReplica *this)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, this->proposals);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct proposal *proposal = value;
        if (proposal->call) {
            reply_propose(this, proposal->call, MP_ERROR_NOT_LEADER, NULL);
        }
    }
    g_hash_table_remove_all(this->proposals);
}

/* ---- instances ---- */

static struct MpInstanceInfo *
get_info(struct MpReplica *this, const char *instance)
{
    struct MpInstanceInfo *info =
        g_hash_table_lookup(this->instances, instance);
    if (!info) {
        info = g_new0(struct MpInstanceInfo, 1);
        info->instance = g_strdup(instance);
        info->peers = g_strdup("");
        info->synced_ms = MpLoop_Now();
        g_hash_table_insert(this->instances, info->instance, info);
    }
    return info;
}

void
MpReplica_ResetTimeouts(struct MpReplica *this)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, this->instances);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct MpInstanceInfo *info = value;
        info->synced_ms = MpLoop_Now();
    }
}

void
MpReplica_FenceTimedOut(struct MpReplica *this)
{
    GHashTableIter iter;
    void *value;
    int64_t now_ms = MpLoop_Now();
    g_hash_table_iter_init(&iter, this->machine.incarnations);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct MpIncarnation *incarnation = value;
        struct MpInstanceInfo *info = get_info(this, incarnation->instance);
        int64_t timeout_ms =
            info->is_draining && info->boot == incarnation->boot
                ? MP_DRAINING_TIMEOUT_MS
                : MP_INSTANCE_TIMEOUT_MS;
        if (incarnation->is_fenced || now_ms - info->synced_ms < timeout_ms ||
            !MpLedger_HasOpen(&this->machine.ledger, incarnation->instance,
                              incarnation->boot)) {
            continue;
        }
        struct mp_command_body body = {.kind = MP_CMD_FENCE};
        body.mp_command_body_u.fence = (struct mp_incarnation){
            .instance = incarnation->instance, .boot = incarnation->boot};
        info->synced_ms = now_ms;
        if (append_command(this, &body, NULL) == MP_OK) {
            MpLog_Event(LOG_WARNING, "instance-fenced",
                        "instance=%s boot=%" PRIu64, incarnation->instance,
                        incarnation->boot);
        }
    }
}

/* ---- reads ---- */

static void
add_recalls(struct MpReplica *this, const struct mp_incarnation *incarnation,
            struct mp_sync_reply *reply)
{
    GHashTableIter iter;
    void *value;
    reply->recalls.recalls_val = g_new0(struct mp_recall, MP_RECALLS_MAX);
    g_hash_table_iter_init(&iter, this->machine.ledger.accounts);
    while (g_hash_table_iter_next(&iter, NULL, &value) &&
           reply->recalls.recalls_len < MP_RECALLS_MAX) {
        const struct MpAccount *account = value;
        guint count = account->has_recalls ? account->leases->len : 0;
        for (guint i = 0; i < count; i++) {
            const struct MpLease *lease =
                g_ptr_array_index(account->leases, i);
            if (lease->is_recalled && lease->boot == incarnation->boot &&
                strcmp(lease->instance, incarnation->instance) == 0) {
                reply->recalls.recalls_val[reply->recalls.recalls_len++]
                    .workspace = account->workspace;
            }
        }
    }
}

/* Returns the number of instances that have synced within
 * MP_INSTANCE_TIMEOUT_MS.  The result is cached, as hundreds of instances sync
 * at a time. */
static u_int
count_instances(struct MpReplica *this)
{
    GHashTableIter iter;
    void *value;
    int64_t now_ms = MpLoop_Now();
    if (this->instances_counted_ms > 0 &&
        now_ms - this->instances_counted_ms < COUNT_INTERVAL_MS) {
        return this->instance_count;
    }
    this->instances_counted_ms = now_ms;
    this->instance_count = 0;
    g_hash_table_iter_init(&iter, this->instances);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct MpInstanceInfo *info = value;
        this->instance_count +=
            now_ms - info->synced_ms < MP_INSTANCE_TIMEOUT_MS;
    }
    return this->instance_count;
}

/* Every sync reply lists the replicas, as they may be replaced while routers
 * run. */
static void
fill_replicas(struct MpReplica *this, struct mp_address *replicas,
              struct mp_sync_reply *reply)
{
    const struct mp_members *members = &this->raft.members;
    for (u_int i = 0; i < members->list.list_len; i++) {
        replicas[i].address = members->list.list_val[i].address;
    }
    reply->replicas.replicas_val = replicas;
    reply->replicas.replicas_len = members->list.list_len;
    reply->instance_count = count_instances(this);
}

/* Returns the zones, to be freed by g_free. */
static struct mp_zone *
list_zones(const struct MpReplica *this, u_int *count)
{
    *count = this->machine.zones.zones->len;
    return MpZoneDrains_List(&this->machine.zones, MpLoop_WallMs());
}

static void
reply_sync(struct MpReplica *this, struct MpRpcCall *call)
{
    const struct mp_sync *sync = call->argument;
    struct mp_sync_reply reply = {
        .leader = (char *)MpReplica_LeaderAddress(this),
        .document_version = this->machine.document_version,
        .quarantine_version = this->machine.quarantine.version,
    };
    struct MpInstanceInfo *info = get_info(this, sync->incarnation.instance);
    info->boot = sync->incarnation.boot;
    info->document_version = sync->document_version;
    info->is_draining = sync->draining;
    if (strcmp(info->peers, sync->peers) != 0) {
        g_free(info->peers);
        info->peers = g_strdup(sync->peers);
    }
    info->synced_ms = MpLoop_Now();
    if (!MpMachine_IsCurrent(&this->machine, &sync->incarnation)) {
        reply.code = MP_ERROR_FENCED;
    }
    struct mp_address replicas[MP_MEMBERS_MAX];
    fill_replicas(this, replicas, &reply);
    MpReplicaTargets_Fill(this, sync, &reply);
    MpReplicaLenders_Fill(this, sync, &reply);
    MpReplicaLimits_Fill(this, sync, &reply);
    MpReplicaVersions_Fill(this, sync, &reply);
    reply.zones_version = this->machine.zones.version;
    if (sync->zones_version != reply.zones_version) {
        reply.zones.zones_val = list_zones(this, &reply.zones.zones_len);
    }
    GByteArray *stopped = NULL;
    GByteArray *suspected = NULL;
    GByteArray *groups = NULL;
    if (sync->quarantine_version != this->machine.quarantine.version) {
        stopped = MpQuarantine_List(&this->machine.quarantine, true);
        suspected = MpQuarantine_List(&this->machine.quarantine, false);
        reply.stopped.stopped_val = (char *)stopped->data;
        reply.stopped.stopped_len = stopped->len;
        reply.suspected.suspected_val = (char *)suspected->data;
        reply.suspected.suspected_len = suspected->len;
        groups = MpQuarantine_ListGroups(&this->machine.quarantine);
        reply.groups.groups_val = (char *)groups->data;
        reply.groups.groups_len = groups->len;
    }
    add_recalls(this, &sync->incarnation, &reply);
    MpRpcCall_Reply(call, &reply);
    g_free(reply.recalls.recalls_val);
    g_free(reply.limits.limits_val);
    g_free(reply.zones.zones_val);
    MpReplicaVersions_Free(&reply);
    g_clear_pointer(&stopped, g_byte_array_unref);
    g_clear_pointer(&suspected, g_byte_array_unref);
    g_clear_pointer(&groups, g_byte_array_unref);
}

/* Console pages and the control API list accounts and instances by name. */
static int
compare_accounts(const void *a, const void *b)
{
    const struct mp_account_status *x = a;
    const struct mp_account_status *y = b;
    return strcmp(x->workspace, y->workspace);
}

static int
compare_instances(const void *a, const void *b)
{
    const struct mp_instance_status *x = a;
    const struct mp_instance_status *y = b;
    return strcmp(x->incarnation.instance, y->incarnation.instance);
}

/* Returns the part of the budget that routers hold: their slices, and the
 * outstanding amounts that they have drawn from them. */
static int64_t
held_by_routers(const struct MpAccount *account)
{
    return account->leased_mtok + account->outstanding_mtok;
}

static void
fill_accounts(struct MpReplica *this, const struct mp_read *read,
              struct mp_read_reply *reply)
{
    GHashTableIter iter;
    void *value;
    guint total = g_hash_table_size(this->machine.ledger.accounts);
    struct mp_account_status *next =
        g_new0(struct mp_account_status, total + 1);
    reply->accounts.accounts_val = next;
    g_hash_table_iter_init(&iter, this->machine.ledger.accounts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct MpAccount *account = value;
        if (read->workspace[0] &&
            strcmp(read->workspace, account->workspace) != 0) {
            continue;
        }
        *next++ = (struct mp_account_status){
            .workspace = account->workspace,
            .granted_mtok = account->granted_mtok,
            .settled_mtok = account->settled_mtok,
            .reserved_mtok = account->reserved_mtok,
            .leased_mtok = held_by_routers(account)};
    }
    reply->accounts.accounts_len =
        (u_int)(next - reply->accounts.accounts_val);
    qsort(reply->accounts.accounts_val, reply->accounts.accounts_len,
          sizeof(*next), compare_accounts);
}

static void
fill_instances(struct MpReplica *this, struct mp_read_reply *reply)
{
    GHashTableIter iter;
    void *value;
    guint total = g_hash_table_size(this->instances);
    struct mp_instance_status *next =
        g_new0(struct mp_instance_status, total + 1);
    reply->instances.instances_len = total;
    reply->instances.instances_val = next;
    g_hash_table_iter_init(&iter, this->instances);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct MpInstanceInfo *info = value;
        *next++ = (struct mp_instance_status){
            .incarnation = {.instance = info->instance, .boot = info->boot},
            .document_version = info->document_version,
            .since_call_ms = MpLoop_Now() - info->synced_ms,
            .draining = info->is_draining};
    }
    qsort(reply->instances.instances_val, total, sizeof(*next),
          compare_instances);
}

static void
fill_text(struct MpReplica *this, uint64_t version,
          struct mp_read_reply *reply)
{
    const char *text = version > 0 ? MpReplicaDocument_Text(this, version)
                                   : this->machine.document;
    reply->code = text ? MP_OK : MP_ERROR_NOT_FOUND;
    reply->document = (char *)(text ? text : "");
    if (version > 0) {
        reply->document_version = version;
    }
}

void
MpReplica_FillRead(struct MpReplica *this, const struct mp_read *read,
                   struct mp_read_reply *reply)
{
    *reply = (struct mp_read_reply){
        .leader = (char *)MpReplica_LeaderAddress(this),
        .document_version = this->machine.document_version,
        .author = this->machine.document_author,
        .document = (char *)"",
        .members = this->raft.members,
        .applied = this->raft.applied,
        .term = this->raft.term,
    };
    if (read->part == MP_READ_DOCUMENT) {
        fill_text(this, read->document_version, reply);
        return;
    }
    reply->history.history_val = MpMachine_CopyHistory(&this->machine);
    reply->history.history_len = this->machine.history.length;
    fill_accounts(this, read, reply);
    fill_instances(this, reply);
    reply->zones_version = this->machine.zones.version;
    reply->zones.zones_val = list_zones(this, &reply->zones.zones_len);
}

void
MpReplica_FreeRead(struct mp_read_reply *reply)
{
    g_free(reply->accounts.accounts_val);
    g_free(reply->instances.instances_val);
    g_free(reply->history.history_val);
    g_free(reply->zones.zones_val);
}

static void
reply_lookup(struct MpReplica *this, struct MpRpcCall *call)
{
    const struct mp_read *read = call->argument;
    struct mp_read_reply reply = {
        .leader = (char *)"", .author = (char *)"", .document = (char *)""};
    const struct MpRecord *record =
        MpLedger_FindRecord(&this->machine.ledger, read->workspace, read->key);
    reply.record = record ? record->state : MP_RECORD_NONE;
    MpRpcCall_Reply(call, &reply);
}

static void
reply_stream(struct MpReplica *this, struct MpRpcCall *call)
{
    const struct mp_read *read = call->argument;
    struct mp_read_reply reply = {
        .leader = (char *)"", .author = (char *)"", .document = (char *)""};
    struct mp_version_name software = {.name = (char *)MpVersions_FindStream(
                                           &this->machine.versions, read->key,
                                           read->stream, read->stream_ms,
                                           MpLoop_WallMs())};
    reply.software = software.name ? &software : NULL;
    reply.is_recorded =
        MpVersions_IsRecorded(&this->machine.versions, read->stream);
    MpRpcCall_Reply(call, &reply);
}

static void
reply_zones(struct MpReplica *this, struct MpRpcCall *call)
{
    struct mp_read_reply reply = {.leader = (char *)"",
                                  .author = (char *)"",
                                  .document = (char *)"",
                                  .zones_version =
                                      this->machine.zones.version};
    reply.zones.zones_val = list_zones(this, &reply.zones.zones_len);
    MpRpcCall_Reply(call, &reply);
    g_free(reply.zones.zones_val);
}

static void
reply_read(struct MpReplica *this, struct MpRpcCall *call)
{
    struct mp_read_reply reply;
    const struct mp_read *read = call->argument;
    if (call->procedure == MP_PROC_SYNC) {
        reply_sync(this, call);
        return;
    }
    if (read->part == MP_READ_RECORD) {
        reply_lookup(this, call);
        return;
    }
    if (read->part == MP_READ_STREAM) {
        reply_stream(this, call);
        return;
    }
    if (read->part == MP_READ_ZONES) {
        reply_zones(this, call);
        return;
    }
    MpReplica_FillRead(this, call->argument, &reply);
    MpRpcCall_Reply(call, &reply);
    MpReplica_FreeRead(&reply);
}

/* Redirects the caller to the leader, as far as it is known. */
static void
fail_read(struct MpReplica *this, struct MpRpcCall *call)
{
    char *leader = (char *)MpReplica_LeaderAddress(this);
    if (call->procedure == MP_PROC_SYNC) {
        struct mp_sync_reply reply = {.code = MP_ERROR_NOT_LEADER,
                                      .leader = leader};
        MpRpcCall_Reply(call, &reply);
        return;
    }
    struct mp_read_reply reply = {.code = MP_ERROR_NOT_LEADER,
                                  .leader = leader,
                                  .author = (char *)"",
                                  .document = (char *)""};
    MpRpcCall_Reply(call, &reply);
}

void
MpReplica_ServeReads(struct MpReplica *this)
{
    bool is_leader = MpRaft_IsLeader(&this->raft);
    guint kept = 0;
    for (guint i = 0; i < this->reads->len; i++) {
        struct MpRpcCall *call = g_ptr_array_index(this->reads, i);
        int64_t since_ms = g_array_index(this->read_times, int64_t, i);
        if (!is_leader) {
            fail_read(this, call);
        }
        else if (MpRaft_CanRead(&this->raft, since_ms)) {
            reply_read(this, call);
        }
        else {
            g_ptr_array_index(this->reads, kept) = call;
            g_array_index(this->read_times, int64_t, kept) = since_ms;
            kept++;
        }
    }
    g_ptr_array_set_size(this->reads, (gint)kept);
    g_array_set_size(this->read_times, kept);
}

void
MpReplica_FailReads(struct MpReplica *this)
{
    for (guint i = 0; i < this->reads->len; i++) {
        fail_read(this, g_ptr_array_index(this->reads, i));
    }
    g_ptr_array_set_size(this->reads, 0);
    g_array_set_size(this->read_times, 0);
}

static void
on_read(struct MpReplica *this, struct MpRpcCall *call)
{
    int64_t now_ms = MpLoop_Now();
    g_ptr_array_add(this->reads, call);
    g_array_append_val(this->read_times, now_ms);
}

/* ---- other calls ---- */

static void
on_identify(struct MpReplica *this, struct MpRpcCall *call)
{
    const struct mp_identify *identify = call->argument;
    struct mp_identify_reply reply = {
        .replica_id = this->id,
        .instance = this->settings->instance,
        .formed = this->raft.members.list.list_len > 0,
        .members = this->raft.members,
        .is_leader = MpRaft_IsLeader(&this->raft),
    };
    if (reply.is_leader) {
        MpMembership_Join(&this->membership, identify->instance,
                          identify->address, identify->replica_id);
    }
    MpRpcCall_Reply(call, &reply);
}

static void
on_raft(struct MpReplica *this, struct MpRpcCall *call)
{
    MpRaft_Receive(&this->raft, call->argument, MpLoop_Now());
    MpRpcCall_Reply(call, NULL);
}

static void
serve_call(void *owner, struct MpRpcCall *call)
{
    struct MpReplica *this = owner;
    if (this->is_failed && call->procedure == MP_PROC_PROPOSE) {
        reply_propose(this, call, MP_ERROR_NOT_LEADER, NULL);
        return;
    }
    if (call->procedure == MP_PROC_FETCH) {
        MpReplicaDocument_Serve(this, call);
        return;
    }
    if (this->is_failed && call->procedure != MP_PROC_SYNC &&
        call->procedure != MP_PROC_READ) {
        MpRpcCall_Reply(call, NULL);
        return;
    }
    switch (call->procedure) {
    case MP_PROC_PROPOSE:
        on_propose(this, call);
        break;
    case MP_PROC_SYNC:
    case MP_PROC_READ:
        on_read(this, call);
        break;
    case MP_PROC_IDENTIFY:
        on_identify(this, call);
        break;
    case MP_PROC_RAFT:
        on_raft(this, call);
        break;
    default:
        MpRpcCall_Reply(call, NULL);
        break;
    }
}

const struct MpRpcServerClass MpReplica_ServerClass = {.call = serve_call};
