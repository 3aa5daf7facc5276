#include "coordination/Admission.h"

#include <math.h>

/* Time in which an answer loses half its weight, ms: the overload of a pool
 * has to be known within a second. */
#define DELAY_HALF_MS 400
/* Largest weight of one answer, and the longest time that counts, in latency
 * targets: a few answers that come very late, at slow targets, do not make a
 * pool too small. */
#define ANSWER_WEIGHT 0.2
#define DELAY_PART_MAX 1.5
/* Pressure that admission aims at: at 1 the first answers come just in time on
 * average, so that half of them are late; pools without trouble are at 0.3 to
 * 0.5. */
#define PRESSURE_AIM 0.75
/* The level, the number of ranks that are refused: how much of it a pressure
 * above the aim causes at once, and per second.  More than that oscillates, as
 * answers tell of a refusal half a second later. */
#define LEVEL_AT_ONCE 1.5
#define LEVEL_PER_S 0.8
/* Pressure below which there is room, so that the level falls faster. */
#define PRESSURE_ROOM 0.5
#define LEVEL_BACK_PER_S 6.0
/* How much more a pressure above 1 causes: what begins then comes late. */
#define LEVEL_LATE 2.0
/* Longest time over which one pressure is taken to have lasted, ms. */
#define LEVEL_STEP_MAX_MS 300
/* Pressure at which workspaces above their usual rate yield. */
#define YIELD_BEGIN 0.6
/* How far above its usual rate a workspace may be, and how much it may send in
 * any case, requests a second. */
#define USUAL_FACTOR 2.0
#define RATE_MIN_PER_S 2.0
/* Time in which a request loses half its weight in the two rates, ms. */
#define NOW_HALF_MS 700
#define USUAL_HALF_MS 30000
/* Weight in the usual rate of a request that is above it while the pool is
 * pressed. */
#define UNUSUAL_WEIGHT 0.15
/* Time for which a workspace is watched before it has a usual rate, ms; a rate
 * over a shorter time says nothing. */
#define USUAL_AFTER_MS 3000
/* Workspaces without requests for this long are forgotten, ms. */
#define RETENTION_MS 120000
/* Largest probability of a refusal, and the longest time for which all
 * requests of a rank are refused, ms. */
#define REFUSED_MAX 0.95
#define STARVED_MS 1000
/* Bounds of Retry-After, ms. */
#define RETRY_MIN_MS 20
#define RETRY_MAX_MS 2000
/* Added to the pressure above the aim that is to be worked off. */
#define RETRY_MARGIN 0.2

static const char *const cause_names[] = {"share", "rank"};

const char *
MpAdmissionCause_Name(enum MpAdmissionCause cause)
{
    return cause_names[cause];
}

static void
pool_free(void *data)
{
    struct MpAdmissionPool *pool = data;
    g_hash_table_unref(pool->workspaces);
    g_free(pool);
}

void
MpAdmission_Init(struct MpAdmission *this)
{
    *this =
        (struct MpAdmission){.pools = g_hash_table_new_full(
                                 g_str_hash, g_str_equal, g_free, pool_free)};
}

void
MpAdmission_Done(struct MpAdmission *this)
{
    g_hash_table_unref(this->pools);
}

static struct MpAdmissionPool *
get_pool(struct MpAdmission *this, const char *name)
{
    struct MpAdmissionPool *pool = g_hash_table_lookup(this->pools, name);
    if (!pool) {
        pool = g_new0(struct MpAdmissionPool, 1);
        pool->workspaces =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        g_hash_table_insert(this->pools, g_strdup(name), pool);
    }
    return pool;
}

void
MpAdmission_Activate(struct MpAdmission *this, const char *pool)
{
    get_pool(this, pool)->is_active = true;
}

/* ---- delay ---- */

static double
weight_after(int64_t elapsed_ms, int64_t half_ms)
{
    return pow(0.5, (double)MAX(elapsed_ms, 0) / (double)half_ms);
}

/* Without answers the delay falls: the pool has emptied, or nothing is known
 * of it. */
static double
delay_at(const struct MpAdmissionPool *pool, int64_t now_ms)
{
    int64_t age_ms = now_ms - pool->delay_ms;
    return pool->delay *
           weight_after(age_ms - DELAY_HALF_MS, 2 * DELAY_HALF_MS);
}

