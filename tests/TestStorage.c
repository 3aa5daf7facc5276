/* Tests of the Raft log and snapshot on disk.  An incomplete frame at the end
 * of the log is truncated; any other corruption is an error.  What a full disk
 * takes of a frame is cut off. */

#include "MemoryDisk.h"

#include "state/Error.h"
#include "state/Frame.h"
#include "state/Journal.h"
#include "state/Storage.h"

#include <string.h>

static struct MpLogEntry
make_entry(uint64_t index, uint64_t term, const char *text)
{
    return (struct MpLogEntry){.index = index,
                               .term = term,
                               .payload = g_bytes_new(text, strlen(text))};
}

static void
append(struct MpStorage *storage, uint64_t index, uint64_t term,
       const char *text)
{
    struct mp_hard_state hard = {.replica_id = 1, .term = term};
    struct MpLogEntry log_entry = make_entry(index, term, text);
    g_assert_cmpint(MpStorage_Append(storage, &hard, &log_entry, 1), ==,
                    MP_OK);
    g_bytes_unref(log_entry.payload);
}

static int
reopen(struct MemoryDisk *disk, guint *entry_count, uint64_t *cut_bytes)
{
    struct MpStorage storage;
    struct MpRecovered recovered;
    int code = MpStorage_Open(&storage, &disk->super, &recovered);
    *entry_count = recovered.entries->len;
    *cut_bytes = recovered.cut_bytes;
    MpRecovered_Done(&recovered);
    return code;
}

static void
test_torn_tail(void)
{
    struct MemoryDisk disk;
    struct MpStorage storage;
    struct MpRecovered recovered;
    guint entry_count;
    uint64_t cut_bytes;
    MemoryDisk_Init(&disk);
    MpStorage_Open(&storage, &disk.super, &recovered);
    MpRecovered_Done(&recovered);
    append(&storage, 1, 1, "one");
    size_t first_end = MemoryDisk_Size(&disk, "log-1");
    append(&storage, 2, 1, "two");
    size_t end = MemoryDisk_Size(&disk, "log-1");
    for (size_t size = first_end; size < end; size++) {
        disk.super.klass->truncate(&disk.super, "log-1", first_end);
        append(&storage, 2, 1, "two");
        disk.super.klass->truncate(&disk.super, "log-1", size);
        g_assert_cmpint(reopen(&disk, &entry_count, &cut_bytes), ==, MP_OK);
        g_assert_cmpuint(entry_count, ==, 1);
        g_assert_cmpuint(cut_bytes, ==, size - first_end);
    }
    MemoryDisk_Done(&disk);
}

static void
test_corruption(void)
{
    struct MemoryDisk disk;
    struct MpStorage storage;
    struct MpRecovered recovered;
    guint entry_count;
    uint64_t cut_bytes;
    MemoryDisk_Init(&disk);
    MpStorage_Open(&storage, &disk.super, &recovered);
    MpRecovered_Done(&recovered);
    append(&storage, 1, 1, "one");
    size_t first_end = MemoryDisk_Size(&disk, "log-1");
    append(&storage, 2, 1, "two");
    for (size_t offset = 0; offset < first_end; offset++) {
        MemoryDisk_CorruptByte(&disk, "log-1", offset);
        g_assert_cmpint(reopen(&disk, &entry_count, &cut_bytes), ==,
                        MP_ERROR_CORRUPT);
        MemoryDisk_CorruptByte(&disk, "log-1", offset);
    }
    g_assert_cmpint(reopen(&disk, &entry_count, &cut_bytes), ==, MP_OK);
    g_assert_cmpuint(entry_count, ==, 2);
    MemoryDisk_Done(&disk);
}

static void
test_replaced_entries(void)
{
    struct MemoryDisk disk;
    struct MpStorage storage;
    struct MpRecovered recovered;
    MemoryDisk_Init(&disk);
    MpStorage_Open(&storage, &disk.super, &recovered);
    MpRecovered_Done(&recovered);
    append(&storage, 1, 1, "one");
    append(&storage, 2, 1, "two");
    append(&storage, 3, 1, "three");
    append(&storage, 2, 2, "new two");
    g_assert_cmpint(MpStorage_Open(&storage, &disk.super, &recovered), ==,
                    MP_OK);
    g_assert_cmpuint(recovered.entries->len, ==, 2);
    g_assert_cmpuint(
        g_array_index(recovered.entries, struct MpLogEntry, 1).term, ==, 2);
    g_assert_cmpuint(recovered.hard.term, ==, 2);
    MpRecovered_Done(&recovered);
    MemoryDisk_Done(&disk);
}

