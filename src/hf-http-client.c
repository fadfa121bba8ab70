/* HTTP/1.1 towards servers. */
#include "hf-http-client.h"

#include <string.h>

#include "config.h"

/* --- constants --- */

#define SKIPPED_MAX 4 /* answers to earlier requests that one request skips */

/* --- types --- */

struct hf_links
{
  struct hf_net *net;
  GHashTable *hosts; /* struct host by address */
  GPtrArray *all;    /* struct wire */
  GPtrArray *closed; /* the same, to be freed once no callback is at work */
};

/* Kept connections to one address, the one used last at the end. */
struct host
{
  GPtrArray *idle; /* struct wire */
};

/* One connection to a server. */
struct wire
{
  struct hf_links *links;
  struct hf_stream *stream;
  struct hf_reader *reader;
  struct hf_link *link; /* the request that uses it; NULL: idle */
  char *address;
  int64_t opened_at;
  int64_t used_at;
  int64_t keep_us; /* how long the server keeps it */
  bool connected;
  bool single;   /* to be closed after the answer */
  bool skipping; /* the answer that comes in belongs to an earlier request */
  unsigned skipped;
  bool closed;
};

struct hf_link
{
  struct wire *wire; /* NULL: failed before it began */
  const struct hf_link_calls *calls;
  void *context;
  bool open; /* more of the body follows */
  bool bodiless;
  bool answered; /* the head came */
  bool busy;     /* inside of a callback */
  bool cancelled;
  guint failed; /* source that reports a failure to begin */
};

/* --- internal functions: connections --- */

static struct host *
find_host (struct hf_links *links, const char *address)
{
  struct host *host = g_hash_table_lookup (links->hosts, address);
  if (host)
    return host;
  host = g_new0 (struct host, 1);
  host->idle = g_ptr_array_new ();
  g_hash_table_insert (links->hosts, g_strdup (address), host);
  return host;
}

static void
free_host (void *data)
{
  struct host *host = data;
  g_ptr_array_unref (host->idle);
  g_free (host);
}

static void
free_wire (void *data)
{
  struct wire *wire = data;
  hf_reader_close (wire->reader);
  g_free (wire->address);
  g_free (wire);
}

static void
close_wire (struct wire *wire)
{
  if (wire->closed)
    return;
  wire->closed = true;
  hf_stream_close (wire->stream);
  g_ptr_array_remove_fast (wire->links->all, wire);
  g_ptr_array_remove (find_host (wire->links, wire->address)->idle, wire);
  g_ptr_array_add (wire->links->closed, wire);
}

static void
keep_wire (struct wire *wire, int64_t now)
{
  wire->link = NULL;
  wire->used_at = now;
  g_ptr_array_add (find_host (wire->links, wire->address)->idle, wire);
}

/* --- internal functions: requests --- */

/* Tells the end; nothing may touch the request afterwards. */
static void
end_link (struct hf_link *link, enum hf_link_end end, bool handed)
{
  if (!link->cancelled)
    {
      link->busy = true;
      link->calls->ended (link->context, end, handed);
    }
  g_free (link);
}

/* The connection is lost, or what came on it cannot be read. */
static void
fail_wire (struct wire *wire)
{
  struct hf_link *link = wire->link;
  wire->link = NULL;
  bool handed = hf_stream_handed (wire->stream);
  bool connected = wire->connected;
  close_wire (wire);
  if (!link)
    return;
  link->wire = NULL;
  enum hf_link_end end = link->answered ? HF_LINK_SHORT : handed || connected ? HF_LINK_BROKEN : HF_LINK_NO_CONNECTION;
  end_link (link, end, handed);
}

static void
finish (struct wire *wire)
{
  struct hf_link *link = wire->link;
  bool early = link->open || hf_stream_unsent (wire->stream) > 0;
  bool handed = hf_stream_handed (wire->stream);
  link->wire = NULL;
  wire->link = NULL;
  if (wire->single || early)
    close_wire (wire);
  else
    keep_wire (wire, g_get_monotonic_time ());
  end_link (link, HF_LINK_WHOLE, handed);
}

/* --- internal functions: reading --- */

static void
read_keep_alive (struct wire *wire, const struct hf_head *head)
{
  struct hf_str value = hf_head_field (head, "Keep-Alive");
  char text[64];
  const char *place;
  wire->keep_us = HF_LINK_IDLE_MS * HF_MS;
  if (value.len == 0 || value.len >= sizeof text)
    return;
  memcpy (text, value.data, value.len);
  text[value.len] = 0;
  place = strstr (text, "timeout=");
  if (!place)
    return;
  int64_t seconds = (int64_t) g_ascii_strtoull (place + strlen ("timeout="), NULL, 10);
  wire->keep_us = MAX (seconds * HF_SEC - HF_LINK_IDLE_MARGIN_MS * HF_MS, 0);
}

