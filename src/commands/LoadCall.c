#include "commands/LoadTest.h"

#include "coordination/Picker.h"
#include "protocol/Sse.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* One request of a load test, with its retries. */

#define RESPONSE_TIMEOUT_MS 20000
#define RETRY_DELAY_MIN_MS 100

struct load_call {
    struct MpLoadTest *test;
    struct MpLoadRequest *request;
    char *prompt;
    uint32_t next_address; /* index into the addresses, modulo their number */
    uint32_t attempts;
    struct MpLoadConn *conn;
    struct MpTimer timer;
    struct MpSse sse;
    GByteArray *response_body;
    int status;
    bool is_not_run;    /* this attempt can't have run */
    char run_claim[16]; /* of the response; empty without one */
    int64_t retry_after_ms;
    int64_t start_us;
    int64_t last_token_us;
    int64_t tokens; /* received */
    bool is_wrong; /* a token is missing, out of order or of another request */
    bool has_last_token;
    bool has_done_event;
    bool has_error_event;
};

static const struct MpLoadConnClass conn_class;

static void send_attempt(struct load_call *this);

/* ---- request ---- */

/* Appends one of the long prompt prefixes that the requests of a workspace
 * share. */
static void
append_prefix(struct MpLoadTest *test, GString *out, const char *workspace)
{
    const struct MpLoadMix *mix = test->options->mix;
    uint32_t number = (uint32_t)g_rand_int_range(
        test->random, 0, (gint32)MAX(mix->prefixes, 1));
    size_t size = (size_t)mix->prefix_blocks * MP_PREFIX_BLOCK_BYTES;
    size_t start = out->len;
    while (out->len - start < size) {
        g_string_append_printf(out, "Part %u of the layout of %s, line %zu. ",
                               number, workspace, out->len - start);
    }
    g_string_truncate(out, start + size);
}

