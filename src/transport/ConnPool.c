#include "transport/TargetConnInternal.h"

#include <string.h>
#include <xxhash.h>

/* The connections to one target; see TargetConn.h. */

/* ---- lifetime ---- */

void
MpConnPool_FreeUnused(struct MpConnPool *this)
{
    if (this->is_deleted && this->open == 0) {
        g_free(this->address);
        g_free(this);
    }
}

void
MpConnPool_CloseIdle(struct MpConnPool *this)
{
    GList *link;
    while ((link = g_queue_pop_head_link(&this->idle))) {
        MpTargetConn_Free(link->data);
    }
}

struct MpConnPool *
MpConnPool_New(struct MpLoop *loop, struct MpMetrics *metrics,
               const char *address)
{
    struct MpConnPool *this = g_new0(struct MpConnPool, 1);
    this->loop = loop;
    this->metrics = metrics;
    this->address = g_strdup(address);
    this->connect_ms = MP_TARGET_CONNECT_MS;
    this->kept_max = INT64_MAX;
    g_queue_init(&this->idle);
    return this;
}

void
MpConnPool_Delete(struct MpConnPool *this)
{
    this->open++; /* keeps MpTargetConn_Free() from freeing the pool */
    MpConnPool_CloseIdle(this);
    this->open--;
    this->is_deleted = true;
    MpConnPool_FreeUnused(this);
}

void
MpConnPool_Sweep(struct MpConnPool *this, int64_t now_ms)
{
    GList *link = this->idle.head;
    while (link) {
        struct MpTargetConn *conn = link->data;
        link = link->next;
        if (now_ms - conn->idle_since_ms + MP_TARGET_IDLE_MARGIN_MS >=
            conn->idle_timeout_ms) {
            g_queue_unlink(&this->idle, &conn->link);
            MpTargetConn_Free(conn);
        }
    }
}

/* ---- requests ---- */

static uint64_t
hash_id(const char *id)
{
    return XXH3_64bits(id, strlen(id));
}

static bool
has_carried(const struct MpTargetConn *this, uint64_t id_hash)
{
    for (guint i = 0; i < this->id_hashes->len; i++) {
        if (g_array_index(this->id_hashes, uint64_t, i) == id_hash) {
            return true;
        }
    }
    return false;
}

/* Returns an idle connection for a request, or NULL.  One that carried the id
 * before is left to others: the response to the earlier request could come
 * again. */
static struct MpTargetConn *
take_idle(struct MpConnPool *this, const struct MpTargetRequest *request)
{
    MpConnPool_Sweep(this, MpLoop_Now());
    if (!request->id_header || !request->id || request->is_head) {
        return NULL;
    }
    if (this->dialer &&
        !MpTargetPaths_MayKeep(&this->dialer->paths, this->address)) {
        MpConnPool_CloseIdle(this);
        return NULL;
    }
    uint64_t id_hash = hash_id(request->id);
    GList *link = this->idle.head;
    while (link) {
        struct MpTargetConn *conn = link->data;
        link = link->next;
        if (has_carried(conn, id_hash)) {
            continue;
        }
        g_queue_unlink(&this->idle, &conn->link);
        if (MpTargetConn_IsSilent(conn)) {
            return conn;
        }
        MpTargetConn_Free(conn);
    }
    return NULL;
}

struct MpTargetConn *
MpConnPool_Send(struct MpConnPool *this, const struct MpTargetConnClass *klass,
                void *owner, const struct MpTargetRequest *request)
{
    struct MpTargetConn *conn = take_idle(this, request);
    bool is_new = !conn;
    if (is_new) {
        conn = MpTargetConn_New(this, MP_CONN_FOR_REQUEST, request->regions,
                                request->id);
    }
    else {
        this->reused++;
    }
    conn->klass = klass;
    conn->owner = owner;
    conn->request = request->bytes;
    conn->sent = request->body ? MpRequestBody_Ref(request->body) : NULL;
    conn->expected_ms = request->expected_ms;
    conn->requests++;
    if (request->id) {
        uint64_t id_hash = hash_id(request->id);
        g_array_append_val(conn->id_hashes, id_hash);
    }
    MpResponseReader_Start(
        &conn->reader,
        &(struct MpExpectedResponse){.id_header = request->id_header,
                                     .id = request->id,
                                     .is_head = request->is_head,
                                     .is_new_conn = conn->requests == 1});
    if (!is_new) {
        MpTargetConn_Write(conn);
        return conn;
    }
    return conn;
}

void
MpConnPool_Probe(struct MpConnPool *this, MpProbeDone probe_done, void *owner)
{
    struct MpTargetConn *conn =
        MpTargetConn_New(this, MP_CONN_FOR_PROBE, NULL, NULL);
    int64_t wait_ms =
        MP_TARGET_PROBE_MS + (this->dialer ? MP_TUNNEL_SEARCH_MS : 0);
    conn->probe_done = probe_done;
    conn->owner = owner;
    MpLoop_SetTimer(this->loop, &conn->timer, wait_ms,
                    MpTargetConn_ExpireProbe, conn);
}
