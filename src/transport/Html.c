#include "transport/Html.h"

#include "state/TextDiff.h"

static const char style[] =
    "body{font:16px/1.45 sans-serif;margin:0;color:#1b1b1b;background:#fff}"
    "nav{background:#20303c;padding:.6em 1.2em}"
    "nav a{color:#fff;margin-right:1.4em;text-decoration:none}"
    "main{max-width:68em;padding:1em 1.2em 4em}"
    "h1{font-size:1.5em}h2{font-size:1.15em;margin-top:1.8em}"
    "table{border-collapse:collapse;margin:.4em 0}"
    "td,th{border:1px solid #bbb;padding:.3em .7em;text-align:left}"
    "th{background:#eef1f3}td.n{text-align:right;font-variant-numeric:"
    "tabular-nums}.bad{color:#a40000;font-weight:bold}"
    ".good{color:#0b6b2e}p label{display:block;font-weight:bold}"
    "small{display:block;color:#555}input,select,textarea{font:inherit;"
    "padding:.25em;min-width:22em}input[type=checkbox]{min-width:0}"
    "textarea{width:44em}fieldset{margin:.6em 0;border:1px solid #bbb}"
    "button{font:inherit;padding:.4em 1.2em;margin-right:1em}"
    "pre{background:#f6f6f6;padding:.6em;overflow:auto}"
    ".add{background:#dff5e3}.del{background:#fbe0e0}"
    ".note{border-left:4px solid #c77700;padding:.3em 1em;background:#fff6e5}";

void
MpHtml_AppendEscaped(GString *out, const char *text)
{
    char *escaped = g_markup_escape_text(text ? text : "", -1);
    g_string_append(out, escaped);
    g_free(escaped);
}

GString *
MpHtml_BeginPage(const char *title)
{
    GString *page = g_string_new(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">"
        "<title>mimosapath: ");
    MpHtml_AppendEscaped(page, title);
    g_string_append_printf(
        page,
        "</title><style>%s</style></head><body><nav>"
        "<a href=\"/\">Status</a><a href=\"/list/workspaces\">Workspaces</a>"
        "<a href=\"/list/targets\">Targets</a>"
        "<a href=\"/list/models\">Models</a>"
        "<a href=\"/list/services\">Services</a>"
        "<a href=\"/list/paths\">Paths</a>"
        "<a href=\"/list/pools\">Pools</a>"
        "<a href=\"/document\">Document</a></nav><main><h1>",
        style);
    MpHtml_AppendEscaped(page, title);
    g_string_append(page, "</h1>");
    return page;
}

char *
MpHtml_EndPage(GString *page)
{
    g_string_append(page, "</main></body></html>");
    return g_string_free(page, FALSE);
}

void
MpHtml_AppendDiff(GString *out, const char *old_text, const char *new_text)
{
    static const char *const classes[] = {[MP_DIFF_SAME] = "",
                                          [MP_DIFF_REMOVED] = "del",
                                          [MP_DIFF_ADDED] = "add"};
    static const char signs[] = {
        [MP_DIFF_SAME] = ' ', [MP_DIFF_REMOVED] = '-', [MP_DIFF_ADDED] = '+'};
    GPtrArray *lines = MpTextDiff_Lines(old_text, new_text);
    g_string_append(out, "<pre>");
    if (lines->len == 0) {
        g_string_append(out, "(no difference)");
    }
    for (guint i = 0; i < lines->len; i++) {
        const struct MpDiffLine *line = g_ptr_array_index(lines, i);
        g_string_append_printf(out, "<span class=\"%s\">%c %5u  ",
                               classes[line->kind], signs[line->kind],
                               line->number);
        MpHtml_AppendEscaped(out, line->text);
        g_string_append(out, "</span>\n");
    }
    g_string_append(out, "</pre>");
    g_ptr_array_unref(lines);
}
