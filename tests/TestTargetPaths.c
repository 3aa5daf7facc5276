#include "coordination/TargetPaths.h"
#include "coordination/TunnelPeers.h"
#include "protocol/TunnelFrame.h"

#include <string.h>

/* Which paths to targets are lost, by evidence of several; which instance is
 * asked to pass a connection on; and the frames in which it does. */

#define EXPECTED_MS 100

static guint
count_checks(struct MpTargetPaths *paths, int64_t now_ms)
{
    GPtrArray *due = g_ptr_array_new();
    MpTargetPaths_ListChecks(paths, now_ms, due);
    guint count = due->len;
    g_ptr_array_unref(due);
    return count;
}

static void
end_checks(struct MpTargetPaths *paths, bool is_answered, int64_t now_ms)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, paths->paths);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct MpTargetPath *path = value;
        if (path->is_checking) {
            MpTargetPaths_EndCheck(paths, path->address, is_answered,
                                   MP_PATH_SILENT, now_ms);
        }
    }
}

static void
test_one_target_down_loses_one_path(void)
{
    struct MpTargetPaths paths;
    MpTargetPaths_Init(&paths);
    MpTargetPaths_NoteAnswer(&paths, "a", 100);
    MpTargetPaths_NoteAnswer(&paths, "b", 100);
    MpTargetPaths_NoteFailure(&paths, "a", MP_PATH_REFUSED, 200, 200);
    MpTargetPaths_NoteFailure(&paths, "a", MP_PATH_REFUSED, 210, 210);
    g_assert_true(MpTargetPaths_NeedsTunnel(&paths, "a", 220));
    g_assert_false(MpTargetPaths_NeedsTunnel(&paths, "b", 220));
    /* Others cannot reach it either: it is asked directly again. */
    MpTargetPaths_NoteDown(&paths, "a", 230);
    g_assert_false(MpTargetPaths_NeedsTunnel(&paths, "a", 240));
    g_assert_true(
        MpTargetPaths_NeedsTunnel(&paths, "a", 230 + MP_PATH_TARGET_DOWN_MS));
    MpTargetPaths_Done(&paths);
}

static void
test_two_failures_without_data_lose_all_paths(void)
{
    struct MpTargetPaths paths;
    MpTargetPaths_Init(&paths);
    MpTargetPaths_NoteAnswer(&paths, "c", 100);
    g_assert_false(
        MpTargetPaths_NoteFailure(&paths, "a", MP_PATH_REFUSED, 200, 200));
    g_assert_false(
        MpTargetPaths_NoteFailure(&paths, "b", MP_PATH_REFUSED, 201, 201));
    /* Two targets may be down: another instance has to reach one of them. */
    g_assert_true(MpTargetPaths_IsInDoubt(&paths));
    g_assert_false(MpTargetPaths_NeedsTunnel(&paths, "c", 202));
    g_assert_false(MpTargetPaths_NoteReached(&paths, "c", 202));
    g_assert_true(MpTargetPaths_NoteReached(&paths, "b", 202));
    g_assert_true(MpTargetPaths_NeedsTunnel(&paths, "c", 202));
    /* Data of any target shows that the paths to all are not lost. */
    g_assert_true(MpTargetPaths_NoteAnswer(&paths, "c", 300));
    g_assert_false(MpTargetPaths_NeedsTunnel(&paths, "c", 301));
    g_assert_true(MpTargetPaths_NeedsTunnel(&paths, "a", 301));
    MpTargetPaths_Done(&paths);
}

static void
test_data_during_failures_keeps_other_paths(void)
{
    struct MpTargetPaths paths;
    MpTargetPaths_Init(&paths);
    MpTargetPaths_NoteAnswer(&paths, "c", 350);
    MpTargetPaths_NoteFailure(&paths, "a", MP_PATH_SILENT, 200, 500);
    MpTargetPaths_NoteFailure(&paths, "b", MP_PATH_SILENT, 210, 510);
    g_assert_false(MpTargetPaths_NeedsTunnel(&paths, "c", 520));
    MpTargetPaths_Done(&paths);
}

