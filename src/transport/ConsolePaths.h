#ifndef MP_TRANSPORT_CONSOLE_PATHS_H
#define MP_TRANSPORT_CONSOLE_PATHS_H

#include "transport/Gateway.h"

/*
 * ConsolePaths - what the status page tells of paths and pools, as one
 * instance sees them.
 */

/* Appends a table of the targets of all pools. */
void MpConsolePaths_AppendTargets(GString *page, const struct MpGateway *from);

/* Appends a table of how requests on paths have ended since the start. */
void MpConsolePaths_AppendEnds(GString *page, const struct MpGateway *from);

#endif
