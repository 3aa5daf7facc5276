#ifndef MP_COORDINATION_SLICES_H
#define MP_COORDINATION_SLICES_H

#include "gen/wire.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Slices - the parts of budgets that one router holds.
 *
 * The ledger counts a slice as used until the router gives it back, so that
 * all routers together cannot overspend, whatever is lost.  A request takes
 * its worst case from the purse before it is sent.  What the purse lacks is
 * drawn from the slice, or borrowed from a router that draws it from its own:
 * the ledger learns how much was drawn from each slice and how much each
 * router has spent, so that it does not matter who spends what was drawn by
 * whom.  Reports carry sums that only grow: a lost or doubled report changes
 * nothing.
 */

/* A slice covers the demand of this time: a partition of 9 s, with bursts and
 * what requests reserve beyond their use. */
#define MP_SLICE_COVER_MS 16000
/* Pause between reports, ms; a request that waits reports at once. */
#define MP_SLICE_REPORT_MS 1000
/* ... of a router that keeps no slice and only tells what it has spent. */
#define MP_SLICE_REPORT_SLOWLY_MS 3000
/* Without demand all routers that keep a slice hold this part of what is free
 * together: a router may be cut off before it has seen a workspace's traffic,
 * and one that dies takes no more than its share of it. */
#define MP_SLICE_IDLE_DIVISOR 12
/* Without an answer for this long a router counts as cut off, ms: a report
 * is due each second, and an election takes less. */
#define MP_SLICE_PARTITION_MS 1800
/* Time over which demand is averaged, ms. */
#define MP_SLICE_DECAY_MS 4000
/* A purse covers the demand of this time: few round trips a second to a
 * lender, and little that is lost with the router. */
#define MP_PURSE_COVER_MS 500
/* Requests in the fading time from which on a purse is filled up ahead ... */
#define MP_PURSE_AHEAD_REQUESTS 4
/* ... and from which on a router has a slice of its own: all callers of a
 * large workspace may have come to it, and no lender's link bears that.  It
 * loses it below half of that. */
#define MP_SLICE_BUSY_REQUESTS 100
/* One borrower gets at most this part of what a lender has, beside what it
 * needs now: others come too. */
#define MP_LEND_DIVISOR 8
/* A word of the ledger on what is left counts for borrowers for this long,
 * ms: they come from many routers at once. */
#define MP_SLICE_FRESH_MS 250
/* How long a refusal for want of budget stands for requests that are not
 * smaller, ms: a few round trips to the quorum. */
#define MP_SLICE_EXHAUSTED_MS 300

struct MpSlice {
    char *workspace;
    int64_t held_mtok;     /* of the ledger's slice, not drawn yet */
    int64_t balance_mtok;  /* drawn or borrowed, and free */
    int64_t reserved_mtok; /* worst case of what is running */
    /* In this incarnation: */
    int64_t drawn_mtok;
    int64_t spent_mtok;
    int64_t returned_mtok;
    /* ... as in the report under way: */
    int64_t drawn_reported_mtok;
    int64_t spent_reported_mtok;
    int64_t returned_reported_mtok;
    int64_t free_mtok;      /* what nobody holds, by the last answer */
    int64_t max_mtok;       /* to be held for the others' sake */
    int64_t need_mtok;      /* worst cases that wait for a grant */
    double demand_mtok;     /* worst cases and loans, fading */
    double recent_requests; /* reserved here, fading */
    int64_t decayed_ms;     /* when it was last faded */
    int64_t exhausted_mtok; /* amounts from this one on were refused lately */
    int64_t exhausted_until_ms; /* until then they are refused at once */
    int32_t exhausted_code;     /* with this error */
    bool has_reply;             /* an answer has come */
    bool is_primary;            /* this router holds a slice for others too */
    bool is_busy;               /* ... or for its own many requests */
    bool is_direct; /* what waits is asked of the ledger, as no lender
                     * has it */
};

struct MpSlices {
    GHashTable *slices;  /* workspace -> struct MpSlice */
    GPtrArray *reported; /* of struct MpSlice, in the order of the report */
    uint64_t boot;       /* 0 until this incarnation is registered */
    uint64_t seq;
    bool is_reporting;
    uint32_t primary_count; /* that share what is held without demand */
    bool is_leaving;        /* gives all back */
    int64_t reported_ms;
    int64_t answered_ms;     /* when the last answer came */
    int64_t quorum_reply_ms; /* last word of the quorum on anything else */
};

void MpSlices_Init(struct MpSlices *this);
void MpSlices_Done(struct MpSlices *this);

