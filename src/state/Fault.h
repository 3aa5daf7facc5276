#ifndef MP_STATE_FAULT_H
#define MP_STATE_FAULT_H

/*
 * Fault - deliberate faults that the tests of the tests switch on.
 *
 * Only the test build, which defines MP_TEST_FAULTS, contains them; in the
 * product MP_FAULT() is the constant 0.
 */

enum MpFault {
    MP_FAULT_NONE,
    MP_FAULT_SYNC_SKIPPED,
    MP_FAULT_LEASE_TIMEOUT,
    MP_FAULT_CLAIM_UNCHECKED,
    MP_FAULT_OLD_TERM,
    MP_FAULT_SNAPSHOT_DROPS_CLAIMS,
    MP_FAULT_DOCUMENT_BY_CONTENT,
    MP_FAULT_SETTLE_TWICE,
    MP_FAULT_TOPUP_TWICE,
    MP_FAULT_VOTE_TWICE,
    MP_FAULT_LAST
};

#ifdef MP_TEST_FAULTS
extern enum MpFault MpFault_Active;
#define MP_FAULT(fault) (MpFault_Active == (fault))
#else
#define MP_FAULT(fault) 0
#endif

#endif
