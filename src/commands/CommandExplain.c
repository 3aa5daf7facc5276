#include "commands/Command.h"

#include "commands/Timeline.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Changes of belief are told this far around the request, ms: an election
 * and a silent quorum are noticed within it. */
#define CONTEXT_MS 3000

typedef void (*TakeLine)(struct MpStory *story, const char *line);

static int
read_file(struct MpStory *story, const char *name, TakeLine take)
{
    char *line = NULL;
    size_t size = 0;
    FILE *file = fopen(name, "r");
    if (!file) {
        fprintf(stderr, "mimosapath explain: %s: %s\n", name, strerror(errno));
        return MP_EXIT_FAILED;
    }
    while (getline(&line, &size, file) >= 0) {
        take(story, line);
    }
    free(line);
    fclose(file);
    return MP_EXIT_OK;
}

static int
explain(const char *id, const struct arg_file *files)
{
    static const TakeLine readings[] = {MpStory_TakeOwn, MpStory_TakeContext};
    struct MpStory story;
    int status = MP_EXIT_OK;
    MpStory_Init(&story, id, CONTEXT_MS);
    for (size_t r = 0; r < G_N_ELEMENTS(readings); r++) {
        for (int i = 0; i < files->count && status == MP_EXIT_OK; i++) {
            status = read_file(&story, files->filename[i], readings[r]);
        }
    }
    if (status == MP_EXIT_OK && !MpStory_Tell(&story, stdout)) {
        fprintf(stderr,
                "mimosapath explain: no line names the request %s: it did "
                "not reach these instances, or their logs are not all here\n",
                id);
        status = MP_EXIT_FAILED;
    }
    MpStory_Done(&story);
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
        "Joins what the logs tell about a request, with the changes around "
        "it (~),\nand names the line that decided its outcome.");
    if (status < 0) {
        status = explain(id->sval[0], files);
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return status;
}
