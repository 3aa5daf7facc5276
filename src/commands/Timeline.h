#ifndef MP_COMMANDS_TIMELINE_H
#define MP_COMMANDS_TIMELINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/*
 * Timeline - merges the log lines about one request from the logs of all
 * instances, and finds the line that decided its outcome.
 *
 * The logs are read twice.  The first pass collects the lines with the id of
 * the request, the second pass the state changes around them on the same
 * instances.  The line format is described in transport/Log.h.
 */

/* One parsed line of a log; the strings are owned. */
struct MpLogLine {
    int priority; /* as in syslog(3) */
    char *time;
    int64_t time_ms; /* since 1970 */
    char *instance;
    char *event;
    char *fields;        /* key=value pairs */
    bool has_request_id; /* the id in fields is that of the timeline */
    uint32_t read_index; /* breaks ties of equal times */
};

struct MpTimeline {
    char *id;
    int64_t context_ms;    /* context before first_ms and after last_ms */
    GPtrArray *lines;      /* of struct MpLogLine */
    GHashTable *instances; /* names of those that logged the request */
    GHashTable *starts;    /* instance -> its first start after the context */
    int64_t first_ms;      /* time of the first line of the request */
    int64_t last_ms;       /* time of its last line */
};

void MpTimeline_Init(struct MpTimeline *this, const char *id,
                     int64_t context_ms);
void MpTimeline_Done(struct MpTimeline *this);

/* First pass: adds a line if it has the id of the request.  Ignores text that
 * is no log line. */
void MpTimeline_ReadRequestLine(struct MpTimeline *this, const char *text);

/* Second pass, after the first pass over all logs: adds a line if it is a
 * state change (no request id, priority notice or higher) near the request on
 * one of its instances. */
void MpTimeline_ReadContextLine(struct MpTimeline *this, const char *text);

/* Prints the lines sorted by time, then for each instance the outcome of the
 * request and the line that decided it.  Returns false when no line has the id
 * of the request. */
bool MpTimeline_Print(struct MpTimeline *this, FILE *out);

#endif
