/**
 * DOC: hf-state - state of the reducer
 *
 * One struct with a part for each concern. Only the reducer's modules change it.
 * Times are monotonic and in microseconds unless a comment says otherwise;
 * entries are identified by their boot id, which is random for each process.
 */
#ifndef HF_STATE_H
#define HF_STATE_H

#include "hf-affinity.h"
#include "hf-document.h"
#include "hf-evacuations.h"
#include "hf-event.h"
#include "hf-latency.h"
#include "hf-log.h"
#include "hf-objects.h"
#include "hf-organisation-counts.h"
#include "hf-pool.h"
#include "hf-quota.h"
#include "hf-removed-servers.h"
#include "hf-timers.h"
#include "hf-traffic.h"

#include "config.h"

/* --- types: counters --- */

/** enum hf_counter - counters of the metrics, named in hf_counter_names */
enum hf_counter
{
  HF_COUNT_REQUESTS,     /* requests received from callers */
  HF_COUNT_ANSWERED,     /* answered with a response of a backend server */
  HF_COUNT_NOT_RUN,      /* failed; no backend server ran the request */
  HF_COUNT_UNKNOWN,      /* failed; a backend server may have run the request */
  HF_COUNT_CUT,          /* responses aborted after they had begun */
  HF_COUNT_CALLERS_GONE, /* callers that disconnected early */
  HF_COUNT_DISPATCHED,   /* attempts sent to a backend server */
  HF_COUNT_RETRIES,
  HF_COUNT_HEDGES,
  HF_COUNT_HEDGES_WON, /* hedges that supplied the response */
  HF_COUNT_REFUSED_QUEUE_FULL,
  HF_COUNT_REFUSED_DEADLINE,
  HF_COUNT_REFUSED_NO_SERVER,
  HF_COUNT_REFUSED_RETRY_BUDGET, /* no retry token left, or a hedge that is not needed */
  HF_COUNT_REFUSED_PUSHBACK,     /* every backend server wants no requests from this entry */
  HF_COUNT_SERVERS_LEAVING,      /* instances that said in a response that they leave */
  HF_COUNT_PUSHBACKS,            /* responses with 503 and Retry-After */
  HF_COUNT_RETRY_AFTER_INVALID,  /* such responses whose Retry-After was ignored */
  HF_COUNT_SLOTS_RETURNED,       /* granted at servers that this entry must not use */
  HF_COUNT_REFERRED,             /* slot requests that went to another failure domain */
  HF_COUNT_GRANTER_FALLBACKS,    /* granters that did not respond; slots were granted locally */
  HF_COUNT_PEER_MESSAGES_SENT,
  HF_COUNT_PEER_MESSAGES_RECEIVED,
  HF_COUNT_PLATFORM_CALLS,
  HF_COUNT_PLATFORM_LOST,     /* platform calls without a response */
  HF_COUNT_PLATFORM_RESTORED, /* times that the platform's store came back from an older copy */
  HF_COUNT_CLAIM_WRITES,
  HF_COUNT_CLAIMS_COMMITTED,
  HF_COUNT_CLAIMS_TAKEN,      /* claims whose key another claim held */
  HF_COUNT_PROBES,            /* health probes and measurements sent */
  HF_COUNT_QUARANTINED,       /* requests refused by the quarantine */
  HF_COUNT_UNAUTHORISED,      /* requests refused with 401 */
  HF_COUNT_UNCONFIRMED,       /* requests with keys refused because nothing confirms the configuration */
  HF_COUNT_DATAGRAMS_INVALID, /* peer datagrams that did not decode */
  HF_COUNT_PEER_BYTES_SENT,
  HF_COUNT_PEER_BYTES_RECEIVED,
  HF_COUNT_QUOTA_REFUSED,          /* requests refused with 429 */
  HF_COUNT_QUOTA_REQUESTS,         /* requests for credits sent to owners, resent ones not counted */
  HF_COUNT_QUOTA_LEASES,           /* answers of this entry as owner */
  HF_COUNT_QUOTA_CREDITS_GIVEN,    /* in these answers */
  HF_COUNT_QUOTA_CREDITS_REFUSED,  /* needed and not given */
  HF_COUNT_QUOTA_CREDITS_RETURNED, /* by entries that did not use them */
  HF_COUNT_QUOTA_RESERVE_USED,     /* credits of the local reserve */
  HF_COUNT_QUOTA_FALLBACKS,        /* owners that did not respond */
  HF_COUNTERS,
};

