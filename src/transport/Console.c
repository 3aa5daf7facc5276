#include "transport/Console.h"

#include "state/Error.h"
#include "transport/ConsolePaths.h"
#include "transport/ControlZones.h"
#include "transport/FormData.h"
#include "transport/Html.h"

#include <inttypes.h>
#include <openssl/crypto.h>
#include <string.h>

#define HTML_TYPE "text/html; charset=utf-8"
/* A workspace with less than 1/LOW_BUDGET_DIVISOR of its budget free is
 * marked. */
#define LOW_BUDGET_DIVISOR 10

/* ---- pages ---- */

char *
MpConsole_ErrorPage(int code, const char *detail)
{
    GString *page = MpHtml_BeginPage("That did not work");
    g_string_append(page, "<p class=\"bad\">");
    MpHtml_AppendEscaped(page, MpError_Info(code)->message);
    g_string_append(page, "</p><p>");
    MpHtml_AppendEscaped(page, detail);
    g_string_append(page, "</p>");
    return MpHtml_EndPage(page);
}

void
MpConsole_SendPage(struct MpOperatorCall *call, int status, GString *page)
{
    char *text = MpHtml_EndPage(page);
    MpOperatorCall_Send(call, status, HTML_TYPE, text);
    g_free(text);
}

static char *
csrf_token(const struct MpOperatorServer *server)
{
    return g_compute_hmac_for_string(
        G_CHECKSUM_SHA256, (const guchar *)server->token,
        strlen(server->token), "console form", -1);
}

void
MpConsole_AppendCsrfToken(const struct MpOperatorServer *server, GString *out)
{
    char *token = csrf_token(server);
    g_string_append_printf(
        out, "<input type=\"hidden\" name=\"code\" value=\"%s\">", token);
    g_free(token);
}

static bool
is_csrf_token_valid(const struct MpOperatorServer *server, GHashTable *form)
{
    char *token = csrf_token(server);
    const char *offered = MpFormData_Get(form, "code");
    bool is_valid = strlen(offered) == strlen(token) &&
                    CRYPTO_memcmp(offered, token, strlen(token)) == 0;
    g_free(token);
    return is_valid;
}

/* ---- status ---- */

/* Appends a table cell with an amount in whole tokens; digits are grouped by
 * three. */
static void
append_tokens(GString *out, int64_t amount_mtok)
{
    char *digits =
        g_strdup_printf("%" PRId64, amount_mtok / MP_MTOK_PER_TOKEN);
    size_t length = strlen(digits);
    g_string_append(out, "<td class=n>");
    for (size_t i = 0; i < length; i++) {
        if (i > 0 && (length - i) % 3 == 0 && digits[i - 1] != '-') {
            g_string_append(out, "&thinsp;");
        }
        g_string_append_c(out, digits[i]);
    }
    g_free(digits);
}

static void
append_accounts(GString *page, const struct mp_read_reply *reply)
{
    g_string_append(page, "<h2>Budgets, in tokens</h2><table><tr><th>workspace"
                          "<th>budget<th>settled<th>reserved<th>leased<th>free"
                          "<th></tr>");
    for (u_int i = 0; i < reply->accounts.accounts_len; i++) {
        const struct mp_account_status *account =
            &reply->accounts.accounts_val[i];
        int64_t free_mtok = account->granted_mtok - account->settled_mtok -
                            account->reserved_mtok - account->leased_mtok;
        bool is_low = free_mtok < account->granted_mtok / LOW_BUDGET_DIVISOR;
        g_string_append(page, "<tr><td>");
        MpHtml_AppendEscaped(page, account->workspace);
        append_tokens(page, account->granted_mtok);
        append_tokens(page, account->settled_mtok);
        append_tokens(page, account->reserved_mtok);
        append_tokens(page, account->leased_mtok);
        append_tokens(page, free_mtok);
        g_string_append_printf(page, "<td class=\"bad\">%s</tr>",
                               is_low ? "nearly used up" : "");
    }
    g_string_append(page, "</table>");
}

