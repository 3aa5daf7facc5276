/* Tests of drained zones: the replicated state, its snapshots, and the view
 * that an instance has of it. */

#include "coordination/DrainedZones.h"
#include "state/Codec.h"
#include "state/Error.h"
#include "state/Machine.h"

#include <string.h>

struct fixture {
    struct MpMachine machine;
    struct mp_result result;
    int64_t now_ms;
};

static int
order(struct fixture *this, const char *zone, bool is_drain, const char *id,
      int64_t base_version)
{
    struct mp_command command = {.at_ms = this->now_ms += 10,
                                 .body = {.kind = MP_CMD_ZONE_DRAIN}};
    command.body.mp_command_body_u.zone_drain =
        (struct mp_zone_drain){.submission = (char *)id,
                               .zone = (char *)zone,
                               .is_drain = is_drain,
                               .has_base = base_version >= 0,
                               .base_version = (uint64_t)base_version};
    return MpMachine_Apply(&this->machine, this->machine.applied + 1, &command,
                           &this->result);
}

static bool
is_drained(const struct fixture *this, const char *zone)
{
    const struct MpZone *found = MpZoneDrains_Find(&this->machine.zones, zone);
    return found && found->is_drained;
}

static void
set_up(struct fixture *this)
{
    *this = (struct fixture){.now_ms = 1000};
    MpMachine_Init(&this->machine);
}

/* Saves the state, and loads it into a new machine. */
static void
reload(struct fixture *this)
{
    gsize size;
    GBytes *bytes = MpMachine_Save(&this->machine);
    const void *data = g_bytes_get_data(bytes, &size);
    MpMachine_Done(&this->machine);
    MpMachine_Init(&this->machine);
    g_assert_cmpint(MpMachine_Load(&this->machine, data, size), ==, MP_OK);
    g_bytes_unref(bytes);
}

/* A repeat of a drain that arrives after the zone was restored must not drain
 * it again, also after a snapshot. */
static void
test_late_repeat(void)
{
    struct fixture f;
    set_up(&f);
    g_assert_cmpint(order(&f, "a", true, "1", -1), ==, MP_OK);
    g_assert_cmpuint(f.result.number, ==, 1);
    g_assert_true(is_drained(&f, "a"));
    g_assert_cmpint(order(&f, "a", false, "2", -1), ==, MP_OK);
    g_assert_cmpuint(f.result.number, ==, 2);
    g_assert_cmpint(order(&f, "a", true, "1", -1), ==, MP_OK);
    g_assert_cmpuint(f.result.number, ==, 1);
    g_assert_false(is_drained(&f, "a"));
    reload(&f);
    g_assert_cmpint(order(&f, "a", true, "1", -1), ==, MP_OK);
    g_assert_false(is_drained(&f, "a"));
    g_assert_cmpuint(f.machine.zones.version, ==, 2);
    MpMachine_Done(&f.machine);
}

/* The same order with another id, sent by another instance before, must not
 * follow a later order; neither when that one found nothing to change. */
static void
test_overtaken(void)
{
    struct fixture f;
    set_up(&f);
    g_assert_cmpint(order(&f, "a", true, "1", 0), ==, MP_OK);
    g_assert_cmpint(order(&f, "a", false, "2", 1), ==, MP_OK);
    g_assert_cmpint(order(&f, "a", true, "3", 0), ==, MP_ERROR_STALE);
    g_assert_cmpint(order(&f, "a", true, "4", 1), ==, MP_ERROR_STALE);
    g_assert_false(is_drained(&f, "a"));
    /* Orders for other zones overtake nothing. */
    g_assert_cmpint(order(&f, "b", true, "5", 0), ==, MP_OK);
    g_assert_cmpint(order(&f, "a", true, "6", 2), ==, MP_OK);
    g_assert_true(is_drained(&f, "a"));

    g_assert_cmpint(order(&f, "c", false, "7", 0), ==, MP_OK);
    g_assert_cmpint(order(&f, "c", true, "8", 0), ==, MP_ERROR_STALE);
    g_assert_false(is_drained(&f, "c"));
    reload(&f);
    g_assert_cmpint(order(&f, "c", true, "9", 0), ==, MP_ERROR_STALE);
    MpMachine_Done(&f.machine);
}

/* A drain that is ordered again is acknowledged and changes nothing but the
 * version. */
