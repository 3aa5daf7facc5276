#ifndef MP_STATE_LEDGER_H
#define MP_STATE_LEDGER_H

#include "gen/wire.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Ledger - accounts of the workspaces' prepaid token budgets: leases held by
 * instances, and one record per request.
 *
 * All amounts are thousandths of a token (mtok).  After every call, each
 * account satisfies
 *
 *     settled + reserved + leased + outstanding <= granted
 *
 * unless the configuration document has lowered the prepaid amount; then the
 * largest amount ever granted is the bound.  leased is the sum of the leases.
 * outstanding is what routers have drawn from their slices and may lend to
 * each other.
 *
 * A request is opened before it is dispatched, which reserves its worst case,
 * and is settled once.  A closed record is kept for the retention time, so
 * that a repeat of its key is answered from it and not billed again.
 *
 * The ledger is deterministic: time is passed in as now_ms, and replicas that
 * apply the same calls in the same order hold the same state.
 */

/* The slices of all routers that are not fenced hold at most this share of
 * the remaining budget, in thousandths.  It is the share that is stranded if
 * all routers crash. */
#define MP_LEDGER_SLICES_MAX_PERMILLE 400
/* The same limit when the budget is almost used up. */
#define MP_LEDGER_SLICES_MIN_PERMILLE 60
/* Thresholds of the remaining share of a budget, in thousandths of what was
 * granted.  From HIGH upwards the first limit applies, from LOW downwards the
 * second, and between them the limit is interpolated linearly. */
#define MP_LEDGER_BUDGET_HIGH_PERMILLE 500
#define MP_LEDGER_BUDGET_LOW_PERMILLE 200

/* Largest amount in one call, and largest budget. */
#define MP_AMOUNT_MAX_MTOK INT64_C(1000000000000000)

/* Limit of unbilled reruns of an answered repeatable request, and of new
 * attempts after a cancelled one. */
#define MP_RERUNS_MAX 3

/* Time that a closed record is kept when the caller gave no idempotency key,
 * so that only instances can repeat the request. */
#define MP_BRIEF_RETENTION_MS INT64_C(120000)

/* Default time that other closed records are kept. */
#define MP_RETENTION_MS INT64_C(86400000)

/* Which requests a lease pays for. */
enum MpLeaseUse {
    MP_LEASE_NATIVE, /* native requests; the instance journals what it spends
                      */
    MP_LEASE_PATHS   /* requests on paths; spending is not stored anywhere
                      * until it is reported to the ledger */
};

/* A part of a budget that one incarnation may spend without the quorum.  A
 * lease for paths is called a slice. */
struct MpLease {
    const char *instance; /* interned */
    uint64_t boot;
    enum MpLeaseUse use;
    uint64_t seq;            /* of the last call that was applied */
    int64_t amount_mtok;     /* left in the lease */
    int64_t last_grant_mtok; /* granted by the call seq */
    /* running totals of the incarnation, for a slice */
    int64_t spent_mtok;    /* settled */
    int64_t drawn_mtok;    /* drawn from this slice */
    int64_t returned_mtok; /* returned of what was drawn here or borrowed */
    bool is_recalled;
    bool is_fenced; /* the incarnation is fenced; the lease stays counted */
};

struct MpAccount {
    char *workspace;
    int64_t granted_mtok;
    int64_t prepaid_mtok; /* part of granted set by the document */
    int64_t highest_mtok; /* largest granted_mtok so far */
    int64_t settled_mtok;
    int64_t reserved_mtok;
    int64_t leased_mtok;
    int64_t
        outstanding_mtok; /* drawn from slices, neither settled nor returned;
                           * negative while a lender's report is late */
    GPtrArray *leases;    /* of struct MpLease */
    bool has_recalls;     /* set once any lease was recalled */
};

/* The state and the bill of one request. */
struct MpRecord {
    char *id; /* workspace, newline, key */
    const char *key;
    struct MpAccount *account;
    uint8_t body_hash[MP_HASH_BYTES];
    const char *instance; /* interned */
    uint64_t boot;
    enum mp_record_state state;
    bool at_most_once;
    bool is_brief; /* the caller gave no key; kept for
                    * MP_BRIEF_RETENTION_MS only */
    uint64_t open_id;
    int64_t reserve_mtok;
    int64_t spent_mtok;
    int64_t closed_ms;
    uint32_t reruns;
    int32_t status;
    char *content_type;
    GBytes *answer;
    GList link; /* in closed or brief of the ledger, while closed */
};

/* Number of records whose requests have the same body. */
struct MpBodyCounts {
    uint8_t body_hash[MP_HASH_BYTES];
    uint32_t open;
    uint32_t answered; /* the body has not crashed its target */
};

