#ifndef MP_COORDINATION_ROSTER_INTERNAL_H
#define MP_COORDINATION_ROSTER_INTERNAL_H

#include "coordination/Roster.h"

/*
 * RosterInternal - functions shared by the files of Roster; not for others.
 */

/* Lets go of a target, which is forgotten with its last reference. */
void MpPoolTarget_Unref(struct MpRoster *roster, struct MpPoolTarget *this);

#endif
