#ifndef MP_STATE_VERSIONS_H
#define MP_STATE_VERSIONS_H

#include "gen/wire.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * MpVersions - which software versions the targets of each pool have, and at
 * which version each stream began while there were several.  Part of the
 * replicated state.
 *
 * What targets of two versions write does not fit together, so that a stream
 * that broke off may go on only at the version that began it.  As long as a
 * pool has had a single version for longer than a stream can be taken up,
 * streams need no record: all that can still be began at this version.
 * Otherwise a stream without a record is not taken up.
 */

/* Time for which a stream can be taken up after the longest that it can last,
 * ms: callers' retries, and the time for which a partitioned router may go on
 * with what it knew.  Records are kept as long. */
#define MP_TAKE_UP_MAX_MS 60000
/* Records of streams that are kept at most; the oldest are dropped. */
#define MP_STREAMS_KEPT_MAX 500000

struct MpPoolVersions {
    char *pool;
    GPtrArray *names;   /* of char *, sorted */
    int64_t changed_ms; /* last change of names; -1: none so far */
};

struct MpVersions {
    GHashTable *pools;   /* name -> struct MpPoolVersions */
    GHashTable *streams; /* set of struct stream_record */
    GQueue order;        /* of struct stream_record, oldest first */
};

void MpVersions_Init(struct MpVersions *this);
void MpVersions_Done(struct MpVersions *this);

/* Drops records of streams that are too old to be taken up. */
void MpVersions_Expire(struct MpVersions *this, int64_t now_ms);

/* Sets the versions of a pool. */
void MpVersions_SetPool(struct MpVersions *this,
                        const struct mp_pool_versions *versions,
                        int64_t now_ms);

/* Records streams that have begun; the first record of a stream counts. */
void MpVersions_AddStreams(struct MpVersions *this,
                           const struct mp_streams *streams, int64_t now_ms);

/* Returns the version of a pool at which the stream with this id, of
 * MP_HASH_BYTES, began, or NULL when that is not known.  stream_ms: how long
 * the stream can last. */
const char *MpVersions_FindStream(const struct MpVersions *this,
                                  const char *pool, const char *id,
                                  int64_t stream_ms, int64_t now_ms);

/* Returns whether the pool's versions are equal to list, sorted. */
bool MpVersions_IsEqual(const struct MpVersions *this, const char *pool,
                        const GPtrArray *list);

/* Write to and read from a snapshot; Save allocates the arrays of image, not
 * their strings, and FreeImage frees them. */
void MpVersions_Save(const struct MpVersions *this,
                     struct mp_machine_image *image);
void MpVersions_FreeImage(struct mp_machine_image *image);
void MpVersions_Load(struct MpVersions *this,
                     const struct mp_machine_image *image);

#endif
