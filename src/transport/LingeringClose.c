#include "transport/LingeringClose.h"

#include "transport/Log.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

struct lingering {
    struct MpLingeringClose *owner;
    GList link;
    h2o_socket_t *socket;
    struct MpTimer timer;
    size_t dropped_bytes;
};

static void
linger_free(struct lingering *this)
{
    g_queue_unlink(&this->owner->sockets, &this->link);
    MpLoop_ClearTimer(&this->timer);
    h2o_socket_close(this->socket);
    g_free(this);
}

static void
on_timeout(struct MpTimer *timer)
{
    linger_free(timer->data);
}

static void
on_read(h2o_socket_t *socket, const char *error)
{
    struct lingering *this = socket->data;
    this->dropped_bytes += socket->input->size;
    /* A buffer that is consumed keeps its size. */
    h2o_buffer_dispose(&socket->input);
    h2o_buffer_init(&socket->input, &h2o_socket_buffer_prototype);
    if (error || this->dropped_bytes > MP_LINGER_MAX_BYTES) {
        linger_free(this);
    }
}

void
MpLingeringClose_Init(struct MpLingeringClose *this, struct MpLoop *loop)
{
    this->loop = loop;
    this->max = MP_LINGER_MAX_CONNS;
    g_queue_init(&this->sockets);
}

void
MpLingeringClose_Start(struct MpLingeringClose *this, int fd)
{
    if (this->sockets.length >= this->max || shutdown(fd, SHUT_WR) != 0) {
        return;
    }
    int copy = fcntl(fd, F_DUPFD_CLOEXEC, 0);
    if (copy < 0) {
        MpLog_Event(LOG_WARNING, "connection-not-lingering", "error=%s",
                    strerror(errno));
        return;
    }
    struct lingering *linger = g_new0(struct lingering, 1);
    linger->owner = this;
    linger->link.data = linger;
    linger->socket = h2o_evloop_socket_create(this->loop->h2o, copy, 0);
    linger->socket->data = linger;
    g_queue_push_tail_link(&this->sockets, &linger->link);
    MpLoop_SetTimer(this->loop, &linger->timer, MP_LINGER_MS, on_timeout,
                    linger);
    h2o_socket_read_start(linger->socket, on_read);
}
