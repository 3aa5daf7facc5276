#include "commands/Command.h"

#include <stdio.h>
#include <string.h>

static const struct MpCommand commands[] = {
    {.name = "run", .summary = "run an instance", .main = MpCommandRun_Main},
    {.name = "check",
     .summary = "check settings or a document and print every error",
     .main = MpCommandCheck_Main},
    {.name = "status",
     .summary = "show the state of the fleet",
     .main = MpCommandStatus_Main},
    {.name = "workspace",
     .summary = "show the account of a workspace",
     .main = MpCommandWorkspace_Main},
    {.name = "topup",
     .summary = "add to the budget of a workspace",
     .main = MpCommandTopup_Main},
    {.name = "zone",
     .summary = "take a zone out of use, or into use again",
     .main = MpCommandZone_Main},
    {.name = "document",
     .summary = "get, put or compare the document",
     .main = MpCommandDocument_Main},
    {.name = "ledger",
     .summary = "write off the leases of an instance that has ended",
     .main = MpCommandLedger_Main},
    {.name = "drain",
     .summary = "let an instance finish its requests and exit",
     .main = MpCommandDrain_Main},
    {.name = "explain",
     .summary = "explain the outcome of a request from the logs",
     .main = MpCommandExplain_Main},
    {.name = "target",
     .summary = "run a simulated model engine or service",
     .main = MpCommandTarget_Main},
    {.name = "load",
     .summary = "send requests and account for their outcome",
     .main = MpCommandLoad_Main},
    {.name = NULL},
};

static void
print_overview(FILE *out)
{
    fprintf(out, "usage: mimosapath COMMAND [OPTION ...]\n\n");
    for (const struct MpCommand *command = commands; command->name;
         command++) {
        fprintf(out, "  %-10s %s\n", command->name, command->summary);
    }
    fprintf(out, "\nmimosapath COMMAND --help lists the options.\n");
}

int
MpCommand_Parse(int argc, char **argv, void **table, const char *description)
{
    int rows = 0;
    while (((struct arg_hdr *)table[rows])->flag != ARG_TERMINATOR) {
        rows++;
    }
    struct arg_end *end = table[rows];
    struct arg_lit *version = table[rows - 1];
    struct arg_lit *help = table[rows - 2];
    int errors = arg_parse(argc, argv, table);
    if (help->count > 0) {
        printf("usage: mimosapath %s", argv[0]);
        arg_print_syntax(stdout, table, "\n");
        printf("%s\n\n", description);
        arg_print_glossary(stdout, table, "  %-32s %s\n");
        return MP_EXIT_OK;
    }
    if (version->count > 0) {
        printf("mimosapath %s\n", MP_VERSION);
        return MP_EXIT_OK;
    }
    if (errors > 0) {
        char name[64];
        snprintf(name, sizeof(name), "mimosapath %s", argv[0]);
        arg_print_errors(stderr, end, name);
        fprintf(stderr, "%s --help lists the options.\n", name);
        return MP_EXIT_USAGE;
    }
    return -1;
}

int
main(int argc, char **argv)
{
    if (argc < 2) {
        print_overview(stderr);
        return MP_EXIT_USAGE;
    }
    if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-h") == 0) {
        print_overview(stdout);
        return MP_EXIT_OK;
    }
    if (strcmp(argv[1], "--version") == 0) {
        printf("mimosapath %s\n", MP_VERSION);
        return MP_EXIT_OK;
    }
    for (const struct MpCommand *command = commands; command->name;
         command++) {
        if (strcmp(command->name, argv[1]) == 0) {
            return command->main(argc - 1, argv + 1);
        }
    }
    fprintf(stderr,
            "mimosapath: there is no command \"%s\"; mimosapath --help "
            "lists them.\n",
            argv[1]);
    return MP_EXIT_USAGE;
}
