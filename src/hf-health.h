/**
 * DOC: hf-health - speed, failures and availability of a backend server
 *
 * Tracks latency and failures by the results of requests. A failing or slow
 * server is ejected for a time (outlier ejection) and returns by slow start, one
 * slot after the other. Some servers have slow phases, in which all their work
 * takes longer. They report them as slowdown_percent: the duration of work now, in
 * percent of the normal one.
 */
#ifndef HF_HEALTH_H
#define HF_HEALTH_H

#include <glib.h>

#include "hf-base.h"
#include "hf-cold.h"
#include "hf-pushback.h"

/* --- types --- */

/** enum hf_drain_source - source that reports a backend server as draining; bits */
enum hf_drain_source
{
  HF_DRAIN_DOCUMENT = 1,    /* drain: true in the document */
  HF_DRAIN_VM_LIST = 2,     /* its VM, in the platform's VM list */
  HF_DRAIN_HEALTH = 4,      /* the server itself, in a health probe or a response */
  HF_DRAIN_REFUSAL = 8,     /* the server itself, when it refused a request */
  HF_DRAIN_PEER = 16,       /* another entry */
  HF_DRAIN_DIRECTORY = 32,  /* the platform's directory of backend servers */
  HF_DRAIN_LEAVING = 64,    /* the server itself: this instance leaves for good */
  HF_DRAIN_EVACUATED = 128, /* the operator evacuates its failure domain */
  HF_DRAIN_TEMPORARY = HF_DRAIN_HEALTH | HF_DRAIN_REFUSAL | HF_DRAIN_PEER, /* these expire */
};

/** enum hf_slot_result - outcome of the use of a slot */
enum hf_slot_result
{
  HF_SLOT_OK,              /* response with a status below 500 */
  HF_SLOT_FAILED,          /* connect failed, response truncated, or status 500 and above */
  HF_SLOT_CONNECTION_LOST, /* connection lost after bytes of the request were sent, without a response */
  HF_SLOT_REFUSED,         /* the backend server did not run the request: no free slot, or draining */
  HF_SLOT_TIMED_OUT,       /* cancelled: no response in time */
  HF_SLOT_SUPERSEDED, /* cancelled: another attempt responded first, or the request's time was over in mid-response */
  HF_SLOT_UNUSED,     /* no request was sent, or its end is no evidence about the server */
  HF_SLOT_RETURNED,   /* the entry must not use the server: no request was sent */
};

/** enum hf_speed - speed of a backend server by its own reports */
enum hf_speed
{
  HF_SPEED_NEVER_REPORTED,
  HF_SPEED_STALE,             /* last report older than HF_SPEED_FRESH_MS */
  HF_SPEED_NORMAL,            /* at most HF_SLOWDOWN_NORMAL_MAX_PERCENT of the normal time */
  HF_SPEED_SLOW,              /* above that: a slow phase */
  HF_SPEED_PERSISTENTLY_SLOW, /* a slow phase of HF_SLOW_PERSISTENT_MS and longer */
};

/** enum hf_ejection_reason - why a backend server was ejected */
enum hf_ejection_reason
{
  HF_EJECTED_FAILURES,        /* several in a row, or a failure rate above one half */
  HF_EJECTED_LATENCY,         /* far above the median latency */
  HF_EJECTED_CONNECTION_LOST, /* connection lost without a response */
};

/** struct hf_pool_server - state of a backend server in a pool */
struct hf_pool_server
{
  uint64_t id;
  struct hf_str name;
  struct hf_str address;
  uint64_t failure_domain; /* hash of the domain's name; 0: unknown */
  uint64_t incarnation;    /* differs after each start of the server */
  int64_t warmup_until;    /* latency is higher until then, after a start */
  unsigned slots;
  unsigned granted;       /* slots in use by grants of this pool */
  unsigned remote_load;   /* requests that other entries run there without a grant of this pool */
  unsigned drain_sources; /* bits of enum hf_drain_source */
  int64_t drain_until;    /* end of the sources in HF_DRAIN_TEMPORARY */
  double latency_us;      /* smoothed */
  double failure_rate;    /* smoothed share of failures, 0 to 1 */
  unsigned samples;       /* of latency and failure, since the last ejection */
  unsigned consecutive_failures;
  int64_t ejected_until;                   /* 0: never ejected */
  enum hf_ejection_reason ejection_reason; /* of the last ejection */
  unsigned ejections;                      /* in a row; each doubles the duration */
  unsigned slow_start_slots;               /* slots that slow start allows now */
  unsigned slow_start_successes;           /* since the last slot was added */
  int reported_load;                       /* requests in the server by its own report; -1: none */
  int64_t load_reported_at;
  int64_t last_response_at; /* or time of the last health probe */
  int slowdown_percent;     /* last report, 100: normal speed; 0: never reported */
  int64_t slowdown_reported_at;
  int64_t last_slow_at;                 /* last report of a slow phase */
  int64_t slow_since;                   /* first report of the current slow phase; 0: not slow */
  int64_t measurement_sent_at;          /* time of the last measurement */
  int64_t measurement_unanswered_since; /* first one sent since the last report; 0: none */
  unsigned unanswered_measurements;     /* measurements in a row without a response */
  int64_t connection_lost_at;           /* first loss since the last response; 0: none */
  GArray *pushbacks;                    /* struct hf_pushback: entries that it wants no requests from; NULL: none */
  struct hf_cold cold;                  /* used where the service limits the starts at cold servers */
  int64_t measurable_at;                /* it wants no measurements of this entry before then; 0: it may be measured */
};

/* --- public functions --- */

void hf_health_record_slowdown (struct hf_pool_server *server, int64_t now, int percent); /* a report; <= 0: none */
enum hf_speed hf_health_speed (const struct hf_pool_server *server, int64_t now);
bool hf_health_reports_normal_speed (const struct hf_pool_server *server, int64_t now); /* lately */
void hf_health_measurement_sent (struct hf_pool_server *server, int64_t now);
double hf_health_latency_factor (const struct hf_pool_server *server, int64_t now); /* expected / smoothed latency */

/* Updates latency, failures and slow start, and may eject the server; servers: all of its service. */
void hf_health_record_result (GArray *servers,
                              struct hf_pool_server *server,
                              int64_t now,
                              enum hf_slot_result result,
                              int64_t latency_us);

bool hf_health_is_draining (const struct hf_pool_server *server, int64_t now); /* it gets no new requests */
bool hf_health_is_unresponsive (const struct hf_pool_server *server);          /* it does not answer measurements */
bool hf_health_is_usable (const struct hf_pool_server *server, int64_t now); /* not draining, ejected or unresponsive */
unsigned hf_health_usable_slots (const struct hf_pool_server *server);       /* slots that slow start allows */

#endif
