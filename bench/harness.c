/* Runs the real programs on loopback. */
#include "harness.h"

#include <glib/gstdio.h>
#include <libsoup/soup.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "hf-soup.h"

/* --- constants --- */

#define START_TIMEOUT_S 20

/* --- internal functions: processes --- */

static void read_next_line (struct process *process);

static void
on_line_read (GObject *source, GAsyncResult *result, gpointer data)
{
  struct process *process = data;
  GError *error = NULL;
  char *line = g_data_input_stream_read_line_finish (G_DATA_INPUT_STREAM (source), result, NULL, &error);
  gboolean cancelled = g_error_matches (error, G_IO_ERROR, G_IO_ERROR_CANCELLED);
  g_clear_error (&error);
  if (cancelled)
    {
      g_string_free (process->log, TRUE);
      g_free (process);
      return;
    }
  if (!line)
    {
      process->ended = TRUE;
      return;
    }
  g_string_append_printf (process->log, "%s\n", line);
  g_free (line);
  read_next_line (process);
}

static void
read_next_line (struct process *process)
{
  g_data_input_stream_read_line_async (process->output, G_PRIORITY_DEFAULT, process->read_cancellable, on_line_read,
                                       process);
}

static struct process *
start_process (char **argv, gboolean merge_stderr)
{
  GError *problem = NULL;
  struct process *process = g_new0 (struct process, 1);
  process->subprocess = g_subprocess_newv (
      (const char *const *) argv,
      merge_stderr ? G_SUBPROCESS_FLAGS_STDOUT_PIPE | G_SUBPROCESS_FLAGS_STDERR_MERGE : G_SUBPROCESS_FLAGS_STDOUT_PIPE,
      &problem);
  if (!process->subprocess)
    g_error ("cannot start %s, aborting: %s", argv[0], problem->message);
  process->log = g_string_new (NULL);
  process->read_cancellable = g_cancellable_new ();
  process->output = g_data_input_stream_new (g_subprocess_get_stdout_pipe (process->subprocess));
  read_next_line (process);
  return process;
}

/* Kills the process, also while it is stopped. A pending read frees the structure when its cancellation arrives. */
static void
free_process (struct process *process)
{
  g_subprocess_send_signal (process->subprocess, SIGCONT);
  g_subprocess_force_exit (process->subprocess);
  g_subprocess_wait (process->subprocess, NULL, NULL);
  g_object_unref (process->output);
  g_object_unref (process->subprocess);
  gboolean read_pending = !process->ended;
  GCancellable *read_cancellable = process->read_cancellable;
  g_cancellable_cancel (read_cancellable);
  if (!read_pending)
    {
      g_string_free (process->log, TRUE);
      g_free (process);
    }
  g_object_unref (read_cancellable);
}

struct log_wait
{
  struct process *process;
  const char *text;
};

static gboolean
log_has_text (void *context)
{
  struct log_wait *log_wait = context;
  return log_wait->process->ended || strstr (log_wait->process->log->str, log_wait->text) != NULL;
}

static void
wait_for_log (struct process *process, const char *text)
{
  struct log_wait log_wait = { process, text };
  if (!harness_wait_until (log_has_text, &log_wait, START_TIMEOUT_S) || !strstr (process->log->str, text))
    g_error ("a program exited or did not write \"%s\" in time; its output: %s", text, process->log->str);
}

/* Copies the word after the prefix; an empty string if the prefix is missing. */
static void
copy_word (const char *text, const char *prefix, char *out, gsize size)
{
  const char *at = strstr (text, prefix);
  gsize length = at ? strcspn (at + strlen (prefix), " \n\"") : 0;
  g_strlcpy (out, at ? at + strlen (prefix) : "", MIN (size, length + 1));
}

static char *
program_path (struct harness *harness, const char *name)
{
  return g_build_filename (harness->build_dir, name, NULL);
}

/* --- public functions: init and close --- */

