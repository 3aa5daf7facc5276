#ifndef MP_STATE_MACHINE_H
#define MP_STATE_MACHINE_H

#include "state/Ledger.h"
#include "state/Quarantine.h"
#include "state/Versions.h"
#include "state/ZoneDrains.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Machine - the replicated state machine: ledger, quarantine, configuration
 * document, drained zones, and the registered incarnations of instances.
 *
 * Commands of the replicated log are applied in order.  A rejected command
 * changes no balance, record or document; it still advances the clock, which
 * lets old records expire.  Repeated commands are harmless: top-ups and
 * submissions of documents and zone drains carry an id, requests an open_id,
 * lease calls a sequence number, registrations a nonce.
 */

/* Number of ids kept to detect repeats, of top-ups and of submissions
 * each. */
#define MP_DEDUP_ENTRIES_MAX 16384

/* The newest incarnation of an instance; each registration starts one. */
struct MpIncarnation {
    char *instance;
    uint64_t boot;  /* number of the incarnation, from 1 */
    uint64_t nonce; /* of the registration, to detect its repeats */
    bool is_fenced;
    char *address; /* where it lends from its slices; "" if it does not */
    char *zone;
};

/* Result of a command with an id, returned again for its repeats. */
struct MpDedupEntry {
    char *id;
    char *scope; /* workspace of a top-up; empty for a document */
    int32_t code;
    uint64_t number;
    int64_t amount_mtok;
};

/* Number of document versions kept in the history. */
#define MP_HISTORY_MAX 64

struct MpMachine {
    struct MpLedger ledger;
    GHashTable *incarnations; /* instance -> struct MpIncarnation */
    GHashTable *topups; /* workspace, newline, id -> struct MpDedupEntry */
    GQueue topup_order; /* keys of topups, oldest first */
    GHashTable *submissions; /* newline, id -> struct MpDedupEntry */
    GQueue submission_order; /* keys of submissions, oldest first */
    struct MpQuarantine quarantine;
    struct MpVersions versions;
    struct MpZoneDrains zones;
    uint64_t document_version;
    char *document;
    char *document_author;
    GQueue history; /* of struct mp_history, oldest first */
    struct mp_slice_status *slice_status; /* in the last result */
    uint64_t applied;                     /* index of the last applied entry */
    int64_t now_ms;                       /* latest at_ms of the commands */
};

void MpMachine_Init(struct MpMachine *this);
void MpMachine_Done(struct MpMachine *this);

/* Applies the command of the log entry index.  result is cleared first; its
 * strings and arrays belong to the machine and are valid until the next call.
 * Returns result->code. */
int MpMachine_Apply(struct MpMachine *this, uint64_t index,
                    const struct mp_command *command,
                    struct mp_result *result);

/* Marks a log entry without a command as applied. */
void MpMachine_Skip(struct MpMachine *this, uint64_t index);

/* Returns whether incarnation is the newest one of its instance and is not
 * fenced. */
bool MpMachine_IsCurrent(const struct MpMachine *this,
                         const struct mp_incarnation *incarnation);

/* Returns the history as an array of history.length entries, oldest first, to
 * be freed with g_free; its strings belong to the machine. */
struct mp_history *MpMachine_CopyHistory(const struct MpMachine *this);

/* Returns the whole state, encoded as a snapshot. */
GBytes *MpMachine_Save(const struct MpMachine *this);

/* Replaces the state with that of a snapshot.  On MP_ERROR_CORRUPT the state
 * is unchanged. */
int MpMachine_Load(struct MpMachine *this, const void *data, size_t size);

#endif
