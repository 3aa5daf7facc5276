#include "transport/Tunnel.h"

#include "protocol/TunnelFrame.h"
#include "state/Error.h"
#include "transport/Log.h"
#include "transport/TargetNotice.h"
#include "transport/TargetSocket.h"

#include <inttypes.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

/* Reading stops above this much output that is not written yet, bytes. */
#define OUT_HIGH_BYTES (256 * 1024)
/* A tunnel without any data for this long is closed, ms. */
#define IDLE_MAX_MS 60000
/* After the target's end the other instance has this long to close, ms. */
#define LINGER_MS 1000
/* Status line of an answer that may ask for a pause. */
#define REFUSAL "HTTP/1.1 503"

/* One of the two connections of a tunnel. */
struct tunnel_end {
    struct MpTunnel *tunnel;
    h2o_socket_t *socket;
    GByteArray *out;     /* to be written next */
    GByteArray *writing; /* is being written */
    bool is_stopped;     /* reading from it */
    bool has_write_failed;
    uint64_t received_bytes;
};

struct MpTunnel {
    struct MpGateway *gateway;
    GList link;
    struct MpRpcCall *call; /* until it is replied to */
    struct MpDial *dial;
    char *address; /* of the target */
    char *instance;
    char *id; /* of the request */
    struct tunnel_end peer;
    struct tunnel_end target;
    struct MpPathWait wait; /* for the target's first data */
    bool has_ended;         /* the target's connection has */
    const char *how;
    int64_t began_ms;
    int64_t active_ms; /* last data */
    struct MpMemoryHolder memory;
    struct MpTimer timer;
};

/* Counts what was read from one side and not yet written to the other. */
static void
count_memory(struct MpTunnel *this)
{
    int64_t bytes = (int64_t)this->peer.out->len + this->peer.writing->len +
                    this->target.out->len + this->target.writing->len;
    if (bytes != this->memory.held_bytes) {
        MpMemoryAccount_Set(this->gateway->memory, &this->memory, bytes,
                            MpLoop_Now());
    }
}

static void
free_end(struct tunnel_end *end)
{
    if (end->socket) {
        h2o_socket_close(end->socket);
    }
    g_byte_array_unref(end->out);
    g_byte_array_unref(end->writing);
}

static void
tunnel_free(struct MpTunnel *this)
{
    MpLog_Event(LOG_INFO, "tunnel-ended",
                "id=%s from=%s target=%s how=%s sent_bytes=%" PRIu64
                " received_bytes=%" PRIu64 " took_ms=%" PRId64,
                this->id, this->instance, this->address, this->how,
                this->peer.received_bytes, this->target.received_bytes,
                MpLoop_Now() - this->began_ms);
    g_queue_unlink(&this->gateway->tunnels, &this->link);
    MpPathWait_End(&this->wait);
    MpLoop_ClearTimer(&this->timer);
    MpMemoryAccount_Set(this->gateway->memory, &this->memory, 0, MpLoop_Now());
    free_end(&this->peer);
    free_end(&this->target);
    g_free(this->address);
    g_free(this->instance);
    g_free(this->id);
    g_free(this);
}

/* ---- what the target says of itself ---- */

static struct MpPoolTarget *
find_target(const struct MpGateway *gateway, const char *address)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, gateway->roster.targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct MpPoolTarget *target = value;
        if (!target->is_removed && strcmp(target->address, address) == 0) {
            return target;
        }
    }
    return NULL;
}

/* Returns the value of a header in the head that data begins with, or NULL. */
static const char *
find_header(const char *data, size_t size, const char *name,
            size_t *value_size)
{
    size_t name_size = strlen(name);
    const char *end = data + size;
    for (const char *line = memchr(data, '\n', size); line && line + 1 < end;
         line = memchr(line + 1, '\n', (size_t)(end - line - 1))) {
        const char *text = line + 1;
        if (text[0] == '\r' || text[0] == '\n') {
            return NULL;
        }
        const char *line_end = memchr(text, '\r', (size_t)(end - text));
        if (line_end && (size_t)(line_end - text) > name_size &&
            strncasecmp(text, name, name_size) == 0 &&
            text[name_size] == ':') {
            *value_size = (size_t)(line_end - text) - name_size - 1;
            return text + name_size + 1;
        }
    }
    return NULL;
}

