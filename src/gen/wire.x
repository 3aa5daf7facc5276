/*
 * XDR types of everything that instances and control replicas send to each
 * other or store: commands of the replicated log and their results, Raft
 * messages, RPC calls, the snapshot and the offline journal.  Amounts are in
 * thousandths of a token (mtok), times in milliseconds.
 *
 * Requests are of two kinds.  Native requests (chat and service calls of the
 * product's own HTTP API) have a record in the ledger each.  Requests on
 * paths (HTTP paths that the document defines) have none; routers report what
 * those have spent as sums.
 */

const MP_NAME_MAX = 64;
const MP_KEY_MAX = 160;
const MP_HASH_BYTES = 16;
const MP_PARTS_MAX_BYTES = 512; /* fingerprints of the parts of a prompt */
const MP_NONCE_BYTES = 16;
const MP_ADDRESS_MAX = 64;
const MP_ANSWER_MAX = 16384;
const MP_TEXT_MAX = 4194304;
const MP_PAYLOAD_MAX = 4259840;
const MP_ENTRIES_MAX = 1024;
const MP_MEMBERS_MAX = 16;
const MP_CHUNK_MAX = 262144;
const MP_RECALLS_MAX = 1024;
const MP_GRANTS_MAX = 65536;
const MP_TARGETS_MAX = 4096;
const MP_LENDERS_MAX = 4096;
const MP_POOLS_MAX = 1024;
const MP_POOL_VERSIONS_MAX = 64;
const MP_FORMER_VERSIONS_MAX = 64;
const MP_STREAMS_MAX = 4096;
const MP_ZONES_MAX = 256;

/* One incarnation of an instance; each registration starts a new one. */
struct mp_incarnation {
    string instance<MP_NAME_MAX>;
    unsigned hyper boot; /* counts registrations; never reused */
};

/* Commands of the replicated log. */
enum mp_command_kind {
    MP_CMD_NONE = 0,
    MP_CMD_REGISTER = 1,     /* start an incarnation of an instance */
    MP_CMD_FENCE = 2,        /* end an incarnation and close its records */
    MP_CMD_DOCUMENT = 3,     /* replace the document (configuration) */
    MP_CMD_TOPUP = 4,        /* add to the budget of a workspace */
    MP_CMD_OPEN = 5,         /* open the record of a native request */
    MP_CMD_SETTLE = 6,       /* close the record of a native request */
    MP_CMD_LEASE = 7,        /* get a lease for native requests */
    MP_CMD_LEASE_RETURN = 8, /* return a lease for native requests */
    MP_CMD_OFFLINE = 9,      /* bill a request that ran without the quorum */
    MP_CMD_WRITEOFF = 10,    /* drop leases of incarnations that have ended */
    MP_CMD_POISON = 11,      /* report a crash under a native request */
    MP_CMD_SLICES = 12,      /* report slices and request their new sizes */
    MP_CMD_TRIAL = 13,       /* trial of a suspect request on a path */
    MP_CMD_VERSIONS = 14,    /* set the software versions of a pool */
    MP_CMD_STREAMS = 15,     /* record at which versions streams began */
    MP_CMD_PART_TRIAL = 16,  /* trial of a suspect part of a prompt */
    MP_CMD_ZONE_DRAIN = 17,  /* take a zone out of use, or into use again */
    MP_CMD_STREAMS_KEPT = 18 /* MP_CMD_STREAMS with how long they can last */
};

/* State of the record of a native request. */
enum mp_record_state {
    MP_RECORD_NONE = 0,      /* there is no record */
    MP_RECORD_OPEN = 1,      /* its worst-case amount is reserved */
    MP_RECORD_DONE = 2,      /* answered */
    MP_RECORD_UNKNOWN = 3,   /* at-most-once request with unknown result;
                              * billed with the full reservation */
    MP_RECORD_NOT_RUN = 4,   /* was not executed; not billed */
    MP_RECORD_CANCELLED = 5, /* ended before its answer was complete; billed
                              * for what was used */
    MP_RECORD_ABANDONED = 6  /* open when its incarnation was fenced; may be
                              * repeated and is not billed */
};

/* Starts a new incarnation of an instance. */
struct mp_register {
    string instance<MP_NAME_MAX>;
    unsigned hyper nonce;           /* a repeat with the same nonce gets the
                                     * same boot, until the incarnation is
                                     * fenced */
    string address<MP_ADDRESS_MAX>; /* for borrowers; empty: does not lend */
    string zone<MP_NAME_MAX>;
};

