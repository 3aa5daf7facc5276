/* A simulated engine pool whose targets differ in speed, and the share of
 * streams that are late with each way to choose a target. */

#include "coordination/Roster.h"
#include "state/Error.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define INSTANCES 89
#define ENGINES 90
#define SLOTS 32
#define ZONES 3
/* Streams a second, and the time of the simulation, ms; the first part fills
 * the caches and does not count. */
#define STREAM_RATE 560
#define WARM_MS 8000
#define END_MS 24000
/* Streams that begin in this last part don't count, ms. */
#define LAST_MS 2000
#define STEP_MS 5.18
#define STEP_RUNNING_MS 0.1
#define PREFILL_TOKENS_PER_MS 49.6
#define CACHE_TOKENS 403056
#define PAUSE_MAX_MS 200
#define FACTOR_MAX 3.0

/* A kind of streams: prompt, of which shared tokens are one of parts. */
static const struct kind {
    int percent;
    int64_t prompt;
    int64_t shared;
    int parts;
    int events;
    int64_t goal_ms;
} kinds[] = {
    {33, 9190, 5700, 250, 13, 1000},
    {33, 2368, 1500, 250, 6, 500},
    {34, 715, 450, 250, 70, 250},
};

struct stream {
    const struct kind *kind;
    struct MpRequestMeta meta;
    struct MpPicked picked;
    int instance;
    int64_t began_ms;
    int64_t first_ms;
    int64_t last_ms;
    int64_t pause_ms;
    int events;
};

struct engine {
    double lasting; /* time of work as a multiple of the usual one */
    double momentary;
    int64_t changes_ms;
    GQueue waiting;
    struct stream *running[SLOTS];
    int count;
    struct stream *reading; /* its prompt is being read */
    double left_ms;         /* work until the next event, at usual speed */
    GHashTable *cache;      /* part -> its link in order */
    GQueue order;           /* of parts, the oldest use first */
    int64_t cache_tokens;
    int64_t served;
};

struct outcome {
    int64_t streams;
    int64_t late_first;
    int64_t late_pause;
    int64_t good;      /* neither, and ended */
    int64_t elsewhere; /* sent to another zone */
    double busiest;    /* engine's streams as a multiple of the mean */
};

struct world {
    struct MpRoster rosters[INSTANCES];
    struct engine engines[ENGINES];
    GRand *random;
    struct outcome outcome;
    bool has_figure; /* reports have the fourth number */
    int64_t zone_cost_us_per_kb;
    double slow_share;
    double factor_max;
    int64_t now_ms;
};

static void
ignore_dropped(void *owner, struct MpPoolTarget *target)
{
    (void)owner;
    (void)target;
}

static void
init_roster(struct MpRoster *this, int instance, enum MpPickPolicy policy)
{
    GPtrArray *list = g_ptr_array_new_with_free_func(MpListedTarget_Delete);
    char zone[8];
    g_snprintf(zone, sizeof(zone), "z%d", instance % ZONES);
    MpRoster_Init(this, zone, ignore_dropped, NULL);
    this->policy = policy;
    for (int i = 0; i < ENGINES; i++) {
        struct MpListedTarget *entry = g_new0(struct MpListedTarget, 1);
        entry->incarnation = g_strdup_printf("t%d", i);
        entry->pool = g_strdup("p");
        entry->address = g_strdup_printf("10.0.0.%d:80", i);
        entry->zone = g_strdup_printf("z%d", i % ZONES);
        entry->slots = SLOTS;
        g_ptr_array_add(list, entry);
    }
    MpRoster_SetList(this, list, 1);
    g_ptr_array_unref(list);
}

static void
touch_part(struct engine *this, uint64_t part, int64_t tokens)
{
    GList *link = g_hash_table_lookup(this->cache, &part);
    if (link) {
        g_queue_unlink(&this->order, link);
        g_queue_push_tail_link(&this->order, link);
        return;
    }
    uint64_t *entry = g_new(uint64_t, 2);
    entry[0] = part;
    entry[1] = (uint64_t)tokens;
    g_queue_push_tail(&this->order, entry);
    g_hash_table_insert(this->cache, &entry[0], this->order.tail);
    this->cache_tokens += tokens;
    while (this->cache_tokens > CACHE_TOKENS) {
        uint64_t *oldest = g_queue_pop_head(&this->order);
        g_hash_table_remove(this->cache, &oldest[0]);
        this->cache_tokens -= (int64_t)oldest[1];
        g_free(oldest);
    }
}

static bool
does_count(int64_t began_ms)
{
    return began_ms >= WARM_MS && began_ms < END_MS - LAST_MS;
}

