#include "commands/Command.h"

#include "protocol/Dialect.h"
#include "state/Document.h"
#include "state/Settings.h"

#include <stdio.h>

static int
report(const GPtrArray *findings, const char *name)
{
    char *text = MpFindings_Format(findings, name);
    fputs(text, stderr);
    g_free(text);
    if (findings->len == 0) {
        printf("%s: ok\n", name);
        return MP_EXIT_OK;
    }
    return MP_EXIT_FAILED;
}

static int
check_settings(const char *name)
{
    GPtrArray *findings = MpFindings_New();
    struct MpSettings *settings = MpSettings_Load(name, findings);
    if (settings) {
        MpDialect_Check(settings->dialect, findings);
    }
    MpSettings_Delete(settings);
    int status = report(findings, name);
    g_ptr_array_unref(findings);
    return status;
}

static int
check_document(const char *name)
{
    GPtrArray *findings = MpFindings_New();
    GError *error = NULL;
    char *text = NULL;
    gsize size;
    if (g_file_get_contents(name, &text, &size, &error)) {
        MpDocument_Unref(MpDocument_Parse(text, size, findings));
    }
    else {
        MpFindings_Add(findings, MP_FINDING_SYNTAX, 0, "", "%s",
                       error->message);
        g_error_free(error);
    }
    int status = report(findings, name);
    g_ptr_array_unref(findings);
    g_free(text);
    return status;
}

static void
describe(void)
{
    GString *out = g_string_new("## Settings\n");
    MpSchema_Describe(&MpSettings_Schema, out);
    g_string_append(out, "\n## Document\n");
    MpSchema_Describe(&MpDocument_Schema, out);
    fputs(out->str, stdout);
    g_string_free(out, TRUE);
}

int
MpCommandCheck_Main(int argc, char **argv)
{
    struct arg_file *settings =
        arg_filen("s", "settings", "FILE", 0, 64, "settings to check");
    struct arg_file *documents =
        arg_filen("d", "document", "FILE", 0, 64, "document to check");
    struct arg_lit *table_text =
        arg_lit0(NULL, "describe", "print all keys of settings and document");
    void *table[] = {settings, documents, table_text, MP_COMMON_ARGS};
    int status =
        MpCommand_Parse(argc, argv, table,
                        "Checks files and prints every fault with its place.");
    if (status < 0) {
        status = MP_EXIT_OK;
        if (table_text->count > 0) {
            describe();
        }
        else if (settings->count + documents->count == 0) {
            fprintf(stderr, "mimosapath check: name a file with --settings "
                            "or --document.\n");
            status = MP_EXIT_USAGE;
        }
        for (int i = 0; i < settings->count; i++) {
            int one = check_settings(settings->filename[i]);
            status = one != MP_EXIT_OK ? one : status;
        }
        for (int i = 0; i < documents->count; i++) {
            int one = check_document(documents->filename[i]);
            status = one != MP_EXIT_OK ? one : status;
        }
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return status;
}
