#include "transport/Loop.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define LISTEN_BACKLOG 4096
#define WAIT_MAX_MS 1000
/* Buffers of this size or more are freed when they are empty, bytes. */
#define KEPT_BYTES (16 * 1024)

int64_t
MpLoop_Now(void)
{
    return g_get_monotonic_time() / 1000;
}

int64_t
MpLoop_BootMs(void)
{
    struct timespec now;
    clock_gettime(CLOCK_BOOTTIME, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t
MpLoop_WallMs(void)
{
    return g_get_real_time() / 1000;
}

void
MpLoop_Init(struct MpLoop *this)
{
    *this = (struct MpLoop){.now_ms = MpLoop_Now()};
    this->h2o = h2o_evloop_create();
    this->queue = h2o_multithread_create_queue(this->h2o);
    this->timers = g_sequence_new(NULL);
    this->hooks = g_array_new(false, false, sizeof(struct MpLoopHook));
}

void
MpLoop_Done(struct MpLoop *this)
{
    g_sequence_free(this->timers);
    g_array_unref(this->hooks);
    /* h2o cannot close a loop that has sockets; this one is left to the end of
     * the process. */
}

void
MpLoop_AddHook(struct MpLoop *this, void (*call)(void *data), void *data)
{
    struct MpLoopHook hook = {.call = call, .data = data};
    g_array_append_val(this->hooks, hook);
}

/* ---- timers ---- */

static gint
compare_timers(gconstpointer a, gconstpointer b, gpointer user_data)
{
    (void)user_data;
    const struct MpTimer *x = a;
    const struct MpTimer *y = b;
    return x->at_ms < y->at_ms ? -1 : x->at_ms > y->at_ms;
}

void
MpLoop_ClearTimer(struct MpTimer *timer)
{
    if (timer->position) {
        g_sequence_remove(timer->position);
        timer->position = NULL;
    }
}

void
MpLoop_SetTimer(struct MpLoop *this, struct MpTimer *timer, int64_t delay_ms,
                MpTimerCallback callback, void *data)
{
    MpLoop_ClearTimer(timer);
    timer->callback = callback;
    timer->data = data;
    timer->at_ms = MpLoop_Now() + delay_ms;
    timer->position =
        g_sequence_insert_sorted(this->timers, timer, compare_timers, NULL);
}

static struct MpTimer *
first_timer(const struct MpLoop *this)
{
    GSequenceIter *first = g_sequence_get_begin_iter(this->timers);
    return g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
}

static int32_t
wait_ms(struct MpLoop *this)
{
    struct MpTimer *timer = first_timer(this);
    if (!timer) {
        return WAIT_MAX_MS;
    }
    return (int32_t)CLAMP(timer->at_ms - MpLoop_Now(), 0, WAIT_MAX_MS);
}

static void
fire_timers(struct MpLoop *this)
{
    struct MpTimer *timer;
    this->now_ms = MpLoop_Now();
    timer = first_timer(this);
    this->late_ms = timer ? MAX(this->now_ms - timer->at_ms, 0) : 0;
    while ((timer = first_timer(this)) && timer->at_ms <= this->now_ms) {
        MpLoop_ClearTimer(timer);
        timer->callback(timer);
    }
}

int64_t
MpLoop_DelayMs(const struct MpLoop *this)
{
    const struct MpTimer *timer = first_timer(this);
    int64_t late_ms = timer ? MpLoop_Now() - timer->at_ms : 0;
    return MAX(late_ms, this->late_ms);
}

/* Runs the pending callbacks of sockets that timers and hooks have used.  h2o
 * frees a closed socket at the start of its next iteration, even if a callback
 * of the socket is still pending. */
static void
run_socket_callbacks(struct MpLoop *this)
{
    h2o_timeout__do_post_callback(this->h2o);
}

void
MpLoop_Run(struct MpLoop *this)
{
    while (!this->is_stopped) {
        h2o_evloop_run(this->h2o, wait_ms(this));
        fire_timers(this);
        run_socket_callbacks(this);
        for (guint i = 0; i < this->hooks->len; i++) {
            struct MpLoopHook *hook =
                &g_array_index(this->hooks, struct MpLoopHook, i);
            hook->call(hook->data);
        }
        run_socket_callbacks(this);
    }
}

void
MpLoop_Stop(struct MpLoop *this)
{
    this->is_stopped = true;
}

/* ---- messages ---- */

void
MpLoop_PopMessages(h2o_linklist_t *messages, GPtrArray *out)
{
    while (!h2o_linklist_is_empty(messages)) {
        h2o_multithread_message_t *message = H2O_STRUCT_FROM_MEMBER(
            h2o_multithread_message_t, link, messages->next);
        h2o_linklist_unlink(&message->link);
        g_ptr_array_add(out, message);
    }
}

/* ---- sockets ---- */

void
MpLoop_FreeInput(h2o_socket_t *socket)
{
    h2o_buffer_t *input = socket->input;
    if (input->size == 0 && input->bytes && input->capacity >= KEPT_BYTES) {
        h2o_buffer_dispose(&socket->input);
        h2o_buffer_init(&socket->input, &h2o_socket_buffer_prototype);
    }
}

void
MpLoop_ConsumeArray(GByteArray **array, size_t size)
{
    if (size < (*array)->len || size < KEPT_BYTES) {
        g_byte_array_remove_range(*array, 0, (guint)size);
        return;
    }
    g_byte_array_unref(*array);
    *array = g_byte_array_new();
}

bool
MpLoop_ParseAddress(const char *address, struct sockaddr_in *out)
{
    char host[INET_ADDRSTRLEN];
    const char *colon = strrchr(address, ':');
    if (!colon || (size_t)(colon - address) >= sizeof(host)) {
        return false;
    }
    memcpy(host, address, (size_t)(colon - address));
    host[colon - address] = '\0';
    *out = (struct sockaddr_in){
        .sin_family = AF_INET,
        .sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10))};
    return inet_pton(AF_INET, host, &out->sin_addr) == 1;
}

