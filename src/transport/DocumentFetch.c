#include "transport/DocumentFetch.h"

#include "protocol/TextPack.h"
#include "state/Error.h"
#include "state/TextPatch.h"
#include "transport/Log.h"

#include <inttypes.h>
#include <string.h>

/* A large document takes a while on a narrow link, ms. */
#define FETCH_TIMEOUT_MS 1200

static const char *
client_at(const struct MpControlClient *this, guint at)
{
    const struct MpRpcClient *client = g_ptr_array_index(this->clients, at);
    return client->address;
}

/* Returns the new text, or NULL when its patch does not fit. */
static char *
text_of_reply(struct MpControlClient *this, const struct mp_fetch_reply *reply)
{
    size_t size;
    char *middle = MpTextPack_Unpack(&reply->text, &size);
    if (reply->base_version == 0 || !middle) {
        return middle;
    }
    struct MpTextPatch patch = {.prefix = reply->prefix,
                                .suffix = reply->suffix,
                                .checksum = reply->checksum};
    bool is_base =
        this->document && this->document->version == reply->base_version;
    char *text = is_base
                     ? MpTextPatch_Apply(&patch, this->document_text, middle)
                     : NULL;
    g_free(middle);
    return text;
}

static void
take_document(struct MpControlClient *this, const struct mp_fetch_reply *reply)
{
    uint64_t current = this->document ? this->document->version : 0;
    if (reply->document_version <= current) {
        return;
    }
    char *text = text_of_reply(this, reply);
    GPtrArray *findings = MpFindings_New();
    struct MpDocument *document =
        text ? this->dialect->parse_document(text, strlen(text), findings)
             : NULL;
    g_ptr_array_unref(findings);
    this->wants_whole = !document;
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
    document->version = reply->document_version; /* an own text has none */
    MpDocument_Unref(this->document);
    this->document = document;
    this->applied_ms = (uint64_t)MpLoop_WallMs();
    MpLog_Event(LOG_NOTICE, "document-in-force",
                "version=%" PRIu64 " base=%" PRIu64 " bytes=%u from=%s",
                document->version, (uint64_t)reply->base_version,
                reply->text.bytes.bytes_len,
                client_at(this, this->fetched_from));
    this->listener->document(this->owner, document);
}

static void
on_fetched(void *data, int code, const void *result)
{
    struct MpControlClient *this = data;
    const struct mp_fetch_reply *reply = result;
    this->is_fetching = false;
    /* A replica that is away or behind is made up for by the leader. */
    this->asks_leader = code != MP_OK || reply->code != MP_OK;
    if (!this->asks_leader) {
        take_document(this, reply);
    }
    else if (this->fetched_from != this->leader) {
        MpFleetDocument_Fetch(this, this->fetched_version);
    }
}

/* The replicas share the instances by a hash of their names. */
void
MpFleetDocument_Fetch(struct MpControlClient *this, uint64_t version)
{
    uint64_t current = this->document ? this->document->version : 0;
    struct mp_fetch fetch = {.document_version = version,
                             .base_version = this->wants_whole ? 0 : current};
    if (this->is_fetching || version <= current) {
        return;
    }
    guint from = g_str_hash(this->settings->instance) % this->clients->len;
    if (this->asks_leader ||
        !MpRpcClient_IsReady(g_ptr_array_index(this->clients, from))) {
        from = this->leader;
    }
    this->is_fetching = true;
    this->fetched_from = from;
    this->fetched_version = version;
    MpRpcClient_Call(g_ptr_array_index(this->clients, from), MP_PROC_FETCH,
                     &fetch, FETCH_TIMEOUT_MS, on_fetched, this);
}
