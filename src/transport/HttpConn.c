#include "transport/HttpConn.h"

#include "state/Error.h"
#include "state/Metrics.h"
#include "transport/ErrorBody.h"
#include "transport/HttpMemory.h"
#include "transport/HttpServer.h"
#include "transport/Log.h"

#include <inttypes.h>
#include <string.h>
#include <sys/socket.h>

/* Bytes that wait in a socket are counted up to this number. */
#define PEEK_BYTES 4096
/* Shortest time that the rest of a request is waited for, ms. */
#define STALL_MIN_MS 5000
/* What the client sent before the timeout may arrive this much later, ms. */
#define IDLE_MARGIN_MS 1000
/* A body may take this many timeouts in all. */
#define BODY_TIMEOUTS_MAX 12
/* How long a new connection is kept open for its first request, ms. */
#define FIRST_REQUEST_MS 1000
/* How long a client may take to close its side after ours, ms; a request that
 * crosses the close arrives within a round trip. */
#define CLOSING_MS 300
/* Retry-After of a refusal for want of connections, ms. */
#define CROWDED_RETRY_AFTER_MS 1000
/* Longest name of a metric. */
#define NAME_BYTES 64

static const char *const end_names[MP_HTTP_ENDS] = {
    "answered", "refused", "cut", "caller_left", "unanswered"};
static const char *const close_names[MP_HTTP_CLOSES] = {
    "client", "announced", "cut",     "idle", "stalled",
    "memory", "stop",      "crowded", "moved"};

const char *
MpHttpClose_Name(enum MpHttpClose reason)
{
    return close_names[reason];
}

/* ---- requests ---- */

static void
become_idle(struct MpHttpConn *this)
{
    this->idle_since_ms = MpLoop_Now();
    this->idle_timeout_ms = this->server->idle_timeout_ms;
    this->reading_since_ms = 0;
}

/* Called when h2o is done with a request: it was answered, or its connection
 * failed. */
static void
on_request_freed(void *data)
{
    struct MpHttpRequest *this = data;
    struct MpHttpConn *conn = this->conn;
    if (!conn) {
        return;
    }
    enum MpHttpEnd end =
        this->end == MP_HTTP_ENDS ? MP_HTTP_CALLER_LEFT : this->end;
    conn->server->counts.ended[end]++;
    conn->request = NULL;
    become_idle(conn);
    MpHttpMemory_NoteDone(conn);
    if (end == MP_HTTP_CUT) {
        conn->reason = MP_HTTP_CLOSE_CUT;
    }
    else if (end != MP_HTTP_CALLER_LEFT && !this->req->http1_is_persistent) {
        conn->reason = MP_HTTP_CLOSE_ANNOUNCED;
    }
    if (conn->reason == MP_HTTP_CLOSE_ANNOUNCED && this->must_linger) {
        /* h2o closes the socket now. */
        MpLingeringClose_Start(&conn->server->lingering,
                               h2o_socket_get_fd(conn->socket));
    }
}

/* The buffer of the socket still has the request when it begins; a socket that
 * is being closed has no buffer. */
void
MpHttpConn_CountBytes(struct MpHttpConn *this)
{
    struct MpHttpCounts *counts = &this->server->counts;
    size_t arrived = this->socket->input ? this->socket->input->size : 0;
    size_t written = this->socket->bytes_written;
    if (!this->request && arrived > this->counted_in_bytes) {
        counts->received_bytes += arrived - this->counted_in_bytes;
        this->counted_in_bytes = arrived;
    }
    counts->sent_bytes += written - this->counted_out_bytes;
    this->counted_out_bytes = written;
}

