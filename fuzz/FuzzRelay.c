#include "Input.h"

#include "protocol/ResponseReader.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/*
 * FuzzRelay - plays both sides of the relay at the byte level: requests on
 * connections that are kept, and targets that answer twice, late, torn, joined
 * or for another request, with and without ids.  What arrives is cut into
 * pieces at any byte.
 *
 * Each byte on a connection is labelled with the answer that it is of.
 * Oracle: what a caller gets is of one answer to its own request, in order; a
 * complete response is whole, and ends where its answer ends; status and
 * refusal are of the same answer; a connection is kept only after an answer
 * with the id of the request; and while targets write whole answers only, the
 * own answer is found.
 *
 * The choice of connections follows the rules of TargetConn: no id twice on
 * one connection, none that has carried a request for one without an id or for
 * HEAD, none with data that waits.
 */

#define CONNS 4
#define ID_HEADER "x-id"
#define NONE UINT32_MAX

struct request {
    uint32_t id; /* NONE: without an id */
    bool is_head;
};

/* What a target wrote, once, at one place. */
struct answer {
    uint32_t request;
    int status;
    uint32_t size; /* of the body */
    bool is_framed;
    bool has_id;
    uint32_t further_id; /* in a second id header, or NONE */
    bool is_refusal;
};

/* Where a byte on a connection comes from. */
struct origin {
    uint32_t answer;  /* NONE: of no answer */
    uint32_t body_at; /* offset in the body, NONE: not in the body */
    bool is_last;
};

struct conn {
    struct MpResponseReader reader;
    bool is_open;
    GByteArray *wire; /* all that the target wrote */
    GArray *origins;  /* of struct origin, one a byte */
    size_t read;      /* bytes of it that have arrived */
    GArray *ids;      /* that it has carried */
    GArray *written;  /* answers written here that may come again */
    uint32_t requests;
    uint32_t request;   /* under way, or NONE */
    uint32_t answer;    /* that its caller gets, or NONE */
    uint32_t body_next; /* offset of the next byte of the body */
    bool is_answered;
    bool is_clean; /* whole answers with a length and ids only */
    bool is_ended; /* the target writes no more */
};

static GArray *requests; /* of struct request */
static GArray *answers;  /* of struct answer */
static struct conn conns[CONNS];

static struct answer *
answer_at(uint32_t number)
{
    return &g_array_index(answers, struct answer, number);
}

static const struct request *
request_at(uint32_t number)
{
    return &g_array_index(requests, struct request, number);
}

/* ---- what the caller gets ---- */

static void
on_head(void *owner, const struct MpTargetHead *head)
{
    struct conn *this = owner;
    size_t size;
    const char *value = MpTargetHead_Find(head, "x-n", &size);
    if (this->answer != NONE) {
        Fuzz_Fail("request %u got two heads", this->request);
    }
    char *text = value ? g_strndup(value, size) : g_strdup("none");
    char *end;
    uint32_t number = (uint32_t)strtoul(text, &end, 10);
    if (*end || end == text || number >= answers->len ||
        answer_at(number)->request != this->request) {
        Fuzz_Fail("request %u got the head of answer %s", this->request, text);
    }
    g_free(text);
    if (answer_at(number)->status != head->status) {
        Fuzz_Fail("request %u got status %d", this->request, head->status);
    }
    bool is_refusal = MpTargetHead_Find(head, "x-not-run", &size) != NULL;
    if (is_refusal != answer_at(number)->is_refusal) {
        Fuzz_Fail("request %u got the refusal of another", this->request);
    }
    this->answer = number;
    this->body_next = 0;
}

static void
on_body(void *owner, const char *data, size_t size)
{
    struct conn *this = owner;
    size_t at = (size_t)((const guint8 *)data - this->wire->data);
    for (size_t i = at; i < at + size; i++) {
        const struct origin *origin =
            &g_array_index(this->origins, struct origin, i);
        if (origin->answer != this->answer ||
            origin->body_at != this->body_next) {
            Fuzz_Fail("request %u got byte %u of answer %u", this->request,
                      origin->body_at, origin->answer);
        }
        this->body_next++;
    }
}

static void
on_stray(void *owner, enum MpStrayReason reason,
         const struct MpTargetHead *head)
{
    (void)owner;
    (void)reason;
    (void)head;
}

static const struct MpResponseReaderClass reader_class = {
    .head = on_head, .body = on_body, .stray = on_stray};

/* ---- connections ---- */

