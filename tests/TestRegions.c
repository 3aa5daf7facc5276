#include "coordination/Picker.h"
#include "coordination/Regions.h"
#include "coordination/Roster.h"
#include "coordination/TunnelPeers.h"
#include "state/Error.h"

#include "PlatformDialect.h"

#include <glib.h>
#include <string.h>

/* Requests whose path or workspace is allowed in some regions only reach no
 * target and no other instance elsewhere, whatever state the allowed targets
 * are in. */

static struct MpRegions regions;

static GPtrArray *
list_of(const char *a, const char *b)
{
    GPtrArray *list = g_ptr_array_new();
    const char *const names[] = {a, b};
    for (int i = 0; i < 2 && names[i]; i++) {
        g_ptr_array_add(list, (char *)names[i]);
    }
    return list;
}

/* Zones a and b are in north, c in south; the region of d is not known. */
static void
set_up_regions(void)
{
    GHashTable *zones = g_hash_table_new(g_str_hash, g_str_equal);
    g_hash_table_insert(zones, "a", "north");
    g_hash_table_insert(zones, "b", "north");
    g_hash_table_insert(zones, "c", "south");
    MpRegions_Init(&regions, zones, "own", "west");
    g_hash_table_unref(zones);
}

static void
test_table(void)
{
    set_up_regions();
    g_assert_cmpstr(MpRegions_Find(&regions, "a"), ==, "north");
    g_assert_cmpstr(MpRegions_Find(&regions, "own"), ==, "west");
    g_assert_null(MpRegions_Find(&regions, "d"));
    g_assert_null(MpRegions_Find(&regions, NULL));
    MpRegions_Done(&regions);
    MpRegions_Init(&regions, NULL, "own", NULL);
    g_assert_null(MpRegions_Find(&regions, "own"));
    MpRegions_Done(&regions);
}

static void
test_rule(void)
{
    GPtrArray *none = list_of(NULL, NULL);
    GPtrArray *north = list_of("north", NULL);
    GPtrArray *both = list_of("south", "north");
    GPtrArray *west = list_of("west", NULL);
    set_up_regions();
    struct MpRegionRule rule = {.regions = &regions};
    g_assert_true(MpRegionRule_Allows(NULL, "d"));
    g_assert_true(MpRegionRule_Allows(&rule, "d"));
    rule.by_path = none;
    g_assert_false(MpRegionRule_IsStrict(&rule));
    g_assert_true(MpRegionRule_Allows(&rule, "d"));
    rule.by_workspace = north;
    g_assert_true(MpRegionRule_IsStrict(&rule));
    g_assert_true(MpRegionRule_Allows(&rule, "a"));
    g_assert_false(MpRegionRule_Allows(&rule, "c"));
    g_assert_false(MpRegionRule_Allows(&rule, "d"));
    rule.by_path = both;
    g_assert_true(MpRegionRule_Allows(&rule, "b"));
    g_assert_false(MpRegionRule_Allows(&rule, "c"));
    rule.by_path = west;
    g_assert_false(MpRegionRule_Allows(&rule, "a"));
    g_assert_false(MpRegionRule_Allows(&rule, "own"));
    MpRegions_Done(&regions);
    g_ptr_array_unref(none);
    g_ptr_array_unref(north);
    g_ptr_array_unref(both);
    g_ptr_array_unref(west);
}

/* ---- targets of pools ---- */

static void
ignore_dropped(void *owner, struct MpPoolTarget *target)
{
    (void)owner;
    (void)target;
}

/* One target in each of the zones a, c and d. */
static void
set_up_roster(struct MpRoster *roster)
{
    static const char *const zones[] = {"a", "c", "d"};
    GPtrArray *list = g_ptr_array_new_with_free_func(MpListedTarget_Delete);
    MpRoster_Init(roster, "c", ignore_dropped, NULL);
    for (int i = 0; i < 3; i++) {
        struct MpListedTarget *entry = g_new0(struct MpListedTarget, 1);
        *entry = (struct MpListedTarget){
            .incarnation = g_strdup_printf("t-%s", zones[i]),
            .pool = g_strdup("p"),
            .address = g_strdup_printf("10.0.0.%d:80", i),
            .zone = g_strdup(zones[i]),
            .version = g_strdup("1"),
            .slots = 4};
        g_ptr_array_add(list, entry);
    }
    MpRoster_SetList(roster, list, 1000);
    g_ptr_array_unref(list);
}

enum trouble {
    TROUBLE_NONE,
    TROUBLE_TRIED,
    TROUBLE_LEAVING,
    TROUBLE_EJECTED,
    TROUBLE_PAUSED,
    TROUBLE_LIMITED,
    TROUBLE_FULL,
    TROUBLE_COUNT
};

/* Guards against branches of the choice that forget the rule when the allowed
 * target can't take the request; the others are ejected at times, so that the
 * last resort is reached, or hold the permit. */
