#ifndef MP_STATE_STORAGE_H
#define MP_STATE_STORAGE_H

#include "gen/wire.h"
#include "state/Disk.h"
#include "state/FrameFile.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Storage - stores the Raft log, the hard state (term and vote) and the
 * snapshot of one replica on disk.
 *
 * The log is in segment files named log-N, which consist of frames.  A frame
 * holds one batch of records, with magic, length, sequence number and
 * checksum, and is synced before the next one is written.  So a crash can
 * only tear the last frame: an invalid frame at the end of the log is
 * truncated, and an invalid frame before a valid one is corruption and stops
 * the replica with MP_ERROR_CORRUPT.
 */

/* A log entry in memory; payload is shared between threads. */
struct MpLogEntry {
    uint64_t index;
    uint64_t term;
    enum mp_entry_kind kind;
    GBytes *payload;
};

/* State read from disk at start. */
struct MpRecovered {
    bool has_hard;
    struct mp_hard_state hard;
    bool has_snapshot;
    struct mp_snapshot_file snapshot;
    GArray *entries;    /* of struct MpLogEntry, after the snapshot */
    uint64_t cut_bytes; /* truncated from the end of the log */
};

struct MpStorage {
    struct MpDisk *disk;
    uint64_t segment;        /* number of the current segment */
    uint64_t frame;          /* sequence number of the last frame */
    struct MpFrameFile file; /* the current segment */
    uint64_t synced_bytes;   /* counter, for metrics */
    uint64_t syncs;          /* counter, for metrics */
};

/* Reads the state from disk into recovered and makes durable what it has read.
 * Errors: MP_ERROR_CORRUPT,
 * MP_ERROR_IO. */
int MpStorage_Open(struct MpStorage *this, struct MpDisk *disk,
                   struct MpRecovered *recovered);

/* Writes one batch and syncs it.  hard may be NULL.  After MP_ERROR_DISK_FULL
 * nothing of it is in the log, and the same call may be repeated; other writes
 * must wait for it.  After any other error it is unknown what is durable, and
 * the replica must stop. */
int MpStorage_Append(struct MpStorage *this, const struct mp_hard_state *hard,
                     const struct MpLogEntry *entries, uint32_t count);

/* Writes a snapshot durably, starts a new segment with hard and the entries
 * after the snapshot, and removes older segments.  Errors: as for
 * MpStorage_Append; after MP_ERROR_DISK_FULL the snapshot may be written,
 * which changes nothing of what is recovered. */
int MpStorage_SaveSnapshot(struct MpStorage *this,
                           const struct mp_snapshot_head *head, GBytes *data,
                           const struct mp_hard_state *hard,
                           const struct MpLogEntry *entries, uint32_t count);

/* Frees the contents of what MpStorage_Open has filled. */
void MpRecovered_Done(struct MpRecovered *this);

/* Releases the payload of an entry; a GArray clear function. */
void MpLogEntry_Done(void *entry);

#endif
