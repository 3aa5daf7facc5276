#ifndef MP_STATE_LEDGER_INTERNAL_H
#define MP_STATE_LEDGER_INTERNAL_H

#include "state/Ledger.h"

/*
 * LedgerInternal - functions private to the Ledger*.c files.
 */

/* Returns an empty table of struct MpBodyCounts. */
GHashTable *MpLedger_NewBodies(void);

/* Returns the lease of holder for use; adds an empty one if it has none. */
struct MpLease *MpLedger_FindOrAddLease(struct MpAccount *account,
                                        const struct mp_incarnation *holder,
                                        enum MpLeaseUse use);

/* Returns the lease of an incarnation or NULL. */
struct MpLease *MpLedger_FindLease(const struct MpAccount *account,
                                   const char *instance, uint64_t boot,
                                   enum MpLeaseUse use);

/* Returns whether an amount is within 0 and MP_AMOUNT_MAX_MTOK. */
bool MpLedger_IsValidAmount(int64_t amount_mtok);

/* Creates the record of a key that has none. */
struct MpRecord *MpLedger_NewRecord(struct MpLedger *this,
                                    struct MpAccount *account,
                                    const char *key);

/* Closes record with state and queues it for expiry. */
void MpLedger_CloseRecord(struct MpLedger *this, struct MpRecord *record,
                          enum mp_record_state state, int64_t now_ms);

/* Removes a closed record from its expiry queue; does nothing for an open
 * one. */
void MpLedger_UnlinkRecord(struct MpLedger *this, struct MpRecord *record);

#endif
