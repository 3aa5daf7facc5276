#ifndef MP_TRANSPORT_FILE_DISK_H
#define MP_TRANSPORT_FILE_DISK_H

#include "state/Disk.h"

/*
 * FileDisk - file operations in a data folder, which is locked so that only
 * one process uses it at a time.
 */

struct MpFileDisk {
    struct MpDisk super;
    char *folder;
    int folder_fd;
    int lock_fd;
    int append_fd; /* file that is open for appending, or -1 */
    char *append_name;
};

/* Opens and locks folder, and removes unfinished files of an earlier process
 * from it; creates it if it is missing.  Errors: MP_ERROR_IO,
 * MP_ERROR_LOCKED. */
int MpFileDisk_Init(struct MpFileDisk *this, const char *folder);
void MpFileDisk_Done(struct MpFileDisk *this);

#endif
