#ifndef MP_TRANSPORT_REPLICA_DOCUMENT_H
#define MP_TRANSPORT_REPLICA_DOCUMENT_H

#include "transport/Replica.h"

/*
 * ReplicaDocument - the newest documents of a replica, and what instances
 * lack of the last.  Any replica answers: a version that is committed stays
 * so, and instances take higher ones only.
 */

/* Keeps the document that was just applied. */
void MpReplicaDocument_Keep(struct MpReplica *replica);

/* Returns the text of a version, or NULL when it is no longer kept. */
const char *MpReplicaDocument_Text(const struct MpReplica *replica,
                                   uint64_t version);

/* Answers a call of MP_PROC_FETCH. */
void MpReplicaDocument_Serve(struct MpReplica *replica,
                             struct MpRpcCall *call);

#endif