struct MpLedger {
    GHashTable *accounts; /* workspace -> struct MpAccount */
    GHashTable *records;  /* id -> struct MpRecord */
    GHashTable *bodies;   /* body hash -> struct MpBodyCounts */
    GQueue closed;        /* closed records, oldest first */
    GQueue brief;         /* closed records with is_brief, oldest first */
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

/* Returns the sum of the leases of fenced incarnations. */
int64_t MpAccount_Fenced(const struct MpAccount *this);

/* Returns the part of the budget that is not settled, reserved, leased or
 * outstanding; negative after the budget was lowered below these. */
int64_t MpAccount_Available(const struct MpAccount *this);

/* Adds amount_mtok to the budget; the first call creates the account.
 * Errors: MP_ERROR_OVERFLOW. */
int MpLedger_Grant(struct MpLedger *this, const char *workspace,
                   int64_t amount_mtok);

/* Sets the total that the document grants, top-ups not included.  If it is
 * lowered below what is used, no more is granted to requests or leases.
 * Errors: MP_ERROR_OVERFLOW. */
int MpLedger_SetPrepaid(struct MpLedger *this, const char *workspace,
                        int64_t prepaid_mtok);

/* Applies a report of holder on its slice: settles what was spent, then grows
 * or shrinks the slice as requested.  held gets what is left of the slice.
 * Only held is set if seq is not higher than the last one of the holder. */
void MpLedger_UpdateSlice(struct MpLedger *this,
                          const struct mp_incarnation *holder, uint64_t seq,
                          const struct mp_slice *wanted,
                          struct mp_slice_status *held);

/*
 * Opens a request: reserves its worst case and claims its key.
 *
 * On MP_OK, result->state is MP_RECORD_OPEN if the caller may dispatch the
 * request; result->number is then 1 if an earlier attempt may have run, else
 * 0.  It is MP_RECORD_DONE if the request may run again unbilled.  On an
 * error, result->state is the state of the existing record.
 * Errors: MP_ERROR_BUDGET, MP_ERROR_RECALLING (leases are being recalled,
 * retry soon), MP_ERROR_OVERFLOW, MP_ERROR_KEY_REUSED, MP_ERROR_IN_PROGRESS,
 * MP_ERROR_OUTCOME_UNKNOWN, MP_ERROR_ALREADY_ANSWERED (result holds the
 * recorded answer if one was kept), MP_ERROR_STALE (this attempt is no longer
 * open).
 */
int MpLedger_Open(struct MpLedger *this, const struct mp_open *open,
                  int64_t now_ms, struct mp_result *result);

/* Returns whether a target may have received the request of a record that is
 * in state. */
bool MpLedger_MayHaveRun(enum mp_record_state state);

/*
 * Settles an open request once and bills at most its reservation.  A repeat
 * with the same open_id returns MP_OK.  Settling an attempt that was never
 * opened as MP_RECORD_NOT_RUN leaves a closed record, against a late open.
 * Errors: MP_ERROR_STALE when another attempt or a fence has taken over the
 * record, MP_ERROR_INVALID when the outcome is not a closed state,
 * MP_ERROR_NOT_FOUND.
 */
int MpLedger_Settle(struct MpLedger *this, const struct mp_settle *settle,
                    int64_t now_ms, struct mp_result *result);

/* Grants holder up to amount_mtok; result->amount_mtok is what was granted
 * under this seq.  A repeat of the newest seq grants nothing more and returns
 * the same result; an older seq returns 0.
 * Errors: MP_ERROR_BUDGET, MP_ERROR_OVERFLOW. */
int MpLedger_GrantLease(struct MpLedger *this, const struct mp_lease *lease,
                        struct mp_result *result);

/* Returns amount_mtok of a lease to the budget, at most all of it;
 * result->amount_mtok is what is left of the lease.
 * Errors: MP_ERROR_NOT_FOUND. */
int MpLedger_ReturnLease(struct MpLedger *this, const struct mp_lease *lease,
                         struct mp_result *result);

/* Bills a request that ran from a lease while the quorum was unreachable.
 * Only the first bill of a key counts.  Errors: MP_ERROR_BUDGET when the
 * lease does not hold the amount, MP_ERROR_KEY_REUSED, MP_ERROR_NOT_FOUND. */
int MpLedger_BillOffline(struct MpLedger *this,
                         const struct mp_offline *offline, int64_t now_ms,
                         struct mp_result *result);

/* Closes the open records of the incarnations of instance up to boot:
 * repeatable requests as abandoned and unbilled, at-most-once requests as
 * unknown and billed.  Leases stay counted, since the incarnation may still
 * spend them. */
void MpLedger_Fence(struct MpLedger *this, const char *instance, uint64_t boot,
                    int64_t now_ms);

/* Returns whether the incarnation has open records. */
bool MpLedger_HasOpen(const struct MpLedger *this, const char *instance,
                      uint64_t boot);

/* Drops the native leases of the incarnations of instance up to boot, whose
 * process is known to have ended and whose journal was billed.  Drops their
 * slices too if with_paths is set, which takes an operator's decision.
 * Returns the amount freed, mtok. */
int64_t MpLedger_WriteOff(struct MpLedger *this, const char *instance,
                          uint64_t boot, bool with_paths);

/* Removes closed records older than the retention time. */
void MpLedger_Expire(struct MpLedger *this, int64_t now_ms);

/* Adds record to the counts of its body, or removes it.  A change of its
 * state or body hash needs a removal before and an addition after it. */
void MpLedger_CountBody(struct MpLedger *this, const struct MpRecord *record,
                        bool is_added);

/* Returns the number of open requests with this body; 0 if any request with
 * this body was answered and its record is still kept. */
uint32_t MpLedger_CountUnanswered(const struct MpLedger *this,
                                  const uint8_t *body_hash);

/* Returns the queue of closed records from which record expires. */
GQueue *MpLedger_ExpiryQueue(struct MpLedger *this,
                             const struct MpRecord *record);

/* Returns MP_OK, or MP_ERROR_CORRUPT if an account violates the invariant. */
int MpLedger_Check(const struct MpLedger *this);

/* Copies the state into a snapshot image.  The strings of the image belong to
 * the ledger, which must not change until the image is encoded. */
void MpLedger_Save(const struct MpLedger *this,
                   struct mp_machine_image *image);

/* Frees the arrays that MpLedger_Save put into image. */
void MpLedger_FreeImage(struct mp_machine_image *image);

/* Fills an empty ledger from an image.  Errors: MP_ERROR_CORRUPT. */
int MpLedger_Load(struct MpLedger *this, const struct mp_machine_image *image);

#endif