static void
close_conn(struct conn *this)
{
    if (!this->is_open) {
        return;
    }
    MpResponseReader_Done(&this->reader);
    g_byte_array_unref(this->wire);
    g_array_unref(this->origins);
    g_array_unref(this->ids);
    g_array_unref(this->written);
    this->is_open = false;
}

static void
open_conn(struct conn *this)
{
    close_conn(this);
    *this = (struct conn){
        .is_open = true,
        .wire = g_byte_array_new(),
        .origins = g_array_new(false, false, sizeof(struct origin)),
        .ids = g_array_new(false, false, sizeof(uint32_t)),
        .written = g_array_new(false, false, sizeof(uint32_t)),
        .request = NONE,
        .answer = NONE,
        .is_clean = true};
    MpResponseReader_Init(&this->reader, &reader_class, this);
}

static bool
has_carried(const struct conn *this, uint32_t id)
{
    for (guint i = 0; i < this->ids->len; i++) {
        if (g_array_index(this->ids, uint32_t, i) == id) {
            return true;
        }
    }
    return false;
}

static void
start_request(struct conn *this, struct FuzzInput *input)
{
    if (this->is_open && this->request != NONE) {
        return;
    }
    uint32_t kind = FuzzInput_Below(input, 16);
    struct request request = {.id = requests->len, .is_head = kind == 0};
    if (kind == 1) {
        request.id = NONE;
    }
    else if (kind < 5 && requests->len > 0) {
        request.id = request_at(FuzzInput_Byte(input) % requests->len)->id;
    }
    bool has_arrived = this->is_open && this->read < this->wire->len &&
                       FuzzInput_Below(input, 2);
    if (!this->is_open || request.is_head || request.id == NONE ||
        has_carried(this, request.id) || has_arrived) {
        open_conn(this);
    }
    g_array_append_val(requests, request);
    g_array_append_val(this->ids, request.id);
    this->request = requests->len - 1;
    this->answer = NONE;
    this->is_answered = false;
    this->requests++;
    char *id =
        request.id == NONE ? NULL : g_strdup_printf("id-%u", request.id);
    MpResponseReader_Start(
        &this->reader,
        &(struct MpExpectedResponse){.id_header = ID_HEADER,
                                     .id = id,
                                     .is_head = request.is_head,
                                     .is_new_conn = this->requests == 1});
    g_free(id);
}

/* ---- what the target writes ---- */

static void
write_bytes(struct conn *this, const char *data, size_t size, uint32_t answer,
            uint32_t body_at)
{
    for (size_t i = 0; i < size; i++) {
        struct origin origin = {.answer = answer, .body_at = body_at};
        g_array_append_val(this->origins, origin);
        body_at += body_at != NONE;
    }
    g_byte_array_append(this->wire, (const guint8 *)data, (guint)size);
}

static void
write_text(struct conn *this, const char *text, uint32_t answer)
{
    write_bytes(this, text, strlen(text), answer, NONE);
}

static void
write_body(struct conn *this, uint32_t number, bool is_chunked,
           struct FuzzInput *input)
{
    uint32_t size = answer_at(number)->size;
    for (uint32_t at = 0; at < size;) {
        uint32_t step = is_chunked ? 1 + FuzzInput_Below(input, 40) : size;
        step = MIN(step, size - at);
        char *text = g_strnfill(step, (char)('a' + number % 26));
        if (is_chunked) {
            char *line = g_strdup_printf("%x\r\n", step);
            write_text(this, line, number);
            g_free(line);
        }
        write_bytes(this, text, step, number, at);
        if (is_chunked) {
            write_text(this, "\r\n", number);
        }
        g_free(text);
        at += step;
    }
    if (is_chunked) {
        write_text(this, "0\r\n\r\n", number);
    }
}

static void
write_id(GString *head, const char *name, uint32_t id)
{
    if (id != NONE) {
        g_string_append_printf(head, "%s: id-%u\r\n", name, id);
    }
}

