/**
 * DOC: fake-store - a stand-in for the store of the users' platform
 *
 * Speaks the published protocol over HTTP: kinds and names, revisions, lists
 * by page, waiting watches, creation and replacement, and its failures.
 */
#ifndef FAKE_STORE_H
#define FAKE_STORE_H

#include "hf-http-server.h"

struct fake_store;

/* --- public functions --- */

struct fake_store *fake_store_open (struct hf_net *net);         /* empty, listening */
void fake_store_close (struct fake_store *store);                /* frees all */
const char *fake_store_address (const struct fake_store *store); /* IP:PORT */
void
fake_store_put (struct fake_store *store, const char *kind, const char *name, const char *spec); /* JSON of its spec */
void fake_store_delete (struct fake_store *store, const char *kind, const char *name);           /* with an event */
char *
fake_store_get (const struct fake_store *store, const char *kind, const char *name); /* JSON of its spec, or NULL */
void fake_store_set_error (struct fake_store *store,
                           guint status); /* every call gets this; waiting watches are cut; 0: none */
void fake_store_set_silent (struct fake_store *store,
                            gboolean silent); /* no call is answered, nor is a watch that waits */
void fake_store_drop_responses (struct fake_store *store, guint writes); /* so many are done and not answered */
void fake_store_set_list_lag (struct fake_store *store,
                              guint64 changes);               /* later pages from copies are so many changes old */
void fake_store_compact (struct fake_store *store);           /* the history is gone: watches get 410 */
guint fake_store_call_count (const struct fake_store *store); /* calls so far */

#endif
