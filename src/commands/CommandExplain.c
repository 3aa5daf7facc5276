#include "commands/Command.h"

#include "commands/Timeline.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* State changes are printed from this long before the first line of the
 * request to this long after the last one; an election or an unreachable
 * quorum is detected within this time. */
#define CONTEXT_MS 3000

typedef void (*LineReader)(struct MpTimeline *timeline, const char *line);

static int
read_file(struct MpTimeline *timeline, const char *name, LineReader read_line)
{
    char *line = NULL;
    size_t size = 0;
    FILE *file = fopen(name, "r");
    if (!file) {
        fprintf(stderr, "mimosapath explain: %s: %s\n", name, strerror(errno));
        return MP_EXIT_FAILED;
    }
    while (getline(&line, &size, file) >= 0) {
        read_line(timeline, line);
    }
    free(line);
    fclose(file);
    return MP_EXIT_OK;
}

static int
explain(const char *id, const struct arg_file *files)
{
    static const LineReader passes[] = {MpTimeline_ReadRequestLine,
                                        MpTimeline_ReadContextLine};
    struct MpTimeline timeline;
    int status = MP_EXIT_OK;
    MpTimeline_Init(&timeline, id, CONTEXT_MS);
    for (size_t p = 0; p < G_N_ELEMENTS(passes); p++) {
        for (int i = 0; i < files->count && status == MP_EXIT_OK; i++) {
            status = read_file(&timeline, files->filename[i], passes[p]);
        }
    }
    if (status == MP_EXIT_OK && !MpTimeline_Print(&timeline, stdout)) {
        fprintf(stderr,
                "mimosapath explain: no line names the request %s: it did "
                "not reach these instances, or their logs are not all here\n",
                id);
        status = MP_EXIT_FAILED;
    }
    MpTimeline_Done(&timeline);
    return status;
}

int
MpCommandExplain_Main(int argc, char **argv)
{
    struct arg_str *id =
        arg_str1(NULL, NULL, "ID", "id of the request, as its caller sent it");
    struct arg_file *files =
        arg_filen(NULL, NULL, "FILE", 1, 1024, "logs of the instances");
    void *table[] = {id, files, MP_COMMON_ARGS};
    int status = MpCommand_Parse(
        argc, argv, table,
        "Merges the log lines of a request from all instances, with state "
        "changes around\nthem (~), and prints the line that decided its "
        "outcome.");
    if (status < 0) {
        status = explain(id->sval[0], files);
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return status;
}
