#include "Cluster.h"

#include "state/Codec.h"
#include "state/Error.h"

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

/* Cluster: one replica, with its Raft port, its writes, start and crash. */

#define SNAPSHOT_ENTRIES 12
/* While nothing heals, one in so many snapshots that are received cannot be
 * loaded. */
#define FAILED_LOAD_ONE_IN 3

/* ---- the port of a node ---- */

void
Packet_Delete(void *data)
{
    struct Packet *this = data;
    g_bytes_unref(this->bytes);
    g_free(this);
}

static void
port_send(struct MpRaftPort *port, const struct mp_raft_message *message)
{
    struct Node *node = (struct Node *)port;
    struct Cluster *cluster = node->cluster;
    if (cluster->packets->len >= CLUSTER_PACKETS_MAX) {
        return;
    }
    struct Packet *packet = g_new0(struct Packet, 1);
    packet->from = node->number;
    packet->to_id = message->to;
    packet->bytes = MpCodec_Encode(MP_XDR(mp_raft_message), message);
    g_ptr_array_add(cluster->packets, packet);
}

static void
port_persist(struct MpRaftPort *port, struct MpRaftWrite *write)
{
    struct Node *node = (struct Node *)port;
    g_queue_push_tail(&node->writes, write);
}

static void
check_committed(struct Cluster *cluster, const struct MpLogEntry *entry)
{
    gsize size;
    const void *data = g_bytes_get_data(entry->payload, &size);
    uint64_t checksum = XXH64(data, size, entry->term + entry->kind);
    uint64_t *known = g_hash_table_lookup(cluster->committed, &entry->index);
    if (known && *known != checksum) {
        Fuzz_Fail("entry %" PRIu64 " was committed with different contents",
                  entry->index);
    }
    if (!known) {
        uint64_t *pair = g_new(uint64_t, 2);
        pair[0] = checksum;
        pair[1] = entry->index;
        g_hash_table_insert(cluster->committed, &pair[1], pair);
    }
}

static void
finish_proposal(struct Node *node, const struct MpLogEntry *entry,
                const struct mp_result *result)
{
    struct Cluster *cluster = node->cluster;
    for (guint i = 0; i < cluster->proposals->len; i++) {
        struct Proposal proposal =
            g_array_index(cluster->proposals, struct Proposal, i);
        if (proposal.node != node->number || proposal.index != entry->index) {
            continue;
        }
        g_array_remove_index_fast(cluster->proposals, i);
        bool is_lost =
            !cluster->is_healing && FuzzInput_Below(cluster->input, 4) == 0;
        if (proposal.term == entry->term && !is_lost) {
            cluster->acked_index = MAX(cluster->acked_index, entry->index);
            Agents_HandleResult(&cluster->agents, proposal.task,
                                proposal.generation, result);
        }
        return;
    }
}

static void
port_apply(struct MpRaftPort *port, const struct MpLogEntry *entry)
{
    struct Node *node = (struct Node *)port;
    struct mp_command command;
    struct mp_result result;
    gsize size;
    const void *data = g_bytes_get_data(entry->payload, &size);
    check_committed(node->cluster, entry);
    if (entry->kind != MP_ENTRY_COMMAND) {
        MpMachine_Skip(&node->machine, entry->index);
        return;
    }
    if (MpCodec_Decode(MP_XDR(mp_command), &command, data, size,
                       sizeof(command)) != MP_OK) {
        Fuzz_Fail("cannot read a committed command");
    }
    MpMachine_Apply(&node->machine, entry->index, &command, &result);
    finish_proposal(node, entry, &result);
    MpCodec_Free(MP_XDR(mp_command), &command);
}

static GBytes *
port_save(struct MpRaftPort *port)
{
    return MpMachine_Save(&((struct Node *)port)->machine);
}

/* Some snapshots cannot be loaded, as when memory is short. */
static int
port_load(struct MpRaftPort *port, GBytes *bytes)
{
    struct Node *node = (struct Node *)port;
    gsize size;
    const void *data = g_bytes_get_data(bytes, &size);
    bool is_received = node->is_alive;
    if (is_received && !node->cluster->is_healing &&
        node->clock_ms % FAILED_LOAD_ONE_IN == 0) {
        return MP_ERROR_CORRUPT;
    }
    return MpMachine_Load(&node->machine, data, size);
}

static const struct MpRaftPortClass node_port_class = {
    .send = port_send,
    .persist = port_persist,
    .apply = port_apply,
    .save = port_save,
    .load = port_load,
};

/* ---- start, crash and writes ---- */

