#include "transport/Dialer.h"

#include "state/Error.h"
#include "transport/Log.h"
#include "transport/TargetSocket.h"
#include "transport/TunnelClient.h"

#include <inttypes.h>
#include <string.h>

/* Interval at which checks that are due are started, ms. */
#define TICK_MS 50
/* How many times longer a connection may take while this instance is
 * overloaded: it waits in the queues of the own link. */
#define OVERLOADED_FACTOR 3

struct MpDial {
    struct MpLoop *loop;
    struct MpDialer *dialer; /* or NULL */
    char *address;
    enum MpConnPurpose purpose;
    const struct MpRegionRule *regions; /* where peers may be; or NULL */
    char *id;
    MpDialDone done;
    void *data;
    int64_t connect_ms;
    int64_t began_ms;
    int64_t direct_ms; /* start of the direct attempt */
    int64_t until_ms;
    h2o_socket_t *socket;          /* direct attempt under way */
    bool is_connecting;            /* it is counted */
    struct MpTunnelClient *tunnel; /* attempt by way of a peer */
    char *peer;                    /* of that attempt */
    GPtrArray *tried;              /* of char *, peers */
    uint32_t witnesses;            /* peers that found the target down */
    const char *failure;           /* of the direct attempt, or NULL */
    bool is_refused;
    struct MpTimer timer;
};

static void try_tunnel(struct MpDial *dial);

/* ---- evidence ---- */

static void
log_lost(const struct MpDialer *this, const char *address, const char *why)
{
    MpLog_Event(LOG_WARNING, "path-lost",
                "target=%s scope=%s why=%s failed=%u answered_ms_ago=%" PRId64,
                address, this->paths.is_lost ? "all" : "target", why,
                this->paths.failed,
                this->paths.answered_ms > 0
                    ? MpLoop_Now() - this->paths.answered_ms
                    : -1);
}

static void
log_back(const char *address)
{
    MpLog_Event(LOG_NOTICE, "path-back", "target=%s", address);
}

void
MpDialer_NoteFailure(struct MpDialer *this, const char *address,
                     enum MpPathFailure failure, int64_t began_ms,
                     const char *why)
{
    bool was_lost = MpTargetPaths_IsLost(&this->paths, address);
    bool is_all = MpTargetPaths_NoteFailure(&this->paths, address, failure,
                                            began_ms, MpLoop_Now());
    if (is_all || !was_lost) {
        log_lost(this, address, why);
    }
}

void
MpDialer_NoteReset(struct MpDialer *this, const char *address)
{
    if (MpTargetPaths_NoteReset(&this->paths, address, MpLoop_Now())) {
        log_lost(this, address, "reset");
    }
}

void
MpDialer_NoteReached(struct MpDialer *this, const char *address,
                     const char *peer)
{
    MpTunnelPeers_NoteResult(&this->peers, peer, MP_PEER_PASSED, MpLoop_Now());
    if (MpTargetPaths_NoteReached(&this->paths, address, MpLoop_Now())) {
        log_lost(this, address, "reached-by-others");
    }
}

void
MpDialer_NoteData(struct MpDialer *this, struct MpPathWait *wait)
{
    if (MpTargetPaths_NoteData(&this->paths, wait, MpLoop_Now())) {
        log_back(wait->path->address);
    }
}

/* ---- direct connections ---- */

static bool
is_overloaded(const struct MpDialer *dialer)
{
    return dialer && dialer->klass->is_overloaded(dialer->owner);
}

/* Counts the end of the direct attempt under way, if there is one. */
static void
end_connect(struct MpDial *this, bool is_cancelled)
{
    struct MpDialer *dialer = this->dialer;
    if (this->is_connecting) {
        this->is_connecting = false;
        dialer->klass->connect_ended(
            dialer->owner, is_cancelled ? -1 : MpLoop_Now() - this->direct_ms);
    }
}

