#include "commands/SimTarget.h"

#include "coordination/Picker.h"
#include "protocol/Chat.h"
#include "protocol/Dialect.h"
#include "state/Error.h"
#include "transport/ErrorBody.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define LATE_DELAY_MS 3000
#define CRASH_EXIT_STATUS 86
#define TOKENS_MIN 8
#define TOKENS_RANGE 24
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

static const char *const fault_markers[] = {
    [FAULT_CRASH] = "#crash",   [FAULT_STALL] = "#stall",
    [FAULT_SILENT] = "#silent", [FAULT_LATE] = "#late",
    [FAULT_SHORT] = "#short",   [FAULT_REFUSE] = "#refuse",
    [FAULT_ERROR] = "#error",
};

/* The h2o generator of a response, in the memory of the request; job is NULL
 * once the job has ended. */
struct job_generator {
    h2o_generator_t super;
    struct MpSimTargetJob *job;
};

struct MpSimTargetJob {
    struct MpSimTarget *target;
    h2o_req_t *req;
    struct job_generator *generator;
    struct MpTimer timer;
    struct MpChat chat;
    struct MpRunCount *run;
    char tag[TAG_BYTES]; /* value of "id=" in the request, to echo */
    uint64_t blocks[MP_PREFIX_BLOCKS_MAX];
    uint32_t block_count;
    enum job_fault fault;
    char pause[TAG_BYTES]; /* value of "#pause=" in the request; or empty */
    int64_t token_count;   /* to generate */
    int64_t next_token;    /* index of the token to generate next */
    int priority;
    GString *output;    /* of a stream, not yet sent */
    GList waiting_link; /* in a waiting queue; data is NULL when in none */
    bool is_running;
    bool is_sending; /* h2o has not sent the last output yet */
    bool is_chat;    /* chat completion, else service call */
};

/* ---- end of a job ---- */

static void start_waiting_jobs(struct MpSimTarget *this);

static void
job_free(struct MpSimTargetJob *this)
{
    struct MpSimTarget *target = this->target;
    MpLoop_ClearTimer(&this->timer);
    if (this->waiting_link.data) {
        g_queue_unlink(&target->waiting[this->priority], &this->waiting_link);
    }
    if (this->generator) {
        this->generator->job = NULL;
    }
    bool was_running = this->is_running;
    MpChat_Done(&this->chat);
    g_string_free(this->output, TRUE);
    g_free(this);
    if (was_running) {
        target->running--;
        start_waiting_jobs(target);
    }
}

static void
on_disconnect(void *data)
{
    struct job_generator *generator = data;
    if (generator->job) {
        struct MpSimTargetJob *job = generator->job;
        generator->job = NULL;
        job->generator = NULL;
        job->req = NULL;
        job_free(job);
    }
}

static void
add_load(struct MpSimTargetJob *this)
{
    const struct MpSimTarget *target = this->target;
    char report[96];
    g_snprintf(report, sizeof(report), "%" PRId64 ",%u,%" PRId64 ",%" PRId64,
               target->running,
               target->waiting[0].length + target->waiting[1].length +
                   target->waiting[2].length,
               target->options.slots, target->options.slow_percent);
    MpHttp_AddHeader(this->req, MpDialect_Native.target.load, report);
}

/* Each answer of a target that leaves says so. */
static void
add_notices(struct MpSimTargetJob *this, int status)
{
    if (this->target->options.slow_percent > 0) {
        add_load(this);
    }
    if (this->target->is_leaving) {
        MpHttp_AddHeader(this->req, MpDialect_Native.target.leaving, "1");
    }
    if (status == 503 && this->pause[0]) {
        MpHttp_AddHeader(this->req, MpDialect_Native.target.pause,
                         this->pause);
    }
}

static void
send_response(struct MpSimTargetJob *this, int status, const char *body)
{
    h2o_req_t *req = this->req;
    add_notices(this, status);
    job_free(this);
    MpHttp_Send(req, status, "application/json", body, strlen(body));
}

