#ifndef MP_COORDINATION_DRAINED_ZONES_H
#define MP_COORDINATION_DRAINED_ZONES_H

#include "gen/wire.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * MpDrainedZones - one instance's view of the zones that operators have taken
 * out of use: what the quorum (MpZoneDrains) told it last.
 *
 * Replies may arrive late and a leader of an earlier build tells nothing, so
 * only a higher version is applied: within its lifetime an instance never
 * goes back to an older state.  It keeps the state while the quorum is
 * unreachable.
 */

struct MpZoneView {
    bool is_drained;
    int64_t restored_ms; /* when it was last restored; -1: never */
};

struct MpDrainedZones {
    GHashTable *zones; /* name -> struct MpZoneView */
    uint64_t version;
    bool is_known; /* a leader was heard */
};

void MpDrainedZones_Init(struct MpDrainedZones *this);
void MpDrainedZones_Done(struct MpDrainedZones *this);

/* Applies what the leader told at now_ms, if its version is higher.  changed,
 * which may be NULL, is called for each zone that was drained or restored by
 * it.  Returns whether the state was applied. */
bool MpDrainedZones_Apply(struct MpDrainedZones *this, uint64_t version,
                          const struct mp_zone *list, uint32_t count,
                          int64_t now_ms,
                          void (*changed)(const struct mp_zone *zone));

/* Returns whether the zone is out of use; zone may be NULL. */
bool MpDrainedZones_Contains(const struct MpDrainedZones *this,
                             const char *zone);

/* Returns the number of zones that are out of use. */
uint32_t MpDrainedZones_Count(const struct MpDrainedZones *this);

/* Returns when the zone was last restored, on the clock of now_ms, or -1 if it
 * never was. */
int64_t MpDrainedZones_RestoredMs(const struct MpDrainedZones *this,
                                  const char *zone);

#endif
