#include "transport/ControlClient.h"

#include "coordination/Roster.h"

#include "protocol/TextPack.h"
#include "state/BodyHash.h"
#include "state/Codec.h"
#include "state/Error.h"
#include "transport/DocumentFetch.h"
#include "transport/Log.h"

#include <inttypes.h>
#include <string.h>

/* Interval between two syncs, ms.  The maximum allows several syncs within the
 * time in which a change must be applied.  SYNCS_PER_S limits the rate of all
 * instances together to what the leader's processor can handle. */
#define SYNC_MIN_MS 250
#define SYNC_MAX_MS 700
#define SYNCS_PER_S 400
/* Syncs of instances that have no document yet: shortest interval, ms, and
 * rate limit of all instances together.  The longest interval is
 * SYNC_MIN_MS. */
#define FIRST_SYNC_MIN_MS 50
#define FIRST_SYNCS_PER_S 2000
/* Timeout of a call, ms, and the same after a call has timed out, until a
 * reply comes quickly again: over a link on which packets queue all replies
 * would come too late else. */
#define CALL_TIMEOUT_MS 700
#define SLOW_CALL_TIMEOUT_MS 2400
/* Delay before a call is sent again, ms.  It starts at about one round trip
 * and doubles with each try, up to a part of the duration of an election, so
 * that hundreds of instances do not slow down the election of a leader. */
#define RETRY_MIN_MS 20
#define RETRY_MAX_MS 160
#define RETRY_DOUBLINGS 3
#define REGISTER_DEADLINE_MS 2000
/* Time without a sync reply after which the leader counts as unreachable, ms:
 * several syncs and an election. */
#define PARTITION_TIMEOUT_MS 1800
#define NO_REPLICA G_MAXUINT

/* ---- calls to the leader ---- */

static int64_t
call_timeout_ms(const struct MpControlClient *this)
{
    return this->is_slow ? SLOW_CALL_TIMEOUT_MS : CALL_TIMEOUT_MS;
}

/* Learns from the end of a call whether replies take long. */
static void
note_call(struct MpControlClient *this, int code, int64_t sent_ms)
{
    if (code == MP_ERROR_TIMEOUT) {
        this->is_slow = true;
    }
    else if (code == MP_OK) {
        this->is_slow = MpLoop_Now() - sent_ms > CALL_TIMEOUT_MS / 2;
    }
}

/* A call that is repeated until the leader replies, or until deadline_ms. */
struct request {
    struct MpControlClient *control;
    uint32_t procedure;
    void *argument;      /* owned */
    int64_t deadline_ms; /* 0: none */
    int64_t sent_ms;     /* last try */
    guint replica;       /* index of the replica that was called last */
    uint32_t tries;
    struct MpTimer timer;
    MpProposeDone propose_done;
    MpReadDone read_done;
    void *data;
};

static void send_request(struct request *request);

static void
finish_proposal(struct request *request, int code,
                const struct mp_propose_reply *reply)
{
    if (!reply) {
        request->propose_done(request->data, code, NULL);
        return;
    }
    struct mp_result brief = {.code = reply->result_code,
                              .state = reply->state,
                              .content_type = (char *)""};
    request->propose_done(request->data, code,
                          reply->detail ? reply->detail : &brief);
}

static void
finish(struct request *request, int code, const void *result)
{
    if (request->propose_done) {
        finish_proposal(request, code, result);
    }
    else {
        request->read_done(request->data, code, result);
    }
    MpRpc_FreeArgument(request->procedure, request->argument);
    g_free(request);
}

static void
on_retry(struct MpTimer *timer)
{
    send_request(timer->data);
}

static void
retry(struct request *request)
{
    struct MpControlClient *this = request->control;
    int64_t now_ms = MpLoop_Now();
    if (request->deadline_ms > 0 && now_ms >= request->deadline_ms) {
        finish(request, MP_ERROR_NO_QUORUM, NULL);
        return;
    }
    int64_t wait_ms =
        MIN((int64_t)RETRY_MIN_MS << MIN(request->tries, RETRY_DOUBLINGS),
            RETRY_MAX_MS);
    /* Random jitter, as all instances start retrying at the moment when a
     * leader fails. */
    wait_ms = wait_ms / 2 + g_random_int_range(0, (gint32)wait_ms / 2 + 1);
    this->retries++;
    request->tries++;
    MpLoop_SetTimer(this->loop, &request->timer, wait_ms, on_retry, request);
}

