/**
 * DOC: hf-settings - local settings of one hickoryd
 *
 * Settings that a hickoryd needs before it can load the document of desired
 * state: its addresses, its failure domain and the address of the platform.
 */
#ifndef HF_SETTINGS_H
#define HF_SETTINGS_H

#include "hf-yaml.h"

/* --- types --- */

/**
 * struct hf_settings - settings of one hickoryd
 * @name: name of this VM, as in the platform's VM list
 * @failure_domain: failure domain that this VM runs in
 * @listen_address: address for callers, IP:PORT as all addresses
 * @admin_address: address for health checks, metrics and dumps
 * @peer_address: UDP address for messages from the other entries
 * @platform_address: address of the platform's object API, or empty if @store_address is set
 * @store_address: address of the platform store that platform/ adapts to, or empty if @platform_address is set
 * @metrics_address: second address for the metrics; serves the same paths as @admin_address; or empty
 * @cpu_share: processor time of this VM in cores; VMs with more of it take on more work for other entries
 * @link_mbps: bandwidth of this VM's link in Mbit/s; 0: HF_LINK_DEFAULT_MBPS
 * @first_start: true if the whole system starts for the first time; the first lists of the store are delayed
 * @shutdown_timeout_ms: milliseconds from SIGTERM after which the process exits even if calls are in flight
 * @drain_wait_ms: milliseconds that the listener stays open after SIGTERM, for the upstream load balancer to react
 * @quota_window_ms: window in which the requests of an organisation are counted; 0: limits are not enforced
 * @quota_overshoot: share of an organisation's limit that may run beyond it in one window
 * @quota_slack: requests that may run beyond that in one window
 * @cold_overshoot: factor on the requests a second that a cold backend server tolerates; 0: not limited
 * @cold_slack: requests that it may get beyond that in one second
 * @evacuate_ms: longest time from the order to evacuate a failure domain to the last request there; 0: no such orders
 * @strict_revoke: without contact to the store for @revoke_ms, requests with keys are refused
 * @revoke_ms: longest time for which a removed key is accepted
 * @domain_affinity: whether requests stay in the failure domain that they arrived in, enum hf_affinity_mode
 * @silent_hold_ms: a slot whose request got no response is kept from use for this time; 0: it is given back at once
 * @log_level: least level of the log lines, enum hf_log_level
 */
struct hf_settings
{
  struct hf_str name;
  struct hf_str failure_domain;
  struct hf_str listen_address;
  struct hf_str admin_address;
  struct hf_str peer_address;
  struct hf_str platform_address;
  struct hf_str store_address;
  struct hf_str metrics_address;
  double cpu_share;
  double link_mbps;
  bool first_start;
  int64_t shutdown_timeout_ms;
  int64_t drain_wait_ms;
  int64_t quota_window_ms;
  double quota_overshoot;
  double quota_slack;
  double cold_overshoot;
  double cold_slack;
  int64_t evacuate_ms;
  bool strict_revoke;
  int64_t revoke_ms;
  int64_t domain_affinity;
  int64_t silent_hold_ms;
  int64_t log_level;
};

/* --- public functions --- */

extern const struct hf_yaml_field hf_settings_fields[]; /* table of all keys */
bool hf_settings_load (struct hf_str text, struct hf_settings *settings, struct hf_error *error); /* false: invalid */
void hf_settings_unload (struct hf_settings *settings); /* frees the strings */

#endif
