#include "transport/Log.h"

#include "state/Metrics.h"

#include <fcntl.h>
#include <inttypes.h>
#include <poll.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

/* Line buffer; the longest line of a request has about 500 bytes. */
#define LINE_BYTES 4096
#define TIME_BYTES 32
#define EVENT_DROPPED "lines-left-out"
#define TRUNCATION_MARK "...\n"
/* Wait for a full pipe before the last line, ms. */
#define LAST_WAIT_MS 100

static char *log_instance;

/* Token bucket for the bytes that may be written, and the number of dropped
 * lines. */
static int64_t available_bytes = MP_LOG_BYTES_PER_S;
static int64_t refilled_ms;
static uint64_t dropped;
static uint64_t dropped_reported;

static GHashTable *event_counts; /* event name, a string literal -> int64_t */

static void
refill(void)
{
    int64_t now_ms = g_get_monotonic_time() / 1000;
    int64_t gain = (now_ms - refilled_ms) * MP_LOG_BYTES_PER_S / 1000;
    if (gain > 0) {
        available_bytes = MIN(available_bytes + gain, MP_LOG_BYTES_PER_S);
        refilled_ms = now_ms;
    }
}

/* Lines of priority LOG_INFO and below leave a part of the bucket to warnings
 * and errors. */
static bool
is_allowed(int priority, size_t size)
{
    int64_t reserved =
        priority >= LOG_INFO
            ? MP_LOG_BYTES_PER_S * (1000 - MP_LOG_INFO_PERMILLE) / 1000
            : 0;
    refill();
    return available_bytes - (int64_t)size >= reserved;
}

void
MpLog_WriteMetrics(GString *out)
{
    GHashTableIter iter;
    void *event;
    void *count;
    MpMetrics_WriteValue(out, "mimosapath_log_left_out_total", NULL, NULL,
                         (int64_t)dropped);
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
write_out(const char *line, size_t size)
{
    ssize_t written = write(STDOUT_FILENO, line, size);
    available_bytes -= (int64_t)size;
    dropped += written < 0;
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

/* Formats the wall clock time with milliseconds.  The text up to the second is
 * cached, as it is the same for all lines of a second. */
static void
write_time(char *out)
{
    static int64_t cached_s = -1;
    static char cached_text[TIME_BYTES];
    int64_t now_us = g_get_real_time();
    time_t now_s = (time_t)(now_us / G_USEC_PER_SEC);
    if (now_s != cached_s) {
        struct tm parts;
        cached_s = now_s;
        gmtime_r(&now_s, &parts);
        strftime(cached_text, sizeof(cached_text), "%Y-%m-%dT%H:%M:%S",
                 &parts);
    }
    g_snprintf(out, TIME_BYTES, "%s.%03dZ", cached_text,
               (int)(now_us % G_USEC_PER_SEC / 1000));
}

static void
report_dropped(const char *time)
{
    char line[LINE_BYTES];
    if (dropped == dropped_reported) {
        return;
    }
    int size = g_snprintf(line, sizeof(line),
                          "<%d>%s %s " EVENT_DROPPED " count=%" PRIu64 "\n",
                          LOG_NOTICE, time, log_instance ? log_instance : "-",
                          dropped - dropped_reported);
    dropped_reported = dropped;
    write_out(line, (size_t)size);
}

/* Writes one line.  A line that does not fit into the buffer is truncated and
 * ends with TRUNCATION_MARK. */
static void
write_line(int priority, const char *event, const char *text, bool is_last)
{
    char time[TIME_BYTES];
    char line[LINE_BYTES];
    write_time(time);
    gulong size = (gulong)g_snprintf(
        line, sizeof(line), "<%d>%s %s %s %s\n", priority, time,
        log_instance ? log_instance : "-", event, text);
    if (size >= sizeof(line)) {
        size = sizeof(line) - 1;
        g_strlcpy(line + size - strlen(TRUNCATION_MARK), TRUNCATION_MARK,
                  sizeof(TRUNCATION_MARK));
    }
    if (!is_last && !is_allowed(priority, size)) {
        dropped++;
        return;
    }
    report_dropped(time);
    write_out(line, size);
}

/* Logs messages that libraries write through GLib. */
static GLogWriterOutput
write_glib_message(GLogLevelFlags level, const GLogField *fields, gsize count,
                   gpointer user_data)
{
    (void)user_data;
    int priority = level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL |
                            G_LOG_LEVEL_WARNING)
                       ? LOG_WARNING
                       : LOG_INFO;
    write_line(priority, "message", field_text(fields, count, "MESSAGE"),
               false);
    return G_LOG_WRITER_HANDLED;
}

void
MpLog_Init(const char *instance)
{
    int flags = fcntl(STDOUT_FILENO, F_GETFL);
    log_instance = g_strdup(instance);
    /* Only a pipe is made non-blocking: a terminal or file does not block, and
     * O_NONBLOCK would also affect other processes that share it. */
    struct stat info;
    if (flags >= 0 && fstat(STDOUT_FILENO, &info) == 0 &&
        S_ISFIFO(info.st_mode)) {
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
    g_log_set_writer_func(write_glib_message, NULL, NULL);
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
    write_line(priority, event, text, false);
}

void
MpLog_Last(int priority, const char *event, const char *format, ...)
{
    char text[LINE_BYTES];
    struct pollfd out = {.fd = STDOUT_FILENO, .events = POLLOUT};
    va_list args;
    count_event(event);
    va_start(args, format);
    g_vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    poll(&out, 1, LAST_WAIT_MS);
    write_line(priority, event, text, true);
}
