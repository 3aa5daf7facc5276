#include "transport/GatewaySpeed.h"

#include "coordination/PickZone.h"
#include "transport/Gateway.h"

#include <inttypes.h>

static bool
is_away(const struct MpGateway *gateway, const struct MpPoolTarget *target)
{
    return MpPickZone_PlaceOf(&gateway->roster, target) == MP_PLACE_AWAY;
}

void
MpGatewaySpeed_NoteSent(struct MpGatewayCall *call, size_t bytes)
{
    struct MpGateway *gateway = call->gateway;
    call->events_began_ms = 0;
    call->is_reading_held = false;
    call->response_bytes = 0;
    if (is_away(gateway, call->target)) {
        gateway->zone_left_requests++;
        gateway->zone_left_bytes += bytes;
    }
}

void
MpGatewaySpeed_NoteReceived(struct MpGatewayCall *call, size_t bytes)
{
    call->response_bytes += (int64_t)bytes;
    if (call->target && is_away(call->gateway, call->target)) {
        call->gateway->zone_left_bytes += bytes;
    }
}

void
MpGatewaySpeed_NoteEvents(struct MpGatewayCall *call, int64_t events_before)
{
    int64_t events = call->forward.attempt_events;
    if (events > events_before) {
        call->events_ms = call->received_ms;
    }
    if (events > 0 && call->events_began_ms == 0) {
        call->events_began_ms = call->received_ms;
        call->events_at_begin = events;
    }
}

void
MpGatewaySpeed_NoteHeld(struct MpGatewayCall *call)
{
    call->is_reading_held = true;
}

void
MpGatewaySpeed_End(struct MpGatewayCall *call)
{
    struct MpRoster *roster = &call->gateway->roster;
    if (call->events_began_ms > 0 && !call->is_reading_held) {
        MpRoster_NoteEvents(roster, call->target,
                            call->forward.attempt_events -
                                call->events_at_begin + 1,
                            call->events_ms - call->events_began_ms);
    }
    if (call->is_relayed) {
        MpRoster_NoteResponseBytes(roster, call->target, call->response_bytes);
    }
}

void
MpGatewaySpeed_Format(const struct MpGateway *gateway,
                      const struct MpPicked *picked, int64_t now_ms,
                      char out[static MP_SPEED_LOG_BYTES])
{
    const struct MpTargetSpeed *speed = &picked->target->speed;
    const struct MpPoolSpeed *pool =
        g_hash_table_lookup(gateway->roster.speeds, picked->target->pool);
    double now = MpTargetSpeed_Now(speed, pool ? pool->usual : 1.0, now_ms);
    g_snprintf(out, MP_SPEED_LOG_BYTES,
               "slow_percent=%.0f lasting_percent=%.0f figure_age_ms=%" PRId64
               " zone_left=%s",
               MP_SPEED_USUAL_PERCENT * now,
               MP_SPEED_USUAL_PERCENT * MpTargetSpeed_Lasting(speed),
               speed->figure_ms > 0 ? now_ms - speed->figure_ms : -1,
               is_away(gateway, picked->target)
                   ? MpZoneChoice_Name(picked->zone_choice)
                   : "no");
}

static void
write_pool(const char *name, const GPtrArray *pool, GString *out)
{
    double fastest = MP_SPEED_MAX;
    double slowest = MP_SPEED_MIN;
    for (guint i = 0; i < pool->len; i++) {
        const struct MpPoolTarget *target = g_ptr_array_index(pool, i);
        double lasting = MpTargetSpeed_Lasting(&target->speed);
        fastest = MIN(fastest, lasting);
        slowest = MAX(slowest, lasting);
    }
    MpMetrics_WriteValue(out, "mimosapath_pool_fastest_percent", "pool", name,
                         (int64_t)(MP_SPEED_USUAL_PERCENT * fastest));
    MpMetrics_WriteValue(out, "mimosapath_pool_slowest_percent", "pool", name,
                         (int64_t)(MP_SPEED_USUAL_PERCENT * slowest));
}

void
MpGatewaySpeed_WriteMetrics(const struct MpGateway *gateway, GString *out)
{
    GHashTableIter iter;
    void *name;
    void *pool;
    g_hash_table_iter_init(&iter, gateway->roster.pools);
    while (g_hash_table_iter_next(&iter, &name, &pool)) {
        write_pool(name, pool, out);
    }
    MpMetrics_WriteValue(out, "mimosapath_zone_left_requests_total", NULL,
                         NULL, (int64_t)gateway->zone_left_requests);
    MpMetrics_WriteValue(out, "mimosapath_zone_left_bytes_total", NULL, NULL,
                         (int64_t)gateway->zone_left_bytes);
}
