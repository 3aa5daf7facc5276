#ifndef MP_TRANSPORT_GATEWAY_ATTEMPT_H
#define MP_TRANSPORT_GATEWAY_ATTEMPT_H

#include "transport/GatewayCall.h"

/*
 * GatewayAttempt - one attempt of a call at a target, and its answer on the
 * way to the caller.
 */

/* Chooses a target and sends the request there, or gives the call up. */
void MpGatewayAttempt_Start(struct MpGatewayCall *call);

/* Gives the call to another target if this one has been silent for long. */
void MpGatewayAttempt_CheckSilence(struct MpGatewayCall *call, int64_t now_ms);

/* Breaks the attempt off; outcome is what it tells of the target. */
void MpGatewayAttempt_Drop(struct MpGatewayCall *call,
                           enum MpTargetOutcome outcome);

#endif
