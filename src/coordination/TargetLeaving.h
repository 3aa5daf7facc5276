#ifndef MP_COORDINATION_TARGET_LEAVING_H
#define MP_COORDINATION_TARGET_LEAVING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * MpTargetLeaving - whether an incarnation of a target leaves: by the target
 * list, and by its own answers, which the list cannot take back.
 *
 * What its answers said ends with the incarnation.  A list shows that the same
 * name is another one by a later start, or by naming it as not leaving after
 * it named it as leaving.
 */

/* All zero: not leaving. */
struct MpTargetLeaving {
    bool by_list;
    bool by_answer;
    bool is_invalid;    /* an answer has said something else of it */
    int64_t started_ms; /* by the list; 0: not reported */
};

/* Applies an entry of a list.  Returns whether it shows another incarnation
 * under the same name. */
bool MpTargetLeaving_NoteEntry(struct MpTargetLeaving *this, bool is_leaving,
                               int64_t started_ms);

/* Applies an answer of this incarnation that says so.  Returns whether it is
 * the first. */
bool MpTargetLeaving_NoteAnswer(struct MpTargetLeaving *this);

bool MpTargetLeaving_IsLeaving(const struct MpTargetLeaving *this);

/* Returns whether a header says that the target leaves: "1", or a list of
 * nothing else. */
bool MpTargetLeaving_Parse(const char *text, size_t size);

#endif
