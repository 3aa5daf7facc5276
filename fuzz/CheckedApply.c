#include "CheckedApply.h"
#include "Input.h"

#include "state/Codec.h"
#include "state/Error.h"

/* Returns the state but for the answers to submissions of documents, which are
 * kept for repeated ones whether they were accepted or not. */
static GBytes *
save_state(const struct MpMachine *machine)
{
    struct mp_machine_image image;
    gsize size;
    gsize used;
    gsize state_size;
    GBytes *bytes = MpMachine_Save(machine);
    const char *data = g_bytes_get_data(bytes, &size);
    if (MpCodec_DecodePrefix(MP_XDR(mp_machine_image), &image, data, size,
                             sizeof(image), &used) != MP_OK) {
        Fuzz_Fail("cannot decode a snapshot");
    }
    u_int submissions = image.submissions.submissions_len;
    image.submissions.submissions_len = 0;
    GBytes *encoded = MpCodec_Encode(MP_XDR(mp_machine_image), &image);
    image.submissions.submissions_len = submissions;
    MpCodec_Free(MP_XDR(mp_machine_image), &image);
    /* The parts behind the image stay as they are. */
    guint8 *state = g_bytes_unref_to_data(encoded, &state_size);
    GByteArray *all = g_byte_array_new_take(state, state_size);
    g_byte_array_append(all, (const guint8 *)data + used,
                        (guint)(size - used));
    g_bytes_unref(bytes);
    return g_byte_array_free_to_bytes(all);
}

/* A report of a crash is counted, and its code tells whether the request may
 * run again.  A request for budget that lies in leases starts their recall. */
static bool
is_refused(const struct mp_command_body *body, int code)
{
    bool is_report = body->kind == MP_CMD_TRIAL &&
                     body->mp_command_body_u.trial.kind == MP_TRIAL_CRASH;
    return code != MP_OK && code != MP_ERROR_RECALLING && !is_report;
}

int
CheckedApply(struct MpMachine *machine, uint64_t index,
             const struct mp_command *command, struct mp_result *result)
{
    /* What expires by then does so before the command. */
    const struct mp_command none = {.at_ms = command->at_ms,
                                    .body = {.kind = MP_CMD_NONE}};
    MpMachine_Apply(machine, index, &none, result);
    GBytes *before = save_state(machine);
    int code = MpMachine_Apply(machine, index, command, result);
    if (is_refused(&command->body, code)) {
        GBytes *after = save_state(machine);
        if (!g_bytes_equal(before, after)) {
            Fuzz_Fail("command %d was refused with %d and changed the state",
                      command->body.kind, code);
        }
        g_bytes_unref(after);
    }
    g_bytes_unref(before);
    return code;
}
