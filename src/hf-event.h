/**
 * DOC: hf-event - events and effects of the reducer
 *
 * All input of the reducer arrives in events, including the time, and its
 * random numbers come from a seed, so that a run can be repeated. All output
 * leaves as effects. Strings in an event are borrowed until hf_reduce returns;
 * strings in an effect live as long as the list of effects. Times are in
 * microseconds unless a name ends in _ms.
 */
#ifndef HF_EVENT_H
#define HF_EVENT_H

#include <glib.h>

#include "hf-base.h"
#include "hf-stream-end.h"
#include "hf-document.h"
#include "hf-log.h"
#include "hf-rpc.h"
#include "hf-store-position.h"

/* --- types: shared values --- */

/** enum hf_outcome - whether a backend server ran a caller's request */
enum hf_outcome
{
  HF_OUTCOME_ANSWERED, /* a backend server's complete response */
  HF_OUTCOME_NOT_RUN,  /* no backend server ran it: the caller may send it again */
  HF_OUTCOME_UNKNOWN,  /* it may have run: only an idempotent request may be sent again */
};

/** enum hf_attempt_result - how an attempt at a backend server ended */
enum hf_attempt_result
{
  HF_ATTEMPT_ANSWERED,       /* a complete response arrived */
  HF_ATTEMPT_CONNECT_FAILED, /* no byte of the request was sent */
  HF_ATTEMPT_BROKEN,         /* the connection was lost after bytes were sent */
  HF_ATTEMPT_TRUNCATED,      /* the response ended before its declared length */
  HF_ATTEMPT_TIMEOUT,        /* no response in time */
  HF_ATTEMPT_CANCELLED,      /* caller disconnected, or another attempt was answered first */
};

/** enum hf_platform_op - operations of the platform's object API */
enum hf_platform_op
{
  HF_PLATFORM_GET,
  HF_PLATFORM_HEAD,  /* metadata only */
  HF_PLATFORM_PUT,   /* only if the object has this version; 0: create it */
  HF_PLATFORM_WATCH, /* streams changes as lines */
};

/** enum hf_platform_purpose - part of the reducer that a platform call belongs to */
enum hf_platform_purpose
{
  HF_PURPOSE_CONFIG,
  HF_PURPOSE_VMS,
  HF_PURPOSE_EVACUATIONS, /* the last one that is watched */
  HF_PURPOSE_CLAIMS,
  HF_PURPOSE_PROBES,
};

/** enum hf_credential - what a request carries to identify the organisation of its caller */
enum hf_credential
{
  HF_CREDENTIAL_NONE,
  HF_CREDENTIAL_KEY,       /* one key */
  HF_CREDENTIAL_MALFORMED, /* the field is there, but has another scheme or no key */
  HF_CREDENTIAL_SEVERAL,   /* more than one field, so that none counts */
};

/** struct hf_header - one HTTP header field of a request */
struct hf_header
{
  struct hf_str name;
  struct hf_str value;
};

/** struct hf_connection_use - which connection to a backend server a request used */
struct hf_connection_use
{
  uint64_t number;           /* in the order of opening; 0: none could be opened */
  uint64_t earlier_requests; /* that the connection had carried before */
};

/** struct hf_response_hints - status and coordination headers of a backend server's response */
struct hf_response_hints
{
  unsigned status;        /* HTTP status; 0: no response to a probe */
  int load;               /* requests in progress there; -1: not reported */
  int slowdown_percent;   /* current processing time, 100: normal; 0: not reported */
  bool draining;          /* it accepts no new requests now */
  bool leaving;           /* this instance of it accepts no new requests any more */
  bool not_run;           /* it reports that it did not run the request */
  bool wrong_instance;    /* another backend server has taken over the address */
  bool tells_cold;        /* it reports whether it is cold */
  int64_t cold_ms;        /* tells_cold: for how long it stays cold; 0: it is not */
  int64_t retry_after_ms; /* -1: not reported */
  bool retry_after_invalid;
};

