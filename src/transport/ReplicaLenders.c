#include "transport/ReplicaLenders.h"

#include "state/Codec.h"

#include <string.h>
#include <xxhash.h>

/* The list of lenders is rebuilt at most this often, ms: each change of it is
 * sent to all instances. */
#define REFRESH_MS 2000
/* An instance that has not synced for this long is not a lender, ms; longer
 * than restarts and partitions take. */
#define LENDER_TIMEOUT_MS 30000

/* Returns whether two addresses (host:port) have the same host. */
static bool
is_same_host(const char *a, const char *b)
{
    size_t size = strcspn(a, ":");
    return size == strcspn(b, ":") && strncmp(a, b, size) == 0;
}

static bool
is_on_replica_host(const struct MpReplica *replica, const char *address)
{
    const struct mp_members *members = &replica->raft.members;
    for (u_int i = 0; i < members->list.list_len; i++) {
        if (is_same_host(members->list.list_val[i].address, address)) {
            return true;
        }
    }
    return false;
}

static bool
may_lend(const struct MpReplica *replica,
         const struct MpIncarnation *incarnation, int64_t now_ms)
{
    const struct MpInstanceInfo *info =
        g_hash_table_lookup(replica->instances, incarnation->instance);
    return incarnation->address[0] != '\0' &&
           (!info || now_ms - info->synced_ms < LENDER_TIMEOUT_MS);
}

/* Returns where the instance listens for others; empty if it does not, or has
 * not synced for a while. */
static const char *
peers_address(const struct MpReplica *replica,
              const struct MpIncarnation *incarnation, int64_t now_ms)
{
    const struct MpInstanceInfo *info =
        g_hash_table_lookup(replica->instances, incarnation->instance);
    if (may_lend(replica, incarnation, now_ms)) {
        return incarnation->address;
    }
    return info && now_ms - info->synced_ms < LENDER_TIMEOUT_MS ? info->peers
                                                                : "";
}

static void
add_lender(struct MpReplica *replica, const struct MpIncarnation *incarnation,
           const char *address, bool lends)
{
    struct mp_lender lender = {.address = g_strdup(address),
                               .zone = g_strdup(incarnation->zone),
                               .lends = lends};
    uint64_t hash = XXH64(address, strlen(address), lends ? 1 : 2);
    g_array_append_val(replica->lenders, lender);
    /* The hashes are added, as the order of a hash table is arbitrary. */
    replica->lenders_hash +=
        XXH64(incarnation->zone, strlen(incarnation->zone), hash);
}

/* Returns the zones in which some lender is on a host without a replica. */
static GHashTable *
list_separate_zones(struct MpReplica *replica, int64_t now_ms)
{
    GHashTableIter iter;
    void *value;
    GHashTable *zones = g_hash_table_new(g_str_hash, g_str_equal);
    g_hash_table_iter_init(&iter, replica->machine.incarnations);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct MpIncarnation *incarnation = value;
        if (may_lend(replica, incarnation, now_ms) &&
            !is_on_replica_host(replica, incarnation->address)) {
            g_hash_table_add(zones, incarnation->zone);
        }
    }
    return zones;
}

static void
pack_list(struct MpReplica *replica)
{
    struct mp_lenders list = {
        .list = {.list_val = (struct mp_lender *)replica->lenders->data,
                 .list_len = replica->lenders->len}};
    MpTextPack_Encode(&replica->lenders_pack, MP_XDR(mp_lenders), &list);
}

static void
refresh_list(struct MpReplica *replica, int64_t now_ms)
{
    GHashTableIter iter;
    void *value;
    GHashTable *zones = list_separate_zones(replica, now_ms);
    replica->lenders_ms = now_ms;
    replica->lenders_hash = 1;
    g_array_set_size(replica->lenders, 0);
    g_hash_table_iter_init(&iter, replica->machine.incarnations);
    while (g_hash_table_iter_next(&iter, NULL, &value) &&
           replica->lenders->len < MP_LENDERS_MAX) {
        const struct MpIncarnation *incarnation = value;
        const char *address = peers_address(replica, incarnation, now_ms);
        bool lends = may_lend(replica, incarnation, now_ms) &&
                     (!is_on_replica_host(replica, incarnation->address) ||
                      !g_hash_table_contains(zones, incarnation->zone));
        if (address[0] != '\0') {
            add_lender(replica, incarnation, address, lends);
        }
    }
    g_hash_table_unref(zones);
    pack_list(replica);
}

static void
lender_clear(void *data)
{
    struct mp_lender *this = data;
    g_free(this->address);
    g_free(this->zone);
}

void
MpReplicaLenders_Init(struct MpReplica *replica)
{
    replica->lenders = g_array_new(false, false, sizeof(struct mp_lender));
    g_array_set_clear_func(replica->lenders, lender_clear);
}

void
MpReplicaLenders_Fill(struct MpReplica *replica, const struct mp_sync *sync,
                      struct mp_sync_reply *reply)
{
    int64_t now_ms = MpLoop_Now();
    if (replica->lenders_ms == 0 ||
        now_ms - replica->lenders_ms >= REFRESH_MS) {
        refresh_list(replica, now_ms);
    }
    reply->lenders_hash = replica->lenders_hash;
    if (sync->lenders_hash != replica->lenders_hash) {
        reply->lenders = MpTextPack_ToWire(&replica->lenders_pack);
    }
}
