#include "commands/LoadTest.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>

#define PROGRESS_INTERVAL_MS 1000
#define GRACE_MS 30000

const char *const MpLoadKind_Names[] = {
    [MP_LOAD_RECIPE] = "recipe",
    [MP_LOAD_REPORT] = "report",
    [MP_LOAD_BOOKING] = "booking",
    [MP_LOAD_STOCK] = "stock",
};

/* plumeau and zawadzki imitate the deployments in examples/.  In the order of
 * enum MpLoadKind, the requests of plumeau stand for recipes, certificates,
 * bookings and stock checks; those of zawadzki for relighting plans with long
 * layouts, requests of installers, switch-ons and lamp status. */
const struct MpLoadMix MpLoadMix_Table[] = {
    {.name = "plumeau",
     .per_mille = {500, 100, 150, 250},
     .prefixes = 6,
     .prefix_blocks = 8},
    {.name = "zawadzki",
     .per_mille = {450, 50, 250, 250},
     .prefixes = 12,
     .prefix_blocks = 24},
    {.name = "recipes",
     .per_mille = {1000},
     .prefixes = 4,
     .prefix_blocks = 4},
    {.name = "bookings", .per_mille = {0, 0, 1000, 0}},
    {.name = NULL},
};

/* ---- start of requests ---- */

static enum MpLoadKind
choose_kind(struct MpLoadTest *this)
{
    uint32_t draw = (uint32_t)g_rand_int_range(this->random, 0, 1000);
    for (int kind = 0; kind < MP_LOAD_KINDS - 1; kind++) {
        if (draw < this->options->mix->per_mille[kind]) {
            return (enum MpLoadKind)kind;
        }
        draw -= this->options->mix->per_mille[kind];
    }
    return MP_LOAD_STOCK;
}

/* Draws a workspace; the weight of workspace i is 1 / (i + 1). */
static uint32_t
choose_workspace(struct MpLoadTest *this)
{
    double sum = 0;
    for (int64_t i = 0; i < this->options->workspaces; i++) {
        sum += 1.0 / (double)(i + 1);
    }
    double draw = g_rand_double_range(this->random, 0, sum);
    for (int64_t i = 0; i < this->options->workspaces; i++) {
        draw -= 1.0 / (double)(i + 1);
        if (draw < 0) {
            return (uint32_t)i;
        }
    }
    return 0;
}

static void
stop_if_done(struct MpLoadTest *this)
{
    int64_t elapsed_ms = MpLoop_Now() - this->start_ms;
    bool is_over = elapsed_ms >= this->options->seconds * 1000;
    bool is_grace_over =
        elapsed_ms >= this->options->seconds * 1000 + GRACE_MS;
    if ((is_over && this->in_flight == 0) || is_grace_over) {
        MpLoop_Stop(this->loop);
    }
}

static void
on_arrival(struct MpTimer *timer)
{
    struct MpLoadTest *this = timer->data;
    double now_ms = (double)(MpLoop_Now() - this->start_ms);
    double end_ms = (double)this->options->seconds * 1000;
    while (this->next_arrival_ms <= now_ms && this->next_arrival_ms < end_ms) {
        uint32_t workspace = choose_workspace(this);
        MpLoadCall_Start(this, choose_kind(this), workspace);
        double draw = g_rand_double_range(this->random, 1e-9, 1);
        this->next_arrival_ms += -log(draw) * 1000 / this->options->rate_per_s;
    }
    stop_if_done(this);
    MpLoop_SetTimer(this->loop, &this->arrival_timer, 1, on_arrival, this);
}

static void
on_progress(struct MpTimer *timer)
{
    struct MpLoadTest *this = timer->data;
    uint64_t answered = 0;
    for (int i = 0; i < MP_LOAD_KINDS; i++) {
        answered += this->counts[i].answered;
    }
    fprintf(stderr,
            "load: %" PRId64 " s, sent %" PRIu64 ", answered %" PRIu64
            ", running %" PRIu64 "\n",
            (MpLoop_Now() - this->start_ms) / 1000, this->request_count,
            answered, this->in_flight);
    MpLoop_SetTimer(this->loop, &this->progress_timer, PROGRESS_INTERVAL_MS,
                    on_progress, this);
}

void
MpLoadTest_Start(struct MpLoadTest *this, struct MpLoop *loop,
                 const struct MpLoadOptions *options)
{
    *this = (struct MpLoadTest){
        .options = options, .loop = loop, .start_ms = MpLoop_Now()};
    this->random = g_rand_new_with_seed(options->seed);
    this->requests = g_ptr_array_new();
    MpMetrics_Init(&this->metrics);
    MpLoadConns_Init(&this->conns, loop);
    MpLoop_SetTimer(loop, &this->arrival_timer, 0, on_arrival, this);
    if (!options->is_quiet) {
        MpLoop_SetTimer(loop, &this->progress_timer, PROGRESS_INTERVAL_MS,
                        on_progress, this);
    }
}

/* ---- report ---- */

/* Names and offsets of the fields of struct MpLoadCounts, for the report and
 * the table. */
struct count_row {
    const char *name;
    size_t offset;
};

static const struct count_row count_rows[] = {
    {"sent", offsetof(struct MpLoadCounts, sent)},
    {"answered", offsetof(struct MpLoadCounts, answered)},
    {"wrong", offsetof(struct MpLoadCounts, wrong)},
    {"cut", offsetof(struct MpLoadCounts, cut)},
    {"no_budget", offsetof(struct MpLoadCounts, no_budget)},
    {"shed", offsetof(struct MpLoadCounts, shed)},
    {"unknown", offsetof(struct MpLoadCounts, unknown)},
    {"lost", offsetof(struct MpLoadCounts, lost)},
    {"other", offsetof(struct MpLoadCounts, other)},
    {"retries", offsetof(struct MpLoadCounts, retries)},
    {"foreign", offsetof(struct MpLoadCounts, foreign)},
};

