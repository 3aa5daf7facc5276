#include "transport/Replica.h"

#include "state/Codec.h"
#include "state/Error.h"
#include "transport/ConnLimit.h"
#include "transport/Log.h"
#include "transport/ReplicaCalls.h"
#include "transport/ReplicaDisk.h"
#include "transport/ReplicaDocument.h"
#include "transport/ReplicaLenders.h"
#include "transport/ReplicaLimits.h"
#include "transport/ReplicaTargets.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS 10
/* Interval of the periodic work (on_maintenance), ms. */
#define MAINTENANCE_MS 300
/* Interval of the periodic work during the first STARTUP_MS of a process, ms.
 * It is shorter because, after a restart of all instances, an instance that
 * knows only seeds cannot reach the replicas until these have sent the seeds
 * their addresses. */
#define MAINTENANCE_STARTUP_MS 60
#define STARTUP_MS 5000
/* Interval of identify calls to seeds that are not members, ms; during the
 * first STARTUP_MS they are sent at each maintenance. */
#define IDENTIFY_SEEDS_MS 1000
/* Interval at which budgets are logged, ms, and the maximum of lines. */
#define ACCOUNTS_LOG_MS 5000
#define ACCOUNTS_LINES_MAX 32
#define IDENTITY_NAME "identity"
#define IDENTIFY_TIMEOUT_MS 1000

/* ---- sending to other replicas ---- */

static struct MpRpcClient *
get_client(struct MpReplica *this, const char *address)
{
    struct MpRpcClient *client = g_hash_table_lookup(this->clients, address);
    if (!client) {
        client = g_new0(struct MpRpcClient, 1);
        MpRpcClient_Init(client, this->loop, address, this->settings->instance,
                         this->fleet_key);
        g_hash_table_insert(this->clients, client->address, client);
    }
    return client;
}

static const char *
find_address(struct MpReplica *this, uint64_t id)
{
    const struct mp_member *member = MpRaft_Member(&this->raft, id);
    return member ? member->address
                  : g_hash_table_lookup(this->addresses, &id);
}

const char *
MpReplica_LeaderAddress(struct MpReplica *this)
{
    const char *address =
        this->raft.leader ? find_address(this, this->raft.leader) : NULL;
    return address ? address : "";
}

static void
port_send(struct MpRaftPort *port, const struct mp_raft_message *message)
{
    struct MpReplica *this = (struct MpReplica *)port;
    const char *address = find_address(this, message->to);
    if (address) {
        MpRpcClient_Call(get_client(this, address), MP_PROC_RAFT, message, 0,
                         NULL, NULL);
    }
}

/* ---- replicated state machine ---- */

static void
port_apply(struct MpRaftPort *port, const struct MpLogEntry *entry)
{
    struct MpReplica *this = (struct MpReplica *)port;
    struct mp_command command;
    struct mp_result result = {.content_type = (char *)""};
    gsize size;
    const void *data = g_bytes_get_data(entry->payload, &size);
    if (entry->kind != MP_ENTRY_COMMAND ||
        MpCodec_Decode(MP_XDR(mp_command), &command, data, size,
                       sizeof(command)) != MP_OK) {
        MpMachine_Skip(&this->machine, entry->index);
        MpReplica_FinishProposal(this, entry, NULL);
        return;
    }
    this->applied_commands++;
    MpMachine_Apply(&this->machine, entry->index, &command, &result);
    if (command.body.kind == MP_CMD_DOCUMENT) {
        MpReplicaDocument_AddVersion(this);
    }
    MpReplica_FinishProposal(this, entry, &result);
    MpCodec_Free(MP_XDR(mp_command), &command);
}

static GBytes *
port_save(struct MpRaftPort *port)
{
    struct MpReplica *this = (struct MpReplica *)port;
    return MpMachine_Save(&this->machine);
}

static int
port_load(struct MpRaftPort *port, GBytes *data)
{
    struct MpReplica *this = (struct MpReplica *)port;
    gsize size;
    const void *bytes = g_bytes_get_data(data, &size);
    int code = MpMachine_Load(&this->machine, bytes, size);
    if (code != MP_OK) {
        MpLog_Event(LOG_ERR, "snapshot-unreadable",
                    "bytes=%" G_GSIZE_FORMAT " error=%s", size,
                    MpError_Name(code));
    }
    return code;
}

static const struct MpRaftPortClass replica_port_class = {
    .send = port_send,
    .persist = MpReplicaDisk_Persist,
    .apply = port_apply,
    .save = port_save,
    .load = port_load,
};

/* ---- forming and joining a cluster ---- */

struct identify_call {
    struct MpReplica *replica;
    char *address;
};

