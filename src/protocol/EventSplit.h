#ifndef MP_PROTOCOL_EVENT_SPLIT_H
#define MP_PROTOCOL_EVENT_SPLIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * EventSplit - finds complete server-sent events in buffered stream data
 * (text/event-stream) and reads their ids.  Lines end with LF or CR LF.
 */

/* Largest event that is forwarded, bytes.  A longer one makes the stream
 * invalid. */
#define MP_EVENT_MAX_BYTES 65536

/* The lines up to an empty line. */
struct MpEventBlock {
    size_t size;   /* with the empty line, bytes */
    int64_t id;    /* numeric id; -1: none */
    bool has_data; /* it is an event; without data it is a comment or a
                    * setting, or an empty line alone */
};

/* Reads the first block of data.  Returns false if it is not complete. */
bool MpEventSplit_Next(const char *data, size_t size,
                       struct MpEventBlock *block);

/* Returns whether data can have a complete block, of which the first seen
 * bytes have none.  It looks at the others only, which MpEventSplit_Next does
 * not. */
bool MpEventSplit_MayEnd(const char *data, size_t size, size_t seen);

/* Returns the size of the byte order mark at the start of a stream, 0 without
 * one, or -1 if more data is needed to tell. */
int MpEventSplit_MarkSize(const char *data, size_t size);

#endif
