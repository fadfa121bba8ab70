/**
 * DOC: support - fixture and HTTP calls shared by the tests of real processes
 */
#ifndef SUPPORT_H
#define SUPPORT_H

#include "harness.h"

#include <libsoup/soup.h>

/* --- types --- */

/** struct response - the result of one call; status 0: no complete response */
struct response
{
  guint status;
  char *outcome;     /* Hickory-Outcome, or NULL */
  char *digest;      /* X-Body-Digest, or NULL */
  char *retry_after; /* Retry-After, or NULL */
  gsize size;        /* bytes of the body */
  gboolean done;
  SoupMessage *message;
};

/** struct setup - test fixture: entries and service "a" on fake backend servers with constant service times */
struct setup
{
  struct harness *harness;
  struct backend *backend;
  char *document;
};

/* --- public functions: fixture --- */

/* Starts the processes, applies the document and waits until every entry sees all members. */
struct setup *setup_open (int entries, int servers, double mean_ms, const char *service_keys);
void setup_close (struct setup *setup); /* ends the processes, frees everything */
/* The document as YAML with added lines for the service (NULL: probe_budget: 0) and keys for server 0 (NULL: none). */
char *setup_document (struct setup *setup, const char *service_keys, const char *server_keys);
struct entry *setup_entry (struct setup *setup, guint i); /* i-th entry */

/* --- public functions: calls --- */

/* Sends a call and waits for the response. */
struct response send_call (const char *address,
                           const char *method,
                           const char *path,
                           const char *test_key,
                           const char *idempotency_key,
                           const char *fault,
                           const char *body);
/* Sends a call; the response is received while the main loop runs. */
struct response *start_call (const char *address,
                             const char *method,
                             const char *path,
                             const char *test_key,
                             const char *idempotency_key,
                             const char *fault);
gboolean wait_for_response (struct response *response, int seconds); /* FALSE: not done in time */
void clear_response (struct response *response);                     /* frees the strings */

/* --- public functions: state of the processes --- */

guint count_runs (struct setup *setup, const char *test_key);            /* executions at the fake backend servers */
guint server_stat (struct setup *setup, guint server, const char *name); /* runs, peak or probes of one server */
guint64 entry_generation (const struct entry *entry);                    /* document generation in force */
guint64 entry_metric (const struct entry *entry, const char *name);      /* value of one counter or gauge */
gboolean wait_for_members (struct setup *setup, guint alive);            /* until every entry sees that many alive */

#endif