static void
dial_free(struct MpDial *this)
{
    MpLoop_ClearTimer(&this->timer);
    end_connect(this, true);
    if (this->socket) {
        h2o_socket_close(this->socket);
    }
    if (this->tunnel) {
        MpTunnelClient_Cancel(this->tunnel);
    }
    g_ptr_array_unref(this->tried);
    g_free(this->address);
    g_free(this->id);
    g_free(this);
}

static void
finish(struct MpDial *this, const struct MpDialed *dialed)
{
    MpDialDone done = this->done;
    void *data = this->data;
    struct MpDialed result = *dialed;
    char *peer = g_strdup(dialed->peer);
    result.peer = peer;
    this->socket = NULL;
    dial_free(this);
    done(data, &result);
    g_free(peer);
}

static void
fail(struct MpDial *this, const char *failure)
{
    bool is_refused = this->is_refused;
    if (this->socket) {
        h2o_socket_close(this->socket);
    }
    finish(this,
           &(struct MpDialed){.failure = failure, .is_refused = is_refused});
}

static bool
may_ask_peers(const struct MpDial *this)
{
    return this->dialer &&
           MpTunnelPeers_MayAsk(&this->dialer->peers, MpLoop_Now());
}

static void
fail_direct(struct MpDial *this, enum MpPathFailure failure, const char *why)
{
    struct MpDialer *dialer = this->dialer;
    end_connect(this, false);
    if (this->socket) {
        h2o_socket_close(this->socket);
        this->socket = NULL;
    }
    this->failure = why;
    if (!dialer) {
        this->is_refused = failure == MP_PATH_REFUSED;
        fail(this, why);
        return;
    }
    if (failure == MP_PATH_SILENT && is_overloaded(dialer)) {
        fail(this, MP_DIAL_OVERLOADED);
        return;
    }
    MpDialer_NoteFailure(dialer, this->address, failure, this->direct_ms, why);
    if (may_ask_peers(this) &&
        MpTargetPaths_NeedsTunnel(&dialer->paths, this->address,
                                  MpLoop_Now())) {
        try_tunnel(this);
        return;
    }
    /* If the path may be lost, nothing is known of the target. */
    this->is_refused =
        failure == MP_PATH_REFUSED && !MpTargetPaths_IsInDoubt(&dialer->paths);
    fail(this, why);
}

static void
on_timeout(struct MpTimer *timer)
{
    struct MpDial *this = timer->data;
    if (this->socket) {
        fail_direct(this, MP_PATH_SILENT, "connect-timeout");
        return;
    }
    try_tunnel(this);
}

static void
on_connect(h2o_socket_t *socket, const char *error)
{
    struct MpDial *this = socket->data;
    MpLoop_ClearTimer(&this->timer);
    if (error) {
        fail_direct(this, MP_PATH_REFUSED, "refused");
        return;
    }
    end_connect(this, false);
    finish(this, &(struct MpDialed){.socket = socket});
}

static h2o_socket_t *
connect_socket(struct MpLoop *loop, const char *address,
               h2o_socket_cb callback)
{
    struct sockaddr_in addr;
    h2o_socket_t *socket =
        MpLoop_ParseAddress(address, &addr)
            ? h2o_socket_connect(loop->h2o, (struct sockaddr *)&addr,
                                 sizeof(addr), callback)
            : NULL;
    if (socket) {
        MpTargetSocket_SetReceive(socket, MP_TARGET_RECEIVE_BYTES);
    }
    return socket;
}

static void
on_no_socket(struct MpTimer *timer)
{
    fail(timer->data, "no-socket");
}