/* ---- injected faults ---- */

static enum job_fault
find_fault(const char *text)
{
    for (int i = FAULT_CRASH; i <= FAULT_ERROR; i++) {
        if (strstr(text, fault_markers[i])) {
            return (enum job_fault)i;
        }
    }
    return FAULT_NONE;
}

/* ---- tokens ---- */

static int64_t
token_time_ms(const struct MpSimTarget *target)
{
    int64_t time_us = target->options.token_us +
                      target->options.batch_us * (target->running - 1);
    if (target->options.slow_percent > 0) {
        time_us = time_us * target->options.slow_percent / 100;
    }
    return MAX(time_us / 1000, 1);
}

static void
append_token(const struct MpSimTargetJob *this, GString *out, int64_t index)
{
    bool is_last = index + 1 == this->token_count;
    g_string_append_printf(out, "%s:%" PRId64 "%s ", this->tag, index,
                           is_last ? ":end" : "");
}

static void
append_chunk(const struct MpSimTargetJob *this, GString *out, int64_t index)
{
    g_string_append(out, "data: {\"choices\":[{\"index\":0,\"delta\":"
                         "{\"content\":\"");
    append_token(this, out, index);
    g_string_append(out, "\"}}]}\n\n");
}

static int64_t
count_prompt_tokens(const struct MpSimTargetJob *this)
{
    return (int64_t)this->chat.prompt->len / BYTES_PER_TOKEN;
}

static void
append_stream_end(const struct MpSimTargetJob *this, GString *out)
{
    g_string_append_printf(
        out,
        "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%" PRId64
        ",\"completion_tokens\":%" PRId64 "}}\n\ndata: [DONE]\n\n",
        count_prompt_tokens(this), this->token_count);
}

static void
record_completion(struct MpSimTargetJob *this)
{
    this->run->completed++;
    MpSimTarget_StoreBlocks(this->target, this->blocks, this->block_count);
}

static void on_token(struct MpTimer *timer);

static void
send_output(struct MpSimTargetJob *this, h2o_send_state_t state)
{
    h2o_iovec_t buffer =
        h2o_strdup(&this->req->pool, this->output->str, this->output->len);
    g_string_truncate(this->output, 0);
    this->is_sending = true;
    h2o_send(this->req, &buffer, buffer.len > 0 ? 1 : 0, state);
}

static void
finish_stream(struct MpSimTargetJob *this)
{
    record_completion(this);
    append_stream_end(this, this->output);
    this->generator->job = NULL;
    this->generator = NULL;
    send_output(this, H2O_SEND_STATE_FINAL);
    job_free(this);
}

static void
send_next_token(struct MpSimTargetJob *this)
{
    if (this->is_sending) {
        /* The client reads slowly.  Retry after the time of one token; the
         * other requests of the batch are not delayed. */
        MpLoop_SetTimer(this->target->loop, &this->timer,
                        token_time_ms(this->target), on_token, this);
        return;
    }
    if (this->next_token >= this->token_count) {
        finish_stream(this);
        return;
    }
    if (this->fault == FAULT_SHORT && this->next_token >= 2) {
        this->generator->job = NULL;
        this->generator = NULL;
        send_output(this, H2O_SEND_STATE_ERROR);
        job_free(this);
        return;
    }
    append_chunk(this, this->output, this->next_token++);
    send_output(this, H2O_SEND_STATE_IN_PROGRESS);
    if (this->fault == FAULT_STALL) {
        return;
    }
    MpLoop_SetTimer(this->target->loop, &this->timer,
                    token_time_ms(this->target), on_token, this);
}

