#ifndef MP_TRANSPORT_REPLICA_LIMITS_H
#define MP_TRANSPORT_REPLICA_LIMITS_H

#include "transport/Replica.h"

/*
 * ReplicaLimits - the rate limits of targets as instances report them to the
 * leader, which tells all others, also those that have just started.  A new
 * leader learns them from the next reports.
 */

void MpReplicaLimits_Init(struct MpReplica *replica);

/* Takes the reports of a sync call and sets the limits in its reply; the
 * caller frees the array with g_free. */
void MpReplicaLimits_Fill(struct MpReplica *replica,
                          const struct mp_sync *sync,
                          struct mp_sync_reply *reply);

#endif
