/* Local settings of one hickoryd. */
#include "hf-settings.h"

#include "config.h"

/* --- constants --- */

static const char *const affinity_names[] = { "auto", "on", "off", NULL }; /* by enum hf_affinity_mode */
static const char *const level_names[] = { "debug", "info", "notice", "warning", "err", NULL };

const struct hf_yaml_field hf_settings_fields[] = {
  { .name = "name",
    .type = HF_YAML_STR,
    .offset = offsetof (struct hf_settings, name),
    .required = true,
    .min = 1,
    .max = 64,
    .help = "Name of this VM, as in the platform's VM list." },
  { .name = "failure_domain",
    .type = HF_YAML_STR,
    .offset = offsetof (struct hf_settings, failure_domain),
    .required = true,
    .min = 1,
    .max = 64,
    .help = "Failure domain of this VM." },
  { .name = "listen",
    .type = HF_YAML_ADDRESS,
    .offset = offsetof (struct hf_settings, listen_address),
    .required = true,
    .help = "Address for callers, IP:PORT; port 0 picks a free one." },
  { .name = "admin",
    .type = HF_YAML_ADDRESS,
    .offset = offsetof (struct hf_settings, admin_address),
    .required = true,
    .help = "Address for health checks, metrics and dumps." },
  { .name = "peers",
    .type = HF_YAML_ADDRESS,
    .offset = offsetof (struct hf_settings, peer_address),
    .required = true,
    .help = "UDP address for messages from the other entries." },
  { .name = "platform",
    .type = HF_YAML_ADDRESS,
    .offset = offsetof (struct hf_settings, platform_address),
    .help = "Address of the platform's object API; either this or store." },
  { .name = "store",
    .type = HF_YAML_ADDRESS,
    .offset = offsetof (struct hf_settings, store_address),
    .help = "Address of the store of the platform that platform/ adapts to." },
  { .name = "metrics",
    .type = HF_YAML_ADDRESS,
    .offset = offsetof (struct hf_settings, metrics_address),
    .help = "Address that serves the metrics, and nothing else, in addition to the admin address." },
  { .name = "cpu_share",
    .type = HF_YAML_REAL,
    .offset = offsetof (struct hf_settings, cpu_share),
    .min = 0,
    .max = 1024,
    .default_value = HF_YAML_REAL_SCALE,
    .unit = "cores",
    .help = "Processor time of this VM; VMs with more of it take on more work for other entries." },
  { .name = "link_mbps",
    .type = HF_YAML_REAL,
    .offset = offsetof (struct hf_settings, link_mbps),
    .min = 0,
    .max = 1000000,
    .default_value = HF_LINK_DEFAULT_MBPS * HF_YAML_REAL_SCALE,
    .unit = "Mbit/s",
    .help = "Bandwidth of this VM's link; limits what it sends of a document to other entries; 0: the default." },
  { .name = "first_start",
    .type = HF_YAML_BOOL,
    .offset = offsetof (struct hf_settings, first_start),
    .help
    = "True if the whole system starts for the first time: entries then wait for the copies of the store's lists." },
  { .name = "grace_ms",
    .type = HF_YAML_INT,
    .offset = offsetof (struct hf_settings, shutdown_timeout_ms),
    .min = 0,
    .max = 3600000,
    .default_value = HF_SHUTDOWN_TIMEOUT_SEC * 1000,
    .unit = "ms",
    .help = "Longest time from SIGTERM to the exit of the process. Requests that "
            "could take longer are refused." },
  { .name = "drain_wait_ms",
    .type = HF_YAML_INT,
    .offset = offsetof (struct hf_settings, drain_wait_ms),
    .min = 0,
    .max = 600000,
    .default_value = 5000,
    .unit = "ms",
    .help = "After SIGTERM the health check fails for this long before the "
            "listener closes." },
  { .name = "quota_window",
    .type = HF_YAML_DURATION,
    .offset = offsetof (struct hf_settings, quota_window_ms),
    .min = 0,
    .max = 3600000,
    .help
    = "Window in which the requests of an organisation are counted against its limit; 0s: limits are not enforced." },
  { .name = "quota_overshoot",
    .type = HF_YAML_REAL,
    .offset = offsetof (struct hf_settings, quota_overshoot),
    .min = 0,
    .max = 100,
    .help = "Share of an organisation's limit that may run beyond it in one window." },
  { .name = "quota_slack",
    .type = HF_YAML_REAL,
    .offset = offsetof (struct hf_settings, quota_slack),
    .min = 0,
    .max = 1000000,
    .unit = "requests",
    .help = "Requests that may run beyond that in one window." },
  { .name = "cold_overshoot",
    .type = HF_YAML_REAL,
    .offset = offsetof (struct hf_settings, cold_overshoot),
    .min = 0,
    .max = 1000,
    .help = "Factor on the requests a second that a cold backend server tolerates; 0: they are not limited." },
  { .name = "cold_slack",
    .type = HF_YAML_REAL,
    .offset = offsetof (struct hf_settings, cold_slack),
    .min = 0,
    .max = 1000000,
    .unit = "requests",
    .help = "Requests that it may get beyond that in one second." },
  { .name = "evacuate",
    .type = HF_YAML_DURATION,
    .offset = offsetof (struct hf_settings, evacuate_ms),
    .min = 0,
    .max = 3600000,
    .help
    = "Longest time from the order to evacuate a failure domain to the last request sent there; 0s: no such orders." },
  { .name = "strict_revoke",
    .type = HF_YAML_BOOL,
    .offset = offsetof (struct hf_settings, strict_revoke),
    .help = "True: without contact to the store for the time revoke, requests with keys are refused." },
  { .name = "revoke",
    .type = HF_YAML_DURATION,
    .offset = offsetof (struct hf_settings, revoke_ms),
    .min = 0,
    .max = 3600000,
    .help = "Longest time for which a removed key is accepted; only with strict_revoke." },
  { .name = "domain_affinity",
    .type = HF_YAML_CHOICE,
    .offset = offsetof (struct hf_settings, domain_affinity),
    .choices = affinity_names,
    .help = "Whether requests stay in the failure domain that they arrived in while they are served in time there; "
            "auto: if round trips to the others take 4 ms or longer. The same at all entries." },
  { .name = "silent_hold",
    .type = HF_YAML_DURATION,
    .offset = offsetof (struct hf_settings, silent_hold_ms),
    .min = 0,
    .max = 3600000,
    .help
    = "For backend servers that never answer what they cannot queue: a slot whose request got no response is kept "
      "from use for this time, or until a request succeeds there; 0s: it is given back at once." },
  { .name = "log_level",
    .type = HF_YAML_CHOICE,
    .offset = offsetof (struct hf_settings, log_level),
    .default_value = 1,
    .choices = level_names,
    .help = "Least level of the events that are logged." },
  { 0 },
};

/* --- public functions --- */

bool
hf_settings_load (struct hf_str text, struct hf_settings *settings, struct hf_error *error)
{
  *settings = (struct hf_settings){ 0 };
  if (hf_yaml_load (text, hf_settings_fields, settings, error))
    {
      if ((settings->platform_address.len > 0) == (settings->store_address.len > 0))
        hf_error_set (error, HF_ERROR_INVALID, "expected exactly one of the keys platform and store");
      else if (settings->strict_revoke && settings->revoke_ms == 0)
        hf_error_set (error, HF_ERROR_INVALID, "strict_revoke needs revoke, a time above 0");
      else
        return true;
    }
  hf_settings_unload (settings);
  return false;
}

void
hf_settings_unload (struct hf_settings *settings)
{
  hf_yaml_free (hf_settings_fields, settings);
}
