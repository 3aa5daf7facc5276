#ifndef MP_TRANSPORT_LOG_H
#define MP_TRANSPORT_LOG_H

#include <glib.h>
#include <stdint.h>
#include <syslog.h>

/*
 * Log - structured lines in the syslog manner on standard output.
 *
 *     <6>2026-12-04T02:30:00.125Z moka-a-1 event-name key=value ...
 *
 * Lines tell decisions on requests and changes of state.  Their volume is
 * bounded: under load lines of normal outcomes are left out first, then
 * others, and how many is told by a line of its own.  Writing never blocks:
 * what the reader does not take is left out too.
 */

/* Bytes a second that may be written, and the part of them that lines of
 * normal outcomes may take, in thousandths. */
#define MP_LOG_BYTES_PER_S 65536
#define MP_LOG_NORMAL_PERMILLE 700

/* Sets the instance that stands in each line. */
void MpLog_Init(const char *instance);

/* Appends a counter for each event, lines that were left out included, and
 * the number of those, in the Prometheus text format. */
void MpLog_WriteMetrics(GString *out);

/* Writes a line; priority as in syslog(3), format gives key=value pairs. */
void MpLog_Event(int priority, const char *event, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

#endif
