#ifndef MP_STATE_FRAME_FILE_H
#define MP_STATE_FRAME_FILE_H

#include "state/Disk.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * FrameFile - the end of a file of frames, to which frames are appended.
 *
 * A disk without room may take a part of a frame.  That part is cut off again,
 * at once or, if the disk refuses this too, before the next frame, as a bad
 * frame in front of a good one is corruption.
 */

struct MpFrameFile {
    uint64_t end_bytes; /* size of the whole frames */
    bool has_partial;   /* a part of a frame may follow them */
};

/* Appends a frame to the file name and syncs it.  After MP_ERROR_DISK_FULL the
 * frame is not in the file, and the call may be repeated; after any other
 * error it is unknown what is durable. */
int MpFrameFile_Append(struct MpFrameFile *this, struct MpDisk *disk,
                       const char *name, const GByteArray *frame);

/* Cuts off a part of a frame behind the whole ones, if there is one.  Errors:
 * as for MpFrameFile_Append. */
int MpFrameFile_CutPartial(struct MpFrameFile *this, struct MpDisk *disk,
                           const char *name);

#endif
