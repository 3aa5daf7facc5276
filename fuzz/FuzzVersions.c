#include "CheckedApply.h"
#include "Input.h"

#include "coordination/VersionView.h"
#include "state/Error.h"
#include "state/Machine.h"

#include <glib.h>
#include <string.h>

/*
 * FuzzVersions - fuzzes streams of one pool whose targets get other software
 * versions, on routers that are cut off and restarted, with a list that is
 * late, records that are late or lost, a quorum whose state is saved and
 * loaded, and wall clocks that jump by CLOCK_STEP_MS.
 *
 * Oracle: a stream that is taken up goes on at the version that began it.  Two
 * seconds after it began, and after the last change of the versions, a
 * connected router goes on with each stream of which no record was lost, if
 * its version still serves; without a record, as long as that is the base.  No
 * router begins a stream that has to wait for a record which it cannot get.
 */

#define ROUTERS 4
#define VERSIONS 3
#define STREAMS_MAX 64
/* Streams last up to this long, ms. */
#define STREAM_MS 20000
#define CLOCK_MARGIN_MS 5000
#define POOL "p"
#define SYNC_MS 250
#define READ_MS 500
#define OWN_READ_MS 300
#define LIST_LAG_MS 300
#define RECORD_MS 60
#define CLOCK_STEP_MS 2000
#define TAKE_UP_MS 2000

static const char *const names[VERSIONS] = {"v1", "v2", "v3"};

struct stream {
    bool is_begun; /* the caller has its first event */
    bool is_record_lost;
    bool needs_no_record;
    bool is_base_replaced; /* since it began, without a record */
    uint32_t router;
    uint32_t version;
    int64_t at_ms;
    int64_t recorded_ms; /* when the record reaches the quorum; 0: none yet */
    char id[MP_HASH_BYTES];
};

struct router {
    struct MpVersionView view;
    uint32_t listed; /* bits of the versions in its list */
    int64_t listed_ms;
    int64_t since_ms[VERSIONS]; /* when each came into the list */
    int64_t heard_ms;
    int64_t synced_ms;
    int64_t stable_ms; /* last restart or change of its connection */
    bool is_ready;
    bool is_cut;
};

struct fixture {
    struct FuzzInput *input;
    struct MpMachine machine;
    uint64_t index;
    struct router routers[ROUTERS];
    struct stream streams[STREAMS_MAX];
    uint32_t stream_count;
    uint32_t stream_ids; /* given so far */
    uint32_t serving;    /* bits of the versions whose targets run */
    uint32_t listed;     /* bits of the versions in the platform's list */
    uint32_t announced;  /* bits of those in the quorum */
    uint32_t list_next;
    int64_t list_next_ms;
    int64_t read_ms;
    int64_t announced_ms; /* last change of the versions in the quorum */
    int64_t clock_ms;     /* of the leader, ahead of the others */
    int64_t now_ms;
};

static const char *
get_base(const struct fixture *this)
{
    const struct MpPoolVersions *pool =
        g_hash_table_lookup(this->machine.versions.pools, POOL);
    return pool && pool->base ? pool->base : "";
}

static void
apply(struct fixture *this, const struct mp_command_body *body)
{
    struct mp_command command = {.at_ms = this->now_ms + this->clock_ms,
                                 .body = *body};
    struct mp_result result;
    CheckedApply(&this->machine, ++this->index, &command, &result);
    for (uint32_t i = 0; i < this->stream_count; i++) {
        struct stream *stream = &this->streams[i];
        if (strcmp(get_base(this), names[stream->version]) != 0) {
            stream->is_base_replaced = true;
        }
    }
}

/* ---- the quorum ---- */

static u_int
fill_names(uint32_t bits, struct mp_version_name *list)
{
    u_int count = 0;
    for (uint32_t i = 0; i < VERSIONS; i++) {
        if (bits & 1u << i) {
            list[count++].name = (char *)names[i];
        }
    }
    return count;
}

static void
announce(struct fixture *this)
{
    struct mp_version_name list[VERSIONS];
    struct mp_command_body body = {.kind = MP_CMD_VERSIONS};
    this->read_ms = this->now_ms;
    if (this->listed != this->announced) {
        this->announced = this->listed;
        this->announced_ms = this->now_ms;
    }
    body.mp_command_body_u.pool_versions = (struct mp_pool_versions){
        .pool = (char *)POOL,
        .list = {.list_val = list,
                 .list_len = fill_names(this->listed, list)}};
    apply(this, &body);
}

