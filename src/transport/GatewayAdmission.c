#include "transport/GatewayAdmission.h"

#include "transport/Log.h"

#include <inttypes.h>

/* At least this long between two log lines, ms. */
#define LOG_MS 250
#define PERMILLE 1000.0

void
MpGatewayAdmission_Activate(struct MpGatewayCall *call)
{
    if (call->gateway->settings->machine.link_kbps > 0) {
        MpAdmission_Activate(&call->gateway->admission, call->pool);
    }
}

void
MpGatewayAdmission_NoteDelay(const struct MpGatewayCall *call, int64_t now_ms)
{
    MpAdmission_NoteAnswer(&call->gateway->admission, call->pool,
                           (double)(now_ms - call->sent_ms) /
                               (double)call->path->latency_target_ms,
                           now_ms);
}

static void
log_refusal(const struct MpGatewayCall *call, const struct MpPicked *picked,
            const struct MpAdmissionRequest *request,
            const struct MpAdmissionVerdict *verdict, int64_t now_ms)
{
    const struct MpPoolTarget *target = picked->target;
    MpLog_Event(LOG_WARNING, "admission-refused",
                "id=%s pool=%s workspace=%s rank=%" PRId64
                " cause=%s pressure=%.3f delay=%.3f queue_ms=%" PRId64
                " told_age_ms=%" PRId64 " level=%.2f probability=%.3f "
                "rate_per_s=%.1f usual_per_s=%.1f target_ms=%" PRId64
                " left_ms=%" PRId64 " retry_after_ms=%" PRId64,
                call->id ? call->id : "-", call->pool,
                call->workspace ? call->workspace : "-", request->rank,
                MpAdmissionCause_Name(verdict->cause), verdict->pressure,
                verdict->delay, request->wait_ms,
                target->reported_ms > 0 ? now_ms - target->reported_ms : -1,
                verdict->level, verdict->probability, verdict->now_per_s,
                verdict->usual_per_s, request->latency_target_ms,
                request->left_ms, verdict->retry_after_ms);
}

bool
MpGatewayAdmission_Admit(struct MpGatewayCall *call,
                         const struct MpPicked *picked,
                         int64_t *retry_after_ms)
{
    struct MpGateway *gateway = call->gateway;
    int64_t now_ms = MpLoop_Now();
    /* A prompt of its own is no sign that the pool is too small. */
    int64_t own_ms =
        (int64_t)((double)picked->prefill_tokens / MP_PREFILL_TOKENS_PER_MS);
    const struct MpAdmissionRequest request = {
        .pool = call->pool,
        .workspace = call->workspace,
        .rank = MpGatewayCall_Rank(call),
        .latency_target_ms = call->path->latency_target_ms,
        .wait_ms = MAX(picked->wait_ms - own_ms, 0),
        .left_ms = MpForward_TimeLeft(&call->forward, now_ms)};
    const double random[2] = {g_random_double(), g_random_double()};
    struct MpAdmissionVerdict verdict;
    MpAdmission_Decide(&gateway->admission, &request, random, now_ms,
                       &verdict);
    *retry_after_ms = verdict.retry_after_ms;
    if (!verdict.is_admitted &&
        now_ms - gateway->admission_logged_ms >= LOG_MS) {
        gateway->admission_logged_ms = now_ms;
        log_refusal(call, picked, &request, &verdict, now_ms);
    }
    return verdict.is_admitted;
}

/* ---- metrics ---- */

void
MpGatewayAdmission_WriteMetrics(const struct MpGateway *gateway, GString *out)
{
    const struct MpAdmission *admission = &gateway->admission;
    GHashTableIter iter;
    void *name;
    void *value;
    bool is_active = false;
    g_hash_table_iter_init(&iter, admission->pools);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        const struct MpAdmissionPool *pool = value;
        if (pool->is_active) {
            is_active = true;
            MpMetrics_WriteValue(out, "mimosapath_admission_level_permille",
                                 "pool", name,
                                 (int64_t)(pool->level * PERMILLE));
        }
    }
    for (int rank = 0; is_active && rank < MP_ADMISSION_RANKS; rank++) {
        char text[8];
        g_snprintf(text, sizeof(text), "%d", rank);
        MpMetrics_WriteValue(out, "mimosapath_admission_admitted_total",
                             "rank", text, (int64_t)admission->admitted[rank]);
        MpMetrics_WriteValue(
            out, "mimosapath_admission_refused_by_rank_total", "rank", text,
            (int64_t)admission->refused[MP_ADMISSION_RANK][rank]);
        MpMetrics_WriteValue(
            out, "mimosapath_admission_refused_by_share_total", "rank", text,
            (int64_t)admission->refused[MP_ADMISSION_SHARE][rank]);
    }
}
