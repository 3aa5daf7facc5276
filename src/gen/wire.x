/*
 * Types shared by the system's own processes: commands of the replicated
 * log, their results, messages between control replicas, calls of
 * instances, and the snapshot.  Amounts are in thousandths of a token
 * (mtok), times in milliseconds.
 */

const MP_NAME_MAX = 64;
const MP_KEY_MAX = 160;
const MP_HASH_BYTES = 16;
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

/* One life of one instance; boot numbers are never reused. */
struct mp_incarnation {
    string instance<MP_NAME_MAX>;
    unsigned hyper boot;
};

enum mp_command_kind {
    MP_CMD_NONE = 0,
    MP_CMD_REGISTER = 1,
    MP_CMD_FENCE = 2,
    MP_CMD_DOCUMENT = 3,
    MP_CMD_TOPUP = 4,
    MP_CMD_OPEN = 5,
    MP_CMD_SETTLE = 6,
    MP_CMD_LEASE = 7,
    MP_CMD_LEASE_RETURN = 8,
    MP_CMD_OFFLINE = 9,
    MP_CMD_WRITEOFF = 10,
    MP_CMD_POISON = 11,
    MP_CMD_SLICES = 12,
    MP_CMD_TRIAL = 13
};

enum mp_record_state {
    MP_RECORD_NONE = 0,
    MP_RECORD_OPEN = 1,
    MP_RECORD_DONE = 2,
    MP_RECORD_UNKNOWN = 3,
    MP_RECORD_NOT_RUN = 4,
    MP_RECORD_CANCELLED = 5,
    MP_RECORD_ABANDONED = 6
};

/* address and zone: where other instances may borrow from it; empty where
 * they may not. */
struct mp_register {
    string instance<MP_NAME_MAX>;
    unsigned hyper nonce;
    string address<MP_ADDRESS_MAX>;
    string zone<MP_NAME_MAX>;
};

/* The prepaid amount of a workspace, in all. */
struct mp_grant {
    string workspace<MP_NAME_MAX>;
    hyper prepaid_mtok;
};

/* number: version set by the operator, the highest is in force; 0 asks for
 * compare-and-set on base_version.  grants: the prepaid amounts that the text
 * names. */
struct mp_document_put {
    string submission<MP_KEY_MAX>;
    string author<MP_NAME_MAX>;
    unsigned hyper base_version;
    unsigned hyper number;
    mp_grant grants<MP_GRANTS_MAX>;
    hyper retention_ms;
    string text<MP_TEXT_MAX>;
};

struct mp_topup {
    string workspace<MP_NAME_MAX>;
    string topup_id<MP_KEY_MAX>;
    hyper amount_mtok;
};

/* brief: the caller gave no key, so that nobody can repeat the request; its
 * record is kept just long enough for repeats between instances. */
struct mp_open {
    mp_incarnation holder;
    string workspace<MP_NAME_MAX>;
    string key<MP_KEY_MAX>;
    opaque body_hash[MP_HASH_BYTES];
    hyper reserve_mtok;
    bool at_most_once;
    bool is_brief;
    unsigned hyper open_id;
};

struct mp_settle {
    mp_incarnation holder;
    string workspace<MP_NAME_MAX>;
    string key<MP_KEY_MAX>;
    unsigned hyper open_id;
    hyper spent_mtok;
    mp_record_state outcome;
    int status;
    string content_type<MP_NAME_MAX>;
    opaque answer<MP_ANSWER_MAX>;
};

/* seq orders the lease calls of one holder, so that repeats are harmless. */
struct mp_lease {
    mp_incarnation holder;
    string workspace<MP_NAME_MAX>;
    unsigned hyper seq;
    hyper amount_mtok;
};

/*
 * The part of a budget that a router holds.  drawn_mtok, spent_mtok and
 * returned_mtok: all that this incarnation has taken out of its slice so far,
 * all that its requests have used, and all that it gives back of what was
 * drawn, here or by a lender.  hold_mtok: what it wants to have left, or
 * gives the rest back.  need_mtok: the smallest grant that is of use now.
 */
struct mp_slice {
    string workspace<MP_NAME_MAX>;
    hyper drawn_mtok;
    hyper spent_mtok;
    hyper returned_mtok;
    hyper requested_mtok;
    hyper need_mtok;
};

