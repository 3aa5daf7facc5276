#ifndef MP_TRANSPORT_TARGET_NOTICE_H
#define MP_TRANSPORT_TARGET_NOTICE_H

#include "coordination/TargetLeaving.h"
#include "coordination/TargetPause.h"

/*
 * TargetNotice - what a target says of itself in an answer, on both
 * interfaces: that it leaves, and for how long it wants no requests.  Each
 * change is one log line, and so is the first of values that are ignored.
 */

/* One answer. */
struct MpTargetNotice {
    const char *id;     /* of the request; or NULL */
    const char *target; /* incarnation or name */
    const char *pool;   /* or NULL */
    int64_t sent_ms;
    int64_t received_ms;
};

/* Applies the value of the header that says whether the target leaves, NULL if
 * there is none. */
void MpTargetNotice_ReadLeaving(const struct MpTargetNotice *this,
                                const char *value, size_t size,
                                struct MpTargetLeaving *leaving);

/* Applies the value of the header that names a pause, NULL if there is none or
 * the status is not 503.  Returns whether it asks for one; *starts counts
 * those that no other preceded. */
bool MpTargetNotice_ReadPause(const struct MpTargetNotice *this,
                              const char *value, size_t size,
                              struct MpTargetPause *pause, uint64_t *starts);

/* Notes that a request goes to the target, which may be the first after a
 * pause. */
void MpTargetNotice_Sent(const struct MpTargetNotice *this,
                         struct MpTargetPause *pause);

#endif
