#include "transport/Router.h"

#include "transport/ConnLimit.h"
#include "transport/ErrorBody.h"
#include "transport/Exchange.h"
#include "transport/GatewayLoad.h"
#include "transport/GatewayPermits.h"
#include "transport/GatewaySuspect.h"
#include "transport/GatewayVersions.h"
#include "transport/HttpMemory.h"
#include "transport/LeaseManager.h"
#include "transport/Log.h"
#include "transport/OperatorServer.h"
#include "transport/TargetPoller.h"

#include <string.h>

#define TICK_MS 50
/* With stop_within_s set, the process is killed from outside after that time;
 * the drain ends this much earlier, ms. */
#define STOP_MARGIN_MS 400
/* Requests that still run this long before the end of the drain get their
 * final answer, which takes a moment to be sent, ms. */
#define STOP_ANSWER_MS 200
/* Connections that are idle this long before the end of the drain are closed,
 * so that their clients can close them too, ms. */
#define STOP_CLOSE_MS 500
#define QUEUE_MAX 1024
#define READY_BODY_MAX_BYTES 1024

/* ---- picking and queues ---- */

struct MpTarget *
MpRouter_Pick(struct MpRouter *this, const struct MpExchange *exchange,
              int *code)
{
    struct MpPickQuery query = {.names = exchange->targets,
                                .blocks = exchange->blocks,
                                .block_count = exchange->block_count,
                                .is_at_most_once = exchange->at_most_once,
                                .avoid = exchange->tried,
                                .regions = &exchange->regions};
    return MpPicker_Pick(&this->picker, &query, MpLoop_Now(), code);
}

static struct MpFairQueue *
queue_of(struct MpRouter *this, const char *name)
{
    struct MpFairQueue *queue = g_hash_table_lookup(this->queues, name);
    if (!queue) {
        queue = g_new0(struct MpFairQueue, 1);
        MpFairQueue_Init(queue, QUEUE_MAX);
        g_hash_table_insert(this->queues, g_strdup(name), queue);
    }
    return queue;
}

int
MpRouter_Enqueue(struct MpRouter *this, struct MpExchange *exchange)
{
    return MpFairQueue_Push(queue_of(this, exchange->queue_name),
                            &exchange->item);
}

void
MpRouter_ScheduleDispatch(struct MpRouter *this)
{
    this->is_dispatch_pending = true;
}

static void
shed_expired(struct MpFairQueue *queue, int64_t now_ms)
{
    struct MpQueueItem *item;
    while ((item = MpFairQueue_PopExpired(queue, now_ms))) {
        MpExchange_Shed(item->data, MP_ERROR_LIMIT);
    }
}

static void
dispatch_queue(struct MpRouter *this, struct MpFairQueue *queue)
{
    struct MpQueueItem *item;
    while ((item = MpFairQueue_Peek(queue))) {
        struct MpExchange *exchange = item->data;
        int code;
        if (!MpExchange_HasCaller(exchange)) {
            MpFairQueue_Dequeue(queue, item);
            MpExchange_Shed(exchange, MP_ERROR_CLOSED);
            continue;
        }
        struct MpTarget *target = MpRouter_Pick(this, exchange, &code);
        if (!target && code == MP_ERROR_LIMIT) {
            return;
        }
        MpFairQueue_Dequeue(queue, item);
        if (target) {
            MpExchange_Open(exchange, target);
        }
        else {
            MpExchange_Shed(exchange, code);
        }
    }
}

static void
dispatch_queues(struct MpRouter *this)
{
    GHashTableIter iter;
    void *value;
    this->is_dispatch_pending = false;
    g_hash_table_iter_init(&iter, this->queues);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        shed_expired(value, MpLoop_Now());
        dispatch_queue(this, value);
    }
}

static void
after_round(void *data)
{
    struct MpRouter *this = data;
    if (this->is_dispatch_pending) {
        dispatch_queues(this);
    }
}

/* ---- requests ---- */

static bool
is_ready(const struct MpRouter *this)
{
    bool is_configured =
        this->gateway.dialect->is_paths_only
            ? this->control.document != NULL && this->control.zones.is_known
            : MpControlClient_IsReady(&this->control);
    return is_configured && MpGateway_HasTargets(&this->gateway) &&
           MpGatewayLoad_IsInRotation(&this->gateway) && !this->is_draining;
}

static void
answer_ready(struct MpRouter *this, h2o_req_t *req)
{
    if (is_ready(this)) {
        MpHttp_Send(req, 200, "text/plain", "ready\n", 6);
        return;
    }
    MpExchange_SendError(
        req, this->is_draining ? MP_ERROR_DRAINING : MP_ERROR_NOT_READY, NULL,
        NULL, 1000, false);
}

