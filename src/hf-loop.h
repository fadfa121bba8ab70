/**
 * DOC: hf-loop - the event loop around the reducer
 *
 * Raises events with the time, and carries the effects out through the
 * proxy, the peer socket and the platform client.
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

/** struct hf_loop - one process */
struct hf_loop
{
  struct hf_settings settings;
  struct hf_state *state;
  struct hf_net *net;
  struct hf_proxy *proxy;
  struct hf_peer_socket *peer_socket;
  struct hf_platform *platform;
  struct hf_adapter *adapter; /* to the users' platform, instead of @platform */
  GMainLoop *main_loop;
  GSource *tick_source;
  bool exiting;
  int64_t exit_deadline;
  unsigned exit_timer;
};

/* --- public functions --- */

bool
hf_loop_open (struct hf_loop *loop, const struct hf_settings *settings, struct hf_error *error); /* sockets and state */
void hf_loop_close (struct hf_loop *loop);                                                       /* frees all */
void hf_loop_raise_event (struct hf_loop *loop, struct hf_event event); /* stamps, reduces, carries out */
void hf_loop_check_exit (struct hf_loop *loop);                         /* leaves when nothing is in flight */
int64_t hf_loop_now (void);                                             /* monotonic time, microseconds */

#endif
