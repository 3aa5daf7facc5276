#include "protocol/EventSplit.h"
#include "protocol/EventStream.h"

#include <glib.h>
#include <string.h>

/* Which responses are event streams, and where their events end. */

static const char *
refute(int status, const char *type, const char *encoding)
{
    return MpEventStream_Refute(status, type, type ? strlen(type) : 0,
                                encoding, encoding ? strlen(encoding) : 0);
}

static void
test_other_answer_taken_for_stream(void)
{
    static const char *const streams[] = {
        "text/event-stream", "TEXT/Event-Stream", "text/event-stream;",
        " text/event-stream \t; charset=utf-8"};
    static const char *const others[] = {
        NULL,
        "",
        "text/plain",
        "text/event-streams",
        "text/event-strea",
        "application/json; a=text/event-stream",
        "text/event-stream, a/b",
        "text/event-stream x"};
    for (size_t i = 0; i < G_N_ELEMENTS(streams); i++) {
        g_assert_null(refute(200, streams[i], NULL));
        g_assert_null(refute(200, streams[i], ""));
        g_assert_null(refute(200, streams[i], "Identity"));
        g_assert_cmpstr(refute(200, streams[i], "gzip"), ==, "encoding");
        g_assert_cmpstr(refute(206, streams[i], NULL), ==, "status");
        g_assert_cmpstr(refute(500, streams[i], NULL), ==, "status");
    }
    for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
        g_assert_cmpstr(refute(200, others[i], NULL), ==, "type");
    }
}

static void
test_type_breaks_log_line(void)
{
    char *escaped = MpEventStream_EscapeType("a\"b\n\x01\xff", 6);
    g_assert_cmpstr(escaped, ==, "a\\\"b\\n\\001\\377");
    g_free(escaped);
    char *filler = g_strnfill(1000, 'x');
    escaped = MpEventStream_EscapeType(filler, 1000);
    g_assert_cmpuint(strlen(escaped), ==, MP_EVENT_STREAM_TYPE_LOG_BYTES);
    g_free(escaped);
    g_free(filler);
    escaped = MpEventStream_EscapeType(NULL, 0);
    g_assert_cmpstr(escaped, ==, "-");
    g_free(escaped);
}

static void
check_block(const char *text, size_t size, int64_t id, bool has_data)
{
    struct MpEventBlock block;
    g_assert_true(MpEventSplit_Next(text, strlen(text), &block));
    g_assert_cmpuint(block.size, ==, size);
    g_assert_cmpint(block.id, ==, id);
    g_assert_cmpint(block.has_data, ==, has_data);
    for (size_t part = 0; part < size; part++) {
        g_assert_false(MpEventSplit_Next(text, part, &block));
        g_assert_false(MpEventSplit_MayEnd(text, part, 0));
        g_assert_true(MpEventSplit_MayEnd(text, strlen(text), part));
    }
}

static void
test_event_ends_elsewhere(void)
{
    check_block("id: 3\ndata: x\n\nid: 4\n\n", 15, 3, true);
    check_block("id:3\r\ndata\r\n\r\n", 14, 3, true);
    check_block("data: x\r\n\n", 10, -1, true);
    check_block("x: 1\nid: 12\ndata: x\n\n", 21, 12, true);
    check_block("id: 3\nid: x3\ndata:x\n\n", 21, -1, true);
    check_block("id: -3\ndata:x\n\n", 15, -1, true);
    check_block("id: 99999999999999999999\ndata:x\n\n", 33, -1, true);
    check_block(": id: 3\n\n", 9, -1, false);
    check_block("retry: 5\n\n", 10, -1, false);
    check_block("database: 5\nidle: 7\n\n", 21, -1, false);
    check_block("id: 7\n\n", 7, 7, false);
    check_block("\nid: 7\n\n", 1, -1, false);
}

static void
test_mark_inside_stream_skipped(void)
{
    g_assert_cmpint(MpEventSplit_MarkSize("", 0), ==, -1);
    g_assert_cmpint(MpEventSplit_MarkSize("\xef\xbb", 2), ==, -1);
    g_assert_cmpint(MpEventSplit_MarkSize("\xef\xbb\xbfid", 5), ==, 3);
    g_assert_cmpint(MpEventSplit_MarkSize("\xef\xbbid", 4), ==, 0);
    g_assert_cmpint(MpEventSplit_MarkSize("\n", 1), ==, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/event-stream/other answer taken for a stream",
                    test_other_answer_taken_for_stream);
    g_test_add_func("/event-stream/type breaks the log line",
                    test_type_breaks_log_line);
    g_test_add_func("/event-stream/event ends elsewhere",
                    test_event_ends_elsewhere);
    g_test_add_func("/event-stream/mark inside a stream is skipped",
                    test_mark_inside_stream_skipped);
    return g_test_run();
}
