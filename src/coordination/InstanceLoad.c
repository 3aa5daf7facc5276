#include "coordination/InstanceLoad.h"

#include <math.h>
#include <string.h>

/* Time constant of the measured utilisation, ms: some round trips, and a
 * quarter of the shortest latency target. */
#define INTERVAL_MS 250
/* Bytes on the link per byte of payload: headers and acknowledgements. */
#define OVERHEAD 1.06
/* Pressure at which requests of each rank begin to be refused, and the width
 * of the band in which all of them come to be. */
static const double band_begin[MP_LOAD_RANKS] = {0.88, 0.84, 0.80};
#define BAND_WIDTH 0.15
/* By how much the band of a workspace above its fair share begins earlier, and
 * by which factor it has to be above. */
#define GREEDY_STEP 0.08
#define GREEDY_FACTOR 1.5
/* Time in which what a workspace asked for loses half its weight, ms. */
#define SHARE_HALF_MS 1000
/* Workspaces whose weight falls below this are forgotten, bytes. */
#define SHARE_MIN_BYTES 64.0
/* What a request costs besides its body, bytes: heads, and a short answer. */
#define REQUEST_BYTES 600.0
/* Time for which saturation is remembered, ms: a connection that times out
 * began this much earlier. */
#define SATURATED_MS 600
/* Average time to connect that shows a queue on the own link, ms, together
 * with saturation within QUEUE_MEMORY_MS; within a region a connection takes a
 * few ms. */
#define QUEUED_CONNECT_MS 100.0
#define QUEUE_MEMORY_MS 2000
/* Weight of one connection in the average time to connect, and age at which
 * the average is no longer used, ms. */
#define CONNECT_WEIGHT 0.2
#define CONNECT_AGE_MS 500
/* Connections under way beyond which no request is taken while saturated: each
 * costs the link again.  A healthy one takes a few ms of 1,000. */
#define CONNECTS_MIN 64
#define CONNECT_BYTES_PER_S 16000
/* Processor time counts only when the loop is late by this much on average,
 * ms: short bursts that nobody waits for are harmless. */
#define LATE_LOOP_MS 20.0
/* Processor time above this part of the limit is not that of this process: the
 * clock counts something else, as under some schedulers, and would refuse all
 * requests whenever the loop is late after a pause. */
#define PROCESSOR_MAX 1.5
/* Part of the descriptors that stay free for control connections. */
#define DESCRIPTORS_RESERVE 0.05
/* Pressure from which the instance leaves the rotation, how long it has to
 * last, and the random delay, ms. */
#define AWAY_BEGIN 0.6
#define AWAY_AFTER_MS 200
#define AWAY_SPREAD_MS 200
/* Where its time away is not bounded, it leaves earlier when the pressure,
 * which is above the one, would reach the other within the time, in seconds,
 * in which load balancers notice. */
#define STEEP_BEGIN 0.35
#define STEEP_END 0.9
#define STEEP_S 1.5
/* Pressure below which it comes back, and how long that has to last, ms. */
#define AWAY_END 0.35
#define AWAY_END_AFTER_MS 1500
/* It leaves only with this much time saved up, as shorter absences go
 * unnoticed, ms. */
#define AWAY_MIN_MS 3500
/* A workspace that has more than this part of all is why the instance is
 * loaded, and the others are not. */
#define DOMINANT 0.5
/* Instances of a fleet of which one may stay out of rotation for long. */
#define INSTANCES_MIN 8
/* Pressure down to which callers are moved, the part of the connections that
 * goes at most in a second, and that may be saved up. */
#define MOVE_END 0.6
#define MOVE_MAX_PER_S 0.2
#define MOVE_SAVED 0.05
/* The same while connections wait in a queue of the own link: how much more is
 * offered than the link bears is not known, and what waits is lost. */
#define MOVE_QUEUED_PER_S 1.5
#define MOVE_QUEUED_SAVED 0.3

