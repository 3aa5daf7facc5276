#include "transport/TargetPoller.h"

#include "state/Json.h"
#include "transport/Log.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define POLL_MS 400
#define ANSWER_WAIT_MS 800
#define STATUS_MAX_BYTES (1024 * 1024)

/* What is known of one target's answers. */
struct seen {
    char *boot;
    bool is_asked;
    bool is_out; /* the last answer failed */
};

struct MpTargetPoller {
    struct MpRouter *router;
    GHashTable *seen; /* target -> struct seen */
    struct MpTimer timer;
};

/* One question to one target. */
struct question {
    struct MpTargetPoller *poller;
    struct MpTarget *target;
    struct MpUpstream *upstream;
    struct MpTimer timer;
    GByteArray *answer;
    int status;
    char *boot; /* of a probe: the life that is asked about */
    bool is_probe;
    void (*done)(void *data, bool is_dead);
    void *data;
};

static struct seen *
seen_of(struct MpTargetPoller *this, const char *name)
{
    struct seen *seen = g_hash_table_lookup(this->seen, name);
    if (!seen) {
        seen = g_new0(struct seen, 1);
        g_hash_table_insert(this->seen, g_strdup(name), seen);
    }
    return seen;
}

char *
MpTargetPoller_GetBoot(struct MpTargetPoller *this, const char *target)
{
    return g_strdup(seen_of(this, target)->boot);
}

/* ---- the answer ---- */

static void
take_events(struct MpTarget *target, struct json_object *root)
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
take_boot(struct MpTargetPoller *this, struct MpTarget *target,
          const char *boot)
{
    struct seen *seen = seen_of(this, target->name);
    if (g_strcmp0(seen->boot, boot) != 0) {
        MpTarget_HandleRestart(target);
        g_free(seen->boot);
        seen->boot = g_strdup(boot);
    }
}

static bool
take_status(struct question *this)
{
    GPtrArray *findings = MpFindings_New();
    struct json_object *root = MpJson_Parse((const char *)this->answer->data,
                                            this->answer->len, findings);
    bool is_sound = json_object_is_type(root, json_type_object);
    if (is_sound) {
        struct json_object *value;
        struct MpLoadReport report = {
            .sequence = (uint64_t)MpJson_GetInteger(root, "sequence"),
            .running = MpJson_GetInteger(root, "running"),
            .waiting = MpJson_GetInteger(root, "waiting"),
            .is_leaving = json_object_object_get_ex(root, "leaving", &value) &&
                          json_object_get_boolean(value),
        };
        take_boot(this->poller, this->target,
                  json_object_object_get_ex(root, "boot", &value)
                      ? json_object_get_string(value)
                      : "");
        MpTarget_ApplyReport(this->target, &report, MpLoop_Now());
        take_events(this->target, root);
        MpRouter_ScheduleDispatch(this->poller->router);
    }
    json_object_put(root);
    g_ptr_array_unref(findings);
    return is_sound;
}

/* ---- life of a question ---- */

static void
note_change(struct question *this, bool is_answered)
{
    struct seen *seen = seen_of(this->poller, this->target->name);
    seen->is_asked = false;
    if (seen->is_out == is_answered) {
        seen->is_out = !is_answered;
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
finish(struct question *this, bool is_answered)
{
    MpLoop_ClearTimer(&this->timer);
    if (is_answered && this->status == 200) {
        take_status(this);
    }
    if (this->is_probe) {
        struct seen *seen = seen_of(this->poller, this->target->name);
        bool is_dead =
            !is_answered || (this->boot && this->status == 200 &&
                             g_strcmp0(this->boot, seen->boot) != 0);
        this->done(this->data, is_dead);
    }
    else {
        note_change(this, is_answered);
    }
    g_byte_array_unref(this->answer);
    g_free(this->boot);
    g_free(this);
}

static void
on_head(void *owner, int status, const h2o_header_t *headers, size_t count)
{
    struct question *this = owner;
    (void)headers;
    (void)count;
    this->status = status;
}

static void
on_body(void *owner, const char *data, size_t size)
{
    struct question *this = owner;
    if (this->answer->len + size <= STATUS_MAX_BYTES) {
        g_byte_array_append(this->answer, (const guint8 *)data, (guint)size);
    }
}

static void
on_end(void *owner, enum MpUpstreamResult end)
{
    struct question *this = owner;
    this->upstream = NULL;
    finish(this, end == MP_UPSTREAM_COMPLETE);
}

static const struct MpUpstreamClass question_class = {
    .head = on_head, .body = on_body, .end = on_end};

static void
on_late(struct MpTimer *timer)
{
    struct question *this = timer->data;
    MpUpstream_Cancel(this->upstream);
    finish(this, false);
}

static struct question *
question_new(struct MpTargetPoller *poller, struct MpTarget *target)
{
    struct question *this = g_new0(struct question, 1);
    this->poller = poller;
    this->target = target;
    this->answer = g_byte_array_new();
    return this;
}

static void
ask(struct question *this)
{
    char *text = g_strdup_printf(
        "GET /status?after=%" PRIu64 " HTTP/1.1\r\nhost: %s\r\n"
        "connection: close\r\n\r\n",
        this->target->event_sequence, this->target->address);
    GByteArray *request = g_byte_array_new();
    g_byte_array_append(request, (const guint8 *)text, (guint)strlen(text));
    g_free(text);
    MpLoop_SetTimer(this->poller->router->loop, &this->timer, ANSWER_WAIT_MS,
                    on_late, this);
    this->upstream =
        MpUpstream_Start(&this->poller->router->upstreams, &question_class,
                         this, this->target->address, "GET", request);
}

void
MpTargetPoller_Probe(struct MpTargetPoller *this, const char *target,
                     const char *boot, void (*done)(void *data, bool is_dead),
                     void *data)
{
    struct question *question =
        question_new(this, MpPicker_Find(&this->router->picker, target));
    question->is_probe = true;
    question->boot = g_strdup(boot);
    question->done = done;
    question->data = data;
    ask(question);
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
        struct seen *seen = seen_of(this, target->name);
        if (target->is_listed && !seen->is_asked) {
            seen->is_asked = true;
            ask(question_new(this, target));
        }
    }
    MpLoop_SetTimer(this->router->loop, &this->timer, POLL_MS, on_timer, this);
}

struct MpTargetPoller *
MpTargetPoller_New(struct MpRouter *router)
{
    struct MpTargetPoller *this = g_new0(struct MpTargetPoller, 1);
    this->router = router;
    this->seen = g_hash_table_new(g_str_hash, g_str_equal);
    MpLoop_SetTimer(router->loop, &this->timer, 0, on_timer, this);
    return this;
}