/**
 * struct hf_server_report - a backend server in the platform's directory
 * @name: name of this incarnation; sent to the backend server, which checks it
 * @service: name of its service
 * @address: IP:PORT
 * @failure_domain: name of its failure domain
 * @slots: number of requests it runs concurrently
 * @incarnation: rises when it restarts under the same name
 * @sequence: number of this report among those of the incarnation
 * @warmup_ms: remaining time of higher latency after its start
 * @warmup_unknown: the directory does not tell @warmup_ms
 * @draining: it accepts no new requests
 * @removed: it is no longer listed
 * @removal_delay_ms: a removed server is kept this long in case it is listed again
 */
struct hf_server_report
{
  struct hf_str name;
  struct hf_str service;
  struct hf_str address;
  struct hf_str failure_domain;
  unsigned slots;
  uint64_t incarnation;
  uint64_t sequence;
  int64_t warmup_ms;
  bool warmup_unknown;
  bool draining;
  bool removed;
  int64_t removal_delay_ms;
};

/** struct hf_listed_entry - an entry in the platform's list */
struct hf_listed_entry
{
  struct hf_str name;
  struct hf_str address;        /* IP:PORT of its peer socket */
  struct hf_str failure_domain; /* empty: not reported */
  double cpu_share;             /* processor time in cores; 0: not reported */
  bool removed;                 /* it is no longer listed */
};

/** enum hf_list_step - progress of listing the platform's directory */
enum hf_list_step
{
  HF_LIST_BEGIN,       /* servers not reported before HF_LIST_END are removed */
  HF_LIST_END,         /* all servers at the event's position were reported */
  HF_LIST_PROGRESS,    /* all changes up to the event's position were reported */
  HF_LIST_UNREACHABLE, /* the directory is unreachable */
  HF_LIST_REACHABLE,   /* the directory is reachable, and changes of it would have been reported */
  HF_LIST_RESPONDS,    /* the directory is reachable; changes of it may not have been asked for yet */
  HF_LIST_ENTRIES_END, /* all listed entries were reported */
  HF_LIST_NEW_ERA,     /* the platform came back from an older copy; the event's position has the new era */
};

/** enum hf_watch_mode - how this entry watches the platform's directory */
enum hf_watch_mode
{
  HF_WATCH_MODE_OFF,   /* not at all: other entries send the changes */
  HF_WATCH_MODE_PROBE, /* only checks whether it is reachable */
  HF_WATCH_MODE_ON,    /* waits for changes */
  HF_WATCH_MODE_AWAIT, /* checks often whether it is reachable: this entry is to watch it then */
};

/* --- types: events --- */

/** enum hf_event_kind - kinds of events */
enum hf_event_kind
{
  HF_EVENT_START,           /* the process has started */
  HF_EVENT_TICK,            /* a timer may be due */
  HF_EVENT_REQUEST,         /* a caller's request arrived */
  HF_EVENT_CALLER_GONE,     /* the caller disconnected, or its response was sent */
  HF_EVENT_ATTEMPT_HEAD,    /* the head of a long response arrived */
  HF_EVENT_ATTEMPT_END,     /* an attempt ended */
  HF_EVENT_PEER_MESSAGE,    /* a message from another entry */
  HF_EVENT_PLATFORM_RESULT, /* a platform call ended */
  HF_EVENT_WATCH_LINE,      /* one line of a watch of the platform */
  HF_EVENT_PROBE_RESULT,    /* a health probe or measurement ended */
  HF_EVENT_SERVER_HINTS,  /* the head of a response tells which requests its server does not want, or whether it is cold
                           */
  HF_EVENT_SHUTDOWN,      /* the process is to shut down */
  HF_EVENT_DOCUMENT,      /* a new configuration document from outside of the reducer */
  HF_EVENT_SERVER_REPORT, /* a backend server was listed, changed or removed */
  HF_EVENT_ENTRY_REPORT,  /* an entry was listed or removed */
  HF_EVENT_LIST_STEP,     /* progress of listing the platform's directory */
  HF_EVENT_EVACUATION_REPORT, /* the evacuation of a failure domain was ordered or ended */
  HF_EVENT_EVACUATION_STEP,   /* progress of listing these orders */
};

