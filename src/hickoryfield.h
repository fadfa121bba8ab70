/**
 * DOC: hickoryfield - coordination parts of the load balancer, for embedding
 *
 * None of these parts opens a socket, reads a clock or starts a thread: time
 * and random seeds come from the caller, decisions go back as data.
 *
 *   hf-pool.h      slots of a service: acquire, release, choose a server
 *   hf-retry.h     retry budget and backoff
 *   hf-document.h  the document of desired state, checked whole
 *   hf-routing.h   service and request class of a request
 *   hf-timers.h    timers without a clock
 *   hf-wire.h      messages between entries as datagrams
 *   hf-reduce.h    the whole reducer: events in, effects out
 */
#ifndef HICKORYFIELD_H
#define HICKORYFIELD_H

#include "hf-document.h"
#include "hf-event.h"
#include "hf-pool.h"
#include "hf-reduce.h"
#include "hf-retry.h"
#include "hf-routing.h"
#include "hf-timers.h"
#include "hf-wire.h"

#endif
