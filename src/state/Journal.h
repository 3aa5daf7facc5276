#ifndef MP_STATE_JOURNAL_H
#define MP_STATE_JOURNAL_H

#include "gen/wire.h"
#include "state/Disk.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Journal - requests that ran from a lease while the quorum was away.
 *
 * A request is written before it is dispatched and again, with its price,
 * before its answer is finished; both writes are synced.  What is in the
 * journal is billed once the quorum is back, also after a restart.
 */

struct MpJournal {
    struct MpDisk *disk;
    uint64_t sequence;
};

/* Reads the journal; entries gets, by workspace and key, the newest entry of
 * each request (struct mp_journal_entry, to be freed by the table).  Errors:
 * MP_ERROR_CORRUPT, MP_ERROR_IO. */
int MpJournal_Open(struct MpJournal *this, struct MpDisk *disk,
                   GHashTable **entries);

/* Appends an entry and syncs it. */
int MpJournal_Append(struct MpJournal *this,
                     const struct mp_journal_entry *entry);

/* Empties the journal, once all of it is billed. */
int MpJournal_Clear(struct MpJournal *this);

#endif
