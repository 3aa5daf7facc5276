#include "state/Json.h"

#include "state/TextHash.h"

#include <stdarg.h>
#include <stdbool.h>
#include <string.h>

/* ---- findings ---- */

static const char *const kind_names[] = {
    [MP_FINDING_SYNTAX] = "syntax",
    [MP_FINDING_DUPLICATE] = "duplicate_key",
    [MP_FINDING_UNKNOWN] = "unknown_key",
    [MP_FINDING_RETIRED] = "retired_key",
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

void
MpFindings_DropRetired(GPtrArray *this)
{
    for (guint i = this->len; i > 0; i--) {
        const struct MpFinding *finding = g_ptr_array_index(this, i - 1);
        if (finding->kind == MP_FINDING_RETIRED) {
            g_ptr_array_remove_index(this, i - 1);
        }
    }
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

/* Duplicate keys that are reported of one text. */
#define DUPLICATES_MAX 100

/* ---- removal of comments ---- */

/* A text and the current position in it. */
struct reader {
    char *text;
    size_t size;
    size_t position;
    /* Where line_at has counted to. */
    size_t line_position;
    int line;
    guint findings_max; /* the scan ends when there are so many */
};

static void
skip_string(struct reader *reader)
{
    for (reader->position++; reader->position < reader->size;
         reader->position++) {
        char c = reader->text[reader->position];
        if (c == '\\') {
            reader->position++;
        }
        else if (c == '"') {
            reader->position++;
            return;
        }
    }
}

static void
blank_out(struct reader *reader, size_t count)
{
    for (size_t i = 0; i < count && reader->position < reader->size; i++) {
        if (reader->text[reader->position] != '\n') {
            reader->text[reader->position] = ' ';
        }
        reader->position++;
    }
}

static bool
is_at(const struct reader *reader, const char *mark)
{
    size_t length = strlen(mark);
    return reader->size - reader->position >= length &&
           memcmp(reader->text + reader->position, mark, length) == 0;
}

/* Returns the size of the comment at the position, 0 if there is none.  One
 * that is not closed goes on to the end. */
static size_t
comment_size(const struct reader *reader)
{
    const char *start = reader->text + reader->position;
    size_t left = reader->size - reader->position;
    if (is_at(reader, "//")) {
        const char *end = memchr(start, '\n', left);
        return end ? (size_t)(end - start) : left;
    }
    if (is_at(reader, "/*")) {
        const char *end = memmem(start + 2, left - 2, "*/", 2);
        return end ? (size_t)(end - start) + 2 : left;
    }
    return 0;
}

void
MpJson_BlankComments(char *text, size_t size)
{
    struct reader reader = {.text = text, .size = size};
    while (reader.position < size) {
        size_t blanks = comment_size(&reader);
        if (text[reader.position] == '"') {
            skip_string(&reader);
        }
        else if (blanks > 0) {
            blank_out(&reader, blanks);
        }
        else {
            reader.position++;
        }
    }
}

/* Returns the line of a position that is not before that of the last call. */
static int
line_at(struct reader *reader, size_t position)
{
    for (; reader->line_position < position; reader->line_position++) {
        reader->line += reader->text[reader->line_position] == '\n';
    }
    return reader->line + 1;
}

/* ---- duplicate keys ---- */

static void
skip_separators(struct reader *reader)
{
    while (reader->position < reader->size &&
           strchr(" \t\r\n,:", reader->text[reader->position])) {
        reader->position++;
    }
}

/* Reads a string and returns it without quotes and escapes. */
static char *
read_key(struct reader *reader)
{
    size_t start = reader->position;
    skip_string(reader);
    size_t size = reader->position - start;
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

/* Scans one member of an object.  Reports its key if it is in seen, the keys
 * of the object so far.  Extends path for the scan and restores it. */
static void
scan_member(struct reader *reader, GString *path, GPtrArray *findings,
            GHashTable *seen)
{
    size_t start = reader->position;
    gsize length = path->len;
    char *key = read_key(reader);
    if (length > 0) {
        g_string_append_c(path, '.');
    }
    g_string_append(path, key);
    if (!g_hash_table_add(seen, key)) {
        MpFindings_Add(findings, MP_FINDING_DUPLICATE, line_at(reader, start),
                       path->str, "the key stands twice in one object");
        if (findings->len >= reader->findings_max) {
            reader->position = reader->size;
        }
    }
    skip_separators(reader);
    scan_value(reader, path, findings);
    g_string_truncate(path, length);
}

static void
scan_object(struct reader *reader, GString *path, GPtrArray *findings)
{
    GHashTable *seen =
        g_hash_table_new_full(MpTextHash_OfString, g_str_equal, g_free, NULL);
    reader->position++;
    skip_separators(reader);
    while (reader->position < reader->size &&
           reader->text[reader->position] == '"') {
        scan_member(reader, path, findings, seen);
        skip_separators(reader);
    }
    reader->position++;
    g_hash_table_unref(seen);
}

static void
scan_array(struct reader *reader, GString *path, GPtrArray *findings)
{
    gsize length = path->len;
    reader->position++;
    skip_separators(reader);
    for (int i = 0; reader->position < reader->size &&
                    reader->text[reader->position] != ']';
         i++) {
        g_string_append_printf(path, "[%d]", i);
        scan_value(reader, path, findings);
        g_string_truncate(path, length);
        skip_separators(reader);
    }
    reader->position++;
}

/* Scans a value for duplicate keys.  The text must be valid JSON. */
static void
scan_value(struct reader *reader, GString *path, GPtrArray *findings)
{
    if (reader->position >= reader->size) {
        return;
    }
    switch (reader->text[reader->position]) {
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
        while (reader->position < reader->size &&
               !strchr(" \t\r\n,]}", reader->text[reader->position])) {
            reader->position++;
        }
    }
}

/* ---- parsing ---- */

static struct json_object *
parse_strict(struct reader *reader, GPtrArray *findings)
{
    struct json_tokener *tokener = json_tokener_new_ex(MP_JSON_DEPTH_MAX);
    json_tokener_set_flags(tokener,
                           JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
    /* The final NUL byte is passed too: without it the parser does not know
     * that a number at the end of the text is complete. */
    struct json_object *value =
        json_tokener_parse_ex(tokener, reader->text, (int)reader->size + 1);
    enum json_tokener_error error = json_tokener_get_error(tokener);
    size_t end = json_tokener_get_parse_end(tokener);
    if (error != json_tokener_success) {
        const char *reason = error == json_tokener_continue
                                 ? "the text ends too early"
                                 : json_tokener_error_desc(error);
        MpFindings_Add(findings, MP_FINDING_SYNTAX,
                       line_at(reader, MIN(end, reader->size)), "", "%s",
                       reason);
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
    if (size > INT32_MAX - 1 || (size > 0 && memchr(text, 0, size))) {
        MpFindings_Add(findings, MP_FINDING_SYNTAX, 0, "",
                       "the text is too long or holds a NUL byte");
        return NULL;
    }
    /* An empty text may have no address. */
    struct reader reader = {.text = g_strndup(size > 0 ? text : "", size),
                            .size = size};
    MpJson_BlankComments(reader.text, size);
    struct json_object *value = parse_strict(&reader, findings);
    if (!value && findings->len == before) {
        MpFindings_Add(findings, MP_FINDING_SYNTAX, 1, "",
                       "the text holds no value");
    }
    if (value) {
        GString *path = g_string_new(NULL);
        skip_separators(&reader);
        reader.findings_max = before + DUPLICATES_MAX;
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
