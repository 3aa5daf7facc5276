#include "transport/TargetConn.h"

#include "transport/BodyLength.h"

#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>

/* Maximum size of a response head, bytes. */
#define HEAD_MAX_BYTES 65536

/* Offsets and sizes of a header in the text of the head. */
struct header_span {
    guint name;
    guint name_size;
    guint value;
    guint value_size;
};

struct MpTargetConn {
    const struct MpTargetConnClass *klass; /* NULL while idle */
    void *owner;
    MpProbeDone probe_done; /* of a probe, else NULL */
    struct MpConnPool *conn_pool;
    GList link; /* in conn_pool->idle */
    h2o_socket_t *socket;
    struct MpTimer timer;
    http_parser parser;
    GByteArray *request;
    char *id_header;
    char *id;
    GString *head;
    GArray *headers;    /* of struct header_span */
    bool is_last_value; /* the last part parsed was a header value */
    bool is_head_request;
    bool is_sent; /* bytes of the request may have been sent */
    bool is_written;
    bool is_stray;      /* the response being read is to be discarded */
    size_t stray_bytes; /* received since the request was sent */
    bool is_reusable;   /* nothing received so far rules it out */
    bool is_complete;
    bool is_closed; /* the target has closed the connection */
    bool is_paused;
    bool is_in_callback;  /* a callback of the owner is running */
    bool is_free_pending; /* free it after the callback */
    int64_t idle_timeout_ms;
    int64_t idle_since_ms;
};

static void on_read(h2o_socket_t *socket, const char *error);

/* ---- lifetime ---- */

static void
clear_request(struct MpTargetConn *this)
{
    g_clear_pointer(&this->request, g_byte_array_unref);
    g_clear_pointer(&this->id_header, g_free);
    g_clear_pointer(&this->id, g_free);
    this->klass = NULL;
    this->owner = NULL;
}

static void
maybe_free_pool(struct MpConnPool *conn_pool)
{
    if (conn_pool->is_deleted && conn_pool->open == 0) {
        g_free(conn_pool->address);
        g_free(conn_pool);
    }
}

static void
conn_free(struct MpTargetConn *this)
{
    if (this->is_in_callback) {
        this->is_free_pending = true;
        return;
    }
    MpLoop_ClearTimer(&this->timer);
    clear_request(this);
    if (this->socket) {
        h2o_socket_close(this->socket);
    }
    this->conn_pool->open--;
    maybe_free_pool(this->conn_pool);
    g_string_free(this->head, TRUE);
    g_array_unref(this->headers);
    g_free(this);
}

static void
finish(struct MpTargetConn *this, enum MpTargetResult result)
{
    const struct MpTargetConnClass *klass = this->klass;
    void *owner = this->owner;
    clear_request(this);
    if (klass) {
        klass->end(owner, result);
    }
}

/* Ends the request and closes the connection. */
static void
fail(struct MpTargetConn *this, enum MpTargetResult result)
{
    bool was_in_callback = this->is_in_callback;
    this->is_in_callback = true;
    finish(this, result);
    this->is_in_callback = was_in_callback;
    conn_free(this);
}

/* ---- reading ---- */

static struct header_span *
last_header(struct MpTargetConn *this)
{
    return &g_array_index(this->headers, struct header_span,
                          this->headers->len - 1);
}

static int
on_header_field(http_parser *parser, const char *data, size_t size)
{
    struct MpTargetConn *this = parser->data;
    if (this->is_last_value || this->headers->len == 0) {
        struct header_span span = {.name = (guint)this->head->len};
        g_array_append_val(this->headers, span);
        this->is_last_value = false;
    }
    g_string_append_len(this->head, data, (gssize)size);
    last_header(this)->name_size += (guint)size;
    return this->head->len > HEAD_MAX_BYTES;
}

static int
on_header_value(http_parser *parser, const char *data, size_t size)
{
    struct MpTargetConn *this = parser->data;
    if (!this->is_last_value) {
        this->is_last_value = true;
        last_header(this)->value = (guint)this->head->len;
    }
    g_string_append_len(this->head, data, (gssize)size);
    last_header(this)->value_size += (guint)size;
    return this->head->len > HEAD_MAX_BYTES;
}

const char *
MpTargetHead_Find(const struct MpTargetHead *this, const char *name,
                  size_t *size)
{
    size_t length = strlen(name);
    for (size_t i = 0; i < this->count; i++) {
        const struct MpTargetHeader *header = &this->headers[i];
        if (header->name_size == length &&
            g_ascii_strncasecmp(header->name, name, length) == 0) {
            *size = header->value_size;
            return header->value;
        }
    }
    return NULL;
}

