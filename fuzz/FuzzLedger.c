#include "Agents.h"
#include "CheckedApply.h"

#include "state/Codec.h"
#include "state/Error.h"

/*
 * FuzzLedger - fuzzes the replicated machine without Raft: simulated agents
 * send commands, some results are lost so that commands are repeated, and the
 * state is saved and loaded in between.
 */

#define SHUTDOWN_STEPS_MAX 20000

static void
apply(struct MpMachine *machine, struct Agents *agents, uint32_t number,
      bool is_delivered)
{
    struct Task *task = &agents->tasks[number];
    struct mp_command command;
    struct mp_result result;
    uint32_t generation = task->generation;
    Agents_FillCommand(agents, task, &command);
    CheckedApply(machine, machine->applied + 1, &command, &result);
    if (is_delivered) {
        Agents_HandleResult(agents, number, generation, &result);
    }
}

static void
reload(struct MpMachine *machine)
{
    GBytes *bytes = MpMachine_Save(machine);
    gsize size;
    const void *data = g_bytes_get_data(bytes, &size);
    MpMachine_Done(machine);
    MpMachine_Init(machine);
    if (MpMachine_Load(machine, data, size) != MP_OK) {
        Fuzz_Fail("cannot load a snapshot");
    }
    g_bytes_unref(bytes);
}

static void
step(struct MpMachine *machine, struct Agents *agents, struct FuzzInput *input)
{
    uint32_t choice = FuzzInput_Below(input, 8);
    if (choice < 3) {
        Agents_Step(agents, input);
    }
    else if (choice == 3 && FuzzInput_Below(input, 8) == 0) {
        reload(machine);
    }
    else {
        uint32_t number = FuzzInput_Below(input, AGENT_TASKS);
        if (agents->tasks[number].kind != TASK_NONE) {
            apply(machine, agents, number, choice < 7);
        }
    }
    Agents_Check(agents, machine);
    Fuzz_Steps++;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct FuzzInput input = {.data = data, .size = size};
    struct MpMachine machine;
    struct Agents agents;
    MpMachine_Init(&machine);
    machine.ledger.retention_ms = INT64_MAX / 2;
    Agents_Init(&agents);
    while (!FuzzInput_IsAtEnd(&input)) {
        step(&machine, &agents, &input);
    }
    for (int i = 0; Agents_ShutDown(&agents); i++) {
        uint32_t number = (uint32_t)i % AGENT_TASKS;
        if (agents.tasks[number].kind != TASK_NONE) {
            apply(&machine, &agents, number, true);
        }
        if (i > SHUTDOWN_STEPS_MAX) {
            Fuzz_Fail("the agents do not finish their tasks");
        }
        Fuzz_Steps++;
    }
    Agents_CheckEnd(&agents, &machine);
    MpMachine_Done(&machine);
    return 0;
}
