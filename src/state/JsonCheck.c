#include "state/JsonCheck.h"

#include "state/Json.h"
#include "state/TextHash.h"

#include <string.h>

/* ---- keys ---- */

/* Reads a scalar from its first byte to at most the end of the text, in which
 * a byte follows it. */
static struct json_object *
read_scalar(const char *text, size_t size)
{
    struct json_tokener *tokener = json_tokener_new_ex(1);
    struct json_object *value =
        json_tokener_parse_ex(tokener, text, (int)size);
    json_tokener_free(tokener);
    return value;
}

/* Returns the size of a valid string with its quotes. */
static size_t
string_size(const char *quote)
{
    size_t size = 1;
    while (quote[size] != '"') {
        size += quote[size] == '\\' ? 2 : 1;
    }
    return size + 1;
}

/* A key without quotes and escapes. */
struct key {
    struct json_object *value; /* holds the text, or NULL */
    const char *text;
    size_t size;
};

static struct key
read_key(const char *quote)
{
    size_t size = string_size(quote);
    struct key key = {.text = quote + 1, .size = size - 2};
    if (memchr(key.text, '\\', key.size)) {
        key.value = read_scalar(quote, size);
        key.text = json_object_get_string(key.value);
        key.size = (size_t)json_object_get_string_len(key.value);
    }
    return key;
}

static bool
is_equal(const struct key *key, const char *text, size_t size)
{
    return key->size == size && memcmp(key->text, text, size) == 0;
}

/* Keys of a table are the addresses of their quotes. */
static guint
hash_key(gconstpointer quote)
{
    struct key key = read_key(quote);
    guint hash = MpTextHash_Of(key.text, key.size);
    json_object_put(key.value);
    return hash;
}

static gboolean
are_keys_equal(gconstpointer a, gconstpointer b)
{
    struct key key = read_key(a);
    struct key other = read_key(b);
    bool is_same = is_equal(&key, other.text, other.size);
    json_object_put(key.value);
    json_object_put(other.value);
    return is_same;
}

bool
MpJsonCheck_IsKey(const struct MpJsonScan *scan, size_t at, const char *name)
{
    struct key key = read_key(scan->text + at);
    bool is_same = is_equal(&key, name, strlen(name));
    json_object_put(key.value);
    return is_same;
}

struct json_object *
MpJsonCheck_ReadScalar(const struct MpJsonScan *scan, size_t at)
{
    char c = scan->text[at];
    return c == '{' || c == '['
               ? NULL
               : read_scalar(scan->text + at, scan->size - at);
}

/* ---- scalars ---- */

/* Returns the number of bytes of text that are in set. */
static size_t
span_of(const char *text, size_t size, const char *set)
{
    size_t count = 0;
    while (count < size && text[count] && strchr(set, text[count])) {
        count++;
    }
    return count;
}

#define DIGITS "0123456789"

static bool
is_number(const char *text, size_t size)
{
    const char *end = text + size;
    text += size > 0 && text[0] == '-';
    size_t digits = span_of(text, (size_t)(end - text), DIGITS);
    if (digits == 0 || (text[0] == '0' && digits > 1)) {
        return false;
    }
    text += digits;
    if (text < end && text[0] == '.') {
        text++;
        digits = span_of(text, (size_t)(end - text), DIGITS);
        text += digits;
    }
    if (digits > 0 && text < end && (text[0] == 'e' || text[0] == 'E')) {
        text++;
        text += text < end && (text[0] == '+' || text[0] == '-');
        digits = span_of(text, (size_t)(end - text), DIGITS);
        text += digits;
    }
    return digits > 0 && text == end;
}

static bool
is_name(const char *text, size_t size)
{
    static const char *const names[] = {"true", "false", "null"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (size == strlen(names[i]) && memcmp(text, names[i], size) == 0) {
            return true;
        }
    }
    return false;
}

/* Control characters are checked by the scan. */
static bool
has_valid_escapes(const char *text, size_t size)
{
    const char *end = text + size;
    while ((text = memchr(text, '\\', (size_t)(end - text)))) {
        if (text[1] == 'u') {
            if (span_of(text + 2, (size_t)(end - text) - 2,
                        DIGITS "abcdefABCDEF") < 4) {
                return false;
            }
        }
        else if (!strchr("\"\\/bfnrt", text[1])) {
            return false;
        }
        text += 2;
    }
    return true;
}

/* ---- the check ---- */

struct check {
    struct MpJsonVisitor super;
    const char *text;
    uint32_t depth;
    GHashTable *keys[MP_JSON_DEPTH_MAX]; /* by level; NULL: no key so far */
};

static bool
on_open(struct MpJsonVisitor *super)
{
    struct check *this = (struct check *)super;
    this->keys[this->depth++] = NULL;
    return true;
}

static bool
on_close(struct MpJsonVisitor *super)
{
    struct check *this = (struct check *)super;
    g_clear_pointer(&this->keys[--this->depth], g_hash_table_unref);
    return true;
}

static bool
on_key(struct MpJsonVisitor *super, size_t start, size_t end)
{
    struct check *this = (struct check *)super;
    GHashTable **keys = &this->keys[this->depth - 1];
    if (!has_valid_escapes(this->text + start, end - start)) {
        return false;
    }
    if (!*keys) {
        *keys = g_hash_table_new(hash_key, are_keys_equal);
    }
    return g_hash_table_add(*keys, (char *)this->text + start);
}

static bool
on_scalar(struct MpJsonVisitor *super, size_t start, size_t end)
{
    const char *text = ((struct check *)super)->text + start;
    size_t size = end - start;
    return text[0] == '"' ? has_valid_escapes(text, size)
                          : is_number(text, size) || is_name(text, size);
}

static const struct MpJsonVisitorClass check_class = {
    .open = on_open, .key = on_key, .scalar = on_scalar, .close = on_close};

bool
MpJsonCheck_IsValid(const struct MpJsonScan *scan)
{
    size_t start = MpJsonScan_SkipSpace(scan, 0);
    size_t end;
    struct check check = {.super = {.klass = &check_class},
                          .text = scan->text};
    bool is_valid =
        scan->size <= INT32_MAX &&
        g_utf8_validate_len(scan->text, scan->size, NULL) &&
        MpJsonScan_Visit(scan, start, scan->size, &check.super, &end) &&
        MpJsonScan_SkipSpace(scan, end) == scan->size;
    for (uint32_t i = 0; i < check.depth; i++) {
        g_clear_pointer(&check.keys[i], g_hash_table_unref);
    }
    return is_valid;
}