static int
refusal_code(const struct MpRouter *this)
{
    if (this->is_draining && MpLoop_Now() >= this->refuse_from_ms) {
        return MP_ERROR_DRAINING;
    }
    if (!MpControlClient_IsReady(&this->control)) {
        return MP_ERROR_NOT_READY;
    }
    if (this->exchanges.length >= (guint)this->settings->requests_max) {
        return MP_ERROR_LIMIT;
    }
    return MP_OK;
}

static void
on_request(void *owner, h2o_req_t *req)
{
    struct MpRouter *this = owner;
    if (this->is_draining) {
        req->http1_is_persistent = 0;
    }
    if (MpGateway_Matches(&this->gateway, req)) {
        MpGateway_Serve(&this->gateway, req);
        return;
    }
    if (MpHttp_Equals(req->path, "/healthz")) {
        MpHttp_Send(req, 200, "text/plain", "alive\n", 6);
        return;
    }
    if (MpHttp_Equals(req->path, "/readyz")) {
        answer_ready(this, req);
        return;
    }
    int code = refusal_code(this);
    if (code != MP_OK) {
        MpMetrics_Count(&this->metrics, "mimosapath_refused_total", "cause",
                        MpError_Name(code), 1);
        /* The record of the key is not read here: a request with a key may
         * have been sent and run before. */
        char *key = MpHttp_CopyHeader(req, "idempotency-key");
        MpExchange_SendError(req, code, NULL, NULL, 1000, key != NULL);
        g_free(key);
        return;
    }
    MpMetrics_Count(&this->metrics, "mimosapath_requests_total", NULL, NULL,
                    1);
    MpExchange_Begin(this, req);
}

/* Health checks of a load balancer, on an address of their own. */
static void
on_ready_request(void *owner, h2o_req_t *req)
{
    answer_ready(owner, req);
}

/* ---- updates from the control replicas ---- */

static void
on_document(void *owner, struct MpDocument *document)
{
    struct MpRouter *this = owner;
    MpPicker_SetDocument(&this->picker, document);
    MpGateway_SetDocument(&this->gateway, document);
    MpHttpServer_SetIdleTimeout(&this->http, document->limits.idle_timeout_ms);
    MpRouter_ScheduleDispatch(this);
}

static void
on_registered(void *owner, uint64_t boot)
{
    struct MpRouter *this = owner;
    MpLeaseManager_Registered(this->leases, boot);
    MpGateway_SetBoot(&this->gateway, boot);
}

static void
on_recall(void *owner, const char *workspace)
{
    struct MpRouter *this = owner;
    MpLeaseManager_Recall(this->leases, workspace);
}

static void
on_targets(void *owner, const struct MpTargetUpdate *update)
{
    struct MpRouter *this = owner;
    MpGateway_ApplyTargets(&this->gateway, update);
}

static void
on_peers(void *owner, const struct mp_lender *peers, uint32_t count)
{
    struct MpRouter *this = owner;
    MpGateway_SetPeers(&this->gateway, peers, count);
}

static struct mp_limit *
list_limits(void *owner, u_int *count)
{
    struct MpRouter *this = owner;
    return MpGatewayPermits_ListSeen(&this->gateway, count);
}

static bool
on_limits(void *owner, const struct mp_limit *limits, u_int count)
{
    struct MpRouter *this = owner;
    return MpGatewayPermits_Apply(&this->gateway, limits, count);
}

static void
on_versions(void *owner, const struct mp_pool_versions *pools,
            const struct mp_pool_base *bases, u_int count)
{
    struct MpRouter *this = owner;
    MpGatewayVersions_Apply(&this->gateway, pools, bases, count);
}

static void
on_suspects(void *owner)
{
    struct MpRouter *this = owner;
    MpGatewaySuspect_ApplyLists(&this->gateway);
}

static void
on_zones(void *owner)
{
    struct MpRouter *this = owner;
    MpPicker_SetDrainedZones(&this->picker, &this->control.zones);
    MpGateway_SetDrainedZones(&this->gateway);
    MpRouter_ScheduleDispatch(this);
}

static const struct MpControlListener control_listener = {
    .document = on_document,
    .registered = on_registered,
    .recall = on_recall,
    .targets = on_targets,
    .suspects = on_suspects,
    .zones = on_zones,
    .peers = on_peers,
    .list_limits = list_limits,
    .limits = on_limits,
    .versions = on_versions,
};

