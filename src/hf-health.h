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

/** enum hf_leaving - who said that a backend server is leaving, bits */
enum hf_leaving
{
  HF_LEAVING_DOCUMENT = 1,
  HF_LEAVING_VM_LIST = 2,
  HF_LEAVING_HEALTH = 4,
  HF_LEAVING_REFUSAL = 8,
  HF_LEAVING_PEER = 16,
  HF_LEAVING_DIRECTORY = 32,
  HF_LEAVING_SEEN = HF_LEAVING_HEALTH | HF_LEAVING_REFUSAL | HF_LEAVING_PEER, /* ends by itself */
};

/** enum hf_pool_result - what a slot's use showed */
enum hf_pool_result
{
  HF_POOL_OK,      /* an answer arrived */
  HF_POOL_FAILED,  /* connection failed, short, or a failure status */
  HF_POOL_BROKEN,  /* the connection broke without an answer */
  HF_POOL_REFUSED, /* the backend server had no room */
  HF_POOL_SLOW,    /* given up for lateness */
  HF_POOL_LATE,    /* another attempt was faster */
  HF_POOL_UNUSED,  /* the slot was not used */
};

/** enum hf_speed - what a backend server says of its speed */
enum hf_speed
{
  HF_SPEED_UNTOLD,  /* it has never said anything */
  HF_SPEED_OLD,     /* not lately */
  HF_SPEED_USUAL,   /* work takes as long as usual */
  HF_SPEED_SLOW,    /* it takes longer */
  HF_SPEED_LASTING, /* and has done so for long */
};

/** enum hf_out_reason - why a server was taken out */
enum hf_out_reason
{
  HF_OUT_FAILURES, /* several in a row, or most of them */
  HF_OUT_SLOW,     /* far above the median latency */
  HF_OUT_BROKEN,   /* a connection broke without an answer */
};

/** struct hf_pool_server - a backend server as the pool knows it */
struct hf_pool_server
{
  uint64_t id;
  struct hf_str name;
  struct hf_str address;
  uint64_t failure_domain; /* hash of its name, 0: not known */
  uint64_t incarnation;
  int64_t cold_until; /* slow after its start until then */
  unsigned slots;
  unsigned granted;      /* slots in use by records of this pool */
  unsigned foreign;      /* requests that other entries have there beside */
  unsigned leaving;      /* bits of enum hf_leaving */
  int64_t leaving_until; /* end of what was seen by request, probe or peer */
  double latency_us;
  double failure;
  unsigned samples;
  unsigned failures_in_row;
  int64_t out_until;             /* taken out until then; 0: not out */
  enum hf_out_reason out_reason; /* what took it out last */
  unsigned out_times;
  unsigned ramp;    /* slots that may be used now */
  unsigned ramp_ok; /* successes since the last step */
  int reported;
  int64_t reported_at;
  int64_t answered_at;
  int slowdown_percent; /* its own word on how long work takes, 100: as usual; 0: none */
  int64_t slowdown_at;
  int64_t slow_at;          /* it said last that it was slowed down */
  int64_t slow_since;       /* it has said nothing else since then; 0: it has */
  int64_t asked_at;         /* a measurement was sent */
  int64_t unanswered_since; /* none was answered since that one was sent; 0: none is out */
  unsigned silent_measures; /* measurements in a row without an answer */
  int64_t broken_at;        /* first break since the last answer, 0: none */
};

/* --- public functions --- */

void hf_health_note_slowdown (struct hf_pool_server *server, int64_t now, int percent); /* its own word */
enum hf_speed hf_health_speed (const struct hf_pool_server *server, int64_t now);       /* what is known of its speed */
void hf_health_note_asked (struct hf_pool_server *server, int64_t now);                 /* a measurement is sent */
double hf_health_factor (const struct hf_pool_server *server, int64_t now); /* expected times of the usual latency */
void hf_health_learn (GArray *servers,
                      struct hf_pool_server *server,
                      int64_t now,
                      enum hf_pool_result result,
                      int64_t latency_us);                                    /* servers: all of its service */
bool hf_health_is_leaving (const struct hf_pool_server *server, int64_t now); /* it gets no new work */
bool hf_health_is_usable (const struct hf_pool_server *server, int64_t now);  /* neither leaving nor out */
unsigned hf_health_slots (const struct hf_pool_server *server);               /* slots that may be used now */

#endif
