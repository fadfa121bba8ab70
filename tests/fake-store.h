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

struct fake_store *store_open (struct hf_net *net);                                              /* empty, listening */
void store_close (struct fake_store *store);                                                     /* frees all */
const char *store_address (const struct fake_store *store);                                      /* IP:PORT */
void store_put (struct fake_store *store, const char *kind, const char *name, const char *spec); /* JSON of its spec */
void store_delete (struct fake_store *store, const char *kind, const char *name);                /* with an event */
char *store_get (const struct fake_store *store, const char *kind, const char *name); /* JSON of its spec, or NULL */
void store_refuse (struct fake_store *store, guint status); /* every call gets this; waiting watches are cut; 0: none */
void store_silence (struct fake_store *store, gboolean silent); /* no call is answered, nor is a watch that waits */
void store_lose (struct fake_store *store, guint writes);       /* so many are done and not answered */
void store_lag (struct fake_store *store, guint64 changes);     /* later pages from copies are so many changes old */
void store_forget (struct fake_store *store);                   /* the history is gone: watches get 410 */
guint store_calls (const struct fake_store *store);             /* calls so far */

#endif
