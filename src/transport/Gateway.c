#include "transport/Gateway.h"

#include "state/Error.h"
#include "transport/GatewayAttempt.h"
#include "transport/GatewayCall.h"
#include "transport/GatewayCaller.h"
#include "transport/GatewayLoad.h"
#include "transport/GatewayLoans.h"
#include "transport/GatewayVersions.h"
#include "transport/HttpServer.h"
#include "transport/Log.h"
#include "transport/TargetList.h"

#include <inttypes.h>
#include <string.h>

#define TICK_MS 100
/* A slice report without an answer after this time is repeated, ms. */
#define REPORT_WAIT_MS 900
/* How long the leader's confirmation of the target list is valid, ms; several
 * sync intervals. */
#define LIST_VALID_MS 1200
/* With more instances, each reads the list less often, so that all together
 * read it about as often as this many do at the full rate. */
#define READERS_MAX 16

/* ---- slices ---- */

static void
on_report_reply(void *data, int code, const struct mp_result *result)
{
    struct MpGateway *this = data;
    bool is_answered = code == MP_OK && result->code == MP_OK;
    MpSlices_HandleReply(&this->slices, is_answered ? result : NULL,
                         MpLoop_Now());
    if (is_answered && this->is_draining && this->calls.length == 0) {
        this->has_returned_slices = true;
    }
    GList *link = this->calls.head;
    while (link) {
        struct MpGatewayCall *call = link->data;
        link = link->next;
        if (call->stage == MP_CALL_BUDGET) {
            MpGatewayCall_RetryReserve(call, is_answered);
        }
    }
    MpGatewayLoans_ReportDone(this->loans, is_answered);
}

void
MpGateway_ReportSlices(struct MpGateway *this)
{
    struct mp_command command = {.body = {.kind = MP_CMD_SLICES}};
    struct mp_slices *report = &command.body.mp_command_body_u.slices;
    int64_t now_ms = MpLoop_Now();
    if (!MpSlices_IsReportDue(&this->slices, now_ms)) {
        return;
    }
    report->incarnation = MpControlClient_Holder(this->control);
    this->slices.primary_count = MpGatewayLoans_CountPrimaries(this->loans);
    MpSlices_FillReport(&this->slices, report, now_ms);
    if (report->list.list_len > 0 || this->is_draining) {
        MpControlClient_Propose(this->control, &command,
                                now_ms + REPORT_WAIT_MS, on_report_reply,
                                this);
    }
    else {
        MpSlices_HandleReply(&this->slices, NULL, now_ms);
    }
    g_free(report->list.list_val);
}

/* ---- targets ---- */

static void
on_target_dropped(void *owner, struct MpPoolTarget *target)
{
    (void)owner;
    if (target->connections) {
        MpConnPool_Delete(target->connections);
        target->connections = NULL;
    }
}

static void
sweep_connections(struct MpGateway *this, int64_t now_ms)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, this->roster.targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct MpPoolTarget *target = value;
        if (target->connections) {
            MpConnPool_Sweep(target->connections, now_ms);
        }
    }
}

/* Returns this instance's share of the connections that a target of the pool
 * accepts from all instances. */
static int64_t
connection_share(const struct MpGateway *this, const char *pool_name)
{
    const struct MpDocument *document = this->control->document;
    const struct MpPoolConf *pool =
        document ? g_hash_table_lookup(document->pools, pool_name) : NULL;
    int64_t instances = MAX(this->control->instances, 1);
    return pool ? MAX(pool->connections_max / instances, 1) : INT64_MAX;
}

struct MpConnPool *
MpGateway_GetConnPool(struct MpGateway *this, struct MpPoolTarget *target)
{
    if (!target->connections) {
        target->connections =
            MpConnPool_New(this->loop, this->metrics, target->address);
    }
    struct MpConnPool *conn_pool = target->connections;
    conn_pool->dialer = &this->dialer;
    conn_pool->kept_max = connection_share(this, target->pool);
    return conn_pool;
}

static void
log_targets(const struct MpGateway *this, uint32_t changes, const char *from)
{
    if (changes > 0) {
        MpLog_Event(LOG_INFO, "targets-changed",
                    "version=%" PRIu64 " targets=%u changes=%u from=%s",
                    this->roster.version,
                    g_hash_table_size(this->roster.targets), changes, from);
    }
}

/* Logs that the list has more entries than are used, when that changes. */
static void
log_long_list(struct MpGateway *this, uint32_t listed, uint32_t used)
{
    bool was_too_long = this->is_list_too_long;
    this->is_list_too_long = listed > used;
    if (this->is_list_too_long && !was_too_long) {
        MpLog_Event(LOG_WARNING, "target-list-too-long",
                    "targets=%u used=%u from=own", listed, used);
    }
}

