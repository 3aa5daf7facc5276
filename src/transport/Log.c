#include "transport/Log.h"

#include "state/Metrics.h"

#include <fcntl.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

/* Longest line; the longest of a request has about 500 bytes. */
#define LINE_BYTES 4096
#define TIME_BYTES 32
#define LEFT_OUT "lines-left-out"
#define CUT_END "...\n"

static char *log_instance;

/* What may be written now, and what was left out. */
static int64_t allowance_bytes = MP_LOG_BYTES_PER_S;
static int64_t allowance_ms;
static uint64_t left_out;
static uint64_t left_out_told;

static GHashTable *event_counts; /* name, a constant -> int64_t */

static void
refill(void)
{
    int64_t now_ms = g_get_monotonic_time() / 1000;
    int64_t gain = (now_ms - allowance_ms) * MP_LOG_BYTES_PER_S / 1000;
    if (gain > 0) {
        allowance_bytes = MIN(allowance_bytes + gain, MP_LOG_BYTES_PER_S);
        allowance_ms = now_ms;
    }
}

/* Normal lines leave a part of the allowance to those that tell failures. */
static bool
is_allowed(int priority, size_t size)
{
    int64_t kept =
        priority >= LOG_INFO
            ? MP_LOG_BYTES_PER_S * (1000 - MP_LOG_NORMAL_PERMILLE) / 1000
            : 0;
    refill();
    return allowance_bytes - (int64_t)size >= kept;
}

void
MpLog_WriteMetrics(GString *out)
{
    GHashTableIter iter;
    void *event;
    void *count;
    MpMetrics_WriteValue(out, "mimosapath_log_left_out_total", NULL, NULL,
                         (int64_t)left_out);
    if (!event_counts) {
        return;
    }
    g_hash_table_iter_init(&iter, event_counts);
    while (g_hash_table_iter_next(&iter, &event, &count)) {
        MpMetrics_WriteValue(out, "mimosapath_events_total", "event", event,
                             *(const int64_t *)count);
    }
}

static void
count_event(const char *event)
{
    if (!event_counts) {
        event_counts = g_hash_table_new(g_str_hash, g_str_equal);
    }
    int64_t *count = g_hash_table_lookup(event_counts, event);
    if (!count) {
        count = g_new0(int64_t, 1);
        g_hash_table_insert(event_counts, (char *)event, count);
    }
    (*count)++;
}

static void
put(const char *line, size_t size)
{
    ssize_t written = write(STDOUT_FILENO, line, size);
    allowance_bytes -= (int64_t)size;
    left_out += written < 0;
}

static const char *
field_text(const GLogField *fields, gsize count, const char *key)
{
    for (gsize i = 0; i < count; i++) {
        if (strcmp(fields[i].key, key) == 0) {
            return fields[i].value;
        }
    }
    return "";
}

/* Writes the time of the system's clock with milliseconds.  The text of a
 * second is made once. */
static void
write_time(char *out)
{
    static int64_t made_s = -1;
    static char second[TIME_BYTES];
    int64_t now_us = g_get_real_time();
    time_t now_s = (time_t)(now_us / G_USEC_PER_SEC);
    if (now_s != made_s) {
        struct tm parts;
        made_s = now_s;
        gmtime_r(&now_s, &parts);
        strftime(second, sizeof(second), "%Y-%m-%dT%H:%M:%S", &parts);
    }
    g_snprintf(out, TIME_BYTES, "%s.%03dZ", second,
               (int)(now_us % G_USEC_PER_SEC / 1000));
}

static void
tell_left_out(const char *time)
{
    char line[LINE_BYTES];
    if (left_out == left_out_told) {
        return;
    }
    int size = g_snprintf(line, sizeof(line),
                          "<%d>%s %s " LEFT_OUT " count=%" PRIu64 "\n",
                          LOG_NOTICE, time, log_instance ? log_instance : "-",
                          left_out - left_out_told);
    left_out_told = left_out;
    put(line, (size_t)size);
}

/* A longer line is cut: its end stands for the rest. */
static void
write_line(int priority, const char *event, const char *text)
{
    char time[TIME_BYTES];
    char line[LINE_BYTES];
    write_time(time);
    gulong size = (gulong)g_snprintf(
        line, sizeof(line), "<%d>%s %s %s %s\n", priority, time,
        log_instance ? log_instance : "-", event, text);
    if (size >= sizeof(line)) {
        size = sizeof(line) - 1;
        g_strlcpy(line + size - strlen(CUT_END), CUT_END, sizeof(CUT_END));
    }
    if (!is_allowed(priority, size)) {
        left_out++;
        return;
    }
    tell_left_out(time);
    put(line, size);
}

/* What libraries say through GLib. */
static GLogWriterOutput
write_message(GLogLevelFlags level, const GLogField *fields, gsize count,
              gpointer user_data)
{
    (void)user_data;
    int priority = level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL |
                            G_LOG_LEVEL_WARNING)
                       ? LOG_WARNING
                       : LOG_INFO;
    write_line(priority, "message", field_text(fields, count, "MESSAGE"));
    return G_LOG_WRITER_HANDLED;
}

void
MpLog_Init(const char *instance)
{
    int flags = fcntl(STDOUT_FILENO, F_GETFL);
    log_instance = g_strdup(instance);
    /* A terminal or file is shared with others and does not block. */
    struct stat info;
    if (flags >= 0 && fstat(STDOUT_FILENO, &info) == 0 &&
        S_ISFIFO(info.st_mode)) {
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
    g_log_set_writer_func(write_message, NULL, NULL);
}

void
MpLog_Event(int priority, const char *event, const char *format, ...)
{
    char text[LINE_BYTES];
    va_list args;
    count_event(event);
    va_start(args, format);
    g_vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    write_line(priority, event, text);
}
