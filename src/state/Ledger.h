#ifndef MP_STATE_LEDGER_H
#define MP_STATE_LEDGER_H

#include "gen/wire.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Ledger - prepaid budgets, leases of instances, and one record per request.
 *
 * All amounts are thousandths of a token (mtok).  For each account
 *
 *     settled + reserved + leased + afloat <= granted
 *
 * holds after every call, but where a document has lowered the prepaid
 * amount: then the largest amount that was granted is the bound.  leased is
 * the sum over the leases, afloat what routers have drawn from their slices,
 * which they may lend to each other.  A request is opened before it is
 * dispatched, which reserves its worst case, and settled once.  A record that
 * is closed stays for the retention time, so that a repeat of its key is
 * answered from it and not billed again.
 *
 * The ledger is deterministic: time enters as now_ms, and replicas that
 * apply the same calls in the same order hold the same state.
 */

/* Slices of living routers take at most this part of what is left of a
 * budget, in thousandths: that much is stranded when all of them die. */
#define MP_LEDGER_SLICES_MAX_PERMILLE 400
/* ... and at most this part near the end of the budget. */
#define MP_LEDGER_SLICES_MIN_PERMILLE 60
/* The end begins below the higher, and is reached at the lower part of the
 * budget that is left, in thousandths. */
#define MP_LEDGER_SLICES_HIGH_PERMILLE 500
#define MP_LEDGER_SLICES_LOW_PERMILLE 200

/* Largest amount in one call, and largest budget. */
#define MP_AMOUNT_MAX_MTOK INT64_C(1000000000000000)

/* Runs of an answered repeatable request that are not billed again. */
#define MP_RERUNS_MAX 3

/* Time that a record is kept whose key no caller knows. */
#define MP_BRIEF_RETENTION_MS INT64_C(120000)

/* Default time that closed records are kept. */
#define MP_RETENTION_MS INT64_C(86400000)

/* Who spends a lease, and where it is written down what was spent. */
enum MpLeaseUse {
    MP_LEASE_NATIVE, /* own calls; in the journal of the instance */
    MP_LEASE_PATHS   /* requests on paths; nowhere until it is reported */
};

/* A slice of a budget that one incarnation may spend while it cannot reach
 * the quorum. */
struct MpLease {
    const char *instance; /* interned */
    uint64_t boot;
    enum MpLeaseUse use;
    uint64_t seq;
    int64_t amount_mtok;
    int64_t last_grant_mtok;
    int64_t spent_mtok;    /* settled by this life so far */
    int64_t drawn_mtok;    /* taken out of this slice so far */
    int64_t returned_mtok; /* given back of what was drawn, so far */
    bool recalled;
    bool is_dead; /* its incarnation has ended; it stays counted */
};

struct MpAccount {
    char *workspace;
    int64_t granted_mtok;
    int64_t prepaid_mtok; /* the part of granted that the document names */
    int64_t highest_mtok; /* largest granted so far */
    int64_t settled_mtok;
    int64_t reserved_mtok;
    int64_t leased_mtok;
    int64_t
        outstanding_mtok; /* drawn from slices, neither settled nor returned;
                           * negative while a lender's report is late */
    GPtrArray *leases;    /* of struct MpLease */
    bool has_recalls;     /* some lease may be recalled */
};

struct MpRecord {
    char *id; /* workspace, newline, key */
    const char *key;
    struct MpAccount *account;
    uint8_t body_hash[MP_HASH_BYTES];
    const char *instance; /* interned */
    uint64_t boot;
    enum mp_record_state state;
    bool at_most_once;
    bool is_brief;
    uint64_t open_id;
    int64_t reserve_mtok;
    int64_t spent_mtok;
    int64_t closed_ms;
    uint32_t reruns;
    int32_t status;
    char *content_type;
    GBytes *answer;
    GList link; /* in closed, while closed */
};

/* Records of requests with one body, by its hash. */
struct MpBodyUse {
    uint8_t body_hash[MP_HASH_BYTES];
    uint32_t open;
    uint32_t done; /* answered: the body does no harm */
};

struct MpLedger {
    GHashTable *accounts; /* workspace -> struct MpAccount */
    GHashTable *records;  /* id -> struct MpRecord */
    GHashTable *bodies;   /* body hash -> struct MpBodyUse */
    GQueue closed;        /* closed records, oldest first */
    GQueue brief;         /* closed records whose key nobody knows */
    int64_t retention_ms;
};

void MpLedger_Init(struct MpLedger *this);
void MpLedger_Done(struct MpLedger *this);

/* Returns the account of workspace or NULL. */
struct MpAccount *MpLedger_FindAccount(const struct MpLedger *this,
                                       const char *workspace);

/* Returns the record of key or NULL. */
struct MpRecord *MpLedger_FindRecord(const struct MpLedger *this,
                                     const char *workspace, const char *key);

/* Returns what incarnations held that have ended. */
int64_t MpAccount_Fenced(const struct MpAccount *this);

/* Returns what of account is neither settled, reserved nor leased. */
int64_t MpAccount_Available(const struct MpAccount *this);