void
harness_parse_options (int *argc, char ***argv, const char *summary)
{
  GError *problem = NULL;
  GOptionContext *context = g_option_context_new (NULL);
  g_option_context_set_summary (context, summary);
  bool parsed = g_option_context_parse (context, argc, argv, &problem);
  g_option_context_free (context);
  if (parsed && *argc == 1)
    return;
  fprintf (stderr, "%s; see --help\n", parsed ? "this program takes no arguments" : problem->message);
  g_clear_error (&problem);
  exit (EXIT_FAILURE);
}

struct harness *
harness_open (const char *program)
{
  struct harness *harness = g_new0 (struct harness, 1);
  harness->build_dir = g_path_get_dirname (program);
  harness->temp_dir = g_dir_make_tmp ("hickory-XXXXXX", NULL);
  harness->entries = g_ptr_array_new ();
  harness->backends = g_ptr_array_new ();
  harness->drain_wait_ms = 1000;
  char *argv[] = { program_path (harness, "fake-platform"), NULL };
  harness->platform_process = start_process (argv, FALSE);
  g_free (argv[0]);
  wait_for_log (harness->platform_process, "listening ");
  copy_word (harness->platform_process->log->str, "listening ", harness->platform_address,
             sizeof harness->platform_address);
  return harness;
}

void
harness_close (struct harness *harness)
{
  for (guint i = 0; i < harness->entries->len; i++)
    {
      struct entry *entry = g_ptr_array_index (harness->entries, i);
      /* A broken invariant of a library is only logged, as CRITICAL. */
      if (strstr (entry->process->log->str, "CRITICAL"))
        g_error ("entry %s logged a critical error: %s", entry->name, strstr (entry->process->log->str, "CRITICAL"));
      free_process (entry->process);
      g_free (entry);
    }
  for (guint i = 0; i < harness->backends->len; i++)
    {
      struct backend *backend = g_ptr_array_index (harness->backends, i);
      free_process (backend->process);
      g_ptr_array_unref (backend->server_addresses);
      g_free (backend);
    }
  free_process (harness->platform_process);
  while (g_main_context_iteration (NULL, FALSE))
    ;
  GDir *dir = g_dir_open (harness->temp_dir, 0, NULL);
  for (const char *name = g_dir_read_name (dir); name; name = g_dir_read_name (dir))
    {
      char *path = g_build_filename (harness->temp_dir, name, NULL);
      g_unlink (path);
      g_free (path);
    }
  g_dir_close (dir);
  g_rmdir (harness->temp_dir);
  g_ptr_array_unref (harness->entries);
  g_ptr_array_unref (harness->backends);
  g_free (harness->temp_dir);
  g_free (harness->build_dir);
  g_free (harness);
}

/* --- public functions: processes --- */

static struct backend *
add_backend (struct harness *harness,
             int server_count,
             int slots,
             double mean_ms,
             double spread,
             int seed,
             gboolean constant)
{
  struct backend *backend = g_new0 (struct backend, 1);
  char *argv[] = { program_path (harness, "fake-backend"),    g_strdup_printf ("--servers=%d", server_count),
                   g_strdup_printf ("--slots=%d", slots),     g_strdup_printf ("--mean-ms=%f", mean_ms),
                   g_strdup_printf ("--spread=%f", spread),   g_strdup_printf ("--seed=%d", seed),
                   constant ? g_strdup ("--constant") : NULL, NULL };
  backend->process = start_process (argv, FALSE);
  for (int i = 0; argv[i]; i++)
    g_free (argv[i]);
  wait_for_log (backend->process, "ready");
  copy_word (backend->process->log->str, "control ", backend->control_address, sizeof backend->control_address);
  backend->server_addresses = g_ptr_array_new_with_free_func (g_free);
  char **lines = g_strsplit (backend->process->log->str, "\n", -1);
  for (int i = 0; lines[i]; i++)
    if (g_str_has_prefix (lines[i], "server "))
      g_ptr_array_add (backend->server_addresses, g_strdup (lines[i] + strlen ("server ")));
  g_strfreev (lines);
  g_ptr_array_add (harness->backends, backend);
  return backend;
}

