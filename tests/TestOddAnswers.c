#include "PlatformDialect.h"
#include "protocol/Chat.h"
#include "protocol/Sse.h"
#include "protocol/TargetStatus.h"

#include "state/Error.h"
#include "state/Metrics.h"

#include <glib.h>
#include <string.h>

/* Numbers and strings in bodies of callers and answers of engines that cannot
 * be right. */

static const char *const odd_usages[] = {
    "{}",
    "[]",
    "7",
    "{\"prompt_tokens\":1}",
    "{\"prompt_tokens\":-1,\"completion_tokens\":1}",
    "{\"prompt_tokens\":1,\"completion_tokens\":-9000000000000000000}",
    "{\"prompt_tokens\":1,\"completion_tokens\":99999999999999999999}",
    "{\"prompt_tokens\":100000000001,\"completion_tokens\":1}",
    "{\"prompt_tokens\":1.5,\"completion_tokens\":1}",
    "{\"prompt_tokens\":1e999,\"completion_tokens\":1}",
    "{\"prompt_tokens\":\"1\",\"completion_tokens\":1}",
    "{\"prompt_tokens\":null,\"completion_tokens\":1}",
};

static void
test_usage(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(odd_usages); i++) {
        int64_t prompt = -7;
        int64_t output = -7;
        char *body = g_strdup_printf("{\"usage\":%s}", odd_usages[i]);
        g_assert_false(
            MpChat_ParseUsage(body, strlen(body), &prompt, &output));
        g_assert_cmpint(prompt, ==, -7);
        g_assert_cmpint(output, ==, -7);
        g_free(body);
    }
    const char *body =
        "{\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":0}}";
    int64_t prompt;
    int64_t output;
    g_assert_true(MpChat_ParseUsage(body, strlen(body), &prompt, &output));
    g_assert_cmpint(prompt, ==, 3);
    g_assert_cmpint(output, ==, 0);
}

static enum MpSseKind
kind_of(const char *data)
{
    struct MpSse sse;
    struct MpSseEvent event;
    char *text = g_strdup_printf("data: %s\n\n", data);
    MpSse_Init(&sse);
    g_assert_cmpint(MpSse_Feed(&sse, text, strlen(text)), ==, MP_OK);
    g_assert_true(MpSse_Next(&sse, &event));
    MpSse_Done(&sse);
    g_free(text);
    return event.kind;
}

static void
test_usage_events(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(odd_usages); i++) {
        char *data = g_strdup_printf("{\"usage\":%s}", odd_usages[i]);
        g_assert_cmpint(kind_of(data), !=, MP_SSE_USAGE);
        g_free(data);
    }
    g_assert_cmpint(
        kind_of("{\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":4}}"),
        ==, MP_SSE_USAGE);
    g_assert_cmpint(kind_of("{\"choices\":[{}],\"usage\":null}"), ==,
                    MP_SSE_TOKEN);
}

static void
check_refused(const char *body)
{
    struct MpChat chat;
    const char *reason = NULL;
    g_assert_cmpint(MpChat_Parse(&chat, body, strlen(body), &reason), ==,
                    MP_ERROR_INVALID);
    g_assert_nonnull(reason);
    MpChat_Done(&chat);
}

/* The prompt is reserved by its length: no part of it may be hidden behind a
 * NUL character. */
static void
test_hidden_prompt(void)
{
    struct MpChat chat;
    const char *reason = NULL;
    const char *body = "{\"model\":\"m\",\"messages\":[{\"role\":\"u\\u0000\","
                       "\"content\":\"\\u0000hidden\"}]}";
    g_assert_cmpint(MpChat_Parse(&chat, body, strlen(body), &reason), ==,
                    MP_OK);
    g_assert_cmpuint(chat.prompt->len, ==, 11);
    MpChat_Done(&chat);
    check_refused("{\"model\":\"m\\u0000x\",\"messages\":[{\"role\":\"user\","
                  "\"content\":\"hi\"}]}");
    check_refused("{\"model\":\"m\",\"n\":1.5,\"messages\":[{\"role\":\"u\","
                  "\"content\":\"hi\"}]}");
    check_refused("{\"model\":\"m\",\"max_tokens\":1e999,\"messages\":"
                  "[{\"role\":\"u\",\"content\":\"hi\"}]}");
}

static void
test_metric_labels(void)
{
    GString *out = g_string_new(NULL);
    MpMetrics_WriteValue(out, "m", "target", "a\"b\\c\nd", 1);
    g_assert_cmpstr(out->str, ==, "m{target=\"a\\\"b\\\\c\\nd\"} 1\n");
    g_string_free(out, TRUE);
}

static void
check_status(const char *text, const char *expected_reason)
{
    struct MpTargetStatus status;
    const char *reason;
    bool is_readable =
        MpTargetStatus_Parse(&status, text, strlen(text), &reason);
    g_assert_cmpstr(is_readable ? "" : reason, ==, expected_reason);
    MpTargetStatus_Done(&status);
}

