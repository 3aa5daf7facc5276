#include "transport/FormData.h"

#include <stdbool.h>
#include <string.h>

/* Decodes one name or value; returns NULL if it is malformed. */
static char *
decode(const char *text)
{
    char *spaced = g_strdup(text);
    g_strdelimit(spaced, "+", ' ');
    char *decoded = g_uri_unescape_string(spaced, NULL);
    g_free(spaced);
    if (decoded && !g_utf8_validate(decoded, -1, NULL)) {
        g_clear_pointer(&decoded, g_free);
    }
    return decoded;
}

static bool
add_pair(GHashTable *table, const char *pair)
{
    char **parts = g_strsplit(pair, "=", 2);
    char *name = decode(parts[0] ? parts[0] : "");
    char *value = decode(parts[0] && parts[1] ? parts[1] : "");
    bool is_valid = name && value;
    if (is_valid) {
        g_hash_table_replace(table, name, value);
    }
    else {
        g_free(name);
        g_free(value);
    }
    g_strfreev(parts);
    return is_valid;
}

GHashTable *
MpFormData_Parse(const char *text, size_t size)
{
    GHashTable *table =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    char *copy = g_strndup(text ? text : "", size);
    char **pairs = g_strsplit(copy, "&", -1);
    bool is_valid = strlen(copy) == size;
    for (char **pair = pairs; is_valid && *pair; pair++) {
        is_valid = (*pair)[0] == '\0' || add_pair(table, *pair);
    }
    g_strfreev(pairs);
    g_free(copy);
    if (!is_valid) {
        g_clear_pointer(&table, g_hash_table_unref);
    }
    return table;
}

const char *
MpFormData_Get(GHashTable *this, const char *name)
{
    const char *value = g_hash_table_lookup(this, name);
    return value ? value : "";
}
