#ifndef MP_COORDINATION_FORWARD_H
#define MP_COORDINATION_FORWARD_H

#include "state/Document.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * MpForward - retry decisions for one request on a path (an HTTP path that the
 * document, the fleet's configuration, defines).  It does no I/O.
 *
 * The owner reports how each attempt at a target ended and gets the next
 * step.  The caller is told that the request has not run only when no target
 * can have started it.
 */

/* Attempts for one request, including those that targets refused. */
#define MP_FORWARD_SENDS_MAX 4
/* No further attempt is made with less time left, ms: a plain service needs
 * about this long for a connection and an answer. */
#define MP_FORWARD_ATTEMPT_MIN_MS 20

/* An attempt counts as stalled after this multiple, in tenths, of the latency
 * target (before the caller has any of the answer) or of the event gap (then).
 * Callers of streams disconnect at 4 and 8 times these values. */
#define MP_FORWARD_FIRST_STALL_TENTHS 25
#define MP_FORWARD_GAP_STALL_TENTHS 25
/* An attempt is not stalled before this time without data, ms: busy inference
 * engines pause that long. */
#define MP_FORWARD_STALL_MIN_MS 400

/* How an attempt ended, as far as it decides the next step. */
enum MpForwardResult {
    MP_RESULT_NOT_RUN, /* the target said so, or nothing was sent */
    MP_RESULT_UNKNOWN, /* sent, without a usable answer: it may have run */
    MP_RESULT_CUT      /* the answer broke off after its start was forwarded */
};

/* What the owner does next with the request. */
enum MpForwardStep {
    MP_STEP_SEND,   /* send it to another target */
    MP_STEP_RESUME, /* have another target resume after last_event */
    MP_STEP_REFUSE, /* tell the caller that it has not run */
    MP_STEP_FAIL,   /* tell the caller that the outcome is unknown */
    MP_STEP_CUT     /* break the answer off, so that it looks incomplete */
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
    bool is_head_sent;     /* the start of an answer went to the caller */
    bool is_resuming;      /* the attempt is to go on with that answer */
    bool is_positioned;    /* resuming, or the caller takes up a stream */
    bool is_stream_answer; /* the answer is a stream of events */
    bool is_unordered;     /* its ids do not increase */
    bool is_unnumbered;    /* its last event has no id */
    uint32_t runs;    /* attempts that may have run; at most attempts_max */
    uint32_t sends;   /* all attempts; at most MP_FORWARD_SENDS_MAX */
    uint32_t not_run; /* attempts that have ended and have not run */
    int64_t events;   /* stream events forwarded to the caller */
    int64_t attempt_events; /* by the current attempt */
    int64_t last_event;     /* id of the last event forwarded; -1: none */
};

/* Starts a request that arrived at now_ms.  caller_ms: how long the caller
 * waits, 0 when not stated.  resume_after: last event that the caller has,
 * -1 for none. */
void MpForward_Init(struct MpForward *this, const struct MpPathConf *path,
                    int64_t caller_ms, int64_t resume_after, int64_t now_ms);

/* Counts the start of an attempt. */
void MpForward_StartAttempt(struct MpForward *this);

/* Notes that an answer goes to the caller: its head and, if a body is due, the
 * first bytes of that. */
void MpForward_StartAnswer(struct MpForward *this, bool is_stream_answer);

/* Takes the next event of the current attempt, or a block without data; id is
 * -1 without a numeric id.  Returns false if it does not go on with the stream
 * that the caller has: its id is not above the last one, or the attempt's
 * first event has none.  Then nothing more of the attempt is forwarded.  A
 * step of more than one is no gap, as ids are only promised to increase. */
bool MpForward_TakeEvent(struct MpForward *this, bool has_data, int64_t id);

/* Returns whether a started answer can go on at another target: it is a stream
 * whose last event has an id that tells where it is. */
bool MpForward_CanResume(const struct MpForward *this);

/* Handles the end of an attempt and returns the next step.  has_budget:
 * whether the retry budget allows a further attempt now. */
enum MpForwardStep MpForward_EndAttempt(struct MpForward *this,
                                        enum MpForwardResult result,
                                        bool has_budget, int64_t now_ms);

/* Returns whether an error answer of a target (status 500 and above) may be
 * withheld from the caller and the request sent to another target. */
bool MpForward_MayRetryError(const struct MpForward *this, bool has_budget,
                             int64_t now_ms);

/* Returns whether an attempt without data for idle_ms is stalled, and the
 * request may be sent to or resumed on another target instead.  is_path_lost:
 * nothing can arrive, whatever the target does. */
bool MpForward_IsStalled(const struct MpForward *this, int64_t idle_ms,
                         bool is_path_lost, bool has_budget, int64_t now_ms);

/* Returns whether a further attempt can be of use to the caller: an event, or
 * the answer of a plain service, can still reach it.  wait_ms: expected time
 * to the first answer. */
bool MpForward_IsOfUse(const struct MpForward *this, int64_t wait_ms,
                       int64_t now_ms);

/* Returns the step when no target is available. */
enum MpForwardStep MpForward_NoTarget(const struct MpForward *this);

/* Returns the step when the deadline has passed. */
enum MpForwardStep MpForward_Expired(const struct MpForward *this);

/* Returns whether the attempt continues after the caller has disconnected:
 * at-most-once requests do, except streams, which nobody would read. */
bool MpForward_SurvivesDisconnect(const struct MpForward *this);

/* Returns the time until the deadline, ms, at least 0. */
int64_t MpForward_TimeLeft(const struct MpForward *this, int64_t now_ms);

#endif
