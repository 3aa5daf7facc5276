#ifndef MP_TRANSPORT_GATEWAY_CALLER_H
#define MP_TRANSPORT_GATEWAY_CALLER_H

#include "transport/GatewayCall.h"

/*
 * GatewayCaller - whether the caller of a call is still there, and what
 * becomes of the call when it is not.
 *
 * What must not run twice goes on where a target has it.  Otherwise nothing is
 * sent for a caller that has left.
 */

/* What the response of a call tells of its caller. */
extern const struct MpCallerResponseClass MpGatewayCaller_Class;

/* Ends a call whose caller has left, or has closed its sending side and is not
 * probed, so that nothing more is sent for it.  Returns whether it has. */
bool MpGatewayCaller_EndIfLeft(struct MpGatewayCall *this);

/* Returns whether the caller has closed its sending side a while ago, and was
 * not probed since. */
bool MpGatewayCaller_MayHaveLeft(struct MpGatewayCall *this);

/* Finds out, before an attempt, whether the caller has left.  Returns true if
 * the call has ended, or if it waits for that and MpGatewayAttempt_Start is
 * called again. */
bool MpGatewayCaller_Ask(struct MpGatewayCall *this);

/* Checks whether the caller has disconnected, unless it was checked recently.
 * Returns true if it has and the call was ended. */
bool MpGatewayCaller_Check(struct MpGatewayCall *this, int64_t now_ms);

#endif
