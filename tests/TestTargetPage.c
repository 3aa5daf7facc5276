#include "protocol/Dialect.h"

#include "state/Error.h"
#include "state/JsonScan.h"

#include <glib.h>
#include <string.h>

/* Pages of target lists with unreadable entries. */

#define GOOD(number)                                                          \
    "{\"incarnation\":\"g" #number "\",\"pool\":\"p\",\"zone\":\"a\","        \
    "\"address\":\"127.0.0.1:10" #number "\"}"

struct result {
    GPtrArray *targets;
    struct MpUnreadableEntries unreadable;
    char *next;
    int code;
};

static struct result
parse(const char *text, size_t size, bool is_whole)
{
    struct result this = {
        .targets = g_ptr_array_new_with_free_func(MpListedTarget_Delete)};
    this.code =
        MpTargetPage_Parse(&MpDialect_Native.target_page, text, size, is_whole,
                           this.targets, &this.unreadable, &this.next);
    return this;
}

static void
done(struct result *this)
{
    g_ptr_array_unref(this->targets);
    g_free(this->next);
}

/* Checks which targets a page holds, e.g. "g1 g2", and its unreadable
 * entries. */
static void
check_bytes(const char *text, size_t size, const char *expected,
            uint32_t unreadable)
{
    struct result result = parse(text, size, true);
    GString *names = g_string_new(NULL);
    g_assert_cmpint(result.code, ==, MP_OK);
    for (guint i = 0; i < result.targets->len; i++) {
        const struct MpListedTarget *target =
            g_ptr_array_index(result.targets, i);
        g_string_append_printf(names, "%s%s", i ? " " : "",
                               target->incarnation);
    }
    g_assert_cmpstr(names->str, ==, expected);
    g_assert_cmpuint(result.unreadable.count, ==, unreadable);
    g_string_free(names, TRUE);
    done(&result);
}

static void
check(const char *text, const char *expected, uint32_t unreadable)
{
    check_bytes(text, strlen(text), expected, unreadable);
}

static void
check_failed(const char *text, bool is_whole)
{
    struct result result = parse(text, strlen(text), is_whole);
    g_assert_cmpint(result.code, ==, MP_ERROR_INVALID);
    done(&result);
}

static void
test_pages(void)
{
    check("{\"targets\":[]}", "", 0);
    check(" { \"next\" : null , \"targets\" : [ " GOOD(1) " ] } \n", "g1", 0);
    check("{\"targets\":[" GOOD(1) "," GOOD(2) "],\"x\":[{}]}", "g1 g2", 0);
    check_failed("", true);
    struct result empty = parse(NULL, 0, true);
    g_assert_cmpint(empty.code, ==, MP_ERROR_INVALID);
    done(&empty);
    check_failed("[]", true);
    check_failed("{}", true);
    check_failed("{\"targets\":{}}", true);
    check_failed("{\"targets\":[" GOOD(1) "]} more", true);
    check_failed("{\"targets\":[" GOOD(1) "],\"next\":7}", true);
    check_failed("{\"targets\":[" GOOD(1) "],\"next\":\"a\\u0000b\"}", true);
    struct result result =
        parse("{\"targets\":[],\"next\":\"a b\"}", 27, false);
    g_assert_cmpstr(result.next, ==, "?page=a%20b");
    done(&result);
}

/* A page that was cut off is never taken for a shorter one. */
static void
test_cut_pages(void)
{
    static const char page[] =
        "{\"targets\":[" GOOD(1) ",{\"a\":[{\"b\":[1]}]}," GOOD(2) "]}";
    for (size_t size = 0; size + 1 < sizeof(page); size++) {
        struct result result = parse(page, size, false);
        if (size + 2 < sizeof(page)) {
            g_assert_cmpint(result.code, ==, MP_ERROR_INVALID);
        }
        done(&result);
    }
}