struct share {
    double bytes;
};

static const char *const cause_names[MP_LOAD_CAUSES] = {
    "link-in", "link-out", "processor", "descriptors", "connects", "deadline"};

const char *
MpLoadCause_Name(enum MpLoadCause cause)
{
    return cause_names[cause];
}

void
MpInstanceLoad_Init(struct MpInstanceLoad *this,
                    const struct MpMachineLimits *limits)
{
    *this =
        (struct MpInstanceLoad){.limits = *limits,
                                .shares = g_hash_table_new_full(
                                    g_str_hash, g_str_equal, g_free, g_free),
                                .away_credit_ms = MP_LOAD_AWAY_MAX_MS};
}

void
MpInstanceLoad_Done(struct MpInstanceLoad *this)
{
    g_hash_table_unref(this->shares);
}

bool
MpInstanceLoad_IsLimited(const struct MpInstanceLoad *this)
{
    return this->limits.link_bytes_per_s > 0 ||
           this->limits.cpu_permille > 0 || this->limits.descriptors_max > 0;
}

/* ---- shares of workspaces ---- */

static gboolean
decay_share(void *key, void *value, void *factor)
{
    (void)key;
    struct share *share = value;
    share->bytes *= *(double *)factor;
    return share->bytes < SHARE_MIN_BYTES;
}

/* Lets the shares decay.  Returns the largest. */
static double
decay_shares(struct MpInstanceLoad *this, int64_t now_ms)
{
    GHashTableIter iter;
    void *value;
    double largest = 0;
    double factor =
        pow(0.5, (double)(now_ms - this->shares_ms) / SHARE_HALF_MS);
    g_hash_table_foreach_remove(this->shares, decay_share, &factor);
    this->shares_sum = 0;
    this->shares_ms = now_ms;
    g_hash_table_iter_init(&iter, this->shares);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct share *share = value;
        this->shares_sum += share->bytes;
        largest = MAX(largest, share->bytes);
    }
    return this->shares_sum > 0 ? largest / this->shares_sum : 0;
}

/* ---- measurement ---- */

static void
follow(double *average, double value, int64_t elapsed_ms)
{
    *average +=
        (value - *average) * MIN((double)elapsed_ms / INTERVAL_MS, 1.0);
}

static void
sample_link(struct MpInstanceLoad *this, const struct MpLoadSample *sample,
            int64_t elapsed_ms)
{
    double limit = (double)this->limits.link_bytes_per_s;
    double received = OVERHEAD * (double)(sample->received_bytes -
                                          this->last.received_bytes);
    double sent =
        OVERHEAD * (double)(sample->sent_bytes - this->last.sent_bytes);
    double seconds = (double)elapsed_ms / 1000;
    if (limit <= 0) {
        return;
    }
    follow(&this->used[MP_LOAD_LINK_IN], received / seconds / limit,
           elapsed_ms);
    /* The system takes writes faster than the link sends them. */
    this->out_queue_bytes =
        MAX(this->out_queue_bytes + sent - limit * seconds, 0);
    follow(&this->used[MP_LOAD_LINK_OUT], sent / seconds / limit, elapsed_ms);
}

static void
sample_processor(struct MpInstanceLoad *this,
                 const struct MpLoadSample *sample, int64_t elapsed_ms)
{
    double used_us = (double)(sample->cpu_us - this->last.cpu_us);
    follow(&this->loop_delay_ms, (double)sample->loop_delay_ms, elapsed_ms);
    if (this->limits.cpu_permille > 0) {
        follow(&this->used[MP_LOAD_PROCESSOR],
               used_us / (double)elapsed_ms /
                   (double)this->limits.cpu_permille,
               elapsed_ms);
    }
}

/* Returns whether connections wait in a queue of the own link: it was full
 * just now, and they take long.  What its callers gave up meanwhile is in that
 * queue but never read, so the bytes read alone do not show it. */
