#ifndef MP_TRANSPORT_FILE_DISK_H
#define MP_TRANSPORT_FILE_DISK_H

#include "state/Disk.h"

/*
 * FileDisk - the disk of a data folder; one process at a time.
 */

struct MpFileDisk {
    struct MpDisk super;
    char *folder;
    int folder_fd;
    int lock_fd;
    int append_fd; /* open segment */
    char *append_name;
};

/* Opens folder, makes it if it is missing, and locks it.  Errors:
 * MP_ERROR_IO, MP_ERROR_LOCKED. */
int MpFileDisk_Init(struct MpFileDisk *this, const char *folder);
void MpFileDisk_Done(struct MpFileDisk *this);

#endif
