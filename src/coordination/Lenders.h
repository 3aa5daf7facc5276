#ifndef MP_COORDINATION_LENDERS_H
#define MP_COORDINATION_LENDERS_H

#include "coordination/Permits.h"
#include "gen/wire.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * MpLenders - which routers lend budget to others, and in which order a router
 * requests loans from them.
 *
 * A few routers of each zone are lenders, chosen by the hash of their
 * addresses.  The hash of a workspace's name gives their order for it: the
 * first ones are its primary lenders, which hold a slice of its budget in
 * advance, the others are standby lenders.  Routers that have the same list
 * of peers (routers that may lend) compute the same order without
 * communication.
 *
 * Load this is made for: hundreds of routers with about one request per
 * second and workspace, too few for a slice on each router, and partitions
 * that separate all routers from the ledger but not from each other.
 */

/* Lenders in a zone; routers of the zone keep connections only to these. */
#define MP_LENDERS_PER_ZONE 4
/* Primary lenders of a workspace in a zone. */
#define MP_PRIMARIES_PER_ZONE 2
/* Time for which an unreachable lender is not tried again, ms. */
#define MP_LENDER_FAILURE_BACKOFF_MS 1000
/* Time for which a lender is not tried again after a request to it timed
 * out, ms.  It is short, as the lender may only be behind a busy link. */
#define MP_LENDER_TIMEOUT_BACKOFF_MS 200

struct MpLenders {
    char *address; /* of this router as a lender; NULL: it does not lend, and
                    * is primary for all workspaces */
    char *zone;
    GPtrArray *zones;          /* of struct MpLenderZone, sorted by name */
    GHashTable *skipped_until; /* address -> int64_t *, end of its backoff */
    uint32_t peer_count;       /* peers in the current list that lend */
};

/* The lenders of one zone, sorted by the hash of their addresses. */
struct MpLenderZone {
    char *name;
    GPtrArray *addresses; /* of char * */
};

void MpLenders_Init(struct MpLenders *this, const char *address,
                    const char *zone);
void MpLenders_Done(struct MpLenders *this);

/* Replaces the list of all routers, of which some may lend; peers is
 * copied. */
void MpLenders_SetPeers(struct MpLenders *this, const struct mp_lender *peers,
                        uint32_t count);

/* Returns whether this router is a primary lender of workspace. */
bool MpLenders_IsPrimary(const struct MpLenders *this, const char *workspace);

/* Returns the number of primary lenders of a workspace in all zones, at
 * least 1. */
uint32_t MpLenders_CountPrimaries(const struct MpLenders *this);

/* Appends the addresses of the routers from which a loan for workspace may be
 * requested, nearest first: the lenders of this zone, then the primary lenders
 * of the other zones.  Lenders that failed lately are skipped.  The strings
 * are newly allocated, to be freed by the free function of out. */
void MpLenders_ListCandidates(const struct MpLenders *this,
                              const char *workspace, int64_t now_ms,
                              GPtrArray *out);

/* Appends the addresses of the other lenders of this zone, without those that
 * failed lately.  The strings are newly allocated, to be freed by the
 * free function of out. */
void MpLenders_ListOwnZone(const struct MpLenders *this, int64_t now_ms,
                           GPtrArray *out);

/* Appends the addresses of the keepers of a target, which hand out permits
 * for it (see Permits.h): one lender in each of MP_KEEPERS_MAX zones, or
 * as many of a single zone, chosen by hashing.  All routers with the same list
 * of peers get the same order. The strings belong to the lenders.  Returns the
 * index of the keeper in the own zone, 0 if there is none. */
guint MpLenders_ListKeepers(const struct MpLenders *this,
                            const char *incarnation, GPtrArray *out);

/* Records that the lender at address is unreachable or failed. */
void MpLenders_NoteFailure(struct MpLenders *this, const char *address,
                           int64_t now_ms);

/* Records that a request to the lender at address timed out. */
void MpLenders_NoteTimeout(struct MpLenders *this, const char *address,
                           int64_t now_ms);

#endif
