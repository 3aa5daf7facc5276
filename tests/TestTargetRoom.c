#include "coordination/TargetRoom.h"

#include <glib.h>
#include <string.h>

/* What a target that bears few refusals gets from all instances together, and
 * the number that it names. */

#define INSTANCES_MAX 300
#define TICK_MS 5
#define WORK_MS 400
#define RUN_MS 30000
/* Time after which all instances know what the target said. */
#define SETTLE_MS 3000

struct instance {
    struct MpTargetRoom room;
    int64_t running;
    int64_t reported;
    int64_t reported_ms;
    int64_t sent_since;
};

struct run {
    int64_t instance;
    int64_t end_ms;
};

struct fixture {
    struct instance instances[INSTANCES_MAX];
    uint32_t count;
    int64_t slots;
    int64_t refusals_max;
    GArray *runs;     /* of struct run, oldest first */
    GArray *refusals; /* of int64_t, times */
    int64_t served;
    int64_t most_refusals; /* in any second */
};

static void
refuse(struct fixture *this, struct instance *instance, int64_t now_ms)
{
    int64_t refused = 0;
    MpTargetRoom_NoteRefusal(&instance->room, now_ms);
    g_array_append_val(this->refusals, now_ms);
    for (guint i = this->refusals->len; i > 0; i--) {
        refused +=
            now_ms - g_array_index(this->refusals, int64_t, i - 1) < 1000;
    }
    this->most_refusals = MAX(this->most_refusals, refused);
}

static void
try_to_send(struct fixture *this, uint32_t number, int64_t now_ms)
{
    struct instance *instance = &this->instances[number];
    bool is_fresh = now_ms - instance->reported_ms <= MP_ROOM_REPORT_MAX_MS;
    const struct MpRoomQuery query = {
        .slots = this->slots,
        .running = instance->running,
        .reported = is_fresh ? instance->reported + instance->sent_since : -1,
        .rank = number,
        .instances = this->count,
        .wall_ms = now_ms};
    if (!MpTargetRoom_MaySend(&instance->room, &query)) {
        return;
    }
    if (this->runs->len >= this->slots) {
        refuse(this, instance, now_ms);
        return;
    }
    struct run run = {.instance = number, .end_ms = now_ms + WORK_MS};
    g_array_append_val(this->runs, run);
    instance->running++;
    instance->sent_since++;
}

static void
end_runs(struct fixture *this, int64_t now_ms)
{
    while (this->runs->len > 0 &&
           g_array_index(this->runs, struct run, 0).end_ms <= now_ms) {
        struct instance *instance =
            &this->instances[g_array_index(this->runs, struct run, 0)
                                 .instance];
        g_array_remove_index(this->runs, 0);
        instance->running--;
        instance->reported = this->runs->len;
        instance->reported_ms = now_ms;
        instance->sent_since = 0;
        this->served += now_ms >= SETTLE_MS;
    }
}

/* Plays instances of which the first "busy" have always something to send;
 * returns the part of the slots that was used, in thousandths. */
static int64_t
play(struct fixture *this, uint32_t count, uint32_t busy, int64_t slots,
     int64_t refusals_max)
{
    GRand *random = g_rand_new_with_seed(count * 1000 + busy);
    memset(this, 0, sizeof(*this));
    this->count = count;
    this->slots = slots;
    this->runs = g_array_new(false, false, sizeof(struct run));
    this->refusals = g_array_new(false, false, sizeof(int64_t));
    for (uint32_t i = 0; i < count; i++) {
        this->instances[i].reported_ms = -RUN_MS;
        MpTargetRoom_Note(&this->instances[i].room, refusals_max, 1);
    }
    for (int64_t now_ms = 0; now_ms < RUN_MS; now_ms += TICK_MS) {
        end_runs(this, now_ms);
        for (uint32_t i = 0; i < busy; i++) {
            try_to_send(this,
                        (uint32_t)g_rand_int_range(random, 0, (gint32)busy),
                        now_ms);
        }
    }
    g_array_unref(this->runs);
    g_array_unref(this->refusals);
    g_rand_free(random);
    return this->served * WORK_MS * 1000 / (slots * (RUN_MS - SETTLE_MS));
}

static void
test_all_instances_busy(void)
{
    static const uint32_t counts[] = {1, 3, 10, 64, 300};
    static const int64_t refusals[] = {1, 2, 8};
    struct fixture *fixture = g_new(struct fixture, 1);
    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
        for (size_t k = 0; k < G_N_ELEMENTS(refusals); k++) {
            int64_t used = play(fixture, counts[i], counts[i],
                                counts[i] > 10 ? 64 : 8, refusals[k]);
            g_assert_cmpint(used, >=, 900);
            g_assert_cmpint(fixture->most_refusals, <=, refusals[k]);
        }
    }
    g_free(fixture);
}

/* Half of the instances have nothing to send: the others use their shares, and
 * what they take beyond brings no refusals above what the target bears. */
static void
test_some_instances_idle(void)
{
    struct fixture *fixture = g_new(struct fixture, 1);
    for (int64_t refusals = 1; refusals <= 8; refusals *= 2) {
        int64_t used = play(fixture, 10, 5, 64, refusals);
        g_assert_cmpint(fixture->most_refusals, <=, refusals);
        g_assert_cmpint(used, >=, 480);
    }
    g_free(fixture);
}

static void
test_old_answers_change_nothing(void)
{
    struct MpTargetRoom room = {.word = {.refusals_max = 0}};
    g_assert_true(MpTargetRoom_Note(&room, 2, 100));
    g_assert_false(MpTargetRoom_Note(&room, 0, 99));
    g_assert_cmpint(room.word.refusals_max, ==, 2);
    g_assert_false(MpTargetRoom_Note(&room, 2, 120));
    g_assert_true(MpTargetRoom_Note(&room, 0, 121));
}

static void
test_values(void)
{
    static const char *const invalid[] = {
        "",   "0",       "-1",  "+2",  "2.5",        " 2",
        "2 ", "1000001", "two", "0x2", "99999999999"};
    int64_t number = -7;
    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        g_assert_false(
            MpTargetRoom_Parse(invalid[i], strlen(invalid[i]), &number));
    }
    g_assert_cmpint(number, ==, -7);
    g_assert_true(MpTargetRoom_Parse("2", 1, &number));
    g_assert_cmpint(number, ==, 2);
    g_assert_true(MpTargetRoom_Parse("1000000", 7, &number));
    g_assert_cmpint(number, ==, MP_ROOM_REFUSALS_MAX);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/room/all instances busy", test_all_instances_busy);
    g_test_add_func("/room/some instances idle", test_some_instances_idle);
    g_test_add_func("/room/old answers change nothing",
                    test_old_answers_change_nothing);
    g_test_add_func("/room/values", test_values);
    return g_test_run();
}
