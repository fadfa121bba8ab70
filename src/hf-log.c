/* Structured log: one JSON object per line on standard output. */
#include "hf-log.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <json-glib/json-glib.h>
#include <string.h>
#include <unistd.h>

#include "config.h"

/* --- constants --- */

const struct hf_log_event hf_log_events[] = {
  { HF_LOG_STARTED, HF_LOG_LEVEL_NOTICE, "started" },
  { HF_LOG_LISTENING, HF_LOG_LEVEL_NOTICE, "listening" },
  { HF_LOG_SHUTDOWN, HF_LOG_LEVEL_NOTICE, "shutdown" },
  { HF_LOG_EXIT, HF_LOG_LEVEL_NOTICE, "exit" },
  { HF_LOG_SETTINGS_INVALID, HF_LOG_LEVEL_ERR, "settings-invalid" },
  { HF_LOG_STATE_DUMP, HF_LOG_LEVEL_NOTICE, "state-dump" },
  { HF_LOG_PAUSED, HF_LOG_LEVEL_WARNING, "paused" },
  { HF_LOG_RELOADED, HF_LOG_LEVEL_NOTICE, "reloaded" },
  { HF_LOG_CONFIG_ADOPTED, HF_LOG_LEVEL_NOTICE, "config-adopted" },
  { HF_LOG_CONFIG_INVALID, HF_LOG_LEVEL_ERR, "config-invalid" },
  { HF_LOG_CONFIG_OLD, HF_LOG_LEVEL_WARNING, "config-old" },
  { HF_LOG_CONFIG_RESTORED, HF_LOG_LEVEL_NOTICE, "config-restored" },
  { HF_LOG_CONFIG_SPLIT, HF_LOG_LEVEL_ERR, "config-split" },
  { HF_LOG_CONFIG_LATE, HF_LOG_LEVEL_WARNING, "config-late" },
  { HF_LOG_CONFIG_UNCONFIRMED, HF_LOG_LEVEL_WARNING, "config-unconfirmed" },
  { HF_LOG_CONFIG_CONFIRMED, HF_LOG_LEVEL_NOTICE, "config-confirmed" },
  { HF_LOG_MEMBER_JOINED, HF_LOG_LEVEL_INFO, "member-joined" },
  { HF_LOG_MEMBER_LOST, HF_LOG_LEVEL_WARNING, "member-lost" },
  { HF_LOG_MEMBER_LEAVING, HF_LOG_LEVEL_INFO, "member-leaving" },
  { HF_LOG_GRANTER_SILENT, HF_LOG_LEVEL_WARNING, "granter-silent" },
  { HF_LOG_AFFINITY, HF_LOG_LEVEL_NOTICE, "domain-affinity" },
  { HF_LOG_SERVER_LEAVING, HF_LOG_LEVEL_NOTICE, "server-leaving" },
  { HF_LOG_SERVER_OUT, HF_LOG_LEVEL_WARNING, "server-out" },
  { HF_LOG_SERVER_SILENT, HF_LOG_LEVEL_WARNING, "server-silent" },
  { HF_LOG_SERVER_LISTED, HF_LOG_LEVEL_INFO, "server-listed" },
  { HF_LOG_SERVER_GONE, HF_LOG_LEVEL_NOTICE, "server-gone" },
  { HF_LOG_SERVER_PUSHBACK, HF_LOG_LEVEL_NOTICE, "server-pushback" },
  { HF_LOG_RETRY_AFTER_INVALID, HF_LOG_LEVEL_WARNING, "retry-after-invalid" },
  { HF_LOG_EVACUATION_BEGUN, HF_LOG_LEVEL_NOTICE, "evacuation-begun" },
  { HF_LOG_EVACUATION_ENDED, HF_LOG_LEVEL_NOTICE, "evacuation-ended" },
  { HF_LOG_EVACUATION_IGNORED, HF_LOG_LEVEL_WARNING, "evacuation-ignored" },
  { HF_LOG_SERVER_COLD, HF_LOG_LEVEL_INFO, "server-cold" },
  { HF_LOG_REQUEST_QUARANTINED, HF_LOG_LEVEL_WARNING, "request-quarantined" },
  { HF_LOG_CLAIM_SETTLED, HF_LOG_LEVEL_INFO, "claim-settled" },
  { HF_LOG_CLAIM_UNAVAILABLE, HF_LOG_LEVEL_WARNING, "claim-unavailable" },
  { HF_LOG_CLAIM_SHARD_FULL, HF_LOG_LEVEL_ERR, "claim-shard-full" },
  { HF_LOG_PLATFORM_LOST, HF_LOG_LEVEL_WARNING, "platform-lost" },
  { HF_LOG_PLATFORM_BACK, HF_LOG_LEVEL_NOTICE, "platform-back" },
  { HF_LOG_WATCH_SILENT, HF_LOG_LEVEL_WARNING, "watch-silent" },
  { HF_LOG_FOLLOW, HF_LOG_LEVEL_INFO, "follow" },
  { HF_LOG_PLATFORM_RESTORED, HF_LOG_LEVEL_WARNING, "platform-restored" },
  { HF_LOG_PLATFORM_OUTDATED, HF_LOG_LEVEL_INFO, "platform-outdated" },
  { HF_LOG_PLATFORM_UNREADABLE, HF_LOG_LEVEL_WARNING, "platform-unreadable" },
  { HF_LOG_LINES_DROPPED, HF_LOG_LEVEL_WARNING, "lines-dropped" },
  { HF_LOG_NOT_ACCEPTED, HF_LOG_LEVEL_WARNING, "not-accepted" },
  { HF_LOG_ADDRESS_IN_USE, HF_LOG_LEVEL_WARNING, "address-in-use" },
  { HF_LOG_BODIES_REFUSED, HF_LOG_LEVEL_WARNING, "bodies-refused" },
  { HF_LOG_REQUEST_ROUTED, HF_LOG_LEVEL_INFO, "request-routed" },
  { HF_LOG_REQUEST_QUEUED, HF_LOG_LEVEL_DEBUG, "request-queued" },
  { HF_LOG_REQUEST_SENT, HF_LOG_LEVEL_INFO, "request-sent" },
  { HF_LOG_ATTEMPT_ENDED, HF_LOG_LEVEL_INFO, "attempt-ended" },
  { HF_LOG_ATTEMPT_FAILED, HF_LOG_LEVEL_NOTICE, "attempt-failed" },
  { HF_LOG_REQUEST_AGAIN, HF_LOG_LEVEL_NOTICE, "request-again" },
  { HF_LOG_REQUEST_REFUSED, HF_LOG_LEVEL_NOTICE, "request-refused" },
  { HF_LOG_REQUEST_ANSWERED, HF_LOG_LEVEL_INFO, "request-answered" },
  { HF_LOG_REQUEST_FAILED, HF_LOG_LEVEL_NOTICE, "request-failed" },
  { HF_LOG_REQUEST_CUT, HF_LOG_LEVEL_WARNING, "request-cut" },
  { HF_LOG_CALLER_GONE, HF_LOG_LEVEL_NOTICE, "caller-gone" },
  { HF_LOG_SLOT_DENIED, HF_LOG_LEVEL_NOTICE, "slot-denied" },
  { HF_LOG_SLOT_RETURNED, HF_LOG_LEVEL_NOTICE, "slot-returned" },
  { HF_LOG_RESPONSE_SKIPPED, HF_LOG_LEVEL_NOTICE, "response-skipped" },
  { HF_LOG_RESPONSE_MALFORMED, HF_LOG_LEVEL_WARNING, "response-malformed" },
  { HF_LOG_REQUEST_UNAUTHORISED, HF_LOG_LEVEL_INFO, "request-unauthorised" },
  { HF_LOG_REQUEST_REFERRED, HF_LOG_LEVEL_INFO, "request-referred" },
  { HF_LOG_QUOTA_OWNER_SILENT, HF_LOG_LEVEL_WARNING, "quota-owner-silent" },
  { HF_LOG_QUOTA_EXCEEDED, HF_LOG_LEVEL_NOTICE, "quota-exceeded" },
  { 0 },
};