static bool
on_head (void *context, const struct hf_head *head)
{
  struct wire *wire = context;
  struct hf_link *link = wire->link;
  wire->skipping = !link || head->status / 100 == 1;
  if (wire->skipping)
    return true;
  if (link->calls->mine && !link->calls->mine (link->context, head))
    {
      wire->skipping = true;
      wire->single = true;
      wire->skipped++;
      return true;
    }
  if (!head->keep_alive)
    wire->single = true;
  read_keep_alive (wire, head);
  link->answered = true;
  link->busy = true;
  link->calls->head (link->context, head);
  link->busy = false;
  return !link->bodiless;
}

static void
on_body (void *context, struct hf_str bytes)
{
  struct wire *wire = context;
  struct hf_link *link = wire->link;
  if (wire->skipping || !link || link->cancelled)
    return;
  link->busy = true;
  link->calls->body (link->context, bytes);
  link->busy = false;
}

static void
on_whole (void *context)
{
  struct wire *wire = context;
  if (wire->skipping || !wire->link || wire->link->cancelled)
    return;
  finish (wire);
}

static void
on_failed (void *context, enum hf_read_error error)
{
  struct wire *wire = context;
  (void) error;
  if (!wire->closed && !(wire->link && wire->link->cancelled))
    fail_wire (wire);
}

static const struct hf_reader_calls reader_calls
    = { .head = on_head, .body = on_body, .whole = on_whole, .failed = on_failed };

/* A request that was cancelled inside of a callback ends here. */
static bool
drop_cancelled (struct wire *wire)
{
  struct hf_link *link = wire->link;
  if (!link || !link->cancelled)
    return false;
  wire->link = NULL;
  g_free (link);
  close_wire (wire);
  return true;
}

/* --- internal functions: the stream --- */

static void
stream_connected (void *context)
{
  struct wire *wire = context;
  wire->connected = true;
  hf_stream_flush (wire->stream);
}

static void
stream_data (void *context, struct hf_str bytes)
{
  struct wire *wire = context;
  while (bytes.len > 0 && !wire->closed)
    {
      /* Bytes without a request belong to none. */
      if (!wire->link || wire->skipped > SKIPPED_MAX)
        {
          fail_wire (wire);
          break;
        }
      size_t used = hf_reader_feed (wire->reader, bytes);
      bytes.data += used;
      bytes.len -= used;
      if (!wire->closed && drop_cancelled (wire))
        break;
    }
}

static void
stream_drained (void *context)
{
  struct wire *wire = context;
  struct hf_link *link = wire->link;
  if (!link || link->busy || !link->calls->drained)
    return;
  link->busy = true;
  link->calls->drained (link->context);
  link->busy = false;
  drop_cancelled (wire);
}

static void
stream_ended (void *context, enum hf_stream_end end)
{
  struct wire *wire = context;
  bool whole = false;
  if (end == HF_STREAM_CLOSED && wire->link)
    whole = hf_reader_end (wire->reader);
  if (!wire->closed && !drop_cancelled (wire))
    {
      wire->single = true;
      if (whole && wire->link && wire->link->answered && !wire->skipping)
        finish (wire);
      else
        fail_wire (wire);
    }
}

static const struct hf_stream_calls stream_calls
    = { .connected = stream_connected, .data = stream_data, .drained = stream_drained, .ended = stream_ended };

static struct wire *
open_wire (struct hf_links *links, struct hf_str address)
{
  struct hf_stream *stream = hf_stream_connect (links->net, address);
  if (!stream)
    return NULL;
  struct wire *wire = g_new0 (struct wire, 1);
  wire->links = links;
  wire->stream = stream;
  wire->address = g_strndup (address.data, address.len);
  wire->opened_at = g_get_monotonic_time ();
  wire->reader = hf_reader_open (false, &reader_calls, wire);
  hf_reader_limit (wire->reader, HF_ANSWER_HEAD_BYTES_MAX);
  hf_stream_own (stream, &stream_calls, wire);
  g_ptr_array_add (links->all, wire);
  return wire;
}

