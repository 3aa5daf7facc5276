#include "protocol/EventSplit.h"

#include "coordination/RequestMeta.h"

#include <string.h>

/* Parses an "id: NUMBER" line; any other line is ignored. */
static void
parse_id_line(const char *line, size_t size, int64_t *last_id)
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
    size_t complete = 0;
    size_t offset = 0;
    int64_t id = *last_id;
    while (offset < size) {
        const char *end = memchr(data + offset, '\n', size - offset);
        if (!end) {
            break;
        }
        size_t line = (size_t)(end - data) - offset;
        if (line > 0 && data[offset + line - 1] == '\r') {
            line--;
        }
        size_t next = (size_t)(end - data) + 1;
        if (line > 0) {
            parse_id_line(data + offset, line, &id);
        }
        else {
            /* An empty line ends an event. */
            *events += offset > complete;
            *last_id = id;
            complete = next;
        }
        offset = next;
    }
    return complete;
}
