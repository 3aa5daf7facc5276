#include "state/Settings.h"

#include "state/Document.h"

#include <inttypes.h>
#include <string.h>

#define AT(type, member) .offset = offsetof(struct type, member)
#define PATH_LENGTH_MAX 4096

static const struct MpField listen_fields[] = {
    {.name = "callers",
     .type = MP_FIELD_ADDRESS,
     AT(MpListenConf, callers),
     .description = "Address for callers; required for a router."},
    {.name = "operators",
     .type = MP_FIELD_ADDRESS,
     AT(MpListenConf, operators),
     .description = "Address for operators and metrics."},
    {.name = "rpc",
     .type = MP_FIELD_ADDRESS,
     AT(MpListenConf, rpc),
     .description =
         "Address for RPCs of other instances; required for a control "
         "instance and a relay."},
    {.name = "peers",
     .type = MP_FIELD_ADDRESS,
     AT(MpListenConf, peers),
     .description =
         "Address for other routers, which borrow parts of budgets here and "
         "send by way of this one when they have no path to a target; "
         "without it this router requests budget from the control instances "
         "only, and passes requests on from a free port of the host of "
         "`callers`, if that is a single one."},
    {.name = "ready",
     .type = MP_FIELD_ADDRESS,
     AT(MpListenConf, ready),
     .description =
         "Address for readiness checks of a load balancer, in addition to "
         "`callers`."},
    {.name = "metrics",
     .type = MP_FIELD_ADDRESS,
     AT(MpListenConf, metrics),
     .description = "Address that serves the metrics without a token."},
    {.name = NULL},
};
static const struct MpSchema listen_schema = {.name = "listen",
                                              .size =
                                                  sizeof(struct MpListenConf),
                                              .fields = listen_fields};

static const struct MpField replica_fields[] = {
    {.name = "instance",
     .type = MP_FIELD_NAME,
     .is_required = true,
     AT(MpReplicaConf, instance),
     .description = "Name of a control instance."},
    {.name = "rpc",
     .type = MP_FIELD_ADDRESS,
     .is_required = true,
     AT(MpReplicaConf, rpc),
     .description = "RPC address of that control instance."},
    {.name = NULL},
};
static const struct MpSchema replica_schema = {
    .name = "control instance",
    .size = sizeof(struct MpReplicaConf),
    .fields = replica_fields};

static const struct MpField seed_fields[] = {
    {.name = "address",
     .type = MP_FIELD_ADDRESS,
     .is_required = true,
     AT(MpSeedConf, address),
     .description =
         "Any address of a control instance; only the host is used."},
    {.name = NULL},
};
static const struct MpSchema seed_schema = {
    .name = "seed", .size = sizeof(struct MpSeedConf), .fields = seed_fields};

static const struct MpField target_list_fields[] = {
    {.name = "address",
     .type = MP_FIELD_ADDRESS,
     AT(MpTargetListConf, address),
     .description =
         "Server of the target list, whose targets are used in addition "
         "to those in the document."},
    {.name = "interval_ms",
     .type = MP_FIELD_INTEGER,
     .min = 50,
     .max = 3600000,
     .default_value = 1000,
     .unit = "ms",
     AT(MpTargetListConf, interval_ms),
     .description = "Interval between two reads of the list."},
    {.name = NULL},
};
static const struct MpSchema target_list_schema = {
    .name = "target list",
    .size = sizeof(struct MpTargetListConf),
    .fields = target_list_fields};

static const struct MpField retry_fields[] = {
    {.name = "ratio",
     .type = MP_FIELD_MILLI,
     .max = 10000,
     .default_value = 200,
     AT(MpRetryConf, ratio_permille),
     .description = "Retries allowed, as a fraction of a pool's requests."},
    {.name = "slack",
     .type = MP_FIELD_INTEGER,
     .max = 1000000,
     .default_value = 20,
     .unit = "attempts",
     AT(MpRetryConf, slack),
     .description =
         "Retries that are always allowed in a window, over the whole "
         "fleet."},
    {.name = "window_s",
     .type = MP_FIELD_MILLI,
     .min = 100,
     .max = 3600000,
     .default_value = 10000,
     .unit = "s",
     AT(MpRetryConf, window_ms),
     .description = "Window over which requests and retries are counted."},
    {.name = NULL},
};
static const struct MpSchema retry_schema = {.name = "retries",
                                             .size =
                                                 sizeof(struct MpRetryConf),
                                             .fields = retry_fields};

