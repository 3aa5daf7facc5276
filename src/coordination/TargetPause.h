#ifndef MP_COORDINATION_TARGET_PAUSE_H
#define MP_COORDINATION_TARGET_PAUSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * MpTargetPause - the time for which a target wants no requests from this
 * instance, as it said when it refused one, and how it is used again
 * afterwards.
 *
 * Refusals overtake each other: of two whose requests were under way at the
 * same time the later end counts.  A refusal of a request that was sent after
 * the last one was read replaces it.
 *
 * All instances may hear of the same end.  Each adds a random part of
 * MP_PAUSE_SPREAD_MAX_MS, and then sends one request; each answer lets two
 * more go, until MP_PAUSE_RAMP_MS after the end.
 */

/* Longest pause, ms; a longer one counts as this. */
#define MP_PAUSE_MAX_MS 3600000
/* The most that an instance adds to a pause: this part of it, at most
 * MP_PAUSE_SPREAD_MAX_MS. */
#define MP_PAUSE_SPREAD_PERMILLE 125
#define MP_PAUSE_SPREAD_MAX_MS 500
/* Time after the end in which answers bound how much is sent, ms. */
#define MP_PAUSE_RAMP_MS 2000

/* All zero: no pause is known. */
struct MpTargetPause {
    int64_t until_ms;    /* its end; 0: none is known */
    int64_t received_ms; /* last refusal that counted */
    double spread;       /* random, 0 to 1 */
    uint64_t sent;       /* since the end */
    uint64_t answers;    /* to requests sent since the end */
    bool is_end_taken;
    bool is_invalid; /* it has named a pause that is no number */
};

/* Applies a refusal that asked for a pause of pause_ms; 0 starts none, and
 * ends one.  spread: a random number from 0 to 1.  Returns whether the end
 * changed. */
bool MpTargetPause_Note(struct MpTargetPause *this, int64_t pause_ms,
                        int64_t sent_ms, int64_t received_ms, double spread);

/* Returns whether the target wants nothing now. */
bool MpTargetPause_IsActive(const struct MpTargetPause *this, int64_t now_ms);

/* Returns whether a request may be sent now. */
bool MpTargetPause_MaySend(const struct MpTargetPause *this, int64_t now_ms);

/* Counts a request sent. */
void MpTargetPause_NoteSent(struct MpTargetPause *this);

/* Returns true once after the end of each pause. */
bool MpTargetPause_TakeEnd(struct MpTargetPause *this, int64_t now_ms);

/* Counts an answer that asked for no pause. */
void MpTargetPause_NoteAnswer(struct MpTargetPause *this, int64_t sent_ms);

/* Returns when callers that find all targets of a pool paused may come back,
 * if the first pause ends in left_ms: later by a part that random, from 0 to
 * 1, makes differ, so that they do not come all at once. */
int64_t MpTargetPause_CallerWait(int64_t left_ms, double random);

/* Parses a number of seconds, such as "1.5", with spaces around it or without;
 * one above MP_PAUSE_MAX_MS counts as that.  Returns false for anything else.
 */
bool MpTargetPause_Parse(const char *text, size_t size, int64_t *pause_ms);

#endif
