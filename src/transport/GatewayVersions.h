#ifndef MP_TRANSPORT_GATEWAY_VERSIONS_H
#define MP_TRANSPORT_GATEWAY_VERSIONS_H

#include "transport/GatewayCall.h"

/*
 * GatewayVersions - keeps each stream at the software version that began it.
 *
 * The quorum is told at which version each stream began, except at the base of
 * its pool (see state/Versions.h).  Where a stream without a record would be
 * taken for one of the base, its response is held until the quorum has the
 * record.  When a caller takes a stream up, the quorum says where it began,
 * unless coordination/VersionView knows it.  A stream whose version is not
 * known or not in service is refused at once.
 */

/* A question to the quorum about a stream. */
struct MpTakeUpQuery;

void MpGatewayVersions_Init(struct MpGateway *gateway);

/* Applies the versions that the leader told. */
void MpGatewayVersions_Apply(struct MpGateway *gateway,
                             const struct mp_pool_versions *pools,
                             const struct mp_pool_base *bases, u_int count);

/* Finds out at which version the stream goes on that the call takes up.
 * Returns true if the call waits for that, and MpGatewayAttempt_Start is
 * called again, or if it was refused. */
bool MpGatewayVersions_Check(struct MpGatewayCall *call);

/* Ends the wait of a call that ends. */
void MpGatewayVersions_Cancel(struct MpGatewayCall *call);

/* Binds the call to the version of its target, whose response begins, and has
 * it recorded if need be.  The response may be held from then on. */
void MpGatewayVersions_NoteBegun(struct MpGatewayCall *call);

/* Forgets that the response waits for a record, which goes on its way. */
void MpGatewayVersions_CancelRecord(struct MpGatewayCall *call);

/* Drops the response, which is held, so that the caller can get an error
 * instead. */
void MpGatewayVersions_DropHeld(struct MpGatewayCall *call);

#endif
