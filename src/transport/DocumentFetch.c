#include "transport/DocumentFetch.h"

#include "coordination/Raft.h"
#include "protocol/TextPack.h"
#include "state/Error.h"
#include "state/TextPatch.h"
#include "transport/Log.h"

#include <inttypes.h>
#include <string.h>

/* Allows for a large document on a slow link, ms. */
#define FETCH_TIMEOUT_MS 1200
/* A replica learns with the leader's next heartbeat that a document is
 * committed; one that has an older document is asked again after this, ms. */
#define FETCH_RETRY_MS (MP_RAFT_HEARTBEAT_MS + 20)
/* It is asked again so many times before the leader is, which hundreds of
 * instances would ask at once. */
#define FETCH_RETRIES_MAX 1

static const char *
address_at(const struct MpControlClient *this, guint at)
{
    const struct MpRpcClient *client = g_ptr_array_index(this->clients, at);
    return client->address;
}

/* Returns the new text, or NULL when it cannot be unpacked or is a patch to
 * another text than this instance has. */
static char *
text_from_reply(struct MpControlClient *this,
                const struct mp_fetch_reply *reply)
{
    size_t size;
    char *middle = MpTextPack_Unpack(&reply->text, &size);
    if (reply->base_version == 0 || !middle) {
        return middle;
    }
    struct MpTextPatch patch = {.prefix = reply->prefix,
                                .suffix = reply->suffix,
                                .checksum = reply->checksum};
    bool has_base =
        this->document && this->document->version == reply->base_version;
    char *text = has_base
                     ? MpTextPatch_Apply(&patch, this->document_text, middle)
                     : NULL;
    g_free(middle);
    return text;
}

static void
apply_document(struct MpControlClient *this,
               const struct mp_fetch_reply *reply)
{
    uint64_t current = this->document ? this->document->version : 0;
    if (reply->document_version <= current) {
        return;
    }
    char *text = text_from_reply(this, reply);
    GPtrArray *findings = MpFindings_New();
    struct MpDocument *document =
        text ? this->dialect->load_document(text, strlen(text), findings)
             : NULL;
    g_ptr_array_unref(findings);
    this->needs_full_document = !document;
    if (!document) {
        MpLog_Event(LOG_ERR, "document-rejected",
                    "version=%" PRIu64 " base=%" PRIu64 " bytes=%u",
                    (uint64_t)reply->document_version,
                    (uint64_t)reply->base_version,
                    reply->text.bytes.bytes_len);
        g_free(text);
        return;
    }
    g_free(this->document_text);
    this->document_text = text;
    /* The text of a native document has no version. */
    document->version = reply->document_version;
    MpDocument_Unref(this->document);
    this->document = document;
    this->applied_ms = (uint64_t)MpLoop_WallMs();
    MpLog_Event(LOG_NOTICE, "document-in-force",
                "version=%" PRIu64 " base=%" PRIu64 " bytes=%u from=%s",
                document->version, (uint64_t)reply->base_version,
                reply->text.bytes.bytes_len,
                address_at(this, this->fetch_replica));
    this->listener->document(this->owner, document);
}

static void
on_fetch_timer(struct MpTimer *timer)
{
    struct MpControlClient *this = timer->data;
    this->is_fetching = false;
    MpDocumentFetch_Start(this, this->fetch_version);
}

static void
on_fetched(void *data, int code, const void *result)
{
    struct MpControlClient *this = data;
    const struct mp_fetch_reply *reply = result;
    bool is_older = code == MP_OK && reply->code == MP_ERROR_NOT_FOUND;
    if (is_older && this->fetch_waits < FETCH_RETRIES_MAX &&
        this->fetch_replica != this->leader) {
        this->fetch_waits++;
        MpLoop_SetTimer(this->loop, &this->fetch_timer, FETCH_RETRY_MS,
                        on_fetch_timer, this);
        return;
    }
    this->is_fetching = false;
    /* If the replica is unreachable or still has an older version, the leader
     * is used. */
    this->needs_leader_fetch = code != MP_OK || reply->code != MP_OK;
    if (!this->needs_leader_fetch) {
        this->fetch_waits = 0;
        apply_document(this, reply);
    }
    else if (this->fetch_replica != this->leader) {
        MpDocumentFetch_Start(this, this->fetch_version);
    }
}

/* The hash of the instance name selects the replica, which spreads the
 * instances over all replicas. */
void
MpDocumentFetch_Start(struct MpControlClient *this, uint64_t version)
{
    uint64_t current = this->document ? this->document->version : 0;
    struct mp_fetch fetch = {.document_version = version,
                             .base_version =
                                 this->needs_full_document ? 0 : current};
    if (this->is_fetching || version <= current) {
        return;
    }
    guint from = g_str_hash(this->settings->instance) % this->clients->len;
    if (this->needs_leader_fetch ||
        !MpRpcClient_IsReady(g_ptr_array_index(this->clients, from))) {
        from = this->leader;
    }
    this->is_fetching = true;
    this->fetch_replica = from;
    this->fetch_version = version;
    MpRpcClient_Call(g_ptr_array_index(this->clients, from), MP_PROC_FETCH,
                     &fetch, FETCH_TIMEOUT_MS, on_fetched, this);
}
