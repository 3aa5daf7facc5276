#ifndef MP_STATE_METRICS_H
#define MP_STATE_METRICS_H

#include <glib.h>
#include <stdint.h>

/*
 * Metrics - counters and histograms in the Prometheus text format.
 *
 * The bucket bounds of histograms are fixed: from 1 to about 16 million, each
 * a quarter (at least 1) above the one before.  A quantile is the upper bound
 * of its bucket, thus too high by a quarter at most.  Larger values count in
 * the last bucket.
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

/* Returns the upper bound of the bucket with the quantile per_mille (0 to
 * 1000), 0 when the histogram is empty. */
uint64_t MpHistogram_Quantile(const struct MpHistogram *this,
                              uint32_t per_mille);

/* Counters and histograms by name and label; created on first use. */
struct MpMetrics {
    GHashTable *counters;   /* series -> uint64_t */
    GHashTable *histograms; /* series -> struct MpHistogram */
};

void MpMetrics_Init(struct MpMetrics *this);
void MpMetrics_Done(struct MpMetrics *this);

/* Adds to the counter name{label="value"}; label may be NULL. */
void MpMetrics_Count(struct MpMetrics *this, const char *name,
                     const char *label, const char *value, uint64_t amount);

/* Returns the histogram name{label="value"}; label may be NULL.  It is owned
 * by the metrics. */
struct MpHistogram *MpMetrics_Histogram(struct MpMetrics *this,
                                        const char *name, const char *label,
                                        const char *value);

/* Appends all series in the Prometheus text format. */
void MpMetrics_Write(const struct MpMetrics *this, GString *out);

/* Appends one series, for values that are not kept in MpMetrics; label may be
 * NULL. */
void MpMetrics_WriteValue(GString *out, const char *name, const char *label,
                          const char *value, int64_t number);

#endif
