#include "protocol/Chat.h"
#include "state/Error.h"
#include "state/Json.h"

#include <string.h>

/* Of the address sanitizer, with which tests are built; not each compiler has
 * its header. */
size_t __sanitizer_get_allocated_size(const volatile void *block);
int __sanitizer_install_malloc_and_free_hooks(
    void (*allocated)(const volatile void *block, size_t size),
    void (*freed)(const volatile void *block));

/* The bodies of chats: what they allocate, against their size, and which are
 * refused.  Guards against bodies of legal size whose values take more than is
 * counted for them. */

#define TEXT_BYTES 100000
/* What a parsed chat holds, and what it takes while it is parsed, in sizes of
 * the body, besides some buffers. */
#define HELD_FACTOR 3
#define PARSE_FACTOR 7
#define PARSE_BYTES 16384

static int64_t allocated_bytes;
static int64_t peak_bytes;

static void
on_allocated(const volatile void *block, size_t size)
{
    (void)block;
    allocated_bytes += (int64_t)size;
    peak_bytes = MAX(peak_bytes, allocated_bytes);
}

static void
on_freed(const volatile void *block)
{
    allocated_bytes -= (int64_t)__sanitizer_get_allocated_size(block);
}

static char *
repeat(const char *opening, const char *value, const char *closing)
{
    GString *text = g_string_new(opening);
    while (text->len < TEXT_BYTES) {
        g_string_append(text, value);
    }
    g_string_append(text, closing);
    return g_string_free(text, FALSE);
}

/* Objects whose keys all differ. */
static char *
list_members(void)
{
    GString *text = g_string_new("{\"a\":1");
    for (int i = 0; text->len < TEXT_BYTES; i++) {
        g_string_append_printf(text, ",\"%d\":1", i);
    }
    g_string_append(text, "}");
    return g_string_free(text, FALSE);
}

/* Parses a chat with a text as one of its values, or as what its user says if
 * that is a string. */
static void
check(char *text)
{
    struct MpChat chat;
    const char *reason = "";
    char *body = g_strdup_printf(
        "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":%s}],"
        "\"x\":%s}",
        text[0] == '"' ? text : "\"\"", text[0] == '"' ? "1" : text);
    int64_t size = (int64_t)strlen(body);
    int64_t before = allocated_bytes;
    peak_bytes = before;
    int code = MpChat_Parse(&chat, body, (size_t)size, &reason);
    g_assert_cmpstr(reason, ==, "");
    g_assert_cmpint(code, ==, 0);
    g_assert_cmpint(peak_bytes - before, <=,
                    PARSE_FACTOR * size + PARSE_BYTES);
    g_assert_cmpint(allocated_bytes - before, <=,
                    HELD_FACTOR * size + PARSE_BYTES);
    MpChat_Done(&chat);
    g_assert_cmpint(allocated_bytes, <=, before + PARSE_BYTES);
    g_free(body);
    g_free(text);
}

static void
test_memory(void)
{
    check(repeat("[", "1,", "1]"));
    check(repeat("[", "1.5,", "1]"));
    check(repeat("[", "\"\",", "1]"));
    check(repeat("[", "[],", "1]"));
    check(repeat("[", "[[[1]]],", "1]"));
    check(repeat("[", "{},", "1]"));
    check(repeat("[", "{\"a\":{}},", "1]"));
    check(repeat("[", "null,", "1]"));
    check(repeat("/*\"*/[", "{},", "1]"));
    check(repeat("//\"\n[", "{},", "1]"));
    check(repeat("[\"\\\"[\",", "{},", "1]"));
    check(repeat("\"", "word ", "\""));
    check(repeat("\"", "\\u0041\\n", "\""));
    check(list_members());
}

static void
check_refused(const char *value)
{
    struct MpChat chat;
    const char *reason = "";
    char *body =
        g_strdup_printf("{\"model\":\"m\",\"messages\":[{\"role\":\"\","
                        "\"content\":\"\"}],\"x\":%s}",
                        value);
    int code = MpChat_Parse(&chat, body, strlen(body), &reason);
    g_assert_cmpint(code, ==, MP_ERROR_INVALID);
    g_assert_cmpstr(reason, ==,
                    "the body must be one JSON object without repeated keys");
    MpChat_Done(&chat);
    g_free(body);
}

static void
test_refused(void)
{
    static const char *const values[] = {"",
                                         "01",
                                         "-01",
                                         "1.",
                                         ".5",
                                         "1e",
                                         "+1",
                                         "nan",
                                         "NaN",
                                         "Infinity",
                                         "tru",
                                         "True",
                                         "[1,]",
                                         "[1 2]",
                                         "{\"a\"}",
                                         "{a:1}",
                                         "{\"a\":1,}",
                                         "[}",
                                         "\"\\x\"",
                                         "\"\t\"",
                                         "\"\\u12\"",
                                         "\"\xff\"",
                                         "\"\xc0\x80\"",
                                         "'a'",
                                         "\"",
                                         "1}",
                                         "1}{",
                                         "/*",
                                         "{\"x\":1,\"\\u0078\":2}",
                                         "[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]",
                                         "1,\"x\":1",
                                         "1,\"m\\u006fdel\":\"m\""};
    for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
        check_refused(values[i]);
    }
}

static void
test_findings_are_bounded(void)
{
    char *text = repeat("{\"a\":1", ",\"a\":1", "}");
    GPtrArray *findings = MpFindings_New();
    struct json_object *value = MpJson_Parse(text, strlen(text), findings);
    g_assert_cmpuint(findings->len, ==, 100);
    json_object_put(value);
    g_ptr_array_unref(findings);
    g_free(text);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    __sanitizer_install_malloc_and_free_hooks(on_allocated, on_freed);
    g_test_add_func("/chat/a body takes some times its size", test_memory);
    g_test_add_func("/chat/only standard JSON is accepted", test_refused);
    g_test_add_func("/json/duplicate keys are reported up to a limit",
                    test_findings_are_bounded);
    return g_test_run();
}
