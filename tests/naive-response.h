/**
 * DOC: naive-response - strict reader of one whole HTTP/1.1 response
 *
 * Reads the bytes of a connection at once, with a regular expression for each
 * kind of line. For comparison with the parser.
 */
#ifndef NAIVE_RESPONSE_H
#define NAIVE_RESPONSE_H

#include <glib.h>

#include "hf-base.h"

/** struct naive_response - what was read */
struct naive_response
{
  gboolean complete; /* the first response that is not informational, and valid in all parts */
  guint status;
  GString *body;
};

/* Reads what a server sent before it closed the connection in order; the body is to be freed. */
struct naive_response naive_response_read (struct hf_str bytes);

#endif
