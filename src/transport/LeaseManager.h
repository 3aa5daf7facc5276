#ifndef MP_TRANSPORT_LEASE_MANAGER_H
#define MP_TRANSPORT_LEASE_MANAGER_H

#include "transport/Router.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * LeaseManager - the budget leases that an instance holds for native requests,
 * and the requests that run from them while the quorum is unreachable.
 *
 * For each workspace with "partition": "lease" in its document, an instance
 * with a data folder holds a lease of the budget that covers its recent
 * demand.  While the quorum is unreachable, repeatable requests run from this
 * lease: each is written to the journal before it is dispatched, and billed
 * once the quorum is reachable again.  The amount held here never exceeds what
 * the ledger counts as leased, so a crash or lost message cannot overspend a
 * budget.
 */

struct MpLeaseManager;
struct MpExchange;

/* Opens the journal, if the instance has a data folder.  Returns NULL, and the
 * error in *code, when the journal cannot be opened. */
struct MpLeaseManager *MpLeaseManager_New(struct MpRouter *router, int *code);

/* Starts a request that cannot be opened in the quorum from a lease.  Returns
 * false, and changes nothing, when the request is not repeatable or no lease
 * covers it. */
bool MpLeaseManager_TryOffline(struct MpLeaseManager *this,
                               struct MpExchange *exchange);

/* Settles a request that was started by MpLeaseManager_TryOffline. */
void MpLeaseManager_Settle(struct MpLeaseManager *this,
                           struct MpExchange *exchange, int64_t spent_mtok);

/* Settles the record of exchange as not run, in the background.  For a request
 * whose open command got no reply: the record may exist nevertheless. */
void MpLeaseManager_SettleNotRun(struct MpLeaseManager *this,
                                 const struct MpExchange *exchange);

/* Records the demand of a request, from which the lease sizes follow. */
void MpLeaseManager_RecordDemand(struct MpLeaseManager *this,
                                 const struct MpExchange *exchange);

/* Returns the lease on workspace to the ledger. */
void MpLeaseManager_Recall(struct MpLeaseManager *this, const char *workspace);

/* Returns all leases to the ledger, when the instance drains. */
void MpLeaseManager_ReturnAll(struct MpLeaseManager *this);

/* Handles a new registration: bills the requests in the journal, and returns
 * or writes off the leases of earlier incarnations. */
void MpLeaseManager_Registered(struct MpLeaseManager *this, uint64_t boot);

/* Returns the number of commands without a reply and of offline requests that
 * are not billed yet. */
uint64_t MpLeaseManager_Pending(const struct MpLeaseManager *this);

/* Returns the unspent amount of all leases, mtok. */
int64_t MpLeaseManager_Held(const struct MpLeaseManager *this);

#endif
