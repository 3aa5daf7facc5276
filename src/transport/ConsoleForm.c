#include "transport/ConsoleForm.h"

#include "transport/FormData.h"
#include "transport/Html.h"

#include <inttypes.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/* Empty rows for new entries, shown after the existing ones of a list. */
#define BLANK_ROWS 2
#define LIST_ROWS_MAX 256

/* ---- writing ---- */

static struct json_object *
get_member(struct json_object *value, const char *name)
{
    struct json_object *found = NULL;
    if (value) {
        json_object_object_get_ex(value, name, &found);
    }
    return found;
}

static void
write_choice(const struct MpField *field, struct json_object *value,
             const char *name, GString *out)
{
    const char *chosen = value ? json_object_get_string(value)
                               : field->choices[field->default_value];
    g_string_append_printf(out, "<select name=\"%s\" id=\"%s\">", name, name);
    for (int i = 0; field->choices[i]; i++) {
        bool is_chosen = g_strcmp0(field->choices[i], chosen) == 0;
        g_string_append_printf(out, "<option%s>%s</option>",
                               is_chosen ? " selected" : "",
                               field->choices[i]);
    }
    g_string_append(out, "</select>");
}

static void
write_names(struct json_object *value, const char *name, GString *out)
{
    size_t count = value ? json_object_array_length(value) : 0;
    g_string_append_printf(out,
                           "<textarea name=\"%s\" id=\"%s\" rows=\"%zu\">",
                           name, name, CLAMP(count + 1, 2, 12));
    for (size_t i = 0; i < count; i++) {
        MpHtml_AppendEscaped(
            out, json_object_get_string(json_object_array_get_idx(value, i)));
        g_string_append_c(out, '\n');
    }
    g_string_append(out, "</textarea>");
}

static void
write_input(const struct MpField *field, struct json_object *value,
            const char *name, GString *out)
{
    bool is_number = field->type == MP_FIELD_INTEGER;
    g_string_append_printf(out, "<input name=\"%s\" id=\"%s\" value=\"", name,
                           name);
    if (value) {
        MpHtml_AppendEscaped(out, json_object_get_string(value));
    }
    else if (is_number && !field->is_required) {
        g_string_append_printf(out, "%" PRId64, field->default_value);
    }
    g_string_append_printf(out, "\"%s>",
                           is_number ? " inputmode=\"numeric\"" : "");
}

static void
write_list(const struct MpField *field, struct json_object *value,
           const char *name, GString *out)
{
    size_t count = value ? json_object_array_length(value) : 0;
    for (size_t i = 0; i < count + BLANK_ROWS; i++) {
        char *row = g_strdup_printf("%s.%zu", name, i);
        g_string_append_printf(
            out, "<fieldset><legend>%s %zu%s</legend>", field->schema->name,
            i + 1, i < count ? "" : ", new; leave it empty for none");
        MpConsoleForm_Write(
            field->schema,
            i < count ? json_object_array_get_idx(value, i) : NULL, row, out);
        g_string_append(out, "</fieldset>");
        g_free(row);
    }
}

static void
write_object(const struct MpField *field, struct json_object *value,
             const char *name, GString *out)
{
    g_string_append_printf(out, "<fieldset><legend>%s</legend>",
                           field->schema->name);
    MpConsoleForm_Write(field->schema, value, name, out);
    g_string_append(out, "</fieldset>");
}

static void
write_field(const struct MpField *field, struct json_object *value,
            const char *name, GString *out)
{
    switch (field->type) {
    case MP_FIELD_CHOICE:
        write_choice(field, value, name, out);
        break;
    case MP_FIELD_BOOLEAN:
        g_string_append_printf(
            out,
            "<input type=\"checkbox\" name=\"%s\" id=\"%s\" "
            "value=\"true\"%s>",
            name, name, json_object_get_boolean(value) ? " checked" : "");
        break;
    case MP_FIELD_NAMES:
    case MP_FIELD_HASHES:
        write_names(value, name, out);
        break;
    case MP_FIELD_LIST:
        write_list(field, value, name, out);
        break;
    case MP_FIELD_OBJECT:
        write_object(field, value, name, out);
        break;
    default:
        write_input(field, value, name, out);
        break;
    }
}

