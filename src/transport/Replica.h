#ifndef MP_TRANSPORT_REPLICA_H
#define MP_TRANSPORT_REPLICA_H

#include "coordination/Membership.h"
#include "coordination/Raft.h"
#include "protocol/TextPack.h"
#include "state/Machine.h"
#include "state/Settings.h"
#include "transport/DiskTask.h"
#include "transport/FileDisk.h"
#include "transport/Loop.h"
#include "transport/RpcLink.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * Replica - one control replica: connects Raft and the replicated state
 * machine to the disk, to the other replicas, and to the RPC calls of
 * instances.
 *
 * The leader also monitors the instances: it fences one that has not synced
 * for MP_INSTANCE_TIMEOUT_MS (MP_DRAINING_TIMEOUT_MS if it was draining), so
 * that its open requests are resolved.
 */

#define MP_INSTANCE_TIMEOUT_MS 10000
#define MP_DRAINING_TIMEOUT_MS 2000

/* What an instance reported in its last sync. */
struct MpInstanceInfo {
    char *instance;
    uint64_t boot;
    uint64_t document_version;
    int64_t synced_ms; /* last sync, or last restart of its timeout */
    bool is_draining;
    char *peers; /* address for other instances, or empty */
};

/* A recent version of the document, kept so that instances that have it can be
 * sent a delta. */
struct MpDocumentText {
    uint64_t version;
    char *text;
};

#define MP_DOCUMENTS_MAX 8
#define MP_DOCUMENTS_MAX_BYTES (4 * 1024 * 1024)

struct MpReplica {
    struct MpRaftPort port;
    struct MpRaft raft;
    struct MpMachine machine;
    struct MpMembership membership;
    struct MpFileDisk disk;
    struct MpStorage storage;
    struct MpDiskTask disk_task;
    struct MpRpcServer server;
    struct MpLoop *loop;
    const struct MpSettings *settings;
    char *address; /* own RPC address (listen.rpc) */
    uint8_t fleet_key[MP_RPC_KEY_BYTES];
    uint64_t id;
    GHashTable *clients;   /* address -> struct MpRpcClient */
    GHashTable *addresses; /* replica id -> address */
    GHashTable *proposals; /* index -> struct proposal */
    GHashTable *instances; /* instance -> struct MpInstanceInfo */
    GPtrArray *reads;      /* of struct MpRpcCall, not served yet */
    GArray *read_times;    /* of int64_t, arrival of each read, ms */
    GQueue documents;      /* of struct MpDocumentText, newest last */
    GQueue deltas;         /* of struct delta, newest last */
    GArray *lenders;       /* of struct mp_lender */
    struct MpTextPack lenders_pack;
    uint64_t lenders_hash;
    int64_t lenders_ms;   /* when lenders was built; 0: never */
    GHashTable *limits;   /* incarnation -> struct MpTargetLimit */
    uint64_t limits_hash; /* 0: not computed yet */
    int64_t limits_ms;    /* when limits_hash was computed */
    GPtrArray *peers;     /* of char *, addresses of replicas and seeds */
    /* This replica, and seeds whose identify reply named no cluster. */
    GHashTable *identified; /* address -> struct mp_member */
    struct MpTimer tick_timer;
    struct MpTimer maintenance_timer;
    int64_t started_ms;
    int64_t seeds_identified_ms; /* last identify calls to seeds */
    int64_t accounts_logged_ms;
    struct MpTargetList *target_list; /* NULL if none is configured */
    GArray *targets; /* of struct mp_target, as of the last change */
    struct MpTextPack targets_pack;
    uint64_t targets_hash;
    /* The list before the last change, and the differences between the two
     * lists.  The strings of targets_changed belong to targets, those of
     * targets_removed to previous_targets. */
    GArray *previous_targets;
    uint64_t previous_targets_hash; /* 0: no list before */
    GArray *targets_changed;
    GArray *targets_removed;
    GHashTable *cold_ends;   /* incarnation -> int64_t *, when the cold time of
                              * a listed target ends */
    int64_t targets_read_ms; /* last read of the list; 0: never */
    /* For lists that are too long: the document parsed for them, or NULL, and
     * the version that it was parsed from, 0 while the list is short. */
    struct MpDocument *list_document;
    uint64_t list_document_version;
    bool is_failed;
    int64_t disk_full_ms; /* when the disk was last found to be full */
    bool was_leader;
    int64_t instances_counted_ms; /* when instance_count was taken; 0: never */
    uint32_t instance_count;
    uint64_t applied_commands; /* counter */
    uint64_t elections_won;    /* counter */
};

/* Opens the data folder and starts the replica; fleet_key has
 * MP_RPC_KEY_BYTES.  Errors: MP_ERROR_LOCKED, MP_ERROR_CORRUPT,
 * MP_ERROR_IO. */
int MpReplica_Start(struct MpReplica *this, struct MpLoop *loop,
                    const struct MpSettings *settings,
                    const uint8_t *fleet_key);

/* Adds the address of another replica or seed, unless it is known. */
void MpReplica_AddPeer(struct MpReplica *this, const char *address);

/* Finishes the queued writes and closes the data folder. */
void MpReplica_Stop(struct MpReplica *this);

/* Fills reply with the requested part of the state.  The strings and the
 * members belong to the replica; the arrays of accounts, instances and history
 * are freed by MpReplica_FreeRead. */
void MpReplica_FillRead(struct MpReplica *this, const struct mp_read *read,
                        struct mp_read_reply *reply);
void MpReplica_FreeRead(struct mp_read_reply *reply);

#endif
