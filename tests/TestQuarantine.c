#include "coordination/Suspects.h"
#include "state/Error.h"
#include "state/Machine.h"

#include <string.h>

/* Requests on paths under which targets have ended: what the quorum decides,
 * and what an instance decides without it. */

#define LASTS_MS 4000

struct fixture {
    struct MpMachine machine;
    struct MpSuspects suspects;
    uint64_t index;
    int64_t now_ms;
    struct mp_result result;
};

static void
set_up(struct fixture *this, const void *data)
{
    (void)data;
    *this = (struct fixture){.now_ms = 1000000};
    MpMachine_Init(&this->machine);
    MpSuspects_Init(&this->suspects);
}

static void
tear_down(struct fixture *this, const void *data)
{
    (void)data;
    MpSuspects_Done(&this->suspects);
    MpMachine_Done(&this->machine);
}

static int
tell(struct fixture *this, enum mp_trial_kind kind, char hash, uint64_t run,
     uint32_t attempt)
{
    struct mp_command command = {.at_ms = this->now_ms,
                                 .body = {.kind = MP_CMD_TRIAL}};
    struct mp_trial *trial = &command.body.mp_command_body_u.trial;
    *trial = (struct mp_trial){
        .kind = kind, .run = run, .attempt = attempt, .timeout_ms = LASTS_MS};
    memset(trial->fingerprint, hash, MP_HASH_BYTES);
    return MpMachine_Apply(&this->machine, ++this->index, &command,
                           &this->result);
}

static void
test_stopped(struct fixture *this, const void *data)
{
    (void)data;
    g_assert_cmpint(tell(this, MP_TRIAL_REQUEST, 7, 1, 0), ==, MP_OK);
    g_assert_cmpint(tell(this, MP_TRIAL_CRASH, 7, 1, 1), ==, MP_OK);
    g_assert_cmpint(tell(this, MP_TRIAL_CRASH, 7, 1, 2), ==, MP_ERROR_POISON);
    g_assert_cmpint(tell(this, MP_TRIAL_REQUEST, 7, 2, 0), ==,
                    MP_ERROR_POISON);
    g_assert_cmpint(tell(this, MP_TRIAL_REQUEST, 8, 3, 0), ==, MP_OK);
    this->now_ms += MP_POISON_MS;
    g_assert_cmpint(tell(this, MP_TRIAL_REQUEST, 7, 4, 0), ==, MP_OK);
}

static void
test_one_at_a_time(struct fixture *this, const void *data)
{
    (void)data;
    tell(this, MP_TRIAL_CRASH, 7, 1, 1);
    g_assert_cmpint(tell(this, MP_TRIAL_REQUEST, 7, 2, 0), ==,
                    MP_ERROR_HELD_BACK);
    tell(this, MP_TRIAL_RELEASE, 7, 2, 0); /* not its own */
    g_assert_cmpint(tell(this, MP_TRIAL_REQUEST, 7, 2, 0), ==,
                    MP_ERROR_HELD_BACK);
    tell(this, MP_TRIAL_RELEASE, 7, 1, 1);
    g_assert_cmpint(tell(this, MP_TRIAL_REQUEST, 7, 2, 0), ==, MP_OK);
    this->now_ms += LASTS_MS;
    g_assert_cmpint(tell(this, MP_TRIAL_REQUEST, 7, 3, 0), ==, MP_OK);
}

static void
test_tried_out(struct fixture *this, const void *data)
{
    (void)data;
    tell(this, MP_TRIAL_CRASH, 7, 1, 1);
    for (uint64_t run = 2; run <= MP_TRIALS_MAX; run++) {
        tell(this, MP_TRIAL_RELEASE, 7, run - 1, 1);
        g_assert_cmpint(tell(this, MP_TRIAL_REQUEST, 7, run, 0), ==, MP_OK);
    }
    tell(this, MP_TRIAL_RELEASE, 7, MP_TRIALS_MAX, 0);
    g_assert_cmpint(tell(this, MP_TRIAL_REQUEST, 7, 9, 0), ==,
                    MP_ERROR_POISON);
    this->now_ms += MP_TRIALS_PAUSE_MS;
    g_assert_cmpint(tell(this, MP_TRIAL_REQUEST, 7, 9, 0), ==, MP_OK);
}

