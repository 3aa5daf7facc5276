#include "gen/wire.h"
#include "state/Error.h"
#include "state/Machine.h"
#include "state/Versions.h"

#include <glib.h>
#include <string.h>

/* Which version the quorum names for a stream that a caller takes up. */

#define POOL "p"
/* How long the streams can last, ms. */
#define STREAM_MS 15000
/* When the pool gets its second version, ms. */
#define CHANGED_MS 1000
/* Time after which no stream of before a change can be taken up, ms. */
#define OVER_MS (MP_TAKE_UP_MAX_MS + STREAM_MS + 1)

static void
set_versions(struct MpVersions *versions, const char *names, int64_t now_ms)
{
    char **parts = g_strsplit(names, " ", 0);
    guint count = g_strv_length(parts);
    struct mp_version_name *list = g_new(struct mp_version_name, count);
    for (guint i = 0; i < count; i++) {
        list[i].name = parts[i];
    }
    struct mp_pool_versions pool = {
        .pool = (char *)POOL, .list = {.list_val = list, .list_len = count}};
    MpVersions_Expire(versions, now_ms);
    MpVersions_SetPool(versions, &pool, now_ms);
    g_free(list);
    g_strfreev(parts);
}

static void
set_id(char *id, uint32_t number)
{
    memset(id, 0, MP_HASH_BYTES);
    memcpy(id, &number, sizeof(number));
}

static void
add_stream(struct MpVersions *versions, uint32_t number, const char *version,
           int64_t now_ms)
{
    struct mp_stream_begun begun = {.software = (char *)version};
    struct mp_streams streams = {.list = {.list_val = &begun, .list_len = 1}};
    set_id(begun.id, number);
    MpVersions_AddStreams(versions, &streams, STREAM_MS, now_ms);
}

static const char *
find(const struct MpVersions *versions, uint32_t number, int64_t now_ms)
{
    char id[MP_HASH_BYTES];
    set_id(id, number);
    const char *version =
        MpVersions_FindStream(versions, POOL, id, STREAM_MS, now_ms);
    return version ? version : "-";
}

static void
init_two_versions(struct MpVersions *versions)
{
    MpVersions_Init(versions);
    set_versions(versions, "v1", 0);
    set_versions(versions, "v1 v2", CHANGED_MS);
}

/* A stream without a record began at the only version that there was. */
static void
test_second_version(void)
{
    struct MpVersions versions;
    init_two_versions(&versions);
    add_stream(&versions, 2, "v2", CHANGED_MS);
    g_assert_cmpstr(find(&versions, 1, CHANGED_MS), ==, "v1");
    g_assert_cmpstr(find(&versions, 1, CHANGED_MS + OVER_MS), ==, "v1");
    g_assert_cmpstr(find(&versions, 2, CHANGED_MS), ==, "v2");
    MpVersions_Done(&versions);
}

/* A caller that does not name its stream may have one of either version. */
static void
test_unnamed(void)
{
    struct MpVersions versions;
    init_two_versions(&versions);
    g_assert_cmpstr(find(&versions, 0, CHANGED_MS), ==, "-");
    set_versions(&versions, "v1", CHANGED_MS + 1);
    g_assert_cmpstr(find(&versions, 0, CHANGED_MS + OVER_MS), ==, "-");
    g_assert_cmpstr(find(&versions, 0, CHANGED_MS + 1 + OVER_MS), ==, "v1");
    MpVersions_Done(&versions);
}

/* A second version that goes and comes back takes nothing from the first. */
static void
test_second_version_back(void)
{
    struct MpVersions versions;
    init_two_versions(&versions);
    add_stream(&versions, 2, "v2", CHANGED_MS);
    for (int64_t at_ms = 2000; at_ms < 8000; at_ms += 1000) {
        set_versions(&versions, at_ms % 2000 ? "v1 v2 v3" : "v1", at_ms);
        g_assert_cmpstr(find(&versions, 1, at_ms), ==, "v1");
        g_assert_cmpstr(find(&versions, 2, at_ms), ==, "v2");
    }
    MpVersions_Done(&versions);
}

/* A base that is away for a moment stays the base; else the version that took
 * its place becomes it, once no stream of before can be taken up. */
static void
test_base_away(void)
{
    struct MpVersions versions;
    init_two_versions(&versions);
    set_versions(&versions, "v2", 2000);
    set_versions(&versions, "v1 v2", 2000 + MP_BASE_ABSENT_MS);
    g_assert_cmpstr(find(&versions, 1, 10000), ==, "v1");
    set_versions(&versions, "v2", 10000);
    int64_t replaced_ms = 10000 + MP_BASE_ABSENT_MS + 1;
    MpVersions_Expire(&versions, replaced_ms);
    g_assert_cmpstr(find(&versions, 1, replaced_ms), ==, "-");
    g_assert_cmpstr(find(&versions, 1, replaced_ms + OVER_MS), ==, "v2");
    MpVersions_Done(&versions);
}

/* A router that missed the replacement begins streams at a former base without
 * a record. */
