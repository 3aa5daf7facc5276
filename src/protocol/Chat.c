#include "protocol/Chat.h"

#include "state/Error.h"
#include "state/Json.h"
#include "state/JsonCheck.h"

#include <inttypes.h>
#include <string.h>

/* Prompt tokens added to the estimate for the engine's chat template. */
#define TEMPLATE_TOKENS 16
#define MESSAGES_MAX 4096
/* Fields that are added to the body for the engine, bytes. */
#define ENGINE_FIELDS_BYTES 256

static const char *const member_names[] = {
    [MP_CHAT_MODEL] = "model",
    [MP_CHAT_MESSAGES] = "messages",
    [MP_CHAT_STREAM] = "stream",
    [MP_CHAT_MAX_TOKENS] = "max_tokens",
    [MP_CHAT_N] = "n",
    [MP_CHAT_STREAM_OPTIONS] = "stream_options",
    [MP_CHAT_PRIORITY] = "priority",
    [MP_CHAT_RESUME_FROM] = "resume_from",
};

static bool
has_member(const struct MpChat *this, enum MpChatMember member)
{
    return this->members[member].key > 0;
}

struct json_object *
MpChat_ReadMember(const struct MpChat *this, enum MpChatMember member)
{
    return has_member(this, member)
               ? MpJsonCheck_ReadScalar(&this->text,
                                        this->members[member].value)
               : NULL;
}

/* ---- messages ---- */

/* Appends all of a string, which may hold NUL characters; returns false if the
 * value at a position is no string. */
static bool
append_text(struct MpChat *this, size_t at)
{
    struct json_object *text = MpJsonCheck_ReadScalar(&this->text, at);
    bool is_string = json_object_is_type(text, json_type_string);
    if (is_string) {
        g_string_append_len(this->prompt, json_object_get_string(text),
                            json_object_get_string_len(text));
        g_string_append_c(this->prompt, '\n');
    }
    json_object_put(text);
    return is_string;
}

static bool
parse_message(struct MpChat *this, size_t at)
{
    struct MpJsonMember member;
    size_t role = 0;
    size_t content = 0;
    if (!MpJsonScan_IsAt(&this->text, at, '{')) {
        return false;
    }
    at++;
    while (MpJsonScan_NextMember(&this->text, &at, &member)) {
        if (MpJsonCheck_IsKey(&this->text, member.key, "role")) {
            role = member.value;
        }
        else if (MpJsonCheck_IsKey(&this->text, member.key, "content")) {
            content = member.value;
        }
    }
    return role > 0 && content > 0 && append_text(this, role) &&
           append_text(this, content);
}

static int
parse_messages(struct MpChat *this, const char **reason)
{
    size_t start;
    size_t end;
    size_t count = 0;
    size_t at = this->members[MP_CHAT_MESSAGES].value;
    bool is_list = has_member(this, MP_CHAT_MESSAGES) &&
                   MpJsonScan_IsAt(&this->text, at, '[');
    at++;
    while (is_list && count <= MESSAGES_MAX &&
           MpJsonScan_NextElement(&this->text, &at, &start, &end)) {
        count++;
    }
    if (count == 0 || count > MESSAGES_MAX) {
        *reason = "\"messages\" must be a list with 1 to 4096 entries";
        return MP_ERROR_INVALID;
    }
    at = this->members[MP_CHAT_MESSAGES].value + 1;
    while (MpJsonScan_NextElement(&this->text, &at, &start, &end)) {
        if (!parse_message(this, start)) {
            *reason = "each message must have a \"role\" and a \"content\", "
                      "both strings";
            return MP_ERROR_INVALID;
        }
    }
    return MP_OK;
}

/* ---- options ---- */

static bool
parse_model(struct MpChat *this)
{
    struct json_object *value = MpChat_ReadMember(this, MP_CHAT_MODEL);
    bool is_valid = json_object_is_type(value, json_type_string) &&
                    strlen(json_object_get_string(value)) ==
                        (size_t)json_object_get_string_len(value);
    if (is_valid) {
        this->model = g_strdup(json_object_get_string(value));
    }
    json_object_put(value);
    return is_valid;
}

static bool
parse_stream(struct MpChat *this)
{
    struct json_object *value = MpChat_ReadMember(this, MP_CHAT_STREAM);
    bool is_valid = !has_member(this, MP_CHAT_STREAM) ||
                    json_object_is_type(value, json_type_boolean);
    this->is_stream = is_valid && json_object_get_boolean(value);
    json_object_put(value);
    return is_valid;
}

/* Reads a member that is a whole number; sets *number to missing without
 * one. */
static bool
parse_number(const struct MpChat *this, enum MpChatMember member,
             int64_t missing, int64_t *number)
{
    struct json_object *value = MpChat_ReadMember(this, member);
    bool is_valid =
        !has_member(this, member) || json_object_is_type(value, json_type_int);
    *number = value ? json_object_get_int64(value) : missing;
    json_object_put(value);
    return is_valid;
}

