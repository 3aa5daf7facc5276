#include "commands/LoadLedger.h"

#include "commands/HttpCall.h"
#include "state/Error.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define READ_METRIC "mimosapath_caller_requests_read_total"
#define ENDED_METRIC "mimosapath_caller_requests_ended_total"

const char *const MpLoadEnd_Names[] = {
    [MP_LOAD_END_ANSWERED] = "answered",
    [MP_LOAD_END_REFUSED] = "refused",
    [MP_LOAD_END_CUT] = "cut",
    [MP_LOAD_END_LEFT] = "caller-left",
    [MP_LOAD_END_UNANSWERED] = "unanswered",
};

/* ---- metrics ---- */

/* Adds one line of the metrics: name, labels and value. */
static void
add_line(struct MpLoadLedger *this, const char *line)
{
    const char *space = strrchr(line, ' ');
    uint64_t value = space ? strtoull(space + 1, NULL, 10) : 0;
    if (g_str_has_prefix(line, READ_METRIC)) {
        this->read += value;
        this->is_told = true;
        return;
    }
    if (!g_str_has_prefix(line, ENDED_METRIC)) {
        return;
    }
    for (int end = 0; end < MP_LOAD_ENDS; end++) {
        char *label = g_strdup_printf("end=\"%s\"", MpLoadEnd_Names[end]);
        this->ends[end] += strstr(line, label) ? value : 0;
        g_free(label);
    }
}

static int
read_one(struct MpLoadLedger *this, const char *address)
{
    struct MpHttpCall call = {.address = address,
                              .method = "GET",
                              .path = "/metrics",
                              .headers = ""};
    int code = MpHttpCall_Perform(&call);
    if (code == MP_OK && call.status != 200) {
        code = MP_ERROR_INVALID;
    }
    if (code == MP_OK) {
        char **lines = g_strsplit(call.response->str, "\n", -1);
        for (char **line = lines; *line; line++) {
            add_line(this, *line);
        }
        g_strfreev(lines);
    }
    MpHttpCall_Done(&call);
    return code;
}

int
MpLoadLedger_Read(struct MpLoadLedger *this, const GPtrArray *addresses)
{
    *this = (struct MpLoadLedger){.is_told = false};
    for (guint i = 0; i < addresses->len; i++) {
        int code = read_one(this, g_ptr_array_index(addresses, i));
        if (code != MP_OK) {
            return code;
        }
    }
    return MP_OK;
}

/* ---- comparison ---- */

static bool
is_within(const char *name, uint64_t seen, uint64_t counted, uint64_t left)
{
    if (counted >= seen && counted - seen <= left) {
        return true;
    }
    fprintf(stderr,
            "load: %s: callers saw %" PRIu64 ", instances counted %" PRIu64
            ", %" PRIu64 " callers left\n",
            name, seen, counted, left);
    return false;
}

bool
MpLoadLedger_Matches(const struct MpLoadLedger *seen,
                     const struct MpLoadLedger *before,
                     const struct MpLoadLedger *after)
{
    uint64_t counted[MP_LOAD_ENDS];
    uint64_t sum = 0;
    uint64_t left = seen->ends[MP_LOAD_END_LEFT];
    bool is_same = true;
    if (!after->is_told) {
        return seen->ends[MP_LOAD_END_UNANSWERED] == 0;
    }
    for (int end = 0; end < MP_LOAD_ENDS; end++) {
        counted[end] = after->ends[end] - before->ends[end];
        sum += counted[end];
        if (end != MP_LOAD_END_LEFT) {
            is_same = is_within(MpLoadEnd_Names[end], seen->ends[end],
                                counted[end], left) &&
                      is_same;
        }
    }
    return is_within("read", sum, after->read - before->read, 0) && is_same;
}
