#include "commands/LoadTest.h"

#include "coordination/Picker.h"
#include "protocol/Sse.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* One request of a caller, with its repeats; see Load.h. */

#define ANSWER_WAIT_MS 20000
#define RETRY_LEAST_MS 100

struct load_call {
    struct MpLoad *load;
    struct MpLoadKey *key;
    char *prompt;
    uint32_t instance;
    uint32_t tries;
    struct MpUpstream *upstream;
    struct MpTimer timer;
    struct MpSse sse;
    GByteArray *answer;
    int status;
    bool says_not_run;
    int64_t retry_after_ms;
    int64_t began_us;
    int64_t last_us;
    int64_t tokens;
    bool is_wrong; /* a token of another request, or out of order */
    bool is_end;   /* the last token was seen */
    bool is_done;  /* the end mark was seen */
    bool is_cut;   /* the answer says that it is not whole */
};

static const struct MpUpstreamClass load_class;

static void send_call(struct load_call *this);

/* ---- the request ---- */

/* A long beginning that many requests of a workspace share. */
static void
append_prefix(struct MpLoad *load, GString *out, const char *workspace)
{
    const struct MpLoadMix *mix = load->options->mix;
    uint32_t number = (uint32_t)g_rand_int_range(
        load->random, 0, (gint32)MAX(mix->prefixes, 1));
    size_t size = (size_t)mix->prefix_blocks * MP_PREFIX_BLOCK_BYTES;
    size_t start = out->len;
    while (out->len - start < size) {
        g_string_append_printf(out, "Part %u of the layout of %s, line %zu. ",
                               number, workspace, out->len - start);
    }
    g_string_truncate(out, start + size);
}

static char *
chat_body(const struct load_call *this)
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
        json_object_new_boolean(this->key->kind == MP_LOAD_RECIPE));
    json_object_object_add(
        root, "max_tokens",
        json_object_new_int64(this->load->options->tokens_most));
    json_object_object_add(root, "messages", list);
    char *text =
        g_strdup(json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
    json_object_put(root);
    return text;
}

static GByteArray *
build(const struct load_call *this, const char *address)
{
    bool is_direct = this->load->options->is_direct;
    const char *method = "POST";
    const char *path = "/v1/chat/completions";
    char *body;
    if (this->key->kind == MP_LOAD_BOOKING) {
        path = is_direct ? "/lots" : "/services/s/lots";
        body = g_strdup_printf("book id=%s", this->key->key);
    }
    else if (this->key->kind == MP_LOAD_STOCK) {
        method = "GET";
        path = is_direct ? "/stock" : "/services/s/stock";
        body = g_strdup_printf("id=%s", this->key->key);
    }
    else {
        body = chat_body(this);
    }
    char *head = g_strdup_printf(
        "%s %s HTTP/1.1\r\nhost: %s\r\nconnection: close\r\n"
        "authorization: Bearer key-%s\r\nidempotency-key: %s\r\n"
        "content-length: %zu\r\n\r\n%s",
        method, path, address, this->key->workspace, this->key->key,
        strlen(body), body);
    GByteArray *request = g_byte_array_new();
    g_byte_array_append(request, (const guint8 *)head, (guint)strlen(head));
    g_free(head);
    g_free(body);
    return request;
}

/* ---- the answer ---- */

static uint64_t
since_us(int64_t from_us)
{
    return (uint64_t)MAX(g_get_monotonic_time() - from_us, 0);
}

static void
note_time(struct load_call *this, const char *name, uint64_t time_us)
{
    MpHistogram_Add(MpMetrics_Histogram(&this->load->metrics, name, "kind",
                                        MpLoadKind_Names[this->key->kind]),
                    time_us);
    MpHistogram_Add(MpMetrics_Histogram(&this->load->metrics, name,
                                        "workspace", this->key->workspace),
                    time_us);
}

static void
take_token(struct load_call *this, const struct MpSseEvent *event)
{
    char *wanted =
        g_strdup_printf("\"%s:%" PRId64, this->key->key, this->tokens);
    char *text = g_strndup(event->text, event->size);
    if (!strstr(text, wanted)) {
        this->is_wrong = true;
    }
    this->is_end = strstr(text, ":end ") != NULL;
    if (this->tokens == 0) {
        note_time(this, "first_token_us", since_us(this->began_us));
    }
    else {
        note_time(this, "between_tokens_us", since_us(this->last_us));
    }
    this->last_us = g_get_monotonic_time();
    this->tokens++;
    g_free(text);
    g_free(wanted);
}

