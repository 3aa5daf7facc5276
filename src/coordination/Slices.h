#ifndef MP_COORDINATION_SLICES_H
#define MP_COORDINATION_SLICES_H

#include "gen/wire.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * MpSlices - this router's shares of the workspaces' budgets.
 *
 * A slice is an amount that the ledger sets aside for one router.  The ledger
 * counts it as used until the router returns it, so that all routers together
 * cannot overspend, whatever messages or routers are lost.
 *
 * Each workspace also has a balance on the router: what was drawn from the
 * slice or borrowed, and is free.  A request reserves its worst case from the
 * balance before it is sent to a target.  If the balance is too low, the rest
 * is drawn from the slice, or borrowed from another router, which draws it
 * from its own slice.  Routers report how much they have drawn from their
 * slices and how much they have spent, so an amount may be spent by another
 * router than the one that drew it.
 *
 * Reports carry sums that only grow within an incarnation of the router: a
 * lost or repeated report changes nothing.
 *
 * All amounts are thousandths of a token (mtok).
 */

/* A slice is sized for the demand of this time, ms: a partition of 9 s, with
 * bursts and with reservations above the actual use. */
#define MP_SLICE_COVER_MS 16000
/* Interval of reports, ms; waiting requests cause one at once. */
#define MP_SLICE_REPORT_MS 1000
/* Interval of reports of a router that holds no slice and only reports what
 * it has spent, ms. */
#define MP_SLICE_REPORT_SLOW_MS 3000
/* Without demand the primary lenders of a workspace together hold
 * 1/MP_SLICE_IDLE_DIVISOR of what is free: a router may be partitioned before
 * it has seen any request of the workspace, and a crash must not cost more
 * than its share. */
#define MP_SLICE_IDLE_DIVISOR 12
/* Time without a reply after which a router counts as partitioned, ms.
 * Reports are due each second, and an election takes less. */
#define MP_SLICE_PARTITION_MS 1800
/* Time constant of the decaying averages of demand, ms. */
#define MP_SLICE_DECAY_MS 4000
/* A balance is sized for the demand of this time, ms: long enough for few loan
 * requests per second, short enough to lose little when the router crashes. */
#define MP_BALANCE_COVER_MS 500
/* A balance is refilled in advance if the workspace had at least this many
 * requests on this router within about MP_SLICE_DECAY_MS. */
#define MP_BALANCE_PREFETCH_REQUESTS 4
/* A router that is not a primary lender gets a slice too if the workspace had
 * at least this many requests on it within about MP_SLICE_DECAY_MS, and loses
 * it below half of this.  All callers of a large workspace may use one router,
 * and a lender's link could not carry the loan requests for them. */
#define MP_SLICE_BUSY_REQUESTS 100
/* Beyond what the borrower needs now, a loan has at most 1/MP_LEND_DIVISOR of
 * what the lender has left: other borrowers will follow. */
#define MP_LEND_DIVISOR 8
/* A loan is refused without a further report if the ledger's last reply is at
 * most this old and leaves too little, ms: loan requests arrive from many
 * routers at once. */
#define MP_SLICE_FRESH_MS 250
/* Time for which a refusal also applies to later requests of the same or a
 * larger amount, ms: a few round trips to the quorum. */
#define MP_SLICE_EXHAUSTED_MS 300

/* Slice and balance of one workspace. */
struct MpSlice {
    char *workspace;
    int64_t held_mtok;     /* in the slice, not drawn yet */
    int64_t balance_mtok;  /* the balance: drawn or borrowed, and free */
    int64_t reserved_mtok; /* worst cases of requests in flight */
    /* sums since the start of this incarnation */
    int64_t drawn_mtok;    /* from the slice into the balance */
    int64_t spent_mtok;    /* by requests */
    int64_t returned_mtok; /* from the balance to the ledger */
    /* the same sums as given in the last report */
    int64_t drawn_reported_mtok;
    int64_t spent_reported_mtok;
    int64_t returned_reported_mtok;
    /* state of the budget and the demand */
    int64_t free_mtok;  /* budget that no router holds, by the last reply */
    int64_t max_mtok;   /* largest slice that leaves enough for others */
    int64_t need_mtok;  /* what waiting requests and borrowers need */
    double demand_mtok; /* reservations and loans, decaying sum */
    double recent_requests; /* requests reserved here, decaying count */
    int64_t decayed_ms;     /* when demand_mtok and recent_requests were last
                             * decayed */
    int64_t exhausted_mtok; /* cached refusal: smallest amount it applies to */
    int64_t exhausted_until_ms; /* cached refusal: end */
    int32_t exhausted_code;     /* cached refusal: error */
    bool has_reply;             /* free_mtok and max_mtok are set by a reply */
    bool is_primary; /* this router is a primary lender of workspace */
    bool is_busy;    /* this router has enough requests for its own slice */
    bool is_direct;  /* until the next reply, need_mtok is requested from the
                      * ledger, as no lender has it */
};

struct MpSlices {
    GHashTable *slices;     /* workspace -> struct MpSlice */
    GPtrArray *reported;    /* of struct MpSlice, as ordered in the report */
    uint64_t boot;          /* incarnation of this router; 0: not registered */
    uint64_t seq;           /* number of the last report */
    bool is_reporting;      /* a report is under way */
    uint32_t primary_count; /* primary lenders per workspace */
    bool is_leaving;        /* the router shuts down and returns everything */
    int64_t reported_ms;    /* time of the last report */
    int64_t answered_ms;    /* time of the last reply to a report */
    int64_t quorum_reply_ms; /* time of the last other reply of the quorum */
};

