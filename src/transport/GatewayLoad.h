#ifndef MP_TRANSPORT_GATEWAY_LOAD_H
#define MP_TRANSPORT_GATEWAY_LOAD_H

#include "transport/GatewayCall.h"
#include "transport/HttpServer.h"

/*
 * GatewayLoad - measures what this process uses of its machine, and hands
 * callers over to other instances when InstanceLoad says so.
 *
 * Without `machine` in the settings it does nothing.
 */

/* Starts to measure.  http is the server of the callers. */
void MpGatewayLoad_Start(struct MpGateway *gateway, struct MpHttpServer *http);

/* Returns whether the call, whose request has been read, is admitted; if not,
 * *retry_after_ms is that of the refusal. */
bool MpGatewayLoad_Admit(struct MpGatewayCall *call, int64_t *retry_after_ms);

/* Decides whether the response to a request closes its connection, so that its
 * client goes elsewhere. */
void MpGatewayLoad_Move(struct MpGateway *gateway, h2o_req_t *req);

/* Lets the refusal of a request close its connection if the client's retry
 * then reaches another instance. */
void MpGatewayLoad_MoveRefused(struct MpGateway *gateway, h2o_req_t *req);

/* Returns whether this instance is overloaded itself, so that timeouts tell
 * nothing about targets, and further attempts make it worse. */
bool MpGatewayLoad_IsSaturated(const struct MpGateway *gateway);

/* Returns whether the load balancer should send callers here. */
bool MpGatewayLoad_IsInRotation(const struct MpGateway *gateway);

void MpGatewayLoad_WriteMetrics(const struct MpGateway *gateway, GString *out);

#endif
