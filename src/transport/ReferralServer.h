#ifndef MP_TRANSPORT_REFERRAL_SERVER_H
#define MP_TRANSPORT_REFERRAL_SERVER_H

#include "transport/ControlClient.h"
#include "transport/RpcLink.h"

/*
 * ReferralServer - the RPC server of a relay, an instance that is not a
 * control replica but may be configured as a seed.  It answers calls of
 * instances with the address of the leader, and identify calls of new replicas
 * with the addresses of all known replicas.  It learns a replica's address
 * from the replica's identify calls.
 */

struct MpReferralServer {
    struct MpRpcServer server;
    struct MpControlClient *control;
    char *replica_address; /* of the replica that last called, or NULL */
};

/* Listens on address.  control is not copied.  Errors: MP_ERROR_IO. */
int MpReferralServer_Start(struct MpReferralServer *this, struct MpLoop *loop,
                           const char *address,
                           struct MpControlClient *control);

#endif