static const struct MpField cold_fields[] = {
    {.name = "overshoot",
     .type = MP_FIELD_MILLI,
     .max = 1000000,
     .default_value = 1000,
     AT(MpColdBoundConf, overshoot_permille),
     .description = "Factor of the cold rate of the pool."},
    {.name = "tolerance",
     .type = MP_FIELD_MILLI,
     .max = 1000000000,
     .default_value = 0,
     .unit = "requests",
     AT(MpColdBoundConf, tolerance_milli),
     .description = "Requests that may come on top."},
    {.name = NULL},
};
static const struct MpSchema cold_schema = {.name = "cold targets",
                                            .size =
                                                sizeof(struct MpColdBoundConf),
                                            .fields = cold_fields};

static const struct MpField machine_fields[] = {
    {.name = "link_mbps",
     .type = MP_FIELD_MILLI,
     .max = 1000000000,
     .unit = "Mbit/s",
     AT(MpMachineConf, link_kbps),
     .description = "Speed of the network link, each way."},
    {.name = "cpu_share",
     .type = MP_FIELD_MILLI,
     .max = 1000000,
     .unit = "cores",
     AT(MpMachineConf, cpu_share_permille),
     .description = "Part of each core that the process gets."},
    {.name = "cores",
     .type = MP_FIELD_MILLI,
     .max = 1024000,
     .default_value = 1000,
     AT(MpMachineConf, cores_milli),
     .description = "Cores of the machine."},
    {.name = "descriptors_max",
     .type = MP_FIELD_INTEGER,
     .max = 100000000,
     AT(MpMachineConf, descriptors_max),
     .description = "Most descriptors that the process may open."},
    {.name = NULL},
};
static const struct MpSchema machine_schema = {
    .name = "machine",
    .size = sizeof(struct MpMachineConf),
    .fields = machine_fields};

static const char *const routing_names[] = {"affinity", "random", "least_own",
                                            NULL};

