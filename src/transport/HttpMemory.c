#include "transport/HttpMemory.h"

#include "state/Error.h"
#include "state/Metrics.h"
#include "transport/HttpServer.h"
#include "transport/Log.h"

#include <inttypes.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

/* h2o doubles a buffer that is full.  One of this size or more that is mostly
 * empty is replaced by a smaller one. */
#define BUFFER_KEPT_BYTES (8 * 1024)

/* What h2o and this process keep of a request besides its buffer, bytes: fixed
 * parts, and an entry for each header. */
#define REQUEST_BYTES (6 * 1024)
#define HEADER_BYTES 100
/* Receive buffer of a connection whose request is small, bytes.  What arrives
 * behind a running request waits there and is counted from time to time. */
#define RECEIVE_SMALL_BYTES (16 * 1024)
/* Bytes that are dropped at a time. */
#define DROP_BYTES (16 * 1024)
/* Longest name of a metric. */
#define NAME_BYTES 64

static const char *const use_names[MP_MEMORY_USES] = {"reading", "ahead",
                                                      "running", "sending"};

static const char *const refusal_names[MP_MEMORY_REFUSALS] = {
    "announced", "arrived", "parsed"};

/* ---- h2o's buffer ---- */

static void
free_input(struct MpHttpConn *conn)
{
    h2o_buffer_dispose(&conn->socket->input);
    h2o_buffer_init(&conn->socket->input, &h2o_socket_buffer_prototype);
}

/* Replaces a buffer that is mostly empty: one whose request is done, or one in
 * which h2o has decoded chunks in place.  h2o keeps no pointers to it before
 * the request is complete. */
static void
shrink_input(struct MpHttpConn *conn)
{
    h2o_buffer_t *large = conn->socket->input;
    h2o_buffer_t *small;
    if (large->size == 0) {
        free_input(conn);
        return;
    }
    if (large->capacity < BUFFER_KEPT_BYTES ||
        large->size > large->capacity / 2) {
        return;
    }
    h2o_buffer_init(&small, &h2o_socket_buffer_prototype);
    h2o_iovec_t room = h2o_buffer_reserve(&small, large->size);
    memcpy(room.base, large->bytes, large->size);
    small->size = large->size;
    h2o_buffer_dispose(&conn->socket->input);
    conn->socket->input = small;
}

/* Returns the memory that the buffer takes.  A small one comes from the heap
 * with all of its capacity; of one that is mapped the system provides the
 * pages that were written, and decoding in place gives none of them back. */
static size_t
allocated_bytes(struct MpHttpConn *conn)
{
    const h2o_buffer_t *input = conn->socket->input;
    if (!input->bytes) {
        conn->buffer_used_bytes = 0;
        return 0;
    }
    if (input->capacity != conn->buffer_capacity) {
        conn->buffer_capacity = input->capacity;
        conn->buffer_used_bytes = 0;
    }
    conn->buffer_used_bytes = MAX(conn->buffer_used_bytes, input->size);
    return input->capacity < MP_MAPPED_MIN_BYTES ? input->capacity
                                                 : conn->buffer_used_bytes;
}

/* ---- what the request announces ---- */

/* Returns the size of the head at the start of the buffer, 0 if it is not
 * complete. */
static size_t
head_size(const h2o_buffer_t *input)
{
    const char *end = memmem(input->bytes, input->size, "\r\n\r\n", 4);
    if (end) {
        return (size_t)(end - input->bytes) + 4;
    }
    end = memmem(input->bytes, input->size, "\n\n", 2);
    return end ? (size_t)(end - input->bytes) + 2 : 0;
}

/* Returns the value of the head's Content-Length, or 0. */
static size_t
announced_size(const char *head, size_t size)
{
    static const char name[] = "content-length:";
    const char *end = head + size;
    const char *line = memchr(head, '\n', size);
    for (; line && line + sizeof(name) < end;
         line = memchr(line + 1, '\n', (size_t)(end - line - 1))) {
        if (g_ascii_strncasecmp(line + 1, name, sizeof(name) - 1) == 0) {
            return (size_t)g_ascii_strtoull(line + sizeof(name), NULL, 10);
        }
    }
    return 0;
}

