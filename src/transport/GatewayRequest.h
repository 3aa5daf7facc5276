#ifndef MP_TRANSPORT_GATEWAY_REQUEST_H
#define MP_TRANSPORT_GATEWAY_REQUEST_H

#include "transport/GatewayCall.h"

/*
 * GatewayRequest - what a caller asks for, and what a target is sent.
 */

/* Reads path, workspace and facts of the request.  Returns MP_OK, or the
 * error to refuse it with. */
int MpGatewayRequest_Read(struct MpGatewayCall *call, const h2o_req_t *req);

/* Returns the whole request for target, in bytes. */
GByteArray *MpGatewayRequest_Make(const struct MpGatewayCall *call,
                                  const struct MpPoolTarget *target,
                                  int64_t left_ms);

/* Copies the headers of a target's answer into the caller's. */
void MpGatewayRequest_CopyHead(const struct MpTargetHead *head,
                               h2o_req_t *req);

#endif