static const struct MpField settings_fields[] = {
    {.name = "instance",
     .type = MP_FIELD_NAME,
     .is_required = true,
     AT(MpSettings, instance),
     .description = "Name of this instance, unique in the fleet."},
    {.name = "zone",
     .type = MP_FIELD_NAME,
     .is_required = true,
     AT(MpSettings, zone),
     .description = "Availability zone of this instance."},
    {.name = "region",
     .type = MP_FIELD_STRING,
     .min = 1,
     .max = 64,
     AT(MpSettings, region),
     .description = "Region of this instance's zone."},
    {.name = "zones",
     .type = MP_FIELD_TABLE,
     .max = 4096,
     AT(MpSettings, zones),
     .description =
         "Region of each zone.  Where requests may be served only in certain "
         "regions, zones that are not named are left out."},
    {.name = "roles",
     .type = MP_FIELD_NAMES,
     .is_required = true,
     .min = 1,
     .max = 2,
     AT(MpSettings, roles),
     .description =
         "`router` serves callers, `control` keeps the durable state, "
         "`relay` forwards requests of operators to control instances."},
    {.name = "listen",
     .type = MP_FIELD_OBJECT,
     .is_required = true,
     .schema = &listen_schema,
     AT(MpSettings, listen),
     .description = "Addresses of this instance."},
    {.name = "control",
     .type = MP_FIELD_LIST,
     .max = 7,
     .schema = &replica_schema,
     AT(MpSettings, control),
     .description = "The control instances, the same list on every instance; "
                    "alternatively use `seeds`."},
    {.name = "seeds",
     .type = MP_FIELD_LIST,
     .max = 7,
     .schema = &seed_schema,
     AT(MpSettings, seeds),
     .description =
         "Known control instances, if the set of them may change; the "
         "others are discovered through these."},
    {.name = "rpc_port",
     .type = MP_FIELD_INTEGER,
     .min = 1,
     .max = 65535,
     .default_value = 7700,
     AT(MpSettings, rpc_port),
     .description = "Port of `listen.rpc` on all control instances; used with "
                    "`seeds`."},
    {.name = "bootstrap",
     .type = MP_FIELD_BOOLEAN,
     .default_value = 1,
     AT(MpSettings, may_bootstrap),
     .description =
         "Whether control instances that are all empty may form a new "
         "cluster."},
    {.name = "dialect",
     .type = MP_FIELD_NAME,
     AT(MpSettings, dialect),
     .description =
         "Set of names of the headers, calls and fields that callers, "
         "targets and operators use; `own` if not set."},
    {.name = "fleet_key",
     .type = MP_FIELD_STRING,
     .min = 16,
     .max = 256,
     AT(MpSettings, fleet_key),
     .description = "Secret that the instances share; alternative to "
                    "`fleet_key_file`."},
    {.name = "target_list",
     .type = MP_FIELD_OBJECT,
     .schema = &target_list_schema,
     AT(MpSettings, target_list),
     .description =
         "Source of targets that are added and removed at run time."},
    {.name = "retries",
     .type = MP_FIELD_OBJECT,
     .schema = &retry_schema,
     AT(MpSettings, retries),
     .description = "Retry budget of requests on the paths of the document."},
    {.name = "cold",
     .type = MP_FIELD_OBJECT,
     .schema = &cold_schema,
     AT(MpSettings, cold),
     .description =
         "Bound of the requests that a cold target gets in any one second "
         "from all instances: `cold_rate` of its pool x `overshoot` + "
         "`tolerance`."},
    {.name = "machine",
     .type = MP_FIELD_OBJECT,
     .schema = &machine_schema,
     AT(MpSettings, machine),
     .description =
         "Limits of the machine, by which a router hands requests over "
         "before it is overloaded; 0 or absent: none."},
    {.name = "data_folder",
     .type = MP_FIELD_STRING,
     .min = 1,
     .max = PATH_LENGTH_MAX,
     AT(MpSettings, data_folder),
     .description =
         "Folder for durable files; required for a control instance."},
    {.name = "fleet_key_file",
     .type = MP_FIELD_STRING,
     .min = 1,
     .max = PATH_LENGTH_MAX,
     AT(MpSettings, fleet_key_file),
     .description =
         "File with the secret that the instances share; required, unless "
         "`fleet_key` is set or this is the only control instance."},
    {.name = "operator_token_file",
     .type = MP_FIELD_STRING,
     .min = 1,
     .max = PATH_LENGTH_MAX,
     AT(MpSettings, operator_token_file),
     .description = "File with the token of operators; required with "
                    "`listen.operators`, unless `dialect` is set."},
    {.name = "first_document",
     .type = MP_FIELD_STRING,
     .min = 1,
     .max = PATH_LENGTH_MAX,
     AT(MpSettings, first_document),
     .description =
         "File with the document that is submitted if the fleet has none."},
    {.name = "drain_ms",
     .type = MP_FIELD_INTEGER,
     .min = 0,
     .max = 3600000,
     .default_value = 600000,
     .unit = "ms",
     AT(MpSettings, drain_ms),
     .description =
         "Longest time that a stopping instance waits for its running "
         "requests."},
    {.name = "drain_notice_ms",
     .type = MP_FIELD_INTEGER,
     .min = 0,
     .max = 600000,
     .default_value = 1500,
     .unit = "ms",
     AT(MpSettings, drain_notice_ms),
     .description =
         "Time for load balancers to notice that a stopping instance is "
         "not ready; new requests are still served meanwhile."},
    {.name = "stop_within_s",
     .type = MP_FIELD_MILLI,
     .min = 0,
     .max = 3600000,
     .default_value = 0,
     .unit = "s",
     AT(MpSettings, stop_within_ms),
     .description =
         "Time after which a stopping instance is killed from outside; it "
         "exits shortly before.  0: none, `drain_ms` applies."},
    {.name = "body_most_bytes",
     .type = MP_FIELD_INTEGER,
     .min = 1024,
     .max = 67108864,
     .default_value = 4194304,
     .unit = "bytes",
     AT(MpSettings, body_max_bytes),
     .description = "Largest body of a request."},
    {.name = "requests_most",
     .type = MP_FIELD_INTEGER,
     .min = 1,
     .max = 1000000,
     .default_value = 4096,
     .unit = "requests",
     AT(MpSettings, requests_max),
     .description =
         "Concurrent requests on this instance, including queued ones."},
    {.name = "connections_most",
     .type = MP_FIELD_INTEGER,
     .min = 0,
     .max = 1000000,
     .default_value = 0,
     .unit = "connections",
     AT(MpSettings, connections_max),
     .description =
         "Open connections of callers; close to it those of least use are "
         "closed.  0: half of the descriptors that the process may open, "
         "without 64.  Operators, metrics and readiness checks may have a "
         "quarter of it each, and so may strangers at `listen.rpc` and "
         "`listen.peers`."},
    {.name = "memory_max_bytes",
     .type = MP_FIELD_INTEGER,
     .min = 0,
     .max = INT64_C(1) << 40,
     .default_value = 0,
     .unit = "bytes",
     AT(MpSettings, memory_max_bytes),
     .description =
         "Most that is held for callers and targets in all: bodies, whole or "
         "in part, and responses that were not taken.  0: three quarters of "
         "`memory_mb` without 40 MB for the process itself, or 256 MB if "
         "that is not set, but at least four of the largest bodies."},
    {.name = "operator_memory_max_bytes",
     .type = MP_FIELD_INTEGER,
     .min = 0,
     .max = INT64_C(1) << 40,
     .default_value = 0,
     .unit = "bytes",
     AT(MpSettings, operator_memory_max_bytes),
     .description =
         "Most that is held of operators' requests, whole or in part; with "
         "`memory_mb` the default of `memory_max_bytes` is less by so much.  "
         "0: a quarter of `memory_mb` without 40 MB for the process itself, "
         "or 64 MB if that is not set, but at least two bodies of 8 MB.  "
         "Without `listen.operators` 4 MB; `listen.ready` has 4 MB of its "
         "own."},
    {.name = "memory_mb",
     .type = MP_FIELD_INTEGER,
     .min = 0,
     .max = 1 << 20,
     .default_value = 0,
     .unit = "MB",
     AT(MpSettings, memory_mb),
     .description =
         "Memory that this process may use in all; 0: not known.  Each "
         "process of a machine has its own."},
    {.name = "routing",
     .type = MP_FIELD_CHOICE,
     .choices = routing_names,
     AT(MpSettings, routing),
     .description =
         "Policy for choosing targets; `random` and `least_own` are "
         "baselines for measurements."},
    {.name = "zone_cost_us_per_kb",
     .type = MP_FIELD_INTEGER,
     .min = 0,
     .max = 1000000,
     .default_value = 0,
     .unit = "us",
     AT(MpSettings, zone_cost_us_per_kb),
     .description =
         "Wait that a request may bear to save a KB between zones.  0: bytes "
         "are not weighed."},
    {.name = NULL},
};
const struct MpSchema MpSettings_Schema = {.name = "settings",
                                           .size = sizeof(struct MpSettings),
                                           .fields = settings_fields};

