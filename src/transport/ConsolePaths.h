#ifndef MP_TRANSPORT_CONSOLE_PATHS_H
#define MP_TRANSPORT_CONSOLE_PATHS_H

#include "transport/Gateway.h"

/*
 * ConsolePaths - the status page's tables about paths and pools, from the
 * state of this instance.
 */

/* Appends a table of the targets of all pools. */
void MpConsolePaths_AppendTargets(GString *page, const struct MpGateway *from);

/* Appends a table of request counts on paths by outcome since the start. */
void MpConsolePaths_AppendOutcomes(GString *page,
                                   const struct MpGateway *from);

#endif
