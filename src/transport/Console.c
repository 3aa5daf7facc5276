#include "transport/Console.h"

#include "state/Error.h"

#include <inttypes.h>
#include <string.h>

#define HTML_TYPE "text/html; charset=utf-8"

static const char page_head[] =
    "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">"
    "<title>mimosapath</title><style>"
    "body{font:16px sans-serif;margin:2em;max-width:60em}"
    "table{border-collapse:collapse}td,th{border:1px solid #999;"
    "padding:.3em .6em;text-align:left}td.n{text-align:right}"
    ".bad{color:#a00;font-weight:bold}</style></head><body>";

static void
append_escaped(GString *out, const char *text)
{
    char *escaped = g_markup_escape_text(text, -1);
    g_string_append(out, escaped);
    g_free(escaped);
}

char *
MpConsole_ErrorPage(int code, const char *detail)
{
    GString *out = g_string_new(page_head);
    g_string_append(out, "<h1 class=\"bad\">");
    append_escaped(out, MpError_Info(code)->message);
    g_string_append(out, "</h1><p>");
    append_escaped(out, detail ? detail : "");
    g_string_append(out, "</p><p><a href=\"/\">Back</a></p></body></html>");
    return g_string_free(out, FALSE);
}

static void
append_accounts(GString *out, const struct mp_read_reply *reply)
{
    g_string_append(out, "<h2>Budgets</h2><table><tr><th>workspace"
                         "<th>budget, mtok<th>settled<th>reserved"
                         "<th>leased<th>free</tr>");
    for (u_int i = 0; i < reply->accounts.accounts_len; i++) {
        const struct mp_account_status *account =
            &reply->accounts.accounts_val[i];
        int64_t free_mtok = account->granted_mtok - account->settled_mtok -
                            account->reserved_mtok - account->leased_mtok;
        g_string_append(out, "<tr><td>");
        append_escaped(out, account->workspace);
        g_string_append_printf(out,
                               "<td class=n>%" PRId64 "<td class=n>%" PRId64
                               "<td class=n>%" PRId64 "<td class=n>%" PRId64
                               "<td class=n>%" PRId64 "</tr>",
                               (int64_t)account->granted_mtok,
                               (int64_t)account->settled_mtok,
                               (int64_t)account->reserved_mtok,
                               (int64_t)account->leased_mtok, free_mtok);
    }
    g_string_append(out, "</table>");
}

static void
append_instances(GString *out, const struct mp_read_reply *reply)
{
    g_string_append(out, "<h2>Instances</h2><table><tr><th>instance"
                         "<th>boot<th>document version<th>heard</tr>");
    for (u_int i = 0; i < reply->instances.instances_len; i++) {
        const struct mp_instance_status *view =
            &reply->instances.instances_val[i];
        g_string_append(out, "<tr><td>");
        append_escaped(out, view->holder.instance);
        g_string_append_printf(out,
                               "<td class=n>%" PRIu64 "<td class=n>%" PRIu64
                               "<td class=n>%" PRId64 " ms ago</tr>",
                               (uint64_t)view->holder.boot,
                               (uint64_t)view->document_version,
                               (int64_t)view->heard_ms);
    }
    g_string_append(out, "</table>");
}

static void
on_status_read(void *data, int code, const struct mp_read_reply *reply)
{
    struct MpOperatorCall *call = data;
    if (code != MP_OK) {
        MpOperatorCall_Fail(call, code, NULL);
        return;
    }
    GString *out = g_string_new(page_head);
    g_string_append_printf(
        out, "<h1>mimosapath</h1><p>Document version %" PRIu64 "</p>",
        (uint64_t)reply->document_version);
    append_accounts(out, reply);
    append_instances(out, reply);
    g_string_append(out, "</body></html>");
    MpOperatorCall_Answer(call, 200, HTML_TYPE, out->str);
    g_string_free(out, TRUE);
}

void
MpConsole_Serve(struct MpOperatorCall *call)
{
    call->is_console = true;
    if (strcmp(call->path, "/") != 0) {
        MpOperatorCall_Fail(call, MP_ERROR_NOT_FOUND, NULL);
        return;
    }
    MpFleet_Read(call->server->fleet, "", MpLoop_Now() + MP_OPERATOR_WAIT_MS,
                 on_status_read, call);
}
