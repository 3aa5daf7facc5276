#ifndef MP_STATE_SETTINGS_H
#define MP_STATE_SETTINGS_H

#include "state/Schema.h"

/*
 * Settings - what one process reads at its start.
 *
 * The file is JSON with comments.  Relative file names are relative to the
 * folder of the settings file.
 */

struct MpListen {
    char *callers;
    char *operators;
    char *rpc;
};

struct MpPeer {
    char *instance;
    char *rpc;
};

struct MpSettings {
    char *instance;
    char *zone;
    struct MpListen listen;
    GPtrArray *roles;
    GPtrArray *control; /* of struct MpPeer */
    char *data_folder;
    char *fleet_key_file;
    char *operator_token_file;
    char *first_document;
    int64_t drain_ms;
    int64_t body_most_bytes;
    int64_t requests_most;
    int32_t routing; /* enum MpPickPolicy */
    bool is_router;
    bool is_control;
    char *folder;
};

extern const struct MpSchema MpSettings_Schema;

/* Validates text; relative names are relative to folder.  Returns the
 * settings or NULL with findings. */
struct MpSettings *MpSettings_Parse(const char *text, size_t size,
                                    const char *folder, GPtrArray *findings);

/* Reads and validates a file.  Returns the settings or NULL with findings.
 * Errors of the file itself are findings too. */
struct MpSettings *MpSettings_Load(const char *name, GPtrArray *findings);
void MpSettings_Delete(struct MpSettings *this);

/* Returns name as a path relative to the settings file; free with g_free. */
char *MpSettings_Path(const struct MpSettings *this, const char *name);

#endif