static const char *const level_names[] = { "debug", "info", "notice", "warning", "error" };

/* --- state --- */

/* The log of the process: lines not yet written, and the counts for limits and sampling. */
static struct
{
  const char *program;
  char *entry_name;
  enum hf_log_level min_level;
  GString *pending;       /* lines not yet written; NULL: log is not open */
  guint flush_source;     /* GLib source that writes them, 0: none */
  int64_t current_second; /* monotonic second that lines_in_second counts */
  unsigned lines_in_second;
  unsigned dropped_lines;     /* over a limit since the last lines-dropped event */
  unsigned sampled_out_lines; /* left out by sampling since that event */
} log_state = { .program = "hickoryfield", .min_level = HF_LOG_LEVEL_INFO };

/* --- internal functions: writing --- */

static bool
write_pending (void)
{
  while (log_state.pending->len > 0)
    {
      ssize_t written = write (STDOUT_FILENO, log_state.pending->str, log_state.pending->len);
      if (written < 0 && errno == EINTR)
        continue;
      if (written <= 0)
        return false;
      g_string_erase (log_state.pending, 0, written);
    }
  return true;
}

static gboolean on_flush (gpointer data);

static void
schedule_flush (bool pipe_full)
{
  if (log_state.flush_source)
    return;
  log_state.flush_source
      = pipe_full ? g_timeout_add (HF_LOG_WRITE_RETRY_MS, on_flush, NULL) : g_idle_add (on_flush, NULL);
}

/* Runs once per iteration of the main loop, so that all its lines take a single write. */
static gboolean
on_flush (gpointer data)
{
  (void) data;
  log_state.flush_source = 0;
  if (!write_pending ())
    schedule_flush (true);
  return G_SOURCE_REMOVE;
}

/* --- internal functions: limits --- */