/* A refusal by way of this instance pauses the requests of this one too. */
static void
read_pause(struct MpTunnel *this, const char *data, size_t size)
{
    struct MpGateway *gateway = this->gateway;
    struct MpPoolTarget *target = find_target(gateway, this->address);
    const struct MpTargetNotice notice = {.id = this->id,
                                          .target = this->address,
                                          .sent_ms = this->began_ms,
                                          .received_ms = MpLoop_Now()};
    size_t value_size = 0;
    if (!target || size < strlen(REFUSAL) ||
        memcmp(data, REFUSAL, strlen(REFUSAL)) != 0) {
        return;
    }
    const char *value =
        find_header(data, size, gateway->dialect->target.pause, &value_size);
    if (value) {
        MpTargetNotice_ReadPause(&notice, value, value_size, &target->pause,
                                 &gateway->target_pauses);
    }
}

/* ---- passing bytes on ---- */

static void on_read(h2o_socket_t *socket, const char *error);

static struct tunnel_end *
other_end(struct tunnel_end *end)
{
    return end == &end->tunnel->peer ? &end->tunnel->target
                                     : &end->tunnel->peer;
}

static void flush(struct tunnel_end *end);

static void
on_written(h2o_socket_t *socket, const char *error)
{
    struct tunnel_end *end = socket->data;
    struct MpTunnel *this = end->tunnel;
    struct tunnel_end *source = other_end(end);
    MpLoop_ConsumeArray(&end->writing, end->writing->len);
    count_memory(this);
    if (error) {
        end->has_write_failed = true;
        this->how = end == &this->peer ? "peer-gone" : "target-reset";
        if (end == &this->target && !this->has_ended) {
            /* The end of the target's answers tells the rest. */
            return;
        }
        tunnel_free(this);
        return;
    }
    if (end->out->len > 0) {
        flush(end);
        return;
    }
    if (this->has_ended && end == &this->peer) {
        shutdown(h2o_socket_get_fd(socket), SHUT_WR);
        return;
    }
    if (source->is_stopped && source->socket) {
        source->is_stopped = false;
        h2o_socket_read_start(source->socket, on_read);
    }
}

static void
flush(struct tunnel_end *end)
{
    if (end->writing->len > 0 || end->out->len == 0) {
        return;
    }
    GByteArray *pending = end->out;
    end->out = end->writing;
    end->writing = pending;
    h2o_iovec_t buffer = h2o_iovec_init(pending->data, pending->len);
    h2o_socket_write(end->socket, &buffer, 1, on_written);
}

static void
on_linger_timeout(struct MpTimer *timer)
{
    tunnel_free(timer->data);
}

static void
end_target(struct MpTunnel *this, bool is_reset)
{
    this->has_ended = true;
    this->how = is_reset ? "target-reset" : "closed";
    if (this->target.received_bytes == 0) {
        MpTargetPaths_NoteBroken(&this->gateway->dialer.paths, this->address,
                                 MpLoop_Now());
    }
    MpPathWait_End(&this->wait);
    h2o_socket_close(this->target.socket);
    this->target.socket = NULL;
    if (this->peer.is_stopped) {
        this->peer.is_stopped = false;
        h2o_socket_read_start(this->peer.socket, on_read);
    }
    MpTunnelFrame_AppendEnd(this->peer.out,
                            is_reset ? MP_FRAME_RESET : MP_FRAME_CLOSED);
    flush(&this->peer);
    MpLoop_SetTimer(this->gateway->loop, &this->timer, LINGER_MS,
                    on_linger_timeout, this);
}

/* Passes on what the target sent, which proves the path. */
static void
pass_answer(struct MpTunnel *this, const char *data, size_t size)
{
    if (this->target.received_bytes == 0) {
        read_pause(this, data, size);
    }
    if (this->wait.path) {
        MpDialer_NoteData(&this->gateway->dialer, &this->wait);
    }
    this->target.received_bytes += size;
    for (size_t at = 0; at < size; at += MP_FRAME_MAX_BYTES) {
        MpTunnelFrame_Append(this->peer.out, data + at,
                             (uint32_t)MIN(size - at, MP_FRAME_MAX_BYTES));
    }
    flush(&this->peer);
}

