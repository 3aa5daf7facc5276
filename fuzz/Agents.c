#include "Agents.h"

#include "state/Error.h"

#include <inttypes.h>
#include <string.h>

#define PRICE_MTOK 100
#define TOPUP_MTOK 1000

/* ---- names ---- */

const char *const Agents_RouterNames[AGENT_ROUTERS] = {"r0", "r1", "r2"};
const char *const Agents_WorkspaceNames[AGENT_WORKSPACES] = {"w0", "w1"};

const char *
Agents_WorkspaceOfKey(uint32_t key)
{
    return Agents_WorkspaceNames[key % AGENT_WORKSPACES];
}

static bool
is_at_most_once(uint32_t key)
{
    return key % 4 < 2;
}

static void
fill_key_hash(uint32_t key, char *hash)
{
    memset(hash, (int)key + 1, MP_HASH_BYTES);
}

void
Agents_Init(struct Agents *this)
{
    *this = (struct Agents){.next_id = 1};
    for (uint32_t i = 0; i < AGENT_ROUTERS; i++) {
        this->routers[i].nonce = ++this->next_id;
    }
}

/* ---- starting tasks ---- */

static struct Task *
find_free_task(struct Agents *this)
{
    for (uint32_t i = 0; i < AGENT_TASKS; i++) {
        if (this->tasks[i].kind == TASK_NONE) {
            uint32_t generation = this->tasks[i].generation + 1;
            this->tasks[i] = (struct Task){.generation = generation};
            return &this->tasks[i];
        }
    }
    return NULL;
}

static struct Task *
start_task(struct Agents *this, enum task_kind kind, uint32_t router)
{
    struct Task *task = find_free_task(this);
    if (task) {
        task->kind = kind;
        task->router = router;
        task->boot = this->routers[router].boot;
    }
    return task;
}

static void
start_topup(struct Agents *this, struct FuzzInput *input)
{
    bool is_repeat = this->topups > 0 && FuzzInput_Below(input, 3) == 0;
    if (!is_repeat && this->topups >= AGENT_TOPUPS) {
        return;
    }
    struct Task *task = start_task(this, TASK_TOPUP, 0);
    if (!task) {
        return;
    }
    task->number =
        is_repeat ? FuzzInput_Below(input, this->topups) : this->topups++;
    if (!is_repeat) {
        this->topup_mtok[task->number] =
            TOPUP_MTOK / 4 * (1 + FuzzInput_Below(input, 4));
    }
    task->key = task->number;
    task->amount_mtok = this->topup_mtok[task->number];
}

/* Submissions may share a base version, and one may be sent twice. */
static void
start_document(struct Agents *this, struct FuzzInput *input)
{
    bool is_repeat = this->documents > 0 && FuzzInput_Below(input, 3) == 0;
    if (!is_repeat && this->documents >= AGENT_DOCUMENTS) {
        return;
    }
    struct Task *task = start_task(this, TASK_DOCUMENT, 0);
    if (!task) {
        return;
    }
    task->number = is_repeat ? FuzzInput_Below(input, this->documents)
                             : this->documents++;
    if (!is_repeat) {
        this->document_base[task->number] =
            this->version_max -
            (FuzzInput_Below(input, 4) == 0 && this->version_max > 0);
    }
    task->base_version = this->document_base[task->number];
}

static void
start_open(struct Agents *this, uint32_t router, struct FuzzInput *input)
{
    if (this->routers[router].boot == 0) {
        return;
    }
    struct Task *task = start_task(this, TASK_OPEN, router);
    if (task) {
        task->key = FuzzInput_Below(input, AGENT_KEYS);
        task->open_id = ++this->next_id;
        task->amount_mtok = PRICE_MTOK;
    }
}

static void
start_lease(struct Agents *this, uint32_t router, struct FuzzInput *input)
{
    struct Router *from = &this->routers[router];
    if (from->boot == 0) {
        return;
    }
    struct Task *task = start_task(this, TASK_LEASE, router);
    if (task) {
        task->key = FuzzInput_Below(input, AGENT_WORKSPACES);
        task->number = (uint32_t)++from->seq;
        task->amount_mtok = 4 * PRICE_MTOK;
    }
}

static void
start_lease_return(struct Agents *this, uint32_t router, uint32_t workspace)
{
    struct Router *from = &this->routers[router];
    if (from->boot == 0 || from->held_mtok[workspace] == 0) {
        return;
    }
    struct Task *task = start_task(this, TASK_LEASE_RETURN, router);
    if (task) {
        task->key = workspace;
        task->number = (uint32_t)++from->seq;
        task->amount_mtok = from->held_mtok[workspace];
        from->held_mtok[workspace] = 0;
    }
}