/* Returns the idle timeout from timeout=SECONDS in a Keep-Alive header, or the
 * default, ms. */
static int64_t
read_idle_timeout(const struct MpTargetHead *head)
{
    size_t size;
    const char *value = MpTargetHead_Find(head, "keep-alive", &size);
    if (!value) {
        return MP_TARGET_IDLE_MS;
    }
    char *text = g_strndup(value, size);
    const char *timeout = strstr(text, "timeout=");
    int64_t idle_timeout_ms =
        timeout ? CLAMP(strtoll(timeout + 8, NULL, 10), 0, G_MAXINT32) * 1000
                : MP_TARGET_IDLE_MS;
    g_free(text);
    return idle_timeout_ms;
}

static bool
is_own_response(const struct MpTargetConn *this,
                const struct MpTargetHead *head)
{
    size_t size;
    if (!this->id_header || !this->id) {
        return true;
    }
    const char *value = MpTargetHead_Find(head, this->id_header, &size);
    return !value ||
           (size == strlen(this->id) && memcmp(value, this->id, size) == 0);
}

/* Counts bytes of stray responses.  Returns true when there are too many. */
static bool
count_stray(struct MpTargetConn *this, size_t size)
{
    this->stray_bytes += size;
    return this->stray_bytes > MP_TARGET_STRAY_MAX_BYTES;
}

static int
on_headers_complete(http_parser *parser)
{
    struct MpTargetConn *this = parser->data;
    guint count = this->headers->len;
    struct MpTargetHeader *headers = g_new(struct MpTargetHeader, count + 1);
    for (guint i = 0; i < count; i++) {
        const struct header_span *span =
            &g_array_index(this->headers, struct header_span, i);
        headers[i] =
            (struct MpTargetHeader){.name = this->head->str + span->name,
                                    .name_size = span->name_size,
                                    .value = this->head->str + span->value,
                                    .value_size = span->value_size};
    }
    bool has_size = (parser->flags & F_CONTENTLENGTH) != 0;
    struct MpTargetHead head = {
        .status = (int)parser->status_code,
        .size = has_size ? (int64_t)parser->content_length : -1,
        .headers = headers,
        .count = count};
    bool is_interim = head.status >= 100 && head.status < 200;
    this->is_stray = is_interim || !is_own_response(this, &head);
    if (this->is_stray && !is_interim) {
        this->is_reusable = false;
    }
    if (this->is_stray && count_stray(this, this->head->len + 1)) {
        g_free(headers);
        return -1;
    }
    if (!this->is_stray && this->klass) {
        this->idle_timeout_ms = read_idle_timeout(&head);
        this->klass->head(this->owner, &head);
    }
    g_free(headers);
    bool may_have_body = head.size > 0 || (parser->flags & F_CHUNKED) != 0;
    if (head.status == 204 && may_have_body) {
        this->is_reusable = false;
    }
    return MpBodyLength_HasNoBody(this->is_head_request, head.status) ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *data, size_t size)
{
    struct MpTargetConn *this = parser->data;
    if (this->is_stray) {
        return count_stray(this, size);
    }
    if (this->klass && !this->is_free_pending) {
        this->klass->body(this->owner, data, size);
    }
    return 0;
}

static void
start_parser(struct MpTargetConn *this)
{
    http_parser_init(&this->parser, HTTP_RESPONSE);
    this->parser.data = this;
    g_string_truncate(this->head, 0);
    g_array_set_size(this->headers, 0);
    this->is_last_value = false;
    this->is_stray = false;
}

