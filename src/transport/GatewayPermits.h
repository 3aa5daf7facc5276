#ifndef MP_TRANSPORT_GATEWAY_PERMITS_H
#define MP_TRANSPORT_GATEWAY_PERMITS_H

#include "coordination/Permits.h"
#include "transport/GatewayCall.h"
#include "transport/RpcLink.h"

/*
 * GatewayPermits - gets permits for requests to targets that name a rate
 * limit or are cold, and hands them out for the targets that this instance
 * keeps.
 *
 * coordination/Permits spaces the slots, coordination/Lenders chooses the
 * keepers of a target.  A request asks the keepers one after the other until
 * one has a slot, then waits for it.  It does not wait for anything else: when
 * no keeper has a slot soon, another target is picked, or the request is
 * refused.
 *
 * Without lenders there are no keepers; then each instance takes an equal
 * share of the limit, and sends nothing to cold targets.
 */

/* Targets for which one attempt seeks a permit before it leaves out those that
 * need one. */
#define MP_PERMIT_TRIES_MAX 3

/* A call that waits for a permit. */
struct MpPermitRequest;

/* Seeks a permit for a request to the picked target.  Then
 * MpGatewayAttempt_Start is called again, with call->permitted set if a permit
 * was granted.  The request does not wait for the slot of a cold target while
 * a warm one can take it. */
void MpGatewayPermits_Request(struct MpGatewayCall *call,
                              const struct MpPicked *picked);

/* Ends the wait of a call that ends. */
void MpGatewayPermits_Cancel(struct MpGatewayCall *call);

/* Answers another instance. */
void MpGatewayPermits_Serve(struct MpGateway *gateway, struct MpRpcCall *call);

/* Lists the limits that were seen since the last call of this function; the
 * list is freed with g_free, its strings belong to the targets. */
struct mp_limit *MpGatewayPermits_ListSeen(struct MpGateway *gateway,
                                           u_int *count);

/* Applies limits that the leader knows of.  Returns whether all of their
 * targets are known here. */
bool MpGatewayPermits_Apply(struct MpGateway *gateway,
                            const struct mp_limit *limits, u_int count);

#endif
