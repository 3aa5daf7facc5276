#ifndef MP_TRANSPORT_LOG_H
#define MP_TRANSPORT_LOG_H

#include <glib.h>
#include <syslog.h>

/*
 * Log - lines in the syslog manner on standard error.
 *
 *     <6>2026-12-04T02:30:00Z moka-a-1 event-name key=value ...
 *
 * Lines tell changes of state only; what happens often is counted.
 */

/* Sets the instance that stands in each line. */
void MpLog_Init(const char *instance);

/* Writes a line; priority as in syslog(3), format gives key=value pairs. */
void MpLog_Event(int priority, const char *event, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

#endif
