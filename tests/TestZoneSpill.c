/* Tests of the part of a pool's requests that leaves the zone. */

#include "coordination/ZoneSpill.h"

#include <glib.h>

/* Time between two requests, ms. */
#define STEP_MS 20

struct phase {
    double capacity; /* of the targets at home, as a part of the load */
    int64_t end_ms;
};

/* What happened in a phase. */
struct passage {
    double first;    /* part that left in its first half second */
    double left;     /* part that left in its last three seconds */
    int64_t turns;   /* how often the allowed part changed its direction */
    double step_max; /* largest change of it by one request */
};

/* The wait at home is the backlog of the requests that stay: it grows while
 * more of them stay than its targets take. */
static struct passage
run_phase(struct MpZoneSpill *spill, const struct phase *phase,
          int64_t *now_ms, double *home_ms, GRand *random)
{
    struct passage passage = {.turns = 0};
    int64_t begin_ms = *now_ms;
    double direction = 0;
    int first = 0;
    int last = 0;
    for (; *now_ms < phase->end_ms; *now_ms += STEP_MS) {
        double before = spill->fraction;
        const struct MpZoneOffer offer = {
            .has_home = true,
            .has_away = true,
            .home_ms = *home_ms + g_rand_double_range(random, 0, 20),
            .away_ms = 20 + g_rand_double_range(random, 0, 20),
            .prompt_bytes = 10240,
            .cost_us_per_kb = 1000,
            .random = g_rand_double(random)};
        bool has_left =
            MpZoneSpill_Choose(spill, &offer, *now_ms) != MP_ZONE_HOME;
        double change = spill->fraction - before;
        *home_ms += (has_left ? 0 : STEP_MS) - phase->capacity * STEP_MS;
        *home_ms = CLAMP(*home_ms, 10, 800);
        passage.step_max = MAX(passage.step_max, ABS(change));
        passage.turns += change * direction < 0;
        direction = change != 0 ? change : direction;
        first += has_left && *now_ms < begin_ms + 500;
        last += has_left && *now_ms >= phase->end_ms - 3000;
    }
    passage.first = first / (500.0 / STEP_MS);
    passage.left = last / (3000.0 / STEP_MS);
    return passage;
}

/* A zone has targets for 0.6 of its load for 10 s, then for all of it: what is
 * too much leaves, gradually and without swinging, and comes back. */
static void
test_too_few_targets(void)
{
    struct MpZoneSpill spill = {.fraction = 0};
    GRand *random = g_rand_new_with_seed(7);
    int64_t now_ms = 1000;
    double home_ms = 10;
    struct phase phase = {.capacity = 1.2, .end_ms = 5000};
    struct passage passage =
        run_phase(&spill, &phase, &now_ms, &home_ms, random);
    g_assert_cmpfloat(passage.left, ==, 0);
    phase = (struct phase){.capacity = 0.6, .end_ms = 15000};
    passage = run_phase(&spill, &phase, &now_ms, &home_ms, random);
    g_test_message("too few: first=%.2f left=%.2f turns=%d step=%.3f",
                   passage.first, passage.left, (int)passage.turns,
                   passage.step_max);
    g_assert_cmpfloat(passage.first, <, 0.1);
    g_assert_cmpfloat(passage.left, >, 0.3);
    g_assert_cmpfloat(passage.left, <, 0.7);
    g_assert_cmpfloat(passage.step_max, <, 0.02);
    g_assert_cmpint(passage.turns, <=, 6);
    g_assert_cmpfloat(home_ms, <, 400);
    phase = (struct phase){.capacity = 1.2, .end_ms = 25000};
    passage = run_phase(&spill, &phase, &now_ms, &home_ms, random);
    g_assert_cmpfloat(passage.left, ==, 0);
    g_assert_cmpfloat(spill.fraction, ==, 0);
    g_rand_free(random);
}

/* A wait that is shorter elsewhere by less than the bytes cost moves nothing,
 * a request without a target at home leaves at once. */
static void
test_bytes(void)
{
    struct MpZoneSpill spill = {.fraction = 0};
    struct MpZoneOffer offer = {.has_home = true,
                                .has_away = true,
                                .home_ms = 100,
                                .away_ms = 20,
                                .prompt_bytes = 40960,
                                .cost_us_per_kb = 3000};
    for (int64_t now_ms = 1000; now_ms < 9000; now_ms += STEP_MS) {
        g_assert_cmpint(MpZoneSpill_Choose(&spill, &offer, now_ms), ==,
                        MP_ZONE_HOME);
    }
    offer.has_home = false;
    g_assert_cmpint(MpZoneSpill_Choose(&spill, &offer, 9000), ==,
                    MP_ZONE_AWAY_NONE);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/spill/too-few-targets", test_too_few_targets);
    g_test_add_func("/spill/bytes", test_bytes);
    return g_test_run();
}
