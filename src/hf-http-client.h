/**
 * DOC: hf-http-client - HTTP/1.1 towards servers
 *
 * Sends one request on a kept or a new connection and reports the answer.
 * It never sends anything twice, and says for sure whether a byte was handed
 * over. A connection is kept only if nothing but the one answer came on it.
 */
#ifndef HF_HTTP_CLIENT_H
#define HF_HTTP_CLIENT_H

#include "hf-http-parser.h"
#include "hf-net.h"

struct hf_links;
struct hf_link;

/* --- types --- */

/** enum hf_link_end - how a request ended */
enum hf_link_end
{
  HF_LINK_WHOLE,         /* the whole answer came */
  HF_LINK_NO_CONNECTION, /* no connection stood: nothing was sent */
  HF_LINK_BROKEN,        /* the connection broke, or what came is no answer */
  HF_LINK_SHORT,         /* the answer broke off after its head */
};

/**
 * struct hf_link_calls - what the owner of a request is told
 * @mine: false: this is the answer to an earlier request and is skipped; NULL: each is taken
 * @head: the head of the answer
 * @body: a piece of its body
 * @drained: every byte queued was handed to the system
 * @ended: last call; handed: at least one byte was handed to the connection
 */
struct hf_link_calls
{
  bool (*mine) (void *context, const struct hf_head *head);
  void (*head) (void *context, const struct hf_head *head);
  void (*body) (void *context, struct hf_str bytes);
  void (*drained) (void *context);
  void (*ended) (void *context, enum hf_link_end end, bool handed);
};

/**
 * struct hf_link_request - a request to be sent
 * @address: IP:PORT
 * @head: request line and fields, with the empty line at the end
 * @body: bytes of the body that are known now
 * @open: more of the body follows by hf_link_send
 * @bodiless: the answer to it has no body (HEAD)
 * @idle_max_us: a kept connection is used if it was idle for no longer; 0: only a new one
 */
struct hf_link_request
{
  struct hf_str address;
  struct hf_str head;
  struct hf_str body;
  bool open;
  bool bodiless;
  int64_t idle_max_us;
};

/* --- public functions: init and close --- */

struct hf_links *hf_links_open (struct hf_net *net);       /* no connection yet */
void hf_links_close (struct hf_links *links);              /* cancels all, frees all */
void hf_links_sweep (struct hf_links *links, int64_t now); /* ends what has waited too long; from the loop only */
void hf_links_drop (struct hf_links *links, struct hf_str address); /* closes the kept connections there */

/* --- public functions: requests --- */

struct hf_link *hf_link_start (struct hf_links *links,
                               const struct hf_link_request *request,
                               const struct hf_link_calls *calls,
                               void *context); /* the end is told later, never inside of this call */
void hf_link_send (struct hf_link *link, struct hf_str bytes, bool last); /* more of an open body */
size_t hf_link_unsent (const struct hf_link *link);                       /* bytes that wait */
void hf_link_pause (struct hf_link *link, bool paused);                   /* stops or resumes reading the answer */
void hf_link_cancel (struct hf_link *link);                               /* closes the connection; no further call */

#endif
