#ifndef MP_TRANSPORT_CONTROL_CLIENT_H
#define MP_TRANSPORT_CONTROL_CLIENT_H

#include "coordination/DrainedZones.h"
#include "coordination/Suspects.h"
#include "protocol/Dialect.h"
#include "state/Document.h"
#include "state/Settings.h"
#include "transport/Loop.h"
#include "transport/RpcLink.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * ControlClient - an instance's client of the control replicas.  It finds the
 * leader, proposes commands and retries them until they have a result,
 * registers this incarnation, and periodically fetches updates (sync): the
 * configuration document, drained zones, target list, suspect requests and
 * lease recalls.
 *
 * Commands are idempotent, so a proposal whose reply is lost is sent again.
 * Documents are fetched from any replica, so that hundreds of instances do not
 * all fetch a large one from the leader.
 */

/* result is NULL unless code is MP_OK.  code is that of the call, result->code
 * that of the command.  result is freed after the call. */
typedef void (*MpProposeDone)(void *data, int code,
                              const struct mp_result *result);
/* reply is NULL unless code is MP_OK; it is freed after the call. */
typedef void (*MpReadDone)(void *data, int code,
                           const struct mp_read_reply *reply);

/* An update of the target list; the arrays hold struct MpListedTarget. */
struct MpTargetUpdate {
    GPtrArray *targets; /* the whole list, or the added and changed targets */
    GPtrArray *removed; /* the targets that were removed, if is_partial */
    bool is_partial;    /* changes since the previous list, not a whole list */
};

struct MpControlListener {
    /* A newer document was applied. */
    void (*document)(void *owner, struct MpDocument *document);
    /* The registration changed; boot is the number of this incarnation. */
    void (*registered)(void *owner, uint64_t boot);
    /* The ledger recalls the lease on workspace. */
    void (*recall)(void *owner, const char *workspace);
    /* The leader's target list; update is NULL when the list is unchanged.
     * This member may be NULL. */
    void (*targets)(void *owner, const struct MpTargetUpdate *update);
    /* The quorum's lists of suspects have changed.  This member may be NULL.
     */
    void (*suspects)(void *owner);
    /* Zones were drained or restored.  This member may be NULL. */
    void (*zones)(void *owner);
    /* All instances that may lend budget.  This member may be NULL. */
    void (*peers)(void *owner, const struct mp_lender *peers, uint32_t count);
    /* Returns the limits of targets seen since the last sync, to be freed with
     * g_free.  This member may be NULL. */
    struct mp_limit *(*list_limits)(void *owner, u_int *count);
    /* The limits that the leader knows of.  Returns false when they are
     * wanted again.  This member may be NULL. */
    bool (*limits)(void *owner, const struct mp_limit *limits, u_int count);
    /* The software versions of all pools, and their bases; no base is set if
     * the leader tells none.  This member may be NULL. */
    void (*versions)(void *owner, const struct mp_pool_versions *pools,
                     const struct mp_pool_base *bases, u_int count);
};

