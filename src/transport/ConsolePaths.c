#include "transport/ConsolePaths.h"

#include "transport/Html.h"

#include <inttypes.h>
#include <string.h>

static gint
compare_targets(gconstpointer a, gconstpointer b)
{
    const struct MpPoolTarget *x = a;
    const struct MpPoolTarget *y = b;
    int order = strcmp(x->pool, y->pool);
    return order ? order : strcmp(x->incarnation, y->incarnation);
}

static void
append_state(GString *page, const struct MpPoolTarget *target, int64_t now_ms)
{
    int64_t ejection_left_ms = target->ejected_until_ms - now_ms;
    if (target->is_leaving) {
        g_string_append(page, "<td class=\"bad\">leaving");
    }
    else if (MpTargetPause_IsActive(&target->pause, now_ms)) {
        g_string_append_printf(
            page, "<td class=\"bad\">wants a pause for %" PRId64 " ms",
            target->pause.until_ms - now_ms);
    }
    else if (ejection_left_ms > 0) {
        g_string_append_printf(page,
                               "<td class=\"bad\">paused for %" PRId64
                               " ms after %u failures",
                               ejection_left_ms, target->failures);
    }
    else if (target->failures > 0) {
        g_string_append(page, "<td class=\"bad\">on trial");
    }
    else {
        g_string_append(page, "<td class=\"good\">in");
    }
}

void
MpConsolePaths_AppendTargets(GString *page, const struct MpGateway *from)
{
    int64_t now_ms = MpLoop_Now();
    GList *targets = g_list_sort(g_hash_table_get_values(from->roster.targets),
                                 compare_targets);
    if (!targets) {
        return;
    }
    g_string_append(page, "<h2>Targets of the pools, as this instance sees "
                          "them</h2><table><tr><th>pool<th>target<th>address"
                          "<th>zone<th>ours<th>running<th>waiting<th>slots"
                          "<th>state</tr>");
    for (GList *link = targets; link; link = link->next) {
        const struct MpPoolTarget *target = link->data;
        const char *const columns[] = {target->pool, target->incarnation,
                                       target->address, target->zone};
        g_string_append(page, "<tr>");
        for (size_t i = 0; i < G_N_ELEMENTS(columns); i++) {
            g_string_append(page, "<td>");
            MpHtml_AppendEscaped(page, columns[i]);
        }
        g_string_append_printf(
            page,
            "<td class=n>%d<td class=n>%d<td class=n>%d<td class=n>%" PRId64,
            target->running, target->reported_running,
            target->reported_waiting, target->slots);
        append_state(page, target, now_ms);
        g_string_append(page, "</tr>");
    }
    g_string_append(page, "</table>");
    g_list_free(targets);
}

void
MpConsolePaths_AppendOutcomes(GString *page, const struct MpGateway *from)
{
    static const char prefix[] = "mimosapath_path_ended_total{outcome=\"";
    GList *names = g_list_sort(g_hash_table_get_keys(from->metrics->counters),
                               (GCompareFunc)strcmp);
    g_string_append(page, "<h2>Requests on paths here since the start</h2>"
                          "<table><tr><th>outcome<th>requests</tr>");
    for (GList *link = names; link; link = link->next) {
        const char *series = link->data;
        if (!g_str_has_prefix(series, prefix)) {
            continue;
        }
        const char *outcome = series + strlen(prefix);
        const uint64_t *count =
            g_hash_table_lookup(from->metrics->counters, series);
        g_string_append_printf(page,
                               "<tr><td>%.*s<td class=n>%" PRIu64 "</tr>",
                               (int)strcspn(outcome, "\""), outcome, *count);
    }
    g_string_append(page, "</table>");
    g_list_free(names);
}
