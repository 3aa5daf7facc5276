#include "state/Document.h"

/* Schemas of the objects of the document; see Document.h. */

#define PRICE_MAX_MTOK INT64_C(1000000000000)
#define TARGETS_MAX 4096
#define WORKSPACES_MAX 65536

const char *const MpPriorityClass_Names[] = {"interactive", "standard",
                                             "batch", NULL};
static const char *const partition_names[] = {"refuse", "lease", NULL};
static const char *const state_names[] = {"in", "drain", NULL};

#define AT(type, member) .offset = offsetof(struct type, member)

static const char *const target_retired[] = {"checks_fencing", NULL};
static const char *const engine_retired[] = {"memory_tokens", NULL};
static const char *const pool_retired[] = {"health_path", NULL};
static const char *const limit_retired[] = {"header_timeout_ms", NULL};

static const struct MpField target_fields[] = {
    {.name = "address",
     .type = MP_FIELD_ADDRESS,
     .is_required = true,
     AT(MpTargetConf, address),
     .description = "IP address and port of the target."},
    {.name = "zone",
     .type = MP_FIELD_NAME,
     .is_required = true,
     AT(MpTargetConf, zone),
     .description = "Availability zone of the target."},
    {.name = "capacity",
     .type = MP_FIELD_INTEGER,
     .min = 1,
     .max = 100000,
     .default_value = 16,
     .unit = "requests",
     AT(MpTargetConf, capacity),
     .description =
         "Concurrent requests from the whole fleet; each instance "
         "combines its own count with the load reports of the target."},
    {.name = "state",
     .type = MP_FIELD_CHOICE,
     .choices = state_names,
     AT(MpTargetConf, state),
     .description = "`drain`: the target gets no new requests."},
    {.name = NULL},
};
static const struct MpSchema target_schema = {.name = "target",
                                              .size =
                                                  sizeof(struct MpTargetConf),
                                              .fields = target_fields,
                                              .retired = target_retired};

static const struct MpField model_fields[] = {
    {.name = "targets",
     .type = MP_FIELD_NAMES,
     .is_required = true,
     .min = 1,
     .max = TARGETS_MAX,
     AT(MpModelConf, targets),
     .description = "Targets that serve the model."},
    {.name = "prompt_price_mtok",
     .type = MP_FIELD_INTEGER,
     .is_required = true,
     .max = PRICE_MAX_MTOK,
     .unit = "mtok per token",
     AT(MpModelConf, prompt_price_mtok),
     .description = "Price of a prompt token."},
    {.name = "output_price_mtok",
     .type = MP_FIELD_INTEGER,
     .is_required = true,
     .max = PRICE_MAX_MTOK,
     .unit = "mtok per token",
     AT(MpModelConf, output_price_mtok),
     .description = "Price of a generated token."},
    {.name = "output_tokens_most",
     .type = MP_FIELD_INTEGER,
     .min = 1,
     .max = 1000000,
     .default_value = 1024,
     .unit = "tokens",
     AT(MpModelConf, output_tokens_max),
     .description =
         "Token limit sent to the engine when the caller sets none, "
         "and the largest that a caller may set."},
    {.name = "first_token_ms",
     .type = MP_FIELD_INTEGER,
     .min = 10,
     .max = 600000,
     .default_value = 10000,
     .unit = "ms",
     AT(MpModelConf, first_token_ms),
     .description = "Longest wait for the first token."},
    {.name = "between_tokens_ms",
     .type = MP_FIELD_INTEGER,
     .min = 10,
     .max = 600000,
     .default_value = 5000,
     .unit = "ms",
     AT(MpModelConf, between_tokens_ms),
     .description = "Longest wait between tokens."},
    {.name = "resumes",
     .type = MP_FIELD_BOOLEAN,
     AT(MpModelConf, may_resume),
     .description =
         "Whether the engines can resume a stream from a given position."},
    {.name = NULL},
};
static const struct MpSchema model_schema = {.name = "model",
                                             .size =
                                                 sizeof(struct MpModelConf),
                                             .fields = model_fields};

static const struct MpField route_fields[] = {
    {.name = "method",
     .type = MP_FIELD_STRING,
     .is_required = true,
     .min = 1,
     .max = 16,
     AT(MpRouteConf, method),
     .description = "HTTP method, for example POST."},
    {.name = "path",
     .type = MP_FIELD_STRING,
     .is_required = true,
     .min = 1,
     .max = 256,
     AT(MpRouteConf, path),
     .description =
         "Path within the service, without the query; a trailing `*` "
         "matches any suffix."},
    {.name = "price_mtok",
     .type = MP_FIELD_INTEGER,
     .min = -1,
     .max = PRICE_MAX_MTOK,
     .default_value = -1,
     .unit = "mtok",
     AT(MpRouteConf, price_mtok),
     .description = "Price of a call; -1: the price of the service."},
    {.name = "at_most_once",
     .type = MP_FIELD_BOOLEAN,
     AT(MpRouteConf, is_at_most_once),
     .description = "Whether the request must run at most once."},
    {.name = NULL},
};
static const struct MpSchema route_schema = {.name = "route",
                                             .size =
                                                 sizeof(struct MpRouteConf),
                                             .fields = route_fields};

