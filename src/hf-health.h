/**
 * DOC: hf-health - what is known of a backend server
 *
 * Learns speed and failures from the use of slots, takes servers out for a
 * time and lets them back one slot after the other.
 */
#ifndef HF_HEALTH_H
#define HF_HEALTH_H

#include <glib.h>

#include "hf-base.h"

/* --- types --- */

/** enum hf_drain_source - who said that a backend server is leaving, bits */
enum hf_drain_source
{
  HF_DRAIN_DOCUMENT = 1,
  HF_DRAIN_VM_LIST = 2,
  HF_DRAIN_HEALTH = 4,
  HF_DRAIN_REFUSAL = 8,
  HF_DRAIN_PEER = 16,
  HF_DRAIN_DIRECTORY = 32,
  HF_DRAIN_TEMPORARY = HF_DRAIN_HEALTH | HF_DRAIN_REFUSAL | HF_DRAIN_PEER, /* ends by itself */
};

/** enum hf_slot_result - what a slot's use showed */
enum hf_slot_result
{
  HF_SLOT_OK,              /* an answer arrived */
  HF_SLOT_FAILED,          /* connection failed, short, or a failure status */
  HF_SLOT_CONNECTION_LOST, /* the connection broke without an answer */
  HF_SLOT_REFUSED,         /* the backend server had no room */
  HF_SLOT_TIMED_OUT,       /* given up for lateness */
  HF_SLOT_SUPERSEDED,      /* another attempt was faster */
  HF_SLOT_UNUSED,          /* the slot was not used */
};

/** enum hf_speed - what a backend server says of its speed */
enum hf_speed
{
  HF_SPEED_NEVER_REPORTED,    /* it has never said anything */
  HF_SPEED_STALE,             /* not lately */
  HF_SPEED_NORMAL,            /* work takes as long as usual */
  HF_SPEED_SLOW,              /* it takes longer */
  HF_SPEED_PERSISTENTLY_SLOW, /* and has done so for long */
};

/** enum hf_ejection_reason - why a server was taken out */
enum hf_ejection_reason
{
  HF_EJECTED_FAILURES,        /* several in a row, or most of them */
  HF_EJECTED_LATENCY,         /* far above the median latency */
  HF_EJECTED_CONNECTION_LOST, /* a connection broke without an answer */
};

/** struct hf_pool_server - a backend server as the pool knows it */
struct hf_pool_server
{
  uint64_t id;
  struct hf_str name;
  struct hf_str address;
  uint64_t failure_domain; /* hash of its name, 0: not known */
  uint64_t incarnation;
  int64_t warmup_until; /* slow after its start until then */
  unsigned slots;
  unsigned granted;       /* slots in use by records of this pool */
  unsigned remote_load;   /* requests that other entries have there beside */
  unsigned drain_sources; /* bits of enum hf_drain_source */
  int64_t drain_until;    /* end of what was seen by request, probe or peer */
  double latency_us;
  double failure_rate;
  unsigned samples;
  unsigned consecutive_failures;
  int64_t ejected_until;                   /* taken out until then; 0: not out */
  enum hf_ejection_reason ejection_reason; /* what took it out last */
  unsigned ejections;
  unsigned slow_start_slots;     /* slots that may be used now */
  unsigned slow_start_successes; /* successes since the last step */
  int reported_load;
  int64_t load_reported_at;
  int64_t last_response_at;
  int slowdown_percent; /* its own word on how long work takes, 100: as usual; 0: none */
  int64_t slowdown_reported_at;
  int64_t last_slow_at;                 /* it said last that it was slowed down */
  int64_t slow_since;                   /* it has said nothing else since then; 0: it has */
  int64_t measurement_sent_at;          /* a measurement was sent */
  int64_t measurement_unanswered_since; /* none was answered since that one was sent; 0: none is out */
  unsigned unanswered_measurements;     /* measurements in a row without an answer */
  int64_t connection_lost_at;           /* first break since the last answer, 0: none */
};

/* --- public functions --- */

void hf_health_record_slowdown (struct hf_pool_server *server, int64_t now, int percent); /* its own word */
enum hf_speed hf_health_speed (const struct hf_pool_server *server, int64_t now); /* what is known of its speed */
void hf_health_measurement_sent (struct hf_pool_server *server, int64_t now);     /* a measurement is sent */
double hf_health_latency_factor (const struct hf_pool_server *server,
                                 int64_t now); /* expected times of the usual latency */
void hf_health_record_result (GArray *servers,
                              struct hf_pool_server *server,
                              int64_t now,
                              enum hf_slot_result result,
                              int64_t latency_us);                             /* servers: all of its service */
bool hf_health_is_draining (const struct hf_pool_server *server, int64_t now); /* it gets no new work */
bool hf_health_is_usable (const struct hf_pool_server *server, int64_t now);   /* neither leaving nor out */
unsigned hf_health_usable_slots (const struct hf_pool_server *server);         /* slots that may be used now */

#endif
