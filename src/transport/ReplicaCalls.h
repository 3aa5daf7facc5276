#ifndef MP_TRANSPORT_REPLICA_CALLS_H
#define MP_TRANSPORT_REPLICA_CALLS_H

#include "transport/Replica.h"

/*
 * ReplicaCalls - serves the RPC calls of instances and other replicas on a
 * control replica: proposals, reads, syncs.  Part of Replica.
 */

extern const struct MpRpcServerClass MpReplica_ServerClass;

/* Appends a command of the leader itself.  Errors: MP_ERROR_NOT_LEADER. */
int MpReplica_Append(struct MpReplica *this,
                     const struct mp_command_body *body);

/* Replies to the caller whose proposal became entry, if there is one; result
 * is NULL if the entry holds no command. */
void MpReplica_FinishProposal(struct MpReplica *this,
                              const struct MpLogEntry *entry,
                              const struct mp_result *result);

/* Fails all pending proposals with MP_ERROR_NOT_LEADER. */
void MpReplica_FailProposals(struct MpReplica *this);

/* Fails all pending reads with MP_ERROR_NOT_LEADER. */
void MpReplica_FailReads(struct MpReplica *this);

/* Replies to the pending reads whose data is confirmed to be current; on a
 * follower, fails them with MP_ERROR_NOT_LEADER. */
void MpReplica_ServeReads(struct MpReplica *this);

/* Restarts the timeouts of all instances, so that a new leader does not fence
 * those that have not synced with it yet. */
void MpReplica_ResetTimeouts(struct MpReplica *this);

/* Proposes to fence the instances that have timed out and have open requests
 * in the ledger. */
void MpReplica_FenceTimedOut(struct MpReplica *this);

/* Returns the address of the leader, or "" if it is unknown. */
const char *MpReplica_LeaderAddress(struct MpReplica *this);

#endif
