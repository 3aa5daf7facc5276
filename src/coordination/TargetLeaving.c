#include "coordination/TargetLeaving.h"

#include "state/Fault.h"

#include <glib.h>

bool
MpTargetLeaving_NoteEntry(struct MpTargetLeaving *this, bool is_leaving,
                          int64_t started_ms)
{
    bool is_later = this->started_ms > 0 && started_ms > this->started_ms;
    bool is_new = is_later || (this->by_list && !is_leaving);
    this->by_list = is_leaving;
    if (started_ms > 0) {
        this->started_ms = started_ms;
    }
    if (is_new || MP_FAULT(MP_FAULT_LIST_ENDS_LEAVING)) {
        this->by_answer = false;
    }
    return is_new;
}

bool
MpTargetLeaving_NoteAnswer(struct MpTargetLeaving *this)
{
    bool is_first = !this->by_answer;
    this->by_answer = true;
    return is_first;
}

bool
MpTargetLeaving_IsLeaving(const struct MpTargetLeaving *this)
{
    return this->by_list || this->by_answer;
}

bool
MpTargetLeaving_Parse(const char *text, size_t size)
{
    char *copy = g_strndup(text, size);
    char **values = g_strsplit(copy, ",", -1);
    size_t ones = 0;
    size_t others = 0;
    for (size_t i = 0; values[i]; i++) {
        const char *value = g_strstrip(values[i]);
        ones += g_str_equal(value, "1");
        others += value[0] != '\0' && !g_str_equal(value, "1");
    }
    g_strfreev(values);
    g_free(copy);
    return ones > 0 && others == 0;
}
