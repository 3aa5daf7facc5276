#ifndef MP_COORDINATION_TARGET_ROOM_H
#define MP_COORDINATION_TARGET_ROOM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * MpTargetRoom - how many requests an instance may have at a target that falls
 * over when it turns too many away in a second, and lets few or none wait.  It
 * names the number that it bears in its answers, for as long as it holds.
 *
 * Each instance keeps to its share of the target's slots, which add up to all
 * of them.  One slot beyond it may be taken by turns, by half as many
 * instances as the target bears refusals, if its load report shows a free slot
 * for each instance.  When all come back for their shares, each slot taken so
 * costs a refusal, and the instance that was refused sends nothing for a
 * second. Between two turns nobody goes beyond the share for a second, so that
 * no second has the refusals of both.
 *
 * The targets of a pool are brittle at the same times.  One that has said
 * nothing of its own yet, as it has just started, or not for a while, is
 * treated as the last one of its pool that did.
 */

/* Largest number that a target may name. */
#define MP_ROOM_REFUSALS_MAX 1000000
/* Length of a turn, and the first part of it that is used, ms. */
#define MP_ROOM_TURN_MS 2000
#define MP_ROOM_TURN_USED_MS 900
/* Time for which nothing is sent after a refusal, ms. */
#define MP_ROOM_HOLD_MS 1000
/* A word of the target's pool goes before its own if it is newer by more than
 * this, ms. */
#define MP_ROOM_OWN_MS 1000
/* A load report is not used to go beyond the share after this time, ms. */
#define MP_ROOM_REPORT_MAX_MS 300

/* What a target said of itself. */
struct MpRoomWord {
    int64_t refusals_max; /* in a second; 0: as many as there are */
    int64_t sent_ms;      /* of the request whose answer said so; 0: none */
};

struct MpTargetRoom {
    struct MpRoomWord word;
    int64_t held_until_ms; /* after a refusal; on the clock of the query */
    bool is_invalid;       /* the last value that it named is no number */
};

/* What the choice of a target rests on. */
struct MpRoomQuery {
    int64_t slots;    /* of the target; 0: not known */
    int64_t running;  /* requests of this instance there */
    int64_t reported; /* all requests there by its last report, with those sent
                       * since; -1: no report, or an old one */
    uint32_t rank;    /* of this instance at this target, below instances */
    uint32_t instances;     /* that share the target, at least 1 */
    int64_t wall_ms;        /* clock that all instances have in common */
    struct MpRoomWord pool; /* the last word of a target of its pool */
};

/* Applies what an answer said, 0 if it named no number.  One to a request that
 * was sent before the one behind the present state is ignored.  Returns
 * whether the number changed. */
bool MpTargetRoom_Note(struct MpTargetRoom *this, int64_t refusals_max,
                       int64_t sent_ms);

/* Notes that the target refused a request for want of room. */
void MpTargetRoom_NoteRefusal(struct MpTargetRoom *this, int64_t wall_ms);

/* Returns whether this instance may send the target another request. */
bool MpTargetRoom_MaySend(const struct MpTargetRoom *this,
                          const struct MpRoomQuery *query);

/* Parses a whole number from 1 to MP_ROOM_REFUSALS_MAX; returns false for
 * anything else. */
bool MpTargetRoom_Parse(const char *text, size_t size, int64_t *refusals_max);

#endif
