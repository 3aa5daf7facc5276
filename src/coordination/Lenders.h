#ifndef MP_COORDINATION_LENDERS_H
#define MP_COORDINATION_LENDERS_H

#include "gen/wire.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Lenders - which routers keep the slices of which workspace.
 *
 * In each zone a few routers lend, chosen by a hash of their addresses, and
 * each workspace has an order of them, by a hash of its name: all routers
 * that know the same list come to the same order without asking.  Load
 * pattern: hundreds of routers with a request a second of each workspace,
 * each too few for a slice of its own, and partitions that cut all of them
 * off from the ledger but not from each other.
 */

/* Routers of a zone that lend: each keeps connections to these only. */
#define MP_LENDERS_PER_ZONE 4
/* ... of which the first ones keep a slice of a workspace ahead; the others
 * stand in for them. */
#define MP_PRIMARIES_PER_ZONE 2
/* A lender that could not be reached is not asked again for this long, ms. */
#define MP_LENDER_FAILURE_BACKOFF_MS 1000
/* ... that was slow to answer, ms: it may be at the end of a busy link. */
#define MP_LENDER_SLOW_MS 200

struct MpLenders {
    char *address; /* of this router; NULL when it has none: it keeps all */
    char *zone;
    GPtrArray *zones;          /* of struct MpLenderZone, the own one first */
    GHashTable *skipped_until; /* address -> time until which it is left out */
    uint32_t peer_count;       /* that were told */
};

/* The lenders of one zone, in the order of their hashes. */
struct MpLenderZone {
    char *name;
    GPtrArray *addresses; /* of char * */
};

void MpLenders_Init(struct MpLenders *this, const char *address,
                    const char *zone);
void MpLenders_Done(struct MpLenders *this);

/* Takes the list of all that may lend. */
void MpLenders_SetPeers(struct MpLenders *this, const struct mp_lender *peers,
                        uint32_t count);

/* Returns whether this router keeps a slice of the workspace. */
bool MpLenders_IsPrimary(const struct MpLenders *this, const char *workspace);

/* Returns how many routers keep a slice of one workspace, at least 1. */
uint32_t MpLenders_CountPrimaries(const struct MpLenders *this);

/* Appends whom to ask for a part of workspace's budget, the nearest first, as
 * char * that out frees. */
void MpLenders_ListCandidates(const struct MpLenders *this,
                              const char *workspace, int64_t now_ms,
                              GPtrArray *out);

/* Appends the lenders of the own zone, as char * that out frees. */
void MpLenders_ListOwnZone(const struct MpLenders *this, GPtrArray *out);

/* Notes that the lender at address did not answer. */
void MpLenders_NoteFailure(struct MpLenders *this, const char *address,
                           int64_t now_ms);

/* ... or not in time. */
void MpLenders_NoteTimeout(struct MpLenders *this, const char *address,
                           int64_t now_ms);

#endif