struct mp_slices {
    mp_incarnation holder;
    unsigned hyper seq;
    mp_slice list<MP_GRANTS_MAX>;
};

struct mp_offline {
    mp_incarnation holder;
    string workspace<MP_NAME_MAX>;
    string key<MP_KEY_MAX>;
    opaque body_hash[MP_HASH_BYTES];
    hyper spent_mtok;
};

/* The leases of lives up to holder are free: paths tells whether those for
 * paths are too, which no journal tells of. */
struct mp_writeoff {
    mp_incarnation holder;
    bool with_paths;
};

/* A target died while it ran the request of this open record. */
struct mp_poison {
    opaque body_hash[MP_HASH_BYTES];
    string target<MP_NAME_MAX>;
    string workspace<MP_NAME_MAX>;
    string key<MP_KEY_MAX>;
    unsigned hyper open_id;
};

enum mp_trial_kind {
    MP_TRIAL_REQUEST = 0,     /* may the run go to a target? */
    MP_TRIAL_CRASH = 1,   /* a target ended while it ran; may it go on? */
    MP_TRIAL_RELEASE = 2, /* it ended otherwise */
    MP_TRIAL_CLEAR = 3    /* it was answered whole */
};

/* A word on a request of a path; run is its number, of all instances, attempt
 * that of its last attempt, lasts_ms how long it may go on, seen how many
 * deaths, one after the other, the instance has seen itself. */
struct mp_trial {
    mp_trial_kind kind;
    opaque fingerprint[MP_HASH_BYTES];
    unsigned hyper run;
    unsigned int attempt;
    unsigned int timeout_ms;
    unsigned int crashes_seen;
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
default:
    void;
};

/* at_ms is the leader's wall clock when it appended the command. */
struct mp_command {
    hyper at_ms;
    mp_command_body body;
};

/* What is left of a slice, what of the budget nobody holds, and what the
 * router should hold at most for the others' sake. */
struct mp_slice_status {
    hyper held_mtok;
    hyper free_mtok;
    hyper max_mtok;
};

struct mp_result {
    int code;
    mp_record_state state;
    unsigned hyper number;
    hyper amount_mtok;
    int status;
    string content_type<MP_NAME_MAX>;
    opaque answer<MP_ANSWER_MAX>;
    mp_slice_status slices<MP_GRANTS_MAX>;
};

/* ---- replicated log ---- */

struct mp_member {
    unsigned hyper id;
    string instance<MP_NAME_MAX>;
    string address<MP_ADDRESS_MAX>;
    bool voter;
    bool next_voter;
};

/*
 * While joint is set, decisions need a majority of the voters and a majority
 * of the members marked next; next has no meaning else.
 */
struct mp_members {
    mp_member list<MP_MEMBERS_MAX>;
    bool joint;
};

enum mp_entry_kind {
    MP_ENTRY_COMMAND = 0,
    MP_ENTRY_NOOP = 1,
    MP_ENTRY_MEMBERS = 2
};

struct mp_entry {
    unsigned hyper index;
    unsigned hyper term;
    mp_entry_kind kind;
    opaque payload<MP_PAYLOAD_MAX>;
};

struct mp_hard_state {
    unsigned hyper replica_id;
    unsigned hyper term;
    unsigned hyper vote;
};

struct mp_snapshot_head {
    unsigned hyper index;
    unsigned hyper term;
    mp_members members;
};

enum mp_log_kind {
    MP_LOG_HARD = 1,
    MP_LOG_ENTRY = 2
};

/* A record of the log on disk.  An entry replaces all of its index and
 * above that came before it. */
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
 * index and log_term: the entry before the first of entries (APPEND), the
 * last entry (votes), the last matching entry (APPEND_REPLY), the last
 * entry covered (SNAPSHOT).  echo_ms: the sender's clock, returned as it
 * came.
 */
struct mp_raft_message {
    mp_raft_kind kind;
    unsigned hyper from;
    unsigned hyper to;
    unsigned hyper term;
    unsigned hyper index;
    unsigned hyper log_term;
    unsigned hyper commit;
    hyper echo_ms;
    bool ok;
    mp_entry entries<MP_ENTRIES_MAX>;
    unsigned hyper offset;
    unsigned hyper total;
    opaque chunk<MP_CHUNK_MAX>;
    mp_members members;
};

