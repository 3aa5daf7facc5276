#include "protocol/TargetPage.h"

#include "gen/wire.h"
#include "state/Error.h"
#include "state/Fault.h"
#include "state/JsonScan.h"

#include <string.h>

/* The fields behind the list of a page that is repaired, bytes. */
#define TAIL_MAX_BYTES 4096
/* The field that names the next page, bytes. */
#define NEXT_MAX_BYTES 4096
#define SLOTS_MAX 100000
/* Largest number that all JSON libraries can represent exactly. */
#define NUMBER_MAX ((INT64_C(1) << 53) - 1)
#define PORT_DIGITS_MAX 5
#define PORT_MAX 65535

/* ---- single entries ---- */

/* Names of incarnations and pools are words, as they stand in header lines and
 * log lines. */
static bool
is_word(const char *text)
{
    size_t length = strlen(text);
    for (size_t i = 0; i < length; i++) {
        if (!g_ascii_isgraph(text[i])) {
            return false;
        }
    }
    return length > 0 && length <= MP_NAME_MAX;
}

static bool
is_text(const char *text)
{
    size_t length = strlen(text);
    for (size_t i = 0; i < length; i++) {
        if (g_ascii_iscntrl(text[i])) {
            return false;
        }
    }
    return length <= MP_NAME_MAX;
}

static bool
has_port(const char *address)
{
    const char *colon = strrchr(address, ':');
    size_t digits = colon ? strspn(colon + 1, "0123456789") : 0;
    if (digits == 0 || digits > PORT_DIGITS_MAX || colon[1 + digits]) {
        return false;
    }
    guint64 port = g_ascii_strtoull(colon + 1, NULL, 10);
    return port > 0 && port <= PORT_MAX && strlen(address) <= MP_ADDRESS_MAX;
}

static bool
is_count(int64_t number)
{
    return number >= 0 && number <= NUMBER_MAX;
}

const char *
MpListedTarget_FindError(const struct MpListedTarget *target)
{
    if (!is_word(target->incarnation) || !is_word(target->pool) ||
        !is_text(target->zone) ||
        (target->version && !is_text(target->version))) {
        return "bad_name";
    }
    if (!has_port(target->address)) {
        return "bad_address";
    }
    if (target->slots < 0 || target->slots > SLOTS_MAX ||
        (target->cold_ms != -1 && !is_count(target->cold_ms)) ||
        !is_count(target->started_ms)) {
        return "out_of_range";
    }
    return NULL;
}

void
MpUnreadableEntries_Add(struct MpUnreadableEntries *this, const char *reason,
                        const char *text, size_t size)
{
    if (this->count++ > 0) {
        return;
    }
    char *out = this->sample;
    this->reason = reason;
    for (size_t i = 0; i < MIN(size, MP_ENTRY_SAMPLE_BYTES); i++) {
        if (g_ascii_isgraph(text[i]) && text[i] != '\\') {
            *out++ = text[i];
        }
        else {
            out += g_snprintf(out, 5, "\\x%02x", (unsigned char)text[i]);
        }
    }
    *out = '\0';
}

/* ---- pages ---- */

struct span {
    size_t start;
    size_t end;
};

struct page {
    struct MpJsonScan scan;
    const struct MpTargetPageFormat *format;
    GArray *spans;    /* of the entries, struct span */
    size_t list;      /* position behind the first bracket; 0: none */
    struct span next; /* of the value; empty: none */
    bool is_repair;
};

static struct MpListedTarget *
parse_entry(const struct page *this, struct span span, const char **reason)
{
    if (span.end - span.start > MP_ENTRY_MAX_BYTES) {
        *reason = "too_long";
        return NULL;
    }
    GPtrArray *findings = MpFindings_New();
    struct json_object *value = MpJson_Parse(this->scan.text + span.start,
                                             span.end - span.start, findings);
    struct MpListedTarget *target = NULL;
    if (findings->len > 0) {
        const struct MpFinding *finding = g_ptr_array_index(findings, 0);
        *reason = MpFinding_KindName(finding->kind);
    }
    else if (!json_object_is_type(value, json_type_object)) {
        *reason = "no_object";
    }
    else {
        target = this->format->parse_entry(value, reason);
    }
    json_object_put(value);
    g_ptr_array_unref(findings);
    const char *problem = target ? MpListedTarget_FindError(target) : NULL;
    if (problem) {
        *reason = problem;
        g_clear_pointer(&target, MpListedTarget_Delete);
    }
    return target;
}

static void
add_span(struct page *this, size_t start, size_t end)
{
    struct span span = {.start = start, .end = end};
    g_array_append_val(this->spans, span);
}

