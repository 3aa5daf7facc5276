#ifndef MP_TRANSPORT_FLEET_DOCUMENT_H
#define MP_TRANSPORT_FLEET_DOCUMENT_H

#include "transport/Fleet.h"

/*
 * DocumentFetch - fetches a new document version from a control replica, as a
 * patch to the version that the instance has.
 */

/* Starts to fetch version or a newer one, unless the instance has it already
 * or a fetch is in progress. */
void MpDocumentFetch_Start(struct MpFleet *fleet, uint64_t version);

#endif
