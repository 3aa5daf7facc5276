#include "protocol/ResponseReader.h"

#include "state/Fault.h"

#include <string.h>

/* RFC 9110, 15: others are invalid. */
#define STATUS_DIGITS 3
#define STATUS_MIN 100
#define STATUS_MAX 599

/* Offsets and sizes of a header in the text of the head. */
struct header_span {
    guint name;
    guint name_size;
    guint value;
    guint value_size;
};

const char *
MpTargetHead_Find(const struct MpTargetHead *this, const char *name,
                  size_t *size)
{
    size_t length = strlen(name);
    for (size_t i = 0; i < this->count; i++) {
        const struct MpTargetHeader *header = &this->headers[i];
        if (header->name_size == length &&
            g_ascii_strncasecmp(header->name, name, length) == 0) {
            *size = header->value_size;
            return header->value;
        }
    }
    return NULL;
}

/* ---- callbacks of the parser ---- */

static struct header_span *
last_span(struct MpResponseReader *this)
{
    return &g_array_index(this->spans, struct header_span,
                          this->spans->len - 1);
}

static int
on_status(http_parser *parser, const char *data, size_t size)
{
    struct MpResponseReader *this = parser->data;
    g_string_append_len(this->text, data, (gssize)size);
    this->reason_size = this->text->len;
    return this->text->len > MP_RESPONSE_HEAD_MAX_BYTES;
}

static int
on_header_field(http_parser *parser, const char *data, size_t size)
{
    struct MpResponseReader *this = parser->data;
    if (this->is_last_value || this->spans->len == 0) {
        struct header_span span = {.name = (guint)this->text->len};
        g_array_append_val(this->spans, span);
        this->is_last_value = false;
    }
    g_string_append_len(this->text, data, (gssize)size);
    last_span(this)->name_size += (guint)size;
    return this->text->len > MP_RESPONSE_HEAD_MAX_BYTES ||
           this->spans->len > MP_RESPONSE_HEADERS_MAX;
}

static int
on_header_value(http_parser *parser, const char *data, size_t size)
{
    struct MpResponseReader *this = parser->data;
    if (!this->is_last_value) {
        this->is_last_value = true;
        last_span(this)->value = (guint)this->text->len;
    }
    g_string_append_len(this->text, data, (gssize)size);
    last_span(this)->value_size += (guint)size;
    return this->text->len > MP_RESPONSE_HEAD_MAX_BYTES;
}

/* Returns whether text has the beginning of a status line within it, with
 * version and code. */
static bool
has_status_line(const char *text, size_t size)
{
    static const char version[] = "HTTP/1.";
    const size_t length = sizeof(version) - 1;
    for (size_t i = 0; i + length + 5 <= size; i++) {
        const char *rest = text + i + length;
        if (memcmp(text + i, version, length) == 0 &&
            g_ascii_isdigit(rest[0]) && rest[1] == ' ' &&
            g_ascii_isdigit(rest[2]) && g_ascii_isdigit(rest[3]) &&
            g_ascii_isdigit(rest[4])) {
            return true;
        }
    }
    return false;
}

/* Returns whether the head consists of two: one that was torn off within its
 * reason or a value, and the next one, which the parser takes for the rest of
 * it. */
static bool
is_joined(const struct MpResponseReader *this, const struct MpTargetHead *head)
{
    if (has_status_line(this->text->str, this->reason_size)) {
        return true;
    }
    for (size_t i = 0; i < head->count; i++) {
        if (has_status_line(head->headers[i].value,
                            head->headers[i].value_size)) {
            return true;
        }
    }
    return false;
}

static bool
equals(const char *text, size_t size, const char *word)
{
    return size == strlen(word) && g_ascii_strncasecmp(text, word, size) == 0;
}

/* Returns whether a header is one that may be passed on.  The parser takes a
 * blank for a character of a name, and decodes chunks only. */
static bool
is_sound(const struct MpTargetHeader *header)
{
    if (header->name_size == 0 ||
        memchr(header->name, ' ', header->name_size)) {
        return false;
    }
    return !equals(header->name, header->name_size, "transfer-encoding") ||
           equals(header->value, header->value_size, "chunked") ||
           equals(header->value, header->value_size, "identity");
}

/* Returns whether the head is that of one response, which can be passed on. */
static bool
is_readable(const struct MpResponseReader *this,
            const struct MpTargetHead *head)
{
    if (this->status_digits != STATUS_DIGITS || head->status < STATUS_MIN ||
        head->status > STATUS_MAX || is_joined(this, head)) {
        return false;
    }
    for (size_t i = 0; i < head->count; i++) {
        if (!is_sound(&head->headers[i])) {
            return false;
        }
    }
    return true;
}

/* Reads the id headers of a response.  Returns whether there are any that are
 * not empty; *is_own is whether they all have the id of the request. */
