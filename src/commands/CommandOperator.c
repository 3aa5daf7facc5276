#include "commands/Command.h"

#include "commands/HttpCall.h"
#include "state/Document.h"
#include "state/Error.h"
#include "state/TextDiff.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The commands for operators.  Each sends one request to the HTTP control API
 * (/control/v1) of an instance. */

/* The arguments of all commands for operators. */
struct operator_args {
    struct arg_str *address;
    struct arg_file *token;
};

static struct operator_args
operator_args(void)
{
    return (struct operator_args){
        .address = arg_str1("a", "address", "ADDRESS",
                            "operators' address of an instance"),
        .token = arg_file1("t", "token-file", "FILE", "operator token")};
}

/* Returns the header lines of a request, with the operator token, to be freed
 * by g_free.  Prints an error and returns NULL if the token can't be read. */
static char *
build_headers(const struct operator_args *args, const char *extra_headers)
{
    char *text = NULL;
    if (!g_file_get_contents(args->token->filename[0], &text, NULL, NULL)) {
        fprintf(stderr, "mimosapath: cannot read the token file %s\n",
                args->token->filename[0]);
        return NULL;
    }
    g_strstrip(text);
    char *header =
        g_strdup_printf("authorization: Bearer %s\r\n%s", text, extra_headers);
    g_free(text);
    return header;
}

/* Sends the request and waits for the response.  Prints an error and returns
 * MP_EXIT_FAILED unless the response has status 200. */
static int
perform(const struct operator_args *args, struct MpHttpCall *call,
        const char *extra_headers)
{
    char *headers = build_headers(args, extra_headers);
    if (!headers) {
        return MP_EXIT_FAILED;
    }
    call->address = args->address->sval[0];
    call->headers = headers;
    int code = MpHttpCall_Perform(call);
    g_free(headers);
    if (code != MP_OK) {
        fprintf(stderr, "mimosapath: %s: %s\n", call->address,
                MpError_Info(code)->message);
        return MP_EXIT_FAILED;
    }
    if (call->status != 200) {
        fprintf(stderr, "mimosapath: %s\n", call->response->str);
        return MP_EXIT_FAILED;
    }
    return MP_EXIT_OK;
}

static int
print_response(const struct operator_args *args, struct MpHttpCall *call,
               const char *extra_headers)
{
    int status = perform(args, call, extra_headers);
    if (status == MP_EXIT_OK) {
        struct json_object *root = json_tokener_parse(call->response->str);
        puts(root
                 ? json_object_to_json_string_ext(
                       root, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_SPACED)
                 : call->response->str);
        json_object_put(root);
    }
    MpHttpCall_Done(call);
    return status;
}

