#include "CheckedApply.h"
#include "Input.h"

#include "coordination/DrainedZones.h"
#include "state/Error.h"
#include "state/Machine.h"

#include <glib.h>
#include <string.h>

/*
 * FuzzZones - fuzzes orders to drain and restore zones.  The operators of each
 * zone give one order after the other, each by several calls, of which any may
 * be delivered late, more than once or never, and whose results may be lost.
 * The state is saved and loaded, and instances are told it out of order.
 *
 * The calls of an order have an id in common, or each is based on the version
 * that was read for it.  An order without an id may be given up before it is
 * acknowledged.
 *
 * Oracle: once the last order for a zone is acknowledged, the zone is as
 * ordered; an instance never goes back to an older state, and has the newest
 * one when it is told it.
 */

#define ZONES 3
#define CALLS_MAX 48
#define REPORTS_MAX 16

static const char *const names[ZONES] = {"a", "b", "c"};

struct operators {
    uint32_t order; /* number of the last order; 0: none */
    bool is_drain;
    bool has_id;
    bool is_acknowledged;
};

struct call {
    uint32_t zone;
    uint32_t order;
    char submission[32];
    struct mp_zone_drain command;
};

/* What the leader told an instance, which may arrive late. */
struct report {
    uint64_t version;
    struct mp_zone list[MP_ZONES_MAX];
    uint32_t count;
};

struct fixture {
    struct FuzzInput *input;
    struct MpMachine machine;
    struct MpDrainedZones view;
    struct operators operators[ZONES];
    struct call calls[CALLS_MAX];
    uint32_t call_count;
    uint32_t next_id;
    struct report reports[REPORTS_MAX];
    uint32_t report_count;
    int64_t now_ms;
};

static bool
is_drained(const struct fixture *this, uint32_t zone)
{
    const struct MpZone *found =
        MpZoneDrains_Find(&this->machine.zones, names[zone]);
    return found && found->is_drained;
}

static void
check(const struct fixture *this)
{
    for (uint32_t i = 0; i < ZONES; i++) {
        const struct operators *operators = &this->operators[i];
        if (operators->is_acknowledged &&
            is_drained(this, i) != operators->is_drain) {
            Fuzz_Fail("zone %s is not as its last order was acknowledged",
                      names[i]);
        }
    }
}

static void
give_order(struct fixture *this, uint32_t zone)
{
    struct operators *operators = &this->operators[zone];
    if (operators->has_id && !operators->is_acknowledged) {
        return;
    }
    *operators =
        (struct operators){.order = operators->order + 1,
                           .is_drain = FuzzInput_Below(this->input, 2),
                           .has_id = FuzzInput_Below(this->input, 3) == 0};
}

static void
send_call(struct fixture *this, uint32_t zone)
{
    const struct operators *operators = &this->operators[zone];
    if (operators->order == 0 || this->call_count == CALLS_MAX) {
        return;
    }
    struct call *call = &this->calls[this->call_count++];
    *call = (struct call){
        .zone = zone,
        .order = operators->order,
        .command = {.zone = (char *)names[zone],
                    .is_drain = operators->is_drain,
                    .has_base = !operators->has_id,
                    .base_version = this->machine.zones.version}};
    g_snprintf(call->submission, sizeof(call->submission), "%s-%u-%u",
               names[zone], operators->order,
               operators->has_id ? 0 : ++this->next_id);
}

static void
deliver(struct fixture *this)
{
    struct mp_command command = {.at_ms = ++this->now_ms,
                                 .body = {.kind = MP_CMD_ZONE_DRAIN}};
    struct mp_result result;
    if (this->call_count == 0) {
        return;
    }
    uint32_t number = FuzzInput_Below(this->input, this->call_count);
    struct call *call = &this->calls[number];
    struct operators *operators = &this->operators[call->zone];
    command.body.mp_command_body_u.zone_drain = call->command;
    command.body.mp_command_body_u.zone_drain.submission = call->submission;
    int code = CheckedApply(&this->machine, this->machine.applied + 1,
                            &command, &result);
    uint32_t fate = FuzzInput_Below(this->input, 4);
    if (code == MP_OK && fate > 0 && call->order == operators->order) {
        operators->is_acknowledged = true;
    }
    if (fate == 3) {
        *call = this->calls[--this->call_count];
    }
}

static void
save_and_load(struct fixture *this)
{
    gsize size;
    GBytes *bytes = MpMachine_Save(&this->machine);
    const void *data = g_bytes_get_data(bytes, &size);
    if (MpMachine_Load(&this->machine, data, size) != MP_OK) {
        Fuzz_Fail("a snapshot cannot be loaded");
    }
    g_bytes_unref(bytes);
}

static void
write_report(struct fixture *this)
{
    struct report *report = &this->reports[this->report_count++ % REPORTS_MAX];
    struct mp_zone *list =
        MpZoneDrains_List(&this->machine.zones, this->now_ms);
    report->version = this->machine.zones.version;
    report->count = this->machine.zones.zones->len;
    memcpy(report->list, list, report->count * sizeof(*list));
    for (uint32_t i = 0; i < report->count; i++) {
        /* The names outlive the zones of the machine. */
        report->list[i].name = (char *)names[list[i].name[0] - 'a'];
    }
    g_free(list);
}

static void
tell(struct fixture *this, const struct report *report)
{
    uint64_t known = this->view.version;
    MpDrainedZones_Apply(&this->view, report->version, report->list,
                         report->count, this->now_ms, NULL);
    if (this->view.version != MAX(known, report->version)) {
        Fuzz_Fail("the instance went back to an older state");
    }
    if (this->view.version != this->machine.zones.version) {
        return;
    }
    for (uint32_t i = 0; i < ZONES; i++) {
        if (MpDrainedZones_Contains(&this->view, names[i]) !=
            is_drained(this, i)) {
            Fuzz_Fail("the instance was told another state");
        }
    }
}

static void
step(struct fixture *this)
{
    uint32_t zone = FuzzInput_Below(this->input, ZONES);
    uint32_t kind = FuzzInput_Below(this->input, 12);
    if (kind == 0) {
        give_order(this, zone);
    }
    else if (kind < 5) {
        send_call(this, zone);
    }
    else if (kind < 9) {
        deliver(this);
    }
    else if (kind == 9) {
        save_and_load(this);
    }
    else if (kind == 10) {
        write_report(this);
    }
    else if (this->report_count > 0) {
        tell(this, &this->reports[FuzzInput_Below(
                       this->input, MIN(this->report_count, REPORTS_MAX))]);
    }
    check(this);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct FuzzInput input = {.data = data, .size = size};
    struct fixture *this = g_new0(struct fixture, 1);
    this->input = &input;
    this->now_ms = 1000;
    MpMachine_Init(&this->machine);
    MpDrainedZones_Init(&this->view);
    while (!FuzzInput_IsAtEnd(&input)) {
        step(this);
        Fuzz_Steps++;
    }
    MpMachine_Done(&this->machine);
    MpDrainedZones_Done(&this->view);
    g_free(this);
    return 0;
}
