#ifndef MP_STATE_BODY_HASH_H
#define MP_STATE_BODY_HASH_H

#include <glib.h>

/*
 * BodyHash - functions for GHashTables whose keys are hashes of request
 * bodies, MP_HASH_BYTES long.
 */

guint MpBodyHash_Hash(const void *hash);
gboolean MpBodyHash_Equal(const void *a, const void *b);

#endif