void MpSlices_Init(struct MpSlices *this);
void MpSlices_Done(struct MpSlices *this);

/* Sets the incarnation under which the router is registered.  After a change
 * the slices of the earlier incarnation are not available any more; what was
 * drawn from them remains in the balances. */
void MpSlices_SetIncarnation(struct MpSlices *this, uint64_t boot);

/* Adds the workspace, if it is new, and sets is_primary: whether this router
 * is a primary lender, which requests a slice in advance for itself and its
 * borrowers. */
void MpSlices_Add(struct MpSlices *this, const char *workspace,
                  bool is_primary);

/*
 * Reserves amount_mtok from the balance, which draws on the slice.
 * is_answered: a report was answered since the request arrived.
 * Errors: MP_ERROR_RECALLING when more must be requested first,
 * MP_ERROR_BUDGET when the free budget does not cover it, or the error of
 * MpSlices_NoteExhausted while that applies.
 */
int MpSlices_Reserve(struct MpSlices *this, const char *workspace,
                     int64_t amount_mtok, bool is_answered, int64_t now_ms);

/* Ends a request: frees its reservation and counts used_mtok as spent.  The
 * reservation may be of an earlier incarnation, since it was drawn from the
 * slice already. */
void MpSlices_Settle(struct MpSlices *this, const char *workspace,
                     int64_t reserved_mtok, int64_t used_mtok);

/* Makes a router that holds no slice request what its waiting requests need
 * from the ledger, until the next reply. */
void MpSlices_RequestDirectly(struct MpSlices *this, const char *workspace);

/* Returns the amount to borrow when missing_mtok is missing: the larger of it
 * and what all waiting requests need, plus the demand of MP_BALANCE_COVER_MS.
 */
int64_t MpSlices_LoanAmount(struct MpSlices *this, const char *workspace,
                            int64_t missing_mtok, int64_t now_ms);

/* Returns whether the needs of waiting requests are requested from the ledger
 * by the next report, instead of borrowed. */
bool MpSlice_UsesLedger(const struct MpSlice *this);

/* Returns the amount to borrow in advance, 0 for none. */
int64_t MpSlices_PrefetchAmount(const struct MpSlices *this,
                                const char *workspace);

/* Returns how much of amount_mtok the balance and the slice do not cover. */
int64_t MpSlices_Missing(const struct MpSlices *this, const char *workspace,
                         int64_t amount_mtok);

/*
 * Lends out of the balance and the slice: at least lend->need_mtok, at most
 * lend->want_mtok.  Errors: MP_ERROR_RECALLING when more must be requested
 * from the ledger first, MP_ERROR_BUDGET when too little is left there,
 * MP_ERROR_NO_QUORUM when the ledger is unreachable or this router may not
 * lend, MP_ERROR_INVALID for amounts out of range.  With MP_ERROR_BUDGET and
 * MP_ERROR_NO_QUORUM *lent_mtok is the part that was lent all the same.
 */
int MpSlices_Lend(struct MpSlices *this, const struct mp_lend *lend,
                  bool is_answered, int64_t now_ms, int64_t *lent_mtok);

/* Adds a received loan or repayment to the balance. */
void MpSlices_Credit(struct MpSlices *this, const char *workspace,
                     int64_t amount_mtok);

/* Takes the surplus out of the balance, to be repaid to a lender: when the
 * balance is above twice the demand of MP_BALANCE_COVER_MS, all above that
 * demand.  Returns 0 where this router holds a slice itself. */
int64_t MpSlices_TakeSurplus(struct MpSlices *this, const char *workspace,
                             int64_t now_ms);

/* Caches a refusal: reservations of amount_mtok and more fail with code for
 * MP_SLICE_EXHAUSTED_MS, unless the balance and the slice cover them. */
void MpSlices_NoteExhausted(struct MpSlices *this, const char *workspace,
                            int64_t amount_mtok, int32_t code, int64_t now_ms);

/* Returns whether a cached refusal applies to amount_mtok. */
bool MpSlices_IsExhausted(const struct MpSlices *this, const char *workspace,
                          int64_t amount_mtok, int64_t now_ms);

/* Returns whether this router is partitioned from the quorum, so that callers
 * should use another one: it got no reply within MP_SLICE_PARTITION_MS. */
bool MpSlices_IsPartitioned(const struct MpSlices *this, int64_t now_ms);

/* Returns whether a report is due. */
bool MpSlices_IsReportDue(const struct MpSlices *this, int64_t now_ms);

/* Fills a report.  Its list is to be freed with g_free, its strings belong to
 * the slices.  What the report returns is taken out of slices and balances at
 * once, so that it cannot be spent any more. */
void MpSlices_FillReport(struct MpSlices *this, struct mp_slices *report,
                         int64_t now_ms);

/* Handles the reply to the report; result is NULL when there was none. */
void MpSlices_HandleReply(struct MpSlices *this,
                          const struct mp_result *result, int64_t now_ms);

/* Returns the sum of all slices, without what was drawn from them. */
int64_t MpSlices_Held(const struct MpSlices *this);

/* Returns the sum of all balances. */
int64_t MpSlices_Balances(const struct MpSlices *this);

#endif