/* Runs a repeatable request against the lease; the bill is sent later. */
static void
start_offline(struct Agents *this, uint32_t router, struct FuzzInput *input)
{
    struct Router *from = &this->routers[router];
    uint32_t key = FuzzInput_Below(input, AGENT_KEYS);
    uint32_t workspace = key % AGENT_WORKSPACES;
    if (is_at_most_once(key) || from->boot == 0 ||
        from->held_mtok[workspace] < PRICE_MTOK) {
        return;
    }
    struct Task *task = start_task(this, TASK_OFFLINE, router);
    if (task) {
        from->held_mtok[workspace] -= PRICE_MTOK;
        task->key = key;
        task->amount_mtok = PRICE_MTOK;
        this->keys[key].runs++;
    }
}

static void
start_register(struct Agents *this, uint32_t router)
{
    for (uint32_t i = 0; i < AGENT_TASKS; i++) {
        if (this->tasks[i].kind == TASK_REGISTER &&
            this->tasks[i].router == router) {
            return;
        }
    }
    start_task(this, TASK_REGISTER, router);
}

/* The caller disconnects before the result; the open is settled as not run. */
static void
abandon_open(struct Agents *this, struct FuzzInput *input)
{
    struct Task *task = &this->tasks[FuzzInput_Below(input, AGENT_TASKS)];
    if (task->kind == TASK_OPEN) {
        task->kind = TASK_SETTLE;
        task->generation++;
        task->outcome = MP_RECORD_NOT_RUN;
        task->amount_mtok = 0;
    }
}

void
Agents_Step(struct Agents *this, struct FuzzInput *input)
{
    uint32_t router = FuzzInput_Below(input, AGENT_ROUTERS);
    switch (FuzzInput_Below(input, 16)) {
    case 0:
    case 1:
        start_topup(this, input);
        break;
    case 2:
        start_document(this, input);
        break;
    case 3:
        start_register(this, router);
        break;
    case 4:
        start_lease(this, router, input);
        break;
    case 5:
        start_offline(this, router, input);
        break;
    case 6:
        start_lease_return(this, router,
                           FuzzInput_Below(input, AGENT_WORKSPACES));
        break;
    case 7:
        if (this->routers[router].boot > 0) {
            start_task(this, TASK_FENCE, router);
        }
        break;
    case 8:
        abandon_open(this, input);
        break;
    case 9:
        if (FuzzInput_Below(input, 4) == 0) {
            Agents_CrashRouter(this, router);
        }
        break;
    case 10:
        this->now_ms += FuzzInput_Byte(input);
        break;
    default:
        start_open(this, router, input);
        break;
    }
}

/* ---- commands ---- */

static char key_text[32];
static char id_text[32];

static struct mp_incarnation
get_incarnation(const struct Task *task)
{
    return (struct mp_incarnation){
        .instance = (char *)Agents_RouterNames[task->router],
        .boot = task->boot};
}

static void
fill_request_command(const struct Task *task, struct mp_command_body *body)
{
    char *workspace = (char *)Agents_WorkspaceOfKey(task->key);
    snprintf(key_text, sizeof(key_text), "k%u", task->key);
    if (task->kind == TASK_OPEN) {
        body->kind = MP_CMD_OPEN;
        body->mp_command_body_u.open =
            (struct mp_open){.incarnation = get_incarnation(task),
                             .workspace = workspace,
                             .key = key_text,
                             .reserve_mtok = task->amount_mtok,
                             .at_most_once = is_at_most_once(task->key),
                             .open_id = task->open_id};
        fill_key_hash(task->key, body->mp_command_body_u.open.body_hash);
    }
    else if (task->kind == TASK_SETTLE) {
        body->kind = MP_CMD_SETTLE;
        body->mp_command_body_u.settle =
            (struct mp_settle){.incarnation = get_incarnation(task),
                               .workspace = workspace,
                               .key = key_text,
                               .open_id = task->open_id,
                               .spent_mtok = task->amount_mtok,
                               .outcome = task->outcome,
                               .status = 200,
                               .content_type = (char *)""};
    }
    else {
        body->kind = MP_CMD_OFFLINE;
        body->mp_command_body_u.offline =
            (struct mp_offline){.incarnation = get_incarnation(task),
                                .workspace = workspace,
                                .key = key_text,
                                .spent_mtok = task->amount_mtok};
        fill_key_hash(task->key, body->mp_command_body_u.offline.body_hash);
    }
}

