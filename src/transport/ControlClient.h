#ifndef MP_TRANSPORT_CONTROL_CLIENT_H
#define MP_TRANSPORT_CONTROL_CLIENT_H

#include "coordination/Suspects.h"
#include "protocol/Dialect.h"
#include "state/Document.h"
#include "state/Settings.h"
#include "transport/Loop.h"
#include "transport/RpcLink.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * Fleet - an instance's side of the control replicas: it finds the leader,
 * proposes commands until they have an outcome, registers this incarnation
 * and keeps the document up to date.
 *
 * Commands are idempotent, so a proposal whose answer is lost is sent again.
 * Documents are fetched from any replica, so that a large one does not leave
 * one machine some hundred times.
 */

/* result is NULL unless code is MP_OK; its own code is in result->code. */
typedef void (*MpProposeDone)(void *data, int code,
                              const struct mp_result *result);
typedef void (*MpReadDone)(void *data, int code,
                           const struct mp_read_reply *reply);

/* A whole list, or what changed in the last one; of struct MpListedTarget. */
struct MpTargetUpdate {
    GPtrArray *targets;
    GPtrArray *removed;
    bool is_partial;
};

struct MpControlListener {
    /* A newer document is in force. */
    void (*document)(void *owner, struct MpDocument *document);
    /* The registration changed; boot is the number of this incarnation. */
    void (*registered)(void *owner, uint64_t boot);
    /* A lease on workspace is called back. */
    void (*recall)(void *owner, const char *workspace);
    /* The leader's target list, NULL when it is the same as before; the
     * member may be NULL. */
    void (*targets)(void *owner, const struct MpTargetUpdate *news);
    /* The instances that lend of their slices; the member may be NULL. */
    void (*peers)(void *owner, const struct mp_lender *peers, uint32_t count);
};

struct MpControlClient {
    uint8_t fleet_key[MP_RPC_KEY_BYTES];
    const struct MpDialect *dialect;
    struct MpLoop *loop;
    const struct MpSettings *settings;
    const struct MpControlListener *listener;
    void *owner;
    GPtrArray *clients; /* of struct MpRpcClient, as in the settings */
    guint leader;       /* index of the replica to ask */
    uint64_t boot;      /* 0 until registered */
    uint64_t nonce;
    struct MpDocument *document; /* NULL until the first one */
    char *document_text;
    bool wants_whole; /* a patch did not fit */
    bool is_fetching;
    bool asks_leader; /* for documents: another replica did not have it */
    guint fetched_from;
    uint64_t fetched_version;
    struct MpSuspects suspects;
    int64_t synced_ms; /* last answer of the leader */
    bool is_draining;
    bool is_syncing;
    bool is_registering;
    struct MpTimer timer;
    uint64_t peers_hash;    /* of the instances that lend; 0: none told */
    uint64_t targets_hash;  /* of the leader's target list; 0: of none */
    uint64_t targets_asked; /* ... when the last sync was sent */
    uint32_t instances;     /* that are registered, as the leader counts */
    uint64_t proposals;     /* counter */
    uint64_t retries;       /* counter */
    uint64_t applied_ms;    /* wall clock when the document came into force */
};

void MpControlClient_Start(struct MpControlClient *this, struct MpLoop *loop,
                           const struct MpSettings *settings,
                           const uint8_t *fleet_key,
                           const struct MpControlListener *listener,
                           void *owner);

/* Makes a control replica known, if it is not. */
void MpControlClient_AddReplica(struct MpControlClient *this,
                                const char *address);

/* Proposes command and calls done once.  deadline_ms is a time of the
 * monotonic clock after which done gets MP_ERROR_NO_QUORUM, and the outcome
 * is not known; 0 means never. */
void MpControlClient_Propose(struct MpControlClient *this,
                             const struct mp_command *command,
                             int64_t deadline_ms, MpProposeDone done,
                             void *data);

/* Reads accounts, instances and members from the leader; workspace "" reads
 * all accounts. */
void MpControlClient_ReadState(struct MpControlClient *this,
                               const char *workspace, int64_t deadline_ms,
                               MpReadDone done, void *data);

/* Reads the document of a version, 0 for the newest; done gets
 * MP_ERROR_NOT_FOUND for one that the leader no longer has. */
void MpControlClient_ReadDocument(struct MpControlClient *this,
                                  uint64_t version, int64_t deadline_ms,
                                  MpReadDone done, void *data);

/* Reads the state of the record of one key, in reply->record. */
void MpControlClient_ReadRecord(struct MpControlClient *this,
                                const char *workspace, const char *key,
                                int64_t deadline_ms, MpReadDone done,
                                void *data);

/* Returns the holder for commands of this incarnation. */
struct mp_incarnation
MpControlClient_Holder(const struct MpControlClient *this);

/* Returns whether callers can be served: registered, with a document. */
bool MpControlClient_IsReady(const struct MpControlClient *this);

/* Returns whether the leader has been silent for so long that nothing is asked
 * of it before a request is decided on. */
bool MpControlClient_IsPartitioned(const struct MpControlClient *this);

/* Returns whether the request with this hash is stopped. */
bool MpControlClient_IsPoison(const struct MpControlClient *this,
                              const uint8_t *body_hash);

#endif
