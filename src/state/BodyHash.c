#include "state/BodyHash.h"

#include "gen/wire.h"

#include <string.h>

guint
MpBodyHash_Hash(const void *hash)
{
    guint value;
    memcpy(&value, hash, sizeof(value));
    return value;
}

gboolean
MpBodyHash_Equal(const void *a, const void *b)
{
    return memcmp(a, b, MP_HASH_BYTES) == 0;
}