static void
test_silence_of_all_targets_is_checked(void)
{
    struct MpTargetPaths paths;
    struct MpPathWait waits[2] = {{.path = NULL}, {.path = NULL}};
    MpTargetPaths_Init(&paths);
    MpTargetPaths_NoteAnswer(&paths, "a", 1);
    MpTargetPaths_StartWait(&paths, &waits[0], "a", false, 0, 1000);
    MpTargetPaths_StartWait(&paths, &waits[1], "b", false, 0, 1010);
    g_assert_cmpuint(count_checks(&paths, 1100), ==, 0);
    g_assert_cmpuint(count_checks(&paths, 1010 + MP_PATH_SILENCE_ALL_MS), ==,
                     2);
    end_checks(&paths, false, 1500);
    g_assert_true(MpTargetPaths_NoteReached(&paths, "b", 1500));
    g_assert_false(MpTargetPaths_MayKeep(&paths, "a"));
    g_assert_true(MpTargetPaths_IsStuck(&paths, &waits[0], 1500));
    MpTargetPaths_NoteData(&paths, &waits[0], 1600);
    g_assert_false(paths.is_lost);
    g_assert_true(MpTargetPaths_MayKeep(&paths, "a"));
    MpPathWait_End(&waits[0]);
    MpPathWait_End(&waits[1]);
    MpTargetPaths_Done(&paths);
}

/* A sound target that stands still for a second is not lost, and is not
 * checked again and again. */
static void
test_pause_of_a_target_loses_no_path(void)
{
    struct MpTargetPaths paths;
    struct MpPathWait wait = {.path = NULL};
    guint checks = 0;
    MpTargetPaths_Init(&paths);
    MpTargetPaths_StartWait(&paths, &wait, "a", false, EXPECTED_MS, 1000);
    for (int64_t now_ms = 1000; now_ms < 9000; now_ms += 50) {
        MpTargetPaths_NoteAnswer(&paths, "b", now_ms);
        checks += count_checks(&paths, now_ms);
        end_checks(&paths, true, now_ms);
    }
    g_assert_cmpuint(checks, >=, 1);
    g_assert_cmpuint(checks, <=, 4);
    g_assert_false(MpTargetPaths_NeedsTunnel(&paths, "a", 9000));
    MpPathWait_End(&wait);
    MpTargetPaths_Done(&paths);
}

static void
test_expected_waits_are_not_checked(void)
{
    struct MpTargetPaths paths;
    struct MpPathWait waits[2] = {{.path = NULL}, {.path = NULL}};
    MpTargetPaths_Init(&paths);
    MpTargetPaths_StartWait(&paths, &waits[0], "a", false, 2000, 1000);
    MpTargetPaths_StartWait(&paths, &waits[1], "b", false, 2000, 1000);
    g_assert_cmpuint(count_checks(&paths, 4900), ==, 0);
    MpPathWait_End(&waits[0]);
    MpPathWait_End(&waits[1]);
    MpTargetPaths_Done(&paths);
}

static void
test_connections_that_go_on_prove_no_new_ones(void)
{
    struct MpTargetPaths paths;
    struct MpPathWait kept = {.path = NULL};
    MpTargetPaths_Init(&paths);
    MpTargetPaths_StartWait(&paths, &kept, "a", false, 0, 1000);
    MpTargetPaths_NoteFailure(&paths, "a", MP_PATH_REFUSED, 1001, 1001);
    MpTargetPaths_NoteData(&paths, &kept, 1002);
    g_assert_true(MpTargetPaths_NeedsTunnel(&paths, "a", 1003));
    g_assert_true(MpTargetPaths_MayKeep(&paths, "a"));
    MpPathWait_End(&kept);
    MpTargetPaths_StartWait(&paths, &kept, "a", true, 0, 1004);
    MpTargetPaths_NoteData(&paths, &kept, 1005);
    g_assert_false(MpTargetPaths_NeedsTunnel(&paths, "a", 1006));
    MpPathWait_End(&kept);
    MpTargetPaths_Done(&paths);
}