/** struct hf_event - one event; comments name the kinds of event that set a member */
struct hf_event
{
  enum hf_event_kind kind;
  int64_t now;       /* monotonic time */
  int64_t wall_time; /* microseconds since 1970 */
  uint64_t call;     /* REQUEST, CALLER_GONE, ATTEMPT_HEAD, ATTEMPT_END: id of the call */
  unsigned attempt;  /* ATTEMPT_HEAD, ATTEMPT_END: index of the attempt */
  /* REQUEST */
  struct
  {
    struct hf_str method;
    struct hf_str host;
    struct hf_str path;
    struct hf_str query;           /* what follows the path and its '?'; empty: none */
    struct hf_str idempotency_key; /* empty: none */
    enum hf_credential credential;
    struct hf_str organisation_key; /* HF_CREDENTIAL_KEY: the key, never logged; else empty */
    const struct hf_header *headers;
    size_t n_headers;
    struct hf_str id;     /* request id for logs; empty: none */
    int64_t arrived_at;   /* monotonic time at which its head arrived */
    uint64_t body_digest; /* hash of the body; of its length and first bytes if it is streamed */
    int64_t deadline_ms;  /* how long the caller waits; 0: not given */
    size_t body_bytes;    /* length of a buffered body */
    bool body_streamed;   /* the body is too long to buffer */
  } request;
  struct hf_response_hints hints;      /* ATTEMPT_HEAD, ATTEMPT_END, PROBE_RESULT, SERVER_HINTS */
  enum hf_attempt_result result;       /* ATTEMPT_END */
  bool bytes_sent;                     /* ATTEMPT_END: part of the request was sent */
  struct hf_connection_use connection; /* ATTEMPT_HEAD, ATTEMPT_END: for logs */
  enum hf_stream_end connection_end;   /* ATTEMPT_END: for logs */
  /* PEER_MESSAGE */
  struct
  {
    const struct hf_rpc_message *message;
    struct hf_str address; /* sender, IP:PORT */
  } peer;
  /* PLATFORM_RESULT, WATCH_LINE */
  struct
  {
    enum hf_platform_purpose purpose;
    uint64_t arg; /* of the effect that made the call */
    enum hf_platform_op op;
    unsigned status;    /* HTTP status, 0: no response; of a WATCH_LINE 0: a line arrived, else: the watch ended */
    struct hf_str data; /* JSON of the object, or one line of a watch */
  } platform;
  uint64_t server;      /* PROBE_RESULT, SERVER_HINTS: id of the backend server */
  uint64_t incarnation; /* SERVER_HINTS: run of the server that the request was sent to */
  /* DOCUMENT */
  struct
  {
    uint64_t generation;
    struct hf_str text; /* as hf_document_load reads it */
  } document;
  struct hf_server_report report;    /* SERVER_REPORT */
  struct hf_listed_entry entry;      /* ENTRY_REPORT */
  enum hf_list_step list_step;       /* LIST_STEP; EVACUATION_STEP: BEGIN, END or PROGRESS */
  struct hf_store_position position; /* LIST_STEP: of the directory; SERVER_REPORT: last change of the server;
                                      * EVACUATION_STEP: of the orders */
  /* EVACUATION_REPORT */
  struct
  {
    struct hf_str domain; /* name of the failure domain */
    bool in_force;        /* its backend servers are to get no requests */
  } evacuation;
};

/* --- types: effects --- */

