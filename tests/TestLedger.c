/* Tests of the replicated ledger: budgets, top-ups, idempotency records,
 * fencing of instances, and the count of crashes caused by a request. */

#include "state/Error.h"
#include "state/Machine.h"

#include <string.h>

struct fixture {
    struct MpMachine machine;
    uint64_t index;
    struct mp_result result;
    uint64_t boot;
};

static int
apply(struct fixture *this, struct mp_command *command)
{
    return MpMachine_Apply(&this->machine, ++this->index, command,
                           &this->result);
}

static void
register_instance(struct fixture *this, uint64_t nonce)
{
    struct mp_command command = {.body = {.kind = MP_CMD_REGISTER}};
    command.body.mp_command_body_u.reg =
        (struct mp_register){.instance = (char *)"i",
                             .nonce = nonce,
                             .address = (char *)"",
                             .zone = (char *)""};
    g_assert_cmpint(apply(this, &command), ==, MP_OK);
    this->boot = this->result.number;
}

static int
topup(struct fixture *this, const char *id, int64_t amount_mtok)
{
    struct mp_command command = {.body = {.kind = MP_CMD_TOPUP}};
    command.body.mp_command_body_u.topup =
        (struct mp_topup){.workspace = (char *)"w",
                          .topup_id = (char *)id,
                          .amount_mtok = amount_mtok};
    return apply(this, &command);
}

static int
open_key(struct fixture *this, const char *key, uint64_t open_id,
         bool at_most_once, char hash)
{
    struct mp_command command = {.body = {.kind = MP_CMD_OPEN}};
    struct mp_open *open = &command.body.mp_command_body_u.open;
    *open = (struct mp_open){
        .incarnation = {.instance = (char *)"i", .boot = this->boot},
        .workspace = (char *)"w",
        .key = (char *)key,
        .reserve_mtok = 100,
        .at_most_once = at_most_once,
        .open_id = open_id};
    memset(open->body_hash, hash, MP_HASH_BYTES);
    return apply(this, &command);
}

static int
settle_key(struct fixture *this, const char *key, uint64_t open_id,
           uint64_t boot, enum mp_record_state outcome, int64_t spent_mtok)
{
    struct mp_command command = {.body = {.kind = MP_CMD_SETTLE}};
    command.body.mp_command_body_u.settle = (struct mp_settle){
        .incarnation = {.instance = (char *)"i", .boot = boot},
        .workspace = (char *)"w",
        .key = (char *)key,
        .open_id = open_id,
        .spent_mtok = spent_mtok,
        .outcome = outcome,
        .status = 200,
        .content_type = (char *)"text/plain",
        .answer = {.answer_val = (char *)"yes", .answer_len = 3}};
    return apply(this, &command);
}

static void
set_up(struct fixture *this, const void *data)
{
    (void)data;
    MpMachine_Init(&this->machine);
    register_instance(this, 1);
    g_assert_cmpint(topup(this, "t1", 250), ==, MP_OK);
}

static void
tear_down(struct fixture *this, const void *data)
{
    (void)data;
    g_assert_cmpint(MpLedger_Check(&this->machine.ledger), ==, MP_OK);
    MpMachine_Done(&this->machine);
}

static struct MpAccount *
account(struct fixture *this)
{
    return MpLedger_FindAccount(&this->machine.ledger, "w");
}

static void
test_budget(struct fixture *this, const void *data)
{
    (void)data;
    g_assert_cmpint(open_key(this, "a", 1, false, 1), ==, MP_OK);
    g_assert_cmpint(open_key(this, "b", 2, false, 2), ==, MP_OK);
    /* The open reservations may be released, so c has to wait and is not
     * refused with MP_ERROR_BUDGET yet. */
    g_assert_cmpint(open_key(this, "c", 3, false, 3), ==, MP_ERROR_RECALLING);
    settle_key(this, "a", 1, 1, MP_RECORD_DONE, 30);
    g_assert_cmpint(account(this)->settled_mtok, ==, 30);
    g_assert_cmpint(open_key(this, "c", 3, false, 3), ==, MP_OK);
    settle_key(this, "b", 2, 1, MP_RECORD_DONE, 100);
    settle_key(this, "c", 3, 1, MP_RECORD_DONE, 100);
    g_assert_cmpint(open_key(this, "d", 4, false, 4), ==, MP_ERROR_BUDGET);
}