/* The leader sends changes relative to the list that this instance got from it
 * last.  This read replaces that list, so the hash is cleared to make the
 * leader send its whole list. */
static uint32_t
on_list_read(void *owner, const GPtrArray *targets)
{
    struct MpGateway *this = owner;
    int64_t now_ms = MpLoop_Now();
    GPtrArray *chosen = MpTargetList_Choose(targets, this->control->document);
    log_long_list(this, targets->len, chosen->len);
    uint32_t changes = MpRoster_SetList(&this->roster, chosen, now_ms);
    g_ptr_array_unref(chosen);
    int64_t boot_ms = MpLoop_BootMs();
    MpVersionView_BeginList(&this->versions, this->control->heard_ms, boot_ms);
    for (guint i = 0; i < targets->len; i++) {
        const struct MpListedTarget *target = g_ptr_array_index(targets, i);
        MpVersionView_NoteListed(&this->versions, target->pool,
                                 target->version ? target->version : "",
                                 boot_ms);
    }
    this->control->targets_hash = 0;
    log_targets(this, changes, "own");
    return changes;
}

/* While the leader confirms the list, this instance need not read it.  When
 * the leader is unreachable, the interval grows with the number of instances,
 * to bound the load on the provider of the list. */
static int64_t
list_interval(void *owner, bool *may_skip)
{
    struct MpGateway *this = owner;
    int64_t now_ms = MpLoop_Now();
    int64_t interval_ms = this->settings->target_list.interval_ms;
    uint32_t factor = MAX(this->control->instances / READERS_MAX, 1);
    bool is_confirmed = now_ms - this->list_confirmed_ms < LIST_VALID_MS;
    if (factor > 1 && (is_confirmed || this->read_from_ms == 0)) {
        /* Many instances start or lose the leader at the same moment; a random
         * delay spreads their first reads. */
        this->read_from_ms =
            now_ms + LIST_VALID_MS +
            g_random_int_range(0, (gint32)(interval_ms * factor));
    }
    *may_skip = is_confirmed || now_ms < this->read_from_ms;
    return *may_skip ? LIST_VALID_MS / 4 : interval_ms * factor;
}

static const struct MpTargetListClass list_class = {.apply = on_list_read,
                                                    .interval = list_interval};

struct MpColdConf
MpGateway_ColdConf(const struct MpGateway *this, const struct MpPoolConf *pool)
{
    const struct MpColdBoundConf *bound = &this->settings->cold;
    return MpColdConf_Make(pool->cold_rate, pool->cold_start_ms,
                           bound->overshoot_permille, bound->tolerance_milli);
}

/* Counts the cold targets and logs when their number has changed. */
static void
count_cold(struct MpGateway *this, int64_t now_ms)
{
    const struct MpDocument *document = this->control->document;
    uint32_t cold = 0;
    int64_t last_ms = now_ms;
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, this->roster.targets);
    while (document && g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct MpPoolTarget *target = value;
        const struct MpPoolConf *pool =
            g_hash_table_lookup(document->pools, target->pool);
        if (!pool || pool->cold_rate < 0) {
            continue;
        }
        struct MpColdConf conf = MpGateway_ColdConf(this, pool);
        int64_t until_ms = MpRoster_ColdUntil(&this->roster, target, &conf);
        cold += until_ms > now_ms;
        last_ms = MAX(last_ms, until_ms);
    }
    if (cold != this->cold_targets) {
        MpLog_Event(LOG_NOTICE, "targets-cold",
                    "cold=%u before=%u targets=%u left_ms=%" PRId64
                    " list_age_ms=%" PRId64,
                    cold, this->cold_targets,
                    g_hash_table_size(this->roster.targets), last_ms - now_ms,
                    now_ms - this->list_confirmed_ms);
    }
    this->cold_targets = cold;
}

void
MpGateway_ApplyTargets(struct MpGateway *this,
                       const struct MpTargetUpdate *update)
{
    int64_t now_ms = MpLoop_Now();
    this->list_confirmed_ms = now_ms;
    if (update && update->is_partial) {
        log_targets(this,
                    MpRoster_ApplyChanges(&this->roster, update->targets,
                                          update->removed, now_ms),
                    "changes");
    }
    else if (update) {
        log_targets(this,
                    MpRoster_SetList(&this->roster, update->targets, now_ms),
                    "leader");
    }
}

struct MpRetryBudget *
MpGateway_GetRetryBudget(struct MpGateway *this, const char *pool)
{
    struct MpRetryBudget *budget =
        g_hash_table_lookup(this->retry_budgets, pool);
    if (!budget) {
        const struct MpRetryConf *conf = &this->settings->retries;
        budget = g_new0(struct MpRetryBudget, 1);
        MpRetryBudget_Init(budget, conf->window_ms, conf->ratio_permille,
                           conf->slack);
        g_hash_table_insert(this->retry_budgets, g_strdup(pool), budget);
    }
    return budget;
}

