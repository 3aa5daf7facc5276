#ifndef MP_COMMANDS_LOAD_LEDGER_H
#define MP_COMMANDS_LOAD_LEDGER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * LoadLedger - how the requests of callers ended, as a load test saw it and as
 * the instances count it in their metrics.
 */

enum MpLoadEnd {
    MP_LOAD_END_ANSWERED,
    MP_LOAD_END_REFUSED,    /* a whole error of the instance itself */
    MP_LOAD_END_CUT,        /* closed inside the response */
    MP_LOAD_END_LEFT,       /* by the caller */
    MP_LOAD_END_UNANSWERED, /* closed without a byte */
    MP_LOAD_ENDS
};
extern const char *const MpLoadEnd_Names[];

/* Number of requests that were sent whole, by their end. */
struct MpLoadLedger {
    uint64_t ends[MP_LOAD_ENDS];
    uint64_t read; /* requests that instances have read */
    bool is_told;  /* an instance counts them */
};

/* Reads the sum of the metrics of all instances from their metrics addresses.
 * Errors: those of MpHttpCall_Perform, MP_ERROR_INVALID for a status other
 * than 200. */
int MpLoadLedger_Read(struct MpLoadLedger *this, const GPtrArray *addresses);

/* Returns whether the instances counted what callers saw; prints what differs
 * on standard error.  Requests whose callers left may have ended in any way.
 * If no instance counts them, only requests without an answer differ. */
bool MpLoadLedger_Matches(const struct MpLoadLedger *seen,
                          const struct MpLoadLedger *before,
                          const struct MpLoadLedger *after);

#endif