/* While all paths are lost, checks are few; they get no rarer than what brings
 * requests back within two seconds. */
static void
test_checks_of_lost_paths(void)
{
    struct MpTargetPaths paths;
    char names[20][8];
    guint checks = 0;
    int64_t last_ms = 0;
    MpTargetPaths_Init(&paths);
    for (int i = 0; i < 20; i++) {
        g_snprintf(names[i], sizeof(names[i]), "t%d", i);
        MpTargetPaths_NoteFailure(&paths, names[i], MP_PATH_SILENT, 100 + i,
                                  100 + i);
    }
    g_assert_true(MpTargetPaths_NoteReached(&paths, names[7], 200));
    for (int64_t now_ms = 1000; now_ms < 11000; now_ms += 50) {
        guint due = count_checks(&paths, now_ms);
        checks += due;
        if (due > 0) {
            g_assert_cmpint(now_ms - last_ms, <=, 2000);
            last_ms = now_ms;
        }
        end_checks(&paths, false, now_ms);
    }
    g_assert_cmpuint(checks, <=, 10000 / MP_PATH_CHECK_MIN_MS + 1);
    g_assert_cmpuint(checks, >=, 10);
    /* The first answer brings the target back, the others as they are used. */
    count_checks(&paths, 11000);
    end_checks(&paths, true, 11000);
    g_assert_false(paths.is_lost);
    g_assert_cmpuint(count_checks(&paths, 12100), ==, 0);
    int lost = 0;
    for (int i = 0; i < 20; i++) {
        lost += MpTargetPaths_NeedsTunnel(&paths, names[i], 12100);
    }
    g_assert_cmpint(lost, ==, 19);
    g_assert_cmpuint(count_checks(&paths, 12150), ==, MP_PATH_CHECKS_MAX);
    MpTargetPaths_Done(&paths);
}

static void
test_broken_connection_is_checked(void)
{
    struct MpTargetPaths paths;
    MpTargetPaths_Init(&paths);
    MpTargetPaths_NoteAnswer(&paths, "a", 1000);
    MpTargetPaths_NoteBroken(&paths, "a", 1001);
    g_assert_false(MpTargetPaths_NeedsTunnel(&paths, "a", 1002));
    g_assert_cmpuint(count_checks(&paths, 1050), ==, 1);
    end_checks(&paths, true, 1060);
    g_assert_cmpuint(count_checks(&paths, 1100), ==, 0);
    MpTargetPaths_Done(&paths);
}

/* Without another instance that reaches the target, the cause may be the
 * target, or the link of this instance. */
static void
test_paths_that_are_not_proved_lost_keep_requests(void)
{
    struct MpTargetPaths paths;
    struct MpPathWait wait = {.path = NULL};
    MpTargetPaths_Init(&paths);
    MpTargetPaths_StartWait(&paths, &wait, "a", false, 0, 1000);
    MpTargetPaths_NoteFailure(&paths, "a", MP_PATH_SILENT, 1100, 1400);
    MpTargetPaths_NoteFailure(&paths, "b", MP_PATH_SILENT, 1100, 1400);
    g_assert_true(MpTargetPaths_NeedsTunnel(&paths, "a", 1500));
    g_assert_false(MpTargetPaths_IsStuck(&paths, &wait, 1500));
    g_assert_true(MpTargetPaths_MayKeep(&paths, "a"));
    MpTargetPaths_NoteReached(&paths, "a", 1600);
    g_assert_true(MpTargetPaths_IsStuck(&paths, &wait, 1600));
    g_assert_false(MpTargetPaths_MayKeep(&paths, "a"));
    MpPathWait_End(&wait);
    MpTargetPaths_Done(&paths);
}

/* Live connections to several targets that are reset at once say nothing about
 * a target; those to a single one, or with data between, do. */