/* The kept connection that was used last, if it is young enough. */
static struct wire *
take_idle (struct hf_links *links, struct hf_str address, int64_t idle_max_us)
{
  char *text = g_strndup (address.data, address.len);
  struct host *host = find_host (links, text);
  int64_t now = g_get_monotonic_time ();
  g_free (text);
  while (idle_max_us > 0 && host->idle->len > 0)
    {
      const struct wire *last = g_ptr_array_index (host->idle, host->idle->len - 1);
      bool usable = hf_stream_is_open (last->stream) && now - last->used_at < last->keep_us;
      if (usable && now - last->used_at > idle_max_us)
        return NULL;
      struct wire *wire = g_ptr_array_steal_index (host->idle, host->idle->len - 1);
      if (usable)
        return wire;
      close_wire (wire);
    }
  return NULL;
}

static gboolean
report_failure (gpointer data)
{
  struct hf_link *link = data;
  link->failed = 0;
  end_link (link, HF_LINK_NO_CONNECTION, false);
  return G_SOURCE_REMOVE;
}

/* --- public functions: init and close --- */

struct hf_links *
hf_links_open (struct hf_net *net)
{
  struct hf_links *links = g_new0 (struct hf_links, 1);
  links->net = net;
  links->hosts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_host);
  links->all = g_ptr_array_new ();
  links->closed = g_ptr_array_new_with_free_func (free_wire);
  return links;
}

void
hf_links_close (struct hf_links *links)
{
  if (!links)
    return;
  while (links->all->len > 0)
    {
      struct wire *wire = g_ptr_array_index (links->all, 0);
      g_clear_pointer (&wire->link, g_free);
      close_wire (wire);
    }
  g_ptr_array_unref (links->all);
  g_ptr_array_unref (links->closed);
  g_hash_table_destroy (links->hosts);
  g_free (links);
}

void
hf_links_sweep (struct hf_links *links, int64_t now)
{
  g_ptr_array_set_size (links->closed, 0);
  for (guint i = links->all->len; i-- > 0;)
    {
      if (i >= links->all->len)
        continue; /* a callback closed several */
      struct wire *wire = g_ptr_array_index (links->all, i);
      if (!wire->connected && now - wire->opened_at > HF_CONNECT_TIMEOUT_MS * HF_MS)
        fail_wire (wire);
      else if (wire->connected && !wire->link && now - wire->used_at >= wire->keep_us)
        close_wire (wire);
    }
}

void
hf_links_drop (struct hf_links *links, struct hf_str address)
{
  char *text = g_strndup (address.data, address.len);
  struct host *host = find_host (links, text);
  g_free (text);
  while (host->idle->len > 0)
    close_wire (g_ptr_array_steal_index (host->idle, host->idle->len - 1));
}

/* --- public functions: requests --- */

struct hf_link *
hf_link_start (struct hf_links *links,
               const struct hf_link_request *request,
               const struct hf_link_calls *calls,
               void *context)
{
  struct hf_link *link = g_new0 (struct hf_link, 1);
  link->calls = calls;
  link->context = context;
  link->open = request->open;
  link->bodiless = request->bodiless;
  struct wire *wire = take_idle (links, request->address, request->idle_max_us);
  if (!wire)
    wire = open_wire (links, request->address);
  link->wire = wire;
  if (!wire)
    {
      link->failed = g_idle_add (report_failure, link);
      return link;
    }
  wire->link = link;
  hf_stream_mark (wire->stream);
  hf_stream_queue (wire->stream, request->head);
  hf_stream_queue (wire->stream, request->body);
  if (wire->connected)
    {
      link->busy = true;
      hf_stream_flush (wire->stream);
      link->busy = false;
    }
  return link;
}

void
hf_link_send (struct hf_link *link, struct hf_str bytes, bool last)
{
  if (last)
    link->open = false;
  if (!link->wire)
    return;
  hf_stream_queue (link->wire->stream, bytes);
  if (link->wire->connected)
    hf_stream_flush (link->wire->stream);
}

size_t
hf_link_unsent (const struct hf_link *link)
{
  return link->wire ? hf_stream_unsent (link->wire->stream) : 0;
}

void
hf_link_pause (struct hf_link *link, bool paused)
{
  if (link->wire)
    hf_stream_pause (link->wire->stream, paused);
}

void
hf_link_cancel (struct hf_link *link)
{
  link->cancelled = true;
  if (link->failed)
    {
      g_source_remove (link->failed);
      g_free (link);
      return;
    }
  /* Inside of a callback the caller of it frees the request. */
  if (link->busy || !link->wire)
    return;
  struct wire *wire = link->wire;
  wire->link = NULL;
  g_free (link);
  close_wire (wire);
}
