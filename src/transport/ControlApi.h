#ifndef MP_TRANSPORT_CONTROL_API_H
#define MP_TRANSPORT_CONTROL_API_H

#include "transport/OperatorServer.h"

/*
 * ControlApi - JSON API for operators.
 *
 *     GET  /control/v1/document
 *     GET  /control/v1/document?version=N   a recent version
 *     PUT  /control/v1/document             needs If-Match, Idempotency-Key
 *     GET  /control/v1/status
 *     GET  /control/v1/workspaces/NAME
 *     POST /control/v1/workspaces/NAME/topups   needs Idempotency-Key
 *     POST /control/v1/instances/NAME/writeoff
 *     POST /control/v1/zones/NAME/drain     needs Idempotency-Key
 *     POST /control/v1/zones/NAME/restore   needs Idempotency-Key
 *     POST /control/v1/drain                drains this instance
 */

/* Start of the paths above. */
#define MP_CONTROL_API_PREFIX "/control/v1/"

/* Serves the call and takes ownership of it. */
void MpControlApi_Serve(struct MpOperatorCall *call);

/* Proposes a document; done gets call as its data.  If text is not valid, the
 * findings are sent with status 400, call is freed and done is not called. */
void MpControlApi_PutDocument(struct MpOperatorCall *call, const char *text,
                              uint64_t base_version, const char *submission,
                              const char *author, MpProposeDone done);

/* Proposes a top-up; done gets call as its data.  Errors, for which done is
 * not called: MP_ERROR_INVALID for the amount or topup_id, MP_ERROR_NOT_FOUND
 * for the workspace. */
int MpControlApi_Topup(struct MpOperatorCall *call, const char *workspace,
                       const char *topup_id, int64_t amount_mtok,
                       MpProposeDone done);

#endif