/* ---- checks across keys ---- */

static void
require(const char *value, const char *path, const char *message,
        GPtrArray *findings)
{
    if (!value) {
        MpFindings_Add(findings, MP_FINDING_MISSING, 0, path, "%s", message);
    }
}

static void
check_roles(struct MpSettings *this, GPtrArray *findings)
{
    for (guint i = 0; i < this->roles->len; i++) {
        const char *role = g_ptr_array_index(this->roles, i);
        if (strcmp(role, "router") == 0) {
            this->is_router = true;
        }
        else if (strcmp(role, "control") == 0) {
            this->is_control = true;
        }
        else if (strcmp(role, "relay") == 0) {
            this->is_relay = true;
        }
        else {
            MpFindings_Add(findings, MP_FINDING_VALUE, 0, "roles",
                           "\"%s\" is not a role; \"router\", \"control\" "
                           "and \"relay\" are",
                           role);
        }
    }
    if (this->is_relay && (this->is_control || this->is_router)) {
        MpFindings_Add(findings, MP_FINDING_VALUE, 0, "roles",
                       "a relay has no other role");
    }
}

static void
check_control(const struct MpSettings *this, GPtrArray *findings)
{
    bool is_listed = false;
    GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < this->control->len; i++) {
        const struct MpReplicaConf *replica =
            g_ptr_array_index(this->control, i);
        if (!replica->instance || !replica->rpc) {
            continue;
        }
        if (!g_hash_table_add(names, replica->instance)) {
            MpFindings_Add(findings, MP_FINDING_DUPLICATE, 0, "control",
                           "instance \"%s\" stands twice", replica->instance);
        }
        is_listed =
            is_listed || g_strcmp0(replica->instance, this->instance) == 0;
    }
    if (this->is_control && !is_listed && this->seeds->len == 0) {
        MpFindings_Add(findings, MP_FINDING_REFERENCE, 0, "control",
                       "this control instance is not in the list");
    }
    g_hash_table_unref(names);
}

