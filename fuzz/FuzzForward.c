#include "Input.h"

#include "coordination/Forward.h"

#include <glib.h>
#include <string.h>

/*
 * FuzzForward - fuzzes the retry decisions of MpForward: each request goes to
 * targets that refuse it, run it, break the connection at any point, leave out
 * ids, or go on with a stream at a place before the one they were asked for.
 *
 * Oracle, from what the targets did: an at-most-once request runs at most
 * once; a request is refused as "not run" only if no target ran it; no more
 * targets than allowed run it; the caller gets each event once and in order; a
 * response that breaks off after its first event ends as cut, one that breaks
 * off before in an error or another attempt, and no second response follows;
 * no attempt starts after the deadline.
 */

#define EVENTS 6

struct oracle {
    uint32_t runs;
    int64_t next_event; /* event number that the caller expects next */
    bool has_answer;    /* the caller has got an event */
};

/* Simulates one attempt; returns its result as the router sees it. */
static enum MpForwardResult
attempt(struct MpForward *forward, struct oracle *oracle,
        struct FuzzInput *input, bool *is_complete)
{
    uint32_t behavior = FuzzInput_Below(input, 6);
    *is_complete = false;
    if (behavior == 0) {
        return MP_RESULT_NOT_RUN;
    }
    /* The input chooses whether a request ran before its connection broke. */
    oracle->runs += behavior != 1 || FuzzInput_Below(input, 2);
    if (behavior <= 2) {
        return MP_RESULT_UNKNOWN;
    }
    int64_t first = forward->last_event + 1;
    int64_t stop =
        behavior == 3 ? (int64_t)FuzzInput_Below(input, EVENTS) : EVENTS;
    if (forward->is_positioned && FuzzInput_Below(input, 4) == 0) {
        /* The target goes on at another place than it was asked for. */
        first = FuzzInput_Below(input, (uint32_t)first + 1);
    }
    /* An unnumbered stream, or events without an id among others. */
    uint32_t unnumbered = FuzzInput_Below(input, 8);
    int64_t left = MAX(stop - first, 0);
    for (int64_t event = first; event < stop; event++) {
        bool has_id = unnumbered > 1 || (unnumbered && event % 2 == 0);
        if (!MpForward_TakeEvent(forward, true, has_id ? event : -1)) {
            break;
        }
        if (!forward->is_head_sent) {
            MpForward_StartAnswer(forward, true);
        }
        if (event != oracle->next_event) {
            Fuzz_Fail("caller got event %d, expected %d", (int)event,
                      (int)oracle->next_event);
        }
        oracle->next_event++;
        oracle->has_answer = true;
        left--;
    }
    *is_complete = behavior > 3 && left == 0;
    return oracle->has_answer ? MP_RESULT_CUT : MP_RESULT_UNKNOWN;
}

static void
check_end(const struct MpForward *forward, const struct oracle *oracle,
          enum MpForwardStep step)
{
    if (step == MP_STEP_REFUSE && oracle->runs > 0) {
        Fuzz_Fail("request refused as not run after %u runs", oracle->runs);
    }
    if (step != MP_STEP_CUT && oracle->has_answer) {
        Fuzz_Fail("second response after the start of the first");
    }
    if (step == MP_STEP_CUT && !oracle->has_answer) {
        Fuzz_Fail("response cut of which the caller got nothing");
    }
}

static void
run_request(struct FuzzInput *input)
{
    struct MpPathConf path = {
        .repeat = (int32_t)FuzzInput_Below(input, 3),
        .is_stream = true,
        .timeout_ms = 1 + FuzzInput_Byte(input) * 10,
        .attempts_max = 1 + FuzzInput_Below(input, 3),
    };
    struct oracle oracle = {.runs = 0};
    struct MpForward forward;
    int64_t now_ms = 1000;
    bool is_complete;
    int64_t caller_ms = FuzzInput_Byte(input) * 10;
    if (path.repeat == MP_REPEAT_RESUME && FuzzInput_Below(input, 4) == 0) {
        /* The caller takes a stream up. */
        oracle.next_event = FuzzInput_Below(input, EVENTS);
    }
    MpForward_Init(&forward, &path, caller_ms, oracle.next_event - 1, now_ms);
    int64_t deadline_ms = forward.deadline_ms;
    for (;;) {
        if (now_ms >= deadline_ms) {
            Fuzz_Fail("request sent after the deadline");
        }
        MpForward_StartAttempt(&forward);
        enum MpForwardResult result =
            attempt(&forward, &oracle, input, &is_complete);
        uint32_t max_runs = forward.repeat == MP_REPEAT_NEVER
                                ? 1
                                : (uint32_t)forward.attempts_max;
        if (oracle.runs > max_runs) {
            Fuzz_Fail("request ran %u times, %u are allowed", oracle.runs,
                      max_runs);
        }
        if (is_complete) {
            return;
        }
        now_ms += FuzzInput_Byte(input) * 4;
        if (now_ms >= deadline_ms && !FuzzInput_Below(input, 2)) {
            /* The deadline expires during the attempt. */
            check_end(&forward, &oracle, MpForward_Expired(&forward));
            return;
        }
        enum MpForwardStep step = MpForward_EndAttempt(
            &forward, result, FuzzInput_Below(input, 8) != 0, now_ms);
        Fuzz_Steps++;
        if (step != MP_STEP_SEND && step != MP_STEP_RESUME) {
            check_end(&forward, &oracle, step);
            return;
        }
        if (FuzzInput_Below(input, 8) == 0) {
            check_end(&forward, &oracle, MpForward_NoTarget(&forward));
            return;
        }
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct FuzzInput input = {.data = data, .size = size};
    while (!FuzzInput_IsAtEnd(&input)) {
        run_request(&input);
    }
    return 0;
}
