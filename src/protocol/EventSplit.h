#ifndef MP_PROTOCOL_EVENT_SPLIT_H
#define MP_PROTOCOL_EVENT_SPLIT_H

#include <stddef.h>
#include <stdint.h>

/*
 * EventSplit - whole events of a stream (text/event-stream).
 */

/* Largest event that is passed on, bytes; more without an end is no event. */
#define MP_EVENT_MAX_BYTES 65536

/* Returns the size of the whole events at the start of data; adds their
 * number to *events and stores the last id in *last_id, if there is one. */
size_t MpEventSplit_Complete(const char *data, size_t size, int64_t *events,
                             int64_t *last_id);

#endif