/* Writes an answer as a new one; it has the id only if has_id. */
static uint32_t
write_answer(struct conn *this, const struct answer *model,
             struct FuzzInput *input)
{
    struct answer answer = *model;
    const struct request *request = request_at(answer.request);
    uint32_t number = answers->len;
    answer.has_id = answer.has_id && request->id != NONE;
    g_array_append_val(answers, answer);
    uint32_t order = FuzzInput_Below(input, 8);
    bool is_chunked = answer.is_framed && (order & 1);
    bool has_body =
        !request->is_head && answer.status != 204 && answer.status != 304;
    GString *head = g_string_new(NULL);
    g_string_printf(head, "HTTP/1.1 %d Some reason\r\n", answer.status);
    if (order & 2) {
        g_string_append_printf(head, "x-n: %u\r\n", number);
    }
    if (answer.is_refusal) {
        g_string_append(head, "x-not-run: 1\r\n");
    }
    write_id(head, ID_HEADER, answer.has_id ? request->id : NONE);
    write_id(head, "X-Id", answer.has_id ? answer.further_id : NONE);
    g_string_append(head, "x-via: somewhere\r\n");
    if (!(order & 2)) {
        g_string_append_printf(head, "x-n: %u\r\n", number);
    }
    if (is_chunked && has_body) {
        g_string_append(head, "Transfer-Encoding: chunked\r\n");
    }
    else if (answer.is_framed && answer.status != 204) {
        g_string_append_printf(head, "Content-Length: %u\r\n", answer.size);
    }
    g_string_append(head, "\r\n");
    write_text(this, head->str, number);
    g_string_free(head, TRUE);
    if (!has_body) {
        answer_at(number)->size = 0;
    }
    write_body(this, number, is_chunked && has_body, input);
    g_array_index(this->origins, struct origin, this->origins->len - 1)
        .is_last = true;
    this->is_clean = this->is_clean && answer.is_framed && answer.has_id &&
                     !request->is_head;
    return number;
}

/* Takes the last bytes of what was written from start on away. */
static void
tear(struct conn *this, size_t start, struct FuzzInput *input)
{
    size_t size = this->wire->len - start;
    size_t keep = (size_t)FuzzInput_Byte(input) * 256 + FuzzInput_Byte(input);
    g_byte_array_set_size(this->wire, (guint)(start + keep % size));
    g_array_set_size(this->origins, this->wire->len);
    this->is_clean = false;
}

static void
write_interim(struct conn *this, struct FuzzInput *input)
{
    static const char *const texts[] = {
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 103 Hints\r\nlink: <a>\r\n\r\n",
        "HTTP/1.1 102 Wait\r\nx-id: id-0\r\nx-n: 0\r\n\r\n"};
    write_text(this, texts[FuzzInput_Below(input, G_N_ELEMENTS(texts))], NONE);
}

/* The target answers the request under way. */
static void
write_own(struct conn *this, struct FuzzInput *input)
{
    static const int statuses[] = {200, 200, 200, 204, 304, 404, 500, 200};
    if (!this->is_open || this->request == NONE || this->is_answered ||
        this->is_ended) {
        return;
    }
    uint32_t kind = FuzzInput_Below(input, 16);
    size_t start = this->wire->len;
    uint32_t id = request_at(this->request)->id;
    struct answer answer = {.request = this->request,
                            .status = statuses[FuzzInput_Below(input, 8)],
                            .size = FuzzInput_Below(input, 200),
                            .is_framed = kind != 1,
                            .has_id = kind != 2 && kind != 3,
                            .further_id = kind == 7 ? id : NONE};
    if (kind == 4 || kind == 5) {
        answer.status = 503;
        answer.is_refusal = true;
    }
    for (uint32_t i = FuzzInput_Below(input, 4); i > 2; i--) {
        write_interim(this, input);
    }
    uint32_t number = write_answer(this, &answer, input);
    this->is_answered = true;
    g_array_append_val(this->written, number);
    if (kind == 6 || (kind == 1 && FuzzInput_Below(input, 2))) {
        tear(this, start, input);
    }
    /* After a torn answer nothing can be told apart any more. */
    this->is_ended = kind == 1 || kind == 6;
}

/* The target writes an answer once more, with or without its id, perhaps only
 * a part of it. */
static void
write_again(struct conn *this, struct conn *from, struct FuzzInput *input)
{
    if (!this->is_open || !from->is_open || this->is_ended ||
        from->written->len == 0 || (this->request == NONE && this != from)) {
        return;
    }
    uint32_t number = g_array_index(
        from->written, uint32_t, FuzzInput_Byte(input) % from->written->len);
    struct answer answer = *answer_at(number);
    uint32_t id = request_at(answer.request)->id;
    if (this != from && (id == NONE || has_carried(this, id))) {
        return;
    }
    size_t start = this->wire->len;
    uint32_t kind = FuzzInput_Below(input, 8);
    /* An answer to another connection first comes with its id. */
    answer.has_id = this != from || kind > 2;
    answer.further_id =
        kind == 6 && this->request != NONE && answer.request != this->request
            ? request_at(this->request)->id
            : NONE;
    write_answer(this, &answer, input);
    if (this != from) {
        /* The same id on two connections tells nothing apart. */
        g_array_append_val(this->ids, id);
        this->is_clean = false;
    }
    if (this != from && kind < 2) {
        answer.has_id = false;
        write_answer(this, &answer, input);
    }
    if (kind == 7) {
        tear(this, start, input);
        this->is_ended = answer.request == this->request;
    }
}

