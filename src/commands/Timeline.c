#include "commands/Timeline.h"

#include "state/Error.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <syslog.h>

/* Words before the text of a line: time, instance and event. */
#define WORDS 3
/* Events whose meaning counts here. */
#define EVENT_STARTED "started"
#define EVENT_LEFT_OUT "lines-left-out"
#define EVENT_ENDED "request-ended"

static void
line_delete(void *data)
{
    struct MpStoryLine *this = data;
    g_free(this->time);
    g_free(this->instance);
    g_free(this->event);
    g_free(this->text);
    g_free(this);
}

void
MpStory_Init(struct MpStory *this, const char *id, int64_t context_ms)
{
    *this = (struct MpStory){.id = g_strdup(id),
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
MpStory_Done(struct MpStory *this)
{
    g_free(this->id);
    g_ptr_array_unref(this->lines);
    g_hash_table_unref(this->instances);
    g_hash_table_unref(this->starts);
}

/* ---- reading ---- */

/* Returns the milliseconds since 1970, -1 when text is no time. */
static int64_t
read_time(const char *text)
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

/* A collector may have put its own words before a line.  Returns NULL when
 * there is no line of the log in text. */
static struct MpStoryLine *
parse(const char *text)
{
    const char *mark = strchr(text, '<');
    if (!mark || !g_ascii_isdigit(mark[1]) || mark[2] != '>') {
        return NULL;
    }
    char **words = g_strsplit(mark + 3, " ", WORDS + 1);
    int64_t time_ms =
        g_strv_length(words) > WORDS - 1 ? read_time(words[0]) : -1;
    struct MpStoryLine *line = NULL;
    if (time_ms >= 0) {
        line = g_new0(struct MpStoryLine, 1);
        line->priority = mark[1] - '0';
        line->time = g_strdup(words[0]);
        line->time_ms = time_ms;
        line->instance = g_strdup(words[1]);
        line->event = g_strchomp(g_strdup(words[2]));
        line->text = g_strchomp(g_strdup(words[WORDS] ? words[WORDS] : ""));
    }
    g_strfreev(words);
    return line;
}

/* Returns the value of key in key=value pairs, owned, or NULL. */
static char *
value_of(const char *text, const char *key)
{
    size_t size = strlen(key);
    for (const char *at = text; at; at = strchr(at, ' ')) {
        at += *at == ' ';
        if (strncmp(at, key, size) == 0 && at[size] == '=') {
            const char *value = at + size + 1;
            return g_strndup(value, strcspn(value, " "));
        }
    }
    return NULL;
}

static void
add(struct MpStory *this, struct MpStoryLine *line, bool is_own)
{
    line->is_own = is_own;
    line->order = this->lines->len;
    g_ptr_array_add(this->lines, line);
}

void
MpStory_TakeOwn(struct MpStory *this, const char *text)
{
    /* Most lines are of other requests. */
    if (!strstr(text, this->id)) {
        return;
    }
    struct MpStoryLine *line = parse(text);
    char *id = line ? value_of(line->text, "id") : NULL;
    if (id && strcmp(id, this->id) == 0) {
        g_hash_table_add(this->instances, g_strdup(line->instance));
        this->first_ms = MIN(this->first_ms, line->time_ms);
        this->last_ms = MAX(this->last_ms, line->time_ms);
        add(this, line, true);
    }
    else if (line) {
        line_delete(line);
    }
    g_free(id);
}

/* A request that ran when its process ended has no end in the log: the next
 * start tells so, however late. */
static bool
take_start(struct MpStory *this, struct MpStoryLine *line)
{
    const struct MpStoryLine *known =
        g_hash_table_lookup(this->starts, line->instance);
    if (strcmp(line->event, EVENT_STARTED) != 0 ||
        line->time_ms <= this->last_ms + this->context_ms ||
        !g_hash_table_contains(this->instances, line->instance) ||
        (known && known->time_ms <= line->time_ms)) {
        return false;
    }
    g_hash_table_replace(this->starts, line->instance, line);
    return true;
}

void
MpStory_TakeContext(struct MpStory *this, const char *text)
{
    struct MpStoryLine *line = parse(text);
    if (!line) {
        return;
    }
    char *id = value_of(line->text, "id");
    bool is_near = line->time_ms >= this->first_ms - this->context_ms &&
                   line->time_ms <= this->last_ms + this->context_ms;
    if (!id && is_near && line->priority <= LOG_NOTICE &&
        g_hash_table_contains(this->instances, line->instance)) {
        add(this, line, false);
    }
    else if (!take_start(this, line)) {
        line_delete(line);
    }
    g_free(id);
}

/* ---- telling ---- */

static int
compare_lines(const void *a, const void *b)
{
    const struct MpStoryLine *x = *(const struct MpStoryLine *const *)a;
    const struct MpStoryLine *y = *(const struct MpStoryLine *const *)b;
    if (x->time_ms != y->time_ms) {
        return x->time_ms < y->time_ms ? -1 : 1;
    }
    return x->order < y->order ? -1 : x->order > y->order;
}

static const char *
message_of(const char *name)
{
    for (int code = MP_OK; code > MP_ERROR_LAST; code--) {
        if (strcmp(MpError_Name(code), name) == 0) {
            return MpError_Info(code)->message;
        }
    }
    return "";
}

static void
print_line(const struct MpStoryLine *line, FILE *out)
{
    fprintf(out, "%s %s %s %s %s\n", line->is_own ? " " : "~", line->time,
            line->instance, line->event, line->text);
}

/* Returns the line before place that made the request end as it did: the
 * last one of the same request and instance that is more than a notice, or
 * place itself when the request was decided on arrival. */
static const struct MpStoryLine *
cause_of(const struct MpStory *this, guint place)
{
    const struct MpStoryLine *end = g_ptr_array_index(this->lines, place);
    for (guint i = place; i > 0; i--) {
        const struct MpStoryLine *line = g_ptr_array_index(this->lines, i - 1);
        if (line->is_own && line->priority < LOG_NOTICE &&
            strcmp(line->instance, end->instance) == 0) {
            return line;
        }
    }
    return end;
}

static void
tell_end(const struct MpStory *this, guint place, FILE *out)
{
    const struct MpStoryLine *end = g_ptr_array_index(this->lines, place);
    char *outcome = value_of(end->text, "outcome");
    char *error = value_of(end->text, "error");
    fprintf(out, "outcome on %s: %s", end->instance,
            outcome ? outcome : "unknown");
    if (error && strcmp(error, "ok") != 0) {
        fprintf(out, ", %s: %s", error, message_of(error));
    }
    fprintf(out, "\n");
    if (!outcome || strcmp(outcome, "answered") != 0) {
        const struct MpStoryLine *cause = cause_of(this, place);
        fprintf(out, "decided by: %s %s\n", cause->event, cause->text);
    }
    g_free(outcome);
    g_free(error);
}

/* Without an end: the process ended before it, or the line was left out. */
static void
tell_no_end(const struct MpStory *this, const char *instance, FILE *out)
{
    const struct MpStoryLine *last = NULL;
    const struct MpStoryLine *next = NULL;
    for (guint i = 0; i < this->lines->len; i++) {
        const struct MpStoryLine *line = g_ptr_array_index(this->lines, i);
        if (strcmp(line->instance, instance) != 0) {
            continue;
        }
        if (line->is_own) {
            last = line;
            next = NULL;
        }
        else if (!next && (strcmp(line->event, EVENT_STARTED) == 0 ||
                           strcmp(line->event, EVENT_LEFT_OUT) == 0)) {
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
    const struct MpStoryLine *cause = next ? next : last;
    if (cause) {
        fprintf(out, "decided by: %s %s\n", cause->event, cause->text);
    }
}

bool
MpStory_Tell(struct MpStory *this, FILE *out)
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
        const struct MpStoryLine *line = g_ptr_array_index(this->lines, i);
        if (line->is_own && strcmp(line->event, EVENT_ENDED) == 0) {
            tell_end(this, i, out);
            g_hash_table_add(ended, line->instance);
        }
    }
    GList *names = g_list_sort(g_hash_table_get_keys(this->instances),
                               (GCompareFunc)strcmp);
    for (GList *link = names; link; link = link->next) {
        if (!g_hash_table_contains(ended, link->data)) {
            tell_no_end(this, link->data, out);
        }
    }
    g_list_free(names);
    g_hash_table_unref(ended);
    return true;
}