struct MpControlClient {
    uint8_t fleet_key[MP_RPC_KEY_BYTES];
    const struct MpDialect *dialect;
    struct MpLoop *loop;
    const struct MpSettings *settings;
    const struct MpControlListener *listener;
    void *owner;
    GPtrArray *clients; /* of struct MpRpcClient, one for each replica */
    guint leader;       /* index in clients of the presumed leader */
    uint64_t boot;      /* 0 until registered */
    uint64_t nonce;
    struct MpDocument *document; /* NULL until one was fetched */
    char *document_text;
    bool needs_full_document; /* the last fetched text or patch was invalid */
    bool is_fetching;
    bool needs_leader_fetch;    /* the last fetch of a document failed */
    guint fetch_replica;        /* index in clients; of the last fetch */
    uint64_t fetch_version;     /* of the last fetch */
    struct MpTimer fetch_timer; /* set while the replica is to catch up */
    uint32_t fetch_waits;       /* for the replica, since the last document */
    struct MpSuspects suspects;
    struct MpDrainedZones zones;
    int64_t synced_ms;     /* time of the leader's last sync reply */
    int64_t heard_ms;      /* when the sync was sent that it replied to, on the
                            * clock that counts while the machine is suspended */
    int64_t sync_sent_ms;  /* on the same clock */
    int64_t sync_began_ms; /* the same on the monotonic clock */
    bool is_slow;          /* replies come late */
    bool is_draining;
    bool is_syncing;
    bool is_registering;
    struct MpTimer timer;
    char *peers_address; /* where this instance listens for others, or NULL */
    uint64_t peers_hash; /* of the list of peers; 0: none yet */
    uint64_t versions_hash;     /* of the software versions; 0: none yet */
    uint64_t limits_hash;       /* of the leader's limits; 0: none yet */
    uint64_t targets_hash;      /* of the leader's target list; 0: none yet */
    uint64_t sent_targets_hash; /* targets_hash in the last sync */
    uint32_t instances;         /* number of instances that the leader
                                 * heard from lately */
    uint64_t proposals;         /* counter */
    uint64_t retries;           /* counter */
    uint64_t applied_ms; /* wall clock at which the document was applied */
};

/* Starts registering and syncing.  listener and settings are not copied. */
void MpControlClient_Start(struct MpControlClient *this, struct MpLoop *loop,
                           const struct MpSettings *settings,
                           const uint8_t *fleet_key,
                           const struct MpControlListener *listener,
                           void *owner);

/* Adds the control replica at address, unless it is known. */
void MpControlClient_AddReplica(struct MpControlClient *this,
                                const char *address);

/* Proposes command and calls done once.  deadline_ms is a time of the
 * monotonic clock; after it done gets MP_ERROR_NO_QUORUM, and it is not known
 * whether the command was or will be applied.  0 means no deadline. */
void MpControlClient_Propose(struct MpControlClient *this,
                             const struct mp_command *command,
                             int64_t deadline_ms, MpProposeDone done,
                             void *data);

/* Reads accounts, instances and members from the leader; workspace "" reads
 * all accounts. */
void MpControlClient_ReadState(struct MpControlClient *this,
                               const char *workspace, int64_t deadline_ms,
                               MpReadDone done, void *data);

/* Reads a version of the document from the leader, 0 for the newest; done gets
 * MP_ERROR_NOT_FOUND for a version that the leader does not have any more. */
void MpControlClient_ReadDocument(struct MpControlClient *this,
                                  uint64_t version, int64_t deadline_ms,
                                  MpReadDone done, void *data);

/* Reads the zones that are drained, or were. */
void MpControlClient_ReadZones(struct MpControlClient *this,
                               int64_t deadline_ms, MpReadDone done,
                               void *data);

/* Reads the state of the record of one key into reply->record. */
void MpControlClient_ReadRecord(struct MpControlClient *this,
                                const char *workspace, const char *key,
                                int64_t deadline_ms, MpReadDone done,
                                void *data);

/* Reads the software version of a pool at which the stream with this id, of
 * MP_HASH_BYTES, began, into reply->software.  stream_ms: how long it can
 * last. */
void MpControlClient_ReadStream(struct MpControlClient *this, const char *pool,
                                const uint8_t *id, int64_t stream_ms,
                                int64_t deadline_ms, MpReadDone done,
                                void *data);

/* Returns the holder (instance and boot) for commands of this incarnation. */
struct mp_incarnation
MpControlClient_Holder(const struct MpControlClient *this);

/* Returns whether the instance is registered, has a document and knows the
 * drained zones, so that it can serve callers. */
bool MpControlClient_IsReady(const struct MpControlClient *this);

/* Returns whether the leader has not replied for so long that requests are
 * decided on without it. */
bool MpControlClient_IsPartitioned(const struct MpControlClient *this);

/* Returns whether requests with this body hash are stopped as poison. */
bool MpControlClient_IsPoison(const struct MpControlClient *this,
                              const uint8_t *body_hash);

#endif
