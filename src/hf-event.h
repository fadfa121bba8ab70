/**
 * DOC: hf-event - events and effects of the reducer
 *
 * Everything the reducer learns arrives in an event, time and random seed
 * included; everything it wants done leaves as an effect. Strings in an event
 * are borrowed while it is reduced; strings in an effect live as long as the
 * list of effects.
 */
#ifndef HF_EVENT_H
#define HF_EVENT_H

#include <glib.h>

#include "hf-base.h"
#include "hf-document.h"
#include "hf-log.h"
#include "hf-rpc.h"

/* --- types: shared values --- */

/** enum hf_outcome - what a caller may conclude about its request */
enum hf_outcome
{
  HF_OUTCOME_ANSWERED, /* the whole answer of a backend server */
  HF_OUTCOME_NOT_RUN,  /* no backend server ran it */
  HF_OUTCOME_UNKNOWN,  /* it may have run */
};

/** enum hf_attempt_result - how an attempt at a backend server ended */
enum hf_attempt_result
{
  HF_ATTEMPT_ANSWERED,       /* a whole answer arrived */
  HF_ATTEMPT_CONNECT_FAILED, /* no byte was handed to a connection */
  HF_ATTEMPT_BROKEN,         /* the connection failed after bytes were handed over */
  HF_ATTEMPT_SHORT,          /* the answer ended before its declared length */
  HF_ATTEMPT_TIMEOUT,        /* no answer in time */
  HF_ATTEMPT_CANCELLED,      /* given up: caller gone or another attempt won */
};

/** enum hf_platform_op - a call to the platform's object API */
enum hf_platform_op
{
  HF_PLATFORM_GET,
  HF_PLATFORM_HEAD, /* metadata only */
  HF_PLATFORM_PUT,  /* conditional on the version; version 0 creates */
  HF_PLATFORM_WATCH,
};

/** enum hf_platform_purpose - which part of the reducer made a platform call */
enum hf_platform_purpose
{
  HF_PURPOSE_CONFIG,
  HF_PURPOSE_VMS,
  HF_PURPOSE_CLAIMS,
  HF_PURPOSE_PROBES,
};

/** struct hf_header - one header of a request */
struct hf_header
{
  struct hf_str name;
  struct hf_str value;
};

/** struct hf_response_hints - what a backend server said beside its answer */
struct hf_response_hints
{
  unsigned status;        /* HTTP status */
  int load;               /* requests in it, -1: not said */
  int slowdown_percent;   /* how long work takes there now, 100: as usual; 0: not said */
  bool draining;          /* it is draining */
  bool not_run;           /* it refused the request by protocol */
  bool wrong_instance;    /* another backend server has the address now */
  int64_t retry_after_ms; /* -1: not said */
};

/**
 * struct hf_server_report - what the directory says of one backend server
 * @name: names this incarnation towards the backend server
 * @service: service it belongs to
 * @address: IP:PORT
 * @failure_domain: where it runs
 * @slots: requests it runs at once
 * @incarnation: changes when it starts anew under the same name
 * @warmup_ms: time that it stays slow after its start
 * @draining: it gets no new work
 * @removed: it is no longer listed
 * @removal_delay_ms: one that is gone may still be listed again for so long
 */
struct hf_server_report
{
  struct hf_str name;
  struct hf_str service;
  struct hf_str address;
  struct hf_str failure_domain;
  unsigned slots;
  uint64_t incarnation;
  int64_t warmup_ms;
  bool draining;
  bool removed;
  int64_t removal_delay_ms;
};

/** struct hf_listed_entry - an entry as the platform lists it */
struct hf_listed_entry
{
  struct hf_str name;
  struct hf_str address;        /* of its peer socket */
  struct hf_str failure_domain; /* empty: not said */
  double cpu_share;             /* of a core; 0: not said */
  bool removed;                 /* it is no longer listed */
};

/** enum hf_list_step - progress of a list of the directory */
enum hf_list_step
{
  HF_LIST_BEGIN,       /* what is not reported before the end is gone */
  HF_LIST_END,         /* all was reported, as it was at the event's revision */
  HF_LIST_PROGRESS,    /* all changes up to the event's revision were reported */
  HF_LIST_UNREACHABLE, /* the directory cannot be reached */
  HF_LIST_REACHABLE,   /* it answers */
  HF_LIST_ENTRIES_END, /* every listed entry was reported */
};

/** enum hf_watch_mode - how the platform is followed */
enum hf_watch_mode
{
  HF_WATCH_MODE_OFF,   /* not at all: others tell */
  HF_WATCH_MODE_PROBE, /* only asked whether it answers */
  HF_WATCH_MODE_ON,    /* changes are waited for */
};

/* --- types: events --- */

/** enum hf_event_kind - what happened */
enum hf_event_kind
{
  HF_EVENT_START,           /* the process starts */
  HF_EVENT_TICK,            /* a timer may be due */
  HF_EVENT_REQUEST,         /* a caller's request is here */
  HF_EVENT_CALLER_GONE,     /* its connection is gone, or its answer is out */
  HF_EVENT_ATTEMPT_HEAD,    /* the head of a long answer arrived */
  HF_EVENT_ATTEMPT_END,     /* an attempt ended */
  HF_EVENT_PEER_MESSAGE,    /* a message of another entry */
  HF_EVENT_PLATFORM_RESULT, /* the outcome of a platform call */
  HF_EVENT_WATCH_LINE,      /* a line of a watch */
  HF_EVENT_PROBE_RESULT,    /* the outcome of a probe */
  HF_EVENT_SHUTDOWN,        /* asked to leave */
  HF_EVENT_DOCUMENT,        /* a document of desired state from outside */
  HF_EVENT_SERVER_REPORT,   /* what the platform's directory says of a backend server */
  HF_EVENT_ENTRY_REPORT,    /* another entry is listed, or is no longer */
  HF_EVENT_LIST_STEP,       /* progress of a list of the directory */
};

