#ifndef MP_STATE_MACHINE_H
#define MP_STATE_MACHINE_H

#include "state/Ledger.h"
#include "state/Quarantine.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Machine - the replicated state: ledger, document, incarnations.
 *
 * Commands of the replicated log are applied in order.  A command that was
 * refused changes nothing but the machine's clock.  Repeats are harmless:
 * top-ups carry an id, submissions of a document carry an id, requests an
 * open_id, lease calls a sequence number, registrations a nonce.
 */

/* Ids of top-ups and of submissions that are remembered, of each kind. */
#define MP_MARKERS_MAX 16384

struct MpIncarnation {
    char *instance;
    uint64_t boot;
    uint64_t nonce;
    bool fenced;
    char *address; /* where it lends of its slices; "" for nowhere */
    char *zone;
};

/* Outcome of a call with an id, kept to answer its repeats. */
struct MpMarker {
    char *id;
    char *scope;
    int32_t code;
    uint64_t number;
    int64_t amount_mtok;
};

/* Versions of the document whose makers are remembered. */
#define MP_HISTORY_MAX 64

struct MpMachine {
    struct MpLedger ledger;
    GHashTable *incarnations; /* instance -> struct MpIncarnation */
    GHashTable *topups;       /* workspace, newline, id -> struct MpMarker */
    GQueue topup_order;
    GHashTable *submissions; /* id -> struct MpMarker */
    GQueue submission_order;
    struct MpQuarantine quarantine;
    uint64_t document_version;
    char *document;
    char *document_author;
    GQueue history; /* of struct mp_history, oldest first */
    struct mp_slice_status *slices_held; /* answer of the last command */
    uint64_t applied;
    int64_t now_ms;
};

void MpMachine_Init(struct MpMachine *this);
void MpMachine_Done(struct MpMachine *this);

/* Applies the command of entry index.  result is cleared first; its strings
 * belong to the machine and last until the next call.  Returns the code that
 * is also in result->code. */
int MpMachine_Apply(struct MpMachine *this, uint64_t index,
                    const struct mp_command *command,
                    struct mp_result *result);

/* Moves past an entry that holds no command. */
void MpMachine_Skip(struct MpMachine *this, uint64_t index);

/* Returns whether holder is the newest life of its instance and not
 * fenced. */
bool MpMachine_IsCurrent(const struct MpMachine *this,
                         const struct mp_incarnation *holder);

/* Returns the history as an array of history.length entries, to be freed by
 * g_free; its strings belong to the machine. */
struct mp_history *MpMachine_CopyHistory(const struct MpMachine *this);

/* Returns the whole state as bytes. */
GBytes *MpMachine_Save(const struct MpMachine *this);

/* Replaces the state by that of bytes.  Errors: MP_ERROR_CORRUPT, when the
 * state is unchanged. */
int MpMachine_Load(struct MpMachine *this, const void *data, size_t size);

#endif
