#include "PlatformDialect.h"

#include <string.h>

/* The dialects that this program speaks. */
static const struct MpDialect *const dialects[] = {&MpDialect_Native,
                                                   &MpDialect_Platform, NULL};

const struct MpDialect *
MpDialect_Find(const char *name)
{
    for (size_t i = 0; dialects[i]; i++) {
        if (strcmp(name ? name : MpDialect_Native.name, dialects[i]->name) ==
            0) {
            return dialects[i];
        }
    }
    return NULL;
}

void
MpDialect_Check(const char *name, GPtrArray *findings)
{
    if (!MpDialect_Find(name)) {
        MpFindings_Add(findings, MP_FINDING_REFERENCE, 0, "dialect",
                       "there is no dialect \"%s\"", name);
    }
}
