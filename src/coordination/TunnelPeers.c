#include "coordination/TunnelPeers.h"

#include <string.h>

static void
peer_free(void *data)
{
    struct MpTunnelPeer *peer = data;
    g_free(peer->address);
    g_free(peer->zone);
    g_free(peer);
}

void
MpTunnelPeers_Init(struct MpTunnelPeers *this, const char *own_address)
{
    *this =
        (struct MpTunnelPeers){.peers = g_hash_table_new_full(
                                   g_str_hash, g_str_equal, NULL, peer_free),
                               .listed = g_ptr_array_new(),
                               .own_address = g_strdup(own_address)};
}

void
MpTunnelPeers_Done(struct MpTunnelPeers *this)
{
    g_ptr_array_unref(this->listed);
    g_hash_table_unref(this->peers);
    g_free(this->own_address);
}

/* ---- the list ---- */

static gboolean
is_unused(void *key, void *value, void *data)
{
    (void)key;
    (void)data;
    const struct MpTunnelPeer *peer = value;
    return !peer->is_listed && peer->open == 0;
}

void
MpTunnelPeers_SetList(struct MpTunnelPeers *this,
                      const struct mp_lender *peers, uint32_t count)
{
    for (guint i = 0; i < this->listed->len; i++) {
        struct MpTunnelPeer *peer = g_ptr_array_index(this->listed, i);
        peer->is_listed = false;
    }
    g_ptr_array_set_size(this->listed, 0);
    this->own_rank = 0;
    for (uint32_t i = 0; i < count; i++) {
        const char *address = peers[i].address;
        if (g_strcmp0(address, this->own_address) == 0) {
            continue;
        }
        struct MpTunnelPeer *peer = g_hash_table_lookup(this->peers, address);
        if (!peer) {
            peer = g_new0(struct MpTunnelPeer, 1);
            peer->address = g_strdup(address);
            g_hash_table_insert(this->peers, peer->address, peer);
        }
        if (g_strcmp0(peer->zone, peers[i].zone) != 0) {
            g_free(peer->zone);
            peer->zone = g_strdup(peers[i].zone);
        }
        if (!peer->is_listed) {
            peer->is_listed = true;
            g_ptr_array_add(this->listed, peer);
            this->own_rank += g_strcmp0(address, this->own_address) < 0;
        }
    }
    g_hash_table_foreach_remove(this->peers, is_unused, NULL);
}

/* ---- the choice ---- */

static bool
is_avoided(const struct MpTunnelPeer *peer, const GPtrArray *avoid)
{
    for (guint i = 0; i < avoid->len; i++) {
        if (strcmp(peer->address, g_ptr_array_index(avoid, i)) == 0) {
            return true;
        }
    }
    return false;
}

static bool
is_proven(const struct MpTunnelPeer *peer, int64_t now_ms)
{
    return peer->passed_ms > 0 && now_ms - peer->passed_ms < MP_PEER_PROVEN_MS;
}

enum peer_choice {
    CHOICE_PROVEN,  /* passed data on lately */
    CHOICE_ANY,     /* not left alone */
    CHOICE_WITNESS, /* left alone, but its paths may be good */
};

static bool
is_choice(const struct MpTunnelPeer *peer, enum peer_choice choice,
          int64_t now_ms)
{
    bool is_left_alone = now_ms < peer->skipped_until_ms;
    if (choice == CHOICE_WITNESS) {
        return is_left_alone && (peer->is_cut_off || peer->is_broken);
    }
    return !is_left_alone && (choice == CHOICE_ANY || is_proven(peer, now_ms));
}

static void
list_candidates(const struct MpTunnelPeers *this,
                const struct MpRegionRule *regions, const GPtrArray *avoid,
                enum peer_choice choice, int64_t now_ms, GPtrArray *out)
{
    for (guint i = 0; i < this->listed->len; i++) {
        struct MpTunnelPeer *peer = g_ptr_array_index(this->listed, i);
        if (is_choice(peer, choice, now_ms) && !is_avoided(peer, avoid) &&
            MpRegionRule_Allows(regions, peer->zone)) {
            g_ptr_array_add(out, peer);
        }
    }
}

