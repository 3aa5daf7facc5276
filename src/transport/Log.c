#include "transport/Log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define FIELD_EVENT "MP_EVENT"
#define FIELD_PRIORITY "PRIORITY"

static char *log_instance;

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

static GLogWriterOutput
write_line(GLogLevelFlags level, const GLogField *fields, gsize count,
           gpointer user_data)
{
    (void)level;
    (void)user_data;
    GDateTime *now = g_date_time_new_now_utc();
    char *time = g_date_time_format(now, "%Y-%m-%dT%H:%M:%SZ");
    const char *event = field_text(fields, count, FIELD_EVENT);
    char *line = g_strdup_printf(
        "<%s>%s %s %s %s\n", field_text(fields, count, FIELD_PRIORITY), time,
        log_instance ? log_instance : "-", event[0] ? event : "message",
        field_text(fields, count, "MESSAGE"));
    ssize_t written = write(STDERR_FILENO, line, strlen(line));
    g_free(line);
    g_free(time);
    g_date_time_unref(now);
    return written < 0 ? G_LOG_WRITER_UNHANDLED : G_LOG_WRITER_HANDLED;
}

void
MpLog_Init(const char *instance)
{
    log_instance = g_strdup(instance);
    g_log_set_writer_func(write_line, NULL, NULL);
}

void
MpLog_Event(int priority, const char *event, const char *format, ...)
{
    va_list args;
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
