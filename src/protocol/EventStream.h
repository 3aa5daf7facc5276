#ifndef MP_PROTOCOL_EVENT_STREAM_H
#define MP_PROTOCOL_EVENT_STREAM_H

#include <stddef.h>

/*
 * EventStream - tells from the head of a response whether its body is an event
 * stream (text/event-stream).
 */

/* Bytes of a content type that a log line shows. */
#define MP_EVENT_STREAM_TYPE_LOG_BYTES 48

/* Returns NULL if a response with this head has a stream of events as its
 * body, or the reason why not, for a log line: "status", "type" or "encoding".
 * type and encoding are the values of Content-Type and Content-Encoding, NULL
 * without them. */
const char *MpEventStream_Refute(int status, const char *type,
                                 size_t type_size, const char *encoding,
                                 size_t encoding_size);

/* Returns the start of a content type, escaped for a log line between quotes;
 * to be freed with g_free.  type may be NULL. */
char *MpEventStream_EscapeType(const char *type, size_t size);

#endif
