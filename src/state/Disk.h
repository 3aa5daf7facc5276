#ifndef MP_STATE_DISK_H
#define MP_STATE_DISK_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Disk - the file operations that durable state needs.
 *
 * Names are plain file names inside one data folder.  Every function returns
 * MP_OK or one of MP_ERROR_IO, MP_ERROR_DISK_FULL, MP_ERROR_NOT_FOUND.
 */

struct MpDisk;

struct MpDiskClass {
    /* Reads the whole file and appends it to out. */
    int (*read)(struct MpDisk *this, const char *name, GByteArray *out);
    /* Appends; the bytes are durable only after sync. */
    int (*append)(struct MpDisk *this, const char *name, const void *data,
                  size_t size);
    int (*sync)(struct MpDisk *this, const char *name);
    int (*truncate)(struct MpDisk *this, const char *name, uint64_t size);
    /* Replaces the file as a whole, durably, or leaves it as it was. */
    int (*replace)(struct MpDisk *this, const char *name, const void *data,
                   size_t size);
    int (*remove)(struct MpDisk *this, const char *name);
    /* Adds the names of all files to names, each to be freed by g_free. */
    int (*list)(struct MpDisk *this, GPtrArray *names);
};

struct MpDisk {
    const struct MpDiskClass *klass;
};

#endif
