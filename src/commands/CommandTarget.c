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
    struct MpSimTarget *target = timer->data;
    if (stop_signal) {
        MpSimTarget_Leave(target);
    }
    MpLoop_SetTimer(target->loop, &signal_timer, SIGNAL_CHECK_MS, check_signal,
                    target);
}

static int
run(const struct MpSimTargetOptions *options)
{
    struct MpLoop loop;
    struct MpSimTarget target;
    struct sigaction action = {.sa_handler = on_signal};
    MpLog_Init(options->name);
    MpLoop_Init(&loop);
    int code = MpSimTarget_Start(&target, &loop, options);
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
int_value(const struct arg_int *argument, int64_t default_value)
{
    return argument->count > 0 ? argument->ival[0] : default_value;
}

int
MpCommandTarget_Main(int argc, char **argv)
{
    struct arg_str *listen =
        arg_str1("l", "listen", "ADDRESS", "IP number and port");
    struct arg_str *name = arg_str0("n", "name", "NAME", "name in responses");
    struct arg_lit *service =
        arg_lit0(NULL, "service", "a plain service, not a model engine");
    struct arg_int *slots =
        arg_int0(NULL, "slots", "N", "requests at once (16)");
    struct arg_int *token =
        arg_int0(NULL, "token-us", "US", "time per token (5000)");
    struct arg_int *batch = arg_int0(
        NULL, "batch-us", "US", "added per other request in the batch (300)");
    struct arg_int *prefill = arg_int0(
        NULL, "prefill-us", "US", "time per uncached prompt block (2000)");
    struct arg_int *call =
        arg_int0(NULL, "call-us", "US", "time per service call (2000)");
    struct arg_int *cache = arg_int0(NULL, "cache-blocks", "N",
                                     "capacity of the prefix cache (2048)");
    struct arg_int *lag = arg_int0(
        NULL, "lag-ms", "MS", "delay of load reports and cache events (300)");
    struct arg_int *gap = arg_int0(NULL, "gap-percent", "N",
                                   "percentage of cache events lost (1)");
    struct arg_int *slow =
        arg_int0(NULL, "slow-percent", "N",
                 "how long work takes, named in each response; 100 is usual");
    struct arg_lit *fencing = arg_lit0(
        NULL, "checks-fencing", "refuse orders with an old fencing number");
    struct arg_file *log = arg_file0(NULL, "run-log", "FILE",
                                     "append the key of each run to FILE");
    void *table[] = {listen, name,    service, slots, token,
                     batch,  prefill, call,    cache, lag,
                     gap,    slow,    fencing, log,   MP_COMMON_ARGS};
    int status = MpCommand_Parse(argc, argv, table,
                                 "Runs a simulated model engine or service.");
    if (status < 0) {
        struct MpSimTargetOptions options = {
            .listen = listen->sval[0],
            .name = name->count > 0 ? name->sval[0] : "target",
            .is_engine = service->count == 0,
            .slots = int_value(slots, 16),
            .token_us = int_value(token, 5000),
            .batch_us = int_value(batch, 300),
            .prefill_us = int_value(prefill, 2000),
            .call_us = int_value(call, 2000),
            .cache_blocks = int_value(cache, 2048),
            .lag_ms = int_value(lag, 300),
            .gap_percent = int_value(gap, 1),
            .slow_percent = int_value(slow, 0),
            .checks_fencing = fencing->count > 0,
            .run_log = log->count > 0 ? log->filename[0] : NULL,
        };
        status = run(&options);
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return status;
}
