#include "state/Frame.h"

#include <string.h>
#include <xxhash.h>

#define FRAME_MAGIC UINT32_C(0x4d504c31)

struct frame_head {
    uint32_t magic;
    uint32_t length;
    uint64_t sequence;
    uint64_t checksum;
};

G_STATIC_ASSERT(sizeof(struct frame_head) == MP_FRAME_HEAD_BYTES);

void
MpFrame_Append(GByteArray *out, uint64_t sequence, GBytes *payload)
{
    gsize size;
    const void *data = g_bytes_get_data(payload, &size);
    struct frame_head head = {
        .magic = GUINT32_TO_BE(FRAME_MAGIC),
        .length = GUINT32_TO_BE((uint32_t)size),
        .sequence = GUINT64_TO_BE(sequence),
        .checksum = GUINT64_TO_BE(XXH64(data, size, sequence)),
    };
    g_byte_array_append(out, (const guint8 *)&head, sizeof(head));
    if (size > 0) {
        g_byte_array_append(out, data, (guint)size);
    }
}

size_t
MpFrame_Check(const uint8_t *data, size_t size, uint64_t *sequence)
{
    struct frame_head head;
    if (size < sizeof(head)) {
        return 0;
    }
    memcpy(&head, data, sizeof(head));
    size_t length = GUINT32_FROM_BE(head.length);
    if (GUINT32_FROM_BE(head.magic) != FRAME_MAGIC ||
        length > size - sizeof(head)) {
        return 0;
    }
    *sequence = GUINT64_FROM_BE(head.sequence);
    uint64_t sum = XXH64(data + sizeof(head), length, *sequence);
    if (GUINT64_FROM_BE(head.checksum) != sum) {
        return 0;
    }
    return sizeof(head) + length;
}

bool
MpFrame_HasValid(const uint8_t *data, size_t size)
{
    uint64_t sequence;
    for (size_t offset = 0; offset + MP_FRAME_HEAD_BYTES <= size; offset++) {
        if (MpFrame_Check(data + offset, size - offset, &sequence) > 0) {
            return true;
        }
    }
    return false;
}
