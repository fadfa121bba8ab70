/**
 * DOC: hf-http-syntax - strict syntax of HTTP/1.1 heads
 *
 * The http_parser library tolerates heads that another program reads in a
 * different way. They are checked here before the library gets them.
 */
#ifndef HF_HTTP_SYNTAX_H
#define HF_HTTP_SYNTAX_H

#include "hf-base.h"

/* --- types --- */

/** enum hf_http_parse_error - reasons for which a message is rejected */
enum hf_http_parse_error
{
  HF_HTTP_PARSE_OK,             /* none */
  HF_HTTP_PARSE_MALFORMED,      /* the library rejects it */
  HF_HTTP_PARSE_HEAD_TOO_LARGE, /* longer than the limit */
  HF_HTTP_PARSE_STATUS_LINE,    /* no status of three digits from 100 to 599 where it has to be */
  HF_HTTP_PARSE_FIELD_NAME,     /* empty, with a byte that is not allowed in names, or a folded line */
  HF_HTTP_PARSE_FIELD_VALUE,    /* has a control byte */
  HF_HTTP_PARSE_LENGTH,         /* the length of the body is not clear */
  HF_HTTP_PARSE_CHUNK,          /* the framing of a chunk is wrong */
  HF_HTTP_PARSE_UNEXPECTED,     /* bytes where none are due, or too many before the response */
};

/* --- public functions --- */

/* Fault of a head: all lines with their CR LF, the empty one at the end included. The first line of a request is
 * checked for control bytes only. */
enum hf_http_parse_error hf_http_syntax_check_head (struct hf_str head, bool is_request);
bool hf_http_syntax_is_token_byte (char byte); /* may be in the name of a field */
bool hf_http_syntax_is_text_byte (char byte);  /* may be in a value: no control byte but the tab */
const char *hf_http_parse_error_text (enum hf_http_parse_error error); /* for logs */

#endif
