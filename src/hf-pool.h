/**
 * DOC: hf-pool - slots of the backend servers of one service
 *
 * Records which attempt holds which slot, queues requests for a slot by priority,
 * worth and deadline, refuses those that cannot be served in time, and tracks
 * speed and failures of each backend server. It has no clock and no I/O: the time
 * is a parameter (microseconds), and decisions are appended to a list.
 */
#ifndef HF_POOL_H
#define HF_POOL_H

#include <glib.h>

#include "hf-document.h"
#include "hf-health.h"
#include "hf-policy.h"
#include "hf-retry.h"
#include "hf-saturation.h"

/* --- types --- */

/** enum hf_refusal_reason - why a request for a slot was refused */
enum hf_refusal_reason
{
  HF_REFUSAL_NONE,
  HF_REFUSAL_QUEUE_FULL,       /* last in order when the queue exceeded its limit */
  HF_REFUSAL_DEADLINE,         /* it cannot be served before its deadline */
  HF_REFUSAL_NO_SERVER,        /* no backend server is usable */
  HF_REFUSAL_RETRY_BUDGET,     /* no token left for a retry */
  HF_REFUSAL_HEDGE_NOT_NEEDED, /* the first attempt has met no slow phase of its server */
  HF_REFUSAL_PUSHBACK,         /* until its deadline every server wants no requests from its entry */
};

/** struct hf_slot_request - a request for one slot */
struct hf_slot_request
{
  uint64_t entry;        /* boot id of the requesting entry */
  uint64_t ticket;       /* identifies the attempt at that entry, see hf_state_ticket */
  unsigned priority;     /* 0: first in the queue */
  uint64_t organisation; /* hf_organisation_id of the caller's organisation; 0: none */
  unsigned worth;        /* of a timely response; orders requests of the same priority, the highest first */
  int64_t soft_deadline; /* a response is worth most before then; 0: until the deadline */
  int64_t deadline;
  int64_t received_at;     /* set by the pool */
  uint64_t failure_domain; /* of the entry, hashed; 0: unknown */
  size_t body_bytes;
  bool retry;               /* takes a token of the retry budget */
  bool hedge;               /* runs in parallel with an attempt at @excluded_server */
  uint64_t excluded_server; /* used only if no other server is usable; 0: none */
};

/** enum hf_decision_kind - outcome of a request for a slot */
enum hf_decision_kind
{
  HF_DECISION_QUEUED,
  HF_DECISION_GRANTED,
  HF_DECISION_REFUSED,
  HF_DECISION_REFERRED, /* to another slice; not by a pool, see hf-referrals */
};

/** struct hf_decision - reply to a request for a slot */
struct hf_decision
{
  enum hf_decision_kind kind;
  uint64_t entry;
  uint64_t ticket;
  uint64_t server;               /* GRANTED: it runs the attempt; REFERRED: id of the slice */
  enum hf_refusal_reason reason; /* HF_DECISION_REFUSED */
};

/** struct hf_pool_listing - a backend server of the platform's directory */
struct hf_pool_listing
{
  struct hf_server spec;
  uint64_t id;
  uint64_t incarnation; /* differs after each start of the server */
  int64_t warmup_until; /* latency is higher until then */
};

/** struct hf_pool - slots of one service, or of one slice of it */
struct hf_pool
{
  const struct hf_policy *policy;
  GArray *servers;           /* struct hf_pool_server */
  GHashTable *grants;        /* slots in use, by entry and ticket */
  GSequence *queue;          /* requests for a slot, the most urgent first */
  GHashTable *queued_by_key; /* the same by entry and ticket */
  GHashTable *remote_loads;  /* requests without a grant, by entry and server */
  struct hf_saturation saturation;
  struct hf_retry_budget retry_budget;
  struct hf_cold_limits cold;
  unsigned queue_limit;
  int64_t silent_hold_us;   /* a slot whose request got no response is kept for this time; 0: given back at once */
  double far_cost_us;       /* added to the expected latency of a server in another failure domain than the request's */
  unsigned median_samples;  /* responses in median_latency_us */
  double median_latency_us; /* estimated median of all responses; 0: none yet */
  bool configured;          /* hf_pool_configure was called */
  bool requires_measurements; /* servers need a fresh report of their speed to get requests */
  uint64_t random_state;
  uint64_t choices;    /* servers chosen so far */
  uint64_t refused[8]; /* by enum hf_refusal_reason */
};

