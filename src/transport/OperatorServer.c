#include "transport/OperatorServer.h"

#include "state/Error.h"
#include "transport/ConnLimit.h"
#include "transport/Console.h"
#include "transport/ControlApi.h"
#include "transport/ErrorBody.h"
#include "transport/Exchange.h"
#include "transport/HttpMemory.h"
#include "transport/Log.h"
#include "transport/NumberedDocument.h"
#include "transport/Secret.h"
#include "transport/ZoneOrder.h"

#include <openssl/crypto.h>
#include <string.h>

#define BODY_MAX_BYTES (8 * 1024 * 1024)
#define METRICS_BODY_MAX_BYTES 1024

/* ---- calls ---- */

static void
on_request_freed(void *data)
{
    struct MpOperatorLink *link = data;
    if (link->call) {
        link->call->req = NULL;
        link->call->link = NULL;
    }
}

struct MpOperatorCall *
MpOperatorCall_New(struct MpOperatorServer *server, h2o_req_t *req)
{
    struct MpOperatorCall *this = g_new0(struct MpOperatorCall, 1);
    this->server = server;
    this->req = req;
    this->began_ms = MpLoop_Now();
    this->path = g_strndup(req->path.base, req->path.len);
    this->link = h2o_mem_alloc_shared(&req->pool, sizeof(*this->link),
                                      on_request_freed);
    this->link->call = this;
    this->link_in_server.data = this;
    g_queue_push_tail_link(&server->calls, &this->link_in_server);
    return this;
}

void
MpOperatorCall_Delete(struct MpOperatorCall *this)
{
    if (this->link) {
        this->link->call = NULL;
    }
    g_queue_unlink(&this->server->calls, &this->link_in_server);
    g_free(this->path);
    g_free(this->workspace);
    g_free(this->zone);
    g_free(this->document_text);
    g_free(this);
}

static void
send_error(struct MpOperatorCall *this, int code, const char *detail)
{
    bool is_unknown = this->is_proposed && code == MP_ERROR_NO_QUORUM;
    if (!detail && is_unknown) {
        detail = "The change may or may not be in force.";
    }
    if (!this->is_console) {
        MpExchange_SendError(this->req, code, detail, NULL, 0, is_unknown);
        return;
    }
    char *page = MpConsole_ErrorPage(code, detail);
    MpHttp_AddHeader(this->req, MP_RUN_HEADER,
                     MpErrorBody_RunName(code, is_unknown));
    MpHttp_Send(this->req, MpError_Info(code)->http_status,
                "text/html; charset=utf-8", page, strlen(page));
    g_free(page);
}

void
MpOperatorCall_Fail(struct MpOperatorCall *this, int code, const char *detail)
{
    if (this->req) {
        send_error(this, code, detail);
    }
    MpOperatorCall_Delete(this);
}

bool
MpOperatorCall_CheckResult(struct MpOperatorCall *this, int code,
                           const struct mp_result *result)
{
    if (code == MP_OK) {
        code = result->code;
    }
    if (code != MP_OK) {
        MpOperatorCall_Fail(this, code, NULL);
    }
    return code == MP_OK;
}

void
MpOperatorCall_Send(struct MpOperatorCall *this, int status,
                    const char *content_type, const char *body)
{
    if (this->req) {
        if (status >= 400) {
            MpHttp_AddHeader(this->req, MP_RUN_HEADER, "no");
        }
        MpHttp_Send(this->req, status, content_type, body, strlen(body));
    }
    MpOperatorCall_Delete(this);
}

/* ---- token ---- */

/* Compares hashes in constant time, so that response times reveal nothing
 * about the token. */
static bool
is_operator_token(const struct MpOperatorServer *this, const char *offered)
{
    if (!this->token) {
        return false;
    }
    char *expected_hash = MpDocument_HashKey(this->token);
    char *offered_hash = MpDocument_HashKey(offered);
    bool is_same =
        CRYPTO_memcmp(expected_hash, offered_hash, strlen(expected_hash)) == 0;
    g_free(expected_hash);
    g_free(offered_hash);
    return is_same;
}

static bool
is_basic_token(const struct MpOperatorServer *this, const char *encoded)
{
    gsize size;
    guchar *decoded = g_base64_decode(encoded, &size);
    char *text = g_strndup((const char *)decoded, size);
    const char *colon = strchr(text, ':');
    bool is_valid = colon && is_operator_token(this, colon + 1);
    g_free(text);
    g_free(decoded);
    return is_valid;
}

static bool
is_authorized(const struct MpOperatorServer *this, const h2o_req_t *req)
{
    char *header = MpHttp_CopyHeader(req, "authorization");
    bool is_valid = false;
    if (header && g_str_has_prefix(header, "Bearer ")) {
        is_valid = is_operator_token(this, header + strlen("Bearer "));
    }
    else if (header && g_str_has_prefix(header, "Basic ")) {
        is_valid = is_basic_token(this, header + strlen("Basic "));
    }
    g_free(header);
    return is_valid;
}

