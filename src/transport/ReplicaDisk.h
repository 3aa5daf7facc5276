#ifndef MP_TRANSPORT_REPLICA_DISK_H
#define MP_TRANSPORT_REPLICA_DISK_H

#include "transport/Replica.h"

/*
 * ReplicaDisk - what a replica does when a write ends, or finds no room.
 *
 * A full disk is a state: the replica gives up the lead, acknowledges and
 * votes only for what it had written, and goes on by itself when there is
 * room.  Any other failure ends the process, as it is unknown what is durable.
 */

/* Starts a write; implements persist of MpRaftPortClass. */
void MpReplicaDisk_Persist(struct MpRaftPort *port, struct MpRaftWrite *write);

/* Handles the end of writes, as reported by the disk task; owner is the
 * struct MpReplica. */
void MpReplicaDisk_OnDone(void *owner, uint64_t seq, int code);

#endif
