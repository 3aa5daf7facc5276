#ifndef MP_STATE_TEXT_DIFF_H
#define MP_STATE_TEXT_DIFF_H

#include <glib.h>

/*
 * TextDiff - line-by-line diff of two texts.
 */

enum MpDiffKind { MP_DIFF_SAME, MP_DIFF_REMOVED, MP_DIFF_ADDED };

struct MpDiffLine {
    enum MpDiffKind kind;
    guint number; /* from 1; in the old text if removed, else in the new */
    char *text;
};

/* Returns the diff as an array of struct MpDiffLine that owns its elements.
 * It spans the first to the last difference and two lines of context on both
 * sides, and is empty for equal texts.  If the differing part is too large to
 * compare, it is one block of removed lines and one of added lines. */
GPtrArray *MpTextDiff_Lines(const char *old_text, const char *new_text);

#endif
