#ifndef MP_COMMANDS_COMMAND_H
#define MP_COMMANDS_COMMAND_H

#include <argtable2.h>
#include <stdbool.h>

/*
 * Command - the subcommands of mimosapath.
 *
 * A command's main gets its own arguments, with its name first, and returns
 * the exit status: 0 when all is well, 1 when the work failed, 2 when the
 * call was wrong.
 */

#define MP_EXIT_OK 0
#define MP_EXIT_FAILED 1
#define MP_EXIT_USAGE 2

#define MP_VERSION "0.1.0"

struct MpCommand {
    const char *name;
    const char *text; /* one sentence for the overview */
    int (*main)(int argc, char **argv);
};

int MpCommandRun_Main(int argc, char **argv);
int MpCommandCheck_Main(int argc, char **argv);
int MpCommandTarget_Main(int argc, char **argv);
int MpCommandLoad_Main(int argc, char **argv);
int MpCommandStatus_Main(int argc, char **argv);
int MpCommandWorkspace_Main(int argc, char **argv);
int MpCommandTopup_Main(int argc, char **argv);
int MpCommandDocument_Main(int argc, char **argv);
int MpCommandLedger_Main(int argc, char **argv);
int MpCommandDrain_Main(int argc, char **argv);
int MpCommandExplain_Main(int argc, char **argv);

/*
 * Parses the arguments of a command; the table ends with help, version and
 * arg_end in this order.  Returns -1 when the command shall go on, else the
 * exit status: help and version were printed, or faults with a hint.
 */
int MpCommand_Parse(int argc, char **argv, void **table, const char *text);

/* The three rows that every table ends with. */
#define MP_COMMON_ARGS                                                        \
    arg_lit0("h", "help", "print this help and exit"),                        \
        arg_lit0(NULL, "version", "print the version and exit"), arg_end(20)

#endif