static void
try_direct(struct MpDial *this)
{
    this->direct_ms = MpLoop_Now();
    this->socket = connect_socket(this->loop, this->address, on_connect);
    if (this->socket) {
        this->socket->data = this;
        this->is_connecting = this->dialer != NULL;
        if (this->is_connecting) {
            this->dialer->klass->connect_started(this->dialer->owner);
        }
        MpLoop_SetTimer(this->loop, &this->timer, this->connect_ms, on_timeout,
                        this);
    }
    else {
        MpLoop_SetTimer(this->loop, &this->timer, 0, on_no_socket, this);
    }
}

/* ---- connections by way of a peer ---- */

static const char *
log_id(const struct MpDial *this)
{
    return this->id ? this->id : "-";
}

/* Returns whether the peer has a path, but found the target down. */
static bool
is_target_down(int code)
{
    return code == MP_ERROR_CLOSED || code == MP_ERROR_TIMEOUT;
}

static enum MpPeerResult
peer_result(int code)
{
    if (code == MP_OK || code == MP_ERROR_NO_TARGET || is_target_down(code)) {
        return MP_PEER_REPLIED;
    }
    if (code == MP_ERROR_NOT_READY) {
        return MP_PEER_CUT_OFF;
    }
    return code == MP_ERROR_IO ? MP_PEER_SILENT : MP_PEER_FAILED;
}

static void
on_tunnel(void *data, int code, h2o_socket_t *socket)
{
    struct MpDial *this = data;
    struct MpDialer *dialer = this->dialer;
    const char *peer = this->peer;
    int64_t now_ms = MpLoop_Now();
    this->tunnel = NULL;
    MpTunnelPeers_NoteResult(&dialer->peers, peer, peer_result(code), now_ms);
    MpMetrics_Count(dialer->metrics, "mimosapath_tunnels_total", "result",
                    MpError_Name(code), 1);
    MpLog_Event(code == MP_OK ? LOG_INFO : LOG_NOTICE, "tunnel-opened",
                "id=%s target=%s peer=%s error=%s after=%s took_ms=%" PRId64,
                log_id(this), this->address, peer, MpError_Name(code),
                this->failure ? this->failure : "path-lost",
                now_ms - this->began_ms);
    if (code == MP_OK) {
        MpTunnelPeers_Count(&dialer->peers, peer, 1);
        finish(this, &(struct MpDialed){.socket = socket, .peer = peer});
        return;
    }
    if (code == MP_ERROR_NO_TARGET) {
        /* Other peers refuse the target too: it leaves, wants a pause, or its
         * zone is drained. */
        fail(this, "peer-refuses");
        return;
    }
    if (is_target_down(code)) {
        this->witnesses++;
        this->is_refused |= code == MP_ERROR_CLOSED;
    }
    if (this->witnesses >=
        MpTunnelPeers_WitnessesNeeded(&dialer->peers, now_ms)) {
        MpTargetPaths_NoteDown(&dialer->paths, this->address, now_ms);
        fail(this, this->is_refused ? "refused" : "connect-timeout");
        return;
    }
    try_tunnel(this);
}

static void
end_search(struct MpDial *this)
{
    if (this->witnesses == 0 && !this->failure &&
        MpTargetPaths_MayTryDirectly(&this->dialer->paths, this->address)) {
        /* All instances may have lost the path, or none: the targets may just
         * be slow to answer checks. */
        this->connect_ms = MIN(this->connect_ms, MP_PATH_CHECK_CONNECT_MS);
        try_direct(this);
        return;
    }
    if (this->witnesses > 0) {
        MpTargetPaths_NoteDown(&this->dialer->paths, this->address,
                               MpLoop_Now());
    }
    fail(this, this->witnesses > 0 && this->is_refused ? "refused"
               : this->failure                         ? this->failure
                                                       : "no-path");
}

