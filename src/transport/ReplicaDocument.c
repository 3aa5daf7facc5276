#include "transport/ReplicaDocument.h"

#include "protocol/TextPack.h"
#include "state/Error.h"
#include "state/TextPatch.h"

#include <string.h>

/* Number of deltas cached.  Instances that fetch at the same time have few
 * different base versions. */
#define DELTAS_MAX 4

/* The difference of a version to base_version, packed for sending; the whole
 * text if base_version is 0. */
struct delta {
    uint64_t base_version;
    uint64_t version;
    struct MpTextPatch patch;
    struct MpTextPack pack;
};

static void
document_delete(void *data)
{
    struct MpDocumentText *this = data;
    g_free(this->text);
    g_free(this);
}

static void
delta_delete(void *data)
{
    struct delta *this = data;
    MpTextPack_Done(&this->pack);
    g_free(this);
}

/* Drops old versions beyond the limits; the newest two stay, for deltas. */
static void
drop_old_versions(struct MpReplica *replica)
{
    guint kept = 0;
    size_t bytes = 0;
    for (GList *at = replica->documents.tail; at; at = at->prev) {
        const struct MpDocumentText *entry = at->data;
        bytes += strlen(entry->text);
        kept += kept < 2 ||
                (kept < MP_DOCUMENTS_MAX && bytes <= MP_DOCUMENTS_MAX_BYTES);
    }
    while (replica->documents.length > kept) {
        document_delete(g_queue_pop_head(&replica->documents));
    }
}

void
MpReplicaDocument_AddVersion(struct MpReplica *replica)
{
    const struct MpDocumentText *newest =
        g_queue_peek_tail(&replica->documents);
    if (newest && newest->version >= replica->machine.document_version) {
        return;
    }
    struct MpDocumentText *entry = g_new0(struct MpDocumentText, 1);
    entry->version = replica->machine.document_version;
    entry->text = g_strdup(replica->machine.document);
    g_queue_push_tail(&replica->documents, entry);
    drop_old_versions(replica);
}

const char *
MpReplicaDocument_Text(const struct MpReplica *replica, uint64_t version)
{
    for (GList *at = replica->documents.head; at; at = at->next) {
        const struct MpDocumentText *entry = at->data;
        if (entry->version == version) {
            return entry->text;
        }
    }
    return NULL;
}

static struct delta *
delta_new(const struct MpReplica *replica, uint64_t base_version,
          const char *base)
{
    const char *text = replica->machine.document;
    struct delta *delta = g_new0(struct delta, 1);
    delta->base_version = base_version;
    delta->version = replica->machine.document_version;
    size_t size = strlen(text);
    if (base) {
        MpTextPatch_Make(&delta->patch, base, text);
        size -= delta->patch.prefix + delta->patch.suffix;
    }
    MpTextPack_Init(&delta->pack, text + delta->patch.prefix, size);
    return delta;
}

/* Returns the delta from base_version to the newest version.  It is cached, as
 * hundreds of instances fetch the same one after a change. */
static const struct delta *
get_delta(struct MpReplica *replica, uint64_t base_version)
{
    const char *base = base_version > 0
                           ? MpReplicaDocument_Text(replica, base_version)
                           : NULL;
    uint64_t from = base ? base_version : 0;
    for (GList *at = replica->deltas.head; at; at = at->next) {
        const struct delta *delta = at->data;
        if (delta->base_version == from &&
            delta->version == replica->machine.document_version) {
            return delta;
        }
    }
    struct delta *delta = delta_new(replica, from, base);
    g_queue_push_tail(&replica->deltas, delta);
    if (replica->deltas.length > DELTAS_MAX) {
        delta_delete(g_queue_pop_head(&replica->deltas));
    }
    return delta;
}

void
MpReplicaDocument_Serve(struct MpReplica *replica, struct MpRpcCall *call)
{
    const struct mp_fetch *fetch = call->argument;
    struct mp_fetch_reply reply = {.code = MP_ERROR_NOT_FOUND};
    if (replica->is_failed ||
        replica->machine.document_version < fetch->document_version) {
        MpRpcCall_Reply(call, &reply);
        return;
    }
    const struct delta *delta = get_delta(replica, fetch->base_version);
    reply.code = MP_OK;
    reply.document_version = delta->version;
    reply.base_version = delta->base_version;
    reply.prefix = delta->patch.prefix;
    reply.suffix = delta->patch.suffix;
    reply.checksum = delta->patch.checksum;
    reply.text = MpTextPack_ToWire(&delta->pack);
    MpRpcCall_Reply(call, &reply);
}
