#include "protocol/TunnelFrame.h"

#include <string.h>

static void
append_number(GByteArray *out, uint32_t number)
{
    uint32_t big_endian = GUINT32_TO_BE(number);
    g_byte_array_append(out, (const guint8 *)&big_endian, sizeof(big_endian));
}

void
MpTunnelFrame_Append(GByteArray *out, const void *data, uint32_t size)
{
    g_assert(size > 0 && size <= MP_FRAME_MAX_BYTES);
    append_number(out, size);
    g_byte_array_append(out, data, size);
}

void
MpTunnelFrame_AppendEnd(GByteArray *out, uint32_t mark)
{
    append_number(out, mark);
}

static void
read_length(struct MpFrameReader *this, const uint8_t *data)
{
    uint32_t number;
    memcpy(&number, data, sizeof(number));
    number = GUINT32_FROM_BE(number);
    if (number == MP_FRAME_CLOSED) {
        this->end = MP_FRAME_END_CLOSED;
    }
    else if (number == MP_FRAME_RESET) {
        this->end = MP_FRAME_END_RESET;
    }
    else if (number > MP_FRAME_MAX_BYTES) {
        this->end = MP_FRAME_END_INVALID;
    }
    else {
        this->left = number;
    }
}

size_t
MpFrameReader_Read(struct MpFrameReader *this, const void *data, size_t size,
                   GByteArray *out)
{
    const uint8_t *bytes = data;
    size_t at = 0;
    while (this->end == MP_FRAME_END_NONE) {
        if (this->left > 0) {
            uint32_t part = (uint32_t)MIN(this->left, size - at);
            g_byte_array_append(out, bytes + at, part);
            this->left -= part;
            at += part;
        }
        if (this->left > 0 || size - at < MP_FRAME_HEAD_BYTES) {
            break;
        }
        read_length(this, bytes + at);
        at += MP_FRAME_HEAD_BYTES;
    }
    return at;
}
