#include "state/Storage.h"

#include "state/Codec.h"
#include "state/Error.h"
#include "state/Fault.h"
#include "state/Frame.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#define SNAPSHOT_NAME "snapshot"
#define SNAPSHOT_HEAD_BYTES 8
#define SEGMENT_PREFIX "log-"
#define SEGMENT_NAME_BYTES 32

void
MpLogEntry_Done(void *entry)
{
    struct MpLogEntry *this = entry;
    g_bytes_unref(this->payload);
}

static void
segment_name(const struct MpStorage *this, char *name)
{
    g_snprintf(name, SEGMENT_NAME_BYTES, SEGMENT_PREFIX "%" PRIu64,
               this->segment);
}

/* ---- batches ---- */

static GBytes *
encode_batch(const struct mp_hard_state *hard,
             const struct MpLogEntry *entries, uint32_t count)
{
    uint32_t total = count + (hard ? 1 : 0);
    struct mp_log_record *records = g_new0(struct mp_log_record, total);
    uint32_t next = 0;
    if (hard) {
        records[next].kind = MP_LOG_HARD;
        records[next++].mp_log_record_u.hard = *hard;
    }
    for (uint32_t i = 0; i < count; i++) {
        gsize size;
        void *data = (void *)g_bytes_get_data(entries[i].payload, &size);
        records[next].kind = MP_LOG_ENTRY;
        records[next++].mp_log_record_u.entry = (struct mp_entry){
            .index = entries[i].index,
            .term = entries[i].term,
            .kind = entries[i].kind,
            .payload = {.payload_val = data, .payload_len = (u_int)size},
        };
    }
    struct mp_log_batch batch = {
        .records = {.records_val = records, .records_len = total}};
    GBytes *bytes = MpCodec_Encode(MP_XDR(mp_log_batch), &batch);
    g_free(records);
    return bytes;
}

/* ---- recovery ---- */

static int
recover_entry(struct MpRecovered *out, struct mp_entry *entry)
{
    uint64_t first = out->has_snapshot ? out->snapshot.head.index + 1 : 1;
    if (entry->index < first) {
        /* An entry replaces all earlier entries of the same or a higher index,
         * so none of those read so far remains. */
        g_array_set_size(out->entries, 0);
        return MP_OK;
    }
    uint64_t end = first + out->entries->len;
    if (entry->index > end) {
        return MP_ERROR_CORRUPT;
    }
    g_array_set_size(out->entries, (guint)(entry->index - first));
    struct MpLogEntry copy = {
        .index = entry->index,
        .term = entry->term,
        .kind = entry->kind,
        .payload = g_bytes_new(entry->payload.payload_val,
                               entry->payload.payload_len),
    };
    g_array_append_val(out->entries, copy);
    return MP_OK;
}

static int
recover_batch(struct MpRecovered *out, const uint8_t *data, size_t size)
{
    struct mp_log_batch batch;
    int code = MpCodec_Decode(MP_XDR(mp_log_batch), &batch, data, size,
                              sizeof(batch));
    for (u_int i = 0; code == MP_OK && i < batch.records.records_len; i++) {
        struct mp_log_record *record = &batch.records.records_val[i];
        if (record->kind == MP_LOG_HARD) {
            out->has_hard = true;
            out->hard = record->mp_log_record_u.hard;
            continue;
        }
        code = recover_entry(out, &record->mp_log_record_u.entry);
    }
    MpCodec_Free(MP_XDR(mp_log_batch), &batch);
    return code;
}

static int
truncate_tail(struct MpStorage *this, struct MpRecovered *out,
              const char *name, size_t offset, size_t size)
{
    out->cut_bytes += size - offset;
    return this->disk->klass->truncate(this->disk, name, offset);
}

static int
recover_segment(struct MpStorage *this, struct MpRecovered *out,
                uint64_t segment, bool is_last)
{
    char name[SEGMENT_NAME_BYTES];
    g_snprintf(name, sizeof(name), SEGMENT_PREFIX "%" PRIu64, segment);
    GByteArray *file = g_byte_array_new();
    int code = this->disk->klass->read(this->disk, name, file);
    size_t offset = 0;
    while (code == MP_OK && offset < file->len) {
        uint64_t sequence;
        size_t length =
            MpFrame_Check(file->data + offset, file->len - offset, &sequence);
        if (length == 0) {
            bool is_damaged =
                !is_last || MpFrame_HasValid(file->data + offset + 1,
                                             file->len - offset - 1);
            code = is_damaged
                       ? MP_ERROR_CORRUPT
                       : truncate_tail(this, out, name, offset, file->len);
            break;
        }
        code = recover_batch(out, file->data + offset + MP_FRAME_HEAD_BYTES,
                             length - MP_FRAME_HEAD_BYTES);
        this->frame = sequence;
        offset += length;
    }
    this->file.end_bytes = offset;
    g_byte_array_unref(file);
    return code;
}

