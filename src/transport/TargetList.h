#ifndef MP_TRANSPORT_TARGET_LIST_H
#define MP_TRANSPORT_TARGET_LIST_H

#include "protocol/Dialect.h"
#include "state/Settings.h"
#include "transport/Loop.h"

#include <stdbool.h>

/*
 * TargetList - reads the list of targets, page by page, and keeps the last
 * whole one when it cannot be had.
 */

struct MpTargetList;

struct MpTargetListClass {
    /* Takes a whole list, of struct MpListedTarget; returns what changed. */
    uint32_t (*apply)(void *owner, const GPtrArray *targets);
    /* Returns how long to wait until the next reading, ms, and whether it is
     * to be left out then. */
    int64_t (*interval)(void *owner, bool *is_needless);
};

/* Returns a reader, or NULL when the settings name no list. */
struct MpTargetList *MpTargetList_New(const struct MpTargetListClass *klass,
                                      void *owner, struct MpLoop *loop,
                                      const struct MpSettings *settings);

/* Reads the list now. */
void MpTargetList_Start(struct MpTargetList *this);

void MpTargetList_WriteMetrics(const struct MpTargetList *this, GString *out);

#endif
