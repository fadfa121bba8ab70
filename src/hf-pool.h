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

/** enum hf_refusal - why a request got no slot */
enum hf_refusal
{
  HF_REFUSAL_NONE,
  HF_REFUSAL_QUEUE_FULL, /* it was worth least when the queue was full */
  HF_REFUSAL_DEADLINE,   /* it would not be answered in time */
  HF_REFUSAL_NO_SERVER,  /* no backend server takes work */
  HF_REFUSAL_BUDGET,     /* the retry budget is spent */
  HF_REFUSAL_NEEDLESS,   /* the attempt to be doubled runs at a server that is not slowed down */
};

/** struct hf_pool_want - a request for one slot */
struct hf_pool_want
{
  uint64_t entry;    /* boot id of the entry that asks */
  uint64_t ticket;   /* unique at that entry */
  unsigned priority; /* rank in the queue, 0 first */
  unsigned worth;
  int64_t aim_at; /* worth most if answered by then; 0: until the deadline */
  int64_t deadline;
  int64_t asked_at;        /* set by the pool */
  uint64_t failure_domain; /* of the entry, hashed; 0: not known */
  size_t body_bytes;
  bool retry;       /* takes a token of the retry budget */
  bool hedge;       /* doubles an attempt that runs at @exclude */
  uint64_t exclude; /* server to avoid if another is there; 0: none */
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
  enum hf_refusal reason;
};

/** struct hf_pool_listing - a backend server as the directory lists it */
struct hf_pool_listing
{
  struct hf_server spec;
  uint64_t id;
  uint64_t incarnation;
  int64_t cold_until;
};

/** struct hf_pool - slots of one service */
struct hf_pool
{
  const struct hf_policy *policy;
  GArray *servers;     /* struct hf_pool_server */
  GHashTable *records; /* slots in use, by entry and ticket */
  GSequence *queue;    /* wants, the most urgent first */
  GHashTable *queued;  /* the same by entry and ticket */
  GHashTable *foreign; /* counts by entry and server */
  struct hf_crowding crowding;
  struct hf_retry_budget budget;
  unsigned queue_limit;
  unsigned typical_samples;
  double typical_us; /* latency that half of the answers stay below; 0: none yet */
  bool configured;
  bool measures; /* servers are asked for their speed before they get work */
  uint64_t random;
  uint64_t turn;
  uint64_t refused[8]; /* by enum hf_refusal */
};

/* --- public functions: init and close --- */

void hf_pool_init (struct hf_pool *pool, uint64_t random);                       /* empty pool */
void hf_pool_close (struct hf_pool *pool);                                       /* frees all */
void hf_pool_configure (struct hf_pool *pool, const struct hf_service *service); /* servers and limits, state kept */

void hf_pool_put (struct hf_pool *pool, const struct hf_pool_listing *listing); /* adds or changes one server */
void hf_pool_remove (struct hf_pool *pool, uint64_t id);                        /* it is gone */

/* --- public functions: slots, decisions go to a GArray of struct hf_decision --- */

void
hf_pool_acquire (struct hf_pool *pool, int64_t now, struct hf_pool_want want, GArray *decisions); /* asks for a slot */
void hf_pool_release (struct hf_pool *pool,
                      int64_t now,
                      uint64_t entry,
                      uint64_t ticket,
                      enum hf_pool_result result,
                      int64_t latency_us,
                      GArray *decisions); /* gives it back, or leaves the queue */
void hf_pool_learn (struct hf_pool *pool,
                    int64_t now,
                    uint64_t server,
                    enum hf_pool_result result,
                    int64_t latency_us);                                    /* what a slot of another pool showed */
void hf_pool_pump (struct hf_pool *pool, int64_t now, GArray *decisions);   /* grants what has become free */
void hf_pool_expire (struct hf_pool *pool, int64_t now, GArray *decisions); /* drops late wants and stale records */

/* --- public functions: other entries --- */

void hf_pool_forget (struct hf_pool *pool, uint64_t entry); /* an entry is gone */
void hf_pool_reconcile (struct hf_pool *pool,
                        int64_t now,
                        uint64_t entry,
                        const uint64_t *tickets,
                        size_t n); /* drops records it does not hold */
void hf_pool_set_foreign (struct hf_pool *pool,
                          uint64_t entry,
                          uint64_t server,
                          unsigned count); /* its requests in a server */

/* --- public functions: backend servers --- */

struct hf_pool_server *hf_pool_server (const struct hf_pool *pool, uint64_t id); /* NULL if unknown */
bool hf_pool_set_leaving (struct hf_pool *pool,
                          uint64_t id,
                          enum hf_leaving source,
                          bool on,
                          int64_t until); /* true if this is news */
bool hf_pool_may_have_crashed (const struct hf_pool *pool,
                               uint64_t id,
                               int64_t started_at); /* an attempt begun then may have broken it */
void hf_pool_report (struct hf_pool *pool, uint64_t id, int load, int64_t now);   /* a load report */
void hf_pool_heard (struct hf_pool *pool, uint64_t id, int64_t now, int percent); /* its word in an answer; 0: none */
void hf_pool_measured (struct hf_pool *pool,
                       uint64_t id,
                       int64_t now,
                       bool answered,
                       int percent);                   /* a measurement; 0 percent: it did not say */
unsigned hf_pool_waiting (const struct hf_pool *pool); /* length of the queue */
const struct hf_pool_want *hf_pool_waits (const struct hf_pool *pool, unsigned i); /* the queue's, from 0 */

#endif