/* The total prepaid amount of a workspace, without top-ups. */
struct mp_grant {
    string workspace<MP_NAME_MAX>;
    hyper prepaid_mtok;
};

/* Replaces the document (the configuration of the fleet). */
struct mp_document_put {
    string submission<MP_KEY_MAX>; /* id; a repeat gets the same result */
    string author<MP_NAME_MAX>;
    unsigned hyper base_version;    /* must be current, if number is 0 */
    unsigned hyper number;          /* version set by the operator, 0 for
                                     * the next one; the highest number is
                                     * in force */
    mp_grant grants<MP_GRANTS_MAX>; /* prepaid amounts given in text */
    hyper retention_ms;             /* how long closed records are kept */
    string text<MP_TEXT_MAX>;
};

struct mp_topup {
    string workspace<MP_NAME_MAX>;
    string topup_id<MP_KEY_MAX>; /* a repeat adds nothing */
    hyper amount_mtok;
};

/* Opens a request: reserves its worst-case amount and claims its key. */
struct mp_open {
    mp_incarnation incarnation;
    string workspace<MP_NAME_MAX>;
    string key<MP_KEY_MAX>;
    opaque body_hash[MP_HASH_BYTES];
    hyper reserve_mtok;
    bool at_most_once;
    bool is_brief;          /* The caller sent no key and cannot repeat the
                             * request: the record is kept only for repeats
                             * between instances. */
    unsigned hyper open_id; /* identifies this attempt */
};

/* Closes an open request and bills it once. */
struct mp_settle {
    mp_incarnation incarnation;
    string workspace<MP_NAME_MAX>;
    string key<MP_KEY_MAX>;
    unsigned hyper open_id;
    hyper spent_mtok;
    mp_record_state outcome; /* DONE, UNKNOWN, NOT_RUN or CANCELLED */
    int status;              /* HTTP status of the answer */
    string content_type<MP_NAME_MAX>;
    opaque answer<MP_ANSWER_MAX>; /* kept for repeats; may be empty */
};

/* Requests a lease for native requests, or returns part of it. */
struct mp_lease {
    mp_incarnation incarnation;
    string workspace<MP_NAME_MAX>;
    unsigned hyper seq; /* increases with each call of an incarnation, so that
                         * a repeat has no effect */
    hyper amount_mtok;
};

/* Report of a router on its slice of one budget, and the size that it
 * requests.  Sums count from the start of the incarnation. */
struct mp_slice {
    string workspace<MP_NAME_MAX>;
    hyper drawn_mtok;     /* sum drawn from the slice */
    hyper spent_mtok;     /* sum spent by its requests */
    hyper returned_mtok;  /* sum returned unspent, of what this router or a
                           * lender has drawn */
    hyper requested_mtok; /* requested size; if less is wanted than is left,
                           * the rest is returned */
    hyper need_mtok;      /* smallest grant that is useful now */
};

/* All slices of a router; a report with an old seq has no effect. */
struct mp_slices {
    mp_incarnation incarnation;
    unsigned hyper seq;
    mp_slice list<MP_GRANTS_MAX>;
};

/* A request that ran from a lease while the quorum was unreachable. */
struct mp_offline {
    mp_incarnation incarnation;
    string workspace<MP_NAME_MAX>;
    string key<MP_KEY_MAX>;
    opaque body_hash[MP_HASH_BYTES];
    hyper spent_mtok;
};

/* Drops the leases of an instance's incarnations up to the given one, all of
 * which are known to have ended. */
struct mp_writeoff {
    mp_incarnation incarnation;
    bool with_paths; /* Also drop the slices for requests on paths.  What was
                      * spent of them is in no offline journal. */
};

/* Reports that a target crashed while it ran the request of an open record. */
struct mp_poison {
    opaque body_hash[MP_HASH_BYTES];
    string target<MP_NAME_MAX>;
    string workspace<MP_NAME_MAX>;
    string key<MP_KEY_MAX>;
    unsigned hyper open_id;
};

enum mp_trial_kind {
    MP_TRIAL_REQUEST = 0, /* requests a trial: permission to send it to a
                           * target */
    MP_TRIAL_CRASH = 1,   /* reports a crash and requests permission to send
                           * it again */
    MP_TRIAL_RELEASE = 2, /* ends a trial without a result */
    MP_TRIAL_CLEAR = 3,   /* answered: no longer a suspect */
    MP_TRIAL_WAITED = 4,  /* reports a crash while requests with this part
                           * waited for the first byte of their response */
    MP_TRIAL_VOUCH = 5    /* a request with this part was answered before the
                           * crash */
};

/* Message about a request on a path under which a target has crashed, or
 * about a part of its prompt. */
