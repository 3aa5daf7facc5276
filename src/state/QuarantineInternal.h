#ifndef MP_STATE_QUARANTINE_INTERNAL_H
#define MP_STATE_QUARANTINE_INTERNAL_H

#include "state/Quarantine.h"

/*
 * QuarantineInternal - functions shared by Quarantine.c and QuarantineParts.c
 * only.
 */

struct MpSuspect *MpQuarantine_Find(const struct MpQuarantine *this,
                                    const char *fingerprint);
struct MpSuspect *MpQuarantine_Add(struct MpQuarantine *this,
                                   const char *fingerprint);
void MpQuarantine_Remove(struct MpQuarantine *this, struct MpSuspect *suspect);

/* Sets the time of the last crash, by which suspects are forgotten. */
void MpQuarantine_SetLastCrash(struct MpQuarantine *this,
                               struct MpSuspect *suspect, int64_t now_ms);
void MpQuarantine_CountCrash(struct MpQuarantine *this,
                             struct MpSuspect *suspect, int64_t now_ms);

/* Applies a report of a crash, or of an earlier answer, about a part. */
void MpQuarantine_ReportPart(struct MpQuarantine *this,
                             const struct mp_trial *trial, int64_t now_ms);

/* Returns the time until a stopped part may have another trial, ms. */
int64_t MpQuarantine_PartPause(const struct MpSuspect *suspect);

/* Returns whether a part may have a trial: MP_OK, MP_ERROR_HELD_BACK or
 * MP_ERROR_POISON. */
int MpQuarantine_CheckPartTrial(const struct MpSuspect *suspect,
                                const struct mp_trial *trial, int64_t now_ms);

/* Returns whether other parts may be the cause of a part's last crash. */
bool MpQuarantine_IsPartAmbiguous(const struct MpSuspect *suspect);

#endif
