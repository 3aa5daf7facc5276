#include "Input.h"

#include "coordination/Forward.h"

#include <glib.h>
#include <string.h>

/*
 * FuzzForward - one request after another with targets that run it or not,
 * and break off at any point.
 *
 * Oracle, from what the targets did: a request that must not run twice never
 * does; "not run" is said only if none ran it; no more targets than allowed
 * run it; the caller gets each event once, in order; what is cut does not
 * look whole; nothing is sent after the deadline.
 */

#define EVENTS 6

struct truth {
    uint32_t runs;
    int64_t next_event; /* that the caller waits for */
};

/* One attempt; returns the fate that the router sees. */
static enum MpForwardResult
attempt(struct MpForward *forward, struct truth *truth,
        struct FuzzInput *input, bool *is_whole)
{
    uint32_t how = FuzzInput_Below(input, 6);
    *is_whole = false;
    if (how == 0) {
        return MP_RESULT_NOT_RUN;
    }
    /* A request whose connection breaks may have run, or not. */
    truth->runs += how != 1 || FuzzInput_Below(input, 2);
    if (how <= 2) {
        return MP_RESULT_UNKNOWN;
    }
    int64_t first = forward->is_head_sent ? forward->last_event + 1 : 0;
    int64_t stop = how == 3 ? (int64_t)FuzzInput_Below(input, EVENTS) : EVENTS;
    forward->is_head_sent = true;
    for (int64_t event = first; event < stop; event++) {
        if (event != truth->next_event) {
            Fuzz_Fail("event %d came where %d was due", (int)event,
                      (int)truth->next_event);
        }
        truth->next_event++;
        forward->events++;
        forward->last_event = event;
    }
    *is_whole = how > 3;
    return MP_RESULT_CUT;
}

static void
check_end(const struct MpForward *forward, const struct truth *truth,
          enum MpForwardStep step)
{
    if (step == MP_STEP_REFUSE && truth->runs > 0) {
        Fuzz_Fail("said not to have run, after %u runs", truth->runs);
    }
    if (step != MP_STEP_CUT && forward->is_head_sent) {
        Fuzz_Fail("a second answer after the head of the first");
    }
}

static void
play(struct FuzzInput *input)
{
    struct MpPathConf path = {
        .repeat = (int32_t)FuzzInput_Below(input, 3),
        .is_stream = true,
        .timeout_ms = 1 + FuzzInput_Byte(input) * 10,
        .attempts_max = 1 + FuzzInput_Below(input, 3),
    };
    struct truth truth = {.runs = 0};
    struct MpForward forward;
    int64_t now_ms = 1000;
    bool is_whole;
    MpForward_Init(&forward, &path, FuzzInput_Byte(input) * 10, -1, now_ms);
    int64_t deadline_ms = forward.deadline_ms;
    for (;;) {
        if (now_ms >= deadline_ms) {
            Fuzz_Fail("sent after the deadline");
        }
        MpForward_StartAttempt(&forward);
        enum MpForwardResult fate =
            attempt(&forward, &truth, input, &is_whole);
        uint32_t most = forward.repeat == MP_REPEAT_NEVER
                            ? 1
                            : (uint32_t)forward.attempts_max;
        if (truth.runs > most) {
            Fuzz_Fail("ran %u times, %u are allowed", truth.runs, most);
        }
        if (is_whole) {
            return;
        }
        now_ms += FuzzInput_Byte(input) * 4;
        if (now_ms >= deadline_ms && !FuzzInput_Below(input, 2)) {
            /* The deadline strikes while the attempt is under way. */
            check_end(&forward, &truth, MpForward_Expired(&forward));
            return;
        }
        enum MpForwardStep step = MpForward_EndAttempt(
            &forward, fate, FuzzInput_Below(input, 8) != 0, now_ms);
        Fuzz_Steps++;
        if (step != MP_STEP_SEND && step != MP_STEP_RESUME) {
            check_end(&forward, &truth, step);
            return;
        }
        if (FuzzInput_Below(input, 8) == 0) {
            check_end(&forward, &truth, MpForward_NoTarget(&forward));
            return;
        }
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct FuzzInput input = {.data = data, .size = size};
    while (!FuzzInput_IsOver(&input)) {
        play(&input);
    }
    return 0;
}
