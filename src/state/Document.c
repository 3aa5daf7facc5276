#include "state/Document.h"

#include <string.h>

/* SHA-256 of an empty key. */
#define EMPTY_KEY_HASH                                                        \
    "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
#define BLANKS " \t\r\n"

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
add_empty_key(const char *workspace, GPtrArray *findings)
{
    char *path = g_strdup_printf("workspaces.%s.key_hashes", workspace);
    MpFindings_Add(findings, MP_FINDING_VALUE, 0, path, "a key is empty");
    g_free(path);
}

static void
index_keys(struct MpDocument *this, const char *workspace,
           const struct MpWorkspaceConf *conf, bool is_stored,
           GPtrArray *findings)
{
    for (guint i = 0; i < conf->key_hashes->len; i++) {
        char *hash = g_ptr_array_index(conf->key_hashes, i);
        if (strcmp(hash, EMPTY_KEY_HASH) == 0) {
            if (!is_stored) {
                add_empty_key(workspace, findings);
            }
            continue;
        }
        const char *owner = g_hash_table_lookup(this->workspaces_by_key, hash);
        if (owner) {
            char *path =
                g_strdup_printf("workspaces.%s.key_hashes", workspace);
            MpFindings_Add(findings, MP_FINDING_DUPLICATE, 0, path,
                           "workspace \"%s\" has the same key", owner);
            g_free(path);
            continue;
        }
        g_hash_table_insert(this->workspaces_by_key, hash, (char *)workspace);
    }
}

static void
check_workspaces(struct MpDocument *this, bool is_stored, GPtrArray *findings)
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
        index_keys(this, name, conf, is_stored, findings);
        g_free(path);
    }
}

/* ---- paths ---- */

static bool
is_valid_prefix(const char *prefix)
{
    size_t length = prefix ? strlen(prefix) : 0;
    return length > 0 && prefix[0] == '/' && prefix[length - 1] == '/';
}

static void
check_shares(const struct MpDocument *this, const struct MpPathConf *path,
             const char *location, GPtrArray *findings)
{
    int64_t sum = 0;
    for (guint i = 0; i < path->shares->len; i++) {
        const struct MpShareConf *share = g_ptr_array_index(path->shares, i);
        sum += share->weight;
        if (share->pool && !g_hash_table_contains(this->pools, share->pool)) {
            MpFindings_Add(findings, MP_FINDING_REFERENCE, 0, location,
                           "there is no pool \"%s\"", share->pool);
        }
    }
    if (sum <= 0) {
        MpFindings_Add(findings, MP_FINDING_VALUE, 0, location,
                       "the weights add up to 0");
    }
}

/* Returns the key of an entry of paths_by_prefix; free it with g_free. */
static char *
path_key(const char *host, const char *prefix)
{
    return g_strdup_printf("%s\n%s", host, prefix);
}

static void
index_path(struct MpDocument *this, struct MpPathConf *path,
           const char *location, GPtrArray *findings)
{
    char *host = g_ascii_strdown(path->host, -1);
    char *key = path_key(host, path->prefix);
    g_free(host);
    const struct MpPathConf *other =
        g_hash_table_lookup(this->paths_by_prefix, key);
    if (other) {
        MpFindings_Add(findings, MP_FINDING_DUPLICATE, 0, location,
                       "path \"%s\" has the same host and prefix",
                       other->name);
        g_free(key);
        return;
    }
    g_hash_table_insert(this->paths_by_prefix, key, path);
}

static void
check_path(struct MpDocument *this, struct MpPathConf *path,
           GPtrArray *findings)
{
    char *location = g_strdup_printf("paths.%s", path->name);
    check_shares(this, path, location, findings);
    if (!path->host || !is_valid_prefix(path->prefix)) {
        MpFindings_Add(findings, MP_FINDING_VALUE, 0, location,
                       "the prefix must start and end with a slash");
    }
    else {
        index_path(this, path, location, findings);
    }
    if (path->timeout_ms <= 0) {
        MpFindings_Add(findings, MP_FINDING_RANGE, 0, location,
                       "the timeout must be at least 1 ms");
    }
    g_free(location);
}

