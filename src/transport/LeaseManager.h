#ifndef MP_TRANSPORT_LEASE_MANAGER_H
#define MP_TRANSPORT_LEASE_MANAGER_H

#include "transport/Router.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * LeaseKeeper - the leases of an instance, and requests without the quorum.
 *
 * For workspaces whose document says "partition": "lease" an instance with a
 * data folder keeps a slice of the budget that covers its recent demand.
 * When the quorum is away, repeatable requests run from it: each is written
 * to the journal before it is dispatched, and billed from the lease later.
 * What is held here is never more than what the ledger counts as leased, so
 * a budget cannot be overspent whatever is lost.
 */

struct MpLeaseKeeper;
struct MpExchange;

/* Opens the journal, if the instance has a data folder.  Returns NULL and
 * *code when the journal is damaged. */
struct MpLeaseKeeper *MpLeaseKeeper_New(struct MpRouter *router, int *code);

/* Returns whether the quorum has been silent for a while. */
bool MpLeaseKeeper_IsCutOff(const struct MpLeaseKeeper *this);

/* Takes over a request that cannot be opened in the quorum, if a lease can
 * carry it; false leaves it as it was. */
bool MpLeaseKeeper_TryOffline(struct MpLeaseKeeper *this,
                              struct MpExchange *exchange);

/* Settles a request that was taken over. */
void MpLeaseKeeper_Settle(struct MpLeaseKeeper *this,
                          struct MpExchange *exchange, int64_t spent_mtok);

/* Settles, in the background, an open record that may have come into being
 * although its request was given up. */
void MpLeaseKeeper_CloseOpen(struct MpLeaseKeeper *this,
                             const struct MpExchange *exchange);

/* Notes demand, which the leases follow. */
void MpLeaseKeeper_NoteDemand(struct MpLeaseKeeper *this,
                              const struct MpExchange *exchange);

/* Hands the lease on workspace back. */
void MpLeaseKeeper_Recall(struct MpLeaseKeeper *this, const char *workspace);

/* Hands all leases back, when the instance leaves. */
void MpLeaseKeeper_HandInAll(struct MpLeaseKeeper *this);

/* Takes a new registration: bills what the journal holds and gives up what
 * earlier lives held. */
void MpLeaseKeeper_Registered(struct MpLeaseKeeper *this, uint64_t boot);

/* Returns the settlements and hand-ins that have no answer yet. */
uint64_t MpLeaseKeeper_Outstanding(const struct MpLeaseKeeper *this);

/* Returns what is held, mtok, over all workspaces. */
int64_t MpLeaseKeeper_Held(const struct MpLeaseKeeper *this);

#endif
