#include "protocol/Sse.h"

#include "state/Error.h"

#include <glib.h>
#include <string.h>

/* Sizes, separators and fields of the events of a chat stream. */

/* Feeds text in pieces, up to the first error.  Returns the kinds of its
 * events as letters, "!" if data is refused. */
static char *
read_kinds(const char *text, size_t size, size_t piece)
{
    static const char letters[] = "otueD";
    GString *kinds = g_string_new(NULL);
    struct MpSse sse;
    struct MpSseEvent event;
    bool has_failed = false;
    MpSse_Init(&sse);
    for (size_t at = 0; at < size && !has_failed; at += piece) {
        if (MpSse_Feed(&sse, text + at, MIN(piece, size - at)) != MP_OK) {
            g_string_append_c(kinds, '!');
            break;
        }
        while (MpSse_Next(&sse, &event)) {
            g_string_append_c(kinds, letters[event.kind]);
            has_failed |= event.kind == MP_SSE_ERROR;
        }
    }
    MpSse_Done(&sse);
    return g_string_free(kinds, FALSE);
}

static void
check(const char *text, const char *expected)
{
    static const size_t pieces[] = {1, 7, 4096, SIZE_MAX / 2};
    for (size_t i = 0; i < G_N_ELEMENTS(pieces); i++) {
        char *kinds = read_kinds(text, strlen(text), pieces[i]);
        g_assert_cmpstr(kinds, ==, expected);
        g_free(kinds);
    }
}

/* Returns an event with size bytes altogether. */
static char *
make_event(size_t size)
{
    char *text = g_strnfill(size, 'x');
    memcpy(text, "data: ", strlen("data: "));
    memcpy(text + size - 2, "\n\n", 2);
    return text;
}

static void
test_event_of_twice_the_limit_passes(void)
{
    static const size_t pieces[] = {1000, 65536, SIZE_MAX / 2};
    char *longest = make_event(MP_SSE_EVENT_MAX);
    char *too_long = make_event(MP_SSE_EVENT_MAX + 1);
    char *sound = g_strconcat(longest, longest, longest, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(pieces); i++) {
        char *kinds = read_kinds(sound, strlen(sound), pieces[i]);
        g_assert_cmpstr(kinds, ==, "ooo");
        g_free(kinds);
        kinds = read_kinds(too_long, strlen(too_long), pieces[i]);
        g_assert_cmpstr(kinds, ==, "e");
        g_free(kinds);
        /* Without its end. */
        kinds = read_kinds(too_long, strlen(too_long) - 1, pieces[i]);
        g_assert_cmpstr(kinds, ==, "e");
        g_free(kinds);
    }
    g_free(sound);
    g_free(too_long);
    g_free(longest);
}

#define TOKEN "{\"choices\":[{}]}"

static void
test_separators_and_fields(void)
{
    check("data: " TOKEN "\n\ndata: [DONE]\n\n", "tD");
    check("data: " TOKEN "\r\n\r\ndata: [DONE]\r\n\r\n", "tD");
    check("data:" TOKEN "\n\ndata:[DONE]\n\n", "tD");
    check("\xef\xbb\xbf"
          "data: " TOKEN "\n\ndata: [DONE]\n\n",
          "tD");
    check("event: x\nid: 7\ndata: " TOKEN "\n\n", "t");
    check(": a comment\n\nretry: 5\n\n", "oo");
    check("data: " TOKEN "\n: a comment\n\n", "t");
    check("data: " TOKEN, "");
    check("data: {\"error\":1}\n\n", "e");
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/sse/event of twice the limit passes",
                    test_event_of_twice_the_limit_passes);
    g_test_add_func("/sse/separators and fields", test_separators_and_fields);
    return g_test_run();
}
