#include "Input.h"

#include "PlatformDialect.h"
#include "protocol/Chat.h"
#include "protocol/Dialect.h"
#include "protocol/Rpc.h"
#include "protocol/Sse.h"
#include "state/Codec.h"
#include "state/Document.h"
#include "state/Error.h"
#include "state/Machine.h"
#include "state/Settings.h"
#include "transport/FormData.h"

#include <string.h>

/*
 * FuzzParsers - fuzzes all parsers of external input: documents, settings,
 * request bodies, form data, event streams of engines, RPC records between
 * instances, and snapshots.  The first byte chooses the parser, and whether
 * the other bytes are its input or are indexes into fragments: text made of
 * fragments is valid enough to reach code behind the first syntax checks.
 */

static const char *const fragments[] = {
    "{",
    "}",
    "[",
    "]",
    ":",
    ",",
    "\"",
    "\\",
    "//",
    "/*",
    "*/",
    "\n",
    "\"targets\":",
    "\"workspaces\":",
    "\"models\":",
    "\"services\":",
    "\"address\":\"127.0.0.1:1\"",
    "\"zone\":\"a\"",
    "\"capacity\":",
    "1",
    "-1",
    "99999999999999999999",
    "1e9",
    "true",
    "null",
    "\"a\"",
    "\"x\":",
    "\"messages\":",
    "\"role\":\"user\"",
    "\"content\":\"hi\"",
    "\"model\":\"m\"",
    "\"stream\":true",
    "\"max_tokens\":",
    "data: ",
    "[DONE]",
    "\n\n",
    "\"usage\":{\"prompt_tokens\":1}",
    "\"choices\":[{}]",
    "\\u0000",
    "\xff",
    "{}",
    "\"key_hashes\":[]",
};

/* Members of a chat, by key. */
static const char *const chat_members[][2] = {
    {"\"model\":\"m\"", "\"mode\\u006c\":\"m\""},
    {"\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]",
     "\"messages\":[{\"content\":\"\\n\",\"x\":[{}],\"role\":\"\"}]"},
    {"\"stream\":true", "\"stream\":false"},
    {"\"max_tokens\":5", "\"m\\u0061x_tokens\" : 500 "},
    {"\"priority\":\"urgent\"", "\"priority\":{\"priority\":1}"},
    {"\"resume_from\":7", "\"resume_from\":null"},
    {"\"stream_options\":{\"include_usage\":true}", "\"stream_options\":[]"},
    {"\"x\":[1,{\"y\":[]},-1.5e3,null]", "\"max_tokens2\":{}//,\"\n"},
    {"\n/*,\"*/\"y\"\t:\"}\\\"{,\\u00e9\"", "\"\":[[\"priority\"]]"},
};

/* Makes a chat with the first member or more. */
static GString *
make_chat(struct FuzzInput *input)
{
    GString *text = g_string_new("{");
    for (size_t i = 0; i < G_N_ELEMENTS(chat_members); i++) {
        uint8_t byte = FuzzInput_Byte(input);
        if (byte & 6) {
            g_string_append(text, text->len > 1 ? "," : "");
            g_string_append(text, chat_members[i][byte & 1]);
        }
    }
    g_string_append_c(text, '}');
    return text;
}

static GString *
make_text(struct FuzzInput *input, int is_raw)
{
    GString *text = g_string_new(NULL);
    while (!FuzzInput_IsAtEnd(input)) {
        uint8_t byte = FuzzInput_Byte(input);
        if (is_raw) {
            g_string_append_c(text, (char)byte);
        }
        else {
            g_string_append(text, fragments[byte % G_N_ELEMENTS(fragments)]);
        }
    }
    return text;
}

