#include "transport/TargetPoller.h"

#include "protocol/TargetStatus.h"
#include "transport/Log.h"

#include <inttypes.h>
#include <string.h>

#define POLL_INTERVAL_MS 400
#define RESPONSE_TIMEOUT_MS 800
#define STATUS_MAX_BYTES (1024 * 1024)

/* State of one target, from its last responses. */
struct target_state {
    char *boot;
    bool is_query_pending;
    bool is_unreachable; /* the last query failed */
    bool is_unreadable;  /* the last status could not be read */
};

struct MpTargetPoller {
    struct MpRouter *router;
    GHashTable *states; /* target -> struct target_state */
    struct MpTimer timer;
};

/* One GET /status to one target. */
struct status_query {
    struct MpTargetPoller *poller;
    struct MpTarget *target;
    struct MpUpstream *upstream;
    struct MpTimer timer;
    GByteArray *body;
    int status;
    bool is_too_long;
    char *boot; /* of a probe: the incarnation to check */
    bool is_probe;
    void (*done)(void *data, bool has_crashed);
    void *data;
};

static struct target_state *
get_state(struct MpTargetPoller *this, const char *name)
{
    struct target_state *state = g_hash_table_lookup(this->states, name);
    if (!state) {
        state = g_new0(struct target_state, 1);
        g_hash_table_insert(this->states, g_strdup(name), state);
    }
    return state;
}

char *
MpTargetPoller_GetBoot(struct MpTargetPoller *this, const char *target)
{
    return g_strdup(get_state(this, target)->boot);
}

/* ---- responses ---- */

static void
apply_events(struct MpTarget *target, const struct MpTargetStatus *status)
{
    struct MpStatusEvent event;
    for (size_t i = 0; i < MpTargetStatus_EventCount(status); i++) {
        if (MpTargetStatus_GetEvent(status, i, &event)) {
            MpTarget_ApplyCacheEvent(target, event.sequence, event.block,
                                     event.is_added);
        }
    }
}

static void
set_boot(struct MpTargetPoller *this, struct MpTarget *target,
         const char *boot)
{
    struct target_state *state = get_state(this, target->name);
    if (g_strcmp0(state->boot, boot) != 0) {
        /* The first status shows no restart; answers may have come before it.
         */
        if (state->boot) {
            MpTarget_HandleRestart(target);
        }
        g_free(state->boot);
        state->boot = g_strdup(boot);
    }
}

/* Takes the status of a target over, or keeps the one before it. */
static void
apply_status(struct status_query *this)
{
    struct MpTargetStatus status = {.boot = ""};
    struct target_state *state = get_state(this->poller, this->target->name);
    const char *reason = "too_long";
    bool was_unreadable = state->is_unreadable;
    state->is_unreadable =
        this->is_too_long ||
        !MpTargetStatus_Parse(&status, (const char *)this->body->data,
                              this->body->len, &reason);
    if (!state->is_unreadable) {
        set_boot(this->poller, this->target, status.boot);
        MpTarget_ApplyReport(this->target, &status.report, MpLoop_Now());
        apply_events(this->target, &status);
        MpRouter_ScheduleDispatch(this->poller->router);
    }
    else if (!was_unreadable) {
        MpLog_Event(LOG_WARNING, "target-status-unreadable",
                    "target=%s reason=%s bytes=%u", this->target->name, reason,
                    this->body->len);
    }
    MpTargetStatus_Done(&status);
}

/* ---- queries ---- */

static void
update_state(struct status_query *this, bool is_answered)
{
    struct target_state *state = get_state(this->poller, this->target->name);
    state->is_query_pending = false;
    if (state->is_unreachable == is_answered) {
        state->is_unreachable = !is_answered;
        MpLog_Event(LOG_NOTICE,
                    is_answered ? "target-answers" : "target-silent",
                    "target=%s", this->target->name);
    }
    if (!is_answered) {
        MpTarget_ReportFailed(&this->poller->router->picker, this->target,
                              MpLoop_Now());
    }
}

