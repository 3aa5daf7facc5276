#ifndef MP_COMMANDS_COMMAND_H
#define MP_COMMANDS_COMMAND_H

#include <argtable2.h>
#include <stdbool.h>

/*
 * Command - the subcommands of the program mimosapath.
 *
 * The main function of a command gets the command's name in argv[0] and its
 * arguments after it, and returns one of the exit statuses below.
 */

#define MP_EXIT_OK 0
#define MP_EXIT_FAILED 1
#define MP_EXIT_USAGE 2 /* wrong arguments */

#define MP_VERSION "0.1.0"

struct MpCommand {
    const char *name;
    const char *summary; /* one line for the list of commands */
    int (*main)(int argc, char **argv);
};

int MpCommandRun_Main(int argc, char **argv);
int MpCommandCheck_Main(int argc, char **argv);
int MpCommandTarget_Main(int argc, char **argv);
int MpCommandLoad_Main(int argc, char **argv);
int MpCommandStatus_Main(int argc, char **argv);
int MpCommandWorkspace_Main(int argc, char **argv);
int MpCommandTopup_Main(int argc, char **argv);
int MpCommandZone_Main(int argc, char **argv);
int MpCommandDocument_Main(int argc, char **argv);
int MpCommandLedger_Main(int argc, char **argv);
int MpCommandDrain_Main(int argc, char **argv);
int MpCommandExplain_Main(int argc, char **argv);

/*
 * Parses the arguments of a command into table, an argtable that ends with
 * MP_COMMON_ARGS.  Prints the help (with description), the version or the
 * errors in the arguments.  Returns -1 when the command is to be executed,
 * else the exit status.
 */
int MpCommand_Parse(int argc, char **argv, void **table,
                    const char *description);

/* The last three entries of each argtable: help, version and arg_end. */
#define MP_COMMON_ARGS                                                        \
    arg_lit0("h", "help", "print this help and exit"),                        \
        arg_lit0(NULL, "version", "print the version and exit"), arg_end(20)

#endif
