#include "state/Schema.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define NAME_LENGTH_MAX 64
#define HASH_DIGITS 64
#define PORT_MAX 65535

/* ---- checks of text ---- */

bool
MpSchema_IsName(const char *text)
{
    size_t length = strlen(text);
    return length > 0 && length <= NAME_LENGTH_MAX &&
           strspn(text, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                        "0123456789._-") == length;
}

static bool
is_hash(const char *text)
{
    return strlen(text) == HASH_DIGITS &&
           strspn(text, "0123456789abcdef") == HASH_DIGITS;
}

/* An IPv4 number and a port, as in 127.0.0.1:8080. */
static bool
is_address(const char *text)
{
    struct in_addr address;
    const char *colon = strrchr(text, ':');
    if (!colon || colon - text > INET_ADDRSTRLEN) {
        return false;
    }
    char *host = g_strndup(text, (gsize)(colon - text));
    bool is_host = inet_pton(AF_INET, host, &address) == 1;
    g_free(host);
    char *end;
    long port = strtol(colon + 1, &end, 10);
    return is_host && end != colon + 1 && *end == '\0' && port >= 0 &&
           port <= PORT_MAX;
}

/* ---- decoding of one field ---- */

/* What decoding one field needs to know. */
struct site {
    const struct MpField *field;
    struct json_object *value;
    const char *path;
    void *target;
    GPtrArray *findings;
};

static void
wrong_type(const struct site *site, const char *wanted)
{
    MpFindings_Add(site->findings, MP_FINDING_TYPE, 0, site->path,
                   "must be %s", wanted);
}

static void *
place(const struct site *site)
{
    return (char *)site->target + site->field->offset;
}

static void
decode_integer(const struct site *site)
{
    const struct MpField *field = site->field;
    if (!json_object_is_type(site->value, json_type_int)) {
        wrong_type(site, "a whole number");
        return;
    }
    int64_t number = json_object_get_int64(site->value);
    if (number < field->min || number > field->max) {
        MpFindings_Add(site->findings, MP_FINDING_RANGE, 0, site->path,
                       "must be from %" PRId64 " to %" PRId64 "%s%s",
                       field->min, field->max, field->unit ? " " : "",
                       field->unit ? field->unit : "");
        return;
    }
    *(int64_t *)place(site) = number;
}

/* A decimal number, kept in thousandths. */
static void
decode_milli(const struct site *site)
{
    const struct MpField *field = site->field;
    if (!json_object_is_type(site->value, json_type_double) &&
        !json_object_is_type(site->value, json_type_int)) {
        wrong_type(site, "a number");
        return;
    }
    double number = json_object_get_double(site->value) * 1000;
    if (!(number >= (double)field->min && number <= (double)field->max)) {
        MpFindings_Add(site->findings, MP_FINDING_RANGE, 0, site->path,
                       "must be %g to %g%s%s", (double)field->min / 1000,
                       (double)field->max / 1000, field->unit ? " " : "",
                       field->unit ? field->unit : "");
        return;
    }
    *(int64_t *)place(site) = (int64_t)(number + 0.5);
}

static void
decode_boolean(const struct site *site)
{
    if (!json_object_is_type(site->value, json_type_boolean)) {
        wrong_type(site, "true or false");
        return;
    }
    *(bool *)place(site) = json_object_get_boolean(site->value);
}

static void
decode_choice(const struct site *site)
{
    const char *text = json_object_get_string(site->value);
    GString *known = g_string_new(NULL);
    for (int i = 0; site->field->choices[i]; i++) {
        if (json_object_is_type(site->value, json_type_string) &&
            strcmp(site->field->choices[i], text) == 0) {
            *(int32_t *)place(site) = i;
            g_string_free(known, TRUE);
            return;
        }
        g_string_append_printf(known, "%s\"%s\"", i ? ", " : "",
                               site->field->choices[i]);
    }
    MpFindings_Add(site->findings, MP_FINDING_VALUE, 0, site->path,
                   "must be one of %s", known->str);
    g_string_free(known, TRUE);
}

/* Returns what is wrong with text, or NULL. */
static const char *
text_fault(enum MpFieldType type, const char *text)
{
    switch (type) {
    case MP_FIELD_NAME:
    case MP_FIELD_NAMES:
        return MpSchema_IsName(text)
                   ? NULL
                   : "must be 1 to 64 letters, digits, '.', '-' or '_'";
    case MP_FIELD_ADDRESS:
        return is_address(text)
                   ? NULL
                   : "must be an IP number and a port, as 127.0.0.1:8080";
    case MP_FIELD_HASH:
    case MP_FIELD_HASHES:
        return is_hash(text) ? NULL
                             : "must be 64 lower-case hexadecimal digits";
    default:
        return NULL;
    }
}