static void
test_targets(void)
{
    GPtrArray *north = list_of("north", NULL);
    const struct MpRequestMeta meta = {.prompt_tokens = 10};
    set_up_regions();
    const struct MpRegionRule rule = {.regions = &regions, .by_path = north};
    for (int i = 0; i < TROUBLE_COUNT * 8; i++) {
        struct MpRoster roster;
        struct MpPicked picked;
        GPtrArray *tried = g_ptr_array_new();
        set_up_roster(&roster);
        struct MpPoolTarget *allowed = MpRoster_Find(&roster, "t-a");
        struct MpPoolTarget *other = MpRoster_Find(&roster, "t-c");
        struct MpPoolQuery query = {
            .pool = "p",
            .meta = &meta,
            .is_engine = true,
            .avoid = tried,
            .regions = &rule,
            .instances = 1,
            .permitted = i & 1 ? "t-c" : NULL,
            .cold = {.is_set = i & 2, .rate_mrps = 1000, .most = 5}};
        other->cold.list_until_ms = 5000;
        switch (i / 8) {
        case TROUBLE_TRIED:
            g_ptr_array_add(tried, allowed);
            break;
        case TROUBLE_LEAVING:
            allowed->is_leaving = true;
            break;
        case TROUBLE_EJECTED:
            allowed->failures = 1;
            allowed->ejected_until_ms = 9000;
            break;
        case TROUBLE_PAUSED:
            allowed->pause.until_ms = 9000;
            break;
        case TROUBLE_LIMITED:
            MpTargetLimit_Note(&allowed->limit, 1000, 1500, 1600);
            allowed->permit_ms = 9000;
            break;
        case TROUBLE_FULL:
            allowed->running = 4;
            break;
        default:
            break;
        }
        if (i & 4) {
            other->failures = 1;
            other->ejected_until_ms = 2500;
        }
        int code = MpRoster_Pick(&roster, &query, 2000, &picked);
        if (i / 8 == TROUBLE_NONE || i / 8 == TROUBLE_EJECTED) {
            g_assert_cmpint(code, ==, MP_OK);
        }
        if (i / 8 == TROUBLE_TRIED || i / 8 == TROUBLE_LEAVING) {
            g_assert_cmpint(code, ==, MP_ERROR_NO_TARGET);
        }
        g_assert_true(code != MP_OK || picked.target == allowed);
        struct MpPoolStatus status;
        MpRoster_GetPoolStatus(&roster, &query, 2000, &status);
        g_assert_cmpint(status.outside, ==, 2);
        MpRoster_Done(&roster);
        g_ptr_array_unref(tried);
    }
    MpRegions_Done(&regions);
    g_ptr_array_unref(north);
}

/* No target of the pool is in an allowed region. */
static void
test_none_allowed(void)
{
    GPtrArray *west = list_of("west", NULL);
    const struct MpRequestMeta meta = {.prompt_tokens = 10};
    struct MpRoster roster;
    struct MpPicked picked;
    set_up_regions();
    set_up_roster(&roster);
    const struct MpRegionRule rule = {.regions = &regions,
                                      .by_workspace = west};
    const struct MpPoolQuery query = {
        .pool = "p", .meta = &meta, .regions = &rule, .instances = 1};
    g_assert_cmpint(MpRoster_Pick(&roster, &query, 2000, &picked), ==,
                    MP_ERROR_NO_TARGET);
    MpRoster_Done(&roster);
    MpRegions_Done(&regions);
    g_ptr_array_unref(west);
}

/* ---- targets of the document ---- */

static void
test_document_targets(void)
{
    const char *text = "{\"targets\":{"
                       "\"t-a\":{\"address\":\"127.0.0.1:1\",\"zone\":\"a\"},"
                       "\"t-c\":{\"address\":\"127.0.0.1:2\",\"zone\":\"c\"}},"
                       "\"workspaces\":{}}";
    GPtrArray *findings = MpFindings_New();
    GPtrArray *names = list_of("t-a", "t-c");
    GPtrArray *south = list_of("south", NULL);
    struct MpPicker picker;
    int code;
    struct MpDocument *document =
        MpDocument_Parse(text, strlen(text), findings);
    g_assert_nonnull(document);
    set_up_regions();
    MpPicker_Init(&picker, "a", 1);
    MpPicker_SetDocument(&picker, document);
    const struct MpRegionRule rule = {.regions = &regions,
                                      .by_workspace = south};
    const struct MpPickQuery query = {.names = names, .regions = &rule};
    for (int i = 0; i < 20; i++) {
        struct MpTarget *target =
            MpPicker_Pick(&picker, &query, 1000 + i, &code);
        g_assert_nonnull(target);
        g_assert_cmpstr(target->zone, ==, "c");
    }
    struct MpTarget *target = MpPicker_Find(&picker, "t-c");
    for (int i = 0; i < 10; i++) {
        MpTarget_Start(target);
        MpTarget_Finish(&picker, target, MP_ATTEMPT_FAILED, 2000);
    }
    target = MpPicker_Pick(&picker, &query, 2001, &code);
    g_assert_true(!target || strcmp(target->zone, "c") == 0);
    MpPicker_Done(&picker);
    MpDocument_Unref(document);
    MpRegions_Done(&regions);
    g_ptr_array_unref(findings);
    g_ptr_array_unref(names);
    g_ptr_array_unref(south);
}

