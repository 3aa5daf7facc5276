#ifndef MP_TRANSPORT_REPLICA_TARGETS_H
#define MP_TRANSPORT_REPLICA_TARGETS_H

#include "transport/Replica.h"

/*
 * ReplicaTargets - the leader reads the target list on behalf of all
 * instances, which get it in their sync replies.
 */

void MpReplicaTargets_Start(struct MpReplica *replica);

/* Adds the list to a sync reply, or its last changes, if it is recent and the
 * instance does not have it.  The data belongs to the replica. */
void MpReplicaTargets_Fill(const struct MpReplica *replica,
                           const struct mp_sync *sync,
                           struct mp_sync_reply *reply);

#endif
