#ifndef MP_PROTOCOL_SSE_H
#define MP_PROTOCOL_SSE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Sse - parses the stream of server-sent events of a chat completion and
 * classifies each event (token, usage, error, end).
 */

/* Size limit of an event with its empty line, bytes; a longer one ends the
 * stream. */
#define MP_SSE_EVENT_MAX (256 * 1024)

enum MpSseKind {
    MP_SSE_OTHER, /* comment, or data of another kind */
    MP_SSE_TOKEN,
    MP_SSE_USAGE, /* token usage of the whole completion */
    MP_SSE_ERROR, /* error reported by the engine, or an event above the size
                   * limit, without its text */
    MP_SSE_DONE   /* end of the stream, "[DONE]" */
};

/* One event; text is the complete event with the empty line at its end. */
struct MpSseEvent {
    enum MpSseKind kind;
    const char *text;
    size_t size;
    int64_t prompt_tokens; /* set for MP_SSE_USAGE */
    int64_t output_tokens; /* set for MP_SSE_USAGE */
};

struct MpSse {
    GByteArray *buffer;
    size_t consumed;  /* size of the events returned, bytes */
    size_t scanned;   /* of the bytes after them, without the end of an
                       * event */
    bool is_begun;    /* past a byte order mark */
    bool is_too_long; /* an event was above the size limit */
};

void MpSse_Init(struct MpSse *this);
void MpSse_Done(struct MpSse *this);

/* Appends received bytes.  Errors: MP_ERROR_TOO_LARGE after an event above the
 * size limit. */
int MpSse_Feed(struct MpSse *this, const void *data, size_t size);

/* Takes the next complete event from the buffer and returns it in *event, or
 * returns false if there is none.  event->text is valid until the next call.
 */
bool MpSse_Next(struct MpSse *this, struct MpSseEvent *event);

#endif
