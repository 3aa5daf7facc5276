#include "transport/GatewayNotice.h"

#include "transport/TargetNotice.h"

static struct MpTargetNotice
notice_of(const struct MpGatewayCall *call, const struct MpPoolTarget *target,
          int64_t sent_ms, int64_t received_ms)
{
    return (struct MpTargetNotice){.id = call->id,
                                   .target = target->incarnation,
                                   .pool = target->pool,
                                   .sent_ms = sent_ms,
                                   .received_ms = received_ms};
}

void
MpGatewayNotice_Read(struct MpGatewayCall *call,
                     const struct MpTargetHead *head, int64_t now_ms)
{
    struct MpPoolTarget *target = call->target;
    const struct MpTargetHeaders *names = &call->gateway->dialect->target;
    const struct MpTargetNotice notice =
        notice_of(call, target, call->sent_ms, now_ms);
    size_t size = 0;
    call->is_pause_answer = false;
    if (head->status == 421) {
        return;
    }
    const char *value = MpTargetHead_Find(head, names->leaving, &size);
    MpTargetNotice_ReadLeaving(&notice, value, size, &target->leaving);
    target->is_leaving |= target->leaving.by_answer;
    value = head->status == 503 ? MpTargetHead_Find(head, names->pause, &size)
                                : NULL;
    call->is_pause_answer = MpTargetNotice_ReadPause(
        &notice, value, size, &target->pause, &call->gateway->target_pauses);
}

void
MpGatewayNotice_Sent(const struct MpGatewayCall *call,
                     struct MpPoolTarget *target, int64_t now_ms)
{
    const struct MpTargetNotice notice =
        notice_of(call, target, now_ms, now_ms);
    MpTargetNotice_Sent(&notice, &target->pause);
}

int64_t
MpGatewayNotice_RetryAfter(const struct MpGatewayCall *call, int64_t other_ms,
                           int64_t now_ms)
{
    struct MpPoolStatus status;
    const struct MpPoolQuery query = {.pool = call->pool};
    MpRoster_GetPoolStatus(&call->gateway->roster, &query, now_ms, &status);
    return status.pause_ms > now_ms
               ? MpTargetPause_CallerWait(status.pause_ms - now_ms,
                                          g_random_double())
               : other_ms;
}
