#ifndef MP_COORDINATION_TARGET_SPEED_H
#define MP_COORDINATION_TARGET_SPEED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * MpTargetSpeed - how long work takes at a target, as a multiple of the usual
 * time: 2 is half as fast.
 *
 * It handles targets that share their machines with others.  Their speed
 * changes several times a second, and some are slower than others all the
 * time.  A target may report how long work takes at the moment; that figure
 * loses its weight within MP_SPEED_FIGURE_MS.  What remains is the lasting
 * estimate, learned from many figures and from the time between the events of
 * responses, compared with that at other targets of the pool.  A single value
 * moves it little.
 */

/* Time over which the weight of a reported figure falls linearly to 0, ms:
 * the speed of a shared machine holds for 100 to 200 ms. */
#define MP_SPEED_FIGURE_MS 200
/* Bounds of all values. */
#define MP_SPEED_MIN 0.25
#define MP_SPEED_MAX 8.0
/* The number in a report that stands for the usual time. */
#define MP_SPEED_USUAL_PERCENT 100

struct MpTargetSpeed {
    double figure;     /* in the last report */
    int64_t figure_ms; /* time of it; 0: none */
    double relative;   /* decaying average of the figures as a multiple of the
                        * pool's */
    double figures;    /* behind it, up to a bound */
    double residual;   /* decaying average of the time between events as a
                        * multiple of the expected one */
    double events;     /* behind it, up to a bound */
    double share;      /* lasting estimate behind MpTargetSpeed_Share */
};

#define MP_TARGET_SPEED_INIT                                                  \
    {                                                                         \
        .figure = 1.0, .relative = 1.0, .residual = 1.0, .share = 1.0         \
    }

/* What the targets of a pool have in common. */
struct MpPoolSpeed {
    double usual;    /* decaying average of the figures */
    double figures;  /* behind it, up to a bound */
    double event_ms; /* decaying average of the time between events */
    double events;   /* behind it, up to a bound */
};

#define MP_POOL_SPEED_INIT                                                    \
    {                                                                         \
        .usual = 1.0                                                          \
    }

/* Notes the figure of a report; MP_SPEED_USUAL_PERCENT is usual, 0 means
 * nothing. */
void MpTargetSpeed_NoteFigure(struct MpTargetSpeed *this,
                              struct MpPoolSpeed *pool, int64_t percent,
                              int64_t now_ms);

/* Notes that events - 1 events came within span_ms after the first one of a
 * response. */
void MpTargetSpeed_NoteEvents(struct MpTargetSpeed *this,
                              struct MpPoolSpeed *pool, int64_t events,
                              int64_t span_ms);

/* Returns how long work takes as a rule, as a multiple of the time at the
 * pool's targets. */
double MpTargetSpeed_Lasting(const struct MpTargetSpeed *this);

/* Returns how long work is expected to take now; usual is that of the pool. */
double MpTargetSpeed_Now(const struct MpTargetSpeed *this, double usual,
                         int64_t now_ms);

/* Returns the weight of the target in the division of shared prompt parts.  It
 * follows the lasting estimate in steps, so that small changes of the estimate
 * move no part. */
double MpTargetSpeed_Share(const struct MpTargetSpeed *this);

#endif
