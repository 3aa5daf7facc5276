#ifndef MP_STATE_TEXT_DIFF_H
#define MP_STATE_TEXT_DIFF_H

#include <glib.h>

/*
 * TextDiff - the lines that differ between two texts.
 */

enum MpDiffKind { MP_DIFF_SAME, MP_DIFF_REMOVED, MP_DIFF_ADDED };

struct MpDiffLine {
    enum MpDiffKind kind;
    guint number; /* of the line in its text, from 1 */
    char *text;
};

/* Returns the lines of both texts in order (struct MpDiffLine, freed with
 * the array); of equal lines only those next to a difference are there.
 * Large differences are told as one block removed and one added. */
GPtrArray *MpTextDiff_Lines(const char *old_text, const char *new_text);

#endif