/* Adds amount_mtok to the budget; the account is made on the first call.
 * Errors: MP_ERROR_OVERFLOW. */
int MpLedger_Grant(struct MpLedger *this, const char *workspace,
                   int64_t amount_mtok);

/* Makes prepaid_mtok the amount that the document grants in all, beside
 * top-ups.  Lowered below what is used, nothing more is granted.
 * Errors: MP_ERROR_OVERFLOW. */
int MpLedger_SetPrepaid(struct MpLedger *this, const char *workspace,
                        int64_t prepaid_mtok);

/* Settles what holder has spent from its slice, and grants more or takes
 * back.  held tells what is left of the slice.  A seq that is not higher than
 * the last one of the holder changes nothing. */
void MpLedger_UpdateSlice(struct MpLedger *this,
                          const struct mp_incarnation *holder, uint64_t seq,
                          const struct mp_slice *wanted,
                          struct mp_slice_status *held);

/*
 * Opens a request: reserves its worst case and claims its key.
 *
 * Out: result->state is MP_RECORD_OPEN when the caller may dispatch, and
 * result->number then tells whether an earlier attempt may have run;
 * MP_RECORD_DONE with code MP_OK when it may run again unbilled; the state
 * that the record had, with an error.
 * Errors: MP_ERROR_BUDGET, MP_ERROR_RECALLING (leases are called back,
 * try again soon), MP_ERROR_KEY_REUSED, MP_ERROR_IN_PROGRESS,
 * MP_ERROR_OUTCOME_UNKNOWN, MP_ERROR_ALREADY_ANSWERED (with the recorded
 * answer, where one was kept, in result), MP_ERROR_STALE.
 */
int MpLedger_Open(struct MpLedger *this, const struct mp_open *open,
                  int64_t now_ms, struct mp_result *result);

/* Returns whether a target may have got the request of a record in state. */
bool MpLedger_MayHaveRun(enum mp_record_state state);

/*
 * Settles an open request once; never bills past its reservation.
 * A repeat by the same open_id gets MP_OK.  Errors: MP_ERROR_STALE when
 * another attempt or a fence has taken the record over.
 */
int MpLedger_Settle(struct MpLedger *this, const struct mp_settle *settle,
                    int64_t now_ms, struct mp_result *result);

/* Grants holder a slice of up to amount_mtok; result->amount_mtok is what
 * was granted under this seq.  A repeat of the newest seq grants nothing
 * more and gets the same answer; an older seq gets 0. */
int MpLedger_Lease(struct MpLedger *this, const struct mp_lease *lease,
                   struct mp_result *result);

/* Takes amount_mtok of the lease back, at most all of it. */
int MpLedger_Handin(struct MpLedger *this, const struct mp_lease *lease,
                    struct mp_result *result);

/* Bills a request that ran from a lease while the quorum was away.  The
 * first bill of a key counts. Errors: MP_ERROR_BUDGET when the lease does
 * not hold the amount, MP_ERROR_KEY_REUSED. */
int MpLedger_Offline(struct MpLedger *this, const struct mp_offline *offline,
                     int64_t now_ms, struct mp_result *result);

/* Closes the open records of a dead incarnation: repeatable requests
 * unbilled, at-most-once requests as unknown and billed.  Leases stay
 * counted, since the incarnation may still spend them. */
void MpLedger_Fence(struct MpLedger *this, const char *instance, uint64_t boot,
                    int64_t now_ms);

/* Returns whether the incarnation has open records. */
bool MpLedger_HasOpen(const struct MpLedger *this, const char *instance,
                      uint64_t boot);

/* Drops the leases of the lives of instance up to boot, whose process is known
 * to have ended: those for own calls, once its journal is billed, and
 * with_paths those for paths, when an operator says so. Returns the amount set
 * free, mtok. */
int64_t MpLedger_WriteOff(struct MpLedger *this, const char *instance,
                          uint64_t boot, bool with_paths);

/* Forgets closed records older than the retention time. */
void MpLedger_Expire(struct MpLedger *this, int64_t now_ms);

/* Counts record under its body, or no more; before and after each change of
 * its state or hash. */
void MpLedger_CountBody(struct MpLedger *this, const struct MpRecord *record,
                        bool is_added);

/* Returns how many requests with this body are open and none was answered
 * yet; 0 once one was. */
uint32_t MpLedger_Untried(const struct MpLedger *this,
                          const uint8_t *body_hash);

/* Returns the queue in which record waits for its end, once closed. */
GQueue *MpLedger_QueueOf(struct MpLedger *this, const struct MpRecord *record);

/* Returns MP_OK or MP_ERROR_CORRUPT if an account breaks the invariant. */
int MpLedger_Check(const struct MpLedger *this);

/* Copies the state into and out of a snapshot image.  The strings of the
 * image belong to the ledger until the image is encoded. */
void MpLedger_Save(const struct MpLedger *this,
                   struct mp_machine_image *image);
void MpLedger_DropImage(struct mp_machine_image *image);
int MpLedger_Load(struct MpLedger *this, const struct mp_machine_image *image);

#endif