/* ---- other instances ---- */

/* Bodies are passed on by instances of allowed regions only, also by those of
 * which nothing but their address was known before. */
static void
test_peers(void)
{
    GPtrArray *north = list_of("north", NULL);
    GPtrArray *west = list_of("west", NULL);
    GPtrArray *avoid = g_ptr_array_new();
    struct MpTunnelPeers peers;
    set_up_regions();
    struct MpRegionRule rule = {.regions = &regions, .by_path = north};
    struct mp_lender list[] = {{.address = "10.0.0.1:1", .zone = "a"},
                               {.address = "10.0.0.2:1", .zone = "c"},
                               {.address = "10.0.0.3:1", .zone = "d"}};
    MpTunnelPeers_Init(&peers, NULL);
    MpTunnelPeers_SetList(&peers, list, 3);
    MpTunnelPeers_NoteResult(&peers, "10.0.0.2:1", MP_PEER_PASSED, 900);
    for (uint32_t i = 0; i < 100; i++) {
        const uint32_t random[2] = {i * 7, i * 13};
        g_assert_cmpstr(MpTunnelPeers_Pick(&peers, MP_CONN_FOR_REQUEST, &rule,
                                           avoid, random, 1000),
                        ==, "10.0.0.1:1");
        rule.by_workspace = west;
        g_assert_null(MpTunnelPeers_Pick(&peers, MP_CONN_FOR_REQUEST, &rule,
                                         avoid, random, 1000));
        rule.by_workspace = NULL;
    }
    /* Another instance has the address now. */
    list[0].zone = "c";
    MpTunnelPeers_SetList(&peers, list, 3);
    const uint32_t random[2] = {3, 5};
    g_assert_null(MpTunnelPeers_Pick(&peers, MP_CONN_FOR_REQUEST, &rule, avoid,
                                     random, 1000));
    g_assert_nonnull(MpTunnelPeers_Pick(&peers, MP_CONN_FOR_REQUEST, NULL,
                                        avoid, random, 1000));
    MpTunnelPeers_Done(&peers);
    MpRegions_Done(&regions);
    g_ptr_array_unref(north);
    g_ptr_array_unref(west);
    g_ptr_array_unref(avoid);
}

/* ---- the platform's document ---- */

static void
test_platform(void)
{
    const char *text =
        "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
        "\"path-prefix\":\"/\",\"service\":\"s\","
        "\"route-type\":\"idempotent\",\"timeout-ms\":1000,"
        "\"allowed-regions\":[\"north\",\"south\"]}],"
        "\"services\":[{\"name\":\"s\"}],\"tenants\":[{\"name\":\"t\","
        "\"api-keys\":[\"k\"],\"allowed-regions\":[\"north\"]},"
        "{\"name\":\"u\",\"api-keys\":[\"l\"]}]}";
    GPtrArray *findings = MpFindings_New();
    struct MpDocument *document =
        MpPlatform_ParseDocument(text, strlen(text), findings);
    g_assert_nonnull(document);
    const struct MpPathConf *path = g_hash_table_lookup(document->paths, "r");
    g_assert_cmpint(path->allowed_regions->len, ==, 2);
    const struct MpWorkspaceConf *workspace =
        g_hash_table_lookup(document->workspaces, "t");
    g_assert_cmpint(workspace->allowed_regions->len, ==, 1);
    g_assert_cmpstr(g_ptr_array_index(workspace->allowed_regions, 0), ==,
                    "north");
    workspace = g_hash_table_lookup(document->workspaces, "u");
    g_assert_cmpint(workspace->allowed_regions->len, ==, 0);
    MpDocument_Unref(document);
    const char *wrong = "{\"version\":1,\"routes\":[],\"services\":[],"
                        "\"tenants\":[{\"name\":\"t\",\"api-keys\":[\"k\"],"
                        "\"allowed-regions\":\"north\"}]}";
    g_assert_null(MpPlatform_ParseDocument(wrong, strlen(wrong), findings));
    g_ptr_array_unref(findings);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/regions/table", test_table);
    g_test_add_func("/regions/rule", test_rule);
    g_test_add_func("/regions/targets", test_targets);
    g_test_add_func("/regions/none allowed", test_none_allowed);
    g_test_add_func("/regions/document targets", test_document_targets);
    g_test_add_func("/regions/peers", test_peers);
    g_test_add_func("/regions/platform", test_platform);
    return g_test_run();
}
