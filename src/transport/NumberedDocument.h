#ifndef MP_TRANSPORT_NUMBERED_DOCUMENT_H
#define MP_TRANSPORT_NUMBERED_DOCUMENT_H

#include "transport/OperatorServer.h"

#include <stdbool.h>

/*
 * NumberedDocument - documents whose versions the operator numbers.
 *
 * The highest number is in force.  One that is not higher is acknowledged and
 * changes nothing; one that is not valid is refused.  A read is answered with
 * the newest document that a majority has proved, or not at all.
 */

/* Returns whether the dialect has a call of this method and path. */
bool MpNumberedDocument_Takes(const struct MpOperatorServer *server,
                              const h2o_req_t *req);

/* Serves it; the call is freed later. */
void MpNumberedDocument_Serve(struct MpOperatorCall *call);

#endif