/* --- types: timers --- */

/** enum hf_timer_kind - purposes of the reducer's timers and what their arguments hold */
enum hf_timer_kind
{
  HF_TIMER_HEARTBEAT,        /* heartbeats and checks of the members */
  HF_TIMER_POOL_TICK,        /* queued slot requests and directory sync */
  HF_TIMER_CALL_DEADLINE,    /* id: call */
  HF_TIMER_SLOT_RESEND,      /* id: call, arg: attempt; the slot request is sent again */
  HF_TIMER_CALL_RESPONSE,    /* id: call, arg: attempt; the response is late */
  HF_TIMER_CALL_RETRY,       /* id: call; the backoff has passed */
  HF_TIMER_CLAIM_RESEND,     /* id: seq of the claim; no reply of the shard's owner yet */
  HF_TIMER_CLAIM_QUERY,      /* id: seq of the claim; no reply of the key's holder yet */
  HF_TIMER_CLAIM_WRITE,      /* id: shard; its next write may start */
  HF_TIMER_WATCH,            /* id: purpose; reopens an ended watch */
  HF_TIMER_CONFIG_PULL,      /* no chunk from the peer yet, or no offer */
  HF_TIMER_CONFIG_RESTORE,   /* writes a lost generation back to the platform */
  HF_TIMER_EXIT,             /* the drain wait of the shutdown has passed */
  HF_TIMER_LAST_RESPONSES,   /* the process exits soon: whatever is open is answered */
  HF_TIMER_MEASURE_TICK,     /* measurements of backend servers */
  HF_TIMER_DIRECTORY_EXPIRE, /* delayed removals from the directory are due */
  HF_TIMER_QUOTA,            /* id: account of an organisation; credits are awaited, or unused ones have expired */
};

/* --- types: services --- */

/**
 * struct hf_service_state - run-time state of a service, or of one of its slices
 * @id: id of the slice; that of the first slice is the service's id
 * @service_id: hf_service_id of the whole service
 * @slice_count: slices of the service, or of each of @domains; kept in its first slice only
 * @domains: uint64_t, failure domains that have slices of their own (0: servers without one); the same; NULL: none
 * @budget_shares: slices that the service would have without @domains; the same
 * @failure_domain: failure domain of this slice; 0: none
 * @has_domain: the slice belongs to a failure domain or to the servers without one
 * @forecast: how soon the slice could serve a request, by the last report of its granter
 * @forecast_at: when that arrived; 0: never
 * @reported_forecast: the last one that this entry reported, if it is the granter
 * @name: name of the service
 * @pool: slots of the slice's backend servers as this entry has recorded them
 * @granter_bypassed_until: slots are granted locally until then because the granter did not respond
 * @probe_epoch: epoch of the probe budget that @probe_tokens belongs to
 * @probe_tokens: probes left in the epoch
 * @probe_tokens_requested: tokens that the write in progress at the platform takes
 * @probe_allotment_pending: a request for probe tokens is in progress at the platform
 * @probe_allotment_retry_at: no tokens were left; the allotment is read again then
 * @next_probe_index: index of the next backend server to probe
 * @last_slot_request_at: last slot request at this entry
 * @granter_since: this entry has been the granter since then; 0: it is not; kept where cold servers are limited
 * @majority_since: the same, and in touch with more than half of the entries
 */
