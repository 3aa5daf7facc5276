#ifndef MP_STATE_TEXT_PATCH_H
#define MP_STATE_TEXT_PATCH_H

#include <stddef.h>
#include <stdint.h>

/*
 * TextPatch - a text as its difference from another one: how much of the
 * start and of the end is the same, and what stands between.
 */

struct MpTextPatch {
    uint32_t prefix;   /* bytes of the start that stay */
    uint32_t suffix;   /* bytes of the end that stay */
    uint64_t checksum; /* of the whole new text */
};

/* Compares two texts; the middle of new_text follows from prefix and
 * suffix. */
void MpTextPatch_Make(struct MpTextPatch *this, const char *old_text,
                      const char *new_text);

/* Returns the new text, to be freed by g_free, or NULL when the patch does
 * not belong to old_text. */
char *MpTextPatch_Apply(const struct MpTextPatch *this, const char *old_text,
                        const char *middle);

/* Returns the checksum of a text. */
uint64_t MpTextPatch_Checksum(const char *text);

#endif