void
MpConsoleForm_Write(const struct MpSchema *schema, struct json_object *value,
                    const char *prefix, GString *out)
{
    for (const struct MpField *field = schema->fields; field->name; field++) {
        char *name = g_strdup_printf("%s.%s", prefix, field->name);
        g_string_append_printf(out, "<p><label for=\"%s\">%s%s%s%s</label>",
                               name, field->name, field->unit ? ", " : "",
                               field->unit ? field->unit : "",
                               field->is_required ? " *" : "");
        write_field(field, get_member(value, field->name), name, out);
        g_string_append(out, "<small>");
        MpHtml_AppendEscaped(out, field->description);
        g_string_append(out, "</small></p>");
        g_free(name);
    }
}

/* ---- reading ---- */

static struct json_object *
read_integer(const char *text)
{
    char *end;
    int64_t number = strtoll(text, &end, 10);
    return *end == '\0' ? json_object_new_int64(number)
                        : json_object_new_string(text);
}

static struct json_object *
read_names(const char *text)
{
    struct json_object *list = json_object_new_array();
    char **lines = g_strsplit_set(text, "\r\n, ", -1);
    for (char **line = lines; *line; line++) {
        if ((*line)[0]) {
            json_object_array_add(list, json_object_new_string(*line));
        }
    }
    g_strfreev(lines);
    return list;
}

/* Returns whether a row of a list is filled in, judged by the first field of
 * its schema; that field is required. */
static bool
is_row_filled(const struct MpSchema *schema, GHashTable *form, const char *row)
{
    char *name = g_strdup_printf("%s.%s", row, schema->fields[0].name);
    bool is_filled = MpFormData_Get(form, name)[0] != '\0';
    g_free(name);
    return is_filled;
}

static struct json_object *
read_list(const struct MpField *field, GHashTable *form, const char *name)
{
    struct json_object *list = json_object_new_array();
    for (int i = 0; i < LIST_ROWS_MAX; i++) {
        char *row = g_strdup_printf("%s.%d", name, i);
        if (is_row_filled(field->schema, form, row)) {
            json_object_array_add(
                list, MpConsoleForm_Read(field->schema, form, row));
        }
        g_free(row);
    }
    return list;
}

/* Returns whether each field of an object has its default value, as the form
 * shows it for an object that the document does not have. */
static bool
has_defaults_only(const struct MpSchema *schema, struct json_object *object)
{
    json_object_object_foreach(object, name, value)
    {
        const struct MpField *field = schema->fields;
        while (strcmp(field->name, name) != 0) {
            field++;
        }
        if (field->type != MP_FIELD_INTEGER ||
            !json_object_is_type(value, json_type_int) ||
            json_object_get_int64(value) != field->default_value) {
            return false;
        }
    }
    return true;
}

static struct json_object *
read_object(const struct MpField *field, GHashTable *form, const char *name)
{
    struct json_object *object = MpConsoleForm_Read(field->schema, form, name);
    if (!has_defaults_only(field->schema, object)) {
        return object;
    }
    json_object_put(object);
    return NULL;
}

static struct json_object *
read_decimal(const char *text)
{
    char *end;
    double number = g_ascii_strtod(text, &end);
    return *end == '\0' ? json_object_new_double_s(number, text)
                        : json_object_new_string(text);
}

/* Returns NULL for a field that is left out of the document. */
static struct json_object *
read_field(const struct MpField *field, GHashTable *form, const char *name)
{
    const char *text = MpFormData_Get(form, name);
    switch (field->type) {
    case MP_FIELD_BOOLEAN:
        return text[0] ? json_object_new_boolean(1) : NULL;
    case MP_FIELD_NAMES:
    case MP_FIELD_HASHES:
        return read_names(text);
    case MP_FIELD_LIST:
        return read_list(field, form, name);
    case MP_FIELD_MILLI:
        return text[0] ? read_decimal(text) : NULL;
    case MP_FIELD_OBJECT:
        return read_object(field, form, name);
    case MP_FIELD_INTEGER:
        return text[0] ? read_integer(text) : NULL;
    default:
        return text[0] ? json_object_new_string(text) : NULL;
    }
}

struct json_object *
MpConsoleForm_Read(const struct MpSchema *schema, GHashTable *form,
                   const char *prefix)
{
    struct json_object *object = json_object_new_object();
    for (const struct MpField *field = schema->fields; field->name; field++) {
        char *name = g_strdup_printf("%s.%s", prefix, field->name);
        struct json_object *value = read_field(field, form, name);
        if (value) {
            json_object_object_add(object, field->name, value);
        }
        g_free(name);
    }
    return object;
}