static bool
is_key(const struct page *this, struct span key, const char *name)
{
    return key.end - key.start == strlen(name) + 2 &&
           memcmp(this->scan.text + key.start + 1, name, strlen(name)) == 0;
}

/* Reads the entries of a list from *at on, and its closing bracket. */
static bool
read_list(struct page *this, size_t *at)
{
    size_t start = MpJsonScan_SkipSpace(&this->scan, *at);
    bool is_empty = MpJsonScan_IsAt(&this->scan, start, ']');
    size_t end = start;
    while (!is_empty) {
        if (!MpJsonScan_Element(&this->scan, start, ']', &end)) {
            return false;
        }
        add_span(this, start, end);
        if (this->scan.text[end] == ']') {
            break;
        }
        start = MpJsonScan_SkipSpace(&this->scan, end + 1);
    }
    *at = end + 1;
    return true;
}

/* Reads a field from the quote at *at on, and the space behind it. */
static bool
read_field(struct page *this, size_t *at)
{
    struct span key = {.start = *at};
    if (!MpJsonScan_IsAt(&this->scan, *at, '"') ||
        !MpJsonScan_String(&this->scan, *at, &key.end)) {
        return false;
    }
    *at = MpJsonScan_SkipSpace(&this->scan, key.end);
    if (!MpJsonScan_IsAt(&this->scan, *at, ':')) {
        return false;
    }
    *at = MpJsonScan_SkipSpace(&this->scan, *at + 1);
    struct span value = {.start = *at};
    if (is_key(this, key, this->format->list) &&
        MpJsonScan_IsAt(&this->scan, *at, '[') && !this->is_repair) {
        (*at)++;
        this->list = this->list > 0 ? this->list : *at;
        if (!read_list(this, at)) {
            return false;
        }
    }
    else if (!MpJsonScan_Element(&this->scan, *at, '}', at)) {
        return false;
    }
    value.end = *at;
    if (is_key(this, key, this->format->next)) {
        this->next = value;
    }
    *at = MpJsonScan_SkipSpace(&this->scan, *at);
    return true;
}

/* Reads the fields of the page from at on, up to the end of the text. */
static bool
read_fields(struct page *this, size_t at)
{
    at = MpJsonScan_SkipSpace(&this->scan, at);
    bool is_last = MpJsonScan_IsAt(&this->scan, at, '}');
    while (!is_last) {
        if (!read_field(this, &at)) {
            return false;
        }
        is_last = MpJsonScan_IsAt(&this->scan, at, '}');
        if (!is_last && !MpJsonScan_IsAt(&this->scan, at, ',')) {
            return false;
        }
        at = is_last ? at : MpJsonScan_SkipSpace(&this->scan, at + 1);
    }
    return MpJsonScan_SkipSpace(&this->scan, at + 1) == this->scan.size;
}

static bool
read_page(struct page *this)
{
    size_t at = MpJsonScan_SkipSpace(&this->scan, 0);
    return MpJsonScan_IsAt(&this->scan, at, '{') &&
           read_fields(this, at + 1) && this->list > 0;
}

/* ---- repair ---- */

/* Returns whether the list ends with the bracket at a position: only further
 * fields follow, up to the end of the page. */
static bool
is_list_end(struct page *this, size_t at)
{
    if (!MpJsonScan_IsAt(&this->scan, at, ']') ||
        this->scan.size - at > TAIL_MAX_BYTES) {
        return false;
    }
    struct span next = this->next;
    bool is_end = false;
    at = MpJsonScan_SkipSpace(&this->scan, at + 1);
    if (MpJsonScan_IsAt(&this->scan, at, ',')) {
        at = MpJsonScan_SkipSpace(&this->scan, at + 1);
        is_end =
            MpJsonScan_IsAt(&this->scan, at, '"') && read_fields(this, at);
    }
    else if (MpJsonScan_IsAt(&this->scan, at, '}')) {
        is_end = read_fields(this, at);
    }
    if (!is_end) {
        this->next = next;
    }
    return is_end;
}

/* Returns whether an object in the form of JSON stands at a position, with a
 * comma or the end of the list behind it. */
static bool
find_object(struct page *this, size_t at, size_t *end)
{
    if (!MpJsonScan_IsAt(&this->scan, at, '{') ||
        !MpJsonScan_Value(&this->scan, at, MP_ENTRY_MAX_BYTES, end)) {
        return false;
    }
    size_t next = MpJsonScan_SkipSpace(&this->scan, *end);
    return MpJsonScan_IsAt(&this->scan, next, ',') || is_list_end(this, next);
}

/* Returns whether an object may be an entry.  An odd entry may hold very many
 * objects, and to parse each of them would stop the process for seconds. */
