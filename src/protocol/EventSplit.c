#include "protocol/EventSplit.h"

#include "coordination/RequestMeta.h"

#include <string.h>

/* Reads an "id: NUMBER" line. */
static void
read_line(const char *line, size_t size, int64_t *last_id)
{
    int64_t number;
    if (size < 3 || memcmp(line, "id:", 3) != 0) {
        return;
    }
    line += 3;
    size -= 3;
    if (size > 0 && line[0] == ' ') {
        line++;
        size--;
    }
    if (MpRequestMeta_ParseNumber(line, size, &number)) {
        *last_id = number;
    }
}

size_t
MpEventSplit_Complete(const char *data, size_t size, int64_t *events,
                      int64_t *last_id)
{
    size_t whole = 0;
    size_t at = 0;
    int64_t id = *last_id;
    while (at < size) {
        const char *end = memchr(data + at, '\n', size - at);
        if (!end) {
            break;
        }
        size_t line = (size_t)(end - data) - at;
        if (line > 0 && data[at + line - 1] == '\r') {
            line--;
        }
        size_t next = (size_t)(end - data) + 1;
        if (line > 0) {
            read_line(data + at, line, &id);
        }
        else {
            /* An empty line ends an event. */
            *events += at > whole;
            *last_id = id;
            whole = next;
        }
        at = next;
    }
    return whole;
}
