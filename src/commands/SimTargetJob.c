#include "commands/SimTarget.h"

#include "coordination/Picker.h"
#include "protocol/Chat.h"
#include "state/Error.h"
#include "transport/ErrorBody.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define LATE_MS 3000
#define CRASH_STATUS 86
#define TOKENS_LEAST 8
#define TOKENS_SPREAD 24
#define BYTES_PER_TOKEN 4
#define TAG_BYTES 48

enum job_fault {
    FAULT_NONE,
    FAULT_CRASH,
    FAULT_STALL,
    FAULT_SILENT,
    FAULT_LATE,
    FAULT_SHORT,
    FAULT_REFUSE,
    FAULT_ERROR
};

static const char *const fault_marks[] = {
    [FAULT_CRASH] = "#crash",   [FAULT_STALL] = "#stall",
    [FAULT_SILENT] = "#silent", [FAULT_LATE] = "#late",
    [FAULT_SHORT] = "#short",   [FAULT_REFUSE] = "#refuse",
    [FAULT_ERROR] = "#error",
};

struct job_link {
    h2o_generator_t super;
    struct MpStandInJob *job;
};

struct MpStandInJob {
    struct MpStandIn *owner;
    h2o_req_t *req;
    struct job_link *link;
    struct MpTimer timer;
    struct MpChat chat;
    struct MpRunCount *run;
    char tag[TAG_BYTES]; /* echoed in each token */
    uint64_t blocks[MP_PREFIX_BLOCKS_MAX];
    uint32_t block_count;
    enum job_fault fault;
    int64_t tokens; /* to generate */
    int64_t next;   /* token to send next */
    int priority;
    GString *text;
    GList waiting;
    bool is_running;
    bool is_sending;
    bool is_chat;
};

/* ---- life ---- */

static void start_waiting(struct MpStandIn *this);

static void
job_free(struct MpStandInJob *this)
{
    struct MpStandIn *owner = this->owner;
    MpLoop_ClearTimer(&this->timer);
    if (this->waiting.data) {
        g_queue_unlink(&owner->waiting[this->priority], &this->waiting);
    }
    if (this->link) {
        this->link->job = NULL;
    }
    bool was_running = this->is_running;
    MpChat_Done(&this->chat);
    g_string_free(this->text, TRUE);
    g_free(this);
    if (was_running) {
        owner->running--;
        start_waiting(owner);
    }
}

static void
caller_gone(void *data)
{
    struct job_link *link = data;
    if (link->job) {
        struct MpStandInJob *job = link->job;
        link->job = NULL;
        job->link = NULL;
        job->req = NULL;
        job_free(job);
    }
}

static void
send_plain(struct MpStandInJob *this, int status, const char *body)
{
    h2o_req_t *req = this->req;
    job_free(this);
    MpHttp_Send(req, status, "application/json", body, strlen(body));
}

/* ---- faults ---- */

static enum job_fault
find_fault(const char *text)
{
    for (int i = FAULT_CRASH; i <= FAULT_ERROR; i++) {
        if (strstr(text, fault_marks[i])) {
            return (enum job_fault)i;
        }
    }
    return FAULT_NONE;
}

/* ---- tokens ---- */

static int64_t
token_time_ms(const struct MpStandIn *owner)
{
    int64_t time_us = owner->options.token_us +
                      owner->options.batch_us * (owner->running - 1);
    return MAX(time_us / 1000, 1);
}

static void
append_token(const struct MpStandInJob *this, GString *out, int64_t index)
{
    bool is_last = index + 1 == this->tokens;
    g_string_append_printf(out, "%s:%" PRId64 "%s ", this->tag, index,
                           is_last ? ":end" : "");
}

static void
append_chunk(const struct MpStandInJob *this, GString *out, int64_t index)
{
    g_string_append(out, "data: {\"choices\":[{\"index\":0,\"delta\":"
                         "{\"content\":\"");
    append_token(this, out, index);
    g_string_append(out, "\"}}]}\n\n");
}

static int64_t
prompt_tokens(const struct MpStandInJob *this)
{
    return (int64_t)this->chat.prompt->len / BYTES_PER_TOKEN;
}

static void
append_stream_end(const struct MpStandInJob *this, GString *out)
{
    g_string_append_printf(
        out,
        "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%" PRId64
        ",\"completion_tokens\":%" PRId64 "}}\n\ndata: [DONE]\n\n",
        prompt_tokens(this), this->tokens);
}

static void
note_end(struct MpStandInJob *this)
{
    this->run->whole++;
    MpStandIn_Store(this->owner, this->blocks, this->block_count);
}

static void on_token(struct MpTimer *timer);