/* ---- calls of instances ---- */

struct mp_hello {
    string instance<MP_NAME_MAX>;
    opaque nonce[MP_NONCE_BYTES];
};

struct mp_propose {
    mp_command_body body;
};

/*
 * leader: address of the leader as the callee knows it, when it is not the
 * callee.  detail: the whole result, when it has more than code and state,
 * which keeps the common answers short.
 */
struct mp_propose_reply {
    int code;
    string leader<MP_ADDRESS_MAX>;
    int result_code;
    mp_record_state state;
    mp_result *detail;
};

/* A target as the target list told it. */
struct mp_target {
    string incarnation<MP_NAME_MAX>;
    string pool<MP_NAME_MAX>;
    string address<MP_ADDRESS_MAX>;
    string zone<MP_NAME_MAX>;
    hyper slots;
    bool leaving;
    hyper cold_ms;
};

struct mp_sync {
    mp_incarnation incarnation;
    unsigned hyper targets_hash; /* of the list that the instance has */
    unsigned hyper lenders_hash;   /* ... of the instances that lend */
    unsigned hyper document_version;
    unsigned hyper quarantine_version;
    bool draining;
};

/* An instance that lends of its slices. */
struct mp_lender {
    string address<MP_ADDRESS_MAX>;
    string zone<MP_NAME_MAX>;
};

struct mp_lenders {
    mp_lender list<MP_LENDERS_MAX>;
};

struct mp_targets {
    mp_target list<MP_TARGETS_MAX>;
};

/* A list that goes to all instances, deflated where size is not 0, which is
 * its size before. */
struct mp_packed {
    unsigned int raw_size;
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
    unsigned hyper document_version; /* to be fetched when it is higher */
    unsigned hyper quarantine_version;
    opaque stopped<MP_CHUNK_MAX>; /* fingerprints, when the version differs */
    opaque suspected<MP_CHUNK_MAX>;
    mp_recall recalls<MP_RECALLS_MAX>;
    mp_address replicas<MP_MEMBERS_MAX>;
    unsigned int instance_count; /* that were heard of lately */
    unsigned hyper lenders_hash;
    mp_packed lenders; /* an mp_lenders; empty when the hash is the same */
    bool has_targets; /* the leader reads the list */
    unsigned hyper targets_hash;
    bool has_partial_targets; /* what changed in the list that the caller has */
    mp_packed full_targets; /* an mp_targets; empty when the hash is the same,
                              * and when there is a part */
    mp_target targets<MP_TARGETS_MAX>;
    mp_target targets_removed<MP_TARGETS_MAX>;
};

/* Asks any replica for a document of this version or a higher one. */
struct mp_fetch {
    unsigned hyper document_version;
    unsigned hyper base_version; /* that the caller has; 0: send the whole */
};

/*
 * text: the whole when base_version is 0, else what stands between the first
 * prefix and the last suffix bytes of that version, with the checksum of the
 * result.
 */
struct mp_fetch_reply {
    int code;
    unsigned hyper document_version;
    unsigned hyper base_version;
    unsigned int prefix;
    unsigned int suffix;
    unsigned hyper checksum;
    mp_packed text;
};

/* Asks an instance for a part of a budget: at least need_mtok, best
 * want_mtok. */
struct mp_lend {
    string workspace<MP_NAME_MAX>;
    hyper need_mtok;
    hyper want_mtok;
};

/* Gives back what was borrowed and is not needed now, to any lender. */
struct mp_repay {
    string workspace<MP_NAME_MAX>;
    hyper amount_mtok;
};

struct mp_repay_reply {
    int code;
};

/* code: MP_ERROR_BUDGET when the quorum has told lately that nothing more is
 * to be had, MP_ERROR_NO_QUORUM when it is not known. */
struct mp_lend_reply {
    int code;
    hyper lent_mtok;
};

/* What a replica without state learns from its peers. */
struct mp_identify {
    string instance<MP_NAME_MAX>;
    string address<MP_ADDRESS_MAX>;
    unsigned hyper replica_id;
};

struct mp_identify_reply {
    unsigned hyper replica_id;
    string instance<MP_NAME_MAX>;
    bool formed;
    mp_members members;
    bool is_leader;
};

