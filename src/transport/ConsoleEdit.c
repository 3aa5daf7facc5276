#include "transport/Console.h"
#include "transport/ConsoleForm.h"
#include "transport/ControlApi.h"
#include "transport/ControlZones.h"
#include "transport/FormData.h"
#include "transport/Html.h"

#include "state/Error.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Console pages that show and change the document; see Console.h. */

/* ---- the document as a JSON object ---- */

static struct json_object *
parse_or_empty(const char *text)
{
    GPtrArray *findings = MpFindings_New();
    struct json_object *root =
        MpJson_Parse(text ? text : "", text ? strlen(text) : 0, findings);
    g_ptr_array_unref(findings);
    return root ? root : json_object_new_object();
}

static char *
format_json(struct json_object *root)
{
    return g_strdup(json_object_to_json_string_ext(
        root, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_SPACED));
}

/* Returns the text without comments, in json-c's pretty-printed layout. */
static char *
canonicalize(const char *text)
{
    struct json_object *root = parse_or_empty(text);
    char *formatted = format_json(root);
    json_object_put(root);
    return formatted;
}

static const struct MpSchema *
section_schema(const char *section)
{
    for (const struct MpField *field = MpDocument_Schema.fields; field->name;
         field++) {
        if (field->type == MP_FIELD_MAP && strcmp(field->name, section) == 0) {
            return field->schema;
        }
    }
    return NULL;
}

static struct json_object *
get_or_add_section(struct json_object *root, const char *section)
{
    struct json_object *found;
    if (!json_object_object_get_ex(root, section, &found)) {
        found = json_object_new_object();
        json_object_object_add(root, section, found);
    }
    return found;
}

static uint64_t
current_version(const struct MpOperatorCall *call)
{
    const struct MpDocument *document = call->server->control->document;
    return document ? document->version : 0;
}

/* ---- lists and forms ---- */

static void
append_topup_form(const struct MpOperatorCall *call, GString *page,
                  const char *workspace)
{
    char id[40];
    uint64_t number = ((uint64_t)g_random_int() << 32) | g_random_int();
    g_snprintf(id, sizeof(id), "console-%016" PRIx64, number);
    g_string_append(page, "<form method=\"post\" action=\"/topup\">");
    MpConsole_AppendCsrfToken(call->server, page);
    g_string_append_printf(
        page,
        "<input type=\"hidden\" name=\"id\" value=\"%s\">"
        "<input type=\"hidden\" name=\"workspace\" value=\"%s\">"
        "<input name=\"tokens\" inputmode=\"numeric\" "
        "aria-label=\"tokens\" placeholder=\"whole tokens\" "
        "style=\"min-width:9em;width:9em\"> <button>Top up</button></form>",
        id, workspace);
}

void
MpConsoleEdit_List(struct MpOperatorCall *call, const char *section)
{
    if (!section_schema(section)) {
        MpOperatorCall_Fail(call, MP_ERROR_NOT_FOUND, NULL);
        return;
    }
    bool is_workspaces = strcmp(section, "workspaces") == 0;
    struct json_object *root =
        parse_or_empty(call->server->control->document_text);
    GString *page = MpHtml_BeginPage(section);
    g_string_append_printf(
        page,
        "<p>Version %" PRIu64 " of the document.</p><table><tr><th>name%s"
        "</tr>",
        current_version(call), is_workspaces ? "<th>budget" : "");
    json_object_object_foreach(get_or_add_section(root, section), name, value)
    {
        (void)value;
        g_string_append_printf(page, "<tr><td><a href=\"/edit/%s/%s\">%s</a>",
                               section, name, name);
        if (is_workspaces) {
            g_string_append(page, "<td>");
            append_topup_form(call, page, name);
        }
        g_string_append(page, "</tr>");
    }
    g_string_append_printf(
        page, "</table><p><a href=\"/edit/%s/\">Add one</a></p>", section);
    json_object_put(root);
    MpConsole_SendPage(call, 200, page);
}

