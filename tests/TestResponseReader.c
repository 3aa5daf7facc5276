#include "protocol/ResponseReader.h"

#include <glib.h>
#include <string.h>

/* Responses that arrive on one connection, and whose they are. */

#define OWN "x-id: a-1\r\n"
#define OTHER "x-id: b-2\r\n"
#define SIZED(id, text, size)                                                 \
    "HTTP/1.1 200 X\r\n" id "content-length: " #size "\r\n\r\n" text

struct reading {
    struct MpResponseReader reader;
    int heads;
    int strays;
    int pieces;                /* of the body */
    enum MpStrayReason reason; /* of the last one */
    int status;
    GString *body;
    size_t used;
};

static void
on_head(void *owner, const struct MpTargetHead *head)
{
    struct reading *this = owner;
    this->heads++;
    this->status = head->status;
}

static void
on_body(void *owner, const char *data, size_t size)
{
    struct reading *this = owner;
    g_string_append_len(this->body, data, (gssize)size);
}

static void
on_stray(void *owner, enum MpStrayReason reason,
         const struct MpTargetHead *head)
{
    struct reading *this = owner;
    (void)head;
    this->strays++;
    this->reason = reason;
}

static const struct MpResponseReaderClass reading_class = {
    .head = on_head, .body = on_body, .stray = on_stray};

static void
start_request(struct reading *this, const char *id, bool is_head,
              bool is_new_conn)
{
    *this = (struct reading){.body = g_string_new(NULL)};
    MpResponseReader_Init(&this->reader, &reading_class, this);
    MpResponseReader_Start(&this->reader, &(struct MpExpectedResponse){
                                              .id_header = "x-id",
                                              .id = id,
                                              .is_head = is_head,
                                              .is_new_conn = is_new_conn});
}

static void
reading_start(struct reading *this, const char *id, bool is_head)
{
    start_request(this, id, is_head, true);
}

static void
reading_end(struct reading *this)
{
    g_string_free(this->body, TRUE);
    MpResponseReader_Done(&this->reader);
}

static enum MpReadResult
feed(struct reading *this, const char *text, bool is_end)
{
    return MpResponseReader_Read(&this->reader, text, strlen(text), is_end,
                                 &this->used);
}

/* Reads text in two pieces, split at each byte. */
static void
check_split(const char *text, enum MpReadResult expected, int status,
            const char *body, size_t rest)
{
    size_t size = strlen(text);
    for (size_t at = 0; at <= size; at++) {
        struct reading reading;
        reading_start(&reading, "a-1", false);
        char *first = g_strndup(text, at);
        enum MpReadResult result = feed(&reading, first, false);
        size_t used = reading.used;
        if (result == MP_READ_MORE) {
            g_assert_cmpuint(used, ==, at);
            result = feed(&reading, text + at, false);
            used += reading.used;
        }
        g_assert_cmpint(result, ==, expected);
        g_assert_cmpint(reading.heads, ==, status > 0);
        g_assert_cmpint(reading.status, ==, status);
        g_assert_cmpstr(reading.body->str, ==, body);
        if (expected == MP_READ_COMPLETE) {
            g_assert_cmpuint(used, ==, size - rest);
        }
        g_free(first);
        reading_end(&reading);
    }
}

static void
test_own_answer(void)
{
    check_split(SIZED(OWN, "hello", 5), MP_READ_COMPLETE, 200, "hello", 0);
    check_split(SIZED(OWN, "hello", 5) "rest", MP_READ_COMPLETE, 200, "hello",
                4);
    check_split("HTTP/1.1 100 X\r\n\r\n" SIZED(OWN, "hello", 5),
                MP_READ_COMPLETE, 200, "hello", 0);
    check_split("HTTP/1.1 200 X\r\n" OWN
                "transfer-encoding: chunked\r\n\r\n2\r\nhe\r\n0\r\n\r\n",
                MP_READ_COMPLETE, 200, "he", 0);
}

static void
test_answer_of_another_id(void)
{
    check_split(SIZED(OTHER, "foreign", 7), MP_READ_MORE, 0, "", 0);
    check_split(SIZED(OTHER, "foreign", 7) SIZED(OWN, "own", 3),
                MP_READ_COMPLETE, 200, "own", 0);
    check_split(SIZED(OTHER, "foreign", 7) SIZED(OTHER, "", 0)
                    SIZED(OWN, "own", 3),
                MP_READ_COMPLETE, 200, "own", 0);
}

