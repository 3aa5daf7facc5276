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
    {.name = "rank",
     .type = MP_FIELD_INTEGER,
     .least = -1,
     .most = 9,
     .standard = -1,
     AT(MpWorkspaceConf, rank),
     .text = "Goes before the priority of a path, 0 the most urgent; -1 for "
             "none."},
    {.name = "prepaid_tokens",
     .type = MP_FIELD_INTEGER,
     .least = -1,
     .most = INT64_C(1000000000000),
     .standard = -1,
     .unit = "tokens",
     AT(MpWorkspaceConf, prepaid_tokens),
     .text = "What it may use on paths in all; -1 leaves it to top-ups."},
    {.name = NULL},
};
const struct MpSchema MpDocument_WorkspaceSchema = {
    .name = "workspace",
    .size = sizeof(struct MpWorkspaceConf),
    .fields = workspace_fields};

static const char *const repeat_names[] = {"once", "any", "resume", NULL};

static const struct MpField share_fields[] = {
    {.name = "pool",
     .type = MP_FIELD_NAME,
     .required = true,
     AT(MpShareConf, pool),
     .text = "Pool that gets a part of the requests."},
    {.name = "weight",
     .type = MP_FIELD_INTEGER,
     .most = 1000000,
     .standard = 1,
     AT(MpShareConf, weight),
     .text = "Its part, against the sum of all weights of the path."},
    {.name = NULL},
};
const struct MpSchema MpDocument_ShareSchema = {.name = "share",
                                                .size =
                                                    sizeof(struct MpShareConf),
                                                .fields = share_fields};

static const struct MpField path_fields[] = {
    {.name = "name",
     .type = MP_FIELD_NAME,
     .required = true,
     AT(MpPathConf, name),
     .text = "Name of the path, for operators."},
    {.name = "host",
     .type = MP_FIELD_STRING,
     .required = true,
     .least = 1,
     .most = 256,
     AT(MpPathConf, host),
     .text = "Host header of its requests."},
    {.name = "prefix",
     .type = MP_FIELD_STRING,
     .required = true,
     .least = 1,
     .most = 1024,
     AT(MpPathConf, prefix),
     .text = "How the paths begin; starts and ends with a slash."},
    {.name = "repeat",
     .type = MP_FIELD_CHOICE,
     .choices = repeat_names,
     AT(MpPathConf, repeat),
     .text = "`once`: must not run twice; `any`: may run again; `resume`: "
             "another target may go on where a stream stopped."},
    {.name = "stream",
     .type = MP_FIELD_BOOLEAN,
     AT(MpPathConf, stream),
     .text = "Whether answers are streams of events."},
    {.name = "anonymous",
     .type = MP_FIELD_BOOLEAN,
     AT(MpPathConf, anonymous),
     .text = "Whether callers need no key."},
    {.name = "affinity",
     .type = MP_FIELD_BOOLEAN,
     AT(MpPathConf, affinity),
     .text = "Whether requests that share parts of a prompt go together."},
    {.name = "timeout_ms",
     .type = MP_FIELD_INTEGER,
     .required = true,
     .least = 1,
     .most = 86400000,
     .unit = "ms",
     AT(MpPathConf, timeout_ms),
     .text = "Longest time until an answer has ended."},
    {.name = "latency_target_ms",
     .type = MP_FIELD_INTEGER,
     .most = 86400000,
     .unit = "ms",
     AT(MpPathConf, latency_target_ms),
     .text = "Time within which an answer is of full use; a stream: its "
             "first event."},
    {.name = "event_gap_ms",
     .type = MP_FIELD_INTEGER,
     .most = 86400000,
     .unit = "ms",
     AT(MpPathConf, event_gap_ms),
     .text = "Longest pause between events of full use."},
    {.name = "priority",
     .type = MP_FIELD_INTEGER,
     .most = 9,
     .standard = 5,
     AT(MpPathConf, priority),
     .text = "0 is the most urgent."},
    {.name = "attempts_most",
     .type = MP_FIELD_INTEGER,
     .least = 1,
     .most = 16,
     .standard = 1,
     AT(MpPathConf, attempts_most),
     .text = "Targets that may run one request, where it may run again."},
    {.name = "shares",
     .type = MP_FIELD_LIST,
     .required = true,
     .least = 1,
     .most = 64,
     .schema = &MpDocument_ShareSchema,
     AT(MpPathConf, shares),
     .text = "Pools that serve the path."},
    {.name = NULL},
};
const struct MpSchema MpDocument_PathSchema = {
    .name = "path", .size = sizeof(struct MpPathConf), .fields = path_fields};

