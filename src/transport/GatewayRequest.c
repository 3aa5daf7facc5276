#include "transport/GatewayRequest.h"

#include "state/Error.h"
#include "transport/HopHeaders.h"
#include "transport/HttpServer.h"

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

/* Longest id of a stream that is taken up, bytes; a longer one is ignored. */
#define RESUMES_MAX_BYTES 128

static bool
is_in_list(const char *name, size_t size, const char *const *list)
{
    for (size_t i = 0; list[i]; i++) {
        if (strlen(list[i]) == size &&
            g_ascii_strncasecmp(list[i], name, size) == 0) {
            return true;
        }
    }
    return false;
}

/* ---- the caller's request ---- */

static const char *
get_header(const h2o_req_t *req, const char *name, size_t *size)
{
    ssize_t at = h2o_find_header_by_str(&req->headers, name, strlen(name), -1);
    if (at < 0) {
        return NULL;
    }
    *size = req->headers.entries[at].value.len;
    return req->headers.entries[at].value.base;
}

/* h2o looks headers up by their lower-case name. */
static const char *
find_header(const h2o_req_t *req, const char *name, size_t *size)
{
    char lower[64];
    g_strlcpy(lower, name, sizeof(lower));
    for (char *at = lower; *at; at++) {
        *at = g_ascii_tolower(*at);
    }
    return get_header(req, lower, size);
}

static int
read_meta(struct MpGatewayCall *call, const h2o_req_t *req)
{
    const struct MpCallerHeaders *names = &call->gateway->dialect->caller;
    struct MpRequestMeta *meta = &call->meta;
    size_t size;
    const char *value = find_header(req, names->deadline, &size);
    meta->resume_after = -1;
    if (value && !MpRequestMeta_ParseNumber(value, size, &meta->deadline_ms)) {
        return MP_ERROR_INVALID;
    }
    value = find_header(req, names->last_event_id, &size);
    if (value &&
        !MpRequestMeta_ParseNumber(value, size, &meta->resume_after)) {
        return MP_ERROR_INVALID;
    }
    value = find_header(req, names->tokens, &size);
    if (value && !MpRequestMeta_ParseTokens(meta, value, size)) {
        return MP_ERROR_INVALID;
    }
    value = find_header(req, names->parts, &size);
    if (value && call->path->has_affinity) {
        MpRequestMeta_ParseParts(meta, value, size);
    }
    value = find_header(req, names->request_id, &size);
    if (value && size > 0) {
        call->id = g_strndup(value, size);
    }
    else if (call->gateway->dialect->names_requests) {
        call->id = g_strdup_printf("r%016" PRIx64, call->run_id);
    }
    value = find_header(req, names->resumes, &size);
    call->resumes = value && meta->resume_after >= 0 && size > 0 &&
                            size <= RESUMES_MAX_BYTES
                        ? g_strndup(value, size)
                        : NULL;
    return MP_OK;
}

static int
read_workspace(struct MpGatewayCall *call, const h2o_req_t *req)
{
    const struct MpCallerHeaders *names = &call->gateway->dialect->caller;
    size_t prefix = strlen(names->api_key_prefix);
    size_t size;
    if (call->path->is_anonymous) {
        return MP_OK;
    }
    const char *value = find_header(req, names->api_key, &size);
    if (!value || size < prefix ||
        g_ascii_strncasecmp(value, names->api_key_prefix, prefix) != 0) {
        return MP_ERROR_NO_KEY;
    }
    char *key = g_strndup(value + prefix, size - prefix);
    call->workspace = MpDocument_FindWorkspace(call->document, key);
    g_free(key);
    return call->workspace ? MP_OK : MP_ERROR_UNKNOWN_KEY;
}

static const struct MpPathConf *
find_path(const struct MpGatewayCall *call, const h2o_req_t *req)
{
    char *host = g_ascii_strdown(req->input.authority.base,
                                 (gssize)req->input.authority.len);
    char *path = g_strndup(req->input.path.base, req->input.path.len);
    const struct MpPathConf *conf =
        MpDocument_FindPath(call->document, host, path);
    g_free(host);
    g_free(path);
    return conf;
}

static void
append(GByteArray *out, const char *data, size_t size)
{
    g_byte_array_append(out, (const guint8 *)data, (guint)size);
}

static void
append_text(GByteArray *out, const char *text)
{
    append(out, text, strlen(text));
}

static void
append_header(GByteArray *out, const char *name, const char *value)
{
    append_text(out, name);
    append_text(out, ": ");
    append_text(out, value);
    append_text(out, "\r\n");
}

/* Builds the request line and the headers that are forwarded unchanged. */
static void
build_head(struct MpGatewayCall *call, const h2o_req_t *req)
{
    const struct MpTargetHeaders *names = &call->gateway->dialect->target;
    const char *const replaced[] = {names->deadline,   names->incarnation,
                                    names->workspace,  names->last_event_id,
                                    names->request_id, NULL};
    char *connection = MpHttp_CopyHeader(req, "connection");
    call->head = g_byte_array_sized_new(512);
    append(call->head, req->input.method.base, req->input.method.len);
    append_text(call->head, " ");
    append(call->head, req->input.path.base, req->input.path.len);
    append_text(call->head, " HTTP/1.1\r\nHost: ");
    append(call->head, req->input.authority.base, req->input.authority.len);
    append_text(call->head, "\r\n");
    for (size_t i = 0; i < req->headers.size; i++) {
        const h2o_header_t *header = &req->headers.entries[i];
        const char *name = header->name->base;
        size_t size = header->name->len;
        if (MpHopHeaders_Contains(connection, name, size) ||
            is_in_list(name, size, replaced) ||
            is_in_list(name, size, names->reserved)) {
            continue;
        }
        append(call->head, name, size);
        append_text(call->head, ": ");
        append(call->head, header->value.base, header->value.len);
        append_text(call->head, "\r\n");
    }
    if (call->id) {
        append_header(call->head, names->request_id, call->id);
    }
    g_free(connection);
}

