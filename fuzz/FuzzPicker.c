#include "Input.h"

#include "coordination/FairQueue.h"
#include "coordination/Limits.h"
#include "coordination/Picker.h"
#include "state/Error.h"

#include <string.h>

/*
 * FuzzPicker - fuzzes the choice of targets, the rate and concurrency limits,
 * and the fair queue.
 *
 * Oracle, from plain counts: no pick of a target that is draining, leaving,
 * within a pause that it asked for, or full, nor of an ejected one while at
 * most half of the targets are ejected; no queue item lost or dequeued twice;
 * no item dequeued before one of a higher priority class; no more concurrent
 * requests than the limit.
 */

#define TARGETS 6
#define ITEMS 32
#define CONCURRENT_MAX 5
#define RATE_PER_S 100000

struct fixture {
    struct MpPicker picker;
    struct MpFairQueue queue;
    struct MpLimits limits;
    GPtrArray *names;
    GPtrArray *avoid;
    struct MpQueueItem items[ITEMS];
    bool is_queued[ITEMS];
    uint32_t queued;
    int64_t in_flight[TARGETS];
    bool is_out[TARGETS]; /* draining or leaving */
    bool has_said_leaving[TARGETS];
    int64_t paused_until_ms[TARGETS];
    uint32_t entered;
    int64_t now_ms;
};

static const char *const target_names[TARGETS] = {"t0", "t1", "t2",
                                                  "t3", "t4", "t5"};
static const char *const workspaces[] = {"a", "b", "c"};

static void
set_document(struct fixture *this, uint32_t drained)
{
    GString *text = g_string_new("{\"targets\":{");
    GPtrArray *findings = MpFindings_New();
    for (uint32_t i = 0; i < TARGETS; i++) {
        bool is_drained = drained & (1u << i);
        g_string_append_printf(
            text,
            "%s\"t%u\":{\"address\":\"127.0.0.1:%u\",\"zone\":\"%c\","
            "\"capacity\":4,\"state\":\"%s\"}",
            i ? "," : "", i, 9000 + i, 'a' + i % 3,
            is_drained ? "drain" : "in");
    }
    g_string_append(text, "},\"workspaces\":{}}");
    struct MpDocument *document =
        MpDocument_Parse(text->str, text->len, findings);
    if (!document) {
        Fuzz_Fail("the document of the test is refused");
    }
    MpPicker_SetDocument(&this->picker, document);
    MpDocument_Unref(document);
    g_ptr_array_unref(findings);
    g_string_free(text, TRUE);
}

static int
target_number(const struct MpTarget *target)
{
    return target->name[1] - '0';
}

static void
check_pick(struct fixture *this, const struct MpTarget *target)
{
    if (target->is_draining || target->leaving.by_list ||
        this->has_said_leaving[target_number(target)]) {
        Fuzz_Fail("%s is picked while draining or leaving", target->name);
    }
    if (this->now_ms < this->paused_until_ms[target_number(target)]) {
        Fuzz_Fail("%s is picked within its pause", target->name);
    }
    if (MpTarget_Load(target) >= target->capacity) {
        Fuzz_Fail("%s is picked while full", target->name);
    }
    if (MpDocument_ListContains(this->avoid, target->name)) {
        Fuzz_Fail("%s is picked although it is to be avoided", target->name);
    }
    uint32_t ejected = 0;
    for (uint32_t i = 0; i < TARGETS; i++) {
        ejected +=
            MpTarget_Health(MpPicker_Find(&this->picker, target_names[i]),
                            this->now_ms) == MP_HEALTH_EJECTED;
    }
    if (MpTarget_Health(target, this->now_ms) == MP_HEALTH_EJECTED &&
        ejected * 2 <= TARGETS) {
        Fuzz_Fail("%s is picked while ejected", target->name);
    }
}