static bool
has_queue(const struct MpInstanceLoad *this, int64_t now_ms)
{
    return this->saturated_ms > 0 &&
           now_ms - this->saturated_ms < QUEUE_MEMORY_MS &&
           MpInstanceLoad_ConnectDelay(this, now_ms) >= QUEUED_CONNECT_MS;
}

/* Lets a part of the connections be closed, as many as are too many. */
static void
update_moves(struct MpInstanceLoad *this, const struct MpLoadSample *sample,
             double pressure, int64_t elapsed_ms, int64_t now_ms)
{
    bool is_relieved = pressure <= MOVE_END && !has_queue(this, now_ms);
    if (is_relieved || !MpInstanceLoad_IsNoticed(this, now_ms)) {
        this->move_budget = 0;
        return;
    }
    double callers = (double)sample->callers;
    bool is_queued = has_queue(this, now_ms);
    double part = is_queued ? MOVE_QUEUED_PER_S
                            : MIN(1.0 - MOVE_END / pressure, MOVE_MAX_PER_S);
    double saved = is_queued ? MOVE_QUEUED_SAVED : MOVE_SAVED;
    this->move_budget =
        MIN(this->move_budget + callers * part * (double)elapsed_ms / 1000,
            MAX(callers * saved, 1.0));
}

/* Comes back when the load has fallen for some time, or, if others are no
 * better off, when the time out of rotation is used up. */
static void
update_absence(struct MpInstanceLoad *this, bool is_bounded, double pressure,
               int64_t elapsed_ms, int64_t now_ms)
{
    if (pressure >= AWAY_END) {
        this->low_since_ms = 0;
    }
    else if (this->low_since_ms == 0) {
        this->low_since_ms = now_ms;
    }
    bool is_relieved = this->low_since_ms > 0 &&
                       now_ms - this->low_since_ms >= AWAY_END_AFTER_MS;
    if (is_bounded) {
        this->away_credit_ms -= elapsed_ms;
    }
    this->is_away = !is_relieved && (!is_bounded || this->away_credit_ms > 0);
}

static bool
is_pressed(const struct MpInstanceLoad *this, bool is_bounded, double pressure)
{
    return pressure >= AWAY_BEGIN ||
           (!is_bounded && pressure >= STEEP_BEGIN &&
            pressure + STEEP_S * this->slope >= STEEP_END);
}

/* Counts the time out of rotation, and leaves or comes back. */
static void
update_rotation(struct MpInstanceLoad *this, const struct MpLoadSample *sample,
                double pressure, double random, int64_t elapsed_ms,
                int64_t now_ms)
{
    bool is_bounded =
        this->dominance < DOMINANT || sample->instances < INSTANCES_MIN;
    if (this->is_away) {
        update_absence(this, is_bounded, pressure, elapsed_ms, now_ms);
        return;
    }
    this->away_credit_ms = MIN(
        this->away_credit_ms + (now_ms / MP_LOAD_AWAY_ONE_IN -
                                (now_ms - elapsed_ms) / MP_LOAD_AWAY_ONE_IN),
        MP_LOAD_AWAY_MAX_MS);
    if (!is_pressed(this, is_bounded, pressure)) {
        this->pressed_since_ms = 0;
        return;
    }
    if (this->pressed_since_ms == 0) {
        this->pressed_since_ms = now_ms;
        this->away_delay_ms =
            AWAY_AFTER_MS + (int64_t)(random * AWAY_SPREAD_MS);
    }
    if (now_ms - this->pressed_since_ms >= this->away_delay_ms &&
        (!is_bounded || this->away_credit_ms >= AWAY_MIN_MS)) {
        this->is_away = true;
        this->away_since_ms = now_ms;
        this->low_since_ms = 0;
        this->pressed_since_ms = 0;
        this->times_away++;
    }
}

