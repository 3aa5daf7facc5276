#include "state/Metrics.h"

#include <inttypes.h>
#include <string.h>

/* ---- histograms ---- */

/* Each bound is a quarter, but at least 1, above the one before. */
static uint64_t
next_bound(uint64_t bound)
{
    return bound + MAX(bound / 4, 1);
}

static const uint64_t *
bucket_bounds(void)
{
    static uint64_t table[MP_HISTOGRAM_BUCKETS];
    static gsize ready;
    if (g_once_init_enter(&ready)) {
        uint64_t bound = 1;
        for (int i = 0; i < MP_HISTOGRAM_BUCKETS; i++) {
            table[i] = bound;
            bound = next_bound(bound);
        }
        g_once_init_leave(&ready, 1);
    }
    return table;
}

static int
find_bucket(uint64_t value)
{
    const uint64_t *table = bucket_bounds();
    int low = 0;
    int high = MP_HISTOGRAM_BUCKETS - 1;
    while (low < high) {
        int middle = (low + high) / 2;
        if (value <= table[middle]) {
            high = middle;
        }
        else {
            low = middle + 1;
        }
    }
    return low;
}

void
MpHistogram_Add(struct MpHistogram *this, uint64_t value)
{
    this->buckets[find_bucket(value)]++;
    this->count++;
    this->sum += value;
}

void
MpHistogram_Merge(struct MpHistogram *this, const struct MpHistogram *other)
{
    for (int i = 0; i < MP_HISTOGRAM_BUCKETS; i++) {
        this->buckets[i] += other->buckets[i];
    }
    this->count += other->count;
    this->sum += other->sum;
}

uint64_t
MpHistogram_Quantile(const struct MpHistogram *this, uint32_t per_mille)
{
    uint64_t rank = (this->count * per_mille + 999) / 1000;
    uint64_t cumulative = 0;
    for (int i = 0; i < MP_HISTOGRAM_BUCKETS; i++) {
        cumulative += this->buckets[i];
        if (cumulative >= rank && cumulative > 0) {
            return bucket_bounds()[i];
        }
    }
    return 0;
}

/* ---- series ---- */

void
MpMetrics_Init(struct MpMetrics *this)
{
    this->counters =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    this->histograms =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void
MpMetrics_Done(struct MpMetrics *this)
{
    g_hash_table_unref(this->counters);
    g_hash_table_unref(this->histograms);
}

#define SERIES_BYTES 256
#define LABEL_BYTES 160

/* Escapes a label's value; a long one is cut, so that the series fits. */
static void
escape_label(char *out, const char *value)
{
    char *end = out + LABEL_BYTES - sizeof("\\n");
    for (; *value && out < end; value++) {
        if (*value == '"' || *value == '\\' || *value == '\n') {
            *out++ = '\\';
        }
        *out++ = *value == '\n' ? 'n' : *value;
    }
    *out = '\0';
}

static void
format_series(char *out, const char *name, const char *label,
              const char *value)
{
    if (label) {
        char escaped[LABEL_BYTES];
        escape_label(escaped, value);
        g_snprintf(out, SERIES_BYTES, "%s{%s=\"%s\"}", name, label, escaped);
    }
    else {
        g_strlcpy(out, name, SERIES_BYTES);
    }
}

void
MpMetrics_Count(struct MpMetrics *this, const char *name, const char *label,
                const char *value, uint64_t amount)
{
    char series[SERIES_BYTES];
    format_series(series, name, label, value);
    uint64_t *counter = g_hash_table_lookup(this->counters, series);
    if (!counter) {
        counter = g_new0(uint64_t, 1);
        g_hash_table_insert(this->counters, g_strdup(series), counter);
    }
    *counter += amount;
}

struct MpHistogram *
MpMetrics_Histogram(struct MpMetrics *this, const char *name,
                    const char *label, const char *value)
{
    char series[SERIES_BYTES];
    format_series(series, name, label, value);
    struct MpHistogram *histogram =
        g_hash_table_lookup(this->histograms, series);
    if (!histogram) {
        histogram = g_new0(struct MpHistogram, 1);
        g_hash_table_insert(this->histograms, g_strdup(series), histogram);
    }
    return histogram;
}

static void
write_histogram(GString *out, const char *series,
                const struct MpHistogram *histogram)
{
    uint64_t cumulative = 0;
    const char *brace = strchr(series, '{');
    char *name =
        brace ? g_strndup(series, (gsize)(brace - series)) : g_strdup(series);
    char *labels =
        brace ? g_strndup(brace + 1, strlen(brace) - 2) : g_strdup("");
    const char *comma = labels[0] ? "," : "";
    for (int i = 0; i < MP_HISTOGRAM_BUCKETS; i++) {
        cumulative += histogram->buckets[i];
        if (histogram->buckets[i] > 0) {
            g_string_append_printf(
                out, "%s_bucket{%s%sle=\"%" PRIu64 "\"} %" PRIu64 "\n", name,
                labels, comma, bucket_bounds()[i], cumulative);
        }
    }
    g_string_append_printf(out,
                           "%s_bucket{%s%sle=\"+Inf\"} %" PRIu64 "\n"
                           "%s_sum%s %" PRIu64 "\n"
                           "%s_count%s %" PRIu64 "\n",
                           name, labels, comma, histogram->count, name,
                           brace ? brace : "", histogram->sum, name,
                           brace ? brace : "", histogram->count);
    g_free(name);
    g_free(labels);
}

void
MpMetrics_Write(const struct MpMetrics *this, GString *out)
{
    GList *keys = g_list_sort(g_hash_table_get_keys(this->counters),
                              (GCompareFunc)strcmp);
    for (GList *key = keys; key; key = key->next) {
        const uint64_t *counter =
            g_hash_table_lookup(this->counters, key->data);
        g_string_append_printf(out, "%s %" PRIu64 "\n", (char *)key->data,
                               *counter);
    }
    g_list_free(keys);
    keys = g_list_sort(g_hash_table_get_keys(this->histograms),
                       (GCompareFunc)strcmp);
    for (GList *key = keys; key; key = key->next) {
        write_histogram(out, key->data,
                        g_hash_table_lookup(this->histograms, key->data));
    }
    g_list_free(keys);
}

void
MpMetrics_WriteValue(GString *out, const char *name, const char *label,
                     const char *value, int64_t number)
{
    char series[SERIES_BYTES];
    format_series(series, name, label, value);
    g_string_append_printf(out, "%s %" PRId64 "\n", series, number);
}