static void
append_instances(GString *page, const struct mp_read_reply *reply)
{
    g_string_append(page, "<h2>Instances</h2><table><tr><th>instance"
                          "<th>boot<th>document<th>last heard<th></tr>");
    for (u_int i = 0; i < reply->instances.instances_len; i++) {
        const struct mp_instance_status *status =
            &reply->instances.instances_val[i];
        bool is_outdated = status->document_version != reply->document_version;
        bool is_unresponsive = status->since_call_ms > 2000;
        g_string_append(page, "<tr><td>");
        MpHtml_AppendEscaped(page, status->incarnation.instance);
        g_string_append_printf(
            page,
            "<td class=n>%" PRIu64 "<td class=n>%" PRIu64
            "<td class=n>%.1f s ago<td class=\"bad\">%s%s%s</tr>",
            (uint64_t)status->incarnation.boot,
            (uint64_t)status->document_version,
            (double)status->since_call_ms / 1000,
            is_unresponsive ? "silent " : "",
            is_outdated ? "older document " : "",
            status->draining ? "leaving" : "");
    }
    g_string_append(page, "</table>");
}

static void
append_control(GString *page, const struct mp_read_reply *reply)
{
    g_string_append(page, "<h2>Control replicas</h2><table><tr><th>instance"
                          "<th>address<th>role</tr>");
    for (u_int i = 0; i < reply->members.list.list_len; i++) {
        const struct mp_member *member = &reply->members.list.list_val[i];
        bool is_leader = strcmp(member->address, reply->leader) == 0;
        g_string_append(page, "<tr><td>");
        MpHtml_AppendEscaped(page, member->instance);
        g_string_append(page, "<td>");
        MpHtml_AppendEscaped(page, member->address);
        g_string_append_printf(page, "<td>%s</tr>",
                               is_leader       ? "leader"
                               : member->voter ? "follower"
                                               : "joining");
    }
    g_string_append(page, "</table>");
}

static void
append_targets(GString *page, const struct MpRouter *router)
{
    int64_t now_ms = MpLoop_Now();
    GList *names = g_list_sort(g_hash_table_get_keys(router->picker.targets),
                               (GCompareFunc)strcmp);
    g_string_append(page, "<h2>Targets, as this instance sees them</h2>"
                          "<table><tr><th>target<th>address<th>zone"
                          "<th>load<th>state</tr>");
    for (GList *name = names; name; name = name->next) {
        const struct MpTarget *target =
            MpPicker_Find(&router->picker, name->data);
        enum MpTargetHealth health = MpTarget_Health(target, now_ms);
        if (!target->is_listed) {
            continue;
        }
        g_string_append_printf(page,
                               "<tr><td>%s<td>%s<td>%s<td class=n>%" PRId64
                               " of %" PRId64 "<td class=\"%s\">%s",
                               target->name, target->address, target->zone,
                               MpTarget_Load(target), target->capacity,
                               health == MP_HEALTH_OK ? "good" : "bad",
                               MpTargetHealth_Names[health]);
        if (health == MP_HEALTH_EJECTED) {
            g_string_append_printf(page, ", back in %" PRId64 " s",
                                   (target->ejected_until_ms - now_ms) / 1000 +
                                       1);
        }
        g_string_append(page, "</tr>");
    }
    g_string_append(page, "</table>");
    g_list_free(names);
}

static void
append_refusals(GString *page, const struct MpRouter *router)
{
    GHashTableIter iter;
    void *name;
    void *value;
    g_string_append(page, "<h2>Refusals here since the start</h2><table>"
                          "<tr><th>cause<th>requests</tr>");
    g_hash_table_iter_init(&iter, router->metrics.counters);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        static const char prefix[] = "mimosapath_refused_total{cause=\"";
        const char *series = name;
        if (!g_str_has_prefix(series, prefix)) {
            continue;
        }
        const char *cause = series + strlen(prefix);
        g_string_append_printf(
            page, "<tr><td>%.*s<td class=n>%" PRIu64 "</tr>",
            (int)strcspn(cause, "\""), cause, *(uint64_t *)value);
    }
    g_string_append(page, "</table>");
}

#define HISTORY_ROWS 5

