#ifndef MP_TRANSPORT_GATEWAY_RESPONSE_H
#define MP_TRANSPORT_GATEWAY_RESPONSE_H

#include "transport/GatewayCall.h"

/*
 * GatewayResponse - the response of an attempt on its way to the caller.
 *
 * If a body is due, the head waits for its first bytes.  A target that fails
 * before them can still be replaced, or the failure be told, and nothing is
 * billed.
 */

/* Takes over the head of a target's response, and sends it if no body is
 * due. */
void MpGatewayResponse_TakeHead(struct MpGatewayCall *call,
                                const struct MpTargetHead *head);

/* Sends the head if it is held. */
void MpGatewayResponse_SendHead(struct MpGatewayCall *call);

/* Sends a part of the body, after the head if that is held. */
void MpGatewayResponse_Write(struct MpGatewayCall *call, const void *data,
                             size_t size);

/* Drops a head that was not sent. */
void MpGatewayResponse_DropHead(struct MpGatewayCall *call);

#endif
