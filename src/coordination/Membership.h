#ifndef MP_COORDINATION_MEMBERSHIP_H
#define MP_COORDINATION_MEMBERSHIP_H

#include "coordination/Raft.h"

#include <glib.h>
#include <stdbool.h>

/*
 * Membership - replaces control replicas that lost their disk.
 *
 * A replica is known by a random id that lives on its disk.  One that comes
 * back with an empty disk has a new id: it is first added as a learner, made
 * a voter once it has the log, and only then is the old id of the same
 * instance removed.  Each step is one membership entry, and the next one
 * waits until it is committed.
 */

struct MpMembership {
    GHashTable *joins; /* instance -> struct mp_member, newest id */
};

void MpMembership_Init(struct MpMembership *this);
void MpMembership_Done(struct MpMembership *this);

/* Notes that a replica of instance runs with id at address. */
void MpMembership_Join(struct MpMembership *this, const char *instance,
                       const char *address, uint64_t id);

/* Proposes the next step on the leader.  Returns whether it did. */
bool MpMembership_Advance(struct MpMembership *this, struct MpRaft *raft);

#endif