static int
recover_snapshot(struct MpStorage *this, struct MpRecovered *out)
{
    GByteArray *file = g_byte_array_new();
    int code = this->disk->klass->read(this->disk, SNAPSHOT_NAME, file);
    if (code == MP_ERROR_NOT_FOUND) {
        g_byte_array_unref(file);
        return MP_OK;
    }
    if (code == MP_OK && file->len < SNAPSHOT_HEAD_BYTES) {
        code = MP_ERROR_CORRUPT;
    }
    if (code == MP_OK) {
        uint64_t sum;
        const uint8_t *data = file->data + SNAPSHOT_HEAD_BYTES;
        size_t size = file->len - SNAPSHOT_HEAD_BYTES;
        memcpy(&sum, file->data, sizeof(sum));
        code = GUINT64_FROM_BE(sum) != XXH64(data, size, 0)
                   ? MP_ERROR_CORRUPT
                   : MpCodec_Decode(MP_XDR(mp_snapshot_file), &out->snapshot,
                                    data, size, sizeof(out->snapshot));
        out->has_snapshot = code == MP_OK;
    }
    g_byte_array_unref(file);
    return code;
}

/* Drops entries of a lower term than the snapshot's last entry.  They remain
 * after a crash between writing the snapshot and its segment, and cannot
 * follow the snapshot, because terms never decrease along a log. */
static void
drop_replaced_entries(struct MpRecovered *out)
{
    if (!out->has_snapshot || out->entries->len == 0) {
        return;
    }
    struct MpLogEntry *first =
        &g_array_index(out->entries, struct MpLogEntry, 0);
    if (first->term < out->snapshot.head.term) {
        g_array_set_size(out->entries, 0);
    }
}

static int
compare_numbers(const void *a, const void *b)
{
    const uint64_t *x = a;
    const uint64_t *y = b;
    return *x < *y ? -1 : *x > *y;
}

static int
list_segments(struct MpStorage *this, GArray *segments)
{
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    int code = this->disk->klass->list(this->disk, names);
    for (guint i = 0; i < names->len; i++) {
        uint64_t number;
        char rest;
        if (sscanf(g_ptr_array_index(names, i), SEGMENT_PREFIX "%" SCNu64 "%c",
                   &number, &rest) == 1) {
            g_array_append_val(segments, number);
        }
    }
    g_array_sort(segments, compare_numbers);
    g_ptr_array_unref(names);
    return code;
}

/* An earlier process may have ended between a write and its sync.  What was
 * read counts as durable, so it must not be lost with the power later. */
static int
sync_last_segment(struct MpStorage *this)
{
    char name[SEGMENT_NAME_BYTES];
    segment_name(this, name);
    return MP_FAULT(MP_FAULT_START_UNSYNCED)
               ? MP_OK
               : this->disk->klass->sync(this->disk, name);
}

int
MpStorage_Open(struct MpStorage *this, struct MpDisk *disk,
               struct MpRecovered *recovered)
{
    *this = (struct MpStorage){.disk = disk, .segment = 1};
    *recovered = (struct MpRecovered){
        .entries = g_array_new(false, false, sizeof(struct MpLogEntry))};
    g_array_set_clear_func(recovered->entries, MpLogEntry_Done);
    GArray *segments = g_array_new(false, false, sizeof(uint64_t));
    int code = recover_snapshot(this, recovered);
    if (code == MP_OK) {
        code = list_segments(this, segments);
    }
    for (guint i = 0; code == MP_OK && i < segments->len; i++) {
        this->segment = g_array_index(segments, uint64_t, i);
        code = recover_segment(this, recovered, this->segment,
                               i + 1 == segments->len);
    }
    if (code == MP_OK && segments->len > 0) {
        code = sync_last_segment(this);
    }
    g_array_unref(segments);
    drop_replaced_entries(recovered);
    return code;
}

