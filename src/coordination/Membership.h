#ifndef MP_COORDINATION_MEMBERSHIP_H
#define MP_COORDINATION_MEMBERSHIP_H

#include "coordination/Raft.h"

#include <glib.h>
#include <stdbool.h>

/*
 * Membership - replaces control replicas that lost their disk.
 *
 * A replica is known by a random id that lives on its disk.  One that comes
 * back with an empty disk has a new id: it is first added as a learner, and
 * once it has the log it takes the place of the old id by a joint
 * membership, in which decisions need a majority with the old id and one
 * with the new id.  So the newcomer or one more replica may be lost at any
 * moment of the repair.  Each step is one membership entry, and the next one
 * waits until it is committed; what remains to do follows from the
 * membership alone, so that any later leader goes on.
 */

/* A voter that has not answered for this long may be dropped; longer than
 * an election, shorter than the pause between two planned exchanges. */
#define MP_VOTER_SILENT_MS 1500
/* Voters that are kept whatever happens: they bear the loss of one. */
#define MP_VOTERS_LEAST 3

struct MpMembership {
    GHashTable *joins; /* instance -> struct mp_member, since the last step */
};

void MpMembership_Init(struct MpMembership *this);
void MpMembership_Done(struct MpMembership *this);

/* Notes that a replica of instance runs with id at address. */
void MpMembership_Join(struct MpMembership *this, const char *instance,
                       const char *address, uint64_t id);

/* Proposes the next step on the leader.  Returns whether it did. */
bool MpMembership_Advance(struct MpMembership *this, struct MpRaft *raft);

#endif
