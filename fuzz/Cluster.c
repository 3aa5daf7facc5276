#include "Cluster.h"

#include "coordination/RaftInternal.h"
#include "state/Codec.h"
#include "state/Error.h"

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

#define HEAL_ROUNDS_MAX 6000
#define ROUND_MS 20
/* Rounds that a leader is suspended: enough for several elections.  All tasks
 * are proposed again after each of FROZEN_PARTS equal parts. */
#define FROZEN_ROUNDS 200
#define FROZEN_PARTS 8
/* Rounds after which a leader has sent again what was not acknowledged. */
#define KILLED_ROUNDS_MIN 16

static struct Node *
find_node(struct Cluster *this, uint64_t id)
{
    for (uint32_t i = 0; i < this->count; i++) {
        if (this->nodes[i].id == id) {
            return &this->nodes[i];
        }
    }
    return NULL;
}

static bool
keeps_majority(struct Cluster *this, const struct MpRaft *raft,
               const struct Node *lost)
{
    uint32_t voters[2] = {0, 0};
    uint32_t kept[2] = {0, 0};
    for (u_int i = 0; i < raft->members.list.list_len; i++) {
        const struct mp_member *member = &raft->members.list.list_val[i];
        const struct Node *node = find_node(this, member->id);
        bool is_kept = node && node != lost;
        voters[0] += member->voter;
        kept[0] += member->voter && is_kept;
        voters[1] += member->next_voter;
        kept[1] += member->next_voter && is_kept;
    }
    return kept[0] > voters[0] / 2 &&
           (!raft->members.joint || kept[1] > voters[1] / 2);
}

/* Returns whether the cluster survives the loss of this disk: all nodes are up
 * and, in each node's membership, the voters that keep their disks are a
 * majority. */
static bool
can_lose_disk(struct Cluster *this, const struct Node *lost)
{
    for (uint32_t i = 0; i < this->count; i++) {
        if (!this->nodes[i].is_alive ||
            !keeps_majority(this, &this->nodes[i].raft, lost)) {
            return false;
        }
    }
    return true;
}

static void
lose_disk(struct Cluster *this, struct Node *node)
{
    if (!can_lose_disk(this, node)) {
        return;
    }
    Node_Crash(node);
    MemoryDisk_Wipe(&node->disk);
    node->id = ++this->next_id;
    Node_Start(node);
}

/* ---- messages ---- */

static void
deliver(struct Cluster *this, guint position, bool is_duplicated)
{
    struct Packet *packet = g_ptr_array_index(this->packets, position);
    struct Node *node = find_node(this, packet->to_id);
    struct mp_raft_message message;
    if (node && node->is_alive && !node->is_frozen &&
        !this->is_link_down[packet->from][node->number]) {
        gsize size;
        const void *data = g_bytes_get_data(packet->bytes, &size);
        if (MpCodec_Decode(MP_XDR(mp_raft_message), &message, data, size,
                           sizeof(message)) != MP_OK) {
            Fuzz_Fail("cannot read a message");
        }
        MpRaft_Receive(&node->raft, &message, node->clock_ms);
        MpCodec_Free(MP_XDR(mp_raft_message), &message);
    }
    if (!is_duplicated) {
        g_ptr_array_remove_index(this->packets, position);
    }
}

/* ---- checks ---- */

static void
check_leader(struct Cluster *this, struct Node *node)
{
    if (!MpRaft_IsLeader(&node->raft)) {
        return;
    }
    uint64_t *id = g_hash_table_lookup(this->leaders, &node->raft.term);
    if (id && *id != node->id) {
        Fuzz_Fail("term %" PRIu64 " has two leaders", node->raft.term);
    }
    if (!id) {
        uint64_t *pair = g_new(uint64_t, 2);
        pair[0] = node->id;
        pair[1] = node->raft.term;
        g_hash_table_insert(this->leaders, &pair[1], pair);
    }
}

/* A leader may commit entries of older terms only together with an entry of
 * its own term; until then another leader can overwrite them. */
static void
check_commit(struct Node *node)
{
    const struct MpRaft *raft = &node->raft;
    if (!MpRaft_IsLeader(raft)) {
        return;
    }
    if (node->lead_term != raft->term) {
        node->lead_term = raft->term;
        node->lead_commit = raft->commit;
        return;
    }
    if (raft->commit > node->lead_commit &&
        MpRaftLog_Term(raft, raft->commit) != raft->term) {
        Fuzz_Fail("term %" PRIu64 " committed only entries of older terms",
                  raft->term);
    }
}

/* Starts a read at each leader that has none pending.  A leader that has been
 * superseded must not complete it. */
