/**
 * DOC: proxy - TCP proxy on loopback that injects faults
 *
 * Forwards the bytes of TCP connections to one address. On demand it delays
 * them, drops them in one direction or in both, or resets the connections.
 */
#ifndef PROXY_H
#define PROXY_H

#include "hf-net.h"

struct proxy;

/* --- types --- */

/** enum proxy_fault - fault on all connections of a proxy */
enum proxy_fault
{
  PROXY_NO_FAULT,
  PROXY_DELAY,            /* bytes arrive late in both directions */
  PROXY_DROP_TO_TARGET,   /* bytes towards the target are dropped */
  PROXY_DROP_FROM_TARGET, /* bytes from the target are dropped */
  PROXY_DROP_BOTH,        /* bytes in both directions are dropped */
  PROXY_FAULT_COUNT,      /* number of values above */
};

/* --- public functions --- */

struct proxy *proxy_open (struct hf_net *net, const char *target);  /* listens on a free port; target is IP:PORT */
void proxy_close (struct proxy *proxy);                             /* closes its connections, frees */
const char *proxy_address (const struct proxy *proxy);              /* IP:PORT */
void proxy_set_fault (struct proxy *proxy, enum proxy_fault fault); /* until the next call; dropped bytes stay lost */
void proxy_reset_connections (struct proxy *proxy);                 /* resets all open connections */
void proxy_reset_lossy_connections (struct proxy *proxy);           /* resets those on which bytes were dropped */

#endif