struct hf_service_state
{
  uint64_t id;
  uint64_t service_id;
  unsigned slice_count;
  GArray *domains;
  unsigned budget_shares;
  uint64_t failure_domain;
  bool has_domain;
  struct hf_forecast forecast;
  int64_t forecast_at;
  struct hf_forecast reported_forecast;
  struct hf_str name;
  struct hf_pool pool;
  int64_t granter_bypassed_until;
  int64_t probe_epoch;
  unsigned probe_tokens;
  unsigned probe_tokens_requested;
  bool probe_allotment_pending;
  int64_t probe_allotment_retry_at;
  size_t next_probe_index;
  int64_t last_slot_request_at;
  int64_t granter_since;
  int64_t majority_since;
};

/* --- types: calls --- */

/** enum hf_attempt_phase - progress of an attempt */
enum hf_attempt_phase
{
  HF_PHASE_NONE,    /* not begun */
  HF_PHASE_WAITING, /* for a slot */
  HF_PHASE_RUNNING, /* dispatched to a backend server */
  HF_PHASE_ENDED,
};

/** struct hf_attempt - one attempt to have a request run by a backend server */
struct hf_attempt
{
  enum hf_attempt_phase phase;
  bool retry;                      /* takes a token of the retry budget */
  bool hedge;                      /* started while another attempt was still running */
  bool response_held;              /* ended with a response that may still be relayed */
  unsigned held_status;            /* HTTP status of the held response */
  uint64_t excluded_server;        /* backend server to avoid; 0: none */
  uint64_t granter;                /* boot id of the entry that grants its slot; 0: own pool */
  bool queued;                     /* the granter has confirmed that it queued the request */
  unsigned unanswered_requests;    /* slot requests sent since the granter last replied */
  int64_t slot_requested_at;       /* last slot request sent */
  int64_t slot_first_requested_at; /* first one of this attempt, whichever granter received it */
  uint64_t server;                 /* backend server that it runs at */
  int64_t started_at;              /* dispatched */
  int slowdown_percent;            /* reported with the response; 100: normal speed, 0: not reported */
  GSequenceIter *slot_resend_timer;
  GSequenceIter *response_timer;
};

/** struct hf_usual_deadline - the deadline that most callers of a class start with */
struct hf_usual_deadline
{
  int64_t deadline_ms;
  unsigned votes; /* majority vote: up for a caller with this deadline, down for any other */
};

/** enum hf_quota_phase - whether a call has a credit of its organisation */
enum hf_quota_phase
{
  HF_QUOTA_UNLIMITED, /* it needs none */
  HF_QUOTA_WAITING,   /* for the first credit; no attempt has begun */
  HF_QUOTA_HELD,      /* not sent to a backend server yet */
  HF_QUOTA_RENEWING,  /* has a slot, but its credit had expired; waits for another one */
  HF_QUOTA_SPENT,     /* sent */
};

/**
 * struct hf_call_quota - credit of a call
 * @phase: whether it has one
 * @late: it could not be answered within its target latency any more when it came
 * @credit: if held or spent; of a refused call: its @owner is who refused it, 0: nobody responded
 * @attempt: while renewing: the attempt that has a slot
 * @server: while renewing: id of the backend server of the slot
 */
struct hf_call_quota
{
  enum hf_quota_phase phase;
  bool late;
  struct hf_quota_credit credit;
  unsigned attempt;
  uint64_t server;
};

/** struct hf_call - one request of a caller while it is in progress */
struct hf_call
{
  uint64_t id;
  struct hf_document *document; /* reference to the configuration that it was routed by */
  const struct hf_service *service;
  const struct hf_request_class *class;
  const struct hf_organisation *organisation; /* of @document, by the key of the request; NULL: none */
  unsigned priority;                          /* rank in the queue for slots: of the organisation or the class */
  uint64_t slice_id;                          /* id of the slice that serves it */
  uint64_t home_slice_id;                     /* it was referred from this slice; 0: it was not, or is back */
  bool referred;                              /* a granter has referred it: no other one does so again */
  int64_t arrived_at;                         /* when its head arrived */
  int64_t deadline;                           /* the call fails then */
  int64_t caller_deadline;                    /* the caller gives up then; it may retry before */
  int64_t soft_deadline;                      /* a response before then is worth most */
  int64_t relay_deadline;                     /* a response that is being relayed ends then; INT64_MAX: no bound */
  size_t body_bytes;
  struct hf_str request_id;
  uint64_t fingerprint;          /* hash for the quarantine */
  bool body_streamed;            /* the body was too long to be kept; it cannot be sent twice */
  bool response_relayed;         /* a response is being relayed to the caller */
  bool ignore_refusals;          /* an attempt is being ended; refused slots of others do not end the call */
  bool may_have_run;             /* a backend server may have run it */
  bool bytes_sent;               /* written to a backend connection; a streamed body cannot be sent again */
  uint64_t claim;                /* sequence number of its idempotency claim; 0: none */
  struct hf_str idempotency_key; /* until the claim begins; empty: none */
  struct hf_call_quota quota;
  unsigned n_attempts;
  struct hf_attempt attempts[HF_ATTEMPTS_MAX];
  GSequenceIter *deadline_timer;
  GSequenceIter *retry_timer;
};