static void
decode_string(const struct site *site)
{
    if (!json_object_is_type(site->value, json_type_string)) {
        wrong_type(site, "a string");
        return;
    }
    const char *text = json_object_get_string(site->value);
    const char *fault = text_fault(site->field->type, text);
    int64_t length = json_object_get_string_len(site->value);
    if (fault || strlen(text) != (size_t)length) {
        MpFindings_Add(site->findings, MP_FINDING_VALUE, 0, site->path, "%s",
                       fault ? fault : "must not hold a NUL character");
        return;
    }
    if (site->field->type == MP_FIELD_STRING &&
        (length < site->field->min || length > site->field->max)) {
        MpFindings_Add(site->findings, MP_FINDING_RANGE, 0, site->path,
                       "must have %" PRId64 " to %" PRId64 " characters",
                       site->field->min, site->field->max);
        return;
    }
    *(char **)place(site) = g_strdup(text);
}

static bool
is_count_allowed(const struct site *site, size_t count)
{
    if ((int64_t)count < site->field->min ||
        (int64_t)count > site->field->max) {
        MpFindings_Add(site->findings, MP_FINDING_RANGE, 0, site->path,
                       "must have %" PRId64 " to %" PRId64 " entries",
                       site->field->min, site->field->max);
        return false;
    }
    return true;
}

static void
decode_names(const struct site *site)
{
    GPtrArray *list = *(GPtrArray **)place(site);
    if (!json_object_is_type(site->value, json_type_array)) {
        wrong_type(site, "a list of strings");
        return;
    }
    size_t count = json_object_array_length(site->value);
    if (!is_count_allowed(site, count)) {
        return;
    }
    for (size_t i = 0; i < count; i++) {
        struct json_object *item = json_object_array_get_idx(site->value, i);
        const char *text = json_object_get_string(item);
        const char *fault = json_object_is_type(item, json_type_string)
                                ? text_fault(site->field->type, text)
                                : "must be a string";
        if (fault) {
            MpFindings_Add(site->findings, MP_FINDING_VALUE, 0, site->path,
                           "entry %zu %s", i, fault);
            continue;
        }
        if (g_ptr_array_find_with_equal_func(list, text, g_str_equal, NULL)) {
            MpFindings_Add(site->findings, MP_FINDING_DUPLICATE, 0, site->path,
                           "entry \"%s\" stands twice", text);
        }
        g_ptr_array_add(list, g_strdup(text));
    }
}

static void
decode_list(const struct site *site)
{
    GPtrArray *list = *(GPtrArray **)place(site);
    const struct MpSchema *schema = site->field->schema;
    if (!json_object_is_type(site->value, json_type_array)) {
        wrong_type(site, "a list of objects");
        return;
    }
    size_t count = json_object_array_length(site->value);
    if (!is_count_allowed(site, count)) {
        return;
    }
    for (size_t i = 0; i < count; i++) {
        char *path = g_strdup_printf("%s[%zu]", site->path, i);
        void *item = g_malloc0(schema->size);
        g_ptr_array_add(list, item);
        MpSchema_Decode(schema, json_object_array_get_idx(site->value, i),
                        path, item, site->findings);
        g_free(path);
    }
}

static void
decode_map(const struct site *site)
{
    GHashTable *map = *(GHashTable **)place(site);
    const struct MpSchema *schema = site->field->schema;
    if (!json_object_is_type(site->value, json_type_object)) {
        wrong_type(site, "an object");
        return;
    }
    if (!is_count_allowed(site,
                          (size_t)json_object_object_length(site->value))) {
        return;
    }
    json_object_object_foreach(site->value, key, child)
    {
        char *path = g_strdup_printf("%s.%s", site->path, key);
        if (!MpSchema_IsName(key)) {
            MpFindings_Add(site->findings, MP_FINDING_VALUE, 0, path, "%s",
                           text_fault(MP_FIELD_NAME, key));
        }
        void *item = g_malloc0(schema->size);
        MpSchema_Decode(schema, child, path, item, site->findings);
        g_hash_table_insert(map, g_strdup(key), item);
        g_free(path);
    }
}

