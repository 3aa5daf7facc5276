#include "transport/ReplicaTargets.h"

#include "protocol/Dialect.h"
#include "state/Codec.h"
#include "transport/Log.h"
#include "transport/ReplicaVersions.h"
#include "transport/TargetList.h"

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

/* Interval at which the leader reads the target list, ms.  A change reaches
 * all instances one sync later, well within the time in which leaving targets
 * are still sent new requests. */
#define READ_INTERVAL_MS 500
/* Interval at which a replica that does not read the list checks whether it
 * must, ms: short, so that a new leader reads the list at once. */
#define LEADER_CHECK_MS 50
/* A list that was read longer ago than this is no longer sent, ms. */
#define LIST_MAX_AGE_MS 2500

static void
target_clear(void *data)
{
    struct mp_target *this = data;
    g_free(this->incarnation);
    g_free(this->pool);
    g_free(this->address);
    g_free(this->zone);
    g_free(this->software);
}

static const char *
version_of(const struct MpListedTarget *target)
{
    return target->version ? target->version : "";
}

/* Ends of cold times that differ by less than this are the same, ms: reads of
 * the list take different times. */
#define COLD_END_JITTER_MS 300

/* Returns the end of a target's cold time, 0 if it is not cold.  It stays the
 * same while the remaining time only counts down. */
static int64_t
cold_end(const GHashTable *ends, const struct MpListedTarget *target,
         int64_t now_ms)
{
    const int64_t *known =
        g_hash_table_lookup((GHashTable *)ends, target->incarnation);
    int64_t end_ms = now_ms + MIN(target->cold_ms, MP_COLD_MAX_MS);
    if (target->cold_ms <= 0) {
        return 0;
    }
    return known && end_ms - *known < COLD_END_JITTER_MS ? *known : end_ms;
}

/* Returns the ends of the cold times of targets, by incarnation. */
static GHashTable *
list_cold_ends(const GHashTable *before, const GPtrArray *targets,
               int64_t now_ms)
{
    GHashTable *ends =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    for (guint i = 0; i < targets->len; i++) {
        const struct MpListedTarget *target = g_ptr_array_index(targets, i);
        int64_t end_ms = cold_end(before, target, now_ms);
        if (end_ms > 0) {
            g_hash_table_replace(ends, g_strdup(target->incarnation),
                                 g_memdup2(&end_ms, sizeof(end_ms)));
        }
    }
    return ends;
}

/* Hashes a target without cold_ms, which counts down and so differs at each
 * read, but with cold_end_ms, which changes when it becomes cold again. */
static uint64_t
hash_entry(const struct MpListedTarget *target, const int64_t *cold_end_ms)
{
    uint64_t hash = XXH64(target->incarnation, strlen(target->incarnation), 1);
    hash = XXH64(target->pool, strlen(target->pool), hash);
    hash = XXH64(target->address, strlen(target->address), hash);
    hash = XXH64(target->zone, strlen(target->zone), hash);
    hash = XXH64(version_of(target), strlen(version_of(target)), hash);
    hash = XXH64(&target->slots, sizeof(target->slots), hash);
    hash = XXH64(&target->started_ms, sizeof(target->started_ms), hash);
    if (cold_end_ms) {
        hash = XXH64(cold_end_ms, sizeof(*cold_end_ms), hash);
    }
    return XXH64(&target->is_leaving, sizeof(target->is_leaving), hash);
}

/* Returns whether all names fit into their bounds in wire.x.  One name that is
 * too long would make the encoding of the whole reply fail. */
static bool
is_sendable(const struct MpListedTarget *target)
{
    return strlen(target->incarnation) <= MP_NAME_MAX &&
           strlen(target->pool) <= MP_NAME_MAX &&
           strlen(target->zone) <= MP_NAME_MAX &&
           strlen(version_of(target)) <= MP_NAME_MAX &&
           strlen(target->address) <= MP_ADDRESS_MAX;
}

static GArray *
new_list(void)
{
    GArray *list = g_array_new(false, false, sizeof(struct mp_target));
    g_array_set_clear_func(list, target_clear);
    return list;
}