static void
test_status(void)
{
    check_status("{}", "");
    check_status("{\"boot\":\"b\",\"running\":1000000,\"leaving\":true}", "");
    check_status("", "syntax");
    check_status("[]", "no_object");
    check_status("{\"boot\":null}", "boot");
    check_status("{\"boot\":\"a\\u0000b\"}", "boot");
    check_status("{\"boot\":\"a\",\"boot\":\"b\"}", "duplicate_key");
    check_status("{\"running\":9223372036854775807}", "running");
    check_status("{\"running\":1.5}", "running");
    check_status("{\"waiting\":-1}", "waiting");
    check_status("{\"sequence\":99999999999999999999}", "sequence");
    check_status("{\"leaving\":\"no\"}", "leaving");
}

static void
test_status_events(void)
{
    const char *text =
        "{\"events\":[[1,\"+\",\"0f\"],null,[2,\"-\"],[-1,\"+\","
        "\"1\"],[3,\"+\",\"x\"],[4,\"+\",5],[5,\"-\","
        "\"fffffffffffffffff\"],[6,\"-\",\"ffffffffffffffff\"]]}";
    static const bool readable[] = {true,  false, false, false,
                                    false, false, false, true};
    struct MpTargetStatus status;
    struct MpStatusEvent event;
    const char *reason;
    g_assert_true(MpTargetStatus_Parse(&status, text, strlen(text), &reason));
    g_assert_cmpuint(MpTargetStatus_EventCount(&status), ==,
                     G_N_ELEMENTS(readable));
    for (size_t i = 0; i < G_N_ELEMENTS(readable); i++) {
        g_assert_true(MpTargetStatus_GetEvent(&status, i, &event) ==
                      readable[i]);
    }
    g_assert_cmpuint(event.sequence, ==, 6);
    g_assert_cmpuint(event.block, ==, UINT64_MAX);
    MpTargetStatus_Done(&status);
}

/* Parses a document of the platform with one field changed; returns its
 * findings as text. */
static char *
platform_findings(const char *version, const char *timeout, const char *weight,
                  const char *name, const char *prepaid)
{
    char *text = g_strdup_printf(
        "{\"version\":%s,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
        "\"path-prefix\":\"/a/"
        "\",\"route-type\":\"idempotent\",\"timeout-ms\":%s,"
        "\"backends\":[{\"service\":\"%s\",\"weight\":%s}]}],"
        "\"services\":[{\"name\":\"%s\"}],\"tenants\":[{\"name\":\"t\","
        "\"api-keys\":[\"k\"],\"prepaid\":%s}]}",
        version, timeout, name, weight, name, prepaid);
    GPtrArray *findings = MpFindings_New();
    struct MpDocument *document =
        MpPlatform_ParseDocument(text, strlen(text), findings);
    char *lines = MpFindings_Format(findings, "d");
    g_assert_true((document == NULL) == (findings->len > 0));
    MpDocument_Unref(document);
    g_ptr_array_unref(findings);
    g_free(text);
    return lines;
}

static void
check_platform(bool is_valid, const char *version, const char *timeout,
               const char *weight, const char *name, const char *prepaid)
{
    char *lines = platform_findings(version, timeout, weight, name, prepaid);
    g_assert_cmpstr(is_valid ? lines : "", ==, "");
    g_assert_true(is_valid || lines[0]);
    g_free(lines);
}

static void
test_platform_document(void)
{
    check_platform(true, "1", "10", "1", "s", "5");
    check_platform(true, "1", "10.5", "1", "s", "-1");
    check_platform(true, "1760000000000000000", "10", "1", "s", "5");
    check_platform(true, "7.0", "10", "1", "s", "5");
    check_platform(false, "0", "10", "1", "s", "5");
    check_platform(false, "99999999999999999999", "10", "1", "s", "5");
    check_platform(false, "1e999", "10", "1", "s", "5");
    check_platform(false, "NaN", "10", "1", "s", "5");
    check_platform(false, "1", "1e999", "1", "s", "5");
    check_platform(false, "1", "9223372036854775807", "1", "s", "5");
    check_platform(false, "1", "10", "9223372036854775807", "s", "5");
    check_platform(false, "1", "10", "1", "s", "9223372036854775807");
    check_platform(false, "1", "10", "1", "s\\u0000x", "5");
    check_platform(false, "1", "10", "1", "s\\r\\nx", "5");
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/odd/usage", test_usage);
    g_test_add_func("/odd/usage events", test_usage_events);
    g_test_add_func("/odd/hidden prompt", test_hidden_prompt);
    g_test_add_func("/odd/metric labels", test_metric_labels);
    g_test_add_func("/odd/status", test_status);
    g_test_add_func("/odd/status events", test_status_events);
    g_test_add_func("/odd/platform document", test_platform_document);
    return g_test_run();
}