static void
remember_address(struct MpReplica *this, uint64_t id, const char *address)
{
    uint64_t *key = g_new(uint64_t, 1);
    *key = id;
    g_hash_table_replace(this->addresses, key, g_strdup(address));
}

static void
identified_delete(void *data)
{
    struct mp_member *this = data;
    g_free(this->instance);
    g_free(this->address);
    g_free(this);
}

static void
remember_identity(struct MpReplica *this, const char *address,
                  const char *instance, uint64_t id)
{
    struct mp_member *member = g_new0(struct mp_member, 1);
    *member = (struct mp_member){.id = id,
                                 .instance = g_strdup(instance),
                                 .address = g_strdup(address),
                                 .voter = true};
    g_hash_table_replace(this->identified, member->address, member);
}

void
MpReplica_AddPeer(struct MpReplica *this, const char *address)
{
    if (!g_ptr_array_find_with_equal_func(this->peers, address, g_str_equal,
                                          NULL)) {
        g_ptr_array_add(this->peers, g_strdup(address));
    }
}

/* Orders a GPtrArray of addresses. */
static gint
compare_addresses(gconstpointer a, gconstpointer b)
{
    return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Bootstraps a new cluster once every seed has replied and none has a
 * membership yet.  All replicas use the same first membership, sorted by
 * address. */
static void
form_if_all_empty(struct MpReplica *this)
{
    GPtrArray *seeds = MpSettings_ReplicaAddresses(this->settings);
    struct mp_member *list = g_new0(struct mp_member, seeds->len);
    guint count = 0;
    guint replies = 0;
    g_ptr_array_sort(seeds, compare_addresses);
    remember_identity(this, this->address, this->settings->instance, this->id);
    for (guint i = 0; i < seeds->len; i++) {
        const struct mp_member *member =
            g_hash_table_lookup(this->identified, g_ptr_array_index(seeds, i));
        replies += member != NULL;
        /* A relay has id 0 and does not vote. */
        if (member && member->id != 0) {
            list[count++] = *member;
        }
    }
    if (replies == seeds->len && count > 0 && this->settings->may_bootstrap) {
        struct mp_members members = {
            .list = {.list_val = list, .list_len = count}};
        MpRaft_Bootstrap(&this->raft, &members);
        MpLog_Event(LOG_NOTICE, "cluster-formed", "replicas=%u", count);
    }
    g_ptr_array_unref(seeds);
    g_free(list);
}

static bool
contains_replica(const struct mp_members *members, uint64_t id)
{
    for (u_int i = 0; i < members->list.list_len; i++) {
        if (members->list.list_val[i].id == id) {
            return true;
        }
    }
    return false;
}

/* Applies the members that an instance of a formed cluster has sent. */
static void
apply_members(struct MpReplica *this, const struct mp_members *members)
{
    for (u_int i = 0; i < members->list.list_len; i++) {
        MpReplica_AddPeer(this, members->list.list_val[i].address);
    }
    if (this->raft.members.list.list_len == 0 &&
        contains_replica(members, this->id)) {
        MpRaft_Bootstrap(&this->raft, members);
    }
}

static void
on_identified(void *data, int code, const void *result)
{
    struct identify_call *call = data;
    struct MpReplica *this = call->replica;
    const struct mp_identify_reply *reply = result;
    if (code == MP_OK) {
        remember_address(this, reply->replica_id, call->address);
    }
    if (code == MP_OK && reply->formed) {
        apply_members(this, &reply->members);
    }
    else if (code == MP_OK && this->raft.members.list.list_len == 0) {
        remember_identity(this, call->address, reply->instance,
                          reply->replica_id);
        form_if_all_empty(this);
    }
    g_free(call->address);
    g_free(call);
}

static void
send_identify(struct MpReplica *this, const char *address)
{
    struct identify_call *call = g_new0(struct identify_call, 1);
    struct mp_identify identify = {.instance = this->settings->instance,
                                   .address = this->address,
                                   .replica_id = this->id};
    call->replica = this;
    call->address = g_strdup(address);
    MpRpcClient_Call(get_client(this, address), MP_PROC_IDENTIFY, &identify,
                     IDENTIFY_TIMEOUT_MS, on_identified, call);
}

static bool
is_member_address(const struct MpReplica *this, const char *address)
{
    const struct mp_members *members = &this->raft.members;
    for (u_int i = 0; i < members->list.list_len; i++) {
        if (strcmp(members->list.list_val[i].address, address) == 0) {
            return true;
        }
    }
    return false;
}

/* Sends identify calls to seeds that are not members (such as relays), which
 * gives them the address of this replica.  After a power loss of all instances
 * they have no other way to learn it. */
static void
identify_seeds(struct MpReplica *this)
{
    int64_t now_ms = MpLoop_Now();
    if (now_ms - this->started_ms > STARTUP_MS &&
        now_ms - this->seeds_identified_ms < IDENTIFY_SEEDS_MS) {
        return;
    }
    this->seeds_identified_ms = now_ms;
    for (guint i = 0; i < this->peers->len; i++) {
        const char *address = g_ptr_array_index(this->peers, i);
        if (strcmp(address, this->address) != 0 &&
            !is_member_address(this, address)) {
            send_identify(this, address);
        }
    }
}

/* A replica that is not in the membership identifies itself to all known
 * addresses, to form a new cluster or to be added to an existing one. */
static void
discover_replicas(struct MpReplica *this)
{
    if (MpRaft_IsActiveMember(&this->raft)) {
        identify_seeds(this);
        return;
    }
    guint count = this->peers->len;
    for (guint i = 0; i < count; i++) {
        const char *address = g_ptr_array_index(this->peers, i);
        if (strcmp(address, this->address) != 0) {
            send_identify(this, address);
        }
    }
    if (count == 1 && this->raft.members.list.list_len == 0) {
        form_if_all_empty(this);
    }
}

/* ---- periodic work ---- */

static void
update_role(struct MpReplica *this)
{
    bool is_leader = MpRaft_IsLeader(&this->raft);
    if (is_leader == this->was_leader) {
        return;
    }
    this->was_leader = is_leader;
    this->elections_won += is_leader;
    MpLog_Event(LOG_NOTICE, is_leader ? "leader-elected" : "leader-stopped",
                "term=%" PRIu64, this->raft.term);
    if (is_leader) {
        MpReplica_ResetTimeouts(this);
    }
    else {
        MpReplica_FailProposals(this);
    }
}

static void
on_tick(struct MpTimer *timer)
{
    struct MpReplica *this = timer->data;
    MpRaft_Tick(&this->raft, MpLoop_Now());
    MpLoop_SetTimer(this->loop, &this->tick_timer, TICK_MS, on_tick, this);
}

/* Logs the budgets; called on the leader. */
static void
log_accounts(struct MpReplica *this, int64_t now_ms)
{
    GHashTableIter iter;
    void *value;
    guint lines = 0;
    if (now_ms - this->accounts_logged_ms < ACCOUNTS_LOG_MS) {
        return;
    }
    this->accounts_logged_ms = now_ms;
    g_hash_table_iter_init(&iter, this->machine.ledger.accounts);
    while (g_hash_table_iter_next(&iter, NULL, &value) &&
           lines < ACCOUNTS_LINES_MAX) {
        const struct MpAccount *account = value;
        lines++;
        MpLog_Event(LOG_INFO, "account",
                    "workspace=%s granted_mtok=%" PRId64
                    " settled_mtok=%" PRId64 " reserved_mtok=%" PRId64
                    " leased_mtok=%" PRId64 " dead_mtok=%" PRId64
                    " afloat_mtok=%" PRId64 " applied=%" PRIu64,
                    account->workspace, account->granted_mtok,
                    account->settled_mtok, account->reserved_mtok,
                    account->leased_mtok, MpAccount_Fenced(account),
                    account->outstanding_mtok, this->machine.applied);
    }
}

static void
on_maintenance(struct MpTimer *timer)
{
    struct MpReplica *this = timer->data;
    discover_replicas(this);
    if (MpRaft_IsLeader(&this->raft)) {
        MpMembership_Advance(&this->membership, &this->raft);
        MpReplica_FenceTimedOut(this);
        log_accounts(this, MpLoop_Now());
    }

    bool is_starting = MpLoop_Now() - this->started_ms < STARTUP_MS;
    MpLoop_SetTimer(this->loop, &this->maintenance_timer,
                    is_starting ? MAINTENANCE_STARTUP_MS : MAINTENANCE_MS,
                    on_maintenance, this);
}

static void
after_iteration(void *data)
{
    struct MpReplica *this = data;
    if (this->is_failed) {
        MpReplica_FailReads(this);
        return;
    }
    update_role(this);
    MpRaft_Flush(&this->raft);
    MpReplica_ServeReads(this);
}

/* ---- start ---- */

/* Reads the replica's id from the disk, or creates a random one. */
static int
load_identity(struct MpReplica *this)
{
    struct MpDisk *disk = &this->disk.super;
    GByteArray *text = g_byte_array_new();
    int code = disk->klass->read(disk, IDENTITY_NAME, text);
    if (code == MP_ERROR_NOT_FOUND) {
        char nonce[MP_NONCE_BYTES];
        MpRpc_MakeNonce(nonce);
        memcpy(&this->id, nonce, sizeof(this->id));
        this->id = MAX(this->id, 1);
        char *line = g_strdup_printf("%016" PRIx64 "\n", this->id);
        code = disk->klass->replace(disk, IDENTITY_NAME, line, strlen(line));
        g_free(line);
    }
    else if (code == MP_OK) {
        g_byte_array_append(text, (const guint8 *)"", 1);
        this->id = strtoull((const char *)text->data, NULL, 16);
        code = this->id ? MP_OK : MP_ERROR_CORRUPT;
    }
    g_byte_array_unref(text);
    return code;
}

static int
open_disk(struct MpReplica *this, struct MpRecovered *recovered)
{
    char *folder =
        MpSettings_ResolvePath(this->settings, this->settings->data_folder);
    int code = MpFileDisk_Init(&this->disk, folder);
    g_free(folder);
    if (code == MP_OK) {
        code = load_identity(this);
    }
    if (code == MP_OK) {
        code = MpStorage_Open(&this->storage, &this->disk.super, recovered);
    }
    if (code == MP_OK && recovered->cut_bytes > 0) {
        MpLog_Event(LOG_WARNING, "log-tail-cut", "bytes=%" PRIu64,
                    recovered->cut_bytes);
    }
    return code;
}

static void
log_recovered(const struct MpReplica *this)
{
    const struct MpRaft *raft = &this->raft;
    GString *list = g_string_new(NULL);
    for (u_int i = 0; i < raft->members.list.list_len; i++) {
        const struct mp_member *member = &raft->members.list.list_val[i];
        g_string_append_printf(list, "%s%016" PRIx64 "@%s%s%s", i ? "," : "",
                               (uint64_t)member->id, member->address,
                               member->voter ? "+" : "",
                               member->next_voter ? "!" : "");
    }
    MpLog_Event(LOG_NOTICE, "replica-recovered",
                "id=%016" PRIx64 " term=%" PRIu64 " last=%" PRIu64
                " snapshot=%" PRIu64 " joint=%d members=%s",
                this->id, raft->term, MpRaft_LastIndex(raft),
                raft->snapshot_index, raft->members.joint, list->str);
    g_string_free(list, TRUE);
}

static void
make_tables(struct MpReplica *this)
{
    this->clients = g_hash_table_new(g_str_hash, g_str_equal);
    this->addresses =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    this->proposals =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    this->instances = g_hash_table_new(g_str_hash, g_str_equal);
    this->identified = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                             identified_delete);
    this->peers = MpSettings_ReplicaAddresses(this->settings);
    this->reads = g_ptr_array_new();
    this->read_times = g_array_new(false, false, sizeof(int64_t));
    MpReplicaLenders_Init(this);
    MpReplicaLimits_Init(this);
}

