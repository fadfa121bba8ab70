/** DOC: response-reader - reads one whole response with the parser, as the HTTP client does */
#ifndef RESPONSE_READER_H
#define RESPONSE_READER_H

#include "naive-response.h"

/* Feeds pieces of @piece bytes, then the end of the connection; the body is to be freed. */
struct naive_response response_reader_read (struct hf_str bytes, guint piece);

#endif