static void
parse_document(const GString *text)
{
    GPtrArray *findings = MpFindings_New();
    struct MpDocument *document =
        MpDocument_Parse(text->str, text->len, findings);
    if (!document && findings->len == 0) {
        Fuzz_Fail("document is refused without a finding");
    }
    if (document && findings->len > 0) {
        Fuzz_Fail("document with findings is accepted");
    }
    char *lines = MpFindings_Format(findings, "case");
    g_free(lines);
    MpDocument_Unref(document);
    g_ptr_array_unref(findings);
}

/* What the engine gets must be JSON with the members that the caller sent, but
 * for those that are set here. */
static void
check_engine_body(const GString *text, const char *body)
{
    GPtrArray *findings = MpFindings_New();
    struct json_object *sent = MpJson_Parse(text->str, text->len, findings);
    struct json_object *engine = MpJson_Parse(body, strlen(body), findings);
    if (findings->len > 0) {
        Fuzz_Fail("chat is accepted that does not parse");
    }
    json_object_object_foreach(sent, key, value)
    {
        struct json_object *other = NULL;
        json_object_object_get_ex(engine, key, &other);
        if (strcmp(key, "max_tokens") != 0 && strcmp(key, "priority") != 0 &&
            strcmp(key, "stream_options") != 0 &&
            strcmp(key, "resume_from") != 0 &&
            !json_object_equal(value, other)) {
            Fuzz_Fail("engine gets another value");
        }
    }
    if (strcmp(
            json_object_get_string(json_object_object_get(engine, "priority")),
            "batch") != 0 ||
        MpJson_GetInteger(engine, "resume_from") != 3 ||
        MpJson_GetInteger(engine, "max_tokens") < 1) {
        Fuzz_Fail("engine does not get the fields that are set");
    }
    json_object_put(sent);
    json_object_put(engine);
    g_ptr_array_unref(findings);
}

static void
parse_chat(const GString *text)
{
    struct MpChat chat;
    const char *reason = NULL;
    struct MpModelConf model = {.prompt_price_mtok = 1,
                                .output_price_mtok = 1,
                                .output_tokens_max = 100};
    if (MpChat_Parse(&chat, text->str, text->len, &reason) == MP_OK) {
        char *body = MpChat_EngineBody(&chat, &model, 3, "batch");
        if (MpChat_TokenLimit(&chat, &model) > model.output_tokens_max) {
            Fuzz_Fail("token limit is above the model's maximum");
        }
        check_engine_body(text, body);
        g_free(body);
    }
    else if (!reason) {
        Fuzz_Fail("body is refused without a reason");
    }
    MpChat_Done(&chat);
}

/* The events of a stream must not depend on how it is split into reads. */
static void
parse_stream(const GString *text)
{
    struct MpSse whole;
    struct MpSse pieces;
    struct MpSseEvent event;
    size_t whole_bytes = 0;
    size_t piece_bytes = 0;
    MpSse_Init(&whole);
    MpSse_Init(&pieces);
    if (MpSse_Feed(&whole, text->str, text->len) == MP_OK) {
        while (MpSse_Next(&whole, &event)) {
            whole_bytes += event.size * (1 + event.kind);
        }
        for (gsize i = 0; i < text->len; i++) {
            MpSse_Feed(&pieces, text->str + i, 1);
            while (MpSse_Next(&pieces, &event)) {
                piece_bytes += event.size * (1 + event.kind);
            }
        }
        if (whole_bytes != piece_bytes) {
            Fuzz_Fail("events from pieces of a stream differ from the whole");
        }
    }
    MpSse_Done(&whole);
    MpSse_Done(&pieces);
}