struct mp_trial {
    mp_trial_kind kind;
    opaque fingerprint[MP_HASH_BYTES]; /* of the request or of the part */
    unsigned hyper run;                /* id of this arrival of the request,
                                        * unique among all instances */
    unsigned int attempt;              /* number of its last attempt; for a
                                        * part the hash of the target, and of
                                        * MP_TRIAL_REQUEST the number of parts
                                        * of the request that are suspects of
                                        * the same crash, as the instance knows
                                        * them */
    unsigned int timeout_ms;           /* time limit of the trial; of a
                                        * report on a part, the age of the
                                        * crash or of the answer */
    unsigned int seen_crashes;         /* consecutive crashes that the
                                        * instance observed itself */
};

/* Requests a trial of a part (MP_TRIAL_REQUEST).  The quorum counts which parts
 * of the request are suspects of the same crash: an instance may have got the
 * lists while the parts of a crash were being reported. */
struct mp_part_trial {
    mp_trial trial;
    opaque parts<MP_PARTS_MAX_BYTES>; /* concatenated fingerprints of the
                                       * parts of the request but the last */
};

struct mp_version_name {
    string name<MP_NAME_MAX>;
};

/* Software versions of the targets of a pool, sorted by name. */
struct mp_pool_versions {
    string pool<MP_NAME_MAX>;
    mp_version_name list<MP_POOL_VERSIONS_MAX>;
    hyper age_ms; /* in a sync reply: time since the last change, -1 if there
                   * was none */
};

/* The base of a pool: the version at which streams without a record began. */
struct mp_pool_base {
    bool has_base;
    string base<MP_NAME_MAX>;
    hyper age_ms; /* since when that holds; -1: from the start */
};

/* A stream that has begun at a software version. */
struct mp_stream_begun {
    opaque id[MP_HASH_BYTES];
    string software<MP_NAME_MAX>;
};

struct mp_streams {
    mp_stream_begun list<MP_STREAMS_MAX>;
};

struct mp_kept_streams {
    mp_streams streams;
    hyper lasts_ms; /* longest time that one of them can last */
};

/* Takes a zone out of use, or into use again. */
struct mp_zone_drain {
    string submission<MP_KEY_MAX>; /* id; a repeat gets the same result */
    string zone<MP_NAME_MAX>;
    bool is_drain;  /* false: into use again */
    bool has_base;  /* It has no effect if there was an order for the zone
                     * after base_version: it was overtaken. */
    unsigned hyper base_version;
};

union mp_command_body switch (mp_command_kind kind) {
case MP_CMD_REGISTER:
    mp_register reg;
case MP_CMD_FENCE:
    mp_incarnation fence;
case MP_CMD_DOCUMENT:
    mp_document_put document;
case MP_CMD_TOPUP:
    mp_topup topup;
case MP_CMD_OPEN:
    mp_open open;
case MP_CMD_SETTLE:
    mp_settle settle;
case MP_CMD_LEASE:
    mp_lease lease;
case MP_CMD_LEASE_RETURN:
    mp_lease lease_return;
case MP_CMD_OFFLINE:
    mp_offline offline;
case MP_CMD_WRITEOFF:
    mp_writeoff writeoff;
case MP_CMD_POISON:
    mp_poison poison;
case MP_CMD_SLICES:
    mp_slices slices;
case MP_CMD_TRIAL:
    mp_trial trial;
case MP_CMD_VERSIONS:
    mp_pool_versions pool_versions;
case MP_CMD_STREAMS:
    mp_streams streams;
case MP_CMD_PART_TRIAL:
    mp_part_trial part_trial;
case MP_CMD_ZONE_DRAIN:
    mp_zone_drain zone_drain;
case MP_CMD_STREAMS_KEPT:
    mp_kept_streams kept_streams;
default:
    void;
};

struct mp_command {
    hyper at_ms; /* leader's wall clock when it appended the command */
    mp_command_body body;
};

/* State of a slice after a report. */
struct mp_slice_status {
    hyper held_mtok; /* left in the slice */
    hyper free_mtok; /* part of the budget that is not granted to anyone */
    hyper max_mtok;  /* size that leaves enough for other routers */
};

/* Result of a command; which fields are set depends on its kind. */
struct mp_result {
    int code;              /* MP_OK or an error */
    mp_record_state state; /* of the record of a native request */
    unsigned hyper number; /* boot, version, seq or number of crashes; for
                            * MP_CMD_OPEN: an earlier attempt may have run */
    hyper amount_mtok;     /* amount; for MP_CMD_POISON the number of other
                            * open requests with the same body */
    int status;            /* recorded answer of a request that is repeated */
    string content_type<MP_NAME_MAX>;
    opaque answer<MP_ANSWER_MAX>;
    mp_slice_status slices<MP_GRANTS_MAX>; /* in the order of the report */
};