static void
test_one_cause(struct fixture *this, const void *data)
{
    (void)data;
    for (uint64_t run = 1; run <= 5; run++) {
        tell(this, MP_TRIAL_CRASH, 7, run, 1);
    }
    g_assert_cmpint((int)this->result.number, ==, 1);
    /* The one on trial counts, however soon; a repeat of its report does
     * not. */
    g_assert_cmpint(tell(this, MP_TRIAL_CRASH, 7, 1, 1), ==, MP_OK);
    g_assert_cmpint((int)this->result.number, ==, 1);
    g_assert_cmpint(tell(this, MP_TRIAL_CRASH, 7, 1, 2), ==, MP_ERROR_POISON);
}

/* What an instance saw while it was cut off. */
static void
test_late_reports(struct fixture *this, const void *data)
{
    (void)data;
    struct mp_trial trial = {
        .kind = MP_TRIAL_CRASH, .run = 1, .seen_crashes = 1};
    struct MpQuarantine *quarantine = &this->machine.quarantine;
    g_assert_cmpint(MpQuarantine_HandleTrial(quarantine, &trial, this->now_ms,
                                             &this->result),
                    ==, MP_OK);
    trial =
        (struct mp_trial){.kind = MP_TRIAL_CRASH, .run = 2, .seen_crashes = 2};
    g_assert_cmpint(MpQuarantine_HandleTrial(quarantine, &trial, this->now_ms,
                                             &this->result),
                    ==, MP_ERROR_POISON);
}

static void
test_cleared(struct fixture *this, const void *data)
{
    (void)data;
    tell(this, MP_TRIAL_CRASH, 7, 1, 1);
    tell(this, MP_TRIAL_CLEAR, 7, 1, 2);
    g_assert_cmpint((int)this->result.number, ==, 0);
    g_assert_cmpint(tell(this, MP_TRIAL_REQUEST, 7, 2, 0), ==, MP_OK);
    g_assert_cmpint(tell(this, MP_TRIAL_REQUEST, 7, 3, 0), ==, MP_OK);
}

static void
test_snapshot(struct fixture *this, const void *data)
{
    (void)data;
    tell(this, MP_TRIAL_CRASH, 7, 1, 1);
    tell(this, MP_TRIAL_CRASH, 8, 2, 1);
    tell(this, MP_TRIAL_CRASH, 8, 2, 2);
    uint64_t version = this->machine.quarantine.version;
    GBytes *image = MpMachine_Save(&this->machine);
    gsize size;
    const void *bytes = g_bytes_get_data(image, &size);
    g_assert_cmpint(MpMachine_Load(&this->machine, bytes, size), ==, MP_OK);
    g_bytes_unref(image);
    g_assert_cmpuint(this->machine.quarantine.version, ==, version);
    g_assert_cmpint(tell(this, MP_TRIAL_REQUEST, 7, 3, 0), ==,
                    MP_ERROR_HELD_BACK);
    g_assert_cmpint(tell(this, MP_TRIAL_REQUEST, 8, 3, 0), ==,
                    MP_ERROR_POISON);
}

static void
test_bounded(struct fixture *this, const void *data)
{
    (void)data;
    for (uint32_t i = 0; i < MP_SUSPECTS_MAX + 10; i++) {
        struct mp_trial trial = {.kind = MP_TRIAL_CRASH, .run = i};
        memcpy(trial.fingerprint, &i, sizeof(i));
        MpQuarantine_HandleTrial(&this->machine.quarantine, &trial,
                                 this->now_ms, &this->result);
    }
    g_assert_cmpuint(this->machine.quarantine.order.length, ==,
                     MP_SUSPECTS_MAX);
    g_assert_cmpuint(g_hash_table_size(this->machine.quarantine.suspects), ==,
                     MP_SUSPECTS_MAX);
}

/* ---- an instance ---- */

static const uint8_t print[MP_HASH_BYTES] = {1, 2, 3};

