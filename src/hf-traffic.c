/* Bytes by purpose and by whether they cross failure domains. */
#include "hf-traffic.h"

/* --- constants --- */

const char *const hf_traffic_names[HF_TRAFFIC_KINDS] = {
  [HF_TRAFFIC_HEARTBEAT] = "heartbeat", [HF_TRAFFIC_SLOT] = "slot",
  [HF_TRAFFIC_DIRECTORY] = "directory", [HF_TRAFFIC_CONFIG] = "config",
  [HF_TRAFFIC_OTHER] = "other",         [HF_TRAFFIC_REQUEST] = "request",
  [HF_TRAFFIC_RESPONSE] = "response",   [HF_TRAFFIC_MEASUREMENT] = "measurement",
};

/* --- public functions --- */

enum hf_traffic_kind
hf_traffic_kind_of_message (hf_rpc_kind kind)
{
  switch (kind)
    {
    case HF_RPC_HEARTBEAT:
      return HF_TRAFFIC_HEARTBEAT;
    case HF_RPC_ACQUIRE:
    case HF_RPC_DECISION:
    case HF_RPC_RELEASE:
    case HF_RPC_LOAD_REPORT:
      return HF_TRAFFIC_SLOT;
    case HF_RPC_DIRECTORY_UPDATE:
    case HF_RPC_DIRECTORY_PULL:
      return HF_TRAFFIC_DIRECTORY;
    case HF_RPC_CONFIG_OFFER:
    case HF_RPC_CONFIG_PULL:
    case HF_RPC_CONFIG_CHUNK:
      return HF_TRAFFIC_CONFIG;
    default:
      return HF_TRAFFIC_OTHER;
    }
}

bool
hf_traffic_crosses (uint64_t failure_domain, uint64_t other)
{
  return failure_domain != 0 && other != 0 && failure_domain != other;
}
