#include "protocol/Chat.h"

#include "state/Error.h"
#include "state/Json.h"

#include <string.h>

/* Prompt tokens added to the estimate for the engine's chat template. */
#define TEMPLATE_TOKENS 16
#define MESSAGES_MAX 4096

/* Appends all of a string, which may hold NUL characters. */
static void
append_text(GString *out, struct json_object *text)
{
    g_string_append_len(out, json_object_get_string(text),
                        json_object_get_string_len(text));
    g_string_append_c(out, '\n');
}

static int
parse_messages(struct MpChat *this, const char **reason)
{
    struct json_object *messages;
    if (!json_object_object_get_ex(this->root, "messages", &messages) ||
        !json_object_is_type(messages, json_type_array) ||
        json_object_array_length(messages) == 0 ||
        json_object_array_length(messages) > MESSAGES_MAX) {
        *reason = "\"messages\" must be a list with 1 to 4096 entries";
        return MP_ERROR_INVALID;
    }
    for (size_t i = 0; i < json_object_array_length(messages); i++) {
        struct json_object *item = json_object_array_get_idx(messages, i);
        struct json_object *role;
        struct json_object *content;
        if (!json_object_is_type(item, json_type_object) ||
            !json_object_object_get_ex(item, "role", &role) ||
            !json_object_object_get_ex(item, "content", &content) ||
            !json_object_is_type(role, json_type_string) ||
            !json_object_is_type(content, json_type_string)) {
            *reason = "each message must have a \"role\" and a \"content\", "
                      "both strings";
            return MP_ERROR_INVALID;
        }
        append_text(this->prompt, role);
        append_text(this->prompt, content);
    }
    return MP_OK;
}

static int
parse_options(struct MpChat *this, const char **reason)
{
    struct json_object *value;
    if (!json_object_object_get_ex(this->root, "model", &value) ||
        !json_object_is_type(value, json_type_string) ||
        strlen(json_object_get_string(value)) !=
            (size_t)json_object_get_string_len(value)) {
        *reason = "\"model\" must be a string without NUL characters";
        return MP_ERROR_INVALID;
    }
    this->model = g_strdup(json_object_get_string(value));
    if (json_object_object_get_ex(this->root, "stream", &value)) {
        if (!json_object_is_type(value, json_type_boolean)) {
            *reason = "\"stream\" must be true or false";
            return MP_ERROR_INVALID;
        }
        this->is_stream = json_object_get_boolean(value);
    }
    if (json_object_object_get_ex(this->root, "max_tokens", &value)) {
        this->output_tokens = json_object_get_int64(value);
        if (!json_object_is_type(value, json_type_int) ||
            this->output_tokens < 1) {
            *reason = "\"max_tokens\" must be a whole number above 0";
            return MP_ERROR_INVALID;
        }
    }
    if (json_object_object_get_ex(this->root, "n", &value) &&
        (!json_object_is_type(value, json_type_int) ||
         json_object_get_int64(value) != 1)) {
        *reason = "\"n\" other than 1 is not offered";
        return MP_ERROR_INVALID;
    }
    return MP_OK;
}

int
MpChat_Parse(struct MpChat *this, const char *body, size_t size,
             const char **reason)
{
    *this = (struct MpChat){.output_tokens = -1, .prompt = g_string_new(NULL)};
    GPtrArray *findings = MpFindings_New();
    this->root = MpJson_Parse(body, size, findings);
    bool is_valid = findings->len == 0 &&
                    json_object_is_type(this->root, json_type_object);
    g_ptr_array_unref(findings);
    if (!is_valid) {
        *reason = "the body must be one JSON object without repeated keys";
        return MP_ERROR_INVALID;
    }
    int code = parse_options(this, reason);
    return code == MP_OK ? parse_messages(this, reason) : code;
}

void
MpChat_Done(struct MpChat *this)
{
    json_object_put(this->root);
    g_free(this->model);
    if (this->prompt) {
        g_string_free(this->prompt, TRUE);
    }
    *this = (struct MpChat){.root = NULL};
}

int64_t
MpChat_TokenLimit(const struct MpChat *this, const struct MpModelConf *model)
{
    return this->output_tokens < 0
               ? model->output_tokens_max
               : MIN(this->output_tokens, model->output_tokens_max);
}

int64_t
MpChat_WorstCaseCost(const struct MpChat *this,
                     const struct MpModelConf *model)
{
    int64_t prompt_tokens = (int64_t)this->prompt->len + TEMPLATE_TOKENS;
    return prompt_tokens * model->prompt_price_mtok +
           MpChat_TokenLimit(this, model) * model->output_price_mtok;
}

char *
MpChat_EngineBody(const struct MpChat *this, const struct MpModelConf *model,
                  int64_t resume_from, const char *priority)
{
    struct json_object *root = json_object_new_object();
    json_object_object_foreach(this->root, key, value)
    {
        json_object_object_add(root, key, json_object_get(value));
    }
    json_object_object_add(
        root, "max_tokens",
        json_object_new_int64(MpChat_TokenLimit(this, model)));
    json_object_object_add(root, "priority", json_object_new_string(priority));
    if (this->is_stream) {
        struct json_object *options = json_object_new_object();
        json_object_object_add(options, "include_usage",
                               json_object_new_boolean(1));
        json_object_object_add(root, "stream_options", options);
    }
    if (resume_from > 0) {
        json_object_object_add(root, "resume_from",
                               json_object_new_int64(resume_from));
    }
    char *text =
        g_strdup(json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
    json_object_put(root);
    return text;
}

static bool
read_count(struct json_object *usage, const char *name, int64_t *count)
{
    struct json_object *value;
    if (!json_object_object_get_ex(usage, name, &value) ||
        !json_object_is_type(value, json_type_int)) {
        return false;
    }
    *count = json_object_get_int64(value);
    return *count >= 0 && *count <= MP_USAGE_TOKENS_MAX;
}

bool
MpChat_ReadUsage(struct json_object *answer, int64_t *prompt_tokens,
                 int64_t *output_tokens)
{
    struct json_object *usage;
    int64_t prompt;
    int64_t output;
    if (!json_object_object_get_ex(answer, "usage", &usage) ||
        !json_object_is_type(usage, json_type_object) ||
        !read_count(usage, "prompt_tokens", &prompt) ||
        !read_count(usage, "completion_tokens", &output)) {
        return false;
    }
    *prompt_tokens = prompt;
    *output_tokens = output;
    return true;
}

bool
MpChat_ParseUsage(const char *body, size_t size, int64_t *prompt_tokens,
                  int64_t *output_tokens)
{
    if (size > INT32_MAX) {
        return false;
    }
    struct json_tokener *tokener = json_tokener_new();
    struct json_object *root = json_tokener_parse_ex(tokener, body, (int)size);
    bool has_usage = json_object_is_type(root, json_type_object) &&
                     MpChat_ReadUsage(root, prompt_tokens, output_tokens);
    json_object_put(root);
    json_tokener_free(tokener);
    return has_usage;
}