static const struct MpField service_fields[] = {
    {.name = "targets",
     .type = MP_FIELD_NAMES,
     .is_required = true,
     .min = 1,
     .max = TARGETS_MAX,
     AT(MpServiceConf, targets),
     .description = "Targets of the service."},
    {.name = "price_mtok",
     .type = MP_FIELD_INTEGER,
     .is_required = true,
     .max = PRICE_MAX_MTOK,
     .unit = "mtok per call",
     AT(MpServiceConf, price_mtok),
     .description = "Price of a call."},
    {.name = "timeout_ms",
     .type = MP_FIELD_INTEGER,
     .min = 10,
     .max = 600000,
     .default_value = 10000,
     .unit = "ms",
     AT(MpServiceConf, timeout_ms),
     .description = "Longest wait for a response."},
    {.name = "routes",
     .type = MP_FIELD_LIST,
     .max = 256,
     .schema = &route_schema,
     AT(MpServiceConf, routes),
     .description =
         "Rules for particular calls; the first match applies.  A call "
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
     .is_required = true,
     .min = 1,
     .max = 16,
     AT(MpWorkspaceConf, key_hashes),
     .description = "SHA-256 of each workspace key, none of them empty."},
    {.name = "models",
     .type = MP_FIELD_NAMES,
     .max = 256,
     AT(MpWorkspaceConf, models),
     .description = "Models that the workspace may use."},
    {.name = "services",
     .type = MP_FIELD_NAMES,
     .max = 256,
     AT(MpWorkspaceConf, services),
     .description = "Services that the workspace may use."},
    {.name = "concurrent_most",
     .type = MP_FIELD_INTEGER,
     .min = 1,
     .max = 100000,
     .default_value = 64,
     .unit = "requests",
     AT(MpWorkspaceConf, concurrent_max),
     .description =
         "Concurrent requests on one instance, including queued ones."},
    {.name = "rate_per_s",
     .type = MP_FIELD_INTEGER,
     .min = 1,
     .max = 1000000,
     .default_value = 1000,
     .unit = "requests/s",
     AT(MpWorkspaceConf, rate_per_s),
     .description = "Requests per second on one instance."},
    {.name = "priority",
     .type = MP_FIELD_CHOICE,
     .choices = MpPriorityClass_Names,
     .default_value = MP_CLASS_STANDARD,
     AT(MpWorkspaceConf, priority),
     .description =
         "Priority class of its requests; queued requests of a higher "
         "class are served first."},
    {.name = "partition",
     .type = MP_FIELD_CHOICE,
     .choices = partition_names,
     AT(MpWorkspaceConf, partition),
     .description =
         "What an instance does while the quorum is unreachable: `refuse` "
         "requests, or run repeatable ones on a `lease` that it already "
         "holds."},
    {.name = "rank",
     .type = MP_FIELD_INTEGER,
     .min = -1,
     .max = 9,
     .default_value = -1,
     AT(MpWorkspaceConf, path_priority),
     .description =
         "Takes precedence over the priority of a path; 0 is the most "
         "urgent, -1 for none."},
    {.name = "prepaid_tokens",
     .type = MP_FIELD_INTEGER,
     .min = -1,
     .max = INT64_C(1000000000000),
     .default_value = -1,
     .unit = "tokens",
     AT(MpWorkspaceConf, prepaid_tokens),
     .description =
         "Prepaid tokens of the workspace in total, besides top-ups; -1: "
         "none, and requests on paths need no budget."},
    {.name = "allowed_regions",
     .type = MP_FIELD_NAMES,
     .max = 256,
     AT(MpWorkspaceConf, allowed_regions),
     .description =
         "Regions in which requests of the workspace may be served, and "
         "their bodies passed on; none: all."},
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
     .is_required = true,
     AT(MpShareConf, pool),
     .description = "Pool that gets this share of the requests."},
    {.name = "weight",
     .type = MP_FIELD_INTEGER,
     .max = 1000000,
     .default_value = 1,
     AT(MpShareConf, weight),
     .description =
         "Size of the share, relative to the sum of all weights of the "
         "path."},
    {.name = NULL},
};
const struct MpSchema MpDocument_ShareSchema = {.name = "share",
                                                .size =
                                                    sizeof(struct MpShareConf),
                                                .fields = share_fields};

