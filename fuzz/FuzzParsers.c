#include "Input.h"

#include "protocol/Chat.h"
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

/* Lowest values of a case's first byte that choose settings and form data. */
#define FIRST_SETTINGS_BYTE 224
#define FIRST_FORM_BYTE 240
#define CHOICE_NONE 99

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct FuzzInput input = {.data = data, .size = size};
    uint8_t first = FuzzInput_Byte(&input);
    uint32_t choice = first % 10;
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
    case 1:
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
