#ifndef MP_PROTOCOL_TARGET_STATUS_H
#define MP_PROTOCOL_TARGET_STATUS_H

#include "coordination/Picker.h"
#include "state/Json.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * TargetStatus - what a target of the document says of itself in answer to
 * GET /status: its boot, its load, and the latest events of its cache.
 */

struct MpTargetStatus {
    struct json_object *root;
    const char *boot; /* changes at each start; may be empty */
    struct MpLoadReport report;
};

struct MpStatusEvent {
    uint64_t sequence;
    uint64_t block;
    bool is_added; /* else evicted */
};

/* Parses a status.  Returns false and a reason, a literal, if it is no object
 * in JSON, or if a field has another type or a number out of range; missing
 * numbers are 0.  MpTargetStatus_Done must follow in either case. */
bool MpTargetStatus_Parse(struct MpTargetStatus *this, const char *text,
                          size_t size, const char **reason);
void MpTargetStatus_Done(struct MpTargetStatus *this);

/* Returns the number of events, readable or not. */
size_t MpTargetStatus_EventCount(const struct MpTargetStatus *this);

/* Returns whether the event at a position is readable, and the event. */
bool MpTargetStatus_GetEvent(const struct MpTargetStatus *this, size_t at,
                             struct MpStatusEvent *event);

#endif