static void
test_resets_of_several_targets_cast_doubt(void)
{
    struct MpTargetPaths paths;
    MpTargetPaths_Init(&paths);
    MpTargetPaths_NoteAnswer(&paths, "c", 100);
    MpTargetPaths_NoteReset(&paths, "a", 200);
    MpTargetPaths_NoteReset(&paths, "a", 200);
    g_assert_false(MpTargetPaths_IsInDoubt(&paths));
    MpTargetPaths_NoteAnswer(&paths, "c", 250);
    MpTargetPaths_NoteReset(&paths, "b", 300);
    g_assert_false(MpTargetPaths_IsInDoubt(&paths));
    MpTargetPaths_NoteReset(&paths, "a", 300);
    g_assert_true(MpTargetPaths_IsInDoubt(&paths));
    MpTargetPaths_Done(&paths);
}

/* ---- peers ---- */

static struct mp_lender listed_peers[4] = {
    {.address = (char *)"p0", .zone = (char *)"a"},
    {.address = (char *)"p1", .zone = (char *)"a", .lends = true},
    {.address = (char *)"p2", .zone = (char *)"b"},
    {.address = (char *)"p3", .zone = (char *)"a"}};

/* Starts with the peers of an instance p0; no peer is avoided. */
static GPtrArray *
init_peers(struct MpTunnelPeers *peers, uint32_t count)
{
    MpTunnelPeers_Init(peers, "p0");
    MpTunnelPeers_SetList(peers, listed_peers, count);
    return g_ptr_array_new();
}

static void
done_peers(struct MpTunnelPeers *peers, GPtrArray *avoid)
{
    g_ptr_array_unref(avoid);
    MpTunnelPeers_Done(peers);
}

static const char *
pick_for_request(const struct MpTunnelPeers *peers, const GPtrArray *avoid)
{
    const uint32_t random[2] = {1, 1};
    return MpTunnelPeers_Pick(peers, MP_CONN_FOR_REQUEST, NULL, avoid, random,
                              1000);
}

static const char *
pick_for_probe(const struct MpTunnelPeers *peers, const GPtrArray *avoid)
{
    const uint32_t random[2] = {1, 1};
    return MpTunnelPeers_Pick(peers, MP_CONN_FOR_PROBE, NULL, avoid, random,
                              1000);
}

static void
test_peers_that_fail_are_left_alone(void)
{
    struct MpTunnelPeers peers;
    GPtrArray *avoid = init_peers(&peers, 3);
    for (uint32_t i = 0; i < 100; i++) {
        const uint32_t random[2] = {i, i / 2};
        const char *peer = MpTunnelPeers_Pick(&peers, MP_CONN_FOR_REQUEST,
                                              NULL, avoid, random, 1000);
        g_assert_cmpstr(peer, !=, "p0");
    }
    const uint32_t random[2] = {0, 1};
    MpTunnelPeers_NoteResult(&peers, "p1", MP_PEER_FAILED, 1000);
    g_assert_cmpstr(MpTunnelPeers_Pick(&peers, MP_CONN_FOR_REQUEST, NULL,
                                       avoid, random, 1001),
                    ==, "p2");
    g_ptr_array_add(avoid, (char *)"p2");
    g_assert_null(MpTunnelPeers_Pick(&peers, MP_CONN_FOR_REQUEST, NULL, avoid,
                                     random, 1001));
    g_assert_cmpstr(MpTunnelPeers_Pick(&peers, MP_CONN_FOR_REQUEST, NULL,
                                       avoid, random,
                                       1000 + MP_PEER_BACKOFF_MIN_MS),
                    ==, "p1");
    done_peers(&peers, avoid);
}

