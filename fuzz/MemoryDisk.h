#ifndef MP_FUZZ_MEMORY_DISK_H
#define MP_FUZZ_MEMORY_DISK_H

#include "Input.h"

#include "state/Disk.h"

/*
 * MemoryDisk - a disk in memory that forgets unsynced bytes in a crash.
 *
 * After a crash a file holds what was synced and a part, chosen by the
 * input, of what came after.
 */

struct MemoryDisk {
    struct MpDisk super;
    GHashTable *files; /* name -> struct memory_file */
};

void MemoryDisk_Init(struct MemoryDisk *this);
void MemoryDisk_Done(struct MemoryDisk *this);
void MemoryDisk_Crash(struct MemoryDisk *this, struct FuzzInput *input);
void MemoryDisk_Wipe(struct MemoryDisk *this);

/* Damages one synced byte of the named file; returns whether there was one.
 */
int MemoryDisk_CorruptByte(struct MemoryDisk *this, const char *name,
                           size_t at);
size_t MemoryDisk_Size(struct MemoryDisk *this, const char *name);

#endif
