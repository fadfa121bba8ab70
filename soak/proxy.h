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

/** enum proxy_harm - what happens on a link */
enum proxy_harm
{
  PROXY_SOUND,
  PROXY_DELAYED,     /* bytes are held up */
  PROXY_CUT_THERE,   /* bytes towards the target are dropped */
  PROXY_CUT_BACK,    /* bytes from the target are dropped */
  PROXY_SILENT,      /* both */
  PROXY_HARMS_TIMED, /* number of the above */
};

/* --- public functions --- */

struct proxy *proxy_open (struct hf_net *net, const char *target); /* listens on a free port */
void proxy_close (struct proxy *proxy);                            /* ends its connections, frees */
const char *proxy_address (const struct proxy *proxy);             /* IP:PORT */
void proxy_harm (struct proxy *proxy, enum proxy_harm harm);       /* from now on; bytes once dropped stay lost */
void proxy_reset (struct proxy *proxy);                            /* resets what is open */
void proxy_reset_lost (struct proxy *proxy);                       /* resets what has lost bytes */

#endif
