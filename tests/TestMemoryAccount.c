#include "coordination/MemoryAccount.h"

#include <glib.h>

/* Crowds of clients against one account, without a network: bodies left open,
 * bodies at slow targets, responses left unread.  Guards against an account
 * that is exceeded, closes the wrong ones or locks ordinary requests out. */

#define MB (INT64_C(1) << 20)
#define LIMIT_BYTES (12 * MB)
#define CROWD 80

struct client {
    struct MpMemoryHolder memory;
    bool is_refused;
    bool is_closed;
};

struct play {
    struct MpMemoryAccount account;
    struct client clients[CROWD];
    int64_t now_ms;
};

static void
close_client(struct MpMemoryHolder *holder)
{
    struct client *client = holder->owner;
    client->is_closed = true;
    MpMemoryAccount_Set(holder->account, holder, 0, holder->progress_ms);
}

static struct play *
play_new(enum MpMemoryUse use)
{
    struct play *this = g_new0(struct play, 1);
    MpMemoryAccount_Init(&this->account, LIMIT_BYTES);
    for (int i = 0; i < CROWD; i++) {
        this->clients[i].memory = (struct MpMemoryHolder){
            .use = use, .close = close_client, .owner = &this->clients[i]};
    }
    return this;
}

/* Holds bytes as transport does: closes silent holders, or refuses. */
static bool
hold(struct play *this, struct client *client, int64_t bytes)
{
    while (!MpMemoryAccount_Fits(&this->account, &client->memory, bytes)) {
        struct MpMemoryHolder *silent = MpMemoryAccount_PickSilent(
            &this->account, &client->memory, this->now_ms);
        if (!silent) {
            client->is_refused = true;
            MpMemoryAccount_Set(&this->account, &client->memory, 0,
                                this->now_ms);
            return false;
        }
        MpMemoryAccount_NoteClosing(&this->account, silent);
        silent->close(silent);
    }
    MpMemoryAccount_Set(&this->account, &client->memory, bytes, this->now_ms);
    g_assert_cmpint(this->account.held_bytes, <=, LIMIT_BYTES);
    return true;
}

static int
count_holding(const struct play *this)
{
    int count = 0;
    for (int i = 0; i < CROWD; i++) {
        count += this->clients[i].memory.held_bytes > 0;
    }
    return count;
}

/* All but the last bytes of announced bodies arrive, and nothing more. */
static void
test_open_bodies(void)
{
    struct play *this = play_new(MP_MEMORY_READING);
    for (int i = 0; i < CROWD - 2; i++) {
        hold(this, &this->clients[i], MB);
    }
    g_assert_cmpint(count_holding(this), ==, 10);
    /* Small requests are served beside them. */
    g_assert_true(hold(this, &this->clients[CROWD - 2], 2000));
    /* A large one is, once they are silent. */
    g_assert_false(hold(this, &this->clients[CROWD - 1], MB));
    this->now_ms += MP_MEMORY_SILENT_MS;
    g_assert_true(hold(this, &this->clients[CROWD - 1], MB));
    g_assert_cmpint(this->account.closed[MP_MEMORY_READING], ==, 1);
    g_free(this);
}

/* Bodies grow by chunks, all at the same speed. */
static void
test_chunks(void)
{
    struct play *this = play_new(MP_MEMORY_READING);
    for (int64_t bytes = 32768; bytes <= MB; bytes += 32768) {
        for (int i = 0; i < CROWD; i++) {
            if (!this->clients[i].is_refused) {
                hold(this, &this->clients[i], bytes);
            }
        }
        this->now_ms += 10;
    }
    g_assert_cmpint(count_holding(this), ==, 10);
    g_assert_cmpint(this->account.closed[MP_MEMORY_READING], ==, 0);
    g_free(this);
}

/* Requests at slow targets are never closed, however long they take. */
static void
test_slow_targets(void)
{
    struct play *this = play_new(MP_MEMORY_READING);
    for (int i = 0; i < CROWD; i++) {
        if (hold(this, &this->clients[i], MB)) {
            this->clients[i].memory.use = MP_MEMORY_RUNNING;
        }
        this->now_ms += MP_MEMORY_SILENT_MS;
    }
    g_assert_cmpint(count_holding(this), ==, 10);
    for (int i = 0; i < CROWD; i++) {
        g_assert_false(this->clients[i].is_closed);
    }
    g_free(this);
}

/* Responses grow without being asked for; the account is relieved after each
 * round.  Those without progress go first, then those that hold most. */