void
MpRecovered_Done(struct MpRecovered *this)
{
    g_array_unref(this->entries);
    MpCodec_Free(MP_XDR(mp_snapshot_file), &this->snapshot);
}

/* ---- writing ---- */

int
MpStorage_Append(struct MpStorage *this, const struct mp_hard_state *hard,
                 const struct MpLogEntry *entries, uint32_t count)
{
    char name[SEGMENT_NAME_BYTES];
    segment_name(this, name);
    GBytes *payload = encode_batch(hard, entries, count);
    if (!payload) {
        return MP_ERROR_TOO_LARGE;
    }
    GByteArray *frame = g_byte_array_new();
    MpFrame_Append(frame, this->frame + 1, payload);
    int code = MpFrameFile_Append(&this->file, this->disk, name, frame);
    if (code == MP_OK) {
        this->frame++;
        this->synced_bytes += frame->len;
        this->syncs++;
    }
    g_byte_array_unref(frame);
    g_bytes_unref(payload);
    return code;
}

static int
write_snapshot_file(struct MpStorage *this,
                    const struct mp_snapshot_head *head, GBytes *data)
{
    gsize size;
    void *bytes = (void *)g_bytes_get_data(data, &size);
    struct mp_snapshot_file file = {
        .head = *head,
        .data = {.data_val = bytes, .data_len = (u_int)size},
    };
    GBytes *body = MpCodec_Encode(MP_XDR(mp_snapshot_file), &file);
    if (!body) {
        return MP_ERROR_TOO_LARGE;
    }
    const void *encoded = g_bytes_get_data(body, &size);
    uint64_t sum = GUINT64_TO_BE(XXH64(encoded, size, 0));
    GByteArray *out = g_byte_array_sized_new((guint)size + sizeof(sum));
    g_byte_array_append(out, (const guint8 *)&sum, sizeof(sum));
    g_byte_array_append(out, encoded, (guint)size);
    int code = this->disk->klass->replace(this->disk, SNAPSHOT_NAME, out->data,
                                          out->len);
    this->synced_bytes += out->len;
    g_byte_array_unref(out);
    g_bytes_unref(body);
    return code;
}

static int
remove_old_segments(struct MpStorage *this)
{
    GArray *segments = g_array_new(false, false, sizeof(uint64_t));
    int code = list_segments(this, segments);
    for (guint i = 0; code == MP_OK && i < segments->len; i++) {
        uint64_t number = g_array_index(segments, uint64_t, i);
        if (number < this->segment) {
            char name[SEGMENT_NAME_BYTES];
            g_snprintf(name, sizeof(name), SEGMENT_PREFIX "%" PRIu64, number);
            code = this->disk->klass->remove(this->disk, name);
        }
    }
    g_array_unref(segments);
    return code;
}

/* Starts a new segment that begins with a frame of payload. */
static int
start_segment(struct MpStorage *this, GBytes *payload)
{
    char name[SEGMENT_NAME_BYTES];
    segment_name(this, name);
    int code = MpFrameFile_CutPartial(&this->file, this->disk, name);
    if (code != MP_OK) {
        return code;
    }
    g_snprintf(name, sizeof(name), SEGMENT_PREFIX "%" PRIu64,
               this->segment + 1);
    GByteArray *frame = g_byte_array_new();
    MpFrame_Append(frame, this->frame + 1, payload);
    code =
        this->disk->klass->replace(this->disk, name, frame->data, frame->len);
    if (code == MP_OK) {
        this->segment++;
        this->frame++;
        this->file = (struct MpFrameFile){.end_bytes = frame->len};
    }
    g_byte_array_unref(frame);
    return code;
}

int
MpStorage_SaveSnapshot(struct MpStorage *this,
                       const struct mp_snapshot_head *head, GBytes *data,
                       const struct mp_hard_state *hard,
                       const struct MpLogEntry *entries, uint32_t count)
{
    int code = write_snapshot_file(this, head, data);
    if (code != MP_OK) {
        return code;
    }
    GBytes *payload = encode_batch(hard, entries, count);
    if (!payload) {
        return MP_ERROR_TOO_LARGE;
    }
    code = start_segment(this, payload);
    g_bytes_unref(payload);
    return code == MP_OK ? remove_old_segments(this) : code;
}