/* Starts anew under another incarnation: what earlier ones held is lost to
 * this router, but for what was drawn of them. */
void MpSlices_SetIncarnation(struct MpSlices *this, uint64_t boot);

/* Makes room for the workspace.  is_primary: a slice is asked for ahead, for
 * this router and those that borrow from it. */
void MpSlices_Add(struct MpSlices *this, const char *workspace, bool is_kept);

/*
 * Takes amount_mtok out of the purse and the slice of workspace.
 * is_answered: a report has been answered since the request came.
 * Errors: MP_ERROR_RECALLING when more has to be asked for first,
 * MP_ERROR_BUDGET when all that is left cannot cover it; the error that was
 * noted for an amount like this a moment ago.
 */
int MpSlices_Reserve(struct MpSlices *this, const char *workspace,
                     int64_t amount_mtok, bool is_answered, int64_t now_ms);

/* Ends a request: gives the reservation back to the purse and counts what it
 * used, whatever the incarnation that reserved it: it was drawn. */
void MpSlices_Settle(struct MpSlices *this, const char *workspace,
                     int64_t reserved_mtok, int64_t used_mtok);

/* Has what waits asked of the ledger, too, by a router that keeps no slice;
 * until the next answer. */
void MpSlices_RequestDirectly(struct MpSlices *this, const char *workspace);

/* Returns what an amount that is missing is best filled up with: what waits
 * and the demand of a moment. */
int64_t MpSlices_LoanAmount(struct MpSlices *this, const char *workspace,
                            int64_t missing_mtok, int64_t now_ms);

/* Returns whether what waits is asked of the ledger by the next report. */
bool MpSlice_UsesLedger(const struct MpSlice *this);

/* Returns how much to borrow before it is needed, 0 for nothing. */
int64_t MpSlices_PrefetchAmount(const struct MpSlices *this,
                                const char *workspace);

/* Returns what the purse and the slice lack to cover amount_mtok. */
int64_t MpSlices_Missing(const struct MpSlices *this, const char *workspace,
                         int64_t amount_mtok);

/*
 * Takes a loan of at least need_mtok, at most want_mtok, out of purse and
 * slice.  *lent_mtok may be set beside an error too: what there is, when no
 * more is to be had here.  Errors: MP_ERROR_RECALLING when the quorum has to
 * be asked first, MP_ERROR_BUDGET when nothing is left in it,
 * MP_ERROR_NO_QUORUM when it cannot be asked, MP_ERROR_INVALID for amounts
 * that are none.
 */
int MpSlices_Lend(struct MpSlices *this, const struct mp_lend *lend,
                  bool is_answered, int64_t now_ms, int64_t *lent_mtok);

/* Puts a loan into the purse. */
void MpSlices_Credit(struct MpSlices *this, const char *workspace,
                     int64_t lent_mtok);

/* Takes out of the purse what it has beyond twice its cover, so that a lender
 * has it for others; 0 where this router lends itself. */
int64_t MpSlices_TakeSurplus(struct MpSlices *this, const char *workspace,
                             int64_t now_ms);

/* Notes that nothing was to be had for amount_mtok: what is not smaller is
 * refused with code for MP_SLICE_EXHAUSTED_MS. */
void MpSlices_NoteExhausted(struct MpSlices *this, const char *workspace,
                            int64_t amount_mtok, int32_t code, int64_t now_ms);

/* Returns whether an amount like this is refused at once. */
bool MpSlices_IsExhausted(const struct MpSlices *this, const char *workspace,
                          int64_t amount_mtok, int64_t now_ms);

/* Returns whether reports have had no answer for so long that a request had
 * better go to another router. */
bool MpSlices_IsPartitioned(const struct MpSlices *this, int64_t now_ms);

/* Returns whether a report is due. */
bool MpSlices_IsReportDue(const struct MpSlices *this, int64_t now_ms);

/* Fills a report; its list is freed by g_free and its strings belong to the
 * slices.  Nothing that it gives back is spent any more. */
void MpSlices_FillReport(struct MpSlices *this, struct mp_slices *report,
                         int64_t now_ms);

/* Takes the answer, NULL when none came. */
void MpSlices_HandleReply(struct MpSlices *this,
                          const struct mp_result *result, int64_t now_ms);

/* Returns what may be spent now, mtok, over all workspaces: drawn or not. */
int64_t MpSlices_Held(const struct MpSlices *this);
int64_t MpSlices_Balances(const struct MpSlices *this);

#endif
