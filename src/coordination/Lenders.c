#include "coordination/Lenders.h"

#include <string.h>
#include <xxhash.h>

static void
zone_delete(void *data)
{
    struct MpLenderZone *this = data;
    g_free(this->name);
    g_ptr_array_unref(this->addresses);
    g_free(this);
}

void
MpLenders_Init(struct MpLenders *this, const char *address, const char *zone)
{
    *this = (struct MpLenders){.address = g_strdup(address),
                               .zone = g_strdup(zone)};
    this->zones = g_ptr_array_new_with_free_func(zone_delete);
    this->skipped_until =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void
MpLenders_Done(struct MpLenders *this)
{
    g_ptr_array_unref(this->zones);
    g_hash_table_unref(this->skipped_until);
    g_free(this->address);
    g_free(this->zone);
}

/* ---- list of peers ---- */

static uint64_t
hash_of(const char *text)
{
    return XXH64(text, strlen(text), 0);
}

static gint
compare_hashes(gconstpointer a, gconstpointer b)
{
    uint64_t x = hash_of(*(const char *const *)a);
    uint64_t y = hash_of(*(const char *const *)b);
    return x < y ? -1 : x > y;
}

static gint
compare_zones(gconstpointer a, gconstpointer b)
{
    const struct MpLenderZone *const *x = a;
    const struct MpLenderZone *const *y = b;
    return strcmp((*x)->name, (*y)->name);
}

static struct MpLenderZone *
zone_of(struct MpLenders *this, const char *name)
{
    for (guint i = 0; i < this->zones->len; i++) {
        struct MpLenderZone *zone = g_ptr_array_index(this->zones, i);
        if (strcmp(zone->name, name) == 0) {
            return zone;
        }
    }
    struct MpLenderZone *zone = g_new0(struct MpLenderZone, 1);
    zone->name = g_strdup(name);
    zone->addresses = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(this->zones, zone);
    return zone;
}

void
MpLenders_SetPeers(struct MpLenders *this, const struct mp_lender *peers,
                   uint32_t count)
{
    this->peer_count = 0;
    g_ptr_array_set_size(this->zones, 0);
    for (uint32_t i = 0; i < count; i++) {
        if (!peers[i].lends) {
            continue;
        }
        this->peer_count++;
        struct MpLenderZone *zone = zone_of(this, peers[i].zone);
        g_ptr_array_add(zone->addresses, g_strdup(peers[i].address));
    }
    for (guint i = 0; i < this->zones->len; i++) {
        struct MpLenderZone *zone = g_ptr_array_index(this->zones, i);
        g_ptr_array_sort(zone->addresses, compare_hashes);
        if (zone->addresses->len > MP_LENDERS_PER_ZONE) {
            g_ptr_array_set_size(zone->addresses, MP_LENDERS_PER_ZONE);
        }
    }
    g_ptr_array_sort(this->zones, compare_zones);
}

/* ---- order of lenders ---- */

/* Returns the lender with the given rank for workspace, 0 for the first. */
static const char *
lender_at(const struct MpLenderZone *zone, const char *workspace, guint rank)
{
    guint first = (guint)(hash_of(workspace) % zone->addresses->len);
    return g_ptr_array_index(zone->addresses,
                             (first + rank) % zone->addresses->len);
}

static const struct MpLenderZone *
own_zone(const struct MpLenders *this)
{
    for (guint i = 0; i < this->zones->len; i++) {
        const struct MpLenderZone *zone = g_ptr_array_index(this->zones, i);
        if (strcmp(zone->name, this->zone) == 0) {
            return zone;
        }
    }
    return NULL;
}

bool
MpLenders_IsPrimary(const struct MpLenders *this, const char *workspace)
{
    const struct MpLenderZone *zone = own_zone(this);
    if (!this->address) {
        return true;
    }
    if (!zone) {
        return false;
    }
    guint primaries = MIN(zone->addresses->len, MP_PRIMARIES_PER_ZONE);
    for (guint rank = 0; rank < primaries; rank++) {
        if (strcmp(lender_at(zone, workspace, rank), this->address) == 0) {
            return true;
        }
    }
    return false;
}

uint32_t
MpLenders_CountPrimaries(const struct MpLenders *this)
{
    uint32_t primaries = 0;
    for (guint i = 0; i < this->zones->len; i++) {
        const struct MpLenderZone *zone = g_ptr_array_index(this->zones, i);
        primaries += MIN(zone->addresses->len, MP_PRIMARIES_PER_ZONE);
    }
    return MAX(primaries, 1);
}

static bool
is_skipped(const struct MpLenders *this, const char *address, int64_t now_ms)
{
    const int64_t *until_ms =
        g_hash_table_lookup(this->skipped_until, address);
    return until_ms && now_ms < *until_ms;
}

static void
add_lenders(const struct MpLenders *this, const struct MpLenderZone *zone,
            guint max, const char *workspace, int64_t now_ms, GPtrArray *out)
{
    guint count = MIN(zone->addresses->len, max);
    for (guint rank = 0; rank < count; rank++) {
        const char *address = lender_at(zone, workspace, rank);
        if (g_strcmp0(address, this->address) != 0 &&
            !is_skipped(this, address, now_ms)) {
            g_ptr_array_add(out, g_strdup(address));
        }
    }
}

void
MpLenders_ListCandidates(const struct MpLenders *this, const char *workspace,
                         int64_t now_ms, GPtrArray *out)
{
    const struct MpLenderZone *own = own_zone(this);
    if (own) {
        add_lenders(this, own, MP_LENDERS_PER_ZONE, workspace, now_ms, out);
    }
    /* Routers start at different zones, which spreads the requests. */
    guint first = this->address ? (guint)(hash_of(this->address) >> 32) : 0;
    for (guint i = 0; i < this->zones->len; i++) {
        const struct MpLenderZone *zone =
            g_ptr_array_index(this->zones, (first + i) % this->zones->len);
        if (zone != own) {
            add_lenders(this, zone, MP_PRIMARIES_PER_ZONE, workspace, now_ms,
                        out);
        }
    }
}

void
MpLenders_ListOwnZone(const struct MpLenders *this, int64_t now_ms,
                      GPtrArray *out)
{
    const struct MpLenderZone *own = own_zone(this);
    if (own) {
        add_lenders(this, own, MP_LENDERS_PER_ZONE, "", now_ms, out);
    }
}

/* ---- keepers ---- */

static uint64_t
rank_of(const char *name, const char *incarnation)
{
    return XXH64(name, strlen(name), hash_of(incarnation));
}

/* Returns the lender of a zone with the highest rank for a target, other than
 * taken.  Rendezvous hashing: when a lender joins or leaves, only the targets
 * that it keeps get another keeper. */
static const char *
keeper_in(const struct MpLenderZone *zone, const char *incarnation,
          const char *taken)
{
    const char *keeper = NULL;
    for (guint i = 0; i < zone->addresses->len; i++) {
        const char *address = g_ptr_array_index(zone->addresses, i);
        if (address != taken &&
            (!keeper ||
             rank_of(address, incarnation) > rank_of(keeper, incarnation))) {
            keeper = address;
        }
    }
    return keeper;
}

/* Returns the zone with the highest rank for a target, other than taken. */
static const struct MpLenderZone *
keeper_zone(const struct MpLenders *this, const char *incarnation,
            const struct MpLenderZone *taken)
{
    const struct MpLenderZone *best = NULL;
    for (guint i = 0; i < this->zones->len; i++) {
        const struct MpLenderZone *zone = g_ptr_array_index(this->zones, i);
        if (zone != taken && (!best || rank_of(zone->name, incarnation) >
                                           rank_of(best->name, incarnation))) {
            best = zone;
        }
    }
    return best;
}

guint
MpLenders_ListKeepers(const struct MpLenders *this, const char *incarnation,
                      GPtrArray *out)
{
    const struct MpLenderZone *zone = NULL;
    const char *taken = NULL;
    guint near = 0;
    for (guint i = 0; i < MP_KEEPERS_MAX; i++) {
        const struct MpLenderZone *next = keeper_zone(this, incarnation, zone);
        /* With a single zone both keepers are in it. */
        zone = next ? next : zone;
        const char *keeper = zone ? keeper_in(zone, incarnation, taken) : NULL;
        if (!keeper) {
            break;
        }
        near = i > 0 && next && strcmp(zone->name, this->zone) == 0 ? i : near;
        taken = keeper;
        g_ptr_array_add(out, (char *)keeper);
    }
    return near;
}

static void
skip_until(struct MpLenders *this, const char *address, int64_t end_ms)
{
    int64_t *until_ms = g_new(int64_t, 1);
    *until_ms = end_ms;
    g_hash_table_replace(this->skipped_until, g_strdup(address), until_ms);
}

void
MpLenders_NoteFailure(struct MpLenders *this, const char *address,
                      int64_t now_ms)
{
    skip_until(this, address, now_ms + MP_LENDER_FAILURE_BACKOFF_MS);
}

void
MpLenders_NoteTimeout(struct MpLenders *this, const char *address,
                      int64_t now_ms)
{
    skip_until(this, address, now_ms + MP_LENDER_TIMEOUT_BACKOFF_MS);
}
