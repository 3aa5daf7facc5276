#ifndef MP_TRANSPORT_INSTANCE_H
#define MP_TRANSPORT_INSTANCE_H

#include "state/Settings.h"

/*
 * Instance - one process of the fleet: its roles joined on one loop.
 */

/* Runs until a signal or a fatal failure.  file is where the settings came
 * from: it is read again on SIGHUP, and when it has changed.  Returns MP_OK
 * after a drain, or the error that ended the instance. */
int MpInstance_Run(const struct MpSettings *settings, const char *file);

#endif