/** struct hf_event - one event; the member named like its kind is valid */
struct hf_event
{
  enum hf_event_kind kind;
  int64_t now;       /* monotonic time, microseconds */
  int64_t wall_time; /* wall clock, microseconds since 1970 */
  uint64_t call;
  unsigned attempt;
  struct
  {
    struct hf_str method;
    struct hf_str host;
    struct hf_str path;
    struct hf_str idempotency_key; /* Idempotency-Key, or empty */
    const struct hf_header *headers;
    size_t n_headers;
    struct hf_str id;     /* names it in logs, or empty */
    int64_t arrived_at;   /* monotonic time of its head */
    uint64_t body_digest; /* hash of the body */
    int64_t deadline_ms;  /* time that the caller waits, 0: not said */
    size_t body_bytes;    /* of a body that is kept */
    bool body_streamed;   /* the body is too long to keep */
  } request;
  struct hf_response_hints hints; /* ATTEMPT_HEAD, ATTEMPT_END, PROBE */
  enum hf_attempt_result result;
  bool bytes_sent; /* ATTEMPT_END: bytes were handed to a connection */
  struct
  {
    const struct hf_rpc_message *message;
    struct hf_str address; /* sender, IP:PORT */
  } peer;
  struct
  {
    enum hf_platform_purpose purpose;
    uint64_t arg;
    enum hf_platform_op op;
    unsigned status;    /* HTTP status; 0: the answer was lost */
    struct hf_str data; /* JSON of the object, or one line of a watch */
  } platform;
  uint64_t server; /* PROBE */
  struct
  {
    uint64_t generation;
    struct hf_str text; /* YAML */
  } document;
  struct hf_server_report report; /* SERVER */
  struct hf_listed_entry entry;   /* ENTRY */
  enum hf_list_step list_step;
  uint64_t revision; /* LIST: of the directory; 0: none */
};

/* --- types: effects --- */

/** enum hf_effect_kind - what the event loop has to do */
enum hf_effect_kind
{
  HF_EFFECT_SEND_ERROR,     /* answer the caller with a failure */
  HF_EFFECT_DISPATCH,       /* send the request to a backend server */
  HF_EFFECT_CANCEL_ATTEMPT, /* give up an attempt */
  HF_EFFECT_RELAY_RESPONSE, /* pass the attempt's answer to the caller */
  HF_EFFECT_ABORT_RESPONSE, /* break the caller's connection visibly */
  HF_EFFECT_SEND_MESSAGE,   /* send a message to an entry */
  HF_EFFECT_CALL_PLATFORM,  /* call the platform */
  HF_EFFECT_SEND_PROBE,     /* ask a health endpoint */
  HF_EFFECT_RECONNECT,      /* replace the connections of a backend server */
  HF_EFFECT_LOG,            /* write an event line */
  HF_EFFECT_SET_WAKEUP,     /* raise a tick at this time */
  HF_EFFECT_EXIT,           /* nothing is in flight: leave */
  HF_EFFECT_SET_LIMITS,     /* what callers may send has changed */
  HF_EFFECT_SET_WATCH,      /* follow the platform from a revision on, or no more */
};

/** struct hf_effect - one effect; the members that its kind needs are set */
struct hf_effect
{
  enum hf_effect_kind kind;
  uint64_t call;
  unsigned attempt;
  unsigned status;
  enum hf_outcome outcome;
  int64_t retry_after_ms; /* 0: none */
  struct hf_str text;     /* reason of an answer, text of a log line */
  uint64_t server;
  struct hf_str address;
  struct hf_str path;   /* PROBE */
  int64_t idle_max_ms;  /* DISPATCH: a kept connection must have been used since; 0: a new one */
  int64_t remaining_ms; /* DISPATCH: deadline passed on */
  struct hf_rpc_message message;
  enum hf_platform_op op;
  enum hf_platform_purpose purpose;
  uint64_t arg;
  uint64_t version;
  enum hf_watch_mode watch_mode;
  uint64_t revision; /* FOLLOW: of the directory as it is known */
  struct hf_str name;
  struct hf_str data;
  struct hf_limits limits;
  int log_number;
  const struct hf_log_field *log_fields;
  size_t n_log_fields;
  int64_t wakeup_at;
};

/** struct hf_effects - effects of one or more reductions, in order */
struct hf_effects
{
  GArray *items; /* struct hf_effect */
  GStringChunk *strings;
  GPtrArray *allocations; /* memory of messages, freed with the list */
};

/* --- public functions --- */

void hf_effects_init (struct hf_effects *effects);                              /* empty list */
void hf_effects_close (struct hf_effects *effects);                             /* frees all */
void hf_effects_add (struct hf_effects *effects, struct hf_effect effect);      /* appends one */
struct hf_str hf_effects_copy (struct hf_effects *effects, struct hf_str text); /* copy that lives with the list */
void *hf_effects_alloc (struct hf_effects *effects, size_t size); /* zeroed memory that lives with the list */

#endif