static void
check_dependencies(struct MpSettings *this, GPtrArray *findings)
{
    check_roles(this, findings);
    check_control(this, findings);
    if (this->is_router) {
        require(this->listen.callers, "listen.callers",
                "a router needs an address for callers", findings);
    }
    if (this->is_control) {
        require(this->listen.rpc, "listen.rpc",
                "a control instance needs an address for instances", findings);
        require(this->data_folder, "data_folder",
                "a control instance needs a data folder", findings);
    }
    if (this->is_relay) {
        require(this->listen.operators, "listen.operators",
                "a relay needs an address for operators", findings);
        require(this->listen.rpc, "listen.rpc",
                "a relay needs an address for instances", findings);
    }
    if (this->control->len == 0 && this->seeds->len == 0) {
        MpFindings_Add(findings, MP_FINDING_MISSING, 0, "control",
                       "name the control instances, or `seeds`");
    }
    if (this->listen.operators && !this->dialect) {
        require(this->operator_token_file, "operator_token_file",
                "the address for operators needs a token", findings);
    }
    if (this->memory_max_bytes > 0 &&
        this->memory_max_bytes < 2 * this->body_max_bytes) {
        MpFindings_Add(findings, MP_FINDING_VALUE, 0, "memory_max_bytes",
                       "two bodies of `body_most_bytes` have to fit");
    }
    if (this->operator_memory_max_bytes > 0 &&
        this->operator_memory_max_bytes < MP_OPERATOR_MEMORY_MIN_BYTES) {
        MpFindings_Add(findings, MP_FINDING_VALUE, 0,
                       "operator_memory_max_bytes",
                       "two bodies of 8 MB have to fit");
    }
    if (this->fleet_key &&
        strspn(this->fleet_key, " \t\r\n") == strlen(this->fleet_key)) {
        MpFindings_Add(findings, MP_FINDING_MISSING, 0, "fleet_key",
                       "the shared secret of the instances is empty");
    }
    if (this->control->len != 1 || !this->is_control) {
        require(this->fleet_key ? this->fleet_key : this->fleet_key_file,
                "fleet_key_file", "several instances need a shared secret",
                findings);
    }
}

/* ---- loading and release ---- */

struct MpSettings *
MpSettings_Parse(const char *text, size_t size, const char *folder,
                 GPtrArray *findings)
{
    guint before = findings->len;
    struct json_object *value = MpJson_Parse(text, size, findings);
    if (!value) {
        return NULL;
    }
    struct MpSettings *this = g_new0(struct MpSettings, 1);
    MpSchema_Decode(&MpSettings_Schema, value, "", this, findings);
    json_object_put(value);
    this->base_folder = g_strdup(folder);
    check_dependencies(this, findings);
    if (findings->len > before) {
        MpSettings_Delete(this);
        return NULL;
    }
    return this;
}

struct MpSettings *
MpSettings_Load(const char *name, GPtrArray *findings)
{
    char *text = NULL;
    gsize size = 0;
    GError *error = NULL;
    if (!g_file_get_contents(name, &text, &size, &error)) {
        MpFindings_Add(findings, MP_FINDING_SYNTAX, 0, "", "%s",
                       error->message);
        g_error_free(error);
        return NULL;
    }
    char *folder = g_path_get_dirname(name);
    struct MpSettings *this = MpSettings_Parse(text, size, folder, findings);
    g_free(folder);
    g_free(text);
    return this;
}

void
MpSettings_Delete(struct MpSettings *this)
{
    if (!this) {
        return;
    }
    MpSchema_Free(&MpSettings_Schema, this);
    g_free(this->base_folder);
    g_free(this);
}

GPtrArray *
MpSettings_ReplicaAddresses(const struct MpSettings *this)
{
    GPtrArray *list = g_ptr_array_new_with_free_func(g_free);
    for (guint i = 0; i < this->control->len; i++) {
        const struct MpReplicaConf *replica =
            g_ptr_array_index(this->control, i);
        g_ptr_array_add(list, g_strdup(replica->rpc));
    }
    for (guint i = 0; i < this->seeds->len; i++) {
        const struct MpSeedConf *seed = g_ptr_array_index(this->seeds, i);
        const char *colon = strrchr(seed->address, ':');
        g_ptr_array_add(list, g_strdup_printf("%.*s:%" PRId64,
                                              (int)(colon - seed->address),
                                              seed->address, this->rpc_port));
    }
    return list;
}

char *
MpSettings_ResolvePath(const struct MpSettings *this, const char *name)
{
    return g_path_is_absolute(name)
               ? g_strdup(name)
               : g_build_filename(this->base_folder, name, NULL);
}
