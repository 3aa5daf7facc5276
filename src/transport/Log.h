#ifndef MP_TRANSPORT_LOG_H
#define MP_TRANSPORT_LOG_H

#include <glib.h>
#include <stdint.h>
#include <syslog.h>

/*
 * Log - structured log lines with syslog priorities on standard output.
 *
 *     <6>2026-12-04T02:30:00.125Z moka-a-1 event-name key=value ...
 *
 * Lines report decisions on requests and changes of state.  Their rate is
 * limited: under load, lines of priority LOG_INFO and below are dropped
 * first, then others, and a "lines-left-out" line reports how many.  Writing
 * to a pipe never blocks: lines are dropped while the pipe is full.
 */

/* Maximum bytes per second, and the share of them that lines of priority
 * LOG_INFO and below may use, in thousandths. */
#define MP_LOG_BYTES_PER_S 65536
#define MP_LOG_INFO_PERMILLE 700

/* Sets the instance name that is written in each line. */
void MpLog_Init(const char *instance);

/* Appends metrics in the Prometheus text format: a counter for each event,
 * which includes dropped lines, and the number of dropped lines. */
void MpLog_WriteMetrics(GString *out);

/* Writes a line.  priority is that of syslog(3), event a string literal;
 * format yields key=value pairs. */
void MpLog_Event(int priority, const char *event, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

/* Writes the last line of a process, which is never dropped by the limit;
 * waits a moment for a full pipe. */
void MpLog_Last(int priority, const char *event, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

#endif
