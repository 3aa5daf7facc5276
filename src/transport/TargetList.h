#ifndef MP_TRANSPORT_TARGET_LIST_H
#define MP_TRANSPORT_TARGET_LIST_H

#include "protocol/Dialect.h"
#include "state/Settings.h"
#include "transport/Loop.h"

#include <stdbool.h>

/*
 * TargetList - reads the target list from its provider over HTTP at regular
 * intervals, page by page.
 *
 * Only complete lists are passed on; after a failure the last complete one
 * stays in use.
 */

struct MpTargetList;

struct MpTargetListClass {
    /* Applies a complete list, of struct MpListedTarget; returns the number of
     * changes. */
    uint32_t (*apply)(void *owner, const GPtrArray *targets);
    /* Returns the time to the next read, ms; sets *may_skip to whether no
     * read is needed now. */
    int64_t (*interval)(void *owner, bool *may_skip);
};

/* Returns a reader, or NULL when the settings name no list. */
struct MpTargetList *MpTargetList_New(const struct MpTargetListClass *klass,
                                      void *owner, struct MpLoop *loop,
                                      const struct MpSettings *settings);

/* Starts reading; does nothing when it is started already. */
void MpTargetList_Start(struct MpTargetList *this);

/* Returns the entries of a list (struct MpListedTarget) that are used, at most
 * MP_TARGETS_MAX: first those of pools that the document names.  document may
 * be NULL.  The result does not own the entries. */
GPtrArray *MpTargetList_Choose(const GPtrArray *targets,
                               const struct MpDocument *document);

void MpTargetList_WriteMetrics(const struct MpTargetList *this, GString *out);

#endif
