#ifndef MP_TRANSPORT_GATEWAY_SUSPECT_H
#define MP_TRANSPORT_GATEWAY_SUSPECT_H

#include "transport/GatewayCall.h"

/*
 * GatewaySuspect - whether a request is to blame for the end of a target.
 *
 * After an answer that broke off a new connection shows whether the target
 * has ended or only dropped the request.
 */

/* Looks at the target of the attempt that broke off; the call may end
 * meanwhile. */
void MpGatewaySuspect_Broken(struct MpGatewayCall *call);

#endif