/* --- types: members --- */

/** struct hf_directory_parts - which parts of a directory update have been received */
struct hf_directory_parts
{
  struct hf_store_position to; /* position after the update */
  uint64_t reports_digest;     /* of all its servers */
  bool has_gap;                /* it has the differences of a list, not each change */
  bool full;                   /* it lists the whole directory, not only changes */
  uint64_t received;           /* one bit for each part */
};

/** struct hf_member - another entry */
struct hf_member
{
  struct hf_str name;    /* as in the VM list; the address until it is listed */
  struct hf_str address; /* IP:PORT of its peer socket */
  uint64_t boot_id;      /* 0: no message received yet */
  int64_t last_heartbeat_at;
  uint64_t generation;          /* of its configuration */
  uint64_t digest;              /* of its configuration */
  bool alive;                   /* heartbeats arrive */
  uint64_t failure_domain;      /* hash of the name */
  double cpu_share;             /* processor time in cores */
  int64_t started_at;           /* start of its process */
  bool leaving;                 /* it is shutting down */
  bool starting;                /* it has no configuration or directory yet and cannot grant slots */
  bool timed_out;               /* heartbeats were due and did not arrive */
  bool platform_unreachable;    /* it has no response from the platform and cannot be a watcher */
  bool is_coordinator;          /* exchanges heartbeats with all entries */
  bool is_watcher;              /* watches the platform's directory for its failure domain */
  int64_t heartbeats_due_since; /* 0: no heartbeats are exchanged with it */
  bool listed;                  /* in the platform's VM list */
  int64_t listed_at;
  bool stale; /* not listed again yet since the list was restarted */
  struct hf_directory_parts directory_parts;
  unsigned echo_sent_at;    /* sent_at of its last heartbeat */
  int64_t echo_received_at; /* when that arrived; 0: never */
  int64_t rtt_us;           /* smallest round trip to another failure domain that it reports; 0: none */
};

/* --- types: claims --- */

/** struct hf_claim_key - 128-bit hash of service and Idempotency-Key */
struct hf_claim_key
{
  uint64_t high;
  uint64_t low;
};

/** enum hf_claim_phase - progress of a claim of this entry */
enum hf_claim_phase
{
  HF_CLAIM_COMMITTING,      /* commit requested, not confirmed */
  HF_CLAIM_QUERYING_HOLDER, /* another claim holds the key; its state is being queried */
  HF_CLAIM_COMMITTED,       /* the call is waiting or running */
  HF_CLAIM_DONE,            /* the call ended, answered or with an unknown outcome */
  HF_CLAIM_RELEASING,       /* the request did not run; release requested, not confirmed */
  HF_CLAIM_RELEASED,        /* the request did not run, or the key was left to another claim */
};

/** struct hf_claim - a claim made by this entry */
struct hf_claim
{
  uint64_t seq;
  uint64_t call; /* 0: the call has ended */
  struct hf_claim_key key;
  enum hf_claim_phase phase;
  unsigned status;                 /* HTTP status of the response; 0: none */
  unsigned requests_sent;          /* in the current phase */
  struct hf_rpc_claim_id holder;   /* claim that holds the key instead of this one */
  struct hf_rpc_claim_id replaces; /* released claim whose place this one takes */
  int64_t changed_at;              /* last change of the phase */
  GSequenceIter *timer;
};