static void
fill_operator_command(const struct Task *task, struct mp_command_body *body)
{
    snprintf(id_text, sizeof(id_text), "i%u", task->number);
    if (task->kind == TASK_TOPUP) {
        body->kind = MP_CMD_TOPUP;
        body->mp_command_body_u.topup = (struct mp_topup){
            .workspace = (char *)Agents_WorkspaceOfKey(task->number),
            .topup_id = id_text,
            .amount_mtok = task->amount_mtok};
        return;
    }
    body->kind = MP_CMD_DOCUMENT;
    body->mp_command_body_u.document =
        (struct mp_document_put){.submission = id_text,
                                 .author = (char *)"",
                                 .base_version = task->base_version,
                                 .retention_ms = INT64_MAX / 2,
                                 .text = id_text};
}

static void
fill_lease_command(const struct Task *task, struct mp_command_body *body)
{
    struct mp_lease lease = {.incarnation = get_incarnation(task),
                             .workspace =
                                 (char *)Agents_WorkspaceNames[task->key],
                             .seq = task->number,
                             .amount_mtok = task->amount_mtok};
    if (task->kind == TASK_LEASE) {
        body->kind = MP_CMD_LEASE;
        body->mp_command_body_u.lease = lease;
        return;
    }
    body->kind = MP_CMD_LEASE_RETURN;
    body->mp_command_body_u.lease_return = lease;
}

void
Agents_FillCommand(const struct Agents *this, const struct Task *task,
                   struct mp_command *command)
{
    *command = (struct mp_command){.at_ms = this->now_ms};
    struct mp_command_body *body = &command->body;
    switch (task->kind) {
    case TASK_REGISTER:
        body->kind = MP_CMD_REGISTER;
        body->mp_command_body_u.reg = (struct mp_register){
            .instance = (char *)Agents_RouterNames[task->router],
            .nonce = this->routers[task->router].nonce,
            .address = (char *)"",
            .zone = (char *)""};
        break;
    case TASK_TOPUP:
    case TASK_DOCUMENT:
        fill_operator_command(task, body);
        break;
    case TASK_LEASE:
    case TASK_LEASE_RETURN:
        fill_lease_command(task, body);
        break;
    case TASK_FENCE:
        body->kind = MP_CMD_FENCE;
        body->mp_command_body_u.fence = get_incarnation(task);
        break;
    case TASK_WRITEOFF:
        body->kind = MP_CMD_WRITEOFF;
        body->mp_command_body_u.writeoff =
            (struct mp_writeoff){.incarnation = get_incarnation(task)};
        break;
    default:
        fill_request_command(task, body);
        break;
    }
}

/* ---- results ---- */

static void
run_at_target(struct Agents *this, const struct Task *task)
{
    struct KeyOracle *key = &this->keys[task->key];
    if (key->not_run_id == task->open_id) {
        Fuzz_Fail("key %u runs under an id settled as not run", task->key);
    }
    key->runs++;
    if (is_at_most_once(task->key) && key->runs > 1) {
        Fuzz_Fail("at-most-once key %u runs %u times", task->key, key->runs);
    }
}

static void
handle_open(struct Agents *this, struct Task *task,
            const struct mp_result *result)
{
    if (result->code == MP_ERROR_FENCED &&
        this->routers[task->router].boot == task->boot) {
        this->routers[task->router].boot = 0;
    }
    if (result->code != MP_OK) {
        task->kind = TASK_NONE;
        return;
    }
    run_at_target(this, task);
    if (result->state == MP_RECORD_DONE) {
        task->kind = TASK_NONE;
        return;
    }
    task->kind = TASK_SETTLE;
    task->generation++;
    task->outcome = MP_RECORD_DONE;
    task->amount_mtok =
        is_at_most_once(task->key) ? PRICE_MTOK : PRICE_MTOK / 2;
    /* Some at-most-once runs end without a response from the target. */
    if (is_at_most_once(task->key) && task->open_id % 4 == 0) {
        task->outcome = MP_RECORD_CANCELLED;
        task->amount_mtok = 0;
    }
}

static void
handle_settle(struct Agents *this, struct Task *task,
              const struct mp_result *result)
{
    struct KeyOracle *key = &this->keys[task->key];
    if (result->code == MP_OK && task->outcome == MP_RECORD_CANCELLED) {
        key->is_billed = true;
        key->is_unknown = true;
        key->billed_mtok = PRICE_MTOK;
    }
    if (result->code == MP_OK && task->outcome == MP_RECORD_DONE) {
        key->is_billed = true;
        key->billed_mtok = task->amount_mtok;
    }
    if (result->code == MP_OK && task->outcome == MP_RECORD_NOT_RUN) {
        key->not_run_id = task->open_id;
    }
    task->kind = TASK_NONE;
}

