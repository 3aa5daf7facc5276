#ifndef MP_STATE_TEXT_PATCH_H
#define MP_STATE_TEXT_PATCH_H

#include <stddef.h>
#include <stdint.h>

/*
 * TextPatch - encodes a text relative to an older one: the lengths of their
 * common prefix and suffix, and a checksum.  The bytes between prefix and
 * suffix of the new text are stored separately.
 */

struct MpTextPatch {
    uint32_t prefix;   /* length of the common prefix, bytes */
    uint32_t suffix;   /* length of the common suffix, bytes */
    uint64_t checksum; /* of the whole new text */
};

/* Sets the patch from old_text to new_text.  The middle is the part of
 * new_text between prefix and suffix. */
void MpTextPatch_Make(struct MpTextPatch *this, const char *old_text,
                      const char *new_text);

/* Returns the new text, to be freed by g_free, or NULL when the patch does not
 * fit old_text: it is too short, or the checksum of the result differs. */
char *MpTextPatch_Apply(const struct MpTextPatch *this, const char *old_text,
                        const char *middle);

/* Returns the XXH64 of a text. */
uint64_t MpTextPatch_Checksum(const char *text);

#endif