static void
on_head(void *owner, int status, const h2o_header_t *headers, size_t count)
{
    struct load_call *this = owner;
    this->status = status;
    for (size_t i = 0; i < count; i++) {
        const h2o_iovec_t *name = headers[i].name;
        const h2o_iovec_t *value = &headers[i].value;
        if (h2o_memis(name->base, name->len, H2O_STRLIT("x-mimosapath-run"))) {
            this->says_not_run =
                h2o_memis(value->base, value->len, H2O_STRLIT("no"));
        }
        if (h2o_memis(name->base, name->len, H2O_STRLIT("retry-after"))) {
            this->retry_after_ms =
                1000 * (int64_t)h2o_strtosize(value->base, value->len);
        }
    }
}

static void
on_body(void *owner, const char *data, size_t size)
{
    struct load_call *this = owner;
    struct MpSseEvent event;
    if (this->status != 200 || this->key->kind != MP_LOAD_RECIPE) {
        g_byte_array_append(this->answer, (const guint8 *)data, (guint)size);
        return;
    }
    MpSse_Feed(&this->sse, data, size);
    while (MpSse_Next(&this->sse, &event)) {
        if (event.kind == MP_SSE_TOKEN) {
            take_token(this, &event);
        }
        this->is_done = this->is_done || event.kind == MP_SSE_DONE;
        this->is_cut = this->is_cut || event.kind == MP_SSE_ERROR;
    }
}

/* Whether a plain answer holds all tokens of this request in order. */
static bool
is_plain_whole(const struct load_call *this)
{
    char *text =
        g_strndup((const char *)this->answer->data, this->answer->len);
    char *tag = this->key->kind == MP_LOAD_REPORT
                    ? g_strdup_printf("%s:0", this->key->key)
                    : g_strdup_printf("\"tag\":\"%s\"", this->key->key);
    bool is_whole = strstr(text, tag) != NULL;
    if (this->key->kind == MP_LOAD_REPORT) {
        is_whole = is_whole && strstr(text, ":end ") != NULL;
    }
    g_free(tag);
    g_free(text);
    return is_whole;
}

static int64_t
count_plain_tokens(const struct load_call *this)
{
    int64_t count = 0;
    for (guint i = 0; i < this->answer->len; i++) {
        count += this->answer->data[i] == ':' && i > 0 &&
                 g_ascii_isalnum(this->answer->data[i - 1]) &&
                 i + 1 < this->answer->len &&
                 g_ascii_isdigit(this->answer->data[i + 1]);
    }
    return this->key->kind == MP_LOAD_REPORT ? count : 0;
}

/* ---- the end ---- */

static void
call_free(struct load_call *this)
{
    MpLoop_ClearTimer(&this->timer);
    MpSse_Done(&this->sse);
    g_byte_array_unref(this->answer);
    g_free(this->prompt);
    this->load->running--;
    g_free(this);
}

