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
 * its worst case from the slice before it is sent.  Reports carry all that
 * was spent so far: a lost or doubled report changes nothing.
 */

/* A slice covers the demand of this time: a partition of 7 s, with bursts. */
#define MP_SLICE_COVER_MS 12000
/* Pause between reports, ms; a request that waits reports at once. */
#define MP_SLICE_REPORT_MS 1000
/* Without demand all routers together hold this part of what is free: a
 * router may be cut off before it has seen a workspace's traffic, and one
 * that dies takes no more than its share of it. */
#define MP_SLICE_IDLE_DIVISOR 12
/* Without an answer for this long a router counts as cut off, ms: a report
 * is due each second, and an election takes less. */
#define MP_SLICE_CUT_OFF_MS 1800
/* Time over which demand is averaged, ms. */
#define MP_SLICE_FADE_MS 4000

struct MpSlice {
    char *workspace;
    int64_t held_mtok;     /* may be spent, with what is reserved */
    int64_t reserved_mtok; /* worst case of what is running */
    int64_t spent_mtok;    /* in this incarnation */
    int64_t reported_mtok; /* spent, as in the report under way */
    int64_t free_mtok;     /* what nobody holds, by the last answer */
    int64_t most_mtok;     /* to be held for the others' sake */
    int64_t need_mtok;     /* worst cases that wait for a grant */
    double demand_mtok;    /* worst cases, fading */
    int64_t demand_ms;     /* when it was last faded */
    bool is_known;         /* an answer has come */
};

struct MpSlices {
    GHashTable *slices; /* workspace -> struct MpSlice */
    GPtrArray *asked;   /* of struct MpSlice, in the order of the report */
    uint64_t boot;      /* 0 until this incarnation is registered */
    uint64_t seq;
    bool is_reporting;
    uint32_t instances; /* that share what is held without demand */
    bool is_leaving;    /* gives all back */
    int64_t reported_ms;
    int64_t answered_ms; /* when the last answer came */
};

void MpSlices_Init(struct MpSlices *this);
void MpSlices_Done(struct MpSlices *this);

/* Starts anew under another incarnation: what earlier ones held is lost to
 * this router; what runs now is charged when it ends. */
void MpSlices_Registered(struct MpSlices *this, uint64_t boot);

/* Makes room for the workspace, so that a slice is asked for ahead. */
void MpSlices_Add(struct MpSlices *this, const char *workspace);

/*
 * Takes amount_mtok out of the slice of workspace.  is_answered: a report has
 * been answered since the request came.
 * Errors: MP_ERROR_RECALLING when a report has to ask for more first,
 * MP_ERROR_BUDGET when all that is left cannot cover it.
 */
int MpSlices_Reserve(struct MpSlices *this, const char *workspace,
                     int64_t amount_mtok, bool is_answered, int64_t now_ms);

/* Ends a request: gives the reservation back and counts what it used.  boot
 * is the incarnation that reserved; the slices of earlier ones are gone. */
void MpSlices_Settle(struct MpSlices *this, const char *workspace,
                     uint64_t boot, int64_t reserved_mtok, int64_t used_mtok);

/* Returns whether reports have had no answer for so long that a request had
 * better go to another router. */
bool MpSlices_IsCutOff(const struct MpSlices *this, int64_t now_ms);

/* Returns whether a report is due. */
bool MpSlices_IsDue(const struct MpSlices *this, int64_t now_ms);

/* Fills a report; its list is freed by g_free and its strings belong to the
 * slices.  Nothing that it gives back is spent any more. */
void MpSlices_Report(struct MpSlices *this, struct mp_slices *report,
                     int64_t now_ms);

/* Takes the answer, NULL when none came. */
void MpSlices_Take(struct MpSlices *this, const struct mp_result *result,
                   int64_t now_ms);

/* Returns what may be spent now, mtok, over all workspaces. */
int64_t MpSlices_Held(const struct MpSlices *this);

#endif