/* ---- replicated log ---- */

/* A replica; members that are no voters are learners. */
struct mp_member {
    unsigned hyper id; /* random, stored on the disk of the replica */
    string instance<MP_NAME_MAX>;
    string address<MP_ADDRESS_MAX>;
    bool voter;
    bool next_voter; /* voter of the new set; only used if the membership is
                      * joint */
};

/* Membership of the Raft cluster. */
struct mp_members {
    mp_member list<MP_MEMBERS_MAX>;
    bool joint; /* Decisions need a majority of the old voters and a
                 * majority of the new ones. */
};

enum mp_entry_kind {
    MP_ENTRY_COMMAND = 0, /* payload is an mp_command */
    MP_ENTRY_NOOP = 1,    /* first entry of a leader's term; no payload */
    MP_ENTRY_MEMBERS = 2  /* payload is an mp_members */
};

struct mp_entry {
    unsigned hyper index;
    unsigned hyper term;
    mp_entry_kind kind;
    opaque payload<MP_PAYLOAD_MAX>;
};

/* State of a replica that must be durable before it answers. */
struct mp_hard_state {
    unsigned hyper replica_id;
    unsigned hyper term;
    unsigned hyper vote; /* replica voted for in term; 0: none */
};

struct mp_snapshot_head {
    unsigned hyper index; /* last entry that the snapshot covers */
    unsigned hyper term;  /* term of that entry */
    mp_members members;
};

enum mp_log_kind {
    MP_LOG_HARD = 1,
    MP_LOG_ENTRY = 2
};

/* A record of the log on disk.  An entry replaces all earlier records of
 * entries with the same or a higher index. */
union mp_log_record switch (mp_log_kind kind) {
case MP_LOG_HARD:
    mp_hard_state hard;
case MP_LOG_ENTRY:
    mp_entry entry;
};

struct mp_log_batch {
    mp_log_record records<>;
};

struct mp_snapshot_file {
    mp_snapshot_head head;
    opaque data<>;
};

enum mp_raft_kind {
    MP_RAFT_PREVOTE = 1,
    MP_RAFT_PREVOTE_REPLY = 2,
    MP_RAFT_VOTE = 3,
    MP_RAFT_VOTE_REPLY = 4,
    MP_RAFT_APPEND = 5,
    MP_RAFT_APPEND_REPLY = 6,
    MP_RAFT_SNAPSHOT = 7,
    MP_RAFT_SNAPSHOT_REPLY = 8
};

/*
 * A message between replicas.  Which entry index and log_term describe depends
 * on the kind:
 *   APPEND            the entry before the first one in entries
 *   PREVOTE, VOTE     the last entry of the candidate's log
 *   APPEND_REPLY      the last matching entry; index only; if ok is false,
 *                     the last entry that may match
 *   SNAPSHOT          the last entry that the snapshot covers
 *   SNAPSHOT_REPLY    as SNAPSHOT; index only
 */
struct mp_raft_message {
    mp_raft_kind kind;
    unsigned hyper from; /* id of the sender */
    unsigned hyper to;   /* id of the receiver */
    unsigned hyper term; /* the sender's; for a pre-vote the term that the
                          * candidate would have if elected */
    unsigned hyper index;
    unsigned hyper log_term;
    unsigned hyper commit; /* commit index of the sender */
    hyper echo_ms;         /* sender's clock; returned unchanged in a reply */
    bool ok;               /* in a reply: granted, or entries match */
    mp_entry entries<MP_ENTRIES_MAX>;
    unsigned hyper offset; /* of chunk; in a reply, bytes received so far */
    unsigned hyper total;  /* size of the snapshot, bytes */
    opaque chunk<MP_CHUNK_MAX>;
    mp_members members; /* membership of the snapshot */
};

/* ---- RPC calls ---- */

/* First call on a connection and its reply: exchanges nonces. */
struct mp_hello {
    string instance<MP_NAME_MAX>;
    opaque nonce[MP_NONCE_BYTES];
};

/* Asks the leader to append a command to the log. */
struct mp_propose {
    mp_command_body body;
};

struct mp_propose_reply {
    int code;                      /* MP_OK if the command was committed and
                                    * applied */
    string leader<MP_ADDRESS_MAX>; /* leader known to the callee, if code is
                                    * an error */
    int result_code;               /* code of the command's result */
    mp_record_state state;         /* state of the command's result */
    mp_result *detail;             /* complete result; NULL if only code and
                                    * state are set, which keeps most
                                    * replies short */
};