/* ---- drain ---- */

static void
stop_requests(struct MpRouter *this)
{
    GList *link = this->exchanges.head;
    while (link) {
        struct MpExchange *exchange = link->data;
        link = link->next;
        MpExchange_Stop(exchange);
    }
    MpGateway_StopCalls(&this->gateway);
}

static bool
is_idle(const struct MpRouter *this)
{
    return this->exchanges.length == 0 &&
           MpLeaseManager_Pending(this->leases) == 0 &&
           MpGateway_IsIdle(&this->gateway);
}

static void
on_timer(struct MpTimer *timer)
{
    struct MpRouter *this = timer->data;
    int64_t now_ms = MpLoop_Now();
    dispatch_queues(this);
    if (this->is_draining && now_ms >= this->refuse_from_ms - TICK_MS) {
        MpHttpServer_StopConnects(&this->http);
    }
    if (this->is_draining && now_ms >= this->refuse_from_ms) {
        MpHttpServer_StopListening(&this->http);
        if (now_ms >= this->drain_until_ms - STOP_ANSWER_MS) {
            stop_requests(this);
        }
        bool is_near_end = now_ms >= this->drain_until_ms - STOP_CLOSE_MS;
        if (is_near_end) {
            MpHttpServer_RefuseUnfinished(&this->http);
        }
        if (is_idle(this) || is_near_end) {
            MpHttpServer_CloseIdle(&this->http);
        }
        if ((is_idle(this) && MpHttpServer_IsClosed(&this->http)) ||
            now_ms >= this->drain_until_ms) {
            MpLog_Event(LOG_NOTICE, "drained", "left=%u",
                        this->exchanges.length);
            this->on_drained(this->owner);
            return;
        }
    }
    MpLoop_SetTimer(this->loop, &this->timer, TICK_MS, on_timer, this);
}

void
MpRouter_Drain(struct MpRouter *this, void (*on_drained)(void *owner),
               void *owner)
{
    if (this->is_draining) {
        return;
    }
    this->is_draining = true;
    this->control.is_draining = true;
    this->on_drained = on_drained;
    this->owner = owner;
    this->refuse_from_ms = MpLoop_Now() + this->settings->drain_notice_ms;
    this->drain_until_ms =
        this->refuse_from_ms + MAX(this->settings->drain_ms, STOP_ANSWER_MS);
    if (this->settings->stop_within_ms > 0) {
        this->drain_until_ms =
            MpLoop_Now() + this->settings->stop_within_ms - STOP_MARGIN_MS;
    }
    MpGateway_Drain(&this->gateway, this->refuse_from_ms,
                    this->drain_until_ms);
    MpHttpServer_AnnounceClose(&this->http);
    MpLeaseManager_ReturnAll(this->leases);
    MpLog_Event(LOG_NOTICE, "draining", "running=%u", this->exchanges.length);
}

void
MpRouter_Stop(struct MpRouter *this, GString *out)
{
    MpHttpServer_Stop(&this->http);
    MpHttpCounts_Format(&this->http.counts, out);
}

/* ---- start ---- */

/* Returns the limit of the account for callers and targets, bytes. */
static int64_t
memory_limit(const struct MpSettings *settings)
{
    int64_t memory_bytes = settings->memory_mb * MP_BYTES_PER_MB;
    if (settings->memory_max_bytes > 0) {
        return settings->memory_max_bytes;
    }
    if (memory_bytes > 0 && settings->listen.operators) {
        memory_bytes -= MpOperatorServer_MemoryLimit(settings);
        memory_bytes = MAX(memory_bytes, 1);
    }
    return MpMemoryAccount_LimitOf(memory_bytes, settings->body_max_bytes);
}

