#ifndef MP_TRANSPORT_GATEWAY_LOANS_H
#define MP_TRANSPORT_GATEWAY_LOANS_H

#include "transport/Gateway.h"

/*
 * GatewayLoans - borrows parts of budgets from other routers and repays them.
 *
 * coordination/Lenders decides which routers lend, coordination/Slices how
 * much.  A borrower asks the lenders of its zone and then those of other zones
 * one at a time, and the ledger if no lender replies.  A lender that has too
 * little asks the ledger before it replies.
 */

struct MpGatewayLoans;

/* Listens on the address in the settings, if there is one.  Errors:
 * MP_ERROR_IO. */
int MpGatewayLoans_Start(struct MpGateway *gateway);

/* Replaces the list of all routers that may lend. */
void MpGatewayLoans_SetPeers(struct MpGatewayLoans *this,
                             const struct mp_lender *peers, uint32_t count);

/* Returns whether this router is a primary lender of the workspace, which
 * holds a slice of its budget. */
bool MpGatewayLoans_IsPrimary(const struct MpGatewayLoans *this,
                              const char *workspace);

/* Returns how many routers hold a slice of one workspace. */
uint32_t MpGatewayLoans_CountPrimaries(const struct MpGatewayLoans *this);

/* Requests amount_mtok for waiting calls, from the ledger or other routers.
 * is_exhausted: the ledger has no budget left, but other routers may.  Returns
 * false when no lender can be asked. */
bool MpGatewayLoans_RequestLoan(struct MpGatewayLoans *this,
                                const char *workspace, int64_t amount_mtok,
                                bool is_exhausted);

/* Borrows in advance when the balance of a workspace in use runs low. */
void MpGatewayLoans_Prefetch(struct MpGatewayLoans *this,
                             const char *workspace);

/* Tries the held lend calls again after a report to the ledger has ended.
 * is_answered: the ledger answered it. */
void MpGatewayLoans_ReportDone(struct MpGatewayLoans *this, bool is_answered);

/* Answers lend calls that were held too long, and repays surplus loans. */
void MpGatewayLoans_Tick(struct MpGatewayLoans *this, int64_t now_ms);

/* Appends the addresses of the keepers of a target; see
 * MpLenders_ListKeepers. */
guint MpGatewayLoans_ListKeepers(const struct MpGatewayLoans *this,
                                 const char *incarnation, GPtrArray *out);

/* Returns the RPC client for the lender at address, and connects it. */
struct MpRpcClient *MpGatewayLoans_GetClient(struct MpGatewayLoans *this,
                                             const char *address);

void MpGatewayLoans_WriteMetrics(const struct MpGatewayLoans *this,
                                 GString *out);

#endif