static void
test_ordered_again(void)
{
    struct fixture f;
    set_up(&f);
    order(&f, "a", true, "1", -1);
    int64_t changed_ms = MpZoneDrains_Find(&f.machine.zones, "a")->changed_ms;
    g_assert_cmpint(order(&f, "a", true, "2", 1), ==, MP_OK);
    g_assert_cmpuint(f.result.number, ==, 2);
    g_assert_true(is_drained(&f, "a"));
    const struct MpZone *zone = MpZoneDrains_Find(&f.machine.zones, "a");
    g_assert_cmpint(zone->changed_ms, ==, changed_ms);
    g_assert_cmpint(zone->restored_ms, ==, -1);
    MpMachine_Done(&f.machine);
}

static void
test_snapshot(void)
{
    struct fixture f;
    set_up(&f);
    order(&f, "b", true, "1", -1);
    order(&f, "a", true, "2", -1);
    order(&f, "b", false, "3", -1);
    int64_t restored_ms = f.now_ms;
    reload(&f);
    g_assert_cmpuint(f.machine.zones.version, ==, 3);
    g_assert_cmpuint(f.machine.zones.zones->len, ==, 2);
    g_assert_true(is_drained(&f, "a"));
    g_assert_false(is_drained(&f, "b"));
    const struct MpZone *zone = MpZoneDrains_Find(&f.machine.zones, "b");
    g_assert_cmpint(zone->restored_ms, ==, restored_ms);
    g_assert_cmpuint(zone->ordered_version, ==, 3);
    struct mp_zone *list = MpZoneDrains_List(&f.machine.zones, f.now_ms + 7);
    g_assert_cmpstr(list[0].name, ==, "a");
    g_assert_cmpint(list[0].restored_age_ms, ==, -1);
    g_assert_cmpint(list[1].restored_age_ms, ==, 7);
    g_free(list);
    MpMachine_Done(&f.machine);
}

/* Without zones the snapshot is one that the build before can read, which
 * refuses bytes behind the image; its snapshots are read too. */
static void
test_snapshot_of_build_before(void)
{
    struct fixture f;
    struct mp_machine_image image;
    gsize size;
    set_up(&f);
    GBytes *bytes = MpMachine_Save(&f.machine);
    const void *data = g_bytes_get_data(bytes, &size);
    g_assert_cmpint(MpCodec_Decode(MP_XDR(mp_machine_image), &image, data,
                                   size, sizeof(image)),
                    ==, MP_OK);
    GBytes *before = MpCodec_Encode(MP_XDR(mp_machine_image), &image);
    g_assert_true(g_bytes_equal(bytes, before));
    MpCodec_Free(MP_XDR(mp_machine_image), &image);

    order(&f, "a", true, "1", -1);
    data = g_bytes_get_data(before, &size);
    g_assert_cmpint(MpMachine_Load(&f.machine, data, size), ==, MP_OK);
    g_assert_cmpuint(f.machine.zones.version, ==, 0);
    g_assert_false(is_drained(&f, "a"));
    g_bytes_unref(before);
    g_bytes_unref(bytes);
    MpMachine_Done(&f.machine);
}

/* A snapshot that is cut must be refused and change nothing, and so must an
 * unknown part, whose state would be lost.  Cut right behind the image it is a
 * whole snapshot of the build before; frames and transfers of snapshots tell
 * its length. */
static void
test_broken_snapshot(void)
{
    struct fixture f;
    struct mp_machine_image image;
    gsize size;
    gsize used;
    set_up(&f);
    order(&f, "a", true, "1", -1);
    guint8 *data = g_bytes_unref_to_data(MpMachine_Save(&f.machine), &size);
    g_assert_cmpint(MpCodec_DecodePrefix(MP_XDR(mp_machine_image), &image,
                                         data, size, sizeof(image), &used),
                    ==, MP_OK);
    MpCodec_Free(MP_XDR(mp_machine_image), &image);
    g_assert_cmpuint(used, <, size);
    for (gsize cut = 0; cut < size; cut++) {
        if (cut != used) {
            g_assert_cmpint(MpMachine_Load(&f.machine, data, cut), ==,
                            MP_ERROR_CORRUPT);
            g_assert_true(is_drained(&f, "a"));
        }
    }
    data[used + 7] = 99; /* the kind of the first part */
    g_assert_cmpint(MpMachine_Load(&f.machine, data, size), ==,
                    MP_ERROR_CORRUPT);
    g_assert_true(is_drained(&f, "a"));
    g_free(data);
    MpMachine_Done(&f.machine);
}