void
MpHttpConn_BeginRequest(struct MpHttpConn *this, h2o_req_t *req)
{
    struct MpHttpRequest *request =
        h2o_mem_alloc_shared(&req->pool, sizeof(*request), on_request_freed);
    *request = (struct MpHttpRequest){.conn = this,
                                      .req = req,
                                      .end = MP_HTTP_ENDS,
                                      .must_linger = req->http1_is_persistent};
    MpHttpConn_CountBytes(this);
    this->counted_in_bytes = 0;
    this->request = request;
    this->requests++;
    this->server->counts.read++;
    MpHttpMemory_NoteRunning(this);
}

void
MpHttpConn_NoteEnd(struct MpHttpConn *this, enum MpHttpEnd end)
{
    if (this->request && this->request->end == MP_HTTP_ENDS) {
        this->request->end = end;
    }
}

/* ---- connections ---- */

static void
on_socket_closed(void *data)
{
    struct MpHttpConn *this = data;
    MpHttpConn_CountBytes(this);
    this->server->counts.closed[this->reason]++;
    if (this->request) {
        this->request->conn = NULL;
    }
    g_queue_unlink(&this->server->conns, &this->link);
    this->server->conns_closing -= this->closing_ms > 0;
    if (this->is_watched) {
        g_queue_unlink(&this->server->watched, &this->watched_link);
    }
    if (this->server->account) {
        MpMemoryAccount_Set(this->server->account, &this->memory, 0,
                            MpLoop_Now());
        MpMemoryAccount_Set(this->server->account, &this->ahead, 0,
                            MpLoop_Now());
    }
    if (this->server->reading == this) {
        this->server->reading = NULL;
    }
    g_free(this);
}

void
MpHttpConn_New(struct MpHttpServer *server, h2o_socket_t *socket)
{
    struct MpHttpConn *this = g_new0(struct MpHttpConn, 1);
    *this = (struct MpHttpConn){
        .server = server, .socket = socket, .reason = MP_HTTP_CLOSE_CLIENT};
    become_idle(this);
    this->link.data = this;
    g_queue_push_tail_link(&server->conns, &this->link);
    server->counts.opened++;
    socket->on_close.cb = on_socket_closed;
    socket->on_close.data = this;
}

struct MpHttpConn *
MpHttpConn_Of(const h2o_req_t *req)
{
    return req->conn->callbacks->get_socket(req->conn)->on_close.data;
}

/* Line ends before a request are no part of it (RFC 9112, 2.2). */
static size_t
skip_line_ends(const char *data, size_t size)
{
    size_t skipped = 0;
    while (skipped < size &&
           (data[skipped] == '\r' || data[skipped] == '\n')) {
        skipped++;
    }
    return size - skipped;
}

static size_t
waiting_bytes(const struct MpHttpConn *this)
{
    char data[PEEK_BYTES];
    ssize_t waiting = recv(h2o_socket_get_fd(this->socket), data, sizeof(data),
                           MSG_PEEK | MSG_DONTWAIT);
    return skip_line_ends(data, (size_t)MAX(waiting, 0));
}

size_t
MpHttpConn_UnreadBytes(const struct MpHttpConn *this)
{
    const h2o_buffer_t *input = this->socket->input;
    size_t buffered =
        this->request ? 0 : skip_line_ends(input->bytes, input->size);
    return buffered + waiting_bytes(this);
}

/* ---- timeouts ---- */

static void
close_our_side(struct MpHttpConn *this, enum MpHttpClose reason)
{
    this->reason = reason;
    this->server->conns_closing += this->closing_ms == 0;
    this->closing_ms = MpLoop_Now();
    shutdown(h2o_socket_get_fd(this->socket), SHUT_WR);
}

bool
MpHttpConn_IsReading(const struct MpHttpConn *this)
{
    const h2o_buffer_t *input = this->socket->input;
    return !this->request && skip_line_ends(input->bytes, input->size) > 0;
}

