#ifndef MP_COORDINATION_VERSION_VIEW_H
#define MP_COORDINATION_VERSION_VIEW_H

#include "gen/wire.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * MpVersionView - what one router knows of the software versions of each pool
 * and of its base (see state/Versions.h), and what it may decide by itself.
 *
 * A version is used for streams that can be taken up only MP_VERSION_LEASE_MS
 * after the quorum has announced it.  A router whose knowledge is newer than
 * that therefore knows all versions at which a stream can have begun, and
 * needs no other instance as long as there is one.
 *
 * Streams at another version than the base are recorded before their callers
 * get the first event.  A router that does not hear from the quorum cannot
 * record, and begins none there.
 */

/* Time for which what a router has heard stays valid, ms; two syncs. */
#define MP_VERSION_LEASE_MS 600

/* Time for which a target must have been in the list, ms, before streams begin
 * there while this router does not hear from the leader: its version may have
 * been withdrawn meanwhile and be new again.  The leader sees it in this time
 * and announces it. */
#define MP_VERSION_UNHEARD_MS 1500

enum MpTakeUp {
    MP_TAKE_UP_ANY,  /* the quorum has named no versions of the pool */
    MP_TAKE_UP_SOLE, /* all streams began at the one version */
    MP_TAKE_UP_ASK   /* the quorum must say where the stream began */
};

/* How the version is recorded at which a stream begins. */
enum MpRecording {
    MP_RECORDING_NONE,  /* a stream without a record is known to begin there */
    MP_RECORDING_LATER, /* without a record it cannot be taken up */
    MP_RECORDING_FIRST  /* without one it would go on at another version */
};

/* All times are of a clock that counts while the machine is suspended. */
struct MpVersionView {
    GHashTable *pools; /* name -> struct pool_view */
    int64_t listed_ms; /* last own reading of the list */
    int64_t gap_ms;    /* last time the one before was too long ago */
};

void MpVersionView_Init(struct MpVersionView *this);
void MpVersionView_Done(struct MpVersionView *this);

/* Applies the versions and the bases of all pools as the leader told them at
 * now_ms. */
void MpVersionView_Apply(struct MpVersionView *this,
                         const struct mp_pool_versions *pools,
                         const struct mp_pool_base *bases, u_int count,
                         int64_t now_ms);

/* A target at which a stream may begin. */
struct MpVersionCandidate {
    const char *pool;
    const char *version;
    int64_t listed_ms; /* when it came into the list */
};

/* Returns whether streams may begin at a target.  heard_ms: when this router
 * last heard from the leader. */
bool MpVersionView_IsActive(const struct MpVersionView *this,
                            const struct MpVersionCandidate *target,
                            int64_t heard_ms, int64_t now_ms);

/* Returns whether the quorum has announced a version of the pool. */
bool MpVersionView_IsAnnounced(const struct MpVersionView *this,
                               const char *pool, const char *version);

/* Returns how a stream is recorded that begins now and can last stream_ms. */
enum MpRecording MpVersionView_GetRecording(const struct MpVersionView *this,
                                            const char *pool,
                                            const char *version,
                                            int64_t stream_ms,
                                            int64_t heard_ms, int64_t now_ms);

/* Notes that this router has read the list itself, before
 * MpVersionView_NoteListed for each entry.  heard_ms: when it last heard from
 * the leader. */
void MpVersionView_BeginList(struct MpVersionView *this, int64_t heard_ms,
                             int64_t now_ms);

/* Notes the version of a listed target. */
void MpVersionView_NoteListed(struct MpVersionView *this, const char *pool,
                              const char *version, int64_t now_ms);

/* Decides how to find the version of a stream that is taken up and can have
 * lasted stream_ms.  Sets *version for MP_TAKE_UP_SOLE.  A router that does
 * not hear from the leader knows all versions if it has read the list often
 * enough since, and saw no other. */
enum MpTakeUp MpVersionView_CheckTakeUp(const struct MpVersionView *this,
                                        const char *pool, int64_t stream_ms,
                                        int64_t heard_ms, int64_t now_ms,
                                        const char **version);

#endif