/* Asks the next peer, as long as there is time. */
static void
try_tunnel(struct MpDial *this)
{
    struct MpDialer *dialer = this->dialer;
    int64_t now_ms = MpLoop_Now();
    uint32_t random[2] = {g_random_int(), g_random_int()};
    const char *peer =
        now_ms < this->until_ms && may_ask_peers(this)
            ? MpTunnelPeers_Pick(&dialer->peers, this->purpose, this->regions,
                                 this->tried, random, now_ms)
            : NULL;
    MpLoop_ClearTimer(&this->timer);
    if (!peer) {
        end_search(this);
        return;
    }
    struct mp_tunnel call = {.instance = (char *)dialer->instance,
                             .target = this->address,
                             .request = g_strndup(log_id(this), MP_NAME_MAX),
                             .timeout_ms = MP_TUNNEL_CONNECT_MS};
    this->peer = g_strdup(peer);
    g_ptr_array_add(this->tried, this->peer);
    this->tunnel =
        MpTunnelClient_Start(this->loop, dialer->fleet_key, this->peer, &call,
                             MP_TUNNEL_OPEN_MS, on_tunnel, this);
    g_free(call.request);
}

void
MpDialer_CloseTunnel(struct MpDialer *this, const char *peer)
{
    MpTunnelPeers_Count(&this->peers, peer, -1);
}

struct MpDial *
MpDial_Start(struct MpLoop *loop, struct MpDialer *dialer, const char *address,
             enum MpConnPurpose purpose, const struct MpRegionRule *regions,
             const char *id, int64_t connect_ms, MpDialDone done, void *data)
{
    struct MpDial *this = g_new0(struct MpDial, 1);
    int64_t now_ms = MpLoop_Now();
    this->loop = loop;
    this->dialer = dialer;
    this->address = g_strdup(address);
    this->purpose = purpose;
    this->regions = regions;
    this->id = g_strdup(id);
    this->connect_ms =
        is_overloaded(dialer) ? connect_ms * OVERLOADED_FACTOR : connect_ms;
    this->began_ms = now_ms;
    this->until_ms = now_ms + connect_ms + MP_TUNNEL_SEARCH_MS;
    this->done = done;
    this->data = data;
    this->tried = g_ptr_array_new_with_free_func(g_free);
    if (may_ask_peers(this) &&
        MpTargetPaths_NeedsTunnel(&dialer->paths, address, now_ms)) {
        /* The timer starts the search: done is not called from here. */
        MpLoop_SetTimer(loop, &this->timer, 0, on_timeout, this);
    }
    else {
        try_direct(this);
    }
    return this;
}

void
MpDial_Cancel(struct MpDial *this)
{
    dial_free(this);
}

/* ---- checks ---- */

struct path_check {
    struct MpDialer *dialer;
    char *address;
    h2o_socket_t *socket;
    GByteArray *request;
    struct MpTimer timer;
};

static void
end_check(struct path_check *check, bool is_answered,
          enum MpPathFailure failure, const char *why)
{
    struct MpDialer *dialer = check->dialer;
    bool is_evidence =
        is_answered || failure != MP_PATH_SILENT || !is_overloaded(dialer);
    MpLoop_ClearTimer(&check->timer);
    if (check->socket) {
        h2o_socket_close(check->socket);
    }
    if (!is_evidence) {
        MpTargetPaths_DropCheck(&dialer->paths, check->address, MpLoop_Now());
        why = MP_DIAL_OVERLOADED;
    }
    bool has_changed = is_evidence && MpTargetPaths_EndCheck(
                                          &dialer->paths, check->address,
                                          is_answered, failure, MpLoop_Now());
    MpMetrics_Count(dialer->metrics, "mimosapath_path_checks_total", "result",
                    why, 1);
    if (has_changed && is_answered) {
        log_back(check->address);
    }
    else if (has_changed) {
        log_lost(dialer, check->address, why);
        if (failure == MP_PATH_RESET) {
            dialer->klass->path_lost(dialer->owner, check->address);
        }
    }
    else {
        MpLog_Event(LOG_DEBUG, "path-checked", "target=%s result=%s",
                    check->address, why);
    }
    g_byte_array_unref(check->request);
    g_free(check->address);
    g_free(check);
}