static void
test_unread_responses(void)
{
    struct play *this = play_new(MP_MEMORY_SENDING);
    for (int i = 0; i < CROWD; i++) {
        MpMemoryAccount_Set(&this->account, &this->clients[i].memory,
                            100000 + i, i < 5 ? 0 : MP_MEMORY_SILENT_MS);
    }
    this->now_ms = MP_MEMORY_SILENT_MS;
    g_assert_null(MpMemoryAccount_PickWorst(&this->account, this->now_ms));
    for (int i = 0; i < CROWD; i++) {
        MpMemoryAccount_Set(&this->account, &this->clients[i].memory,
                            160000 + i, i < 5 ? 0 : this->now_ms);
    }
    struct MpMemoryHolder *worst;
    int closed = 0;
    while ((worst = MpMemoryAccount_PickWorst(&this->account, this->now_ms))) {
        const struct client *expected =
            &this->clients[closed < 5 ? 4 - closed : CROWD + 4 - closed];
        g_assert_true(worst->owner == expected);
        MpMemoryAccount_NoteClosing(&this->account, worst);
        closed++;
    }
    g_assert_cmpint(closed, ==, 2);
    /* Their bytes are free once they are closed. */
    g_assert_cmpint(this->account.closing_bytes, ==, 160004 + 160003);
    for (int i = 0; i < CROWD; i++) {
        MpMemoryAccount_Set(&this->account, &this->clients[i].memory, 0, 0);
    }
    g_assert_cmpint(this->account.closing_bytes, ==, 0);
    g_assert_cmpint(this->account.held_bytes, ==, 0);
    g_assert_cmpint(this->account.holders.length, ==, 0);
    g_free(this);
}

/* A request is closed before a response, and a larger one before others. */
static void
test_order(void)
{
    struct play *this = play_new(MP_MEMORY_READING);
    this->clients[0].memory.use = MP_MEMORY_SENDING;
    this->clients[1].memory.use = MP_MEMORY_RUNNING;
    MpMemoryAccount_Set(&this->account, &this->clients[0].memory, 9 * MB, 0);
    MpMemoryAccount_Set(&this->account, &this->clients[1].memory, 9 * MB, 0);
    MpMemoryAccount_Set(&this->account, &this->clients[2].memory, MB, 0);
    MpMemoryAccount_Set(&this->account, &this->clients[3].memory, 2 * MB, 0);
    static const int order[] = {3, 2, 0};
    for (int i = 0; i < 2; i++) {
        struct MpMemoryHolder *worst =
            MpMemoryAccount_PickWorst(&this->account, 0);
        g_assert_true(worst == &this->clients[order[i]].memory);
        MpMemoryAccount_NoteClosing(&this->account, worst);
        worst->close(worst);
    }
    g_assert_true(MpMemoryAccount_PickWorst(&this->account, 0) ==
                  &this->clients[0].memory);
    /* One that never made progress goes first, whatever it holds. */
    MpMemoryAccount_Set(&this->account, &this->clients[4].memory, 1, -5000);
    g_assert_true(MpMemoryAccount_PickWorst(&this->account, 0) ==
                  &this->clients[4].memory);
    g_free(this);
}

/* What waits behind running requests makes no room for others, and is closed
 * while the account is exceeded, before responses. */
static void
test_ahead(void)
{
    struct play *this = play_new(MP_MEMORY_READING);
    this->clients[0].memory.use = MP_MEMORY_SENDING;
    this->clients[1].memory.use = MP_MEMORY_AHEAD;
    MpMemoryAccount_Set(&this->account, &this->clients[0].memory, 9 * MB,
                        MP_MEMORY_SILENT_MS);
    MpMemoryAccount_Set(&this->account, &this->clients[1].memory, 2 * MB, 0);
    this->now_ms = MP_MEMORY_SILENT_MS;
    g_assert_false(hold(this, &this->clients[2], MB));
    g_assert_false(this->clients[1].is_closed);
    g_assert_null(MpMemoryAccount_PickWorst(&this->account, this->now_ms));
    MpMemoryAccount_Set(&this->account, &this->clients[1].memory, 4 * MB,
                        this->now_ms);
    g_assert_true(MpMemoryAccount_PickWorst(&this->account, this->now_ms) ==
                  &this->clients[1].memory);
    g_free(this);
}

/* Several bodies of the largest size always fit. */
static void
test_limits(void)
{
    static const int64_t memories_mb[] = {0, 16, 110, 120, 160, 400};
    for (size_t i = 0; i < G_N_ELEMENTS(memories_mb); i++) {
        for (int64_t body = MB; body <= 64 * MB; body *= 2) {
            struct play *this = play_new(MP_MEMORY_READING);
            MpMemoryAccount_Init(
                &this->account,
                MpMemoryAccount_LimitOf(memories_mb[i] * MB, body));
            for (int client = 0; client < 4; client++) {
                struct MpMemoryHolder *memory = &this->clients[client].memory;
                g_assert_true(
                    MpMemoryAccount_Fits(&this->account, memory, body));
                MpMemoryAccount_Set(&this->account, memory, body, 0);
            }
            g_free(this);
        }
    }
    /* The machines in service: the account and the process fit. */
    g_assert_cmpint(MpMemoryAccount_LimitOf(110 * MB, 4 * MB), <=, 60 * MB);
    g_assert_cmpint(MpMemoryAccount_LimitOf(110 * MB, 4 * MB), >=, 50 * MB);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/memory/open-bodies", test_open_bodies);
    g_test_add_func("/memory/chunks", test_chunks);
    g_test_add_func("/memory/slow-targets", test_slow_targets);
    g_test_add_func("/memory/unread-responses", test_unread_responses);
    g_test_add_func("/memory/order", test_order);
    g_test_add_func("/memory/bytes behind a running request", test_ahead);
    g_test_add_func("/memory/limits", test_limits);
    return g_test_run();
}
