#include "transport/GatewayLoad.h"

#include "transport/Log.h"

#include <inttypes.h>
#include <time.h>

/* Interval of the samples, ms: a few in the time in which the estimate
 * follows. */
#define TICK_MS 50
/* At least this long between two log lines of one kind, ms. */
#define LOG_MS 250
/* A connection that has been idle for this long is closed to move its client,
 * ms: on one that was used just now the next request may be on its way. */
#define MOVE_IDLE_MS 500
#define BITS_PER_BYTE 8
#define PERMILLE 1000.0

/* ---- measurement ---- */

static int64_t
processor_us(void)
{
    struct timespec now;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

static void
add_control(const struct MpControlClient *control, struct MpLoadSample *sample)
{
    for (guint i = 0; i < control->clients->len; i++) {
        const struct MpRpcClient *client =
            g_ptr_array_index(control->clients, i);
        sample->received_bytes += client->received_bytes;
        sample->sent_bytes += client->sent_bytes;
    }
}

static uint32_t
count_connections(const struct MpGateway *gateway)
{
    uint32_t count = gateway->http->conns.length + 2 * gateway->tunnels.length;
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, gateway->roster.targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct MpPoolTarget *target = value;
        const struct MpConnPool *conn_pool = target->connections;
        count += conn_pool ? conn_pool->open : 0;
    }
    return count;
}

static void
log_rotation(const struct MpGateway *gateway, int64_t now_ms)
{
    const struct MpInstanceLoad *load = &gateway->load;
    enum MpLoadCause cause;
    double pressure = MpInstanceLoad_Pressure(load, &cause);
    MpLog_Event(LOG_NOTICE,
                load->is_away ? "rotation-left" : "rotation-joined",
                "cause=%s pressure=%.3f link_in=%.3f link_out=%.3f "
                "slope=%.3f dominance=%.3f callers=%u away_ms=%" PRId64
                " credit_ms=%" PRId64 " moved=%" PRIu64,
                MpLoadCause_Name(cause), pressure, load->used[MP_LOAD_LINK_IN],
                load->used[MP_LOAD_LINK_OUT], load->slope, load->dominance,
                gateway->http->conns.length, now_ms - load->away_since_ms,
                load->away_credit_ms, load->moved);
}

static void
on_timer(struct MpTimer *timer)
{
    struct MpGateway *gateway = timer->data;
    struct MpInstanceLoad *load = &gateway->load;
    int64_t now_ms = MpLoop_Now();
    bool was_away = load->is_away;
    MpHttpServer_CountBytes(gateway->http);
    struct MpLoadSample sample = {
        .received_bytes = gateway->http->counts.received_bytes +
                          gateway->dialer.received_bytes,
        .sent_bytes =
            gateway->http->counts.sent_bytes + gateway->dialer.sent_bytes,
        .cpu_us = processor_us(),
        .loop_delay_ms = MAX(now_ms - timer->at_ms, 0),
        .descriptors = count_connections(gateway),
        .callers = gateway->http->conns.length,
        .instances = gateway->control->instances};
    add_control(gateway->control, &sample);
    MpInstanceLoad_Sample(load, &sample, g_random_double(), now_ms);
    if (load->is_away != was_away) {
        log_rotation(gateway, now_ms);
    }
    if (load->move_budget >= 2.0) {
        uint32_t idle = MpHttpServer_CountIdle(gateway->http, MOVE_IDLE_MS);
        MpHttpServer_MoveIdle(gateway->http, MOVE_IDLE_MS,
                              MpInstanceLoad_TakeIdleMoves(load, idle));
    }
    MpLoop_SetTimer(gateway->loop, timer, TICK_MS, on_timer, gateway);
}

void
MpGatewayLoad_Start(struct MpGateway *gateway, struct MpHttpServer *http)
{
    const struct MpMachineConf *conf = &gateway->settings->machine;
    const struct MpMachineLimits limits = {
        .link_bytes_per_s = conf->link_kbps * 1000 / BITS_PER_BYTE,
        .cpu_permille = conf->cpu_share_permille * conf->cores_milli / 1000,
        .descriptors_max = conf->descriptors_max};
    gateway->http = http;
    MpInstanceLoad_Init(&gateway->load, &limits);
    if (MpInstanceLoad_IsLimited(&gateway->load)) {
        MpLoop_SetTimer(gateway->loop, &gateway->load_timer, TICK_MS, on_timer,
                        gateway);
    }
}

/* ---- decisions ---- */