static void
test_odd_entries(void)
{
    static const char *const odd[] = {
        "",
        "x y",
        "7",
        "null",
        "[]",
        "{}",
        "\"a\"",
        "{\"a\":1,}",
        "{,}",
        "{\"a\":\"x",
        "{\"a",
        "\"",
        "{\"a\":\"\\",
        "{\"a\":[1",
        "[[[",
        "]",
        "}",
        "]}",
        "]}]}",
        "{\"a\":1]",
        "{\"a\":[{\"b\":1]}",
        "{\"a\":{\"b\":[1",
        "{\"a\":\"x\"y\"}",
        "{\"a\" \"b\"}",
        "[",
        "{",
        "\\",
        "/* {",
        "// [",
        "[1,2",
        "{\"a\":1}}",
        "{\"a\":\"\n\"}",
        "{\"a\":\"\xff\"}",
        "{\"a\":\"x}",
        "{\"a\":x\"}",
        "[{\"a\":\"},{\"b\":1}",
        "'",
        "{'a':1}",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
        for (int place = 0; place < 3; place++) {
            GString *page = g_string_new("{\"targets\":[");
            g_string_append_printf(page, "%s%s", place == 0 ? odd[i] : "",
                                   place == 0 ? "," : "");
            g_string_append(page, GOOD(1));
            g_string_append_printf(page, ",%s%s", place == 1 ? odd[i] : "",
                                   place == 1 ? "," : "");
            g_string_append(page, GOOD(2));
            g_string_append_printf(page, "%s%s", place == 2 ? "," : "",
                                   place == 2 ? odd[i] : "");
            g_string_append(page, "],\"next\":\"n\"}");
            g_test_message("%s", page->str);
            struct result result = parse(page->str, page->len, true);
            g_assert_cmpint(result.code, ==, MP_OK);
            g_assert_cmpuint(result.targets->len, ==, 2);
            g_assert_cmpuint(result.unreadable.count, >=, 1);
            g_assert_cmpstr(result.next, ==, "?page=n");
            done(&result);
            g_string_free(page, TRUE);
        }
    }
}

static void
test_deep_entries(void)
{
    for (int depth = 1; depth <= 1000000; depth *= 10) {
        GString *page = g_string_new("{\"targets\":[" GOOD(1) ",");
        for (int i = 0; i < depth; i++) {
            g_string_append(page, "{\"a\":[");
        }
        GString *open = g_string_new_len(page->str, (gssize)page->len);
        for (int i = 0; i < depth; i++) {
            g_string_append(page, "]}");
        }
        g_string_append(page, "," GOOD(2) "],\"next\":null}");
        g_string_append(open, "," GOOD(2) "],\"next\":null}");
        check_bytes(page->str, page->len, "g1 g2", 1);
        check_bytes(open->str, open->len, "g1 g2", 1);
        g_string_free(page, TRUE);
        g_string_free(open, TRUE);
    }
}

/* No entry is made of pieces of two, or of a piece of one. */
static void
test_no_pieces(void)
{
    check("{\"targets\":[" GOOD(1) ",{\"incarnation\":\"odd\",\"pool\":\"p\","
                                   "\"zone\":\"a\",\"address\":\"127.0.0.1:"
                                   "9\",\"version\":[1," GOOD(2) "]}",
          "g1 g2", 1);
    check("{\"targets\":[{\"incarnation\":\"odd\",\"pool\":\"p\","
          "\"zone\":\"," GOOD(2) "]}",
          "g2", 1);
    check("{\"targets\":[{\"x\":[" GOOD(1) "," GOOD(2) "]}," GOOD(3) "]}",
          "g3", 1);
    check("{\"targets\":[{\"x\":[" GOOD(1) "," GOOD(2) "]}," GOOD(
              3) ",{\"a\":\"]}",
          "g3", 2);
}

/* Returns why an address and a name are refused, or "". */
static const char *
reason_of(const char *incarnation, const char *address, int64_t slots,
          int64_t started_ms)
{
    struct MpListedTarget target = {.incarnation = (char *)incarnation,
                                    .pool = "p",
                                    .address = (char *)address,
                                    .zone = "a",
                                    .slots = slots,
                                    .started_ms = started_ms};
    const char *reason = MpListedTarget_FindError(&target);
    return reason ? reason : "";
}