static void
test_bill_capped(struct fixture *this, const void *data)
{
    (void)data;
    open_key(this, "a", 1, false, 1);
    settle_key(this, "a", 1, 1, MP_RECORD_DONE, 100000);
    g_assert_cmpint(account(this)->settled_mtok, ==, 100);
}

static void
test_topup_idempotent(struct fixture *this, const void *data)
{
    (void)data;
    g_assert_cmpint(topup(this, "t1", 250), ==, MP_OK);
    g_assert_cmpint(account(this)->granted_mtok, ==, 250);
    g_assert_cmpint(topup(this, "t2", INT64_MAX), ==, MP_ERROR_OVERFLOW);
    g_assert_cmpint(topup(this, "t3", -1), ==, MP_ERROR_OVERFLOW);
}

static void
test_at_most_once(struct fixture *this, const void *data)
{
    (void)data;
    g_assert_cmpint(open_key(this, "a", 1, true, 1), ==, MP_OK);
    g_assert_cmpint(open_key(this, "a", 2, true, 1), ==, MP_ERROR_IN_PROGRESS);
    settle_key(this, "a", 1, 1, MP_RECORD_DONE, 100);
    g_assert_cmpint(open_key(this, "a", 3, true, 1), ==,
                    MP_ERROR_ALREADY_ANSWERED);
    g_assert_cmpmem(this->result.answer.answer_val,
                    this->result.answer.answer_len, "yes", 3);
    g_assert_cmpint(open_key(this, "a", 4, true, 2), ==, MP_ERROR_KEY_REUSED);
}

static void
test_fence_unknown(struct fixture *this, const void *data)
{
    (void)data;
    open_key(this, "a", 1, true, 1);
    open_key(this, "b", 2, false, 2);
    register_instance(this, 2);
    g_assert_cmpint(account(this)->reserved_mtok, ==, 0);
    g_assert_cmpint(account(this)->settled_mtok, ==, 100);
    g_assert_cmpint(open_key(this, "a", 3, true, 1), ==,
                    MP_ERROR_OUTCOME_UNKNOWN);
    g_assert_cmpint(open_key(this, "b", 4, false, 2), ==, MP_OK);
    /* A late settle of the fenced incarnation stores the answer without
     * billing it again. */
    g_assert_cmpint(settle_key(this, "a", 1, 1, MP_RECORD_DONE, 100), ==,
                    MP_OK);
    g_assert_cmpint(account(this)->settled_mtok, ==, 100);
    g_assert_cmpint(settle_key(this, "b", 2, 1, MP_RECORD_DONE, 100), ==,
                    MP_ERROR_STALE);
}

static void
test_late_open(struct fixture *this, const void *data)
{
    (void)data;
    settle_key(this, "a", 1, 1, MP_RECORD_NOT_RUN, 0);
    g_assert_cmpint(open_key(this, "a", 1, true, 1), ==, MP_ERROR_STALE);
    g_assert_cmpint(account(this)->reserved_mtok, ==, 0);
    g_assert_cmpint(open_key(this, "a", 2, true, 1), ==, MP_OK);
}