/* Returns what h2o keeps of a head of this size while the body arrives: it
 * copies it, as the buffer may move. */
static size_t
parsed_size(const char *head, size_t size)
{
    const char *end = head + size;
    size_t bytes = REQUEST_BYTES + size;
    for (const char *line = head; (line = memchr(line, '\n', end - line));
         line++) {
        bytes += HEADER_BYTES;
    }
    return bytes;
}

/* Sets what the request will take, once its head has arrived. */
static void
read_announced(struct MpHttpConn *conn)
{
    const h2o_buffer_t *input = conn->socket->input;
    size_t head = conn->has_head || input->size == 0 ? 0 : head_size(input);
    if (head == 0) {
        return;
    }
    size_t body = announced_size(input->bytes, head);
    conn->has_head = true;
    conn->parsed_bytes = parsed_size(input->bytes, head);
    /* h2o refuses more than that itself. */
    if (body <= conn->server->config.max_request_entity_size) {
        conn->announced_bytes = head + body;
    }
}

/* ---- refusals ---- */

/* Refuses a request of which a part has arrived, and frees it.  What the
 * client still sends is dropped until it closes its side. */
static void
refuse(struct MpHttpConn *conn, const char *why)
{
    struct MpMemoryAccount *account = conn->server->account;
    MpLog_Event(LOG_NOTICE, "request-over-memory",
                "why=%s received_bytes=%zu announced_bytes=%zu "
                "silent_ms=%" PRId64 " held_bytes=%" PRId64
                " limit_bytes=%" PRId64,
                why, conn->socket->input->size, conn->announced_bytes,
                MpLoop_Now() - conn->memory.progress_ms, account->held_bytes,
                account->limit_bytes);
    MpHttpConn_Refuse(conn, MP_ERROR_MEMORY, MP_MEMORY_RETRY_AFTER_MS,
                      MP_HTTP_CLOSE_MEMORY);
    MpHttpMemory_Drop(conn);
}

static void
close_holder(struct MpMemoryHolder *holder)
{
    struct MpHttpConn *conn = holder->owner;
    if (conn->closing_ms == 0) {
        refuse(conn, "silent");
    }
    /* Nothing of a silent client is unread, so that the refusal arrives. */
    shutdown(h2o_socket_get_fd(conn->socket), SHUT_RDWR);
}

void
MpHttpMemory_Drop(struct MpHttpConn *conn)
{
    if (conn->server->account) {
        conn->is_dropping = true;
        /* h2o keeps the head until the connection is closed. */
        MpMemoryAccount_Set(conn->server->account, &conn->memory,
                            (int64_t)conn->parsed_bytes, MpLoop_Now());
        free_input(conn);
    }
}

/* ---- the receive buffer ---- */

/* Large bodies are received with a large buffer.  The connection keeps it: the
 * client may send as much at once from then on, and what a smaller one does
 * not hold would be lost and sent again late. */
static void
enlarge_receive_buffer(struct MpHttpConn *conn)
{
    if (!conn->has_large_receive_buffer) {
        conn->has_large_receive_buffer = true;
        MpLoop_SetReceiveBuffer(conn->socket, MP_RECEIVE_BYTES);
    }
}

/* Returns what counts of the receive buffer during a request.  Without one it
 * is empty. */
static size_t
receive_bytes(const struct MpHttpConn *conn)
{
    return conn->has_large_receive_buffer ? MP_RECEIVE_BYTES : 0;
}

/* ---- room ---- */

bool
MpHttpMemory_MakeRoom(struct MpMemoryAccount *account,
                      struct MpMemoryHolder *holder, int64_t bytes,
                      enum MpMemoryRefusal cause)
{
    int64_t now_ms = MpLoop_Now();
    while (!MpMemoryAccount_Fits(account, holder, bytes)) {
        struct MpMemoryHolder *silent =
            MpMemoryAccount_PickSilent(account, holder, now_ms);
        if (!silent) {
            account->refused[cause]++;
            return false;
        }
        MpMemoryAccount_NoteClosing(account, silent);
        silent->close(silent);
    }
    MpMemoryAccount_Set(account, holder, bytes, now_ms);
    return true;
}