static void
start_read(const struct Cluster *this, struct Node *node)
{
    if (node->read_since_ms < 0 && MpRaft_IsLeader(&node->raft)) {
        node->read_since_ms = node->clock_ms;
        node->read_index = this->acked_index;
    }
}

static void
check_read(struct Node *node)
{
    if (node->read_since_ms < 0 ||
        !MpRaft_CanRead(&node->raft, node->read_since_ms)) {
        return;
    }
    if (node->raft.applied < node->read_index) {
        Fuzz_Fail("stale read at node %u misses entry %" PRIu64, node->number,
                  node->read_index);
    }
    node->read_since_ms = -1;
}

static void
check_all(struct Cluster *this)
{
    for (uint32_t i = 0; i < this->count; i++) {
        struct Node *node = &this->nodes[i];
        if (!node->is_alive) {
            continue;
        }
        check_leader(this, node);
        check_commit(node);
        start_read(this, node);
        check_read(node);
        /* The oracle describes the state after all acknowledged entries, so
         * it cannot be compared with a replica that lacks some. */
        if (node->raft.applied >= this->acked_index) {
            Agents_Check(&this->agents, &node->machine);
        }
    }
}

/* ---- steps ---- */

static void
propose(struct Cluster *this, struct Node *node, uint32_t number)
{
    struct Task *task = &this->agents.tasks[number];
    struct mp_command command;
    uint64_t index;
    if (task->kind == TASK_NONE || !node->is_alive || node->is_frozen ||
        !MpRaft_IsLeader(&node->raft)) {
        return;
    }
    Agents_FillCommand(&this->agents, task, &command);
    GBytes *payload = MpCodec_Encode(MP_XDR(mp_command), &command);
    if (MpRaft_Propose(&node->raft, MP_ENTRY_COMMAND, payload, &index) ==
        MP_OK) {
        struct Proposal proposal = {.node = node->number,
                                    .index = index,
                                    .term = node->raft.term,
                                    .task = number,
                                    .generation = task->generation};
        g_array_append_val(this->proposals, proposal);
    }
    g_bytes_unref(payload);
}

/* Lets replicas that are not members join and advances membership changes, as
 * an instance does every few hundred milliseconds. */
static void
maintain_membership(struct Cluster *this)
{
    for (uint32_t i = 0; i < this->count; i++) {
        struct Node *node = &this->nodes[i];
        for (uint32_t j = 0;
             node->is_alive && !node->is_frozen && j < this->count; j++) {
            struct Node *leader = &this->nodes[j];
            if (i != j && leader->is_alive && !leader->is_frozen &&
                MpRaft_IsLeader(&leader->raft) && !this->is_link_down[i][j] &&
                !MpRaft_IsActiveMember(&node->raft)) {
                char name[8];
                snprintf(name, sizeof(name), "n%u", i);
                MpMembership_Join(&leader->membership, name, name, node->id);
            }
        }
        if (node->is_alive && !node->is_frozen) {
            MpMembership_Advance(&node->membership, &node->raft);
        }
    }
}

static void
tick(struct Node *node, int64_t time_ms)
{
    node->clock_ms += time_ms;
    MpRaft_Tick(&node->raft, node->clock_ms);
    MpRaft_Flush(&node->raft);
}

/* Drops a message (choice 0) or delays it until release_delayed(). */
static void
drop_or_delay(struct Cluster *this, uint32_t choice)
{
    if (this->packets->len == 0) {
        return;
    }
    guint position = FuzzInput_Byte(this->input) % this->packets->len;
    struct Packet *packet = g_ptr_array_steal_index(this->packets, position);
    if (choice > 0 && this->delayed->len < CLUSTER_PACKETS_MAX) {
        g_ptr_array_add(this->delayed, packet);
        return;
    }
    Packet_Delete(packet);
}

static void
release_delayed(struct Cluster *this)
{
    while (this->delayed->len > 0) {
        g_ptr_array_add(this->packets,
                        g_ptr_array_steal_index(this->delayed, 0));
    }
}

/* Advances all clocks by two election timeouts, so that several replicas
 * start elections at once. */
static void
jump_clocks(struct Cluster *this)
{
    for (uint32_t i = 0; i < this->count; i++) {
        if (this->nodes[i].is_alive) {
            tick(&this->nodes[i], 2 * MP_RAFT_ELECTION_MS);
        }
    }
}