static void
parse_record(const GString *text)
{
    struct MpRpcSession session;
    uint8_t key[MP_RPC_KEY_BYTES] = {0};
    const uint8_t *body;
    size_t size;
    struct MpRpcHeader head;
    void *object;
    const uint8_t *data = (const uint8_t *)text->str;
    MpRpcSession_Init(&session, key, false);
    int64_t length = MpRpc_RecordSize(data, text->len);
    if (length > 0 && (size_t)length <= text->len &&
        MpRpc_Verify(&session, data, (size_t)length, &body, &size) == MP_OK) {
        Fuzz_Fail("record without a valid message code is accepted");
    }
    /* The parsers behind the MAC check are fuzzed without it. */
    if (MpRpc_ReadCall(data, text->len, &head, &object) == MP_OK) {
        MpRpc_FreeArgument(head.procedure, object);
    }
    if (MpRpc_ReadResult(data, text->len, MP_PROC_READ, &object) == MP_OK) {
        MpRpc_FreeResult(MP_PROC_READ, object);
    }
}

static void
parse_snapshot(const GString *text)
{
    struct MpMachine machine;
    MpMachine_Init(&machine);
    MpMachine_Load(&machine, text->str, text->len);
    if (MpLedger_Check(&machine.ledger) != MP_OK) {
        Fuzz_Fail("loaded snapshot violates a ledger invariant");
    }
    MpMachine_Done(&machine);
}

static void
parse_settings(const GString *text)
{
    GPtrArray *findings = MpFindings_New();
    struct MpSettings *settings =
        MpSettings_Parse(text->str, text->len, ".", findings);
    if (!settings == (findings->len == 0)) {
        Fuzz_Fail("settings and findings do not match");
    }
    MpSettings_Delete(settings);
    g_ptr_array_unref(findings);
}

/* Encoding and parsing a field must return its value unchanged. */
static void
parse_form(const GString *text)
{
    GHashTable *form = MpFormData_Parse(text->str, text->len);
    if (form) {
        g_hash_table_unref(form);
    }
    if (!g_utf8_validate(text->str, (gssize)text->len, NULL)) {
        return;
    }
    char *escaped = g_uri_escape_string(text->str, NULL, FALSE);
    char *pair = g_strdup_printf("a=%s&b=1", escaped);
    form = MpFormData_Parse(pair, strlen(pair));
    if (!form || strcmp(MpFormData_Get(form, "a"), text->str) != 0 ||
        strcmp(MpFormData_Get(form, "b"), "1") != 0) {
        Fuzz_Fail("form field is changed on encoding and parsing");
    }
    g_hash_table_unref(form);
    g_free(pair);
    g_free(escaped);
}

/* ---- pages of target lists ---- */

/* Good entries; each value names its entry, so that one made of pieces of two
 * is found. */
static const char *const good_entries[][3] = {
    {"{\"incarnation\":\"g0\",\"pool\":\"p0\",\"zone\":\"z0\","
     "\"version\":\"v0\",\"address\":\"127.0.0.1:10\",\"slots\":10}",
     "{\"incarnation\":\"g1\",\"pool\":\"p1\",\"zone\":\"z1\","
     "\"version\":\"v1\",\"address\":\"127.0.0.1:11\",\"slots\":11}",
     "{\"incarnation\":\"g2\",\"pool\":\"p2\",\"zone\":\"z2\","
     "\"version\":\"v2\",\"address\":\"127.0.0.1:12\",\"slots\":12}"},
    {"{\"id\":\"g0\",\"service\":\"p0\",\"zone\":\"z0\",\"version\":\"v0\","
     "\"address\":\"127.0.0.1:10\",\"slots\":10,\"state\":\"ready\","
     "\"models\":[{\"name\":\"m\",\"adapters\":[]}]}",
     "{\"models\":[{\"name\":\"m\",\"adapters\":[]}],\"zone\":\"z1\","
     "\"id\":\"g1\",\"service\":\"p1\",\"version\":\"v1\","
     "\"address\":\"127.0.0.1:11\",\"slots\":11,\"state\":\"ready\"}",
     "{\"id\":\"g2\",\"service\":\"p2\",\"zone\":\"z2\",\"version\":\"v2\","
     "\"address\":\"127.0.0.1:12\",\"slots\":12,\"state\":\"draining\"}"},
};

