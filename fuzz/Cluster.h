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
 * Cluster - control replicas joined by links that lose, double, delay and
 * reorder messages, on disks that forget unsynced bytes, with clocks of
 * their own, as a fuzz case directs them.
 */

#define CLUSTER_NODES_MOST 5
#define CLUSTER_MESSAGES_MOST 256

struct Cluster;

/* One control replica; a process that crashes and starts again. */
struct Node {
    struct MpRaftPort port; /* first member: the port finds the node */
    struct Cluster *cluster;
    uint32_t number;
    bool is_alive;
    bool is_frozen; /* it stands still, and what comes to it is lost */
    uint64_t id;
    struct MpRaft raft;
    struct MpMachine machine;
    struct MpMembership membership;
    struct MemoryDisk disk;
    struct MpStorage storage;
    GQueue writes; /* of struct MpRaftWrite, not yet durable */
    int64_t clock_ms;
    uint32_t starts;
    int64_t read_since_ms; /* a read that waits, or -1 */
    uint64_t read_index;   /* what it must see */
    uint64_t lead_term;    /* the term that it was last seen to lead */
    uint64_t lead_commit;  /* its commit index when that began */
};

/* A proposal in the log of a leader. */
struct Proposal {
    uint32_t node;
    uint64_t index;
    uint64_t term;
    uint32_t task;
    uint32_t generation;
};

/* A message on its way. */
struct Flight {
    uint32_t from;
    uint64_t to_id;
    GBytes *bytes;
};

struct Cluster {
    struct Node nodes[CLUSTER_NODES_MOST];
    uint32_t count;     /* of replicas, 3 or 5 */
    GPtrArray *flights; /* of struct Flight */
    GPtrArray *parked;  /* held up for long */
    GArray *proposals;  /* of struct Proposal */
    bool cut[CLUSTER_NODES_MOST][CLUSTER_NODES_MOST];
    GHashTable *committed; /* index -> checksum of the entry */
    GHashTable *leaders;   /* term -> id */
    struct Agents agents;
    struct FuzzInput *input;
    uint64_t next_id;
    uint64_t acked_index; /* highest index whose answer was given */
    bool is_healing;      /* nothing is lost any more */
    bool is_in_order;     /* messages come in the order they were sent */
};

/* -- ClusterNode.c -- */
void Flight_Delete(void *flight);
void Node_Start(struct Node *this);
/* Ends the process; its disk keeps what was synced and part of the rest. */
void Node_Crash(struct Node *this);
/* Makes the oldest write durable. */
void Node_Write(struct Node *this);

void Cluster_Init(struct Cluster *this, struct FuzzInput *input);
void Cluster_Done(struct Cluster *this);

/* Does what the input chooses next. */
void Cluster_Step(struct Cluster *this);

/* Heals all, winds the agents up, and checks that the replicas agree. */
void Cluster_Settle(struct Cluster *this);

#endif