static void
finish_plain(struct MpSimTargetJob *this)
{
    GString *out = g_string_new("{\"choices\":[{\"index\":0,\"message\":"
                                "{\"role\":\"assistant\",\"content\":\"");
    for (int64_t i = 0; i < this->token_count; i++) {
        append_token(this, out, i);
    }
    g_string_append_printf(out,
                           "\"}}],\"usage\":{\"prompt_tokens\":%" PRId64
                           ",\"completion_tokens\":%" PRId64 "}}",
                           count_prompt_tokens(this), this->token_count);
    record_completion(this);
    send_response(this, 200, out->str);
    g_string_free(out, TRUE);
}

static void
finish_call(struct MpSimTargetJob *this)
{
    char *body = g_strdup_printf(
        "{\"ok\":true,\"service\":\"%s\",\"tag\":\"%s\",\"run\":%u}",
        this->target->options.name, this->tag, this->run->runs);
    record_completion(this);
    send_response(this, 200, body);
    g_free(body);
}

static void
on_token(struct MpTimer *timer)
{
    struct MpSimTargetJob *this = timer->data;
    if (this->is_chat && this->chat.is_stream) {
        send_next_token(this);
        return;
    }
    if (this->is_chat && this->next_token < this->token_count) {
        this->next_token++;
        MpLoop_SetTimer(this->target->loop, &this->timer,
                        token_time_ms(this->target), on_token, this);
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
    struct MpSimTargetJob *job = ((struct job_generator *)generator)->job;
    (void)req;
    if (job) {
        job->is_sending = false;
    }
}

static void
on_stop(h2o_generator_t *generator, h2o_req_t *req)
{
    (void)req;
    on_disconnect(generator);
}

static void
start_stream(struct MpSimTargetJob *this)
{
    this->req->res.status = 200;
    this->req->res.reason = "OK";
    MpHttp_AddHeader(this->req, "content-type", "text/event-stream");
    add_notices(this, 200);
    h2o_start_response(this->req, &this->generator->super);
}

/* Returns the time until the prompt of this job is prefilled.  The engine
 * prefills one prompt at a time. */
static int64_t
schedule_prefill(struct MpSimTargetJob *this)
{
    struct MpSimTarget *target = this->target;
    int64_t now_ms = MpLoop_Now();
    uint32_t hits =
        MpSimTarget_LookupBlocks(target, this->blocks, this->block_count);
    int64_t missing = this->block_count - hits;
    target->prefill_until_ms = MAX(target->prefill_until_ms, now_ms) +
                               missing * target->options.prefill_us / 1000;
    return target->prefill_until_ms - now_ms;
}

static void
start_run(struct MpSimTargetJob *this)
{
    struct MpSimTarget *target = this->target;
    int64_t delay_ms = this->is_chat ? schedule_prefill(this) : 0;
    this->is_running = true;
    target->running++;
    delay_ms +=
        this->is_chat ? token_time_ms(target) : target->options.call_us / 1000;
    if (this->fault == FAULT_CRASH) {
        fflush(NULL);
        _exit(CRASH_EXIT_STATUS);
    }
    if (this->fault == FAULT_SILENT) {
        return;
    }
    if (this->fault == FAULT_LATE) {
        delay_ms += LATE_DELAY_MS;
    }
    if (this->is_chat && this->chat.is_stream) {
        start_stream(this);
    }
    MpLoop_SetTimer(target->loop, &this->timer, delay_ms, on_token, this);
}

static void
start_waiting_jobs(struct MpSimTarget *this)
{
    for (int i = 0; i < 3; i++) {
        while (this->running < this->options.slots && this->waiting[i].head) {
            struct MpSimTargetJob *job = this->waiting[i].head->data;
            g_queue_unlink(&this->waiting[i], &job->waiting_link);
            job->waiting_link.data = NULL;
            start_run(job);
        }
    }
}

/* ---- new requests ---- */

static void
set_pause(struct MpSimTargetJob *this, const char *text)
{
    static const char marker[] = "#pause=";
    const char *start = strstr(text, marker);
    if (start) {
        start += strlen(marker);
        g_strlcpy(this->pause, start,
                  MIN(strspn(start, "0123456789.") + 1, TAG_BYTES));
    }
}

static void
set_tag(struct MpSimTargetJob *this, const char *text)
{
    set_pause(this, text);
    const char *start = strstr(text, "id=");
    size_t length = start ? strspn(start + 3, "0123456789abcdefghijklmnopqrst"
                                              "uvwxyzABCDEFGHIJKLMNOPQRSTUVWX"
                                              "YZ-")
                          : 0;
    length = MIN(length, TAG_BYTES - 1);
    if (length > 0) {
        memcpy(this->tag, start + 3, length);
    }
    else {
        g_strlcpy(this->tag, "token", TAG_BYTES);
    }
}

static int
get_priority(const struct MpChat *chat)
{
    struct json_object *value = MpChat_ReadMember(chat, MP_CHAT_PRIORITY);
    const char *text = json_object_get_string(value);
    int class = MP_CLASS_STANDARD;
    for (int i = 0; i < MP_CLASS_COUNT; i++) {
        if (g_strcmp0(text, MpPriorityClass_Names[i]) == 0) {
            class = i;
        }
    }
    json_object_put(value);
    return class;
}

static int
parse_chat(struct MpSimTargetJob *this)
{
    const char *reason;
    h2o_iovec_t body = this->req->entity;
    int code = MpChat_Parse(&this->chat, body.base, body.len, &reason);
    if (code != MP_OK) {
        return code;
    }
    const char *text = this->chat.prompt->str;
    this->fault = find_fault(text);
    set_tag(this, text);
    this->priority = get_priority(&this->chat);
    this->block_count =
        MpPicker_HashBlocks(text, this->chat.prompt->len, this->blocks);
    this->token_count = strstr(text, "#long")
                            ? this->chat.output_tokens
                            : TOKENS_MIN + g_str_hash(text) % TOKENS_RANGE;
    if (this->chat.output_tokens > 0) {
        this->token_count = MIN(this->token_count, this->chat.output_tokens);
    }
    struct json_object *value =
        MpChat_ReadMember(&this->chat, MP_CHAT_RESUME_FROM);
    if (value) {
        this->next_token = json_object_get_int64(value);
    }
    json_object_put(value);
    return MP_OK;
}

static void
parse_call(struct MpSimTargetJob *this)
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

static struct MpSimTargetJob *
job_new(struct MpSimTarget *target, h2o_req_t *req)
{
    struct MpSimTargetJob *this = g_new0(struct MpSimTargetJob, 1);
    this->target = target;
    this->req = req;
    this->output = g_string_new(NULL);
    this->priority = MP_CLASS_STANDARD;
    this->generator = h2o_mem_alloc_shared(
        &req->pool, sizeof(*this->generator), on_disconnect);
    *this->generator = (struct job_generator){
        .super = {.proceed = on_proceed, .stop = on_stop}, .job = this};
    return this;
}

void
MpSimTarget_StartJob(struct MpSimTarget *target, h2o_req_t *req)
{
    struct MpSimTargetJob *this = job_new(target, req);
    this->is_chat = MpHttp_Equals(req->path, "/v1/chat/completions");
    int code = MP_OK;
    if (this->is_chat) {
        code = parse_chat(this);
    }
    else {
        parse_call(this);
    }
    if (code != MP_OK) {
        send_response(this, 400, "{\"error\":\"bad request\"}");
        return;
    }
    if (this->fault == FAULT_REFUSE || target->is_leaving) {
        send_response(this, 503, "{\"error\":\"refused\"}");
        return;
    }
    char *key = MpHttp_CopyHeader(req, "idempotency-key");
    this->run = MpSimTarget_CountRun(target, key ? key : "none");
    g_free(key);
    if (this->fault == FAULT_ERROR) {
        send_response(this, 500, "{\"error\":\"failed\"}");
        return;
    }
    this->waiting_link.data = this;
    g_queue_push_tail_link(&target->waiting[this->priority],
                           &this->waiting_link);
    start_waiting_jobs(target);
}
