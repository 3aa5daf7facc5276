#ifndef MP_TRANSPORT_GATEWAY_LENDER_H
#define MP_TRANSPORT_GATEWAY_LENDER_H

#include "transport/Gateway.h"
#include "transport/RpcLink.h"

/*
 * GatewayLender - the RPC server for loans of budget between routers: answers
 * lend and repay calls.
 *
 * A lend call that the local slice cannot cover is held for a short time
 * while the ledger is asked for more.
 */

struct MpGatewayLender {
    struct MpGateway *gateway;
    struct MpRpcServer server;
    GQueue pending; /* of struct pending_lend */
    /* counters */
    uint64_t lent;
    uint64_t refused;
};

/* Listens on address.  Errors: MP_ERROR_IO. */
int MpGatewayLender_Start(struct MpGatewayLender *this,
                          struct MpGateway *gateway, const char *address);

/* Tries all held calls again; those that still cannot be answered stay held.
 * is_answered: the ledger has answered a report. */
void MpGatewayLender_Retry(struct MpGatewayLender *this, bool is_answered,
                           int64_t now_ms);

#endif