static void
run_rounds(struct Cluster *this, uint32_t rounds)
{
    for (uint32_t i = 0; i < rounds; i++) {
        for (uint32_t j = 0; j < this->count; j++) {
            struct Node *node = &this->nodes[j];
            if (node->is_alive && !node->is_frozen) {
                tick(node, ROUND_MS);
                Node_CompleteWrite(node);
            }
        }
        while (this->packets->len > 0) {
            uint32_t position =
                this->is_in_order ? 0 : FuzzInput_Byte(this->input);
            deliver(this, position % this->packets->len, false);
        }
        maintain_membership(this);
    }
}

static void
propose_all(struct Cluster *this)
{
    for (uint32_t i = 0; i < AGENT_TASKS; i++) {
        for (uint32_t j = 0; j < this->count; j++) {
            propose(this, &this->nodes[j], i);
        }
    }
}

static struct Node *
find_leader(struct Cluster *this)
{
    struct Node *leader = NULL;
    for (uint32_t i = 0; i < this->count; i++) {
        struct Node *node = &this->nodes[i];
        if (node->is_alive && MpRaft_IsLeader(&node->raft)) {
            leader = node;
        }
    }
    return leader;
}

/* Suspends a leader while the others continue; its last messages are delayed
 * until it resumes.  It then handles a read first, which must not be answered
 * from its old state. */
static void
freeze_leader(struct Cluster *this)
{
    struct Node *leader = find_leader(this);
    if (!leader) {
        return;
    }
    propose_all(this);
    MpRaft_Flush(&leader->raft);
    while (this->packets->len > 0) {
        g_ptr_array_add(this->delayed,
                        g_ptr_array_steal_index(this->packets, 0));
    }
    leader->is_frozen = true;
    this->is_in_order = true;
    for (int i = 0; i < FROZEN_PARTS; i++) {
        run_rounds(this, FROZEN_ROUNDS / FROZEN_PARTS);
        propose_all(this);
    }
    leader->is_frozen = false;
    this->is_in_order = false;
    leader->clock_ms += FROZEN_ROUNDS * ROUND_MS;
    start_read(this, leader);
    check_read(leader);
    release_delayed(this);
}

/* Only one replica gets what a leader sends.  It is killed between the write
 * and its sync, acknowledges the entries after its restart, and loses power;
 * then the leader is suspended. */
static void
lose_power_after_kill(struct Cluster *this, struct Node *node)
{
    struct Node *leader = find_leader(this);
    if (!leader || leader == node || !node->is_alive) {
        return;
    }
    for (uint32_t i = 0; i < this->count; i++) {
        this->is_link_down[leader->number][i] = i != node->number;
    }
    node->disk.is_full = false;
    propose_all(this);
    MpRaft_Flush(&leader->raft);
    while (this->packets->len > 0) {
        deliver(this, 0, false);
    }
    while (g_queue_get_length(&node->writes) > 1) {
        Node_CompleteWrite(node);
    }
    Node_KillInWrite(node);
    Node_Start(node);
    run_rounds(this, KILLED_ROUNDS_MIN + FuzzInput_Below(this->input, 16));
    Node_Crash(node);
    Node_Start(node);
    memset(this->is_link_down, 0, sizeof(this->is_link_down));
    freeze_leader(this);
}

static void
inject_fault(struct Cluster *this, struct Node *node)
{
    struct FuzzInput *input = this->input;
    switch (FuzzInput_Below(input, 14)) {
    case 0:
        if (node->is_alive) {
            Node_Crash(node);
        }
        break;
    case 1:
        jump_clocks(this);
        break;
    case 2:
        this->is_link_down[node->number][FuzzInput_Below(input, this->count)] =
            true;
        break;
    case 3:
        memset(this->is_link_down, 0, sizeof(this->is_link_down));
        break;
    case 4:
        lose_disk(this, node);
        break;
    case 5:
        if (node->is_alive) {
            node->read_since_ms = node->clock_ms;
            node->read_index = this->acked_index;
        }
        break;
    case 6:
        release_delayed(this);
        break;
    case 10:
        freeze_leader(this);
        break;
    case 11:
        node->disk.is_full = !node->disk.is_full;
        node->disk.room_bytes = FuzzInput_Byte(input);
        break;
    case 12:
        if (node->is_alive) {
            Node_KillInWrite(node);
        }
        break;
    case 13:
        lose_power_after_kill(this, node);
        break;
    default:
        drop_or_delay(this, FuzzInput_Below(input, 4));
        break;
    }
}

