#include "transport/ErrorBody.h"

#include "state/Error.h"

#include <glib.h>
#include <json.h>

const char *
MpErrorBody_RunName(int code, bool may_have_run)
{
    bool is_sure = MpError_Info(code)->run == MP_RUN_NO && !may_have_run;
    return is_sure ? "no" : "unknown";
}

char *
MpErrorBody_Format(int code, const char *detail, const char *run)
{
    const struct MpErrorInfo *info = MpError_Info(code);
    char *message = detail ? g_strdup_printf("%s %s", info->message, detail)
                           : g_strdup(info->message);
    struct json_object *error = json_object_new_object();
    json_object_object_add(error, "type", json_object_new_string(info->name));
    json_object_object_add(error, "code", json_object_new_int(code));
    json_object_object_add(error, "message", json_object_new_string(message));
    json_object_object_add(error, "run", json_object_new_string(run));
    struct json_object *root = json_object_new_object();
    json_object_object_add(root, "error", error);
    char *text =
        g_strdup(json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
    json_object_put(root);
    g_free(message);
    return text;
}

h2o_iovec_t
MpErrorBody_InPool(h2o_mem_pool_t *pool, int code, const char *detail)
{
    char *text =
        MpErrorBody_Format(code, detail, MpErrorBody_RunName(code, false));
    h2o_iovec_t body = h2o_strdup(pool, text, SIZE_MAX);
    g_free(text);
    return body;
}
