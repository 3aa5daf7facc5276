#include "transport/HttpServer.h"

#include "state/Error.h"
#include "transport/ConnLimit.h"
#include "transport/ErrorBody.h"
#include "transport/HttpMemory.h"
#include "transport/Log.h"

#include <errno.h>
#include <inttypes.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#define ACCEPT_BATCH 64
/* Idle timeout until the owner sets one, ms. */
#define IDLE_TIMEOUT_MS 60000
/* Bytes of all requests together that have arrived in part for a while. */
#define UNFINISHED_MAX_BYTES (64 * 1024 * 1024)
/* Interval of checks for idle connections, ms. */
#define CHECK_MS 100
/* Part of the most connections that may be closed in stages at a time. */
#define LINGERING_PARTS 8
/* h2o has one timeout for idle connections and for the reading of a request,
 * and closes a connection in the middle of one.  HttpConn keeps these times
 * instead. */
#define H2O_TIMEOUT_MS (UINT64_C(365) * 24 * 3600 * 1000)
/* Of the byte with the flags in a TCP header. */
#define TCP_FLAGS_OFFSET 13
/* h2o_req_t.version */
#define HTTP_1_1 0x101

struct server_handler {
    h2o_handler_t super;
    struct MpHttpServer *server;
};

/* Returns whether the line at text is a header with this name. */
static bool
is_header_line(const char *text, size_t size, const char *name)
{
    size_t length = strlen(name);
    return size > length && text[length] == ':' &&
           g_ascii_strncasecmp(text, name, length) == 0;
}

/* Returns whether the request has more than one header that tells where its
 * body ends, so that other HTTP servers may read it in another way. */
static bool
has_ambiguous_length(const h2o_req_t *req)
{
    h2o_socket_t *socket = req->conn->callbacks->get_socket(req->conn);
    const char *text = socket->input->bytes;
    size_t size = socket->input->size;
    int length_headers = 0;
    /* h2o keeps only one of these headers, but the raw request head is still
     * in the socket's input buffer. */
    while (size > 0) {
        const char *end = memchr(text, '\n', size);
        size_t line_size = end ? (size_t)(end - text) + 1 : size;
        if (line_size <= 2) {
            break;
        }
        length_headers += is_header_line(text, line_size, "content-length") ||
                          is_header_line(text, line_size, "transfer-encoding");
        text += line_size;
        size -= line_size;
    }
    return length_headers > 1;
}

/* h2o gives the further lines of a folded header as headers without a name. */
static bool
has_folded_header(const h2o_req_t *req)
{
    for (size_t i = 0; i < req->headers.size; i++) {
        if (req->headers.entries[i].name->len == 0) {
            return true;
        }
    }
    return false;
}

/* Returns the error of a request that h2o accepts but that is rejected, or
 * MP_OK.  RFC 9112, 5.2 and 6.3: a server may reject folded headers and
 * ambiguous lengths. */
static int
check_request(const struct MpHttpServer *this, const h2o_req_t *req)
{
    if (has_folded_header(req) || has_ambiguous_length(req)) {
        return MP_ERROR_INVALID;
    }
    return req->entity.len > this->body_max_bytes ? MP_ERROR_TOO_LARGE : MP_OK;
}

static void
reject(h2o_req_t *req, int code)
{
    char *text = MpErrorBody_Format(code, NULL, "no");
    int status = MpError_Info(code)->http_status;
    MpLog_Event(LOG_NOTICE, "request-rejected", "status=%d", status);
    MpHttp_AddHeader(req, MP_RUN_HEADER, "no");
    req->http1_is_persistent = 0;
    MpHttpConn_Of(req)->request->must_linger = true;
    MpHttp_Send(req, status, "application/json", text, strlen(text));
    g_free(text);
}

/* Drops a request that the client sent before it saw the close of its idle
 * connection: nothing can be written to it any more. */
static void
drop_crossed(const struct MpHttpConn *conn, h2o_req_t *req)
{
    MpLog_Event(LOG_NOTICE, "request-crossed-close",
                "reason=%s closed_ms=%" PRId64 " idle_ms=%" PRId64,
                MpHttpClose_Name(conn->reason),
                MpLoop_Now() - conn->closing_ms,
                MpLoop_Now() - conn->idle_since_ms);
    req->http1_is_persistent = 0;
    h2o_send_inline(req, "", 0);
}

static int
on_request(h2o_handler_t *handler, h2o_req_t *req)
{
    struct MpHttpServer *this = ((struct server_handler *)handler)->server;
    if (MpHttpConn_Of(req)->closing_ms > 0) {
        drop_crossed(MpHttpConn_Of(req), req);
        return 0;
    }
    MpHttpConn_BeginRequest(MpHttpConn_Of(req), req);
    int code = check_request(this, req);
    if (code != MP_OK) {
        reject(req, code);
        return 0;
    }
    this->handle(this->owner, req);
    return 0;
}

