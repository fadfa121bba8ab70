/**
 * DOC: fake-store - a fake of the platform's object store
 *
 * Implements the published store protocol over HTTP: objects by kind and name,
 * revisions, paged lists, long-polling watches, create and replace requests.
 * Its switches reproduce the store's failures.
 */
#ifndef FAKE_STORE_H
#define FAKE_STORE_H

#include "hf-http-server.h"

struct fake_store;

/* --- public functions: init and close --- */

struct fake_store *fake_store_open (struct hf_net *net);         /* empty store, listening on a free port */
void fake_store_close (struct fake_store *store);                /* frees everything */
const char *fake_store_address (const struct fake_store *store); /* IP:PORT */

/* --- public functions: objects; spec is JSON --- */

/* Creates or replaces an object and notifies the watches. */
void fake_store_put (struct fake_store *store, const char *kind, const char *name, const char *spec);
/* Replaces the spec of an object as a report that changes only its number does: without a revision or an event. */
void fake_store_touch (struct fake_store *store, const char *kind, const char *name, const char *spec);
/* Deletes an object and notifies the watches. */
void fake_store_delete (struct fake_store *store, const char *kind, const char *name);
/* Marks an object as being deleted, as a deletion does while it has finalizers, and notifies the watches. */
void fake_store_mark_deleting (struct fake_store *store, const char *kind, const char *name);
/* Returns a copy of the spec, NULL if there is no such object. */
char *fake_store_get (const struct fake_store *store, const char *kind, const char *name);

/* --- public functions: failures --- */

/* Responds to every call, and to the pending watches, with this status, as a gateway before it: without an era; 0
 * restores normal operation. */
void fake_store_set_error (struct fake_store *store, guint status);
/* TRUE: sends no response to new calls, and never one to the watches that are pending now. */
void fake_store_set_silent (struct fake_store *store, gboolean silent);
/* Responds to lists and watches of this kind with 404, as a store without it; NULL: none. */
void fake_store_refuse_kind (struct fake_store *store, const char *kind);
void fake_store_drop_responses (struct fake_store *store,
                                guint writes); /* applies the next writes, aborts the responses */
void fake_store_set_bodiless (struct fake_store *store, gboolean bodiless); /* 200 with an empty map to all reads */
guint fake_store_reads (const struct fake_store *store);                    /* such responses so far */
/* With allow_stale, the second and later pages of a list lack the newest changes, as from a lagging replica. */
void fake_store_set_list_lag (struct fake_store *store, guint64 changes);
void fake_store_cut_old_watches (struct fake_store *store); /* from now on, those from an older revision */
void fake_store_compact (struct fake_store *store);         /* drops the history: older watches get 410 */
/* Reads received while the store was silent and the caller still waited for an equal one. */
guint fake_store_overlapping_reads (const struct fake_store *store);
void fake_store_save (struct fake_store *store); /* keeps a copy for fake_store_restore */
/* Goes back to the copy: revisions are given out again, the era rises by one, pending watches are cut. */
void fake_store_restore (struct fake_store *store);
/* The next lists with allow_stale come from a replica that still is in the era before and lists nothing. */
void fake_store_set_stale_lists (struct fake_store *store, guint lists);

#endif
