#ifndef MP_STATE_MACHINE_INTERNAL_H
#define MP_STATE_MACHINE_INTERNAL_H

#include "state/Machine.h"

/*
 * MachineInternal - functions shared by the files of Machine; not for
 * others.
 */

/* Remembers the outcome of a call with an id; the oldest is forgotten beyond
 * MP_MARKERS_MAX. */
struct MpMarker *MpMachine_AddMarker(GHashTable *table, GQueue *order,
                                     const char *scope, const char *id);

/* Remembers who made a version of the document. */
void MpMachine_AddHistory(struct MpMachine *this, uint64_t version,
                          int64_t at_ms, const char *author,
                          const char *submission);

#endif