static uint64_t
get_count(const struct MpLoadCounts *counts, const struct count_row *row)
{
    return *(const uint64_t *)((const char *)counts + row->offset);
}

static struct json_object *
counts_json(const struct MpLoadCounts *counts)
{
    struct json_object *object = json_object_new_object();
    for (size_t i = 0; i < G_N_ELEMENTS(count_rows); i++) {
        json_object_object_add(
            object, count_rows[i].name,
            json_object_new_int64((int64_t)get_count(counts, &count_rows[i])));
    }
    return object;
}

static struct json_object *
histograms_json(struct MpLoadTest *this)
{
    GHashTableIter iter;
    void *name;
    void *value;
    struct json_object *object = json_object_new_object();
    g_hash_table_iter_init(&iter, this->metrics.histograms);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        const struct MpHistogram *histogram = value;
        struct json_object *item = json_object_new_object();
        json_object_object_add(
            item, "count", json_object_new_int64((int64_t)histogram->count));
        json_object_object_add(
            item, "mean",
            json_object_new_int64(
                (int64_t)(histogram->sum / MAX(histogram->count, 1))));
        json_object_object_add(
            item, "p50",
            json_object_new_int64(
                (int64_t)MpHistogram_Quantile(histogram, 500)));
        json_object_object_add(
            item, "p95",
            json_object_new_int64(
                (int64_t)MpHistogram_Quantile(histogram, 950)));
        json_object_object_add(
            item, "p99",
            json_object_new_int64(
                (int64_t)MpHistogram_Quantile(histogram, 990)));
        json_object_object_add(object, name, item);
    }
    return object;
}

static struct json_object *
requests_json(const struct MpLoadTest *this)
{
    struct json_object *list = json_object_new_array();
    for (guint i = 0; i < this->requests->len; i++) {
        const struct MpLoadRequest *request =
            g_ptr_array_index(this->requests, i);
        struct json_object *item = json_object_new_object();
        json_object_object_add(item, "key",
                               json_object_new_string(request->key));
        json_object_object_add(item, "workspace",
                               json_object_new_string(request->workspace));
        json_object_object_add(
            item, "kind",
            json_object_new_string(MpLoadKind_Names[request->kind]));
        json_object_object_add(item, "answered",
                               json_object_new_boolean(request->is_answered));
        json_object_object_add(item, "all_not_run",
                               json_object_new_boolean(request->all_not_run));
        json_object_object_add(item, "status",
                               json_object_new_int(request->status));
        json_object_object_add(item, "prompt_bytes",
                               json_object_new_int64(request->prompt_bytes));
        json_object_object_add(item, "tokens",
                               json_object_new_int64(request->tokens));
        json_object_object_add(item, "sent_ms",
                               json_object_new_int64(request->sent_ms));
        json_object_object_add(item, "ended_ms",
                               json_object_new_int64(request->ended_ms));
        json_object_array_add(list, item);
    }
    return list;
}

static struct json_object *
connections_json(const struct MpLoadConns *conns)
{
    struct json_object *object = json_object_new_object();
    json_object_object_add(object, "opened",
                           json_object_new_int64((int64_t)conns->opened));
    json_object_object_add(object, "reused",
                           json_object_new_int64((int64_t)conns->reused));
    json_object_object_add(object, "stray",
                           json_object_new_int64((int64_t)conns->stray));
    return object;
}

static struct json_object *
ends_json(const struct MpLoadLedger *seen)
{
    struct json_object *object = json_object_new_object();
    for (int end = 0; end < MP_LOAD_ENDS; end++) {
        json_object_object_add(
            object, MpLoadEnd_Names[end],
            json_object_new_int64((int64_t)seen->ends[end]));
    }
    return object;
}

struct json_object *
MpLoadTest_Report(struct MpLoadTest *this)
{
    struct json_object *root = json_object_new_object();
    struct json_object *kinds = json_object_new_object();
    for (int i = 0; i < MP_LOAD_KINDS; i++) {
        json_object_object_add(kinds, MpLoadKind_Names[i],
                               counts_json(&this->counts[i]));
    }
    json_object_object_add(root, "kinds", kinds);
    json_object_object_add(root, "histograms", histograms_json(this));
    json_object_object_add(root, "connections",
                           connections_json(&this->conns));
    json_object_object_add(root, "ends", ends_json(&this->seen));
    json_object_object_add(root, "keys", requests_json(this));
    return root;
}

void
MpLoadTest_PrintTable(struct MpLoadTest *this)
{
    fprintf(stderr, "%-10s", "");
    for (size_t i = 0; i < G_N_ELEMENTS(count_rows); i++) {
        fprintf(stderr, " %9s", count_rows[i].name);
    }
    fprintf(stderr, "\n");
    for (int kind = 0; kind < MP_LOAD_KINDS; kind++) {
        fprintf(stderr, "%-10s", MpLoadKind_Names[kind]);
        for (size_t i = 0; i < G_N_ELEMENTS(count_rows); i++) {
            fprintf(stderr, " %9" PRIu64,
                    get_count(&this->counts[kind], &count_rows[i]));
        }
        fprintf(stderr, "\n");
    }
}
