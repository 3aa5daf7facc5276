#ifndef MP_COORDINATION_ROSTER_INTERNAL_H
#define MP_COORDINATION_ROSTER_INTERNAL_H

#include "coordination/Roster.h"

/*
 * RosterInternal - functions shared by Roster.c and PoolTarget.c only.
 */

/* Drops a reference to a target and frees the target with the last one. */
void MpPoolTarget_Unref(struct MpRoster *roster, struct MpPoolTarget *this);

#endif