static void
count_failure(struct load_call *this)
{
    struct MpLoadCounts *counts = &this->load->counts[this->key->kind];
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
finish(struct load_call *this, bool is_whole)
{
    struct MpLoadCounts *counts = &this->load->counts[this->key->kind];
    this->key->status = this->status;
    this->key->ended_ms = MpLoop_Now() - this->load->began_ms;
    if (!is_whole) {
        count_failure(this);
    }
    else if (this->is_wrong) {
        counts->wrong++;
    }
    else {
        this->key->is_answered = true;
        this->key->tokens = this->tokens;
        counts->answered++;
        note_time(this, "answer_us", since_us(this->began_us));
    }
    call_free(this);
}

static void
on_retry(struct MpTimer *timer)
{
    send_call(timer->data);
}

/* A 402 is final, and so is what a client can do nothing about. */
static bool
is_worth_retry(const struct load_call *this)
{
    bool is_open = this->status == 0 || this->status == 200 ||
                   this->status == 409 || this->status == 429 ||
                   this->status == 503 || this->status == 504;
    return is_open && this->tries <= this->load->options->retries;
}

static void
conclude(struct load_call *this, bool is_whole)
{
    MpLoop_ClearTimer(&this->timer);
    this->upstream = NULL;
    if (!this->says_not_run) {
        this->key->all_not_run = false;
    }
    if (is_whole || !is_worth_retry(this)) {
        finish(this, is_whole);
        return;
    }
    this->load->counts[this->key->kind].retries++;
    MpLoop_SetTimer(this->load->loop, &this->timer,
                    MAX(this->retry_after_ms, RETRY_LEAST_MS), on_retry, this);
}

static void
on_end(void *owner, enum MpUpstreamResult end)
{
    struct load_call *this = owner;
    bool is_whole = end == MP_UPSTREAM_COMPLETE && this->status == 200;
    if (end != MP_UPSTREAM_COMPLETE) {
        /* No byte of the request left: nothing can have run. */
        this->says_not_run = end == MP_UPSTREAM_NOT_SENT;
        this->status = this->status == 200 ? 200 : 0;
    }
    if (is_whole && this->key->kind == MP_LOAD_RECIPE) {
        is_whole = this->is_done && !this->is_cut;
        this->is_wrong = this->is_wrong || (is_whole && !this->is_end);
    }
    else if (is_whole) {
        this->is_wrong = !is_plain_whole(this);
        this->tokens = count_plain_tokens(this);
    }
    conclude(this, is_whole);
}

static const struct MpUpstreamClass load_class = {
    .head = on_head, .body = on_body, .end = on_end};

static void
on_late(struct MpTimer *timer)
{
    struct load_call *this = timer->data;
    MpUpstream_Cancel(this->upstream);
    this->status = 0;
    this->says_not_run = false;
    conclude(this, false);
}

static void
send_call(struct load_call *this)
{
    const GPtrArray *instances = this->load->options->instances;
    const char *address =
        g_ptr_array_index(instances, this->instance % instances->len);
    this->instance++;
    this->tries++;
    this->status = 0;
    this->says_not_run = false;
    this->retry_after_ms = 0;
    this->tokens = 0;
    this->is_wrong = false;
    this->is_end = false;
    this->is_done = false;
    this->is_cut = false;
    g_byte_array_set_size(this->answer, 0);
    MpSse_Done(&this->sse);
    MpSse_Init(&this->sse);
    MpLoop_SetTimer(this->load->loop, &this->timer, ANSWER_WAIT_MS, on_late,
                    this);
    this->upstream =
        MpUpstream_Start(&this->load->upstreams, &load_class, this, address,
                         this->key->kind == MP_LOAD_STOCK ? "GET" : "POST",
                         build(this, address));
}

static struct MpLoadKey *
key_new(struct MpLoad *load, enum MpLoadKind kind, uint32_t workspace)
{
    struct MpLoadKey *key = g_new0(struct MpLoadKey, 1);
    key->key =
        g_strdup_printf("%u-%" PRIu64, load->options->seed, ++load->number);
    key->workspace = g_strdup_printf("w%u", workspace);
    key->kind = kind;
    key->all_not_run = true;
    key->sent_ms = MpLoop_Now() - load->began_ms;
    g_ptr_array_add(load->keys, key);
    return key;
}

void
MpLoadCall_Start(struct MpLoad *load, enum MpLoadKind kind, uint32_t workspace)
{
    struct load_call *this = g_new0(struct load_call, 1);
    this->load = load;
    this->key = key_new(load, kind, workspace);
    this->instance = g_rand_int(load->random);
    this->answer = g_byte_array_new();
    this->began_us = g_get_monotonic_time();
    MpSse_Init(&this->sse);
    if (kind == MP_LOAD_RECIPE || kind == MP_LOAD_REPORT) {
        GString *prompt = g_string_new(NULL);
        append_prefix(load, prompt, this->key->workspace);
        g_string_append_printf(prompt, " id=%s %s", this->key->key,
                               load->options->marks);
        this->prompt = g_string_free(prompt, FALSE);
        this->key->prompt_bytes =
            (int64_t)strlen("user\n") + (int64_t)strlen(this->prompt) + 1;
    }
    load->running++;
    load->counts[kind].sent++;
    send_call(this);
}
