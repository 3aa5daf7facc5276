#ifndef MP_TRANSPORT_REPLICA_LENDERS_H
#define MP_TRANSPORT_REPLICA_LENDERS_H

#include "transport/Replica.h"

/*
 * ReplicaLenders - the list of instances that lend from their budget slices,
 * which the leader sends to all instances in sync replies.
 *
 * Lenders are the instances that registered with an address.  Those on the
 * host of a control replica are left out if their zone has other lenders: a
 * failure that makes the replicas unreachable must not make the lenders
 * unreachable too.
 */

void MpReplicaLenders_Init(struct MpReplica *replica);

/* Adds the list to a sync reply, unless the instance has the same one.  The
 * packed list belongs to the replica. */
void MpReplicaLenders_Fill(struct MpReplica *replica,
                           const struct mp_sync *sync,
                           struct mp_sync_reply *reply);

#endif