void
MpHttpConn_Refuse(struct MpHttpConn *this, int code, int64_t retry_after_ms,
                  enum MpHttpClose reason)
{
    char *body = MpErrorBody_Format(code, NULL, "no");
    GString *text = g_string_new(NULL);
    g_string_append_printf(text, "HTTP/1.1 %d Answer\r\nConnection: close\r\n",
                           MpError_Info(code)->http_status);
    if (retry_after_ms > 0) {
        g_string_append_printf(text, "Retry-After: %" PRId64 "\r\n",
                               retry_after_ms / 1000);
    }
    g_string_append_printf(text,
                           MP_RUN_HEADER ": no\r\nContent-Type: "
                                         "application/json\r\n"
                                         "Content-Length: %zu\r\n\r\n%s",
                           strlen(body), body);
    /* h2o writes nothing while it waits for a request.  A response of this
     * size fits into the empty send buffer. */
    send(h2o_socket_get_fd(this->socket), text->str, text->len,
         MSG_DONTWAIT | MSG_NOSIGNAL);
    close_our_side(this, reason);
    g_string_free(text, TRUE);
    g_free(body);
}

void
MpHttpConn_CloseForRoom(struct MpHttpConn *this)
{
    if (this->requests > 0 && MpHttpConn_UnreadBytes(this) == 0) {
        close_our_side(this, MP_HTTP_CLOSE_CROWDED);
        return;
    }
    MpHttpConn_Refuse(this, MP_ERROR_OVERLOADED, CROWDED_RETRY_AFTER_MS,
                      MP_HTTP_CLOSE_CROWDED);
    MpHttpMemory_Drop(this);
}

/* Returns whether the client has connected just now: its first request is on
 * its way. */
static bool
is_fresh(const struct MpHttpConn *this)
{
    return this->requests == 0 &&
           MpLoop_Now() - this->idle_since_ms < FIRST_REQUEST_MS;
}

void
MpHttpConn_CloseIdle(struct MpHttpConn *this, enum MpHttpClose reason)
{
    if (!this->request && this->closing_ms == 0 && !is_fresh(this) &&
        MpHttpConn_UnreadBytes(this) == 0) {
        close_our_side(this, reason);
    }
}

/* Refuses a request of which only a part has arrived. */
static void
refuse_stalled(struct MpHttpConn *this, int64_t now_ms)
{
    MpLog_Event(LOG_NOTICE, "request-stalled",
                "received_bytes=%zu since_ms=%" PRId64 " silent_ms=%" PRId64,
                this->socket->input->size,
                this->reading_since_ms > 0 ? now_ms - this->reading_since_ms
                                           : 0,
                this->reading_since_ms > 0 ? now_ms - this->read_ms : 0);
    MpHttpConn_Refuse(this, MP_ERROR_STALLED, 0, MP_HTTP_CLOSE_STALLED);
}

static bool
has_head(const h2o_buffer_t *input)
{
    gssize size = (gssize)input->size;
    return g_strstr_len(input->bytes, size, "\n\r\n") ||
           g_strstr_len(input->bytes, size, "\n\n");
}

/* The head of a request has to arrive within the timeout; its body may take
 * longer, but not pause for longer. */
static void
check_reading(struct MpHttpConn *this, int64_t timeout_ms, int64_t now_ms)
{
    const h2o_buffer_t *input = this->socket->input;
    if (this->reading_since_ms == 0) {
        this->reading_since_ms = now_ms;
        this->read_bytes = 0;
    }
    /* After this process has stood still, what arrived meanwhile is not read
     * yet. */
    if (input->size != this->read_bytes || waiting_bytes(this) > 0) {
        this->read_bytes = input->size;
        this->read_ms = now_ms;
    }
    timeout_ms = MAX(timeout_ms, STALL_MIN_MS);
    int64_t taken_ms = now_ms - this->reading_since_ms;
    if (taken_ms < timeout_ms || this->read_ms == now_ms) {
        return;
    }
    if (!has_head(input) || now_ms - this->read_ms >= timeout_ms ||
        taken_ms >= timeout_ms * BODY_TIMEOUTS_MAX) {
        refuse_stalled(this, now_ms);
    }
}

