#include "coordination/Raft.h"
#include "state/Codec.h"
#include "state/Error.h"

#include <glib.h>

/* A replica by itself: writes are done at once, messages are dropped. */
struct lonely {
    struct MpRaftPort port;
    struct MpRaft raft;
    guint snapshots;
    uint64_t written; /* newest sequence number */
};

static void
drop_message(struct MpRaftPort *port, const struct mp_raft_message *message)
{
    (void)port;
    (void)message;
}

static void
count_write(struct MpRaftPort *port, struct MpRaftWrite *write)
{
    struct lonely *this = (struct lonely *)port;
    this->snapshots += write->has_snapshot;
    this->written = write->seq;
    MpRaftWrite_Delete(write);
}

static void
ignore_entry(struct MpRaftPort *port, const struct MpLogEntry *entry)
{
    (void)port;
    (void)entry;
}

static GBytes *
save_nothing(struct MpRaftPort *port)
{
    (void)port;
    return g_bytes_new(NULL, 0);
}

static int
load_nothing(struct MpRaftPort *port, GBytes *data)
{
    (void)port;
    (void)data;
    return MP_OK;
}

static const struct MpRaftPortClass lonely_class = {
    .send = drop_message,
    .persist = count_write,
    .apply = ignore_entry,
    .save = save_nothing,
    .load = load_nothing,
};

/* A leader that formed the cluster first may send entries before this
 * replica has formed: its membership must still come to the disk, or it does
 * not know its cluster after a restart. */
static void
test_late_bootstrap(void)
{
    struct lonely lonely = {.port = {.klass = &lonely_class}};
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
    g_assert_cmpint(MpRaft_Init(&lonely.raft, &lonely.port, 2, NULL, 7, 0), ==,
                    MP_OK);
    MpRaft_Receive(&lonely.raft, &append, 10);
    g_assert_cmpuint(MpRaft_LastIndex(&lonely.raft), ==, 1);
    guint before = lonely.snapshots;
    MpRaft_Bootstrap(&lonely.raft, &members);
    g_assert_cmpuint(lonely.raft.members.list.list_len, ==, 3);
    g_assert_cmpuint(lonely.snapshots, ==, before + 1);
    g_assert_true(MpRaft_IsVoter(&lonely.raft));
    MpRaft_Done(&lonely.raft);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/raft/a late bootstrap keeps the members",
                    test_late_bootstrap);
    return g_test_run();
}
