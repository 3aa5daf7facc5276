#include "state/FrameFile.h"

#include "state/Error.h"
#include "state/Fault.h"

int
MpFrameFile_CutPartial(struct MpFrameFile *this, struct MpDisk *disk,
                       const char *name)
{
    if (!this->has_partial || MP_FAULT(MP_FAULT_PARTIAL_FRAME_KEPT)) {
        return MP_OK;
    }
    int code = disk->klass->truncate(disk, name, this->end_bytes);
    if (code == MP_OK) {
        code = disk->klass->sync(disk, name);
    }
    this->has_partial = code != MP_OK;
    return code;
}

int
MpFrameFile_Append(struct MpFrameFile *this, struct MpDisk *disk,
                   const char *name, const GByteArray *frame)
{
    int code = MpFrameFile_CutPartial(this, disk, name);
    if (code != MP_OK) {
        return code;
    }
    code = disk->klass->append(disk, name, frame->data, frame->len);
    if (code == MP_ERROR_DISK_FULL) {
        this->has_partial = true;
        int cut_code = MpFrameFile_CutPartial(this, disk, name);
        return cut_code == MP_OK ? code : cut_code;
    }
    if (code == MP_OK && !MP_FAULT(MP_FAULT_SYNC_SKIPPED)) {
        code = disk->klass->sync(disk, name);
    }
    if (code == MP_OK) {
        this->end_bytes += frame->len;
    }
    return code;
}
