#include "protocol/TextPack.h"

#include "state/Codec.h"

#include <string.h>
#include <zlib.h>

/* Smaller data is not compressed, bytes: it fits into one or two packets
 * anyway. */
#define MIN_BYTES 2048
/* Compression level of zlib: fast; higher levels compress randomly generated
 * names no better. */
#define DEFLATE_LEVEL 3

void
MpTextPack_Init(struct MpTextPack *this, const void *data, size_t size)
{
    uLongf length = compressBound(size);
    guint8 *out = size < MIN_BYTES ? NULL : g_malloc(length);
    *this = (struct MpTextPack){.raw_size = 0};
    if (out && compress2(out, &length, data, size, DEFLATE_LEVEL) == Z_OK &&
        length < size) {
        this->bytes = g_bytes_new_take(g_realloc(out, length), length);
        this->raw_size = (uint32_t)size;
        return;
    }
    g_free(out);
    this->bytes = g_bytes_new(data, size);
}

void
MpTextPack_Encode(struct MpTextPack *this, xdrproc_t codec, const void *object)
{
    gsize size;
    GBytes *bytes = MpCodec_Encode(codec, object);
    const void *data = g_bytes_get_data(bytes, &size);
    MpTextPack_Done(this);
    MpTextPack_Init(this, data, size);
    g_bytes_unref(bytes);
}

void
MpTextPack_Done(struct MpTextPack *this)
{
    g_clear_pointer(&this->bytes, g_bytes_unref);
}

struct mp_packed
MpTextPack_ToWire(const struct MpTextPack *this)
{
    struct mp_packed packed = {.raw_size = this->raw_size};
    gsize size = 0;
    if (this->bytes) {
        packed.bytes.bytes_val = (char *)g_bytes_get_data(this->bytes, &size);
        packed.bytes.bytes_len = (u_int)size;
    }
    return packed;
}

char *
MpTextPack_Unpack(const struct mp_packed *packed, size_t *size)
{
    uLongf length = packed->raw_size;
    *size = packed->raw_size > 0 ? packed->raw_size : packed->bytes.bytes_len;
    if (*size > MP_TEXT_MAX) {
        return NULL;
    }
    char *data = g_malloc(*size + 1);
    data[*size] = '\0';
    if (packed->raw_size == 0) {
        if (*size > 0) {
            memcpy(data, packed->bytes.bytes_val, *size);
        }
        return data;
    }
    if (uncompress((Bytef *)data, &length,
                   (const Bytef *)packed->bytes.bytes_val,
                   packed->bytes.bytes_len) != Z_OK ||
        length != *size) {
        g_free(data);
        return NULL;
    }
    return data;
}