static bool
read_ids(const struct MpResponseReader *this, const struct MpTargetHead *head,
         bool *is_own)
{
    bool has_id = false;
    size_t length = strlen(this->id_header);
    *is_own = true;
    for (size_t i = 0; i < head->count; i++) {
        const struct MpTargetHeader *header = &head->headers[i];
        if (header->name_size != length || header->value_size == 0 ||
            g_ascii_strncasecmp(header->name, this->id_header, length) != 0) {
            continue;
        }
        has_id = true;
        bool is_equal =
            header->value_size == strlen(this->id) &&
            memcmp(header->value, this->id, header->value_size) == 0;
        *is_own = MP_FAULT(MP_FAULT_ONE_OWN_ID_SUFFICES) ? is_equal
                                                         : *is_own && is_equal;
    }
    return has_id;
}

/* Decides whether the response answers the request; *reason is why not. */
static enum MpAttribution
attribute(const struct MpResponseReader *this, const struct MpTargetHead *head,
          enum MpStrayReason *reason)
{
    bool is_own;
    if (this->id_header && this->id && read_ids(this, head, &is_own)) {
        *reason = MP_STRAY_OTHER_ID;
        return is_own ? MP_ATTRIBUTION_ID : MP_ATTRIBUTION_NONE;
    }
    *reason = MP_STRAY_NO_ID;
    bool is_first =
        (this->is_new_conn || MP_FAULT(MP_FAULT_ANSWER_BY_ORDER)) &&
        (!this->has_stray || MP_FAULT(MP_FAULT_FIRST_AFTER_STRAY));
    return is_first ? MP_ATTRIBUTION_FIRST : MP_ATTRIBUTION_NONE;
}

/* Counts bytes of stray responses.  Returns true when there are too many. */
static bool
count_stray(struct MpResponseReader *this, size_t size)
{
    this->stray_bytes += size;
    return this->stray_bytes > MP_TARGET_STRAY_MAX_BYTES;
}

/* Decides whose response begins with this head.  Returns false if there was
 * too much stray data. */
static bool
handle_head(struct MpResponseReader *this, const struct MpTargetHead *head)
{
    bool is_interim = head->status >= 100 && head->status < 200;
    enum MpStrayReason reason = MP_STRAY_UNREQUESTED;
    if (!is_interim) {
        this->attribution = attribute(this, head, &reason);
    }
    this->is_stray = this->attribution == MP_ATTRIBUTION_NONE;
    if (!this->is_stray) {
        this->klass->head(this->owner, head);
        return true;
    }
    if (!is_interim) {
        this->has_stray = true;
        this->klass->stray(this->owner, reason, head);
    }
    return !count_stray(this, this->text->len + 1);
}

/* Returns the size of a text without the blanks at its end. */
static size_t
trim_end(const char *text, size_t size)
{
    while (size > 0 && (text[size - 1] == ' ' || text[size - 1] == '\t')) {
        size--;
    }
    return size;
}

static struct MpTargetHeader *
make_headers(const struct MpResponseReader *this)
{
    guint count = this->spans->len;
    struct MpTargetHeader *headers = g_new(struct MpTargetHeader, count + 1);
    for (guint i = 0; i < count; i++) {
        const struct header_span *span =
            &g_array_index(this->spans, struct header_span, i);
        const char *name = this->text->str + span->name;
        const char *value = this->text->str + span->value;
        headers[i] = (struct MpTargetHeader){
            .name = name,
            .name_size = trim_end(name, span->name_size),
            .value = value,
            .value_size = trim_end(value, span->value_size)};
    }
    return headers;
}

static int
on_headers_complete(http_parser *parser)
{
    struct MpResponseReader *this = parser->data;
    struct MpTargetHeader *headers = make_headers(this);
    bool has_size = (parser->flags & F_CONTENTLENGTH) != 0;
    struct MpTargetHead head = {
        .status = (int)parser->status_code,
        .size = has_size ? (int64_t)parser->content_length : -1,
        .headers = headers,
        .count = this->spans->len};
    bool is_valid = is_readable(this, &head) && handle_head(this, &head);
    g_free(headers);
    if (!is_valid) {
        return -1;
    }
    /* A target that announces a body with status 204 may send it. */
    if (head.status == 204 &&
        (head.size > 0 || (parser->flags & F_CHUNKED) != 0)) {
        this->is_closing = true;
    }
    /* The parser would wait for a body if such a head has a length. */
    bool has_no_body = this->is_head_request || head.status < 200 ||
                       head.status == 204 || head.status == 304;
    return has_no_body ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *data, size_t size)
{
    struct MpResponseReader *this = parser->data;
    if (this->is_stray && !MP_FAULT(MP_FAULT_STRAY_BODY_SHOWN)) {
        return count_stray(this, size);
    }
    this->klass->body(this->owner, data, size);
    return 0;
}

