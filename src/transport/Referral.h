#ifndef MP_TRANSPORT_REFERRAL_H
#define MP_TRANSPORT_REFERRAL_H

#include "transport/Fleet.h"
#include "transport/RpcLink.h"

/*
 * Referral - the RPC address of an instance that is no replica but may be
 * named as a seed: it names the leader to instances, and the replicas to new
 * replicas.  Replicas make themselves known to it.
 */

struct MpReferral {
    struct MpRpcServer server;
    struct MpFleet *fleet;
    char *caller; /* address of the replica that called last, or NULL */
};

/* Listens on address.  Errors: MP_ERROR_IO. */
int MpReferral_Start(struct MpReferral *this, struct MpLoop *loop,
                     const char *address, struct MpFleet *fleet);

#endif