static void
test_malformed(void)
{
    check_split("not a response\r\n\r\n", MP_READ_INVALID, 0, "", 0);
    check_split(SIZED(OTHER, "foreign", 5), MP_READ_INVALID, 0, "", 0);
}

static void
check_end(const char *text, enum MpReadResult expected, const char *body)
{
    struct reading reading;
    reading_start(&reading, "a-1", false);
    g_assert_cmpint(feed(&reading, text, true), ==, expected);
    g_assert_cmpstr(reading.body->str, ==, body);
    g_assert_false(MpResponseReader_MayKeep(&reading.reader));
    reading_end(&reading);
}

#define HEAD(line, header) line "\r\n" OWN header "\r\n\r\nbody"

/* Heads that the parser takes and that cannot be passed on. */
static void
test_odd_heads(void)
{
    static const char *const heads[] = {
        HEAD("HTTP/1.1 0 X", "content-length: 4"),
        HEAD("HTTP/1.1 99 X", "content-length: 4"),
        HEAD("HTTP/1.1 200 X", "x a: b\r\ncontent-length: 4"),
        HEAD("HTTP/1.1 200 X", "transfer-encoding: gzip"),
        HEAD("HTTP/1.1 200 X", "transfer-encoding : gzip, chunked"),
    };
    struct reading reading;
    for (size_t i = 0; i < G_N_ELEMENTS(heads); i++) {
        reading_start(&reading, "a-1", false);
        g_assert_cmpint(feed(&reading, heads[i], true), ==, MP_READ_INVALID);
        g_assert_cmpint(reading.heads, ==, 0);
        reading_end(&reading);
    }
}

/* Blanks behind a name are no part of it. */
static void
test_blank_behind_name(void)
{
    struct reading reading;
    reading_start(&reading, "a-1", false);
    g_assert_cmpint(feed(&reading, SIZED("x-id : b-2\r\n", "two", 3), false),
                    ==, MP_READ_MORE);
    g_assert_cmpint(reading.strays, ==, 1);
    reading_end(&reading);
    reading_start(&reading, "a-1", false);
    g_assert_cmpint(feed(&reading, SIZED("x-id  : a-1 \r\n", "own", 3), false),
                    ==, MP_READ_COMPLETE);
    g_assert_cmpint(MpResponseReader_Attribution(&reading.reader), ==,
                    MP_ATTRIBUTION_ID);
    reading_end(&reading);
}

static void
test_end_of_connection(void)
{
    check_end("", MP_READ_INVALID, "");
    check_end("HTTP/1.1 200 X\r\n" OWN, MP_READ_INVALID, "");
    check_end("HTTP/1.1 200 X\r\n" OWN "\r\n", MP_READ_CLOSED, "");
    check_end("HTTP/1.1 200 X\r\n" OWN "\r\nhello", MP_READ_CLOSED, "hello");
    check_end(SIZED(OWN, "hello", 5), MP_READ_COMPLETE, "hello");
    check_end(SIZED(OWN, "hello", 6), MP_READ_INVALID, "hello");
    check_end(SIZED(OTHER, "foreign", 7), MP_READ_INVALID, "");
    check_end("HTTP/1.1 200 X\r\n" OTHER "\r\nforeign", MP_READ_INVALID, "");
}

static void
test_head_request(void)
{
    struct reading reading;
    reading_start(&reading, "a-1", true);
    g_assert_cmpint(feed(&reading, SIZED(OWN, "", 5), false), ==,
                    MP_READ_COMPLETE);
    g_assert_cmpint(reading.heads, ==, 1);
    g_assert_false(MpResponseReader_MayKeep(&reading.reader));
    reading_end(&reading);
}

static void
test_endless_stray_answers(void)
{
    struct reading reading;
    size_t bytes = 0;
    reading_start(&reading, "a-1", false);
    while (feed(&reading, SIZED(OTHER, "foreign", 7), false) == MP_READ_MORE) {
        bytes += strlen(SIZED(OTHER, "foreign", 7));
        g_assert_cmpuint(bytes, <, 2 * MP_TARGET_STRAY_MAX_BYTES);
    }
    g_assert_cmpint(reading.heads, ==, 0);
    reading_end(&reading);
}