static void
decode_field(const struct site *site)
{
    switch (site->field->type) {
    case MP_FIELD_INTEGER:
        decode_integer(site);
        break;
    case MP_FIELD_MILLI:
        decode_milli(site);
        break;
    case MP_FIELD_BOOLEAN:
        decode_boolean(site);
        break;
    case MP_FIELD_CHOICE:
        decode_choice(site);
        break;
    case MP_FIELD_NAMES:
    case MP_FIELD_HASHES:
        decode_names(site);
        break;
    case MP_FIELD_OBJECT:
        MpSchema_Decode(site->field->schema, site->value, site->path,
                        place(site), site->findings);
        break;
    case MP_FIELD_LIST:
        decode_list(site);
        break;
    case MP_FIELD_MAP:
        decode_map(site);
        break;
    default:
        decode_string(site);
        break;
    }
}

/* ---- objects ---- */

static void
set_standard(const struct MpField *field, void *target)
{
    void *at = (char *)target + field->offset;
    switch (field->type) {
    case MP_FIELD_INTEGER:
    case MP_FIELD_MILLI:
        *(int64_t *)at = field->default_value;
        break;
    case MP_FIELD_BOOLEAN:
        *(bool *)at = field->default_value != 0;
        break;
    case MP_FIELD_CHOICE:
        *(int32_t *)at = (int32_t)field->default_value;
        break;
    case MP_FIELD_NAMES:
    case MP_FIELD_HASHES:
        *(GPtrArray **)at = g_ptr_array_new_with_free_func(g_free);
        break;
    case MP_FIELD_LIST:
        *(GPtrArray **)at = g_ptr_array_new();
        break;
    case MP_FIELD_MAP:
        *(GHashTable **)at =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        break;
    case MP_FIELD_OBJECT:
        MpSchema_Decode(field->schema, NULL, NULL, at, NULL);
        break;
    default:
        *(char **)at = NULL;
        break;
    }
}

static const struct MpField *
find_field(const struct MpSchema *this, const char *name)
{
    for (const struct MpField *field = this->fields; field->name; field++) {
        if (strcmp(field->name, name) == 0) {
            return field;
        }
    }
    return NULL;
}

static char *
join_path(const char *path, const char *name)
{
    return path[0] ? g_strdup_printf("%s.%s", path, name) : g_strdup(name);
}

static void
find_unknown(const struct MpSchema *this, struct json_object *value,
             const char *path, GPtrArray *findings)
{
    json_object_object_foreach(value, key, child)
    {
        (void)child;
        if (!find_field(this, key)) {
            char *inner = join_path(path, key);
            MpFindings_Add(findings, MP_FINDING_UNKNOWN, 0, inner,
                           "%s has no such key", this->name);
            g_free(inner);
        }
    }
}

void
MpSchema_Decode(const struct MpSchema *this, struct json_object *value,
                const char *path, void *target, GPtrArray *findings)
{
    for (const struct MpField *field = this->fields; field->name; field++) {
        set_standard(field, target);
    }
    if (!findings) {
        return;
    }
    if (!json_object_is_type(value, json_type_object)) {
        MpFindings_Add(findings, MP_FINDING_TYPE, 0, path,
                       "must be an object");
        return;
    }
    find_unknown(this, value, path, findings);
    for (const struct MpField *field = this->fields; field->name; field++) {
        struct json_object *child;
        bool is_there = json_object_object_get_ex(value, field->name, &child);
        if (!is_there && !field->is_required) {
            continue;
        }
        char *inner = join_path(path, field->name);
        if (is_there) {
            struct site site = {.field = field,
                                .value = child,
                                .path = inner,
                                .target = target,
                                .findings = findings};
            decode_field(&site);
        }
        else {
            MpFindings_Add(findings, MP_FINDING_MISSING, 0, inner,
                           "the key is required");
        }
        g_free(inner);
    }
}

/* ---- release ---- */

static void
free_list(const struct MpField *field, GPtrArray *list)
{
    for (guint i = 0; list && i < list->len; i++) {
        void *item = g_ptr_array_index(list, i);
        MpSchema_Free(field->schema, item);
        g_free(item);
    }
    if (list) {
        g_ptr_array_unref(list);
    }
}

static void
free_map(const struct MpField *field, GHashTable *map)
{
    GHashTableIter iter;
    void *item;
    if (!map) {
        return;
    }
    g_hash_table_iter_init(&iter, map);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        MpSchema_Free(field->schema, item);
        g_free(item);
    }
    g_hash_table_unref(map);
}

