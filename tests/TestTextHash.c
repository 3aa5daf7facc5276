#include "state/TextHash.h"

#include <stdint.h>

/* Texts that a client chooses so that they have one hash of GLib.  Guards
 * against tables that these make as slow as a list. */

#define PAIRS 15
#define TEXTS (1U << PAIRS)

/* Returns a text that is made of "ab" and "bA", which g_str_hash() cannot tell
 * apart. */
static char *
make_text(uint32_t number)
{
    GString *text = g_string_new(NULL);
    for (int i = 0; i < PAIRS; i++) {
        g_string_append(text, number >> i & 1 ? "bA" : "ab");
    }
    return g_string_free(text, FALSE);
}

static void
test_chosen_texts(void)
{
    GHashTable *hashes = g_hash_table_new(NULL, NULL);
    char *first = make_text(0);
    for (uint32_t i = 0; i < TEXTS; i++) {
        char *text = make_text(i);
        g_assert_cmpuint(g_str_hash(text), ==, g_str_hash(first));
        g_hash_table_add(hashes, GUINT_TO_POINTER(MpTextHash_OfString(text)));
        g_free(text);
    }
    g_assert_cmpuint(g_hash_table_size(hashes), >=, TEXTS - TEXTS / 100);
    g_hash_table_unref(hashes);
    g_free(first);
}

static void
test_size(void)
{
    g_assert_cmpuint(MpTextHash_Of("key", 3), ==, MpTextHash_OfString("key"));
    g_assert_cmpuint(MpTextHash_Of("a\0b", 3), !=, MpTextHash_Of("a\0c", 3));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/text hash/chosen texts differ", test_chosen_texts);
    g_test_add_func("/text hash/all bytes count", test_size);
    return g_test_run();
}
