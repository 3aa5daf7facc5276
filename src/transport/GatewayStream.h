#ifndef MP_TRANSPORT_GATEWAY_STREAM_H
#define MP_TRANSPORT_GATEWAY_STREAM_H

#include "transport/GatewayCall.h"

/*
 * GatewayStream - forwards the events of one attempt, and only those that go
 * on with the stream that the caller has.
 */

/* Tells from the head of an answer whether its body is forwarded as events.
 * Returns false if it is to go on with a stream and is none. */
bool MpGatewayStream_Start(struct MpGatewayCall *this,
                           const struct MpTargetHead *head);

/* Forwards the complete events among the data received so far, because another
 * target goes on at an event boundary.  Errors, after which nothing more of
 * the attempt may be forwarded: MP_ERROR_TOO_LARGE if an event is above
 * MP_EVENT_MAX_BYTES, MP_ERROR_STREAM_CUT if one does not go on with the
 * stream. */
int MpGatewayStream_Forward(struct MpGatewayCall *this, const char *data,
                            size_t size);

/* Returns the result of an attempt by its events: a stream that ends inside an
 * event, or with the connection before the first, has broken off. */
enum MpTargetResult MpGatewayStream_Result(const struct MpGatewayCall *this,
                                           enum MpTargetResult result);

#endif