static void
send_events(struct MpStandInJob *this, h2o_send_state_t state)
{
    h2o_iovec_t buffer =
        h2o_strdup(&this->req->pool, this->text->str, this->text->len);
    g_string_truncate(this->text, 0);
    this->is_sending = true;
    h2o_send(this->req, &buffer, buffer.len > 0 ? 1 : 0, state);
}

static void
finish_stream(struct MpStandInJob *this)
{
    note_end(this);
    append_stream_end(this, this->text);
    this->link->job = NULL;
    this->link = NULL;
    send_events(this, H2O_SEND_STATE_FINAL);
    job_free(this);
}

static void
step_stream(struct MpStandInJob *this)
{
    if (this->is_sending) {
        /* The reader is slow: the batch goes on without this request. */
        MpLoop_SetTimer(this->owner->loop, &this->timer,
                        token_time_ms(this->owner), on_token, this);
        return;
    }
    if (this->next >= this->tokens) {
        finish_stream(this);
        return;
    }
    if (this->fault == FAULT_SHORT && this->next >= 2) {
        this->link->job = NULL;
        this->link = NULL;
        send_events(this, H2O_SEND_STATE_ERROR);
        job_free(this);
        return;
    }
    append_chunk(this, this->text, this->next++);
    send_events(this, H2O_SEND_STATE_IN_PROGRESS);
    if (this->fault == FAULT_STALL) {
        return;
    }
    MpLoop_SetTimer(this->owner->loop, &this->timer,
                    token_time_ms(this->owner), on_token, this);
}

static void
finish_plain(struct MpStandInJob *this)
{
    GString *out = g_string_new("{\"choices\":[{\"index\":0,\"message\":"
                                "{\"role\":\"assistant\",\"content\":\"");
    for (int64_t i = 0; i < this->tokens; i++) {
        append_token(this, out, i);
    }
    g_string_append_printf(out,
                           "\"}}],\"usage\":{\"prompt_tokens\":%" PRId64
                           ",\"completion_tokens\":%" PRId64 "}}",
                           prompt_tokens(this), this->tokens);
    note_end(this);
    send_plain(this, 200, out->str);
    g_string_free(out, TRUE);
}

static void
finish_call(struct MpStandInJob *this)
{
    char *body = g_strdup_printf(
        "{\"ok\":true,\"service\":\"%s\",\"tag\":\"%s\",\"run\":%u}",
        this->owner->options.name, this->tag, this->run->runs);
    note_end(this);
    send_plain(this, 200, body);
    g_free(body);
}

static void
on_token(struct MpTimer *timer)
{
    struct MpStandInJob *this = timer->data;
    if (this->is_chat && this->chat.is_stream) {
        step_stream(this);
        return;
    }
    if (this->is_chat && this->next < this->tokens) {
        this->next++;
        MpLoop_SetTimer(this->owner->loop, &this->timer,
                        token_time_ms(this->owner), on_token, this);
        return;
    }
    if (this->is_chat) {
        finish_plain(this);
        return;
    }
    finish_call(this);
}

/* ---- start of a run ---- */

static void
on_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
    struct MpStandInJob *job = ((struct job_link *)generator)->job;
    (void)req;
    if (job) {
        job->is_sending = false;
    }
}

static void
on_stop(h2o_generator_t *generator, h2o_req_t *req)
{
    (void)req;
    caller_gone(generator);
}

static void
start_stream(struct MpStandInJob *this)
{
    this->req->res.status = 200;
    this->req->res.reason = "OK";
    MpHttp_AddHeader(this->req, "content-type", "text/event-stream");
    h2o_start_response(this->req, &this->link->super);
}

/* The engine computes one prompt after the other. */
static int64_t
prefill_ms(struct MpStandInJob *this)
{
    struct MpStandIn *owner = this->owner;
    int64_t now_ms = MpLoop_Now();
    uint32_t hits = MpStandIn_Lookup(owner, this->blocks, this->block_count);
    int64_t missing = this->block_count - hits;
    owner->prefill_until_ms = MAX(owner->prefill_until_ms, now_ms) +
                              missing * owner->options.prefill_us / 1000;
    return owner->prefill_until_ms - now_ms;
}

static void
start_run(struct MpStandInJob *this)
{
    struct MpStandIn *owner = this->owner;
    int64_t wait_ms = this->is_chat ? prefill_ms(this) : 0;
    this->is_running = true;
    owner->running++;
    wait_ms +=
        this->is_chat ? token_time_ms(owner) : owner->options.call_us / 1000;
    if (this->fault == FAULT_CRASH) {
        fflush(NULL);
        _exit(CRASH_STATUS);
    }
    if (this->fault == FAULT_SILENT) {
        return;
    }
    if (this->fault == FAULT_LATE) {
        wait_ms += LATE_MS;
    }
    if (this->is_chat && this->chat.is_stream) {
        start_stream(this);
    }
    MpLoop_SetTimer(owner->loop, &this->timer, wait_ms, on_token, this);
}