static void
pass_request(struct MpTunnel *this, const char *data, size_t size)
{
    if (this->peer.received_bytes == 0) {
        /* How long the target needs is known to the other instance alone. */
        MpTargetPaths_StartWait(&this->gateway->dialer.paths, &this->wait,
                                this->address, true, 0, MpLoop_Now());
    }
    bool was_large = this->peer.received_bytes > MP_WINDOW_MIN_BYTES;
    this->peer.received_bytes += size;
    bool is_large = this->peer.received_bytes > MP_WINDOW_MIN_BYTES;
    if (!this->has_ended) {
        if (is_large && !was_large) {
            MpTargetSocket_SetUnacked(this->target.socket,
                                      MP_UNACKED_LARGE_MS);
        }
        g_byte_array_append(this->target.out, (const guint8 *)data,
                            (guint)size);
        flush(&this->target);
    }
}

static void
on_read(h2o_socket_t *socket, const char *error)
{
    struct tunnel_end *end = socket->data;
    struct MpTunnel *this = end->tunnel;
    bool is_target = end == &this->target;
    size_t size = socket->input->size;
    this->active_ms = MpLoop_Now();
    this->gateway->dialer.received_bytes += size;
    this->gateway->dialer.sent_bytes += size;
    if (size > 0) {
        if (is_target) {
            pass_answer(this, socket->input->bytes, size);
        }
        else {
            pass_request(this, socket->input->bytes, size);
        }
        h2o_buffer_consume(&socket->input, size);
        MpLoop_FreeInput(socket);
        count_memory(this);
    }
    if (error && is_target) {
        /* A write that failed takes the error of a reset, and the read that
         * follows it returns an end in good order. */
        bool is_unwritten = this->target.has_write_failed ||
                            this->target.writing->len > 0 ||
                            this->target.out->len > 0;
        end_target(this, error != h2o_socket_error_closed || is_unwritten);
        return;
    }
    if (error) {
        this->how = this->has_ended ? this->how : "peer-gone";
        tunnel_free(this);
        return;
    }
    if (other_end(end)->out->len > OUT_HIGH_BYTES) {
        end->is_stopped = true;
        h2o_socket_read_stop(socket);
    }
}

static void
on_idle_check(struct MpTimer *timer)
{
    struct MpTunnel *this = timer->data;
    int64_t left_ms = this->active_ms + IDLE_MAX_MS - MpLoop_Now();
    if (left_ms <= 0) {
        this->how = "idle";
        tunnel_free(this);
        return;
    }
    MpLoop_SetTimer(this->gateway->loop, timer, left_ms, on_idle_check, this);
}

/* ---- opening ---- */

static void
start_end(struct tunnel_end *end, h2o_socket_t *socket, int unacked_ms)
{
    end->socket = socket;
    socket->data = end;
    MpTargetSocket_SetNoDelay(socket);
    MpTargetSocket_SetUnacked(socket, unacked_ms);
}

static void
on_detached(void *data, h2o_socket_t *socket)
{
    struct MpTunnel *this = data;
    if (!socket) {
        this->how = "peer-gone";
        tunnel_free(this);
        return;
    }
    /* The other instance stops reading while its caller does. */
    start_end(&this->peer, socket, IDLE_MAX_MS);
    h2o_socket_read_start(this->target.socket, on_read);
    h2o_socket_read_start(socket, on_read);
    MpLoop_SetTimer(this->gateway->loop, &this->timer, IDLE_MAX_MS,
                    on_idle_check, this);
    if (socket->input->size > 0) {
        on_read(socket, NULL);
    }
}

static int
dial_error(const struct MpTunnel *this, const struct MpDialed *dialed)
{
    if (MpTargetPaths_IsInDoubt(&this->gateway->dialer.paths)) {
        return MP_ERROR_NOT_READY;
    }
    return dialed->is_refused ? MP_ERROR_CLOSED : MP_ERROR_TIMEOUT;
}