static void
log_refusal(struct MpGateway *gateway, const struct MpGatewayCall *call,
            const struct MpLoadRequest *request,
            const struct MpLoadVerdict *verdict)
{
    const struct MpInstanceLoad *load = &gateway->load;
    int64_t now_ms = MpLoop_Now();
    gateway->load_refusals++;
    if (now_ms - gateway->load_logged_ms < LOG_MS) {
        return;
    }
    gateway->load_logged_ms = now_ms;
    MpLog_Event(
        LOG_WARNING, "instance-limited",
        "id=%s workspace=%s rank=%" PRId64
        " cause=%s pressure=%.3f link_in=%.3f link_out=%.3f processor=%.3f "
        "loop_delay_ms=%.1f connects=%u connect_ms=%.1f share=%.3f "
        "workspaces=%u body_bytes=%" PRId64 " left_ms=%" PRId64
        " retry_after_ms=%" PRId64 " away=%d age_ms=%" PRId64
        " refused=%" PRIu64,
        call->id ? call->id : "-", call->workspace ? call->workspace : "-",
        request->rank, MpLoadCause_Name(verdict->cause), verdict->pressure,
        load->used[MP_LOAD_LINK_IN], load->used[MP_LOAD_LINK_OUT],
        load->used[MP_LOAD_PROCESSOR], load->loop_delay_ms, load->connects,
        MpInstanceLoad_ConnectDelay(load, now_ms), verdict->share,
        verdict->workspaces, request->body_bytes, request->left_ms,
        verdict->retry_after_ms, load->is_away, now_ms - load->sampled_ms,
        gateway->load_refusals);
}

bool
MpGatewayLoad_Admit(struct MpGatewayCall *call, int64_t *retry_after_ms)
{
    struct MpGateway *gateway = call->gateway;
    int64_t now_ms = MpLoop_Now();
    const struct MpLoadRequest request = {
        .workspace = call->workspace,
        .rank = MpGatewayCall_Rank(call),
        .body_bytes = call->body ? (int64_t)call->body->size : 0,
        .left_ms = MpForward_TimeLeft(&call->forward, now_ms)};
    const double random[2] = {g_random_double(), g_random_double()};
    struct MpLoadVerdict verdict;
    MpInstanceLoad_Admit(&gateway->load, &request, random, now_ms, &verdict);
    *retry_after_ms = verdict.retry_after_ms;
    if (!verdict.is_admitted) {
        log_refusal(gateway, call, &request, &verdict);
    }
    return verdict.is_admitted;
}

void
MpGatewayLoad_Move(struct MpGateway *gateway, h2o_req_t *req)
{
    if (MpInstanceLoad_ShouldMove(&gateway->load, g_random_double())) {
        req->http1_is_persistent = 0;
    }
}

void
MpGatewayLoad_MoveRefused(struct MpGateway *gateway, h2o_req_t *req)
{
    if (req->http1_is_persistent &&
        MpInstanceLoad_IsNoticed(&gateway->load, MpLoop_Now())) {
        req->http1_is_persistent = 0;
        gateway->load.moved++;
    }
}

bool
MpGatewayLoad_IsSaturated(const struct MpGateway *gateway)
{
    return MpInstanceLoad_IsSaturated(&gateway->load, MpLoop_Now());
}

bool
MpGatewayLoad_IsInRotation(const struct MpGateway *gateway)
{
    return MpInstanceLoad_IsInRotation(&gateway->load);
}

/* ---- metrics ---- */

static void
write_permille(GString *out, const char *what, double value)
{
    MpMetrics_WriteValue(out, "mimosapath_instance_used_permille", "limit",
                         what, (int64_t)(value * PERMILLE));
}

static void
write_refusals(const struct MpInstanceLoad *load, GString *out)
{
    for (int cause = 0; cause < MP_LOAD_CAUSES; cause++) {
        int64_t sum = 0;
        for (int rank = 0; rank < MP_LOAD_RANKS; rank++) {
            sum += (int64_t)load->refused[cause][rank];
        }
        MpMetrics_WriteValue(out, "mimosapath_instance_refused_total", "cause",
                             MpLoadCause_Name((enum MpLoadCause)cause), sum);
    }
    for (int rank = 0; rank < MP_LOAD_RANKS; rank++) {
        char name[8];
        int64_t sum = 0;
        for (int cause = 0; cause < MP_LOAD_CAUSES; cause++) {
            sum += (int64_t)load->refused[cause][rank];
        }
        g_snprintf(name, sizeof(name), "%d", rank);
        MpMetrics_WriteValue(out, "mimosapath_instance_refused_by_rank_total",
                             "rank", name, sum);
    }
}

void
MpGatewayLoad_WriteMetrics(const struct MpGateway *gateway, GString *out)
{
    const struct MpInstanceLoad *load = &gateway->load;
    if (!MpInstanceLoad_IsLimited(load)) {
        return;
    }
    for (int cause = 0; cause < MP_LOAD_CONNECTS; cause++) {
        write_permille(out, MpLoadCause_Name((enum MpLoadCause)cause),
                       load->used[cause]);
    }
    write_refusals(load, out);
    MpMetrics_WriteValue(out, "mimosapath_connects_running", NULL, NULL,
                         load->connects);
    MpMetrics_WriteValue(out, "mimosapath_instance_away_total", NULL, NULL,
                         (int64_t)load->times_away);
    MpMetrics_WriteValue(out, "mimosapath_connections_moved_total", NULL, NULL,
                         (int64_t)load->moved);
}