static const struct MpField path_fields[] = {
    {.name = "host",
     .type = MP_FIELD_STRING,
     .is_required = true,
     .min = 1,
     .max = 256,
     AT(MpPathConf, host),
     .description = "Host header of the requests."},
    {.name = "prefix",
     .type = MP_FIELD_STRING,
     .is_required = true,
     .min = 1,
     .max = 1024,
     AT(MpPathConf, prefix),
     .description =
         "Prefix of the request paths; starts and ends with a slash."},
    {.name = "repeat",
     .type = MP_FIELD_CHOICE,
     .choices = repeat_names,
     AT(MpPathConf, repeat),
     .description =
         "Whether a request that may have run can run again.  `once`: no "
         "(at-most-once); `any`: yes; `resume`: another target may resume "
         "an interrupted stream."},
    {.name = "stream",
     .type = MP_FIELD_BOOLEAN,
     AT(MpPathConf, is_stream),
     .description = "Whether responses are event streams."},
    {.name = "anonymous",
     .type = MP_FIELD_BOOLEAN,
     AT(MpPathConf, is_anonymous),
     .description = "Whether requests need no workspace key."},
    {.name = "affinity",
     .type = MP_FIELD_BOOLEAN,
     AT(MpPathConf, has_affinity),
     .description =
         "Whether requests that share parts of a prompt are routed to the "
         "same targets where possible."},
    {.name = "timeout_ms",
     .type = MP_FIELD_INTEGER,
     .is_required = true,
     .min = 1,
     .max = 86400000,
     .unit = "ms",
     AT(MpPathConf, timeout_ms),
     .description = "Longest time until the response is complete."},
    {.name = "latency_target_ms",
     .type = MP_FIELD_INTEGER,
     .max = 86400000,
     .unit = "ms",
     AT(MpPathConf, latency_target_ms),
     .description =
         "Target latency of a response; for a stream, of its first event."},
    {.name = "event_gap_ms",
     .type = MP_FIELD_INTEGER,
     .max = 86400000,
     .unit = "ms",
     AT(MpPathConf, event_gap_ms),
     .description =
         "Target for the longest pause between two events of a stream."},
    {.name = "priority",
     .type = MP_FIELD_INTEGER,
     .max = 9,
     .default_value = 5,
     AT(MpPathConf, priority),
     .description = "Priority of the requests; 0 is the most urgent."},
    {.name = "attempts_most",
     .type = MP_FIELD_INTEGER,
     .min = 1,
     .max = 16,
     .default_value = 1,
     AT(MpPathConf, attempts_max),
     .description =
         "Number of targets that may run one request, if `repeat` allows "
         "more than one."},
    {.name = "shares",
     .type = MP_FIELD_LIST,
     .is_required = true,
     .min = 1,
     .max = 64,
     .schema = &MpDocument_ShareSchema,
     AT(MpPathConf, shares),
     .description = "Pools that serve the path, with their weights."},
    {.name = "allowed_regions",
     .type = MP_FIELD_NAMES,
     .max = 256,
     AT(MpPathConf, allowed_regions),
     .description = "Regions in which requests of the path may be served, and "
                    "their bodies passed on; none: all."},
    {.name = NULL},
};
const struct MpSchema MpDocument_PathSchema = {
    .name = "path", .size = sizeof(struct MpPathConf), .fields = path_fields};

static const struct MpField engine_fields[] = {
    {.name = "slots",
     .type = MP_FIELD_INTEGER,
     .max = 100000,
     .unit = "requests",
     AT(MpEngineConf, slots),
     .description = "Concurrent requests of an engine; 0 for plain services."},
    {.name = "event_tokens",
     .type = MP_FIELD_INTEGER,
     .min = 1,
     .max = 1000000,
     .default_value = 1,
     .unit = "tokens",
     AT(MpEngineConf, event_tokens),
     .description = "Largest number of tokens in one event of a stream."},
    {.name = NULL},
};
static const struct MpSchema engine_schema = {.name = "engine",
                                              .size =
                                                  sizeof(struct MpEngineConf),
                                              .fields = engine_fields,
                                              .retired = engine_retired};