static bool
is_equal(const struct mp_target *a, const struct mp_target *b)
{
    return a->slots == b->slots && a->leaving == b->leaving &&
           a->started_ms == b->started_ms && strcmp(a->pool, b->pool) == 0 &&
           strcmp(a->address, b->address) == 0 &&
           strcmp(a->zone, b->zone) == 0 &&
           strcmp(a->software, b->software) == 0;
}

/* Whether a target's cold time ends when it did before. */
static bool
has_same_end(const GHashTable *before, const GHashTable *after,
             const char *incarnation)
{
    const int64_t *a = g_hash_table_lookup((GHashTable *)before, incarnation);
    const int64_t *b = g_hash_table_lookup((GHashTable *)after, incarnation);
    return a && b ? *a == *b : a == b;
}

/* Sets targets_changed and targets_removed to the differences between the
 * previous list and the new one; ends_before are the cold ends of the
 * former. */
static void
compare_lists(struct MpReplica *this, const GHashTable *ends_before)
{
    GHashTable *before = g_hash_table_new(g_str_hash, g_str_equal);
    g_array_set_size(this->targets_changed, 0);
    g_array_set_size(this->targets_removed, 0);
    for (guint i = 0; i < this->previous_targets->len; i++) {
        struct mp_target *target =
            &g_array_index(this->previous_targets, struct mp_target, i);
        g_hash_table_insert(before, target->incarnation, target);
    }
    for (guint i = 0; i < this->targets->len; i++) {
        struct mp_target *target =
            &g_array_index(this->targets, struct mp_target, i);
        struct mp_target *old =
            g_hash_table_lookup(before, target->incarnation);
        if (!old || !is_equal(old, target) ||
            !has_same_end(ends_before, this->cold_ends, target->incarnation)) {
            g_array_append_val(this->targets_changed, *target);
        }
        g_hash_table_remove(before, target->incarnation);
    }
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, before);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_array_append_val(this->targets_removed, *(struct mp_target *)value);
    }
    g_hash_table_unref(before);
}

static void
pack_list(struct MpReplica *this)
{
    struct mp_targets list = {
        .list = {.list_val = (struct mp_target *)this->targets->data,
                 .list_len = this->targets->len}};
    MpTextPack_Encode(&this->targets_pack, MP_XDR(mp_targets), &list);
}

/* Replaces the list; returns 0 if it is the same. */
static uint32_t
apply_list(struct MpReplica *this, const GPtrArray *targets)
{
    uint64_t hash = 1;
    GHashTable *ends = list_cold_ends(this->cold_ends, targets, MpLoop_Now());
    for (guint i = 0; i < targets->len; i++) {
        /* The hashes are added, as the order of a provider's list is
         * arbitrary. */
        const struct MpListedTarget *target = g_ptr_array_index(targets, i);
        hash +=
            hash_entry(target, g_hash_table_lookup(ends, target->incarnation));
    }
    if (hash == this->targets_hash) {
        g_hash_table_unref(ends);
        return 0;
    }
    GHashTable *ends_before = this->cold_ends;
    this->cold_ends = ends;
    g_array_unref(this->previous_targets);
    this->previous_targets = this->targets;
    this->previous_targets_hash = this->targets_hash;
    this->targets = new_list();
    this->targets_hash = hash;
    for (guint i = 0; i < targets->len; i++) {
        const struct MpListedTarget *from = g_ptr_array_index(targets, i);
        if (!is_sendable(from)) {
            MpLog_Event(LOG_WARNING, "target-name-too-long", "target=%.64s",
                        from->incarnation);
            continue;
        }
        struct mp_target target = {.incarnation = g_strdup(from->incarnation),
                                   .pool = g_strdup(from->pool),
                                   .address = g_strdup(from->address),
                                   .zone = g_strdup(from->zone),
                                   .software = g_strdup(version_of(from)),
                                   .slots = from->slots,
                                   .leaving = from->is_leaving,
                                   .cold_ms = from->cold_ms,
                                   .started_ms = from->started_ms};
        g_array_append_val(this->targets, target);
    }
    compare_lists(this, ends_before);
    g_hash_table_unref(ends_before);
    pack_list(this);
    return 1;
}

