#ifndef MP_COORDINATION_SUSPECTS_H
#define MP_COORDINATION_SUSPECTS_H

#include "state/Quarantine.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * MpSuspects - one instance's view of suspect requests, under which targets
 * have crashed: the lists of the quorum, and crashes that it has seen itself.
 *
 * While the quorum is reachable, it decides whether a suspect may run (see
 * MpQuarantine).  Otherwise the instance decides by its own view.
 *
 * A run is one arrival of a request at an instance; its id is unique among all
 * instances.
 *
 * Parts of prompts are suspects too (see MpQuarantine).  An instance remembers
 * which parts it has seen answered, and vouches for them when the quorum lists
 * them.
 */

/* Size of the table of answered requests, in which a request replaces another
 * one with the same slot. */
#define MP_ANSWERED_MAX 4096
/* Suspects in the table of this instance. */
#define MP_LOCAL_SUSPECTS_MAX 1024
/* Size of the table of answered parts, in which a part replaces another one
 * with the same slot. */
#define MP_ANSWERED_PARTS_MAX 4096
/* Time for which an answer vouches for a part, ms. */
#define MP_ANSWERED_PART_MS 300000
/* Interval at which an instance asks the quorum for a trial of a part that is
 * listed as stopped, ms. */
#define MP_STOPPED_PART_ASK_MS MP_PART_PAUSE_MS

enum MpSuspicion {
    MP_SUSPICION_NONE,   /* the request may run */
    MP_SUSPICION_TRIAL,  /* one trial at a time in the whole fleet */
    MP_SUSPICION_STOPPED /* quarantined: the request may not run */
};

struct MpAnsweredPart {
    uint64_t prefix;    /* of the part's fingerprint */
    int64_t at_ms;      /* 0: the slot is empty */
    int64_t crashed_ms; /* last crash that the answer has outweighed here */
};

/* A part that the quorum has stopped, by its lists or by refusing a trial. */
struct MpRefusedPart {
    int64_t at_ms; /* of the last request for a trial, or of its first use */
    uint64_t version; /* of the lists at that time */
    uint32_t count;   /* suspect parts of the refused request; 0: listed */
};

struct MpSuspects {
    GHashTable *listed;  /* lists of the quorum: fingerprint -> is_stopped */
    GHashTable *local;   /* fingerprint -> struct MpLocalSuspect */
    GHashTable *groups;  /* listed part -> group, as a number */
    GHashTable *refused; /* fingerprint of a part -> struct MpRefusedPart */
    uint64_t version;    /* of the lists of the quorum */
    uint64_t answered[MP_ANSWERED_MAX]; /* prefix of a fingerprint; 0: none */
    struct MpAnsweredPart answered_parts[MP_ANSWERED_PARTS_MAX];
};

/* A suspect in the table of this instance. */
struct MpLocalSuspect {
    uint8_t fingerprint[MP_HASH_BYTES];
    uint32_t crashes;      /* crashes seen by this or other instances */
    uint32_t seen_crashes; /* crashes that this instance has seen itself */
    bool is_acknowledged;  /* the quorum has counted it; it is removed when
                            * it is no longer in the quorum's lists */
    int64_t last_crash_ms;
    uint64_t run; /* run that has this instance's trial, or crashed last */
    int64_t trial_until_ms;
};

void MpSuspects_Init(struct MpSuspects *this);
void MpSuspects_Done(struct MpSuspects *this);

/* Replaces the lists of the quorum by those of the given version, each of
 * them concatenated fingerprints. */
void MpSuspects_SetLists(struct MpSuspects *this, uint64_t version,
                         const char *stopped, size_t stopped_bytes,
                         const char *suspected, size_t suspected_bytes);

/* Sets the groups of the parts in the list of suspected fingerprints, as in
 * mp_sync_reply. */
void MpSuspects_SetGroups(struct MpSuspects *this, const char *suspected,
                          const char *groups, size_t groups_bytes);

/* Returns whether two suspect parts may have the last crash in common; it is
 * not known of those that the quorum has not listed. */
