#include "commands/LoadConn.h"

#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#define CONNECT_TIMEOUT_MS 1000

struct MpLoadConn {
    const struct MpLoadConnClass *klass; /* NULL while idle */
    void *owner;
    struct MpLoadConns *conns;
    const char *address;
    GList link; /* in the queue of idle connections */
    h2o_socket_t *socket;
    struct MpTimer timer; /* of connecting */
    http_parser parser;
    GByteArray *request;
    GString *name;      /* of the header being read */
    GString *value;     /* of the header being read */
    bool is_last_value; /* the last part parsed was a header value */
    bool is_written;
    bool has_bytes; /* of the response */
    bool is_complete;
    bool is_in_callback; /* the owner may cancel */
    bool is_cancelled;
};

static GQueue *
idle_queue(struct MpLoadConns *this, const char *address)
{
    GQueue *queue = g_hash_table_lookup(this->idle, address);
    if (!queue) {
        queue = g_queue_new();
        g_hash_table_insert(this->idle, (char *)address, queue);
    }
    return queue;
}

static void
conn_free(struct MpLoadConn *this)
{
    MpLoop_ClearTimer(&this->timer);
    if (this->socket) {
        h2o_socket_close(this->socket);
    }
    g_clear_pointer(&this->request, g_byte_array_unref);
    g_string_free(this->name, TRUE);
    g_string_free(this->value, TRUE);
    g_free(this);
}

static void
fail(struct MpLoadConn *this, enum MpLoadResult result)
{
    const struct MpLoadConnClass *klass = this->klass;
    void *owner = this->owner;
    bool is_cancelled = this->is_cancelled;
    conn_free(this);
    if (!is_cancelled) {
        klass->end(owner, result);
    }
}

/* ---- reading ---- */

static void
report_header(struct MpLoadConn *this)
{
    if (this->name->len > 0 && !this->is_cancelled) {
        this->klass->header(this->owner, this->name->str, this->value->str);
    }
    g_string_truncate(this->name, 0);
    g_string_truncate(this->value, 0);
    this->is_last_value = false;
}

static int
on_header_field(http_parser *parser, const char *data, size_t size)
{
    struct MpLoadConn *this = parser->data;
    if (this->is_last_value) {
        report_header(this);
    }
    g_string_append_len(this->name, data, (gssize)size);
    return 0;
}

static int
on_header_value(http_parser *parser, const char *data, size_t size)
{
    struct MpLoadConn *this = parser->data;
    this->is_last_value = true;
    g_string_append_len(this->value, data, (gssize)size);
    return 0;
}

static int
on_headers_complete(http_parser *parser)
{
    struct MpLoadConn *this = parser->data;
    report_header(this);
    if (!this->is_cancelled) {
        this->klass->head(this->owner, (int)parser->status_code);
    }
    /* These have no body, whatever their length says. */
    return parser->status_code == 204 || parser->status_code == 304 ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *data, size_t size)
{
    struct MpLoadConn *this = parser->data;
    if (!this->is_cancelled) {
        this->klass->body(this->owner, data, size);
    }
    return 0;
}