void
MpHttpConn_RefuseUnfinished(struct MpHttpConn *this)
{
    int64_t now_ms = MpLoop_Now();
    if (this->closing_ms == 0 && MpHttpConn_IsReading(this)) {
        refuse_stalled(this, now_ms);
    }
}

void
MpHttpConn_Check(struct MpHttpConn *this, int64_t now_ms)
{
    /* Callers go by the timeout that held when the connection became idle, or
     * by a longer one that came into force since. */
    int64_t timeout_ms =
        MAX(this->idle_timeout_ms, this->server->idle_timeout_ms);
    if (this->closing_ms > 0) {
        int64_t wait_ms = this->is_dropping ? MP_LINGER_MS : CLOSING_MS;
        if (now_ms - this->closing_ms >= wait_ms) {
            shutdown(h2o_socket_get_fd(this->socket), SHUT_RDWR);
        }
        return;
    }
    if (this->request) {
        MpHttpMemory_CountAhead(this);
        return;
    }
    const h2o_buffer_t *input = this->socket->input;
    if (skip_line_ends(input->bytes, input->size) > 0) {
        check_reading(this, timeout_ms, now_ms);
    }
    else if (now_ms - this->idle_since_ms >= timeout_ms + IDLE_MARGIN_MS) {
        MpHttpConn_CloseIdle(this, MP_HTTP_CLOSE_IDLE);
    }
}

void
MpHttpConn_Stop(struct MpHttpConn *this)
{
    size_t unread = MpHttpConn_UnreadBytes(this);
    this->reason = MP_HTTP_CLOSE_STOP;
    if (this->request) {
        MpHttpConn_NoteEnd(this, MP_HTTP_UNANSWERED);
        this->server->counts.ended[this->request->end]++;
        this->request->conn = NULL;
    }
    if (!this->request && unread == 0) {
        return;
    }
    MpLog_Event(LOG_WARNING, "connection-stopped",
                "in_progress=%d unread_bytes=%zu requests=%u idle_ms=%" PRId64,
                this->request != NULL, unread, this->requests,
                MpLoop_Now() - this->idle_since_ms);
}

/* ---- counts ---- */

void
MpHttpCounts_Format(const struct MpHttpCounts *this, GString *out)
{
    g_string_append_printf(out, " read=%" PRIu64, this->read);
    for (int i = 0; i < MP_HTTP_ENDS; i++) {
        g_string_append_printf(out, " %s=%" PRIu64, end_names[i],
                               this->ended[i]);
    }
    uint64_t open = this->opened;
    for (int i = 0; i < MP_HTTP_CLOSES; i++) {
        open -= this->closed[i];
    }
    g_string_append_printf(out, " connections=%" PRIu64, open);
}

void
MpHttpCounts_Write(const struct MpHttpCounts *this, const char *client,
                   GString *out)
{
    char name[NAME_BYTES];
    g_snprintf(name, sizeof(name), "mimosapath_%s_requests_read_total",
               client);
    MpMetrics_WriteValue(out, name, NULL, NULL, (int64_t)this->read);
    g_snprintf(name, sizeof(name), "mimosapath_%s_requests_ended_total",
               client);
    for (int i = 0; i < MP_HTTP_ENDS; i++) {
        MpMetrics_WriteValue(out, name, "end", end_names[i],
                             (int64_t)this->ended[i]);
    }
    g_snprintf(name, sizeof(name), "mimosapath_%s_connections_total", client);
    MpMetrics_WriteValue(out, name, NULL, NULL, (int64_t)this->opened);
    g_snprintf(name, sizeof(name), "mimosapath_%s_connections_closed_total",
               client);
    for (int i = 0; i < MP_HTTP_CLOSES; i++) {
        MpMetrics_WriteValue(out, name, "reason", close_names[i],
                             (int64_t)this->closed[i]);
    }
}
