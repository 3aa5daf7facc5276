#ifndef MP_TRANSPORT_GATEWAY_ADMISSION_H
#define MP_TRANSPORT_GATEWAY_ADMISSION_H

#include "transport/GatewayCall.h"

/*
 * GatewayAdmission - has Admission decide which requests begin when a pool of
 * engines is too small.
 *
 * In force with `machine` in the settings, for pools whose targets report
 * their speed.
 */

/* A target of the call's pool has reported its speed. */
void MpGatewayAdmission_Activate(struct MpGatewayCall *call);

/* Notes the time to the first answer of the call's target, or without one. */
void MpGatewayAdmission_NoteDelay(const struct MpGatewayCall *call,
                                  int64_t now_ms);

/* Returns whether the first attempt of the call may begin at the picked
 * target; if not, *retry_after_ms is that of the refusal. */
bool MpGatewayAdmission_Admit(struct MpGatewayCall *call,
                              const struct MpPicked *picked,
                              int64_t *retry_after_ms);

void MpGatewayAdmission_WriteMetrics(const struct MpGateway *gateway,
                                     GString *out);

#endif
