#ifndef MP_COORDINATION_MEMBERSHIP_H
#define MP_COORDINATION_MEMBERSHIP_H

#include "coordination/Raft.h"

#include <glib.h>
#include <stdbool.h>

/*
 * Membership - adds, replaces and removes control replicas by membership
 * changes of Raft.
 *
 * A replica is identified by a random id stored on its disk.  If it restarts
 * with an empty disk it gets a new id.  The leader adds the new id as a
 * learner; once the learner has caught up, a joint membership replaces the old
 * id of the same instance by the new one.  While the membership is joint,
 * decisions need a majority of the old voters and a majority of the new ones,
 * so the new replica or one other may fail at any time during the change.
 *
 * Each step is one membership entry, and the next step waits until that entry
 * is committed.  The step to take depends only on the membership itself, so a
 * new leader continues a change that another one started.
 */

/* A voter that has not answered for this long may be removed, ms; longer than
 * an election, shorter than the pause between two planned replacements of
 * replicas. */
#define MP_VOTER_TIMEOUT_MS 1500
/* Unresponsive voters are removed only while there are more voters than this;
 * three voters tolerate the failure of one. */
#define MP_VOTERS_MIN 3

struct MpMembership {
    GHashTable *joins; /* instance -> struct mp_member; cleared by each
                        * MpMembership_Advance() */
};

void MpMembership_Init(struct MpMembership *this);
void MpMembership_Done(struct MpMembership *this);

/* Records that the replica of instance has id and listens at address. */
void MpMembership_Join(struct MpMembership *this, const char *instance,
                       const char *address, uint64_t id);

/* Proposes the next step of a membership change, if this replica is the leader
 * and the newest membership is committed.  Returns whether it proposed one. */
bool MpMembership_Advance(struct MpMembership *this, struct MpRaft *raft);

#endif