static double
read_ms(struct engine *this, const struct stream *stream)
{
    const struct MpPromptPart *parts = stream->meta.parts;
    int64_t tokens = parts[1].tokens;
    if (!g_hash_table_contains(this->cache, &parts[0].id)) {
        tokens += parts[0].tokens;
    }
    touch_part(this, parts[0].id, parts[0].tokens);
    touch_part(this, parts[1].id, parts[1].tokens);
    return (double)tokens / PREFILL_TOKENS_PER_MS;
}

static void
end_stream(struct world *world, struct stream *stream)
{
    struct outcome *outcome = &world->outcome;
    struct MpPoolTarget *target = stream->picked.target;
    MpRoster_NoteEvents(&world->rosters[stream->instance], target,
                        stream->events, stream->last_ms - stream->first_ms);
    MpPoolTarget_EndAttempt(&world->rosters[stream->instance], target, true,
                            stream->picked.prefill_tokens, MP_OUTCOME_OK,
                            world->now_ms);
    if (does_count(stream->began_ms)) {
        bool is_late =
            stream->first_ms - stream->began_ms > stream->kind->goal_ms;
        bool has_pause = stream->pause_ms > PAUSE_MAX_MS;
        outcome->late_first += is_late;
        outcome->late_pause += has_pause;
        outcome->good += !is_late && !has_pause;
    }
    g_free(stream);
}

static void
note_figure(struct world *world, const struct engine *engine, int instance,
            struct MpPoolTarget *target)
{
    MpRoster_NoteFigure(&world->rosters[instance], target,
                        (int64_t)(100 * engine->momentary), world->now_ms);
}

static void
report(struct world *world, const struct engine *engine,
       const struct stream *stream)
{
    MpPoolTarget_ApplyReport(stream->picked.target, engine->count,
                             engine->waiting.length, SLOTS, world->now_ms);
    if (world->has_figure) {
        note_figure(world, engine, stream->instance, stream->picked.target);
    }
    MpPoolTarget_NoteFirstAnswer(
        stream->picked.target, stream->picked.prefill_tokens,
        world->now_ms - stream->began_ms, stream->picked.wait_ms);
}

/* Counts an event of a stream.  Returns whether it was the last. */
static bool
take_event(struct world *world, const struct engine *engine,
           struct stream *stream)
{
    int64_t now_ms = world->now_ms;
    if (stream->events == 0) {
        stream->first_ms = now_ms;
        report(world, engine, stream);
    }
    else {
        stream->pause_ms = MAX(stream->pause_ms, now_ms - stream->last_ms);
    }
    stream->last_ms = now_ms;
    return ++stream->events >= stream->kind->events;
}

/* Ends a step: each running stream gets an event.  Then a waiting prompt is
 * read, or the next step begins. */
static void
end_work(struct world *world, struct engine *this)
{
    if (this->reading) {
        this->running[this->count++] = this->reading;
        this->reading = NULL;
    }
    for (int i = this->count - 1; i >= 0; i--) {
        if (take_event(world, this, this->running[i])) {
            end_stream(world, this->running[i]);
            this->running[i] = this->running[--this->count];
        }
    }
    if (this->waiting.head && this->count < SLOTS) {
        this->reading = g_queue_pop_head(&this->waiting);
        this->left_ms += read_ms(this, this->reading);
    }
    this->left_ms += STEP_MS + STEP_RUNNING_MS * this->count;
}

static void
run_engine(struct world *world, struct engine *this)
{
    if (world->now_ms >= this->changes_ms) {
        this->momentary =
            1 + (world->factor_max - 1) * g_rand_double(world->random);
        this->changes_ms =
            world->now_ms + g_rand_int_range(world->random, 100, 200);
    }
    if (this->count == 0 && !this->reading && !this->waiting.head) {
        return;
    }
    if (this->count == 0 && !this->reading) {
        this->left_ms = 0;
        end_work(world, this);
    }
    this->left_ms -= 1.0 / (this->lasting * this->momentary);
    while (this->left_ms <= 0 && (this->count > 0 || this->reading)) {
        end_work(world, this);
    }
}

static struct stream *
stream_new(struct world *world)
{
    struct stream *this = g_new0(struct stream, 1);
    GRand *random = world->random;
    int percent = g_rand_int_range(random, 0, 100);
    size_t kind = 0;
    while (percent >= kinds[kind].percent) {
        percent -= kinds[kind++].percent;
    }
    this->kind = &kinds[kind];
    /* Some instances and some prompt parts are used more than others. */
    double instance = pow(g_rand_double(random), 1.5) * INSTANCES;
    double part = pow(g_rand_double(random), 1.7) * this->kind->parts;
    this->instance = (int)instance;
    this->began_ms = world->now_ms;
    this->meta = (struct MpRequestMeta){
        .prompt_tokens = this->kind->prompt,
        .parts = {{.id = (kind + 1) * 1000 + (uint64_t)part,
                   .tokens = this->kind->shared},
                  {.id = ((uint64_t)g_rand_int(random) << 16) + 99999,
                   .tokens = this->kind->prompt - this->kind->shared}},
        .part_count = 2};
    return this;
}