static void
test_alone(struct fixture *this, const void *data)
{
    (void)data;
    struct MpSuspects *suspects = &this->suspects;
    g_assert_true(MpSuspects_NoteCrash(suspects, print, 1, 1000));
    g_assert_true(MpSuspects_NoteCrash(suspects, print, 9, 1000));
    g_assert_cmpuint(MpSuspects_SeenCrashes(suspects, print), ==, 1);
    g_assert_cmpint(MpSuspects_Lookup(suspects, print), ==,
                    MP_SUSPICION_TRIAL);
    g_assert_cmpint(
        MpSuspects_DecideLocally(suspects, print, 1, LASTS_MS, 1000), ==,
        MP_OK);
    g_assert_cmpint(
        MpSuspects_DecideLocally(suspects, print, 2, LASTS_MS, 1100), ==,
        MP_ERROR_HELD_BACK);
    MpSuspects_EndTrial(suspects, print, 1);
    g_assert_cmpint(
        MpSuspects_DecideLocally(suspects, print, 2, LASTS_MS, 1200), ==,
        MP_OK);
    MpSuspects_NoteCrash(suspects, print, 2, 1300);
    g_assert_cmpint(
        MpSuspects_DecideLocally(suspects, print, 3, LASTS_MS, 9000), ==,
        MP_ERROR_POISON);
    MpSuspects_SetCrashes(suspects, print, 0);
    g_assert_cmpint(MpSuspects_Lookup(suspects, print), ==, MP_SUSPICION_NONE);
}

static void
test_told(struct fixture *this, const void *data)
{
    (void)data;
    struct MpSuspects *suspects = &this->suspects;
    MpSuspects_SetLists(suspects, 1, NULL, 0, (const char *)print,
                        sizeof(print));
    g_assert_cmpint(MpSuspects_Lookup(suspects, print), ==,
                    MP_SUSPICION_TRIAL);
    g_assert_cmpint(
        MpSuspects_DecideLocally(suspects, print, 1, LASTS_MS, 1000), ==,
        MP_OK);
    MpSuspects_NoteCrash(suspects, print, 1, 1100);
    g_assert_cmpint(
        MpSuspects_DecideLocally(suspects, print, 1, LASTS_MS, 1100), ==,
        MP_ERROR_POISON);
    MpSuspects_SetLists(suspects, 2, (const char *)print, sizeof(print), NULL,
                        0);
    g_assert_cmpint(MpSuspects_Lookup(suspects, print), ==,
                    MP_SUSPICION_STOPPED);
    MpSuspects_SetLists(suspects, 3, NULL, 0, NULL, 0);
    MpSuspects_SetCrashes(suspects, print, 0);
    g_assert_cmpint(MpSuspects_Lookup(suspects, print), ==, MP_SUSPICION_NONE);
}

static void
test_answered(struct fixture *this, const void *data)
{
    (void)data;
    struct MpSuspects *suspects = &this->suspects;
    g_assert_false(MpSuspects_NoteAnswer(suspects, print));
    /* One death after an answer is put down to the target, the next is not. */
    g_assert_false(MpSuspects_NoteCrash(suspects, print, 1, 1000));
    g_assert_cmpint(MpSuspects_Lookup(suspects, print), ==, MP_SUSPICION_NONE);
    g_assert_true(MpSuspects_NoteCrash(suspects, print, 2, 3000));
    g_assert_true(MpSuspects_NoteAnswer(suspects, print));
    g_assert_cmpint(MpSuspects_Lookup(suspects, print), ==, MP_SUSPICION_NONE);
}

#define CASE(name, function)                                                  \
    g_test_add("/quarantine/" name, struct fixture, NULL, set_up, function,   \
               tear_down)

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    CASE("a request is stopped after two deaths", test_stopped);
    CASE("a suspect is tried one at a time", test_one_at_a_time);
    CASE("trials without a verdict are few", test_tried_out);
    CASE("deaths at one moment have one cause", test_one_cause);
    CASE("late reports count one by one", test_late_reports);
    CASE("a whole answer clears", test_cleared);
    CASE("a snapshot keeps suspects", test_snapshot);
    CASE("suspects are bounded", test_bounded);
    CASE("an instance decides alone", test_alone);
    CASE("an instance takes what it is told", test_told);
    CASE("an answered request is no suspect", test_answered);
    return g_test_run();
}