static void
test_keeping(void)
{
    struct reading reading;
    reading_start(&reading, "a-1", false);
    g_assert_cmpint(feed(&reading, SIZED(OWN, "own", 3), false), ==,
                    MP_READ_COMPLETE);
    g_assert_true(MpResponseReader_MayKeep(&reading.reader));
    reading_end(&reading);
    reading_start(&reading, "a-1", false);
    g_assert_cmpint(
        feed(&reading, SIZED(OTHER, "foreign", 7) SIZED(OWN, "own", 3), false),
        ==, MP_READ_COMPLETE);
    g_assert_false(MpResponseReader_MayKeep(&reading.reader));
    reading_end(&reading);
    reading_start(&reading, "a-1", false);
    g_assert_cmpint(
        feed(&reading, SIZED(OWN "connection: close\r\n", "own", 3), false),
        ==, MP_READ_COMPLETE);
    g_assert_false(MpResponseReader_MayKeep(&reading.reader));
    reading_end(&reading);
}

/* Reads text, and checks the result and how the response was attributed. */
static void
check_attribution(const char *id, bool is_new_conn, const char *text,
                  enum MpReadResult expected, enum MpAttribution attribution,
                  const char *body, int strays)
{
    struct reading reading;
    start_request(&reading, id, false, is_new_conn);
    g_assert_cmpint(feed(&reading, text, false), ==, expected);
    g_assert_cmpint(MpResponseReader_Attribution(&reading.reader), ==,
                    attribution);
    g_assert_cmpstr(reading.body->str, ==, body);
    g_assert_cmpint(reading.strays, ==, strays);
    g_assert_cmpint(MpResponseReader_MayKeep(&reading.reader), ==,
                    attribution == MP_ATTRIBUTION_ID && strays == 0);
    reading_end(&reading);
}

static void
test_answer_without_id(void)
{
    check_attribution("a-1", true, SIZED("", "own", 3), MP_READ_COMPLETE,
                      MP_ATTRIBUTION_FIRST, "own", 0);
    check_attribution("a-1", true, SIZED("x-id:\r\n", "own", 3),
                      MP_READ_COMPLETE, MP_ATTRIBUTION_FIRST, "own", 0);
    check_attribution("a-1", false, SIZED("", "left", 4), MP_READ_MORE,
                      MP_ATTRIBUTION_NONE, "", 1);
    check_attribution("a-1", false, SIZED("", "left", 4) SIZED(OWN, "own", 3),
                      MP_READ_COMPLETE, MP_ATTRIBUTION_ID, "own", 1);
    /* The first response was another one's, so the second is uncertain. */
    check_attribution("a-1", true, SIZED(OTHER, "", 0) SIZED("", "left", 4),
                      MP_READ_MORE, MP_ATTRIBUTION_NONE, "", 2);
    /* An interim response has no id. */
    check_attribution("a-1", true,
                      "HTTP/1.1 103 X\r\n\r\n" SIZED("", "own", 3),
                      MP_READ_COMPLETE, MP_ATTRIBUTION_FIRST, "own", 0);
}

static void
test_request_without_id(void)
{
    check_attribution(NULL, true, SIZED("", "own", 3), MP_READ_COMPLETE,
                      MP_ATTRIBUTION_FIRST, "own", 0);
    check_attribution(NULL, true, SIZED(OTHER, "left", 4), MP_READ_MORE,
                      MP_ATTRIBUTION_NONE, "", 1);
    /* Where responses have no ids, the header means nothing. */
    struct reading reading;
    reading_start(&reading, NULL, false);
    MpResponseReader_Start(&reading.reader,
                           &(struct MpExpectedResponse){.is_new_conn = true});
    g_assert_cmpint(feed(&reading, SIZED(OTHER, "own", 3), false), ==,
                    MP_READ_COMPLETE);
    g_assert_cmpstr(reading.body->str, ==, "own");
    reading_end(&reading);
    check_attribution(NULL, false, SIZED("", "left", 4), MP_READ_MORE,
                      MP_ATTRIBUTION_NONE, "", 1);
}

static void
test_ids_that_disagree(void)
{
    check_attribution("a-1", true, SIZED(OWN OTHER, "left", 4), MP_READ_MORE,
                      MP_ATTRIBUTION_NONE, "", 1);
    check_attribution("a-1", true, SIZED(OTHER OWN, "left", 4), MP_READ_MORE,
                      MP_ATTRIBUTION_NONE, "", 1);
    check_attribution("a-1", true, SIZED("x-id: a-11\r\n", "left", 4),
                      MP_READ_MORE, MP_ATTRIBUTION_NONE, "", 1);
    check_attribution("a-1", true, SIZED("X-ID: a-1\r\n" OWN, "own", 3),
                      MP_READ_COMPLETE, MP_ATTRIBUTION_ID, "own", 0);
}