static void
start_waiting(struct MpStandIn *this)
{
    for (int i = 0; i < 3; i++) {
        while (this->running < this->options.slots && this->waiting[i].head) {
            struct MpStandInJob *job = this->waiting[i].head->data;
            g_queue_unlink(&this->waiting[i], &job->waiting);
            job->waiting.data = NULL;
            start_run(job);
        }
    }
}

/* ---- arrival ---- */

static void
set_tag(struct MpStandInJob *this, const char *text)
{
    const char *mark = strstr(text, "id=");
    size_t length = mark ? strspn(mark + 3, "0123456789abcdefghijklmnopqrst"
                                            "uvwxyzABCDEFGHIJKLMNOPQRSTUVWX"
                                            "YZ-")
                         : 0;
    length = MIN(length, TAG_BYTES - 1);
    if (length > 0) {
        memcpy(this->tag, mark + 3, length);
    }
    else {
        g_strlcpy(this->tag, "token", TAG_BYTES);
    }
}

static int
priority_of(const struct MpChat *chat)
{
    struct json_object *value;
    const char *text = "standard";
    if (json_object_object_get_ex(chat->root, "priority", &value)) {
        text = json_object_get_string(value);
    }
    for (int i = 0; i < MP_CLASS_COUNT; i++) {
        if (g_strcmp0(text, MpPriorityClass_Names[i]) == 0) {
            return i;
        }
    }
    return MP_CLASS_STANDARD;
}

static int
read_chat(struct MpStandInJob *this)
{
    const char *why;
    struct json_object *value;
    h2o_iovec_t body = this->req->entity;
    int code = MpChat_Parse(&this->chat, body.base, body.len, &why);
    if (code != MP_OK) {
        return code;
    }
    const char *text = this->chat.prompt->str;
    this->fault = find_fault(text);
    set_tag(this, text);
    this->priority = priority_of(&this->chat);
    this->block_count =
        MpPicker_HashBlocks(text, this->chat.prompt->len, this->blocks);
    this->tokens = strstr(text, "#long")
                       ? this->chat.output_tokens
                       : TOKENS_LEAST + g_str_hash(text) % TOKENS_SPREAD;
    if (this->chat.output_tokens > 0) {
        this->tokens = MIN(this->tokens, this->chat.output_tokens);
    }
    if (json_object_object_get_ex(this->chat.root, "resume_from", &value)) {
        this->next = json_object_get_int64(value);
    }
    return MP_OK;
}

static void
read_call(struct MpStandInJob *this)
{
    char *body =
        g_strndup(this->req->entity.base ? this->req->entity.base : "",
                  this->req->entity.len);
    char *path = g_strndup(this->req->path.base, this->req->path.len);
    char *text = g_strconcat(path, " ", body, NULL);
    this->fault = find_fault(text);
    set_tag(this, text);
    g_free(text);
    g_free(path);
    g_free(body);
}

static struct MpStandInJob *
job_new(struct MpStandIn *owner, h2o_req_t *req)
{
    struct MpStandInJob *this = g_new0(struct MpStandInJob, 1);
    this->owner = owner;
    this->req = req;
    this->text = g_string_new(NULL);
    this->priority = MP_CLASS_STANDARD;
    this->link =
        h2o_mem_alloc_shared(&req->pool, sizeof(*this->link), caller_gone);
    *this->link = (struct job_link){
        .super = {.proceed = on_proceed, .stop = on_stop}, .job = this};
    return this;
}

void
MpStandIn_BeginJob(struct MpStandIn *owner, h2o_req_t *req)
{
    struct MpStandInJob *this = job_new(owner, req);
    this->is_chat = MpHttp_Equals(req->path, "/v1/chat/completions");
    int code = MP_OK;
    if (this->is_chat) {
        code = read_chat(this);
    }
    else {
        read_call(this);
    }
    if (code != MP_OK) {
        send_plain(this, 400, "{\"error\":\"bad request\"}");
        return;
    }
    if (this->fault == FAULT_REFUSE || owner->is_leaving) {
        send_plain(this, 503, "{\"error\":\"refused\"}");
        return;
    }
    char *key = MpHttp_CopyHeader(req, "idempotency-key");
    this->run = MpStandIn_CountRun(owner, key ? key : "none");
    g_free(key);
    if (this->fault == FAULT_ERROR) {
        send_plain(this, 500, "{\"error\":\"failed\"}");
        return;
    }
    this->waiting.data = this;
    g_queue_push_tail_link(&owner->waiting[this->priority], &this->waiting);
    start_waiting(owner);
}
