#ifndef MP_FUZZ_AGENTS_H
#define MP_FUZZ_AGENTS_H

#include "Input.h"

#include "state/Machine.h"

#include <stdbool.h>

/*
 * Agents - routers, operators and a target, as a fuzz case plays them, and
 * the oracle of what must hold for them.
 *
 * A task is one command that is sent, perhaps many times, until its answer
 * arrives.  The oracle holds plain arrays and shares no code with the
 * ledger: what runs, what was answered, and what was acknowledged.
 */

#define AGENT_ROUTERS 3
#define AGENT_KEYS 12
#define AGENT_TASKS 24
#define AGENT_TOPUPS 64
#define AGENT_DOCUMENTS 128
#define AGENT_WORKSPACES 2

enum task_kind {
    TASK_NONE,
    TASK_REGISTER,
    TASK_OPEN,
    TASK_SETTLE,
    TASK_TOPUP,
    TASK_DOCUMENT,
    TASK_LEASE,
    TASK_HANDIN,
    TASK_OFFLINE,
    TASK_FENCE,
    TASK_WRITEOFF
};

struct Task {
    enum task_kind kind;
    uint32_t generation; /* answers to an earlier use are ignored */
    uint32_t router;
    uint64_t boot;
    uint32_t key;
    uint32_t number; /* of a top-up, a document or a lease call */
    uint64_t open_id;
    uint64_t base_version;
    int64_t amount_mtok;
    enum mp_record_state outcome;
    bool is_sent;
};

struct Router {
    uint64_t nonce;
    uint64_t boot; /* 0 while not registered */
    uint64_t seq;
    int64_t held_mtok[AGENT_WORKSPACES]; /* may be spent offline */
};

struct KeyOracle {
    uint32_t runs;
    bool is_billed; /* an answer said so */
    int64_t billed_mtok;
    bool is_unknown;     /* billed without an answer of its run */
    uint64_t not_run_id; /* open id that was acknowledged as not run */
};

struct Agents {
    struct Router routers[AGENT_ROUTERS];
    struct Task tasks[AGENT_TASKS];
    struct KeyOracle keys[AGENT_KEYS];
    bool topup_acked[AGENT_TOPUPS];
    int64_t topup_mtok[AGENT_TOPUPS];
    uint32_t topups;
    uint64_t document_acked[AGENT_DOCUMENTS]; /* version, by submission */
    uint64_t document_base[AGENT_DOCUMENTS];
    uint32_t documents;
    uint64_t version_most; /* highest acknowledged */
    uint64_t next_id;
    int64_t now_ms;
    uint32_t wind_phase;
};

extern const char *const Agents_RouterNames[AGENT_ROUTERS];
extern const char *const Agents_WorkspaceNames[AGENT_WORKSPACES];

/* Returns the workspace that a key or a top-up belongs to. */
const char *Agents_WorkspaceOfKey(uint32_t key);

void Agents_Init(struct Agents *this);

/* Starts a task that the input chooses.  leases switches the tasks of leases
 * on. */
void Agents_Act(struct Agents *this, struct FuzzInput *input);

/* Fills command for task; the strings last until the next call. */
void Agents_Command(const struct Agents *this, const struct Task *task,
                    struct mp_command *command);

/* Takes the answer to a task of that generation. */
void Agents_Answer(struct Agents *this, uint32_t task, uint32_t generation,
                   const struct mp_result *result);

/* Ends a router's process: it forgets all but its identity. */
void Agents_CrashRouter(struct Agents *this, uint32_t router);

/* Starts what is still missing so that all can come to an end: routers
 * register, held leases go back, ended lives are written off.  Returns false
 * when nothing is left to do. */
bool Agents_WindUp(struct Agents *this);

/* Checks a state against what was acknowledged. */
void Agents_Check(const struct Agents *this, const struct MpMachine *machine);

/* Checks that nothing is left open or held. */
void Agents_CheckEnd(const struct Agents *this,
                     const struct MpMachine *machine);

#endif