static void
test_takeover_bills_once(struct fixture *this, const void *data)
{
    (void)data;
    open_key(this, "a", 1, false, 1);
    g_assert_cmpint(open_key(this, "a", 2, false, 1), ==, MP_OK);
    g_assert_cmpint(account(this)->reserved_mtok, ==, 100);
    g_assert_cmpint(settle_key(this, "a", 1, 1, MP_RECORD_DONE, 50), ==,
                    MP_ERROR_STALE);
    g_assert_cmpint(settle_key(this, "a", 2, 1, MP_RECORD_DONE, 60), ==,
                    MP_OK);
    g_assert_cmpint(settle_key(this, "a", 2, 1, MP_RECORD_DONE, 60), ==,
                    MP_OK);
    g_assert_cmpint(account(this)->settled_mtok, ==, 60);
}

static void
test_cancelled_bills_once(struct fixture *this, const void *data)
{
    (void)data;
    open_key(this, "a", 1, false, 1);
    settle_key(this, "a", 1, 1, MP_RECORD_CANCELLED, 40);
    g_assert_cmpint(account(this)->settled_mtok, ==, 40);
    g_assert_cmpint(open_key(this, "a", 2, false, 1), ==, MP_OK);
    settle_key(this, "a", 2, 1, MP_RECORD_DONE, 70);
    g_assert_cmpint(account(this)->settled_mtok, ==, 70);
}

static void
test_retention(struct fixture *this, const void *data)
{
    (void)data;
    struct mp_command later = {.at_ms = MP_RETENTION_MS + 1};
    open_key(this, "a", 1, true, 1);
    settle_key(this, "a", 1, 1, MP_RECORD_DONE, 100);
    apply(this, &later);
    g_assert_null(MpLedger_FindRecord(&this->machine.ledger, "w", "a"));
    g_assert_cmpint(account(this)->settled_mtok, ==, 100);
}

static void
test_poison(struct fixture *this, const void *data)
{
    (void)data;
    struct mp_command command = {.body = {.kind = MP_CMD_POISON}};
    struct mp_poison *poison = &command.body.mp_command_body_u.poison;
    memset(poison->body_hash, 7, MP_HASH_BYTES);
    poison->workspace = (char *)"w";
    poison->key = (char *)"a";
    poison->open_id = 1;
    poison->target = (char *)"engine-1";
    apply(this, &command);
    apply(this, &command);
    g_assert_cmpint(open_key(this, "a", 1, false, 7), ==, MP_OK);
    /* Only one attempt at a time may run a suspect request. */
    g_assert_cmpint(open_key(this, "e", 9, false, 7), ==, MP_ERROR_HELD_BACK);
    poison->target = (char *)"engine-2";
    apply(this, &command);
    g_assert_cmpint(open_key(this, "b", 2, false, 7), ==, MP_ERROR_POISON);
    g_assert_cmpint(open_key(this, "c", 3, false, 8), ==, MP_OK);
}

/* Crashes of one target that restarts under the same name each time. */
static void
test_poison_same_target(struct fixture *this, const void *data)
{
    (void)data;
    struct mp_command command = {.at_ms = 1000,
                                 .body = {.kind = MP_CMD_POISON}};
    struct mp_poison *poison = &command.body.mp_command_body_u.poison;
    memset(poison->body_hash, 7, MP_HASH_BYTES);
    poison->workspace = (char *)"w";
    poison->key = (char *)"a";
    poison->open_id = 1;
    poison->target = (char *)"engine-1";
    apply(this, &command);
    command.at_ms += MP_SAME_CRASH_MS;
    apply(this, &command);
    g_assert_cmpint((int)this->result.number, ==, 1);
    command.at_ms++;
    apply(this, &command);
    g_assert_cmpint(open_key(this, "b", 2, false, 7), ==, MP_ERROR_POISON);
    /* A crash of the run that was admitted after the first crash counts, even
     * within MP_SAME_CRASH_MS. */
    memset(poison->body_hash, 8, MP_HASH_BYTES);
    apply(this, &command);
    g_assert_cmpint(open_key(this, "c", 3, false, 8), ==, MP_OK);
    poison->key = (char *)"c";
    poison->open_id = 3;
    apply(this, &command);
    g_assert_cmpint(open_key(this, "d", 4, false, 8), ==, MP_ERROR_POISON);
}

