/**
 * DOC: hf-state - everything the reducer knows
 *
 * One struct with a slice for each concern. Only the modules of the reducer
 * change it.
 */
#ifndef HF_STATE_H
#define HF_STATE_H

#include "hf-document.h"
#include "hf-event.h"
#include "hf-latency.h"
#include "hf-log.h"
#include "hf-objects.h"
#include "hf-pool.h"
#include "hf-timers.h"

#include "config.h"

/* --- types: counters --- */

/** enum hf_counter - counters, names in hf_counter_names */
enum hf_counter
{
  HF_COUNT_REQUESTS,
  HF_COUNT_ANSWERED,
  HF_COUNT_NOT_RUN,
  HF_COUNT_UNKNOWN,
  HF_COUNT_CUT,
  HF_COUNT_CALLERS_GONE,
  HF_COUNT_DISPATCHED,
  HF_COUNT_RETRIES,
  HF_COUNT_HEDGES,
  HF_COUNT_HEDGES_WON,
  HF_COUNT_REFUSED_QUEUE_FULL,
  HF_COUNT_REFUSED_DEADLINE,
  HF_COUNT_REFUSED_NO_SERVER,
  HF_COUNT_REFUSED_RETRY_BUDGET,
  HF_COUNT_GRANTER_FALLBACKS,
  HF_COUNT_PEER_MESSAGES_SENT,
  HF_COUNT_PEER_MESSAGES_RECEIVED,
  HF_COUNT_PLATFORM_CALLS,
  HF_COUNT_PLATFORM_LOST,
  HF_COUNT_CLAIM_WRITES,
  HF_COUNT_CLAIMS_COMMITTED,
  HF_COUNT_CLAIMS_TAKEN,
  HF_COUNT_PROBES,
  HF_COUNT_QUARANTINED,
  HF_COUNT_DATAGRAMS_INVALID,
  HF_COUNT_PEER_BYTES_SENT,
  HF_COUNT_PEER_BYTES_RECEIVED,
  HF_COUNTERS,
};

/* --- types: timers --- */

/** enum hf_timer_kind - what a timer of the reducer is for */
enum hf_timer_kind
{
  HF_TIMER_HEARTBEAT,
  HF_TIMER_POOL_TICK,
  HF_TIMER_CALL_DEADLINE, /* id: call */
  HF_TIMER_SLOT_RESEND,   /* id: call, arg: attempt */
  HF_TIMER_CALL_RESPONSE, /* id: call, arg: attempt */
  HF_TIMER_CALL_RETRY,    /* id: call */
  HF_TIMER_CLAIM_RESEND,  /* id: claim sequence number */
  HF_TIMER_CLAIM_QUERY,   /* id: claim sequence number */
  HF_TIMER_CLAIM_WRITE,   /* id: shard */
  HF_TIMER_WATCH,         /* id: purpose */
  HF_TIMER_CONFIG_PULL,
  HF_TIMER_CONFIG_RESTORE,
  HF_TIMER_EXIT,
  HF_TIMER_MEASURE_TICK,
  HF_TIMER_DIRECTORY_EXPIRE, /* removals that were put off are due */
};

/* --- types: services --- */

/**
 * struct hf_service_state - a service at run time
 * @id: hf_service_id, or of one of its slices
 * @service_id: hf_service_id
 * @slice_count: slices of the service; known to its first one
 * @name: its name
 * @pool: slots of its backend servers as this entry knows them
 * @granter_bypassed_until: the granter is silent; decide locally until then
 * @probe_epoch: epoch that the tokens are for
 * @probe_tokens: probes left in the epoch
 * @probe_allotment_pending: an allotment is being asked for
 * @next_probe_index: place of the next server to probe
 * @last_slot_request_at: last time a slot was asked for here
 */
struct hf_service_state
{
  uint64_t id;
  uint64_t service_id;
  unsigned slice_count;
  struct hf_str name;
  struct hf_pool pool;
  int64_t granter_bypassed_until;
  int64_t probe_epoch;
  unsigned probe_tokens;
  bool probe_allotment_pending;
  size_t next_probe_index;
  int64_t last_slot_request_at; /* a slot was asked for */
};

/* --- types: calls --- */

/** enum hf_attempt_phase - where an attempt is */
enum hf_attempt_phase
{
  HF_PHASE_NONE,
  HF_PHASE_WAITING, /* no slot yet */
  HF_PHASE_RUNNING,
  HF_PHASE_ENDED,
};

