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
 * Replica - one control replica: Raft and the replicated machine joined to
 * the disk, to the other replicas, and to the calls of instances.
 *
 * The leader also watches the instances: one that has not been heard for
 * MP_INSTANCE_DEAD_MS is fenced, so that its open requests are resolved.
 */

#define MP_INSTANCE_DEAD_MS 10000
#define MP_INSTANCE_LEAVING_MS 2000

/* What the leader last heard of an instance. */
struct MpInstanceView {
    char *instance;
    uint64_t boot;
    uint64_t document_version;
    int64_t heard_ms;
    bool draining;
};

/* A version of the document, kept to send what changed since. */
struct MpDocumentText {
    uint64_t version;
    char *text;
};

#define MP_DOCUMENTS_KEPT 8

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
    char *address; /* own RPC address, with the port in use */
    uint8_t fleet_key[MP_RPC_KEY_BYTES];
    uint64_t id;
    GHashTable *clients;   /* address -> struct MpRpcClient */
    GHashTable *addresses; /* replica id -> address */
    GHashTable *waiting;   /* index -> struct waiting */
    GHashTable *instances; /* instance -> struct MpInstanceView */
    GPtrArray *reads;      /* of struct MpRpcCall, wait for proof */
    GArray *read_times;    /* of int64_t, arrival of each */
    GQueue documents;      /* of struct MpDocumentText, newest last */
    GQueue parts;          /* of documents, as they were sent lately */
    GArray *peers_told;    /* of struct mp_lender, that lend of slices */
    struct MpTextPack peers_pack;
    uint64_t peers_hash;
    int64_t peers_ms;       /* when they were looked for, 0: never */
    GPtrArray *peers;       /* of char *, addresses of replicas */
    GHashTable *identified; /* address -> struct mp_member, while empty */
    struct MpTimer tick;
    struct MpTimer survey;
    int64_t started_ms;
    int64_t called_ms; /* when seeds were last called on */
    int64_t accounts_told_ms;
    struct MpTargetList *list; /* NULL when the settings name none */
    GArray *targets;           /* of struct mp_target, as last read */
    struct MpTextPack targets_pack;
    uint64_t targets_hash;
    /* The change before: its list, and what differs, whose strings belong to
     * that list and to the one above. */
    GArray *targets_before;
    uint64_t targets_before_hash; /* 0: there was none */
    GArray *targets_changed;
    GArray *targets_removed;
    int64_t targets_ms; /* when; 0 for never */
    bool is_failed;
    bool was_leader;
    int64_t counted_ms; /* when the instances were counted, 0: never */
    uint32_t counted;
    uint64_t applied_commands; /* counter */
    uint64_t elections_won;    /* counter */
};

/* Opens the data folder and starts.  Errors: MP_ERROR_LOCKED,
 * MP_ERROR_CORRUPT, MP_ERROR_IO. */
int MpReplica_Start(struct MpReplica *this, struct MpLoop *loop,
                    const struct MpSettings *settings,
                    const uint8_t *fleet_key);

/* Makes the address of another replica known, if it is not. */
void MpReplica_AddPeer(struct MpReplica *this, const char *address);

/* Finishes the writes that are queued. */
void MpReplica_Stop(struct MpReplica *this);

/* Fills reply with what the read asks for; the strings and lists belong to
 * the replica, but for the arrays, which MpReplica_FreeRead frees. */
void MpReplica_FillRead(struct MpReplica *this, const struct mp_read *read,
                        struct mp_read_reply *reply);
void MpReplica_FreeRead(struct mp_read_reply *reply);

#endif