void
MpInstanceLoad_Sample(struct MpInstanceLoad *this,
                      const struct MpLoadSample *sample, double random,
                      int64_t now_ms)
{
    int64_t elapsed_ms = now_ms - this->sampled_ms;
    if (this->sampled_ms > 0 && elapsed_ms <= 0) {
        return;
    }
    if (this->sampled_ms > 0) {
        sample_link(this, sample, elapsed_ms);
        sample_processor(this, sample, elapsed_ms);
    }
    if (this->limits.descriptors_max > 0) {
        this->used[MP_LOAD_DESCRIPTORS] =
            (double)sample->descriptors /
            ((double)this->limits.descriptors_max *
             (1.0 - DESCRIPTORS_RESERVE));
    }
    this->promised_bytes = 0;
    enum MpLoadCause cause;
    double pressure = MpInstanceLoad_Pressure(this, &cause);
    if (pressure >= MP_LOAD_SATURATED && cause != MP_LOAD_DESCRIPTORS) {
        this->saturated_ms = now_ms;
    }
    if (this->sampled_ms > 0) {
        follow(&this->slope,
               (pressure - this->last_pressure) * 1000 / (double)elapsed_ms,
               elapsed_ms);
        this->dominance = decay_shares(this, now_ms);
        update_rotation(this, sample, pressure, random, elapsed_ms, now_ms);
        update_moves(this, sample, pressure, elapsed_ms, now_ms);
    }
    this->last_pressure = pressure;
    this->last = *sample;
    this->sampled_ms = now_ms;
}

void
MpInstanceLoad_StartConnect(struct MpInstanceLoad *this)
{
    this->connects++;
}

void
MpInstanceLoad_EndConnect(struct MpInstanceLoad *this, int64_t took_ms,
                          int64_t now_ms)
{
    this->connects -= this->connects > 0;
    if (took_ms < 0) {
        return;
    }
    if (now_ms - this->connect_noted_ms >= CONNECT_AGE_MS) {
        this->connect_ms = 0;
    }
    this->connect_ms += CONNECT_WEIGHT * ((double)took_ms - this->connect_ms);
    this->connect_noted_ms = now_ms;
}

/* ---- decisions ---- */

double
MpInstanceLoad_ConnectDelay(const struct MpInstanceLoad *this, int64_t now_ms)
{
    return now_ms - this->connect_noted_ms < CONNECT_AGE_MS ? this->connect_ms
                                                            : 0;
}

/* Returns the largest fraction of a limit from the first cause on. */
static double
largest_use(const struct MpInstanceLoad *this, enum MpLoadCause first,
            enum MpLoadCause *cause)
{
    double values[MP_LOAD_CAUSES];
    memcpy(values, this->used, sizeof(values));
    if (this->limits.link_bytes_per_s > 0) {
        values[MP_LOAD_LINK_OUT] +=
            (this->out_queue_bytes + this->promised_bytes) /
            ((double)this->limits.link_bytes_per_s * INTERVAL_MS / 1000);
    }
    if (this->loop_delay_ms < LATE_LOOP_MS ||
        values[MP_LOAD_PROCESSOR] > PROCESSOR_MAX) {
        values[MP_LOAD_PROCESSOR] = 0;
    }
    *cause = first;
    for (int i = (int)first + 1; i < MP_LOAD_CAUSES; i++) {
        if (values[i] > values[*cause]) {
            *cause = (enum MpLoadCause)i;
        }
    }
    return values[*cause];
}

double
MpInstanceLoad_Pressure(const struct MpInstanceLoad *this,
                        enum MpLoadCause *cause)
{
    return largest_use(this, MP_LOAD_LINK_IN, cause);
}

/* Counts what the workspace asks for.  Returns its part of all. */
static double
count_share(struct MpInstanceLoad *this, const char *workspace, double bytes)
{
    struct share *share = g_hash_table_lookup(this->shares, workspace);
    if (!share) {
        share = g_new0(struct share, 1);
        g_hash_table_insert(this->shares, g_strdup(workspace), share);
    }
    share->bytes += bytes;
    this->shares_sum += bytes;
    return share->bytes / this->shares_sum;
}