/** enum hf_claim_op - operation requested from the owner of a shard */
enum hf_claim_op
{
  HF_CLAIM_OP_COMMIT,
  HF_CLAIM_OP_RELEASE,
};

/** enum hf_claim_outcome - result of an operation on a claim */
enum hf_claim_outcome
{
  HF_CLAIM_OUTCOME_COMMITTED,
  HF_CLAIM_OUTCOME_TAKEN, /* another claim holds the key */
  HF_CLAIM_OUTCOME_RELEASED,
  HF_CLAIM_OUTCOME_UNAVAILABLE, /* the platform did not respond, or the shard is full */
};

/** enum hf_claim_query_state - state of a claim as its holder reports it */
enum hf_claim_query_state
{
  HF_CLAIM_QUERY_UNKNOWN, /* no record of it, or its call ended without a response */
  HF_CLAIM_QUERY_NOT_RUN, /* it will never run */
  HF_CLAIM_QUERY_RUNNING, /* waiting or running */
  HF_CLAIM_QUERY_DONE,    /* answered */
};

/** struct hf_claim_shard_op - an operation queued for its shard */
struct hf_claim_shard_op
{
  enum hf_claim_op op;
  struct hf_claim_key key;
  struct hf_rpc_claim_id id;
  struct hf_rpc_claim_id replaces;
  uint64_t requester; /* boot id of the entry that sent it */
};

/** struct hf_claim_shard - one part of the key space as cached by the entry that owns it */
struct hf_claim_shard
{
  bool loaded;         /* @keys and @version are those of the platform's object */
  bool call_in_flight; /* one platform call at a time */

  uint64_t version;
  GHashTable *keys;      /* struct hf_claimed_key by key */
  GArray *waiting;       /* struct hf_claim_shard_op, for a later write */
  GArray *writing;       /* struct hf_claim_shard_op, part of the write in flight */
  GHashTable *next_keys; /* the keys once the write in flight has succeeded */
  int64_t written_at;    /* start of the last write; 0: none */
  GSequenceIter *timer;
};

/* --- types: quarantine --- */

/** struct hf_suspect - a request that may crash backend servers */
struct hf_suspect
{
  uint64_t fingerprint;
  uint64_t crashed_servers[HF_CRASHES_MAX]; /* distinct servers whose connection broke while they ran it */
  unsigned crash_count;
  int64_t first_crash_at;
  int64_t quarantined_until; /* not dispatched before then */
};

/* --- types: configuration --- */

/** enum hf_config_origin - where a generation of the configuration came from */
enum hf_config_origin
{
  HF_CONFIG_FROM_PLATFORM,
  HF_CONFIG_FROM_DOMAIN,       /* another entry of this failure domain */
  HF_CONFIG_FROM_OTHER_DOMAIN, /* an entry of another failure domain */
};

/** struct hf_config_copy - one generation of the document, as it is sent to other entries */
struct hf_config_copy
{
  uint64_t generation;
  uint64_t digest;   /* of the text */
  size_t text_bytes; /* length of the text */
  GBytes *packed;    /* compressed text */
};

/** struct hf_config_pull - a compressed document being fetched from another entry, in chunks */
struct hf_config_pull
{
  uint64_t boot_id; /* of the other entry; 0: no pull in progress */
  uint64_t generation;
  GByteArray *packed;     /* received so far */
  unsigned requests_sent; /* since the last chunk arrived; 0: waits for a better source */
  int64_t progress_at;    /* start of the pull, or arrival of the last chunk */
  GSequenceIter *timer;
};

/**
 * struct hf_config_spread - documents that entries get from one another
 * @pull: the pull in progress
 * @history: struct hf_config_copy, generations that were sent or received lately, the newest last
 * @behind_since: another entry has had a newer generation since then, or since the last adoption; 0: none has
 * @read_at: last read of the platform's copy because of that
 * @send_window_at: start of the current window of the rate limit for chunks sent
 * @sent_bytes: bytes sent in that window
 * @send_bytes_max: limit of them
 */
