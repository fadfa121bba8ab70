/**
 * DOC: input - bodies of requests and entries of the store for tests
 */
#ifndef INPUT_H
#define INPUT_H

#include <glib.h>

/* --- public functions: bodies; the caller frees the text --- */

char *make_content (gsize size); /* each place differs from its neighbours: a hole or a shift shows */
void append_chunks (GString *request, const char *content); /* as a body in chunks, with its end */
char *read_body (const char *request);                      /* of a request as a server received it */

/* --- public functions: entries of another writer --- */

/* Spec of entry i; the caller frees it; NULL: there are no more. Each would name a server if its odd value was passed
 * over. */
char *make_odd_entry (guint i);
guint count_odd_entries (void);

#endif
