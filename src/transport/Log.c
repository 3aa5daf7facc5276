#include "transport/Log.h"

#include "state/Metrics.h"

#include <fcntl.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define FIELD_EVENT "MP_EVENT"
#define FIELD_PRIORITY "PRIORITY"

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

static void
tell_left_out(const char *time)
{
    if (left_out == left_out_told) {
        return;
    }
    char *line = g_strdup_printf(
        "<%d>%s %s lines-left-out count=%" PRIu64 "\n", LOG_NOTICE, time,
        log_instance ? log_instance : "-", left_out - left_out_told);
    left_out_told = left_out;
    put(line, strlen(line));
    g_free(line);
}

static GLogWriterOutput
write_line(GLogLevelFlags level, const GLogField *fields, gsize count,
           gpointer user_data)
{
    (void)level;
    (void)user_data;
    GDateTime *now = g_date_time_new_now_utc();
    char *second = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S");
    char *time = g_strdup_printf("%s.%03dZ", second,
                                 g_date_time_get_microsecond(now) / 1000);
    g_free(second);
    const char *event = field_text(fields, count, FIELD_EVENT);
    char *line = g_strdup_printf(
        "<%s>%s %s %s %s\n", field_text(fields, count, FIELD_PRIORITY), time,
        log_instance ? log_instance : "-", event[0] ? event : "message",
        field_text(fields, count, "MESSAGE"));
    int priority = atoi(field_text(fields, count, FIELD_PRIORITY));
    size_t size = strlen(line);
    if (!is_allowed(priority, size)) {
        left_out++;
    }
    else {
        tell_left_out(time);
        put(line, size);
    }
    g_free(line);
    g_free(time);
    g_date_time_unref(now);
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
    g_log_set_writer_func(write_line, NULL, NULL);
}

void
MpLog_Event(int priority, const char *event, const char *format, ...)
{
    va_list args;
    count_event(event);
    va_start(args, format);
    char *text = g_strdup_vprintf(format, args);
    va_end(args);
    char digit[4];
    g_snprintf(digit, sizeof(digit), "%d", priority);
    const GLogField fields[] = {
        {.key = FIELD_EVENT, .value = event, .length = -1},
        {.key = FIELD_PRIORITY, .value = digit, .length = -1},
        {.key = "MESSAGE", .value = text, .length = -1},
    };
    g_log_structured_array(G_LOG_LEVEL_MESSAGE, fields, G_N_ELEMENTS(fields));
    g_free(text);
}