static void
note_fleet(struct MpGateway *this)
{
    MpRetryFleet_Note(&this->retry_fleet, this->control->instances,
                      this->control->boot, this->control->heard_ms);
}

uint32_t
MpGateway_CountRetryFleet(struct MpGateway *this)
{
    note_fleet(this);
    return MpRetryFleet_Size(&this->retry_fleet,
                             this->settings->retries.window_ms,
                             MpLoop_BootMs());
}

/* ---- requests ---- */

bool
MpGateway_Matches(const struct MpGateway *this, const h2o_req_t *req)
{
    const struct MpDocument *document = this->control->document;
    if (this->dialect->is_paths_only) {
        return true;
    }
    if (!document || g_hash_table_size(document->paths) == 0) {
        return false;
    }
    char *host = g_ascii_strdown(req->input.authority.base,
                                 (gssize)req->input.authority.len);
    char *path = g_strndup(req->input.path.base, req->input.path.len);
    bool is_path = MpDocument_FindPath(document, host, path) != NULL;
    g_free(host);
    g_free(path);
    return is_path;
}

bool
MpGateway_HasTargets(const struct MpGateway *this)
{
    const struct MpDocument *document = this->control->document;
    return !document || g_hash_table_size(document->paths) == 0 ||
           !this->settings->target_list.address || this->roster.listed_ms > 0;
}

void
MpGateway_Serve(struct MpGateway *this, h2o_req_t *req)
{
    if (this->is_draining) {
        req->http1_is_persistent = 0;
    }
    MpGatewayLoad_Move(this, req);
    MpGatewayCall_Begin(this, req);
}

/* ---- timer ---- */

/* The check may end a call and remove it from the list. */
static void
check_silence(struct MpGateway *this, int64_t now_ms)
{
    GList *link = this->calls.head;
    while (link) {
        struct MpGatewayCall *call = link->data;
        link = link->next;
        MpGatewayAttempt_CheckSilence(call, now_ms);
    }
}

/* A probe of a half-open target, to find out whether it listens again. */
struct target_probe {
    struct MpGateway *gateway;
    struct MpPoolTarget *target;
};

static void
on_probed(void *owner, enum MpProbeResult result)
{
    struct target_probe *probe = owner;
    struct MpPoolTarget *target = probe->target;
    MpLog_Event(LOG_INFO, "target-doubted",
                "target=%s pool=%s listens=%d failures=%u",
                target->incarnation, target->pool,
                result == MP_PROBE_LISTENING, target->failures);
    MpPoolTarget_HandleProbe(&probe->gateway->roster, target,
                             result == MP_PROBE_LISTENING, MpLoop_Now());
    g_free(probe);
}

static void
probe_targets(struct MpGateway *this, int64_t now_ms)
{
    GPtrArray *targets = g_ptr_array_new();
    MpRoster_ListProbeCandidates(&this->roster, now_ms, targets);
    for (guint i = 0; i < targets->len; i++) {
        struct target_probe *probe = g_new(struct target_probe, 1);
        *probe = (struct target_probe){
            .gateway = this, .target = g_ptr_array_index(targets, i)};
        MpConnPool_Probe(MpGateway_GetConnPool(this, probe->target), on_probed,
                         probe);
    }
    g_ptr_array_unref(targets);
}

static void
on_timer(struct MpTimer *timer)
{
    struct MpGateway *this = timer->data;
    int64_t now_ms = MpLoop_Now();
    GList *link = this->calls.head;
    while (link) {
        struct MpGatewayCall *call = link->data;
        link = link->next;
        if (!MpGatewayCaller_Check(call, now_ms) &&
            call->stage == MP_CALL_BUDGET &&
            MpSlices_Missing(&this->slices, call->workspace,
                             call->reserved_mtok) == 0) {
            /* Another call has left enough balance. */
            MpGatewayCall_RetryReserve(call, false);
        }
    }
    note_fleet(this);
    check_silence(this, now_ms);
    this->slices.quorum_reply_ms = this->control->synced_ms;
    MpGatewayLoans_Tick(this->loans, now_ms);
    MpGateway_ReportSlices(this);
    sweep_connections(this, now_ms);
    if (!MpGatewayLoad_IsSaturated(this)) {
        probe_targets(this, now_ms);
    }
    count_cold(this, now_ms);
    MpLoop_SetTimer(this->loop, &this->timer, TICK_MS, on_timer, this);
}

/* ---- lifetime ---- */

/* Selects the workspaces of which this router holds slices, by the document
 * and the list of lenders. */
