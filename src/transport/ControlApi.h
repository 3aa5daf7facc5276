#ifndef MP_TRANSPORT_CONTROL_API_H
#define MP_TRANSPORT_CONTROL_API_H

#include "transport/OperatorServer.h"

/*
 * ControlApi - the JSON interface of operators.
 *
 *     GET  /control/v1/document
 *     GET  /control/v1/document?version=N   one of the last versions
 *     PUT  /control/v1/document          If-Match, Idempotency-Key
 *     GET  /control/v1/status
 *     GET  /control/v1/workspaces/NAME
 *     POST /control/v1/workspaces/NAME/topups   Idempotency-Key
 *     POST /control/v1/instances/NAME/writeoff
 *     POST /control/v1/drain             this instance
 */

/* Answers the call and frees it, sooner or later. */
void MpControlApi_Serve(struct MpOperatorCall *call);

/* Proposes a document; answers the call. */
void MpControlApi_PutDocument(struct MpOperatorCall *call, const char *text,
                              uint64_t base_version, const char *submission,
                              const char *author, MpProposeDone done);

/* Proposes a top-up.  Returns MP_OK or MP_ERROR_INVALID. */
int MpControlApi_Topup(struct MpOperatorCall *call, const char *workspace,
                       const char *topup_id, int64_t amount_mtok,
                       MpProposeDone done);

#endif