static int
on_message_complete(http_parser *parser)
{
    struct MpLoadConn *this = parser->data;
    this->is_complete = true;
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
complete(struct MpLoadConn *this)
{
    const struct MpLoadConnClass *klass = this->klass;
    void *owner = this->owner;
    bool is_cancelled = this->is_cancelled;
    bool has_rest = this->socket->input->size > 0;
    this->conns->stray += has_rest;
    if (is_cancelled || has_rest || !this->is_written ||
        !http_should_keep_alive(&this->parser)) {
        conn_free(this);
    }
    else {
        this->klass = NULL;
        g_clear_pointer(&this->request, g_byte_array_unref);
        this->link.data = this;
        g_queue_push_head_link(idle_queue(this->conns, this->address),
                               &this->link);
    }
    if (!is_cancelled) {
        klass->end(owner, MP_LOAD_COMPLETE);
    }
}

/* Idle: the server closed the connection, or the bytes are stray. */
static void
close_idle(struct MpLoadConn *this)
{
    this->conns->stray += this->socket->input->size > 0;
    g_queue_unlink(idle_queue(this->conns, this->address), &this->link);
    conn_free(this);
}

static void
on_read(h2o_socket_t *socket, const char *error)
{
    struct MpLoadConn *this = socket->data;
    h2o_buffer_t **input = &socket->input;
    if (!this->klass) {
        close_idle(this);
        return;
    }
    size_t size = (*input)->size;
    this->has_bytes = this->has_bytes || size > 0;
    this->is_in_callback = true;
    size_t used = size > 0
                      ? http_parser_execute(&this->parser, &parser_settings,
                                            (*input)->bytes, size)
                      : 0;
    this->is_in_callback = false;
    enum http_errno parse_error = HTTP_PARSER_ERRNO(&this->parser);
    if (this->is_cancelled ||
        (parse_error != HPE_OK && parse_error != HPE_PAUSED)) {
        fail(this, MP_LOAD_INCOMPLETE);
        return;
    }
    h2o_buffer_consume(input, MIN(used, size));
    if (this->is_complete) {
        complete(this);
    }
    else if (error) {
        fail(this, this->is_written && !this->has_bytes ? MP_LOAD_UNANSWERED
                                                        : MP_LOAD_INCOMPLETE);
    }
}

/* ---- writing ---- */

static void
on_written(h2o_socket_t *socket, const char *error)
{
    struct MpLoadConn *this = socket->data;
    /* After an error, reading tells how the request ends. */
    this->is_written = !error;
}

static void
write_request(struct MpLoadConn *this)
{
    h2o_iovec_t buffer =
        h2o_iovec_init(this->request->data, this->request->len);
    http_parser_init(&this->parser, HTTP_RESPONSE);
    this->parser.data = this;
    this->is_complete = false;
    this->is_written = false;
    this->has_bytes = false;
    h2o_socket_read_start(this->socket, on_read);
    h2o_socket_write(this->socket, &buffer, 1, on_written);
}

static void
on_connect(h2o_socket_t *socket, const char *error)
{
    struct MpLoadConn *this = socket->data;
    int yes = 1;
    MpLoop_ClearTimer(&this->timer);
    if (error) {
        fail(this, MP_LOAD_NOT_SENT);
        return;
    }
    setsockopt(h2o_socket_get_fd(socket), IPPROTO_TCP, TCP_NODELAY, &yes,
               sizeof(yes));
    write_request(this);
}

static void
on_connect_timeout(struct MpTimer *timer)
{
    fail(timer->data, MP_LOAD_NOT_SENT);
}

/* ---- interface ---- */

void
MpLoadConns_Init(struct MpLoadConns *this, struct MpLoop *loop)
{
    *this = (struct MpLoadConns){
        .loop = loop, .idle = g_hash_table_new(g_str_hash, g_str_equal)};
}

static struct MpLoadConn *
conn_new(struct MpLoadConns *this, const char *address)
{
    struct sockaddr_in addr;
    struct MpLoadConn *conn = g_new0(struct MpLoadConn, 1);
    conn->conns = this;
    conn->address = address;
    conn->name = g_string_new(NULL);
    conn->value = g_string_new(NULL);
    this->opened++;
    if (MpLoop_ParseAddress(address, &addr)) {
        conn->socket =
            h2o_socket_connect(this->loop->h2o, (struct sockaddr *)&addr,
                               sizeof(addr), on_connect);
    }
    if (conn->socket) {
        conn->socket->data = conn;
    }
    /* If there is no socket, the request fails in the next loop iteration. */
    MpLoop_SetTimer(this->loop, &conn->timer,
                    conn->socket ? CONNECT_TIMEOUT_MS : 0, on_connect_timeout,
                    conn);
    return conn;
}

struct MpLoadConn *
MpLoadConns_Send(struct MpLoadConns *this, const struct MpLoadConnClass *klass,
                 void *owner, const char *address, GByteArray *request)
{
    GList *link = g_queue_pop_head_link(idle_queue(this, address));
    struct MpLoadConn *conn = link ? link->data : conn_new(this, address);
    conn->klass = klass;
    conn->owner = owner;
    conn->request = request;
    if (link) {
        this->reused++;
        write_request(conn);
    }
    return conn;
}

bool
MpLoadConn_IsWritten(const struct MpLoadConn *this)
{
    return this->is_written;
}

void
MpLoadConn_Cancel(struct MpLoadConn *this)
{
    if (this->is_in_callback) {
        this->is_cancelled = true;
        return;
    }
    conn_free(this);
}