/* Large parts of the state travel apart, each within one record. */
enum mp_read_part {
    MP_READ_STATE = 0,
    MP_READ_DOCUMENT = 1,
    MP_READ_RECORD = 2
};

/* part: the accounts and instances, the document of document_version (0 is
 * the newest), or the record of key. */
struct mp_read {
    mp_read_part part;
    string workspace<MP_NAME_MAX>;
    string key<MP_KEY_MAX>;
    unsigned hyper document_version;
};

struct mp_instance_status {
    mp_incarnation incarnation;
    unsigned hyper document_version;
    hyper heard_ms;
    bool draining;
};

struct mp_account_status {
    string workspace<MP_NAME_MAX>;
    hyper granted_mtok;
    hyper settled_mtok;
    hyper reserved_mtok;
    hyper leased_mtok;
};

/* Who made a version of the document, and when. */
struct mp_history {
    unsigned hyper document_version;
    hyper at_ms;
    string author<MP_NAME_MAX>;
    string submission<MP_KEY_MAX>;
};

struct mp_read_reply {
    int code;
    string leader<MP_ADDRESS_MAX>;
    unsigned hyper document_version;
    string author<MP_NAME_MAX>;
    string document<MP_TEXT_MAX>;
    mp_members members;
    unsigned hyper applied;
    unsigned hyper term;
    mp_record_state record;
    mp_account_status accounts<>;
    mp_instance_status instances<>;
    mp_history history<>;
};

/* ---- snapshot of the replicated state ---- */

struct mp_lease_image {
    mp_incarnation holder;
    unsigned hyper seq;
    hyper amount_mtok;
    hyper last_grant_mtok;
    hyper spent_mtok;
    hyper drawn_mtok;
    hyper returned_mtok;
    bool recalled;
    bool is_fenced; /* its incarnation has ended */
    bool is_for_paths; /* for requests on paths */
};

struct mp_account_image {
    string workspace<MP_NAME_MAX>;
    hyper granted_mtok;
    hyper prepaid_mtok;
    hyper highest_mtok;
    hyper settled_mtok;
    hyper reserved_mtok;
    hyper outstanding_mtok;
    mp_lease_image leases<>;
};

struct mp_record_image {
    string workspace<MP_NAME_MAX>;
    string key<MP_KEY_MAX>;
    opaque body_hash[MP_HASH_BYTES];
    mp_incarnation holder;
    mp_record_state state;
    bool at_most_once;
    bool is_brief;
    unsigned hyper open_id;
    hyper reserve_mtok;
    hyper spent_mtok;
    hyper closed_ms;
    unsigned int reruns;
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

struct mp_marker_image {
    string id<MP_KEY_MAX>;
    string scope<MP_NAME_MAX>;
    int code;
    unsigned hyper number;
    hyper amount_mtok;
};

struct mp_suspect_image {
    opaque fingerprint[MP_HASH_BYTES];
    unsigned int crashes;
    hyper last_ms;
    string last_target<MP_NAME_MAX>;
    string workspace<MP_NAME_MAX>;
    string key<MP_KEY_MAX>;
    unsigned hyper open_id;
    bool is_tried;
    unsigned hyper run;
    unsigned int attempt;
    unsigned int trials;
    hyper until_ms;
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
};

/* ---- offline journal of an instance ---- */

struct mp_journal_entry {
    mp_offline request;
    bool settled;
};

program MIMOSAPATH_PROGRAM {
    version MIMOSAPATH_V1 {
        mp_hello MP_PROC_HELLO(mp_hello) = 1;
        mp_propose_reply MP_PROC_PROPOSE(mp_propose) = 2;
        mp_sync_reply MP_PROC_SYNC(mp_sync) = 3;
        mp_identify_reply MP_PROC_IDENTIFY(mp_identify) = 4;
        mp_read_reply MP_PROC_READ(mp_read) = 5;
        void MP_PROC_RAFT(mp_raft_message) = 6;
        mp_fetch_reply MP_PROC_FETCH(mp_fetch) = 7;
        mp_lend_reply MP_PROC_LEND(mp_lend) = 8;
        mp_repay_reply MP_PROC_REPAY(mp_repay) = 9;
    } = 1;
} = 0x20004d50;