/* Returns the index of the replica at address, NO_REPLICA for none. */
static guint
find_replica(const struct MpControlClient *this, const char *address)
{
    for (guint i = 0; i < this->clients->len; i++) {
        const struct MpRpcClient *client = g_ptr_array_index(this->clients, i);
        if (strcmp(client->address, address) == 0) {
            return i;
        }
    }
    return NO_REPLICA;
}

void
MpControlClient_AddReplica(struct MpControlClient *this, const char *address)
{
    if (find_replica(this, address) != NO_REPLICA) {
        return;
    }
    struct MpRpcClient *client = g_new0(struct MpRpcClient, 1);
    MpRpcClient_Init(client, this->loop, address, this->settings->instance,
                     this->fleet_key);
    g_ptr_array_add(this->clients, client);
}

/* Adds a replica that another replica named, if the settings have seeds.
 * Without seeds, the settings list all replicas. */
static void
learn_replica(struct MpControlClient *this, const char *address)
{
    if (this->settings->seeds->len > 0) {
        MpControlClient_AddReplica(this, address);
    }
}

/* Switches to the replica at address; without a usable address, to the replica
 * after the one that was called. */
static void
follow_leader(struct MpControlClient *this, guint from_replica,
              const char *address)
{
    if (address[0]) {
        learn_replica(this, address);
    }
    for (guint i = 0; address[0] && i < this->clients->len; i++) {
        const struct MpRpcClient *client = g_ptr_array_index(this->clients, i);
        if (strcmp(client->address, address) == 0 && i != from_replica) {
            this->leader = i;
            return;
        }
    }
    /* Another call may have changed the leader meanwhile. */
    if (this->leader == from_replica && this->clients->len > 0) {
        this->leader = (from_replica + 1) % this->clients->len;
    }
}

static void
on_reply(void *data, int code, const void *result)
{
    struct request *request = data;
    note_call(request->control, code, request->sent_ms);
    const char *leader = "";
    int reply_code = code;
    if (code == MP_OK && request->procedure == MP_PROC_PROPOSE) {
        const struct mp_propose_reply *reply = result;
        reply_code = reply->code;
        leader = reply->leader;
    }
    else if (code == MP_OK) {
        const struct mp_read_reply *reply = result;
        reply_code = reply->code;
        leader = reply->leader;
    }
    if (reply_code == MP_OK || reply_code == MP_ERROR_TOO_LARGE ||
        reply_code == MP_ERROR_NOT_FOUND) {
        finish(request, reply_code, reply_code == MP_OK ? result : NULL);
        return;
    }
    follow_leader(request->control, request->replica, leader);
    retry(request);
}

static void
send_request(struct request *request)
{
    struct MpControlClient *this = request->control;
    int64_t timeout_ms = call_timeout_ms(this);
    request->replica = this->leader;
    request->sent_ms = MpLoop_Now();
    if (request->deadline_ms > 0) {
        timeout_ms =
            MIN(timeout_ms,
                MAX(request->deadline_ms - request->sent_ms, CALL_TIMEOUT_MS));
    }
    MpRpcClient_Call(g_ptr_array_index(this->clients, request->replica),
                     request->procedure, request->argument, timeout_ms,
                     on_reply, request);
}

static void *
copy_argument(uint32_t procedure, const void *argument)
{
    const struct MpRpcProcedure *info = MpRpc_Procedure(procedure);
    void *copy = g_malloc0(info->argument_size);
    GBytes *bytes = MpCodec_Encode(info->argument, argument);
    gsize size;
    const void *data = bytes ? g_bytes_get_data(bytes, &size) : NULL;
    if (!bytes || MpCodec_Decode(info->argument, copy, data, size,
                                 info->argument_size) != MP_OK) {
        g_free(copy);
        copy = NULL;
    }
    if (bytes) {
        g_bytes_unref(bytes);
    }
    return copy;
}