int
MpRouter_Start(struct MpRouter *this, struct MpLoop *loop,
               const struct MpSettings *settings, const uint8_t *fleet_key)
{
    int code;
    *this = (struct MpRouter){.loop = loop, .settings = settings};
    g_queue_init(&this->exchanges);
    this->queues = g_hash_table_new(g_str_hash, g_str_equal);
    MpMetrics_Init(&this->metrics);
    MpMemoryAccount_Init(&this->memory, memory_limit(settings));
    MpMemoryAccount_Init(&this->ready_memory, MP_MEMORY_PROBES_BYTES);
    MpLimits_Init(&this->limits);
    MpPicker_Init(&this->picker, settings->zone, g_random_int());
    this->picker.policy = (enum MpPickPolicy)settings->routing;
    this->poller = MpTargetPoller_New(this);
    this->leases = MpLeaseManager_New(this, &code);
    if (!this->leases) {
        return code;
    }
    MpControlClient_Start(&this->control, loop, settings, fleet_key,
                          &control_listener, this);
    code = MpGateway_Start(&this->gateway, loop, settings, &this->control,
                           &this->metrics, &this->memory);
    if (code != MP_OK) {
        return code;
    }
    MpGatewayLoad_Start(&this->gateway, &this->http);
    MpLoop_AddHook(loop, after_round, this);
    MpLoop_SetTimer(loop, &this->timer, TICK_MS, on_timer, this);
    code =
        MpHttpServer_Start(&this->http, loop, settings->listen.callers,
                           (size_t)settings->body_max_bytes, on_request, this);
    if (code == MP_OK) {
        MpHttpServer_SetAccount(&this->http, &this->memory);
        MpHttpServer_SetConnLimit(&this->http,
                                  MpConnLimit_ForCallers(settings));
    }
    if (code == MP_OK && settings->listen.ready) {
        code =
            MpHttpServer_Start(&this->ready_http, loop, settings->listen.ready,
                               READY_BODY_MAX_BYTES, on_ready_request, this);
        if (code == MP_OK) {
            MpHttpServer_SetAccount(&this->ready_http, &this->ready_memory);
            MpHttpServer_SetConnLimit(&this->ready_http,
                                      MpConnLimit_ForOthers(settings));
        }
    }
    return code;
}

/* ---- metrics ---- */

static void
write_target(GString *out, const struct MpTarget *target)
{
    int64_t now_ms = MpLoop_Now();
    MpMetrics_WriteValue(out, "mimosapath_target_load", "target", target->name,
                         MpTarget_Load(target));
    MpMetrics_WriteValue(out, "mimosapath_target_in", "target", target->name,
                         MpTarget_Health(target, now_ms) == MP_HEALTH_OK);
    MpMetrics_WriteValue(out, "mimosapath_target_picked_total", "target",
                         target->name, (int64_t)target->picked);
    if (MpTargetLeaving_IsLeaving(&target->leaving)) {
        MpMetrics_WriteValue(out, "mimosapath_target_leaving", "target",
                             target->name, 1);
    }
    if (MpTargetPause_IsActive(&target->pause, now_ms)) {
        MpMetrics_WriteValue(out, "mimosapath_target_pause_ms", "target",
                             target->name, target->pause.until_ms - now_ms);
    }
}

void
MpRouter_WriteMetrics(struct MpRouter *this, GString *out)
{
    GHashTableIter iter;
    void *value;
    uint64_t sent = 0;
    uint64_t received = 0;
    uint64_t busy_ns = 0;
    MpMetrics_Write(&this->metrics, out);
    MpHttpCounts_Write(&this->http.counts, "caller", out);
    MpHttpMemory_WriteMetrics(&this->memory, "memory", out);
    g_hash_table_iter_init(&iter, this->picker.targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        write_target(out, value);
    }
    for (guint i = 0; i < this->control.clients->len; i++) {
        const struct MpRpcClient *client =
            g_ptr_array_index(this->control.clients, i);
        sent += client->sent_bytes;
        received += client->received_bytes;
        busy_ns += client->busy_ns;
    }
    MpMetrics_WriteValue(out, "mimosapath_control_sent_bytes_total", NULL,
                         NULL, (int64_t)sent);
    MpMetrics_WriteValue(out, "mimosapath_control_received_bytes_total", NULL,
                         NULL, (int64_t)received);
    MpMetrics_WriteValue(out, "mimosapath_proposals_total", NULL, NULL,
                         (int64_t)this->control.proposals);
    MpMetrics_WriteValue(out, "mimosapath_control_busy_us_total", NULL, NULL,
                         (int64_t)(busy_ns / 1000));
    MpGateway_WriteMetrics(&this->gateway, out);
    MpMetrics_WriteValue(out, "mimosapath_requests_running", NULL, NULL,
                         this->exchanges.length);
    MpMetrics_WriteValue(out, "mimosapath_lease_held_mtok", NULL, NULL,
                         MpLeaseManager_Held(this->leases));
    MpMetrics_WriteValue(out, "mimosapath_zones_version", NULL, NULL,
                         (int64_t)this->control.zones.version);
    MpMetrics_WriteValue(out, "mimosapath_zones_drained", NULL, NULL,
                         MpDrainedZones_Count(&this->control.zones));
    MpMetrics_WriteValue(
        out, "mimosapath_document_version", NULL, NULL,
        this->control.document ? (int64_t)this->control.document->version : 0);
}
