#include "state/Schema.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define NAME_LENGTH_MAX 64
#define HASH_DIGITS 64
#define PORT_MAX 65535

/* ---- string checks ---- */

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

/* Returns whether text is an IPv4 address and a port, e.g. 127.0.0.1:8080. */
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

/* ---- decoding of fields ---- */

/* Input and output of decoding one field. */
struct context {
    const struct MpField *field;
    struct json_object *value;
    const char *path; /* of the field in the input */
    void *target;     /* struct that the field is stored in */
    GPtrArray *findings;
};

static void
add_type_finding(const struct context *context, const char *expected)
{
    MpFindings_Add(context->findings, MP_FINDING_TYPE, 0, context->path,
                   "must be %s", expected);
}

static void *
field_address(const struct context *context)
{
    return (char *)context->target + context->field->offset;
}

static void
decode_integer(const struct context *context)
{
    const struct MpField *field = context->field;
    if (!json_object_is_type(context->value, json_type_int)) {
        add_type_finding(context, "a whole number");
        return;
    }
    int64_t number = json_object_get_int64(context->value);
    if (number < field->min || number > field->max) {
        MpFindings_Add(context->findings, MP_FINDING_RANGE, 0, context->path,
                       "must be from %" PRId64 " to %" PRId64 "%s%s",
                       field->min, field->max, field->unit ? " " : "",
                       field->unit ? field->unit : "");
        return;
    }
    *(int64_t *)field_address(context) = number;
}

/* Decodes a decimal number, which is stored in thousandths. */
static void
decode_milli(const struct context *context)
{
    const struct MpField *field = context->field;
    if (!json_object_is_type(context->value, json_type_double) &&
        !json_object_is_type(context->value, json_type_int)) {
        add_type_finding(context, "a number");
        return;
    }
    double number = json_object_get_double(context->value) * 1000;
    if (!(number >= (double)field->min && number <= (double)field->max)) {
        MpFindings_Add(context->findings, MP_FINDING_RANGE, 0, context->path,
                       "must be %g to %g%s%s", (double)field->min / 1000,
                       (double)field->max / 1000, field->unit ? " " : "",
                       field->unit ? field->unit : "");
        return;
    }
    *(int64_t *)field_address(context) = (int64_t)(number + 0.5);
}

static void
decode_boolean(const struct context *context)
{
    if (!json_object_is_type(context->value, json_type_boolean)) {
        add_type_finding(context, "true or false");
        return;
    }
    *(bool *)field_address(context) = json_object_get_boolean(context->value);
}

static void
decode_choice(const struct context *context)
{
    const char *text = json_object_get_string(context->value);
    GString *allowed = g_string_new(NULL);
    for (int i = 0; context->field->choices[i]; i++) {
        if (json_object_is_type(context->value, json_type_string) &&
            strcmp(context->field->choices[i], text) == 0) {
            *(int32_t *)field_address(context) = i;
            g_string_free(allowed, TRUE);
            return;
        }
        g_string_append_printf(allowed, "%s\"%s\"", i ? ", " : "",
                               context->field->choices[i]);
    }
    MpFindings_Add(context->findings, MP_FINDING_VALUE, 0, context->path,
                   "must be one of %s", allowed->str);
    g_string_free(allowed, TRUE);
}

/* Returns an error message when text is not valid for type, else NULL. */
static const char *
find_text_error(enum MpFieldType type, const char *text)
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
decode_string(const struct context *context)
{
    if (!json_object_is_type(context->value, json_type_string)) {
        add_type_finding(context, "a string");
        return;
    }
    const char *text = json_object_get_string(context->value);
    const char *problem = find_text_error(context->field->type, text);
    int64_t length = json_object_get_string_len(context->value);
    if (problem || strlen(text) != (size_t)length) {
        MpFindings_Add(context->findings, MP_FINDING_VALUE, 0, context->path,
                       "%s",
                       problem ? problem : "must not hold a NUL character");
        return;
    }
    if (context->field->type == MP_FIELD_STRING &&
        (length < context->field->min || length > context->field->max)) {
        MpFindings_Add(context->findings, MP_FINDING_RANGE, 0, context->path,
                       "must have %" PRId64 " to %" PRId64 " characters",
                       context->field->min, context->field->max);
        return;
    }
    *(char **)field_address(context) = g_strdup(text);
}

static bool
check_count(const struct context *context, size_t count)
{
    if ((int64_t)count < context->field->min ||
        (int64_t)count > context->field->max) {
        MpFindings_Add(context->findings, MP_FINDING_RANGE, 0, context->path,
                       "must have %" PRId64 " to %" PRId64 " entries",
                       context->field->min, context->field->max);
        return false;
    }
    return true;
}

