#ifndef MP_TRANSPORT_TARGET_LIST_H
#define MP_TRANSPORT_TARGET_LIST_H

#include "transport/Gateway.h"

/*
 * TargetList - reads the list of targets, page by page, and keeps the last
 * whole one when it cannot be had.
 */

struct MpTargetList;

struct MpTargetList *MpTargetList_New(struct MpGateway *gateway);

/* Reads the list now. */
void MpTargetList_Wake(struct MpTargetList *this);

void MpTargetList_WriteMetrics(const struct MpTargetList *this, GString *out);

#endif