static void
update_slices(struct MpGateway *this, const struct MpDocument *document)
{
    GHashTableIter iter;
    void *name;
    void *value;
    g_hash_table_iter_init(&iter, document->workspaces);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        const struct MpWorkspaceConf *workspace = value;
        if (workspace->prepaid_tokens >= 0) {
            MpSlices_Add(&this->slices, name,
                         MpGatewayLoans_IsPrimary(this->loans, name));
        }
    }
}

void
MpGateway_SetDocument(struct MpGateway *this,
                      const struct MpDocument *document)
{
    update_slices(this, document);
    MpTargetList_Start(this->list_reader);
}

void
MpGateway_SetDrainedZones(struct MpGateway *this)
{
    const struct MpDrainedZones *zones = &this->control->zones;
    uint32_t targets = MpRoster_SetDrainedZones(&this->roster, zones);
    MpLog_Event(LOG_NOTICE, "zones-applied",
                "version=%" PRIu64 " targets=%u list=%" PRIu64, zones->version,
                targets, this->roster.version);
}

void
MpGateway_SetPeers(struct MpGateway *this, const struct mp_lender *peers,
                   uint32_t count)
{
    MpGatewayLoans_SetPeers(this->loans, peers, count);
    MpPermits_NoteKeepers(&this->permits, MpLoop_Now());
    MpTunnelPeers_SetList(&this->dialer.peers, peers, count);
    if (this->control->document) {
        update_slices(this, this->control->document);
    }
}

void
MpGateway_SetBoot(struct MpGateway *this, uint64_t boot)
{
    MpSlices_SetIncarnation(&this->slices, boot);
}

void
MpGateway_Drain(struct MpGateway *this, int64_t refuse_from_ms,
                int64_t stop_ms)
{
    this->stop_ms = stop_ms;
    this->is_draining = true;
    this->refuse_from_ms = refuse_from_ms;
    this->slices.is_leaving = true;
}

void
MpGateway_StopCalls(struct MpGateway *this)
{
    GList *link = this->calls.head;
    while (link) {
        struct MpGatewayCall *call = link->data;
        link = link->next;
        MpGatewayCall_Stop(call);
    }
}

bool
MpGateway_IsIdle(const struct MpGateway *this)
{
    bool has_slices =
        this->slices.boot > 0 && g_hash_table_size(this->slices.slices) > 0;
    return this->calls.length == 0 && this->tunnels.length == 0 &&
           (!has_slices || this->has_returned_slices);
}

static void
on_path_lost(void *owner, const char *address)
{
    struct MpGateway *this = owner;
    MpRoster_ForgiveFailures(&this->roster, address);
}

static bool
is_overloaded(void *owner)
{
    return MpGatewayLoad_IsSaturated(owner);
}

static void
on_connect_started(void *owner)
{
    struct MpGateway *this = owner;
    MpInstanceLoad_StartConnect(&this->load);
}

static void
on_connect_ended(void *owner, int64_t took_ms)
{
    struct MpGateway *this = owner;
    MpInstanceLoad_EndConnect(&this->load, took_ms, MpLoop_Now());
}

static const struct MpDialerClass dialer_class = {
    .path_lost = on_path_lost,
    .is_overloaded = is_overloaded,
    .connect_started = on_connect_started,
    .connect_ended = on_connect_ended};

int
MpGateway_Start(struct MpGateway *this, struct MpLoop *loop,
                const struct MpSettings *settings,
                struct MpControlClient *control, struct MpMetrics *metrics,
                struct MpMemoryAccount *memory)
{
    *this = (struct MpGateway){.loop = loop,
                               .settings = settings,
                               .dialect = MpDialect_Find(settings->dialect),
                               .control = control,
                               .metrics = metrics,
                               .memory = memory};
    g_queue_init(&this->calls);
    g_queue_init(&this->tunnels);
    MpRoster_Init(&this->roster, settings->zone, on_target_dropped, this);
    this->roster.policy = (enum MpPickPolicy)settings->routing;
    this->roster.zone_cost_us_per_kb = settings->zone_cost_us_per_kb;
    MpSlices_Init(&this->slices);
    MpRegions_Init(&this->regions, settings->zones, settings->zone,
                   settings->region);
    MpPermits_Init(&this->permits);
    MpPermits_NoteKeepers(&this->permits, MpLoop_Now());
    MpAdmission_Init(&this->admission);
    MpGatewayVersions_Init(this);
    this->retry_budgets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    this->list_confirmed_ms = -LIST_VALID_MS;
    this->list_reader = MpTargetList_New(&list_class, this, loop, settings);
    MpLoop_SetTimer(loop, &this->timer, TICK_MS, on_timer, this);
    int code = MpGatewayLoans_Start(this);
    MpDialer_Init(&this->dialer, &dialer_class, this, loop, metrics,
                  settings->instance, control->fleet_key,
                  control->peers_address);
    return code;
}
