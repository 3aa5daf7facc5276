#include "transport/ReplicaLenders.h"

#include "state/Codec.h"

#include <string.h>
#include <xxhash.h>

/* Pause between two looks at who lends, ms: a list goes to all instances. */
#define LOOK_MS 2000
/* An instance that was not heard of for this long lends no more, ms: longer
 * than restarts and partitions take. */
#define SILENT_MS 30000

/* Returns whether two addresses have the same host. */
static bool
is_same_host(const char *a, const char *b)
{
    size_t size = strcspn(a, ":");
    return size == strcspn(b, ":") && strncmp(a, b, size) == 0;
}

static bool
is_beside_replica(const struct MpReplica *replica, const char *address)
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
lends(const struct MpReplica *replica, const struct MpIncarnation *life,
      int64_t now_ms)
{
    const struct MpInstanceView *view =
        g_hash_table_lookup(replica->instances, life->instance);
    return life->address[0] != '\0' &&
           (!view || now_ms - view->heard_ms < SILENT_MS);
}

static void
add_peer(struct MpReplica *replica, const struct MpIncarnation *life)
{
    struct mp_lender peer = {.address = g_strdup(life->address),
                             .zone = g_strdup(life->zone)};
    uint64_t hash = XXH64(life->address, strlen(life->address), 1);
    g_array_append_val(replica->peers_told, peer);
    /* A sum: the order of the table means nothing. */
    replica->peers_hash += XXH64(life->zone, strlen(life->zone), hash);
}

/* Zones in which some lender stands apart from replicas. */
static GHashTable *
zones_apart(struct MpReplica *replica, int64_t now_ms)
{
    GHashTableIter iter;
    void *value;
    GHashTable *zones = g_hash_table_new(g_str_hash, g_str_equal);
    g_hash_table_iter_init(&iter, replica->machine.incarnations);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct MpIncarnation *life = value;
        if (lends(replica, life, now_ms) &&
            !is_beside_replica(replica, life->address)) {
            g_hash_table_add(zones, life->zone);
        }
    }
    return zones;
}

static void
pack_list(struct MpReplica *replica)
{
    struct mp_lenders list = {
        .list = {.list_val = (struct mp_lender *)replica->peers_told->data,
                 .list_len = replica->peers_told->len}};
    MpTextPack_Encode(&replica->peers_pack, MP_XDR(mp_lenders), &list);
}

static void
look(struct MpReplica *replica, int64_t now_ms)
{
    GHashTableIter iter;
    void *value;
    GHashTable *zones = zones_apart(replica, now_ms);
    replica->peers_ms = now_ms;
    replica->peers_hash = 1;
    g_array_set_size(replica->peers_told, 0);
    g_hash_table_iter_init(&iter, replica->machine.incarnations);
    while (g_hash_table_iter_next(&iter, NULL, &value) &&
           replica->peers_told->len < MP_LENDERS_MAX) {
        const struct MpIncarnation *life = value;
        if (lends(replica, life, now_ms) &&
            (!is_beside_replica(replica, life->address) ||
             !g_hash_table_contains(zones, life->zone))) {
            add_peer(replica, life);
        }
    }
    g_hash_table_unref(zones);
    pack_list(replica);
}

static void
peer_clear(void *data)
{
    struct mp_lender *this = data;
    g_free(this->address);
    g_free(this->zone);
}

void
MpReplicaPeers_Init(struct MpReplica *replica)
{
    replica->peers_told = g_array_new(false, false, sizeof(struct mp_lender));
    g_array_set_clear_func(replica->peers_told, peer_clear);
}

void
MpReplicaPeers_Fill(struct MpReplica *replica, const struct mp_sync *sync,
                    struct mp_sync_reply *reply)
{
    int64_t now_ms = MpLoop_Now();
    if (replica->peers_ms == 0 || now_ms - replica->peers_ms >= LOOK_MS) {
        look(replica, now_ms);
    }
    reply->lenders_hash = replica->peers_hash;
    if (sync->lenders_hash != replica->peers_hash) {
        reply->lenders = MpTextPack_ToWire(&replica->peers_pack);
    }
}