static void
handle_document(struct Agents *this, struct Task *task,
                const struct mp_result *result)
{
    task->kind = TASK_NONE;
    if (result->code != MP_OK) {
        return;
    }
    uint64_t *acked = &this->document_acked[task->number];
    if (*acked && *acked != result->number) {
        Fuzz_Fail("submission %u was version %" PRIu64 ", now is %" PRIu64,
                  task->number, *acked, (uint64_t)result->number);
    }
    if (result->number != task->base_version + 1) {
        Fuzz_Fail("submission %u on base %" PRIu64 " became %" PRIu64,
                  task->number, task->base_version, (uint64_t)result->number);
    }
    for (uint32_t i = 0; i < this->documents; i++) {
        if (i != task->number && this->document_acked[i] == result->number) {
            Fuzz_Fail("submissions %u and %u are both version %" PRIu64, i,
                      task->number, (uint64_t)result->number);
        }
    }
    *acked = result->number;
    this->version_max = MAX(this->version_max, result->number);
}

static void
handle_register(struct Agents *this, struct Task *task,
                const struct mp_result *result)
{
    struct Router *router = &this->routers[task->router];
    task->kind = TASK_NONE;
    if (router->boot != result->number) {
        memset(router->held_mtok, 0, sizeof(router->held_mtok));
    }
    router->boot = result->number;
}

static void
handle_lease(struct Agents *this, struct Task *task,
             const struct mp_result *result)
{
    struct Router *router = &this->routers[task->router];
    task->kind = TASK_NONE;
    if (result->code == MP_OK && router->boot == task->boot) {
        router->held_mtok[task->key] += result->amount_mtok;
    }
}

static void
handle_offline(struct Agents *this, struct Task *task,
               const struct mp_result *result)
{
    struct KeyOracle *key = &this->keys[task->key];
    task->kind = TASK_NONE;
    if (result->code != MP_OK) {
        Fuzz_Fail("offline run of key %u is not covered by the lease: %s",
                  task->key, MpError_Name(result->code));
    }
    if (result->amount_mtok > 0) {
        key->is_billed = true;
        key->billed_mtok = result->amount_mtok;
    }
}

void
Agents_HandleResult(struct Agents *this, uint32_t number, uint32_t generation,
                    const struct mp_result *result)
{
    struct Task *task = &this->tasks[number];
    if (task->generation != generation || task->kind == TASK_NONE) {
        return;
    }
    switch (task->kind) {
    case TASK_OPEN:
        handle_open(this, task, result);
        break;
    case TASK_SETTLE:
        handle_settle(this, task, result);
        break;
    case TASK_DOCUMENT:
        handle_document(this, task, result);
        break;
    case TASK_REGISTER:
        handle_register(this, task, result);
        break;
    case TASK_LEASE:
        handle_lease(this, task, result);
        break;
    case TASK_OFFLINE:
        handle_offline(this, task, result);
        break;
    case TASK_TOPUP:
        this->topup_acked[task->number] = result->code == MP_OK;
        task->kind = TASK_NONE;
        break;
    default:
        task->kind = TASK_NONE;
        break;
    }
}

/* ---- crash and shutdown ---- */

void
Agents_CrashRouter(struct Agents *this, uint32_t number)
{
    struct Router *router = &this->routers[number];
    for (uint32_t i = 0; i < AGENT_TASKS; i++) {
        struct Task *task = &this->tasks[i];
        bool is_router_task =
            task->kind != TASK_TOPUP && task->kind != TASK_DOCUMENT &&
            task->kind != TASK_FENCE && task->kind != TASK_WRITEOFF;
        /* Bills of offline runs survive in the journal; a lease return may
         * already be in transit. */
        if (task->router == number && is_router_task &&
            task->kind != TASK_OFFLINE && task->kind != TASK_LEASE_RETURN) {
            task->kind = TASK_NONE;
            task->generation++;
        }
    }
    router->boot = 0;
    router->seq = 0;
    router->nonce = ++this->next_id;
    memset(router->held_mtok, 0, sizeof(router->held_mtok));
}

static bool
is_busy(const struct Agents *this)
{
    for (uint32_t i = 0; i < AGENT_TASKS; i++) {
        if (this->tasks[i].kind != TASK_NONE) {
            return true;
        }
    }
    return false;
}

bool
Agents_ShutDown(struct Agents *this)
{
    if (is_busy(this)) {
        return true;
    }
    this->shutdown_phase++;
    for (uint32_t i = 0; i < AGENT_ROUTERS; i++) {
        if (this->shutdown_phase == 1) {
            Agents_CrashRouter(this, i);
            start_task(this, TASK_REGISTER, i);
        }
        else if (this->shutdown_phase == 2 && this->routers[i].boot > 1) {
            struct Task *task = start_task(this, TASK_WRITEOFF, i);
            task->boot = this->routers[i].boot - 1;
        }
    }
    return this->shutdown_phase <= 2;
}
