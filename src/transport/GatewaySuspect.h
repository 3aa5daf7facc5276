#ifndef MP_TRANSPORT_GATEWAY_SUSPECT_H
#define MP_TRANSPORT_GATEWAY_SUSPECT_H

#include "transport/GatewayCall.h"

/*
 * GatewaySuspect - detects requests that crash targets and holds them back.
 *
 * When a response breaks off, a new connection shows whether the target has
 * crashed or only dropped the request.  A crash is reported to the quorum.
 * From then on one run of the request is admitted at a time in the whole
 * fleet, and none after further crashes (see Quarantine and Suspects).  A
 * partitioned instance decides by itself.
 *
 * The same holds for the parts of a prompt that other requests share: of the
 * requests at a crashed target, those whose response had no content yet are
 * reported with their parts.
 */

/* How long a call waits for the quorum's decision, ms; the quorum answers
 * within a few round trips and disk syncs. */
#define MP_DECISION_WAIT_MS 300
/* Crash reports that one instance keeps until the quorum has acknowledged
 * them. */
#define MP_CRASH_REPORTS_MAX 1024

/* Starts a call's next attempt if its request may run, or ends the call.  A
 * suspect waits for the quorum's decision. */
void MpGatewaySuspect_Admit(struct MpGatewayCall *call);

/* Returns whether MpGatewaySuspect_Admit would let the call go on at once. */
bool MpGatewaySuspect_MayGoOn(const struct MpGatewayCall *call);

/* Probes the target of an attempt whose response broke off.  The call may end
 * at once, or wait for the result in the stage MP_CALL_TRIAL, which
 * MpGatewaySuspect_WaitForProbe sets. */
void MpGatewaySuspect_ProbeTarget(struct MpGatewayCall *call);
void MpGatewaySuspect_WaitForProbe(struct MpGatewayCall *call);

/* Records the start of a response's content, which clears the parts of the
 * prompt. */
void MpGatewaySuspect_NoteContent(struct MpGatewayCall *call);

/* Records that the request got a complete response, which clears it. */
void MpGatewaySuspect_Answered(struct MpGatewayCall *call);

/* Applies new lists of the quorum: vouches for parts that were answered here,
 * and ends calls that wait for a response while a part of their prompt has
 * been stopped. */
void MpGatewaySuspect_ApplyLists(struct MpGateway *gateway);

/* Releases the trials of a call that ends, and detaches its pending check. */
void MpGatewaySuspect_End(struct MpGatewayCall *call);

#endif