/** struct hf_attempt - one attempt at a backend server */
struct hf_attempt
{
  enum hf_attempt_phase phase;
  bool retry;         /* takes a token of the retry budget */
  bool hedge;         /* started beside a live attempt */
  bool response_held; /* ended with an answer that may still be relayed */
  unsigned held_status;
  uint64_t excluded_server;     /* server to avoid */
  uint64_t granter;             /* boot id asked; 0: own pool */
  bool queued;                  /* the granter has queued it */
  unsigned unanswered_requests; /* messages to it since it was heard last */
  int64_t slot_requested_at;
  int64_t slot_first_requested_at; /* for this attempt, whoever was asked */
  uint64_t server;
  int64_t started_at;
  int slowdown_percent; /* the backend server's word in its answer, 0: none */
  GSequenceIter *slot_resend_timer;
  GSequenceIter *response_timer;
};

/** struct hf_usual_deadline - the deadline that most callers of a class begin with */
struct hf_usual_deadline
{
  int64_t deadline_ms;
  unsigned votes;
};

/** struct hf_call - one request of a caller */
struct hf_call
{
  uint64_t id;
  struct hf_document *document;
  const struct hf_service *service;
  const struct hf_class *class;
  uint64_t service_id;
  int64_t arrived_at;
  int64_t deadline;
  int64_t caller_deadline; /* the caller waits until then, perhaps for another try */
  int64_t soft_deadline;   /* an answer before then is worth most */
  size_t body_bytes;
  struct hf_str request_id;
  uint64_t fingerprint;
  bool body_streamed;
  bool response_relayed; /* an answer is on its way to the caller */
  bool ignore_refusals;  /* an attempt is being ended: refusals of others decide nothing */
  bool may_have_run;     /* an attempt may have run it */
  bool bytes_sent;       /* bytes were handed to a connection: a streamed body is not whole any more */
  uint64_t claim;        /* sequence number of its claim; 0: none */
  unsigned n_attempts;
  struct hf_attempt attempts[HF_ATTEMPTS_MAX];
  GSequenceIter *deadline_timer;
  GSequenceIter *retry_timer;
};

/* --- types: members --- */

/** struct hf_directory_parts - what has come of a message about the directory */
struct hf_directory_parts
{
  uint64_t to_revision; /* revision that it leads to */
  bool full;            /* it is all of the directory */
  uint64_t received;    /* bit for each part */
};

/** struct hf_member - another entry */
struct hf_member
{
  struct hf_str name;    /* as in the VM list; the address if only heard of */
  struct hf_str address; /* of its peer socket */
  uint64_t boot_id;      /* 0: not heard of yet */
  int64_t last_heartbeat_at;
  uint64_t generation;
  uint64_t digest;
  bool alive;
  uint64_t failure_domain;      /* hash of its name */
  double cpu_share;             /* of a core */
  bool leaving;                 /* it is shutting down */
  bool timed_out;               /* heartbeats were due and did not come */
  bool platform_unreachable;    /* it cannot follow the platform */
  bool is_coordinator;          /* by its rank */
  bool is_watcher;              /* by its rank */
  int64_t heartbeats_due_since; /* heartbeats are due since then; 0: none are */
  bool listed;                  /* in the platform's VM list */
  int64_t listed_at;
  bool stale; /* not seen since the watch started anew */
  struct hf_directory_parts directory_parts;
};

/* --- types: claims --- */

/** struct hf_claim_key - hash of service and Idempotency-Key */
struct hf_claim_key
{
  uint64_t high;
  uint64_t low;
};

/** enum hf_claim_phase - what became of a claim of this entry */
enum hf_claim_phase
{
  HF_CLAIM_COMMITTING,      /* not committed as far as is known */
  HF_CLAIM_QUERYING_HOLDER, /* taken; asking its holder */
  HF_CLAIM_COMMITTED,       /* committed; the call is waiting or running */
  HF_CLAIM_DONE,            /* run and answered, or of unknown outcome */
  HF_CLAIM_RELEASING,       /* known not run; being removed */
  HF_CLAIM_RELEASED,        /* known not run and removed */
};

/** struct hf_claim - a claim made by this entry */
struct hf_claim
{
  uint64_t seq;
  uint64_t call; /* 0: the call has ended */
  struct hf_claim_key key;
  enum hf_claim_phase phase;
  unsigned status; /* status of the answer, 0: none */
  unsigned requests_sent;
  struct hf_rpc_claim_id holder; /* who holds the key instead */
  struct hf_rpc_claim_id replaces;
  int64_t changed_at;
  GSequenceIter *timer;
};

