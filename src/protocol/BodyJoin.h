#ifndef MP_PROTOCOL_BODY_JOIN_H
#define MP_PROTOCOL_BODY_JOIN_H

#include <glib.h>
#include <stddef.h>

/*
 * BodyJoin - puts the pieces of a body, such as short chunks, together that
 * arrive with one read, as its reader may look at all that it has of an event
 * with each piece.
 */

/* Pieces are put together up to this size, bytes; a single piece is passed on
 * as it is, whatever its size. */
#define MP_BODY_JOIN_MAX_BYTES 65536

struct MpBodyJoin {
    void (*body)(void *owner, const char *data, size_t size);
    void *owner;
    const char *piece; /* the first one that is not passed on, or NULL */
    size_t piece_size;
    GByteArray *joined; /* several of them, or NULL */
};

/* Adds a piece; data must be valid until the next MpBodyJoin_Flush, and the
 * callback must not free this. */
void MpBodyJoin_Add(struct MpBodyJoin *this, const char *data, size_t size);

/* Passes on what was added. */
void MpBodyJoin_Flush(struct MpBodyJoin *this);

#endif
