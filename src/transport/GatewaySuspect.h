#ifndef MP_TRANSPORT_GATEWAY_SUSPECT_H
#define MP_TRANSPORT_GATEWAY_SUSPECT_H

#include "transport/GatewayCall.h"

/*
 * GatewaySuspect - requests under which targets have ended.
 *
 * After an answer that broke off a new connection shows whether the target
 * has ended or only dropped the request.  A death is told to the quorum; from
 * then on the request runs one at a time, and not at all after more deaths
 * (Quarantine, Suspects).  An instance that is cut off decides by itself.
 */

/* Time that a call waits for the quorum's word, ms: it answers within a few
 * round trips and syncs. */
#define MP_TRIAL_WAIT_MS 300
/* Reports of deaths that one instance keeps until the quorum has them. */
#define MP_REPORTS_MAX 1024

/* Goes on with a call that has just arrived, when it may run, or ends it. */
void MpGatewaySuspect_Admit(struct MpGatewayCall *call);

/* Looks at the target of an attempt that broke off. The call waits if it may
 * go on at another target, otherwise it may end at once. */
void MpGatewaySuspect_Broken(struct MpGatewayCall *call);
void MpGatewaySuspect_Wait(struct MpGatewayCall *call);

/* The request was answered whole. */
void MpGatewaySuspect_Answered(struct MpGatewayCall *call);

/* The call ends, however it did. */
void MpGatewaySuspect_End(struct MpGatewayCall *call);

#endif
