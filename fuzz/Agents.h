#ifndef MP_FUZZ_AGENTS_H
#define MP_FUZZ_AGENTS_H

#include "Input.h"

#include "state/Machine.h"

#include <stdbool.h>

/*
 * Agents - simulated routers, operators and one target that send commands to
 * the replicated machine, and an oracle that checks the machine's state.
 *
 * A task is one command that is sent, possibly several times, until its result
 * arrives.  The oracle records in plain arrays what ran at the target and
 * which results were received; it shares no code with the ledger.
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
    TASK_LEASE_RETURN,
    TASK_OFFLINE,
    TASK_FENCE,
    TASK_WRITEOFF
};

struct Task {
    enum task_kind kind;
    uint32_t generation; /* results for an older generation are ignored */
    uint32_t router;
    uint64_t boot;
    uint32_t key; /* idempotency key, or workspace of a lease */
    /* Number of the top-up or submission, or sequence number of the lease. */
    uint32_t number;
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
    int64_t held_mtok[AGENT_WORKSPACES]; /* for offline runs */
};

struct KeyOracle {
    uint32_t runs;
    bool is_billed; /* by a received result */
    int64_t billed_mtok;
    bool is_unknown;     /* settled as cancelled, and billed in full */
    uint64_t not_run_id; /* last open id settled as not run */
};

struct Agents {
    struct Router routers[AGENT_ROUTERS];
    struct Task tasks[AGENT_TASKS];
    struct KeyOracle keys[AGENT_KEYS];
    bool topup_acked[AGENT_TOPUPS];
    int64_t topup_mtok[AGENT_TOPUPS];
    uint32_t topups;
    uint64_t document_acked[AGENT_DOCUMENTS]; /* version given, or 0 */
    uint64_t document_base[AGENT_DOCUMENTS];
    uint32_t documents;
    uint64_t version_max; /* highest acknowledged document version */
    uint64_t next_id;
    int64_t now_ms;
    uint32_t shutdown_phase;
};

extern const char *const Agents_RouterNames[AGENT_ROUTERS];
extern const char *const Agents_WorkspaceNames[AGENT_WORKSPACES];

/* Returns the workspace that a key or a top-up belongs to. */
const char *Agents_WorkspaceOfKey(uint32_t key);

void Agents_Init(struct Agents *this);

/* Performs one action chosen by the input: starts or abandons a task, crashes
 * a router or advances the clock. */
void Agents_Step(struct Agents *this, struct FuzzInput *input);

/* Fills command for task; its strings are valid until the next call. */
void Agents_FillCommand(const struct Agents *this, const struct Task *task,
                        struct mp_command *command);

/* Handles the result of a task; ignores one of another generation. */
void Agents_HandleResult(struct Agents *this, uint32_t task,
                         uint32_t generation, const struct mp_result *result);

/* Crashes a router: it loses its state, except for its name, the bills in its
 * journal and lease returns in transit. */
void Agents_CrashRouter(struct Agents *this, uint32_t router);

/* Starts the tasks that end all open work, once no task is left: first all
 * routers crash and register anew, then their previous incarnations are
 * written off.  Returns false when nothing is left to do. */
bool Agents_ShutDown(struct Agents *this);

/* Checks that the machine's state agrees with all acknowledged results. */
void Agents_Check(const struct Agents *this, const struct MpMachine *machine);

/* As Agents_Check; also checks that nothing is reserved or leased any more. */
void Agents_CheckEnd(const struct Agents *this,
                     const struct MpMachine *machine);

#endif
