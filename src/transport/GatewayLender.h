#ifndef MP_TRANSPORT_GATEWAY_LENDER_H
#define MP_TRANSPORT_GATEWAY_LENDER_H

#include "transport/Gateway.h"
#include "transport/RpcLink.h"

/*
 * GatewayLender - the lending side of GatewayLoans: answers routers that
 * borrow, and holds their calls for a moment while the ledger is asked.
 */

struct MpGatewayLender {
    struct MpGateway *gateway;
    struct MpRpcServer server;
    GQueue waiting; /* of struct waiting_lend */
    /* counters */
    uint64_t lent;
    uint64_t refused;
};

/* Listens on address.  Errors: MP_ERROR_IO. */
int MpGatewayLender_Start(struct MpGatewayLender *this,
                          struct MpGateway *gateway, const char *address);

/* Tries what waits again; what waits on is put at the end. */
void MpGatewayLender_Retry(struct MpGatewayLender *this, bool is_answered,
                           int64_t now_ms);

#endif
