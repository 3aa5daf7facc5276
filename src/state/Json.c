#include "state/Json.h"

#include <stdarg.h>
#include <stdbool.h>
#include <string.h>

/* ---- findings ---- */

static const char *const kind_names[] = {
    [MP_FINDING_SYNTAX] = "syntax",
    [MP_FINDING_DUPLICATE] = "duplicate_key",
    [MP_FINDING_UNKNOWN] = "unknown_key",
    [MP_FINDING_MISSING] = "missing_key",
    [MP_FINDING_TYPE] = "wrong_type",
    [MP_FINDING_RANGE] = "out_of_range",
    [MP_FINDING_VALUE] = "bad_value",
    [MP_FINDING_REFERENCE] = "unknown_reference",
};

static void
finding_delete(void *data)
{
    struct MpFinding *this = data;
    g_free(this->path);
    g_free(this->text);
    g_free(this);
}

GPtrArray *
MpFindings_New(void)
{
    return g_ptr_array_new_with_free_func(finding_delete);
}

void
MpFindings_Add(GPtrArray *this, enum MpFindingKind kind, int line,
               const char *path, const char *format, ...)
{
    va_list args;
    struct MpFinding *finding = g_new0(struct MpFinding, 1);
    finding->kind = kind;
    finding->line = line;
    finding->path = g_strdup(path);
    va_start(args, format);
    finding->text = g_strdup_vprintf(format, args);
    va_end(args);
    g_ptr_array_add(this, finding);
}

const char *
MpFinding_KindName(enum MpFindingKind kind)
{
    return kind_names[kind];
}

char *
MpFindings_Format(const GPtrArray *this, const char *source)
{
    GString *out = g_string_new(NULL);
    for (guint i = 0; i < this->len; i++) {
        const struct MpFinding *finding = g_ptr_array_index(this, i);
        g_string_append_printf(out, "%s:", source);
        if (finding->line > 0) {
            g_string_append_printf(out, "%d:", finding->line);
        }
        g_string_append_printf(out, " %s: %s: %s\n",
                               finding->path[0] ? finding->path : "(file)",
                               kind_names[finding->kind], finding->text);
    }
    return g_string_free(out, FALSE);
}

/* ---- comments ---- */

/* Position in a text that is read once from start to end. */
struct reader {
    char *text;
    size_t size;
    size_t at;
};

static void
skip_string(struct reader *reader)
{
    for (reader->at++; reader->at < reader->size; reader->at++) {
        char c = reader->text[reader->at];
        if (c == '\\') {
            reader->at++;
        }
        else if (c == '"') {
            reader->at++;
            return;
        }
    }
}

static void
blank(struct reader *reader, size_t count)
{
    for (size_t i = 0; i < count && reader->at < reader->size; i++) {
        if (reader->text[reader->at] != '\n') {
            reader->text[reader->at] = ' ';
        }
        reader->at++;
    }
}

static bool
is_at(const struct reader *reader, const char *mark)
{
    size_t length = strlen(mark);
    return reader->size - reader->at >= length &&
           memcmp(reader->text + reader->at, mark, length) == 0;
}

/* Replaces comments by blanks, so that places in the text stay. */
static void
blank_comments(struct reader *reader)
{
    while (reader->at < reader->size) {
        if (reader->text[reader->at] == '"') {
            skip_string(reader);
        }
        else if (is_at(reader, "//")) {
            while (reader->at < reader->size && !is_at(reader, "\n")) {
                blank(reader, 1);
            }
        }
        else if (is_at(reader, "/*")) {
            blank(reader, 2);
            while (reader->at < reader->size && !is_at(reader, "*/")) {
                blank(reader, 1);
            }
            blank(reader, 2);
        }
        else {
            reader->at++;
        }
    }
}

static int
line_of(const char *text, size_t at)
{
    int line = 1;
    for (size_t i = 0; i < at; i++) {
        line += text[i] == '\n';
    }
    return line;
}

/* ---- duplicate keys ---- */

static void
skip_blanks(struct reader *reader)
{
    while (reader->at < reader->size &&
           strchr(" \t\r\n,:", reader->text[reader->at])) {
        reader->at++;
    }
}

/* Returns the string at the reader without quotes and escapes. */
static char *
read_key(struct reader *reader)
{
    size_t start = reader->at;
    skip_string(reader);
    size_t size = reader->at - start;
    if (!memchr(reader->text + start, '\\', size)) {
        return g_strndup(reader->text + start + 1, size - 2);
    }
    char *quoted = g_strndup(reader->text + start, size);
    struct json_object *value = json_tokener_parse(quoted);
    char *key = g_strdup(value ? json_object_get_string(value) : quoted);
    json_object_put(value);
    g_free(quoted);
    return key;
}