static const char *const odd_fragments[] = {
    "{",
    "}",
    "[",
    "]",
    ":",
    ",",
    "\"",
    "\\",
    " ",
    "\n",
    "1",
    "1e999",
    "99999999999999999999",
    "null",
    "\"a\"",
    "\"x\":",
    "\"incarnation\":\"odd\"",
    "\"pool\":\"odd\"",
    "\"zone\":\"odd\"",
    "\"address\":\"127.0.0.1:9\"",
    "\"id\":\"odd\"",
    "\"service\":\"odd\"",
    "\"state\":\"ready\"",
    "\"version\":\"odd\"",
    "\"slots\":9",
    "{\"a\":[",
    "]}",
    "\xff",
    "/*",
    "//",
    "[[[[[[[[[[[[[[[[[[[[",
    "]]]]]]]]]]]]]]]]]]]]",
};

static GString *
make_odd(struct FuzzInput *input, bool is_raw)
{
    GString *text = g_string_new(NULL);
    while (!FuzzInput_IsAtEnd(input)) {
        uint8_t byte = FuzzInput_Byte(input);
        if (is_raw) {
            g_string_append_c(text, (char)byte);
        }
        else {
            g_string_append(text,
                            odd_fragments[byte % G_N_ELEMENTS(odd_fragments)]);
        }
    }
    return text;
}

/* Returns a balanced entry: each bracket is closed, and the text between them
 * holds neither brackets nor quotes. */
static GString *
make_balanced(struct FuzzInput *input)
{
    GString *text = g_string_new("{\"x\":");
    GString *closers = g_string_new("}");
    while (!FuzzInput_IsAtEnd(input)) {
        uint8_t byte = FuzzInput_Byte(input);
        if (byte < 64) {
            g_string_append_c(text, byte % 2 ? '{' : '[');
            g_string_append_c(closers, byte % 2 ? '}' : ']');
        }
        else if (byte < 128 && closers->len > 1) {
            g_string_append_c(text, closers->str[closers->len - 1]);
            g_string_truncate(closers, closers->len - 1);
        }
        else if (byte < 192) {
            g_string_append(text, byte % 2 ? ",\"]}{[\\\"\":" : ",\"\xff\",");
        }
        else if (!strchr("\"{}[]", byte & 127)) {
            g_string_append_c(text, (char)byte);
        }
    }
    while (closers->len > 0) {
        g_string_append_c(text, closers->str[closers->len - 1]);
        g_string_truncate(closers, closers->len - 1);
    }
    g_string_free(closers, TRUE);
    return text;
}

/* Returns the number of a good entry if all fields of target are of it, -1 if
 * none is. */
static int
check_target(const struct MpListedTarget *target)
{
    int number =
        target->incarnation[0] == 'g' ? target->incarnation[1] - '0' : -1;
    char expected[32];
    g_snprintf(expected, sizeof(expected), "g%dp%dz%dv%d127.0.0.1:1%d", number,
               number, number, number, number);
    char *fields = g_strconcat(target->incarnation, target->pool, target->zone,
                               target->version ? target->version : "",
                               target->address, NULL);
    bool is_odd = strcspn(fields, "gzv") == strlen(fields) &&
                  strstr(fields, ":9") && target->slots != 10 &&
                  target->slots != 11 && target->slots != 12;
    if (number >= 0
            ? strcmp(fields, expected) != 0 || target->slots != 10 + number
            : !is_odd) {
        Fuzz_Fail("entry is made of pieces: %.200s", fields);
    }
    g_free(fields);
    return number;
}

