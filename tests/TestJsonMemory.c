#include "state/Json.h"

#include <string.h>

/* Of the address sanitizer, with which tests are built; not each compiler has
 * its header. */
size_t __sanitizer_get_current_allocated_bytes(void);

/* The estimate of what parsing takes, against what it allocates.  Guards
 * against texts of legal size whose values take more than is counted for them.
 */

#define TEXT_BYTES 100000
/* Besides the estimate: the copy that is parsed and the strings of the tree,
 * and what an empty parse takes. */
#define TEXT_FACTOR 3
#define PARSE_BYTES 16384

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

static void
check(char *text)
{
    size_t size = strlen(text);
    size_t before = __sanitizer_get_current_allocated_bytes();
    GPtrArray *findings = MpFindings_New();
    struct json_object *value = MpJson_Parse(text, size, findings);
    size_t taken = __sanitizer_get_current_allocated_bytes() - before;
    g_assert_nonnull(value);
    g_assert_cmpuint(taken, <=,
                     MpJson_TreeBytes(text, size) + TEXT_FACTOR * size +
                         PARSE_BYTES);
    json_object_put(value);
    g_ptr_array_unref(findings);
    g_free(text);
}

static void
test_estimate(void)
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
    check(list_members());
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
    g_test_add_func("/json/an estimate covers what parsing takes",
                    test_estimate);
    g_test_add_func("/json/duplicate keys are reported up to a limit",
                    test_findings_are_bounded);
    return g_test_run();
}