static struct request *
request_new(struct MpControlClient *this, uint32_t procedure,
            const void *argument, int64_t deadline_ms)
{
    struct request *request = g_new0(struct request, 1);
    request->control = this;
    request->procedure = procedure;
    request->argument = copy_argument(procedure, argument);
    request->deadline_ms = deadline_ms;
    return request;
}

void
MpControlClient_Propose(struct MpControlClient *this,
                        const struct mp_command *command, int64_t deadline_ms,
                        MpProposeDone done, void *data)
{
    struct mp_propose propose = {.body = command->body};
    struct request *request =
        request_new(this, MP_PROC_PROPOSE, &propose, deadline_ms);
    request->propose_done = done;
    request->data = data;
    this->proposals++;
    if (!request->argument) {
        finish(request, MP_ERROR_TOO_LARGE, NULL);
        return;
    }
    send_request(request);
}

static void
send_read(struct MpControlClient *this, const struct mp_read *read,
          int64_t deadline_ms, MpReadDone done, void *data)
{
    struct request *request =
        request_new(this, MP_PROC_READ, read, deadline_ms);
    request->read_done = done;
    request->data = data;
    send_request(request);
}

void
MpControlClient_ReadRecord(struct MpControlClient *this, const char *workspace,
                           const char *key, int64_t deadline_ms,
                           MpReadDone done, void *data)
{
    struct mp_read read = {.part = MP_READ_RECORD,
                           .workspace = (char *)workspace,
                           .key = (char *)key};
    send_read(this, &read, deadline_ms, done, data);
}

void
MpControlClient_ReadStream(struct MpControlClient *this, const char *pool,
                           const uint8_t *id, int64_t stream_ms,
                           int64_t deadline_ms, MpReadDone done, void *data)
{
    struct mp_read read = {.part = MP_READ_STREAM,
                           .workspace = (char *)"",
                           .key = (char *)pool,
                           .stream_ms =
                               (u_int)CLAMP(stream_ms, 0, UINT32_MAX)};
    memcpy(read.stream, id, MP_HASH_BYTES);
    send_read(this, &read, deadline_ms, done, data);
}

void
MpControlClient_ReadDocument(struct MpControlClient *this, uint64_t version,
                             int64_t deadline_ms, MpReadDone done, void *data)
{
    struct mp_read read = {.part = MP_READ_DOCUMENT,
                           .workspace = (char *)"",
                           .key = (char *)"",
                           .document_version = version};
    send_read(this, &read, deadline_ms, done, data);
}

void
MpControlClient_ReadZones(struct MpControlClient *this, int64_t deadline_ms,
                          MpReadDone done, void *data)
{
    struct mp_read read = {
        .part = MP_READ_ZONES, .workspace = (char *)"", .key = (char *)""};
    send_read(this, &read, deadline_ms, done, data);
}

void
MpControlClient_ReadState(struct MpControlClient *this, const char *workspace,
                          int64_t deadline_ms, MpReadDone done, void *data)
{
    struct mp_read read = {.part = MP_READ_STATE,
                           .workspace = (char *)workspace,
                           .key = (char *)""};
    send_read(this, &read, deadline_ms, done, data);
}

/* ---- registration and sync ---- */

struct mp_incarnation
MpControlClient_Holder(const struct MpControlClient *this)
{
    return (struct mp_incarnation){.instance = this->settings->instance,
                                   .boot = this->boot};
}

bool
MpControlClient_IsReady(const struct MpControlClient *this)
{
    return this->boot > 0 && this->document && this->zones.is_known;
}

bool
MpControlClient_IsPartitioned(const struct MpControlClient *this)
{
    return MpLoop_Now() - this->synced_ms > PARTITION_TIMEOUT_MS;
}

bool
MpControlClient_IsPoison(const struct MpControlClient *this,
                         const uint8_t *body_hash)
{
    return MpSuspects_Lookup(&this->suspects, body_hash) ==
           MP_SUSPICION_STOPPED;
}

