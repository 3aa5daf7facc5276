#include "commands/Command.h"

#include "commands/LoadTest.h"
#include "transport/Log.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define RATE_MOST 100000
#define SECONDS_MOST 3600

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

static int
run(const struct MpLoadOptions *options)
{
    struct MpLoop loop;
    struct MpLoad load;
    signal(SIGPIPE, SIG_IGN);
    MpLoop_Init(&loop);
    MpLoad_Start(&load, &loop, options);
    MpLoop_Run(&loop);
    MpLoad_PrintTable(&load);
    struct json_object *report = MpLoad_Report(&load);
    puts(json_object_to_json_string_ext(report, JSON_C_TO_STRING_PLAIN));
    json_object_put(report);
    return MP_EXIT_OK;
}

static int
check_options(const struct MpLoadOptions *options)
{
    for (guint i = 0; i < options->instances->len; i++) {
        struct sockaddr_in place;
        const char *address = g_ptr_array_index(options->instances, i);
        if (!MpLoop_ParseAddress(address, &place)) {
            fprintf(stderr, "mimosapath load: \"%s\" is no address\n",
                    address);
            return MP_EXIT_USAGE;
        }
    }
    if (!options->mix) {
        fprintf(stderr, "mimosapath load: there is no such mix\n");
        return MP_EXIT_USAGE;
    }
    if (options->rate_per_s <= 0 || options->rate_per_s > RATE_MOST ||
        options->seconds < 1 || options->seconds > SECONDS_MOST ||
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
                                         "callers' address; repeatable");
    struct arg_str *mix =
        arg_str0("m", "mix", "NAME", "plumeau, zawadzki, recipes or bookings");
    struct arg_dbl *rate =
        arg_dbl0("r", "rate", "N", "requests a second (50)");
    struct arg_int *seconds =
        arg_int0("s", "seconds", "N", "length of the run (10)");
    struct arg_int *workspaces = arg_int0(
        "w", "workspaces", "N", "workspaces w0, w1, ... with key-w0 (1)");
    struct arg_int *retries =
        arg_int0(NULL, "retries", "N", "repeats of a request (5)");
    struct arg_int *tokens =
        arg_int0(NULL, "tokens", "N", "token limit of a request (32)");
    struct arg_int *seed = arg_int0(NULL, "seed", "N", "seed (1)");
    struct arg_str *marks =
        arg_str0(NULL, "marks", "TEXT", "text added to each prompt");
    struct arg_lit *direct =
        arg_lit0(NULL, "direct", "the addresses are those of targets");
    struct arg_lit *quiet = arg_lit0("q", "quiet", "no progress lines");
    void *table[] = {instances,  mix,     rate,   seconds,
                     workspaces, retries, tokens, seed,
                     marks,      direct,  quiet,  MP_COMMON_ARGS};
    int status = MpCommand_Parse(
        argc, argv, table,
        "Sends requests as callers would, and prints what became of them: a "
        "table on standard error, JSON on standard output.");
    if (status < 0) {
        struct MpLoadOptions options = {
            .instances = g_ptr_array_new(),
            .mix = find_mix(mix->count ? mix->sval[0] : "plumeau"),
            .workspaces = workspaces->count ? workspaces->ival[0] : 1,
            .rate_per_s = rate->count ? rate->dval[0] : 50,
            .seconds = seconds->count ? seconds->ival[0] : 10,
            .retries = retries->count ? retries->ival[0] : 5,
            .tokens_most = tokens->count ? tokens->ival[0] : 32,
            .seed = seed->count ? (uint32_t)seed->ival[0] : 1,
            .marks = marks->count ? marks->sval[0] : "",
            .is_direct = direct->count > 0,
            .is_quiet = quiet->count > 0,
        };
        for (int i = 0; i < instances->count; i++) {
            g_ptr_array_add(options.instances, (char *)instances->sval[i]);
        }
        status = check_options(&options);
        if (status == MP_EXIT_OK) {
            status = run(&options);
        }
        g_ptr_array_unref(options.instances);
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return status;
}