static void
parse_stream_options(struct MpChat *this)
{
    struct MpJsonMember member;
    size_t at = this->members[MP_CHAT_STREAM_OPTIONS].value;
    if (!has_member(this, MP_CHAT_STREAM_OPTIONS) ||
        !MpJsonScan_IsAt(&this->text, at, '{')) {
        return;
    }
    at++;
    while (MpJsonScan_NextMember(&this->text, &at, &member)) {
        if (MpJsonCheck_IsKey(&this->text, member.key, "include_usage")) {
            struct json_object *value =
                MpJsonCheck_ReadScalar(&this->text, member.value);
            this->wants_usage = json_object_get_boolean(value);
            json_object_put(value);
        }
    }
}

static int
parse_options(struct MpChat *this, const char **reason)
{
    int64_t answers;
    if (!parse_model(this)) {
        *reason = "\"model\" must be a string without NUL characters";
        return MP_ERROR_INVALID;
    }
    if (!parse_stream(this)) {
        *reason = "\"stream\" must be true or false";
        return MP_ERROR_INVALID;
    }
    if (!parse_number(this, MP_CHAT_MAX_TOKENS, -1, &this->output_tokens) ||
        (has_member(this, MP_CHAT_MAX_TOKENS) && this->output_tokens < 1)) {
        *reason = "\"max_tokens\" must be a whole number above 0";
        return MP_ERROR_INVALID;
    }
    if (!parse_number(this, MP_CHAT_N, 1, &answers) || answers != 1) {
        *reason = "\"n\" other than 1 is not offered";
        return MP_ERROR_INVALID;
    }
    parse_stream_options(this);
    return MP_OK;
}

/* ---- the body ---- */

/* Finds the members by their names.  Returns false if the body is no
 * object. */
static bool
find_members(struct MpChat *this)
{
    struct MpJsonMember member;
    size_t at = MpJsonScan_SkipSpace(&this->text, 0);
    if (!MpJsonScan_IsAt(&this->text, at, '{')) {
        return false;
    }
    at++;
    while (MpJsonScan_NextMember(&this->text, &at, &member)) {
        for (int i = 0; i < MP_CHAT_MEMBER_COUNT; i++) {
            if (MpJsonCheck_IsKey(&this->text, member.key, member_names[i])) {
                this->members[i] = member;
            }
        }
    }
    return true;
}

int
MpChat_Parse(struct MpChat *this, const char *body, size_t size,
             const char **reason)
{
    /* An empty body may have no address. */
    char *text = g_malloc0(size + 1);
    memcpy(text, size > 0 ? body : "", size);
    *this = (struct MpChat){.text = {.text = text, .size = size},
                            .output_tokens = -1,
                            .prompt = g_string_new(NULL)};
    MpJson_BlankComments(text, size);
    if (!MpJsonCheck_IsValid(&this->text) || !find_members(this)) {
        *reason = "the body must be one JSON object without repeated keys";
        return MP_ERROR_INVALID;
    }
    int code = parse_options(this, reason);
    return code == MP_OK ? parse_messages(this, reason) : code;
}

void
MpChat_Done(struct MpChat *this)
{
    g_free((char *)this->text.text);
    g_free(this->model);
    if (this->prompt) {
        g_string_free(this->prompt, TRUE);
    }
    *this = (struct MpChat){.text = {.text = NULL}};
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

/* Replaces a member in a copy of the text with blanks. */
static void
blank_member(const struct MpChat *this, enum MpChatMember member, char *text)
{
    const struct MpJsonMember *at = &this->members[member];
    memset(text + at->key, ' ', at->end - at->key);
}

/* Removes the closing bracket and the spaces before it, and ends what is left
 * with a comma if members are left. */
static void
reopen_object(GString *text)
{
    g_string_truncate(text, (gsize)(strrchr(text->str, '}') - text->str));
    while (g_ascii_isspace(text->str[text->len - 1])) {
        g_string_truncate(text, text->len - 1);
    }
    if (!strchr("{,", text->str[text->len - 1])) {
        g_string_append_c(text, ',');
    }
}

char *
MpChat_EngineBody(const struct MpChat *this, const struct MpModelConf *model,
                  int64_t resume_from, const char *priority)
{
    GString *text = g_string_sized_new(this->text.size + ENGINE_FIELDS_BYTES);
    g_string_append_len(text, this->text.text, (gssize)this->text.size);
    blank_member(this, MP_CHAT_MAX_TOKENS, text->str);
    blank_member(this, MP_CHAT_PRIORITY, text->str);
    if (this->is_stream) {
        blank_member(this, MP_CHAT_STREAM_OPTIONS, text->str);
    }
    if (resume_from > 0) {
        blank_member(this, MP_CHAT_RESUME_FROM, text->str);
    }
    reopen_object(text);
    g_string_append_printf(text,
                           "\"max_tokens\":%" PRId64 ",\"priority\":\"%s\"",
                           MpChat_TokenLimit(this, model), priority);
    if (this->is_stream) {
        g_string_append(text, ",\"stream_options\":{\"include_usage\":true}");
    }
    if (resume_from > 0) {
        g_string_append_printf(text, ",\"resume_from\":%" PRId64, resume_from);
    }
    g_string_append_c(text, '}');
    return g_string_free(text, FALSE);
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
