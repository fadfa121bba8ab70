/* Numbered events as syslog-style lines on standard error. */
#include "hf-log.h"

#include <glib.h>
#include <stdio.h>
#include <syslog.h>
#include <unistd.h>

/* --- constants --- */

const struct hf_log_entry hf_log_entries[] = {
  { HF_LOG_STARTED, HF_LEVEL_NOTICE, "started" },
  { HF_LOG_LISTENING, HF_LEVEL_NOTICE, "listening" },
  { HF_LOG_SHUTDOWN, HF_LEVEL_NOTICE, "shutdown" },
  { HF_LOG_EXIT, HF_LEVEL_NOTICE, "exit" },
  { HF_LOG_SETTINGS_INVALID, HF_LEVEL_ERR, "settings-invalid" },
  { HF_LOG_STATE_DUMP, HF_LEVEL_NOTICE, "state-dump" },
  { HF_LOG_PAUSED, HF_LEVEL_WARNING, "paused" },
  { HF_LOG_RELOADED, HF_LEVEL_NOTICE, "reloaded" },
  { HF_LOG_CONFIG_ADOPTED, HF_LEVEL_NOTICE, "config-adopted" },
  { HF_LOG_CONFIG_INVALID, HF_LEVEL_ERR, "config-invalid" },
  { HF_LOG_CONFIG_OLD, HF_LEVEL_WARNING, "config-old" },
  { HF_LOG_CONFIG_RESTORED, HF_LEVEL_NOTICE, "config-restored" },
  { HF_LOG_CONFIG_SPLIT, HF_LEVEL_ERR, "config-split" },
  { HF_LOG_MEMBER_JOINED, HF_LEVEL_INFO, "member-joined" },
  { HF_LOG_MEMBER_LOST, HF_LEVEL_WARNING, "member-lost" },
  { HF_LOG_MEMBER_LEAVING, HF_LEVEL_INFO, "member-leaving" },
  { HF_LOG_GRANTER_SILENT, HF_LEVEL_WARNING, "granter-silent" },
  { HF_LOG_SERVER_LEAVING, HF_LEVEL_NOTICE, "server-leaving" },
  { HF_LOG_SERVER_OUT, HF_LEVEL_WARNING, "server-out" },
  { HF_LOG_SERVER_SILENT, HF_LEVEL_WARNING, "server-silent" },
  { HF_LOG_SERVER_LISTED, HF_LEVEL_INFO, "server-listed" },
  { HF_LOG_SERVER_GONE, HF_LEVEL_NOTICE, "server-gone" },
  { HF_LOG_QUARANTINED, HF_LEVEL_WARNING, "request-quarantined" },
  { HF_LOG_CLAIM_SETTLED, HF_LEVEL_INFO, "claim-settled" },
  { HF_LOG_CLAIM_UNAVAILABLE, HF_LEVEL_WARNING, "claim-unavailable" },
  { HF_LOG_CLAIM_SHARD_FULL, HF_LEVEL_ERR, "claim-shard-full" },
  { HF_LOG_PLATFORM_LOST, HF_LEVEL_WARNING, "platform-lost" },
  { HF_LOG_PLATFORM_BACK, HF_LEVEL_NOTICE, "platform-back" },
  { HF_LOG_WATCH_SILENT, HF_LEVEL_WARNING, "watch-silent" },
  { 0 },
};

static const int syslog_levels[] = { LOG_DEBUG, LOG_INFO, LOG_NOTICE, LOG_WARNING, LOG_ERR };

/* --- state --- */

static const char *program_name = "hickoryfield";
static enum hf_log_level least_level = HF_LEVEL_INFO;

/* --- public functions --- */

const struct hf_log_entry *
hf_log_find (int number)
{
  for (const struct hf_log_entry *entry = hf_log_entries; entry->number; entry++)
    if ((int) entry->number == number)
      return entry;
  return NULL;
}

void
hf_log_open (const char *program, enum hf_log_level least)
{
  program_name = program;
  least_level = least;
}

void
hf_log_write (int number, const char *format, ...)
{
  const struct hf_log_entry *entry = hf_log_find (number);
  char text[512];
  va_list args;
  if (!entry || entry->level < least_level)
    return;
  va_start (args, format);
  g_vsnprintf (text, sizeof text, format, args);
  va_end (args);
  GDateTime *now = g_date_time_new_now_local ();
  char *stamp = g_date_time_format (now, "%b %e %T");
  fprintf (stderr, "<%d>%s %s[%d]: HF%d %s: %s\n", syslog_levels[entry->level], stamp, program_name, (int) getpid (),
           number, entry->name, text);
  g_free (stamp);
  g_date_time_unref (now);
}
