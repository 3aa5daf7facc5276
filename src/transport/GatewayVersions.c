#include "transport/GatewayVersions.h"

#include "state/Error.h"
#include "state/Versions.h"
#include "transport/GatewayAttempt.h"
#include "transport/GatewayRequest.h"
#include "transport/Log.h"

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

/* Time in which the quorum must have said where a stream began, ms: a few
 * tries, as the leader may change. */
#define QUERY_WAIT_MS 400
/* Retry-After when the quorum cannot be reached, ms. */
#define RETRY_AFTER_MS 200
/* Time in which the quorum must have confirmed records, ms: a few tries, as
 * the leader may change.  Then they are sent anew. */
#define RECORD_WAIT_MS 3000
/* Pause before that, ms. */
#define RECORD_RETRY_MS 100

/* Records at most that wait for the quorum and hold no response. */
#define RECORDS_MAX 4096

struct MpTakeUpQuery {
    struct MpGatewayCall *call; /* NULL: it has ended */
};

struct MpStreamRecord {
    struct mp_stream_begun begun;
    int64_t begun_ms;
    int64_t lasts_ms;
    struct MpGatewayCall *call; /* whose response waits for it, or NULL */
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
record_free(struct MpStreamRecord *record)
{
    if (record->call) {
        record->call->record = NULL;
    }
    g_free(record->begun.software);
    g_free(record);
}

/* Sends a response that has waited for its record. */
static void
let_go(struct MpGatewayCall *call, int64_t begun_ms)
{
    call->record_wait_ms = MpLoop_Now() - begun_ms;
    call->record = NULL;
    call->first_byte_ms = MpLoop_Now() - call->forward.began_ms;
    MpHistogram_Add(MpMetrics_Histogram(call->gateway->metrics,
                                        "mimosapath_stream_record_wait_ms",
                                        "path", call->path->name),
                    (uint64_t)call->record_wait_ms);
    MpCallerResponse_LetGo(&call->response);
    if (call->is_finish_held) {
        MpGatewayCall_Finish(call);
    }
    else if (call->is_cut_held) {
        MpGatewayCall_GiveUp(call, MP_STEP_CUT, call->held_code, 0);
    }
}

static void
finish_records(struct MpGateway *gateway)
{
    struct MpStreamRecord *record = g_queue_pop_head(&gateway->recording);
    while (record) {
        struct MpGatewayCall *call = record->call;
        record->call = NULL;
        if (call) {
            let_go(call, record->begun_ms);
        }
        record_free(record);
        record = g_queue_pop_head(&gateway->recording);
    }
}

static void
drop_record(struct MpGateway *gateway, struct MpStreamRecord *record,
            const char *reason)
{
    gateway->records_dropped++;
    MpLog_Event(LOG_WARNING, "stream-record-dropped",
                "version=%s reason=%s age_ms=%" PRId64 " dropped=%" PRIu64,
                record->begun.software, reason,
                MpLoop_Now() - record->begun_ms, gateway->records_dropped);
    record_free(record);
}

static void
on_record_timer(struct MpTimer *timer)
{
    send_records(timer->data);
}

/* Queues the records again, as long as their streams can be taken up. */
static void
repeat_records(struct MpGateway *gateway)
{
    int64_t now_ms = MpLoop_Now();
    struct MpStreamRecord *record = g_queue_pop_tail(&gateway->recording);
    while (record) {
        if (now_ms - record->begun_ms > record->lasts_ms + MP_TAKE_UP_MAX_MS) {
            drop_record(gateway, record, "age");
        }
        else {
            g_queue_push_head(&gateway->records, record);
        }
        record = g_queue_pop_tail(&gateway->recording);
    }
    MpLoop_SetTimer(gateway->loop, &gateway->record_timer, RECORD_RETRY_MS,
                    on_record_timer, gateway);
}

static void
on_recorded(void *data, int code, const struct mp_result *result)
{
    struct MpGateway *gateway = data;
    if (code == MP_OK && result->code == MP_OK) {
        finish_records(gateway);
        send_records(gateway);
        return;
    }
    /* A leader of an earlier build refuses what it does not know. */
    gateway->is_leader_older =
        code == MP_OK && result->code == MP_ERROR_INVALID;
    MpLog_Event(LOG_WARNING, "streams-unrecorded", "error=%s streams=%u",
                MpError_Name(code == MP_OK ? result->code : code),
                gateway->recording.length);
    repeat_records(gateway);
}

/* Sends what has gathered while the last records were under way. */
static void
send_records(struct MpGateway *gateway)
{
    struct mp_command command = {.body = {.kind = MP_CMD_STREAMS_KEPT}};
    struct mp_kept_streams *kept =
        &command.body.mp_command_body_u.kept_streams;
    u_int count = MIN(gateway->records.length, MP_STREAMS_MAX);
    if (gateway->recording.length > 0 || count == 0 ||
        gateway->record_timer.position) {
        return;
    }
    struct mp_stream_begun *list = g_new(struct mp_stream_begun, count);
    kept->streams.list.list_val = list;
    kept->streams.list.list_len = count;
    for (u_int i = 0; i < count; i++) {
        struct MpStreamRecord *record = g_queue_pop_head(&gateway->records);
        list[i] = record->begun;
        kept->lasts_ms = MAX(kept->lasts_ms, record->lasts_ms);
        g_queue_push_tail(&gateway->recording, record);
    }
    if (gateway->is_leader_older) {
        command.body.kind = MP_CMD_STREAMS;
        command.body.mp_command_body_u.streams = kept->streams;
    }
    MpControlClient_Propose(gateway->control, &command,
                            MpLoop_Now() + RECORD_WAIT_MS, on_recorded,
                            gateway);
    g_free(list);
}

/* Drops the oldest record that holds no response. */
static void
make_room(struct MpGateway *gateway)
{
    for (GList *link = gateway->records.head; link; link = link->next) {
        struct MpStreamRecord *record = link->data;
        if (!record->call) {
            g_queue_delete_link(&gateway->records, link);
            drop_record(gateway, record, "room");
            return;
        }
    }
}

static void
add_record(struct MpGatewayCall *call, bool is_held)
{
    struct MpGateway *gateway = call->gateway;
    struct MpStreamRecord *record = g_new(struct MpStreamRecord, 1);
    int64_t now_ms = MpLoop_Now();
    *record = (struct MpStreamRecord){
        .begun = {.software = g_strdup(call->version)},
        .begun_ms = now_ms,
        .lasts_ms = MpForward_TimeLeft(&call->forward, now_ms),
        .call = is_held ? call : NULL};
    set_stream_id(call, call->id, record->begun.id);
    if (is_held) {
        call->record = record;
        MpCallerResponse_Hold(&call->response);
    }
    else if (gateway->records.length >= RECORDS_MAX) {
        make_room(gateway);
    }
    g_queue_push_tail(&gateway->records, record);
    send_records(gateway);
}

void
MpGatewayVersions_NoteBegun(struct MpGatewayCall *call)
{
    struct MpGateway *gateway = call->gateway;
    bool is_new = !call->version;
    if (is_new) {
        call->version = g_strdup(call->target->version);
    }
    if (!is_new || !call->id || call->meta.resume_after >= 0 ||
        strlen(call->version) > MP_NAME_MAX) {
        return;
    }
    enum MpRecording recording = MpVersionView_GetRecording(
        &gateway->versions, call->pool, call->version, call->path->timeout_ms,
        gateway->control->heard_ms, MpLoop_BootMs());
    if (recording != MP_RECORDING_NONE) {
        add_record(call, recording == MP_RECORDING_FIRST);
    }
}

void
MpGatewayVersions_CancelRecord(struct MpGatewayCall *call)
{
    if (call->record) {
        call->record->call = NULL;
        call->record = NULL;
    }
}

void
MpGatewayVersions_DropHeld(struct MpGatewayCall *call)
{
    MpLog_Event(LOG_WARNING, "stream-not-recorded",
                "id=%s version=%s events=%" PRId64, call->id, call->version,
                call->forward.events);
    MpGatewayVersions_CancelRecord(call);
    MpCallerResponse_DropHeld(&call->response);
    if (call->response.req) {
        MpGatewayRequest_ClearHeaders(call->response.req);
    }
    call->forward.is_head_sent = false;
    call->forward.may_have_run = true;
}

/* ---- versions ---- */

void
MpGatewayVersions_Init(struct MpGateway *gateway)
{
    MpVersionView_Init(&gateway->versions);
    g_queue_init(&gateway->records);
    g_queue_init(&gateway->recording);
}

void
MpGatewayVersions_Apply(struct MpGateway *gateway,
                        const struct mp_pool_versions *pools,
                        const struct mp_pool_base *bases, u_int count)
{
    MpVersionView_Apply(&gateway->versions, pools, bases, count,
                        MpLoop_BootMs());
    for (u_int i = 0; i < count; i++) {
        u_int versions = pools[i].list.list_len;
        gateway->is_leader_older &= !bases[i].has_base;
        MpLog_Event(
            LOG_NOTICE, "versions-told",
            "pool=%s versions=%u newest=%s age_ms=%" PRId64
            " base=%s base_age_ms=%" PRId64,
            pools[i].pool, versions,
            versions > 0 ? pools[i].list.list_val[versions - 1].name : "-",
            (int64_t)pools[i].age_ms, bases[i].has_base ? bases[i].base : "-",
            (int64_t)bases[i].age_ms);
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
    log_take_up(call,
                !reply->software     ? "none"
                : reply->is_recorded ? "record"
                                     : "base",
                MpLoop_BootMs());
    if (!refuse_if_gone(call)) {
        MpGatewayAttempt_Start(call);
    }
}

static void
ask_quorum(struct MpGatewayCall *call)
{
    struct MpTakeUpQuery *query = g_new0(struct MpTakeUpQuery, 1);
    char id[MP_HASH_BYTES] = {0};
    query->call = call;
    call->query = query;
    call->stage = MP_CALL_VERSION;
    if (call->resumes) {
        set_stream_id(call, call->resumes, id);
    }
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