static void
send_stream(struct world *world)
{
    struct stream *stream = stream_new(world);
    struct MpRoster *roster = &world->rosters[stream->instance];
    struct MpPoolQuery query = {.pool = "p",
                                .meta = &stream->meta,
                                .instances = INSTANCES,
                                .instance_rank = (uint32_t)stream->instance,
                                .wall_ms = world->now_ms,
                                .bytes = 4 * stream->meta.prompt_tokens,
                                .is_engine = true};
    int code = MpRoster_Pick(roster, &query, world->now_ms, &stream->picked);
    world->outcome.streams += does_count(world->now_ms);
    if (code != MP_OK) {
        g_free(stream);
        return;
    }
    struct MpPoolTarget *target = stream->picked.target;
    int engine = (int)g_ascii_strtoll(target->incarnation + 1, NULL, 10);
    MpPoolTarget_StartAttempt(target, &stream->meta,
                              stream->picked.prefill_tokens, world->now_ms);
    if (does_count(world->now_ms)) {
        world->engines[engine].served++;
        world->outcome.elsewhere += engine % ZONES != stream->instance % ZONES;
    }
    g_queue_push_tail(&world->engines[engine].waiting, stream);
}

static struct outcome
simulate(struct world *world, enum MpPickPolicy policy, guint32 seed)
{
    int64_t served_max = 0;
    world->outcome = (struct outcome){.streams = 0};
    world->random = g_rand_new_with_seed(seed);
    g_random_set_seed(seed);
    for (int i = 0; i < INSTANCES; i++) {
        init_roster(&world->rosters[i], i, policy);
        world->rosters[i].zone_cost_us_per_kb = world->zone_cost_us_per_kb;
    }
    for (int i = 0; i < ENGINES; i++) {
        bool is_slow = g_rand_double(world->random) < world->slow_share;
        world->engines[i] = (struct engine){
            .lasting = is_slow
                           ? 1 / g_rand_double_range(world->random, 0.5, 0.7)
                           : 1.0,
            .cache = g_hash_table_new(g_int64_hash, g_int64_equal)};
    }
    double due = 0;
    for (world->now_ms = 1; world->now_ms < END_MS; world->now_ms++) {
        due += -log(1 - g_rand_double(world->random) * 0.999) * STREAM_RATE /
               1000;
        for (; due >= 1; due--) {
            send_stream(world);
        }
        for (int i = 0; i < ENGINES; i++) {
            run_engine(world, &world->engines[i]);
        }
    }
    for (int i = 0; i < ENGINES; i++) {
        served_max = MAX(served_max, world->engines[i].served);
    }
    world->outcome.busiest =
        (double)served_max * ENGINES /
        (STREAM_RATE * (END_MS - LAST_MS - WARM_MS) / 1000.0);
    return world->outcome;
}

static void
done_world(struct world *this)
{
    for (int i = 0; i < ENGINES; i++) {
        struct engine *engine = &this->engines[i];
        g_queue_clear_full(&engine->waiting, g_free);
        g_free(engine->reading);
        for (int k = 0; k < engine->count; k++) {
            g_free(engine->running[k]);
        }
        g_hash_table_unref(engine->cache);
        g_queue_clear_full(&engine->order, g_free);
    }
    for (int i = 0; i < INSTANCES; i++) {
        MpRoster_Done(&this->rosters[i]);
    }
    g_rand_free(this->random);
}

/* Returns the share of late streams with two seeds. */
static double
late_share(struct world *this, enum MpPickPolicy policy)
{
    int64_t streams = 0;
    int64_t good = 0;
    for (guint32 seed = 1; seed <= 2; seed++) {
        struct outcome outcome = simulate(this, policy, seed);
        double count = (double)outcome.streams;
        streams += outcome.streams;
        good += outcome.good;
        g_test_message("policy=%d late=%.3f first=%.3f pause=%.3f "
                       "elsewhere=%.3f busiest=%.2f",
                       policy, 1 - (double)outcome.good / count,
                       (double)outcome.late_first / count,
                       (double)outcome.late_pause / count,
                       (double)outcome.elsewhere / count, outcome.busiest);
        done_world(this);
    }
    return 1 - (double)good / (double)streams;
}