struct hf_config_spread
{
  struct hf_config_pull pull;
  GArray *history;
  int64_t behind_since;
  int64_t read_at;
  int64_t send_window_at;
  size_t sent_bytes;
  size_t send_bytes_max;
};

/** struct hf_watch - a watch of one collection of the platform */
struct hf_watch
{
  int64_t last_event_at;
  int64_t started_at;
  unsigned failures;    /* in a row */
  bool complete;        /* the first bookmark has arrived: every object was listed */
  GSequenceIter *timer; /* set while the watch is closed and waits to be reopened */
};

/**
 * struct hf_directory - the platform's directory of backend servers
 * @servers: struct listed_server of hf-directory.c, by name
 * @complete: every backend server has been listed at least once
 * @entries_complete: the same for the other entries
 * @unreachable: the directory does not respond
 * @recovered_at: when it last began to respond again; 0: never
 * @listing: a list from the platform is being received
 * @pools_outdated: servers changed since the pools were last updated
 * @slices_outdated: the slices follow failure domains now, or no longer
 * @position: position in the platform's store up to which all changes have been applied
 * @update_to: position to which the reports lead that are being applied; revision 0: not known, in the platform's lists
 * @era: newest era of the platform's store that is known; above that of @position: to be listed again
 * @removed: backend servers removed lately
 * @confirmed_at: when @position was last known to be current
 * @platform_unreachable_until: this entry cannot be a watcher before then, as the platform did not respond
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
  bool slices_outdated;
  struct hf_store_position position;
  struct hf_store_position update_to;
  uint64_t era;
  struct hf_removed_servers *removed;
  int64_t confirmed_at;
  int64_t platform_unreachable_until;
};

/** struct hf_granters - the entries that granted slots from a time on */
struct hf_granters
{
  int64_t since;
  GArray *granters; /* uint64_t, boot ids */
  bool after_loss;  /* a granter before may still grant, as it was only silent */
};

/** struct hf_granter - an entry that grants slots */
struct hf_granter
{
  uint64_t boot_id;
  uint64_t failure_domain;
  bool serves_all; /* grants slots of all failure domains, not only of its own one */
};

/**
 * struct hf_roles - roles of this entry, and the entries that grant slots
 * @is_coordinator: this entry exchanges heartbeats with all others
 * @is_watcher: this entry watches the platform's directory for its failure domain
 * @has_short_watches: a watcher whose watches wait shortly, so that the fleet notices when all watches are lost
 * @ranks_as_watcher: it would be a watcher if the platform responded to all entries
 * @watcher_since: when it last became a watcher
 * @watcher_until: when it last ceased to be one
 * @update_pending: the members changed since the roles were assigned
 * @granters: struct hf_granter, the entries that grant slots
 * @granters_history: struct hf_granters, those that grant for all failure domains, the last HF_GRANTERS_HISTORY_MAX
 * values, the newest last
 * @granters_changed_at: last change of @granters
 * @reached: entries of the fleet that have started and with which there is contact, this one included
 * @entries: entries of the fleet, this one included
 * @majority_changed_at: when that last became more than half of the fleet, or ceased to be
 * @resumed_at: end of the last pause in which the other entries may have found others for the roles of this one; 0:
 * none
 * @majority_since: since when more than half of the fleet has been reached; 0: it is not
 * @restarted_at: the whole fleet was started lately: when the last of the entries reached began; 0: it was not
 */
struct hf_roles
{
  bool is_coordinator;
  bool is_watcher;
  bool has_short_watches;
  bool ranks_as_watcher;
  int64_t watcher_since;
  int64_t watcher_until;
  bool update_pending;
  GArray *granters;
  GArray *granters_history;
  int64_t granters_changed_at;
  size_t reached;
  size_t entries;
  int64_t majority_changed_at;
  int64_t majority_since;
  int64_t restarted_at;
  int64_t resumed_at;
};

