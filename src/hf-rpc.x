/*
 * Messages between entries: one-way ONC RPC calls in UDP datagrams. The
 * procedure number is the message kind. Every array is bounded, which also
 * bounds the memory of a decoded message.
 *
 * XDR identifies fields by position: their order and types, and the values of
 * constants and enumerators, are the wire format.
 */
const HF_RPC_PROGRAM = 541083233;
const HF_RPC_VERSION = 5;
const HF_RPC_LOADS_MAX = 512;
const HF_RPC_GRANTS_MAX = 512;
const HF_RPC_CONFIG_CHUNK_MAX = 8192;
const HF_RPC_NAME_MAX = 128;
const HF_RPC_EVACUATIONS_MAX = 32;
const HF_RPC_COLD_MAX = 256;
const HF_RPC_REPORTS_MAX = 24;
const HF_RPC_COORDINATORS_MAX = 64;
const HF_RPC_FORECASTS_MAX = 256;

enum hf_rpc_kind {
  HF_RPC_HEARTBEAT = 1,
  HF_RPC_ACQUIRE = 2,
  HF_RPC_DECISION = 3,
  HF_RPC_RELEASE = 4,
  HF_RPC_CLAIM = 5,
  HF_RPC_CLAIM_REPLY = 6,
  HF_RPC_CLAIM_QUERY = 7,
  HF_RPC_CLAIM_QUERY_REPLY = 8,
  HF_RPC_NOTICE = 9,
  HF_RPC_CONFIG_PULL = 10,
  HF_RPC_CONFIG_CHUNK = 11,
  HF_RPC_DIRECTORY_UPDATE = 12,
  HF_RPC_DIRECTORY_PULL = 13,
  HF_RPC_CONFIG_OFFER = 14,
  HF_RPC_QUOTA_REQUEST = 15,
  HF_RPC_QUOTA_LEASE = 16,
  HF_RPC_QUOTA_HANDOVER = 17,
  HF_RPC_LOAD_REPORT = 20
};

/* Position in the changes of the platform's store: number of its history, and revision in that history. */
struct hf_rpc_store_position {
  unsigned hyper era;
  unsigned hyper revision;
};

/* Number of requests that the sender has in flight at one backend server. */
struct hf_rpc_server_load {
  unsigned hyper server;
  unsigned int count;
};

/* A live coordinator of another failure domain. address: IP:PORT of its peer socket. silent_ms: time since its last
 * heartbeat. The other fields are those of that heartbeat. */
struct hf_rpc_coordinator {
  unsigned hyper boot_id;
  unsigned hyper failure_domain;
  opaque address<HF_RPC_NAME_MAX>;
  unsigned int cpu_percent;
  unsigned int silent_ms;
  bool platform_unreachable;
  bool leaving;
  bool starting;
};

/* A backend server that is cold, and for how long. */
struct hf_rpc_cold_server {
  unsigned hyper server;
  unsigned int remaining_ms;
};

/* Liveness, configuration in force and load of the sender.
 * failure_domain: hash of its name. cpu_percent: processor time of the sender, 100 is one core.
 * platform_unreachable: the sender has no response from the platform and cannot watch its directory.
 * directory_position: position of the last directory change that the sender has applied.
 * generation, digest: of its configuration document, 0 if it has none.
 * leaving: the sender is shutting down. starting: it has not read its configuration or directory yet and cannot grant
 * slots. wants_reply: the receiver sends a heartbeat back immediately.
 * sent_at: time of the sender's clock, low bits in microseconds. echo_sent_at: the same of the last heartbeat that the
 * sender got from the receiver; echo_held_us: time since that arrived, 4294967295: there was none lately.
 * uptime_ms: time since the start of the sender's process.
 * rtt_us: smallest round trip to another failure domain that the sender has measured lately, 0: none.
 * affinity_epoch: number of the last decision on domain affinity that the sender knows.
 * coordinators: of other failure domains, from a coordinator to an entry that exchanges no heartbeats with them.
 * grants: tickets of the slots granted by the receiver that the sender still uses.
 * evacuated: hashes of the names of the failure domains that are evacuated; evacuations_position: position up to which
 * they are complete, revision 0 if the sender does not know them.
 * cold: backend servers that told the sender that they are cold, unless the directory tells it, too. */
struct hf_rpc_heartbeat {
  unsigned hyper seq;
  unsigned hyper failure_domain;
  unsigned int cpu_percent;
  bool platform_unreachable;
  hf_rpc_store_position directory_position;
  unsigned hyper generation;
  unsigned hyper digest;
  bool leaving;
  bool starting;
  bool wants_reply;
  unsigned int sent_at;
  unsigned int echo_sent_at;
  unsigned int echo_held_us;
  unsigned int uptime_ms;
  unsigned int rtt_us;
  unsigned int affinity_epoch;
  hf_rpc_coordinator coordinators<HF_RPC_COORDINATORS_MAX>;
  hf_rpc_server_load loads<HF_RPC_LOADS_MAX>;
  unsigned hyper grants<HF_RPC_GRANTS_MAX>;
  hf_rpc_store_position evacuations_position;
  unsigned hyper evacuated<HF_RPC_EVACUATIONS_MAX>;
  hf_rpc_cold_server cold<HF_RPC_COLD_MAX>;
};