/* Returns a bit for each good entry in the page. */
static uint32_t
parse_page(const struct MpDialect *dialect, const GString *page, bool is_whole,
           int *code)
{
    GPtrArray *targets = g_ptr_array_new_with_free_func(MpListedTarget_Delete);
    struct MpUnreadableEntries unreadable = {0};
    uint32_t found = 0;
    char *next;
    *code = MpTargetPage_Parse(&dialect->target_page, page->str, page->len,
                               is_whole, targets, &unreadable, &next);
    for (guint i = 0; i < targets->len; i++) {
        int number = check_target(g_ptr_array_index(targets, i));
        found |= number >= 0 ? 1U << number : 0;
    }
    if (*code == MP_OK && found == 7 && is_whole &&
        g_strcmp0(next, "?page=n") != 0 &&
        g_strcmp0(next, "?page-token=n") != 0) {
        Fuzz_Fail("next page is lost");
    }
    g_free(next);
    g_ptr_array_unref(targets);
    return found;
}

/* One odd entry in any place costs that entry, and a page that was cut off is
 * never taken for a whole one. */
static void
parse_pages(struct FuzzInput *input)
{
    uint8_t choice = FuzzInput_Byte(input);
    uint8_t cut = FuzzInput_Byte(input);
    const struct MpDialect *dialect =
        choice % 2 ? &MpDialect_Platform : &MpDialect_Native;
    uint32_t place = choice / 2 % 4;
    uint32_t kind = choice / 8 % 4;
    GString *odd =
        kind < 2 ? make_balanced(input) : make_odd(input, kind == 3);
    GString *page = g_string_new(NULL);
    int code;
    g_string_append_printf(page, "{\"%s\":[", dialect->target_page.list);
    for (uint32_t i = 0; i < 4; i++) {
        g_string_append(page, i > 0 ? "," : "");
        if (i == place) {
            g_string_append_len(page, odd->str, (gssize)odd->len);
        }
        else {
            g_string_append(page, good_entries[choice % 2][i - (i > place)]);
        }
    }
    g_string_append(page, "],\"next\":\"n\"}");
    uint32_t found = parse_page(dialect, page, true, &code);
    /* Bytes that end the list and go on with another field are JSON. */
    bool may_end_list = kind >= 2 && strchr(odd->str, ']');
    if (!may_end_list && !memchr(odd->str, 0, odd->len) &&
        (code != MP_OK || found != 7)) {
        Fuzz_Fail("an entry costs others: found %u of %.400s", found,
                  page->str);
    }
    if (kind < 2) {
        g_string_truncate(page, page->len * cut / 256);
        parse_page(dialect, page, false, &code);
        if (code == MP_OK) {
            Fuzz_Fail("a page that was cut off is accepted");
        }
    }
    g_string_free(page, TRUE);
    g_string_free(odd, TRUE);
}

/* Lowest values of a case's first byte that choose pages, settings and form
 * data. */
#define FIRST_PAGE_BYTE 192
#define FIRST_SETTINGS_BYTE 224
#define FIRST_FORM_BYTE 240
#define CHOICE_NONE 99

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct FuzzInput input = {.data = data, .size = size};
    uint8_t first = FuzzInput_Byte(&input);
    uint32_t choice = first % 10;
    if (first >= FIRST_PAGE_BYTE && first < FIRST_SETTINGS_BYTE) {
        parse_pages(&input);
        Fuzz_Steps++;
        return 0;
    }
    struct FuzzInput again = input;
    GString *text = make_text(&input, choice >= 5);
    if (first >= FIRST_FORM_BYTE) {
        parse_form(text);
        choice = CHOICE_NONE;
    }
    else if (first >= FIRST_SETTINGS_BYTE) {
        parse_settings(text);
        choice = CHOICE_NONE;
    }
    switch (choice) {
    case 0:
    case 5:
        parse_document(text);
        break;
    case 1: {
        GString *chat = make_chat(&again);
        parse_chat(chat);
        g_string_free(chat, TRUE);
    } /* fall through */
    case 6:
        parse_chat(text);
        break;
    case 2:
    case 7:
        parse_stream(text);
        break;
    case 3:
    case 8:
        parse_record(text);
        break;
    case 4:
    case 9:
        parse_snapshot(text);
        break;
    default:
        break;
    }
    g_string_free(text, TRUE);
    Fuzz_Steps++;
    return 0;
}