static void
append_history(GString *page, const struct mp_read_reply *reply)
{
    u_int count = reply->history.history_len;
    g_string_append(page, "<h2>Last changes of the document</h2><table><tr>"
                          "<th>version<th>by<th>at (UTC)</tr>");
    for (u_int i = count; i > 0 && i + HISTORY_ROWS > count; i--) {
        const struct mp_history *entry = &reply->history.history_val[i - 1];
        GDateTime *at = g_date_time_new_from_unix_utc(entry->at_ms / 1000);
        char *time = g_date_time_format(at, "%Y-%m-%d %H:%M:%S");
        g_string_append_printf(page, "<tr><td class=n>%" PRIu64 "<td>",
                               (uint64_t)entry->document_version);
        MpHtml_AppendEscaped(page, entry->author);
        g_string_append_printf(page, "<td>%s</tr>", time);
        g_free(time);
        g_date_time_unref(at);
    }
    g_string_append(page, "</table>");
}

static void
on_status_read(void *data, int code, const struct mp_read_reply *reply)
{
    struct MpOperatorCall *call = data;
    if (code != MP_OK) {
        MpOperatorCall_Fail(call, code,
                            "Without a majority of the control replicas the "
                            "state cannot be told, and nothing can be "
                            "changed.");
        return;
    }
    GString *page = MpHtml_BeginPage("Status");
    g_string_append_printf(page, "<p>Document version %" PRIu64 ", by ",
                           (uint64_t)reply->document_version);
    MpHtml_AppendEscaped(page, reply->author[0] ? reply->author : "unknown");
    g_string_append(page, ".</p>");
    append_accounts(page, reply);
    append_history(page, reply);
    append_instances(page, reply);
    append_control(page, reply);
    MpControlZones_AppendPage(call, page, reply);
    if (call->server->router) {
        append_targets(page, call->server->router);
        MpConsolePaths_AppendTargets(page, &call->server->router->gateway);
        MpConsolePaths_AppendOutcomes(page, &call->server->router->gateway);
        append_refusals(page, call->server->router);
    }
    MpConsole_SendPage(call, 200, page);
}

/* ---- dispatch ---- */

static void
serve_get(struct MpOperatorCall *call)
{
    if (strcmp(call->path, "/") == 0) {
        MpControlClient_ReadState(call->server->control, "",
                                  MpLoop_Now() + MP_OPERATOR_TIMEOUT_MS,
                                  on_status_read, call);
    }
    else if (g_str_has_prefix(call->path, "/list/")) {
        MpConsoleEdit_List(call, call->path + strlen("/list/"));
    }
    else if (g_str_has_prefix(call->path, "/edit/")) {
        char **parts = g_strsplit(call->path + strlen("/edit/"), "/", 2);
        MpConsoleEdit_Form(call, parts[0] ? parts[0] : "",
                           parts[0] && parts[1] ? parts[1] : "");
        g_strfreev(parts);
    }
    else if (strcmp(call->path, "/document") == 0) {
        MpConsoleEdit_Document(call);
    }
    else {
        MpOperatorCall_Fail(call, MP_ERROR_NOT_FOUND, NULL);
    }
}

static void
serve_post(struct MpOperatorCall *call)
{
    h2o_iovec_t body = call->req->entity;
    GHashTable *form = MpFormData_Parse(body.base, body.len);
    if (!form) {
        MpOperatorCall_Fail(call, MP_ERROR_INVALID, NULL);
        return;
    }
    if (is_csrf_token_valid(call->server, form)) {
        MpConsoleEdit_Post(call, form);
    }
    else {
        MpOperatorCall_Fail(call, MP_ERROR_AUTHENTICATION,
                            "The form is not one of this console. Open the "
                            "page again.");
    }
    g_hash_table_unref(form);
}

void
MpConsole_Serve(struct MpOperatorCall *call)
{
    if (MpHttp_Equals(call->req->method, "GET")) {
        serve_get(call);
    }
    else if (MpHttp_Equals(call->req->method, "POST")) {
        serve_post(call);
    }
    else {
        MpOperatorCall_Fail(call, MP_ERROR_METHOD, NULL);
    }
}
