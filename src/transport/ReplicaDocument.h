#ifndef MP_TRANSPORT_REPLICA_DOCUMENT_H
#define MP_TRANSPORT_REPLICA_DOCUMENT_H

#include "transport/Replica.h"

/*
 * ReplicaDocument - keeps the last versions of the fleet's configuration
 * document on a replica and sends instances the newest one, as a delta to a
 * version they have.
 *
 * Followers serve it too: a committed version never changes, and instances
 * accept only versions higher than their own.
 */

/* Stores the document that was just applied, if its version is new. */
void MpReplicaDocument_AddVersion(struct MpReplica *replica);

/* Returns the text of a version, or NULL if it is no longer kept. */
const char *MpReplicaDocument_Text(const struct MpReplica *replica,
                                   uint64_t version);

/* Replies to a call of MP_PROC_FETCH. */
void MpReplicaDocument_Serve(struct MpReplica *replica,
                             struct MpRpcCall *call);

#endif
