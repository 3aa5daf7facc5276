#ifndef MP_COORDINATION_PICK_COST_H
#define MP_COORDINATION_PICK_COST_H

#include "coordination/Roster.h"

/*
 * PickCost - what it costs to send a request to a target, as waiting time: its
 * own wait, at the speed of the target, and what others bear.  It handles
 * targets of uneven speed whose load is known by old reports.
 */

/* Whether other instances send the shared parts of a prompt to a target. */
enum MpPreference {
    MP_PREFERENCE_NONE,
    MP_PREFERENCE_ONLY,  /* all do, in a pool that reports no speed */
    MP_PREFERENCE_FIRST, /* this instance sends them there too */
    MP_PREFERENCE_SECOND /* it does when the first is busier */
};

/* Returns whether all slots of the target are taken. */
bool MpPickCost_IsFull(const struct MpPoolTarget *target, int64_t now_ms);

/* Returns the id of the part by which similar requests are sent to the same
 * target: the last but one, as the last is seldom shared, or the only one; 0:
 * none. */
uint64_t MpPickCost_AffinityPart(const struct MpRequestMeta *meta);

/* Returns the rank of a target among those of its pool for a prompt part; the
 * highest gets its requests.  It is a rendezvous hash, weighted by the lasting
 * speed where the pool reports it, and the same on all instances that know
 * the same speeds. */
double MpPickCost_Rank(const struct MpPoolTarget *target,
                       const struct MpPoolQuery *query, uint64_t part);

/* Returns whether this instance uses the two preferred targets of the request
 * in reverse order, as half of the instances do. */
bool MpPickCost_IsSwapped(const struct MpPoolQuery *query);

/* Returns the tokens of the prompt that are not expected in the target's
 * cache. */
int64_t MpPickCost_UncachedTokens(const struct MpPoolTarget *target,
                                  const struct MpRequestMeta *meta,
                                  enum MpPreference preference,
                                  int64_t now_ms);

/* Returns the expected wait behind the requests that wait or run at an engine
 * already. */
double MpPickCost_Queue(const struct MpPoolTarget *target,
                        const struct MpPoolQuery *query, int64_t now_ms);

/* Returns the expected time to the first event; tokens of the prompt have to
 * be read. */
double MpPickCost_Wait(const struct MpPoolTarget *target,
                       const struct MpPoolQuery *query, int64_t tokens,
                       int64_t now_ms);

/* Returns what picking the target costs besides the request's own wait: the
 * error rate above max_error_rate and the delay of others. */
double MpPickCost_Beyond(const struct MpPoolQuery *query,
                         const struct MpPoolTarget *target, int64_t tokens,
                         double max_error_rate, int64_t now_ms);

#endif
