#include "commands/LoadTest.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>

#define PROGRESS_MS 1000
#define GRACE_MS 30000

const char *const MpLoadKind_Names[] = {
    [MP_LOAD_RECIPE] = "recipe",
    [MP_LOAD_REPORT] = "report",
    [MP_LOAD_BOOKING] = "booking",
    [MP_LOAD_STOCK] = "stock",
};

/* Plumeau: recipes, certificates, bookings, stock checks.  Zawadzki:
 * relighting plans with long layouts, installers, switch-ons, lamp status. */
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

/* ---- arrivals ---- */

static enum MpLoadKind
choose_kind(struct MpLoad *this)
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

/* Workspace number i gets a share of 1 / (i + 1). */
static uint32_t
choose_workspace(struct MpLoad *this)
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
check_end(struct MpLoad *this)
{
    int64_t passed_ms = MpLoop_Now() - this->began_ms;
    bool is_over = passed_ms >= this->options->seconds * 1000;
    bool is_late = passed_ms >= this->options->seconds * 1000 + GRACE_MS;
    if ((is_over && this->running == 0) || is_late) {
        MpLoop_Stop(this->loop);
    }
}

static void
on_arrival(struct MpTimer *timer)
{
    struct MpLoad *this = timer->data;
    double now_ms = (double)(MpLoop_Now() - this->began_ms);
    double end_ms = (double)this->options->seconds * 1000;
    while (this->next_ms <= now_ms && this->next_ms < end_ms) {
        uint32_t workspace = choose_workspace(this);
        MpLoadCall_Start(this, choose_kind(this), workspace);
        double draw = g_rand_double_range(this->random, 1e-9, 1);
        this->next_ms += -log(draw) * 1000 / this->options->rate_per_s;
    }
    check_end(this);
    MpLoop_SetTimer(this->loop, &this->arrival, 1, on_arrival, this);
}

static void
on_progress(struct MpTimer *timer)
{
    struct MpLoad *this = timer->data;
    uint64_t answered = 0;
    for (int i = 0; i < MP_LOAD_KINDS; i++) {
        answered += this->counts[i].answered;
    }
    fprintf(stderr,
            "load: %" PRId64 " s, sent %" PRIu64 ", answered %" PRIu64
            ", running %" PRIu64 "\n",
            (MpLoop_Now() - this->began_ms) / 1000, this->number, answered,
            this->running);
    MpLoop_SetTimer(this->loop, &this->progress, PROGRESS_MS, on_progress,
                    this);
}

void
MpLoad_Start(struct MpLoad *this, struct MpLoop *loop,
             const struct MpLoadOptions *options)
{
    *this = (struct MpLoad){
        .options = options, .loop = loop, .began_ms = MpLoop_Now()};
    this->random = g_rand_new_with_seed(options->seed);
    this->keys = g_ptr_array_new();
    MpMetrics_Init(&this->metrics);
    MpUpstreamContext_Init(&this->upstreams, loop);
    MpLoop_SetTimer(loop, &this->arrival, 0, on_arrival, this);
    if (!options->is_quiet) {
        MpLoop_SetTimer(loop, &this->progress, PROGRESS_MS, on_progress, this);
    }
}

/* ---- report ---- */

/* Names of the counts, with their places, for report and table. */
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
};

static uint64_t
count_at(const struct MpLoadCounts *counts, const struct count_row *row)
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
            json_object_new_int64((int64_t)count_at(counts, &count_rows[i])));
    }
    return object;
}

static struct json_object *
histograms_json(struct MpLoad *this)
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
keys_json(const struct MpLoad *this)
{
    struct json_object *list = json_object_new_array();
    for (guint i = 0; i < this->keys->len; i++) {
        const struct MpLoadKey *key = g_ptr_array_index(this->keys, i);
        struct json_object *item = json_object_new_object();
        json_object_object_add(item, "key", json_object_new_string(key->key));
        json_object_object_add(item, "workspace",
                               json_object_new_string(key->workspace));
        json_object_object_add(
            item, "kind", json_object_new_string(MpLoadKind_Names[key->kind]));
        json_object_object_add(item, "answered",
                               json_object_new_boolean(key->is_answered));
        json_object_object_add(item, "all_not_run",
                               json_object_new_boolean(key->all_not_run));
        json_object_object_add(item, "status",
                               json_object_new_int(key->status));
        json_object_object_add(item, "prompt_bytes",
                               json_object_new_int64(key->prompt_bytes));
        json_object_object_add(item, "tokens",
                               json_object_new_int64(key->tokens));
        json_object_object_add(item, "sent_ms",
                               json_object_new_int64(key->sent_ms));
        json_object_object_add(item, "ended_ms",
                               json_object_new_int64(key->ended_ms));
        json_object_array_add(list, item);
    }
    return list;
}

struct json_object *
MpLoad_Report(struct MpLoad *this)
{
    struct json_object *root = json_object_new_object();
    struct json_object *kinds = json_object_new_object();
    for (int i = 0; i < MP_LOAD_KINDS; i++) {
        json_object_object_add(kinds, MpLoadKind_Names[i],
                               counts_json(&this->counts[i]));
    }
    json_object_object_add(root, "kinds", kinds);
    json_object_object_add(root, "histograms", histograms_json(this));
    json_object_object_add(root, "keys", keys_json(this));
    return root;
}

void
MpLoad_PrintTable(struct MpLoad *this)
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
                    count_at(&this->counts[kind], &count_rows[i]));
        }
        fprintf(stderr, "\n");
    }
}