static void
check_paths(struct MpDocument *this, GPtrArray *findings)
{
    GHashTableIter iter;
    void *name;
    void *value;
    g_hash_table_iter_init(&iter, this->paths);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        struct MpPathConf *path = value;
        path->name = name;
        check_path(this, path, findings);
    }
}

const struct MpPathConf *
MpDocument_FindPath(const struct MpDocument *this, const char *host,
                    const char *path)
{
    /* Prefixes end with a slash, so path is shortened slash by slash; the
     * first match is the longest one. */
    char *key = path_key(host, path);
    char *start = strchr(key, '\n') + 1;
    const struct MpPathConf *found = NULL;
    char *slash;
    while (!found && (slash = strrchr(start, '/'))) {
        slash[1] = '\0';
        found = g_hash_table_lookup(this->paths_by_prefix, key);
        slash[0] = '\0';
    }
    g_free(key);
    return found;
}

/* ---- creation and release ---- */

static struct MpDocument *
document_alloc(void)
{
    struct MpDocument *this = g_new0(struct MpDocument, 1);
    this->references = 1;
    this->workspaces_by_key = g_hash_table_new(g_str_hash, g_str_equal);
    this->paths_by_prefix =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
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
MpDocument_Finish(struct MpDocument *this, bool is_stored, GPtrArray *findings)
{
    if (is_stored) {
        MpFindings_DropRetired(findings);
    }
    check_models(this, findings);
    check_services(this, findings);
    check_paths(this, findings);
    check_workspaces(this, is_stored, findings);
    if (findings->len > 0) {
        MpDocument_Unref(this);
        return NULL;
    }
    return this;
}

/* Parses text; ignores what only earlier builds accepted if is_stored. */
static struct MpDocument *
parse_document(const char *text, size_t size, bool is_stored,
               GPtrArray *findings)
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
    return MpDocument_Finish(this, is_stored, findings);
}

struct MpDocument *
MpDocument_Parse(const char *text, size_t size, GPtrArray *findings)
{
    return parse_document(text, size, false, findings);
}

struct MpDocument *
MpDocument_Load(const char *text, size_t size, GPtrArray *findings)
{
    return parse_document(text, size, true, findings);
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
    g_hash_table_unref(this->workspaces_by_key);
    g_hash_table_unref(this->paths_by_prefix);
    MpSchema_Free(&MpDocument_Schema, this);
    g_free(this);
}

/* ---- lookup ---- */

char *
MpDocument_HashKey(const char *key)
{
    return g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
}

const char *
MpDocument_FindWorkspace(const struct MpDocument *this, const char *key)
{
    if (key[strspn(key, BLANKS)] == '\0') {
        return NULL;
    }
    char *hash = MpDocument_HashKey(key);
    const char *workspace = g_hash_table_lookup(this->workspaces_by_key, hash);
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
MpServiceConf_FindRoute(const struct MpServiceConf *this, const char *method,
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
MpDocument_ListContains(const GPtrArray *list, const char *name)
{
    return g_ptr_array_find_with_equal_func((GPtrArray *)list, name,
                                            g_str_equal, NULL);
}

struct mp_grant *
MpDocument_ListGrants(const struct MpDocument *this, u_int *count)
{
    GHashTableIter iter;
    void *name;
    void *value;
    struct mp_grant *list =
        g_new0(struct mp_grant, g_hash_table_size(this->workspaces) + 1);
    *count = 0;
    g_hash_table_iter_init(&iter, this->workspaces);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        const struct MpWorkspaceConf *workspace = value;
        if (workspace->prepaid_tokens >= 0) {
            list[(*count)++] = (struct mp_grant){
                .workspace = name,
                .prepaid_mtok = workspace->prepaid_tokens * MP_MTOK_PER_TOKEN};
        }
    }
    return list;
}
