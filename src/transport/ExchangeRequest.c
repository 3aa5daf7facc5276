#include "transport/Exchange.h"

#include "transport/HttpMemory.h"

#include <string.h>
#include <xxhash.h>

/* Parsing the request of an exchange: workspace, key, model or service. */

/* What a chat request takes besides its body, in sizes of the body: the text
 * without comments, the prompt, and the body for the engine. */
#define PARSED_FACTOR 3
/* Left for heads and receive buffers where a chat takes the whole account,
 * bytes. */
#define PARSE_SPARE_BYTES (256 * 1024)

static bool
is_safe_method(const char *method)
{
    return strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0 ||
           strcmp(method, "OPTIONS") == 0;
}

static char *
bearer_key(const h2o_req_t *req)
{
    char *header = MpHttp_CopyHeader(req, "authorization");
    char *key = NULL;
    if (header && g_ascii_strncasecmp(header, "Bearer ", 7) == 0 &&
        header[7]) {
        key = g_strdup(header + 7);
    }
    g_free(header);
    return key;
}

static int
identify_workspace(struct MpExchange *this, const h2o_req_t *req)
{
    char *key = bearer_key(req);
    if (!key) {
        return MP_ERROR_NO_KEY;
    }
    const char *name = MpDocument_FindWorkspace(this->document, key);
    g_free(key);
    if (!name) {
        return MP_ERROR_UNKNOWN_KEY;
    }
    this->workspace = g_strdup(name);
    this->workspace_conf =
        g_hash_table_lookup(this->document->workspaces, name);
    return MP_OK;
}

static bool
is_key_valid(const char *key)
{
    size_t length = strlen(key);
    for (size_t i = 0; i < length; i++) {
        if (!g_ascii_isgraph(key[i])) {
            return false;
        }
    }
    return length > 0 && length <= MP_KEY_MAX;
}

static int
parse_key(struct MpExchange *this, const h2o_req_t *req, const char **why)
{
    this->key = MpHttp_CopyHeader(req, "idempotency-key");
    if (!this->key) {
        this->key = g_strconcat("auto-", this->request_id, NULL);
        this->has_auto_key = true;
        return MP_OK;
    }
    if (!is_key_valid(this->key)) {
        *why = "Idempotency-Key must be 1 to 160 printable ASCII characters.";
        return MP_ERROR_INVALID;
    }
    return MP_OK;
}

/* Returns what the parsed chat counts, so that one chat alone fits also where
 * the limit of the account is less than it takes. */
static int64_t
parsed_bytes(const struct MpExchange *this)
{
    int64_t size = (int64_t)this->body->size;
    int64_t room = MpMemoryAccount_LargestFit(&this->router->memory) - size -
                   PARSE_SPARE_BYTES;
    return MIN(PARSED_FACTOR * size, MAX(room, 0));
}

static int
parse_chat(struct MpExchange *this, const char **why)
{
    this->is_chat = true;
    if (strcmp(this->method, "POST") != 0) {
        return MP_ERROR_METHOD;
    }
    if (!MpHttpMemory_MakeRoom(&this->router->memory, &this->memory,
                               parsed_bytes(this), MP_MEMORY_PARSED)) {
        return MP_ERROR_MEMORY;
    }
    this->memory.use = MP_MEMORY_RUNNING;
    this->parsed_bytes = this->memory.held_bytes;
    int code =
        MpChat_Parse(&this->chat, this->body->data, this->body->size, why);
    if (code != MP_OK) {
        return code;
    }
    this->model =
        g_hash_table_lookup(this->document->models, this->chat.model);
    if (!this->model || !MpDocument_ListContains(this->workspace_conf->models,
                                                 this->chat.model)) {
        return MP_ERROR_NOT_ALLOWED;
    }
    this->targets = this->model->targets;
    this->queue_name = this->chat.model;
    this->reserve_mtok = MpChat_WorstCaseCost(&this->chat, this->model);
    this->block_count = MpPicker_HashBlocks(
        this->chat.prompt->str, this->chat.prompt->len, this->blocks);
    this->wants_usage = this->chat.wants_usage;
    return MP_OK;
}

#define SERVICES_PREFIX "/services/"

static int
parse_service(struct MpExchange *this)
{
    const char *name = this->path + strlen(SERVICES_PREFIX);
    size_t length = strcspn(name, "/?");
    char *service = g_strndup(name, length);
    void *stored_name;
    this->service = g_hash_table_lookup(this->document->services, service);
    bool is_allowed =
        this->service &&
        MpDocument_ListContains(this->workspace_conf->services, service);
    if (is_allowed) {
        g_hash_table_lookup_extended(this->document->services, service,
                                     &stored_name, NULL);
        this->queue_name = stored_name;
    }
    g_free(service);
    if (!is_allowed) {
        return MP_ERROR_NOT_ALLOWED;
    }
    const char *rest = name + length;
    char *route_path = g_strndup(rest, strcspn(rest, "?"));
    const struct MpRouteConf *route =
        MpServiceConf_FindRoute(this->service, this->method, route_path);
    g_free(route_path);
    this->targets = this->service->targets;
    this->at_most_once =
        route ? route->is_at_most_once : !is_safe_method(this->method);
    this->reserve_mtok = route && route->price_mtok >= 0
                             ? route->price_mtok
                             : this->service->price_mtok;
    return MP_OK;
}

static void
hash_body(struct MpExchange *this)
{
    XXH3_state_t *state = XXH3_createState();
    XXH128_canonical_t canonical;
    XXH3_128bits_reset(state);
    XXH3_128bits_update(state, this->method, strlen(this->method) + 1);
    XXH3_128bits_update(state, this->path, strlen(this->path) + 1);
    XXH3_128bits_update(state, this->body->data ? this->body->data : "",
                        this->body->size);
    XXH128_canonicalFromHash(&canonical, XXH3_128bits_digest(state));
    memcpy(this->body_hash, canonical.digest, MP_HASH_BYTES);
    XXH3_freeState(state);
}

int
MpExchange_ParseRequest(struct MpExchange *this, const h2o_req_t *req,
                        const char **why)
{
    int code = identify_workspace(this, req);
    if (code == MP_OK) {
        code = parse_key(this, req, why);
    }
    if (code != MP_OK) {
        return code;
    }
    hash_body(this);
    if (strcmp(this->path, "/v1/chat/completions") == 0) {
        return parse_chat(this, why);
    }
    if (g_str_has_prefix(this->path, SERVICES_PREFIX)) {
        return parse_service(this);
    }
    return MP_ERROR_NOT_FOUND;
}