/* Counts what has arrived and is announced; returns whether there is room. */
static bool
take_room(struct MpHttpConn *conn)
{
    bool is_announced = conn->announced_bytes > conn->socket->input->size;
    size_t body_bytes = MAX(allocated_bytes(conn), conn->announced_bytes);
    bool is_large = body_bytes > MP_MEMORY_SMALL_BYTES;
    size_t bytes = body_bytes + conn->parsed_bytes +
                   (is_large ? MP_RECEIVE_BYTES : receive_bytes(conn));
    if (!MpHttpMemory_MakeRoom(
            conn->server->account, &conn->memory, (int64_t)bytes,
            is_announced ? MP_MEMORY_ANNOUNCED : MP_MEMORY_ARRIVED)) {
        return false;
    }
    if (is_large) {
        enlarge_receive_buffer(conn);
    }
    return true;
}

/* ---- reading ---- */

static void on_read(h2o_socket_t *socket, const char *error);

static void
hook(struct MpHttpConn *conn)
{
    h2o_socket_cb read = conn->socket->_cb.read;
    if (read && read != on_read) {
        conn->read_by_h2o = read;
        conn->socket->_cb.read = on_read;
    }
}

/* Looks after the connection when this round of the event loop ends. */
static void
watch(struct MpHttpConn *conn)
{
    if (!conn->is_watched) {
        conn->is_watched = true;
        conn->watched_link.data = conn;
        g_queue_push_tail_link(&conn->server->watched, &conn->watched_link);
    }
}

static void
on_read(h2o_socket_t *socket, const char *error)
{
    struct MpHttpConn *conn = socket->on_close.data;
    struct MpHttpServer *server = conn->server;
    if (conn->is_dropping && !error) {
        conn->dropped_bytes += socket->input->size;
        free_input(conn);
        if (conn->dropped_bytes > MP_LINGER_MAX_BYTES) {
            shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
        }
        return;
    }
    if (!error && !conn->request) {
        bool is_parsed = conn->has_head;
        read_announced(conn);
        if (!take_room(conn)) {
            if (!is_parsed) {
                conn->parsed_bytes = 0; /* h2o has not seen the head */
            }
            refuse(conn, "no-room");
            return;
        }
    }
    server->reading = conn;
    conn->read_by_h2o(socket, error);
    if (server->reading != conn) {
        return; /* it was closed */
    }
    server->reading = NULL;
    hook(conn);
    if (!conn->request && h2o_socket_is_writing(socket)) {
        watch(conn); /* 100 (Continue) */
    }
    if (!conn->request && conn->closing_ms == 0 && !conn->is_request_done) {
        shrink_input(conn);
        if (!take_room(conn)) {
            refuse(conn, "no-room");
        }
    }
}

/* ---- what waits behind a running request ---- */

static size_t
unread_bytes(const struct MpHttpConn *conn)
{
    int unread = 0;
    ioctl(h2o_socket_get_fd(conn->socket), FIONREAD, &unread);
    return (size_t)MAX(unread, 0);
}

/* Closes a connection with a request in progress.  What waits on it is
 * dropped, so that its system memory is free, and the end of the connection is
 * seen by those who look for it. */
static void
close_ahead(struct MpMemoryHolder *holder)
{
    struct MpHttpConn *conn = holder->owner;
    char dropped[DROP_BYTES];
    int fd = h2o_socket_get_fd(conn->socket);
    MpLog_Event(LOG_NOTICE, "connection-too-far-ahead",
                "unread_bytes=%zu held_bytes=%" PRId64 " limit_bytes=%" PRId64,
                unread_bytes(conn), conn->server->account->held_bytes,
                conn->server->account->limit_bytes);
    conn->reason = MP_HTTP_CLOSE_MEMORY;
    shutdown(fd, SHUT_RDWR);
    while (recv(fd, dropped, sizeof(dropped), MSG_DONTWAIT) > 0) {
    }
}

void
MpHttpMemory_CountAhead(struct MpHttpConn *conn)
{
    size_t counted = receive_bytes(conn);
    size_t unread = conn->server->account ? unread_bytes(conn) : 0;
    int64_t bytes = unread > counted ? (int64_t)(unread - counted) : 0;
    if (bytes != conn->ahead.held_bytes) {
        MpMemoryAccount_Set(conn->server->account, &conn->ahead, bytes,
                            MpLoop_Now());
    }
}