static const struct MpField pool_fields[] = {
    {.name = "connections_most",
     .type = MP_FIELD_INTEGER,
     .min = 1,
     .max = 1000000,
     .default_value = 1024,
     .unit = "connections",
     AT(MpPoolConf, connections_max),
     .description = "Connections that a target accepts, from all instances "
                    "together.  An instance keeps a connection "
                    "open after a response only within its share of them."},
    {.name = "cold_start_ms",
     .type = MP_FIELD_INTEGER,
     .max = 600000,
     .unit = "ms",
     AT(MpPoolConf, cold_start_ms),
     .description =
         "Time after its start, or the restore of its zone, for which a "
         "target is slow (cold), unless it or the target list names another."},
    {.name = "cold_rate",
     .type = MP_FIELD_INTEGER,
     .min = -1,
     .max = INT64_C(1000000000),
     .default_value = -1,
     .unit = "requests/1000 s",
     AT(MpPoolConf, cold_rate),
     .description =
         "Rate of requests to a cold target, from all instances together, in "
         "thousandths of a request per second; -1: no limit."},
    {.name = "engine",
     .type = MP_FIELD_OBJECT,
     .schema = &engine_schema,
     AT(MpPoolConf, engine),
     .description = "Capabilities of its model engines."},
    {.name = NULL},
};
const struct MpSchema MpDocument_PoolSchema = {.name = "pool",
                                               .size =
                                                   sizeof(struct MpPoolConf),
                                               .fields = pool_fields,
                                               .retired = pool_retired};

static const struct MpField limit_fields[] = {
    {.name = "header_most_bytes",
     .type = MP_FIELD_INTEGER,
     .min = 512,
     .max = 1048576,
     .default_value = 16384,
     .unit = "bytes",
     AT(MpLimitConf, header_max_bytes),
     .description = "Largest size of the headers of a request on a path."},
    {.name = "body_most_bytes",
     .type = MP_FIELD_INTEGER,
     .min = 1024,
     .max = 67108864,
     .default_value = 4194304,
     .unit = "bytes",
     AT(MpLimitConf, body_max_bytes),
     .description = "Largest body of a request on a path."},
    {.name = "idle_timeout_ms",
     .type = MP_FIELD_INTEGER,
     .min = 100,
     .max = 3600000,
     .default_value = 60000,
     .unit = "ms",
     AT(MpLimitConf, idle_timeout_ms),
     .description =
         "Longest time of a connection between two requests. A connection "
         "that is idle already keeps a longer one that it had. The head of a "
         "request must arrive within this time, and its body without a longer "
         "pause, but with 5 s at least."},
    {.name = NULL},
};
static const struct MpSchema limit_schema = {.name = "limits",
                                             .size =
                                                 sizeof(struct MpLimitConf),
                                             .fields = limit_fields,
                                             .retired = limit_retired};

static const struct MpField document_fields[] = {
    {.name = "retention_s",
     .type = MP_FIELD_INTEGER,
     .min = 60,
     .max = 2592000,
     .default_value = 86400,
     .unit = "s",
     AT(MpDocument, retention_s),
     .description =
         "How long the outcome of a request is kept under its idempotency "
         "key."},
    {.name = "targets",
     .type = MP_FIELD_MAP,
     .is_required = true,
     .max = TARGETS_MAX,
     .schema = &target_schema,
     AT(MpDocument, targets),
     .description = "Targets: model engines and plain services."},
    {.name = "models",
     .type = MP_FIELD_MAP,
     .max = 1024,
     .schema = &model_schema,
     AT(MpDocument, models),
     .description = "Models, by the name that callers send."},
    {.name = "services",
     .type = MP_FIELD_MAP,
     .max = 1024,
     .schema = &service_schema,
     AT(MpDocument, services),
     .description = "Plain services, by their name in the URL path."},
    {.name = "workspaces",
     .type = MP_FIELD_MAP,
     .is_required = true,
     .max = WORKSPACES_MAX,
     .schema = &MpDocument_WorkspaceSchema,
     AT(MpDocument, workspaces),
     .description = "Workspaces."},
    {.name = "paths",
     .type = MP_FIELD_MAP,
     .max = 65536,
     .schema = &MpDocument_PathSchema,
     AT(MpDocument, paths),
     .description =
         "Host and path prefix of requests, and the pools that serve "
         "them; the names are arbitrary."},
    {.name = "pools",
     .type = MP_FIELD_MAP,
     .max = 1024,
     .schema = &MpDocument_PoolSchema,
     AT(MpDocument, pools),
     .description = "Pools of targets, by their name in the target list."},
    {.name = "limits",
     .type = MP_FIELD_OBJECT,
     .schema = &limit_schema,
     AT(MpDocument, limits),
     .description = "Limits on requests on paths."},
    {.name = NULL},
};
const struct MpSchema MpDocument_Schema = {.name = "document",
                                           .size = sizeof(struct MpDocument),
                                           .fields = document_fields};
