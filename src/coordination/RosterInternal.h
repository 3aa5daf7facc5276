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

/* Returns whether the target is cold for a query that MpRoster_Pick or
 * MpRoster_GetPoolStatus has completed. */
bool MpPoolTarget_IsCold(const struct MpPoolTarget *this,
                         const struct MpPoolQuery *query, int64_t now_ms);

/* Returns whether the target can take the request now, by all that is known
 * of it. */
bool MpPoolTarget_IsCandidate(const struct MpPoolTarget *this,
                              const struct MpPoolQuery *query, int64_t now_ms);

/* Which targets of a pool a choice is made of. */
enum MpTargetGroup { MP_GROUP_ALL, MP_GROUP_WARM, MP_GROUP_COLD };

/* Returns the group of targets that a request is to try first, and sets
 * *has_warm to whether a target that is not cold can take it. */
enum MpTargetGroup MpRoster_FirstGroup(const GPtrArray *pool,
                                       const struct MpPoolQuery *query,
                                       int64_t now_ms, bool *has_warm);

/* Returns whether the target belongs to group. */
bool MpPoolTarget_IsInGroup(const struct MpPoolTarget *this,
                            const struct MpPoolQuery *query,
                            enum MpTargetGroup group, int64_t now_ms);

/* Returns whether the answers of all targets without a limit come too late for
 * a request of the query's rank. */
bool MpRoster_IsDelayTooLong(const struct MpRoster *this,
                             const struct MpPoolQuery *query, int64_t now_ms);

#endif
