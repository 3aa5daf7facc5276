#ifndef MP_COORDINATION_FORWARD_H
#define MP_COORDINATION_FORWARD_H

#include "state/Document.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * Forward - the life of one request on a path, as decisions alone.
 *
 * The owner reports how each attempt at a target ended and gets the next
 * step.  "Not run" is said only when no target can have begun the request.
 */

/* Attempts that targets turned away before the request is refused. */
#define MP_FORWARD_SENDS_MOST 4
/* Time that a further attempt needs at least: a connection and an answer of
 * a plain service, ms. */
#define MP_FORWARD_LEAST_MS 20

/* An attempt that is silent for this many times the latency target, or the
 * longest good pause between events, in tenths, may be given to another
 * target: callers of streams leave after four and eight times. */
#define MP_FORWARD_FIRST_TENTHS 25
#define MP_FORWARD_PAUSE_TENTHS 25
/* ... but not before this, ms: a pause of a busy engine. */
#define MP_FORWARD_SILENT_LEAST_MS 400

/* How an attempt ended. */
enum MpForwardResult {
    MP_RESULT_NOT_RUN, /* the target said so, or nothing was sent */
    MP_RESULT_UNKNOWN, /* it was sent, and no answer came */
    MP_RESULT_CUT      /* the answer broke off after its head was passed on */
};

enum MpForwardStep {
    MP_STEP_SEND,   /* send it to another target */
    MP_STEP_RESUME, /* let another target go on after last_event */
    MP_STEP_REFUSE, /* tell the caller that it has not run */
    MP_STEP_FAIL,   /* tell the caller that the outcome is not known */
    MP_STEP_CUT     /* end the answer so that it does not look whole */
};

struct MpForward {
    int64_t began_ms;
    int64_t deadline_ms;
    int64_t attempts_max;
    int64_t latency_target_ms; /* 0: none */
    int64_t event_gap_ms;      /* 0: none */
    enum MpRepeatPolicy repeat;
    bool is_stream;
    bool may_have_run;
    bool is_head_sent;  /* the caller has the head of an answer */
    uint32_t runs;      /* attempts that may have run */
    uint32_t sends;     /* all attempts */
    int64_t events;     /* passed on */
    int64_t last_event; /* id of the last one; -1 for none */
};

/* Starts a request that came at now_ms; caller_ms is how long its caller
 * waits, 0 when it did not say. */
void MpForward_Init(struct MpForward *this, const struct MpPathConf *path,
                    int64_t caller_ms, int64_t resume_after, int64_t now_ms);

/* Notes that an attempt begins. */
void MpForward_StartAttempt(struct MpForward *this);

/* Takes the end of an attempt; has_budget tells whether a further attempt is
 * allowed now.  Returns the next step. */
enum MpForwardStep MpForward_EndAttempt(struct MpForward *this,
                                        enum MpForwardResult fate,
                                        bool has_budget, int64_t now_ms);

/* Returns whether a failure that the target answered may be kept from the
 * caller, and the request sent to another one. */
bool MpForward_MayRetryError(const struct MpForward *this, bool has_budget,
                             int64_t now_ms);

/* Returns whether an attempt from which nothing has come for silent_ms should
 * go to another target, because one may go on with it. */
bool MpForward_IsStalled(const struct MpForward *this, int64_t silent_ms,
                         bool has_budget, int64_t now_ms);

/* Returns the step when no target can take the request. */
enum MpForwardStep MpForward_NoTarget(const struct MpForward *this);

/* Returns the step at the deadline. */
enum MpForwardStep MpForward_Expired(const struct MpForward *this);

/* Returns whether the run goes on when the caller has left: what must not
 * run twice is not broken off, unless nobody can see its stream. */
bool MpForward_SurvivesDisconnect(const struct MpForward *this);

/* Returns the time that is left, ms, at least 0. */
int64_t MpForward_TimeLeft(const struct MpForward *this, int64_t now_ms);

#endif
