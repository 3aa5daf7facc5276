#include "transport/TargetConnInternal.h"

#include "transport/Log.h"
#include "transport/TargetSocket.h"

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* Bytes of unrequested data that are counted. */
#define PEEK_BYTES 4096

/* ---- lifetime ---- */

static void
clear_request(struct MpTargetConn *this)
{
    MpPathWait_End(&this->wait);
    MpLoop_ClearTimer(&this->timer);
    this->is_rest_skipped = false;
    g_clear_pointer(&this->request, g_byte_array_unref);
    g_clear_pointer(&this->sent, MpRequestBody_Unref);
    this->klass = NULL;
    this->owner = NULL;
}

void
MpTargetConn_Free(struct MpTargetConn *this)
{
    if (this->is_in_callback) {
        this->is_free_pending = true;
        return;
    }
    MpLoop_ClearTimer(&this->timer);
    clear_request(this);
    if (this->dial) {
        MpDial_Cancel(this->dial);
    }
    if (this->socket) {
        h2o_socket_close(this->socket);
    }
    if (this->peer) {
        MpDialer_CloseTunnel(this->conn_pool->dialer, this->peer);
        g_byte_array_unref(this->unframed);
        g_free(this->peer);
    }
    this->conn_pool->open--;
    MpConnPool_FreeUnused(this->conn_pool);
    MpResponseReader_Done(&this->reader);
    g_array_unref(this->id_hashes);
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

/* Notes a connection that was reset, or broke before it brought any data. */
static void
note_broken(const struct MpTargetConn *this, const char *failure)
{
    struct MpDialer *dialer = this->conn_pool->dialer;
    if (this->peer && (this->received_bytes == 0 || this->is_peer_gone)) {
        MpTunnelPeers_NoteResult(&dialer->peers, this->peer,
                                 this->is_peer_gone ? MP_PEER_FAILED
                                                    : MP_PEER_BROKEN,
                                 MpLoop_Now());
    }
    if (dialer && this->wait.path && strcmp(failure, "reset") == 0) {
        MpDialer_NoteReset(dialer, this->conn_pool->address);
    }
    else if (dialer && this->wait.path && this->received_bytes == 0) {
        MpTargetPaths_NoteBroken(&dialer->paths, this->conn_pool->address,
                                 MpLoop_Now());
    }
}

/* Ends the request and closes the connection.  failure is the reason for the
 * log, NULL if the request did not fail. */
static void
fail(struct MpTargetConn *this, enum MpTargetResult result,
     const char *failure)
{
    this->failure = failure;
    if (failure) {
        note_broken(this, failure);
    }
    if (failure && this->conn_pool->metrics) {
        MpMetrics_Count(this->conn_pool->metrics,
                        "mimosapath_connections_failed_total", "reason",
                        failure, 1);
    }
    bool was_in_callback = this->is_in_callback;
    this->is_in_callback = true;
    finish(this, result);
    this->is_in_callback = was_in_callback;
    MpTargetConn_Free(this);
}

/* ---- reading ---- */

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

static void
on_head(void *owner, const struct MpTargetHead *head)
{
    struct MpTargetConn *this = owner;
    if (this->klass) {
        this->idle_timeout_ms = read_idle_timeout(head);
        this->klass->head(this->owner, head);
    }
}

static void
on_body(void *owner, const char *data, size_t size)
{
    struct MpTargetConn *this = owner;
    MpBodyJoin_Add(&this->body, data, size);
}

static void
pass_body(void *owner, const char *data, size_t size)
{
    struct MpTargetConn *this = owner;
    if (this->klass && !this->is_rest_skipped) {
        this->klass->body(this->owner, data, size);
    }
}

/* Ends a request whose response goes on, though nobody gets the rest. */
static void
leave_rest(struct MpTargetConn *this)
{
    MpLog_Event(LOG_NOTICE, "answer-left",
                "id=%s target=%s received_bytes=%zu",
                this->reader.id ? this->reader.id : "-",
                this->conn_pool->address, this->received_bytes);
    fail(this, MP_TARGET_COMPLETE, NULL);
}

static void
on_rest_timeout(struct MpTimer *timer)
{
    leave_rest(timer->data);
}

static void
report_stray(const struct MpTargetConn *this, enum MpStrayReason reason,
             int status, int64_t bytes)
{
    const struct MpConnPool *conn_pool = this->conn_pool;
    const char *name = MpStrayReason_Name(reason);
    bool has_id = this->klass && this->reader.id && this->reader.id[0];
    if (conn_pool->metrics) {
        MpMetrics_Count(conn_pool->metrics, "mimosapath_answers_stray_total",
                        "reason", name, 1);
    }
    MpLog_Event(LOG_WARNING, "answer-stray",
                "id=%s target=%s reason=%s status=%d bytes=%" PRId64
                " requests=%u",
                has_id ? this->reader.id : "-", conn_pool->address, name,
                status, bytes, this->requests);
}

/* Closes the idle connections, and keeps none for a while. */
static void
stop_keeping(struct MpConnPool *this)
{
    int64_t now_ms = MpLoop_Now();
    if (now_ms >= this->no_keep_until_ms) {
        MpLog_Event(LOG_WARNING, "connections-not-kept",
                    "target=%s idle=%u for_ms=%d", this->address,
                    this->idle.length, MP_TARGET_NO_KEEP_MS);
    }
    this->no_keep_until_ms = now_ms + MP_TARGET_NO_KEEP_MS;
    MpConnPool_CloseIdle(this);
}

static void
on_stray(void *owner, enum MpStrayReason reason,
         const struct MpTargetHead *head)
{
    struct MpTargetConn *this = owner;
    report_stray(this, reason, head->status, head->size);
    if (reason == MP_STRAY_NO_ID && this->requests > 1) {
        stop_keeping(this->conn_pool);
    }
}

static const struct MpResponseReaderClass reader_class = {
    .head = on_head, .body = on_body, .stray = on_stray};

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
complete(struct MpTargetConn *this, enum MpTargetResult result)
{
    size_t rest = this->socket->input->size;
    bool may_keep = MpResponseReader_MayKeep(&this->reader) && !this->peer &&
                    this->is_written && rest == 0 && !this->is_paused &&
                    this->requests < MP_TARGET_REQUESTS_MAX &&
                    !this->conn_pool->is_deleted &&
                    this->conn_pool->open <= this->conn_pool->kept_max &&
                    MpLoop_Now() >= this->conn_pool->no_keep_until_ms;
    if (rest > 0) {
        report_stray(this, MP_STRAY_UNREQUESTED, 0, (int64_t)rest);
    }
    if (!may_keep) {
        fail(this, result, NULL);
        return;
    }
    this->is_in_callback = true;
    finish(this, result);
    this->is_in_callback = false;
    if (this->is_free_pending || this->conn_pool->is_deleted) {
        MpTargetConn_Free(this);
        return;
    }
    become_idle(this);
}

/* Takes what the peer has passed on out of its frames.  Returns why no more
 * can come, NULL if it can or the target has closed in good order. */
static const char *
unframe(struct MpTargetConn *this, bool is_ended)
{
    size_t used =
        MpFrameReader_Read(&this->frames, this->socket->input->bytes,
                           this->socket->input->size, this->unframed);
    h2o_buffer_consume(&this->socket->input, used);
    switch (this->frames.end) {
    case MP_FRAME_END_CLOSED:
        return NULL;
    case MP_FRAME_END_RESET:
        return "reset";
    case MP_FRAME_END_INVALID:
        return "malformed";
    case MP_FRAME_END_NONE:
        break;
    }
    this->is_peer_gone = is_ended;
    return is_ended ? "peer-gone" : NULL;
}

/* Notes bytes of the target that were read; the marks of a tunnel are none. */
static void
note_received(struct MpTargetConn *this, size_t size)
{
    struct MpDialer *dialer = this->conn_pool->dialer;
    if (size == 0) {
        return;
    }
    if (dialer) {
        dialer->received_bytes += size;
    }
    if (this->peer && this->received_bytes == 0) {
        MpDialer_NoteReached(dialer, this->conn_pool->address, this->peer);
    }
    this->received_bytes += size;
    if (this->wait.path) {
        MpDialer_NoteData(dialer, &this->wait);
    }
}

static enum MpReadResult
read_response(struct MpTargetConn *this, bool is_end, size_t *used)
{
    const h2o_buffer_t *input = this->socket->input;
    return this->peer
               ? MpResponseReader_Read(&this->reader,
                                       (const char *)this->unframed->data,
                                       this->unframed->len, is_end, used)
               : MpResponseReader_Read(&this->reader, input->bytes,
                                       input->size, is_end, used);
}

/* The target closed an idle connection or sent unrequested data. */
static void
end_idle(struct MpTargetConn *this)
{
    if (this->socket->input->size > 0) {
        report_stray(this, MP_STRAY_UNREQUESTED, 0,
                     (int64_t)this->socket->input->size);
    }
    g_queue_unlink(&this->conn_pool->idle, &this->link);
    MpTargetConn_Free(this);
}

/* Goes on after a read of the response; failure is why nothing follows, or
 * NULL. */
static void
finish_read(struct MpTargetConn *this, enum MpReadResult result, bool is_end,
            const char *failure)
{
    bool must_leave_rest = this->is_rest_skipped &&
                           ((result == MP_READ_INVALID && !is_end) ||
                            (result == MP_READ_MORE && !failure &&
                             this->received_bytes > this->rest_max_bytes));
    if (must_leave_rest) {
        leave_rest(this);
    }
    else if (result == MP_READ_INVALID) {
        fail(this, MP_TARGET_INCOMPLETE, is_end ? "closed" : "malformed");
    }
    else if (result == MP_READ_CLOSED && !this->is_written) {
        /* A write that failed takes the error of a reset, and the read that
         * follows it returns an end in good order. */
        fail(this, MP_TARGET_INCOMPLETE, "reset");
    }
    else if (result != MP_READ_MORE) {
        complete(this, result == MP_READ_CLOSED ? MP_TARGET_CLOSED
                                                : MP_TARGET_COMPLETE);
    }
    else if (failure) {
        fail(this, MP_TARGET_INCOMPLETE, failure);
    }
}

static void
on_read(h2o_socket_t *socket, const char *error)
{
    struct MpTargetConn *this = socket->data;
    size_t used;
    if (!this->klass) {
        end_idle(this);
        return;
    }
    bool is_end = error && error == h2o_socket_error_closed;
    const char *failure = error && !is_end ? "reset" : NULL;
    if (this->peer) {
        size_t unread = this->unframed->len;
        failure = unframe(this, error != NULL);
        is_end = this->frames.end == MP_FRAME_END_CLOSED;
        note_received(this, this->unframed->len - unread);
    }
    else {
        note_received(this, socket->input->size);
    }
    if (failure && !this->peer) {
        fail(this, MP_TARGET_INCOMPLETE, failure);
        return;
    }
    this->is_in_callback = true;
    enum MpReadResult result = read_response(this, is_end, &used);
    MpBodyJoin_Flush(&this->body);
    this->is_in_callback = false;
    if (this->is_free_pending) {
        MpTargetConn_Free(this);
        return;
    }
    if (this->peer) {
        MpLoop_ConsumeArray(&this->unframed, used);
    }
    else {
        h2o_buffer_consume(&socket->input, used);
    }
    MpLoop_FreeInput(socket);
    finish_read(this, result, is_end, failure);
}

/* ---- writing ---- */

static void
on_written(h2o_socket_t *socket, const char *error)
{
    struct MpTargetConn *this = socket->data;
    this->is_written = true;
    g_clear_pointer(&this->sent, MpRequestBody_Unref);
    if (error) {
        fail(this, MP_TARGET_INCOMPLETE, "reset");
    }
}

bool
MpTargetConn_IsSilent(const struct MpTargetConn *this)
{
    char data[PEEK_BYTES];
    size_t buffered = this->socket->input->size;
    ssize_t size = recv(h2o_socket_get_fd(this->socket), data, sizeof(data),
                        MSG_PEEK | MSG_DONTWAIT);
    if (buffered > 0 || size > 0) {
        report_stray(this, MP_STRAY_UNREQUESTED, 0,
                     (int64_t)buffered + MAX(size, 0));
        return false;
    }
    return size < 0 && (errno == EAGAIN || errno == EINTR);
}

void
MpTargetConn_Write(struct MpTargetConn *this)
{
    h2o_iovec_t buffers[] = {
        h2o_iovec_init(this->request->data, this->request->len),
        this->sent ? h2o_iovec_init(this->sent->data, this->sent->size)
                   : h2o_iovec_init(NULL, 0)};
    size_t count = buffers[1].len > 0 ? 2 : 1;
    bool is_large = buffers[0].len + buffers[1].len > MP_WINDOW_MIN_BYTES;
    if (is_large != this->is_large) {
        this->is_large = is_large;
        MpTargetSocket_SetUnacked(this->socket, is_large ? MP_UNACKED_LARGE_MS
                                                         : MP_UNACKED_MS);
    }
    this->is_written = false;
    this->received_bytes = 0;
    if (this->conn_pool->dialer) {
        this->conn_pool->dialer->sent_bytes += buffers[0].len + buffers[1].len;
    }
    if (this->conn_pool->dialer && !this->peer) {
        MpTargetPaths_StartWait(&this->conn_pool->dialer->paths, &this->wait,
                                this->conn_pool->address, this->requests == 1,
                                this->expected_ms, MpLoop_Now());
    }
    h2o_socket_read_start(this->socket, on_read);
    h2o_socket_write(this->socket, buffers, count, on_written);
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
    if (result != MP_PROBE_LISTENING || this->peer ||
        this->conn_pool->is_deleted) {
        MpTargetConn_Free(this);
        return;
    }
    h2o_socket_read_start(this->socket, on_read);
    become_idle(this);
}

static void
on_dialed(void *data, const struct MpDialed *dialed)
{
    struct MpTargetConn *this = data;
    this->dial = NULL;
    MpLoop_ClearTimer(&this->timer);
    if (!dialed->socket && this->probe_done) {
        report_probe(this, dialed->is_refused ? MP_PROBE_REFUSED
                                              : MP_PROBE_TIMED_OUT);
        return;
    }
    if (!dialed->socket) {
        fail(this, MP_TARGET_NOT_SENT, dialed->failure);
        return;
    }
    this->socket = dialed->socket;
    this->socket->data = this;
    MpTargetSocket_SetNoDelay(this->socket);
    MpTargetSocket_SetUnacked(this->socket, MP_UNACKED_MS);
    if (dialed->peer) {
        this->peer = g_strdup(dialed->peer);
        this->unframed = g_byte_array_new();
    }
    if (this->probe_done) {
        report_probe(this, MP_PROBE_LISTENING);
        return;
    }
    if (!MpTargetConn_IsSilent(this)) {
        fail(this, MP_TARGET_NOT_SENT, "unrequested-data");
        return;
    }
    if (this->klass->is_wanted && !this->klass->is_wanted(this->owner)) {
        fail(this, MP_TARGET_NOT_SENT, MP_TARGET_UNWANTED);
        return;
    }
    MpTargetConn_Write(this);
}

void
MpTargetConn_ExpireProbe(struct MpTimer *timer)
{
    report_probe(timer->data, MP_PROBE_TIMED_OUT);
}

/* ---- interface ---- */

struct MpTargetConn *
MpTargetConn_New(struct MpConnPool *conn_pool, enum MpConnPurpose purpose,
                 const struct MpRegionRule *regions, const char *id)
{
    struct MpTargetConn *conn = g_new0(struct MpTargetConn, 1);
    conn->conn_pool = conn_pool;
    MpResponseReader_Init(&conn->reader, &reader_class, conn);
    conn->body = (struct MpBodyJoin){.body = pass_body, .owner = conn};
    conn->id_hashes = g_array_new(false, false, sizeof(uint64_t));
    conn->idle_timeout_ms = MP_TARGET_IDLE_MS;
    conn_pool->open++;
    conn_pool->opened++;
    conn->dial = MpDial_Start(conn_pool->loop, conn_pool->dialer,
                              conn_pool->address, purpose, regions, id,
                              conn_pool->connect_ms, on_dialed, conn);
    return conn;
}

void
MpTargetConn_Cancel(struct MpTargetConn *this)
{
    clear_request(this);
    MpTargetConn_Free(this);
}

bool
MpTargetConn_IsSent(const struct MpTargetConn *this)
{
    return this->socket != NULL;
}

bool
MpTargetConn_IsKept(const struct MpTargetConn *this)
{
    return this->requests > 1;
}

enum MpAttribution
MpTargetConn_Attribution(const struct MpTargetConn *this)
{
    return MpResponseReader_Attribution(&this->reader);
}

const char *
MpTargetConn_FailureReason(const struct MpTargetConn *this)
{
    return this->failure ? this->failure : "-";
}

const char *
MpTargetConn_Peer(const struct MpTargetConn *this)
{
    return this->peer ? this->peer : "-";
}

bool
MpTargetConn_IsPeerGone(const struct MpTargetConn *this)
{
    return this->is_peer_gone;
}

bool
MpTargetConn_IsStuck(const struct MpTargetConn *this, int64_t now_ms)
{
    return this->wait.path &&
           MpTargetPaths_IsStuck(&this->conn_pool->dialer->paths, &this->wait,
                                 now_ms);
}

void
MpTargetConn_SkipRest(struct MpTargetConn *this,
                      const struct MpTargetHead *head)
{
    bool is_long = head->size > MP_TARGET_REST_MAX_BYTES;
    this->is_rest_skipped = true;
    this->rest_max_bytes =
        is_long ? 0 : this->received_bytes + MP_TARGET_REST_MAX_BYTES;
    MpLoop_SetTimer(this->conn_pool->loop, &this->timer, MP_TARGET_REST_MS,
                    on_rest_timeout, this);
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
