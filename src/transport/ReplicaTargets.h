#ifndef MP_TRANSPORT_REPLICA_TARGETS_H
#define MP_TRANSPORT_REPLICA_TARGETS_H

#include "transport/Replica.h"

/*
 * ReplicaTargets - the leader reads the target list for all instances, which
 * get it with the answers to their syncs.
 */

void MpReplicaTargets_Start(struct MpReplica *replica);

/* Adds the list to an answer, if it is young enough and the instance lacks
 * it.  It belongs to the replica. */
void MpReplicaTargets_Fill(const struct MpReplica *replica,
                           const struct mp_sync *sync,
                           struct mp_sync_reply *reply);

#endif