static void
record(struct fixture *this, struct stream *stream)
{
    struct mp_stream_begun begun = {.software =
                                        (char *)names[stream->version]};
    struct mp_command_body body = {.kind = MP_CMD_STREAMS_KEPT};
    struct mp_kept_streams *kept = &body.mp_command_body_u.kept_streams;
    memcpy(begun.id, stream->id, MP_HASH_BYTES);
    kept->streams.list.list_val = &begun;
    kept->streams.list.list_len = 1;
    kept->lasts_ms = STREAM_MS;
    apply(this, &body);
    stream->recorded_ms = -1;
    if (!stream->is_begun) {
        stream->is_begun = true;
        stream->at_ms = this->now_ms;
    }
}

static void
save_and_load(struct fixture *this)
{
    GBytes *bytes = MpMachine_Save(&this->machine);
    char *base = g_strdup(get_base(this));
    gsize size;
    const void *data = g_bytes_get_data(bytes, &size);
    if (MpMachine_Load(&this->machine, data, size) != MP_OK) {
        Fuzz_Fail("a snapshot cannot be loaded");
    }
    if (strcmp(base, get_base(this)) != 0) {
        Fuzz_Fail("a snapshot has base %s instead of %s", get_base(this),
                  base);
    }
    g_free(base);
    g_bytes_unref(bytes);
}

/* ---- routers ---- */

static void
take_list(struct fixture *this, struct router *router)
{
    for (uint32_t i = 0; i < VERSIONS; i++) {
        if (this->listed & ~router->listed & 1u << i) {
            router->since_ms[i] = this->now_ms;
        }
    }
    router->listed = this->listed;
    router->listed_ms = this->now_ms;
}

/* The router has read the list itself. */
static void
note_list(struct fixture *this, struct router *router)
{
    MpVersionView_BeginList(&router->view, router->heard_ms, this->now_ms);
    for (uint32_t i = 0; i < VERSIONS; i++) {
        if (this->listed & 1u << i) {
            MpVersionView_NoteListed(&router->view, POOL, names[i],
                                     this->now_ms);
        }
    }
}

static int64_t
age_of(int64_t at_ms, int64_t wall_ms)
{
    return at_ms < 0 ? -1 : MAX(wall_ms - at_ms, 0);
}

static void
sync_router(struct fixture *this, struct router *router)
{
    const struct MpPoolVersions *pool =
        g_hash_table_lookup(this->machine.versions.pools, POOL);
    struct mp_version_name list[VERSIONS];
    int64_t wall_ms = this->now_ms + this->clock_ms;
    router->synced_ms = this->now_ms;
    router->heard_ms = this->now_ms;
    take_list(this, router);
    router->is_ready = true;
    struct mp_pool_versions versions = {
        .pool = (char *)POOL,
        .list = {.list_val = list, .list_len = pool->names->len},
        .age_ms = age_of(pool->changed_ms, wall_ms)};
    struct mp_pool_base base = {.has_base = pool->base != NULL,
                                .base = pool->base ? pool->base : (char *)"",
                                .age_ms = age_of(pool->base_ms, wall_ms)};
    for (guint i = 0; i < pool->names->len; i++) {
        list[i].name = g_ptr_array_index(pool->names, i);
    }
    MpVersionView_Apply(&router->view, &versions, &base, 1, this->now_ms);
}

static void
restart(struct fixture *this, uint32_t number)
{
    struct router *router = &this->routers[number];
    MpVersionView_Done(&router->view);
    *router =
        (struct router){.is_cut = router->is_cut, .stable_ms = this->now_ms};
    MpVersionView_Init(&router->view);
    for (uint32_t i = 0; i < this->stream_count; i++) {
        struct stream *stream = &this->streams[i];
        if (stream->router == number && stream->recorded_ms >= 0 &&
            !stream->needs_no_record) {
            stream->is_record_lost = true;
            stream->recorded_ms = 0;
        }
    }
}

/* Returns whether the quorum takes streams without a record for those of a
 * version; it told so to routers that are connected. */