/** enum hf_effect_kind - actions for the event loop */
enum hf_effect_kind
{
  HF_EFFECT_SEND_ERROR,        /* send the caller an error response */
  HF_EFFECT_DISPATCH,          /* send the request to a backend server */
  HF_EFFECT_CANCEL_ATTEMPT,    /* stop an attempt */
  HF_EFFECT_RELAY_RESPONSE,    /* relay the attempt's response to the caller */
  HF_EFFECT_ABORT_RESPONSE,    /* close the caller's connection mid-response, so that it sees an error */
  HF_EFFECT_SEND_MESSAGE,      /* send a message to an entry */
  HF_EFFECT_CALL_PLATFORM,     /* call the platform's object API */
  HF_EFFECT_SEND_PROBE,        /* request a backend server's health path */
  HF_EFFECT_RECONNECT,         /* replace the connections to a backend server */
  HF_EFFECT_LOG,               /* write a log line */
  HF_EFFECT_SET_WAKEUP,        /* raise a TICK event at a time */
  HF_EFFECT_EXIT,              /* end the process once no caller is connected, or at the shutdown timeout */
  HF_EFFECT_REJECT_INCOMPLETE, /* send an error to callers whose request has not arrived completely */
  HF_EFFECT_SET_LIMITS,        /* change the limits on callers' requests */
  HF_EFFECT_SET_WATCH,         /* change how the platform's directory is watched */
  HF_EFFECT_READ_DOCUMENT,     /* read the configuration from the platform once */
  HF_EFFECT_WITHDRAW,          /* remove this entry from the platform's list of entries */
  HF_EFFECT_LIST_AGAIN,        /* the platform has a new era: list again what is watched, check the registration */
};

/** struct hf_effect - one effect; only the members that its kind needs are set */
struct hf_effect
{
  enum hf_effect_kind kind;
  uint64_t call;    /* id of the call */
  unsigned attempt; /* index of the attempt */
  unsigned status;  /* HTTP status */
  enum hf_outcome outcome;
  int64_t retry_after_ms; /* 0: none */
  struct hf_str text;     /* reason of an error, or text of a log line */
  uint64_t server;        /* id of the backend server */
  uint64_t incarnation;   /* DISPATCH, SEND_PROBE: run of the server that is meant */
  struct hf_str address;
  bool crosses_domain;        /* DISPATCH, SEND_PROBE, SEND_MESSAGE: the address is in another failure domain */
  struct hf_str path;         /* SEND_PROBE */
  int64_t idle_max_ms;        /* DISPATCH: reuse only a connection idle for less; 0: open a new one */
  int64_t remaining_ms;       /* DISPATCH: remaining deadline, sent to the backend server */
  bool has_organisations;     /* DISPATCH: the caller's fields for key and organisation are not forwarded */
  struct hf_str organisation; /* DISPATCH: name sent to the backend server; empty: none */
  struct hf_rpc_message message;
  enum hf_platform_op op;
  enum hf_platform_purpose purpose;
  uint64_t arg;     /* returned in the result's event: claim shard or service, by purpose */
  uint64_t version; /* PUT: expected version of the object; 0: create it */
  enum hf_watch_mode watch_mode;
  int64_t watch_wait_ms;             /* SET_WATCH: how long a watch waits for a change */
  bool catches_up;                   /* SET_WATCH: request the changes so far at the first check that succeeds */
  struct hf_store_position position; /* SET_WATCH: last known one of the directory; LIST_AGAIN: only the era */
  struct hf_str name;
  struct hf_str data;
  struct hf_caller_limits limits;
  int log_number;
  const struct hf_log_field *log_fields;
  size_t n_log_fields;
  int64_t wakeup_at; /* SET_WAKEUP: monotonic time */
};

/** struct hf_effects - effects of one or more reductions, in order */
struct hf_effects
{
  GArray *items; /* struct hf_effect */
  GStringChunk *strings;
  GPtrArray *allocations; /* memory of hf_effects_alloc, freed with the list */
};

/* --- public functions: reports --- */

/* Below 0, 0 or above 0 if @a is older than @b, as old or newer; both are of one backend server. */
int hf_server_report_compare_age (const struct hf_server_report *a, const struct hf_server_report *b);

/* --- public functions: effects --- */

void hf_effects_init (struct hf_effects *effects);                              /* empty list */
void hf_effects_close (struct hf_effects *effects);                             /* frees list and contents */
void hf_effects_add (struct hf_effects *effects, struct hf_effect effect);      /* appends an effect */
struct hf_str hf_effects_copy (struct hf_effects *effects, struct hf_str text); /* copy owned by the list */
void *hf_effects_alloc (struct hf_effects *effects, size_t size);               /* zeroed memory owned by the list */

#endif
