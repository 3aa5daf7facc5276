#include "commands/Timeline.h"

#include "state/Error.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <syslog.h>

/* Words of a line before its key=value pairs: time, instance and event. */
#define HEADER_WORDS 3
/* Events that affect the outcome that is printed. */
#define EVENT_STARTED "started"
#define EVENT_LINES_LEFT_OUT "lines-left-out"
#define EVENT_REQUEST_ENDED "request-ended"

static void
line_delete(void *data)
{
    struct MpLogLine *this = data;
    g_free(this->time);
    g_free(this->instance);
    g_free(this->event);
    g_free(this->fields);
    g_free(this);
}

void
MpTimeline_Init(struct MpTimeline *this, const char *id, int64_t context_ms)
{
    *this = (struct MpTimeline){.id = g_strdup(id),
                                .context_ms = context_ms,
                                .first_ms = INT64_MAX,
                                .last_ms = INT64_MIN};
    this->lines = g_ptr_array_new_with_free_func(line_delete);
    this->instances =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    this->starts =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, line_delete);
}

void
MpTimeline_Done(struct MpTimeline *this)
{
    g_free(this->id);
    g_ptr_array_unref(this->lines);
    g_hash_table_unref(this->instances);
    g_hash_table_unref(this->starts);
}

/* ---- reading logs ---- */

/* Returns milliseconds since 1970, or -1 when text is no ISO 8601 time. */
static int64_t
parse_time(const char *text)
{
    GDateTime *time = g_date_time_new_from_iso8601(text, NULL);
    if (!time) {
        return -1;
    }
    int64_t time_ms = g_date_time_to_unix(time) * 1000 +
                      g_date_time_get_microsecond(time) / 1000;
    g_date_time_unref(time);
    return time_ms;
}

/* Parses a log line; a log collector may have put a prefix of its own before
 * it.  Returns NULL when text holds no log line. */
static struct MpLogLine *
parse_line(const char *text)
{
    const char *start = strchr(text, '<');
    if (!start || !g_ascii_isdigit(start[1]) || start[2] != '>') {
        return NULL;
    }
    char **words = g_strsplit(start + 3, " ", HEADER_WORDS + 1);
    int64_t time_ms =
        g_strv_length(words) > HEADER_WORDS - 1 ? parse_time(words[0]) : -1;
    struct MpLogLine *line = NULL;
    if (time_ms >= 0) {
        line = g_new0(struct MpLogLine, 1);
        line->priority = start[1] - '0';
        line->time = g_strdup(words[0]);
        line->time_ms = time_ms;
        line->instance = g_strdup(words[1]);
        line->event = g_strchomp(g_strdup(words[2]));
        line->fields = g_strchomp(
            g_strdup(words[HEADER_WORDS] ? words[HEADER_WORDS] : ""));
    }
    g_strfreev(words);
    return line;
}

/* Returns the value of key in key=value pairs, to be freed by g_free, or
 * NULL. */
static char *
find_value(const char *fields, const char *key)
{
    size_t size = strlen(key);
    for (const char *at = fields; at; at = strchr(at, ' ')) {
        at += *at == ' ';
        if (strncmp(at, key, size) == 0 && at[size] == '=') {
            const char *value = at + size + 1;
            return g_strndup(value, strcspn(value, " "));
        }
    }
    return NULL;
}

static void
add_line(struct MpTimeline *this, struct MpLogLine *line, bool has_request_id)
{
    line->has_request_id = has_request_id;
    line->read_index = this->lines->len;
    g_ptr_array_add(this->lines, line);
}

void
MpTimeline_ReadRequestLine(struct MpTimeline *this, const char *text)
{
    /* A cheap test first, since most lines are about other requests. */
    if (!strstr(text, this->id)) {
        return;
    }
    struct MpLogLine *line = parse_line(text);
    char *id = line ? find_value(line->fields, "id") : NULL;
    if (id && strcmp(id, this->id) == 0) {
        g_hash_table_add(this->instances, g_strdup(line->instance));
        this->first_ms = MIN(this->first_ms, line->time_ms);
        this->last_ms = MAX(this->last_ms, line->time_ms);
        add_line(this, line, true);
    }
    else if (line) {
        line_delete(line);
    }
    g_free(id);
}

/* Keeps the first start of an instance after the context.  It shows that the
 * previous process exited, so that a request without an end in the log was
 * still running then, however much later the start is.  Returns whether line
 * is now owned. */
static bool
keep_start(struct MpTimeline *this, struct MpLogLine *line)
{
    const struct MpLogLine *earlier =
        g_hash_table_lookup(this->starts, line->instance);
    if (strcmp(line->event, EVENT_STARTED) != 0 ||
        line->time_ms <= this->last_ms + this->context_ms ||
        !g_hash_table_contains(this->instances, line->instance) ||
        (earlier && earlier->time_ms <= line->time_ms)) {
        return false;
    }
    g_hash_table_replace(this->starts, line->instance, line);
    return true;
}

