#ifndef MP_STATE_BODY_HASH_H
#define MP_STATE_BODY_HASH_H

#include <glib.h>

/*
 * BodyHash - keys of tables by the hash of a request's body, of
 * MP_HASH_BYTES; for g_hash_table_new.
 */

guint MpBodyHash_Hash(const void *hash);
gboolean MpBodyHash_Equal(const void *a, const void *b);

#endif