/* Returns the size of the request head as received, in bytes, without optional
 * white space, which h2o strips. */
static int64_t
head_size(const h2o_req_t *req)
{
    size_t size = req->input.method.len + req->input.path.len +
                  strlen("  HTTP/1.1\r\n\r\n");
    for (size_t i = 0; i < req->headers.size; i++) {
        size += req->headers.entries[i].name->len +
                req->headers.entries[i].value.len + strlen(": \r\n");
    }
    return (int64_t)size;
}

static void
hash_field(XXH3_state_t *state, const char *data, size_t size)
{
    XXH3_128bits_update(state, data, size);
    XXH3_128bits_update(state, "", 1);
}

/* Two requests have the same fingerprint if workspace, method, host, path and
 * body are equal.  Ids and deadlines are left out, as they differ each time a
 * request is sent. */
static void
set_fingerprint(struct MpGatewayCall *call, const h2o_req_t *req)
{
    const char *workspace = call->workspace ? call->workspace : "";
    XXH3_state_t *state = XXH3_createState();
    XXH128_canonical_t canonical;
    XXH3_128bits_reset(state);
    hash_field(state, workspace, strlen(workspace));
    hash_field(state, req->input.method.base, req->input.method.len);
    hash_field(state, req->input.authority.base, req->input.authority.len);
    hash_field(state, req->input.path.base, req->input.path.len);
    hash_field(state, req->entity.base ? req->entity.base : "",
               req->entity.len);
    XXH128_canonicalFromHash(&canonical, XXH3_128bits_digest(state));
    XXH3_freeState(state);
    memcpy(call->fingerprint, canonical.digest, MP_HASH_BYTES);
    for (size_t i = 0; i < MP_FINGERPRINT_LOG_BYTES; i++) {
        g_snprintf(call->fingerprint_hex + 2 * i, 3, "%02x",
                   call->fingerprint[i]);
    }
}

/* Sets where the request may be served, by its path and its workspace. */
static void
set_regions(struct MpGatewayCall *call)
{
    const struct MpWorkspaceConf *workspace =
        call->workspace
            ? g_hash_table_lookup(call->document->workspaces, call->workspace)
            : NULL;
    call->regions = (struct MpRegionRule){
        .regions = &call->gateway->regions,
        .by_path = call->path->allowed_regions,
        .by_workspace = workspace ? workspace->allowed_regions : NULL};
}

int
MpGatewayRequest_Read(struct MpGatewayCall *call, const h2o_req_t *req)
{
    call->path = find_path(call, req);
    if (!call->path) {
        return MP_ERROR_NOT_FOUND;
    }
    int code = read_workspace(call, req);
    if (code == MP_OK) {
        code = read_meta(call, req);
    }
    if (code != MP_OK) {
        return code;
    }
    if (head_size(req) > call->document->limits.header_max_bytes) {
        return MP_ERROR_HEAD_TOO_LARGE;
    }
    if ((int64_t)req->entity.len > call->document->limits.body_max_bytes) {
        return MP_ERROR_TOO_LARGE;
    }
    set_regions(call);
    call->is_head = MpHttp_Equals(req->input.method, "HEAD");
    set_fingerprint(call, req);
    build_head(call, req);
    if (req->entity.base) {
        call->body = MpRequestBody_New(req, call->gateway->memory);
    }
    return MP_OK;
}

/* ---- the request to the target ---- */

GByteArray *
MpGatewayRequest_Build(const struct MpGatewayCall *call,
                       const struct MpPoolTarget *target, int64_t left_ms)
{
    const struct MpTargetHeaders *names = &call->gateway->dialect->target;
    char number[24];
    GByteArray *out = g_byte_array_sized_new(call->head->len + 256);
    append(out, (const char *)call->head->data, call->head->len);
    g_snprintf(number, sizeof(number), "%" PRId64, left_ms);
    append_header(out, names->deadline, number);
    append_header(out, names->incarnation, target->incarnation);
    if (call->workspace) {
        append_header(out, names->workspace, call->workspace);
    }
    if (call->forward.last_event >= 0) {
        g_snprintf(number, sizeof(number), "%" PRId64,
                   call->forward.last_event);
        append_header(out, names->last_event_id, number);
    }
    if (call->body) {
        g_snprintf(number, sizeof(number), "%zu", call->body->size);
        append_header(out, "Content-Length", number);
    }
    append_text(out, "\r\n");
    return out;
}

/* ---- the target's response ---- */

void
MpGatewayRequest_AddId(const struct MpGatewayCall *call, h2o_req_t *req)
{
    const struct MpDialect *dialect = call->gateway->dialect;
    if (call->id && dialect->names_requests) {
        MpHttp_AddHeader(req, dialect->caller.request_id, call->id);
    }
}

void
MpGatewayRequest_CopyHeaders(const struct MpTargetHead *head, h2o_req_t *req)
{
    size_t size = 0;
    const char *value = MpTargetHead_Find(head, "connection", &size);
    char *connection = value ? g_strndup(value, size) : NULL;
    for (size_t i = 0; i < head->count; i++) {
        const struct MpTargetHeader *header = &head->headers[i];
        MpHopHeaders_Forward(
            req, connection, h2o_iovec_init(header->name, header->name_size),
            h2o_iovec_init(header->value, header->value_size));
    }
    g_free(connection);
}

void
MpGatewayRequest_ClearHeaders(h2o_req_t *req)
{
    req->res.headers.size = 0;
}
