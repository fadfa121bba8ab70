/**
 * DOC: platform-setup - fixture of tests with the platform's store
 *
 * One real hickoryd, a fake store, fake backend servers that misbehave as told,
 * and raw callers.
 */
#ifndef PLATFORM_SETUP_H
#define PLATFORM_SETUP_H

#include "fake-store.h"
#include "harness.h"
#include "raw.h"

/* --- constants --- */

#define SERVERS             2
#define CHANGE_TIMEOUT_S    5
#define DIRECTORY_UPDATE_MS 1000 /* until a change in the store is in force */
#define SERVER_SLOTS        3
#define LONG_BODY_BYTES     300000 /* more than the entry buffers */
#define LATE_MAX_MS         1000
#define DRAIN_WAIT_MS       300  /* from SIGTERM until the listener closes */
#define GRACE_MS            3000 /* from SIGTERM to the exit of an entry */

/* --- types --- */

/** enum server_behaviour - what a backend server does with a request */
enum server_behaviour
{
  SENDS_RESPONSE,
  SENDS_NOT_RUN,                /* 503 with X-Not-Executed */
  SENDS_WRONG_INSTANCE,         /* 421: the address now belongs to another server */
  SENDS_503,                    /* 503 without X-Not-Executed */
  SENDS_LONG_503,               /* the same with LONG_BODY_BYTES, in each framing in turn */
  SENDS_LONG_NOT_RUN,           /* 503 with X-Not-Executed and LONG_BODY_BYTES */
  RESETS_CONNECTION,            /* after it has read the request */
  SENDS_NOTHING,                /* keeps the connection open */
  SENDS_FOREIGN_RESPONSE_FIRST, /* a response to another request, then its own */
  SENDS_EXTRA_BYTES,            /* its own response, then one to another request */
  REPEATS_REFUSALS,             /* sends all refusals of the connection again before each response on it */
  ENDS_BY_CLOSE,                /* response without length, ended by a close */
  ENDS_BY_RESET,                /* response without length, ended by a reset */
  SENDS_LATE,                   /* its response, up to LATE_MAX_MS later */
  ENDS_EARLY,                   /* after cut_bytes of its response */
  SENDS_NON_HTTP,
  SENDS_ENDLESS_HEAD,  /* header fields until the connection is closed */
  SENDS_ENDLESS_BODY,  /* the same with a body without length */
  SENDS_ENDLESS_NOISE, /* the same with bytes that are no response */
  SENDS_TEXT_ENDLESS,  /* text of the server, then pieces of the setup until the connection is closed */
  SENDS_TEXT,          /* text of the server; then it resets the connection if cuts_by_reset */
  SENDS_SHORT_STATUS,  /* a status line with two digits */
};

struct backend_server
{
  struct setup *setup;
  struct raw_server *raw_server;
  char name[16];
  enum server_behaviour behaviour;
  gsize cut_bytes;
  const char *text; /* "{id}" stands for the id of the request */
  gboolean cuts_by_reset;
  gboolean copies_into_health; /* a response to another request precedes each of its health responses */
  guint slowdown_percent;      /* current latency in percent of the usual, as health responses report it; 0: 100 */
  const char *extra_fields;    /* header lines in its responses to calls; NULL: none */
  const char *health_fields;   /* the same in those of its health endpoint */
  const char *zone;            /* of its failure domain; NULL: that of the entry */
  guint64 started_at;          /* as it registers itself; 0: from its index */
  const char *failure_domain;  /* the same; NULL: that of the entry */
  const char *cold_left;       /* the same, as a JSON member; NULL: 0 ms */
  guint requests;
  guint health_requests;
  GString *last_request;
  struct raw_connection *last_connection; /* of the last request */
  /* With REPEATS_REFUSALS. */
  guint refusals_left;  /* requests that it refuses with 503 before it runs others */
  const char *instance; /* refuses with 421 what is meant for another one; NULL: runs all */
  GPtrArray *refusals;  /* struct refusal, all so far */
  GHashTable *runs;     /* ids of the requests that it ran */
};

struct setup
{
  struct hf_net *net;
  struct fake_store *store;
  struct backend_server servers[SERVERS];
  GSubprocess *entry;
  const char *peers;    /* address of the entry for other entries; NULL: a free port, which others do not know */
  const char *affinity; /* setting domain_affinity of the entry; NULL: the default */
  int drain_wait_ms;    /* settings of the entry */
  int grace_ms;
  const char *extra_settings; /* more lines of its settings; NULL: none */
  const char *cold_fields;    /* JSON members of the services, each after a comma; NULL: none */
  char *folder;
  char caller_address[64];
  char admin_address[64];
  char metrics_address[64];
  guint next_id;
  guint sequence;     /* of the reports of backend servers, which count their writes */
  GPtrArray *log;     /* log lines of the entry */
  GHashTable *ids;    /* of the requests that reached a server */
  GPtrArray *endless; /* struct raw_connection, on which bytes are sent without end */
  guint endless_timer;
  const char *endless_piece; /* what is sent without end; NULL: header fields */
  gboolean endless_slowly;   /* one piece at a time, instead of as many as the connection takes */
};

/* --- public functions: init and close --- */

struct setup *open_setup (void);                                       /* all ready */
struct setup *open_setup_with_grace (int drain_wait_ms, int grace_ms); /* with these settings */
struct setup *open_empty (void);                                       /* an entry, and an empty store */
struct setup *open_without_entry (int drain_wait_ms, int grace_ms);    /* the entry is started later */
void start_entry (struct setup *setup);                                /* waits until it listens */
char *make_settings (const struct setup *setup);                       /* of the entry; the caller frees it */
void await_listening (struct setup *setup); /* of an entry that was started in another way; reads its addresses */
/* Starts one more entry with more processor time, which gets the roles first. The caller ends and unrefs it. */
GSubprocess *start_larger_entry (struct setup *setup, const char *name, const char *peers);
void kill_entry (struct setup *setup);  /* SIGKILL */
void close_setup (struct setup *setup); /* ends the entry, frees everything */

/* --- public functions: backend servers --- */

void set_behaviour (struct setup *setup, enum server_behaviour behaviour); /* of all servers */
const char *extra_fields (const struct backend_server *server);            /* header lines of its responses */
void send_response (const struct backend_server *server,
                    struct raw_connection *connection,
                    const char *id,
                    const char *body);            /* 200 */
guint count_requests (const struct setup *setup); /* that reached the servers */

/* --- public functions: objects of the store --- */

void put_server (struct setup *setup, guint i, const char *service, const char *state);
char *make_report (struct setup *setup, guint i, const char *service, const char *state);
void put_config (struct setup *setup, guint version, const char *read_target, const char *read_prefix);

/* --- public functions: callers --- */

char *format_request (struct setup *setup, const char *method, const char *path, const char *body);
struct raw_client *send_request (struct setup *setup, const char *method, const char *path, const char *body);
struct raw_client *send_text (struct setup *setup, const char *address, const char *text);
guint
request_status (struct setup *setup, const char *method, const char *path, const char *body); /* sends it and waits */
char *page_text (struct setup *setup, const char *address, const char *path);   /* head and body; the caller frees it */
guint page_status (struct setup *setup, const char *address, const char *path); /* of a page of the entry */
guint health_status (struct setup *setup);                                      /* of the entry */
char *header_value (const char *text, const char *name);

/* --- public functions: conditions, for harness_wait_until --- */

gboolean is_ready (void *context);     /* context: struct setup */
gboolean has_response (void *context); /* context: struct raw_client, as below */
gboolean has_ended (void *context);    /* closed by the entry */

#endif