void
MpConsoleEdit_Form(struct MpOperatorCall *call, const char *section,
                   const char *name)
{
    const struct MpSchema *schema = section_schema(section);
    struct json_object *value = NULL;
    if (!schema || (name[0] && !MpSchema_IsName(name))) {
        MpOperatorCall_Fail(call, MP_ERROR_NOT_FOUND, NULL);
        return;
    }
    struct json_object *root =
        parse_or_empty(call->server->control->document_text);
    json_object_object_get_ex(get_or_add_section(root, section), name, &value);
    GString *page = MpHtml_BeginPage(name[0] ? name : "New entry");
    g_string_append_printf(
        page,
        "<p>One of the %s. Nothing changes before you have seen and "
        "confirmed the difference. Fields with * are needed.</p>"
        "<form method=\"post\" action=\"/edit/%s\">"
        "<input type=\"hidden\" name=\"base\" value=\"%" PRIu64 "\">",
        section, section, current_version(call));
    MpConsole_AppendCsrfToken(call->server, page);
    g_string_append_printf(
        page,
        "<p><label for=\"name\">name *</label>"
        "<input name=\"name\" id=\"name\" value=\"%s\"%s></p>",
        name, name[0] ? " readonly" : "");
    MpConsoleForm_Write(schema, value, "f", page);
    g_string_append(page, "<button name=\"do\" value=\"save\">Show the "
                          "change</button>");
    if (name[0]) {
        g_string_append(page, "<button name=\"do\" value=\"delete\">Remove "
                              "this entry</button>");
    }
    g_string_append(page, "</form>");
    json_object_put(root);
    MpConsole_SendPage(call, 200, page);
}

static void
append_text_form(const struct MpOperatorCall *call, GString *page,
                 const char *text)
{
    g_string_append(page, "<form method=\"post\" action=\"/review\">");
    MpConsole_AppendCsrfToken(call->server, page);
    g_string_append(page, "<textarea name=\"text\" rows=\"30\">");
    MpHtml_AppendEscaped(page, text);
    g_string_append(page, "</textarea><p><button>Show the change</button>"
                          "</p></form>");
}

void
MpConsoleEdit_Document(struct MpOperatorCall *call)
{
    const char *text = call->server->control->document_text;
    GString *page = MpHtml_BeginPage("Document");
    g_string_append_printf(page,
                           "<p>Version %" PRIu64 ". JSON with comments; the "
                           "forms drop comments, this page keeps them.</p>",
                           current_version(call));
    append_text_form(call, page, text ? text : "{}");
    MpConsole_SendPage(call, 200, page);
}

/* ---- review ---- */

static void
append_findings(GString *page, const GPtrArray *findings)
{
    g_string_append(page, "<p class=\"bad\">Nothing is changed: the document "
                          "has faults.</p><table><tr><th>where<th>fault"
                          "</tr>");
    for (guint i = 0; i < findings->len; i++) {
        const struct MpFinding *finding = g_ptr_array_index(findings, i);
        g_string_append(page, "<tr><td>");
        MpHtml_AppendEscaped(page, finding->path);
        if (finding->line > 0) {
            g_string_append_printf(page, " (line %d)", finding->line);
        }
        g_string_append(page, "<td>");
        MpHtml_AppendEscaped(page, finding->text);
        g_string_append(page, "</tr>");
    }
    g_string_append(page, "</table>");
}

static void
append_submit_form(const struct MpOperatorCall *call, GString *page,
                   const char *text)
{
    g_string_append(page, "<form method=\"post\" action=\"/submit\">");
    MpConsole_AppendCsrfToken(call->server, page);
    g_string_append_printf(
        page,
        "<input type=\"hidden\" name=\"base\" value=\"%" PRIu64 "\">"
        "<input type=\"hidden\" name=\"id\" value=\"console-%08x%08x\">"
        "<textarea name=\"text\" hidden>",
        current_version(call), g_random_int(), g_random_int());
    MpHtml_AppendEscaped(page, text);
    g_string_append(page, "</textarea><button>Put this in force</button> "
                          "<a href=\"/\">Leave it</a></form>");
}

/* Shows the diff that text makes to the current document, or the findings if
 * text is not valid.  note, if not NULL, is shown above it. */
static void
show_review(struct MpOperatorCall *call, const char *text, const char *note)
{
    GPtrArray *findings = MpFindings_New();
    struct MpDocument *document =
        MpDocument_Parse(text, strlen(text), findings);
    GString *page = MpHtml_BeginPage(document ? "Check the change" : "Faults");
    if (note) {
        g_string_append(page, "<p class=\"note\">");
        MpHtml_AppendEscaped(page, note);
        g_string_append(page, "</p>");
    }
    if (document) {
        char *before = canonicalize(call->server->control->document_text);
        char *after = canonicalize(text);
        g_string_append_printf(page, "<p>Against version %" PRIu64 ":</p>",
                               current_version(call));
        MpHtml_AppendDiff(page, before, after);
        append_submit_form(call, page, text);
        g_free(before);
        g_free(after);
    }
    else {
        append_findings(page, findings);
        append_text_form(call, page, text);
    }
    MpConsole_SendPage(call, document ? 200 : 400, page);
    MpDocument_Unref(document);
    g_ptr_array_unref(findings);
}