/* Late streams of the choice before it knew speeds, in the same two worlds:
 * with and without targets that are always slow. */
#define LATE_BEFORE_SLOW 0.215
#define LATE_BEFORE_EVEN 0.128

/* Targets that are slow all the time, and all of them now and then, make fewer
 * streams late than with the choices that ignore it. */
static void
test_uneven_speed(void)
{
    struct world world = {
        .slow_share = 0.2, .factor_max = FACTOR_MAX, .has_figure = true};
    double late = late_share(&world, MP_PICK_AFFINITY);
    g_assert_cmpfloat(late, <, LATE_BEFORE_SLOW);
    g_assert_cmpfloat(late, <, late_share(&world, MP_PICK_RANDOM));
    g_assert_cmpfloat(late, <, late_share(&world, MP_PICK_LEAST_OUTSTANDING));
}

/* Noise that passes is not taken for lasting slowness: that would scatter the
 * shared prompt parts. */
static void
test_passing_noise(void)
{
    struct world world = {.factor_max = FACTOR_MAX, .has_figure = true};
    g_assert_cmpfloat(late_share(&world, MP_PICK_AFFINITY), <,
                      LATE_BEFORE_EVEN);
}

/* Deployments whose targets report no figure and are equally fast get no more
 * late streams than before: at most 1 in 1,000. */
static void
test_even_speed(void)
{
    struct world world = {.factor_max = 1.0};
    g_assert_cmpfloat(late_share(&world, MP_PICK_AFFINITY), <=, 0.001);
}

/* A zone with enough targets keeps its requests when bytes between zones are
 * weighed, although each prompt part is cached in more places then. */
static void
test_zones(void)
{
    struct world world = {.factor_max = 1.0, .zone_cost_us_per_kb = 500};
    g_assert_cmpfloat(late_share(&world, MP_PICK_AFFINITY), <=, 0.001);
    g_assert_cmpint(world.outcome.elsewhere * 20, <, world.outcome.streams);
}

/* A figure counts for a fraction of a second only, and does not move the
 * lasting part much. */
static void
test_age(void)
{
    struct MpTargetSpeed speed = MP_TARGET_SPEED_INIT;
    struct MpPoolSpeed pool = MP_POOL_SPEED_INIT;
    for (int i = 0; i < 1000; i++) {
        struct MpTargetSpeed other = MP_TARGET_SPEED_INIT;
        MpTargetSpeed_NoteFigure(&other, &pool, 100, 900);
    }
    MpTargetSpeed_NoteFigure(&speed, &pool, 300, 1000);
    double now = MpTargetSpeed_Now(&speed, pool.usual, 1000);
    double later = MpTargetSpeed_Now(&speed, pool.usual, 1100);
    double after =
        MpTargetSpeed_Now(&speed, pool.usual, 1000 + MP_SPEED_FIGURE_MS);
    g_assert_cmpfloat(now, ==, 3.0);
    g_assert_cmpfloat(later, <, now);
    g_assert_cmpfloat(later, >, after);
    g_assert_cmpfloat(after, <, 1.1);
    g_assert_cmpfloat(MpTargetSpeed_Share(&speed), ==, 1.0);
    for (int i = 0; i < 200; i++) {
        MpTargetSpeed_NoteFigure(&speed, &pool, 200, 1100 + 10 * i);
    }
    g_assert_cmpfloat(MpTargetSpeed_Share(&speed), <, 0.7);
}

/* A target that never says how fast it is shows it by the time between its
 * events. */
static void
test_learned_from_events(void)
{
    struct MpTargetSpeed speeds[10];
    struct MpPoolSpeed pool = MP_POOL_SPEED_INIT;
    for (int i = 0; i < 10; i++) {
        speeds[i] = (struct MpTargetSpeed)MP_TARGET_SPEED_INIT;
    }
    for (int n = 0; n < 100; n++) {
        for (int i = 0; i < 10; i++) {
            MpTargetSpeed_NoteEvents(&speeds[i], &pool, 21,
                                     i == 0 ? 400 : 200);
        }
    }
    g_assert_cmpfloat(MpTargetSpeed_Lasting(&speeds[0]), >, 1.6);
    g_assert_cmpfloat(MpTargetSpeed_Lasting(&speeds[1]), <, 1.1);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/speed/age", test_age);
    g_test_add_func("/speed/events", test_learned_from_events);
    g_test_add_func("/speed/even", test_even_speed);
    g_test_add_func("/speed/zones", test_zones);
    g_test_add_func("/speed/noise", test_passing_noise);
    g_test_add_func("/speed/uneven", test_uneven_speed);
    return g_test_run();
}
