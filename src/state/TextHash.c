#include "state/TextHash.h"

#include <string.h>
#include <xxhash.h>

guint
MpTextHash_Of(const char *text, size_t size)
{
    static gsize seed;
    if (g_once_init_enter(&seed)) {
        g_once_init_leave(&seed, (gsize)g_random_int() + 1);
    }
    return (guint)XXH3_64bits_withSeed(text, size, seed);
}

guint
MpTextHash_OfString(gconstpointer text)
{
    return MpTextHash_Of(text, strlen(text));
}
