/**
 * DOC: hf-settings - a process's own settings
 *
 * What one hickoryd needs before it knows the document of desired state: its
 * addresses, its failure domain and where the platform is.
 */
#ifndef HF_SETTINGS_H
#define HF_SETTINGS_H

#include "hf-yaml.h"

/* --- types --- */

/**
 * struct hf_settings - settings of one hickoryd
 * @name: name of this VM, as in the platform's VM list
 * @failure_domain: where it runs
 * @listen_address: address for callers, IP:PORT
 * @admin_address: address for health checks, metrics and dumps
 * @peer_address: address for datagrams of the other entries
 * @platform_address: address of the platform's object API
 * @store_address: address of the users' platform store; instead of @platform_address
 * @metrics_address: address that serves only the metrics, or empty
 * @cpu_share: share of a core that this VM has; VMs with more take on more for the others
 * @first_start: the whole system starts for the first time
 * @shutdown_timeout_ms: a shutdown is over after that, whatever is in flight
 * @drain_wait_ms: time that a shutdown waits for the balancer in front
 * @log_level: index of debug, info, notice, warning, err
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
  bool first_start;
  int64_t shutdown_timeout_ms;
  int64_t drain_wait_ms;
  int64_t log_level;
};

/* --- public functions --- */

extern const struct hf_yaml_field hf_settings_fields[]; /* table of every key */
bool hf_settings_load (struct hf_str text,
                       struct hf_settings *settings,
                       struct hf_error *error);         /* false and *error if wrong */
void hf_settings_unload (struct hf_settings *settings); /* frees the strings */

#endif
