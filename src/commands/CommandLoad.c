#include "commands/Command.h"

#include <stdio.h>

int
MpCommandLoad_Main(int argc, char **argv)
{
    (void)argc;
    (void)argv;
    return MP_EXIT_USAGE;
}
