#ifndef MP_STATE_QUARANTINE_H
#define MP_STATE_QUARANTINE_H

#include "gen/wire.h"
#include "state/Ledger.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Quarantine - requests that are suspected of crashing targets, by their
 * fingerprint (a hash of the request); part of the replicated state.
 *
 * After the first crash, one attempt at a time in the whole fleet may run the
 * request: a trial.  After MP_POISON_CRASHES crashes the request is stopped.
 * A suspect is forgotten MP_POISON_MS after its last crash, and cleared by a
 * complete answer to its trial.
 *
 * Native requests (see Ledger.h) get their trial by opening their record.
 * Requests on paths have no record; they request a trial by the number of
 * their run, which is one arrival of the request at an instance.
 *
 * Parts of prompts are suspects too, under a fingerprint of their own: a part
 * may crash each target that begins to answer a request with it, while no two
 * such requests are equal.  Of the requests at a target that crashes, the one
 * whose response had begun without any content is the likely cause; its parts
 * are suspected at once, those of requests that still waited after
 * MP_WAITED_CRASHES crashes.  An answer to any request with a part clears it.
 * The suspect parts of one crash are a group: a request with some of them may
 * have a trial even when they are stopped, as only one of them is the cause.
 */

/* Crashes after which a request is stopped in the whole fleet. */
#define MP_POISON_CRASHES 2
/* Time after the last crash until a suspect is forgotten, ms. */
#define MP_POISON_MS INT64_C(3600000)
/* Number of suspects kept; the one with the oldest last crash is removed
 * first. */
#define MP_SUSPECTS_MAX 4096
/* Window in which crashes under runs that began before the first of them was
 * known count once, ms: they have one cause, which need not be the request.
 * Crash reports arrive within a round trip to the quorum, late ones within
 * the timeout of a call. */
#define MP_SAME_CRASH_MS 1000
/* Trials of a suspect that may end without a result, because the caller
 * disconnects or the time is up, before the next one has to wait. */
#define MP_TRIALS_MAX 3
/* The same for a stopped part, one of a group. */
#define MP_STOPPED_TRIALS_MAX 2
/* Time that a suspect waits after MP_TRIALS_MAX such trials, ms. */
#define MP_TRIALS_PAUSE_MS 600000
/* Limit of a trial whose end is not reported, ms. */
#define MP_TRIAL_MAX_MS 15000

/* Crashes, each within MP_WAITED_WINDOW_MS of the one before, after which a
 * part is suspected whose requests waited for the first byte of their
 * response. */
#define MP_WAITED_CRASHES 3
#define MP_WAITED_WINDOW_MS 10000
/* Time after the last crash until a stopped part may have another trial, ms;
 * each further crash multiplies it by MP_PART_PAUSE_FACTOR.  Without it a part
 * that was stopped by mistake would stay so for MP_POISON_MS. */
#define MP_PART_PAUSE_MS 30000
#define MP_PART_PAUSE_FACTOR 4

/* Time after a crash for which a request that has all suspect parts of the
 * crash waits for requests with some of them, ms.  An answer to one of those
 * clears its parts, while another crash would show nothing new. */
#define MP_GROUP_WAIT_MS 2000

/* A request or part that is suspected or stopped. */
struct MpSuspect {
    uint8_t fingerprint[MP_HASH_BYTES];
    GList link; /* in MpQuarantine.order */
    uint32_t crashes;
    int64_t last_ms; /* time of the last crash */
    /* native requests */
    char *last_target; /* target of the last crash */
    /* record that was opened as a trial or had the last crash */
    char *workspace;
    char *key;
    uint64_t open_id;
    bool is_tried; /* it was opened as a trial after the last crash */
    /* requests on paths */
    uint64_t run;     /* run of the last trial or crash; 0: none */
    uint32_t attempt; /* last reported attempt of that run */
    uint32_t trials;  /* started since the last pause */
    int64_t until_ms; /* end of the last trial */
    /* parts, which also use run, trials and until_ms */
    uint32_t target_hash; /* target of the last crash */
    uint32_t waited;      /* crashes at which it waited, while crashes is 0 */
    int64_t before_ms;    /* time of the crash before the last one, or 0 */
};

struct MpQuarantine {
    GHashTable *suspects; /* fingerprint -> struct MpSuspect */
    GQueue order;         /* of struct MpSuspect, oldest last crash first */
    uint64_t version;     /* incremented with each change of the lists */
};

void MpQuarantine_Init(struct MpQuarantine *this);
void MpQuarantine_Done(struct MpQuarantine *this);

/* Removes suspects whose last crash is MP_POISON_MS ago. */
void MpQuarantine_Expire(struct MpQuarantine *this, int64_t now_ms);

/* Applies a report of a target's crash under a native request; result->number
 * is the number of crashes, result->amount_mtok the number of other open
 * requests with this body while none was answered. */
int MpQuarantine_ReportCrash(struct MpQuarantine *this,
                             const struct MpLedger *ledger,
                             const struct mp_poison *report, int64_t now_ms,
                             struct mp_result *result);

/* Returns whether a native request may be opened: MP_OK, MP_ERROR_HELD_BACK
 * while others with this body run, or MP_ERROR_POISON when it is stopped. */
int MpQuarantine_CheckOpen(const struct MpQuarantine *this,
                           const struct MpLedger *ledger,
                           const struct mp_open *open);

/* Records that a native request was opened; a suspect's trial starts. */
void MpQuarantine_RecordOpen(struct MpQuarantine *this,
                             const struct mp_open *open);

/* Records that a native request was answered, which clears a suspect if this
 * was its trial. */
void MpQuarantine_RecordAnswer(struct MpQuarantine *this,
                               const struct MpRecord *record,
                               const struct mp_settle *settle);

/* Applies a message about a request on a path.  Returns whether its run may
 * go to a target: MP_OK, MP_ERROR_HELD_BACK while another run has the trial,
 * or MP_ERROR_POISON after too many crashes or trials; result->number is the
 * number of crashes. */
int MpQuarantine_HandleTrial(struct MpQuarantine *this,
                             const struct mp_trial *trial, int64_t now_ms,
                             struct mp_result *result);

/* Applies the request for a trial of a part; returns as
 * MpQuarantine_HandleTrial. */
int MpQuarantine_HandlePartTrial(struct MpQuarantine *this,
                                 const struct mp_part_trial *part_trial,
                                 int64_t now_ms, struct mp_result *result);

/* Sets the fingerprint of a part from the hash of its id. */
void MpQuarantine_SetPartFingerprint(uint64_t part_id, void *fingerprint);

/* Returns whether the fingerprint is that of a part. */
bool MpQuarantine_IsPart(const void *fingerprint);

/* Returns the concatenated fingerprints of the stopped requests, or of the
 * other suspects. */
GByteArray *MpQuarantine_List(const struct MpQuarantine *this,
                              bool is_stopped);

/* Returns 4 bytes for each suspect that MpQuarantine_List(this, false) lists:
 * equal for parts that have their last crash in common, 0 for requests. */
GByteArray *MpQuarantine_ListGroups(const struct MpQuarantine *this);

/* Fills the quarantine's part of a snapshot image.  The caller frees
 * suspects_val with g_free; strings belong to the quarantine. */
void MpQuarantine_Save(const struct MpQuarantine *this,
                       struct mp_machine_image *image);

/* Fills an empty quarantine from an image. */
void MpQuarantine_Load(struct MpQuarantine *this,
                       const struct mp_machine_image *image);

#endif
