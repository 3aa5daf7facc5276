#include "protocol/BodyJoin.h"

#include <string.h>

/* Pieces of a body that arrive together. */

struct body {
    struct MpBodyJoin join;
    GString *text;
    int pieces;
    const char *last;
};

static void
on_body(void *owner, const char *data, size_t size)
{
    struct body *this = owner;
    this->pieces++;
    this->last = data;
    g_string_append_len(this->text, data, (gssize)size);
}

static void
body_init(struct body *this)
{
    *this = (struct body){.text = g_string_new(NULL)};
    this->join = (struct MpBodyJoin){.body = on_body, .owner = this};
}

static void
test_short_pieces(void)
{
    struct body body;
    char *text = g_malloc(3 * MP_BODY_JOIN_MAX_BYTES / 2 + 1);
    size_t size = 3 * MP_BODY_JOIN_MAX_BYTES / 2;
    body_init(&body);
    for (size_t i = 0; i < size; i++) {
        text[i] = (char)('a' + i % 26);
        MpBodyJoin_Add(&body.join, text + i, 1);
    }
    text[size] = '\0';
    MpBodyJoin_Flush(&body.join);
    g_assert_cmpint(body.pieces, ==, 2);
    g_assert_cmpstr(body.text->str, ==, text);
    MpBodyJoin_Flush(&body.join);
    g_assert_cmpint(body.pieces, ==, 2);
    g_string_free(body.text, TRUE);
    g_free(text);
}

static void
test_long_pieces(void)
{
    struct body body;
    char *text = g_strnfill(MP_BODY_JOIN_MAX_BYTES + 1, 'x');
    body_init(&body);
    MpBodyJoin_Add(&body.join, text, strlen(text));
    MpBodyJoin_Flush(&body.join);
    g_assert_true(body.last == text);
    MpBodyJoin_Add(&body.join, "a", 1);
    MpBodyJoin_Add(&body.join, text, strlen(text));
    MpBodyJoin_Add(&body.join, "b", 1);
    MpBodyJoin_Flush(&body.join);
    g_assert_cmpint(body.pieces, ==, 4);
    g_assert_cmpuint(body.text->len, ==, 2 * strlen(text) + 2);
    g_assert_cmpint(body.text->str[strlen(text)], ==, 'a');
    g_assert_cmpint(body.text->str[body.text->len - 1], ==, 'b');
    g_string_free(body.text, TRUE);
    g_free(text);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/body-join/short pieces", test_short_pieces);
    g_test_add_func("/body-join/long pieces", test_long_pieces);
    return g_test_run();
}