/* One that only replied, such as that a target is down, is not preferred. */
static void
test_peers_that_passed_data_on_are_preferred(void)
{
    struct MpTunnelPeers peers;
    GPtrArray *avoid = init_peers(&peers, 3);
    int64_t now_ms = 5000;
    MpTunnelPeers_NoteResult(&peers, "p2", MP_PEER_PASSED, now_ms);
    MpTunnelPeers_NoteResult(&peers, "p1", MP_PEER_REPLIED, now_ms);
    uint32_t others = 0;
    for (uint32_t i = 0; i < 10 * MP_PEER_EXPLORE_ONE_IN; i++) {
        const uint32_t numbers[2] = {i, i / MP_PEER_EXPLORE_ONE_IN};
        const char *peer = MpTunnelPeers_Pick(&peers, MP_CONN_FOR_REQUEST,
                                              NULL, avoid, numbers, now_ms);
        others += strcmp(peer, "p1") == 0;
        g_assert_true(i % MP_PEER_EXPLORE_ONE_IN == 0 ||
                      strcmp(peer, "p2") == 0);
    }
    g_assert_cmpuint(others, >, 0);
    g_assert_cmpuint(others, <=, 10);
    /* After a first try that came to nothing, it is the next. */
    g_ptr_array_add(avoid, (char *)"p3");
    for (uint32_t i = 0; i < 10; i++) {
        const uint32_t numbers[2] = {i, i / 2};
        g_assert_cmpstr(MpTunnelPeers_Pick(&peers, MP_CONN_FOR_REQUEST, NULL,
                                           avoid, numbers, now_ms),
                        ==, "p2");
    }
    g_ptr_array_set_size(avoid, 0);
    /* A busy one is not preferred to one that is as good. */
    const uint32_t random[2] = {0, 1};
    MpTunnelPeers_NoteResult(&peers, "p1", MP_PEER_PASSED, now_ms);
    MpTunnelPeers_Count(&peers, "p2", 1);
    g_assert_cmpstr(MpTunnelPeers_Pick(&peers, MP_CONN_FOR_REQUEST, NULL,
                                       avoid, random, now_ms),
                    ==, "p1");
    /* One that left the list keeps its count until its connections end. */
    MpTunnelPeers_SetList(&peers, listed_peers, 2);
    MpTunnelPeers_Count(&peers, "p2", -1);
    MpTunnelPeers_SetList(&peers, listed_peers, 2);
    g_assert_cmpuint(g_hash_table_size(peers.peers), ==, 1);
    done_peers(&peers, avoid);
}

/* Several that do not reply show that the fault is nearer. */
static void
test_silent_peers_pause_the_search(void)
{
    struct MpTunnelPeers peers;
    GPtrArray *avoid = init_peers(&peers, 3);
    int64_t now_ms = 5000;
    for (int i = 0; i < MP_PEER_SILENT_MAX; i++) {
        g_assert_true(MpTunnelPeers_MayAsk(&peers, now_ms));
        MpTunnelPeers_NoteResult(&peers, "p1", MP_PEER_SILENT, now_ms);
    }
    g_assert_false(MpTunnelPeers_MayAsk(&peers, now_ms));
    now_ms += MP_PEER_PAUSE_MS;
    g_assert_true(MpTunnelPeers_MayAsk(&peers, now_ms));
    MpTunnelPeers_NoteResult(&peers, "p1", MP_PEER_SILENT, now_ms);
    g_assert_false(MpTunnelPeers_MayAsk(&peers, now_ms));
    MpTunnelPeers_NoteResult(&peers, "p2", MP_PEER_FAILED, now_ms);
    now_ms += MP_PEER_PAUSE_MS;
    MpTunnelPeers_NoteResult(&peers, "p1", MP_PEER_SILENT, now_ms);
    g_assert_true(MpTunnelPeers_MayAsk(&peers, now_ms));
    done_peers(&peers, avoid);
}

/* Else peers that once could not tell would be left alone for ever longer, and
 * nobody could say that a target is down. */
static void
test_a_reply_ends_the_backoff_of_a_peer(void)
{
    const uint32_t random[2] = {1, 1};
    struct MpTunnelPeers peers;
    GPtrArray *avoid = init_peers(&peers, 2);
    int64_t now_ms = 1000;
    for (int i = 0; i < 5; i++) {
        MpTunnelPeers_NoteResult(&peers, "p1", MP_PEER_CUT_OFF, now_ms);
        g_assert_null(MpTunnelPeers_Pick(&peers, MP_CONN_FOR_REQUEST, NULL,
                                         avoid, random, now_ms));
        now_ms += MP_PEER_BACKOFF_MIN_MS;
        g_assert_cmpstr(MpTunnelPeers_Pick(&peers, MP_CONN_FOR_REQUEST, NULL,
                                           avoid, random, now_ms),
                        ==, "p1");
        MpTunnelPeers_NoteResult(&peers, "p1", MP_PEER_REPLIED, now_ms);
    }
    done_peers(&peers, avoid);
}