static const struct MpField engine_fields[] = {
    {.name = "slots",
     .type = MP_FIELD_INTEGER,
     .most = 100000,
     .unit = "requests",
     AT(MpEngineConf, slots),
     .text = "Requests that an engine runs at once; 0 for plain services."},
    {.name = "memory_tokens",
     .type = MP_FIELD_INTEGER,
     .most = INT64_C(1000000000000),
     .unit = "tokens",
     AT(MpEngineConf, memory_tokens),
     .text = "Memory of an engine for prompts and answers."},
    {.name = "event_tokens",
     .type = MP_FIELD_INTEGER,
     .least = 1,
     .most = 1000000,
     .standard = 1,
     .unit = "tokens",
     AT(MpEngineConf, event_tokens),
     .text = "Most tokens in one event of a stream."},
    {.name = NULL},
};
static const struct MpSchema engine_schema = {.name = "engine",
                                              .size =
                                                  sizeof(struct MpEngineConf),
                                              .fields = engine_fields};

static const struct MpField pool_fields[] = {
    {.name = "health_path",
     .type = MP_FIELD_STRING,
     .least = 1,
     .most = 1024,
     AT(MpPoolConf, health_path),
     .text = "Path of the health check of a target."},
    {.name = "connections_most",
     .type = MP_FIELD_INTEGER,
     .least = 1,
     .most = 1000000,
     .standard = 1024,
     .unit = "connections",
     AT(MpPoolConf, connections_most),
     .text = "Connections that a target takes, from all instances."},
    {.name = "engine",
     .type = MP_FIELD_OBJECT,
     .schema = &engine_schema,
     AT(MpPoolConf, engine),
     .text = "What its model engines can do."},
    {.name = NULL},
};
const struct MpSchema MpDocument_PoolSchema = {
    .name = "pool", .size = sizeof(struct MpPoolConf), .fields = pool_fields};

static const struct MpField limit_fields[] = {
    {.name = "header_most_bytes",
     .type = MP_FIELD_INTEGER,
     .least = 512,
     .most = 1048576,
     .standard = 16384,
     .unit = "bytes",
     AT(MpLimitConf, header_most_bytes),
     .text = "Largest head of a request on a path."},
    {.name = "body_most_bytes",
     .type = MP_FIELD_INTEGER,
     .least = 1024,
     .most = 67108864,
     .standard = 4194304,
     .unit = "bytes",
     AT(MpLimitConf, body_most_bytes),
     .text = "Largest body of a request on a path."},
    {.name = "header_timeout_ms",
     .type = MP_FIELD_INTEGER,
     .least = 100,
     .most = 3600000,
     .standard = 10000,
     .unit = "ms",
     AT(MpLimitConf, header_timeout_ms),
     .text = "Longest time for a head to arrive."},
    {.name = "idle_timeout_ms",
     .type = MP_FIELD_INTEGER,
     .least = 100,
     .most = 3600000,
     .standard = 60000,
     .unit = "ms",
     AT(MpLimitConf, idle_timeout_ms),
     .text = "Longest pause between two requests on a connection."},
    {.name = NULL},
};
static const struct MpSchema limit_schema = {.name = "limits",
                                             .size =
                                                 sizeof(struct MpLimitConf),
                                             .fields = limit_fields};

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
     .schema = &MpDocument_WorkspaceSchema,
     AT(MpDocument, workspaces),
     .text = "Workspaces."},
    {.name = "paths",
     .type = MP_FIELD_LIST,
     .most = 65536,
     .schema = &MpDocument_PathSchema,
     AT(MpDocument, paths),
     .text = "Requests by host and path, and the pools that serve them."},
    {.name = "pools",
     .type = MP_FIELD_MAP,
     .most = 1024,
     .schema = &MpDocument_PoolSchema,
     AT(MpDocument, pools),
     .text = "Groups of targets of the target list, by their name there."},
    {.name = "limits",
     .type = MP_FIELD_OBJECT,
     .schema = &limit_schema,
     AT(MpDocument, limits),
     .text = "What callers of paths may send."},
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

/* ---- paths ---- */

static bool
is_prefix_sound(const char *prefix)
{
    size_t length = prefix ? strlen(prefix) : 0;
    return length > 0 && prefix[0] == '/' && prefix[length - 1] == '/';
}

