#include "state/JsonScan.h"

#include "state/Json.h"

#include <glib.h>
#include <string.h>

static bool
is_space(char c)
{
    return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}

size_t
MpJsonScan_SkipSpace(const struct MpJsonScan *this, size_t at)
{
    while (at < this->size && is_space(this->text[at])) {
        at++;
    }
    return at;
}

bool
MpJsonScan_IsAt(const struct MpJsonScan *this, size_t at, char c)
{
    return at < this->size && this->text[at] == c;
}

bool
MpJsonScan_String(const struct MpJsonScan *this, size_t at, size_t *end)
{
    for (at++; at < this->size; at++) {
        if (this->text[at] == '\\') {
            at++;
        }
        else if (this->text[at] == '"') {
            *end = at + 1;
            return true;
        }
    }
    return false;
}

/* ---- values of any depth ---- */

static bool
skip_string(const struct MpJsonScan *this, size_t *at)
{
    if (!MpJsonScan_String(this, *at, at)) {
        return false;
    }
    size_t next = MpJsonScan_SkipSpace(this, *at);
    return next < this->size && this->text[next] != '\0' &&
           strchr(",:]}", this->text[next]);
}

/* Goes over one byte outside of strings; closers are those of the brackets
 * that are open. */
static bool
skip_byte(GByteArray *closers, char c)
{
    if (c == '{' || c == '[') {
        guint8 closer = c == '{' ? '}' : ']';
        g_byte_array_append(closers, &closer, 1);
    }
    else if (c == '}' || c == ']') {
        if (closers->data[closers->len - 1] != (guint8)c) {
            return false;
        }
        g_byte_array_set_size(closers, closers->len - 1);
    }
    return true;
}

bool
MpJsonScan_Element(const struct MpJsonScan *this, size_t at, char closer,
                   size_t *end)
{
    GByteArray *closers = g_byte_array_new();
    bool is_found = false;
    bool is_sound = true;
    while (is_sound && !is_found && at < this->size) {
        char c = this->text[at];
        if (c == '"') {
            is_sound = skip_string(this, &at);
        }
        else if (closers->len == 0 && (c == ',' || c == '}' || c == ']')) {
            is_found = c == ',' || c == closer;
            is_sound = is_found;
        }
        else {
            is_sound = skip_byte(closers, c);
            at++;
        }
    }
    g_byte_array_unref(closers);
    *end = at;
    return is_found;
}

/* ---- values in the form of JSON ---- */

enum expected {
    EXPECTED_VALUE,
    EXPECTED_FIRST_VALUE, /* or the end of the list */
    EXPECTED_KEY,
    EXPECTED_FIRST_KEY, /* or the end of the object */
    EXPECTED_SEPARATOR,
    EXPECTED_NOTHING, /* the value is complete */
    EXPECTED_OTHER    /* the text has not the form of JSON */
};

/* A position in a value, and what may stand there. */
struct cursor {
    struct MpJsonScan text; /* up to the largest size of the value */
    size_t at;
    enum expected expected;
    uint32_t depth;
    bool is_object[MP_JSON_DEPTH_MAX]; /* by level */
    struct MpJsonVisitor *visitor;     /* or NULL */
};

static bool
read_string(struct cursor *this)
{
    size_t start = this->at;
    if (!MpJsonScan_IsAt(&this->text, start, '"') ||
        !MpJsonScan_String(&this->text, start, &this->at)) {
        return false;
    }
    for (size_t i = start; i < this->at; i++) {
        if ((unsigned char)this->text.text[i] < ' ') {
            return false;
        }
    }
    return true;
}

static enum expected
after_value(const struct cursor *this)
{
    return this->depth == 0 ? EXPECTED_NOTHING : EXPECTED_SEPARATOR;
}

static enum expected
read_opening(struct cursor *this, bool is_object)
{
    if (this->depth == MP_JSON_DEPTH_MAX) {
        return EXPECTED_OTHER;
    }
    this->is_object[this->depth++] = is_object;
    this->at++;
    if (this->visitor && !this->visitor->klass->open(this->visitor)) {
        return EXPECTED_OTHER;
    }
    return is_object ? EXPECTED_FIRST_KEY : EXPECTED_FIRST_VALUE;
}

static enum expected
read_closing(struct cursor *this)
{
    this->depth--;
    this->at++;
    return this->visitor && !this->visitor->klass->close(this->visitor)
               ? EXPECTED_OTHER
               : after_value(this);
}

/* Ends a string, a number or a name that began at a position. */
static enum expected
end_scalar(struct cursor *this, size_t start)
{
    return this->visitor && !this->visitor->klass->scalar(this->visitor, start,
                                                          this->at)
               ? EXPECTED_OTHER
               : after_value(this);
}

