#ifndef MP_TRANSPORT_GATEWAY_NOTICE_H
#define MP_TRANSPORT_GATEWAY_NOTICE_H

#include "transport/GatewayCall.h"

/*
 * GatewayNotice - what targets say of themselves in their answers: their load,
 * rate limit and room, that they leave, and that they want no requests for a
 * while.
 */

/* Applies the head of an answer of the call's target; is_rejected of the call
 * is set.  Of one with status 421, which comes from another target at its
 * address, only the load counts. */
void MpGatewayNotice_Read(struct MpGatewayCall *call,
                          const struct MpTargetHead *head, int64_t now_ms);

/* Notes that the call goes to target, which may be the first request after a
 * pause. */
void MpGatewayNotice_Sent(const struct MpGatewayCall *call,
                          struct MpPoolTarget *target, int64_t now_ms);

/* Returns when the caller of a request that no target takes may come back:
 * after the end of the first pause if all targets are paused, with a random
 * part added so that not all callers come at once, else after other_ms. */
int64_t MpGatewayNotice_RetryAfter(const struct MpGatewayCall *call,
                                   int64_t other_ms, int64_t now_ms);

#endif
