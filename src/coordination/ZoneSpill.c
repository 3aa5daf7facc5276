#include "coordination/ZoneSpill.h"

#include <glib.h>

/* Time over which the average of the saved wait forgets, ms. */
#define SAVED_FORGET_MS 500.0
/* Longest time that one request stands for, ms. */
#define REQUEST_MAX_MS 250
/* One request's saved wait counts up to this, ms, so that a single target
 * without figures does not decide. */
#define SAVED_MAX_MS 1000.0
#define RESPONSE_WEIGHT 0.05
#define KB_BYTES 1024.0

const char *
MpZoneChoice_Name(enum MpZoneChoice choice)
{
    switch (choice) {
    case MP_ZONE_AWAY_NONE:
        return "none-at-home";
    case MP_ZONE_AWAY_WAIT:
        return "wait";
    default:
        return "no";
    }
}

/* Moves the part that may leave by what happened since the last request. */
static void
update(struct MpZoneSpill *this, double saved_ms, int64_t now_ms)
{
    int64_t idle_ms = this->noted_ms > 0 ? now_ms - this->noted_ms : 0;
    double elapsed_ms = (double)MIN(idle_ms, REQUEST_MAX_MS);
    double weight = elapsed_ms / (elapsed_ms + SAVED_FORGET_MS);
    this->noted_ms = now_ms;
    this->saved_ms += weight * (CLAMP(saved_ms, -SAVED_MAX_MS, SAVED_MAX_MS) -
                                this->saved_ms);
    if (this->saved_ms > MP_SPILL_START_MS) {
        this->fraction += elapsed_ms / MP_SPILL_GROWTH_MS;
    }
    else if (this->saved_ms < MP_SPILL_STOP_MS) {
        this->fraction -= (double)idle_ms / MP_SPILL_RETURN_MS;
    }
    this->fraction = CLAMP(this->fraction, 0.0, 1.0);
}

enum MpZoneChoice
MpZoneSpill_Choose(struct MpZoneSpill *this, const struct MpZoneOffer *offer,
                   int64_t now_ms)
{
    if (!offer->has_home) {
        return offer->has_away ? MP_ZONE_AWAY_NONE : MP_ZONE_HOME;
    }
    if (!offer->has_away) {
        return MP_ZONE_HOME;
    }
    double bytes = (double)offer->prompt_bytes + this->response_bytes;
    double cost_ms = bytes / KB_BYTES * (double)offer->cost_us_per_kb / 1000.0;
    double saved_ms = offer->home_ms - offer->away_ms - cost_ms;
    update(this, saved_ms, now_ms);
    return saved_ms > 0 && offer->random < this->fraction ? MP_ZONE_AWAY_WAIT
                                                          : MP_ZONE_HOME;
}

void
MpZoneSpill_NoteResponse(struct MpZoneSpill *this, int64_t bytes)
{
    this->response_bytes +=
        RESPONSE_WEIGHT * ((double)bytes - this->response_bytes);
}
