#include "state/Document.h"

#include <string.h>

#define PRICE_MAX_MTOK INT64_C(1000000000000)
#define TARGETS_MAX 4096
#define WORKSPACES_MAX 65536

const char *const MpClass_Names[] = {"interactive", "standard", "batch", NULL};
static const char *const partition_names[] = {"refuse", "lease", NULL};
static const char *const state_names[] = {"in", "drain", NULL};

/* ---- schema ---- */

#define AT(type, member) .offset = offsetof(struct type, member)

static const struct MpField target_fields[] = {
    {.name = "address",
     .type = MP_FIELD_ADDRESS,
     .required = true,
     AT(MpTargetConf, address),
     .text = "Where the target listens."},
    {.name = "zone",
     .type = MP_FIELD_NAME,
     .required = true,
     AT(MpTargetConf, zone),
     .text = "Availability zone of the target."},
    {.name = "capacity",
     .type = MP_FIELD_INTEGER,
     .least = 1,
     .most = 100000,
     .standard = 16,
     .unit = "requests",
     AT(MpTargetConf, capacity),
     .text = "Requests at once from the whole fleet; each instance keeps "
             "its own count and the load reports of the target."},
    {.name = "state",
     .type = MP_FIELD_CHOICE,
     .choices = state_names,
     AT(MpTargetConf, state),
     .text = "`drain` gives the target nothing new."},
    {.name = "checks_fencing",
     .type = MP_FIELD_BOOLEAN,
     AT(MpTargetConf, checks_fencing),
     .text = "Whether the target refuses orders with an old fencing "
             "number."},
    {.name = NULL},
};
static const struct MpSchema target_schema = {.name = "target",
                                              .size =
                                                  sizeof(struct MpTargetConf),
                                              .fields = target_fields};

static const struct MpField model_fields[] = {
    {.name = "targets",
     .type = MP_FIELD_NAMES,
     .required = true,
     .least = 1,
     .most = TARGETS_MAX,
     AT(MpModelConf, targets),
     .text = "Targets that serve the model."},
    {.name = "prompt_price_mtok",
     .type = MP_FIELD_INTEGER,
     .required = true,
     .most = PRICE_MAX_MTOK,
     .unit = "mtok per token",
     AT(MpModelConf, prompt_price_mtok),
     .text = "Price of a prompt token."},
    {.name = "output_price_mtok",
     .type = MP_FIELD_INTEGER,
     .required = true,
     .most = PRICE_MAX_MTOK,
     .unit = "mtok per token",
     AT(MpModelConf, output_price_mtok),
     .text = "Price of a generated token."},
    {.name = "output_tokens_most",
     .type = MP_FIELD_INTEGER,
     .least = 1,
     .most = 1000000,
     .standard = 1024,
     .unit = "tokens",
     AT(MpModelConf, output_tokens_most),
     .text = "Token limit sent to the engine when the caller sets none, "
             "and the largest that a caller may set."},
    {.name = "first_token_ms",
     .type = MP_FIELD_INTEGER,
     .least = 10,
     .most = 600000,
     .standard = 10000,
     .unit = "ms",
     AT(MpModelConf, first_token_ms),
     .text = "Longest wait for the first token."},
    {.name = "between_tokens_ms",
     .type = MP_FIELD_INTEGER,
     .least = 10,
     .most = 600000,
     .standard = 5000,
     .unit = "ms",
     AT(MpModelConf, between_tokens_ms),
     .text = "Longest wait between tokens."},
    {.name = "resumes",
     .type = MP_FIELD_BOOLEAN,
     AT(MpModelConf, resumes),
     .text = "Whether the engines can resume a stream at a position."},
    {.name = NULL},
};
static const struct MpSchema model_schema = {.name = "model",
                                             .size =
                                                 sizeof(struct MpModelConf),
                                             .fields = model_fields};

static const struct MpField route_fields[] = {
    {.name = "method",
     .type = MP_FIELD_STRING,
     .required = true,
     .least = 1,
     .most = 16,
     AT(MpRouteConf, method),
     .text = "HTTP method, as POST."},
    {.name = "path",
     .type = MP_FIELD_STRING,
     .required = true,
     .least = 1,
     .most = 256,
     AT(MpRouteConf, path),
     .text = "Path below the service, without query; a closing `*` matches "
             "any rest."},
    {.name = "price_mtok",
     .type = MP_FIELD_INTEGER,
     .least = -1,
     .most = PRICE_MAX_MTOK,
     .standard = -1,
     .unit = "mtok",
     AT(MpRouteConf, price_mtok),
     .text = "Price of a call; -1 takes the price of the service."},
    {.name = "at_most_once",
     .type = MP_FIELD_BOOLEAN,
     AT(MpRouteConf, at_most_once),
     .text = "Whether the request must not run twice."},
    {.name = NULL},
};
static const struct MpSchema route_schema = {.name = "route",
                                             .size =
                                                 sizeof(struct MpRouteConf),
                                             .fields = route_fields};

