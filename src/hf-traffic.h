/**
 * DOC: hf-traffic - bytes by purpose and by whether they cross failure domains
 *
 * Links between failure domains may cost more than those within one. Bytes of
 * peer messages are counted where they are sent, without the headers of UDP and
 * IP; bytes of HTTP are counted in both directions at the entry, without those of
 * TCP and IP.
 */
#ifndef HF_TRAFFIC_H
#define HF_TRAFFIC_H

#include "hf-base.h"
#include "hf-rpc.h"

/* --- types --- */

/** enum hf_traffic_kind - what bytes are for */
enum hf_traffic_kind
{
  HF_TRAFFIC_HEARTBEAT,
  HF_TRAFFIC_SLOT,        /* slot requests, decisions, releases, load reports of granters */
  HF_TRAFFIC_DIRECTORY,   /* changes of the directory */
  HF_TRAFFIC_CONFIG,      /* documents, and offers of them */
  HF_TRAFFIC_OTHER,       /* other messages between entries */
  HF_TRAFFIC_REQUEST,     /* requests sent to backend servers */
  HF_TRAFFIC_RESPONSE,    /* their responses */
  HF_TRAFFIC_MEASUREMENT, /* measurements and health probes, in both directions */
  HF_TRAFFIC_KINDS,
};

/** struct hf_traffic - bytes so far, by kind, and by whether they crossed failure domains (second index: 1) */
struct hf_traffic
{
  uint64_t bytes[HF_TRAFFIC_KINDS][2];
};

/* --- public functions --- */

extern const char *const hf_traffic_names[HF_TRAFFIC_KINDS]; /* by enum hf_traffic_kind */
enum hf_traffic_kind hf_traffic_kind_of_message (hf_rpc_kind kind);

/* Whether two failure domains (hashes of their names; 0: unknown) are known to differ. */
bool hf_traffic_crosses (uint64_t failure_domain, uint64_t other);

#endif