/** enum hf_claim_op - what is asked of the owner of a shard */
enum hf_claim_op
{
  HF_CLAIM_OP_COMMIT,
  HF_CLAIM_OP_RELEASE,
};

/** enum hf_claim_outcome - the owner's answer */
enum hf_claim_outcome
{
  HF_CLAIM_OUTCOME_COMMITTED,
  HF_CLAIM_OUTCOME_TAKEN,
  HF_CLAIM_OUTCOME_RELEASED,
  HF_CLAIM_OUTCOME_UNAVAILABLE,
};

/** enum hf_claim_query_state - what a holder says of its claim */
enum hf_claim_query_state
{
  HF_CLAIM_QUERY_UNKNOWN,
  HF_CLAIM_QUERY_NOT_RUN,
  HF_CLAIM_QUERY_RUNNING,
  HF_CLAIM_QUERY_DONE,
};

/** struct hf_claim_shard_op - an operation that waits for its shard */
struct hf_claim_shard_op
{
  enum hf_claim_op op;
  struct hf_claim_key key;
  struct hf_rpc_claim_id id;
  struct hf_rpc_claim_id replaces;
  uint64_t requester; /* boot id of the asking entry */
};

/** struct hf_claim_shard - a part of the key space, as its owner knows it */
struct hf_claim_shard
{
  bool loaded;
  bool call_in_flight; /* a platform call is out */

  uint64_t version;
  GHashTable *keys;      /* struct hf_claimed_key */
  GArray *waiting;       /* struct hf_claim_shard_op, not in a write yet */
  GArray *writing;       /* struct hf_claim_shard_op, in the write that is out */
  GHashTable *next_keys; /* keys as they will be after the write */
  int64_t written_at;
  GSequenceIter *timer;
};

/* --- types: quarantine --- */

/** struct hf_suspect - a request that may crash backend servers */
struct hf_suspect
{
  uint64_t fingerprint;
  uint64_t crashed_servers[HF_CRASHES_MAX]; /* distinct servers that broke under it */
  unsigned crash_count;
  int64_t first_crash_at;
  int64_t quarantined_until; /* quarantined until then */
};

/* --- types: configuration --- */

/** struct hf_config_pull - a document that is being fetched from a peer */
struct hf_config_pull
{
  uint64_t boot_id; /* boot id; 0: none */
  uint64_t generation;
  uint64_t digest;
  GString *text;
  unsigned requests_sent; /* since bytes came last */
  int64_t progress_at;    /* bytes came last, or it began */
  GSequenceIter *timer;
};

/** struct hf_watch - a watch of the platform */
struct hf_watch
{
  int64_t last_event_at;
  int64_t started_at;
  unsigned failures;
  bool complete; /* the first bookmark has come */
  GSequenceIter *timer;
};

/**
 * struct hf_directory - the platform's directory of backend servers
 * @servers: by name, of the module itself
 * @complete: it was listed whole once
 * @entries_complete: so were the other entries
 * @unreachable: it cannot be reached now
 * @recovered_at: when it could be reached again
 * @listing: a list from the platform is on its way
 * @pools_outdated: reports came that the pools were not fitted to
 * @revision: of the platform's store, up to which changes are known
 * @confirmed_at: last time at which that was known to be current
 * @platform_unreachable_until: this entry had no answer lately
 */
struct hf_directory
{
  GHashTable *servers;
  bool complete;
  bool entries_complete;
  bool unreachable;
  int64_t recovered_at;
  bool listing;
  bool pools_outdated;
  uint64_t revision;
  int64_t confirmed_at;
  int64_t platform_unreachable_until;
};

/**
 * struct hf_roles - duties of this entry and of the others
 * @is_coordinator: heartbeats go between it and all others
 * @is_watcher: it follows the platform's directory for its failure domain
 * @watcher_since: for so long
 * @update_pending: the members changed since the duties were given
 * @granters: uint64_t, boot ids of the entries that grant slots
 */
struct hf_roles
{
  bool is_coordinator;
  bool is_watcher;
  int64_t watcher_since;
  bool update_pending;
  GArray *granters;
};