int
MpReplica_Start(struct MpReplica *this, struct MpLoop *loop,
                const struct MpSettings *settings, const uint8_t *fleet_key)
{
    *this = (struct MpReplica){.port = {.klass = &replica_port_class},
                               .loop = loop,
                               .started_ms = MpLoop_Now(),
                               .settings = settings};
    memcpy(this->fleet_key, fleet_key, MP_RPC_KEY_BYTES);
    make_tables(this);
    MpMachine_Init(&this->machine);
    MpMembership_Init(&this->membership);
    struct MpRecovered recovered = {.entries = NULL};
    int code = open_disk(this, &recovered);
    if (code != MP_OK) {
        return code;
    }
    this->address = g_strdup(settings->listen.rpc);
    MpDiskTask_Start(&this->disk_task, &this->storage, loop,
                     MpReplicaDisk_OnDone, this);
    code = MpRaft_Init(&this->raft, &this->port, this->id, &recovered,
                       (uint32_t)this->id, MpLoop_Now());
    MpRecovered_Done(&recovered);
    if (code == MP_OK) {
        code = MpRpcServer_Init(&this->server, &MpReplica_ServerClass, this,
                                loop, settings->listen.rpc, fleet_key,
                                MpConnLimit_ForOthers(settings));
    }
    if (code == MP_OK) {
        log_recovered(this);
    }
    MpReplicaTargets_Start(this);
    MpLoop_AddHook(loop, after_iteration, this);
    MpLoop_SetTimer(loop, &this->tick_timer, TICK_MS, on_tick, this);
    MpLoop_SetTimer(loop, &this->maintenance_timer, 0, on_maintenance, this);
    return code;
}

void
MpReplica_Stop(struct MpReplica *this)
{
    MpDiskTask_Stop(&this->disk_task);
    MpFileDisk_Done(&this->disk);
}
