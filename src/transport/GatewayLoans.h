#ifndef MP_TRANSPORT_GATEWAY_LOANS_H
#define MP_TRANSPORT_GATEWAY_LOANS_H

#include "transport/Gateway.h"

/*
 * GatewayLoans - parts of budgets that routers lend to each other.
 *
 * Who lends is decided in coordination/Lenders, what is lent in
 * coordination/Slices.  A router that lacks something asks the lenders of its
 * zone and then others, one after the other, and the ledger when it reaches
 * none of them.  A lender that lacks something asks the ledger first.
 */

struct MpGatewayLoans;

/* Listens where the settings say.  Errors: MP_ERROR_IO. */
int MpGatewayLoans_Start(struct MpGateway *gateway);

/* Takes the list of those that lend. */
void MpGatewayLoans_TakePeers(struct MpGatewayLoans *this,
                              const struct mp_lender *peers, uint32_t count);

/* Returns whether this router keeps a slice of the workspace. */
bool MpGatewayLoans_Keeps(const struct MpGatewayLoans *this,
                          const char *workspace);

/* Returns how many routers keep a slice of one workspace. */
uint32_t MpGatewayLoans_Keepers(const struct MpGatewayLoans *this);

/* Looks for amount_mtok, for which calls wait.  is_spent: the ledger has no
 * more, but other routers may.  Returns false when there is nobody to ask. */
bool MpGatewayLoans_Seek(struct MpGatewayLoans *this, const char *workspace,
                         int64_t amount_mtok, bool is_spent);

/* Borrows ahead, when the purse of a workspace in use runs low. */
void MpGatewayLoans_Refill(struct MpGatewayLoans *this, const char *workspace);

/* The ledger has answered, or has not: what waits here to be lent is tried
 * again. */
void MpGatewayLoans_Answered(struct MpGatewayLoans *this, bool is_answered);

/* Ends what has waited too long. */
void MpGatewayLoans_Tick(struct MpGatewayLoans *this, int64_t now_ms);

void MpGatewayLoans_WriteMetrics(const struct MpGatewayLoans *this,
                                 GString *out);

#endif