/* A target, as in the target list. */
struct mp_target {
    string incarnation<MP_NAME_MAX>;
    string pool<MP_NAME_MAX>;
    string address<MP_ADDRESS_MAX>;
    string zone<MP_NAME_MAX>;
    string software<MP_NAME_MAX>; /* version of its software */
    hyper slots;   /* requests that it can run at the same time */
    bool leaving;  /* is shutting down; gets no new requests */
    hyper cold_ms; /* remaining time of slow responses after its start, -1:
                    * not reported */
    hyper started_ms; /* wall clock time of its start; 0: not reported */
};

/* The rate limit that a target names.  Ages are those of the request behind
 * the answer that set it and of the answer itself. */
struct mp_limit {
    string incarnation<MP_NAME_MAX>;
    hyper rate_mrps; /* thousandths of requests per second; -1: none */
    unsigned int sent_age_ms;
    unsigned int received_age_ms;
};

/* Periodic call of each instance to the leader. */
struct mp_sync {
    mp_incarnation incarnation;
    unsigned hyper targets_hash;       /* hash of the target list it has */
    unsigned hyper lenders_hash;       /* hash of the list of lenders it has */
    unsigned hyper document_version;   /* version of the document it has */
    unsigned hyper quarantine_version; /* version of the suspects it has */
    bool draining;
    unsigned hyper versions_hash;    /* hash of the versions it got last */
    unsigned hyper limits_hash;      /* hash of the limits it got last */
    mp_limit limits<MP_TARGETS_MAX>; /* seen since the last call */
    string peers<MP_ADDRESS_MAX>;    /* where it listens for other instances;
                                      * empty: nowhere */
    unsigned hyper zones_version;    /* version of the zones it has */
};

/* A zone that is drained, or was. */
struct mp_zone {
    string name<MP_NAME_MAX>;
    bool is_drained;
    unsigned hyper ordered_version; /* version of the last order for it */
    hyper changed_age_ms;           /* time since its last change */
    hyper restored_age_ms;          /* time since it was last restored; -1:
                                     * never */
};

/* An instance that listens for other instances. */
struct mp_lender {
    string address<MP_ADDRESS_MAX>;
    string zone<MP_NAME_MAX>;
    bool lends; /* from its slices; else it only passes connections on */
};

struct mp_lenders {
    mp_lender list<MP_LENDERS_MAX>;
};

struct mp_targets {
    mp_target list<MP_TARGETS_MAX>;
};

/* Asks an instance to connect to a target.  If it replies MP_OK, the rest of
 * the connection carries the caller's bytes to the target as they are, and the
 * target's bytes in frames (protocol/TunnelFrame.h). */
struct mp_tunnel {
    string instance<MP_NAME_MAX>;   /* the caller */
    string target<MP_ADDRESS_MAX>;  /* address */
    string request<MP_NAME_MAX>;    /* id of the request, for the log */
    unsigned int timeout_ms;        /* to connect to the target */
};

struct mp_tunnel_reply {
    int code; /* MP_ERROR_CLOSED: the target refused the connection;
               * MP_ERROR_TIMEOUT: it did not answer; others: the callee
               * cannot reach it now, or may not */
};

/* A text or list that is sent to many instances, possibly compressed by
 * zlib. */
struct mp_packed {
    unsigned int raw_size; /* before compression, bytes; 0: not compressed */
    opaque bytes<MP_TEXT_MAX>;
};

struct mp_address {
    string address<MP_ADDRESS_MAX>;
};

struct mp_recall {
    string workspace<MP_NAME_MAX>;
};