static void
set_receive_buffer(int fd, int bytes)
{
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
}

void
MpLoop_SetReceiveBuffer(h2o_socket_t *socket, int bytes)
{
    set_receive_buffer(h2o_socket_get_fd(socket), bytes);
}

/* Listens; receive_bytes is the receive buffer of accepted connections, 0: the
 * system chooses. */
static h2o_socket_t *
listen_on(struct MpLoop *this, const char *address, int receive_bytes,
          h2o_socket_cb on_accept, void *data, uint16_t *port)
{
    struct sockaddr_in addr;
    socklen_t length = sizeof(addr);
    int yes = 1;
    if (!MpLoop_ParseAddress(address, &addr)) {
        return NULL;
    }
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return NULL;
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    if (receive_bytes > 0) {
        /* Accepted sockets inherit it. */
        set_receive_buffer(fd, receive_bytes);
    }
    if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0 ||
        listen(fd, LISTEN_BACKLOG) != 0 ||
        getsockname(fd, (struct sockaddr *)&addr, &length) != 0) {
        close(fd);
        return NULL;
    }
    if (port) {
        *port = ntohs(addr.sin_port);
    }
    h2o_socket_t *socket =
        h2o_evloop_socket_create(this->h2o, fd, H2O_SOCKET_FLAG_DONT_READ);
    socket->data = data;
    h2o_socket_read_start(socket, on_accept);
    return socket;
}

h2o_socket_t *
MpLoop_Listen(struct MpLoop *this, const char *address,
              h2o_socket_cb on_accept, void *data, uint16_t *port)
{
    return listen_on(this, address, MP_RECEIVE_BYTES, on_accept, data, port);
}

h2o_socket_t *
MpLoop_ListenForPeers(struct MpLoop *this, const char *address,
                      h2o_socket_cb on_accept, void *data, uint16_t *port)
{
    return listen_on(this, address, 0, on_accept, data, port);
}
