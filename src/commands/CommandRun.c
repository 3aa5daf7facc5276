#include "commands/Command.h"

#include "coordination/MemoryAccount.h"
#include "protocol/Dialect.h"
#include "state/Error.h"
#include "transport/Instance.h"
#include "transport/Log.h"

#include <malloc.h>
#include <stdio.h>

static int
run(const char *name)
{
    GPtrArray *findings = MpFindings_New();
    struct MpSettings *settings = MpSettings_Load(name, findings);
    if (settings) {
        MpDialect_Check(settings->dialect, findings);
    }
    if (!settings || findings->len > 0) {
        char *text = MpFindings_Format(findings, name);
        fputs(text, stderr);
        g_free(text);
        g_ptr_array_unref(findings);
        MpSettings_Delete(settings);
        return MP_EXIT_FAILED;
    }
    g_ptr_array_unref(findings);
    mallopt(M_MMAP_THRESHOLD, MP_MAPPED_MIN_BYTES);
    MpLog_Init(settings->instance);
    int code = MpInstance_Run(settings, name);
    if (code != MP_OK) {
        MpLog_Event(LOG_CRIT, "stopped", "error=%s", MpError_Name(code));
    }
    MpSettings_Delete(settings);
    return code == MP_OK ? MP_EXIT_OK : MP_EXIT_FAILED;
}

int
MpCommandRun_Main(int argc, char **argv)
{
    struct arg_file *settings =
        arg_file1("s", "settings", "FILE", "settings of the instance");
    void *table[] = {settings, MP_COMMON_ARGS};
    int status = MpCommand_Parse(
        argc, argv, table,
        "Runs an instance until SIGTERM or SIGINT, which drain it.");
    if (status < 0) {
        status = run(settings->filename[0]);
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return status;
}