static const struct MpField service_fields[] = {
    {.name = "targets",
     .type = MP_FIELD_NAMES,
     .required = true,
     .least = 1,
     .most = TARGETS_MAX,
     AT(MpServiceConf, targets),
     .text = "Targets of the service."},
    {.name = "price_mtok",
     .type = MP_FIELD_INTEGER,
     .required = true,
     .most = PRICE_MAX_MTOK,
     .unit = "mtok per call",
     AT(MpServiceConf, price_mtok),
     .text = "Price of a call."},
    {.name = "timeout_ms",
     .type = MP_FIELD_INTEGER,
     .least = 10,
     .most = 600000,
     .standard = 10000,
     .unit = "ms",
     AT(MpServiceConf, timeout_ms),
     .text = "Longest wait for an answer."},
    {.name = "routes",
     .type = MP_FIELD_LIST,
     .most = 256,
     .schema = &route_schema,
     AT(MpServiceConf, routes),
     .text = "Rules for single calls; the first match counts.  A call "
             "without a match is repeatable if its method is GET, HEAD or "
             "OPTIONS, and at-most-once otherwise."},
    {.name = NULL},
};
static const struct MpSchema service_schema = {
    .name = "service",
    .size = sizeof(struct MpServiceConf),
    .fields = service_fields};

static const struct MpField workspace_fields[] = {
    {.name = "key_hashes",
     .type = MP_FIELD_HASHES,
     .required = true,
     .least = 1,
     .most = 16,
     AT(MpWorkspaceConf, key_hashes),
     .text = "SHA-256 of each workspace key."},
    {.name = "models",
     .type = MP_FIELD_NAMES,
     .most = 256,
     AT(MpWorkspaceConf, models),
     .text = "Models it may use."},
    {.name = "services",
     .type = MP_FIELD_NAMES,
     .most = 256,
     AT(MpWorkspaceConf, services),
     .text = "Services it may use."},
    {.name = "concurrent_most",
     .type = MP_FIELD_INTEGER,
     .least = 1,
     .most = 100000,
     .standard = 64,
     .unit = "requests",
     AT(MpWorkspaceConf, concurrent_most),
     .text = "Requests at once on one instance, waiting ones included."},
    {.name = "rate_per_s",
     .type = MP_FIELD_INTEGER,
     .least = 1,
     .most = 1000000,
     .standard = 1000,
     .unit = "requests/s",
     AT(MpWorkspaceConf, rate_per_s),
     .text = "Requests a second on one instance."},
    {.name = "priority",
     .type = MP_FIELD_CHOICE,
     .choices = MpClass_Names,
     .standard = MP_CLASS_STANDARD,
     AT(MpWorkspaceConf, priority),
     .text = "Class of its requests; a lower class waits for a higher "
             "one."},
    {.name = "partition",
     .type = MP_FIELD_CHOICE,
     .choices = partition_names,
     AT(MpWorkspaceConf, partition),
     .text = "What an instance without quorum does: refuse, or run "
             "repeatable requests from a lease it holds."},
    {.name = NULL},
};
static const struct MpSchema workspace_schema = {
    .name = "workspace",
    .size = sizeof(struct MpWorkspaceConf),
    .fields = workspace_fields};

static const struct MpField document_fields[] = {
    {.name = "retention_s",
     .type = MP_FIELD_INTEGER,
     .least = 60,
     .most = 2592000,
     .standard = 86400,
     .unit = "s",
     AT(MpDocument, retention_s),
     .text = "How long the outcome of a request is kept under its key."},
    {.name = "targets",
     .type = MP_FIELD_MAP,
     .required = true,
     .most = TARGETS_MAX,
     .schema = &target_schema,
     AT(MpDocument, targets),
     .text = "Model engines and plain services."},
    {.name = "models",
     .type = MP_FIELD_MAP,
     .most = 1024,
     .schema = &model_schema,
     AT(MpDocument, models),
     .text = "Models, by the name that callers use."},
    {.name = "services",
     .type = MP_FIELD_MAP,
     .most = 1024,
     .schema = &service_schema,
     AT(MpDocument, services),
     .text = "Plain services, by the name in the path."},
    {.name = "workspaces",
     .type = MP_FIELD_MAP,
     .required = true,
     .most = WORKSPACES_MAX,
     .schema = &workspace_schema,
     AT(MpDocument, workspaces),
     .text = "Workspaces."},
    {.name = NULL},
};
const struct MpSchema MpDocument_Schema = {.name = "document",
                                           .size = sizeof(struct MpDocument),
                                           .fields = document_fields};

/* ---- cross references ---- */

static void
check_references(const GPtrArray *names, GHashTable *known, const char *kind,
                 const char *path, GPtrArray *findings)
{
    for (guint i = 0; names && i < names->len; i++) {
        const char *name = g_ptr_array_index(names, i);
        if (!known || !g_hash_table_contains(known, name)) {
            MpFindings_Add(findings, MP_FINDING_REFERENCE, 0, path,
                           "there is no %s \"%s\"", kind, name);
        }
    }
}

