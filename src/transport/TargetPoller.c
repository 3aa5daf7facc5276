#include "transport/TargetPoller.h"

#include "state/Json.h"
#include "transport/Log.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define POLL_INTERVAL_MS 400
#define RESPONSE_TIMEOUT_MS 800
#define STATUS_MAX_BYTES (1024 * 1024)

/* State of one target, from its last responses. */
struct target_state {
    char *boot;
    bool is_query_pending;
    bool is_unreachable; /* the last query failed */
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
apply_events(struct MpTarget *target, struct json_object *root)
{
    struct json_object *events;
    if (!json_object_object_get_ex(root, "events", &events) ||
        !json_object_is_type(events, json_type_array)) {
        return;
    }
    for (size_t i = 0; i < json_object_array_length(events); i++) {
        struct json_object *event = json_object_array_get_idx(events, i);
        if (!json_object_is_type(event, json_type_array) ||
            json_object_array_length(event) != 3) {
            continue;
        }
        const char *sign =
            json_object_get_string(json_object_array_get_idx(event, 1));
        const char *block =
            json_object_get_string(json_object_array_get_idx(event, 2));
        if (sign && block) {
            MpTarget_ApplyCacheEvent(target,
                                     (uint64_t)json_object_get_int64(
                                         json_object_array_get_idx(event, 0)),
                                     strtoull(block, NULL, 16),
                                     sign[0] == '+');
        }
    }
}

static void
set_boot(struct MpTargetPoller *this, struct MpTarget *target,
         const char *boot)
{
    struct target_state *state = get_state(this, target->name);
    if (g_strcmp0(state->boot, boot) != 0) {
        MpTarget_HandleRestart(target);
        g_free(state->boot);
        state->boot = g_strdup(boot);
    }
}

static bool
apply_status(struct status_query *this)
{
    GPtrArray *findings = MpFindings_New();
    struct json_object *root = MpJson_Parse((const char *)this->body->data,
                                            this->body->len, findings);
    bool is_valid = json_object_is_type(root, json_type_object);
    if (is_valid) {
        struct json_object *value;
        struct MpLoadReport report = {
            .sequence = (uint64_t)MpJson_GetInteger(root, "sequence"),
            .running = MpJson_GetInteger(root, "running"),
            .waiting = MpJson_GetInteger(root, "waiting"),
            .is_leaving = json_object_object_get_ex(root, "leaving", &value) &&
                          json_object_get_boolean(value),
        };
        set_boot(this->poller, this->target,
                 json_object_object_get_ex(root, "boot", &value)
                     ? json_object_get_string(value)
                     : "");
        MpTarget_ApplyReport(this->target, &report, MpLoop_Now());
        apply_events(this->target, root);
        MpRouter_ScheduleDispatch(this->poller->router);
    }
    json_object_put(root);
    g_ptr_array_unref(findings);
    return is_valid;
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
on_head(void *owner, int status, const h2o_header_t *headers, size_t count)
{
    struct status_query *this = owner;
    (void)headers;
    (void)count;
    this->status = status;
}

static void
on_body(void *owner, const char *data, size_t size)
{
    struct status_query *this = owner;
    if (this->body->len + size <= STATUS_MAX_BYTES) {
        g_byte_array_append(this->body, (const guint8 *)data, (guint)size);
    }
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
    this->upstream =
        MpUpstream_Start(&this->poller->router->upstreams, &query_class, this,
                         this->target->address, "GET", request);
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
        if (target->is_listed && !state->is_query_pending) {
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
