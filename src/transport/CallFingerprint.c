#include "transport/CallFingerprint.h"

#include <string.h>

unsigned
MpCallFingerprint_Count(const struct MpGatewayCall *call)
{
    return MAX(call->meta.part_count, 1);
}

void
MpCallFingerprint_Copy(const struct MpGatewayCall *call, unsigned key,
                       void *out)
{
    if (key == 0) {
        memcpy(out, call->fingerprint, MP_HASH_BYTES);
        return;
    }
    MpQuarantine_SetPartFingerprint(call->meta.parts[key - 1].own_id, out);
}

GByteArray *
MpCallFingerprint_CopyParts(const struct MpGatewayCall *call)
{
    unsigned count = MpCallFingerprint_Count(call) - 1;
    if (count == 0) {
        return NULL;
    }
    GByteArray *parts = g_byte_array_new();
    g_byte_array_set_size(parts, count * MP_HASH_BYTES);
    for (unsigned key = 1; key <= count; key++) {
        MpCallFingerprint_Copy(call, key,
                               parts->data + (key - 1) * MP_HASH_BYTES);
    }
    return parts;
}

unsigned
MpCallFingerprint_CountGroup(const struct MpGatewayCall *call, unsigned key)
{
    const struct MpSuspects *suspects = &call->gateway->control->suspects;
    uint8_t fingerprint[MP_HASH_BYTES];
    uint8_t other[MP_HASH_BYTES];
    unsigned count = 0;
    MpCallFingerprint_Copy(call, key, fingerprint);
    for (unsigned i = 1; i < MpCallFingerprint_Count(call); i++) {
        MpCallFingerprint_Copy(call, i, other);
        count += MpSuspects_Lookup(suspects, other) != MP_SUSPICION_NONE &&
                 MpSuspects_IsSameGroup(suspects, fingerprint, other);
    }
    return count;
}

const char *
MpCallFingerprint_PartName(const void *fingerprint, char *name)
{
    uint64_t part_id;
    g_strlcpy(name, "-", MP_PART_NAME_BYTES);
    if (MpQuarantine_IsPart(fingerprint)) {
        memcpy(&part_id, fingerprint, sizeof(part_id));
        g_snprintf(name, MP_PART_NAME_BYTES, "%08x", (unsigned)part_id);
    }
    return name;
}