/* ---- bodies of error responses that h2o makes itself ---- */

static int
status_to_error(int status)
{
    switch (status) {
    case 413:
        return MP_ERROR_TOO_LARGE;
    case 404:
        return MP_ERROR_NOT_FOUND;
    default:
        return MP_ERROR_INVALID;
    }
}

static void
send_error_body(h2o_ostream_t *self, h2o_req_t *req, h2o_iovec_t *bufs,
                size_t count, h2o_send_state_t state)
{
    /* h2o sends an error as one buffer, or as none in response to HEAD. */
    h2o_iovec_t body = MpErrorBody_FormatInPool(
        &req->pool, status_to_error(req->res.status), NULL);
    (void)bufs;
    h2o_ostream_send_next(self, req, &body, count > 0 ? 1 : 0, state);
}

/* Filter of the path that h2o uses for requests that it does not pass to the
 * handler.  Responses of the handler never come here. */
static void
on_setup_ostream(h2o_filter_t *self, h2o_req_t *req, h2o_ostream_t **slot)
{
    (void)self;
    int code = status_to_error(req->res.status);
    MpHttpConn_BeginRequest(MpHttpConn_Of(req), req);
    MpHttp_NoteEnd(req, MP_HTTP_REFUSED);
    /* The client may still be sending what h2o does not read. */
    MpHttpConn_Of(req)->request->must_linger = true;
    h2o_iovec_t body = MpErrorBody_FormatInPool(&req->pool, code, NULL);
    MpLog_Event(LOG_NOTICE, "request-rejected", "status=%d", req->res.status);
    MpHttp_AddHeader(req, MP_RUN_HEADER, "no");
    h2o_set_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
                   H2O_STRLIT("application/json"), 1);
    req->res.content_length = body.len;
    h2o_ostream_t *stream = h2o_add_ostream(req, sizeof(*stream), slot);
    stream->do_send = send_error_body;
    h2o_setup_next_ostream(req, &stream->next);
}

/* ---- listening ---- */

/* Accepts up to ACCEPT_BATCH connections; returns whether more are to be
 * accepted.  If not, errno is EAGAIN when the queue is empty, and 0 at the
 * limit of connections. */
static bool
accept_batch(struct MpHttpServer *this)
{
    int yes = 1;
    for (int i = 0; i < ACCEPT_BATCH; i++) {
        errno = 0;
        h2o_socket_t *socket = h2o_evloop_socket_accept(this->listener);
        if (!socket) {
            return false;
        }
        setsockopt(h2o_socket_get_fd(socket), IPPROTO_TCP, TCP_NODELAY, &yes,
                   sizeof(yes));
        MpHttpConn_New(this, socket);
        struct MpHttpConn *conn = socket->on_close.data;
        h2o_accept(&this->accept, socket);
        MpHttpMemory_Hook(conn);
        if (!MpConnLimit_MakeRoom(this)) {
            errno = 0;
            return false;
        }
    }
    return true;
}

static bool
is_out_of_descriptors(void)
{
    return errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
           errno == ENOMEM;
}

static void
on_accept(h2o_socket_t *listener, const char *error)
{
    if (!error) {
        accept_batch(listener->data);
    }
    if (!error && is_out_of_descriptors()) {
        struct MpHttpServer *this = listener->data;
        MpLog_Event(LOG_ERR, "connections-not-accepted", "error=%s",
                    strerror(errno));
        MpConnLimit_CloseSome(this);
        /* on_check_timer goes on. */
        h2o_socket_read_stop(this->listener);
    }
}

/* Refuses requests that arrive slowly while all such come to more than
 * UNFINISHED_MAX_BYTES, the oldest first. */
static void
limit_unfinished(struct MpHttpServer *this)
{
    size_t bytes = 0;
    struct MpHttpConn *oldest = NULL;
    for (GList *link = this->conns.head; link; link = link->next) {
        struct MpHttpConn *conn = link->data;
        if (conn->request || conn->closing_ms > 0 ||
            conn->reading_since_ms == 0) {
            continue;
        }
        bytes += conn->socket->input->size;
        if (!oldest || conn->reading_since_ms < oldest->reading_since_ms) {
            oldest = conn;
        }
    }
    if (bytes > UNFINISHED_MAX_BYTES) {
        MpHttpConn_RefuseUnfinished(oldest);
    }
}