static int
on_message_complete(http_parser *parser)
{
    struct MpResponseReader *this = parser->data;
    this->is_complete = true;
    if (!http_should_keep_alive(parser)) {
        this->is_closing = true;
    }
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_status = on_status,
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

/* ---- interface ---- */

void
MpResponseReader_Init(struct MpResponseReader *this,
                      const struct MpResponseReaderClass *klass, void *owner)
{
    *this = (struct MpResponseReader){
        .klass = klass,
        .owner = owner,
        .text = g_string_new(NULL),
        .spans = g_array_new(false, false, sizeof(struct header_span))};
}

void
MpResponseReader_Done(struct MpResponseReader *this)
{
    g_string_free(this->text, TRUE);
    g_array_unref(this->spans);
    g_free(this->id_header);
    g_free(this->id);
}

/* Counts the digits of the status code, which the parser takes for a number of
 * any length: 0200 for 200. */
static void
scan_status(struct MpResponseReader *this, const char *data, size_t size)
{
    for (size_t i = 0; i < size && !this->has_status; i++) {
        if (!this->has_version) {
            this->has_version = data[i] == ' ';
        }
        else if (g_ascii_isdigit(data[i])) {
            this->status_digits = MIN(this->status_digits + 1, UINT8_MAX);
        }
        else {
            this->has_status = data[i] != ' ' || this->status_digits > 0;
        }
    }
}

static void
start_response(struct MpResponseReader *this)
{
    http_parser_init(&this->parser, HTTP_RESPONSE);
    this->parser.data = this;
    g_string_truncate(this->text, 0);
    this->reason_size = 0;
    this->has_version = false;
    this->has_status = false;
    this->status_digits = 0;
    g_array_set_size(this->spans, 0);
    this->is_last_value = false;
    this->is_stray = false;
    this->is_complete = false;
}

void
MpResponseReader_Start(struct MpResponseReader *this,
                       const struct MpExpectedResponse *expected)
{
    g_free(this->id_header);
    g_free(this->id);
    this->id_header = g_strdup(expected->id_header);
    /* Equal to no id that a response may have. */
    const char *no_id = expected->id_header ? "" : NULL;
    this->id = g_strdup(expected->id ? expected->id : no_id);
    this->is_head_request = expected->is_head;
    this->is_new_conn = expected->is_new_conn;
    this->attribution = MP_ATTRIBUTION_NONE;
    this->stray_bytes = 0;
    this->has_stray = false;
    this->is_closing = false;
    start_response(this);
}

enum MpReadResult
MpResponseReader_Read(struct MpResponseReader *this, const char *data,
                      size_t size, bool is_end, size_t *used)
{
    *used = 0;
    if (is_end) {
        this->is_closing = true;
    }
    while (*used < size || is_end) {
        /* Without data the parser is told the end of the connection. */
        size_t left = size - *used;
        scan_status(this, data + *used, left);
        size_t step = http_parser_execute(&this->parser, &parser_settings,
                                          left > 0 ? data + *used : "", left);
        enum http_errno error = HTTP_PARSER_ERRNO(&this->parser);
        if (error != HPE_OK && error != HPE_PAUSED) {
            return MP_READ_INVALID;
        }
        *used += MIN(step, left);
        if (this->is_complete && !this->is_stray) {
            if (MP_FAULT(MP_FAULT_REST_IGNORED)) {
                *used = size;
            }
            return left > 0 || MP_FAULT(MP_FAULT_END_IS_COMPLETE)
                       ? MP_READ_COMPLETE
                       : MP_READ_CLOSED;
        }
        if (left == 0) {
            return MP_READ_INVALID;
        }
        if (this->is_complete) {
            start_response(this);
        }
        else if (*used < size) {
            return MP_READ_INVALID;
        }
    }
    return MP_READ_MORE;
}

bool
MpResponseReader_MayKeep(const struct MpResponseReader *this)
{
    bool has_own_id = this->attribution == MP_ATTRIBUTION_ID ||
                      MP_FAULT(MP_FAULT_KEPT_WITHOUT_ID);
    return has_own_id && !this->has_stray && !this->is_closing &&
           !this->is_head_request;
}

enum MpAttribution
MpResponseReader_Attribution(const struct MpResponseReader *this)
{
    return this->attribution;
}

const char *
MpAttribution_Name(enum MpAttribution attribution)
{
    static const char *const names[] = {[MP_ATTRIBUTION_NONE] = "none",
                                        [MP_ATTRIBUTION_ID] = "id",
                                        [MP_ATTRIBUTION_FIRST] = "first"};
    return names[attribution];
}

const char *
MpStrayReason_Name(enum MpStrayReason reason)
{
    static const char *const names[] = {[MP_STRAY_OTHER_ID] = "other-id",
                                        [MP_STRAY_NO_ID] = "no-id",
                                        [MP_STRAY_UNREQUESTED] =
                                            "unrequested"};
    return names[reason];
}
