/* The event loop around the reducer. */
#include "hf-loop.h"

#include <gio/gio.h>

#include "hf-net.h"
#include "hf-peer-socket.h"
#include "hf-platform.h"
#include "hf-proxy.h"
#include "hf-state.h"

#include "hf-adapter.h"

/* --- internal functions --- */

static gboolean
wake (gpointer data)
{
  hf_loop_raise (data, (struct hf_event){ .kind = HF_EVENT_TICK });
  return G_SOURCE_CONTINUE;
}

static void
set_limits (struct hf_loop *loop, const struct hf_limits *limits)
{
  hf_proxy_limit (loop->proxy, (struct hf_front_limits){ .head_bytes = (size_t) limits->head_bytes,
                                                         .body_bytes = limits->body_bytes,
                                                         .head_us = limits->head_ms * HF_MS,
                                                         .idle_us = limits->idle_ms * HF_MS });
}

static void
carry_out (struct hf_loop *loop, const struct hf_effect *effect)
{
  switch (effect->kind)
    {
    case HF_EFFECT_ANSWER:
    case HF_EFFECT_DISPATCH:
    case HF_EFFECT_CANCEL:
    case HF_EFFECT_RELAY:
    case HF_EFFECT_CUT:
    case HF_EFFECT_PROBE:
    case HF_EFFECT_RENEW:
      hf_proxy_carry_out (loop->proxy, effect);
      break;
    case HF_EFFECT_SEND:
      hf_peers_send (loop->peers, effect);
      break;
    case HF_EFFECT_PLATFORM:
      if (loop->platform)
        hf_platform_call (loop->platform, effect);
      break;
    case HF_EFFECT_LOG:
      if (effect->n_log_fields)
        hf_log_fields (effect->log_number, effect->name, effect->log_fields, effect->n_log_fields);
      else
        hf_log_write (effect->log_number, HF_STR_FMT, HF_STR_ARG (effect->text));
      break;
    case HF_EFFECT_WAKE:
      g_source_set_ready_time (loop->wake, effect->at);
      break;
    case HF_EFFECT_LIMIT:
      set_limits (loop, &effect->limits);
      break;
    case HF_EFFECT_FOLLOW:
      hf_adapter_follow (loop->adapter, effect->follow, effect->revision);
      break;
    case HF_EFFECT_EXIT:
      loop->exiting = true;
      hf_proxy_stop (loop->proxy);
      hf_loop_check_exit (loop);
      break;
    }
}

static gboolean
dispatch_wake (GSource *source, GSourceFunc callback, gpointer data)
{
  g_source_set_ready_time (source, -1);
  return callback (data);
}

static GSourceFuncs wake_functions = { .dispatch = dispatch_wake };

static uint64_t
make_boot (void)
{
  uint64_t boot = ((uint64_t) g_random_int () << 32) | g_random_int ();
  return boot ? boot : 1;
}

static gboolean
poll_exit (gpointer data)
{
  hf_loop_check_exit (data);
  return G_SOURCE_CONTINUE;
}

/* --- public functions --- */

int64_t
hf_loop_now (void)
{
  return g_get_monotonic_time ();
}

bool
hf_loop_open (struct hf_loop *loop, const struct hf_settings *settings, struct hf_error *error)
{
  *loop = (struct hf_loop){ .settings = *settings };
  loop->main = g_main_loop_new (NULL, FALSE);
  loop->state = hf_state_new (settings, make_boot ());
  loop->wake = g_source_new (&wake_functions, sizeof (GSource));
  g_source_set_callback (loop->wake, wake, loop, NULL);
  g_source_attach (loop->wake, NULL);
  loop->net = hf_net_open ();
  const struct hf_dialect *dialect = settings->store.len ? &hf_adapter_dialect : &hf_dialect_own;
  if (settings->platform.len)
    loop->platform = hf_platform_open (loop, settings->platform);
  loop->peers = hf_peers_open (loop, settings->peers, error);
  loop->proxy = loop->peers ? hf_proxy_open (loop, loop->net, dialect, settings->listen, error) : NULL;
  if (!loop->proxy)
    {
      hf_loop_close (loop);
      return false;
    }
  hf_loop_raise (loop, (struct hf_event){ .kind = HF_EVENT_START });
  if (settings->store.len)
    loop->adapter = hf_adapter_open (loop, loop->net, settings);
  return true;
}

void
hf_loop_close (struct hf_loop *loop)
{
  if (loop->exit_poll)
    g_source_remove (loop->exit_poll);
  hf_adapter_close (loop->adapter);
  hf_proxy_close (loop->proxy);
  hf_peers_close (loop->peers);
  hf_platform_close (loop->platform);
  hf_net_close (loop->net);
  g_source_destroy (loop->wake);
  g_source_unref (loop->wake);
  /* Cancelled calls free their memory when they come back. */
  while (g_main_context_iteration (NULL, FALSE))
    ;
  hf_state_free (loop->state);
  g_main_loop_unref (loop->main);
}

void
hf_loop_raise (struct hf_loop *loop, struct hf_event event)
{
  struct hf_effects effects;
  hf_effects_init (&effects);
  event.now = hf_loop_now ();
  event.wall = g_get_real_time ();
  if (event.kind == HF_EVENT_SHUTDOWN && !hf_state_is_leaving (loop->state))
    {
      loop->exit_by = event.now + loop->settings.grace_ms * HF_MS;
      hf_proxy_leave (loop->proxy);
    }
  hf_reduce (loop->state, &event, &effects);
  for (guint i = 0; i < effects.items->len; i++)
    carry_out (loop, &g_array_index (effects.items, struct hf_effect, i));
  hf_effects_close (&effects);
}

void
hf_loop_check_exit (struct hf_loop *loop)
{
  if (!loop->exiting)
    return;
  if (hf_proxy_in_flight (loop->proxy) == 0 || hf_loop_now () >= loop->exit_by)
    g_main_loop_quit (loop->main);
  else if (!loop->exit_poll)
    loop->exit_poll = g_timeout_add (HF_EXIT_POLL_MS, poll_exit, loop);
}