/**
 * struct hf_directory_sync - directory changes exchanged between entries
 * @changes: struct hf_directory_change, the oldest first
 * @changes_since: @changes holds every change after this revision, in the era of the directory's position
 * @gap_begin: from this revision to @gap_end the differences of a list are known, but no change that was undone in
 *             between: they follow on no revision that lies between them
 * @gap_end: 0: there is no gap
 * @partial_position: latest one to which parts of an update lead that were applied before all had arrived
 * @changed_position: position of the last change
 * @full_sync_from: boot id of the entry whose full list is being received; 0: none
 * @full_sync_started_at: when that list began
 * @behind_since: another entry has announced a later position since then; 0: none has
 * @remote_position: latest change named in heartbeats
 * @remote_ahead_since: since when that change has been missing here
 * @platform_reachable_since: the platform has responded to reachability checks since then; 0: it does not
 * @watch_mode: mode last set for the platform's client
 * @watch_wait_ms: how long a watch waits, last set for it
 * @watch_until: a watch started by an entry that is not a watcher is kept until then
 * @last_sent_at: last update sent to the followers
 * @watcher_confirmed_at: when a watcher last knew that the directory it sent here was current
 * @serves_others: this entry watches the platform as a watcher, or was one and is not replaced yet
 * @first_pull_at: last request for the whole directory while the platform had not listed it yet
 */
struct hf_directory_sync
{
  GArray *changes;
  uint64_t changes_since;
  uint64_t gap_begin;
  uint64_t gap_end;
  struct hf_store_position partial_position;
  struct hf_store_position changed_position;
  uint64_t full_sync_from;
  int64_t full_sync_started_at;
  int64_t behind_since;
  struct hf_store_position remote_position;
  int64_t remote_ahead_since;
  int64_t platform_reachable_since;
  enum hf_watch_mode watch_mode;
  int64_t watch_wait_ms;
  int64_t watch_until;
  int64_t last_sent_at;
  int64_t first_pull_at;
  int64_t watcher_confirmed_at;
  bool serves_others;
};

/** struct hf_state - the reducer's state */
struct hf_state
{
  struct hf_str name;
  struct hf_str failure_domain;
  int64_t silent_hold_us;         /* of new pools, from the settings */
  struct hf_str address;          /* IP:PORT of its peer socket, from the settings */
  double cpu_share;               /* processor time in cores */
  double cold_overshoot;          /* factor on the starts that cold servers tolerate; 0: they are not limited */
  double cold_slack;              /* starts beyond that in a second */
  bool cold_announcement_pending; /* a server is cold that the other entries do not know of */
  int64_t cold_announced_at;      /* when they were last told of such ones at once; 0: never */
  int64_t drain_wait_ms;          /* the health check fails for this long before the exit */
  int64_t shutdown_timeout_ms;    /* from SIGTERM to the exit in any case */
  uint64_t boot_id;
  uint64_t random_state;
  int64_t now;              /* time of the current event */
  int64_t wall_time;        /* the same, since 1970 */
  int64_t started_at;       /* time of the first event */
  int64_t resumed_at;       /* end of the last pause of the process; 0: none yet */
  int64_t heartbeat_due_at; /* later by HF_PAUSE_THRESHOLD_MS: the process was paused */
  int64_t wakeup_at;        /* earliest wakeup set; -1: none */
  bool leaving;             /* this entry is shutting down */
  int64_t exit_at;          /* if leaving: the process exits then in any case */
  bool starting;            /* it has no configuration or directory yet and cannot grant slots */
  bool measure_timer_running;
  uint64_t heartbeat_seq;
  struct hf_effects *effects; /* of the current event */

  struct hf_document *document;      /* configuration in force; NULL: none yet */
  uint64_t config_version;           /* version of the platform's object; 0: unknown or no object */
  uint64_t config_stored_generation; /* generation of the platform's object */
  int64_t config_checked_at;         /* last comparison with the platform's object */
  int64_t config_confirmed_at;       /* it was last known to be the newest then; 0: never */
  bool config_unconfirmed;           /* requests with keys are refused, and the log says so */
  int64_t revoke_us;                 /* unconfirmed for longer: requests with keys are refused; 0: no limit */
  struct hf_config_spread config_spread;
  struct hf_watch watches[HF_PURPOSE_EVACUATIONS + 1]; /* by enum hf_platform_purpose */
  bool platform_reachable;
  GSequenceIter *restore_timer;