void
MpTimeline_ReadContextLine(struct MpTimeline *this, const char *text)
{
    struct MpLogLine *line = parse_line(text);
    if (!line) {
        return;
    }
    char *id = find_value(line->fields, "id");
    bool is_near = line->time_ms >= this->first_ms - this->context_ms &&
                   line->time_ms <= this->last_ms + this->context_ms;
    if (!id && is_near && line->priority <= LOG_NOTICE &&
        g_hash_table_contains(this->instances, line->instance)) {
        add_line(this, line, false);
    }
    else if (!keep_start(this, line)) {
        line_delete(line);
    }
    g_free(id);
}

/* ---- printing ---- */

static int
compare_lines(const void *a, const void *b)
{
    const struct MpLogLine *x = *(const struct MpLogLine *const *)a;
    const struct MpLogLine *y = *(const struct MpLogLine *const *)b;
    if (x->time_ms != y->time_ms) {
        return x->time_ms < y->time_ms ? -1 : 1;
    }
    return x->read_index < y->read_index ? -1 : x->read_index > y->read_index;
}

static const char *
find_message(const char *name)
{
    for (int code = MP_OK; code > MP_ERROR_LAST; code--) {
        if (strcmp(MpError_Name(code), name) == 0) {
            return MpError_Info(code)->message;
        }
    }
    return "";
}

static void
print_line(const struct MpLogLine *line, FILE *out)
{
    fprintf(out, "%s %s %s %s %s\n", line->has_request_id ? " " : "~",
            line->time, line->instance, line->event, line->fields);
}

/* Returns the line that decided the outcome logged at index: the last earlier
 * line of the request on the same instance with a priority above notice, or
 * the line at index itself if there is none, as when the request was refused
 * on arrival. */
static const struct MpLogLine *
find_cause(const struct MpTimeline *this, guint index)
{
    const struct MpLogLine *end = g_ptr_array_index(this->lines, index);
    for (guint i = index; i > 0; i--) {
        const struct MpLogLine *line = g_ptr_array_index(this->lines, i - 1);
        if (line->has_request_id && line->priority < LOG_NOTICE &&
            strcmp(line->instance, end->instance) == 0) {
            return line;
        }
    }
    return end;
}

static void
print_outcome(const struct MpTimeline *this, guint index, FILE *out)
{
    const struct MpLogLine *end = g_ptr_array_index(this->lines, index);
    char *outcome = find_value(end->fields, "outcome");
    char *error = find_value(end->fields, "error");
    fprintf(out, "outcome on %s: %s", end->instance,
            outcome ? outcome : "unknown");
    if (error && strcmp(error, "ok") != 0) {
        fprintf(out, ", %s: %s", error, find_message(error));
    }
    fprintf(out, "\n");
    if (!outcome || strcmp(outcome, "answered") != 0) {
        const struct MpLogLine *cause = find_cause(this, index);
        fprintf(out, "decided by: %s %s\n", cause->event, cause->fields);
    }
    g_free(outcome);
    g_free(error);
}

/* Prints the outcome on an instance that logged no end of the request, because
 * it is still running, the process exited first, or the line was left out
 * under load. */
static void
print_missing_outcome(const struct MpTimeline *this, const char *instance,
                      FILE *out)
{
    const struct MpLogLine *last = NULL;
    const struct MpLogLine *next = NULL;
    for (guint i = 0; i < this->lines->len; i++) {
        const struct MpLogLine *line = g_ptr_array_index(this->lines, i);
        if (strcmp(line->instance, instance) != 0) {
            continue;
        }
        if (line->has_request_id) {
            last = line;
            next = NULL;
        }
        else if (!next && (strcmp(line->event, EVENT_STARTED) == 0 ||
                           strcmp(line->event, EVENT_LINES_LEFT_OUT) == 0)) {
            next = line;
        }
    }
    if (!next) {
        next = g_hash_table_lookup(this->starts, instance);
    }
    fprintf(out, "outcome on %s: not logged; ", instance);
    if (!next) {
        fprintf(out, "it still ran, or the instance has not come back\n");
    }
    else if (strcmp(next->event, EVENT_STARTED) == 0) {
        fprintf(out, "the process ended while it ran\n");
    }
    else {
        fprintf(out, "lines were left out under load\n");
    }
    const struct MpLogLine *cause = next ? next : last;
    if (cause) {
        fprintf(out, "decided by: %s %s\n", cause->event, cause->fields);
    }
}

bool
MpTimeline_Print(struct MpTimeline *this, FILE *out)
{
    if (g_hash_table_size(this->instances) == 0) {
        return false;
    }
    g_ptr_array_sort(this->lines, compare_lines);
    GHashTable *ended = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < this->lines->len; i++) {
        print_line(g_ptr_array_index(this->lines, i), out);
    }
    for (guint i = 0; i < this->lines->len; i++) {
        const struct MpLogLine *line = g_ptr_array_index(this->lines, i);
        if (line->has_request_id &&
            strcmp(line->event, EVENT_REQUEST_ENDED) == 0) {
            print_outcome(this, i, out);
            g_hash_table_add(ended, line->instance);
        }
    }
    GList *names = g_list_sort(g_hash_table_get_keys(this->instances),
                               (GCompareFunc)strcmp);
    for (GList *link = names; link; link = link->next) {
        if (!g_hash_table_contains(ended, link->data)) {
            print_missing_outcome(this, link->data, out);
        }
    }
    g_list_free(names);
    g_hash_table_unref(ended);
    return true;
}
