/* Tests of the choice of a target for native requests in drained zones. */

#include "coordination/Picker.h"
#include "state/Error.h"

#include <string.h>

static const char document_text[] =
    "{\"targets\":{"
    "\"t0\":{\"address\":\"127.0.0.1:1\",\"zone\":\"a\",\"capacity\":4},"
    "\"t1\":{\"address\":\"127.0.0.1:2\",\"zone\":\"a\",\"capacity\":4},"
    "\"t2\":{\"address\":\"127.0.0.1:3\",\"zone\":\"b\",\"capacity\":4}},"
    "\"workspaces\":{}}";

struct fixture {
    struct MpPicker picker;
    struct MpDrainedZones zones;
    struct MpDocument *document;
    GPtrArray *names;
};

static void
drain(struct fixture *this, const char *zone, bool is_drained)
{
    const struct mp_zone list = {
        .name = (char *)zone, .is_drained = is_drained, .restored_age_ms = -1};
    MpDrainedZones_Apply(&this->zones, this->zones.version + 1, &list, 1, 1000,
                         NULL);
    MpPicker_SetDrainedZones(&this->picker, &this->zones);
}

static void
set_up(struct fixture *this, const void *data)
{
    GPtrArray *findings = MpFindings_New();
    (void)data;
    MpPicker_Init(&this->picker, "a", 1);
    MpDrainedZones_Init(&this->zones);
    this->document =
        MpDocument_Parse(document_text, strlen(document_text), findings);
    g_assert_nonnull(this->document);
    MpPicker_SetDocument(&this->picker, this->document);
    this->names = g_ptr_array_new();
    g_ptr_array_add(this->names, (char *)"t0");
    g_ptr_array_add(this->names, (char *)"t1");
    g_ptr_array_add(this->names, (char *)"t2");
    g_ptr_array_unref(findings);
}

static void
tear_down(struct fixture *this, const void *data)
{
    (void)data;
    MpPicker_Done(&this->picker);
    MpDrainedZones_Done(&this->zones);
    MpDocument_Unref(this->document);
    g_ptr_array_unref(this->names);
}

static struct MpTarget *
pick(struct fixture *this, bool is_at_most_once, int *code)
{
    const struct MpPickQuery query = {.names = this->names,
                                      .is_at_most_once = is_at_most_once};
    return MpPicker_Pick(&this->picker, &query, 1000, code);
}

/* No target of a drained zone may be picked by any kind of request, also after
 * a new document. */
static void
test_drained(struct fixture *this, const void *data)
{
    int code;
    (void)data;
    drain(this, "a", true);
    for (int i = 0; i < 50; i++) {
        struct MpTarget *target = pick(this, i % 2, &code);
        g_assert_nonnull(target);
        g_assert_cmpstr(target->name, ==, "t2");
    }
    MpPicker_SetDocument(&this->picker, this->document);
    g_assert_cmpstr(pick(this, false, &code)->name, ==, "t2");
    struct MpTarget *target = MpPicker_Find(&this->picker, "t0");
    g_assert_cmpint(MpTarget_Health(target, 1000), ==, MP_HEALTH_DRAINED);

    g_ptr_array_remove_index(this->names, 2);
    g_assert_null(pick(this, false, &code));
    g_assert_cmpint(code, ==, MP_ERROR_NO_TARGET);
    target->pause.until_ms = 5000;
    g_assert_cmpint(MpPicker_FirstPauseEnd(&this->picker, this->names, 1000),
                    ==, 0);
    target->pause.until_ms = 0;
    drain(this, "a", false);
    g_assert_nonnull(pick(this, true, &code));
}

/* When all targets that may be used are ejected, they are used again; those
 * of drained zones neither count nor are used. */
static void
test_drained_and_ejected(struct fixture *this, const void *data)
{
    int code;
    (void)data;
    drain(this, "a", true);
    MpPicker_Find(&this->picker, "t0")->ejected_until_ms = 9000;
    MpPicker_Find(&this->picker, "t2")->ejected_until_ms = 9000;
    for (int i = 0; i < 50; i++) {
        struct MpTarget *target = pick(this, false, &code);
        g_assert_nonnull(target);
        g_assert_cmpstr(target->name, ==, "t2");
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add("/picker/a drained zone gets nothing", struct fixture, NULL,
               set_up, test_drained, tear_down);
    g_test_add("/picker/ejected targets beside a drained zone", struct fixture,
               NULL, set_up, test_drained_and_ejected, tear_down);
    return g_test_run();
}
