#include "transport/CallerProbe.h"

#include "transport/HttpServer.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>

/* Interval at which the connection is looked at, ms. */
#define LOOK_MS 5
#define HTTP_1_1 0x101

#define INTERIM_RESPONSE "HTTP/1.1 100 Continue\r\n\r\n"

struct MpCallerProbe {
    struct MpLoop *loop;
    struct MpTimer timer;
    struct probe_link *link; /* NULL: h2o is done with the request */
    int64_t until_ms;
    MpCallerProbeDone done;
    void *owner;
};

/* Allocated with the request's memory, as the request may end first. */
struct probe_link {
    struct MpCallerProbe *probe;
    int fd;
};

static int
get_fd(const h2o_req_t *req)
{
    return h2o_socket_get_fd(req->conn->callbacks->get_socket(req->conn));
}

static bool
get_info(int fd, struct tcp_info *info)
{
    socklen_t size = sizeof(*info);
    memset(info, 0, sizeof(*info));
    return getsockopt(fd, IPPROTO_TCP, TCP_INFO, info, &size) == 0;
}

int64_t
MpCallerProbe_ClosedMs(const struct MpLoop *loop, const h2o_req_t *req)
{
    struct tcp_info info;
    int64_t delay_ms = MpLoop_DelayMs(loop);
    if (!get_info(get_fd(req), &info)) {
        return MpHttp_IsDisconnected(req) ? delay_ms : -1;
    }
    if (info.tcpi_state == TCP_ESTABLISHED) {
        return -1;
    }
    /* The last segment that the caller sent was its FIN, or came later. */
    return MAX((int64_t)info.tcpi_last_ack_recv, delay_ms);
}

bool
MpCallerProbe_IsPossible(const h2o_req_t *req)
{
    return req->version >= HTTP_1_1 && req->_generator == NULL;
}

void
MpCallerProbe_Count(struct MpMetrics *metrics, bool has_left)
{
    MpMetrics_Count(metrics, "mimosapath_callers_probed_total", "left",
                    has_left ? "yes" : "no", 1);
}

static void
on_request_freed(void *data)
{
    struct probe_link *link = data;
    if (link->probe) {
        link->probe->link = NULL;
    }
}

static bool
is_reset(int fd)
{
    struct pollfd poll_fd = {.fd = fd};
    return poll(&poll_fd, 1, 0) > 0 &&
           (poll_fd.revents & (POLLERR | POLLHUP | POLLNVAL)) != 0;
}

static bool
is_acknowledged(int fd)
{
    struct tcp_info info;
    return get_info(fd, &info) && info.tcpi_unacked == 0;
}

static void
finish(struct MpCallerProbe *this, bool has_left)
{
    MpCallerProbeDone done = this->done;
    void *owner = this->owner;
    MpCallerProbe_Cancel(this);
    done(owner, has_left);
}

static void
on_timer(struct MpTimer *timer)
{
    struct MpCallerProbe *this = timer->data;
    if (!this->link || is_reset(this->link->fd)) {
        finish(this, true);
    }
    else if (is_acknowledged(this->link->fd) ||
             MpLoop_Now() >= this->until_ms) {
        finish(this, false);
    }
    else {
        MpLoop_SetTimer(this->loop, timer, LOOK_MS, on_timer, this);
    }
}

struct MpCallerProbe *
MpCallerProbe_Start(struct MpLoop *loop, h2o_req_t *req,
                    MpCallerProbeDone done, void *owner)
{
    struct MpCallerProbe *this = g_new(struct MpCallerProbe, 1);
    struct probe_link *link =
        h2o_mem_alloc_shared(&req->pool, sizeof(*link), on_request_freed);
    *link = (struct probe_link){.probe = this, .fd = get_fd(req)};
    *this =
        (struct MpCallerProbe){.loop = loop,
                               .link = link,
                               .until_ms = MpLoop_Now() + MP_CALLER_PROBE_MS,
                               .done = done,
                               .owner = owner};
    /* h2o writes nothing while it waits for the response. */
    send(link->fd, INTERIM_RESPONSE, strlen(INTERIM_RESPONSE),
         MSG_DONTWAIT | MSG_NOSIGNAL);
    MpLoop_SetTimer(loop, &this->timer, LOOK_MS, on_timer, this);
    return this;
}

void
MpCallerProbe_Cancel(struct MpCallerProbe *this)
{
    MpLoop_ClearTimer(&this->timer);
    if (this->link) {
        this->link->probe = NULL;
    }
    g_free(this);
}
