#include "protocol/Dialect.h"

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
     .min = -1,
     .max = 86400000,
     .default_value = -1,
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

static struct MpListedTarget *
parse_entry(struct json_object *value, const char **reason)
{
    GPtrArray *findings = MpFindings_New();
    struct MpListedTarget *target = g_new0(struct MpListedTarget, 1);
    MpSchema_Decode(&entry_schema, value, "", target, findings);
    if (findings->len > 0) {
        const struct MpFinding *finding = g_ptr_array_index(findings, 0);
        *reason = MpFinding_KindName(finding->kind);
        g_clear_pointer(&target, MpListedTarget_Delete);
    }
    g_ptr_array_unref(findings);
    return target;
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
               .refusals = "x-mimosapath-brittle",
               .leaving = "x-mimosapath-leaving",
               .cold = "x-mimosapath-cold-ms",
               .pause = "retry-after",
               .reserved = reserved},
    .names_requests = true,
    .target_list_path = "/targets",
    .parse_document = MpDocument_Parse,
    .load_document = MpDocument_Load,
    .target_page = {.list = "targets",
                    .key = "incarnation",
                    .next = "next",
                    .next_query = "?page=",
                    .parse_entry = parse_entry},
};
