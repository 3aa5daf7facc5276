#ifndef MP_STATE_LEDGER_INTERNAL_H
#define MP_STATE_LEDGER_INTERNAL_H

#include "state/Ledger.h"

/*
 * LedgerInternal - functions shared by the files of Ledger; not for others.
 */

/* Returns an empty table of struct MpBodyUse. */
GHashTable *MpLedger_NewBodies(void);

/* Returns the lease of holder, a new one if there is none. */
struct MpLease *MpLedger_LeaseOf(struct MpAccount *account,
                                 const struct mp_incarnation *holder,
                                 enum MpLeaseUse use);

/* Returns the lease of an incarnation or NULL. */
struct MpLease *MpLedger_FindLease(const struct MpAccount *account,
                                   const char *instance, uint64_t boot,
                                   enum MpLeaseUse use);

/* Returns whether an amount is within 0 and MP_AMOUNT_MAX_MTOK. */
bool MpLedger_IsAmount(int64_t amount_mtok);

/* Makes the record of a key that has none. */
struct MpRecord *MpLedger_NewRecord(struct MpLedger *this,
                                    struct MpAccount *account,
                                    const char *key);

/* Closes a record in state; it waits for the end of its retention. */
void MpLedger_CloseRecord(struct MpLedger *this, struct MpRecord *record,
                          enum mp_record_state state, int64_t now_ms);

/* Takes a closed record out of the queue in which it waits. */
void MpLedger_UnlinkRecord(struct MpLedger *this, struct MpRecord *record);

#endif
