#ifndef MP_COORDINATION_TUNNEL_PEERS_H
#define MP_COORDINATION_TUNNEL_PEERS_H

#include "coordination/Regions.h"
#include "gen/wire.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * MpTunnelPeers - the other instances, and which of them is asked to pass a
 * connection on to a target that this instance does not reach.
 *
 * Peers that passed data on lately are mostly preferred, as others may have
 * lost their paths too; of two at random the one with fewer connections of
 * this instance is taken.  A peer that failed is not asked again for a time
 * that doubles with each failure up to its next proper reply.  When several in
 * a row do not reply, the fault is nearer, such as a full link of this
 * instance, and none is asked for a while.
 */

/* Shortest and longest time for which a peer that failed is not asked, ms. */
#define MP_PEER_BACKOFF_MIN_MS 500
#define MP_PEER_BACKOFF_MAX_MS 4000
/* A peer that passed data on within this time is preferred, ms, but for
 * one choice in this many, by which others get known. */
#define MP_PEER_PROVEN_MS 5000
#define MP_PEER_EXPLORE_ONE_IN 8
/* Peers that must find a target down, beyond those that are cut off. */
#define MP_PEER_WITNESSES 2

/* After this many peers in a row that did not reply, none is asked for this
 * long, ms. */
#define MP_PEER_SILENT_MAX 3
#define MP_PEER_PAUSE_MS 1000

/* What a connection is opened for. */
enum MpConnPurpose {
    MP_CONN_FOR_REQUEST,
    MP_CONN_FOR_PROBE /* whether the target listens; nothing is sent */
};

/* What came of asking a peer. */
enum MpPeerResult {
    MP_PEER_PASSED,  /* it passed data of the target on */
    MP_PEER_REPLIED, /* it opened a connection, found the target down, or
                      * refuses the target */
    MP_PEER_BROKEN,  /* a request by way of it failed without any data: the
                      * target failed, or the peer is cut off unknowingly */
    MP_PEER_CUT_OFF, /* it replied that it has lost its own paths */
    MP_PEER_FAILED,  /* it replied that it cannot, or broke off */
    MP_PEER_SILENT   /* it did not reply */
};

struct MpTunnelPeer {
    char *address;
    char *zone;
    bool is_listed;
    uint32_t open; /* connections by way of it */
    int64_t passed_ms;
    int64_t skipped_until_ms;
    int64_t backoff_ms;
    bool is_cut_off; /* by its last reply */
    bool is_broken;  /* the last request by way of it failed without data */
};

struct MpTunnelPeers {
    GHashTable *peers;       /* address -> struct MpTunnelPeer */
    GPtrArray *listed;       /* of struct MpTunnelPeer */
    char *own_address;       /* of this instance, or NULL */
    uint32_t silent;         /* in a row, that did not reply */
    int64_t paused_until_ms; /* none is asked */
    uint32_t own_rank;       /* number of listed peers with a lesser address */
};

void MpTunnelPeers_Init(struct MpTunnelPeers *this, const char *own_address);
void MpTunnelPeers_Done(struct MpTunnelPeers *this);

/* Replaces the list of all instances. */
void MpTunnelPeers_SetList(struct MpTunnelPeers *this,
                           const struct mp_lender *peers, uint32_t count);

/* Returns the address of a peer that is not in avoid (of char *), or NULL.  If
 * some have been tried, those that passed data on come before all others.
 * For a probe, a few that are cut off or broken are asked if no other is left:
 * without any witness nothing is known of a target, and no request is lost.
 * Only peers in the zones that regions, which may be NULL, allows are asked.
 * random: two random numbers. */
const char *MpTunnelPeers_Pick(const struct MpTunnelPeers *this,
                               enum MpConnPurpose purpose,
                               const struct MpRegionRule *regions,
                               const GPtrArray *avoid,
                               const uint32_t random[2], int64_t now_ms);

/* Returns how many peers must find a target down to be believed.  Peers that
 * have lost their own paths show that others may have too, without knowing. */
uint32_t MpTunnelPeers_WitnessesNeeded(const struct MpTunnelPeers *this,
                                       int64_t now_ms);

/* Returns whether there are peers to be asked. */
bool MpTunnelPeers_MayAsk(const struct MpTunnelPeers *this, int64_t now_ms);

void MpTunnelPeers_NoteResult(struct MpTunnelPeers *this, const char *address,
                              enum MpPeerResult result, int64_t now_ms);

/* Counts a connection by way of the peer that was opened or closed. */
void MpTunnelPeers_Count(struct MpTunnelPeers *this, const char *address,
                         int32_t change);

#endif