struct backend *
harness_add_backend (struct harness *harness, int server_count, int slots, double mean_ms, double spread, int seed)
{
  return add_backend (harness, server_count, slots, mean_ms, spread, seed, FALSE);
}

struct backend *
harness_add_backend_constant (struct harness *harness, int server_count, int slots, double mean_ms)
{
  return add_backend (harness, server_count, slots, mean_ms, 0, 1, TRUE);
}

struct entry *
harness_add_entry (struct harness *harness, const char *domain)
{
  struct entry *entry = g_new0 (struct entry, 1);
  g_snprintf (entry->name, sizeof entry->name, "vm-%u", harness->entries->len + 1);
  g_strlcpy (entry->domain, domain, sizeof entry->domain);
  char *settings = g_strdup_printf ("name: %s\nfailure_domain: %s\nlisten: 127.0.0.1:0\nadmin: "
                                    "127.0.0.1:0\npeers: 127.0.0.1:0\nplatform: %s\ndrain_wait_ms: %d\n%s",
                                    entry->name, domain, harness->platform_address, harness->drain_wait_ms,
                                    harness->more_settings ? harness->more_settings : "");
  char *file = harness_write_file (harness, entry->name, settings);
  char *argv[] = { program_path (harness, "hickoryd"), file, NULL };
  entry->process = start_process (argv, TRUE);
  wait_for_log (entry->process, "\"name\":\"listening\"");
  copy_word (entry->process->log->str, "\"callers\":\"", entry->listen_address, sizeof entry->listen_address);
  copy_word (entry->process->log->str, "\"admin\":\"", entry->admin_address, sizeof entry->admin_address);
  copy_word (entry->process->log->str, "\"peers\":\"", entry->peer_address, sizeof entry->peer_address);
  g_free (argv[0]);
  g_free (file);
  g_free (settings);
  g_ptr_array_add (harness->entries, entry);
  harness_set_entry_phase (harness, entry, "Live");
  return entry;
}

/* Creates, replaces or deletes one VM in the platform's list. */
static void
send_vm_request (struct harness *harness, const char *method, const char *name, const char *data)
{
  char *path = g_strdup_printf ("/apis/hickoryfield/v1/vms/%s", name);
  char *body = g_strdup_printf ("{\"metadata\":{\"name\":\"%s\"},\"data\":%s}", name, data);
  SoupSession *session = hf_soup_session_new (1, 5);
  SoupMessage *message = hf_soup_message_new (method, hf_str (harness->platform_address), path, NULL);
  GBytes *bytes = g_bytes_new (body, strlen (body));
  soup_message_set_request_body_from_bytes (message, "application/json", bytes);
  GBytes *response = soup_session_send_and_read (session, message, NULL, NULL);
  if (response)
    g_bytes_unref (response);
  g_bytes_unref (bytes);
  g_object_unref (message);
  g_object_unref (session);
  g_free (body);
  g_free (path);
}

void
harness_set_entry_phase (struct harness *harness, const struct entry *entry, const char *phase)
{
  char *data = g_strdup_printf ("{\"role\":\"entry\",\"address\":\"%s\",\"admin\":\"%"
                                "s\",\"failure_domain\":\"%s\",\"phase\":\"%s\"}",
                                entry->peer_address, entry->admin_address, entry->domain, phase);
  send_vm_request (harness, "PUT", entry->name, data);
  g_free (data);
}

void
harness_delete_entry_vm (struct harness *harness, const struct entry *entry)
{
  send_vm_request (harness, "DELETE", entry->name, "{}");
}

void
harness_set_backend_phase (struct harness *harness, const char *address, const char *phase)
{
  char *name = g_strdup_printf ("backend-%s", address);
  char *data = g_strdup_printf ("{\"role\":\"backend\",\"address\":\"%s\",\"phase\":\"%s\"}", address, phase);
  send_vm_request (harness, "PUT", name, data);
  g_free (data);
  g_free (name);
}

void
process_send_signal (struct process *process, int signal)
{
  g_subprocess_send_signal (process->subprocess, signal);
}

