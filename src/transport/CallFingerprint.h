#ifndef MP_TRANSPORT_CALL_FINGERPRINT_H
#define MP_TRANSPORT_CALL_FINGERPRINT_H

#include "transport/GatewayCall.h"

/*
 * CallFingerprint - the fingerprints of a call by which the quarantine knows
 * it (see state/Quarantine.h): number 0 is that of the request, number n that
 * of part n - 1 of its prompt.  The last part is left out, as no other request
 * has it.
 */

/* Bytes of the name of a part in the log, with the final zero. */
#define MP_PART_NAME_BYTES 9

/* Returns the number of fingerprints, at least 1. */
unsigned MpCallFingerprint_Count(const struct MpGatewayCall *call);

/* Copies a fingerprint of MP_HASH_BYTES to out. */
void MpCallFingerprint_Copy(const struct MpGatewayCall *call, unsigned key,
                            void *out);

/* Returns the concatenated fingerprints of the parts; NULL: there are none. */
GByteArray *MpCallFingerprint_CopyParts(const struct MpGatewayCall *call);

/* Returns how many parts of the call's prompt are suspects of the same crash
 * as part key. */
unsigned MpCallFingerprint_CountGroup(const struct MpGatewayCall *call,
                                      unsigned key);

/* Writes the name of a part as in the list of parts of a request, "-" for a
 * fingerprint of a request, and returns name. */
const char *MpCallFingerprint_PartName(const void *fingerprint, char *name);

#endif