static uint64_t
random_number(void)
{
    char nonce[MP_NONCE_BYTES];
    uint64_t number;
    MpRpc_MakeNonce(nonce);
    memcpy(&number, nonce, sizeof(number));
    return number;
}

static void sync_now(struct MpControlClient *this);

static void
on_registered(void *data, int code, const struct mp_result *result)
{
    struct MpControlClient *this = data;
    this->is_registering = false;
    if (code != MP_OK || result->code != MP_OK) {
        return;
    }
    this->boot = result->number;
    MpLog_Event(LOG_NOTICE, "registered", "boot=%" PRIu64, this->boot);
    this->listener->registered(this->owner, this->boot);
    sync_now(this);
}

static void
register_now(struct MpControlClient *this)
{
    struct mp_command command = {.body = {.kind = MP_CMD_REGISTER}};
    if (this->is_registering) {
        return;
    }
    this->is_registering = true;
    command.body.mp_command_body_u.reg = (struct mp_register){
        .instance = this->settings->instance,
        .nonce = this->nonce,
        .address = this->settings->listen.peers ? this->settings->listen.peers
                                                : (char *)"",
        .zone = this->settings->zone};
    MpControlClient_Propose(this, &command,
                            MpLoop_Now() + REGISTER_DEADLINE_MS, on_registered,
                            this);
}

static void
apply_suspects(struct MpControlClient *this, const struct mp_sync_reply *reply)
{
    /* A new leader may not have applied all commands yet: its lists may be
     * older. */
    if (reply->quarantine_version <= this->suspects.version) {
        return;
    }
    MpSuspects_SetLists(&this->suspects, reply->quarantine_version,
                        reply->stopped.stopped_val, reply->stopped.stopped_len,
                        reply->suspected.suspected_val,
                        reply->suspected.suspected_len);
    MpSuspects_SetGroups(
        &this->suspects, reply->suspected.suspected_val,
        reply->groups.groups_val,
        MIN(reply->groups.groups_len, reply->suspected.suspected_len /
                                          MP_HASH_BYTES * sizeof(uint32_t)));
    MpLog_Event(LOG_NOTICE, "suspects-told",
                "version=%" PRIu64 " stopped=%u suspected=%u",
                this->suspects.version,
                reply->stopped.stopped_len / MP_HASH_BYTES,
                reply->suspected.suspected_len / MP_HASH_BYTES);
    if (this->listener->suspects) {
        this->listener->suspects(this->owner);
    }
}

static void
log_zone(const struct mp_zone *zone)
{
    MpLog_Event(LOG_NOTICE,
                zone->is_drained ? "zone-drained" : "zone-restored",
                "zone=%s version=%" PRIu64 " source=leader age_ms=%" PRId64,
                zone->name, (uint64_t)zone->ordered_version,
                (int64_t)zone->changed_age_ms);
}

static void
apply_zones(struct MpControlClient *this, const struct mp_sync_reply *reply)
{
    bool is_changed = MpDrainedZones_Apply(
        &this->zones, reply->zones_version, reply->zones.zones_val,
        reply->zones.zones_len, MpLoop_Now(), log_zone);
    if (is_changed && this->listener->zones) {
        this->listener->zones(this->owner);
    }
}

/* Unpacks and decodes a list.  Returns false when it is empty or invalid. */
static bool
unpack_list(const struct mp_packed *packed, xdrproc_t codec, void *list,
            size_t list_size)
{
    size_t size;
    char *data =
        packed->bytes.bytes_len > 0 ? MpTextPack_Unpack(packed, &size) : NULL;
    bool is_valid =
        data && MpCodec_Decode(codec, list, data, size, list_size) == MP_OK;
    g_free(data);
    return is_valid;
}

