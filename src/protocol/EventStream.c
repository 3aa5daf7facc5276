#include "protocol/EventStream.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#define STREAM_TYPE "text/event-stream"

static bool
is_blank(char c)
{
    return c == ' ' || c == '\t';
}

/* The type may have parameters, after optional white space. */
static bool
is_stream_type(const char *type, size_t size)
{
    size_t length = strlen(STREAM_TYPE);
    while (size > 0 && is_blank(type[0])) {
        type++;
        size--;
    }
    if (size < length || g_ascii_strncasecmp(type, STREAM_TYPE, length) != 0) {
        return false;
    }
    while (length < size && is_blank(type[length])) {
        length++;
    }
    return length == size || type[length] == ';';
}

static bool
is_identity(const char *encoding, size_t size)
{
    return size == 0 || (size == strlen("identity") &&
                         g_ascii_strncasecmp(encoding, "identity", size) == 0);
}

const char *
MpEventStream_Refute(int status, const char *type, size_t type_size,
                     const char *encoding, size_t encoding_size)
{
    if (status != 200) {
        return "status";
    }
    if (!type || !is_stream_type(type, type_size)) {
        return "type";
    }
    if (encoding && !is_identity(encoding, encoding_size)) {
        return "encoding";
    }
    return NULL;
}

char *
MpEventStream_EscapeType(const char *type, size_t size)
{
    if (!type) {
        return g_strdup("-");
    }
    char *text =
        g_strndup(type, MIN(size, (size_t)MP_EVENT_STREAM_TYPE_LOG_BYTES));
    char *escaped = g_strescape(text, NULL);
    g_free(text);
    return escaped;
}
