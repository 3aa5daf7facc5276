#include "commands/Command.h"

#include "commands/LoadTest.h"
#include "state/Error.h"
#include "transport/Log.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define RATE_MAX_PER_S 100000
#define DURATION_MAX_S 3600

static const struct MpLoadMix *
find_mix(const char *name)
{
    for (const struct MpLoadMix *mix = MpLoadMix_Table; mix->name; mix++) {
        if (strcmp(mix->name, name) == 0) {
            return mix;
        }
    }
    return NULL;
}

/* Returns whether the instances counted what callers saw. */
static bool
has_same_ends(const struct MpLoadTest *test, const struct MpLoadLedger *before)
{
    struct MpLoadLedger after;
    int code = MpLoadLedger_Read(&after, test->options->metrics);
    if (code != MP_OK) {
        fprintf(stderr, "mimosapath load: cannot read the metrics: %s\n",
                MpError_Name(code));
        return false;
    }
    return MpLoadLedger_Matches(&test->seen, before, &after);
}

static int
run(const struct MpLoadOptions *options)
{
    struct MpLoadLedger before;
    struct MpLoop loop;
    struct MpLoadTest test;
    int code = MpLoadLedger_Read(&before, options->metrics);
    if (code != MP_OK) {
        fprintf(stderr, "mimosapath load: cannot read the metrics: %s\n",
                MpError_Name(code));
        return MP_EXIT_FAILED;
    }
    signal(SIGPIPE, SIG_IGN);
    MpLoop_Init(&loop);
    MpLoadTest_Start(&test, &loop, options);
    MpLoop_Run(&loop);
    MpLoadTest_PrintTable(&test);
    struct json_object *report = MpLoadTest_Report(&test);
    puts(json_object_to_json_string_ext(report, JSON_C_TO_STRING_PLAIN));
    json_object_put(report);
    if (options->metrics->len > 0 && !has_same_ends(&test, &before)) {
        return MP_EXIT_FAILED;
    }
    return MP_EXIT_OK;
}

static int
check_options(const struct MpLoadOptions *options)
{
    for (guint i = 0; i < options->addresses->len; i++) {
        struct sockaddr_in parsed;
        const char *address = g_ptr_array_index(options->addresses, i);
        if (!MpLoop_ParseAddress(address, &parsed)) {
            fprintf(stderr, "mimosapath load: \"%s\" is no address\n",
                    address);
            return MP_EXIT_USAGE;
        }
    }
    if (!options->mix) {
        fprintf(stderr, "mimosapath load: there is no such mix\n");
        return MP_EXIT_USAGE;
    }
    if (options->rate_per_s <= 0 || options->rate_per_s > RATE_MAX_PER_S ||
        options->seconds < 1 || options->seconds > DURATION_MAX_S ||
        options->workspaces < 1) {
        fprintf(stderr, "mimosapath load: --rate must be above 0 and up to "
                        "100000, --seconds from 1 to 3600, --workspaces at "
                        "least 1\n");
        return MP_EXIT_USAGE;
    }
    return MP_EXIT_OK;
}

int
MpCommandLoad_Main(int argc, char **argv)
{
    struct arg_str *instances = arg_strn("i", "instance", "ADDRESS", 1, 1000,
                                         "address for callers; repeatable");
    struct arg_str *metrics =
        arg_strn(NULL, "metrics", "ADDRESS", 0, 1000,
                 "metrics address of an instance; repeatable.  Fails if the "
                 "instances counted other ends of requests than callers saw");
    struct arg_str *mix =
        arg_str0("m", "mix", "NAME", "plumeau, zawadzki, recipes or bookings");
    struct arg_dbl *rate =
        arg_dbl0("r", "rate", "N", "requests a second (50)");
    struct arg_int *seconds =
        arg_int0("s", "seconds", "N", "duration of the run (10)");
    struct arg_int *workspaces = arg_int0(
        "w", "workspaces", "N", "workspaces w0, w1, ... with key-w0 (1)");
    struct arg_int *retries =
        arg_int0(NULL, "retries", "N", "maximum retries of a request (5)");
    struct arg_int *tokens_max =
        arg_int0(NULL, "tokens", "N", "token limit of a request (32)");
    struct arg_int *seed = arg_int0(NULL, "seed", "N", "seed (1)");
    struct arg_str *suffix =
        arg_str0(NULL, "marks", "TEXT", "text added to each prompt");
    struct arg_lit *direct =
        arg_lit0(NULL, "direct", "the addresses are targets, not instances");
    struct arg_lit *quiet = arg_lit0("q", "quiet", "no progress lines");
    void *table[] = {instances,  metrics, mix,           rate, seconds,
                     workspaces, retries, tokens_max,    seed, suffix,
                     direct,     quiet,   MP_COMMON_ARGS};
    int status = MpCommand_Parse(
        argc, argv, table,
        "Sends requests as callers do and prints the results: a table on "
        "standard error, JSON on standard output.");
    if (status < 0) {
        struct MpLoadOptions options = {
            .addresses = g_ptr_array_new(),
            .metrics = g_ptr_array_new(),
            .mix = find_mix(mix->count ? mix->sval[0] : "plumeau"),
            .workspaces = workspaces->count ? workspaces->ival[0] : 1,
            .rate_per_s = rate->count ? rate->dval[0] : 50,
            .seconds = seconds->count ? seconds->ival[0] : 10,
            .retries_max = retries->count ? retries->ival[0] : 5,
            .tokens_max = tokens_max->count ? tokens_max->ival[0] : 32,
            .seed = seed->count ? (uint32_t)seed->ival[0] : 1,
            .prompt_suffix = suffix->count ? suffix->sval[0] : "",
            .is_direct = direct->count > 0,
            .is_quiet = quiet->count > 0,
        };
        for (int i = 0; i < instances->count; i++) {
            g_ptr_array_add(options.addresses, (char *)instances->sval[i]);
        }
        for (int i = 0; i < metrics->count; i++) {
            g_ptr_array_add(options.metrics, (char *)metrics->sval[i]);
        }
        status = check_options(&options);
        if (status == MP_EXIT_OK) {
            status = run(&options);
        }
        g_ptr_array_unref(options.addresses);
        g_ptr_array_unref(options.metrics);
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return status;
}