static void
on_check_timer(struct MpTimer *timer)
{
    struct MpHttpServer *this = timer->data;
    int64_t now_ms = MpLoop_Now();
    for (GList *link = this->conns.head; link; link = link->next) {
        MpHttpConn_Check(link->data, now_ms);
    }
    limit_unfinished(this);
    if (this->listener && !h2o_socket_is_reading(this->listener)) {
        h2o_socket_read_start(this->listener, on_accept);
    }
    MpLoop_SetTimer(this->loop, timer, CHECK_MS, on_check_timer, this);
}

static void
add_path(struct MpHttpServer *this, h2o_hostconf_t *host)
{
    h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
    struct server_handler *handler =
        (struct server_handler *)h2o_create_handler(path, sizeof(*handler));
    handler->super.on_req = on_request;
    handler->server = this;
    h2o_create_filter(&host->fallback_path, sizeof(h2o_filter_t))
        ->on_setup_ostream = on_setup_ostream;
}

int
MpHttpServer_Start(struct MpHttpServer *this, struct MpLoop *loop,
                   const char *address, size_t body_max_bytes,
                   void (*handle)(void *owner, h2o_req_t *req), void *owner)
{
    *this = (struct MpHttpServer){.loop = loop,
                                  .body_max_bytes = body_max_bytes,
                                  .handle = handle,
                                  .owner = owner};
    g_queue_init(&this->conns);
    g_queue_init(&this->watched);
    MpLingeringClose_Init(&this->lingering, loop);
    this->idle_timeout_ms = IDLE_TIMEOUT_MS;
    h2o_config_init(&this->config);
    /* h2o refuses a body in chunks that reaches its limit. */
    this->config.max_request_entity_size = body_max_bytes + 1;
    this->config.server_name = h2o_iovec_init(H2O_STRLIT("mimosapath"));
    this->config.http1.upgrade_to_http2 = 0;
    this->config.http1.req_timeout = H2O_TIMEOUT_MS;
    h2o_hostconf_t *host = h2o_config_register_host(
        &this->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    add_path(this, host);
    h2o_context_init(&this->context, loop->h2o, &this->config);
    this->accept.ctx = &this->context;
    this->accept.hosts = this->config.hosts;
    MpLoop_SetTimer(loop, &this->check_timer, CHECK_MS, on_check_timer, this);
    this->listener =
        MpLoop_Listen(loop, address, on_accept, this, &this->port);
    return this->listener ? MP_OK : MP_ERROR_IO;
}

void
MpHttpServer_SetAccount(struct MpHttpServer *this,
                        struct MpMemoryAccount *account)
{
    this->account = account;
    MpHttpMemory_Listen(this->listener);
    MpLoop_AddHook(this->loop, MpHttpMemory_AfterRound, this);
}

void
MpHttpServer_SetConnLimit(struct MpHttpServer *this, uint32_t max)
{
    this->conns_max = max;
    this->lingering.max = MIN(this->lingering.max, max / LINGERING_PARTS);
}

void
MpHttpServer_SetIdleTimeout(struct MpHttpServer *this, int64_t timeout_ms)
{
    this->idle_timeout_ms = timeout_ms;
}

void
MpHttpServer_StopConnects(struct MpHttpServer *this)
{
    struct sock_filter drop_syn[] = {
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
        BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, TH_SYN, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, 0),
        BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
    };
    struct sock_fprog program = {.len = G_N_ELEMENTS(drop_syn),
                                 .filter = drop_syn};
    if (this->listener && !this->has_stopped_connects) {
        this->has_stopped_connects = true;
        setsockopt(h2o_socket_get_fd(this->listener), SOL_SOCKET,
                   SO_ATTACH_FILTER, &program, sizeof(program));
    }
}

void
MpHttpServer_StopListening(struct MpHttpServer *this)
{
    if (this->listener) {
        while (accept_batch(this)) {
        }
        if (is_out_of_descriptors()) {
            return; /* the next call tries again */
        }
        h2o_socket_read_stop(this->listener);
        h2o_socket_close(this->listener);
        this->listener = NULL;
    }
    h2o_context_request_shutdown(&this->context);
}

void
MpHttpServer_CloseIdle(struct MpHttpServer *this)
{
    for (GList *link = this->conns.head; link; link = link->next) {
        MpHttpConn_CloseIdle(link->data, MP_HTTP_CLOSE_STOP);
    }
}

void
MpHttpServer_AnnounceClose(struct MpHttpServer *this)
{
    for (GList *link = this->conns.head; link; link = link->next) {
        const struct MpHttpConn *conn = link->data;
        if (conn->request && !conn->request->req->_generator) {
            conn->request->req->http1_is_persistent = 0;
        }
    }
}