static void
decode_names(const struct context *context)
{
    GPtrArray *list = *(GPtrArray **)field_address(context);
    if (!json_object_is_type(context->value, json_type_array)) {
        add_type_finding(context, "a list of strings");
        return;
    }
    size_t count = json_object_array_length(context->value);
    if (!check_count(context, count)) {
        return;
    }
    for (size_t i = 0; i < count; i++) {
        struct json_object *item =
            json_object_array_get_idx(context->value, i);
        const char *text = json_object_get_string(item);
        const char *problem = json_object_is_type(item, json_type_string)
                                  ? find_text_error(context->field->type, text)
                                  : "must be a string";
        if (problem) {
            MpFindings_Add(context->findings, MP_FINDING_VALUE, 0,
                           context->path, "entry %zu %s", i, problem);
            continue;
        }
        if (g_ptr_array_find_with_equal_func(list, text, g_str_equal, NULL)) {
            MpFindings_Add(context->findings, MP_FINDING_DUPLICATE, 0,
                           context->path, "entry \"%s\" stands twice", text);
        }
        g_ptr_array_add(list, g_strdup(text));
    }
}

static void
decode_list(const struct context *context)
{
    GPtrArray *list = *(GPtrArray **)field_address(context);
    const struct MpSchema *schema = context->field->schema;
    if (!json_object_is_type(context->value, json_type_array)) {
        add_type_finding(context, "a list of objects");
        return;
    }
    size_t count = json_object_array_length(context->value);
    if (!check_count(context, count)) {
        return;
    }
    for (size_t i = 0; i < count; i++) {
        char *path = g_strdup_printf("%s[%zu]", context->path, i);
        void *item = g_malloc0(schema->size);
        g_ptr_array_add(list, item);
        MpSchema_Decode(schema, json_object_array_get_idx(context->value, i),
                        path, item, context->findings);
        g_free(path);
    }
}

static void
decode_map(const struct context *context)
{
    GHashTable *map = *(GHashTable **)field_address(context);
    const struct MpSchema *schema = context->field->schema;
    if (!json_object_is_type(context->value, json_type_object)) {
        add_type_finding(context, "an object");
        return;
    }
    if (!check_count(context,
                     (size_t)json_object_object_length(context->value))) {
        return;
    }
    json_object_object_foreach(context->value, key, child)
    {
        char *path = g_strdup_printf("%s.%s", context->path, key);
        if (!MpSchema_IsName(key)) {
            MpFindings_Add(context->findings, MP_FINDING_VALUE, 0, path, "%s",
                           find_text_error(MP_FIELD_NAME, key));
        }
        void *item = g_malloc0(schema->size);
        MpSchema_Decode(schema, child, path, item, context->findings);
        g_hash_table_insert(map, g_strdup(key), item);
        g_free(path);
    }
}

static void
decode_table(const struct context *context)
{
    GHashTable *table = *(GHashTable **)field_address(context);
    if (!json_object_is_type(context->value, json_type_object)) {
        add_type_finding(context, "an object");
        return;
    }
    if (!check_count(context,
                     (size_t)json_object_object_length(context->value))) {
        return;
    }
    json_object_object_foreach(context->value, key, child)
    {
        const char *text = json_object_is_type(child, json_type_string)
                               ? json_object_get_string(child)
                               : "";
        if (!key[0] || !text[0]) {
            MpFindings_Add(context->findings, MP_FINDING_VALUE, 0,
                           context->path, "entry \"%s\" must be a string",
                           key);
            continue;
        }
        g_hash_table_replace(table, g_strdup(key), g_strdup(text));
    }
}

static void
decode_field(const struct context *context)
{
    switch (context->field->type) {
    case MP_FIELD_INTEGER:
        decode_integer(context);
        break;
    case MP_FIELD_MILLI:
        decode_milli(context);
        break;
    case MP_FIELD_BOOLEAN:
        decode_boolean(context);
        break;
    case MP_FIELD_CHOICE:
        decode_choice(context);
        break;
    case MP_FIELD_NAMES:
    case MP_FIELD_HASHES:
        decode_names(context);
        break;
    case MP_FIELD_OBJECT:
        MpSchema_Decode(context->field->schema, context->value, context->path,
                        field_address(context), context->findings);
        break;
    case MP_FIELD_LIST:
        decode_list(context);
        break;
    case MP_FIELD_MAP:
        decode_map(context);
        break;
    case MP_FIELD_TABLE:
        decode_table(context);
        break;
    default:
        decode_string(context);
        break;
    }
}

/* ---- objects ---- */

