#include "state/Settings.h"

#include "state/Document.h"

#include <inttypes.h>
#include <string.h>

#define AT(type, member) .offset = offsetof(struct type, member)
#define PATH_LENGTH_MAX 4096

static const struct MpField listen_fields[] = {
    {.name = "callers",
     .type = MP_FIELD_ADDRESS,
     AT(MpListen, callers),
     .description = "Where callers connect; needed by a router."},
    {.name = "operators",
     .type = MP_FIELD_ADDRESS,
     AT(MpListen, operators),
     .description = "Where operators and metrics connect."},
    {.name = "rpc",
     .type = MP_FIELD_ADDRESS,
     AT(MpListen, rpc),
     .description =
         "Where other instances connect; needed by a control instance "
         "and a relay."},
    {.name = "peers",
     .type = MP_FIELD_ADDRESS,
     AT(MpListen, peers),
     .description =
         "Where other routers borrow parts of budgets; without it this "
         "router asks the control instances alone."},
    {.name = "ready",
     .type = MP_FIELD_ADDRESS,
     AT(MpListen, ready),
     .description =
         "Where a balancer asks whether callers can be served, if not "
         "at `callers`."},
    {.name = "metrics",
     .type = MP_FIELD_ADDRESS,
     AT(MpListen, metrics),
     .description = "Where counters and histograms are told without a token."},
    {.name = NULL},
};
static const struct MpSchema listen_schema = {.name = "listen",
                                              .size = sizeof(struct MpListen),
                                              .fields = listen_fields};

static const struct MpField peer_fields[] = {
    {.name = "instance",
     .type = MP_FIELD_NAME,
     .is_required = true,
     AT(MpPeer, instance),
     .description = "Name of a control instance."},
    {.name = "rpc",
     .type = MP_FIELD_ADDRESS,
     .is_required = true,
     AT(MpPeer, rpc),
     .description = "Its address for other instances."},
    {.name = NULL},
};
static const struct MpSchema peer_schema = {.name = "control instance",
                                            .size = sizeof(struct MpPeer),
                                            .fields = peer_fields};

static const struct MpField seed_fields[] = {
    {.name = "address",
     .type = MP_FIELD_ADDRESS,
     .is_required = true,
     AT(MpSeed, address),
     .description =
         "Any address of a control instance; only its host counts."},
    {.name = NULL},
};
static const struct MpSchema seed_schema = {
    .name = "seed", .size = sizeof(struct MpSeed), .fields = seed_fields};

static const struct MpField target_list_fields[] = {
    {.name = "address",
     .type = MP_FIELD_ADDRESS,
     AT(MpTargetListConf, address),
     .description = "Who tells the targets, beside the document."},
    {.name = "interval_ms",
     .type = MP_FIELD_INTEGER,
     .min = 50,
     .max = 3600000,
     .default_value = 1000,
     .unit = "ms",
     AT(MpTargetListConf, interval_ms),
     .description = "Pause between two readings of the list."},
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
     .description =
         "Attempts beyond the first, as a part of a pool's requests."},
    {.name = "slack",
     .type = MP_FIELD_INTEGER,
     .max = 1000000,
     .default_value = 20,
     .unit = "attempts",
     AT(MpRetryConf, slack),
     .description =
         "Such attempts that are always allowed in a window, over the "
         "whole fleet."},
    {.name = "window_s",
     .type = MP_FIELD_MILLI,
     .min = 100,
     .max = 3600000,
     .default_value = 10000,
     .unit = "s",
     AT(MpRetryConf, window_ms),
     .description = "Time over which attempts are counted."},
    {.name = NULL},
};
static const struct MpSchema retry_schema = {.name = "retries",
                                             .size =
                                                 sizeof(struct MpRetryConf),
                                             .fields = retry_fields};

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
    {.name = "roles",
     .type = MP_FIELD_NAMES,
     .is_required = true,
     .min = 1,
     .max = 2,
     AT(MpSettings, roles),
     .description =
         "`router` serves callers, `control` keeps the durable state, "
         "`relay` takes the calls of operators to control instances."},
    {.name = "listen",
     .type = MP_FIELD_OBJECT,
     .is_required = true,
     .schema = &listen_schema,
     AT(MpSettings, listen),
     .description = "Addresses of this instance."},
    {.name = "control",
     .type = MP_FIELD_LIST,
     .max = 7,
     .schema = &peer_schema,
     AT(MpSettings, control),
     .description =
         "The control instances, the same list on every instance; or "
         "`seeds`."},
    {.name = "seeds",
     .type = MP_FIELD_LIST,
     .max = 7,
     .schema = &seed_schema,
     AT(MpSettings, seeds),
     .description =
         "Control instances that are known, where they may change; the "
         "others are learned from them."},
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
         "Names of the headers, calls and fields that callers, targets "
         "and operators use; `own` if it is not set."},
    {.name = "fleet_key",
     .type = MP_FIELD_STRING,
     .min = 16,
     .max = 256,
     AT(MpSettings, fleet_key),
     .description =
         "The secret that the instances share, where it is no file."},
    {.name = "target_list",
     .type = MP_FIELD_OBJECT,
     .schema = &target_list_schema,
     AT(MpSettings, target_list),
     .description = "List of targets that come and go."},
    {.name = "retries",
     .type = MP_FIELD_OBJECT,
     .schema = &retry_schema,
     AT(MpSettings, retries),
     .description =
         "Bound of further attempts on the routes of the document."},
    {.name = "data_folder",
     .type = MP_FIELD_STRING,
     .min = 1,
     .max = PATH_LENGTH_MAX,
     AT(MpSettings, data_folder),
     .description = "Folder for durable files; needed by a control instance."},
    {.name = "fleet_key_file",
     .type = MP_FIELD_STRING,
     .min = 1,
     .max = PATH_LENGTH_MAX,
     AT(MpSettings, fleet_key_file),
     .description =
         "File with the secret that the instances share; needed when "
         "there is more than one control instance."},
    {.name = "operator_token_file",
     .type = MP_FIELD_STRING,
     .min = 1,
     .max = PATH_LENGTH_MAX,
     AT(MpSettings, operator_token_file),
     .description = "File with the token of operators; needed with "
                    "`listen.operators`."},
    {.name = "first_document",
     .type = MP_FIELD_STRING,
     .min = 1,
     .max = PATH_LENGTH_MAX,
     AT(MpSettings, first_document),
     .description = "Document that is submitted when the fleet has none."},
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
         "Time in which a balancer notices that a stopping instance is "
         "not ready; new requests are still served in it."},
    {.name = "stop_within_s",
     .type = MP_FIELD_MILLI,
     .min = 0,
     .max = 3600000,
     .default_value = 0,
     .unit = "s",
     AT(MpSettings, stop_within_ms),
     .description =
         "Time after which a stopping instance is killed; it ends a "
         "little before.  0 for none: then `drain_ms` counts."},
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
         "Requests at once on this instance, waiting ones included."},
    {.name = "routing",
     .type = MP_FIELD_CHOICE,
     .choices = routing_names,
     AT(MpSettings, routing),
     .description = "How targets are picked; `random` and `least_own` are "
                    "baselines for measurements."},
    {.name = NULL},
};
const struct MpSchema MpSettings_Schema = {.name = "settings",
                                           .size = sizeof(struct MpSettings),
                                           .fields = settings_fields};

