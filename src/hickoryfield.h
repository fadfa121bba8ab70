/**
 * DOC: hickoryfield - decision logic of the load balancer, for embedding
 *
 * None of these modules opens a socket, reads a clock or starts a thread. The
 * caller passes in the time and random seeds, and decisions are returned as
 * data.
 *
 *   hf-pool.h      slots of a service: acquire, release, choose a backend server
 *   hf-retry.h     retry budget and backoff
 *   hf-document.h  document of desired state: load, validate, look up
 *   hf-routing.h   service and request class of a request
 *   hf-timers.h    timers that expire by the time passed in
 *   hf-wire.h      messages between entries as datagrams
 *   hf-reduce.h    reducer that combines all decisions: events in, effects out
 *   hf-status.h    whether the process is ready
 *   hf-event.h     events and effects of the reducer
 */
#ifndef HICKORYFIELD_H
#define HICKORYFIELD_H

#include "hf-document.h"
#include "hf-event.h"
#include "hf-pool.h"
#include "hf-reduce.h"
#include "hf-retry.h"
#include "hf-routing.h"
#include "hf-status.h"
#include "hf-timers.h"
#include "hf-wire.h"

#endif
