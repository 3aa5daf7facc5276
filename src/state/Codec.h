#ifndef MP_STATE_CODEC_H
#define MP_STATE_CODEC_H

#include "gen/wire.h"

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Codec - XDR encoding of the generated types to and from byte strings.
 */

/* Encodes object with proc.  Returns a new byte string, NULL if it does not
 * fit the bounds of its type. */
GBytes *MpCodec_Encode(xdrproc_t proc, const void *object);

/* Decodes size bytes at data into object, which is cleared first.  Returns
 * MP_OK or MP_ERROR_CORRUPT, when all of object was freed.  Bytes left over
 * are an error too. */
int MpCodec_Decode(xdrproc_t proc, void *object, const void *data, size_t size,
                   size_t object_size);

/* Frees what decoding allocated inside object, not object itself. */
void MpCodec_Free(xdrproc_t proc, void *object);

/* Casts a generated codec to xdrproc_t. */
#define MP_XDR(type) ((xdrproc_t)xdr_##type)

#endif