static void
check_shares(const struct MpDocument *this, const struct MpPathConf *path,
             const char *place, GPtrArray *findings)
{
    int64_t sum = 0;
    for (guint i = 0; i < path->shares->len; i++) {
        const struct MpShareConf *share = g_ptr_array_index(path->shares, i);
        sum += share->weight;
        if (share->pool && !g_hash_table_contains(this->pools, share->pool)) {
            MpFindings_Add(findings, MP_FINDING_REFERENCE, 0, place,
                           "there is no pool \"%s\"", share->pool);
        }
    }
    if (sum <= 0) {
        MpFindings_Add(findings, MP_FINDING_VALUE, 0, place,
                       "the weights add up to 0");
    }
}

static gint
compare_prefixes(gconstpointer a, gconstpointer b)
{
    const struct MpPathConf *x = *(const struct MpPathConf *const *)a;
    const struct MpPathConf *y = *(const struct MpPathConf *const *)b;
    size_t x_length = strlen(x->prefix);
    size_t y_length = strlen(y->prefix);
    return x_length > y_length ? -1 : x_length < y_length;
}

static void
index_path(struct MpDocument *this, struct MpPathConf *path, const char *place,
           GPtrArray *findings)
{
    GPtrArray *list = g_hash_table_lookup(this->by_host, path->host);
    if (!list) {
        list = g_ptr_array_new();
        g_hash_table_insert(this->by_host, path->host, list);
    }
    for (guint i = 0; i < list->len; i++) {
        const struct MpPathConf *other = g_ptr_array_index(list, i);
        if (strcmp(other->prefix, path->prefix) == 0) {
            MpFindings_Add(findings, MP_FINDING_DUPLICATE, 0, place,
                           "path \"%s\" has the same host and prefix",
                           other->name ? other->name : "");
            return;
        }
    }
    g_ptr_array_add(list, path);
}

static void
check_paths(struct MpDocument *this, GPtrArray *findings)
{
    GHashTableIter iter;
    void *value;
    for (guint i = 0; i < this->paths->len; i++) {
        struct MpPathConf *path = g_ptr_array_index(this->paths, i);
        char *place = g_strdup_printf("paths[%u]", i);
        check_shares(this, path, place, findings);
        if (!path->host || !is_prefix_sound(path->prefix)) {
            MpFindings_Add(findings, MP_FINDING_VALUE, 0, place,
                           "the prefix must start and end with a slash");
        }
        else {
            index_path(this, path, place, findings);
        }
        if (path->timeout_ms <= 0) {
            MpFindings_Add(findings, MP_FINDING_RANGE, 0, place,
                           "the timeout must be at least 1 ms");
        }
        g_free(place);
    }
    g_hash_table_iter_init(&iter, this->by_host);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_ptr_array_sort(value, compare_prefixes);
    }
}

const struct MpPathConf *
MpDocument_Path(const struct MpDocument *this, const char *host,
                const char *path)
{
    const GPtrArray *list = g_hash_table_lookup(this->by_host, host);
    for (guint i = 0; list && i < list->len; i++) {
        const struct MpPathConf *entry = g_ptr_array_index(list, i);
        if (g_str_has_prefix(path, entry->prefix)) {
            return entry;
        }
    }
    return NULL;
}

/* ---- life ---- */

static struct MpDocument *
document_alloc(void)
{
    struct MpDocument *this = g_new0(struct MpDocument, 1);
    this->references = 1;
    this->by_key = g_hash_table_new(g_str_hash, g_str_equal);
    this->by_host = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                          (GDestroyNotify)g_ptr_array_unref);
    return this;
}

struct MpDocument *
MpDocument_New(void)
{
    struct MpDocument *this = document_alloc();
    MpSchema_Decode(&MpDocument_Schema, NULL, NULL, this, NULL);
    return this;
}

struct MpDocument *
MpDocument_Finish(struct MpDocument *this, GPtrArray *findings)
{
    check_models(this, findings);
    check_services(this, findings);
    check_paths(this, findings);
    check_workspaces(this, findings);
    if (findings->len > 0) {
        MpDocument_Unref(this);
        return NULL;
    }
    return this;
}

struct MpDocument *
MpDocument_Parse(const char *text, size_t size, GPtrArray *findings)
{
    if (size > MP_DOCUMENT_MAX_BYTES) {
        MpFindings_Add(findings, MP_FINDING_RANGE, 0, "",
                       "must have at most %d bytes", MP_DOCUMENT_MAX_BYTES);
        return NULL;
    }
    struct json_object *value = MpJson_Parse(text, size, findings);
    if (!value) {
        return NULL;
    }
    struct MpDocument *this = document_alloc();
    MpSchema_Decode(&MpDocument_Schema, value, "", this, findings);
    json_object_put(value);
    return MpDocument_Finish(this, findings);
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
    g_hash_table_unref(this->by_host);
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