static void
set_default(const struct MpField *field, void *target)
{
    void *member = (char *)target + field->offset;
    switch (field->type) {
    case MP_FIELD_INTEGER:
    case MP_FIELD_MILLI:
        *(int64_t *)member = field->default_value;
        break;
    case MP_FIELD_BOOLEAN:
        *(bool *)member = field->default_value != 0;
        break;
    case MP_FIELD_CHOICE:
        *(int32_t *)member = (int32_t)field->default_value;
        break;
    case MP_FIELD_NAMES:
    case MP_FIELD_HASHES:
        *(GPtrArray **)member = g_ptr_array_new_with_free_func(g_free);
        break;
    case MP_FIELD_LIST:
        *(GPtrArray **)member = g_ptr_array_new();
        break;
    case MP_FIELD_MAP:
        *(GHashTable **)member =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        break;
    case MP_FIELD_TABLE:
        *(GHashTable **)member =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        break;
    case MP_FIELD_OBJECT:
        MpSchema_Decode(field->schema, NULL, NULL, member, NULL);
        break;
    default:
        *(char **)member = NULL;
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
report_unknown_keys(const struct MpSchema *this, struct json_object *value,
                    const char *path, GPtrArray *findings)
{
    json_object_object_foreach(value, key, child)
    {
        (void)child;
        if (find_field(this, key)) {
            continue;
        }
        char *field_path = join_path(path, key);
        if (this->retired && g_strv_contains(this->retired, key)) {
            MpFindings_Add(findings, MP_FINDING_RETIRED, 0, field_path,
                           "this key never had an effect; remove it");
        }
        else {
            MpFindings_Add(findings, MP_FINDING_UNKNOWN, 0, field_path,
                           "%s has no such key", this->name);
        }
        g_free(field_path);
    }
}

void
MpSchema_Decode(const struct MpSchema *this, struct json_object *value,
                const char *path, void *target, GPtrArray *findings)
{
    for (const struct MpField *field = this->fields; field->name; field++) {
        set_default(field, target);
    }
    if (!findings) {
        return;
    }
    if (!json_object_is_type(value, json_type_object)) {
        MpFindings_Add(findings, MP_FINDING_TYPE, 0, path,
                       "must be an object");
        return;
    }
    report_unknown_keys(this, value, path, findings);
    for (const struct MpField *field = this->fields; field->name; field++) {
        struct json_object *child;
        bool is_present =
            json_object_object_get_ex(value, field->name, &child);
        if (!is_present && !field->is_required) {
            continue;
        }
        char *field_path = join_path(path, field->name);
        if (is_present) {
            struct context context = {.field = field,
                                      .value = child,
                                      .path = field_path,
                                      .target = target,
                                      .findings = findings};
            decode_field(&context);
        }
        else {
            MpFindings_Add(findings, MP_FINDING_MISSING, 0, field_path,
                           "the key is required");
        }
        g_free(field_path);
    }
}

/* ---- release of objects ---- */

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
        void *member = (char *)target + field->offset;
        switch (field->type) {
        case MP_FIELD_INTEGER:
        case MP_FIELD_MILLI:
        case MP_FIELD_BOOLEAN:
        case MP_FIELD_CHOICE:
            break;
        case MP_FIELD_NAMES:
        case MP_FIELD_HASHES:
            g_clear_pointer((GPtrArray **)member, g_ptr_array_unref);
            break;
        case MP_FIELD_LIST:
            free_list(field, *(GPtrArray **)member);
            break;
        case MP_FIELD_MAP:
            free_map(field, *(GHashTable **)member);
            break;
        case MP_FIELD_TABLE:
            g_clear_pointer((GHashTable **)member, g_hash_table_unref);
            break;
        case MP_FIELD_OBJECT:
            MpSchema_Free(field->schema, member);
            break;
        default:
            g_clear_pointer((char **)member, g_free);
            break;
        }
    }
}

/* ---- documentation ---- */

static const char *const type_names[] = {
    [MP_FIELD_INTEGER] = "integer",     [MP_FIELD_MILLI] = "decimal",
    [MP_FIELD_BOOLEAN] = "boolean",     [MP_FIELD_STRING] = "string",
    [MP_FIELD_NAME] = "name",           [MP_FIELD_ADDRESS] = "address",
    [MP_FIELD_HASH] = "SHA-256",        [MP_FIELD_CHOICE] = "choice",
    [MP_FIELD_NAMES] = "list of names", [MP_FIELD_HASHES] = "list of SHA-256",
    [MP_FIELD_OBJECT] = "object",       [MP_FIELD_LIST] = "list of objects",
    [MP_FIELD_MAP] = "objects by name", [MP_FIELD_TABLE] = "texts by name",
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
    case MP_FIELD_TABLE:
        g_string_append_printf(out, "%" PRId64 " to %" PRId64 "%s%s",
                               field->min, field->max, field->unit ? " " : "",
                               field->unit ? field->unit : "");
        break;
    default:
        break;
    }
}

static void
describe_default(const struct MpField *field, GString *out)
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
        describe_default(field, out);
        g_string_append_printf(out, " | %s |\n", field->description);
    }
    for (const struct MpField *field = this->fields; field->name; field++) {
        if (field->schema) {
            MpSchema_Describe(field->schema, out);
        }
    }
}
