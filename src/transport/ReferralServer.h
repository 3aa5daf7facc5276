#ifndef MP_TRANSPORT_REFERRAL_SERVER_H
#define MP_TRANSPORT_REFERRAL_SERVER_H

#include "transport/ControlClient.h"
#include "transport/RpcLink.h"

/*
 * Referral - the RPC address of an instance that is no replica but may be
 * named as a seed: it names the leader to instances, and the replicas to new
 * replicas.  Replicas make themselves known to it.
 */

struct MpReferralServer {
    struct MpRpcServer server;
    struct MpControlClient *control;
    char *caller; /* address of the replica that called last, or NULL */
};

/* Listens on address.  Errors: MP_ERROR_IO. */
int MpReferralServer_Start(struct MpReferralServer *this, struct MpLoop *loop,
                           const char *address,
                           struct MpControlClient *control);

#endif