/**
 * struct hf_directory_sync - changes of the directory that go from entry to entry
 * @changes: struct hf_directory_change, the oldest first
 * @changes_since: later changes are all in @changes
 * @changed_revision: revision of the last change
 * @full_sync_from: boot id of the entry that is telling the whole directory; 0: none
 * @full_sync_started_at: when it began
 * @behind_since: a watcher knows more since then; 0: none does
 * @remote_revision: latest change that heartbeats tell of
 * @remote_ahead_since: it is not known here since then
 * @platform_reachable_since: the platform answers, while no watcher says so; 0: it does not
 * @watch_mode: what was asked of the platform's client
 * @watch_until: not less than that before then
 * @last_sent_at: last message to the followers
 */
struct hf_directory_sync
{
  GArray *changes;
  uint64_t changes_since;
  uint64_t changed_revision;
  uint64_t full_sync_from;
  int64_t full_sync_started_at;
  int64_t behind_since;
  uint64_t remote_revision;
  int64_t remote_ahead_since;
  int64_t platform_reachable_since;
  enum hf_watch_mode watch_mode;
  int64_t watch_until;
  int64_t last_sent_at;
};

/** struct hf_state - the reducer's state */
struct hf_state
{
  struct hf_str name;
  struct hf_str failure_domain;
  struct hf_str address; /* of its peer socket, as set */
  double cpu_share;      /* of a core */
  int64_t drain_wait_ms;
  uint64_t boot_id;
  uint64_t random_state;
  int64_t now;
  int64_t wall_time;
  int64_t heartbeat_due_at;
  int64_t wakeup_at;
  bool leaving;
  bool measure_timer_running; /* the timer of measurements runs */
  uint64_t heartbeat_seq;
  struct hf_effects *effects;

  struct hf_document *document;
  uint64_t config_version;           /* version of the object, 0: unknown or none */
  uint64_t config_stored_generation; /* generation seen in the platform */
  int64_t config_checked_at;
  struct hf_config_pull config_pull;
  int64_t config_send_window_at; /* parts of the document told to others, */
  size_t config_sent_bytes;      /* and how much since then */
  struct hf_watch watches[2];    /* by enum hf_platform_purpose */
  bool platform_reachable;
  GSequenceIter *restore_timer;

  bool external_store; /* document, entries and directory come from outside of the reducer */
  struct hf_directory directory;
  struct hf_directory_sync directory_sync;
  struct hf_roles roles;
  GHashTable *services;          /* struct hf_service_state by id */
  GHashTable *service_by_server; /* the same by id of a backend server */
  GHashTable *class_deadlines;   /* struct hf_usual_deadline by hash of a class's name */
  GHashTable *calls;             /* struct hf_call by id */
  GPtrArray *members;            /* struct hf_member */
  GHashTable *draining_vms;      /* addresses of leaving backend VMs */
  GHashTable *claims;            /* struct hf_claim by seq */
  uint64_t last_claim_seq;
  struct hf_claim_shard claim_shards[HF_CLAIM_SHARDS];
  GHashTable *suspects; /* struct hf_suspect by fingerprint */
  struct hf_timers timers;
  uint64_t counters[HF_COUNTERS];
  struct hf_latency latency;
};

/* --- public functions: helpers of the reducer's modules --- */

extern const char *const hf_counter_names[HF_COUNTERS];                                     /* name of each counter */
struct hf_service_state *hf_state_find_service (const struct hf_state *state, uint64_t id); /* NULL if unknown */
void hf_state_free_service (void *service); /* for the table of services */
bool hf_state_mark_draining (struct hf_state *state,
                             struct hf_service_state *service,
                             uint64_t server,
                             enum hf_drain_source source,
                             int64_t until,
                             const char *reported_by);                     /* marks and logs; true if this is news */
void hf_state_increment (struct hf_state *state, enum hf_counter counter); /* adds one */
void hf_state_log (struct hf_state *state, enum hf_log_number number, const char *format, ...)
    __attribute__ ((format (printf, 3, 4))); /* effect LOG */
void hf_state_send_to_member (struct hf_state *state,
                              uint64_t boot_id,
                              struct hf_rpc_message message); /* effect SEND to a member */
void hf_state_send_to_address (struct hf_state *state,
                               struct hf_str address,
                               struct hf_rpc_message message); /* effect SEND to an address */
void hf_state_call_platform (struct hf_state *state,
                             enum hf_platform_op op,
                             enum hf_platform_purpose purpose,
                             uint64_t arg,
                             struct hf_str name,
                             uint64_t version,
                             struct hf_str data); /* effect PLATFORM */
GSequenceIter *hf_state_start_timer (struct hf_state *state,
                                     int64_t delay,
                                     enum hf_timer_kind kind,
                                     uint64_t id,
                                     uint64_t arg); /* starts a timer */

#endif