/* Returns a copy of a list; its strings still belong to the reply. */
static GPtrArray *
copy_entries(const struct mp_target *from, u_int count)
{
    GPtrArray *list = g_ptr_array_new_with_free_func(g_free);
    for (u_int i = 0; i < count; i++) {
        struct MpListedTarget *entry = g_new(struct MpListedTarget, 1);
        *entry = (struct MpListedTarget){.incarnation = from[i].incarnation,
                                         .pool = from[i].pool,
                                         .address = from[i].address,
                                         .zone = from[i].zone,
                                         .version = from[i].software,
                                         .slots = from[i].slots,
                                         .is_leaving = from[i].leaving,
                                         .cold_ms = from[i].cold_ms,
                                         .started_ms = from[i].started_ms};
        g_ptr_array_add(list, entry);
    }
    return list;
}

static void
apply_targets(struct MpControlClient *this, const struct mp_sync_reply *reply)
{
    if (!reply->has_targets || !this->listener->targets) {
        return;
    }
    enum MpListUpdate kind = MpRoster_ClassifyUpdate(
        this->targets_hash, this->sent_targets_hash, reply->targets_hash,
        reply->has_partial_targets);
    if (kind == MP_UPDATE_STALE) {
        return;
    }
    if (kind == MP_UPDATE_NONE) {
        this->listener->targets(this->owner, NULL);
        return;
    }
    struct mp_targets whole = {.list = {.list_len = 0}};
    bool has_whole = unpack_list(&reply->full_targets, MP_XDR(mp_targets),
                                 &whole, sizeof(whole));
    struct MpTargetUpdate update = {
        .targets = has_whole
                       ? copy_entries(whole.list.list_val, whole.list.list_len)
                       : copy_entries(reply->targets.targets_val,
                                      reply->targets.targets_len),
        .removed = copy_entries(reply->targets_removed.targets_removed_val,
                                reply->targets_removed.targets_removed_len),
        .is_partial = kind == MP_UPDATE_PARTIAL};
    this->targets_hash = reply->targets_hash;
    this->listener->targets(this->owner, &update);
    g_ptr_array_unref(update.targets);
    g_ptr_array_unref(update.removed);
    if (has_whole) {
        MpCodec_Free(MP_XDR(mp_targets), &whole);
    }
}

static void
apply_peers(struct MpControlClient *this, const struct mp_sync_reply *reply)
{
    struct mp_lenders peers;
    if (!this->listener->peers || reply->lenders_hash == this->peers_hash ||
        !unpack_list(&reply->lenders, MP_XDR(mp_lenders), &peers,
                     sizeof(peers))) {
        return;
    }
    this->peers_hash = reply->lenders_hash;
    this->listener->peers(this->owner, peers.list.list_val,
                          peers.list.list_len);
    MpCodec_Free(MP_XDR(mp_lenders), &peers);
}

static void
apply_limits(struct MpControlClient *this, const struct mp_sync_reply *reply)
{
    if (!this->listener->limits || reply->limits_hash == this->limits_hash) {
        return;
    }
    bool is_complete = this->listener->limits(
        this->owner, reply->limits.limits_val, reply->limits.limits_len);
    this->limits_hash = is_complete ? reply->limits_hash : 0;
}

/* A leader of an earlier build tells no bases. */
static void
apply_versions(struct MpControlClient *this, const struct mp_sync_reply *reply)
{
    u_int count = reply->versions.versions_len;
    struct mp_pool_base *none = NULL;
    if (reply->bases.bases_len != count) {
        none = g_new0(struct mp_pool_base, count);
    }
    this->listener->versions(this->owner, reply->versions.versions_val,
                             none ? none : reply->bases.bases_val, count);
    g_free(none);
}