static void
on_check_timeout(struct MpTimer *timer)
{
    end_check(timer->data, false, MP_PATH_SILENT, "connect-timeout");
}

static void
on_answer_timeout(struct MpTimer *timer)
{
    end_check(timer->data, false, MP_PATH_SILENT, "no-answer");
}

static void
on_check_read(h2o_socket_t *socket, const char *error)
{
    struct path_check *check = socket->data;
    if (socket->input->size > 0) {
        end_check(check, true, MP_PATH_REFUSED, "answered");
    }
    else if (error) {
        end_check(check, false, MP_PATH_RESET, "reset");
    }
}

static void
on_check_written(h2o_socket_t *socket, const char *error)
{
    if (error) {
        end_check(socket->data, false, MP_PATH_RESET, "reset");
    }
}

static void
on_check_connect(h2o_socket_t *socket, const char *error)
{
    struct path_check *check = socket->data;
    if (error) {
        end_check(check, false, MP_PATH_REFUSED, "refused");
        return;
    }
    h2o_iovec_t buffer =
        h2o_iovec_init(check->request->data, check->request->len);
    MpLoop_SetTimer(check->dialer->loop, &check->timer,
                    MP_PATH_CHECK_ANSWER_MS, on_answer_timeout, check);
    h2o_socket_read_start(socket, on_check_read);
    h2o_socket_write(socket, &buffer, 1, on_check_written);
}

static void
start_check(struct MpDialer *this, const char *address)
{
    struct path_check *check = g_new0(struct path_check, 1);
    char *text = g_strdup_printf("OPTIONS * HTTP/1.1\r\nhost: %s\r\n"
                                 "connection: close\r\n"
                                 "content-length: 0\r\n\r\n",
                                 address);
    check->dialer = this;
    check->address = g_strdup(address);
    check->request = g_byte_array_new();
    g_byte_array_append(check->request, (const guint8 *)text,
                        (guint)strlen(text));
    g_free(text);
    check->socket = connect_socket(this->loop, address, on_check_connect);
    if (check->socket) {
        check->socket->data = check;
    }
    MpLoop_SetTimer(this->loop, &check->timer,
                    check->socket ? MP_PATH_CHECK_CONNECT_MS : 0,
                    on_check_timeout, check);
}

static void
on_timer(struct MpTimer *timer)
{
    struct MpDialer *this = timer->data;
    GPtrArray *paths = g_ptr_array_new();
    MpTargetPaths_ListChecks(&this->paths, MpLoop_Now(), paths);
    for (guint i = 0; i < paths->len; i++) {
        const struct MpTargetPath *path = g_ptr_array_index(paths, i);
        start_check(this, path->address);
    }
    g_ptr_array_unref(paths);
    MpLoop_SetTimer(this->loop, &this->timer, TICK_MS, on_timer, this);
}

void
MpDialer_Init(struct MpDialer *this, const struct MpDialerClass *klass,
              void *owner, struct MpLoop *loop, struct MpMetrics *metrics,
              const char *instance, const uint8_t *fleet_key,
              const char *own_address)
{
    *this = (struct MpDialer){.klass = klass,
                              .owner = owner,
                              .loop = loop,
                              .metrics = metrics,
                              .instance = instance,
                              .fleet_key = fleet_key};
    MpTargetPaths_Init(&this->paths);
    MpTunnelPeers_Init(&this->peers, own_address);
    MpLoop_SetTimer(loop, &this->timer, TICK_MS, on_timer, this);
}

void
MpDialer_WriteMetrics(const struct MpDialer *this, GString *out)
{
    MpMetrics_WriteValue(out, "mimosapath_paths_lost", NULL, NULL,
                         this->paths.is_lost);
    MpMetrics_WriteValue(out, "mimosapath_peers_known", NULL, NULL,
                         this->peers.listed->len);
}
