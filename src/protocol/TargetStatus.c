#include "protocol/TargetStatus.h"

#include <string.h>

#define LOAD_MAX 1000000
/* Largest number that all JSON libraries can represent exactly. */
#define SEQUENCE_MAX ((INT64_C(1) << 53) - 1)
#define BOOT_MAX_BYTES 128
#define BLOCK_DIGITS_MAX 16

static bool
read_count(struct json_object *value, int64_t max, int64_t *count)
{
    if (!json_object_is_type(value, json_type_int)) {
        return false;
    }
    *count = json_object_get_int64(value);
    return *count >= 0 && *count <= max;
}

static bool
read_number(struct json_object *root, const char *name, int64_t max,
            int64_t *count)
{
    struct json_object *value;
    *count = 0;
    return !json_object_object_get_ex(root, name, &value) ||
           read_count(value, max, count);
}

static bool
read_boot(struct json_object *root, const char **boot)
{
    struct json_object *value;
    *boot = "";
    if (!json_object_object_get_ex(root, "boot", &value)) {
        return true;
    }
    if (!json_object_is_type(value, json_type_string)) {
        return false;
    }
    *boot = json_object_get_string(value);
    size_t length = (size_t)json_object_get_string_len(value);
    if (length > BOOT_MAX_BYTES) {
        return false;
    }
    for (size_t i = 0; i < length; i++) {
        if (g_ascii_iscntrl((*boot)[i])) {
            return false;
        }
    }
    return true;
}

static const char *
read_fields(struct MpTargetStatus *this)
{
    struct json_object *value;
    int64_t sequence;
    if (!read_boot(this->root, &this->boot)) {
        return "boot";
    }
    if (!read_number(this->root, "sequence", SEQUENCE_MAX, &sequence)) {
        return "sequence";
    }
    this->report.sequence = (uint64_t)sequence;
    if (!read_number(this->root, "running", LOAD_MAX, &this->report.running)) {
        return "running";
    }
    if (!read_number(this->root, "waiting", LOAD_MAX, &this->report.waiting)) {
        return "waiting";
    }
    if (json_object_object_get_ex(this->root, "leaving", &value)) {
        this->report.is_leaving = json_object_get_boolean(value);
        return json_object_is_type(value, json_type_boolean) ? NULL
                                                             : "leaving";
    }
    return NULL;
}

bool
MpTargetStatus_Parse(struct MpTargetStatus *this, const char *text,
                     size_t size, const char **reason)
{
    *this = (struct MpTargetStatus){.boot = ""};
    *reason = "no_object";
    GPtrArray *findings = MpFindings_New();
    this->root = MpJson_Parse(text, size, findings);
    if (findings->len > 0) {
        const struct MpFinding *finding = g_ptr_array_index(findings, 0);
        *reason = MpFinding_KindName(finding->kind);
    }
    else if (json_object_is_type(this->root, json_type_object)) {
        *reason = read_fields(this);
    }
    g_ptr_array_unref(findings);
    return !*reason;
}

void
MpTargetStatus_Done(struct MpTargetStatus *this)
{
    json_object_put(this->root);
    *this = (struct MpTargetStatus){.boot = ""};
}

static struct json_object *
get_events(const struct MpTargetStatus *this)
{
    struct json_object *events;
    return json_object_object_get_ex(this->root, "events", &events) &&
                   json_object_is_type(events, json_type_array)
               ? events
               : NULL;
}

size_t
MpTargetStatus_EventCount(const struct MpTargetStatus *this)
{
    struct json_object *events = get_events(this);
    return events ? json_object_array_length(events) : 0;
}

bool
MpTargetStatus_GetEvent(const struct MpTargetStatus *this, size_t at,
                        struct MpStatusEvent *event)
{
    int64_t sequence;
    struct json_object *item = json_object_array_get_idx(get_events(this), at);
    if (!json_object_is_type(item, json_type_array) ||
        json_object_array_length(item) != 3) {
        return false;
    }
    struct json_object *sign = json_object_array_get_idx(item, 1);
    struct json_object *block = json_object_array_get_idx(item, 2);
    if (!read_count(json_object_array_get_idx(item, 0), SEQUENCE_MAX,
                    &sequence) ||
        !json_object_is_type(sign, json_type_string) ||
        !json_object_is_type(block, json_type_string)) {
        return false;
    }
    const char *digits = json_object_get_string(block);
    size_t length = strlen(digits);
    *event = (struct MpStatusEvent){
        .sequence = (uint64_t)sequence,
        .block = g_ascii_strtoull(digits, NULL, 16),
        .is_added = json_object_get_string(sign)[0] == '+'};
    return length > 0 && length <= BLOCK_DIGITS_MAX &&
           strspn(digits, "0123456789abcdefABCDEF") == length;
}
