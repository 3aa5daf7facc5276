#ifndef MP_STATE_VERSIONS_H
#define MP_STATE_VERSIONS_H

#include "gen/wire.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * MpVersions - which software versions the targets of each pool have, and at
 * which version each stream began.  Part of the replicated state.
 *
 * What targets of two versions write does not fit together, so that a stream
 * that broke off may go on only at the version that began it.  Each pool has a
 * base, the version that was its only one last.  Streams at the base need no
 * record: a stream without one began there, as those at other versions are
 * recorded before their callers get the first event.  A pool without a base
 * has no version for streams without a record; they are not taken up.
 *
 * A router that does not hear from the quorum goes on with the base that it
 * knows.  What it can begin without a record are streams at a former base, so
 * a pool to which such a version comes back loses its base (former).
 */

/* Time for which a stream can be taken up after the longest that it can last,
 * ms: callers' retries, and the time for which a partitioned router may go on
 * with what it knew.  Records are kept as long. */
#define MP_TAKE_UP_MAX_MS 60000
/* Records of streams that are kept at most; the oldest are dropped. */
#define MP_STREAMS_KEPT_MAX 500000
/* Longest time that a stream can last, ms. */
#define MP_STREAM_LASTS_MAX_MS 86400000
/* Time after which a base that is not in the list is replaced, ms.  Until then
 * streams of the other versions wait for their records. */
#define MP_BASE_ABSENT_MS 5000

struct MpPoolVersions {
    char *pool;
    GPtrArray *names;   /* of char *, sorted */
    int64_t changed_ms; /* last change of names; -1: none so far */
    char *base;         /* NULL: none */
    int64_t base_ms;    /* since when; -1: from the start */
    int64_t absent_ms;  /* since when base is not in names; -1: it is */
    GPtrArray *former;  /* of char *, oldest first: versions at which streams
                         * may begin without a record, where a router does not
                         * know the base */
};

struct MpVersions {
    GHashTable *pools;   /* name -> struct MpPoolVersions */
    GHashTable *streams; /* set of struct stream_record */
    GQueue order;        /* of struct stream_record, oldest first */
    int64_t dropped_ms;  /* when a record was dropped before its time; -1:
                          * never */
};

void MpVersions_Init(struct MpVersions *this);
void MpVersions_Done(struct MpVersions *this);

/* Drops records of streams that are too old to be taken up, and replaces bases
 * that have been absent for long. */
void MpVersions_Expire(struct MpVersions *this, int64_t now_ms);

/* Sets the versions of a pool. */
void MpVersions_SetPool(struct MpVersions *this,
                        const struct mp_pool_versions *versions,
                        int64_t now_ms);

/* Records streams that have begun; the first record of a stream counts.
 * lasts_ms: how long they can last. */
void MpVersions_AddStreams(struct MpVersions *this,
                           const struct mp_streams *streams, int64_t lasts_ms,
                           int64_t now_ms);

/* Returns whether the stream with this id, of MP_HASH_BYTES, is recorded. */
bool MpVersions_IsRecorded(const struct MpVersions *this, const char *id);

/* Returns the version of a pool at which the stream with this id began, or
 * NULL when that is not known.  An id of zeros is of no stream: the caller did
 * not name it, and only a pool that has had one version for long has one for
 * it.  stream_ms: how long the stream can last. */
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

/* The same for what the image does not tell of the bases.  Returns NULL if it
 * tells all.  Errors of LoadBases: those of MpCodec_Decode. */
GBytes *MpVersions_SaveBases(const struct MpVersions *this);
int MpVersions_LoadBases(struct MpVersions *this, const void *data,
                         size_t size);

#endif
