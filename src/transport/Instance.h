#ifndef MP_TRANSPORT_INSTANCE_H
#define MP_TRANSPORT_INSTANCE_H

#include "state/Settings.h"

/*
 * Instance - one mimosapath process: runs its roles (control replica, router
 * or relay) and the operator API on one event loop.
 */

/* Runs until SIGTERM, SIGINT or a fatal failure.  file is the settings file:
 * it is read again on SIGHUP and when it has changed.  Returns MP_OK after a
 * drain, or the error that ended the instance. */
int MpInstance_Run(const struct MpSettings *settings, const char *file);

#endif