static bool
is_within_limits (void)
{
  int64_t second = g_get_monotonic_time () / G_USEC_PER_SEC;
  if (second != log_state.current_second)
    {
      log_state.current_second = second;
      log_state.lines_in_second = 0;
    }
  return log_state.lines_in_second < HF_LOG_LINES_PER_SEC && log_state.pending->len < HF_LOG_PENDING_BYTES_MAX;
}

/* Above half of the line limit, lines up to level info are kept for one in HF_LOG_SAMPLE_DIVISOR requests only. The
 * choice depends on the request's id alone, so that all entries keep all such lines of the same requests. */
static bool
is_sampled_out (const struct hf_log_event *event, struct hf_str request_id)
{
  if (request_id.len == 0 || event->level > HF_LOG_LEVEL_INFO || log_state.lines_in_second < HF_LOG_LINES_PER_SEC / 2)
    return false;
  return hf_hash (request_id, 0) % HF_LOG_SAMPLE_DIVISOR != 0;
}

/* --- internal functions: lines --- */

static void
add_member (JsonBuilder *builder, const struct hf_log_field *field)
{
  json_builder_set_member_name (builder, field->name);
  if (!field->is_text)
    {
      json_builder_add_int_value (builder, field->number);
      return;
    }
  char *text = g_utf8_make_valid (field->text.data ? field->text.data : "", (gssize) field->text.len);
  json_builder_add_string_value (builder, text);
  g_free (text);
}

static void
append_line (const struct hf_log_event *event, const struct hf_log_field *fields, size_t n)
{
  JsonBuilder *builder = json_builder_new ();
  struct hf_log_field number = HF_LOG_INT ("event", event->number);
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "time");
  json_builder_add_double_value (builder, (double) g_get_real_time () / G_USEC_PER_SEC);
  json_builder_set_member_name (builder, "level");
  json_builder_add_string_value (builder, level_names[event->level]);
  add_member (builder, &number);
  json_builder_set_member_name (builder, "name");
  json_builder_add_string_value (builder, event->name);
  json_builder_set_member_name (builder, "entry");
  json_builder_add_string_value (builder, log_state.entry_name ? log_state.entry_name : log_state.program);
  for (size_t i = 0; i < n; i++)
    add_member (builder, &fields[i]);
  json_builder_end_object (builder);
  JsonNode *root = json_builder_get_root (builder);
  char *text = json_to_string (root, FALSE);
  g_string_append (log_state.pending, text);
  g_string_append_c (log_state.pending, '\n');
  log_state.lines_in_second++;
  g_free (text);
  json_node_unref (root);
  g_object_unref (builder);
}

static void
append_dropped_event (void)
{
  if (log_state.dropped_lines == 0 && log_state.sampled_out_lines == 0)
    return;
  struct hf_log_field fields[]
      = { HF_LOG_INT ("lines", log_state.dropped_lines), HF_LOG_INT ("sampled_out", log_state.sampled_out_lines) };
  log_state.dropped_lines = 0;
  log_state.sampled_out_lines = 0;
  append_line (hf_log_find_event (HF_LOG_LINES_DROPPED), fields, G_N_ELEMENTS (fields));
}

/* --- public functions --- */

const struct hf_log_event *
hf_log_find_event (int number)
{
  for (const struct hf_log_event *event = hf_log_events; event->number; event++)
    if ((int) event->number == number)
      return event;
  return NULL;
}

void
hf_log_open (const char *program, struct hf_str entry_name, enum hf_log_level min_level)
{
  log_state.program = program;
  log_state.min_level = min_level;
  g_free (log_state.entry_name);
  log_state.entry_name = entry_name.len ? g_strndup (entry_name.data, entry_name.len) : NULL;
  if (!log_state.pending)
    log_state.pending = g_string_new (NULL);
  /* A slow reader of the log must not block the event loop and delay requests. */
  int flags = fcntl (STDOUT_FILENO, F_GETFL);
  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void
hf_log_close (void)
{
  if (!log_state.pending)
    return;
  if (log_state.flush_source)
    g_source_remove (log_state.flush_source);
  log_state.flush_source = 0;
  write_pending ();
  g_string_free (log_state.pending, TRUE);
  g_free (log_state.entry_name);
  log_state.pending = NULL;
  log_state.entry_name = NULL;
}

void
hf_log_write_fields (int number, struct hf_str request_id, const struct hf_log_field *fields, size_t n)
{
  const struct hf_log_event *event = hf_log_find_event (number);
  if (!event || event->level < log_state.min_level || !log_state.pending)
    return;
  if (!is_within_limits ())
    {
      log_state.dropped_lines++;
      return;
    }
  if (is_sampled_out (event, request_id))
    {
      log_state.sampled_out_lines++;
      return;
    }
  if (log_state.lines_in_second == 0)
    append_dropped_event ();
  append_line (event, fields, n);
  schedule_flush (false);
}

void
hf_log_write (int number, const char *format, ...)
{
  char text[512];
  va_list args;
  va_start (args, format);
  g_vsnprintf (text, sizeof text, format, args);
  va_end (args);
  struct hf_log_field field = HF_LOG_TEXT ("text", hf_str (text));
  hf_log_write_fields (number, (struct hf_str){ 0 }, &field, 1);
}
