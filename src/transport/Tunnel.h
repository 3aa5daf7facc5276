#ifndef MP_TRANSPORT_TUNNEL_H
#define MP_TRANSPORT_TUNNEL_H

#include "transport/Gateway.h"
#include "transport/RpcLink.h"

/*
 * Tunnel - passes the bytes of another instance's connection on to a target
 * and back, for an instance that has no path to the target.
 *
 * The other instance remains the router of the request: it picks the target,
 * bills, retries and answers.  This one only connects, and keeps what the
 * target asks of each instance that sends: no connection is opened to a target
 * that leaves, wants a pause or is in a drained zone.  Tunnels are never
 * chained.
 */

/* Most tunnels at a time; two descriptors each. */
#define MP_TUNNELS_MAX 512

/* Handles MP_PROC_TUNNEL.  Replies MP_ERROR_NOT_FOUND for an address that is
 * no target's, MP_ERROR_NO_TARGET for a target that gets no requests from
 * here, MP_ERROR_LIMIT when there are MP_TUNNELS_MAX, MP_ERROR_DRAINING, and
 * MP_ERROR_NOT_READY without a path of its own. */
void MpTunnel_Serve(struct MpGateway *gateway, struct MpRpcCall *call);

#endif
