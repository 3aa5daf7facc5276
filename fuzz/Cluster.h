#ifndef MP_FUZZ_CLUSTER_H
#define MP_FUZZ_CLUSTER_H

#include "Agents.h"
#include "Input.h"
#include "MemoryDisk.h"

#include "coordination/Membership.h"
#include "coordination/Raft.h"
#include "state/Machine.h"

#include <stdbool.h>

/*
 * Cluster - simulated control replicas for a fuzz case.  The input chooses
 * which messages are lost, duplicated, delayed or reordered, when replicas
 * crash and lose unsynced bytes or are killed between a write and its sync,
 * when their disks are full, and how fast each replica's clock runs.
 */

#define CLUSTER_NODES_MAX 5
#define CLUSTER_PACKETS_MAX 256

struct Cluster;

/* One control replica, which can crash and start again. */
struct Node {
    struct MpRaftPort port; /* first: callbacks cast it to the node */
    struct Cluster *cluster;
    uint32_t number;
    bool is_alive;
    bool is_frozen; /* suspended; messages to it are lost */
    uint64_t id;
    struct MpRaft raft;
    struct MpMachine machine;
    struct MpMembership membership;
    struct MemoryDisk disk;
    struct MpStorage storage;
    GQueue writes; /* of struct MpRaftWrite, not yet durable */
    int64_t clock_ms;
    uint32_t start_count;
    int64_t read_since_ms; /* start of the pending read, or -1 */
    uint64_t read_index;   /* index that the pending read must reflect */
    uint64_t lead_term;    /* last term in which it was leader */
    uint64_t lead_commit;  /* commit index when first seen in lead_term */
};

/* A task's command in the log of a leader, without a result yet. */
struct Proposal {
    uint32_t node;
    uint64_t index;
    uint64_t term;
    uint32_t task;
    uint32_t generation;
};

/* An encoded Raft message in transit. */
struct Packet {
    uint32_t from;
    uint64_t to_id;
    GBytes *bytes;
};

struct Cluster {
    struct Node nodes[CLUSTER_NODES_MAX];
    uint32_t count;     /* of replicas, 3 or 5 */
    GPtrArray *packets; /* of struct Packet */
    GPtrArray *delayed; /* of struct Packet, not delivered until released */
    GArray *proposals;  /* of struct Proposal */
    bool is_link_down[CLUSTER_NODES_MAX][CLUSTER_NODES_MAX]; /* [from][to] */
    GHashTable *committed; /* index -> checksum of the entry */
    GHashTable *leaders;   /* term -> id of the leader */
    struct Agents agents;
    struct FuzzInput *input;
    uint64_t next_id;
    uint64_t acked_index; /* highest index whose result was delivered */
    bool is_healing;      /* results are no longer lost */
    bool is_in_order;     /* messages arrive in the order sent */
};

/* -- ClusterNode.c -- */
void Packet_Delete(void *packet);
void Node_Start(struct Node *this);
/* Crashes the replica; its disk keeps synced bytes and a part of the rest. */
void Node_Crash(struct Node *this);
/* Ends the replica's process between a write and its sync; its disk keeps the
 * bytes, until power is lost. */
void Node_KillInWrite(struct Node *this);
/* Completes the oldest pending write, if any, unless the disk is full. */
void Node_CompleteWrite(struct Node *this);
/* Prints the replica's Raft state, after a failure. */
void Node_Print(const struct Node *this);

void Cluster_Init(struct Cluster *this, struct FuzzInput *input);
void Cluster_Done(struct Cluster *this);

/* Executes the step that the input chooses and checks all invariants. */
void Cluster_Step(struct Cluster *this);

/* Removes all failures, finishes the agents' tasks, and checks that all
 * replicas reach the same state. */
void Cluster_Converge(struct Cluster *this);

#endif