void
Cluster_Step(struct Cluster *this)
{
    struct FuzzInput *input = this->input;
    uint32_t choice = FuzzInput_Below(input, 16);
    struct Node *node = &this->nodes[FuzzInput_Below(input, this->count)];
    if (choice < 2) {
        inject_fault(this, node);
    }
    else if (choice < 4 && !node->is_alive) {
        Node_Start(node);
    }
    else if (choice < 7 && this->packets->len > 0) {
        uint8_t byte = FuzzInput_Byte(input);
        deliver(this, byte % this->packets->len, byte >= 224);
    }
    else if (choice < 9 && node->is_alive) {
        Node_CompleteWrite(node);
    }
    else if (choice < 10 && node->is_alive) {
        tick(node, FuzzInput_Byte(input));
    }
    else if (choice < 12) {
        Agents_Step(&this->agents, input);
    }
    else if (choice < 15) {
        uint32_t task = FuzzInput_Below(input, AGENT_TASKS);
        for (uint32_t i = 0; i < this->count; i++) {
            propose(this, &this->nodes[i], task);
        }
        if (node->is_alive) {
            MpRaft_Flush(&node->raft);
        }
    }
    else {
        run_rounds(this, 1 + FuzzInput_Below(input, 16));
    }
    check_all(this);
    Fuzz_Steps++;
}

/* ---- convergence ---- */

static bool
is_converged(struct Cluster *this)
{
    const struct Node *first = &this->nodes[0];
    uint32_t leaders = 0;
    for (uint32_t i = 0; i < this->count; i++) {
        const struct Node *node = &this->nodes[i];
        leaders += MpRaft_IsLeader(&node->raft);
        if (node->raft.applied != first->raft.applied ||
            node->raft.applied != MpRaft_LastIndex(&node->raft) ||
            !MpRaft_IsVoter(&node->raft) ||
            node->raft.members.list.list_len != this->count) {
            return false;
        }
    }
    return leaders == 1;
}

void
Cluster_Converge(struct Cluster *this)
{
    uint32_t rounds = 0;
    memset(this->is_link_down, 0, sizeof(this->is_link_down));
    release_delayed(this);
    for (uint32_t i = 0; i < this->count; i++) {
        this->nodes[i].disk.is_full = false;
        if (!this->nodes[i].is_alive) {
            Node_Start(&this->nodes[i]);
        }
    }
    this->is_healing = true;
    this->is_in_order = true;
    while (Agents_ShutDown(&this->agents) || !is_converged(this)) {
        if (rounds % 16 == 0) {
            propose_all(this);
        }
        run_rounds(this, 1);
        if (++rounds > HEAL_ROUNDS_MAX) {
            for (uint32_t i = 0; i < this->count; i++) {
                Node_Print(&this->nodes[i]);
            }
            Fuzz_Fail("the replicas do not converge after healing");
        }
        Fuzz_Steps++;
    }
    check_all(this);
    for (uint32_t i = 0; i < this->count; i++) {
        Agents_CheckEnd(&this->agents, &this->nodes[i].machine);
    }
}

/* ---- cluster ---- */

void
Cluster_Init(struct Cluster *this, struct FuzzInput *input)
{
    struct mp_member list[CLUSTER_NODES_MAX];
    char names[CLUSTER_NODES_MAX][8];
    uint32_t count = FuzzInput_Below(input, 4) == 0 ? 5 : 3;
    *this = (struct Cluster){.input = input, .count = count, .next_id = count};
    this->packets = g_ptr_array_new_with_free_func(Packet_Delete);
    this->delayed = g_ptr_array_new_with_free_func(Packet_Delete);
    this->proposals = g_array_new(false, false, sizeof(struct Proposal));
    this->committed =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    this->leaders =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    Agents_Init(&this->agents);
    for (uint32_t i = 0; i < this->count; i++) {
        snprintf(names[i], sizeof(names[i]), "n%u", i);
        list[i] = (struct mp_member){.id = i + 1,
                                     .instance = names[i],
                                     .address = names[i],
                                     .voter = true};
    }
    struct mp_members members = {
        .list = {.list_val = list, .list_len = this->count}};
    for (uint32_t i = 0; i < this->count; i++) {
        struct Node *node = &this->nodes[i];
        node->cluster = this;
        node->number = i;
        node->id = i + 1;
        node->clock_ms = 1000 * i;
        MemoryDisk_Init(&node->disk);
        Node_Start(node);
        MpRaft_Bootstrap(&node->raft, &members);
        while (node->writes.length > 0) {
            Node_CompleteWrite(node);
        }
    }
}

void
Cluster_Done(struct Cluster *this)
{
    for (uint32_t i = 0; i < this->count; i++) {
        if (this->nodes[i].is_alive) {
            Node_Crash(&this->nodes[i]);
        }
        MemoryDisk_Done(&this->nodes[i].disk);
    }
    g_ptr_array_unref(this->packets);
    g_ptr_array_unref(this->delayed);
    g_array_unref(this->proposals);
    g_hash_table_unref(this->committed);
    g_hash_table_unref(this->leaders);
}