/* Requests one slot from the granter of a service (service: id of the slice, ticket: id of the attempt at the sender,
 * organisation: hash of the name of the caller's organisation, 0: none).
 * referred: a granter of another failure domain has referred it to this one, which serves it or refuses it.
 * soft_deadline_ms, remaining_ms: time until the soft deadline (negative: it has passed) and until the deadline. */
struct hf_rpc_acquire {
  unsigned hyper service;
  unsigned hyper ticket;
  unsigned int priority;
  unsigned hyper organisation;
  unsigned int worth;
  int soft_deadline_ms;
  unsigned int remaining_ms;
  unsigned hyper failure_domain;
  unsigned int body_bytes;
  bool retry;
  bool hedge;
  bool referred;
  unsigned hyper excluded_server;
};

/* The granter's decision on a slot request: queued, granted, refused, or referred to the slice of another failure domain,
 * whose id is in server then (kind: enum hf_decision_kind, reason: enum hf_refusal_reason). */
struct hf_rpc_decision {
  unsigned hyper service;
  unsigned hyper ticket;
  unsigned int kind;
  unsigned hyper server;
  unsigned int reason;
};

/* Releases a slot and reports how the backend server behaved (result: enum hf_slot_result). */
struct hf_rpc_release {
  unsigned hyper service;
  unsigned hyper ticket;
  unsigned hyper server;
  unsigned int result;
  unsigned int latency_us;
  unsigned int slowdown_percent;
};

/* Identifies a claim: boot id of the entry that made it, and a sequence number of that entry. */
struct hf_rpc_claim_id {
  unsigned hyper boot_id;
  unsigned hyper seq;
};

/* Requests the owner of a shard to commit or release a claim (op: enum hf_claim_op).
 * replaces: claim that is known not to have run and is replaced by this one. */
struct hf_rpc_claim {
  unsigned int op;
  unsigned hyper key_high;
  unsigned hyper key_low;
  hf_rpc_claim_id id;
  hf_rpc_claim_id replaces;
};

/* Result of a claim operation (enum hf_claim_outcome); holder: the claim that holds the key now. */
struct hf_rpc_claim_reply {
  unsigned int outcome;
  unsigned hyper key_high;
  unsigned hyper key_low;
  hf_rpc_claim_id id;
  hf_rpc_claim_id holder;
};

/* Queries the entry that holds a key for the state of its claim. */
struct hf_rpc_claim_query {
  unsigned hyper key_high;
  unsigned hyper key_low;
  hf_rpc_claim_id holder;
  hf_rpc_claim_id requester;
};

/* State of the holder's claim (enum hf_claim_query_state); status: HTTP status of its response, 0 if none. */
struct hf_rpc_claim_query_reply {
  unsigned hyper key_high;
  unsigned hyper key_low;
  hf_rpc_claim_id holder;
  hf_rpc_claim_id requester;
  unsigned int state;
  unsigned int status;
};

/* Reports what one entry observed (kind: enum hf_notice_kind): a backend server that drains or accepts requests again,
 * or a request that crashed a backend server or was answered. hold_ms: how long a draining server is avoided. */
struct hf_rpc_notice {
  unsigned int kind;
  unsigned hyper subject;
  unsigned hyper id;
  unsigned int hold_ms;
};

/* Offers the configuration document of a generation, which the sender has in force. */
struct hf_rpc_config_offer {
  unsigned hyper generation;
  unsigned hyper digest;
};

/* Requests the chunk of a compressed configuration document that begins at an offset. */
struct hf_rpc_config_pull {
  unsigned hyper generation;
  unsigned int offset;
};

/* One chunk of a compressed configuration document. If the sender no longer has the generation that was requested, it
 * sends the first chunk of the one in force. digest, text_bytes: of the document before compression; total: bytes of
 * the complete compressed document. */
struct hf_rpc_config_chunk {
  unsigned hyper generation;
  unsigned hyper digest;
  unsigned int text_bytes;
  unsigned int total;
  unsigned int offset;
  opaque data<HF_RPC_CONFIG_CHUNK_MAX>;
};

/* One backend server of the directory. One that was removed from it is still used for removal_delay_ms.
 * sequence: number of the report among those of its incarnation. */
