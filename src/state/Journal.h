#ifndef MP_STATE_JOURNAL_H
#define MP_STATE_JOURNAL_H

#include "gen/wire.h"
#include "state/Disk.h"
#include "state/FrameFile.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Journal - the file in which an instance records the requests that it runs
 * from a lease while the quorum is unreachable.
 *
 * A request is written before it is dispatched and again, with its price,
 * before its answer is finished; both writes are synced.  Requests in the
 * journal are billed once the quorum is reachable again, even after a restart
 * of the instance.
 */

struct MpJournal {
    struct MpDisk *disk;
    uint64_t sequence; /* of the last frame */
    struct MpFrameFile file;
};

/* Reads the journal.  *entries becomes a new table of the newest entry of each
 * request (struct mp_journal_entry, owned by the table) by workspace, newline
 * and key; the caller unrefs it, also after an error.  A torn frame at the end
 * of the file is truncated.  Errors: MP_ERROR_CORRUPT, MP_ERROR_IO. */
int MpJournal_Open(struct MpJournal *this, struct MpDisk *disk,
                   GHashTable **entries);

/* Appends an entry and syncs it.  After MP_ERROR_DISK_FULL the entry is not in
 * the journal, and others may be appended. */
int MpJournal_Append(struct MpJournal *this,
                     const struct mp_journal_entry *entry);

/* Empties the journal, after all its requests were billed. */
int MpJournal_Clear(struct MpJournal *this);

#endif