/* ---- rules over several keys ---- */

static void
need(const char *value, const char *path, const char *why, GPtrArray *findings)
{
    if (!value) {
        MpFindings_Add(findings, MP_FINDING_MISSING, 0, path, "%s", why);
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
check_peers(const struct MpSettings *this, GPtrArray *findings)
{
    bool is_listed = false;
    GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < this->control->len; i++) {
        const struct MpPeer *peer = g_ptr_array_index(this->control, i);
        if (!peer->instance || !peer->rpc) {
            continue;
        }
        if (!g_hash_table_add(names, peer->instance)) {
            MpFindings_Add(findings, MP_FINDING_DUPLICATE, 0, "control",
                           "instance \"%s\" stands twice", peer->instance);
        }
        is_listed =
            is_listed || g_strcmp0(peer->instance, this->instance) == 0;
    }
    if (this->is_control && !is_listed && this->seeds->len == 0) {
        MpFindings_Add(findings, MP_FINDING_REFERENCE, 0, "control",
                       "this control instance is not in the list");
    }
    g_hash_table_unref(names);
}

static void
check_rules(struct MpSettings *this, GPtrArray *findings)
{
    check_roles(this, findings);
    check_peers(this, findings);
    if (this->is_router) {
        need(this->listen.callers, "listen.callers",
             "a router needs an address for callers", findings);
    }
    if (this->is_control) {
        need(this->listen.rpc, "listen.rpc",
             "a control instance needs an address for instances", findings);
        need(this->data_folder, "data_folder",
             "a control instance needs a data folder", findings);
    }
    if (this->is_relay) {
        need(this->listen.operators, "listen.operators",
             "a relay needs an address for operators", findings);
        need(this->listen.rpc, "listen.rpc",
             "a relay needs an address for instances", findings);
    }
    if (this->control->len == 0 && this->seeds->len == 0) {
        MpFindings_Add(findings, MP_FINDING_MISSING, 0, "control",
                       "name the control instances, or `seeds`");
    }
    if (this->listen.operators && !this->dialect) {
        need(this->operator_token_file, "operator_token_file",
             "the address for operators needs a token", findings);
    }
    if (this->control->len != 1 || !this->is_control) {
        need(this->fleet_key ? this->fleet_key : this->fleet_key_file,
             "fleet_key_file", "several instances need a shared secret",
             findings);
    }
}

/* ---- life ---- */

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
    this->folder = g_strdup(folder);
    check_rules(this, findings);
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
    g_free(this->folder);
    g_free(this);
}

GPtrArray *
MpSettings_ReplicaAddresses(const struct MpSettings *this)
{
    GPtrArray *list = g_ptr_array_new_with_free_func(g_free);
    for (guint i = 0; i < this->control->len; i++) {
        const struct MpPeer *peer = g_ptr_array_index(this->control, i);
        g_ptr_array_add(list, g_strdup(peer->rpc));
    }
    for (guint i = 0; i < this->seeds->len; i++) {
        const struct MpSeed *seed = g_ptr_array_index(this->seeds, i);
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
               : g_build_filename(this->folder, name, NULL);
}