/* Any number of names must not grow memory, and no drained zone is dropped. */
static void
test_bounds(void)
{
    struct fixture f;
    char name[16];
    char id[16];
    set_up(&f);
    g_assert_cmpint(order(&f, "", true, "x", -1), ==, MP_ERROR_INVALID);
    g_assert_cmpint(order(&f, "a b", true, "x", -1), ==, MP_ERROR_INVALID);
    g_assert_cmpint(order(&f, "first", false, "0", 0), ==, MP_OK);
    for (int i = 0; i < MP_ZONES_MAX; i++) {
        g_snprintf(name, sizeof(name), "z%d", i);
        g_snprintf(id, sizeof(id), "id%d", i);
        g_assert_cmpint(order(&f, name, true, id, -1), ==, MP_OK);
        g_assert_cmpuint(f.machine.zones.zones->len, <=, MP_ZONES_MAX);
    }
    g_assert_null(MpZoneDrains_Find(&f.machine.zones, "first"));
    uint64_t version = f.machine.zones.version;
    g_assert_cmpint(order(&f, "more", true, "m1", -1), ==, MP_ERROR_LIMIT);
    g_assert_cmpuint(f.machine.zones.version, ==, version);
    reload(&f);
    g_assert_cmpuint(f.machine.zones.zones->len, ==, MP_ZONES_MAX);
    g_assert_cmpint(order(&f, "z7", false, "r", -1), ==, MP_OK);
    /* A zone that was dropped still tells what was overtaken. */
    g_assert_cmpint(order(&f, "first", true, "m2", 0), ==, MP_ERROR_STALE);
    g_assert_cmpint(order(&f, "more", true, "m3", (int64_t)version), ==,
                    MP_OK);
    g_assert_cmpuint(f.machine.zones.zones->len, ==, MP_ZONES_MAX);
    g_assert_null(MpZoneDrains_Find(&f.machine.zones, "z7"));
    MpMachine_Done(&f.machine);
}

/* ---- the view of an instance ---- */

static int changes;

static void
count_change(const struct mp_zone *zone)
{
    (void)zone;
    changes++;
}

/* An older state, as a leader of an earlier build tells it, must not bring a
 * drained zone back. */
static void
test_view_keeps_highest(void)
{
    struct MpDrainedZones view;
    const struct mp_zone drained = {
        .name = (char *)"a", .is_drained = true, .restored_age_ms = -1};
    const struct mp_zone restored = {.name = (char *)"a",
                                     .restored_age_ms = 300};
    MpDrainedZones_Init(&view);
    changes = 0;
    g_assert_false(view.is_known);
    g_assert_false(
        MpDrainedZones_Apply(&view, 0, NULL, 0, 1000, count_change));
    g_assert_true(view.is_known);
    g_assert_true(
        MpDrainedZones_Apply(&view, 5, &drained, 1, 1000, count_change));
    g_assert_true(MpDrainedZones_Contains(&view, "a"));
    g_assert_false(MpDrainedZones_Contains(&view, "b"));
    g_assert_false(MpDrainedZones_Contains(&view, NULL));
    g_assert_cmpint(MpDrainedZones_RestoredMs(&view, "a"), ==, -1);
    g_assert_cmpint(changes, ==, 1);
    g_assert_false(
        MpDrainedZones_Apply(&view, 0, NULL, 0, 1000, count_change));
    g_assert_false(
        MpDrainedZones_Apply(&view, 4, &restored, 1, 1000, count_change));
    g_assert_true(MpDrainedZones_Contains(&view, "a"));
    g_assert_true(
        MpDrainedZones_Apply(&view, 6, &drained, 1, 1000, count_change));
    g_assert_cmpint(changes, ==, 1);
    g_assert_true(
        MpDrainedZones_Apply(&view, 7, &restored, 1, 2000, count_change));
    g_assert_false(MpDrainedZones_Contains(&view, "a"));
    g_assert_cmpint(MpDrainedZones_RestoredMs(&view, "a"), ==, 1700);
    g_assert_cmpint(changes, ==, 2);
    MpDrainedZones_Done(&view);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/zones/a late repeat has no effect", test_late_repeat);
    g_test_add_func("/zones/an overtaken order has no effect", test_overtaken);
    g_test_add_func("/zones/an order is given again", test_ordered_again);
    g_test_add_func("/zones/snapshot", test_snapshot);
    g_test_add_func("/zones/snapshot of the build before",
                    test_snapshot_of_build_before);
    g_test_add_func("/zones/broken snapshot", test_broken_snapshot);
    g_test_add_func("/zones/bounds", test_bounds);
    g_test_add_func("/zones/a view keeps the highest version",
                    test_view_keeps_highest);
    return g_test_run();
}
