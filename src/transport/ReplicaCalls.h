#ifndef MP_TRANSPORT_REPLICA_CALLS_H
#define MP_TRANSPORT_REPLICA_CALLS_H

#include "transport/Replica.h"

/*
 * ReplicaCalls - how a control replica answers the calls of instances; a
 * part of Replica.
 */

extern const struct MpRpcServerClass MpReplica_ServerClass;

/* Answers the proposal that waits for entry; result is NULL if the entry
 * holds no command. */
void MpReplica_FinishWaiting(struct MpReplica *this,
                             const struct MpLogEntry *entry,
                             const struct mp_result *result);

/* Sends all waiting proposals elsewhere, when leadership is lost. */
void MpReplica_FailWaiting(struct MpReplica *this);

/* Answers the reads that this leader may answer now. */
/* Sends all reads that wait to another replica. */
void MpReplica_RefuseReads(struct MpReplica *this);

void MpReplica_ServeReads(struct MpReplica *this);

/* Gives all instances their full time to be heard by a new leader. */
void MpReplica_ResetInstances(struct MpReplica *this);

/* Proposes to fence instances that have not been heard. */
void MpReplica_FenceSilent(struct MpReplica *this);

/* Returns the address of the leader as far as known, or "". */
const char *MpReplica_LeaderAddress(struct MpReplica *this);

#endif