static void
on_synced(void *data, int code, const void *result)
{
    struct MpControlClient *this = data;
    const struct mp_sync_reply *reply = result;
    this->is_syncing = false;
    note_call(this, code, this->sync_began_ms);
    if (code != MP_OK || reply->code == MP_ERROR_NOT_LEADER) {
        follow_leader(this, this->leader, reply ? reply->leader : "");
        return;
    }
    this->synced_ms = MpLoop_Now();
    this->heard_ms = this->sync_sent_ms;
    /* Before the document, with which the instance begins to serve. */
    apply_zones(this, reply);
    MpDocumentFetch_Start(this, reply->document_version);
    apply_suspects(this, reply);
    this->instances = reply->instance_count;
    apply_peers(this, reply);
    apply_targets(this, reply);
    apply_limits(this, reply);
    if (this->listener->versions &&
        reply->versions_hash != this->versions_hash) {
        this->versions_hash = reply->versions_hash;
        apply_versions(this, reply);
    }
    for (u_int i = 0; i < reply->replicas.replicas_len; i++) {
        learn_replica(this, reply->replicas.replicas_val[i].address);
    }
    for (u_int i = 0; i < reply->recalls.recalls_len; i++) {
        this->listener->recall(this->owner,
                               reply->recalls.recalls_val[i].workspace);
    }
    if (reply->code == MP_ERROR_FENCED && this->boot > 0 &&
        !this->is_draining) {
        MpLog_Event(LOG_WARNING, "fenced", "boot=%" PRIu64, this->boot);
        this->boot = 0;
        this->nonce = random_number();
    }
}

static void
sync_now(struct MpControlClient *this)
{
    struct mp_sync sync = {
        .incarnation = MpControlClient_Holder(this),
        .document_version = this->document ? this->document->version : 0,
        .quarantine_version = this->suspects.version,
        .targets_hash = this->targets_hash,
        .lenders_hash = this->peers_hash,
        .draining = this->is_draining,
        .versions_hash = this->versions_hash,
        .limits_hash = this->limits_hash,
        .peers = this->peers_address ? this->peers_address : (char *)"",
        .zones_version = this->zones.version,
    };
    if (this->is_syncing) {
        return;
    }
    this->is_syncing = true;
    this->sync_began_ms = MpLoop_Now();
    this->sync_sent_ms = MpLoop_BootMs();
    if (this->listener->list_limits) {
        sync.limits.limits_val =
            this->listener->list_limits(this->owner, &sync.limits.limits_len);
    }
    this->sent_targets_hash = this->targets_hash;
    MpRpcClient_Call(g_ptr_array_index(this->clients, this->leader),
                     MP_PROC_SYNC, &sync, call_timeout_ms(this), on_synced,
                     this);
    g_free(sync.limits.limits_val);
}

/* Returns the sync interval, which grows with the number of instances, so that
 * the total rate of syncs stays limited. */
static int64_t
sync_interval_ms(const struct MpControlClient *this)
{
    int64_t instances_ms = (int64_t)this->instances * 1000;
    return this->document
               ? CLAMP(instances_ms / SYNCS_PER_S, SYNC_MIN_MS, SYNC_MAX_MS)
               : CLAMP(instances_ms / FIRST_SYNCS_PER_S, FIRST_SYNC_MIN_MS,
                       SYNC_MIN_MS);
}

static void
on_timer(struct MpTimer *timer)
{
    struct MpControlClient *this = timer->data;
    if (this->boot == 0) {
        register_now(this);
    }
    else {
        sync_now(this);
    }
    MpLoop_SetTimer(this->loop, &this->timer, sync_interval_ms(this), on_timer,
                    this);
}

void
MpControlClient_Start(struct MpControlClient *this, struct MpLoop *loop,
                      const struct MpSettings *settings,
                      const uint8_t *fleet_key,
                      const struct MpControlListener *listener, void *owner)
{
    *this =
        (struct MpControlClient){.loop = loop,
                                 .settings = settings,
                                 .dialect = MpDialect_Find(settings->dialect),
                                 .listener = listener,
                                 .owner = owner,
                                 .nonce = random_number()};
    this->clients = g_ptr_array_new();
    MpSuspects_Init(&this->suspects);
    MpDrainedZones_Init(&this->zones);
    memcpy(this->fleet_key, fleet_key, MP_RPC_KEY_BYTES);
    GPtrArray *replicas = MpSettings_ReplicaAddresses(settings);
    for (guint i = 0; i < replicas->len; i++) {
        MpControlClient_AddReplica(this, g_ptr_array_index(replicas, i));
    }
    g_ptr_array_unref(replicas);
    MpLoop_SetTimer(loop, &this->timer, 0, on_timer, this);
}