struct hf_rpc_server_report {
  opaque name<HF_RPC_NAME_MAX>;
  opaque service<HF_RPC_NAME_MAX>;
  opaque address<HF_RPC_NAME_MAX>;
  opaque failure_domain<HF_RPC_NAME_MAX>;
  unsigned int slots;
  unsigned hyper incarnation;
  unsigned hyper sequence;
  unsigned int warmup_ms;
  bool draining;
  bool removed;
  unsigned int removal_delay_ms;
};

/* One part of a directory update: the changes between two positions or, if full, the whole directory.
 * age_ms: time since the position to was last known to be current.
 * from_max: highest revision on which it follows, as it has the differences of a list from there on; 0: no limit.
 * reports_digest: hash of the names of all its servers, in order; parts that differ in it belong to different updates.
 * platform_unreachable, generation, digest: as in the heartbeat. */
struct hf_rpc_directory_update {
  hf_rpc_store_position from;
  unsigned hyper from_max;
  hf_rpc_store_position to;
  unsigned int part;
  unsigned int parts;
  unsigned hyper reports_digest;
  bool full;
  bool platform_unreachable;
  unsigned int age_ms;
  unsigned hyper generation;
  unsigned hyper digest;
  hf_rpc_server_report reports<HF_RPC_REPORTS_MAX>;
};

/* Requests the directory changes since a position. */
struct hf_rpc_directory_pull {
  hf_rpc_store_position from;
};

/* Requests credits of an organisation from its owner and returns unused ones. The members are those of struct
 * hf_quota_request. */
struct hf_rpc_quota_request {
  unsigned hyper organisation;
  unsigned hyper sequence;
  bool late;
  unsigned int needed;
  unsigned int expected;
  unsigned int returned;
  unsigned hyper returned_sequence;
};

/* The owner's answer: credits that are valid for valid_ms after the request was first sent.
 * retry_after_ms: when credit is expected, if not all that were needed are given.
 * filling: the bucket began empty a moment ago; the requests may wait for it.
 * moved_to: boot id of the entry that is the owner now, 0: the sender is. late: as in the request. */
struct hf_rpc_quota_lease {
  unsigned hyper organisation;
  unsigned hyper sequence;
  bool late;
  unsigned int credits;
  unsigned int valid_ms;
  unsigned int retry_after_ms;
  bool filling;
  unsigned hyper moved_to;
};

/* A new owner of an organisation asks the former one for the bucket, or gets its level in thousandths of a credit. */
struct hf_rpc_quota_handover {
  unsigned hyper organisation;
  bool has_level;
  unsigned int level_permille;
};

/* How soon a slice could serve a request: free slots, expected wait of one that arrives now, and the additional wait for
 * each request in the queue. */
struct hf_rpc_forecast {
  unsigned hyper slice;
  unsigned int free_slots;
  unsigned int wait_us;
  unsigned int slot_us;
};

/* Forecasts of the slices that the sender grants, to the granters of other failure domains. */
struct hf_rpc_load_report {
  hf_rpc_forecast forecasts<HF_RPC_FORECASTS_MAX>;
};

union hf_rpc_body switch (hf_rpc_kind kind) {
case HF_RPC_HEARTBEAT: hf_rpc_heartbeat heartbeat;
case HF_RPC_ACQUIRE: hf_rpc_acquire acquire;
case HF_RPC_DECISION: hf_rpc_decision decision;
case HF_RPC_RELEASE: hf_rpc_release release;
case HF_RPC_CLAIM: hf_rpc_claim claim;
case HF_RPC_CLAIM_REPLY: hf_rpc_claim_reply claim_reply;
case HF_RPC_CLAIM_QUERY: hf_rpc_claim_query claim_query;
case HF_RPC_CLAIM_QUERY_REPLY: hf_rpc_claim_query_reply claim_query_reply;
case HF_RPC_NOTICE: hf_rpc_notice notice;
case HF_RPC_CONFIG_PULL: hf_rpc_config_pull config_pull;
case HF_RPC_CONFIG_CHUNK: hf_rpc_config_chunk config_chunk;
case HF_RPC_DIRECTORY_UPDATE: hf_rpc_directory_update directory_update;
case HF_RPC_DIRECTORY_PULL: hf_rpc_directory_pull directory_pull;
case HF_RPC_CONFIG_OFFER: hf_rpc_config_offer config_offer;
case HF_RPC_QUOTA_REQUEST: hf_rpc_quota_request quota_request;
case HF_RPC_QUOTA_LEASE: hf_rpc_quota_lease quota_lease;
case HF_RPC_QUOTA_HANDOVER: hf_rpc_quota_handover quota_handover;
case HF_RPC_LOAD_REPORT: hf_rpc_load_report load_report;
};

/* Every message carries the boot id of its sender. */
struct hf_rpc_message {
  unsigned hyper boot_id;
  hf_rpc_body body;
};
