#ifndef MP_COORDINATION_SUSPECTS_H
#define MP_COORDINATION_SUSPECTS_H

#include "state/Quarantine.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Suspects - what one instance knows of requests under which targets have
 * ended: the lists of the quorum, and what it has seen itself.
 *
 * While the quorum answers, its word decides (Quarantine).  Without it an
 * instance decides by what it knows.
 */

/* Fingerprints of answered requests that are remembered, in a table in which
 * later ones replace earlier ones. */
#define MP_ANSWERED_MAX 4096
/* Suspects that one instance has seen itself. */
#define MP_OWN_SUSPECTS_MAX 1024

enum MpSuspicion {
    MP_SUSPICION_NONE,
    MP_SUSPICION_TRIAL,  /* one run at a time, in the whole fleet */
    MP_SUSPICION_STOPPED /* none */
};

struct MpSuspects {
    GHashTable *listed; /* fingerprint -> whether it is stopped */
    GHashTable *local;  /* fingerprint -> struct MpOwnSuspect */
    uint64_t version;   /* of the lists that were told */
    uint64_t answered[MP_ANSWERED_MAX];
};

struct MpOwnSuspect {
    uint8_t fingerprint[MP_HASH_BYTES];
    uint32_t deaths; /* that it knows of */
    uint32_t seen;   /* ... and has seen itself, one after the other */
    bool is_told;    /* the quorum has it, and its lists tell of its end */
    int64_t last_ms;
    uint64_t run; /* that has the trial of this instance, or died last */
    int64_t until_ms;
};

void MpSuspects_Init(struct MpSuspects *this);
void MpSuspects_Done(struct MpSuspects *this);

/* Takes the lists of a version, fingerprints one after the other. */
void MpSuspects_SetLists(struct MpSuspects *this, uint64_t version,
                         const char *stopped, size_t stopped_bytes,
                         const char *suspected, size_t suspected_bytes);

enum MpSuspicion MpSuspects_Lookup(const struct MpSuspects *this,
                                   const uint8_t *fingerprint);

/* Notes that a target ended under a run.  Returns false when the request was
 * answered whole before: then one death is put down to the target alone. */
bool MpSuspects_NoteCrash(struct MpSuspects *this, const uint8_t *fingerprint,
                          uint64_t run, int64_t now_ms);

/* Returns how many deaths this instance has seen itself. */
uint32_t MpSuspects_SeenCrashes(const struct MpSuspects *this,
                                const uint8_t *fingerprint);

/* Notes a whole answer.  Returns whether the request was a suspect, and the
 * quorum has to be told. */
bool MpSuspects_NoteAnswer(struct MpSuspects *this,
                           const uint8_t *fingerprint);

/* Takes the number of deaths that the quorum has counted. */
void MpSuspects_SetCrashes(struct MpSuspects *this, const uint8_t *fingerprint,
                           uint64_t deaths);

/* Decides without the quorum whether a run may go to a target, for lasts_ms
 * at most: MP_OK, MP_ERROR_HELD_BACK or MP_ERROR_POISON. */
int MpSuspects_DecideLocally(struct MpSuspects *this,
                             const uint8_t *fingerprint, uint64_t run,
                             int64_t lasts_ms, int64_t now_ms);

/* Ends the trial of a run. */
void MpSuspects_EndTrial(struct MpSuspects *this, const uint8_t *fingerprint,
                         uint64_t run);

#endif
