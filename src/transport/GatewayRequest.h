#ifndef MP_TRANSPORT_GATEWAY_REQUEST_H
#define MP_TRANSPORT_GATEWAY_REQUEST_H

#include "transport/GatewayCall.h"

/*
 * GatewayRequest - parses a caller's request and builds the one that is sent
 * to a target.
 */

/* Reads path, workspace, metadata, head and body of the request into call.
 * Returns MP_OK, or the error to refuse the request with. */
int MpGatewayRequest_Read(struct MpGatewayCall *call, const h2o_req_t *req);

/* Returns the head of the request to send to target; left_ms is the time until
 * the deadline. */
GByteArray *MpGatewayRequest_Build(const struct MpGatewayCall *call,
                                   const struct MpPoolTarget *target,
                                   int64_t left_ms);

/* Adds the id of the request to a response, on interfaces where the instance
 * names requests. */
void MpGatewayRequest_AddId(const struct MpGatewayCall *call, h2o_req_t *req);

/* Copies the headers of a target's response into the caller's. */
void MpGatewayRequest_CopyHeaders(const struct MpTargetHead *head,
                                  h2o_req_t *req);

/* Removes the headers of a response that was not started. */
void MpGatewayRequest_ClearHeaders(h2o_req_t *req);

#endif