struct mp_sync_reply {
    int code;
    string leader<MP_ADDRESS_MAX>;
    unsigned hyper document_version; /* newest; fetched if it is higher */
    unsigned hyper quarantine_version;
    opaque stopped<MP_CHUNK_MAX>;        /* Concatenated fingerprints of
                                          * quarantined requests; empty if
                                          * the version matches. */
    opaque suspected<MP_CHUNK_MAX>;      /* Concatenated fingerprints of
                                          * suspect requests that may run
                                          * one at a time; empty if the
                                          * version matches. */
    opaque groups<MP_CHUNK_MAX>;         /* For each fingerprint in suspected
                                          * 4 bytes: equal for parts that have
                                          * their last crash in common, 0 for
                                          * requests. */
    mp_recall recalls<MP_RECALLS_MAX>;   /* leases that must be returned */
    mp_address replicas<MP_MEMBERS_MAX>; /* current control replicas */
    unsigned int instance_count;         /* number of instances that called
                                          * recently */
    unsigned hyper lenders_hash;         /* hash of the list of lenders */
    mp_packed lenders;                   /* encoded mp_lenders; empty if the
                                          * caller has the same hash */
    bool has_targets;                    /* the leader has a current target
                                          * list */
    unsigned hyper targets_hash;         /* hash of the leader's target list */
    bool has_partial_targets;            /* targets and targets_removed are
                                          * changes to the list that the
                                          * caller has */
    mp_packed full_targets;              /* Encoded mp_targets, the complete
                                          * list; empty if the hash matches
                                          * or only changes are sent. */
    mp_target targets<MP_TARGETS_MAX>;   /* new and changed targets */
    mp_target targets_removed<MP_TARGETS_MAX>; /* removed targets */
    unsigned hyper versions_hash;              /* hash of versions */
    mp_pool_versions versions<MP_POOLS_MAX>;   /* software versions of all
                                                * pools; empty if the hash
                                                * matches */
    unsigned hyper limits_hash;                /* hash of limits */
    mp_limit limits<MP_TARGETS_MAX>;           /* limits of targets, as all
                                                * instances saw them; empty if
                                                * the hash matches */
    unsigned hyper zones_version;              /* counts orders for zones */
    mp_zone zones<MP_ZONES_MAX>;               /* empty if the version
                                                * matches */
    mp_pool_base bases<MP_POOLS_MAX>;          /* of the pools in versions, in
                                                * their order */
};

/* Requests the document in this version or a newer one from any replica. */
struct mp_fetch {
    unsigned hyper document_version;
    unsigned hyper base_version; /* version the caller has; 0: send all */
};

/* The document, or its difference to base_version: text replaces what is
 * between the first prefix bytes and the last suffix bytes of that version. */
struct mp_fetch_reply {
    int code;
    unsigned hyper document_version;
    unsigned hyper base_version; /* 0: text is the complete document */
    unsigned int prefix;         /* bytes kept at the beginning */
    unsigned int suffix;         /* bytes kept at the end */
    unsigned hyper checksum;     /* of the complete new document */
    mp_packed text;
};

/* Requests a loan from the slice of another instance. */
struct mp_lend {
    string workspace<MP_NAME_MAX>;
    hyper need_mtok; /* smallest useful amount */
    hyper want_mtok; /* preferred amount */
};

/* Repays a surplus of borrowed amounts, to any lender. */
struct mp_repay {
    string workspace<MP_NAME_MAX>;
    hyper amount_mtok;
};

struct mp_repay_reply {
    int code;
};

/* Reply to a loan request.  lent_mtok may be more than 0 with an error. */
struct mp_lend_reply {
    int code; /* MP_ERROR_BUDGET if the ledger recently reported the budget
               * as exhausted, MP_ERROR_NO_QUORUM if that is not known */
    hyper lent_mtok;
};

/* Requests a permit to send one request to a target that names a limit, from
 * a keeper of that target. */
struct mp_permit {
    mp_limit limit;        /* as the caller knows it */
    unsigned int ahead_ms; /* how long the request can wait for its slot */
    bool is_cold;          /* the target is cold; then: */
    hyper cold_rate_mrps;  /* rate to keep to meanwhile, thousandths of
                            * requests per second */
    hyper cold_most;       /* requests in any second, of all instances */
};

struct mp_permit_reply {
    int code;             /* MP_OK: granted; MP_ERROR_LIMIT: no slot is free;
                           * MP_ERROR_NOT_FOUND: the callee is no keeper */
    unsigned int wait_ms; /* until the slot, or until to ask again */
    mp_limit limit;       /* as the keeper knows it */
    bool spaces_cold;     /* the callee keeps to the rates of cold targets; an
                           * older build does not */
};

/* Sent by a replica to other seeds and replicas, to find or form a cluster. */
struct mp_identify {
    string instance<MP_NAME_MAX>;
    string address<MP_ADDRESS_MAX>;
    unsigned hyper replica_id; /* 0: the sender is no replica */
};

struct mp_identify_reply {
    unsigned hyper replica_id; /* 0: the callee is no replica */
    string instance<MP_NAME_MAX>;
    bool formed;        /* the callee knows of an existing cluster */
    mp_members members; /* if replica_id is 0, only the addresses are set */
    bool is_leader;
};

/* Parts of the state that are read by separate calls, since the reply must fit
 * into one RPC record. */
