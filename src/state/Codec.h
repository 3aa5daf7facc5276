#ifndef MP_STATE_CODEC_H
#define MP_STATE_CODEC_H

#include "gen/wire.h"

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Codec - XDR encoding and decoding of the types generated from gen/wire.x.
 */

/* Encodes object with proc.  Returns a new byte string, or NULL if object
 * exceeds the bounds of its type. */
GBytes *MpCodec_Encode(xdrproc_t proc, const void *object);

/* Decodes size bytes at data into object, which is cleared first.  Returns
 * MP_OK, or MP_ERROR_CORRUPT if data is malformed or has trailing bytes;
 * object is then freed and cleared again. */
int MpCodec_Decode(xdrproc_t proc, void *object, const void *data, size_t size,
                   size_t object_size);

/* As MpCodec_Decode, but bytes may follow the object; *used is set to the size
 * of the object. */
int MpCodec_DecodePrefix(xdrproc_t proc, void *object, const void *data,
                         size_t size, size_t object_size, size_t *used);

/* Frees what decoding allocated for object, but not object itself. */
void MpCodec_Free(xdrproc_t proc, void *object);

/* The generated XDR function of type, as an xdrproc_t. */
#define MP_XDR(type) ((xdrproc_t)xdr_##type)

#endif
