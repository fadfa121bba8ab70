/**
 * DOC: hf-pool - slots of one service's backend servers
 *
 * Keeps who holds which slot, queues what has to wait in order of worth and
 * deadline, refuses what cannot be served in time, and learns the speed and
 * failures of each backend server. It knows no clock and no socket.
 */
#ifndef HF_POOL_H
#define HF_POOL_H

#include <glib.h>

#include "hf-saturation.h"
#include "hf-document.h"
#include "hf-health.h"
#include "hf-policy.h"
#include "hf-retry.h"

/* --- types --- */

/** enum hf_refusal_reason - why a request got no slot */
enum hf_refusal_reason
{
  HF_REFUSAL_NONE,
  HF_REFUSAL_QUEUE_FULL,       /* it was worth least when the queue was full */
  HF_REFUSAL_DEADLINE,         /* it would not be answered in time */
  HF_REFUSAL_NO_SERVER,        /* no backend server takes work */
  HF_REFUSAL_RETRY_BUDGET,     /* the retry budget is spent */
  HF_REFUSAL_HEDGE_NOT_NEEDED, /* the attempt to be doubled runs at a server that is not slowed down */
};

/** struct hf_slot_request - a request for one slot */
struct hf_slot_request
{
  uint64_t entry;    /* boot id of the entry that asks */
  uint64_t ticket;   /* unique at that entry */
  unsigned priority; /* rank in the queue, 0 first */
  unsigned worth;
  int64_t soft_deadline; /* worth most if answered by then; 0: until the deadline */
  int64_t deadline;
  int64_t received_at;     /* set by the pool */
  uint64_t failure_domain; /* of the entry, hashed; 0: not known */
  size_t body_bytes;
  bool retry;               /* takes a token of the retry budget */
  bool hedge;               /* doubles an attempt that runs at @exclude */
  uint64_t excluded_server; /* server to avoid if another is there; 0: none */
};

/** enum hf_decision_kind - the pool's answer to a want */
enum hf_decision_kind
{
  HF_DECISION_QUEUED,
  HF_DECISION_GRANTED,
  HF_DECISION_REFUSED,
};

/** struct hf_decision - the pool's answer to a want */
struct hf_decision
{
  enum hf_decision_kind kind;
  uint64_t entry;
  uint64_t ticket;
  uint64_t server;
  enum hf_refusal_reason reason;
};

/** struct hf_pool_listing - a backend server as the directory lists it */
struct hf_pool_listing
{
  struct hf_server spec;
  uint64_t id;
  uint64_t incarnation;
  int64_t warmup_until;
};

/** struct hf_pool - slots of one service */
struct hf_pool
{
  const struct hf_policy *policy;
  GArray *servers;           /* struct hf_pool_server */
  GHashTable *grants;        /* slots in use, by entry and ticket */
  GSequence *queue;          /* wants, the most urgent first */
  GHashTable *queued_by_key; /* the same by entry and ticket */
  GHashTable *remote_loads;  /* counts by entry and server */
  struct hf_saturation saturation;
  struct hf_retry_budget retry_budget;
  unsigned queue_limit;
  unsigned median_samples;
  double median_latency_us; /* latency that half of the answers stay below; 0: none yet */
  bool configured;
  bool requires_measurements; /* servers are asked for their speed before they get work */
  uint64_t random_state;
  uint64_t choices;
  uint64_t refused[8]; /* by enum hf_refusal_reason */
};

/* --- public functions: init and close --- */

void hf_pool_init (struct hf_pool *pool, uint64_t random_seed);                  /* empty pool */
void hf_pool_close (struct hf_pool *pool);                                       /* frees all */
void hf_pool_configure (struct hf_pool *pool, const struct hf_service *service); /* servers and limits, state kept */

void hf_pool_put_server (struct hf_pool *pool, const struct hf_pool_listing *listing); /* adds or changes one server */
void hf_pool_remove_server (struct hf_pool *pool, uint64_t id);                        /* it is gone */

/* --- public functions: slots, decisions go to a GArray of struct hf_decision --- */

void hf_pool_acquire_slot (struct hf_pool *pool,
                           int64_t now,
                           struct hf_slot_request request,
                           GArray *decisions); /* asks for a slot */
void hf_pool_release_slot (struct hf_pool *pool,
                           int64_t now,
                           uint64_t entry,
                           uint64_t ticket,
                           enum hf_slot_result result,
                           int64_t latency_us,
                           GArray *decisions); /* gives it back, or leaves the queue */
void hf_pool_record_result (struct hf_pool *pool,
                            int64_t now,
                            uint64_t server,
                            enum hf_slot_result result,
                            int64_t latency_us); /* what a slot of another pool showed */
void hf_pool_grant_queued (struct hf_pool *pool, int64_t now, GArray *decisions); /* grants what has become free */
void hf_pool_expire (struct hf_pool *pool, int64_t now, GArray *decisions); /* drops late wants and stale records */

/* --- public functions: other entries --- */

void hf_pool_remove_entry (struct hf_pool *pool, uint64_t entry); /* an entry is gone */
void hf_pool_reconcile_grants (struct hf_pool *pool,
                               int64_t now,
                               uint64_t entry,
                               const uint64_t *tickets,
                               size_t n); /* drops records it does not hold */
void hf_pool_set_remote_load (struct hf_pool *pool,
                              uint64_t entry,
                              uint64_t server,
                              unsigned count); /* its requests in a server */

/* --- public functions: backend servers --- */

struct hf_pool_server *hf_pool_server (const struct hf_pool *pool, uint64_t id); /* NULL if unknown */
bool hf_pool_set_draining (struct hf_pool *pool,
                           uint64_t id,
                           enum hf_drain_source source,
                           bool draining,
                           int64_t until); /* true if this is news */
bool hf_pool_may_have_caused_crash (const struct hf_pool *pool,
                                    uint64_t id,
                                    int64_t started_at); /* an attempt begun then may have broken it */
void hf_pool_record_load (struct hf_pool *pool, uint64_t id, int reported_load, int64_t now); /* a load report */
void hf_pool_record_slowdown (struct hf_pool *pool,
                              uint64_t id,
                              int64_t now,
                              int percent); /* its word in an answer; 0: none */
void hf_pool_record_measurement (struct hf_pool *pool,
                                 uint64_t id,
                                 int64_t now,
                                 bool answered,
                                 int percent);              /* a measurement; 0 percent: it did not say */
unsigned hf_pool_queue_length (const struct hf_pool *pool); /* length of the queue */
const struct hf_slot_request *hf_pool_queued_request (const struct hf_pool *pool, unsigned i); /* the queue's, from 0 */

#endif
