#include "transport/Secret.h"

#include "state/Error.h"
#include "transport/Log.h"

#include <string.h>

static bool
is_blank(const char *text, gsize size)
{
    for (gsize i = 0; i < size; i++) {
        if (text[i] != '\0' && !g_ascii_isspace(text[i])) {
            return false;
        }
    }
    return true;
}

int
MpSecret_Read(const struct MpSettings *settings, const char *what,
              const char *file, char **text, gsize *size)
{
    char *path = MpSettings_ResolvePath(settings, file);
    GError *error = NULL;
    *text = NULL;
    if (!g_file_get_contents(path, text, size, &error)) {
        MpLog_Event(LOG_ERR, "secret-unusable", "what=%s file=%s reason=%s",
                    what, file, error->message);
        g_error_free(error);
    }
    else if (is_blank(*text, *size)) {
        MpLog_Event(LOG_ERR, "secret-unusable", "what=%s file=%s reason=empty",
                    what, file);
        g_clear_pointer(text, g_free);
    }
    g_free(path);
    return *text ? MP_OK : MP_ERROR_AUTHENTICATION;
}