enum mp_read_part {
    MP_READ_STATE = 0,    /* accounts, instances and document history */
    MP_READ_DOCUMENT = 1, /* text of the document */
    MP_READ_RECORD = 2,   /* state of the record of a native request */
    MP_READ_STREAM = 3,   /* software version at which a stream began */
    MP_READ_ZONES = 4     /* zones that are drained, or were */
};

struct mp_read {
    mp_read_part part;
    string workspace<MP_NAME_MAX>;   /* empty: all (MP_READ_STATE) */
    string key<MP_KEY_MAX>;          /* for MP_READ_RECORD; for
                                      * MP_READ_STREAM the pool */
    unsigned hyper document_version; /* for MP_READ_DOCUMENT; 0: newest */
    opaque stream[MP_HASH_BYTES];    /* for MP_READ_STREAM */
    unsigned int stream_ms;          /* how long such a stream can last */
};

struct mp_instance_status {
    mp_incarnation incarnation;
    unsigned hyper document_version;
    hyper since_call_ms; /* time since its last call */
    bool draining;
};

struct mp_account_status {
    string workspace<MP_NAME_MAX>;
    hyper granted_mtok;
    hyper settled_mtok;
    hyper reserved_mtok;
    hyper leased_mtok; /* leases, slices and what was drawn from slices */
};

/* Author and time of a version of the document. */
struct mp_history {
    unsigned hyper document_version;
    hyper at_ms;
    string author<MP_NAME_MAX>;
    string submission<MP_KEY_MAX>;
};

/* Reply to a read; document, record and the lists at the end are set only for
 * the part that they belong to. */
struct mp_read_reply {
    int code;
    string leader<MP_ADDRESS_MAX>;
    unsigned hyper document_version;
    string author<MP_NAME_MAX>;
    string document<MP_TEXT_MAX>;
    mp_members members;
    unsigned hyper applied; /* index of the last applied log entry */
    unsigned hyper term;
    mp_record_state record;
    mp_version_name *software; /* at which the stream began; NULL: not known */
    mp_account_status accounts<>;
    mp_instance_status instances<>;
    mp_history history<>;
    unsigned hyper zones_version;
    mp_zone zones<MP_ZONES_MAX>; /* also part of the state */
    bool is_recorded; /* software is that of a record, not of a base */
};

/* ---- snapshot of the replicated state ---- */

/* A lease for native requests, or a slice for requests on paths. */
struct mp_lease_image {
    mp_incarnation incarnation;
    unsigned hyper seq;    /* last call of the incarnation that took
                            * effect */
    hyper amount_mtok;     /* left */
    hyper last_grant_mtok; /* granted by call seq */
    hyper spent_mtok;      /* sums that the incarnation reported */
    hyper drawn_mtok;
    hyper returned_mtok;
    bool recalled;     /* must be returned */
    bool is_fenced;    /* its incarnation was fenced */
    bool is_for_paths; /* slice for requests on paths, not for native
                        * requests */
};

struct mp_account_image {
    string workspace<MP_NAME_MAX>;
    hyper granted_mtok; /* whole budget: prepaid amount and top-ups */
    hyper prepaid_mtok; /* part that the document grants */
    hyper highest_mtok; /* largest value that granted_mtok has had */
    hyper settled_mtok;
    hyper reserved_mtok;
    hyper outstanding_mtok; /* drawn from slices, neither settled nor
                             * returned */
    mp_lease_image leases<>;
};

struct mp_record_image {
    string workspace<MP_NAME_MAX>;
    string key<MP_KEY_MAX>;
    opaque body_hash[MP_HASH_BYTES];
    mp_incarnation incarnation;
    mp_record_state state;
    bool at_most_once;
    bool is_brief;
    unsigned hyper open_id;
    hyper reserve_mtok;
    hyper spent_mtok;
    hyper closed_ms;
    unsigned int reruns; /* further runs that were not billed */
    int status;
    string content_type<MP_NAME_MAX>;
    opaque answer<MP_ANSWER_MAX>;
};

struct mp_incarnation_image {
    string instance<MP_NAME_MAX>;
    unsigned hyper boot;
    unsigned hyper nonce;
    bool fenced;
    string address<MP_ADDRESS_MAX>;
    string zone<MP_NAME_MAX>;
};

/* Result of a top-up or submission, kept for repeats of its id. */
struct mp_marker_image {
    string id<MP_KEY_MAX>;
    string scope<MP_NAME_MAX>; /* workspace of a top-up, else empty */
    int code;
    unsigned hyper number;
    hyper amount_mtok;
};