static void
on_dialed(void *data, const struct MpDialed *dialed)
{
    struct MpTunnel *this = data;
    struct MpRpcCall *call = this->call;
    struct mp_tunnel_reply reply = {.code = MP_OK};
    this->dial = NULL;
    this->call = NULL;
    if (!dialed->socket) {
        MpDialer_NoteFailure(&this->gateway->dialer, this->address,
                             dialed->is_refused ? MP_PATH_REFUSED
                                                : MP_PATH_SILENT,
                             this->began_ms, dialed->failure);
        reply.code = dial_error(this, dialed);
        this->how = dialed->failure;
        MpRpcCall_Reply(call, &reply);
        tunnel_free(this);
        return;
    }
    start_end(&this->target, dialed->socket, MP_UNACKED_MS);
    MpRpcCall_ReplyAndDetach(call, &reply, on_detached, this);
}

/* Returns the document's target at address, or NULL. */
static const struct MpTargetConf *
find_native(const struct MpGateway *gateway, const char *address)
{
    const struct MpDocument *document = gateway->control->document;
    GHashTableIter iter;
    void *value;
    if (!document) {
        return NULL;
    }
    g_hash_table_iter_init(&iter, document->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct MpTargetConf *target = value;
        if (strcmp(target->address, address) == 0) {
            return target;
        }
    }
    return NULL;
}

static int
check_call(const struct MpGateway *gateway, const struct mp_tunnel *call)
{
    const struct MpPoolTarget *target = find_target(gateway, call->target);
    if (gateway->is_draining) {
        return MP_ERROR_DRAINING;
    }
    const struct MpTargetConf *native =
        target ? NULL : find_native(gateway, call->target);
    if (!target && !native) {
        return MP_ERROR_NOT_FOUND;
    }
    if (native &&
        MpDrainedZones_Contains(&gateway->control->zones, native->zone)) {
        return MP_ERROR_NO_TARGET;
    }
    if (target && (target->is_leaving || target->is_drained ||
                   MpTargetPause_IsActive(&target->pause, MpLoop_Now()))) {
        return MP_ERROR_NO_TARGET;
    }
    if (gateway->dialer.paths.is_lost ||
        MpTargetPaths_IsObstructed(&gateway->dialer.paths, call->target)) {
        return MP_ERROR_NOT_READY;
    }
    const struct MpMemoryHolder tunnel = {.use = MP_MEMORY_RUNNING};
    return gateway->tunnels.length >= MP_TUNNELS_MAX ||
                   !MpMemoryAccount_Fits(gateway->memory, &tunnel,
                                         OUT_HIGH_BYTES)
               ? MP_ERROR_LIMIT
               : MP_OK;
}

static void
init_end(struct tunnel_end *end, struct MpTunnel *tunnel)
{
    *end = (struct tunnel_end){.tunnel = tunnel,
                               .out = g_byte_array_new(),
                               .writing = g_byte_array_new()};
}

void
MpTunnel_Serve(struct MpGateway *gateway, struct MpRpcCall *call)
{
    const struct mp_tunnel *argument = call->argument;
    struct mp_tunnel_reply reply = {.code = check_call(gateway, argument)};
    if (reply.code != MP_OK) {
        MpLog_Event(LOG_NOTICE, "tunnel-refused",
                    "id=%s from=%s target=%s error=%s tunnels=%u",
                    argument->request, argument->instance, argument->target,
                    MpError_Name(reply.code), gateway->tunnels.length);
        MpRpcCall_Reply(call, &reply);
        return;
    }
    struct MpTunnel *this = g_new0(struct MpTunnel, 1);
    this->gateway = gateway;
    this->call = call;
    this->address = g_strdup(argument->target);
    this->instance = g_strdup(argument->instance);
    this->id = g_strdup(argument->request);
    this->how = "closed";
    this->began_ms = MpLoop_Now();
    this->active_ms = this->began_ms;
    init_end(&this->peer, this);
    init_end(&this->target, this);
    this->memory.use = MP_MEMORY_RUNNING;
    this->link.data = this;
    g_queue_push_tail_link(&gateway->tunnels, &this->link);
    MpLog_Event(LOG_INFO, "tunnel-began", "id=%s from=%s target=%s tunnels=%u",
                this->id, this->instance, this->address,
                gateway->tunnels.length);
    this->dial = MpDial_Start(
        gateway->loop, NULL, this->address, MP_CONN_FOR_REQUEST, NULL,
        this->id,
        CLAMP((int64_t)argument->timeout_ms, 1, MP_TUNNEL_CONNECT_MS),
        on_dialed, this);
}