static void
finish(struct status_query *this, bool is_answered)
{
    MpLoop_ClearTimer(&this->timer);
    if (is_answered && this->status == 200) {
        apply_status(this);
    }
    if (this->is_probe) {
        struct target_state *state =
            get_state(this->poller, this->target->name);
        bool has_crashed =
            !is_answered || (this->boot && this->status == 200 &&
                             g_strcmp0(this->boot, state->boot) != 0);
        this->done(this->data, has_crashed);
    }
    else {
        update_state(this, is_answered);
    }
    g_byte_array_unref(this->body);
    g_free(this->boot);
    g_free(this);
}

static void
on_head(void *owner, const struct MpTargetHead *head)
{
    struct status_query *this = owner;
    this->status = head->status;
}

static void
on_body(void *owner, const char *data, size_t size)
{
    struct status_query *this = owner;
    if (this->body->len + size <= STATUS_MAX_BYTES) {
        g_byte_array_append(this->body, (const guint8 *)data, (guint)size);
        return;
    }
    this->is_too_long = true;
    MpUpstream_Cancel(this->upstream);
    finish(this, true);
}

static void
on_end(void *owner, enum MpUpstreamResult result)
{
    struct status_query *this = owner;
    this->upstream = NULL;
    finish(this, result == MP_UPSTREAM_COMPLETE);
}

static const struct MpUpstreamClass query_class = {
    .head = on_head, .body = on_body, .end = on_end};

static void
on_timeout(struct MpTimer *timer)
{
    struct status_query *this = timer->data;
    MpUpstream_Cancel(this->upstream);
    finish(this, false);
}

static struct status_query *
query_new(struct MpTargetPoller *poller, struct MpTarget *target)
{
    struct status_query *this = g_new0(struct status_query, 1);
    this->poller = poller;
    this->target = target;
    this->body = g_byte_array_new();
    return this;
}

static void
send_query(struct status_query *this)
{
    char *text = g_strdup_printf(
        "GET /status?after=%" PRIu64 " HTTP/1.1\r\nhost: %s\r\n"
        "connection: close\r\n\r\n",
        this->target->event_sequence, this->target->address);
    GByteArray *request = g_byte_array_new();
    g_byte_array_append(request, (const guint8 *)text, (guint)strlen(text));
    g_free(text);
    MpLoop_SetTimer(this->poller->router->loop, &this->timer,
                    RESPONSE_TIMEOUT_MS, on_timeout, this);
    this->upstream = MpUpstream_Start(
        this->poller->router->loop, &this->poller->router->gateway.dialer,
        NULL, &query_class, this, this->target->address, "GET", request, NULL);
}

void
MpTargetPoller_Probe(struct MpTargetPoller *this, const char *target,
                     const char *boot,
                     void (*done)(void *data, bool has_crashed), void *data)
{
    struct status_query *query =
        query_new(this, MpPicker_Find(&this->router->picker, target));
    query->is_probe = true;
    query->boot = g_strdup(boot);
    query->done = done;
    query->data = data;
    send_query(query);
}

/* ---- polling ---- */

static void
on_timer(struct MpTimer *timer)
{
    struct MpTargetPoller *this = timer->data;
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, this->router->picker.targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct MpTarget *target = value;
        struct target_state *state = get_state(this, target->name);
        if (target->is_listed && !target->is_zone_drained &&
            !state->is_query_pending) {
            state->is_query_pending = true;
            send_query(query_new(this, target));
        }
    }
    MpLoop_SetTimer(this->router->loop, &this->timer, POLL_INTERVAL_MS,
                    on_timer, this);
}

struct MpTargetPoller *
MpTargetPoller_New(struct MpRouter *router)
{
    struct MpTargetPoller *this = g_new0(struct MpTargetPoller, 1);
    this->router = router;
    this->states = g_hash_table_new(g_str_hash, g_str_equal);
    MpLoop_SetTimer(router->loop, &this->timer, 0, on_timer, this);
    return this;
}
