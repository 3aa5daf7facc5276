#include "transport/ControlApi.h"

#include "state/Error.h"
#include "transport/ControlZones.h"
#include "transport/ErrorBody.h"
#include "transport/Exchange.h"

#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define JSON_TYPE "application/json"

static int64_t
deadline(void)
{
    return MpLoop_Now() + MP_OPERATOR_TIMEOUT_MS;
}

static bool
is_method(const struct MpOperatorCall *call, const char *method)
{
    return MpHttp_Equals(call->req->method, method);
}

static void
send_json(struct MpOperatorCall *call, int status, struct json_object *root)
{
    MpOperatorCall_Send(
        call, status, JSON_TYPE,
        json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
    json_object_put(root);
}

static void
add_number(struct json_object *object, const char *name, int64_t number)
{
    json_object_object_add(object, name, json_object_new_int64(number));
}

static void
add_text(struct json_object *object, const char *name, const char *text)
{
    json_object_object_add(object, name, json_object_new_string(text));
}

/* ---- document ---- */

static void
on_document_read(void *data, int code, const struct mp_read_reply *reply)
{
    struct MpOperatorCall *call = data;
    if (code != MP_OK) {
        MpOperatorCall_Fail(call, code, NULL);
        return;
    }
    if (reply->document_version == 0) {
        MpOperatorCall_Fail(call, MP_ERROR_NOT_FOUND, NULL);
        return;
    }
    if (call->req) {
        char version[32];
        g_snprintf(version, sizeof(version), "\"%" PRIu64 "\"",
                   (uint64_t)reply->document_version);
        MpHttp_AddHeader(call->req, "etag", version);
        MpHttp_AddHeader(call->req, "x-mimosapath-author", reply->author);
    }
    MpOperatorCall_Send(call, 200, JSON_TYPE, reply->document);
}

static void
on_document_put(void *data, int code, const struct mp_result *result)
{
    struct MpOperatorCall *call = data;
    code = code == MP_OK ? result->code : code;
    if (code != MP_OK && code != MP_ERROR_VERSION) {
        MpOperatorCall_Fail(call, code, NULL);
        return;
    }
    if (code == MP_ERROR_VERSION) {
        char *detail = g_strdup_printf("The current version is %" PRIu64 ".",
                                       (uint64_t)result->number);
        MpOperatorCall_Fail(call, code, detail);
        g_free(detail);
        return;
    }
    struct json_object *root = json_object_new_object();
    add_number(root, "version", (int64_t)result->number);
    send_json(call, 200, root);
}

static void
refuse_document(struct MpOperatorCall *call, const GPtrArray *findings)
{
    char *text = MpErrorBody_Format(MP_ERROR_INVALID, NULL, "no");
    struct json_object *root = json_tokener_parse(text);
    struct json_object *list = json_object_new_array();
    for (guint i = 0; i < findings->len; i++) {
        const struct MpFinding *finding = g_ptr_array_index(findings, i);
        struct json_object *item = json_object_new_object();
        add_text(item, "path", finding->path);
        add_text(item, "kind", MpFinding_KindName(finding->kind));
        add_text(item, "text", finding->text);
        add_number(item, "line", finding->line);
        json_object_array_add(list, item);
    }
    json_object_object_add(root, "findings", list);
    send_json(call, 400, root);
    g_free(text);
}

void
MpControlApi_PutDocument(struct MpOperatorCall *call, const char *text,
                         uint64_t base_version, const char *submission,
                         const char *author, MpProposeDone done)
{
    struct mp_command command = {.body = {.kind = MP_CMD_DOCUMENT}};
    GPtrArray *findings = MpFindings_New();
    struct MpDocument *document =
        MpDocument_Parse(text, strlen(text), findings);
    if (!document) {
        refuse_document(call, findings);
        g_ptr_array_unref(findings);
        return;
    }
    command.body.mp_command_body_u.document = (struct mp_document_put){
        .submission = (char *)submission,
        .author = (char *)author,
        .base_version = base_version,
        .retention_ms = document->retention_s * 1000,
        .text = (char *)text,
    };
    struct mp_document_put *put = &command.body.mp_command_body_u.document;
    put->grants.grants_val =
        MpDocument_ListGrants(document, &put->grants.grants_len);
    call->is_proposed = true;
    MpControlClient_Propose(call->server->control, &command, deadline(), done,
                            call);
    g_free(put->grants.grants_val);
    MpDocument_Unref(document);
    g_ptr_array_unref(findings);
}

/* Parses a version, plain or quoted as in If-Match: "7".  Returns false if
 * text is not a version. */
static bool
read_version(const char *text, uint64_t *version)
{
    char *end;
    if (!text) {
        return false;
    }
    text += *text == '"';
    *version = strtoull(text, &end, 10);
    return end != text && (*end == '\0' || strcmp(end, "\"") == 0);
}

static bool
is_valid_id(const char *text)
{
    return text && text[0] && strlen(text) <= MP_KEY_MAX;
}

static void
put_document(struct MpOperatorCall *call)
{
    uint64_t base_version = 0;
    char *match = MpHttp_CopyHeader(call->req, "if-match");
    char *submission = MpHttp_CopyHeader(call->req, "idempotency-key");
    char *author = MpHttp_CopyHeader(call->req, "x-mimosapath-author");
    h2o_iovec_t body = call->req->entity;
    if (!read_version(match, &base_version)) {
        MpOperatorCall_Fail(call, MP_ERROR_INVALID,
                            "If-Match must hold the base version.");
    }
    else if (!is_valid_id(submission)) {
        MpOperatorCall_Fail(call, MP_ERROR_INVALID,
                            "Idempotency-Key must name the submission.");
    }
    else if (body.len == 0 || memchr(body.base, 0, body.len)) {
        MpOperatorCall_Fail(call, MP_ERROR_INVALID,
                            "The body must hold the document.");
    }
    else {
        call->document_text = g_strndup(body.base, body.len);
        MpControlApi_PutDocument(
            call, call->document_text, base_version, submission,
            author && strlen(author) <= MP_NAME_MAX ? author : "",
            on_document_put);
    }
    g_free(match);
    g_free(submission);
    g_free(author);
}

/* ---- workspaces ---- */

static void
on_workspace_read(void *data, int code, const struct mp_read_reply *reply)
{
    struct MpOperatorCall *call = data;
    if (code == MP_OK && reply->accounts.accounts_len == 0) {
        code = MP_ERROR_NOT_FOUND;
    }
    if (code != MP_OK) {
        MpOperatorCall_Fail(call, code, NULL);
        return;
    }
    const struct mp_account_status *account = &reply->accounts.accounts_val[0];
    struct json_object *root = json_object_new_object();
    add_text(root, "workspace", account->workspace);
    add_number(root, "budget_mtok", account->granted_mtok);
    add_number(root, "settled_mtok", account->settled_mtok);
    add_number(root, "reserved_mtok", account->reserved_mtok);
    add_number(root, "leased_mtok", account->leased_mtok);
    send_json(call, 200, root);
}

static void
on_topped_up(void *data, int code, const struct mp_result *result)
{
    struct MpOperatorCall *call = data;
    if (!MpOperatorCall_CheckResult(call, code, result)) {
        return;
    }
    struct json_object *root = json_object_new_object();
    add_text(root, "workspace", call->workspace);
    add_number(root, "budget_mtok", result->amount_mtok);
    send_json(call, 200, root);
}

int
MpControlApi_Topup(struct MpOperatorCall *call, const char *workspace,
                   const char *topup_id, int64_t amount_mtok,
                   MpProposeDone done)
{
    const struct MpDocument *document = call->server->control->document;
    if (amount_mtok <= 0 || amount_mtok > MP_AMOUNT_MAX_MTOK ||
        !is_valid_id(topup_id)) {
        return MP_ERROR_INVALID;
    }
    if (!document || !g_hash_table_contains(document->workspaces, workspace)) {
        return MP_ERROR_NOT_FOUND;
    }
    struct mp_command command = {.body = {.kind = MP_CMD_TOPUP}};
    command.body.mp_command_body_u.topup =
        (struct mp_topup){.workspace = (char *)workspace,
                          .topup_id = (char *)topup_id,
                          .amount_mtok = amount_mtok};
    call->workspace = g_strdup(workspace);
    call->is_proposed = true;
    MpControlClient_Propose(call->server->control, &command, deadline(), done,
                            call);
    return MP_OK;
}

static bool
read_amount(const h2o_req_t *req, int64_t *amount_mtok)
{
    GPtrArray *findings = MpFindings_New();
    struct json_object *value;
    struct json_object *root = MpJson_Parse(
        req->entity.len ? req->entity.base : "", req->entity.len, findings);
    bool is_valid = findings->len == 0 &&
                    json_object_is_type(root, json_type_object) &&
                    json_object_object_get_ex(root, "amount_mtok", &value) &&
                    json_object_is_type(value, json_type_int);
    if (is_valid) {
        *amount_mtok = json_object_get_int64(value);
    }
    json_object_put(root);
    g_ptr_array_unref(findings);
    return is_valid;
}

static void
post_topup(struct MpOperatorCall *call, const char *workspace)
{
    int64_t amount_mtok = 0;
    char *topup_id = MpHttp_CopyHeader(call->req, "idempotency-key");
    int code = read_amount(call->req, &amount_mtok)
                   ? MpControlApi_Topup(call, workspace, topup_id, amount_mtok,
                                        on_topped_up)
                   : MP_ERROR_INVALID;
    g_free(topup_id);
    if (code == MP_ERROR_INVALID) {
        MpOperatorCall_Fail(call, code,
                            "The body must be {\"amount_mtok\": N}, N above "
                            "0, and Idempotency-Key must name the top-up.");
    }
    else if (code != MP_OK) {
        MpOperatorCall_Fail(call, code, NULL);
    }
}

static void
serve_workspace(struct MpOperatorCall *call, const char *rest)
{
    char **parts = g_strsplit(rest, "/", 3);
    if (parts[0] && parts[0][0] && !parts[1] && is_method(call, "GET")) {
        MpControlClient_ReadState(call->server->control, parts[0], deadline(),
                                  on_workspace_read, call);
    }
    else if (parts[0] && parts[1] && strcmp(parts[1], "topups") == 0 &&
             !parts[2] && is_method(call, "POST")) {
        post_topup(call, parts[0]);
    }
    else {
        MpOperatorCall_Fail(call, MP_ERROR_NOT_FOUND, NULL);
    }
    g_strfreev(parts);
}

/* ---- status ---- */

static struct json_object *
members_json(const struct mp_read_reply *reply)
{
    struct json_object *list = json_object_new_array();
    for (u_int i = 0; i < reply->members.list.list_len; i++) {
        const struct mp_member *member = &reply->members.list.list_val[i];
        struct json_object *item = json_object_new_object();
        char id[20];
        g_snprintf(id, sizeof(id), "%016" PRIx64, (uint64_t)member->id);
        add_text(item, "replica", id);
        add_text(item, "instance", member->instance);
        add_text(item, "address", member->address);
        json_object_object_add(item, "voter",
                               json_object_new_boolean(member->voter));
        json_object_object_add(
            item, "leader",
            json_object_new_boolean(strcmp(member->address, reply->leader) ==
                                    0));
        json_object_array_add(list, item);
    }
    return list;
}

static struct json_object *
instances_json(const struct mp_read_reply *reply)
{
    struct json_object *list = json_object_new_array();
    for (u_int i = 0; i < reply->instances.instances_len; i++) {
        const struct mp_instance_status *from =
            &reply->instances.instances_val[i];
        struct json_object *item = json_object_new_object();
        add_text(item, "instance", from->incarnation.instance);
        add_number(item, "boot", (int64_t)from->incarnation.boot);
        add_number(item, "document_version", (int64_t)from->document_version);
        add_number(item, "heard_ms_ago", from->since_call_ms);
        json_object_object_add(item, "draining",
                               json_object_new_boolean(from->draining));
        json_object_array_add(list, item);
    }
    return list;
}

static struct json_object *
accounts_json(const struct mp_read_reply *reply)
{
    struct json_object *list = json_object_new_array();
    for (u_int i = 0; i < reply->accounts.accounts_len; i++) {
        const struct mp_account_status *account =
            &reply->accounts.accounts_val[i];
        struct json_object *item = json_object_new_object();
        add_text(item, "workspace", account->workspace);
        add_number(item, "budget_mtok", account->granted_mtok);
        add_number(item, "settled_mtok", account->settled_mtok);
        add_number(item, "reserved_mtok", account->reserved_mtok);
        add_number(item, "leased_mtok", account->leased_mtok);
        json_object_array_add(list, item);
    }
    return list;
}

static struct json_object *
history_json(const struct mp_read_reply *reply)
{
    struct json_object *list = json_object_new_array();
    for (u_int i = 0; i < reply->history.history_len; i++) {
        const struct mp_history *entry = &reply->history.history_val[i];
        struct json_object *item = json_object_new_object();
        add_number(item, "version", (int64_t)entry->document_version);
        add_number(item, "at_ms", entry->at_ms);
        add_text(item, "author", entry->author);
        add_text(item, "submission", entry->submission);
        json_object_array_add(list, item);
    }
    return list;
}

static void
on_status_read(void *data, int code, const struct mp_read_reply *reply)
{
    struct MpOperatorCall *call = data;
    if (code != MP_OK) {
        MpOperatorCall_Fail(call, code, NULL);
        return;
    }
    struct json_object *root = json_object_new_object();
    add_number(root, "document_version", (int64_t)reply->document_version);
    add_number(root, "term", (int64_t)reply->term);
    add_number(root, "applied", (int64_t)reply->applied);
    json_object_object_add(root, "control", members_json(reply));
    json_object_object_add(root, "instances", instances_json(reply));
    json_object_object_add(root, "workspaces", accounts_json(reply));
    json_object_object_add(root, "history", history_json(reply));
    add_number(root, "zones_version", (int64_t)reply->zones_version);
    json_object_object_add(root, "zones", MpControlZones_List(reply));
    send_json(call, 200, root);
}

/* ---- write-off ---- */

static void
on_written_off(void *data, int code, const struct mp_result *result)
{
    struct MpOperatorCall *call = data;
    if (!MpOperatorCall_CheckResult(call, code, result)) {
        return;
    }
    struct json_object *root = json_object_new_object();
    add_number(root, "freed_mtok", result->amount_mtok);
    send_json(call, 200, root);
}

/* The body is {"boot": N}, the boot number of the incarnation to write off,
 * which must have ended. */
static void
post_writeoff(struct MpOperatorCall *call, const char *instance)
{
    struct mp_command command = {.body = {.kind = MP_CMD_WRITEOFF}};
    h2o_iovec_t body = call->req->entity;
    GPtrArray *findings = MpFindings_New();
    struct json_object *value = NULL;
    struct json_object *root =
        MpJson_Parse(body.len ? body.base : "", body.len, findings);
    bool is_valid = json_object_is_type(root, json_type_object) &&
                    json_object_object_get_ex(root, "boot", &value) &&
                    json_object_get_int64(value) > 0 &&
                    MpSchema_IsName(instance);
    if (is_valid) {
        command.body.mp_command_body_u.writeoff = (struct mp_writeoff){
            .incarnation = {.instance = (char *)instance,
                            .boot = (uint64_t)json_object_get_int64(value)},
            .with_paths = true};
        call->is_proposed = true;
        MpControlClient_Propose(call->server->control, &command, deadline(),
                                on_written_off, call);
    }
    else {
        MpOperatorCall_Fail(call, MP_ERROR_INVALID,
                            "The body must be {\"boot\": N}.");
    }
    json_object_put(root);
    g_ptr_array_unref(findings);
}

/* ---- dispatch ---- */

void
MpControlApi_Serve(struct MpOperatorCall *call)
{
    const char *rest = call->path + strlen(MP_CONTROL_API_PREFIX);
    if (g_str_has_prefix(rest, "document?version=") &&
        is_method(call, "GET")) {
        MpControlClient_ReadDocument(
            call->server->control,
            strtoull(rest + strlen("document?version="), NULL, 10), deadline(),
            on_document_read, call);
    }
    else if (strcmp(rest, "document") == 0 && is_method(call, "GET")) {
        MpControlClient_ReadDocument(call->server->control, 0, deadline(),
                                     on_document_read, call);
    }
    else if (strcmp(rest, "document") == 0 && is_method(call, "PUT")) {
        put_document(call);
    }
    else if (strcmp(rest, "status") == 0 && is_method(call, "GET")) {
        MpControlClient_ReadState(call->server->control, "", deadline(),
                                  on_status_read, call);
    }
    else if (strcmp(rest, "drain") == 0 && is_method(call, "POST")) {
        MpOperatorCall_Send(call, 200, JSON_TYPE, "{\"draining\":true}");
        raise(SIGTERM);
    }
    else if (g_str_has_prefix(rest, "zones/")) {
        MpControlZones_Serve(call, rest + strlen("zones/"));
    }
    else if (g_str_has_prefix(rest, "workspaces/")) {
        serve_workspace(call, rest + strlen("workspaces/"));
    }
    else if (g_str_has_prefix(rest, "instances/") &&
             g_str_has_suffix(rest, "/writeoff") && is_method(call, "POST")) {
        const char *name = rest + strlen("instances/");
        char *instance = g_strndup(name, strcspn(name, "/"));
        post_writeoff(call, instance);
        g_free(instance);
    }
    else {
        MpOperatorCall_Fail(call, MP_ERROR_NOT_FOUND, NULL);
    }
}