void
Node_Start(struct Node *this)
{
    struct MpRecovered recovered;
    MpMachine_Init(&this->machine);
    this->machine.ledger.retention_ms = INT64_MAX / 2;
    MpMembership_Init(&this->membership);
    g_queue_init(&this->writes);
    if (MpStorage_Open(&this->storage, &this->disk.super, &recovered) !=
        MP_OK) {
        Fuzz_Fail("node %u cannot read its disk", this->number);
    }
    this->port.klass = &node_port_class;
    if (MpRaft_Init(&this->raft, &this->port, this->id, &recovered,
                    (uint32_t)(this->id * 31 + ++this->start_count),
                    this->clock_ms) != MP_OK) {
        Fuzz_Fail("node %u cannot start", this->number);
    }
    MpRecovered_Done(&recovered);
    this->raft.snapshot_entries = SNAPSHOT_ENTRIES;
    this->read_since_ms = -1;
    this->is_alive = true;
}

static void
delete_write(void *data)
{
    MpRaftWrite_Delete(data);
}

/* Ends the replica's process and leaves its disk as it is. */
static void
end_process(struct Node *this)
{
    struct Cluster *cluster = this->cluster;
    g_queue_clear_full(&this->writes, delete_write);
    MpRaft_Done(&this->raft);
    MpMachine_Done(&this->machine);
    MpMembership_Done(&this->membership);
    this->is_alive = false;
    for (guint i = cluster->proposals->len; i > 0; i--) {
        if (g_array_index(cluster->proposals, struct Proposal, i - 1).node ==
            this->number) {
            g_array_remove_index_fast(cluster->proposals, i - 1);
        }
    }
}

void
Node_Crash(struct Node *this)
{
    end_process(this);
    MemoryDisk_Crash(&this->disk, this->cluster->input);
}

static int
append_entries(struct Node *this, const struct MpRaftWrite *write)
{
    return MpStorage_Append(&this->storage, &write->hard,
                            (const struct MpLogEntry *)write->entries->data,
                            write->entries->len);
}

void
Node_KillInWrite(struct Node *this)
{
    const struct MpRaftWrite *write = g_queue_peek_head(&this->writes);
    if (write && !write->has_snapshot) {
        this->disk.has_bad_sync = true;
        append_entries(this, write);
        this->disk.has_bad_sync = false;
    }
    end_process(this);
}

void
Node_CompleteWrite(struct Node *this)
{
    struct MpRaftWrite *write = g_queue_peek_head(&this->writes);
    int code;
    if (!write) {
        return;
    }
    if (write->has_snapshot) {
        struct mp_snapshot_head head;
        gsize size;
        const void *data = g_bytes_get_data(write->head, &size);
        MpCodec_Decode(MP_XDR(mp_snapshot_head), &head, data, size,
                       sizeof(head));
        code = MpStorage_SaveSnapshot(
            &this->storage, &head, write->data, &write->hard,
            (struct MpLogEntry *)write->entries->data, write->entries->len);
        MpCodec_Free(MP_XDR(mp_snapshot_head), &head);
    }
    else {
        code = append_entries(this, write);
    }
    if (code == MP_ERROR_DISK_FULL) {
        MpRaft_SetDiskFull(&this->raft, true, this->clock_ms);
        return;
    }
    if (code != MP_OK) {
        Fuzz_Fail("a write failed");
    }
    uint64_t seq = write->seq;
    MpRaftWrite_Delete(g_queue_pop_head(&this->writes));
    MpRaft_SetDiskFull(&this->raft, false, this->clock_ms);
    MpRaft_Persisted(&this->raft, seq, this->clock_ms);
}

void
Node_Print(const struct Node *this)
{
    const struct MpRaft *raft = &this->raft;
    fprintf(stderr,
            "node %u id %" PRIu64 " role %d term %" PRIu64 " last %" PRIu64
            " commit %" PRIu64 " applied %" PRIu64 " first %" PRIu64
            " snapshot %" PRIu64 " members",
            this->number, raft->id, raft->role, raft->term,
            MpRaft_LastIndex(raft), raft->commit, raft->applied,
            raft->first_index, raft->snapshot_index);
    for (u_int j = 0; j < raft->members.list.list_len; j++) {
        const struct mp_member *member = &raft->members.list.list_val[j];
        fprintf(stderr, " %" PRIu64 "%s%s", (uint64_t)member->id,
                member->voter ? "" : "?", member->next_voter ? "+" : "");
    }
    fprintf(stderr, " peers");
    for (guint j = 0; j < raft->progress->len; j++) {
        const struct MpProgress *peer =
            &g_array_index(raft->progress, struct MpProgress, j);
        fprintf(stderr, " %" PRIu64 ":%" PRIu64 "/%" PRIu64 "%s%s", peer->id,
                peer->match, peer->next, peer->in_flight ? "f" : "",
                peer->in_snapshot ? "s" : "");
    }
    fprintf(stderr, "\n");
}
