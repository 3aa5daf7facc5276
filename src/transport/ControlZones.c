#include "transport/ControlZones.h"

#include "state/Error.h"
#include "transport/Console.h"
#include "transport/FormData.h"
#include "transport/Html.h"
#include "transport/ZoneOrder.h"

#include <inttypes.h>
#include <string.h>

/* ---- API ---- */

struct json_object *
MpControlZones_List(const struct mp_read_reply *reply)
{
    struct json_object *list = json_object_new_array();
    for (u_int i = 0; i < reply->zones.zones_len; i++) {
        const struct mp_zone *zone = &reply->zones.zones_val[i];
        struct json_object *item = json_object_new_object();
        json_object_object_add(item, "zone",
                               json_object_new_string(zone->name));
        json_object_object_add(item, "drained",
                               json_object_new_boolean(zone->is_drained));
        json_object_object_add(
            item, "version",
            json_object_new_int64((int64_t)zone->ordered_version));
        json_object_object_add(item, "changed_ms_ago",
                               json_object_new_int64(zone->changed_age_ms));
        json_object_array_add(list, item);
    }
    return list;
}

static void
on_zone_ordered(void *data, int code, const struct mp_result *result)
{
    struct MpOperatorCall *call = data;
    code = MpZoneOrder_Finish(call, code, result);
    if (code != MP_OK) {
        MpOperatorCall_Fail(call, code, NULL);
        return;
    }
    char *text = g_strdup_printf(
        "{\"zone\":\"%s\",\"order\":\"%s\",\"version\":%" PRIu64 "}",
        call->zone, call->is_zone_drain ? "drain" : "restore",
        (uint64_t)result->number);
    MpOperatorCall_Send(call, 200, "application/json", text);
    g_free(text);
}

void
MpControlZones_Serve(struct MpOperatorCall *call, const char *rest)
{
    char **parts = g_strsplit(rest, "/", 2);
    const char *verb = parts[0] && parts[1] ? parts[1] : "";
    bool is_drain = strcmp(verb, "drain") == 0;
    char *id = MpHttp_CopyHeader(call->req, "idempotency-key");
    if (!is_drain && strcmp(verb, "restore") != 0) {
        MpOperatorCall_Fail(call, MP_ERROR_NOT_FOUND, NULL);
    }
    else if (!MpHttp_Equals(call->req->method, "POST")) {
        MpOperatorCall_Fail(call, MP_ERROR_METHOD, NULL);
    }
    else if (MpZoneOrder_Submit(call, parts[0], is_drain, id,
                                on_zone_ordered) != MP_OK) {
        MpOperatorCall_Fail(call, MP_ERROR_INVALID,
                            "The zone must have a valid name, and "
                            "Idempotency-Key must name the order.");
    }
    g_free(id);
    g_strfreev(parts);
}

/* ---- console ---- */

void
MpControlZones_AppendPage(const struct MpOperatorCall *call, GString *page,
                          const struct mp_read_reply *reply)
{
    char *id = g_uuid_string_random();
    g_string_append(page, "<h2>Zones</h2>");
    if (reply->zones.zones_len > 0) {
        g_string_append(page, "<table><tr><th>zone<th>state<th>version"
                              "<th>since</tr>");
    }
    for (u_int i = 0; i < reply->zones.zones_len; i++) {
        const struct mp_zone *zone = &reply->zones.zones_val[i];
        g_string_append(page, "<tr><td>");
        MpHtml_AppendEscaped(page, zone->name);
        g_string_append_printf(page,
                               "<td class=\"%s\">%s<td class=n>%" PRIu64
                               "<td class=n>%" PRId64 " s</tr>",
                               zone->is_drained ? "bad" : "good",
                               zone->is_drained ? "drained" : "in use",
                               (uint64_t)zone->ordered_version,
                               (int64_t)zone->changed_age_ms / 1000);
    }
    if (reply->zones.zones_len > 0) {
        g_string_append(page, "</table>");
    }
    g_string_append(page, "<form method=\"post\" action=\"/zone\">");
    MpConsole_AppendCsrfToken(call->server, page);
    g_string_append_printf(
        page,
        "<input type=\"hidden\" name=\"id\" value=\"%s\">"
        "<input name=\"zone\" aria-label=\"zone\" placeholder=\"zone\" "
        "style=\"min-width:9em;width:9em\"> "
        "<button name=\"do\" value=\"drain\">Drain</button> "
        "<button name=\"do\" value=\"restore\">Restore</button></form>",
        id);
    g_free(id);
}

static void
on_form_ordered(void *data, int code, const struct mp_result *result)
{
    struct MpOperatorCall *call = data;
    code = MpZoneOrder_Finish(call, code, result);
    if (code != MP_OK) {
        MpOperatorCall_Fail(call, code,
                            "The order may or may not be in force; look at "
                            "the status before you try again.");
        return;
    }
    GString *page = MpHtml_BeginPage("In force");
    g_string_append_printf(
        page,
        "<p class=\"good\">The order to %s zone %s is accepted. Every "
        "instance that can be reached follows it within seconds.</p>",
        call->is_zone_drain ? "drain" : "restore", call->zone);
    MpConsole_SendPage(call, 200, page);
}

void
MpControlZones_Submit(struct MpOperatorCall *call, GHashTable *form)
{
    const char *verb = MpFormData_Get(form, "do");
    bool is_drain = strcmp(verb, "drain") == 0;
    if ((!is_drain && strcmp(verb, "restore") != 0) ||
        MpZoneOrder_Submit(call, MpFormData_Get(form, "zone"), is_drain,
                           MpFormData_Get(form, "id"),
                           on_form_ordered) != MP_OK) {
        MpOperatorCall_Fail(call, MP_ERROR_INVALID,
                            "The zone must be 1 to 64 letters, digits, '.', "
                            "'-' or '_'.");
    }
}