static uint32_t
connects_max(const struct MpInstanceLoad *this)
{
    return (uint32_t)(CONNECTS_MIN +
                      this->limits.link_bytes_per_s / CONNECT_BYTES_PER_S);
}

/* Returns the Retry-After of a refusal: short, spread at random, and well
 * within the third of its time that a caller waits. */
static int64_t
retry_after(const struct MpLoadRequest *request, double random)
{
    int64_t spread_ms = MP_LOAD_RETRY_MAX_MS - MP_LOAD_RETRY_MIN_MS;
    int64_t wait_ms =
        MP_LOAD_RETRY_MIN_MS + (int64_t)(random * (double)spread_ms);
    return CLAMP(request->left_ms / 6, 1, wait_ms);
}

void
MpInstanceLoad_Admit(struct MpInstanceLoad *this,
                     const struct MpLoadRequest *request,
                     const double random[2], int64_t now_ms,
                     struct MpLoadVerdict *verdict)
{
    *verdict = (struct MpLoadVerdict){.is_admitted = true};
    if (!MpInstanceLoad_IsLimited(this)) {
        return;
    }
    int64_t rank = CLAMP(request->rank, 0, MP_LOAD_RANKS - 1);
    double bytes = (double)request->body_bytes + REQUEST_BYTES;
    const char *workspace = request->workspace ? request->workspace : "";
    verdict->share = count_share(this, workspace, bytes);
    verdict->workspaces = g_hash_table_size(this->shares);
    verdict->pressure = largest_use(this, MP_LOAD_LINK_OUT, &verdict->cause);
    double begin = band_begin[rank];
    if (verdict->share * verdict->workspaces > GREEDY_FACTOR) {
        begin -= GREEDY_STEP;
    }
    bool is_refused = random[0] * BAND_WIDTH < verdict->pressure - begin;
    bool is_saturated = MpInstanceLoad_IsSaturated(this, now_ms);
    if (!is_refused && is_saturated && this->connects >= connects_max(this)) {
        verdict->cause = MP_LOAD_CONNECTS;
        is_refused = true;
    }
    if (!is_refused && is_saturated &&
        request->left_ms <= MpInstanceLoad_ConnectDelay(this, now_ms)) {
        verdict->cause = MP_LOAD_DEADLINE;
        is_refused = true;
    }
    if (!is_refused) {
        this->promised_bytes += bytes;
        this->admitted++;
        return;
    }
    verdict->is_admitted = false;
    verdict->retry_after_ms = retry_after(request, random[1]);
    this->refused[verdict->cause][rank]++;
}

bool
MpInstanceLoad_IsSaturated(const struct MpInstanceLoad *this, int64_t now_ms)
{
    return this->saturated_ms > 0 &&
           (now_ms - this->saturated_ms < SATURATED_MS ||
            has_queue(this, now_ms));
}

bool
MpInstanceLoad_IsNoticed(const struct MpInstanceLoad *this, int64_t now_ms)
{
    return this->is_away && now_ms - this->away_since_ms >= MP_LOAD_NOTICED_MS;
}

bool
MpInstanceLoad_IsInRotation(const struct MpInstanceLoad *this)
{
    return !this->is_away;
}

uint32_t
MpInstanceLoad_TakeIdleMoves(struct MpInstanceLoad *this, uint32_t most)
{
    /* The rest is for responses. */
    uint32_t moves = MIN((uint32_t)(this->move_budget / 2), most);
    this->move_budget -= moves;
    this->moved += moves;
    return moves;
}

bool
MpInstanceLoad_ShouldMove(struct MpInstanceLoad *this, double random)
{
    /* Every other response, so that neither the busiest connections nor those
     * that answer first are all that go. */
    if (this->move_budget < 1.0 || random < 0.5) {
        return false;
    }
    this->move_budget -= 1.0;
    this->moved++;
    return true;
}
