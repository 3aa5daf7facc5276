#include "transport/Loop.h"

#include <sys/socket.h>
#include <unistd.h>

/* Freed memory is overwritten, so that code that still uses it fails each
 * time, libraries included. */
const char *
__asan_default_options(void)
{
    return "max_free_fill_size=4096:free_fill_byte=85:detect_leaks=0";
}

struct closing {
    struct MpLoop loop;
    struct MpTimer timer;
    h2o_socket_t *socket;
    int rounds;
};

static void
on_written(h2o_socket_t *socket, const char *error)
{
    (void)socket;
    (void)error;
}

static void
on_end(struct MpTimer *timer)
{
    struct closing *this = timer->data;
    MpLoop_Stop(&this->loop);
}

/* The write is done at once; its callback waits while the socket goes. */
static void
on_close(struct MpTimer *timer)
{
    struct closing *this = timer->data;
    h2o_iovec_t buffer = h2o_iovec_init(H2O_STRLIT("x"));
    h2o_socket_write(this->socket, &buffer, 1, on_written);
    h2o_socket_close(this->socket);
    this->rounds++;
    MpLoop_SetTimer(&this->loop, &this->timer, 20, on_end, this);
}

static void
test_close_after_write(void)
{
    int ends[2];
    struct closing closing = {.rounds = 0};
    g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends),
                    ==, 0);
    MpLoop_Init(&closing.loop);
    closing.socket = h2o_evloop_socket_create(closing.loop.h2o, ends[0],
                                              H2O_SOCKET_FLAG_DONT_READ);
    MpLoop_SetTimer(&closing.loop, &closing.timer, 1, on_close, &closing);
    MpLoop_Run(&closing.loop);
    g_assert_cmpint(closing.rounds, ==, 1);
    close(ends[1]);
    MpLoop_Done(&closing.loop);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/loop/a timer may close a socket that it wrote to",
                    test_close_after_write);
    return g_test_run();
}