void
MpSchema_Free(const struct MpSchema *this, void *target)
{
    for (const struct MpField *field = this->fields; field->name; field++) {
        void *at = (char *)target + field->offset;
        switch (field->type) {
        case MP_FIELD_INTEGER:
        case MP_FIELD_MILLI:
        case MP_FIELD_BOOLEAN:
        case MP_FIELD_CHOICE:
            break;
        case MP_FIELD_NAMES:
        case MP_FIELD_HASHES:
            g_clear_pointer((GPtrArray **)at, g_ptr_array_unref);
            break;
        case MP_FIELD_LIST:
            free_list(field, *(GPtrArray **)at);
            break;
        case MP_FIELD_MAP:
            free_map(field, *(GHashTable **)at);
            break;
        case MP_FIELD_OBJECT:
            MpSchema_Free(field->schema, at);
            break;
        default:
            g_clear_pointer((char **)at, g_free);
            break;
        }
    }
}

/* ---- description ---- */

static const char *const type_names[] = {
    [MP_FIELD_INTEGER] = "integer",     [MP_FIELD_MILLI] = "decimal",
    [MP_FIELD_BOOLEAN] = "boolean",     [MP_FIELD_STRING] = "string",
    [MP_FIELD_NAME] = "name",           [MP_FIELD_ADDRESS] = "address",
    [MP_FIELD_HASH] = "SHA-256",        [MP_FIELD_CHOICE] = "choice",
    [MP_FIELD_NAMES] = "list of names", [MP_FIELD_HASHES] = "list of SHA-256",
    [MP_FIELD_OBJECT] = "object",       [MP_FIELD_LIST] = "list of objects",
    [MP_FIELD_MAP] = "objects by name",
};

static void
describe_range(const struct MpField *field, GString *out)
{
    switch (field->type) {
    case MP_FIELD_CHOICE:
        for (int i = 0; field->choices[i]; i++) {
            g_string_append_printf(out, "%s`%s`", i ? ", " : "",
                                   field->choices[i]);
        }
        break;
    case MP_FIELD_MILLI:
        g_string_append_printf(out, "%g to %g%s%s", (double)field->min / 1000,
                               (double)field->max / 1000,
                               field->unit ? " " : "",
                               field->unit ? field->unit : "");
        break;
    case MP_FIELD_INTEGER:
    case MP_FIELD_STRING:
    case MP_FIELD_NAMES:
    case MP_FIELD_HASHES:
    case MP_FIELD_LIST:
    case MP_FIELD_MAP:
        g_string_append_printf(out, "%" PRId64 " to %" PRId64 "%s%s",
                               field->min, field->max, field->unit ? " " : "",
                               field->unit ? field->unit : "");
        break;
    default:
        break;
    }
}

static void
describe_standard(const struct MpField *field, GString *out)
{
    if (field->is_required) {
        g_string_append(out, "required");
    }
    else if (field->type == MP_FIELD_INTEGER) {
        g_string_append_printf(out, "%" PRId64, field->default_value);
    }
    else if (field->type == MP_FIELD_MILLI) {
        g_string_append_printf(out, "%g", (double)field->default_value / 1000);
    }
    else if (field->type == MP_FIELD_BOOLEAN) {
        g_string_append(out, field->default_value ? "true" : "false");
    }
    else if (field->type == MP_FIELD_CHOICE) {
        g_string_append_printf(out, "`%s`",
                               field->choices[field->default_value]);
    }
    else {
        g_string_append(out, "none");
    }
}

void
MpSchema_Describe(const struct MpSchema *this, GString *out)
{
    g_string_append_printf(out, "\n### %s\n\n", this->name);
    g_string_append(out, "| key | type | range | default | meaning |\n"
                         "| --- | --- | --- | --- | --- |\n");
    for (const struct MpField *field = this->fields; field->name; field++) {
        g_string_append_printf(out, "| `%s` | %s", field->name,
                               type_names[field->type]);
        if (field->schema) {
            g_string_append_printf(out, ": %s", field->schema->name);
        }
        g_string_append(out, " | ");
        describe_range(field, out);
        g_string_append(out, " | ");
        describe_standard(field, out);
        g_string_append_printf(out, " | %s |\n", field->description);
    }
    for (const struct MpField *field = this->fields; field->name; field++) {
        if (field->schema) {
            MpSchema_Describe(field->schema, out);
        }
    }
}