static void
review_entry(struct MpOperatorCall *call, GHashTable *form,
             const char *section)
{
    const struct MpSchema *schema = section_schema(section);
    const char *name = MpFormData_Get(form, "name");
    uint64_t base_version = strtoull(MpFormData_Get(form, "base"), NULL, 10);
    if (!schema) {
        MpOperatorCall_Fail(call, MP_ERROR_NOT_FOUND, NULL);
        return;
    }
    struct json_object *root =
        parse_or_empty(call->server->control->document_text);
    struct json_object *entries = get_or_add_section(root, section);
    if (strcmp(MpFormData_Get(form, "do"), "delete") == 0) {
        json_object_object_del(entries, name);
    }
    else {
        json_object_object_add(entries, name,
                               MpConsoleForm_Read(schema, form, "f"));
    }
    char *text = format_json(root);
    show_review(call, text,
                base_version == current_version(call)
                    ? NULL
                    : "The document has changed since you opened the form. "
                      "The difference below is against the newest version.");
    g_free(text);
    json_object_put(root);
}

/* ---- submission ---- */

static void
on_submitted(void *data, int code, const struct mp_result *result)
{
    struct MpOperatorCall *call = data;
    code = code == MP_OK ? result->code : code;
    if (code == MP_ERROR_VERSION) {
        show_review(call, call->document_text,
                    "Somebody else changed the document first. Your text is "
                    "kept; this is how it differs from the newest version "
                    "that this instance has. Load the page again after a "
                    "second if the other change is not in it yet.");
        return;
    }
    if (code != MP_OK) {
        MpOperatorCall_Fail(call, code,
                            "Your change may or may not be in force; look at "
                            "the status before you try again.");
        return;
    }
    GString *page = MpHtml_BeginPage("In force");
    g_string_append_printf(page,
                           "<p class=\"good\">Version %" PRIu64
                           " is accepted. Every instance that can be reached "
                           "has it within seconds.</p>",
                           (uint64_t)result->number);
    MpConsole_SendPage(call, 200, page);
}

static void
submit(struct MpOperatorCall *call, GHashTable *form)
{
    call->document_text = g_strdup(MpFormData_Get(form, "text"));
    MpControlApi_PutDocument(call, call->document_text,
                             strtoull(MpFormData_Get(form, "base"), NULL, 10),
                             MpFormData_Get(form, "id"), "console",
                             on_submitted);
}

static void
on_topped_up(void *data, int code, const struct mp_result *result)
{
    struct MpOperatorCall *call = data;
    if (!MpOperatorCall_CheckResult(call, code, result)) {
        return;
    }
    GString *page = MpHtml_BeginPage("Topped up");
    g_string_append_printf(
        page,
        "<p class=\"good\">The budget of %s is %" PRId64 " tokens now.</p>",
        call->workspace, (int64_t)result->amount_mtok / 1000);
    MpConsole_SendPage(call, 200, page);
}

static void
submit_topup(struct MpOperatorCall *call, GHashTable *form)
{
    char *end;
    const char *text = MpFormData_Get(form, "tokens");
    int64_t tokens = strtoll(text, &end, 10);
    int code = MP_ERROR_INVALID;
    if (text[0] && *end == '\0' && tokens > 0 &&
        tokens <= MP_AMOUNT_MAX_MTOK / 1000) {
        code = MpControlApi_Topup(call, MpFormData_Get(form, "workspace"),
                                  MpFormData_Get(form, "id"), tokens * 1000,
                                  on_topped_up);
    }
    if (code != MP_OK) {
        MpOperatorCall_Fail(call, code,
                            "The amount must be a whole number of tokens "
                            "above 0.");
    }
}

void
MpConsoleEdit_Post(struct MpOperatorCall *call, GHashTable *form)
{
    if (g_str_has_prefix(call->path, "/edit/")) {
        review_entry(call, form, call->path + strlen("/edit/"));
    }
    else if (strcmp(call->path, "/review") == 0) {
        show_review(call, MpFormData_Get(form, "text"), NULL);
    }
    else if (strcmp(call->path, "/submit") == 0) {
        submit(call, form);
    }
    else if (strcmp(call->path, "/topup") == 0) {
        submit_topup(call, form);
    }
    else if (strcmp(call->path, "/zone") == 0) {
        MpControlZones_Submit(call, form);
    }
    else {
        MpOperatorCall_Fail(call, MP_ERROR_NOT_FOUND, NULL);
    }
}