/* ---- interface ---- */

void
MpHttpMemory_Listen(h2o_socket_t *listener)
{
    MpLoop_SetReceiveBuffer(listener, RECEIVE_SMALL_BYTES);
}

void
MpHttpMemory_Hook(struct MpHttpConn *conn)
{
    if (!conn->server->account) {
        return;
    }
    conn->memory = (struct MpMemoryHolder){
        .use = MP_MEMORY_READING, .close = close_holder, .owner = conn};
    conn->ahead = (struct MpMemoryHolder){
        .use = MP_MEMORY_AHEAD, .close = close_ahead, .owner = conn};
    hook(conn);
}

void
MpHttpMemory_NoteRunning(struct MpHttpConn *conn)
{
    if (conn->server->account) {
        conn->memory.use = MP_MEMORY_RUNNING;
        MpMemoryAccount_Set(conn->server->account, &conn->memory,
                            (int64_t)(allocated_bytes(conn) +
                                      conn->parsed_bytes +
                                      receive_bytes(conn)),
                            MpLoop_Now());
    }
}

void
MpHttpMemory_NoteDone(struct MpHttpConn *conn)
{
    if (conn->server->account) {
        MpMemoryAccount_Set(conn->server->account, &conn->ahead, 0,
                            MpLoop_Now());
        conn->is_request_done = true;
        watch(conn);
    }
}

/* The connection waits for its next request, or has one already that arrived
 * with the last. */
static void
restart(struct MpHttpConn *conn)
{
    conn->is_request_done = false;
    conn->has_head = false;
    conn->announced_bytes = 0;
    conn->parsed_bytes = 0;
    if (conn->request) {
        return;
    }
    conn->memory.use = MP_MEMORY_READING;
    shrink_input(conn);
    MpMemoryAccount_Set(conn->server->account, &conn->memory,
                        (int64_t)allocated_bytes(conn), MpLoop_Now());
}

void
MpHttpMemory_AfterRound(void *data)
{
    struct MpHttpServer *server = data;
    int64_t now_ms = MpLoop_Now();
    GList *link;
    GQueue writing = G_QUEUE_INIT;
    while ((link = g_queue_pop_head_link(&server->watched))) {
        struct MpHttpConn *conn = link->data;
        conn->is_watched = false;
        hook(conn);
        if (conn->is_request_done) {
            restart(conn);
        }
        else if (!conn->request && h2o_socket_is_writing(conn->socket)) {
            g_queue_push_tail_link(&writing, link);
        }
    }
    while ((link = g_queue_pop_head_link(&writing))) {
        watch(link->data);
    }
    struct MpMemoryHolder *worst;
    while ((worst = MpMemoryAccount_PickWorst(server->account, now_ms))) {
        MpMemoryAccount_NoteClosing(server->account, worst);
        worst->close(worst);
    }
}

static void
write_metric(GString *out, const char *account_name, const char *name,
             const char *label, const char *label_value, int64_t value)
{
    char full_name[NAME_BYTES];
    g_snprintf(full_name, sizeof(full_name), "mimosapath_%s_%s", account_name,
               name);
    MpMetrics_WriteValue(out, full_name, label, label_value, value);
}

void
MpHttpMemory_WriteMetrics(const struct MpMemoryAccount *account,
                          const char *name, GString *out)
{
    write_metric(out, name, "held_bytes", NULL, NULL, account->held_bytes);
    write_metric(out, name, "peak_bytes", NULL, NULL, account->peak_bytes);
    write_metric(out, name, "limit_bytes", NULL, NULL, account->limit_bytes);
    for (int i = 0; i < MP_MEMORY_REFUSALS; i++) {
        write_metric(out, name, "refused_total", "cause", refusal_names[i],
                     (int64_t)account->refused[i]);
    }
    for (int i = 0; i < MP_MEMORY_USES; i++) {
        if (i != MP_MEMORY_RUNNING) {
            write_metric(out, name, "closed_total", "use", use_names[i],
                         (int64_t)account->closed[i]);
        }
    }
}