/* A head that was torn off takes the next status line into itself. */
static void
test_torn_head_before_answer(void)
{
    static const char torn[] = "HTTP/1.1 503 Busy\r\nx-not-run: 1\r\n"
                               "x-via: a proxy\r\nx-id: b-2\r\n";
    for (size_t size = 1; size < strlen(torn); size++) {
        char *part = g_strndup(torn, size);
        char *text = g_strconcat(part, SIZED(OWN, "own", 3), NULL);
        struct reading reading;
        start_request(&reading, "a-1", false, false);
        for (char *at = text; *at; at++) {
            char byte[2] = {*at};
            if (feed(&reading, byte, false) != MP_READ_MORE) {
                break;
            }
        }
        g_assert_cmpint(reading.heads, ==, 0);
        g_assert_cmpstr(reading.body->str, ==, "");
        reading_end(&reading);
        g_free(text);
        g_free(part);
    }
    check_split(SIZED(OWN "server: BaseHTTP/0.6 Python/3.11\r\n", "own", 3),
                MP_READ_COMPLETE, 200, "own", 0);
    check_split(SIZED(OWN "upgrade: HTTP/1.1\r\n", "own", 3), MP_READ_COMPLETE,
                200, "own", 0);
}

static void
test_bodiless_answer_with_length(void)
{
    check_split("HTTP/1.1 304 X\r\n" OWN "content-length: 300\r\n\r\n",
                MP_READ_COMPLETE, 304, "", 0);
    check_split("HTTP/1.1 204 X\r\n" OWN "content-length: 3\r\n\r\nfor",
                MP_READ_COMPLETE, 204, "", 3);
    check_split("HTTP/1.1 304 X\r\n" OTHER
                "content-length: 300\r\n\r\n" SIZED(OWN, "own", 3),
                MP_READ_COMPLETE, 200, "own", 0);
}

static void
test_second_request(void)
{
    struct reading reading;
    reading_start(&reading, "a-1", false);
    g_assert_cmpint(feed(&reading, SIZED(OWN, "own", 3), false), ==,
                    MP_READ_COMPLETE);
    MpResponseReader_Start(
        &reading.reader,
        &(struct MpExpectedResponse){.id_header = "x-id", .id = "b-2"});
    g_assert_false(MpResponseReader_MayKeep(&reading.reader));
    g_assert_cmpint(
        feed(&reading, SIZED(OWN, "own", 3) SIZED(OTHER, "two", 3), false), ==,
        MP_READ_COMPLETE);
    g_assert_cmpstr(reading.body->str, ==, "owntwo");
    g_assert_cmpint(reading.reason, ==, MP_STRAY_OTHER_ID);
    g_assert_false(MpResponseReader_MayKeep(&reading.reader));
    reading_end(&reading);
}

static void
test_many_headers(void)
{
    for (int more = 0; more < 2; more++) {
        struct reading reading;
        GString *text = g_string_new("HTTP/1.1 200 X\r\n" OWN);
        for (int i = 1; i < MP_RESPONSE_HEADERS_MAX + more; i++) {
            g_string_append(text, "b:\r\n");
        }
        g_string_append(text, "\r\n");
        reading_start(&reading, "a-1", false);
        g_assert_cmpint(feed(&reading, text->str, false), ==,
                        more ? MP_READ_INVALID : MP_READ_MORE);
        g_assert_cmpint(reading.heads, ==, more ? 0 : 1);
        g_string_free(text, TRUE);
        reading_end(&reading);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/reader/own answer", test_own_answer);
    g_test_add_func("/reader/answer of another id", test_answer_of_another_id);
    g_test_add_func("/reader/malformed", test_malformed);
    g_test_add_func("/reader/odd heads", test_odd_heads);
    g_test_add_func("/reader/blank behind a name", test_blank_behind_name);
    g_test_add_func("/reader/end of connection", test_end_of_connection);
    g_test_add_func("/reader/HEAD request", test_head_request);
    g_test_add_func("/reader/endless stray answers",
                    test_endless_stray_answers);
    g_test_add_func("/reader/keeping the connection", test_keeping);
    g_test_add_func("/reader/answer without an id", test_answer_without_id);
    g_test_add_func("/reader/request without an id", test_request_without_id);
    g_test_add_func("/reader/ids that disagree", test_ids_that_disagree);
    g_test_add_func("/reader/torn head before an answer",
                    test_torn_head_before_answer);
    g_test_add_func("/reader/204 and 304 with a length",
                    test_bodiless_answer_with_length);
    g_test_add_func("/reader/second request of a connection",
                    test_second_request);
    g_test_add_func("/reader/many headers", test_many_headers);
    return g_test_run();
}
