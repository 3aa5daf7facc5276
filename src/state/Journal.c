#include "state/Journal.h"

#include "state/Codec.h"
#include "state/Error.h"
#include "state/Frame.h"

#define JOURNAL_NAME "journal"

static void
entry_delete(void *data)
{
    MpCodec_Free(MP_XDR(mp_journal_entry), data);
    g_free(data);
}

static int
read_entry(GHashTable *entries, const uint8_t *data, size_t size)
{
    struct mp_journal_entry *entry = g_new0(struct mp_journal_entry, 1);
    int code = MpCodec_Decode(MP_XDR(mp_journal_entry), entry, data, size,
                              sizeof(*entry));
    if (code != MP_OK) {
        g_free(entry);
        return code;
    }
    char *id = g_strdup_printf("%s\n%s", entry->request.workspace,
                               entry->request.key);
    g_hash_table_replace(entries, id, entry);
    return MP_OK;
}

static int
read_all(struct MpJournal *this, GByteArray *file, GHashTable *entries)
{
    size_t offset = 0;
    while (offset < file->len) {
        size_t left = file->len - offset;
        size_t length =
            MpFrame_Check(file->data + offset, left, &this->sequence);
        if (length == 0) {
            /* A crash can only tear the last frame. */
            if (MpFrame_HasValid(file->data + offset + 1, left - 1)) {
                return MP_ERROR_CORRUPT;
            }
            this->file.end_bytes = offset;
            return this->disk->klass->truncate(this->disk, JOURNAL_NAME,
                                               offset);
        }
        int code =
            read_entry(entries, file->data + offset + MP_FRAME_HEAD_BYTES,
                       length - MP_FRAME_HEAD_BYTES);
        if (code != MP_OK) {
            return code;
        }
        offset += length;
    }
    this->file.end_bytes = offset;
    return MP_OK;
}

int
MpJournal_Open(struct MpJournal *this, struct MpDisk *disk,
               GHashTable **entries)
{
    *this = (struct MpJournal){.disk = disk};
    *entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, entry_delete);
    GByteArray *file = g_byte_array_new();
    int code = disk->klass->read(disk, JOURNAL_NAME, file);
    if (code == MP_ERROR_NOT_FOUND) {
        code = MP_OK;
    }
    else if (code == MP_OK) {
        code = read_all(this, file, *entries);
    }
    g_byte_array_unref(file);
    return code;
}

int
MpJournal_Append(struct MpJournal *this, const struct mp_journal_entry *entry)
{
    GBytes *payload = MpCodec_Encode(MP_XDR(mp_journal_entry), entry);
    if (!payload) {
        return MP_ERROR_TOO_LARGE;
    }
    GByteArray *frame = g_byte_array_new();
    MpFrame_Append(frame, ++this->sequence, payload);
    int code =
        MpFrameFile_Append(&this->file, this->disk, JOURNAL_NAME, frame);
    g_byte_array_unref(frame);
    g_bytes_unref(payload);
    return code;
}

int
MpJournal_Clear(struct MpJournal *this)
{
    int code = this->disk->klass->truncate(this->disk, JOURNAL_NAME, 0);
    if (code != MP_OK) {
        return code;
    }
    this->file = (struct MpFrameFile){.end_bytes = 0};
    return this->disk->klass->sync(this->disk, JOURNAL_NAME);
}
