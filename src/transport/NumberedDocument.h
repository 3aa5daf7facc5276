#ifndef MP_TRANSPORT_NUMBERED_DOCUMENT_H
#define MP_TRANSPORT_NUMBERED_DOCUMENT_H

#include "transport/OperatorServer.h"

#include <stdbool.h>

/*
 * NumberedDocument - HTTP requests that submit and read the document, for
 * dialects in which the operator assigns the document's version number.
 *
 * The document with the highest version is in force.  A submission with a
 * version that is not higher is acknowledged and changes nothing; an invalid
 * one is rejected.  A read returns the newest document confirmed by a majority
 * of the control replicas, or fails with MP_ERROR_NOT_READY.
 */

/* Returns whether req has the method and path of one of these requests. */
bool MpNumberedDocument_Matches(const struct MpOperatorServer *server,
                                const h2o_req_t *req);

/* Serves the call and takes ownership of it. */
void MpNumberedDocument_Serve(struct MpOperatorCall *call);

#endif