static int
on_message_complete(http_parser *parser)
{
    struct MpTargetConn *this = parser->data;
    this->is_complete = true;
    if (!http_should_keep_alive(parser)) {
        this->is_reusable = false;
    }
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

static void
become_idle(struct MpTargetConn *this)
{
    this->idle_since_ms = MpLoop_Now();
    this->link.data = this;
    g_queue_push_head_link(&this->conn_pool->idle, &this->link);
}

/* Ends a request with a complete response, and keeps or closes the
 * connection. */
static void
complete(struct MpTargetConn *this)
{
    bool may_keep = this->is_reusable && this->is_written &&
                    !this->conn_pool->is_deleted &&
                    this->socket->input->size == 0 && !this->is_paused;
    if (!may_keep) {
        fail(this, this->is_closed ? MP_TARGET_CLOSED : MP_TARGET_COMPLETE);
        return;
    }
    this->is_in_callback = true;
    finish(this, MP_TARGET_COMPLETE);
    this->is_in_callback = false;
    if (this->is_free_pending || this->conn_pool->is_deleted) {
        conn_free(this);
        return;
    }
    become_idle(this);
}

/* Parses the received data.  Returns false when the request has ended and the
 * connection may be freed. */
static bool
parse_input(struct MpTargetConn *this, bool is_end)
{
    h2o_buffer_t **input = &this->socket->input;
    do {
        size_t size = (*input)->size;
        if (size == 0 && !is_end) {
            return true;
        }
        this->is_in_callback = true;
        size_t used = http_parser_execute(&this->parser, &parser_settings,
                                          (*input)->bytes, size);
        this->is_in_callback = false;
        if (this->is_free_pending) {
            conn_free(this);
            return false;
        }
        enum http_errno error = HTTP_PARSER_ERRNO(&this->parser);
        if (error != HPE_OK && error != HPE_PAUSED) {
            fail(this, MP_TARGET_INCOMPLETE);
            return false;
        }
        h2o_buffer_consume(input, MIN(used, size));
        if (!this->is_complete) {
            return true;
        }
        this->is_complete = false;
        if (!this->is_stray) {
            complete(this);
            return false;
        }
        start_parser(this);
    } while ((*input)->size > 0);
    return true;
}

static void
on_read(h2o_socket_t *socket, const char *error)
{
    struct MpTargetConn *this = socket->data;
    if (!this->klass) {
        /* Idle: the target closed the connection or sent unrequested data. */
        g_queue_unlink(&this->conn_pool->idle, &this->link);
        conn_free(this);
        return;
    }
    bool is_end = error && error == h2o_socket_error_closed;
    if (error && !is_end) {
        fail(this, MP_TARGET_INCOMPLETE);
        return;
    }
    if (parse_input(this, false) && is_end) {
        /* A response without a length ends with its connection. */
        this->is_reusable = false;
        this->is_closed = true;
        if (parse_input(this, true)) {
            fail(this, MP_TARGET_INCOMPLETE);
        }
    }
}

/* ---- writing ---- */

static void
on_written(h2o_socket_t *socket, const char *error)
{
    struct MpTargetConn *this = socket->data;
    this->is_written = true;
    if (error) {
        fail(this, MP_TARGET_INCOMPLETE);
    }
}

static void
write_request(struct MpTargetConn *this)
{
    h2o_iovec_t buffer =
        h2o_iovec_init(this->request->data, this->request->len);
    this->is_written = false;
    this->is_sent = true;
    this->stray_bytes = 0;
    start_parser(this);
    h2o_socket_read_start(this->socket, on_read);
    h2o_socket_write(this->socket, &buffer, 1, on_written);
}

/* Ends a probe; an established connection becomes idle. */
static void
report_probe(struct MpTargetConn *this, enum MpProbeResult result)
{
    MpProbeDone probe_done = this->probe_done;
    void *owner = this->owner;
    this->probe_done = NULL;
    this->owner = NULL;
    this->is_in_callback = true;
    probe_done(owner, result);
    this->is_in_callback = false;
    if (result != MP_PROBE_LISTENING || this->conn_pool->is_deleted) {
        conn_free(this);
        return;
    }
    start_parser(this);
    h2o_socket_read_start(this->socket, on_read);
    become_idle(this);
}

static void
on_connect(h2o_socket_t *socket, const char *error)
{
    struct MpTargetConn *this = socket->data;
    int yes = 1;
    int unacked_ms = MP_TARGET_UNACKED_MS;
    MpLoop_ClearTimer(&this->timer);
    if (error && this->probe_done) {
        report_probe(this, MP_PROBE_REFUSED);
        return;
    }
    if (error) {
        fail(this, MP_TARGET_NOT_SENT);
        return;
    }
    int fd = h2o_socket_get_fd(socket);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms,
               sizeof(unacked_ms));
    if (this->probe_done) {
        report_probe(this, MP_PROBE_LISTENING);
        return;
    }
    write_request(this);
}

static void
on_probe_timeout(struct MpTimer *timer)
{
    report_probe(timer->data, MP_PROBE_TIMED_OUT);
}