bool MpSuspects_IsSameGroup(const struct MpSuspects *this,
                            const uint8_t *fingerprint, const uint8_t *other);

/* Returns whether the request is a suspect, by the lists of the quorum and the
 * table of this instance. */
enum MpSuspicion MpSuspects_Lookup(const struct MpSuspects *this,
                                   const uint8_t *fingerprint);

/* Returns whether a part of a request with this number of suspect parts is a
 * suspect.  Of a stopped one, it returns MP_SUSPICION_TRIAL once in
 * MP_STOPPED_PART_ASK_MS.  A part whose trial the quorum refused counts as
 * stopped until the lists change, for requests with as many suspect parts. */
enum MpSuspicion MpSuspects_LookupPart(struct MpSuspects *this,
                                       const uint8_t *fingerprint,
                                       uint32_t count, int64_t now_ms);

/* Records that the quorum refused a trial of a part, for a request with this
 * number of suspect parts. */
void MpSuspects_NotePartRefused(struct MpSuspects *this,
                                const uint8_t *fingerprint, uint32_t count,
                                int64_t now_ms);

/* Records the start of an answer to a request with this part, and clears the
 * part.  Returns whether it was a suspect, so that the answer must be reported
 * to the quorum. */
bool MpSuspects_NotePartAnswer(struct MpSuspects *this,
                               const uint8_t *fingerprint, int64_t now_ms);

/* Returns whether a request with this part was answered within
 * MP_ANSWERED_PART_MS. */
bool MpSuspects_IsPartAnswered(const struct MpSuspects *this,
                               const uint8_t *fingerprint, int64_t now_ms);

/* Returns whether a request with this part was answered since the last crash
 * for which this was asked.  Such an answer outweighs one crash. */
bool MpSuspects_TakePartAnswer(struct MpSuspects *this,
                               const uint8_t *fingerprint, int64_t now_ms);

/* Returns when the last answer to a request with this part began; 0 if it is
 * not known. */
int64_t MpSuspects_PartAnsweredAt(const struct MpSuspects *this,
                                  const uint8_t *fingerprint);

/* Returns the concatenated fingerprints of the listed parts for which this
 * instance can vouch. */
GByteArray *MpSuspects_ListVouchedParts(const struct MpSuspects *this,
                                        int64_t now_ms);

/* Records that a target crashed during a run.  Crashes of other runs within
 * MP_SAME_CRASH_MS of the last one are not counted.  Returns false, and
 * records nothing, when the request has been answered before: then one crash
 * is attributed to the target. */
bool MpSuspects_NoteCrash(struct MpSuspects *this, const uint8_t *fingerprint,
                          uint64_t run, int64_t now_ms);

/* Returns how many crashes this instance has seen itself. */
uint32_t MpSuspects_SeenCrashes(const struct MpSuspects *this,
                                const uint8_t *fingerprint);

/* Records a complete answer and clears the request.  Returns whether it was a
 * suspect, so that the answer must be reported to the quorum. */
bool MpSuspects_NoteAnswer(struct MpSuspects *this,
                           const uint8_t *fingerprint);

/* Sets the number of crashes that the quorum has counted; 0 clears the
 * request. */
void MpSuspects_SetCrashes(struct MpSuspects *this, const uint8_t *fingerprint,
                           uint64_t crashes);

/* Decides without the quorum whether a run may be sent to a target.  Returns
 * MP_OK, for a trial of at most trial_ms if the request is a suspect,
 * MP_ERROR_HELD_BACK while another run has the trial, or MP_ERROR_POISON when
 * the request is quarantined. */
int MpSuspects_DecideLocally(struct MpSuspects *this,
                             const uint8_t *fingerprint, uint64_t run,
                             int64_t trial_ms, int64_t now_ms);

/* Ends the trial of a run, if it has one. */
void MpSuspects_EndTrial(struct MpSuspects *this, const uint8_t *fingerprint,
                         uint64_t run);

#endif