void
MpAdmission_NoteAnswer(struct MpAdmission *this, const char *pool_name,
                       double part, int64_t now_ms)
{
    struct MpAdmissionPool *pool = get_pool(this, pool_name);
    /* Few answers have to tell as soon as many. */
    double weight =
        MAX(1.0 - weight_after(now_ms - pool->delay_ms, DELAY_HALF_MS), 0.02);
    pool->delay += MIN(weight, ANSWER_WEIGHT) *
                   (CLAMP(part, 0, DELAY_PART_MAX) - pool->delay);
    pool->delay_ms = now_ms;
}

/* ---- rates ---- */

static gboolean
is_forgotten(void *key, void *value, void *now_ms)
{
    (void)key;
    const struct MpWorkspaceRate *rate = value;
    return *(int64_t *)now_ms - rate->noted_ms >= RETENTION_MS;
}

static void
count_in(double *rate, double weight, int64_t elapsed_ms, int64_t half_ms)
{
    *rate = *rate * weight_after(elapsed_ms, half_ms) +
            weight * G_LN2 * 1000 / (double)half_ms;
}

/* Returns the usual rate; while the average still fills, what it would be. */
static double
usual_rate(const struct MpWorkspaceRate *rate, int64_t now_ms)
{
    double filled = 1.0 - weight_after(now_ms - rate->since_ms, USUAL_HALF_MS);
    return now_ms - rate->since_ms < USUAL_AFTER_MS
               ? 0
               : rate->usual_per_s / filled;
}

/* Counts a request of the workspace.  While the pool is pressed, a rate above
 * the usual becomes the usual one only slowly. */
static struct MpWorkspaceRate *
count_request(struct MpAdmissionPool *pool, const char *workspace,
              bool is_pressed, int64_t now_ms)
{
    if (now_ms - pool->swept_ms >= RETENTION_MS) {
        pool->swept_ms = now_ms;
        g_hash_table_foreach_remove(pool->workspaces, is_forgotten, &now_ms);
    }
    struct MpWorkspaceRate *rate =
        g_hash_table_lookup(pool->workspaces, workspace);
    if (!rate) {
        rate = g_new0(struct MpWorkspaceRate, 1);
        rate->since_ms = now_ms;
        rate->noted_ms = now_ms;
        g_hash_table_insert(pool->workspaces, g_strdup(workspace), rate);
    }
    int64_t elapsed_ms = now_ms - rate->noted_ms;
    double usual = usual_rate(rate, now_ms);
    bool is_unusual =
        is_pressed && usual > 0 && rate->now_per_s > USUAL_FACTOR * usual;
    count_in(&rate->now_per_s, 1.0, elapsed_ms, NOW_HALF_MS);
    count_in(&rate->usual_per_s, is_unusual ? UNUSUAL_WEIGHT : 1.0, elapsed_ms,
             USUAL_HALF_MS);
    rate->noted_ms = now_ms;
    return rate;
}

/* Returns the mean rate of the workspaces seen in the last seconds. */
static double
mean_rate(const struct MpAdmissionPool *pool, int64_t now_ms)
{
    GHashTableIter iter;
    void *value;
    double sum = 0;
    uint32_t count = 0;
    g_hash_table_iter_init(&iter, pool->workspaces);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct MpWorkspaceRate *rate = value;
        if (now_ms - rate->noted_ms < 2 * NOW_HALF_MS) {
            sum += rate->now_per_s *
                   weight_after(now_ms - rate->noted_ms, NOW_HALF_MS);
            count++;
        }
    }
    return count > 1 ? sum / count : INFINITY;
}

/* Returns the part of its requests by which the workspace is too much above
 * its usual rate and the mean of all.  One that is alone has no others to
 * leave room for here. */
static double
excess_of(const struct MpAdmissionPool *pool,
          const struct MpWorkspaceRate *rate, int64_t now_ms)
{
    double usual = usual_rate(rate, now_ms);
    double allowed = MAX(USUAL_FACTOR * usual, RATE_MIN_PER_S);
    if (rate->now_per_s <= allowed) {
        return 0;
    }
    allowed = MAX(allowed, mean_rate(pool, now_ms));
    return MAX(1.0 - allowed / rate->now_per_s, 0);
}

