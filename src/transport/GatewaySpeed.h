#ifndef MP_TRANSPORT_GATEWAY_SPEED_H
#define MP_TRANSPORT_GATEWAY_SPEED_H

#include "transport/GatewayCall.h"

/*
 * GatewaySpeed - what the attempts of an instance tell of the speed of their
 * targets, and what they carry between zones.
 */

/* Notes that the call was sent to its target, with bytes. */
void MpGatewaySpeed_NoteSent(struct MpGatewayCall *call, size_t bytes);

/* Notes bytes of the response of the call's target. */
void MpGatewaySpeed_NoteReceived(struct MpGatewayCall *call, size_t bytes);

/* Notes the events of the attempt, after events_before earlier ones. */
void MpGatewaySpeed_NoteEvents(struct MpGatewayCall *call,
                               int64_t events_before);

/* Notes that nothing more is read for a while, as the caller is slow: the time
 * between the events tells nothing of the target then. */
void MpGatewaySpeed_NoteHeld(struct MpGatewayCall *call);

/* Learns from the attempt, which ends. */
void MpGatewaySpeed_End(struct MpGatewayCall *call);

/* Bytes of what MpGatewaySpeed_Format writes. */
#define MP_SPEED_LOG_BYTES 96

/* Writes the fields of a log line about a picked target: its speed, the age of
 * its figure, and whether and why the zone was left. */
void MpGatewaySpeed_Format(const struct MpGateway *gateway,
                           const struct MpPicked *picked, int64_t now_ms,
                           char out[static MP_SPEED_LOG_BYTES]);

/* Appends the counters of bytes between zones and the extremes of the speed
 * for each pool, as a percentage of the usual time. */
void MpGatewaySpeed_WriteMetrics(const struct MpGateway *gateway,
                                 GString *out);

#endif