  bool external_store; /* document, VM list and directory arrive as events; the reducer opens no watches */
  struct hf_directory directory;
  struct hf_directory_sync directory_sync;
  bool follows_evacuations; /* orders of the operator to evacuate a failure domain are in force */
  struct hf_evacuations evacuations;
  GHashTable *domain_names; /* names of failure domains by their hash, for log lines */
  struct hf_roles roles;
  struct hf_affinity affinity;
  int64_t load_reported_at;      /* last load report to the granters of other failure domains */
  GHashTable *services;          /* struct hf_service_state by id */
  GHashTable *service_by_server; /* the same by id of a backend server */
  GHashTable *restrictions;      /* what backend servers said of themselves, by instance; see hf-restrictions */
  GHashTable *class_deadlines;   /* struct hf_usual_deadline by hash of the class's name */
  GHashTable *calls;             /* struct hf_call by id */
  GPtrArray *members;            /* struct hf_member */
  GHashTable *draining_vms;      /* addresses of the backend VMs that the VM list reports as draining */
  GHashTable *claims;            /* struct hf_claim by seq */
  uint64_t last_claim_seq;
  struct hf_claim_shard claim_shards[HF_CLAIM_SHARDS];
  GHashTable *suspects;          /* struct hf_suspect by fingerprint */
  struct hf_quota_leases *quota; /* NULL: limits of organisations are not enforced */
  struct hf_timers timers;
  uint64_t counters[HF_COUNTERS];
  struct hf_traffic traffic;
  struct hf_latency latency;
  struct hf_organisation_counts organisation_counts;
};

/* --- public functions: helpers of the reducer's modules --- */

extern const char *const hf_counter_names[HF_COUNTERS];                                     /* by enum hf_counter */
struct hf_service_state *hf_state_find_service (const struct hf_state *state, uint64_t id); /* NULL if unknown */
struct hf_member *hf_state_find_member (const struct hf_state *state, uint64_t boot_id);    /* NULL if unknown */
uint64_t hf_state_ticket (uint64_t call_id, unsigned attempt_index); /* identifies an attempt at this entry */
uint64_t hf_state_generation (const struct hf_state *state);         /* of the configuration in force; 0: none */
bool hf_state_is_in_own_domain (const struct hf_state *state, const struct hf_member *member);
bool hf_state_crosses_domain (const struct hf_state *state, uint64_t failure_domain); /* known to be another one */
void hf_state_free_service (void *service); /* GDestroyNotify for the table of services */

/* Marks a backend server as draining until a point in time (0: until unmarked) and logs that. Returns false if the
 * server is unknown or the source has marked it already. */
bool hf_state_mark_draining (struct hf_state *state,
                             struct hf_service_state *service,
                             uint64_t server_id,
                             enum hf_drain_source source,
                             int64_t until,
                             const char *reported_by);
void hf_state_increment (struct hf_state *state, enum hf_counter counter); /* adds one to a counter */

/* Each of these adds one effect: LOG, SEND_MESSAGE to a member or an address, CALL_PLATFORM. */
void hf_state_log (struct hf_state *state, enum hf_log_event_number number, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
void hf_state_send_to_member (struct hf_state *state, uint64_t boot_id, struct hf_rpc_message message);
void hf_state_send_to_address (struct hf_state *state, struct hf_str address, struct hf_rpc_message message);
void hf_state_call_platform (struct hf_state *state,
                             enum hf_platform_op op,
                             enum hf_platform_purpose purpose,
                             uint64_t arg,
                             struct hf_str name,
                             uint64_t version,
                             struct hf_str data);

/* Starts a timer that is due after a delay in microseconds; the handle is for hf_timers_cancel. */
GSequenceIter *
hf_state_start_timer (struct hf_state *state, int64_t delay, enum hf_timer_kind kind, uint64_t id, uint64_t arg);

#endif
