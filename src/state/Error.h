#ifndef MP_STATE_ERROR_H
#define MP_STATE_ERROR_H

/*
 * Error - the error codes of mimosapath, which are negative numbers.
 *
 * A function that can fail returns MP_OK or one of these codes.  A table gives
 * the contents of error responses to callers: HTTP status, error name ("type")
 * and whether a target may have received the request ("run").
 */

enum MpError {
    MP_OK = 0,
    MP_ERROR_INVALID = -1,
    MP_ERROR_NO_KEY = -2,
    MP_ERROR_UNKNOWN_KEY = -3,
    MP_ERROR_NOT_ALLOWED = -4,
    MP_ERROR_BUDGET = -5,
    MP_ERROR_KEY_REUSED = -6,
    MP_ERROR_LIMIT = -7,
    MP_ERROR_NO_TARGET = -8,
    MP_ERROR_NO_QUORUM = -9,
    MP_ERROR_OUTCOME_UNKNOWN = -10,
    MP_ERROR_IN_PROGRESS = -11,
    MP_ERROR_ALREADY_ANSWERED = -12,
    MP_ERROR_NOT_LEADER = -13,
    MP_ERROR_FENCED = -14,
    MP_ERROR_STALE = -15,
    MP_ERROR_VERSION = -16,
    MP_ERROR_NOT_FOUND = -17,
    MP_ERROR_TOO_LARGE = -18,
    MP_ERROR_CORRUPT = -19,
    MP_ERROR_IO = -20,
    MP_ERROR_DISK_FULL = -21,
    MP_ERROR_TIMEOUT = -22,
    MP_ERROR_CLOSED = -23,
    MP_ERROR_AUTHENTICATION = -24,
    MP_ERROR_DRAINING = -25,
    MP_ERROR_NOT_READY = -26,
    MP_ERROR_POISON = -27,
    MP_ERROR_TARGET_FAILED = -28,
    MP_ERROR_STREAM_CUT = -29,
    MP_ERROR_OVERFLOW = -30,
    MP_ERROR_RECALLING = -31,
    MP_ERROR_METHOD = -32,
    MP_ERROR_LOCKED = -33,
    MP_ERROR_HELD_BACK = -34,
    MP_ERROR_HEAD_TOO_LARGE = -35,
    MP_ERROR_STREAM_VERSION = -36,
    MP_ERROR_STALLED = -37,
    MP_ERROR_MEMORY = -38,
    MP_ERROR_OVERLOADED = -39,
    MP_ERROR_LAST = -40
};

/* Whether a target may have received the request. */
enum MpRun { MP_RUN_NO, MP_RUN_UNKNOWN };

struct MpErrorInfo {
    const char *name;    /* stable identifier, sent as "type" */
    const char *message; /* one English sentence */
    int http_status;
    enum MpRun run;
};

/* Returns the table row of code, that of MP_ERROR_INVALID for an unknown code;
 * never NULL. */
const struct MpErrorInfo *MpError_Info(int code);

/* Returns the stable identifier of code. */
const char *MpError_Name(int code);

#endif