/* --- public functions: init and close --- */

void hf_pool_init (struct hf_pool *pool, uint64_t random_seed);
void hf_pool_close (struct hf_pool *pool);
void hf_pool_configure (struct hf_pool *pool, const struct hf_service *service); /* servers and limits; keeps state */

void hf_pool_put_server (struct hf_pool *pool, const struct hf_pool_listing *listing); /* adds or updates */
void hf_pool_remove_server (struct hf_pool *pool, uint64_t id);

/* --- public functions: slots; decisions: GArray of struct hf_decision, new ones are appended --- */

/* Requests a slot. Repeating a request that is queued or granted repeats its decision. */
void hf_pool_acquire_slot (struct hf_pool *pool, int64_t now, struct hf_slot_request request, GArray *decisions);

bool hf_pool_has_grant (const struct hf_pool *pool, uint64_t entry, uint64_t ticket);

/* Releases a slot, or removes the request from the queue. latency_us: from sending the attempt to its end. */
void hf_pool_release_slot (struct hf_pool *pool,
                           int64_t now,
                           uint64_t entry,
                           uint64_t ticket,
                           enum hf_slot_result result,
                           int64_t latency_us,
                           GArray *decisions);

/* Records the result of an attempt of this entry whose slot another entry's pool granted. */
void hf_pool_record_result (struct hf_pool *pool,
                            int64_t now,
                            uint64_t entry,
                            uint64_t server,
                            enum hf_slot_result result,
                            int64_t latency_us);

void hf_pool_grant_queued (struct hf_pool *pool, int64_t now, GArray *decisions); /* grants free slots */

/* Drops expired grants, refuses queued requests that are too late, then grants free slots. */
void hf_pool_expire (struct hf_pool *pool, int64_t now, GArray *decisions);

/* --- public functions: other entries --- */

void hf_pool_remove_entry (struct hf_pool *pool, uint64_t entry); /* with its grants, queued requests and load */

/* Drops the grants of an entry that are not among the n tickets it reports, unless they may be in transit. */
void hf_pool_reconcile_grants (struct hf_pool *pool, int64_t now, uint64_t entry, const uint64_t *tickets, size_t n);

/* Sets how many requests an entry runs at a server; those with a grant of this pool are not counted twice. */
void hf_pool_set_remote_load (struct hf_pool *pool, uint64_t entry, uint64_t server, unsigned count);

/* --- public functions: backend servers --- */

struct hf_pool_server *hf_pool_find_server (const struct hf_pool *pool, uint64_t id); /* NULL: unknown */

/* Adds or removes a drain source; returns true if it was added. until: end of a temporary source. */
bool hf_pool_set_draining (struct hf_pool *pool, uint64_t id, enum hf_drain_source source, bool add, int64_t until);

/* False if the server is unknown, or lost a connection before the attempt started and has not responded since. */
bool hf_pool_may_have_caused_crash (const struct hf_pool *pool, uint64_t id, int64_t started_at);
void hf_pool_record_load (struct hf_pool *pool, uint64_t id, int reported_load, int64_t now);
void hf_pool_record_slowdown (struct hf_pool *pool, uint64_t id, int64_t now, int percent); /* 0: no report */

/* Records the end of a measurement; answered: a response arrived; percent: reported slowdown, 0: none. */
void hf_pool_record_measurement (struct hf_pool *pool, uint64_t id, int64_t now, bool answered, int percent);
unsigned hf_pool_queue_length (const struct hf_pool *pool);
const struct hf_slot_request *hf_pool_queued_request (const struct hf_pool *pool, unsigned i); /* 0: most urgent */

#endif
