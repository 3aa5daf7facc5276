#ifndef MP_FUZZ_MEMORY_DISK_H
#define MP_FUZZ_MEMORY_DISK_H

#include "Input.h"

#include "state/Disk.h"

#include <stdbool.h>

/*
 * MemoryDisk - a disk in memory that loses unsynced bytes in a crash.
 *
 * After a crash a file holds its synced bytes and the first part of the bytes
 * appended after them; the input chooses how much of these.  A full disk takes
 * the first room_bytes of what is appended, and no new files.
 */

struct MemoryDisk {
    struct MpDisk super;
    GHashTable *files; /* name -> struct memory_file */
    bool is_full;
    size_t room_bytes; /* of each append, while the disk is full */
    bool has_bad_sync; /* each sync fails */
};

void MemoryDisk_Init(struct MemoryDisk *this);
void MemoryDisk_Done(struct MemoryDisk *this);
void MemoryDisk_Crash(struct MemoryDisk *this, struct FuzzInput *input);
void MemoryDisk_Wipe(struct MemoryDisk *this);

/* Flips a bit of the byte at offset, modulo the file's size.  Returns 1, or 0
 * when the file is missing or empty. */
int MemoryDisk_CorruptByte(struct MemoryDisk *this, const char *name,
                           size_t offset);
size_t MemoryDisk_Size(struct MemoryDisk *this, const char *name);

#endif
