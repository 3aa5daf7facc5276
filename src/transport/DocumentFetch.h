#ifndef MP_TRANSPORT_DOCUMENT_FETCH_H
#define MP_TRANSPORT_DOCUMENT_FETCH_H

#include "transport/ControlClient.h"

/*
 * DocumentFetch - fetches a new document version from a control replica, as a
 * patch to the version that the instance has, or in full.
 */

/* Starts to fetch version or a newer one, unless the instance has it already
 * or a fetch is in progress. */
void MpDocumentFetch_Start(struct MpControlClient *control, uint64_t version);

#endif
