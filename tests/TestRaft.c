/* Tests of Raft on a single replica. */

#include "coordination/Raft.h"
#include "state/Codec.h"
#include "state/Error.h"

#include <glib.h>

/* A single replica.  Writes complete immediately, messages go nowhere. */
struct fixture {
    struct MpRaftPort port;
    struct MpRaft raft;
    guint snapshot_writes;
    uint64_t last_seq; /* newest sequence number */
    bool has_bad_load; /* loading a snapshot fails */
    struct mp_raft_message last_sent;
};

static void
keep_message(struct MpRaftPort *port, const struct mp_raft_message *message)
{
    struct fixture *this = (struct fixture *)port;
    this->last_sent = *message;
}

static void
count_write(struct MpRaftPort *port, struct MpRaftWrite *write)
{
    struct fixture *this = (struct fixture *)port;
    this->snapshot_writes += write->has_snapshot;
    this->last_seq = write->seq;
    MpRaftWrite_Delete(write);
}

static void
ignore_entry(struct MpRaftPort *port, const struct MpLogEntry *entry)
{
    (void)port;
    (void)entry;
}

static GBytes *
save_empty(struct MpRaftPort *port)
{
    (void)port;
    return g_bytes_new(NULL, 0);
}

static int
ignore_snapshot(struct MpRaftPort *port, GBytes *data)
{
    const struct fixture *this = (const struct fixture *)port;
    (void)data;
    return this->has_bad_load ? MP_ERROR_CORRUPT : MP_OK;
}

static const struct MpRaftPortClass port_class = {
    .send = keep_message,
    .persist = count_write,
    .apply = ignore_entry,
    .save = save_empty,
    .load = ignore_snapshot,
};

/* A leader may send entries to a replica that has not been bootstrapped yet.
 * The replica must still write the membership to disk when it is
 * bootstrapped, otherwise it does not know its cluster after a restart. */
static void
test_late_bootstrap(void)
{
    struct fixture fixture = {.port = {.klass = &port_class}};
    struct mp_member list[] = {
        {.id = 1, .instance = (char *)"a", .address = (char *)"1", .voter = 1},
        {.id = 2, .instance = (char *)"b", .address = (char *)"2", .voter = 1},
        {.id = 3, .instance = (char *)"c", .address = (char *)"3", .voter = 1},
    };
    struct mp_members members = {
        .list = {.list_val = list, .list_len = G_N_ELEMENTS(list)}};
    struct mp_entry entry = {.index = 1, .term = 1, .kind = MP_ENTRY_NOOP};
    struct mp_raft_message append = {
        .kind = MP_RAFT_APPEND,
        .from = 1,
        .to = 2,
        .term = 1,
        .entries = {.entries_val = &entry, .entries_len = 1},
    };
    g_assert_cmpint(MpRaft_Init(&fixture.raft, &fixture.port, 2, NULL, 7, 0),
                    ==, MP_OK);
    MpRaft_Receive(&fixture.raft, &append, 10);
    g_assert_cmpuint(MpRaft_LastIndex(&fixture.raft), ==, 1);
    guint snapshots_before = fixture.snapshot_writes;
    MpRaft_Bootstrap(&fixture.raft, &members);
    g_assert_cmpuint(fixture.raft.members.list.list_len, ==, 3);
    g_assert_cmpuint(fixture.snapshot_writes, ==, snapshots_before + 1);
    g_assert_true(MpRaft_IsVoter(&fixture.raft));
    MpRaft_Done(&fixture.raft);
}

/* A replica must not acknowledge a snapshot that it could not load, and must
 * take it when it is sent again. */
static void
test_bad_snapshot(void)
{
    struct fixture fixture = {.port = {.klass = &port_class},
                              .has_bad_load = true};
    char data[] = "state";
    struct mp_raft_message snapshot = {
        .kind = MP_RAFT_SNAPSHOT,
        .from = 1,
        .to = 2,
        .term = 1,
        .index = 10,
        .log_term = 1,
        .total = sizeof(data),
        .chunk = {.chunk_val = data, .chunk_len = sizeof(data)}};
    g_assert_cmpint(MpRaft_Init(&fixture.raft, &fixture.port, 2, NULL, 7, 0),
                    ==, MP_OK);
    MpRaft_Receive(&fixture.raft, &snapshot, 10);
    MpRaft_Persisted(&fixture.raft, fixture.last_seq, 10);
    g_assert_false(fixture.last_sent.ok && fixture.last_sent.index >= 10);
    g_assert_cmpuint(fixture.raft.commit, ==, 0);
    fixture.has_bad_load = false;
    MpRaft_Receive(&fixture.raft, &snapshot, 20);
    MpRaft_Persisted(&fixture.raft, fixture.last_seq, 20);
    g_assert_true(fixture.last_sent.ok);
    g_assert_cmpuint(fixture.last_sent.index, ==, 10);
    MpRaft_Done(&fixture.raft);
}

/* Makes the replica leader of a cluster of which it is the only voter. */
static void
lead(struct fixture *fixture)
{
    struct mp_member list[] = {
        {.id = 2, .instance = (char *)"b", .address = (char *)"2", .voter = 1},
    };
    struct mp_members members = {
        .list = {.list_val = list, .list_len = G_N_ELEMENTS(list)}};
    g_assert_cmpint(MpRaft_Init(&fixture->raft, &fixture->port, 2, NULL, 7, 0),
                    ==, MP_OK);
    MpRaft_Bootstrap(&fixture->raft, &members);
    MpRaft_Tick(&fixture->raft, 2 * MP_RAFT_ELECTION_MS);
    MpRaft_Persisted(&fixture->raft, fixture->last_seq,
                     2 * MP_RAFT_ELECTION_MS);
    g_assert_true(MpRaft_IsLeader(&fixture->raft));
}