static enum expected
read_value(struct cursor *this)
{
    const char *text = this->text.text;
    if (MpJsonScan_IsAt(&this->text, this->at, '{') ||
        MpJsonScan_IsAt(&this->text, this->at, '[')) {
        return read_opening(this, text[this->at] == '{');
    }
    size_t start = this->at;
    if (MpJsonScan_IsAt(&this->text, this->at, '"')) {
        return read_string(this) ? end_scalar(this, start) : EXPECTED_OTHER;
    }
    while (this->at < this->text.size &&
           (g_ascii_isalnum(text[this->at]) || text[this->at] == '+' ||
            text[this->at] == '-' || text[this->at] == '.')) {
        this->at++;
    }
    return this->at > start ? end_scalar(this, start) : EXPECTED_OTHER;
}

static enum expected
read_key(struct cursor *this)
{
    size_t start = this->at;
    if (!read_string(this) ||
        (this->visitor &&
         !this->visitor->klass->key(this->visitor, start, this->at))) {
        return EXPECTED_OTHER;
    }
    this->at = MpJsonScan_SkipSpace(&this->text, this->at);
    if (!MpJsonScan_IsAt(&this->text, this->at, ':')) {
        return EXPECTED_OTHER;
    }
    this->at++;
    return EXPECTED_VALUE;
}

static enum expected
read_separator(struct cursor *this)
{
    bool is_object = this->is_object[this->depth - 1];
    if (MpJsonScan_IsAt(&this->text, this->at, is_object ? '}' : ']')) {
        return read_closing(this);
    }
    if (!MpJsonScan_IsAt(&this->text, this->at, ',')) {
        return EXPECTED_OTHER;
    }
    this->at++;
    return is_object ? EXPECTED_KEY : EXPECTED_VALUE;
}

static enum expected
read_next(struct cursor *this)
{
    switch (this->expected) {
    case EXPECTED_FIRST_KEY:
        return MpJsonScan_IsAt(&this->text, this->at, '}') ? read_closing(this)
                                                           : read_key(this);
    case EXPECTED_KEY:
        return read_key(this);
    case EXPECTED_FIRST_VALUE:
        return MpJsonScan_IsAt(&this->text, this->at, ']') ? read_closing(this)
                                                           : read_value(this);
    case EXPECTED_VALUE:
        return read_value(this);
    case EXPECTED_SEPARATOR:
        return read_separator(this);
    default:
        return EXPECTED_OTHER;
    }
}

bool
MpJsonScan_Visit(const struct MpJsonScan *this, size_t at, size_t bytes_max,
                 struct MpJsonVisitor *visitor, size_t *end)
{
    struct cursor cursor = {
        .text = {.text = this->text,
                 .size = MIN(this->size - MIN(at, this->size), bytes_max) +
                         MIN(at, this->size)},
        .at = at,
        .expected = EXPECTED_VALUE,
        .visitor = visitor,
    };
    while (cursor.expected != EXPECTED_NOTHING &&
           cursor.expected != EXPECTED_OTHER) {
        cursor.at = MpJsonScan_SkipSpace(&cursor.text, cursor.at);
        cursor.expected = read_next(&cursor);
    }
    *end = cursor.at;
    return cursor.expected == EXPECTED_NOTHING;
}

bool
MpJsonScan_Value(const struct MpJsonScan *this, size_t at, size_t bytes_max,
                 size_t *end)
{
    return MpJsonScan_Visit(this, at, bytes_max, NULL, end);
}

/* ---- parts of valid JSON ---- */

bool
MpJsonScan_NextMember(const struct MpJsonScan *this, size_t *at,
                      struct MpJsonMember *member)
{
    size_t end;
    member->key = MpJsonScan_SkipSpace(this, *at);
    if (!MpJsonScan_IsAt(this, member->key, '"') ||
        !MpJsonScan_String(this, member->key, &end)) {
        return false;
    }
    end = MpJsonScan_SkipSpace(this, end);
    member->value = MpJsonScan_SkipSpace(this, end + 1);
    if (!MpJsonScan_Element(this, member->value, '}', &member->value_end)) {
        return false;
    }
    member->end =
        member->value_end + MpJsonScan_IsAt(this, member->value_end, ',');
    *at = member->end;
    return true;
}

bool
MpJsonScan_NextElement(const struct MpJsonScan *this, size_t *at,
                       size_t *start, size_t *end)
{
    *start = MpJsonScan_SkipSpace(this, *at);
    if (MpJsonScan_IsAt(this, *start, ']') ||
        !MpJsonScan_Element(this, *start, ']', end)) {
        return false;
    }
    *at = *end + MpJsonScan_IsAt(this, *end, ',');
    return true;
}
