#ifndef MP_TRANSPORT_REPLICA_LENDERS_H
#define MP_TRANSPORT_REPLICA_LENDERS_H

#include "transport/Replica.h"

/*
 * ReplicaPeers - the instances that lend of their slices, as the leader tells
 * them to all.  They are those that have registered with an address, but for
 * those on machines of replicas, where a zone has others: what cuts off the
 * replicas must not take the lenders too.
 */

void MpReplicaPeers_Init(struct MpReplica *replica);

/* Fills in the list, if the instance has another one. */
void MpReplicaPeers_Fill(struct MpReplica *replica, const struct mp_sync *sync,
                         struct mp_sync_reply *reply);

#endif
