#ifndef MP_COORDINATION_PICK_ZONE_H
#define MP_COORDINATION_PICK_ZONE_H

#include "coordination/Roster.h"

/*
 * PickZone - whether a request is sent to the best target in the zone of the
 * instance or to the best one elsewhere; see MpZoneSpill.
 */

enum MpPlace { MP_PLACE_HOME, MP_PLACE_AWAY, MP_PLACES };

/* The best target in a place, if there is any. */
struct MpPlaceBest {
    struct MpPicked picked;
    double cost; /* without that of bytes between zones */
};

/* Returns where a target is. */
enum MpPlace MpPickZone_PlaceOf(const struct MpRoster *roster,
                                const struct MpPoolTarget *target);

/* Returns whether bytes between zones are weighed.  Shared prompt parts have
 * their preferred targets in each zone then. */
bool MpPickZone_IsOn(const struct MpRoster *roster);

/* Stores the better one in picked, whose target is NULL if there is none. */
void MpPickZone_Choose(struct MpRoster *roster,
                       const struct MpPoolQuery *query,
                       const struct MpPlaceBest best[static MP_PLACES],
                       int64_t now_ms, struct MpPicked *picked);

/* Notes the size of a response of a target. */
void MpRoster_NoteResponseBytes(struct MpRoster *this,
                                const struct MpPoolTarget *target,
                                int64_t bytes);

#endif
