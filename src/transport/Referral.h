#ifndef MP_TRANSPORT_REFERRAL_H
#define MP_TRANSPORT_REFERRAL_H

#include "transport/Fleet.h"
#include "transport/RpcLink.h"

/*
 * ReferralServer - the RPC server of a relay, an instance that is not a
 * control replica but may be configured as a seed.  It answers calls of
 * instances with the address of the leader, and identify calls of new replicas
 * with the addresses of all known replicas.  It learns a replica's address
 * from the replica's identify calls.
 */

struct MpReferral {
    struct MpRpcServer server;
    struct MpFleet *fleet;
    char *replica_address; /* of the replica that last called, or NULL */
};

/* Listens on address.  fleet is not copied.  Errors: MP_ERROR_IO. */
int MpReferral_Start(struct MpReferral *this, struct MpLoop *loop,
                     const char *address, struct MpFleet *fleet);

#endif