/* Parses the document in force, if that has not been done. */
static void
update_list_document(struct MpReplica *this)
{
    if (this->list_document_version == this->machine.document_version) {
        return;
    }
    const char *text = this->machine.document;
    GPtrArray *findings = MpFindings_New();
    MpDocument_Unref(this->list_document);
    this->list_document = MpDialect_Find(this->settings->dialect)
                              ->load_document(text, strlen(text), findings);
    this->list_document_version = this->machine.document_version;
    if (!this->list_document) {
        MpLog_Event(LOG_ERR, "target-list-document-unreadable",
                    "version=%" PRIu64 " findings=%u",
                    this->list_document_version, findings->len);
    }
    g_ptr_array_unref(findings);
}

/* Returns the entries to pass on.  The result does not own them. */
static GPtrArray *
choose_entries(struct MpReplica *this, const GPtrArray *targets)
{
    bool is_too_long = targets->len > MP_TARGETS_MAX;
    bool was_too_long = this->list_document_version != 0;
    if (is_too_long) {
        update_list_document(this);
    }
    else {
        g_clear_pointer(&this->list_document, MpDocument_Unref);
        this->list_document_version = 0;
    }
    GPtrArray *chosen = MpTargetList_Choose(targets, this->list_document);
    if (is_too_long && !was_too_long) {
        MpLog_Event(LOG_WARNING, "target-list-too-long",
                    "targets=%u passed_on=%u", targets->len, chosen->len);
    }
    return chosen;
}

static uint32_t
on_list(void *owner, const GPtrArray *targets)
{
    struct MpReplica *this = owner;
    GPtrArray *chosen = choose_entries(this, targets);
    this->targets_read_ms = MpLoop_Now();
    MpReplicaVersions_Announce(this, targets);
    uint32_t changes = apply_list(this, chosen);
    g_ptr_array_unref(chosen);
    return changes;
}

static int64_t
read_interval(void *owner, bool *may_skip)
{
    const struct MpReplica *this = owner;
    *may_skip = !MpRaft_IsLeader(&this->raft) || this->is_failed ||
                this->machine.document_version == 0;

    return *may_skip ? LEADER_CHECK_MS : READ_INTERVAL_MS;
}

static const struct MpTargetListClass list_class = {.apply = on_list,
                                                    .interval = read_interval};

void
MpReplicaTargets_Start(struct MpReplica *replica)
{
    replica->targets = new_list();
    replica->previous_targets = new_list();
    replica->cold_ends =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    replica->targets_changed =
        g_array_new(false, false, sizeof(struct mp_target));
    replica->targets_removed =
        g_array_new(false, false, sizeof(struct mp_target));
    replica->target_list = MpTargetList_New(&list_class, replica,
                                            replica->loop, replica->settings);
    MpTargetList_Start(replica->target_list);
}

void
MpReplicaTargets_Fill(const struct MpReplica *replica,
                      const struct mp_sync *sync, struct mp_sync_reply *reply)
{
    reply->has_targets =
        replica->targets_read_ms > 0 &&
        MpLoop_Now() - replica->targets_read_ms < LIST_MAX_AGE_MS;
    reply->targets_hash = replica->targets_hash;
    if (!reply->has_targets || sync->targets_hash == replica->targets_hash) {
        return;
    }
    /* Only an instance that has the previous list gets the differences; one
     * that missed more than one change gets the whole list. */
    reply->has_partial_targets =
        replica->previous_targets_hash != 0 &&
        sync->targets_hash == replica->previous_targets_hash;
    if (!reply->has_partial_targets) {
        reply->full_targets = MpTextPack_ToWire(&replica->targets_pack);
        return;
    }
    reply->targets.targets_val =
        (struct mp_target *)replica->targets_changed->data;
    reply->targets.targets_len = replica->targets_changed->len;
    reply->targets_removed.targets_removed_val =
        (struct mp_target *)replica->targets_removed->data;
    reply->targets_removed.targets_removed_len = replica->targets_removed->len;
}
