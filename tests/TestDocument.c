#include "PlatformDialect.h"

#include <glib.h>
#include <string.h>

/* Keys of earlier builds, which nothing obeyed. */
static const char *const retired_documents[] = {
    "{\"targets\":{\"t\":{\"address\":\"127.0.0.1:1\",\"zone\":\"a\","
    "\"checks_fencing\":true}},\"workspaces\":{}}",
    "{\"targets\":{},\"workspaces\":{},\"pools\":{\"p\":{\"health_path\":"
    "\"/healthz\"}}}",
    "{\"targets\":{},\"workspaces\":{},\"pools\":{\"p\":{\"engine\":{"
    "\"memory_tokens\":5}}}}",
    "{\"targets\":{},\"workspaces\":{},\"limits\":{\"header_timeout_ms\":"
    "3000}}",
};

typedef struct MpDocument *(*parse_fn)(const char *text, size_t size,
                                       GPtrArray *findings);

/* Parses text; returns the findings, in *is_valid whether it is valid. */
static char *
findings_of(parse_fn parse, const char *text, bool *is_valid)
{
    GPtrArray *findings = MpFindings_New();
    struct MpDocument *document = parse(text, strlen(text), findings);
    char *lines = MpFindings_Format(findings, "d");
    *is_valid = document != NULL;
    MpDocument_Unref(document);
    g_ptr_array_unref(findings);
    return lines;
}

static void
test_settings_nothing_obeys(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(retired_documents); i++) {
        bool is_valid;
        char *lines =
            findings_of(MpDocument_Parse, retired_documents[i], &is_valid);
        g_assert_false(is_valid);
        g_assert_nonnull(strstr(lines, "retired"));
        g_assert_null(strchr(strchr(lines, '\n') + 1, '\n'));
        g_free(lines);
    }
}

static void
test_stored_document_is_lost(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(retired_documents); i++) {
        bool is_valid;
        char *lines =
            findings_of(MpDocument_Load, retired_documents[i], &is_valid);
        g_assert_cmpstr(lines, ==, "");
        g_assert_true(is_valid);
        g_free(lines);
    }
}

static void
test_stored_document_is_not_checked(void)
{
    bool is_valid;
    char *lines = findings_of(MpDocument_Load,
                              "{\"targets\":{},\"workspaces\":{},\"other\":1}",
                              &is_valid);
    g_assert_false(is_valid);
    g_assert_nonnull(strstr(lines, "unknown_key"));
    g_free(lines);
}

/* A stored document of an earlier build may have an empty key: it is kept, and
 * the key belongs to nobody. */
static void
test_empty_key_is_let_in(void)
{
    static const char *const keys[] = {"", " ", "    "};
    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
        char *text = g_strdup_printf(
            "{\"version\":1,\"routes\":[],\"services\":[],\"tenants\":[{"
            "\"name\":\"t\",\"api-keys\":[\"k\",\"%s\"]}]}",
            keys[i]);
        bool is_valid;
        char *lines = findings_of(MpPlatform_ParseDocument, text, &is_valid);
        g_assert_false(is_valid);
        g_assert_nonnull(strstr(lines, "bad_value"));
        g_free(lines);
        GPtrArray *findings = MpFindings_New();
        struct MpDocument *document =
            MpPlatform_LoadDocument(text, strlen(text), findings);
        g_assert_nonnull(document);
        g_assert_null(MpDocument_FindWorkspace(document, keys[i]));
        g_assert_null(MpDocument_FindWorkspace(document, ""));
        g_assert_cmpstr(MpDocument_FindWorkspace(document, "k"), ==, "t");
        MpDocument_Unref(document);
        g_ptr_array_unref(findings);
        g_free(text);
    }
}

/* Numbers with decimals must not lose them: 8.6 a second is not 8. */
static void
test_cold_rates(void)
{
    const char *text =
        "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"a\","
        "\"cold-start-s\":2.5,\"cold-per-s\":8.6},{\"name\":\"b\"},"
        "{\"name\":\"c\",\"cold-per-s\":0},"
        "{\"name\":\"d\",\"cold-per-s\":-1}],\"tenants\":[]}";
    GPtrArray *findings = MpFindings_New();
    struct MpDocument *document =
        MpPlatform_ParseDocument(text, strlen(text), findings);
    g_assert_nonnull(document);
    static const int64_t rates[] = {8600, -1, 0, -1};
    for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
        const char name[] = {(char)('a' + i), '\0'};
        const struct MpPoolConf *pool =
            g_hash_table_lookup(document->pools, name);
        g_assert_cmpint(pool->cold_rate, ==, rates[i]);
        g_assert_cmpint(pool->cold_start_ms, ==, i == 0 ? 2500 : 0);
    }
    MpDocument_Unref(document);
    const char *wrong = "{\"version\":1,\"routes\":[],\"services\":[{"
                        "\"name\":\"a\",\"cold-per-s\":\"8.6\"}],"
                        "\"tenants\":[]}";
    g_assert_null(MpPlatform_ParseDocument(wrong, strlen(wrong), findings));
    g_ptr_array_unref(findings);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/document/settings that nothing obeys",
                    test_settings_nothing_obeys);
    g_test_add_func("/document/stored document is lost",
                    test_stored_document_is_lost);
    g_test_add_func("/document/stored document is not checked",
                    test_stored_document_is_not_checked);
    g_test_add_func("/document/empty key is let in", test_empty_key_is_let_in);
    g_test_add_func("/document/cold rates", test_cold_rates);
    return g_test_run();
}
