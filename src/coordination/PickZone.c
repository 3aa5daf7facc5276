#include "coordination/PickZone.h"

#include <string.h>

/* Cost of a target in another zone while bytes are not weighed, as waiting
 * time: twice the network delay between zones. */
#define OTHER_ZONE_MS 2

enum MpPlace
MpPickZone_PlaceOf(const struct MpRoster *roster,
                   const struct MpPoolTarget *target)
{
    return strcmp(target->zone, roster->zone) == 0 ? MP_PLACE_HOME
                                                   : MP_PLACE_AWAY;
}

bool
MpPickZone_IsOn(const struct MpRoster *roster)
{
    return roster->zone_cost_us_per_kb > 0 &&
           roster->policy == MP_PICK_AFFINITY;
}

static struct MpZoneSpill *
spill_of(struct MpRoster *this, const char *pool)
{
    struct MpZoneSpill *spill = g_hash_table_lookup(this->spills, pool);
    if (!spill) {
        spill = g_new0(struct MpZoneSpill, 1);
        g_hash_table_insert(this->spills, g_strdup(pool), spill);
    }
    return spill;
}

/* Chooses without regard to the bytes. */
static enum MpZoneChoice
choose_cheapest(const struct MpRoster *roster,
                const struct MpPlaceBest best[static MP_PLACES])
{
    double zone_ms = roster->policy == MP_PICK_AFFINITY ? OTHER_ZONE_MS : 0;
    if (!best[MP_PLACE_AWAY].picked.target) {
        return MP_ZONE_HOME;
    }
    if (!best[MP_PLACE_HOME].picked.target) {
        return MP_ZONE_AWAY_NONE;
    }
    return best[MP_PLACE_AWAY].cost + zone_ms < best[MP_PLACE_HOME].cost
               ? MP_ZONE_AWAY_WAIT
               : MP_ZONE_HOME;
}

void
MpPickZone_Choose(struct MpRoster *roster, const struct MpPoolQuery *query,
                  const struct MpPlaceBest best[static MP_PLACES],
                  int64_t now_ms, struct MpPicked *picked)
{
    enum MpZoneChoice choice = choose_cheapest(roster, best);
    if (MpPickZone_IsOn(roster)) {
        const struct MpZoneOffer offer = {
            .has_home = best[MP_PLACE_HOME].picked.target != NULL,
            .has_away = best[MP_PLACE_AWAY].picked.target != NULL,
            .home_ms = best[MP_PLACE_HOME].cost,
            .away_ms = best[MP_PLACE_AWAY].cost + OTHER_ZONE_MS,
            .prompt_bytes = query->bytes,
            .cost_us_per_kb = roster->zone_cost_us_per_kb,
            .random = g_random_double()};
        choice =
            MpZoneSpill_Choose(spill_of(roster, query->pool), &offer, now_ms);
    }
    *picked =
        best[choice == MP_ZONE_HOME ? MP_PLACE_HOME : MP_PLACE_AWAY].picked;
    picked->zone_choice = choice;
}

void
MpRoster_NoteResponseBytes(struct MpRoster *this,
                           const struct MpPoolTarget *target, int64_t bytes)
{
    if (!target->is_removed) {
        MpZoneSpill_NoteResponse(spill_of(this, target->pool), bytes);
    }
}
