/**
 * DOC: hf-http-parser - heads and bodies of HTTP/1.1 messages
 *
 * A reader takes bytes of a connection as they come and reports the head,
 * pieces of the body and the end of one message after the other. The parser
 * is a library's; what it lets pass is checked here first, so that two hops
 * cannot read the same bytes differently.
 */
#ifndef HF_HTTP_PARSER_H
#define HF_HTTP_PARSER_H

#include <glib.h>

#include "hf-event.h"

struct hf_reader;

/* --- types --- */

/**
 * struct hf_head - the head of a request or an answer
 * @method: method of a request
 * @target: request target as it was sent, query included
 * @status: status of an answer
 * @keep_alive: the connection may be used again afterwards
 * @length: declared bytes of the body; -1: not declared
 * @chunked: the body comes in chunks
 * @fields: struct hf_header, in their order
 */
struct hf_head
{
  struct hf_str method;
  struct hf_str target;
  unsigned status;
  bool keep_alive;
  int64_t length;
  bool chunked;
  GArray *fields;
};

/** enum hf_read_error - why a message cannot be read */
enum hf_read_error
{
  HF_READ_MALFORMED,
  HF_READ_HEAD_TOO_LARGE,
};

/**
 * struct hf_reader_calls - what the owner of a reader is told
 * @head: the head is complete; false: the answer has no body whatever it says
 * @body: a piece of the body
 * @whole: the message is complete
 * @failed: no further message can be read
 */
struct hf_reader_calls
{
  bool (*head) (void *context, const struct hf_head *head);
  void (*body) (void *context, struct hf_str bytes);
  void (*whole) (void *context);
  void (*failed) (void *context, enum hf_read_error error);
};

/* --- public functions: reading --- */

struct hf_reader *hf_reader_open (bool requests, const struct hf_reader_calls *calls, void *context); /* new reader */
void hf_reader_close (struct hf_reader *reader);                       /* frees it, also inside of a callback */
void hf_reader_limit (struct hf_reader *reader, size_t head_bytes);    /* largest head */
size_t hf_reader_feed (struct hf_reader *reader, struct hf_str bytes); /* bytes taken: up to the end of one message */
bool hf_reader_end (struct hf_reader *reader);           /* no more bytes: true if the message was whole by that */
bool hf_reader_is_idle (const struct hf_reader *reader); /* between two messages, nothing read of the next */

/* --- public functions: heads --- */

struct hf_str hf_head_field (const struct hf_head *head, const char *name); /* first value; empty: none */
bool hf_head_is_hop_field (const struct hf_head *head, struct hf_str name); /* it concerns one connection only */
void hf_head_add (GString *text, const char *name, struct hf_str value);    /* appends "name: value" */

#endif