static void
test_limits(void)
{
    char name[66];
    memset(name, 'n', sizeof(name) - 1);
    name[65] = '\0';
    g_assert_cmpstr(reason_of("a", "127.0.0.1:65535", 1, 0), ==, "");
    g_assert_cmpstr(reason_of(name + 1, "127.0.0.1:1", 1, 0), ==, "");
    g_assert_cmpstr(reason_of(name, "127.0.0.1:1", 1, 0), ==, "bad_name");
    g_assert_cmpstr(reason_of("", "127.0.0.1:1", 1, 0), ==, "bad_name");
    g_assert_cmpstr(reason_of("a\r\nb: c", "127.0.0.1:1", 1, 0), ==,
                    "bad_name");
    g_assert_cmpstr(reason_of("a b", "127.0.0.1:1", 1, 0), ==, "bad_name");
    static const char *const addresses[] = {"127.0.0.1",
                                            "127.0.0.1:",
                                            "127.0.0.1:0",
                                            "127.0.0.1:65536",
                                            "127.0.0.1:+1",
                                            "127.0.0.1: 1",
                                            "127.0.0.1:99999999999999999999"};
    for (size_t i = 0; i < G_N_ELEMENTS(addresses); i++) {
        g_assert_cmpstr(reason_of("a", addresses[i], 1, 0), ==, "bad_address");
    }
    g_assert_cmpstr(reason_of("a", "127.0.0.1:1", -1, 0), ==, "out_of_range");
    g_assert_cmpstr(reason_of("a", "127.0.0.1:1", 100001, 0), ==,
                    "out_of_range");
    g_assert_cmpstr(reason_of("a", "127.0.0.1:1", 1, INT64_MAX), ==,
                    "out_of_range");
}

/* The time to repair a page grows with its size only. */
static void
test_large_pages(void)
{
    static const char *const pieces[] = {",{",        "[1,",  ",{\"a\":[1",
                                         "]",         "],",   ",{\"",
                                         "],\"a\":{", "\\\"", ",{}"};
    for (size_t i = 0; i < G_N_ELEMENTS(pieces); i++) {
        GString *page = g_string_new("{\"targets\":[" GOOD(1) ",");
        while (page->len < 1000000) {
            g_string_append(page, pieces[i]);
        }
        g_string_append(page, "," GOOD(2) "],\"next\":null}");
        struct result result = parse(page->str, page->len, true);
        g_assert_cmpint(result.code, ==, MP_OK);
        g_assert_cmpuint(result.targets->len, ==, 2);
        done(&result);
        g_string_free(page, TRUE);
    }
}

static void
test_sample(void)
{
    struct MpUnreadableEntries entries = {0};
    char bytes[200];
    memset(bytes, 1, sizeof(bytes));
    MpUnreadableEntries_Add(&entries, "syntax", "a \r\n\\\xff", 6);
    g_assert_cmpstr(entries.sample, ==, "a\\x20\\x0d\\x0a\\x5c\\xff");
    MpUnreadableEntries_Add(&entries, "other", "x", 1);
    g_assert_cmpstr(entries.reason, ==, "syntax");
    g_assert_cmpuint(entries.count, ==, 2);
    entries.count = 0;
    MpUnreadableEntries_Add(&entries, "syntax", bytes, sizeof(bytes));
    g_assert_cmpuint(strlen(entries.sample), ==, 4 * MP_ENTRY_SAMPLE_BYTES);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/page/pages", test_pages);
    g_test_add_func("/page/cut off", test_cut_pages);
    g_test_add_func("/page/odd entries", test_odd_entries);
    g_test_add_func("/page/deep entries", test_deep_entries);
    g_test_add_func("/page/no pieces", test_no_pieces);
    g_test_add_func("/page/limits", test_limits);
    g_test_add_func("/page/large pages", test_large_pages);
    g_test_add_func("/page/sample", test_sample);
    return g_test_run();
}
