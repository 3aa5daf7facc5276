#include "protocol/Chat.h"
#include "protocol/Sse.h"

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

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/odd/usage", test_usage);
    g_test_add_func("/odd/usage events", test_usage_events);
    g_test_add_func("/odd/hidden prompt", test_hidden_prompt);
    g_test_add_func("/odd/metric labels", test_metric_labels);
    return g_test_run();
}
