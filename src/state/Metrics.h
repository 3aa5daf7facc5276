#ifndef MP_STATE_METRICS_H
#define MP_STATE_METRICS_H

#include <glib.h>
#include <stdint.h>

/*
 * Metrics - counters and histograms, written as Prometheus text.
 *
 * Histograms have fixed bounds that grow by about a quarter, from 1 unit to
 * about 10 million, so that a quantile is off by an eighth at most.
 */

#define MP_HISTOGRAM_BUCKETS 74

struct MpHistogram {
    uint64_t buckets[MP_HISTOGRAM_BUCKETS];
    uint64_t count;
    uint64_t sum;
};

void MpHistogram_Add(struct MpHistogram *this, uint64_t value);
void MpHistogram_Merge(struct MpHistogram *this,
                       const struct MpHistogram *other);

/* Returns the upper bound of the bucket of the quantile, 0 when empty;
 * per_mille from 0 to 1000. */
uint64_t MpHistogram_Quantile(const struct MpHistogram *this,
                              uint32_t per_mille);

/* Counters and histograms by name and labels; made on first use. */
struct MpMetrics {
    GHashTable *counters;   /* series -> uint64_t */
    GHashTable *histograms; /* series -> struct MpHistogram */
};

void MpMetrics_Init(struct MpMetrics *this);
void MpMetrics_Done(struct MpMetrics *this);

/* Adds to the counter name{label="value"}; label may be NULL. */
void MpMetrics_Count(struct MpMetrics *this, const char *name,
                     const char *label, const char *value, uint64_t amount);

/* Returns the histogram name{label="value"}. */
struct MpHistogram *MpMetrics_Histogram(struct MpMetrics *this,
                                        const char *name, const char *label,
                                        const char *value);

/* Appends all series in the Prometheus text format. */
void MpMetrics_Write(const struct MpMetrics *this, GString *out);

/* Appends one series; for values that live elsewhere. */
void MpMetrics_WriteValue(GString *out, const char *name, const char *label,
                          const char *value, int64_t number);

#endif