/* A suspect: a target crashed while it ran the request, or a request with the
 * part.  workspace, key, open_id and is_tried are used for native requests;
 * run, attempt, trials and until_ms for requests on paths.  Parts use those of
 * requests on paths, but attempt for the hash of the target of the last crash,
 * open_id for the time of the crash before, and, while crashes is 0, trials for
 * the crashes at which they waited. */
struct mp_suspect_image {
    opaque fingerprint[MP_HASH_BYTES];
    unsigned int crashes; /* crashes counted */
    hyper last_ms;        /* time of the last crash */
    string last_target<MP_NAME_MAX>;
    string workspace<MP_NAME_MAX>; /* with key: record reported last */
    string key<MP_KEY_MAX>;
    unsigned hyper open_id;
    bool is_tried;      /* that record was opened after the last crash */
    unsigned hyper run; /* run that has the trial or crashed last; 0: none */
    unsigned int attempt;
    unsigned int trials; /* trials that ended without a result */
    hyper until_ms;      /* end of the last trial */
};

struct mp_pool_image {
    string pool<MP_NAME_MAX>;
    mp_version_name list<MP_POOL_VERSIONS_MAX>;
    hyper changed_ms; /* last change of list; -1: none so far */
};

struct mp_stream_image {
    opaque id[MP_HASH_BYTES];
    string software<MP_NAME_MAX>;
    hyper at_ms;
};

struct mp_machine_image {
    unsigned hyper applied;
    hyper now_ms;
    hyper retention_ms;
    unsigned hyper document_version;
    string document_author<MP_NAME_MAX>;
    string document<MP_TEXT_MAX>;
    unsigned hyper quarantine_version;
    mp_account_image accounts<>;
    mp_record_image open_records<>;
    mp_record_image closed_records<>;
    mp_incarnation_image incarnations<>;
    mp_marker_image topups<>;
    mp_marker_image submissions<>;
    mp_suspect_image suspects<>;
    mp_history history<>;
    mp_pool_image pools<>;
    mp_stream_image streams<>;
};

struct mp_zone_image {
    string name<MP_NAME_MAX>;
    bool is_drained;
    unsigned hyper ordered_version;
    hyper changed_ms;
    hyper restored_ms; /* -1: never */
};

struct mp_zones_image {
    unsigned hyper zones_version;
    unsigned hyper dropped_version; /* of the last order for any zone that is
                                     * no longer in the list */
    mp_zone_image list<MP_ZONES_MAX>;
};

/* The base of a pool, where mp_pool_image does not tell. */
struct mp_base_image {
    string pool<MP_NAME_MAX>;
    string base<MP_NAME_MAX>;
    bool has_base;
    hyper base_ms;
    hyper absent_ms; /* since when the base is not in the list; -1: it is */
    mp_version_name former<MP_FORMER_VERSIONS_MAX>;
};

struct mp_bases_image {
    hyper dropped_ms; /* when a record was dropped before its time; -1: never */
    mp_base_image list<>;
};

/* State that was added after mp_machine_image.  It follows the image in the
 * snapshot, as earlier builds read no image with more fields.  Without any
 * part nothing follows, and earlier builds can load the snapshot. */
enum mp_part_kind {
    MP_PART_ZONES = 1, /* mp_zones_image */
    MP_PART_BASES = 2  /* mp_bases_image */
};

struct mp_image_part {
    unsigned int kind;
    opaque data<>;
};

struct mp_image_parts {
    mp_image_part list<>;
};

/* ---- offline journal of an instance ---- */

struct mp_journal_entry {
    mp_offline request;
    bool settled; /* has run, and request has its final amount */
};

program MIMOSAPATH_PROGRAM {
    version MIMOSAPATH_V1 {
        mp_hello MP_PROC_HELLO(mp_hello) = 1;
        mp_propose_reply MP_PROC_PROPOSE(mp_propose) = 2;
        mp_sync_reply MP_PROC_SYNC(mp_sync) = 3;
        mp_identify_reply MP_PROC_IDENTIFY(mp_identify) = 4;
        mp_read_reply MP_PROC_READ(mp_read) = 5;
        void MP_PROC_RAFT(mp_raft_message) = 6; /* has no reply */
        mp_fetch_reply MP_PROC_FETCH(mp_fetch) = 7;
        mp_lend_reply MP_PROC_LEND(mp_lend) = 8;
        mp_repay_reply MP_PROC_REPAY(mp_repay) = 9;
        mp_permit_reply MP_PROC_PERMIT(mp_permit) = 10;
        mp_tunnel_reply MP_PROC_TUNNEL(mp_tunnel) = 11;
    } = 1;
} = 0x20004d50;