/* ---- metrics ---- */

static void
write_replica_metrics(struct MpReplica *replica, GString *out)
{
    const struct MpRaft *raft = &replica->raft;
    MpMetrics_WriteValue(out, "mimosapath_raft_term", NULL, NULL,
                         (int64_t)raft->term);
    MpMetrics_WriteValue(out, "mimosapath_raft_leader", NULL, NULL,
                         MpRaft_IsLeader(raft));
    MpMetrics_WriteValue(out, "mimosapath_raft_applied", NULL, NULL,
                         (int64_t)raft->applied);
    MpMetrics_WriteValue(out, "mimosapath_raft_log_entries", NULL, NULL,
                         raft->log->len);
    MpMetrics_WriteValue(out, "mimosapath_disk_syncs_total", NULL, NULL,
                         (int64_t)replica->storage.syncs);
    MpMetrics_WriteValue(out, "mimosapath_disk_bytes_total", NULL, NULL,
                         (int64_t)replica->storage.synced_bytes);
    MpMetrics_WriteValue(out, "mimosapath_rpc_rejected_total", NULL, NULL,
                         (int64_t)replica->server.rejected);
    MpMetrics_WriteValue(out, "mimosapath_rpc_without_hello_total", NULL, NULL,
                         (int64_t)replica->server.ungreeted);
    MpMetrics_WriteValue(out, "mimosapath_ledger_records", NULL, NULL,
                         g_hash_table_size(replica->machine.ledger.records));
}

static void
send_metrics(struct MpOperatorServer *this, h2o_req_t *req)
{
    GString *out = g_string_new(NULL);
    if (this->router) {
        MpRouter_WriteMetrics(this->router, out);
    }
    if (this->replica) {
        write_replica_metrics(this->replica, out);
    }
    MpMetrics_WriteValue(out, "mimosapath_operator_rejected_total", NULL, NULL,
                         (int64_t)this->rejected);
    MpHttpCounts_Write(&this->http.counts, "operator", out);
    MpHttpMemory_WriteMetrics(&this->memory, "operator_memory", out);
    MpLog_WriteMetrics(out);
    MpHttp_Send(req, 200, "text/plain; version=0.0.4", out->str, out->len);
    g_string_free(out, TRUE);
}

static void
on_metrics_request(void *owner, h2o_req_t *req)
{
    send_metrics(owner, req);
}

/* ---- requests ---- */

static void
serve_call(struct MpOperatorCall *call, bool is_numbered, bool is_zone_order)
{
    if (is_zone_order) {
        MpZoneOrder_Serve(call);
    }
    else if (is_numbered) {
        MpNumberedDocument_Serve(call);
    }
    else if (call->is_console) {
        MpConsole_Serve(call);
    }
    else {
        MpControlApi_Serve(call);
    }
}

static void
on_request(void *owner, h2o_req_t *req)
{
    struct MpOperatorServer *this = owner;
    if (this->is_draining) {
        req->http1_is_persistent = 0;
    }
    if (MpHttp_Equals(req->path, "/healthz")) {
        MpHttp_Send(req, 200, "text/plain", "alive\n", 6);
        return;
    }
    if (MpHttp_Equals(req->path, "/metrics")) {
        send_metrics(this, req);
        return;
    }
    bool is_numbered = MpNumberedDocument_Matches(this, req);
    bool is_zone_order = MpZoneOrder_Matches(this, req);
    if (!is_numbered && !is_zone_order && !is_authorized(this, req)) {
        this->rejected++;
        MpHttp_AddHeader(req, "www-authenticate",
                         "Basic realm=\"mimosapath\"");
        MpExchange_SendError(req, MP_ERROR_AUTHENTICATION, NULL, NULL, 0,
                             false);
        return;
    }
    struct MpOperatorCall *call = MpOperatorCall_New(this, req);
    call->is_console = !is_numbered && !is_zone_order &&
                       !g_str_has_prefix(call->path, MP_CONTROL_API_PREFIX);
    if (this->is_draining) {
        MpLog_Event(LOG_INFO, "operator-call-refused", "path=%.128s",
                    call->path);
        MpOperatorCall_Fail(call, MP_ERROR_DRAINING, NULL);
        return;
    }
    serve_call(call, is_numbered, is_zone_order);
}

/* ---- drain ---- */

void
MpOperatorServer_Drain(struct MpOperatorServer *this)
{
    this->is_draining = true;
    for (GList *link = this->calls.head; link; link = link->next) {
        struct MpOperatorCall *call = link->data;
        if (call->req) {
            call->req->http1_is_persistent = 0;
        }
    }
}