/* A replica whose disk is full gives up the lead at once, and stands for
 * election only when there is room again. */
static void
test_full_disk(void)
{
    struct fixture fixture = {.port = {.klass = &port_class}};
    int64_t now_ms = 2 * MP_RAFT_ELECTION_MS;
    lead(&fixture);
    MpRaft_SetDiskFull(&fixture.raft, true, now_ms);
    g_assert_false(MpRaft_IsLeader(&fixture.raft));
    uint64_t term = fixture.raft.term;
    for (int i = 0; i < 100; i++) {
        now_ms += MP_RAFT_ELECTION_MS;
        MpRaft_Tick(&fixture.raft, now_ms);
    }
    g_assert_cmpint(fixture.raft.role, ==, MP_ROLE_FOLLOWER);
    g_assert_cmpuint(fixture.raft.term, ==, term);
    MpRaft_SetDiskFull(&fixture.raft, false, now_ms);
    MpRaft_Tick(&fixture.raft, now_ms + 2 * MP_RAFT_ELECTION_MS);
    MpRaft_Persisted(&fixture.raft, fixture.last_seq, now_ms);
    g_assert_true(MpRaft_IsLeader(&fixture.raft));
    MpRaft_Done(&fixture.raft);
}

/* A write that takes long must not collect a reply for each heartbeat. */
static void
test_delayed_replies(void)
{
    struct fixture fixture = {.port = {.klass = &port_class}};
    struct mp_entry entry = {.index = 1, .term = 1, .kind = MP_ENTRY_NOOP};
    struct mp_raft_message append = {
        .kind = MP_RAFT_APPEND,
        .from = 1,
        .to = 2,
        .term = 1,
        .entries = {.entries_val = &entry, .entries_len = 1},
    };
    g_assert_cmpint(MpRaft_Init(&fixture.raft, &fixture.port, 2, NULL, 7, 0),
                    ==, MP_OK);
    MpRaft_Receive(&fixture.raft, &append, 10);
    append.entries.entries_len = 0;
    for (int64_t i = 0; i < 1000; i++) {
        append.echo_ms = i;
        MpRaft_Receive(&fixture.raft, &append, 10 + i);
    }
    g_assert_cmpuint(g_queue_get_length(&fixture.raft.delayed), <=, 2);
    MpRaft_Persisted(&fixture.raft, fixture.last_seq, 2000);
    g_assert_true(fixture.last_sent.ok);
    g_assert_cmpuint(fixture.last_sent.index, ==, 1);
    g_assert_cmpint(fixture.last_sent.echo_ms, ==, 999);
    MpRaft_Done(&fixture.raft);
}

#define LARGE_BYTES (1024 * 1024)

/* A change of a large document is an entry of some MB: the log must keep a
 * bounded number of bytes in memory, not of entries. */
static void
test_large_entries(void)
{
    struct fixture fixture = {.port = {.klass = &port_class}};
    struct mp_member self = {
        .id = 1, .instance = (char *)"a", .address = (char *)"1", .voter = 1};
    struct mp_members members = {.list = {.list_val = &self, .list_len = 1}};
    size_t most_bytes = 0;
    g_assert_cmpint(MpRaft_Init(&fixture.raft, &fixture.port, 1, NULL, 7, 0),
                    ==, MP_OK);
    MpRaft_Bootstrap(&fixture.raft, &members);
    MpRaft_Persisted(&fixture.raft, fixture.last_seq, 0);
    int64_t now_ms = 0;
    while (!MpRaft_IsLeader(&fixture.raft) && now_ms < 10000) {
        MpRaft_Tick(&fixture.raft, now_ms += 10);
        MpRaft_Persisted(&fixture.raft, fixture.last_seq, now_ms);
    }
    for (int i = 0; i < 100; i++) {
        size_t bytes = 0;
        GBytes *payload =
            g_bytes_new_take(g_malloc0(LARGE_BYTES), LARGE_BYTES);
        g_assert_cmpint(
            MpRaft_Propose(&fixture.raft, MP_ENTRY_COMMAND, payload, NULL), ==,
            MP_OK);
        g_bytes_unref(payload);
        MpRaft_Flush(&fixture.raft);
        MpRaft_Persisted(&fixture.raft, fixture.last_seq, now_ms);
        MpRaft_Tick(&fixture.raft, now_ms += 10);
        MpRaft_Persisted(&fixture.raft, fixture.last_seq, now_ms);
        for (guint j = 0; j < fixture.raft.log->len; j++) {
            bytes += g_bytes_get_size(
                g_array_index(fixture.raft.log, struct MpLogEntry, j).payload);
        }
        most_bytes = MAX(most_bytes, bytes);
    }
    g_assert_cmpuint(fixture.raft.applied, >, 90);
    g_assert_cmpuint(most_bytes, <=,
                     MP_RAFT_SNAPSHOT_BYTES + MP_RAFT_TRAILING_BYTES +
                         2 * LARGE_BYTES);
    MpRaft_Done(&fixture.raft);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/raft/a late bootstrap keeps the members",
                    test_late_bootstrap);
    g_test_add_func("/raft/a snapshot that cannot be loaded is sent again",
                    test_bad_snapshot);
    g_test_add_func("/raft/large entries do not stay in memory",
                    test_large_entries);
    g_test_add_func("/raft/a full disk gives up the lead", test_full_disk);
    g_test_add_func("/raft/a long write collects few replies",
                    test_delayed_replies);
    return g_test_run();
}