void
MpHttpServer_RefuseUnfinished(struct MpHttpServer *this)
{
    for (GList *link = this->conns.head; link; link = link->next) {
        MpHttpConn_RefuseUnfinished(link->data);
    }
}

static bool
is_idle_for(const struct MpHttpConn *conn, int64_t idle_ms, int64_t now_ms)
{
    return !conn->request && conn->closing_ms == 0 && conn->requests > 0 &&
           conn->reading_since_ms == 0 &&
           now_ms - conn->idle_since_ms >= idle_ms;
}

uint32_t
MpHttpServer_CountIdle(const struct MpHttpServer *this, int64_t idle_ms)
{
    uint32_t count = 0;
    int64_t now_ms = MpLoop_Now();
    for (GList *link = this->conns.head; link; link = link->next) {
        count += is_idle_for(link->data, idle_ms, now_ms);
    }
    return count;
}

void
MpHttpServer_MoveIdle(struct MpHttpServer *this, int64_t idle_ms,
                      uint32_t count)
{
    int64_t now_ms = MpLoop_Now();
    GList *link = this->conns.head;
    for (uint32_t i = 0; link && i < count; link = link->next) {
        if (is_idle_for(link->data, idle_ms, now_ms)) {
            MpHttpConn_CloseIdle(link->data, MP_HTTP_CLOSE_MOVED);
            i++;
        }
    }
}

void
MpHttpServer_CountBytes(struct MpHttpServer *this)
{
    for (GList *link = this->conns.head; link; link = link->next) {
        MpHttpConn_CountBytes(link->data);
    }
}

bool
MpHttpServer_IsClosed(const struct MpHttpServer *this)
{
    return this->conns.length == 0 && this->lingering.sockets.length == 0;
}

void
MpHttpServer_Stop(struct MpHttpServer *this)
{
    for (GList *link = this->conns.head; link; link = link->next) {
        MpHttpConn_Stop(link->data);
    }
}

/* ---- requests and responses ---- */

bool
MpHttp_IsDisconnected(const h2o_req_t *req)
{
    char byte;
    ssize_t got =
        recv(h2o_socket_get_fd(req->conn->callbacks->get_socket(req->conn)),
             &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK &&
                        errno != EINTR);
}

void
MpHttp_NoteEnd(const h2o_req_t *req, enum MpHttpEnd end)
{
    MpHttpConn_NoteEnd(MpHttpConn_Of(req), end);
}

char *
MpHttp_CopyHeader(const h2o_req_t *req, const char *name)
{
    ssize_t at = h2o_find_header_by_str(&req->headers, name, strlen(name), -1);
    if (at < 0) {
        return NULL;
    }
    h2o_iovec_t value = req->headers.entries[at].value;
    return g_strndup(value.base, value.len);
}

bool
MpHttp_Equals(h2o_iovec_t vector, const char *text)
{
    return vector.len == strlen(text) &&
           memcmp(vector.base, text, vector.len) == 0;
}

void
MpHttp_AddHeader(h2o_req_t *req, const char *name, const char *value)
{
    h2o_iovec_t copy = h2o_strdup(&req->pool, value, SIZE_MAX);
    h2o_add_header_by_str(&req->pool, &req->res.headers, name, strlen(name), 1,
                          NULL, copy.base, copy.len);
}

bool
MpHttp_EndsWithConnection(const h2o_req_t *req)
{
    return req->version < HTTP_1_1 && req->res.content_length == SIZE_MAX;
}

void
MpHttp_Abort(h2o_req_t *req)
{
    h2o_socket_t *socket = req->conn->callbacks->get_socket(req->conn);
    int fd = h2o_socket_get_fd(socket);
    MpHttp_NoteEnd(req, MP_HTTP_CUT);
    if (MpHttp_EndsWithConnection(req)) {
        struct linger reset = {.l_onoff = 1, .l_linger = 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }
    else {
        /* On errors h2o ends a chunked response with a malformed chunk, which
         * looks like a bug of this server, so the socket is shut down first.
         */
        shutdown(fd, SHUT_RDWR);
    }
    h2o_send(req, NULL, 0, H2O_SEND_STATE_ERROR);
}

void
MpHttp_Send(h2o_req_t *req, int status, const char *content_type,
            const char *body, size_t size)
{
    req->res.status = status;
    req->res.reason = "Answer";
    req->res.content_length = size;
    MpHttp_NoteEnd(req, status >= 400 ? MP_HTTP_REFUSED : MP_HTTP_ANSWERED);
    MpHttp_AddHeader(req, "content-type", content_type);
    h2o_send_inline(req, body, size);
}
