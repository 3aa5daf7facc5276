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

unsigned
MpCallFingerprint_CountSuspects(const struct MpGatewayCall *call)
{
    const struct MpSuspects *suspects = &call->gateway->control->suspects;
    uint8_t fingerprint[MP_HASH_BYTES];
    unsigned count = 0;
    for (unsigned key = 1; key < MpCallFingerprint_Count(call); key++) {
        MpCallFingerprint_Copy(call, key, fingerprint);
        count += MpSuspects_Lookup(suspects, fingerprint) != MP_SUSPICION_NONE;
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
