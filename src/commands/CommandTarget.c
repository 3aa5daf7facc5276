#include "commands/Command.h"

#include "commands/SimTarget.h"
#include "state/Error.h"
#include "transport/Log.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define SIGNAL_CHECK_MS 50

static volatile sig_atomic_t stop_signal;
static struct MpTimer signal_timer;

static void
on_signal(int number)
{
    stop_signal = number;
}

static void
check_signal(struct MpTimer *timer)
{
    struct MpStandIn *target = timer->data;
    if (stop_signal) {
        MpStandIn_Leave(target);
    }
    MpLoop_SetTimer(target->loop, &signal_timer, SIGNAL_CHECK_MS, check_signal,
                    target);
}

static int
run(const struct MpStandInOptions *options)
{
    struct MpLoop loop;
    struct MpStandIn target;
    struct sigaction action = {.sa_handler = on_signal};
    MpLog_Init(options->name);
    MpLoop_Init(&loop);
    int code = MpStandIn_Start(&target, &loop, options);
    if (code != MP_OK) {
        MpLog_Event(LOG_ERR, "target-failed", "error=%s", MpError_Name(code));
        return MP_EXIT_FAILED;
    }
    sigaction(SIGTERM, &action, NULL);
    sigaction(SIGINT, &action, NULL);
    signal(SIGPIPE, SIG_IGN);
    MpLoop_SetTimer(&loop, &signal_timer, SIGNAL_CHECK_MS, check_signal,
                    &target);
    MpLog_Event(LOG_NOTICE, "target-started", "port=%u", target.http.port);
    MpLoop_Run(&loop);
    return MP_EXIT_OK;
}

static int64_t
value_of(const struct arg_int *argument, int64_t standard)
{
    return argument->count > 0 ? argument->ival[0] : standard;
}

int
MpCommandTarget_Main(int argc, char **argv)
{
    struct arg_str *listen =
        arg_str1("l", "listen", "ADDRESS", "IP number and port");
    struct arg_str *name = arg_str0("n", "name", "NAME", "name in answers");
    struct arg_lit *service =
        arg_lit0(NULL, "service", "a plain service, not a model engine");
    struct arg_int *slots =
        arg_int0(NULL, "slots", "N", "requests at once (16)");
    struct arg_int *token =
        arg_int0(NULL, "token-us", "US", "time of a token (5000)");
    struct arg_int *batch =
        arg_int0(NULL, "batch-us", "US", "more for each other request (300)");
    struct arg_int *prefill =
        arg_int0(NULL, "prefill-us", "US", "time of an uncached block (2000)");
    struct arg_int *call =
        arg_int0(NULL, "call-us", "US", "time of a service call (2000)");
    struct arg_int *cache =
        arg_int0(NULL, "cache-blocks", "N", "blocks of prompts kept (2048)");
    struct arg_int *lag =
        arg_int0(NULL, "lag-ms", "MS", "age of reports and events (300)");
    struct arg_int *gap =
        arg_int0(NULL, "gap-percent", "N", "cache events that are lost (1)");
    struct arg_lit *fencing = arg_lit0(
        NULL, "checks-fencing", "refuse orders with an old fencing number");
    struct arg_file *log = arg_file0(NULL, "run-log", "FILE",
                                     "append the key of each run to FILE");
    void *table[] = {listen, name,    service, slots,         token,
                     batch,  prefill, call,    cache,         lag,
                     gap,    fencing, log,     MP_COMMON_ARGS};
    int status = MpCommand_Parse(argc, argv, table,
                                 "Runs a stand-in model engine or service.");
    if (status < 0) {
        struct MpStandInOptions options = {
            .listen = listen->sval[0],
            .name = name->count > 0 ? name->sval[0] : "target",
            .is_engine = service->count == 0,
            .slots = value_of(slots, 16),
            .token_us = value_of(token, 5000),
            .batch_us = value_of(batch, 300),
            .prefill_us = value_of(prefill, 2000),
            .call_us = value_of(call, 2000),
            .cache_blocks = value_of(cache, 2048),
            .lag_ms = value_of(lag, 300),
            .gap_percent = value_of(gap, 1),
            .checks_fencing = fencing->count > 0,
            .run_log = log->count > 0 ? log->filename[0] : NULL,
        };
        status = run(&options);
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return status;
}
