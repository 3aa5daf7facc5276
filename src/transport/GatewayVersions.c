#include "transport/GatewayVersions.h"

#include "state/Error.h"
#include "state/Versions.h"
#include "transport/GatewayAttempt.h"
#include "transport/Log.h"

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

/* Time in which the quorum must have said where a stream began, ms: a few
 * tries, as the leader may change. */
#define QUERY_WAIT_MS 400
/* Retry-After when the quorum cannot be reached, ms. */
#define RETRY_AFTER_MS 200
/* A record that the quorum has not confirmed after this time is given up, ms;
 * the stream cannot be taken up then. */
#define RECORD_WAIT_MS 3000

/* Streams without a record that are remembered at most. */
#define RECENT_STREAMS_MAX 4096

struct MpTakeUpQuery {
    struct MpGatewayCall *call; /* NULL: it has ended */
};

/* A stream that began while its pool had one version.  It is recorded when the
 * pool gets another one. */
struct MpRecentStream {
    char *pool;
    int64_t at_ms;
    struct mp_stream_begun begun;
};

/* The id of a stream in the quorum: workspaces do not share ids. */
static void
set_stream_id(const struct MpGatewayCall *call, const char *request_id,
              char *id)
{
    const char *workspace = call->workspace ? call->workspace : "";
    XXH128_canonical_t canonical;
    char *text = g_strdup_printf("%s\n%s", workspace, request_id);
    XXH128_canonicalFromHash(&canonical, XXH3_128bits(text, strlen(text)));
    memcpy(id, canonical.digest, MP_HASH_BYTES);
    g_free(text);
}

/* ---- records ---- */

static void send_records(struct MpGateway *gateway);

static void
on_recorded(void *data, int code, const struct mp_result *result)
{
    struct MpGateway *gateway = data;
    (void)result;
    gateway->is_recording = false;
    if (code != MP_OK) {
        MpLog_Event(LOG_WARNING, "streams-unrecorded", "error=%s",
                    MpError_Name(code));
    }
    send_records(gateway);
}

/* Sends what has gathered while the last records were under way. */
static void
send_records(struct MpGateway *gateway)
{
    GArray *begun = gateway->begun_streams;
    u_int count = MIN(begun->len, MP_STREAMS_MAX);
    struct mp_command command = {.body = {.kind = MP_CMD_STREAMS}};
    if (gateway->is_recording || count == 0) {
        return;
    }
    command.body.mp_command_body_u.streams.list.list_val =
        (struct mp_stream_begun *)begun->data;
    command.body.mp_command_body_u.streams.list.list_len = count;
    gateway->is_recording = true;
    MpControlClient_Propose(gateway->control, &command,
                            MpLoop_Now() + RECORD_WAIT_MS, on_recorded,
                            gateway);
    for (u_int i = 0; i < count; i++) {
        g_free(g_array_index(begun, struct mp_stream_begun, i).software);
    }
    g_array_remove_range(begun, 0, count);
}

static void
forget_oldest(struct MpGateway *gateway)
{
    struct MpRecentStream *stream = g_queue_pop_head(&gateway->recent_streams);
    g_free(stream->pool);
    g_free(stream->begun.software);
    g_free(stream);
}

static void
remember(struct MpGateway *gateway, const char *pool,
         const struct mp_stream_begun *begun, int64_t now_ms)
{
    struct MpRecentStream *stream = g_new(struct MpRecentStream, 1);
    const struct MpRecentStream *oldest;
    *stream = (struct MpRecentStream){
        .pool = g_strdup(pool), .at_ms = now_ms, .begun = *begun};
    g_queue_push_tail(&gateway->recent_streams, stream);
    oldest = g_queue_peek_head(&gateway->recent_streams);
    while (gateway->recent_streams.length > RECENT_STREAMS_MAX ||
           now_ms - oldest->at_ms > MP_TAKE_UP_MAX_MS) {
        forget_oldest(gateway);
        oldest = g_queue_peek_head(&gateway->recent_streams);
    }
}

/* Records the streams of a pool that are remembered. */
static void
record_recent(struct MpGateway *gateway, const char *pool)
{
    GList *link = gateway->recent_streams.head;
    while (link) {
        struct MpRecentStream *stream = link->data;
        GList *next = link->next;
        if (strcmp(stream->pool, pool) == 0) {
            g_array_append_val(gateway->begun_streams, stream->begun);
            g_queue_delete_link(&gateway->recent_streams, link);
            g_free(stream->pool);
            g_free(stream);
        }
        link = next;
    }
    send_records(gateway);
}

void
MpGatewayVersions_NoteBegun(struct MpGatewayCall *call)
{
    struct MpGateway *gateway = call->gateway;
    int64_t now_ms = MpLoop_BootMs();
    bool is_new = !call->version;
    if (is_new) {
        call->version = g_strdup(call->target->version);
    }
    if (!is_new || !call->id || call->meta.resume_after >= 0 ||
        strlen(call->version) > MP_NAME_MAX) {
        return;
    }
    struct mp_stream_begun begun = {.software = g_strdup(call->version)};
    set_stream_id(call, call->id, begun.id);
    if (!MpVersionView_MustRecord(&gateway->versions, call->pool,
                                  call->path->timeout_ms, now_ms)) {
        remember(gateway, call->pool, &begun, now_ms);
        return;
    }
    g_array_append_val(gateway->begun_streams, begun);
    send_records(gateway);
}

