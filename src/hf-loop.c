/* Event loop around the reducer. */
#include "hf-loop.h"

#include <gio/gio.h>

#include "hf-net.h"
#include "hf-peer-socket.h"
#include "hf-platform.h"
#include "hf-proxy.h"
#include "hf-state.h"
#include "hf-status.h"

#include "hf-adapter.h"

/* --- internal functions --- */

static gboolean
on_tick (gpointer data)
{
  hf_loop_raise_event (data, (struct hf_event){ .kind = HF_EVENT_TICK });
  return G_SOURCE_CONTINUE;
}

static void
set_limits (struct hf_loop *loop, const struct hf_caller_limits *limits)
{
  hf_proxy_set_limits (loop->proxy,
                       (struct hf_http_server_limits){ .head_bytes_max = (size_t) limits->head_bytes_max,
                                                       .body_bytes_max = limits->body_bytes_max,
                                                       .head_timeout_us = limits->head_timeout_ms * HF_MS,
                                                       .idle_timeout_us = limits->idle_timeout_ms * HF_MS });
}

static void
apply_effect (struct hf_loop *loop, const struct hf_effect *effect)
{
  switch (effect->kind)
    {
    case HF_EFFECT_SEND_ERROR:
    case HF_EFFECT_DISPATCH:
    case HF_EFFECT_CANCEL_ATTEMPT:
    case HF_EFFECT_RELAY_RESPONSE:
    case HF_EFFECT_ABORT_RESPONSE:
    case HF_EFFECT_SEND_PROBE:
    case HF_EFFECT_RECONNECT:
      hf_proxy_apply_effect (loop->proxy, effect);
      break;
    case HF_EFFECT_SEND_MESSAGE:
      hf_peer_socket_send (loop->peer_socket, effect);
      break;
    case HF_EFFECT_CALL_PLATFORM:
      if (loop->platform)
        hf_platform_start_call (loop->platform, effect);
      break;
    case HF_EFFECT_LOG:
      if (effect->n_log_fields)
        hf_log_write_fields (effect->log_number, effect->name, effect->log_fields, effect->n_log_fields);
      else
        hf_log_write (effect->log_number, HF_STR_FMT, HF_STR_ARG (effect->text));
      break;
    case HF_EFFECT_SET_WAKEUP:
      g_source_set_ready_time (loop->tick_source, effect->wakeup_at);
      break;
    case HF_EFFECT_SET_LIMITS:
      set_limits (loop, &effect->limits);
      break;
    case HF_EFFECT_SET_WATCH:
      hf_adapter_set_watch_mode (loop->adapter, effect->watch_mode, effect->watch_wait_ms, effect->catches_up,
                                 effect->position);
      break;
    case HF_EFFECT_LIST_AGAIN:
      hf_adapter_list_again (loop->adapter, effect->position.era);
      break;
    case HF_EFFECT_READ_DOCUMENT:
      hf_adapter_read_document (loop->adapter);
      break;
    case HF_EFFECT_WITHDRAW:
      hf_adapter_withdraw (loop->adapter);
      break;
    case HF_EFFECT_REJECT_INCOMPLETE:
      hf_proxy_reject_incomplete (loop->proxy);
      break;
    case HF_EFFECT_EXIT:
      loop->exiting = true;
      hf_proxy_stop (loop->proxy);
      hf_loop_check_exit (loop);
      break;
    }
}

static gboolean
dispatch_tick (GSource *source, GSourceFunc callback, gpointer data)
{
  g_source_set_ready_time (source, -1);
  return callback (data);
}

static GSourceFuncs tick_source_functions = { .dispatch = dispatch_tick };

/* Never 0, which stands for an entry whose boot id is not known. */
static uint64_t
new_boot_id (void)
{
  uint64_t boot_id = ((uint64_t) g_random_int () << 32) | g_random_int ();
  return boot_id ? boot_id : 1;
}

static gboolean
on_exit_timer (gpointer data)
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
  loop->main_loop = g_main_loop_new (NULL, FALSE);
  loop->state = hf_state_new (settings, new_boot_id ());
  loop->tick_source = g_source_new (&tick_source_functions, sizeof (GSource));
  g_source_set_callback (loop->tick_source, on_tick, loop, NULL);
  g_source_attach (loop->tick_source, NULL);
  loop->net = hf_net_open ();
  const struct hf_header_codec *codec
      = settings->store_address.len ? &hf_adapter_header_codec : &hf_header_codec_default;
  if (settings->platform_address.len)
    loop->platform = hf_platform_open (loop, settings->platform_address);
  loop->peer_socket = hf_peer_socket_open (loop, settings->peer_address, error);
  loop->proxy = loop->peer_socket ? hf_proxy_open (loop, loop->net, codec, settings->listen_address, error) : NULL;
  if (!loop->proxy)
    {
      hf_loop_close (loop);
      return false;
    }
  hf_loop_raise_event (loop, (struct hf_event){ .kind = HF_EVENT_START });
  if (settings->store_address.len)
    loop->adapter = hf_adapter_open (loop, loop->net, settings);
  return true;
}

void
hf_loop_close (struct hf_loop *loop)
{
  if (loop->exit_timer)
    g_source_remove (loop->exit_timer);
  hf_adapter_close (loop->adapter);
  hf_proxy_close (loop->proxy);
  hf_peer_socket_close (loop->peer_socket);
  hf_platform_close (loop->platform);
  hf_net_close (loop->net);
  g_source_destroy (loop->tick_source);
  g_source_unref (loop->tick_source);
  /* Cancelled platform calls free their memory in their completion callback. */
  while (g_main_context_iteration (NULL, FALSE))
    ;
  hf_state_free (loop->state);
  g_main_loop_unref (loop->main_loop);
}

void
hf_loop_raise_event (struct hf_loop *loop, struct hf_event event)
{
  struct hf_effects effects;
  hf_effects_init (&effects);
  event.now = hf_loop_now ();
  event.wall_time = g_get_real_time ();
  if (event.kind == HF_EVENT_SHUTDOWN)
    hf_proxy_end_keep_alive (loop->proxy);
  hf_reduce (loop->state, &event, &effects);
  for (guint i = 0; i < effects.items->len; i++)
    apply_effect (loop, &g_array_index (effects.items, struct hf_effect, i));
  hf_effects_close (&effects);
}

void
hf_loop_check_exit (struct hf_loop *loop)
{
  if (!loop->exiting)
    return;
  if (hf_proxy_is_idle (loop->proxy) || hf_loop_now () >= hf_state_exit_at (loop->state))
    g_main_loop_quit (loop->main_loop);
  else if (!loop->exit_timer)
    loop->exit_timer = g_timeout_add (HF_EXIT_POLL_MS, on_exit_timer, loop);
}