static void scan_value(struct reader *reader, GString *path,
                       GPtrArray *findings);

/* Scans the value of key; path is longer meanwhile. */
static void
scan_member(struct reader *reader, GString *path, GPtrArray *findings,
            GHashTable *seen)
{
    size_t start = reader->at;
    gsize length = path->len;
    char *key = read_key(reader);
    if (length > 0) {
        g_string_append_c(path, '.');
    }
    g_string_append(path, key);
    if (!g_hash_table_add(seen, key)) {
        MpFindings_Add(findings, MP_FINDING_DUPLICATE,
                       line_of(reader->text, start), path->str,
                       "the key stands twice in one object");
    }
    skip_blanks(reader);
    scan_value(reader, path, findings);
    g_string_truncate(path, length);
}

static void
scan_object(struct reader *reader, GString *path, GPtrArray *findings)
{
    GHashTable *seen =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    reader->at++;
    skip_blanks(reader);
    while (reader->at < reader->size && reader->text[reader->at] == '"') {
        scan_member(reader, path, findings, seen);
        skip_blanks(reader);
    }
    reader->at++;
    g_hash_table_unref(seen);
}

static void
scan_array(struct reader *reader, GString *path, GPtrArray *findings)
{
    gsize length = path->len;
    reader->at++;
    skip_blanks(reader);
    for (int i = 0;
         reader->at < reader->size && reader->text[reader->at] != ']'; i++) {
        g_string_append_printf(path, "[%d]", i);
        scan_value(reader, path, findings);
        g_string_truncate(path, length);
        skip_blanks(reader);
    }
    reader->at++;
}

/* The text has passed the parser: its syntax is sound. */
static void
scan_value(struct reader *reader, GString *path, GPtrArray *findings)
{
    if (reader->at >= reader->size) {
        return;
    }
    switch (reader->text[reader->at]) {
    case '{':
        scan_object(reader, path, findings);
        return;
    case '[':
        scan_array(reader, path, findings);
        return;
    case '"':
        skip_string(reader);
        return;
    default:
        while (reader->at < reader->size &&
               !strchr(" \t\r\n,]}", reader->text[reader->at])) {
            reader->at++;
        }
    }
}

/* ---- parsing ---- */

static struct json_object *
parse_strict(const char *text, size_t size, GPtrArray *findings)
{
    struct json_tokener *tokener = json_tokener_new_ex(MP_JSON_DEPTH_MAX);
    json_tokener_set_flags(tokener,
                           JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
    /* The closing NUL tells the parser that a number at the end is whole. */
    struct json_object *value =
        json_tokener_parse_ex(tokener, text, (int)size + 1);
    enum json_tokener_error error = json_tokener_get_error(tokener);
    size_t end = json_tokener_get_parse_end(tokener);
    if (error != json_tokener_success) {
        const char *reason = error == json_tokener_continue
                                 ? "the text ends too early"
                                 : json_tokener_error_desc(error);
        MpFindings_Add(findings, MP_FINDING_SYNTAX,
                       line_of(text, MIN(end, size)), "", "%s", reason);
        json_object_put(value);
        value = NULL;
    }
    json_tokener_free(tokener);
    return value;
}

struct json_object *
MpJson_Parse(const char *text, size_t size, GPtrArray *findings)
{
    guint before = findings->len;
    if (size > INT32_MAX - 1 || memchr(text, 0, size)) {
        MpFindings_Add(findings, MP_FINDING_SYNTAX, 0, "",
                       "the text is too long or holds a NUL byte");
        return NULL;
    }
    struct reader reader = {.text = g_strndup(text, size), .size = size};
    blank_comments(&reader);
    struct json_object *value =
        parse_strict(reader.text, reader.size, findings);
    if (!value && findings->len == before) {
        MpFindings_Add(findings, MP_FINDING_SYNTAX, 1, "",
                       "the text holds no value");
    }
    if (value) {
        reader.at = 0;
        GString *path = g_string_new(NULL);
        skip_blanks(&reader);
        scan_value(&reader, path, findings);
        g_string_free(path, TRUE);
    }
    g_free(reader.text);
    return value;
}

int64_t
MpJson_GetInteger(struct json_object *object, const char *name)
{
    struct json_object *value;
    return json_object_object_get_ex(object, name, &value)
               ? json_object_get_int64(value)
               : 0;
}
