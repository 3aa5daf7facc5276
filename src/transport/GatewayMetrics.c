#include "transport/Gateway.h"

#include "transport/GatewayAdmission.h"
#include "transport/GatewayLoad.h"
#include "transport/GatewayLoans.h"
#include "transport/GatewaySpeed.h"
#include "transport/TargetConn.h"
#include "transport/TargetList.h"

/* Metrics of the gateway; see Gateway.h. */

static void
write_target(const struct MpPoolTarget *target, GString *out)
{
    const struct MpConnPool *conns = target->connections;
    MpMetrics_WriteValue(out, "mimosapath_pool_target_running", "target",
                         target->incarnation, target->running);
    MpMetrics_WriteValue(out, "mimosapath_pool_target_picked_total", "target",
                         target->incarnation, (int64_t)target->picked);
    MpMetrics_WriteValue(out, "mimosapath_pool_target_failures", "target",
                         target->incarnation, target->failures);
    if (target->limit.rate_mrps != MP_LIMIT_NONE) {
        MpMetrics_WriteValue(out, "mimosapath_pool_target_limit_mrps",
                             "target", target->incarnation,
                             target->limit.rate_mrps);
    }
    if (target->is_drained) {
        MpMetrics_WriteValue(out, "mimosapath_pool_target_drained", "target",
                             target->incarnation, 1);
    }
    if (target->is_leaving) {
        MpMetrics_WriteValue(out, "mimosapath_pool_target_leaving", "target",
                             target->incarnation, 1);
    }
    if (MpTargetPause_IsActive(&target->pause, MpLoop_Now())) {
        MpMetrics_WriteValue(out, "mimosapath_pool_target_pause_ms", "target",
                             target->incarnation,
                             target->pause.until_ms - MpLoop_Now());
    }
    if (conns) {
        MpMetrics_WriteValue(out, "mimosapath_connections_opened_total",
                             "target", target->incarnation,
                             (int64_t)conns->opened);
        MpMetrics_WriteValue(out, "mimosapath_connections_reused_total",
                             "target", target->incarnation,
                             (int64_t)conns->reused);
    }
}

void
MpGateway_WriteMetrics(const struct MpGateway *this, GString *out)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, this->roster.targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        write_target(value, out);
    }
    MpMetrics_WriteValue(out, "mimosapath_path_requests_running", NULL, NULL,
                         this->calls.length);
    MpMetrics_WriteValue(out, "mimosapath_slices_held_mtok", NULL, NULL,
                         MpSlices_Held(&this->slices));
    MpMetrics_WriteValue(out, "mimosapath_permits_granted_total", NULL, NULL,
                         (int64_t)this->permits.granted);
    MpMetrics_WriteValue(out, "mimosapath_permits_denied_total", NULL, NULL,
                         (int64_t)this->permits.denied);
    MpMetrics_WriteValue(out, "mimosapath_cold_targets", NULL, NULL,
                         this->cold_targets);
    MpMetrics_WriteValue(out, "mimosapath_cold_attempts_total", NULL, NULL,
                         (int64_t)this->cold_sent);
    MpMetrics_WriteValue(out, "mimosapath_target_pauses_total", NULL, NULL,
                         (int64_t)this->target_pauses);
    MpMetrics_WriteValue(out, "mimosapath_retries_refused_total", NULL, NULL,
                         (int64_t)this->retries_refused);
    MpMetrics_WriteValue(out, "mimosapath_stream_records_dropped_total", NULL,
                         NULL, (int64_t)this->records_dropped);
    MpMetrics_WriteValue(out, "mimosapath_stream_records_waiting", NULL, NULL,
                         this->records.length + this->recording.length);
    MpMetrics_WriteValue(out, "mimosapath_tunnels_running", NULL, NULL,
                         this->tunnels.length);
    MpGatewaySpeed_WriteMetrics(this, out);
    MpDialer_WriteMetrics(&this->dialer, out);
    MpGatewayLoad_WriteMetrics(this, out);
    MpGatewayAdmission_WriteMetrics(this, out);
    MpGatewayLoans_WriteMetrics(this->loans, out);
    MpTargetList_WriteMetrics(this->list_reader, out);
}
