#ifndef MP_STATE_TEXT_HASH_H
#define MP_STATE_TEXT_HASH_H

#include <glib.h>
#include <stddef.h>

/*
 * TextHash - hashes of texts that clients choose, for hash tables.
 *
 * They have a seed of this process, so that nobody can choose many texts of
 * one hash, which make a table as slow as a list.  They must not be stored or
 * sent, and nothing that is may depend on the order of such a table.
 */

guint MpTextHash_Of(const char *text, size_t size);

/* The same of a string that ends with NUL; for g_hash_table_new(). */
guint MpTextHash_OfString(gconstpointer text);

#endif