static void
pick(struct fixture *this, struct FuzzInput *input)
{
    uint64_t blocks[2] = {FuzzInput_Below(input, 4), 9};
    int code;
    struct MpPickQuery query = {.names = this->names,
                                .blocks = blocks,
                                .block_count = FuzzInput_Below(input, 3),
                                .is_at_most_once =
                                    FuzzInput_Below(input, 4) == 0,
                                .avoid = this->avoid};
    struct MpTarget *target =
        MpPicker_Pick(&this->picker, &query, this->now_ms, &code);
    if (!target) {
        if (code != MP_ERROR_LIMIT && code != MP_ERROR_NO_TARGET) {
            Fuzz_Fail("no target, with unexpected code %d", code);
        }
        return;
    }
    check_pick(this, target);
    MpTarget_Start(target);
    MpTarget_NoteBlocks(target, blocks, query.block_count);
    this->in_flight[target_number(target)]++;
}

/* A report and, for some sequence numbers, an answer by which the target
 * leaves, asks for a pause or shows that it has started again. */
static void
hear_target(struct fixture *this, struct MpTarget *target,
            const struct MpLoadReport *report)
{
    int number = target_number(target);
    bool was_leaving = target->leaving.by_list;
    MpTarget_ApplyReport(target, report, this->now_ms);
    this->has_said_leaving[number] &= !was_leaving || target->leaving.by_list;
    switch (report->sequence % 32) {
    case 3:
        MpTargetLeaving_NoteAnswer(&target->leaving);
        this->has_said_leaving[number] = true;
        break;
    case 5:
        MpTargetPause_Note(&target->pause, 700, this->now_ms, this->now_ms, 0);
        this->paused_until_ms[number] = this->now_ms + 700;
        break;
    case 7:
        MpTarget_HandleRestart(target);
        this->has_said_leaving[number] = false;
        this->paused_until_ms[number] = 0;
        break;
    default:
        break;
    }
}

static void
change_target(struct fixture *this, struct FuzzInput *input)
{
    uint32_t number = FuzzInput_Below(input, TARGETS);
    struct MpTarget *target =
        MpPicker_Find(&this->picker, target_names[number]);
    struct MpLoadReport report = {.sequence = FuzzInput_Byte(input),
                                  .running = FuzzInput_Below(input, 6)};
    switch (FuzzInput_Below(input, 5)) {
    case 0:
        report.is_leaving = FuzzInput_Below(input, 2);
        hear_target(this, target, &report);
        break;
    case 1:
        MpTarget_ReportFailed(&this->picker, target, this->now_ms);
        break;
    case 2:
        MpTarget_ApplyCacheEvent(target, FuzzInput_Byte(input),
                                 FuzzInput_Below(input, 4),
                                 FuzzInput_Below(input, 2));
        break;
    case 3:
        set_document(this, FuzzInput_Byte(input));
        break;
    default:
        if (this->in_flight[number] > 0) {
            this->in_flight[number]--;
            MpTarget_Finish(&this->picker, target, FuzzInput_Below(input, 3),
                            this->now_ms);
        }
        break;
    }
    if (target->in_flight != this->in_flight[number]) {
        Fuzz_Fail("%s has %d requests, counted %d", target->name,
                  (int)target->in_flight, (int)this->in_flight[number]);
    }
}

static void
mark_dequeued(struct fixture *this, struct MpQueueItem *item)
{
    uint32_t number = (uint32_t)(item - this->items);
    if (!this->is_queued[number]) {
        Fuzz_Fail("item %u is dequeued twice", number);
    }
    this->is_queued[number] = false;
    this->queued--;
}

static void
pop(struct fixture *this)
{
    struct MpQueueItem *item = MpFairQueue_Peek(&this->queue);
    if (!item) {
        if (this->queued > 0) {
            Fuzz_Fail("%u items are lost", this->queued);
        }
        return;
    }
    for (uint32_t i = 0; i < ITEMS; i++) {
        if (this->is_queued[i] && this->items[i].priority < item->priority) {
            Fuzz_Fail("class %d is dequeued before class %d", item->priority,
                      this->items[i].priority);
        }
    }
    MpFairQueue_Dequeue(&this->queue, item);
    mark_dequeued(this, item);
}

