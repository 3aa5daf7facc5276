#include "state/TextPatch.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

uint64_t
MpTextPatch_Checksum(const char *text)
{
    return XXH64(text, strlen(text), 0);
}

void
MpTextPatch_Make(struct MpTextPatch *this, const char *old_text,
                 const char *new_text)
{
    size_t old_size = strlen(old_text);
    size_t new_size = strlen(new_text);
    size_t common_max = MIN(old_size, new_size);
    size_t prefix = 0;
    size_t suffix = 0;
    while (prefix < common_max && old_text[prefix] == new_text[prefix]) {
        prefix++;
    }
    while (suffix < common_max - prefix &&
           old_text[old_size - suffix - 1] ==
               new_text[new_size - suffix - 1]) {
        suffix++;
    }
    *this = (struct MpTextPatch){.prefix = (uint32_t)prefix,
                                 .suffix = (uint32_t)suffix,
                                 .checksum = MpTextPatch_Checksum(new_text)};
}

char *
MpTextPatch_Apply(const struct MpTextPatch *this, const char *old_text,
                  const char *middle)
{
    size_t old_size = strlen(old_text);
    if ((size_t)this->prefix + this->suffix > old_size) {
        return NULL;
    }
    GString *text = g_string_sized_new(old_size + strlen(middle) + 1);
    g_string_append_len(text, old_text, this->prefix);
    g_string_append(text, middle);
    g_string_append(text, old_text + old_size - this->suffix);
    if (MpTextPatch_Checksum(text->str) != this->checksum) {
        g_string_free(text, TRUE);
        return NULL;
    }
    return g_string_free(text, FALSE);
}
