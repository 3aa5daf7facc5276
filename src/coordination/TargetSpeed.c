#include "coordination/TargetSpeed.h"

#include <glib.h>
#include <math.h>

/* Figures and events for which the assumption that a target is as fast as the
 * others counts, and how many of them an average remembers.  The figures of a
 * shared machine lie between 1 and 3, so the mean of 30 is within a tenth. */
#define FIGURES_ASSUMED 30
#define FIGURES_MAX 120
#define EVENTS_ASSUMED 400
#define EVENTS_MAX 2000
/* The same for the averages of a pool. */
#define POOL_FIGURES_ASSUMED 10
#define POOL_FIGURES_MAX 500
#define POOL_EVENTS_MAX 10000
/* Events that tell something of the time between them. */
#define EVENTS_MIN 4
/* Change of the lasting estimate that changes the share of the target. */
#define SHARE_STEP 0.25

static double
bounded(double value)
{
    return CLAMP(value, MP_SPEED_MIN, MP_SPEED_MAX);
}

static void
update_share(struct MpTargetSpeed *this)
{
    double lasting = MpTargetSpeed_Lasting(this);
    if (fabs(lasting - this->share) > SHARE_STEP * this->share) {
        this->share = lasting;
    }
}

void
MpTargetSpeed_NoteFigure(struct MpTargetSpeed *this, struct MpPoolSpeed *pool,
                         int64_t percent, int64_t now_ms)
{
    if (percent <= 0) {
        return;
    }
    this->figure = bounded((double)percent / MP_SPEED_USUAL_PERCENT);
    this->figure_ms = now_ms;
    pool->figures = MIN(pool->figures + 1, POOL_FIGURES_MAX);
    pool->usual +=
        (this->figure - pool->usual) / (pool->figures + POOL_FIGURES_ASSUMED);
    this->figures = MIN(this->figures + 1, FIGURES_MAX);
    this->relative += (this->figure / pool->usual - this->relative) /
                      (this->figures + FIGURES_ASSUMED);
    update_share(this);
}

void
MpTargetSpeed_NoteEvents(struct MpTargetSpeed *this, struct MpPoolSpeed *pool,
                         int64_t events, int64_t span_ms)
{
    if (events < EVENTS_MIN || span_ms <= 0) {
        return;
    }
    double count = (double)(events - 1);
    double event_ms = (double)span_ms / count;
    pool->events = MIN(pool->events + count, POOL_EVENTS_MAX);
    pool->event_ms +=
        (event_ms / MpTargetSpeed_Lasting(this) - pool->event_ms) * count /
        pool->events;
    double ratio = bounded(event_ms / (pool->event_ms * this->relative));
    this->events = MIN(this->events + count, EVENTS_MAX);
    this->residual +=
        (ratio - this->residual) * count / (this->events + EVENTS_ASSUMED);
    update_share(this);
}

double
MpTargetSpeed_Lasting(const struct MpTargetSpeed *this)
{
    return bounded(this->relative * this->residual);
}

double
MpTargetSpeed_Now(const struct MpTargetSpeed *this, double usual,
                  int64_t now_ms)
{
    int64_t age_ms = now_ms - this->figure_ms;
    double weight = this->figure_ms == 0 || age_ms >= MP_SPEED_FIGURE_MS
                        ? 0.0
                        : 1.0 - (double)age_ms / MP_SPEED_FIGURE_MS;
    double lasting = usual * this->relative;
    return bounded((lasting + weight * (this->figure - lasting)) *
                   this->residual);
}

double
MpTargetSpeed_Share(const struct MpTargetSpeed *this)
{
    return 1.0 / this->share;
}