static bool
is_settled_base(const struct fixture *this, const struct router *router,
                uint32_t version)
{
    static const char id[MP_HASH_BYTES] = {"none"};
    const char *base =
        router->is_cut
            ? MpVersions_FindStream(&this->machine.versions, POOL, id,
                                    STREAM_MS, this->now_ms + this->clock_ms)
            : get_base(this);
    return base && strcmp(base, names[version]) == 0;
}

static void
begin_stream(struct fixture *this, uint32_t number)
{
    struct router *router = &this->routers[number];
    uint32_t version = FuzzInput_Below(this->input, VERSIONS);
    const struct MpVersionCandidate target = {.pool = POOL,
                                              .version = names[version],
                                              .listed_ms =
                                                  router->since_ms[version]};
    if (!router->is_ready || this->stream_count == STREAMS_MAX ||
        !(router->listed & this->serving & 1u << version) ||
        !MpVersionView_IsActive(&router->view, &target, router->heard_ms,
                                this->now_ms)) {
        return;
    }
    enum MpRecording recording =
        MpVersionView_GetRecording(&router->view, POOL, names[version],
                                   STREAM_MS, router->heard_ms, this->now_ms);
    if (recording == MP_RECORDING_FIRST &&
        this->now_ms - router->heard_ms >= MP_VERSION_LEASE_MS) {
        Fuzz_Fail("a stream of %s waits for a record %ld ms after the last "
                  "word of the quorum",
                  names[version], (long)(this->now_ms - router->heard_ms));
    }
    struct stream *stream = &this->streams[this->stream_count++];
    *stream = (struct stream){
        .is_begun = recording != MP_RECORDING_FIRST,
        .needs_no_record = recording == MP_RECORDING_NONE,
        .is_base_replaced = !is_settled_base(this, router, version),
        .router = number,
        .version = version,
        .at_ms = this->now_ms};
    this->stream_ids++;
    memcpy(stream->id, &this->stream_ids, sizeof(this->stream_ids));
    if (recording != MP_RECORDING_NONE) {
        stream->is_record_lost =
            router->is_cut || FuzzInput_Below(this->input, 16) == 0;
        stream->recorded_ms =
            stream->is_record_lost ? 0 : this->now_ms + RECORD_MS;
    }
}

/* Returns the version at which the router goes on, or NULL. */
static const char *
find_version(struct fixture *this, struct router *router,
             const struct stream *stream)
{
    const char *version = NULL;
    enum MpTakeUp how =
        MpVersionView_CheckTakeUp(&router->view, POOL, STREAM_MS,
                                  router->heard_ms, this->now_ms, &version);
    if (how == MP_TAKE_UP_SOLE) {
        return version;
    }
    return router->is_cut
               ? NULL
               : MpVersions_FindStream(&this->machine.versions, POOL,
                                       stream->id, STREAM_MS,
                                       this->now_ms + this->clock_ms);
}

static bool
is_stable(const struct fixture *this, const struct router *router)
{
    return !router->is_cut && this->now_ms - router->stable_ms > TAKE_UP_MS;
}

/* Returns whether the quorum must know where the stream began. */
static bool
is_known(const struct fixture *this, const struct stream *stream)
{
    if (stream->needs_no_record) {
        return !stream->is_base_replaced;
    }
    return !stream->is_record_lost &&
           is_stable(this, &this->routers[stream->router]);
}

static void
take_up(struct fixture *this, uint32_t number)
{
    struct router *router = &this->routers[number];
    if (!router->is_ready || this->stream_count == 0) {
        return;
    }
    const struct stream *stream =
        &this->streams[FuzzInput_Below(this->input, STREAMS_MAX) %
                       this->stream_count];
    int64_t age_ms = this->now_ms - stream->at_ms;
    if (!stream->is_begun ||
        age_ms > STREAM_MS + MP_TAKE_UP_MAX_MS - CLOCK_MARGIN_MS) {
        return;
    }
    const char *version = find_version(this, router, stream);
    bool is_serving = router->listed & this->serving & 1u << stream->version;
    if (version && strcmp(version, names[stream->version]) != 0) {
        for (uint32_t i = 0; i < VERSIONS; i++) {
            if (strcmp(version, names[i]) == 0 &&
                router->listed & this->serving & 1u << i) {
                Fuzz_Fail("a stream of %s goes on at %s after %ld ms",
                          names[stream->version], version, (long)age_ms);
            }
        }
    }
    bool is_settled = this->now_ms - this->announced_ms > TAKE_UP_MS;
    if (!version && is_serving && is_known(this, stream) &&
        age_ms > TAKE_UP_MS && age_ms < MP_TAKE_UP_MAX_MS && is_settled &&
        is_stable(this, router)) {
        Fuzz_Fail("a stream of %s is refused after %ld ms, though it still "
                  "serves",
                  names[stream->version], (long)age_ms);
    }
}

