#include "protocol/EventSplit.h"

#include "coordination/RequestMeta.h"

#include <glib.h>
#include <string.h>

#define BYTE_ORDER_MARK "\xef\xbb\xbf"

static bool
has_name(const char *line, size_t size, const char *name)
{
    size_t length = strlen(name);
    return size >= length && memcmp(line, name, length) == 0 &&
           (size == length || line[length] == ':');
}

/* Reads an "id: NUMBER" or a data line; any other line is ignored. */
static void
read_line(const char *line, size_t size, struct MpEventBlock *block)
{
    if (has_name(line, size, "data")) {
        block->has_data = true;
        return;
    }
    if (!has_name(line, size, "id") || size < strlen("id:")) {
        return;
    }
    line += strlen("id:");
    size -= strlen("id:");
    if (size > 0 && line[0] == ' ') {
        line++;
        size--;
    }
    if (!MpRequestMeta_ParseNumber(line, size, &block->id)) {
        block->id = -1;
    }
}

bool
MpEventSplit_Next(const char *data, size_t size, struct MpEventBlock *block)
{
    size_t offset = 0;
    *block = (struct MpEventBlock){.id = -1};
    while (offset < size) {
        const char *end = memchr(data + offset, '\n', size - offset);
        if (!end) {
            return false;
        }
        size_t line = (size_t)(end - data) - offset;
        size_t next = offset + line + 1;
        if (line > 0 && data[offset + line - 1] == '\r') {
            line--;
        }
        if (line == 0) {
            block->size = next;
            return true;
        }
        read_line(data + offset, line, block);
        offset = next;
    }
    return false;
}

bool
MpEventSplit_MayEnd(const char *data, size_t size, size_t seen)
{
    const char *end = data + size;
    const char *at = data + MIN(seen, size);
    /* A block ends with an empty line, whose line feed is new. */
    while (at < end && (at = memchr(at, '\n', (size_t)(end - at)))) {
        const char *before = at;
        if (before > data && before[-1] == '\r') {
            before--;
        }
        if (before == data || before[-1] == '\n') {
            return true;
        }
        at++;
    }
    return false;
}

int
MpEventSplit_MarkSize(const char *data, size_t size)
{
    size_t length = strlen(BYTE_ORDER_MARK);
    size_t known = MIN(size, length);
    if (known == 0) {
        return -1;
    }
    if (memcmp(data, BYTE_ORDER_MARK, known) != 0) {
        return 0;
    }
    return known == length ? (int)length : -1;
}
