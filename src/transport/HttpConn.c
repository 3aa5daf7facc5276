#include "transport/HttpConn.h"

#include "state/Metrics.h"
#include "transport/HttpServer.h"
#include "transport/Log.h"

#include <inttypes.h>
#include <sys/socket.h>

/* Bytes that wait in a socket are counted up to this number. */
#define PEEK_BYTES 4096
/* Longest name of a metric. */
#define NAME_BYTES 64

static const char *const end_names[MP_HTTP_ENDS] = {
    "answered", "refused", "cut", "caller_left", "unanswered"};
static const char *const close_names[MP_HTTP_CLOSES] = {
    "client", "announced", "cut", "idle", "stalled", "stop"};

/* ---- requests ---- */

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
    conn->idle_since_ms = MpLoop_Now();
    if (end == MP_HTTP_CUT) {
        conn->reason = MP_HTTP_CLOSE_CUT;
    }
    else if (end != MP_HTTP_CALLER_LEFT && !this->req->http1_is_persistent) {
        conn->reason = MP_HTTP_CLOSE_ANNOUNCED;
    }
}

void
MpHttpConn_BeginRequest(struct MpHttpConn *this, h2o_req_t *req)
{
    struct MpHttpRequest *request =
        h2o_mem_alloc_shared(&req->pool, sizeof(*request), on_request_freed);
    *request =
        (struct MpHttpRequest){.conn = this, .req = req, .end = MP_HTTP_ENDS};
    this->request = request;
    this->requests++;
    this->server->counts.read++;
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
    this->server->counts.closed[this->reason]++;
    if (this->request) {
        this->request->conn = NULL;
    }
    g_queue_unlink(&this->server->conns, &this->link);
    g_free(this);
}

void
MpHttpConn_New(struct MpHttpServer *server, h2o_socket_t *socket)
{
    struct MpHttpConn *this = g_new0(struct MpHttpConn, 1);
    *this = (struct MpHttpConn){.server = server,
                                .socket = socket,
                                .reason = MP_HTTP_CLOSE_CLIENT,
                                .idle_since_ms = MpLoop_Now()};
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

size_t
MpHttpConn_UnreadBytes(const struct MpHttpConn *this)
{
    char data[PEEK_BYTES];
    ssize_t waiting = recv(h2o_socket_get_fd(this->socket), data, sizeof(data),
                           MSG_PEEK | MSG_DONTWAIT);
    size_t buffered = this->request ? 0 : this->socket->input->size;
    return buffered + (size_t)MAX(waiting, 0);
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
