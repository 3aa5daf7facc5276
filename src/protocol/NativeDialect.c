#include "protocol/Dialect.h"

#include "state/Error.h"

#include <string.h>

/* The native dialect: header names and target list of the product's own HTTP
 * API, which docs/CALLERS.md describes. */

static const struct MpField entry_fields[] = {
    {.name = "incarnation",
     .type = MP_FIELD_NAME,
     .is_required = true,
     .offset = offsetof(struct MpListedTarget, incarnation)},
    {.name = "pool",
     .type = MP_FIELD_NAME,
     .is_required = true,
     .offset = offsetof(struct MpListedTarget, pool)},
    {.name = "address",
     .type = MP_FIELD_ADDRESS,
     .is_required = true,
     .offset = offsetof(struct MpListedTarget, address)},
    {.name = "zone",
     .type = MP_FIELD_NAME,
     .is_required = true,
     .offset = offsetof(struct MpListedTarget, zone)},
    {.name = "version",
     .type = MP_FIELD_NAME,
     .offset = offsetof(struct MpListedTarget, version)},
    {.name = "slots",
     .type = MP_FIELD_INTEGER,
     .min = 1,
     .max = 100000,
     .default_value = 16,
     .offset = offsetof(struct MpListedTarget, slots)},
    {.name = "leaving",
     .type = MP_FIELD_BOOLEAN,
     .offset = offsetof(struct MpListedTarget, is_leaving)},
    {.name = "cold_ms",
     .type = MP_FIELD_INTEGER,
     .max = 86400000,
     .offset = offsetof(struct MpListedTarget, cold_ms)},
    {.name = "born_ms",
     .type = MP_FIELD_INTEGER,
     .max = INT64_MAX,
     .offset = offsetof(struct MpListedTarget, started_ms)},
    {.name = NULL},
};
static const struct MpSchema entry_schema = {.name = "listed target",
                                             .size =
                                                 sizeof(struct MpListedTarget),
                                             .fields = entry_fields};

static void
read_entry(struct json_object *value, GPtrArray *targets, uint32_t *unreadable)
{
    GPtrArray *findings = MpFindings_New();
    struct MpListedTarget *target = g_new0(struct MpListedTarget, 1);
    MpSchema_Decode(&entry_schema, value, "", target, findings);
    if (findings->len == 0) {
        g_ptr_array_add(targets, target);
    }
    else {
        (*unreadable)++;
        MpListedTarget_Delete(target);
    }
    g_ptr_array_unref(findings);
}

static int
parse_targets(const char *text, size_t size, GPtrArray *targets,
              uint32_t *unreadable, char **next)
{
    GPtrArray *findings = MpFindings_New();
    struct json_object *root = MpJson_Parse(text, size, findings);
    struct json_object *list = NULL;
    struct json_object *cursor = NULL;
    *next = NULL;
    g_ptr_array_unref(findings);
    if (!json_object_is_type(root, json_type_object) ||
        !json_object_object_get_ex(root, "targets", &list) ||
        !json_object_is_type(list, json_type_array)) {
        json_object_put(root);
        return MP_ERROR_INVALID;
    }
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        read_entry(json_object_array_get_idx(list, i), targets, unreadable);
    }
    if (json_object_object_get_ex(root, "next", &cursor) &&
        json_object_is_type(cursor, json_type_string)) {
        char *escaped =
            g_uri_escape_string(json_object_get_string(cursor), NULL, false);
        *next = g_strdup_printf("?page=%s", escaped);
        g_free(escaped);
    }
    json_object_put(root);
    return MP_OK;
}

static const char *const reserved[] = {"authorization",
                                       "x-mimosapath-workspace",
                                       "x-mimosapath-incarnation", NULL};

const struct MpDialect MpDialect_Native = {
    .name = "own",
    .caller = {.api_key = "authorization",
               .api_key_prefix = "Bearer ",
               .request_id = "x-mimosapath-request",
               .deadline = "x-mimosapath-deadline-ms",
               .last_event_id = "last-event-id",
               .resumes = "x-mimosapath-resumes",
               .tokens = "x-mimosapath-tokens",
               .parts = "x-mimosapath-parts"},
    .target = {.deadline = "x-mimosapath-deadline-ms",
               .incarnation = "x-mimosapath-incarnation",
               .workspace = "x-mimosapath-workspace",
               .request_id = "x-mimosapath-request",
               .last_event_id = "last-event-id",
               .not_run = "x-mimosapath-not-run",
               .load = "x-mimosapath-load",
               .limit = "x-mimosapath-limit",
               .reserved = reserved},
    .names_requests = true,
    .target_list_path = "/targets",
    .parse_document = MpDocument_Parse,
    .parse_targets = parse_targets,
};
