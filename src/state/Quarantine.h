#ifndef MP_STATE_QUARANTINE_H
#define MP_STATE_QUARANTINE_H

#include "gen/wire.h"
#include "state/Ledger.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Quarantine - requests under which targets have ended, by their fingerprint;
 * part of the replicated state.
 *
 * After the first death a request is tried by one attempt at a time in the
 * whole fleet, after MP_POISON_CRASHES by none.  A whole answer clears it.
 *
 * Own chat and service calls are tried in the order of their open records;
 * requests on paths, which have no record, ask for their trial by the number
 * of the run.
 */

/* Deaths before a request is stopped everywhere, and how long it stays
 * stopped. */
#define MP_POISON_CRASHES 2
#define MP_POISON_MS INT64_C(3600000)
/* Requests that are kept; the one that killed last longest ago goes first. */
#define MP_SUSPECTS_MAX 4096
/* Deaths under runs that began before the first of them was known have one
 * cause, which need not be the request: within this time they count once, ms;
 * source: reports of deaths arrive within a round trip to the quorum, late
 * ones within the time-out of a call. */
#define MP_SAME_CRASH_MS 1000
/* Trials of a suspect that end without a verdict, as its callers leave or its
 * time is up, before it has to wait, and how long, ms. */
#define MP_TRIALS_MAX 3
#define MP_TRIALS_PAUSE_MS 600000
/* Longest trial of a run that is not heard of again, ms. */
#define MP_TRIAL_MAX_MS 15000

struct MpSuspect {
    uint8_t fingerprint[MP_HASH_BYTES];
    GList link; /* in the order of the last death */
    uint32_t deaths;
    int64_t last_ms;
    /* of own calls */
    char *last_target;
    char *workspace; /* the open record whose run was reported last */
    char *key;
    uint64_t open_id;
    bool is_tried; /* that record was opened since the last death */
    /* of paths */
    uint64_t run; /* that has the trial, or died last; 0: none */
    uint32_t attempt;
    uint32_t trials;  /* without a verdict */
    int64_t until_ms; /* end of the last one */
};

struct MpQuarantine {
    GHashTable *suspects; /* fingerprint -> struct MpSuspect */
    GQueue order;         /* of struct MpSuspect, oldest death first */
    uint64_t version;     /* counts changes of the lists */
};

void MpQuarantine_Init(struct MpQuarantine *this);
void MpQuarantine_Done(struct MpQuarantine *this);

/* Forgets what is older than MP_POISON_MS. */
void MpQuarantine_Expire(struct MpQuarantine *this, int64_t now_ms);

/* Takes the death of a target under an own call; result->number is the number
 * of deaths, result->amount_mtok that of other open requests with this
 * body. */
int MpQuarantine_Report(struct MpQuarantine *this,
                        const struct MpLedger *ledger,
                        const struct mp_poison *report, int64_t now_ms,
                        struct mp_result *result);

/* Returns whether an own call may be opened: MP_OK, MP_ERROR_HELD_BACK or
 * MP_ERROR_POISON. */
int MpQuarantine_CheckOpen(const struct MpQuarantine *this,
                           const struct MpLedger *ledger,
                           const struct mp_open *open);

/* Notes an own call that was let through. */
void MpQuarantine_NoteOpen(struct MpQuarantine *this,
                           const struct mp_open *open);

/* Takes a word on a request of a path.  Returns whether its run may go to a
 * target: MP_OK, MP_ERROR_HELD_BACK while another run has the trial, or
 * MP_ERROR_POISON after too many deaths or trials; result->number is the
 * number of deaths. */
int MpQuarantine_HandleTrial(struct MpQuarantine *this,
                             const struct mp_trial *trial, int64_t now_ms,
                             struct mp_result *result);

/* Returns fingerprints, concatenated: of stopped requests, or of those that
 * are tried one at a time. */
GByteArray *MpQuarantine_List(const struct MpQuarantine *this,
                              bool is_stopped);

/* Fills the part of an image, to be freed with g_free. */
void MpQuarantine_Save(const struct MpQuarantine *this,
                       struct mp_machine_image *image);
void MpQuarantine_Load(struct MpQuarantine *this,
                       const struct mp_machine_image *image);

#endif