const char *
MpTunnelPeers_Pick(const struct MpTunnelPeers *this,
                   enum MpConnPurpose purpose,
                   const struct MpRegionRule *regions, const GPtrArray *avoid,
                   const uint32_t random[2], int64_t now_ms)
{
    bool explores = avoid->len == 0 && random[0] % MP_PEER_EXPLORE_ONE_IN == 0;
    uint32_t first = random[0] / MP_PEER_EXPLORE_ONE_IN;
    GPtrArray *candidates = g_ptr_array_new();
    if (!explores) {
        list_candidates(this, regions, avoid, CHOICE_PROVEN, now_ms,
                        candidates);
    }
    if (candidates->len == 0) {
        list_candidates(this, regions, avoid, CHOICE_ANY, now_ms, candidates);
    }
    if (candidates->len == 0 && purpose == MP_CONN_FOR_PROBE &&
        avoid->len < MP_PEER_WITNESSES) {
        list_candidates(this, regions, avoid, CHOICE_WITNESS, now_ms,
                        candidates);
    }
    const char *address = NULL;
    if (candidates->len > 0) {
        const struct MpTunnelPeer *a =
            g_ptr_array_index(candidates, first % candidates->len);
        const struct MpTunnelPeer *b =
            g_ptr_array_index(candidates, random[1] % candidates->len);
        address = a->open <= b->open ? a->address : b->address;
    }
    g_ptr_array_unref(candidates);
    return address;
}

uint32_t
MpTunnelPeers_WitnessesNeeded(const struct MpTunnelPeers *this, int64_t now_ms)
{
    uint32_t needed = MP_PEER_WITNESSES;
    for (guint i = 0; i < this->listed->len; i++) {
        const struct MpTunnelPeer *peer = g_ptr_array_index(this->listed, i);
        needed += peer->is_cut_off && now_ms < peer->skipped_until_ms;
    }
    return needed;
}

bool
MpTunnelPeers_MayAsk(const struct MpTunnelPeers *this, int64_t now_ms)
{
    return this->listed->len > 0 && now_ms >= this->paused_until_ms;
}

void
MpTunnelPeers_NoteResult(struct MpTunnelPeers *this, const char *address,
                         enum MpPeerResult result, int64_t now_ms)
{
    struct MpTunnelPeer *peer = g_hash_table_lookup(this->peers, address);
    this->silent = result == MP_PEER_SILENT ? this->silent + 1 : 0;
    if (this->silent >= MP_PEER_SILENT_MAX) {
        this->paused_until_ms = now_ms + MP_PEER_PAUSE_MS;
    }
    if (!peer) {
        return;
    }
    peer->is_cut_off = result == MP_PEER_CUT_OFF;
    /* Connections that it opens may break just as the last one did. */
    if (result == MP_PEER_REPLIED && peer->is_broken) {
        return;
    }
    peer->is_broken = result == MP_PEER_BROKEN;
    if (result == MP_PEER_PASSED || result == MP_PEER_REPLIED) {
        peer->passed_ms = result == MP_PEER_PASSED ? now_ms : peer->passed_ms;
        peer->backoff_ms = 0;
        peer->skipped_until_ms = 0;
        return;
    }
    peer->passed_ms = 0;
    peer->backoff_ms = CLAMP(peer->backoff_ms * 2, MP_PEER_BACKOFF_MIN_MS,
                             MP_PEER_BACKOFF_MAX_MS);
    peer->skipped_until_ms = now_ms + peer->backoff_ms;
}

void
MpTunnelPeers_Count(struct MpTunnelPeers *this, const char *address,
                    int32_t change)
{
    struct MpTunnelPeer *peer = g_hash_table_lookup(this->peers, address);
    if (peer) {
        peer->open += (uint32_t)change;
    }
}
