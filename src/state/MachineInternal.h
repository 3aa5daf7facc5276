#ifndef MP_STATE_MACHINE_INTERNAL_H
#define MP_STATE_MACHINE_INTERNAL_H

#include "state/Machine.h"

/*
 * MachineInternal - functions private to the Machine*.c files.
 */

/* Adds an empty entry for a command with an id to table and order.  Removes
 * the oldest entry beyond MP_DEDUP_ENTRIES_MAX. */
struct MpDedupEntry *MpMachine_AddDedupEntry(GHashTable *table, GQueue *order,
                                             const char *scope,
                                             const char *id);

/* Appends a version of the document to the history.  Removes the oldest
 * beyond MP_HISTORY_MAX. */
void MpMachine_AddHistory(struct MpMachine *this, uint64_t version,
                          int64_t at_ms, const char *author,
                          const char *submission);

#endif