/* A target crashed while it ran a request that is sound; its trial is
 * answered. An answer to an attempt from before the crash says nothing of it.
 */
static void
test_answer_clears_suspect(struct fixture *this, const void *data)
{
    (void)data;
    struct mp_command command = {.at_ms = 1000,
                                 .body = {.kind = MP_CMD_POISON}};
    struct mp_poison *poison = &command.body.mp_command_body_u.poison;
    g_assert_cmpint(topup(this, "t2", 1000), ==, MP_OK);
    g_assert_cmpint(open_key(this, "a", 1, false, 7), ==, MP_OK);
    memset(poison->body_hash, 7, MP_HASH_BYTES);
    poison->workspace = (char *)"w";
    poison->key = (char *)"a";
    poison->open_id = 1;
    poison->target = (char *)"engine-1";
    apply(this, &command);
    g_assert_cmpint(settle_key(this, "a", 1, this->boot, MP_RECORD_DONE, 10),
                    ==, MP_OK);
    g_assert_cmpint(open_key(this, "b", 2, false, 7), ==, MP_OK);
    g_assert_cmpint(open_key(this, "c", 3, false, 7), ==, MP_ERROR_HELD_BACK);
    g_assert_cmpint(settle_key(this, "b", 2, this->boot, MP_RECORD_DONE, 10),
                    ==, MP_OK);
    g_assert_cmpint(open_key(this, "c", 3, false, 7), ==, MP_OK);
    g_assert_cmpint(open_key(this, "d", 4, false, 7), ==, MP_OK);
}

#define CASE(name, function)                                                  \
    g_test_add("/ledger/" name, struct fixture, NULL, set_up, function,       \
               tear_down)

/* A top-up that is refused changes nothing: it makes no account, and leaves
 * the balance of an existing one. */
static void
test_topup_refused(struct fixture *this, const void *data)
{
    (void)data;
    struct MpLedger *ledger = &this->machine.ledger;
    guint before = g_hash_table_size(ledger->accounts);
    struct mp_command command = {.body = {.kind = MP_CMD_TOPUP}};
    command.body.mp_command_body_u.topup =
        (struct mp_topup){.workspace = (char *)"unknown",
                          .topup_id = (char *)"t1",
                          .amount_mtok = MP_AMOUNT_MAX_MTOK + 1};
    g_assert_cmpint(apply(this, &command), ==, MP_ERROR_OVERFLOW);
    g_assert_cmpuint(g_hash_table_size(ledger->accounts), ==, before);
    int64_t granted_mtok = MpLedger_FindAccount(ledger, "w")->granted_mtok;
    g_assert_cmpint(topup(this, "t2", MP_AMOUNT_MAX_MTOK), ==,
                    MP_ERROR_OVERFLOW);
    g_assert_cmpint(MpLedger_FindAccount(ledger, "w")->granted_mtok, ==,
                    granted_mtok);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    CASE("the budget is never exceeded", test_budget);
    CASE("a charge is capped by its reservation", test_bill_capped);
    CASE("a repeated top-up is applied once", test_topup_idempotent);
    CASE("a refused top-up changes nothing", test_topup_refused);
    CASE("a booking runs once", test_at_most_once);
    CASE("a fence resolves open records", test_fence_unknown);
    CASE("a late open reserves nothing", test_late_open);
    CASE("a takeover is billed once", test_takeover_bills_once);
    CASE("a cancelled attempt is billed once", test_cancelled_bills_once);
    CASE("records expire after the retention time", test_retention);
    CASE("a poison request is stopped", test_poison);
    CASE("repeated crashes of one target count", test_poison_same_target);
    CASE("an answered trial clears a suspect", test_answer_clears_suspect);
    return g_test_run();
}
