#ifndef MP_TRANSPORT_DOCUMENT_FETCH_H
#define MP_TRANSPORT_DOCUMENT_FETCH_H

#include "transport/ControlClient.h"

/*
 * FleetDocument - how an instance gets a document that it was told of: what
 * changed since its own, from any replica.
 */

/* Fetches the document of this version, or a higher one, if it is newer. */
void MpFleetDocument_Fetch(struct MpControlClient *control, uint64_t version);

#endif
