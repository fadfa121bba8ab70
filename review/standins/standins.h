/**
 * DOC: standins - stand-ins for the platform's store, backend servers and callers
 *
 * One thread serves each connection. The stand-ins behave as the users' pages
 * say; what a case changes is set by its callbacks. All events go to the record.
 */
#ifndef STANDINS_H
#define STANDINS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* --- types --- */

/** struct connection - one TCP connection with bytes received and not used yet */
struct connection
{
  int fd;
  GByteArray *received;
};

/** struct message - HTTP message */
struct message
{
  char *first_line;
  char *head; /* header lines */
  GByteArray *body;
  bool complete;
};

struct store;

/** struct backend - backend server on a loopback address */
struct backend
{
  struct store *store;
  char id[32];      /* new for each start */
  char service[32]; /* as in the configuration */
  char zone[32];
  char address[32];
  int listener;
  unsigned slots;
  unsigned queue;   /* requests that may wait for a slot; above: 503 with X-Not-Executed */
  unsigned work_ms; /* of one request */
  int64_t born_ms;
  unsigned sequence;
  const char *state; /* "ready" or "draining" */
  bool down;         /* no listener; new connections are refused */
  /* Called with the complete request before it runs; returns false if it has answered it. NULL: none. */
  bool (*before_run) (struct backend *backend, struct connection *connection, const struct message *request);
  /* Called with the head of a request; returns false if it has answered it or closed the connection. NULL: none. */
  bool (*before_body) (struct backend *backend, struct connection *connection, const struct message *request);
  void *context;
  /* Private. */
  GMutex mutex;
  GCond slot_freed;
  unsigned running;
  unsigned waiting;
  GArray *connections; /* int */
};

/** struct entry - one process of the system */
struct entry
{
  char name[32];
  char zone[32];
  char front[32];
  char ready[32];
  char folder[256];
  int pid;
  char peers[32];
  char metrics[32];
  struct store *store;
};

/** struct answer - what a caller got */
struct answer
{
  unsigned status; /* 0: none */
  bool complete;
  char stamp[64];
  char body[160]; /* its begin */
};

/* --- record --- */

void record_open (const char *path);
void record (const char *format, ...) G_GNUC_PRINTF (1, 2);
bool trouble_wanted (void); /* false with TROUBLE=0 */
void sleep_ms (unsigned ms);
int64_t now_ms (void); /* steady clock */
/* Waits for the threads of callers, ends all processes and exits: 1 if the rule was broken, 0 if not. */
void finish (bool broken) G_GNUC_NORETURN;
/* The case could not run. */
void give_up (const char *format, ...) G_GNUC_PRINTF (1, 2) G_GNUC_NORETURN;

/* --- network --- */

int listen_on_free_port (char address[32]);
int connect_to (const char *address);
bool send_bytes (int fd, const void *bytes, size_t size);
/* Reads a head; false: the connection ended before. */
bool read_head (struct connection *connection, struct message *message);
/* Reads the body that the head declares; @until_close: of a response without a length. */
void read_body (struct connection *connection, struct message *message, bool until_close);
const char *header (const struct message *message, const char *name, char value[256]); /* "" if there is none */
void message_clear (struct message *message);
void connection_clear (struct connection *connection, bool reset);

/* --- store --- */

struct store *store_start (void);
const char *store_address (const struct store *store);
void store_put (struct store *store, const char *kind, const char *name, const char *spec);
void store_touch (struct store *store, const char *kind, const char *name, const char *spec); /* without an event */
void store_delete (struct store *store, const char *kind, const char *name);
/* While it is silent, calls that arrive, or would be answered, get no answer; their connections return nothing more. */
void store_set_silent (struct store *store, bool silent);
unsigned store_watch_answers (struct store *store); /* to watches of the configuration, so far */

/* --- backend servers --- */

void backend_start (struct backend *backend); /* listens, registers, reports each 1.5 s */
void backend_report (struct backend *backend);
/* Ends at once as a crash does: resets its connections, refuses new ones, reports no more. */
void backend_crash (struct backend *backend);
void backend_restart (struct backend *backend); /* at its address, as a new instance */
void backend_answer (struct backend *backend,
                     struct connection *connection,
                     const struct message *request,
                     const char *status,
                     const char *fields,
                     const char *body);

/* --- entries and callers --- */

void entry_start (struct entry *entry, struct store *store, bool first_start);
bool entry_wait_ready (const struct entry *entry, unsigned timeout_ms);
bool entry_is_ready (const struct entry *entry);
void entry_signal (const struct entry *entry, int number);
bool entry_is_running (const struct entry *entry); /* false: the process has ended */
/* Sends a request on a connection and reads the answer; chunk_bytes 0: with a length. */
struct answer caller_send (struct connection *connection,
                           const char *method,
                           const char *host,
                           const char *path,
                           const char *id,
                           unsigned deadline_ms,
                           const GByteArray *body,
                           size_t chunk_bytes);
struct answer read_answer (struct connection *connection);
GByteArray *make_body (size_t size, const char *seed); /* bytes that depend on the seed */
const char *digest (const GByteArray *bytes, char text[20]);

#endif