static void
test_snapshot(void)
{
    struct MemoryDisk disk;
    struct MpStorage storage;
    struct MpRecovered recovered;
    struct mp_hard_state hard = {.replica_id = 1, .term = 3};
    struct mp_snapshot_head head = {.index = 2, .term = 1};
    struct MpLogEntry tail = make_entry(3, 3, "three");
    GBytes *data = g_bytes_new("state", 5);
    MemoryDisk_Init(&disk);
    MpStorage_Open(&storage, &disk.super, &recovered);
    MpRecovered_Done(&recovered);
    append(&storage, 1, 1, "one");
    append(&storage, 2, 1, "two");
    g_assert_cmpint(
        MpStorage_SaveSnapshot(&storage, &head, data, &hard, &tail, 1), ==,
        MP_OK);
    g_assert_cmpuint(MemoryDisk_Size(&disk, "log-1"), ==, 0);
    g_assert_cmpint(MpStorage_Open(&storage, &disk.super, &recovered), ==,
                    MP_OK);
    g_assert_true(recovered.has_snapshot);
    g_assert_cmpmem(recovered.snapshot.data.data_val,
                    recovered.snapshot.data.data_len, "state", 5);
    g_assert_cmpuint(recovered.entries->len, ==, 1);
    MpRecovered_Done(&recovered);
    MemoryDisk_CorruptByte(&disk, "snapshot", 20);
    g_assert_cmpint(MpStorage_Open(&storage, &disk.super, &recovered), ==,
                    MP_ERROR_CORRUPT);
    MpRecovered_Done(&recovered);
    g_bytes_unref(tail.payload);
    g_bytes_unref(data);
    MemoryDisk_Done(&disk);
}

/* What a full disk takes of a frame must not stay in front of the next one,
 * whenever there is room again. */
static void
test_full_disk(void)
{
    struct MpLogEntry two = make_entry(2, 1, "two");
    struct mp_hard_state hard = {.replica_id = 1, .term = 1};
    struct MemoryDisk disk;
    struct MpStorage storage;
    struct MpRecovered recovered;
    guint entry_count;
    uint64_t cut_bytes;
    for (size_t room = 0; room < MP_FRAME_HEAD_BYTES + 8; room++) {
        MemoryDisk_Init(&disk);
        MpStorage_Open(&storage, &disk.super, &recovered);
        MpRecovered_Done(&recovered);
        append(&storage, 1, 1, "one");
        disk.is_full = true;
        disk.room_bytes = room;
        for (int i = 0; i < 3; i++) {
            g_assert_cmpint(MpStorage_Append(&storage, &hard, &two, 1), ==,
                            MP_ERROR_DISK_FULL);
            g_assert_cmpint(reopen(&disk, &entry_count, &cut_bytes), ==,
                            MP_OK);
            g_assert_cmpuint(entry_count, ==, 1);
            g_assert_cmpuint(cut_bytes, ==, 0);
        }
        disk.is_full = false;
        append(&storage, 2, 1, "two");
        append(&storage, 3, 1, "three");
        g_assert_cmpint(reopen(&disk, &entry_count, &cut_bytes), ==, MP_OK);
        g_assert_cmpuint(entry_count, ==, 3);
        g_assert_cmpuint(cut_bytes, ==, 0);
        MemoryDisk_Done(&disk);
    }
    g_bytes_unref(two.payload);
}

/* A snapshot for which there is no room changes nothing, and is written when
 * there is room. */
