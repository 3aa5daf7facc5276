#ifndef MP_PROTOCOL_EVENT_SPLIT_H
#define MP_PROTOCOL_EVENT_SPLIT_H

#include <stddef.h>
#include <stdint.h>

/*
 * EventSplit - finds complete server-sent events in buffered stream data
 * (text/event-stream), counts them and reads their ids.
 */

/* Largest event that is forwarded, bytes.  Longer data without the end of an
 * event makes the stream invalid. */
#define MP_EVENT_MAX_BYTES 65536

/* Returns the size of the complete events at the start of data, bytes.  Adds
 * their number to *events and stores the last id in *last_id, if one has a
 * numeric id. */
size_t MpEventSplit_Complete(const char *data, size_t size, int64_t *events,
                             int64_t *last_id);

#endif