static void
check_models(const struct MpDocument *this, GPtrArray *findings)
{
    GHashTableIter iter;
    void *name;
    void *value;
    g_hash_table_iter_init(&iter, this->models);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        const struct MpModelConf *model = value;
        char *path = g_strdup_printf("models.%s.targets", (char *)name);
        check_references(model->targets, this->targets, "target", path,
                         findings);
        g_free(path);
    }
}

static void
check_services(const struct MpDocument *this, GPtrArray *findings)
{
    GHashTableIter iter;
    void *name;
    void *value;
    g_hash_table_iter_init(&iter, this->services);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        const struct MpServiceConf *service = value;
        char *path = g_strdup_printf("services.%s.targets", (char *)name);
        check_references(service->targets, this->targets, "target", path,
                         findings);
        g_free(path);
    }
}

static void
index_keys(struct MpDocument *this, const char *workspace,
           const struct MpWorkspaceConf *conf, GPtrArray *findings)
{
    for (guint i = 0; i < conf->key_hashes->len; i++) {
        char *hash = g_ptr_array_index(conf->key_hashes, i);
        const char *owner = g_hash_table_lookup(this->by_key, hash);
        if (owner) {
            char *path =
                g_strdup_printf("workspaces.%s.key_hashes", workspace);
            MpFindings_Add(findings, MP_FINDING_DUPLICATE, 0, path,
                           "workspace \"%s\" has the same key", owner);
            g_free(path);
            continue;
        }
        g_hash_table_insert(this->by_key, hash, (char *)workspace);
    }
}

static void
check_workspaces(struct MpDocument *this, GPtrArray *findings)
{
    GHashTableIter iter;
    void *name;
    void *value;
    g_hash_table_iter_init(&iter, this->workspaces);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        const struct MpWorkspaceConf *conf = value;
        char *path = g_strdup_printf("workspaces.%s", (char *)name);
        check_references(conf->models, this->models, "model", path, findings);
        check_references(conf->services, this->services, "service", path,
                         findings);
        index_keys(this, name, conf, findings);
        g_free(path);
    }
}

/* ---- life ---- */

struct MpDocument *
MpDocument_Parse(const char *text, size_t size, GPtrArray *findings)
{
    guint before = findings->len;
    if (size > MP_DOCUMENT_MAX_BYTES) {
        MpFindings_Add(findings, MP_FINDING_RANGE, 0, "",
                       "must have at most %d bytes", MP_DOCUMENT_MAX_BYTES);
        return NULL;
    }
    struct json_object *value = MpJson_Parse(text, size, findings);
    if (!value) {
        return NULL;
    }
    struct MpDocument *this = g_new0(struct MpDocument, 1);
    this->references = 1;
    this->by_key = g_hash_table_new(g_str_hash, g_str_equal);
    MpSchema_Decode(&MpDocument_Schema, value, "", this, findings);
    json_object_put(value);
    check_models(this, findings);
    check_services(this, findings);
    check_workspaces(this, findings);
    if (findings->len > before) {
        MpDocument_Unref(this);
        return NULL;
    }
    return this;
}

struct MpDocument *
MpDocument_Ref(struct MpDocument *this)
{
    this->references++;
    return this;
}

void
MpDocument_Unref(struct MpDocument *this)
{
    if (!this || --this->references > 0) {
        return;
    }
    g_hash_table_unref(this->by_key);
    MpSchema_Free(&MpDocument_Schema, this);
    g_free(this);
}

/* ---- look-up ---- */

char *
MpDocument_HashKey(const char *key)
{
    return g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
}

const char *
MpDocument_WorkspaceOfKey(const struct MpDocument *this, const char *key)
{
    char *hash = MpDocument_HashKey(key);
    const char *workspace = g_hash_table_lookup(this->by_key, hash);
    g_free(hash);
    return workspace;
}

static bool
matches_path(const char *pattern, const char *path)
{
    size_t length = strlen(pattern);
    if (length > 0 && pattern[length - 1] == '*') {
        return strncmp(pattern, path, length - 1) == 0;
    }
    return strcmp(pattern, path) == 0;
}

const struct MpRouteConf *
MpServiceConf_Route(const struct MpServiceConf *this, const char *method,
                    const char *path)
{
    for (guint i = 0; i < this->routes->len; i++) {
        const struct MpRouteConf *route = g_ptr_array_index(this->routes, i);
        if (strcmp(route->method, method) == 0 &&
            matches_path(route->path, path)) {
            return route;
        }
    }
    return NULL;
}

bool
MpDocument_Lists(const GPtrArray *list, const char *name)
{
    return g_ptr_array_find_with_equal_func((GPtrArray *)list, name,
                                            g_str_equal, NULL);
}