static void
use_queue(struct fixture *this, struct FuzzInput *input)
{
    uint32_t number = FuzzInput_Below(input, ITEMS);
    struct MpQueueItem *item = &this->items[number];
    switch (FuzzInput_Below(input, 4)) {
    case 0:
        pop(this);
        break;
    case 1:
        if (this->is_queued[number]) {
            MpFairQueue_Remove(&this->queue, item);
            mark_dequeued(this, item);
        }
        break;
    case 2:
        while ((item = MpFairQueue_PopExpired(&this->queue, this->now_ms))) {
            if (item->deadline_ms > this->now_ms) {
                Fuzz_Fail("item is shed before its deadline");
            }
            mark_dequeued(this, item);
        }
        break;
    default:
        if (this->is_queued[number]) {
            return;
        }
        *item = (struct MpQueueItem){
            .workspace = workspaces[FuzzInput_Below(input, 3)],
            .priority = (int32_t)FuzzInput_Below(input, 3),
            .deadline_ms = this->now_ms + FuzzInput_Byte(input)};
        if (MpFairQueue_Push(&this->queue, item) == MP_OK) {
            this->is_queued[number] = true;
            this->queued++;
        }
        break;
    }
    if (this->queue.length != this->queued) {
        Fuzz_Fail("the queue holds %u, counted %u", this->queue.length,
                  this->queued);
    }
}

static void
use_limits(struct fixture *this, struct FuzzInput *input)
{
    int64_t retry_after_ms = 0;
    if (FuzzInput_Below(input, 2) == 0 && this->entered > 0) {
        MpLimits_Leave(&this->limits, "a");
        this->entered--;
        return;
    }
    int code = MpLimits_Enter(&this->limits, "a", CONCURRENT_MAX, RATE_PER_S,
                              this->now_ms, &retry_after_ms);
    if (code == MP_OK && ++this->entered > CONCURRENT_MAX) {
        Fuzz_Fail("%u requests at once", this->entered);
    }
    if (code != MP_OK && retry_after_ms <= 0) {
        Fuzz_Fail("refusal without a retry delay");
    }
}

static void
step(struct fixture *this, struct FuzzInput *input)
{
    switch (FuzzInput_Below(input, 8)) {
    case 0:
    case 1:
        pick(this, input);
        break;
    case 2:
    case 3:
        change_target(this, input);
        break;
    case 4:
        this->now_ms += FuzzInput_Byte(input) * 10;
        break;
    case 5:
        use_limits(this, input);
        break;
    default:
        use_queue(this, input);
        break;
    }
    Fuzz_Steps++;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct FuzzInput input = {.data = data, .size = size};
    struct fixture *this = g_new0(struct fixture, 1);
    MpPicker_Init(&this->picker, "a", 1);
    MpFairQueue_Init(&this->queue, ITEMS - 4);
    MpLimits_Init(&this->limits);
    this->names = g_ptr_array_new();
    this->avoid = g_ptr_array_new();
    this->now_ms = 1000;
    for (uint32_t i = 0; i < TARGETS; i++) {
        g_ptr_array_add(this->names, (char *)target_names[i]);
    }
    set_document(this, 0);
    while (!FuzzInput_IsAtEnd(&input)) {
        step(this, &input);
    }
    while (this->queued > 0) {
        pop(this);
    }
    MpPicker_Done(&this->picker);
    MpFairQueue_Done(&this->queue);
    MpLimits_Done(&this->limits);
    g_ptr_array_unref(this->names);
    g_ptr_array_unref(this->avoid);
    g_free(this);
    return 0;
}
