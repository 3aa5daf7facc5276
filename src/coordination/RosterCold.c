#include "coordination/RosterInternal.h"

/* Cold targets in the choice of a target; see Roster.h and ColdStart.h. */

int64_t
MpRoster_ColdUntil(const struct MpRoster *this,
                   const struct MpPoolTarget *target,
                   const struct MpColdConf *conf)
{
    return MpColdStart_Until(&target->cold, conf, target->listed_ms,
                             MpRoster_ZoneRestoredMs(this, target->zone));
}

bool
MpPoolTarget_IsCold(const struct MpPoolTarget *this,
                    const struct MpPoolQuery *query, int64_t now_ms)
{
    return query->cold.is_set &&
           MpRoster_ColdUntil(query->roster, this, &query->cold) > now_ms;
}

bool
MpPoolTarget_IsInGroup(const struct MpPoolTarget *this,
                       const struct MpPoolQuery *query,
                       enum MpTargetGroup group, int64_t now_ms)
{
    return group == MP_GROUP_ALL || MpPoolTarget_IsCold(this, query, now_ms) ==
                                        (group == MP_GROUP_COLD);
}

enum MpTargetGroup
MpRoster_FirstGroup(const GPtrArray *pool, const struct MpPoolQuery *query,
                    int64_t now_ms, bool *has_warm)
{
    uint32_t cold = 0;
    uint32_t warm = 0;
    *has_warm = false;
    if (!query->cold.is_set) {
        return MP_GROUP_ALL;
    }
    for (guint i = 0; i < pool->len; i++) {
        const struct MpPoolTarget *target = g_ptr_array_index(pool, i);
        bool is_candidate = MpPoolTarget_IsCandidate(target, query, now_ms);
        bool is_cold = MpPoolTarget_IsCold(target, query, now_ms);
        cold += is_candidate && is_cold;
        warm += is_candidate && !is_cold;
    }
    *has_warm = warm > 0;
    if (query->prefers_warm && warm > 0) {
        return MP_GROUP_WARM;
    }
    return MpColdStart_TakesCold(cold, warm, g_random_double())
               ? MP_GROUP_COLD
               : MP_GROUP_WARM;
}