static void
on_connect_timeout(struct MpTimer *timer)
{
    fail(timer->data, MP_TARGET_NOT_SENT);
}

/* ---- connection pools ---- */

struct MpConnPool *
MpConnPool_New(struct MpLoop *loop, const char *address)
{
    struct MpConnPool *this = g_new0(struct MpConnPool, 1);
    this->loop = loop;
    this->address = g_strdup(address);
    g_queue_init(&this->idle);
    return this;
}

void
MpConnPool_Delete(struct MpConnPool *this)
{
    GList *link;
    this->open++; /* keeps conn_free() from freeing the pool */
    while ((link = g_queue_pop_head_link(&this->idle))) {
        conn_free(link->data);
    }
    this->open--;
    this->is_deleted = true;
    maybe_free_pool(this);
}

void
MpConnPool_Sweep(struct MpConnPool *this, int64_t now_ms)
{
    GList *link = this->idle.head;
    while (link) {
        struct MpTargetConn *conn = link->data;
        link = link->next;
        if (now_ms - conn->idle_since_ms + MP_TARGET_IDLE_MARGIN_MS >=
            conn->idle_timeout_ms) {
            g_queue_unlink(&this->idle, &conn->link);
            conn_free(conn);
        }
    }
}

static struct MpTargetConn *
pop_idle(struct MpConnPool *this)
{
    MpConnPool_Sweep(this, MpLoop_Now());
    GList *link = g_queue_pop_head_link(&this->idle);
    return link ? link->data : NULL;
}

static struct MpTargetConn *
conn_new(struct MpConnPool *this)
{
    struct sockaddr_in addr;
    struct MpTargetConn *conn = g_new0(struct MpTargetConn, 1);
    conn->conn_pool = this;
    conn->head = g_string_new(NULL);
    conn->headers = g_array_new(false, false, sizeof(struct header_span));
    conn->idle_timeout_ms = MP_TARGET_IDLE_MS;
    this->open++;
    this->opened++;
    if (MpLoop_ParseAddress(this->address, &addr)) {
        conn->socket =
            h2o_socket_connect(this->loop->h2o, (struct sockaddr *)&addr,
                               sizeof(addr), on_connect);
    }
    if (conn->socket) {
        int window = MP_TARGET_WINDOW_BYTES;
        conn->socket->data = conn;
        setsockopt(h2o_socket_get_fd(conn->socket), SOL_SOCKET, SO_RCVBUF,
                   &window, sizeof(window));
    }
    return conn;
}

struct MpTargetConn *
MpConnPool_Send(struct MpConnPool *this, const struct MpTargetConnClass *klass,
                void *owner, const struct MpTargetRequest *request)
{
    struct MpTargetConn *conn =
        request->needs_new_conn ? NULL : pop_idle(this);
    bool is_new = !conn;
    if (is_new) {
        conn = conn_new(this);
    }
    else {
        this->reused++;
    }
    conn->klass = klass;
    conn->owner = owner;
    conn->request = request->bytes;
    conn->id_header = g_strdup(request->id_header);
    conn->id = g_strdup(request->id);
    conn->is_head_request = request->is_head;
    conn->is_complete = false;
    conn->is_reusable = true;
    if (!is_new) {
        write_request(conn);
        return conn;
    }
    /* If there is no socket, the request fails in the next loop iteration. */
    MpLoop_SetTimer(this->loop, &conn->timer,
                    conn->socket ? MP_TARGET_CONNECT_MS : 0,
                    on_connect_timeout, conn);
    return conn;
}

void
MpConnPool_Probe(struct MpConnPool *this, MpProbeDone probe_done, void *owner)
{
    struct MpTargetConn *conn = conn_new(this);
    conn->probe_done = probe_done;
    conn->owner = owner;
    MpLoop_SetTimer(this->loop, &conn->timer,
                    conn->socket ? MP_TARGET_PROBE_MS : 0, on_probe_timeout,
                    conn);
}

void
MpTargetConn_Cancel(struct MpTargetConn *this)
{
    clear_request(this);
    conn_free(this);
}

void
MpTargetConn_Pause(struct MpTargetConn *this)
{
    if (!this->is_paused && this->socket) {
        this->is_paused = true;
        h2o_socket_read_stop(this->socket);
    }
}

void
MpTargetConn_Resume(struct MpTargetConn *this)
{
    if (this->is_paused && this->socket) {
        this->is_paused = false;
        h2o_socket_read_start(this->socket, on_read);
    }
}
