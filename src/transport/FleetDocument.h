#ifndef MP_TRANSPORT_FLEET_DOCUMENT_H
#define MP_TRANSPORT_FLEET_DOCUMENT_H

#include "transport/Fleet.h"

/*
 * FleetDocument - how an instance gets a document that it was told of: what
 * changed since its own, from any replica.
 */

/* Fetches the document of this version, or a higher one, if it is newer. */
void MpFleetDocument_Fetch(struct MpFleet *fleet, uint64_t version);

#endif
