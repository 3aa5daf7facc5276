#ifndef MP_TRANSPORT_GATEWAY_ATTEMPT_H
#define MP_TRANSPORT_GATEWAY_ATTEMPT_H

#include "transport/GatewayCall.h"

/*
 * GatewayAttempt - one attempt to get a call answered by a target: chooses
 * the target, sends the request and relays the response to the caller.
 */

/* Chooses a target and sends the request, or ends the call if no target can
 * take it. */
void MpGatewayAttempt_Start(struct MpGatewayCall *call);

/* Moves the call to another target if this one has sent nothing for too long.
 * The attempt goes on if no other target can take the call at once, unless
 * the path to its target is lost: a sound target may pause. */
void MpGatewayAttempt_CheckSilence(struct MpGatewayCall *call, int64_t now_ms);

/* Cancels the attempt; outcome counts towards the target's health. */
void MpGatewayAttempt_Cancel(struct MpGatewayCall *call,
                             enum MpTargetOutcome outcome);

#endif