bool
MpOperatorServer_IsIdle(const struct MpOperatorServer *this)
{
    for (GList *link = this->http.conns.head; link; link = link->next) {
        const struct MpHttpConn *conn = link->data;
        if (conn->request || MpHttpConn_UnreadBytes(conn) > 0) {
            return false;
        }
    }
    return true;
}

void
MpOperatorServer_StopCalls(struct MpOperatorServer *this)
{
    for (GList *link = this->calls.head; link; link = link->next) {
        struct MpOperatorCall *call = link->data;
        if (!call->req) {
            continue;
        }
        int code = call->is_proposed ? MP_ERROR_NO_QUORUM : MP_ERROR_DRAINING;
        MpLog_Event(LOG_WARNING, "operator-call-outlasts-drain",
                    "path=%.128s error=%s", call->path, MpError_Name(code));
        send_error(call, code, NULL);
        /* The reply of the control replicas ends the call. */
        call->link->call = NULL;
        call->link = NULL;
        call->req = NULL;
    }
}

static void
stop_listening(struct MpHttpServer *http)
{
    if (http->listener) {
        MpHttpServer_StopListening(http);
    }
}

void
MpOperatorServer_StopListening(struct MpOperatorServer *this)
{
    MpHttpServer_StopConnects(&this->http);
}

bool
MpOperatorServer_Close(struct MpOperatorServer *this)
{
    stop_listening(&this->http);
    stop_listening(&this->metrics_http);
    MpHttpServer_CloseIdle(&this->http);
    MpHttpServer_CloseIdle(&this->metrics_http);
    return MpHttpServer_IsClosed(&this->http) &&
           MpHttpServer_IsClosed(&this->metrics_http);
}

void
MpOperatorServer_Stop(struct MpOperatorServer *this)
{
    MpHttpServer_Stop(&this->http);
}

/* ---- start ---- */

/* Without a token setting, *token is NULL. */
static int
read_token(const struct MpSettings *settings, char **token)
{
    gsize size;
    *token = NULL;
    if (!settings->operator_token_file) {
        return MP_OK;
    }
    int code = MpSecret_Read(settings, "operator_token",
                             settings->operator_token_file, token, &size);
    if (code == MP_OK) {
        g_strstrip(*token);
    }
    return code;
}

int
MpOperatorServer_CheckToken(const struct MpSettings *settings)
{
    char *token;
    int code = read_token(settings, &token);
    g_free(token);
    return code;
}

int64_t
MpOperatorServer_MemoryLimit(const struct MpSettings *settings)
{
    if (!settings->listen.operators) {
        return MP_MEMORY_PROBES_BYTES;
    }
    return settings->operator_memory_max_bytes > 0
               ? settings->operator_memory_max_bytes
               : MpMemoryAccount_OperatorLimitOf(
                     settings->memory_mb * MP_BYTES_PER_MB, BODY_MAX_BYTES);
}

static int
start_listener(struct MpOperatorServer *this, struct MpHttpServer *http,
               const char *address, size_t body_max_bytes,
               void (*handle)(void *owner, h2o_req_t *req))
{
    int code = MpHttpServer_Start(http, this->loop, address, body_max_bytes,
                                  handle, this);
    if (code == MP_OK) {
        MpHttpServer_SetAccount(http, &this->memory);
        MpHttpServer_SetConnLimit(http, MpConnLimit_ForOthers(this->settings));
    }
    return code;
}

int
MpOperatorServer_Start(struct MpOperatorServer *this, struct MpLoop *loop,
                       const struct MpSettings *settings,
                       struct MpControlClient *control,
                       struct MpRouter *router, struct MpReplica *replica)
{
    *this = (struct MpOperatorServer){.loop = loop,
                                      .settings = settings,
                                      .control = control,
                                      .router = router,
                                      .replica = replica};
    g_queue_init(&this->calls);
    MpMemoryAccount_Init(&this->memory,
                         MpOperatorServer_MemoryLimit(settings));
    int code = read_token(settings, &this->token);
    /* Without a token only the dialect's document requests, /healthz and
     * /metrics can be used. */
    if (code == MP_OK && !this->token &&
        !control->dialect->has_numbered_documents) {
        code = MP_ERROR_AUTHENTICATION;
    }
    if (code == MP_OK && settings->listen.metrics) {
        code =
            start_listener(this, &this->metrics_http, settings->listen.metrics,
                           METRICS_BODY_MAX_BYTES, on_metrics_request);
    }
    if (code != MP_OK || !settings->listen.operators) {
        return code;
    }
    return start_listener(this, &this->http, settings->listen.operators,
                          BODY_MAX_BYTES, on_request);
}
