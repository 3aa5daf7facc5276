#include "transport/ReplicaDocument.h"

#include "protocol/TextPack.h"
#include "state/Error.h"
#include "state/TextPatch.h"

#include <string.h>

/* Versions that instances come from at one time. */
#define PARTS_KEPT 4

/* What an instance with a base lacks of the newest version, ready to send. */
struct part {
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
part_delete(void *data)
{
    struct part *this = data;
    MpTextPack_Done(&this->pack);
    g_free(this);
}

void
MpReplicaDocument_Keep(struct MpReplica *replica)
{
    const struct MpDocumentText *newest =
        g_queue_peek_tail(&replica->documents);
    if (newest && newest->version >= replica->machine.document_version) {
        return;
    }
    struct MpDocumentText *kept = g_new0(struct MpDocumentText, 1);
    kept->version = replica->machine.document_version;
    kept->text = g_strdup(replica->machine.document);
    g_queue_push_tail(&replica->documents, kept);
    if (replica->documents.length > MP_DOCUMENTS_KEPT) {
        document_delete(g_queue_pop_head(&replica->documents));
    }
}

const char *
MpReplicaDocument_Text(const struct MpReplica *replica, uint64_t version)
{
    for (GList *at = replica->documents.head; at; at = at->next) {
        const struct MpDocumentText *kept = at->data;
        if (kept->version == version) {
            return kept->text;
        }
    }
    return NULL;
}

static struct part *
part_new(const struct MpReplica *replica, uint64_t base_version,
         const char *base)
{
    const char *text = replica->machine.document;
    struct part *part = g_new0(struct part, 1);
    part->base_version = base_version;
    part->version = replica->machine.document_version;
    size_t size = strlen(text);
    if (base) {
        MpTextPatch_Make(&part->patch, base, text);
        size -= part->patch.prefix + part->patch.suffix;
    }
    MpTextPack_Init(&part->pack, text + part->patch.prefix, size);
    return part;
}

/* After a change hundreds of instances ask for the same. */
static const struct part *
part_of(struct MpReplica *replica, uint64_t base_version)
{
    const char *base = base_version > 0
                           ? MpReplicaDocument_Text(replica, base_version)
                           : NULL;
    uint64_t from = base ? base_version : 0;
    for (GList *at = replica->parts.head; at; at = at->next) {
        const struct part *part = at->data;
        if (part->base_version == from &&
            part->version == replica->machine.document_version) {
            return part;
        }
    }
    struct part *part = part_new(replica, from, base);
    g_queue_push_tail(&replica->parts, part);
    if (replica->parts.length > PARTS_KEPT) {
        part_delete(g_queue_pop_head(&replica->parts));
    }
    return part;
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
    const struct part *part = part_of(replica, fetch->base_version);
    reply.code = MP_OK;
    reply.document_version = part->version;
    reply.base_version = part->base_version;
    reply.prefix = part->patch.prefix;
    reply.suffix = part->patch.suffix;
    reply.checksum = part->patch.checksum;
    reply.text = MpTextPack_ToWire(&part->pack);
    MpRpcCall_Reply(call, &reply);
}