/* ---- decisions ---- */

/* Returns when to come back: once what is too much has been worked off, the
 * more urgent ranks first, and not all at once. */
static int64_t
retry_after(const struct MpAdmissionRequest *request, double above,
            int64_t rank, double random)
{
    double drain_ms = (above + RETRY_MARGIN) *
                      (double)request->latency_target_ms *
                      (1.0 + (double)rank / 2);
    int64_t wait_ms =
        (int64_t)CLAMP(drain_ms * 2 * random, RETRY_MIN_MS, RETRY_MAX_MS);
    /* A caller waits for a third of the time that it has left. */
    int64_t most_ms = MAX(request->left_ms / 3 - 1, 1);
    return wait_ms <= most_ms
               ? wait_ms
               : MAX((int64_t)((double)most_ms * (0.5 + random / 2)), 1);
}

/* Returns how many ranks are to be refused, the last one in part: by the
 * pressure, and by how long it has lasted. */
static double
update_level(struct MpAdmissionPool *pool, double pressure, int64_t now_ms)
{
    int64_t elapsed_ms = MIN(now_ms - pool->level_ms, LEVEL_STEP_MAX_MS);
    double above = pressure - PRESSURE_AIM;
    double per_s = LEVEL_PER_S * above -
                   LEVEL_BACK_PER_S * MAX(PRESSURE_ROOM - pressure, 0);
    pool->level += per_s * (double)elapsed_ms / 1000;
    pool->level = CLAMP(pool->level, 0, MP_ADMISSION_RANKS);
    pool->level_ms = now_ms;
    return CLAMP(pool->level + LEVEL_AT_ONCE * above +
                     LEVEL_LATE * MAX(pressure - 1.0, 0),
                 0, MP_ADMISSION_RANKS);
}

/* Returns whether the rank has got nothing for so long that the next request
 * is admitted in any case. */
static bool
is_starved(const struct MpAdmissionPool *pool, int64_t rank, int64_t now_ms)
{
    return pool->asked_ms[rank] > 0 &&
           now_ms - pool->asked_ms[rank] >= STARVED_MS;
}

void
MpAdmission_Decide(struct MpAdmission *this,
                   const struct MpAdmissionRequest *request,
                   const double random[2], int64_t now_ms,
                   struct MpAdmissionVerdict *verdict)
{
    struct MpAdmissionPool *pool = get_pool(this, request->pool);
    int64_t rank = CLAMP(request->rank, 0, MP_ADMISSION_RANKS - 1);
    *verdict = (struct MpAdmissionVerdict){.is_admitted = true};
    if (!pool->is_active || request->latency_target_ms <= 0) {
        return;
    }
    verdict->delay = delay_at(pool, now_ms);
    verdict->pressure =
        MAX(verdict->delay,
            (double)request->wait_ms / (double)request->latency_target_ms);
    bool is_pressed = verdict->pressure > YIELD_BEGIN;
    const struct MpWorkspaceRate *rate =
        count_request(pool, request->workspace ? request->workspace : "",
                      is_pressed, now_ms);
    verdict->now_per_s = rate->now_per_s;
    verdict->usual_per_s = usual_rate(rate, now_ms);
    verdict->level = update_level(pool, verdict->pressure, now_ms);
    double by_rank = verdict->level - (double)(MP_ADMISSION_RANKS - 1 - rank);
    double by_share = is_pressed ? excess_of(pool, rate, now_ms) : 0;
    verdict->cause =
        by_share > by_rank ? MP_ADMISSION_SHARE : MP_ADMISSION_RANK;
    verdict->probability = CLAMP(MAX(by_rank, by_share), 0, REFUSED_MAX);
    if (random[0] >= verdict->probability || is_starved(pool, rank, now_ms)) {
        pool->asked_ms[rank] = 0;
        this->admitted[rank]++;
        return;
    }
    if (pool->asked_ms[rank] == 0) {
        pool->asked_ms[rank] = now_ms;
    }
    verdict->is_admitted = false;
    verdict->retry_after_ms = retry_after(
        request, MAX(verdict->pressure - PRESSURE_AIM, 0), rank, random[1]);
    this->refused[verdict->cause][rank]++;
}