/* ---- versions ---- */

void
MpGatewayVersions_Init(struct MpGateway *gateway)
{
    MpVersionView_Init(&gateway->versions);
    g_queue_init(&gateway->recent_streams);
    gateway->begun_streams =
        g_array_new(false, false, sizeof(struct mp_stream_begun));
}

void
MpGatewayVersions_Apply(struct MpGateway *gateway,
                        const struct mp_pool_versions *pools, u_int count)
{
    int64_t now_ms = MpLoop_BootMs();
    MpVersionView_Apply(&gateway->versions, pools, count, now_ms);
    for (u_int i = 0; i < count; i++) {
        u_int versions = pools[i].list.list_len;
        MpLog_Event(LOG_NOTICE, "versions-told",
                    "pool=%s versions=%u newest=%s age_ms=%" PRId64,
                    pools[i].pool, versions,
                    versions > 0 ? pools[i].list.list_val[versions - 1].name
                                 : "-",
                    (int64_t)pools[i].age_ms);
        if (MpVersionView_MustRecord(&gateway->versions, pools[i].pool, 0,
                                     now_ms)) {
            record_recent(gateway, pools[i].pool);
        }
    }
}

/* ---- streams that callers take up ---- */

static void
log_take_up(const struct MpGatewayCall *call, const char *from,
            int64_t heard_ms)
{
    MpLog_Event(LOG_INFO, "stream-taken-up",
                "id=%s resumes=%s after=%" PRId64
                " version=%s from=%s heard_age_ms=%" PRId64,
                call->id ? call->id : "-", call->resumes ? call->resumes : "-",
                call->meta.resume_after, call->version ? call->version : "-",
                from, MpLoop_BootMs() - heard_ms);
}

static void
refuse(struct MpGatewayCall *call, int code, int64_t retry_after_ms)
{
    MpGatewayCall_GiveUp(call, MpForward_NoTarget(&call->forward), code,
                         retry_after_ms);
}

/* Refuses the call if no target has its version.  Returns whether it did. */
static bool
refuse_if_gone(struct MpGatewayCall *call)
{
    if (call->version && MpRoster_HasVersion(&call->gateway->roster,
                                             call->pool, call->version)) {
        return false;
    }
    refuse(call, MP_ERROR_STREAM_VERSION, 0);
    return true;
}

static void
on_stream_read(void *data, int code, const struct mp_read_reply *reply)
{
    struct MpTakeUpQuery *query = data;
    struct MpGatewayCall *call = query->call;
    g_free(query);
    if (!call) {
        return;
    }
    call->query = NULL;
    call->stage = MP_CALL_RUNNING;
    if (code != MP_OK) {
        log_take_up(call, "nobody", call->gateway->control->heard_ms);
        refuse(call, MP_ERROR_NO_QUORUM, RETRY_AFTER_MS);
        return;
    }
    call->version = reply->software ? g_strdup(reply->software->name) : NULL;
    log_take_up(call, "quorum", MpLoop_BootMs());
    if (!refuse_if_gone(call)) {
        MpGatewayAttempt_Start(call);
    }
}

static void
ask_quorum(struct MpGatewayCall *call)
{
    struct MpTakeUpQuery *query = g_new0(struct MpTakeUpQuery, 1);
    char id[MP_HASH_BYTES];
    query->call = call;
    call->query = query;
    call->stage = MP_CALL_VERSION;
    /* Without the id of its first request no record is found. */
    set_stream_id(call, call->resumes ? call->resumes : "", id);
    MpControlClient_ReadStream(call->gateway->control, call->pool,
                               (const uint8_t *)id, call->path->timeout_ms,
                               MpLoop_Now() + QUERY_WAIT_MS, on_stream_read,
                               query);
}

bool
MpGatewayVersions_Check(struct MpGatewayCall *call)
{
    struct MpGateway *gateway = call->gateway;
    const char *version = NULL;
    int64_t now_ms = MpLoop_BootMs();
    if (call->path->repeat != MP_REPEAT_RESUME ||
        call->meta.resume_after < 0 || call->is_version_checked) {
        return false;
    }
    call->is_version_checked = true;
    int64_t heard_ms = gateway->control->heard_ms;
    switch (MpVersionView_CheckTakeUp(&gateway->versions, call->pool,
                                      call->path->timeout_ms, heard_ms, now_ms,
                                      &version)) {
    case MP_TAKE_UP_ANY:
        return false;
    case MP_TAKE_UP_SOLE:
        call->version = g_strdup(version);
        log_take_up(call, "own", heard_ms);
        return refuse_if_gone(call);
    case MP_TAKE_UP_ASK:
        break;
    }
    ask_quorum(call);
    return true;
}

void
MpGatewayVersions_Cancel(struct MpGatewayCall *call)
{
    if (call->query) {
        call->query->call = NULL;
        call->query = NULL;
    }
}