static bool
may_be_entry(const struct page *this, size_t start, size_t end)
{
    char name[MP_NAME_MAX];
    g_snprintf(name, sizeof(name), "\"%s\"", this->format->key);
    return g_strstr_len(this->scan.text + start, (gssize)(end - start), name);
}

static bool
is_readable(struct page *this, size_t at)
{
    const char *reason;
    size_t end;
    if (!find_object(this, at, &end) || !may_be_entry(this, at, end)) {
        return false;
    }
    struct MpListedTarget *target =
        parse_entry(this, (struct span){.start = at, .end = end}, &reason);
    if (!target) {
        return false;
    }
    MpListedTarget_Delete(target);
    return true;
}

/* Returns the position of the next separator: a comma with a readable entry
 * behind it, or the end of the list; the size of the page if there is none. */
static size_t
find_separator(struct page *this, size_t at)
{
    for (; at < this->scan.size; at++) {
        char c = this->scan.text[at];
        if ((c == ',' &&
             is_readable(this, MpJsonScan_SkipSpace(&this->scan, at + 1))) ||
            (c == ']' && is_list_end(this, at))) {
            break;
        }
    }
    return at;
}

/* Reads the list of a page whose brackets or strings do not match. */
static bool
repair_list(struct page *this)
{
    size_t at = MpJsonScan_SkipSpace(&this->scan, this->list);
    size_t end;
    g_array_set_size(this->spans, 0);
    this->is_repair = true;
    if (this->next.start > this->list) {
        this->next = (struct span){0};
    }
    while (at < this->scan.size) {
        if (!find_object(this, at, &end)) {
            end = find_separator(this, at);
        }
        add_span(this, at, end);
        end = MpJsonScan_SkipSpace(&this->scan, end);
        if (MpJsonScan_IsAt(&this->scan, end, ']')) {
            return true;
        }
        at = MpJsonScan_SkipSpace(&this->scan, end + 1);
    }
    return false;
}

/* ---- results ---- */

/* Sets *query from the field that names the next page. */
static int
parse_next(const struct page *this, char **query)
{
    const char *text = this->scan.text + this->next.start;
    size_t size = this->next.end - this->next.start;
    *query = NULL;
    if (size == 0 || (size >= strlen("null") &&
                      memcmp(text, "null", strlen("null")) == 0)) {
        return MP_OK;
    }
    if (size > NEXT_MAX_BYTES) {
        return MP_ERROR_INVALID;
    }
    GPtrArray *findings = MpFindings_New();
    struct json_object *value = MpJson_Parse(text, size, findings);
    bool is_string = json_object_is_type(value, json_type_string);
    const char *name = is_string ? json_object_get_string(value) : "";
    is_string =
        is_string && strlen(name) == (size_t)json_object_get_string_len(value);
    g_ptr_array_unref(findings);
    if (is_string) {
        char *escaped = g_uri_escape_string(name, NULL, false);
        *query = g_strconcat(this->format->next_query, escaped, NULL);
        g_free(escaped);
    }
    json_object_put(value);
    return is_string ? MP_OK : MP_ERROR_INVALID;
}

static int
parse_entries(const struct page *this, GPtrArray *targets,
              struct MpUnreadableEntries *unreadable)
{
    for (guint i = 0; i < this->spans->len; i++) {
        struct span span = g_array_index(this->spans, struct span, i);
        const char *reason = "";
        struct MpListedTarget *target = parse_entry(this, span, &reason);
        if (target) {
            g_ptr_array_add(targets, target);
            continue;
        }
        if (MP_FAULT(MP_FAULT_ENTRY_SPOILS_PAGE)) {
            return MP_ERROR_INVALID;
        }
        MpUnreadableEntries_Add(unreadable, reason,
                                this->scan.text + span.start,
                                span.end - span.start);
    }
    return MP_OK;
}

int
MpTargetPage_Parse(const struct MpTargetPageFormat *format, const char *text,
                   size_t size, bool is_whole, GPtrArray *targets,
                   struct MpUnreadableEntries *unreadable, char **next)
{
    struct page page = {.scan = {.text = text, .size = size},
                        .format = format,
                        .spans =
                            g_array_new(false, false, sizeof(struct span))};
    bool may_repair = is_whole || MP_FAULT(MP_FAULT_CUT_PAGE_REPAIRED);
    int code = MP_ERROR_INVALID;
    *next = NULL;
    if (read_page(&page) ||
        (may_repair && page.list > 0 && repair_list(&page))) {
        code = parse_next(&page, next);
    }
    if (code == MP_OK) {
        code = parse_entries(&page, targets, unreadable);
    }
    g_array_unref(page.spans);
    return code;
}
