#ifndef MP_STATE_ZONE_DRAINS_H
#define MP_STATE_ZONE_DRAINS_H

#include "gen/wire.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * MpZoneDrains - which zones are drained, that is out of use, and when each
 * was last restored.  Part of the replicated state.
 *
 * The version counts the orders that took effect, also those that found the
 * zone as they wanted it.  Instances keep the highest version that they have
 * seen.  An order may carry the version on which it is based: if there was
 * another order for the zone since then, it was overtaken and has no effect.
 * This is how a late drain, sent before another instance took the order to
 * restore the zone, is told from a new one.
 *
 * At most MP_ZONES_MAX zones are kept, of which the restored ones with the
 * oldest orders are dropped first.  dropped_version bounds the versions of
 * their last orders.
 */

struct MpZone {
    char *name;
    bool is_drained;
    uint64_t ordered_version; /* of the last order for it */
    int64_t changed_ms;       /* when it was last drained or restored */
    int64_t restored_ms;      /* when it was last restored; -1: never */
};

struct MpZoneDrains {
    GPtrArray *zones; /* of struct MpZone, sorted by name */
    uint64_t version; /* counts orders; 0: none so far */
    uint64_t dropped_version;
};

void MpZoneDrains_Init(struct MpZoneDrains *this);
void MpZoneDrains_Done(struct MpZoneDrains *this);

/* Returns the zone, or NULL if there was no order for it or it was dropped. */
const struct MpZone *MpZoneDrains_Find(const struct MpZoneDrains *this,
                                       const char *name);

/* Drains or restores a zone.  Errors, at
 * which nothing changes: MP_ERROR_STALE if the command was overtaken,
 * MP_ERROR_LIMIT if MP_ZONES_MAX zones are drained, MP_ERROR_INVALID if the
 * zone has no valid name. */
int MpZoneDrains_Apply(struct MpZoneDrains *this,
                       const struct mp_zone_drain *order, int64_t now_ms);

/* Returns the zones as an array of zones->len entries with ages at now_ms, to
 * be freed by g_free; the names belong to the zones. */
struct mp_zone *MpZoneDrains_List(const struct MpZoneDrains *this,
                                  int64_t now_ms);

/* Returns the state for a snapshot, or NULL if there was never an order. */
GBytes *MpZoneDrains_Save(const struct MpZoneDrains *this);

/* Replaces the state by that of a snapshot.  Returns MP_OK, or
 * MP_ERROR_CORRUPT, at which nothing changes. */
int MpZoneDrains_Load(struct MpZoneDrains *this, const void *data,
                      size_t size);

#endif
