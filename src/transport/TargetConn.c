#include "transport/TargetConn.h"

#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>

/* Largest head of an answer, bytes. */
#define HEAD_MOST_BYTES 65536

/* Place of a header in the text of the head. */
struct header_place {
    guint name;
    guint name_size;
    guint value;
    guint value_size;
};

struct MpTargetConn {
    const struct MpTargetConnClass *klass; /* NULL while idle */
    void *owner;
    MpTargetSeen seen; /* NULL unless the connection is to show the target */
    struct MpTargetPlace *place;
    GList link; /* in place->idle */
    h2o_socket_t *socket;
    struct MpTimer timer;
    http_parser parser;
    GByteArray *request;
    char *id_header;
    char *id;
    GString *head;
    GArray *headers; /* of struct header_place */
    bool is_value;   /* the last piece of the head was a value */
    bool is_head_request;
    bool is_sent; /* bytes of the request may have left */
    bool is_written;
    bool is_stray;      /* the answer that is read belongs to nobody */
    size_t stray_bytes; /* since the request was sent */
    bool is_reusable;   /* so far */
    bool is_whole;
    bool is_paused;
    bool is_inside; /* a callback of the owner is running */
    bool is_dead;   /* to be freed when nothing is inside */
    int64_t keep_ms;
    int64_t idle_ms; /* since when */
};

static void on_read(h2o_socket_t *socket, const char *error);

/* ---- life ---- */

static void
forget_request(struct MpTargetConn *this)
{
    g_clear_pointer(&this->request, g_byte_array_unref);
    g_clear_pointer(&this->id_header, g_free);
    g_clear_pointer(&this->id, g_free);
    this->klass = NULL;
    this->owner = NULL;
}

static void
maybe_free_place(struct MpTargetPlace *place)
{
    if (place->is_deleted && place->open == 0) {
        g_free(place->address);
        g_free(place);
    }
}

static void
conn_free(struct MpTargetConn *this)
{
    if (this->is_inside) {
        this->is_dead = true;
        return;
    }
    MpLoop_ClearTimer(&this->timer);
    forget_request(this);
    if (this->socket) {
        h2o_socket_close(this->socket);
    }
    this->place->open--;
    maybe_free_place(this->place);
    g_string_free(this->head, TRUE);
    g_array_unref(this->headers);
    g_free(this);
}

static void
finish(struct MpTargetConn *this, enum MpTargetEnd end)
{
    const struct MpTargetConnClass *klass = this->klass;
    void *owner = this->owner;
    forget_request(this);
    if (klass) {
        klass->end(owner, end);
    }
}

/* Ends the request and the connection. */
static void
fail(struct MpTargetConn *this, enum MpTargetEnd end)
{
    bool was_inside = this->is_inside;
    this->is_inside = true;
    finish(this, end);
    this->is_inside = was_inside;
    conn_free(this);
}

/* ---- reading ---- */

static struct header_place *
last_header(struct MpTargetConn *this)
{
    return &g_array_index(this->headers, struct header_place,
                          this->headers->len - 1);
}

static int
on_header_field(http_parser *parser, const char *data, size_t size)
{
    struct MpTargetConn *this = parser->data;
    if (this->is_value || this->headers->len == 0) {
        struct header_place place = {.name = (guint)this->head->len};
        g_array_append_val(this->headers, place);
        this->is_value = false;
    }
    g_string_append_len(this->head, data, (gssize)size);
    last_header(this)->name_size += (guint)size;
    return this->head->len > HEAD_MOST_BYTES;
}

