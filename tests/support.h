/**
 * DOC: support - what the process tests share
 */
#ifndef SUPPORT_H
#define SUPPORT_H

#include "harness.h"

#include <libsoup/soup.h>

/* --- types --- */

/** struct response - a caller's view of one call; status 0: no whole answer */
struct response
{
  guint status;
  char *outcome; /* Hickory-Outcome, or NULL */
  char *digest;  /* X-Body-Digest, or NULL */
  char *retry_after;
  gsize size;
  gboolean done;
  SoupMessage *message;
};

/** struct setup - a small system: one service "a" on constant fakes */
struct setup
{
  struct harness *harness;
  struct backend *backend;
  char *document;
};

/* --- public functions --- */

struct setup *
setup_open (int entries, int servers, double mean_ms, const char *service_keys); /* started, document in force */
void setup_close (struct setup *setup);                                          /* ends all */
char *setup_document (struct setup *setup,
                      const char *service_keys,
                      const char *server_keys);           /* the document with keys added */
struct entry *setup_entry (struct setup *setup, guint i); /* i-th entry */
struct response send_call (const char *address,
                           const char *method,
                           const char *path,
                           const char *test_key,
                           const char *idempotency_key,
                           const char *fault,
                           const char *body); /* waits for the answer */
struct response *start_call (const char *address,
                             const char *method,
                             const char *path,
                             const char *test_key,
                             const char *idempotency_key,
                             const char *fault);                         /* runs on with the main loop */
gboolean wait_for_response (struct response *response, int seconds);     /* until it is done */
void clear_response (struct response *response);                         /* frees the strings */
guint count_runs (struct setup *setup, const char *test_key);            /* what the fakes ran */
guint server_stat (struct setup *setup, guint server, const char *name); /* runs, peak or probes */
guint64 entry_generation (const struct entry *entry);                    /* in force there */
guint64 entry_metric (const struct entry *entry, const char *name);      /* one counter */
gboolean wait_for_members (struct setup *setup, guint alive);            /* every entry sees that many */

#endif