/* ---- time ---- */

/* The platform's list follows the targets; a version that leaves is taken off
 * the list before its targets stop. */
static void
change_targets(struct fixture *this)
{
    uint32_t bits = 1 + FuzzInput_Below(this->input, (1u << VERSIONS) - 1);
    if (this->list_next_ms > 0) {
        return;
    }
    this->serving |= bits;
    this->list_next = bits;
    this->list_next_ms = this->now_ms + LIST_LAG_MS;
}

static void
advance(struct fixture *this, int64_t step_ms)
{
    this->now_ms += step_ms;
    if (this->list_next_ms > 0 && this->now_ms >= this->list_next_ms) {
        this->listed = this->list_next;
        this->list_next_ms = 0;
    }
    if (this->now_ms - this->read_ms >= READ_MS) {
        announce(this);
        if (this->list_next_ms == 0 && FuzzInput_Below(this->input, 4) == 0) {
            this->serving = this->listed;
        }
    }
    for (uint32_t i = 0; i < this->stream_count; i++) {
        struct stream *stream = &this->streams[i];
        if (stream->recorded_ms > 0 && stream->recorded_ms <= this->now_ms &&
            !this->routers[stream->router].is_cut) {
            record(this, stream);
        }
    }
    for (uint32_t i = 0; i < ROUTERS; i++) {
        struct router *router = &this->routers[i];
        if (!router->is_cut && this->now_ms - router->synced_ms >= SYNC_MS) {
            sync_router(this, router);
        }
        if (router->is_cut &&
            this->now_ms - router->listed_ms >= OWN_READ_MS) {
            take_list(this, router);
            note_list(this, router);
        }
    }
}

static void
step(struct fixture *this)
{
    uint32_t kind = FuzzInput_Below(this->input, 64);
    uint32_t number = FuzzInput_Below(this->input, ROUTERS);
    if (kind < 14) {
        begin_stream(this, number);
    }
    else if (kind < 32) {
        take_up(this, number);
    }
    else if (kind < 56) {
        advance(this, 10 + 10 * FuzzInput_Below(this->input, 20));
    }
    else if (kind < 58) {
        change_targets(this);
    }
    else if (kind == 58) {
        this->routers[number].is_cut = !this->routers[number].is_cut;
        this->routers[number].stable_ms = this->now_ms;
    }
    else if (kind == 59) {
        restart(this, number);
    }
    else if (kind == 60) {
        save_and_load(this);
    }
    else if (kind == 61) {
        this->clock_ms = this->clock_ms ? 0 : CLOCK_STEP_MS;
    }
    else if (kind == 62) {
        for (uint32_t i = 0; i < ROUTERS; i++) {
            restart(this, i);
        }
        save_and_load(this);
    }
    else {
        /* Quiet for about as long as streams can be taken up, so that a sole
         * version is nearly trusted again. */
        for (int i = 0; i < 250; i++) {
            advance(this, SYNC_MS);
        }
        if (FuzzInput_Below(this->input, 2) == 0) {
            this->stream_count = 0;
        }
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct FuzzInput input = {.data = data, .size = size};
    struct fixture *this = g_new0(struct fixture, 1);
    this->input = &input;
    this->now_ms = 100000;
    this->serving = this->listed = 1;
    MpMachine_Init(&this->machine);
    for (uint32_t i = 0; i < ROUTERS; i++) {
        MpVersionView_Init(&this->routers[i].view);
    }
    announce(this);
    while (!FuzzInput_IsAtEnd(&input)) {
        Fuzz_Steps++;
        step(this);
    }
    for (uint32_t i = 0; i < ROUTERS; i++) {
        MpVersionView_Done(&this->routers[i].view);
    }
    MpMachine_Done(&this->machine);
    g_free(this);
    return 0;
}
