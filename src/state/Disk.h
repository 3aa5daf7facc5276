#ifndef MP_STATE_DISK_H
#define MP_STATE_DISK_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Disk - interface of the file operations used by Storage and Journal.
 *
 * Names are plain file names inside one data folder.  Every function returns
 * MP_OK, MP_ERROR_IO, MP_ERROR_DISK_FULL or MP_ERROR_NOT_FOUND.
 *
 * After MP_ERROR_DISK_FULL the call may be repeated: append may have added a
 * part of the data, all other functions have changed nothing.  sync never
 * returns it, since after a failed sync it is unknown what is durable.
 */

struct MpDisk;

struct MpDiskClass {
    /* Reads the whole file and appends it to out. */
    int (*read)(struct MpDisk *this, const char *name, GByteArray *out);
    /* Appends to the file; the data is durable only after sync. */
    int (*append)(struct MpDisk *this, const char *name, const void *data,
                  size_t size);
    int (*sync)(struct MpDisk *this, const char *name);
    int (*truncate)(struct MpDisk *this, const char *name, uint64_t size);
    /* Replaces the whole file atomically and durably. */
    int (*replace)(struct MpDisk *this, const char *name, const void *data,
                   size_t size);
    int (*remove)(struct MpDisk *this, const char *name);
    /* Adds the names of all files to names, each to be freed with g_free. */
    int (*list)(struct MpDisk *this, GPtrArray *names);
};

struct MpDisk {
    const struct MpDiskClass *klass;
};

#endif
