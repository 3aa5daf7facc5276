#include "protocol/Sse.h"

#include "protocol/Chat.h"
#include "protocol/EventSplit.h"
#include "state/Error.h"

#include <json.h>
#include <string.h>

#define DATA_PREFIX "data:"
#define DONE_TEXT "[DONE]"

void
MpSse_Init(struct MpSse *this)
{
    *this = (struct MpSse){.buffer = g_byte_array_new()};
}

void
MpSse_Done(struct MpSse *this)
{
    g_byte_array_unref(this->buffer);
}

static void
discard_consumed(struct MpSse *this)
{
    if (this->consumed > 0) {
        g_byte_array_remove_range(this->buffer, 0, (guint)this->consumed);
        this->consumed = 0;
    }
}

int
MpSse_Feed(struct MpSse *this, const void *data, size_t size)
{
    discard_consumed(this);
    if (this->is_too_long) {
        return MP_ERROR_TOO_LARGE;
    }
    g_byte_array_append(this->buffer, data, (guint)size);
    return MP_OK;
}

static void
classify_json(struct MpSseEvent *event, const char *text, size_t size)
{
    struct json_tokener *tokener = json_tokener_new();
    struct json_object *root = json_tokener_parse_ex(tokener, text, (int)size);
    struct json_object *value;
    if (json_object_is_type(root, json_type_object)) {
        if (json_object_object_get_ex(root, "error", &value)) {
            event->kind = MP_SSE_ERROR;
        }
        else if (MpChat_ReadUsage(root, &event->prompt_tokens,
                                  &event->output_tokens)) {
            event->kind = MP_SSE_USAGE;
        }
        else if (json_object_object_get_ex(root, "choices", &value) &&
                 json_object_is_type(value, json_type_array) &&
                 json_object_array_length(value) > 0) {
            event->kind = MP_SSE_TOKEN;
        }
    }
    json_object_put(root);
    json_tokener_free(tokener);
}

/* Classifies an event by its first data line. */
static void
classify(struct MpSseEvent *event)
{
    size_t prefix = strlen(DATA_PREFIX);
    const char *line = event->text;
    const char *end = event->text + event->size;
    event->kind = MP_SSE_OTHER;
    while (line < end && ((size_t)(end - line) < prefix ||
                          memcmp(line, DATA_PREFIX, prefix) != 0)) {
        line = (const char *)memchr(line, '\n', (size_t)(end - line)) + 1;
    }
    if (line >= end) {
        return;
    }
    const char *text = line + prefix;
    size_t size =
        (size_t)((const char *)memchr(text, '\n', (size_t)(end - text)) -
                 text);
    if (size > 0 && text[0] == ' ') {
        text++;
        size--;
    }
    if (size >= strlen(DONE_TEXT) &&
        memcmp(text, DONE_TEXT, strlen(DONE_TEXT)) == 0) {
        event->kind = MP_SSE_DONE;
        return;
    }
    classify_json(event, text, size);
}

/* Discards a byte order mark at the start of the stream.  Returns false if
 * more data is needed to tell whether there is one. */
static bool
skip_mark(struct MpSse *this)
{
    if (this->is_begun) {
        return true;
    }
    int size = MpEventSplit_MarkSize((const char *)this->buffer->data,
                                     this->buffer->len);
    if (size < 0) {
        return false;
    }
    this->is_begun = true;
    this->consumed = (size_t)size;
    return true;
}

bool
MpSse_Next(struct MpSse *this, struct MpSseEvent *event)
{
    struct MpEventBlock block;
    if (this->is_too_long || !skip_mark(this)) {
        return false;
    }
    const char *text = (const char *)this->buffer->data + this->consumed;
    size_t size = this->buffer->len - this->consumed;
    bool is_complete = MpEventSplit_MayEnd(text, size, this->scanned) &&
                       MpEventSplit_Next(text, size, &block);
    this->scanned = is_complete ? 0 : size;
    if (is_complete ? block.size > MP_SSE_EVENT_MAX
                    : size >= MP_SSE_EVENT_MAX) {
        this->is_too_long = true;
        *event = (struct MpSseEvent){.kind = MP_SSE_ERROR};
        return true;
    }
    if (!is_complete) {
        return false;
    }
    *event = (struct MpSseEvent){.text = text, .size = block.size};
    this->consumed += event->size;
    classify(event);
    return true;
}
