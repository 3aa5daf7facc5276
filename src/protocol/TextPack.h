#ifndef MP_PROTOCOL_TEXT_PACK_H
#define MP_PROTOCOL_TEXT_PACK_H

#include "gen/wire.h"

#include <glib.h>
#include <stddef.h>

/*
 * TextPack - a large text or list in compressed form (zlib), made once and
 * sent to many instances.
 */

struct MpTextPack {
    GBytes *bytes;
    uint32_t raw_size; /* size before compression; 0: not compressed */
};

/* Compresses size bytes of data; small data is only copied. */
void MpTextPack_Init(struct MpTextPack *this, const void *data, size_t size);

/* Replaces the content by the XDR encoding of object, compressed. */
void MpTextPack_Encode(struct MpTextPack *this, xdrproc_t codec,
                       const void *object);
void MpTextPack_Done(struct MpTextPack *this);

/* Returns the message form; its bytes belong to this. */
struct mp_packed MpTextPack_ToWire(const struct MpTextPack *this);

/* Returns the uncompressed bytes, followed by a NUL and to be freed with
 * g_free; *size is their number without the NUL.  Returns NULL if packed is
 * corrupt or too large. */
char *MpTextPack_Unpack(const struct mp_packed *packed, size_t *size);

#endif