static gboolean
has_ended (void *context)
{
  return ((struct process *) context)->ended;
}

gboolean
process_wait_for_exit (struct process *process, int seconds)
{
  return harness_wait_until (has_ended, process, seconds);
}

/* --- public functions: requests and files --- */

char *
harness_http_get (const char *address, const char *path, guint *status)
{
  SoupSession *session = hf_soup_session_new (1, 10);
  char **path_and_query = g_strsplit (path, "?", 2);
  SoupMessage *message = hf_soup_message_new ("GET", hf_str (address), path_and_query[0], path_and_query[1]);
  GBytes *response = soup_session_send_and_read (session, message, NULL, NULL);
  char *text = NULL;
  if (response)
    {
      gsize size;
      const char *data = g_bytes_get_data (response, &size);
      text = g_strndup (data, size);
      g_bytes_unref (response);
    }
  if (status)
    *status = text ? soup_message_get_status (message) : 0;
  g_strfreev (path_and_query);
  g_object_unref (message);
  g_object_unref (session);
  return text;
}

void
harness_send_control (const char *address, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *path = g_strdup_vprintf (format, args);
  va_end (args);
  g_free (harness_http_get (address, path, NULL));
  g_free (path);
}

int
harness_run_hickoryctl (struct harness *harness, char **output, const char *const *arguments)
{
  GPtrArray *argv = g_ptr_array_new ();
  char *program = program_path (harness, "hickoryctl");
  char *text = NULL;
  g_ptr_array_add (argv, program);
  for (int i = 0; arguments[i]; i++)
    g_ptr_array_add (argv, (gpointer) arguments[i]);
  g_ptr_array_add (argv, NULL);
  GSubprocess *tool = g_subprocess_newv ((const char *const *) argv->pdata,
                                         G_SUBPROCESS_FLAGS_STDOUT_PIPE | G_SUBPROCESS_FLAGS_STDERR_MERGE, NULL);
  g_subprocess_communicate_utf8 (tool, NULL, NULL, &text, NULL, NULL);
  int code = g_subprocess_get_if_exited (tool) ? g_subprocess_get_exit_status (tool) : -1;
  if (output)
    *output = text;
  else
    g_free (text);
  g_object_unref (tool);
  g_ptr_array_unref (argv);
  g_free (program);
  return code;
}

gboolean
harness_apply_document (struct harness *harness, const char *document)
{
  char *file = harness_write_file (harness, "document.yaml", document);
  char *output = NULL;
  int code = harness_run_hickoryctl (
      harness, &output, (const char *[]){ "apply", "--wait", "-p", harness->platform_address, file, NULL });
  if (code != 0)
    g_printerr ("hickoryctl apply failed with exit code %d: %s", code, output);
  g_free (output);
  g_free (file);
  return code == 0;
}

char *
harness_write_file (struct harness *harness, const char *file_name, const char *text)
{
  char *path = g_build_filename (harness->temp_dir, file_name, NULL);
  g_file_set_contents (path, text, -1, NULL);
  return path;
}

/* --- public functions: main loop --- */

/* Wakes the main loop, so that the condition is checked again. */
static gboolean
on_poll_timer (gpointer data)
{
  (void) data;
  return G_SOURCE_CONTINUE;
}

gboolean
harness_wait_until (gboolean (*condition) (void *context), void *context, int seconds)
{
  gint64 deadline = g_get_monotonic_time () + (gint64) seconds * G_USEC_PER_SEC;
  guint timer = g_timeout_add (10, on_poll_timer, NULL);
  gboolean done = condition (context);
  while (!done && g_get_monotonic_time () < deadline)
    {
      g_main_context_iteration (NULL, TRUE);
      done = condition (context);
    }
  g_source_remove (timer);
  return done;
}

static gboolean
deadline_passed (void *context)
{
  return g_get_monotonic_time () >= *(gint64 *) context;
}

void
harness_pause (int ms)
{
  gint64 deadline = g_get_monotonic_time () + (gint64) ms * 1000;
  harness_wait_until (deadline_passed, &deadline, ms / 1000 + 1);
}
