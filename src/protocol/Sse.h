#ifndef MP_PROTOCOL_SSE_H
#define MP_PROTOCOL_SSE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Sse - splits a stream of server-sent events into whole events and counts
 * the tokens of a completion.
 */

/* Largest event; a longer one ends the stream. */
#define MP_SSE_EVENT_MAX (256 * 1024)

enum MpSseKind {
    MP_SSE_OTHER, /* a comment, or data that is no token */
    MP_SSE_TOKEN,
    MP_SSE_USAGE, /* carries the usage of the whole completion */
    MP_SSE_ERROR, /* an error of the engine */
    MP_SSE_DONE
};

/* One event; text holds it whole, with its empty line. */
struct MpSseEvent {
    enum MpSseKind kind;
    const char *text;
    size_t size;
    int64_t prompt_tokens; /* of MP_SSE_USAGE */
    int64_t output_tokens;
};

struct MpSse {
    GByteArray *buffer;
    size_t taken; /* bytes of the event last returned */
};

void MpSse_Init(struct MpSse *this);
void MpSse_Done(struct MpSse *this);

/* Adds bytes.  Errors: MP_ERROR_TOO_LARGE for an event over the bound. */
int MpSse_Feed(struct MpSse *this, const void *data, size_t size);

/* Takes the next whole event; false when there is none.  The event lasts
 * until the next call. */
bool MpSse_Next(struct MpSse *this, struct MpSseEvent *event);

#endif
