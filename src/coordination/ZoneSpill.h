#ifndef MP_COORDINATION_ZONE_SPILL_H
#define MP_COORDINATION_ZONE_SPILL_H

#include <stdbool.h>
#include <stdint.h>

/*
 * MpZoneSpill - which part of a pool's requests may leave the zone of the
 * instance.
 *
 * It handles a zone whose own targets are too few for a while.  Requests leave
 * only when the wait that they save is worth the bytes between zones.  The
 * part that may leave grows while that is so on average, and shrinks when
 * there is room at home again; between the two thresholds it stays, so that
 * neither zone is flooded and the traffic does not swing.  A request for which
 * no target at home can be used leaves at once.
 */

/* Saved wait, beyond what the bytes cost, above which more requests leave and
 * below which fewer do, ms: a tenth of the shortest latency goal of callers
 * (250 ms), and less than half of that. */
#define MP_SPILL_START_MS 25.0
#define MP_SPILL_STOP_MS 10.0
/* Time in which the part grows from 0 to 1 or shrinks back, ms: several times
 * as long as a load report or a stream lasts, so that the effect of a change
 * is seen before the next one. */
#define MP_SPILL_GROWTH_MS 3000
#define MP_SPILL_RETURN_MS 5000

struct MpZoneSpill {
    double fraction;       /* of the requests that may leave, 0 to 1 */
    double saved_ms;       /* decaying average of the wait saved by leaving,
                            * less what the bytes cost */
    double response_bytes; /* decaying average */
    int64_t noted_ms;      /* time of the last request; 0: none */
};

/* A request and the best targets for it. */
struct MpZoneOffer {
    bool has_home; /* a target in the zone of the instance can be used */
    bool has_away;
    double home_ms; /* what the best of them costs */
    double away_ms;
    int64_t prompt_bytes;
    int64_t cost_us_per_kb; /* of bytes between zones */
    double random;          /* from 0 to 1 */
};

enum MpZoneChoice {
    MP_ZONE_HOME,
    MP_ZONE_AWAY_NONE, /* left: no target at home can be used */
    MP_ZONE_AWAY_WAIT  /* left: it saves more than it costs */
};

/* Returns a word for the log. */
const char *MpZoneChoice_Name(enum MpZoneChoice choice);

/* Chooses for a request, and learns from it. */
enum MpZoneChoice MpZoneSpill_Choose(struct MpZoneSpill *this,
                                     const struct MpZoneOffer *offer,
                                     int64_t now_ms);

/* Notes the size of a response. */
void MpZoneSpill_NoteResponse(struct MpZoneSpill *this, int64_t bytes);

#endif
