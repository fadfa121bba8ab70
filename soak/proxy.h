/**
 * DOC: proxy - a link on loopback that can be harmed
 *
 * Passes the bytes of TCP connections on to one address, and on demand delays
 * them, drops them in one direction or in both, or resets the connections.
 */
#ifndef PROXY_H
#define PROXY_H

#include "hf-net.h"

struct proxy;

/* --- types --- */

/** enum proxy_fault - what happens on a link */
enum proxy_fault
{
  PROXY_NO_FAULT,
  PROXY_DELAY,            /* bytes are held up */
  PROXY_DROP_TO_TARGET,   /* bytes towards the target are dropped */
  PROXY_DROP_FROM_TARGET, /* bytes from the target are dropped */
  PROXY_DROP_BOTH,        /* both */
  PROXY_FAULT_COUNT,      /* number of the above */
};

/* --- public functions --- */

struct proxy *proxy_open (struct hf_net *net, const char *target);  /* listens on a free port */
void proxy_close (struct proxy *proxy);                             /* ends its connections, frees */
const char *proxy_address (const struct proxy *proxy);              /* IP:PORT */
void proxy_set_fault (struct proxy *proxy, enum proxy_fault fault); /* from now on; bytes once dropped stay lost */
void proxy_reset_connections (struct proxy *proxy);                 /* resets what is open */
void proxy_reset_lossy_connections (struct proxy *proxy);           /* resets what has lost bytes */

#endif