static void
write_junk(struct conn *this, struct FuzzInput *input)
{
    static const char *const texts[] = {
        "x", "\r\n", "0\r\n\r\n", "more of it\r\n\r\n",
        "HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nnobody's."};
    if (!this->is_open || this->is_ended || this->request == NONE ||
        !this->is_answered) {
        return;
    }
    write_text(this, texts[FuzzInput_Below(input, G_N_ELEMENTS(texts))], NONE);
    this->is_clean = false;
}

/* ---- what arrives ---- */

static void
complete(struct conn *this, size_t end, bool is_all_used)
{
    const struct origin *last =
        &g_array_index(this->origins, struct origin, end - 1);
    const struct answer *answer = answer_at(this->answer);
    if (last->answer != this->answer || !last->is_last) {
        Fuzz_Fail("request %u is complete elsewhere than its answer",
                  this->request);
    }
    if (!request_at(this->request)->is_head &&
        this->body_next != answer->size) {
        Fuzz_Fail("request %u is complete with %u bytes of %u", this->request,
                  this->body_next, answer->size);
    }
    bool may_keep = MpResponseReader_MayKeep(&this->reader);
    if (may_keep && !answer->has_id) {
        Fuzz_Fail("connection kept after an answer without an id");
    }
    this->request = NONE;
    if (!may_keep || !is_all_used) {
        close_conn(this);
    }
}

static void
check_found(const struct conn *this)
{
    if (this->is_open && this->request != NONE && this->is_answered &&
        this->is_clean && this->read == this->wire->len) {
        Fuzz_Fail("request %u did not get its answer", this->request);
    }
}

static void
deliver(struct conn *this, size_t size)
{
    bool is_end = false;
    if (!this->is_open) {
        return;
    }
    size = MIN(size, this->wire->len - this->read);
    if (size == 0) {
        if (!this->is_ended) {
            return;
        }
        is_end = true;
    }
    if (this->request == NONE) {
        close_conn(this);
        return;
    }
    size_t used;
    const char *data = (const char *)this->wire->data + this->read;
    enum MpReadResult result =
        MpResponseReader_Read(&this->reader, data, size, is_end, &used);
    size_t end = this->read + used;
    this->read += size;
    switch (result) {
    case MP_READ_MORE:
        check_found(this);
        break;
    case MP_READ_COMPLETE:
        complete(this, end, used == size);
        break;
    default:
        close_conn(this);
        break;
    }
}

static void
run_step(struct FuzzInput *input)
{
    static const uint8_t sizes[] = {1, 2, 7, 30, 90, 255, 255, 255};
    uint32_t step = FuzzInput_Below(input, 16);
    struct conn *conn = &conns[FuzzInput_Below(input, CONNS)];
    Fuzz_Steps++;
    switch (step) {
    case 0:
    case 1:
    case 2:
        start_request(conn, input);
        break;
    case 3:
    case 4:
    case 5:
        write_own(conn, input);
        break;
    case 6:
    case 7:
        write_again(conn, conn, input);
        break;
    case 8:
        write_again(conn, &conns[FuzzInput_Below(input, CONNS)], input);
        break;
    case 9:
        write_junk(conn, input);
        break;
    case 10:
        if (FuzzInput_Below(input, 8) == 0) {
            close_conn(conn); /* the caller has left, or a timeout */
        }
        break;
    default:
        deliver(conn, sizes[FuzzInput_Below(input, 8)]);
        break;
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct FuzzInput input = {.data = data, .size = size};
    requests = g_array_new(false, false, sizeof(struct request));
    answers = g_array_new(false, false, sizeof(struct answer));
    while (!FuzzInput_IsAtEnd(&input)) {
        run_step(&input);
    }
    for (uint32_t i = 0; i < CONNS; i++) {
        close_conn(&conns[i]);
    }
    g_array_unref(requests);
    g_array_unref(answers);
    return 0;
}
