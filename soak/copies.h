/**
 * DOC: copies - answers of backend servers, with copies of earlier ones
 *
 * Keeps the last answers that were sent on each connection. Now and then it
 * sends a copy of one of them just before a later answer on that connection,
 * together with it, shortly after it, or while the connection is idle. The copy
 * has the id of the request that it was the answer to.
 */
#ifndef COPIES_H
#define COPIES_H

#include "raw.h"

struct copies;

/* --- types --- */

/** enum answer_kind - what is kept of an answer */
enum answer_kind
{
  ANSWER_WITHOUT_ID, /* never copied */
  ANSWER_REFUSAL,    /* always kept */
  ANSWER_OTHER,      /* kept now and then */
};

/** struct copies_counts - copies sent so far */
struct copies_counts
{
  unsigned sent;
  unsigned sent_before_own_id; /* just before or together with an answer that has the same id */
};

/* --- public functions --- */

struct copies *copies_open (GRand *random); /* sends no copies yet */
void copies_set_sending (struct copies *copies, gboolean sending);
/* Sends the text of an answer to the request with this id, perhaps with a copy of an earlier one. */
void copies_answer (struct copies *copies,
                    struct raw_connection *connection,
                    enum answer_kind kind,
                    const char *id,
                    const char *text);
struct copies_counts copies_count (const struct copies *copies);

#endif
