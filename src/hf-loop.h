/**
 * DOC: hf-loop - the event loop around the reducer
 *
 * Passes each event with the current time to the reducer, and applies the
 * effects that it returns through the proxy, the peer socket and the
 * platform client.
 */
#ifndef HF_LOOP_H
#define HF_LOOP_H

#include "hf-reduce.h"

struct hf_proxy;
struct hf_peer_socket;
struct hf_platform;
struct hf_net;
struct hf_adapter;

/* --- types --- */

/**
 * struct hf_loop - event loop of one process
 * @settings: settings of the process
 * @state: state of the reducer
 * @net: TCP sockets
 * @proxy: HTTP towards callers and backend servers
 * @peer_socket: UDP socket towards other entries
 * @platform: client of the platform's object API; NULL: none configured
 * @adapter: adapter to the store of the users' platform, in place of @platform; NULL: none configured
 * @main_loop: GLib main loop; the owner of this struct runs it
 * @tick_source: timer that raises a TICK event
 * @exiting: leaves the main loop once no caller is connected
 * @exit_timer: GLib source that checks for the exit; 0: none
 */
struct hf_loop
{
  struct hf_settings settings;
  struct hf_state *state;
  struct hf_net *net;
  struct hf_proxy *proxy;
  struct hf_peer_socket *peer_socket;
  struct hf_platform *platform;
  struct hf_adapter *adapter;
  GMainLoop *main_loop;
  GSource *tick_source;
  bool exiting;
  unsigned exit_timer;
};

/* --- public functions --- */

/* Opens sockets and state, and raises the START event; returns false and sets *error on failure. */
bool hf_loop_open (struct hf_loop *loop, const struct hf_settings *settings, struct hf_error *error);
void hf_loop_close (struct hf_loop *loop);                              /* closes sockets, frees the state */
void hf_loop_raise_event (struct hf_loop *loop, struct hf_event event); /* reduces it, applies the effects */
void hf_loop_check_exit (struct hf_loop *loop); /* if exiting: quits once idle, or when the time is up */
int64_t hf_loop_now (void);                     /* monotonic time in microseconds */

#endif