int
MpCommandStatus_Main(int argc, char **argv)
{
    struct operator_args args = operator_args();
    void *table[] = {args.address, args.token, MP_COMMON_ARGS};
    int status =
        MpCommand_Parse(argc, argv, table, "Shows the state of the fleet.");
    if (status < 0) {
        struct MpHttpCall call = {.method = "GET",
                                  .path = "/control/v1/status"};
        status = print_response(&args, &call, "");
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return status;
}

int
MpCommandWorkspace_Main(int argc, char **argv)
{
    struct operator_args args = operator_args();
    struct arg_str *name =
        arg_str1(NULL, NULL, "WORKSPACE", "name of the workspace");
    void *table[] = {args.address, args.token, name, MP_COMMON_ARGS};
    int status = MpCommand_Parse(argc, argv, table,
                                 "Shows the account of a workspace, mtok.");
    if (status < 0 && !MpSchema_IsName(name->sval[0])) {
        fprintf(stderr, "mimosapath workspace: \"%s\" is no name\n",
                name->sval[0]);
        status = MP_EXIT_USAGE;
    }
    if (status < 0) {
        char *path =
            g_strdup_printf("/control/v1/workspaces/%s", name->sval[0]);
        struct MpHttpCall call = {.method = "GET", .path = path};
        status = print_response(&args, &call, "");
        g_free(path);
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return status;
}

static int
topup(const struct operator_args *args, const char *workspace,
      const char *amount, const char *id)
{
    char *end;
    int64_t tokens = strtoll(amount, &end, 10);
    if (!MpSchema_IsName(workspace) || *end || tokens <= 0 ||
        tokens > INT64_C(1000000000000)) {
        fprintf(stderr, "mimosapath topup: WORKSPACE must be a name and "
                        "TOKENS from 1 to 1000000000000\n");
        return MP_EXIT_USAGE;
    }
    char *path =
        g_strdup_printf("/control/v1/workspaces/%s/topups", workspace);
    char *body = g_strdup_printf("{\"amount_mtok\":%" PRId64 "}",
                                 tokens * MP_MTOK_PER_TOKEN);
    char *header = g_strdup_printf("idempotency-key: %s\r\n", id);
    struct MpHttpCall call = {.method = "POST", .path = path, .body = body};
    int status = print_response(args, &call, header);
    g_free(header);
    g_free(body);
    g_free(path);
    return status;
}

int
MpCommandTopup_Main(int argc, char **argv)
{
    struct operator_args args = operator_args();
    struct arg_str *id = arg_str1(
        "i", "id", "ID", "name of this top-up; the same id counts once");
    struct arg_str *name =
        arg_str1(NULL, NULL, "WORKSPACE", "name of the workspace");
    struct arg_str *amount =
        arg_str1(NULL, NULL, "TOKENS", "amount, in whole tokens");
    void *table[] = {args.address, args.token, id,
                     name,         amount,     MP_COMMON_ARGS};
    int status = MpCommand_Parse(argc, argv, table,
                                 "Adds to the budget of a workspace.");
    if (status < 0) {
        status = topup(&args, name->sval[0], amount->sval[0], id->sval[0]);
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return status;
}

/* ---- zones ---- */

static int
order_zone(const struct operator_args *args, const char *verb,
           const char *zone, const char *id)
{
    if ((strcmp(verb, "drain") != 0 && strcmp(verb, "restore") != 0) ||
        !MpSchema_IsName(zone)) {
        fprintf(stderr, "mimosapath zone: VERB must be drain or restore, and "
                        "ZONE a name\n");
        return MP_EXIT_USAGE;
    }
    char *path = g_strdup_printf("/control/v1/zones/%s/%s", zone, verb);
    char *new_id = id ? g_strdup(id) : g_uuid_string_random();
    char *header = g_strdup_printf("idempotency-key: %s\r\n", new_id);
    struct MpHttpCall call = {.method = "POST", .path = path, .body = ""};
    int status = print_response(args, &call, header);
    g_free(header);
    g_free(new_id);
    g_free(path);
    return status;
}

int
MpCommandZone_Main(int argc, char **argv)
{
    struct operator_args args = operator_args();
    struct arg_str *id = arg_str0(
        "i", "id", "ID",
        "name of this order; the same id counts once (default: a new one)");
    struct arg_str *verb = arg_str1(NULL, NULL, "VERB", "drain or restore");
    struct arg_str *zone = arg_str1(NULL, NULL, "ZONE", "name of the zone");
    void *table[] = {args.address, args.token, id, verb, zone, MP_COMMON_ARGS};
    int status = MpCommand_Parse(
        argc, argv, table,
        "Takes a zone out of use: nothing more is sent to its targets. Or "
        "takes it into use again.");
    if (status < 0) {
        status = order_zone(&args, verb->sval[0], zone->sval[0],
                            id->count > 0 ? id->sval[0] : NULL);
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return status;
}

/* ---- document ---- */

static int
get_document(const struct operator_args *args, struct MpHttpCall *call)
{
    *call =
        (struct MpHttpCall){.method = "GET", .path = "/control/v1/document"};
    return perform(args, call, "");
}

static int
put_document(const struct operator_args *args, const char *text,
             const char *base, const char *id)
{
    char *header =
        g_strdup_printf("if-match: \"%s\"\r\nidempotency-key: %s\r\n"
                        "x-mimosapath-author: %s\r\n",
                        base, id, g_get_user_name());
    struct MpHttpCall call = {
        .method = "PUT", .path = "/control/v1/document", .body = text};
    int status = print_response(args, &call, header);
    g_free(header);
    return status;
}

static void
print_difference(const char *old_text, const char *new_text)
{
    static const char signs[] = {
        [MP_DIFF_SAME] = ' ', [MP_DIFF_REMOVED] = '-', [MP_DIFF_ADDED] = '+'};
    GPtrArray *lines = MpTextDiff_Lines(old_text, new_text);
    for (guint i = 0; i < lines->len; i++) {
        const struct MpDiffLine *line = g_ptr_array_index(lines, i);
        printf("%c%u: %s\n", signs[line->kind], line->number, line->text);
    }
    g_ptr_array_unref(lines);
}

static int
diff_document(const struct operator_args *args, const char *text)
{
    struct MpHttpCall call;
    int status = get_document(args, &call);
    if (status == MP_EXIT_OK) {
        printf("against version %s\n", call.etag ? call.etag : "?");
        print_difference(call.response->str, text);
    }
    MpHttpCall_Done(&call);
    return status;
}

static int
show_document(const struct operator_args *args, const char *version)
{
    char *path =
        version ? g_strdup_printf("/control/v1/document?version=%s", version)
                : g_strdup("/control/v1/document");
    struct MpHttpCall call = {.method = "GET", .path = path};
    int status = perform(args, &call, "");
    g_free(path);
    if (status == MP_EXIT_OK) {
        fprintf(stderr, "version %s\n", call.etag ? call.etag : "?");
        fputs(call.response->str, stdout);
    }
    MpHttpCall_Done(&call);
    return status;
}

static int
run_document_verb(const struct operator_args *args, const char *verb,
                  const char *file, const char *base, const char *id)
{
    char *text = NULL;
    int status;
    if (strcmp(verb, "get") == 0) {
        return show_document(args, base);
    }
    bool is_put = strcmp(verb, "put") == 0;
    if (!is_put && strcmp(verb, "diff") != 0) {
        fprintf(stderr,
                "mimosapath document: VERB must be get, put or diff\n");
        return MP_EXIT_USAGE;
    }
    if (!file || (is_put && (!base || !id))) {
        fprintf(stderr, "mimosapath document %s: needs --file%s\n", verb,
                is_put ? ", --base and --id" : "");
        return MP_EXIT_USAGE;
    }
    if (!g_file_get_contents(file, &text, NULL, NULL)) {
        fprintf(stderr, "mimosapath document: cannot read %s\n", file);
        return MP_EXIT_FAILED;
    }
    status = is_put ? put_document(args, text, base, id)
                    : diff_document(args, text);
    g_free(text);
    return status;
}

int
MpCommandDocument_Main(int argc, char **argv)
{
    struct operator_args args = operator_args();
    struct arg_str *verb = arg_str1(NULL, NULL, "VERB", "get, put or diff");
    struct arg_file *file =
        arg_file0("f", "file", "FILE", "document to put or compare");
    struct arg_str *base =
        arg_str0("b", "base", "VERSION",
                 "version that the change is based on, or version to "
                 "get");
    struct arg_str *id = arg_str0("i", "id", "ID",
                                  "name of this submission; the same id "
                                  "gets the first answer");
    void *table[] = {args.address, args.token, file,          base,
                     id,           verb,       MP_COMMON_ARGS};
    int status = MpCommand_Parse(argc, argv, table,
                                 "Gets, puts or compares the document.");
    if (status < 0) {
        status = run_document_verb(&args, verb->sval[0],
                                   file->count > 0 ? file->filename[0] : NULL,
                                   base->count > 0 ? base->sval[0] : NULL,
                                   id->count > 0 ? id->sval[0] : NULL);
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return status;
}

/* ---- ledger and drain ---- */

int
MpCommandLedger_Main(int argc, char **argv)
{
    struct operator_args args = operator_args();
    struct arg_str *instance = arg_str1("w", "write-off", "INSTANCE",
                                        "instance whose process has ended");
    struct arg_int *boot =
        arg_int1("b", "boot", "N", "its boot number, as status shows it");
    void *table[] = {args.address, args.token, instance, boot, MP_COMMON_ARGS};
    int status = MpCommand_Parse(
        argc, argv, table,
        "Frees the leases of an instance that will not come back. Only for "
        "a process that is known to have ended.");
    if (status < 0) {
        char *path = g_strdup_printf("/control/v1/instances/%s/writeoff",
                                     instance->sval[0]);
        char *body = g_strdup_printf("{\"boot\":%d}", boot->ival[0]);
        struct MpHttpCall call = {
            .method = "POST", .path = path, .body = body};
        status = print_response(&args, &call, "");
        g_free(body);
        g_free(path);
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return status;
}

int
MpCommandDrain_Main(int argc, char **argv)
{
    struct operator_args args = operator_args();
    void *table[] = {args.address, args.token, MP_COMMON_ARGS};
    int status = MpCommand_Parse(
        argc, argv, table,
        "Lets the instance at ADDRESS finish its requests and exit.");
    if (status < 0) {
        struct MpHttpCall call = {.method = "POST",
                                  .path = "/control/v1/drain"};
        status = print_response(&args, &call, "");
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return status;
}