/* Without a witness nothing is known of a target that fails. */
static void
test_probes_ask_cut_off_peers_when_no_other_is_left(void)
{
    struct MpTunnelPeers peers;
    GPtrArray *avoid = init_peers(&peers, 4);
    MpTunnelPeers_NoteResult(&peers, "p1", MP_PEER_FAILED, 1000);
    MpTunnelPeers_NoteResult(&peers, "p2", MP_PEER_CUT_OFF, 1000);
    g_assert_cmpstr(pick_for_probe(&peers, avoid), ==, "p3");
    MpTunnelPeers_NoteResult(&peers, "p3", MP_PEER_SILENT, 1000);
    g_assert_cmpstr(pick_for_probe(&peers, avoid), ==, "p2");
    g_assert_null(pick_for_request(&peers, avoid));
    g_ptr_array_add(avoid, (char *)"p2");
    g_assert_null(pick_for_probe(&peers, avoid));
    /* Few are, as each of many would cost a call. */
    MpTunnelPeers_NoteResult(&peers, "p1", MP_PEER_CUT_OFF, 1000);
    g_assert_cmpstr(pick_for_probe(&peers, avoid), ==, "p1");
    g_ptr_array_add(avoid, (char *)"p4");
    g_assert_null(pick_for_probe(&peers, avoid));
    /* One that replies then is asked as before. */
    MpTunnelPeers_NoteResult(&peers, "p1", MP_PEER_REPLIED, 1000);
    g_assert_cmpstr(pick_for_request(&peers, avoid), ==, "p1");
    done_peers(&peers, avoid);
}

/* Each request by way of a peer that is cut off unknowingly is lost. */
static void
test_broken_peers_get_no_request(void)
{
    struct MpTunnelPeers peers;
    GPtrArray *avoid = init_peers(&peers, 2);
    MpTunnelPeers_NoteResult(&peers, "p1", MP_PEER_REPLIED, 1000);
    MpTunnelPeers_NoteResult(&peers, "p1", MP_PEER_BROKEN, 1000);
    g_assert_null(pick_for_request(&peers, avoid));
    /* Opened connections do not show that they will not break as well. */
    g_assert_cmpstr(pick_for_probe(&peers, avoid), ==, "p1");
    MpTunnelPeers_NoteResult(&peers, "p1", MP_PEER_REPLIED, 1000);
    g_assert_null(pick_for_request(&peers, avoid));
    MpTunnelPeers_NoteResult(&peers, "p1", MP_PEER_PASSED, 1000);
    g_assert_cmpstr(pick_for_request(&peers, avoid), ==, "p1");
    done_peers(&peers, avoid);
}

static void
test_cut_off_peers_raise_the_witnesses_needed(void)
{
    struct MpTunnelPeers peers;
    GPtrArray *avoid = init_peers(&peers, 4);
    MpTunnelPeers_NoteResult(&peers, "p1", MP_PEER_FAILED, 1000);
    g_assert_cmpuint(MpTunnelPeers_WitnessesNeeded(&peers, 1000), ==,
                     MP_PEER_WITNESSES);
    MpTunnelPeers_NoteResult(&peers, "p2", MP_PEER_CUT_OFF, 1000);
    MpTunnelPeers_NoteResult(&peers, "p3", MP_PEER_CUT_OFF, 1100);
    g_assert_cmpuint(MpTunnelPeers_WitnessesNeeded(&peers, 1100), ==,
                     MP_PEER_WITNESSES + 2);
    MpTunnelPeers_NoteResult(&peers, "p3", MP_PEER_PASSED, 1200);
    g_assert_cmpuint(MpTunnelPeers_WitnessesNeeded(&peers, 1200), ==,
                     MP_PEER_WITNESSES + 1);
    g_assert_cmpuint(
        MpTunnelPeers_WitnessesNeeded(&peers, 1000 + MP_PEER_BACKOFF_MIN_MS),
        ==, MP_PEER_WITNESSES);
    done_peers(&peers, avoid);
}

