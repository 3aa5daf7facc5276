/* Test of the event loop: closing a socket from a timer callback while the
 * callback of a completed write is pending. */

#include "transport/Loop.h"

#include <sys/socket.h>
#include <unistd.h>

/* Overwrites freed memory, so that a use after free fails every time, in
 * libraries too. */
const char *
__asan_default_options(void)
{
    return "max_free_fill_size=4096:free_fill_byte=85:detect_leaks=0";
}

struct fixture {
    struct MpLoop loop;
    struct MpTimer timer;
    h2o_socket_t *socket;
    int close_count;
};

static void
ignore_written(h2o_socket_t *socket, const char *error)
{
    (void)socket;
    (void)error;
}

static void
stop_loop(struct MpTimer *timer)
{
    struct fixture *this = timer->data;
    MpLoop_Stop(&this->loop);
}

/* The write completes immediately, but its callback is still pending when the
 * socket is closed. */
static void
write_and_close(struct MpTimer *timer)
{
    struct fixture *this = timer->data;
    h2o_iovec_t buffer = h2o_iovec_init(H2O_STRLIT("x"));
    h2o_socket_write(this->socket, &buffer, 1, ignore_written);
    h2o_socket_close(this->socket);
    this->close_count++;
    MpLoop_SetTimer(&this->loop, &this->timer, 20, stop_loop, this);
}

static void
test_close_after_write(void)
{
    int sockets[2];
    struct fixture fixture = {.close_count = 0};
    g_assert_cmpint(
        socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets), ==, 0);
    MpLoop_Init(&fixture.loop);
    fixture.socket = h2o_evloop_socket_create(fixture.loop.h2o, sockets[0],
                                              H2O_SOCKET_FLAG_DONT_READ);
    MpLoop_SetTimer(&fixture.loop, &fixture.timer, 1, write_and_close,
                    &fixture);
    MpLoop_Run(&fixture.loop);
    g_assert_cmpint(fixture.close_count, ==, 1);
    close(sockets[1]);
    MpLoop_Done(&fixture.loop);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/loop/a timer may close a socket after writing to it",
                    test_close_after_write);
    return g_test_run();
}