static char *
build_chat_body(const struct load_call *this)
{
    struct json_object *root = json_object_new_object();
    struct json_object *message = json_object_new_object();
    struct json_object *list = json_object_new_array();
    json_object_object_add(message, "role", json_object_new_string("user"));
    json_object_object_add(message, "content",
                           json_object_new_string(this->prompt));
    json_object_array_add(list, message);
    json_object_object_add(root, "model", json_object_new_string("m"));
    json_object_object_add(
        root, "stream",
        json_object_new_boolean(this->request->kind == MP_LOAD_RECIPE));
    json_object_object_add(
        root, "max_tokens",
        json_object_new_int64(this->test->options->tokens_max));
    json_object_object_add(root, "messages", list);
    char *text =
        g_strdup(json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
    json_object_put(root);
    return text;
}

static GByteArray *
build_request(const struct load_call *this, const char *address)
{
    bool is_direct = this->test->options->is_direct;
    const char *method = "POST";
    const char *path = "/v1/chat/completions";
    char *body;
    if (this->request->kind == MP_LOAD_BOOKING) {
        path = is_direct ? "/lots" : "/services/s/lots";
        body = g_strdup_printf("book id=%s", this->request->key);
    }
    else if (this->request->kind == MP_LOAD_STOCK) {
        method = "GET";
        path = is_direct ? "/stock" : "/services/s/stock";
        body = g_strdup_printf("id=%s", this->request->key);
    }
    else {
        body = build_chat_body(this);
    }
    char *head = g_strdup_printf(
        "%s %s HTTP/1.1\r\nhost: %s\r\n"
        "authorization: Bearer key-%s\r\nidempotency-key: %s\r\n"
        "content-length: %zu\r\n\r\n%s",
        method, path, address, this->request->workspace, this->request->key,
        strlen(body), body);
    GByteArray *request = g_byte_array_new();
    g_byte_array_append(request, (const guint8 *)head, (guint)strlen(head));
    g_free(head);
    g_free(body);
    return request;
}

/* ---- response ---- */

static uint64_t
elapsed_us(int64_t start_us)
{
    return (uint64_t)MAX(g_get_monotonic_time() - start_us, 0);
}

static void
record_time(struct load_call *this, const char *name, uint64_t time_us)
{
    MpHistogram_Add(MpMetrics_Histogram(&this->test->metrics, name, "kind",
                                        MpLoadKind_Names[this->request->kind]),
                    time_us);
    MpHistogram_Add(MpMetrics_Histogram(&this->test->metrics, name,
                                        "workspace", this->request->workspace),
                    time_us);
}

static void
handle_token(struct load_call *this, const struct MpSseEvent *event)
{
    char *expected =
        g_strdup_printf("\"%s:%" PRId64, this->request->key, this->tokens);
    char *text = g_strndup(event->text, event->size);
    if (!strstr(text, expected)) {
        this->is_wrong = true;
    }
    this->has_last_token = strstr(text, ":end ") != NULL;
    if (this->tokens == 0) {
        record_time(this, "first_token_us", elapsed_us(this->start_us));
    }
    else {
        record_time(this, "between_tokens_us",
                    elapsed_us(this->last_token_us));
    }
    this->last_token_us = g_get_monotonic_time();
    this->tokens++;
    g_free(text);
    g_free(expected);
}

static void
on_header(void *owner, const char *name, const char *value)
{
    struct load_call *this = owner;
    if (g_ascii_strcasecmp(name, "x-mimosapath-run") == 0) {
        g_strlcpy(this->run_claim, value, sizeof(this->run_claim));
        this->is_not_run = strcmp(value, "no") == 0;
    }
    if (g_ascii_strcasecmp(name, "retry-after") == 0) {
        this->retry_after_ms = 1000 * strtoll(value, NULL, 10);
    }
}

static void
on_head(void *owner, int status)
{
    struct load_call *this = owner;
    this->status = status;
}

static void
on_body(void *owner, const char *data, size_t size)
{
    struct load_call *this = owner;
    struct MpSseEvent event;
    if (this->status != 200 || this->request->kind != MP_LOAD_RECIPE) {
        g_byte_array_append(this->response_body, (const guint8 *)data,
                            (guint)size);
        return;
    }
    MpSse_Feed(&this->sse, data, size);
    while (MpSse_Next(&this->sse, &event)) {
        if (event.kind == MP_SSE_TOKEN) {
            handle_token(this, &event);
        }
        this->has_done_event =
            this->has_done_event || event.kind == MP_SSE_DONE;
        this->has_error_event =
            this->has_error_event || event.kind == MP_SSE_ERROR;
    }
}

/* Returns whether a response that is not streamed belongs to this request.  A
 * completion must also hold its first and its last token. */
static bool
is_plain_complete(const struct load_call *this)
{
    char *text = g_strndup((const char *)this->response_body->data,
                           this->response_body->len);
    char *tag = this->request->kind == MP_LOAD_REPORT
                    ? g_strdup_printf("%s:0", this->request->key)
                    : g_strdup_printf("\"tag\":\"%s\"", this->request->key);
    bool is_complete = strstr(text, tag) != NULL;
    if (this->request->kind == MP_LOAD_REPORT) {
        is_complete = is_complete && strstr(text, ":end ") != NULL;
    }
    g_free(tag);
    g_free(text);
    return is_complete;
}

/* Returns whether a response of an instance that is an error is whole: its
 * body says the same as its head. */
static bool
is_error_whole(const struct load_call *this)
{
    struct json_object *root = NULL;
    struct json_object *error;
    struct json_object *run;
    char *text = g_strndup((const char *)this->response_body->data,
                           this->response_body->len);
    root = json_tokener_parse(text);
    bool is_whole = json_object_is_type(root, json_type_object) &&
                    json_object_object_get_ex(root, "error", &error) &&
                    json_object_object_get_ex(error, "run", &run) &&
                    strcmp(json_object_get_string(run), this->run_claim) == 0;
    json_object_put(root);
    g_free(text);
    return is_whole;
}

static int64_t
count_plain_tokens(const struct load_call *this)
{
    int64_t count = 0;
    for (guint i = 0; i < this->response_body->len; i++) {
        count += this->response_body->data[i] == ':' && i > 0 &&
                 g_ascii_isalnum(this->response_body->data[i - 1]) &&
                 i + 1 < this->response_body->len &&
                 g_ascii_isdigit(this->response_body->data[i + 1]);
    }
    return this->request->kind == MP_LOAD_REPORT ? count : 0;
}

/* ---- end and retry ---- */

static void
call_free(struct load_call *this)
{
    MpLoop_ClearTimer(&this->timer);
    MpSse_Done(&this->sse);
    g_byte_array_unref(this->response_body);
    g_free(this->prompt);
    this->test->in_flight--;
    g_free(this);
}

static void
count_failure(struct load_call *this)
{
    struct MpLoadCounts *counts = &this->test->counts[this->request->kind];
    switch (this->status) {
    case 0:
        counts->lost++;
        break;
    case 200:
        counts->cut++;
        break;
    case 402:
        counts->no_budget++;
        break;
    case 429:
    case 503:
        counts->shed++;
        break;
    case 409:
    case 504:
        counts->unknown++;
        break;
    default:
        counts->other++;
        break;
    }
}

static void
finish_call(struct load_call *this, bool is_complete)
{
    struct MpLoadCounts *counts = &this->test->counts[this->request->kind];
    this->request->status = this->status;
    this->request->ended_ms = MpLoop_Now() - this->test->start_ms;
    if (!is_complete) {
        count_failure(this);
    }
    else if (this->is_wrong) {
        counts->wrong++;
    }
    else {
        this->request->is_answered = true;
        this->request->tokens = this->tokens;
        counts->answered++;
        record_time(this, "answer_us", elapsed_us(this->start_us));
    }
    call_free(this);
}

static void
on_retry(struct MpTimer *timer)
{
    send_attempt(timer->data);
}

/* Retries lost or incomplete responses, 409, 429, 503 and 504.  402 is final,
 * as are other errors, which a client can't mend by a retry. */
static bool
may_retry(const struct load_call *this)
{
    bool is_retryable = this->status == 0 || this->status == 200 ||
                        this->status == 409 || this->status == 429 ||
                        this->status == 503 || this->status == 504;
    return is_retryable && this->attempts <= this->test->options->retries_max;
}

static void
end_attempt(struct load_call *this, bool is_complete)
{
    MpLoop_ClearTimer(&this->timer);
    this->conn = NULL;
    if (!this->is_not_run) {
        this->request->all_not_run = false;
    }
    if (is_complete || !may_retry(this)) {
        finish_call(this, is_complete);
        return;
    }
    this->test->counts[this->request->kind].retries++;
    MpLoop_SetTimer(this->test->loop, &this->timer,
                    MAX(this->retry_after_ms, RETRY_DELAY_MIN_MS), on_retry,
                    this);
}

/* Counts how an attempt ended that was sent whole.  One that was cut off
 * before its response began may have been sent in part. */
static void
count_end(struct load_call *this, enum MpLoadResult result)
{
    enum MpLoadEnd end = MP_LOAD_END_CUT;
    bool is_cut_off = result == MP_LOAD_INCOMPLETE && this->status == 0;
    if (result == MP_LOAD_NOT_SENT || is_cut_off) {
        return;
    }
    if (result == MP_LOAD_COMPLETE) {
        end = this->run_claim[0] ? MP_LOAD_END_REFUSED : MP_LOAD_END_ANSWERED;
    }
    else if (result == MP_LOAD_UNANSWERED) {
        end = MP_LOAD_END_UNANSWERED;
    }
    this->test->seen.ends[end]++;
}

static void
on_end(void *owner, enum MpLoadResult result)
{
    struct load_call *this = owner;
    count_end(this, result);
    bool is_complete = result == MP_LOAD_COMPLETE && this->status == 200;
    if (result == MP_LOAD_COMPLETE && this->run_claim[0] &&
        !is_error_whole(this)) {
        this->test->counts[this->request->kind].foreign++;
    }
    if (result != MP_LOAD_COMPLETE) {
        /* If nothing was sent, the request can't have run. */
        this->is_not_run = result == MP_LOAD_NOT_SENT;
        this->status = this->status == 200 ? 200 : 0;
    }
    if (is_complete && this->request->kind == MP_LOAD_RECIPE) {
        is_complete = this->has_done_event && !this->has_error_event;
        this->is_wrong =
            this->is_wrong || (is_complete && !this->has_last_token);
    }
    else if (is_complete) {
        this->is_wrong = !is_plain_complete(this);
        this->tokens = count_plain_tokens(this);
    }
    end_attempt(this, is_complete);
}

static const struct MpLoadConnClass conn_class = {
    .header = on_header, .head = on_head, .body = on_body, .end = on_end};

static void
on_timeout(struct MpTimer *timer)
{
    struct load_call *this = timer->data;
    this->test->seen.ends[MP_LOAD_END_LEFT] +=
        MpLoadConn_IsWritten(this->conn);
    MpLoadConn_Cancel(this->conn);
    this->status = 0;
    this->is_not_run = false;
    end_attempt(this, false);
}

static void
send_attempt(struct load_call *this)
{
    const GPtrArray *addresses = this->test->options->addresses;
    const char *address =
        g_ptr_array_index(addresses, this->next_address % addresses->len);
    this->next_address++;
    this->attempts++;
    this->status = 0;
    this->is_not_run = false;
    this->run_claim[0] = '\0';
    this->retry_after_ms = 0;
    this->tokens = 0;
    this->is_wrong = false;
    this->has_last_token = false;
    this->has_done_event = false;
    this->has_error_event = false;
    g_byte_array_set_size(this->response_body, 0);
    MpSse_Done(&this->sse);
    MpSse_Init(&this->sse);
    MpLoop_SetTimer(this->test->loop, &this->timer, RESPONSE_TIMEOUT_MS,
                    on_timeout, this);
    this->conn = MpLoadConns_Send(&this->test->conns, &conn_class, this,
                                  address, build_request(this, address));
}

static struct MpLoadRequest *
request_new(struct MpLoadTest *test, enum MpLoadKind kind, uint32_t workspace)
{
    struct MpLoadRequest *request = g_new0(struct MpLoadRequest, 1);
    request->key = g_strdup_printf("%u-%" PRIu64, test->options->seed,
                                   ++test->request_count);
    request->workspace = g_strdup_printf("w%u", workspace);
    request->kind = kind;
    request->all_not_run = true;
    request->sent_ms = MpLoop_Now() - test->start_ms;
    g_ptr_array_add(test->requests, request);
    return request;
}

void
MpLoadCall_Start(struct MpLoadTest *test, enum MpLoadKind kind,
                 uint32_t workspace)
{
    struct load_call *this = g_new0(struct load_call, 1);
    this->test = test;
    this->request = request_new(test, kind, workspace);
    this->next_address = g_rand_int(test->random);
    this->response_body = g_byte_array_new();
    this->start_us = g_get_monotonic_time();
    MpSse_Init(&this->sse);
    if (kind == MP_LOAD_RECIPE || kind == MP_LOAD_REPORT) {
        GString *prompt = g_string_new(NULL);
        append_prefix(test, prompt, this->request->workspace);
        g_string_append_printf(prompt, " id=%s %s", this->request->key,
                               test->options->prompt_suffix);
        this->prompt = g_string_free(prompt, FALSE);
        this->request->prompt_bytes =
            (int64_t)strlen("user\n") + (int64_t)strlen(this->prompt) + 1;
    }
    test->in_flight++;
    test->counts[kind].sent++;
    send_attempt(this);
}