static void
test_former_base(void)
{
    struct MpVersions versions;
    init_two_versions(&versions);
    set_versions(&versions, "v2", 2000);
    int64_t late_ms = 2000 + MP_BASE_ABSENT_MS + 1;
    MpVersions_Expire(&versions, late_ms);
    late_ms += OVER_MS;
    set_versions(&versions, "v2 v3", late_ms);
    g_assert_cmpstr(find(&versions, 1, late_ms), ==, "v2");
    set_versions(&versions, "v1 v2 v3", late_ms);
    g_assert_cmpstr(find(&versions, 1, late_ms), ==, "-");
    set_versions(&versions, "v2 v3", late_ms);
    g_assert_cmpstr(find(&versions, 1, late_ms + OVER_MS), ==, "-");
    set_versions(&versions, "v3", late_ms);
    g_assert_cmpstr(find(&versions, 1, late_ms + 1), ==, "-");
    g_assert_cmpstr(find(&versions, 1, late_ms + OVER_MS), ==, "v3");
    MpVersions_Done(&versions);
}

/* With several versions from the start any of them may have begun a stream. */
static void
test_no_base(void)
{
    struct MpVersions versions;
    MpVersions_Init(&versions);
    set_versions(&versions, "v1 v2", 0);
    g_assert_cmpstr(find(&versions, 1, OVER_MS), ==, "-");
    MpVersions_Done(&versions);
}

/* A record lasts as long as its stream can be taken up. */
static void
test_record_lasts(void)
{
    struct MpVersions versions;
    init_two_versions(&versions);
    add_stream(&versions, 2, "v2", CHANGED_MS);
    MpVersions_Expire(&versions, CHANGED_MS + OVER_MS - 1);
    g_assert_cmpstr(find(&versions, 2, CHANGED_MS + OVER_MS - 1), ==, "v2");
    MpVersions_Expire(&versions, CHANGED_MS + OVER_MS);
    g_assert_cmpstr(find(&versions, 2, CHANGED_MS + OVER_MS), ==, "v1");
    MpVersions_Done(&versions);
}

/* When records are dropped for want of room, a stream without one may have
 * begun anywhere. */
static void
test_too_many_records(void)
{
    struct MpVersions versions;
    init_two_versions(&versions);
    for (uint32_t i = 0; i < MP_STREAMS_KEPT_MAX; i++) {
        add_stream(&versions, i + 1, "v2", CHANGED_MS);
    }
    uint32_t other = MP_STREAMS_KEPT_MAX + 2;
    g_assert_cmpstr(find(&versions, other, CHANGED_MS), ==, "v1");
    add_stream(&versions, MP_STREAMS_KEPT_MAX + 1, "v2", CHANGED_MS);
    g_assert_cmpstr(find(&versions, 1, CHANGED_MS), ==, "-");
    g_assert_cmpstr(find(&versions, other, CHANGED_MS), ==, "-");
    g_assert_cmpstr(find(&versions, other, CHANGED_MS + OVER_MS), ==, "v1");
    MpVersions_Done(&versions);
}

static void
save_and_load(struct MpMachine *machine)
{
    gsize size;
    GBytes *bytes = MpMachine_Save(machine);
    const void *data = g_bytes_get_data(bytes, &size);
    g_assert_cmpint(MpMachine_Load(machine, data, size), ==, MP_OK);
    g_bytes_unref(bytes);
}

/* A snapshot has the bases; where they are plain, one that earlier builds can
 * load. */
static void
test_snapshot(void)
{
    struct MpMachine machine;
    MpMachine_Init(&machine);
    set_versions(&machine.versions, "v1", 0);
    g_assert_null(MpVersions_SaveBases(&machine.versions));
    set_versions(&machine.versions, "v1 v2", CHANGED_MS);
    add_stream(&machine.versions, 2, "v2", CHANGED_MS);
    save_and_load(&machine);
    g_assert_cmpstr(find(&machine.versions, 1, CHANGED_MS), ==, "v1");
    g_assert_cmpstr(find(&machine.versions, 2, CHANGED_MS), ==, "v2");
    set_versions(&machine.versions, "v2", 2000);
    int64_t late_ms = 2000 + MP_BASE_ABSENT_MS + 1;
    save_and_load(&machine);
    MpVersions_Expire(&machine.versions, late_ms);
    save_and_load(&machine);
    late_ms += OVER_MS;
    g_assert_cmpstr(find(&machine.versions, 1, late_ms), ==, "v2");
    set_versions(&machine.versions, "v1 v2", late_ms);
    g_assert_cmpstr(find(&machine.versions, 1, late_ms), ==, "-");
    MpMachine_Done(&machine);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/versions/second", test_second_version);
    g_test_add_func("/versions/unnamed", test_unnamed);
    g_test_add_func("/versions/second-back", test_second_version_back);
    g_test_add_func("/versions/base-away", test_base_away);
    g_test_add_func("/versions/former-base", test_former_base);
    g_test_add_func("/versions/no-base", test_no_base);
    g_test_add_func("/versions/record-lasts", test_record_lasts);
    g_test_add_func("/versions/too-many-records", test_too_many_records);
    g_test_add_func("/versions/snapshot", test_snapshot);
    return g_test_run();
}
