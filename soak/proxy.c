/* A link on loopback that can be harmed. */
#include "proxy.h"

/* --- constants --- */

#define DELAY_MS 150

/* --- types --- */

struct proxy
{
  struct hf_net *net;
  struct hf_listener *listener;
  char *target;
  enum proxy_harm harm;
  GPtrArray *links; /* struct link */
};

/* One side of a link; bytes that come there go to the other side. */
struct side
{
  struct link *link;
  struct hf_stream *stream;
  gboolean is_target;
};

/* Once it was harmed so that bytes were lost, nothing passes any more. */
struct link
{
  struct proxy *proxy;
  struct side caller;
  struct side target;
  gboolean lost_there;
  gboolean lost_back;
  guint delayed; /* bytes under way */
  gboolean ended;
};

struct delayed
{
  struct link *link;
  struct side *to;
  GBytes *bytes;
};

/* --- internal functions --- */

static void
free_if_done (struct link *link)
{
  if (!link->ended || link->delayed > 0)
    return;
  g_ptr_array_remove_fast (link->proxy->links, link);
  g_free (link);
}

static void
close_side (struct side *side, gboolean reset)
{
  if (side->stream && reset)
    hf_stream_reset (side->stream);
  else if (side->stream)
    hf_stream_close (side->stream);
  side->stream = NULL;
}

static void
end_link (struct link *link, gboolean reset)
{
  close_side (&link->caller, reset);
  close_side (&link->target, reset);
  link->ended = TRUE;
  free_if_done (link);
}

static void
send_on (struct side *to, struct hf_str bytes)
{
  if (!to->stream)
    return;
  hf_stream_queue (to->stream, bytes);
  hf_stream_flush (to->stream);
}

static gboolean
delay_over (gpointer data)
{
  struct delayed *delayed = data;
  gsize size;
  const char *bytes = g_bytes_get_data (delayed->bytes, &size);
  send_on (delayed->to, (struct hf_str){ bytes, size });
  delayed->link->delayed--;
  free_if_done (delayed->link);
  g_bytes_unref (delayed->bytes);
  g_free (delayed);
  return G_SOURCE_REMOVE;
}

static void
delay (struct side *to, struct hf_str bytes)
{
  struct delayed *delayed = g_new (struct delayed, 1);
  *delayed = (struct delayed){ .link = to->link, .to = to, .bytes = g_bytes_new (bytes.data, bytes.len) };
  to->link->delayed++;
  g_timeout_add (DELAY_MS, delay_over, delayed);
}

static void
side_data (void *context, struct hf_str bytes)
{
  struct side *side = context;
  struct link *link = side->link;
  enum proxy_harm harm = link->proxy->harm;
  struct side *to = side->is_target ? &link->caller : &link->target;
  gboolean *lost = side->is_target ? &link->lost_back : &link->lost_there;
  gboolean cut = harm == PROXY_SILENT || harm == (side->is_target ? PROXY_CUT_BACK : PROXY_CUT_THERE);
  *lost = *lost || cut;
  if (*lost)
    return;
  if (harm == PROXY_DELAYED || link->delayed > 0)
    delay (to, bytes);
  else
    send_on (to, bytes);
}

/* The end passes through like the bytes before it. */
static void
side_ended (void *context, enum hf_stream_end end)
{
  struct side *side = context;
  struct link *link = side->link;
  gboolean lost = side->is_target ? link->lost_back : link->lost_there;
  if (!lost || link->proxy->harm == PROXY_SOUND)
    end_link (link, end != HF_STREAM_CLOSED || lost || link->delayed > 0);
  else
    close_side (side, FALSE);
}

/* What was queued before goes out. */
static void
side_connected (void *context)
{
  struct side *side = context;
  hf_stream_flush (side->stream);
}

static const struct hf_stream_callbacks side_calls
    = { .on_connected = side_connected, .on_data = side_data, .on_ended = side_ended };

static void
accepted (void *context, struct hf_stream *stream)
{
  struct proxy *proxy = context;
  struct link *link = g_new0 (struct link, 1);
  *link = (struct link){ .proxy = proxy,
                         .caller = { .link = link, .stream = stream },
                         .target = { .link = link, .is_target = TRUE } };
  g_ptr_array_add (proxy->links, link);
  hf_stream_set_callbacks (stream, &side_calls, &link->caller);
  link->target.stream = hf_stream_connect (proxy->net, hf_str (proxy->target));
  if (!link->target.stream)
    end_link (link, TRUE);
  else
    hf_stream_set_callbacks (link->target.stream, &side_calls, &link->target);
}

static void
end_all (struct proxy *proxy, gboolean reset)
{
  GPtrArray *links = g_ptr_array_copy (proxy->links, NULL, NULL);
  for (guint i = 0; i < links->len; i++)
    end_link (g_ptr_array_index (links, i), reset);
  g_ptr_array_unref (links);
}

/* --- public functions --- */

struct proxy *
proxy_open (struct hf_net *net, const char *target)
{
  struct proxy *proxy = g_new0 (struct proxy, 1);
  proxy->net = net;
  proxy->target = g_strdup (target);
  proxy->links = g_ptr_array_new ();
  proxy->listener = hf_listener_open (net, hf_str ("127.0.0.1:0"), accepted, proxy, NULL);
  g_assert_nonnull (proxy->listener);
  return proxy;
}

void
proxy_close (struct proxy *proxy)
{
  hf_listener_close (proxy->listener);
  end_all (proxy, FALSE);
  /* Bytes that are held up still name the proxy. */
  while (proxy->links->len > 0)
    g_main_context_iteration (NULL, TRUE);
  g_ptr_array_unref (proxy->links);
  g_free (proxy->target);
  g_free (proxy);
}

const char *
proxy_address (const struct proxy *proxy)
{
  return hf_listener_address (proxy->listener).data;
}

void
proxy_harm (struct proxy *proxy, enum proxy_harm harm)
{
  proxy->harm = harm;
}

void
proxy_reset_lost (struct proxy *proxy)
{
  GPtrArray *links = g_ptr_array_copy (proxy->links, NULL, NULL);
  for (guint i = 0; i < links->len; i++)
    {
      struct link *link = g_ptr_array_index (links, i);
      if (link->lost_there || link->lost_back)
        end_link (link, TRUE);
    }
  g_ptr_array_unref (links);
}

void
proxy_reset (struct proxy *proxy)
{
  end_all (proxy, TRUE);
}