static int
on_header_value(http_parser *parser, const char *data, size_t size)
{
    struct MpTargetConn *this = parser->data;
    if (!this->is_value) {
        this->is_value = true;
        last_header(this)->value = (guint)this->head->len;
    }
    g_string_append_len(this->head, data, (gssize)size);
    last_header(this)->value_size += (guint)size;
    return this->head->len > HEAD_MOST_BYTES;
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

/* Reads timeout=SECONDS of a Keep-Alive header. */
static int64_t
keep_time(const struct MpTargetHead *head)
{
    size_t size;
    const char *value = MpTargetHead_Find(head, "keep-alive", &size);
    if (!value) {
        return MP_TARGET_KEEP_MS;
    }
    char *text = g_strndup(value, size);
    const char *timeout = strstr(text, "timeout=");
    int64_t keep_ms =
        timeout ? strtoll(timeout + 8, NULL, 10) * 1000 : MP_TARGET_KEEP_MS;
    g_free(text);
    return keep_ms;
}

static bool
is_own_answer(const struct MpTargetConn *this, const struct MpTargetHead *head)
{
    size_t size;
    if (!this->id_header || !this->id) {
        return true;
    }
    const char *value = MpTargetHead_Find(head, this->id_header, &size);
    return !value ||
           (size == strlen(this->id) && memcmp(value, this->id, size) == 0);
}

/* Counts bytes that belong to nobody. */
static bool
is_too_stray(struct MpTargetConn *this, size_t size)
{
    this->stray_bytes += size;
    return this->stray_bytes > MP_TARGET_STRAY_MOST_BYTES;
}

static int
on_headers_complete(http_parser *parser)
{
    struct MpTargetConn *this = parser->data;
    guint count = this->headers->len;
    struct MpTargetHeader *headers = g_new(struct MpTargetHeader, count + 1);
    for (guint i = 0; i < count; i++) {
        const struct header_place *at =
            &g_array_index(this->headers, struct header_place, i);
        headers[i] =
            (struct MpTargetHeader){.name = this->head->str + at->name,
                                    .name_size = at->name_size,
                                    .value = this->head->str + at->value,
                                    .value_size = at->value_size};
    }
    bool has_size = (parser->flags & F_CONTENTLENGTH) != 0;
    struct MpTargetHead head = {
        .status = (int)parser->status_code,
        .size = has_size ? (int64_t)parser->content_length : -1,
        .headers = headers,
        .count = count};
    bool is_interim = head.status >= 100 && head.status < 200;
    this->is_stray = is_interim || !is_own_answer(this, &head);
    if (this->is_stray && !is_interim) {
        this->is_reusable = false;
    }
    if (this->is_stray && is_too_stray(this, this->head->len + 1)) {
        g_free(headers);
        return -1;
    }
    if (!this->is_stray && this->klass) {
        this->keep_ms = keep_time(&head);
        this->klass->head(this->owner, &head);
    }
    g_free(headers);
    return this->is_head_request ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *data, size_t size)
{
    struct MpTargetConn *this = parser->data;
    if (this->is_stray) {
        return is_too_stray(this, size);
    }
    if (this->klass && !this->is_dead) {
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
    this->is_value = false;
    this->is_stray = false;
}

static int
on_message_complete(http_parser *parser)
{
    struct MpTargetConn *this = parser->data;
    this->is_whole = true;
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
    this->idle_ms = MpLoop_Now();
    this->link.data = this;
    g_queue_push_head_link(&this->place->idle, &this->link);
}

/* The answer is whole: the connection is kept or closed. */
static void
complete(struct MpTargetConn *this)
{
    bool is_kept = this->is_reusable && this->is_written &&
                   !this->place->is_deleted &&
                   this->socket->input->size == 0 && !this->is_paused;
    if (!is_kept) {
        fail(this, MP_TARGET_WHOLE);
        return;
    }
    this->is_inside = true;
    finish(this, MP_TARGET_WHOLE);
    this->is_inside = false;
    if (this->is_dead || this->place->is_deleted) {
        conn_free(this);
        return;
    }
    become_idle(this);
}

/* Feeds what has come.  Returns false when the connection is gone. */
static bool
feed(struct MpTargetConn *this, bool is_end)
{
    h2o_buffer_t **input = &this->socket->input;
    do {
        size_t size = (*input)->size;
        if (size == 0 && !is_end) {
            return true;
        }
        this->is_inside = true;
        size_t used = http_parser_execute(&this->parser, &parser_settings,
                                          (*input)->bytes, size);
        this->is_inside = false;
        if (this->is_dead) {
            conn_free(this);
            return false;
        }
        enum http_errno error = HTTP_PARSER_ERRNO(&this->parser);
        if (error != HPE_OK && error != HPE_PAUSED) {
            fail(this, MP_TARGET_CUT);
            return false;
        }
        h2o_buffer_consume(input, MIN(used, size));
        if (!this->is_whole) {
            return true;
        }
        this->is_whole = false;
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
        /* Idle: the target has closed, or sent what nobody asked for. */
        g_queue_unlink(&this->place->idle, &this->link);
        conn_free(this);
        return;
    }
    bool is_end = error && error == h2o_socket_error_closed;
    if (error && !is_end) {
        fail(this, MP_TARGET_CUT);
        return;
    }
    if (feed(this, false) && is_end) {
        /* An answer without a length ends with its connection. */
        this->is_reusable = false;
        if (feed(this, true)) {
            fail(this, MP_TARGET_CUT);
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
        fail(this, MP_TARGET_CUT);
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

/* Ends a look at the target; the connection stays if there is one. */
static void
tell_sign(struct MpTargetConn *this, enum MpTargetSign sign)
{
    MpTargetSeen seen = this->seen;
    void *owner = this->owner;
    this->seen = NULL;
    this->owner = NULL;
    this->is_inside = true;
    seen(owner, sign);
    this->is_inside = false;
    if (sign != MP_TARGET_LISTENS || this->place->is_deleted) {
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
    if (error && this->seen) {
        tell_sign(this, MP_TARGET_ENDED);
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
    if (this->seen) {
        tell_sign(this, MP_TARGET_LISTENS);
        return;
    }
    write_request(this);
}

static void
on_look_late(struct MpTimer *timer)
{
    tell_sign(timer->data, MP_TARGET_MUTE);
}

static void
on_connect_late(struct MpTimer *timer)
{
    fail(timer->data, MP_TARGET_NOT_SENT);
}

/* ---- places ---- */

struct MpTargetPlace *
MpTargetPlace_New(struct MpLoop *loop, const char *address)
{
    struct MpTargetPlace *this = g_new0(struct MpTargetPlace, 1);
    this->loop = loop;
    this->address = g_strdup(address);
    g_queue_init(&this->idle);
    return this;
}

void
MpTargetPlace_Delete(struct MpTargetPlace *this)
{
    GList *link;
    this->open++; /* holds the place until its connections are closed */
    while ((link = g_queue_pop_head_link(&this->idle))) {
        conn_free(link->data);
    }
    this->open--;
    this->is_deleted = true;
    maybe_free_place(this);
}

void
MpTargetPlace_Sweep(struct MpTargetPlace *this, int64_t now_ms)
{
    GList *link = this->idle.head;
    while (link) {
        struct MpTargetConn *conn = link->data;
        link = link->next;
        if (now_ms - conn->idle_ms + MP_TARGET_KEEP_MARGIN_MS >=
            conn->keep_ms) {
            g_queue_unlink(&this->idle, &conn->link);
            conn_free(conn);
        }
    }
}

static struct MpTargetConn *
take_idle(struct MpTargetPlace *this)
{
    MpTargetPlace_Sweep(this, MpLoop_Now());
    GList *link = g_queue_pop_head_link(&this->idle);
    return link ? link->data : NULL;
}

static struct MpTargetConn *
connect_new(struct MpTargetPlace *this)
{
    struct sockaddr_in place;
    struct MpTargetConn *conn = g_new0(struct MpTargetConn, 1);
    conn->place = this;
    conn->head = g_string_new(NULL);
    conn->headers = g_array_new(false, false, sizeof(struct header_place));
    conn->keep_ms = MP_TARGET_KEEP_MS;
    this->open++;
    this->opened++;
    if (MpLoop_ParseAddress(this->address, &place)) {
        conn->socket =
            h2o_socket_connect(this->loop->h2o, (struct sockaddr *)&place,
                               sizeof(place), on_connect);
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
MpTargetPlace_Send(struct MpTargetPlace *this,
                   const struct MpTargetConnClass *klass, void *owner,
                   const struct MpTargetRequest *request)
{
    struct MpTargetConn *conn = request->wants_fresh ? NULL : take_idle(this);
    bool is_new = !conn;
    if (is_new) {
        conn = connect_new(this);
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
    conn->is_whole = false;
    conn->is_reusable = true;
    if (!is_new) {
        write_request(conn);
        return conn;
    }
    /* A socket that could not be made fails in the next round. */
    MpLoop_SetTimer(this->loop, &conn->timer,
                    conn->socket ? MP_TARGET_CONNECT_MS : 0, on_connect_late,
                    conn);
    return conn;
}

void
MpTargetPlace_Look(struct MpTargetPlace *this, MpTargetSeen seen, void *owner)
{
    struct MpTargetConn *conn = connect_new(this);
    conn->seen = seen;
    conn->owner = owner;
    MpLoop_SetTimer(this->loop, &conn->timer,
                    conn->socket ? MP_TARGET_LOOK_MS : 0, on_look_late, conn);
}

void
MpTargetConn_Cancel(struct MpTargetConn *this)
{
    forget_request(this);
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