static void
test_full_disk_snapshot(void)
{
    struct MpLogEntry tail = make_entry(3, 1, "three");
    struct mp_hard_state hard = {.replica_id = 1, .term = 1};
    struct mp_snapshot_head head = {.index = 2, .term = 1};
    GBytes *data = g_bytes_new_static("state", 5);
    struct MemoryDisk disk;
    struct MpStorage storage;
    struct MpRecovered recovered;
    guint entry_count;
    uint64_t cut_bytes;
    MemoryDisk_Init(&disk);
    MpStorage_Open(&storage, &disk.super, &recovered);
    MpRecovered_Done(&recovered);
    append(&storage, 1, 1, "one");
    append(&storage, 2, 1, "two");
    append(&storage, 3, 1, "three");
    disk.is_full = true;
    g_assert_cmpint(
        MpStorage_SaveSnapshot(&storage, &head, data, &hard, &tail, 1), ==,
        MP_ERROR_DISK_FULL);
    g_assert_cmpint(reopen(&disk, &entry_count, &cut_bytes), ==, MP_OK);
    g_assert_cmpuint(entry_count, ==, 3);
    disk.is_full = false;
    g_assert_cmpint(
        MpStorage_SaveSnapshot(&storage, &head, data, &hard, &tail, 1), ==,
        MP_OK);
    append(&storage, 4, 1, "four");
    g_assert_cmpint(reopen(&disk, &entry_count, &cut_bytes), ==, MP_OK);
    g_assert_cmpuint(entry_count, ==, 2);
    MemoryDisk_Done(&disk);
    g_bytes_unref(tail.payload);
    g_bytes_unref(data);
}

/* What a start has read survives a loss of power, though the process before
 * was killed between its write and the sync. */
static void
test_unsynced_write(void)
{
    struct FuzzInput nothing_kept = {.size = 0};
    struct MemoryDisk disk;
    struct MpStorage storage;
    struct MpRecovered recovered;
    struct MpLogEntry two = make_entry(2, 1, "two");
    struct mp_hard_state hard = {.replica_id = 1, .term = 1};
    guint entry_count;
    uint64_t cut_bytes;
    MemoryDisk_Init(&disk);
    MpStorage_Open(&storage, &disk.super, &recovered);
    MpRecovered_Done(&recovered);
    append(&storage, 1, 1, "one");
    disk.has_bad_sync = true;
    g_assert_cmpint(MpStorage_Append(&storage, &hard, &two, 1), ==,
                    MP_ERROR_IO);
    disk.has_bad_sync = false;
    g_assert_cmpint(reopen(&disk, &entry_count, &cut_bytes), ==, MP_OK);
    g_assert_cmpuint(entry_count, ==, 2);
    MemoryDisk_Crash(&disk, &nothing_kept);
    g_assert_cmpint(reopen(&disk, &entry_count, &cut_bytes), ==, MP_OK);
    g_assert_cmpuint(entry_count, ==, 2);
    MemoryDisk_Done(&disk);
    g_bytes_unref(two.payload);
}

static int
record(struct MpJournal *journal, const char *key)
{
    struct mp_journal_entry entry = {
        .request = {.incarnation = {.instance = (char *)"i"},
                    .workspace = (char *)"w",
                    .key = (char *)key}};
    return MpJournal_Append(journal, &entry);
}

/* A journal that was written while the disk was full can be read again. */
static void
test_full_disk_journal(void)
{
    struct MemoryDisk disk;
    struct MpJournal journal;
    GHashTable *entries;
    MemoryDisk_Init(&disk);
    g_assert_cmpint(MpJournal_Open(&journal, &disk.super, &entries), ==,
                    MP_OK);
    g_hash_table_unref(entries);
    g_assert_cmpint(record(&journal, "one"), ==, MP_OK);
    disk.is_full = true;
    disk.room_bytes = 9;
    g_assert_cmpint(record(&journal, "two"), ==, MP_ERROR_DISK_FULL);
    disk.is_full = false;
    g_assert_cmpint(record(&journal, "three"), ==, MP_OK);
    g_assert_cmpint(MpJournal_Open(&journal, &disk.super, &entries), ==,
                    MP_OK);
    g_assert_cmpuint(g_hash_table_size(entries), ==, 2);
    g_hash_table_unref(entries);
    MemoryDisk_Done(&disk);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/storage/a torn tail is cut", test_torn_tail);
    g_test_add_func("/storage/other corruption is an error", test_corruption);
    g_test_add_func("/storage/a later entry replaces an older one",
                    test_replaced_entries);
    g_test_add_func("/storage/a snapshot holds the state", test_snapshot);
    g_test_add_func("/storage/a full disk leaves whole frames",
                    test_full_disk);
    g_test_add_func("/storage/a snapshot waits for room",
                    test_full_disk_snapshot);
    g_test_add_func("/storage/a start makes durable what it reads",
                    test_unsynced_write);
    g_test_add_func("/journal/a full disk leaves whole frames",
                    test_full_disk_journal);
    return g_test_run();
}
