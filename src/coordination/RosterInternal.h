#ifndef MP_COORDINATION_ROSTER_INTERNAL_H
#define MP_COORDINATION_ROSTER_INTERNAL_H

#include "coordination/Roster.h"

/*
 * RosterInternal - functions shared by Roster.c, RosterPick.c,
 * RosterDelay.c and PoolTarget.c only.
 */

/* Drops a reference to a target and frees the target with the last one. */
void MpPoolTarget_Unref(struct MpRoster *roster, struct MpPoolTarget *this);

/* Returns whether a target that bears few refusals may get another request
 * from this instance.  At each target the instances have another order, so
 * that no one has the smaller share everywhere. */
bool MpPoolTarget_HasRoom(const struct MpPoolTarget *this,
                          const struct MpPoolQuery *query, int64_t now_ms);

/* Returns whether the answers of all targets without a limit come too late for
 * a request of the query's rank. */
bool MpRoster_IsDelayTooLong(const struct MpRoster *this,
                             const struct MpPoolQuery *query, int64_t now_ms);

#endif
