#ifndef MP_PROTOCOL_TEXT_PACK_H
#define MP_PROTOCOL_TEXT_PACK_H

#include "gen/wire.h"

#include <glib.h>
#include <stddef.h>

/*
 * TextPack - large texts and lists, deflated once for all instances that get
 * them.
 */

struct MpTextPack {
    GBytes *bytes;
    uint32_t size; /* before it was deflated; 0: it is as it was */
};

/* Packs size bytes; small ones stay as they are. */
void MpTextPack_Init(struct MpTextPack *this, const void *data, size_t size);

/* Packs an object in its encoding, in place of what was packed before. */
void MpTextPack_Encode(struct MpTextPack *this, xdrproc_t codec,
                       const void *object);
void MpTextPack_Done(struct MpTextPack *this);

/* Returns the pack as it is sent; its bytes belong to this. */
struct mp_packed MpTextPack_ToWire(const struct MpTextPack *this);

/* Returns the bytes that were packed, with a zero behind them, to be freed by
 * g_free, or NULL when the pack is damaged. */
char *MpTextPack_Unpack(const struct mp_packed *packed, size_t *size);

#endif
