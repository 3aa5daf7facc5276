#ifndef MP_STATE_STORAGE_H
#define MP_STATE_STORAGE_H

#include "gen/wire.h"
#include "state/Disk.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Storage - the replicated log, the vote and the snapshot of one replica.
 *
 * Segments named log-N hold frames; a frame is magic, length, sequence
 * number and checksum of one batch of records, and is synced before the next
 * one is written.  So only the last frame can be torn by a crash: a bad frame
 * at the end is cut, a bad frame before a good one is damage and stops the
 * replica with MP_ERROR_CORRUPT.
 */

/* One entry of the log in memory; payload is shared between threads. */
struct MpLogEntry {
    uint64_t index;
    uint64_t term;
    enum mp_entry_kind kind;
    GBytes *payload;
};

/* State found on disk at start. */
struct MpRecovered {
    bool has_hard;
    struct mp_hard_state hard;
    bool has_snapshot;
    struct mp_snapshot_file snapshot;
    GArray *entries; /* of struct MpLogEntry, after the snapshot */
    uint64_t cut_bytes;
};

struct MpStorage {
    struct MpDisk *disk;
    uint64_t segment;
    uint64_t frame;
    uint64_t synced_bytes; /* counter, for metrics */
    uint64_t syncs;        /* counter, for metrics */
};

/* Reads what the disk holds.  Errors: MP_ERROR_CORRUPT, MP_ERROR_IO. */
int MpStorage_Open(struct MpStorage *this, struct MpDisk *disk,
                   struct MpRecovered *recovered);

/* Writes one batch and syncs it.  hard may be NULL.  After an error the
 * replica must stop: what is durable is not known. */
int MpStorage_Append(struct MpStorage *this, const struct mp_hard_state *hard,
                     const struct MpLogEntry *entries, uint32_t count);

/* Makes a snapshot durable and starts a segment with hard and the entries
 * that follow the snapshot; older segments are removed. */
int MpStorage_SaveSnapshot(struct MpStorage *this,
                           const struct mp_snapshot_head *head, GBytes *data,
                           const struct mp_hard_state *hard,
                           const struct MpLogEntry *entries, uint32_t count);

/* Frees what MpStorage_Open put into recovered. */
void MpRecovered_Done(struct MpRecovered *this);

/* Clears the payload reference of an entry; a GArray clear function. */
void MpLogEntry_Done(void *entry);

#endif
