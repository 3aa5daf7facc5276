#include "transport/Upstream.h"

#include "transport/TargetConn.h"

#include <string.h>

#define CONNECT_TIMEOUT_MS 1000

struct MpUpstream {
    const struct MpUpstreamClass *klass;
    void *owner;
    struct MpTargetConn *conn;
};

static void
on_head(void *owner, const struct MpTargetHead *head)
{
    struct MpUpstream *this = owner;
    this->klass->head(this->owner, head);
}

static void
on_body(void *owner, const char *data, size_t size)
{
    struct MpUpstream *this = owner;
    this->klass->body(this->owner, data, size);
}

static void
on_end(void *owner, enum MpTargetResult result)
{
    struct MpUpstream upstream = *(struct MpUpstream *)owner;
    g_free(owner);
    upstream.klass->end(upstream.owner, result == MP_TARGET_COMPLETE
                                            ? MP_UPSTREAM_COMPLETE
                                        : result == MP_TARGET_NOT_SENT
                                            ? MP_UPSTREAM_NOT_SENT
                                            : MP_UPSTREAM_INCOMPLETE);
}

static const struct MpTargetConnClass conn_class = {
    .head = on_head, .body = on_body, .end = on_end};

struct MpUpstream *
MpUpstream_Start(struct MpLoop *loop, struct MpDialer *dialer,
                 const struct MpRegionRule *regions,
                 const struct MpUpstreamClass *klass, void *owner,
                 const char *address, const char *method, GByteArray *request,
                 struct MpRequestBody *body)
{
    struct MpUpstream *this = g_new(struct MpUpstream, 1);
    struct MpConnPool *conn_pool = MpConnPool_New(loop, NULL, address);
    struct MpTargetRequest target_request = {.bytes = request,
                                             .body = body,
                                             .is_head =
                                                 strcmp(method, "HEAD") == 0,
                                             .regions = regions};
    conn_pool->dialer = dialer;
    conn_pool->connect_ms = CONNECT_TIMEOUT_MS;
    *this =
        (struct MpUpstream){.klass = klass,
                            .owner = owner,
                            .conn = MpConnPool_Send(conn_pool, &conn_class,
                                                    this, &target_request)};
    /* The pool is freed with its only connection. */
    MpConnPool_Delete(conn_pool);
    return this;
}

void
MpUpstream_Cancel(struct MpUpstream *this)
{
    MpTargetConn_Cancel(this->conn);
    g_free(this);
}

void
MpUpstream_SkipRest(struct MpUpstream *this, const struct MpTargetHead *head)
{
    MpTargetConn_SkipRest(this->conn, head);
}

void
MpUpstream_Pause(struct MpUpstream *this)
{
    MpTargetConn_Pause(this->conn);
}

void
MpUpstream_Resume(struct MpUpstream *this)
{
    MpTargetConn_Resume(this->conn);
}
