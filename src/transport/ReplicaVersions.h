#ifndef MP_TRANSPORT_REPLICA_VERSIONS_H
#define MP_TRANSPORT_REPLICA_VERSIONS_H

#include "transport/Replica.h"

/*
 * ReplicaVersions - the leader announces the software versions of each pool,
 * as the target list names them, through the quorum and then to all instances.
 */

/* Proposes the versions of the pools whose versions differ from those
 * announced; targets has struct MpListedTarget. */
void MpReplicaVersions_Announce(struct MpReplica *replica,
                                const GPtrArray *targets);

/* Sets the versions in the reply to a sync; MpReplicaVersions_Free frees
 * them. */
void MpReplicaVersions_Fill(const struct MpReplica *replica,
                            const struct mp_sync *sync,
                            struct mp_sync_reply *reply);
void MpReplicaVersions_Free(struct mp_sync_reply *reply);

#endif