/* ---- frames ---- */

static void
check_frames(const GByteArray *frames, guint cut, const char *text,
             enum MpFrameEnd end)
{
    struct MpFrameReader reader = {.left = 0};
    GByteArray *out = g_byte_array_new();
    size_t used = MpFrameReader_Read(&reader, frames->data, cut, out);
    g_assert_cmpuint(used, <=, cut);
    used += MpFrameReader_Read(&reader, frames->data + used,
                               frames->len - used, out);
    g_assert_cmpuint(used, ==, frames->len);
    g_assert_cmpint(reader.end, ==, end);
    g_assert_cmpmem(out->data, out->len, text, strlen(text));
    g_byte_array_unref(out);
}

static void
test_frames_cut_anywhere(void)
{
    static const struct {
        uint32_t mark;
        enum MpFrameEnd end;
    } ends[] = {{MP_FRAME_CLOSED, MP_FRAME_END_CLOSED},
                {MP_FRAME_RESET, MP_FRAME_END_RESET},
                {MP_FRAME_MAX_BYTES + 1, MP_FRAME_END_INVALID}};
    for (size_t i = 0; i < G_N_ELEMENTS(ends); i++) {
        GByteArray *frames = g_byte_array_new();
        MpTunnelFrame_Append(frames, "one", 3);
        MpTunnelFrame_Append(frames, " and two", 8);
        MpTunnelFrame_AppendEnd(frames, ends[i].mark);
        for (guint cut = 0; cut <= frames->len; cut++) {
            check_frames(frames, cut, "one and two", ends[i].end);
        }
        g_byte_array_unref(frames);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/paths/one target down loses one path",
                    test_one_target_down_loses_one_path);
    g_test_add_func("/paths/two failures without data lose all paths",
                    test_two_failures_without_data_lose_all_paths);
    g_test_add_func("/paths/data during failures keeps other paths",
                    test_data_during_failures_keeps_other_paths);
    g_test_add_func("/paths/silence of all targets is checked",
                    test_silence_of_all_targets_is_checked);
    g_test_add_func("/paths/pause of a target loses no path",
                    test_pause_of_a_target_loses_no_path);
    g_test_add_func("/paths/expected waits are not checked",
                    test_expected_waits_are_not_checked);
    g_test_add_func("/paths/connections that go on prove no new ones",
                    test_connections_that_go_on_prove_no_new_ones);
    g_test_add_func("/paths/checks of lost paths", test_checks_of_lost_paths);
    g_test_add_func("/paths/broken connection is checked",
                    test_broken_connection_is_checked);
    g_test_add_func("/paths/paths that are not proved lost keep requests",
                    test_paths_that_are_not_proved_lost_keep_requests);
    g_test_add_func("/paths/resets of several targets cast doubt",
                    test_resets_of_several_targets_cast_doubt);
    g_test_add_func("/peers/peers that fail are left alone",
                    test_peers_that_fail_are_left_alone);
    g_test_add_func("/peers/peers that passed data on are preferred",
                    test_peers_that_passed_data_on_are_preferred);
    g_test_add_func("/peers/silent peers pause the search",
                    test_silent_peers_pause_the_search);
    g_test_add_func("/peers/a reply ends the backoff of a peer",
                    test_a_reply_ends_the_backoff_of_a_peer);
    g_test_add_func("/peers/probes ask cut off peers when no other is left",
                    test_probes_ask_cut_off_peers_when_no_other_is_left);
    g_test_add_func("/peers/broken peers get no request",
                    test_broken_peers_get_no_request);
    g_test_add_func("/peers/cut off peers raise the witnesses needed",
                    test_cut_off_peers_raise_the_witnesses_needed);
    g_test_add_func("/frames/cut anywhere", test_frames_cut_anywhere);
    return g_test_run();
}
