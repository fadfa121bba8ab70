/*
 * Scripted runs of the reducer: each tests/scripts/NAME.script is a list of
 * events, and the effects that they cause must equal the lines of
 * NAME.expected. HF_UPDATE=1 in the environment rewrites the expected files.
 *
 * Events in a script (AT and MS in milliseconds, # begins a comment line):
 *   AT start | tick | shutdown
 *   AT document GENERATION FILE                     the platform's watch delivers a configuration document
 *   AT request CALL METHOD PATH[?QUERY] [key=K] [body=TEXT] [streamed] [deadline=MS] [organisation-key=K] [malformed]
 *       [several]
 *       malformed, several: the request has a field for an organisation's key, but no valid one, or more than one
 *   AT strict-revoke MS                             the setting: without contact for so long, no key is accepted
 *   AT gone CALL                                    the caller disconnected
 *   AT head CALL ATTEMPT STATUS [not-run] [load=N] [retry=MS]   head of a streamed response
 *   AT end CALL ATTEMPT RESULT [status=N] [handed] [leaving] [not-run] [load=N] [retry=MS]
 *       RESULT: answered, connect-failed, broken, short (truncated), timeout, cancelled
 *       handed: bytes of the request were sent; leaving: the backend server is draining
 *   AT peer BOOT heartbeat [generation=N] [leaving]
 *   AT peer BOOT decision CALL ATTEMPT granted|queued|refused SERVICE/SERVER
 *   AT peer BOOT acquire SERVICE TICKET WORTH REMAINING_MS
 *   AT peer BOOT release SERVICE TICKET RESULT_NUMBER LATENCY_US
 *   AT platform claims SHARD get|put STATUS [version=N] [keys=TEXT]
 *   AT platform probes SERVICE get|put STATUS [version=N] [epoch=N] [left=N]
 *   AT watch-end PURPOSE STATUS
 *   AT hints SERVICE/SERVER [leaves] [status=N] [retry=MS] [id=ID]
 *       head of a response with which the server restricts requests
 *
 * Effects in an expected file:
 *   answer CALL STATUS OUTCOME TEXT                 the entry sends an error response of its own
 *   dispatch CALL.ATTEMPT SERVER [proved|fresh] remaining=MS [no key] [organisation=NAME]
 *       no key: the caller's fields for key and organisation are not forwarded
 *       proved: only on a new connection or one that lately carried a response; fresh: only on a new connection
 *   cancel CALL.ATTEMPT
 *   relay CALL.ATTEMPT OUTCOME                      forwards the backend server's response
 *   cut CALL                                        aborts a response that is partly forwarded
 *   send ADDRESS KIND ...                           message to another entry
 *   platform OP OBJECT version=N [left=N]           call to the platform's store; left: probe tokens that it writes
 *   probe SERVER                                    health probe
 *   renew SERVER                                    uses new connections to the backend server
 *   log HFNUMBER TEXT
 *   follow MODE from REVISION                       changes how the platform's directory is watched
 *   exit
 *   reject incomplete                               answers the requests that have not arrived completely
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "hf-reduce.h"
#include "hf-state.h"

/* --- types --- */

struct script_run
{
  struct hf_state *state;
  GString *output;
  char *folder;
  char **words; /* the current line, split */
};

/* --- internal functions: printing --- */

static const char *
server_name (const struct script_run *run, uint64_t id)
{
  GHashTableIter iter;
  struct hf_service_state *service;
  g_hash_table_iter_init (&iter, run->state->services);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &service))
    {
      const struct hf_pool_server *server = hf_pool_find_server (&service->pool, id);
      if (server)
        return server->name.data;
    }
  return "-";
}

static void
print_message (struct script_run *run, const struct hf_effect *effect)
{
  static const char *const kinds[]
      = { "",        "heartbeat",     "acquire", "decision", "release", "claim",     "claim-reply",
          "inquiry", "inquiry-reply", "notice",  "pull",     "chunk",   "directory", "directory-pull" };
  const struct hf_rpc_body *body = &effect->message.body;
  g_string_append_printf (run->output, "  send " HF_STR_FMT " %s", HF_STR_ARG (effect->address), kinds[body->kind]);
  if (body->kind == HF_RPC_HEARTBEAT)
    g_string_append_printf (run->output, " generation=%d%s%s", (int) body->hf_rpc_body_u.heartbeat.generation,
                            body->hf_rpc_body_u.heartbeat.leaving ? " leaving" : "",
                            body->hf_rpc_body_u.heartbeat.wants_reply ? " sync" : "");
  else if (body->kind == HF_RPC_ACQUIRE)
    {
      const struct hf_rpc_acquire *acquire = &body->hf_rpc_body_u.acquire;
      g_string_append_printf (run->output, " ticket=%d remaining=%u%s", (int) acquire->ticket, acquire->remaining_ms,
                              acquire->retry ? " retry" : "");
      if (acquire->organisation)
        g_string_append_printf (run->output, " organisation=%016" G_GINT64_MODIFIER "x priority=%u",
                                (guint64) acquire->organisation, acquire->priority);
    }
  else if (body->kind == HF_RPC_DECISION)
    g_string_append_printf (run->output, " ticket=%d kind=%u server=%s reason=%u",
                            (int) body->hf_rpc_body_u.decision.ticket, body->hf_rpc_body_u.decision.kind,
                            server_name (run, body->hf_rpc_body_u.decision.server),
                            body->hf_rpc_body_u.decision.reason);
  else if (body->kind == HF_RPC_RELEASE)
    g_string_append_printf (run->output, " ticket=%d result=%u", (int) body->hf_rpc_body_u.release.ticket,
                            body->hf_rpc_body_u.release.result);
  else if (body->kind == HF_RPC_NOTICE)
    g_string_append_printf (run->output, " kind=%u", body->hf_rpc_body_u.notice.kind);
  g_string_append_c (run->output, '\n');
}

static const char *
connection_kind (const struct hf_effect *dispatch)
{
  if (dispatch->idle_max_ms == 0)
    return " fresh";
  return dispatch->idle_max_ms < HF_CONNECTION_IDLE_MS ? " proved" : "";
}

static void
print_tokens (struct script_run *run, const struct hf_effect *effect)
{
  struct hf_object object;
  if (effect->purpose != HF_PURPOSE_PROBES || effect->op != HF_PLATFORM_PUT)
    return;
  g_assert_true (hf_object_load (effect->data, &object, NULL));
  g_string_append_printf (run->output, " left=%u", (unsigned) hf_object_get_uint (&object, "left"));
  hf_object_unload (&object);
}

static void
print_effect (struct script_run *run, const struct hf_effect *effect)
{
  static const char *const outcomes[] = { "answered", "not-run", "unknown" };
  static const char *const ops[] = { "get", "head", "put", "watch" };
  GString *output = run->output;
  switch (effect->kind)
    {
    case HF_EFFECT_SEND_ERROR:
      g_string_append_printf (output, "  answer %d %u %s " HF_STR_FMT "\n", (int) effect->call, effect->status,
                              outcomes[effect->outcome], HF_STR_ARG (effect->text));
      break;
    case HF_EFFECT_DISPATCH:
      g_string_append_printf (output, "  dispatch %d.%u %s%s remaining=%d%s%s" HF_STR_FMT "\n", (int) effect->call,
                              effect->attempt, server_name (run, effect->server), connection_kind (effect),
                              (int) effect->remaining_ms, effect->has_organisations ? " no key" : "",
                              effect->organisation.len ? " organisation=" : "", HF_STR_ARG (effect->organisation));
      break;
    case HF_EFFECT_CANCEL_ATTEMPT:
      g_string_append_printf (output, "  cancel %d.%u\n", (int) effect->call, effect->attempt);
      break;
    case HF_EFFECT_RELAY_RESPONSE:
      g_string_append_printf (output, "  relay %d.%u %s\n", (int) effect->call, effect->attempt,
                              outcomes[effect->outcome]);
      break;
    case HF_EFFECT_ABORT_RESPONSE:
      g_string_append_printf (output, "  cut %d\n", (int) effect->call);
      break;
    case HF_EFFECT_SEND_MESSAGE:
      print_message (run, effect);
      break;
    case HF_EFFECT_CALL_PLATFORM:
      g_string_append_printf (output, "  platform %s " HF_STR_FMT " version=%d", ops[effect->op],
                              HF_STR_ARG (effect->name), (int) effect->version);
      print_tokens (run, effect);
      g_string_append_c (output, '\n');
      break;
    case HF_EFFECT_SEND_PROBE:
      g_string_append_printf (output, "  probe %s\n", server_name (run, effect->server));
      break;
    case HF_EFFECT_RECONNECT:
      g_string_append_printf (output, "  renew %s\n", server_name (run, effect->server));
      break;
    case HF_EFFECT_LOG:
      if (effect->n_log_fields)
        break; /* log lines about a request repeat what the other effects show */
      g_string_append_printf (output, "  log HF%d " HF_STR_FMT "\n", effect->log_number, HF_STR_ARG (effect->text));
      break;
    case HF_EFFECT_SET_WATCH:
      g_string_append_printf (output, "  follow %u from %d\n", effect->watch_mode, (int) effect->position.revision);
      break;
    case HF_EFFECT_LIST_AGAIN:
      g_string_append_printf (output, "  list again in era %d\n", (int) effect->position.era);
      break;
    case HF_EFFECT_WITHDRAW:
      g_string_append (output, "  withdraw\n");
      break;
    case HF_EFFECT_READ_DOCUMENT:
      g_string_append (output, "  read document\n");
      break;
    case HF_EFFECT_SET_LIMITS:
    case HF_EFFECT_SET_WAKEUP:
      break; /* almost every event changes them; the ticks of a script show the result */
    case HF_EFFECT_REJECT_INCOMPLETE:
      g_string_append (output, "  reject incomplete\n");
      break;
    case HF_EFFECT_EXIT:
      g_string_append (output, "  exit\n");
      break;
    }
}

/* --- internal functions: events --- */

static const char *
find_option (const struct script_run *run, const char *name)
{
  size_t length = strlen (name);
  for (int i = 2; run->words[i]; i++)
    if (strncmp (run->words[i], name, length) == 0 && (run->words[i][length] == '=' || run->words[i][length] == 0))
      return run->words[i][length] == '=' ? run->words[i] + length + 1 : "";
  return NULL;
}

static uint64_t
parse_number (const struct script_run *run, int i)
{
  return g_ascii_strtoull (run->words[i], NULL, 10);
}

static void
raise_event (struct script_run *run, struct hf_event event)
{
  struct hf_effects effects;
  hf_effects_init (&effects);
  event.now = (int64_t) (g_ascii_strtod (run->words[0], NULL) * HF_MS);
  event.wall_time = 1000000 * HF_SEC + event.now;
  hf_reduce (run->state, &event, &effects);
  for (guint i = 0; i < effects.items->len; i++)
    print_effect (run, &g_array_index (effects.items, struct hf_effect, i));
  hf_effects_close (&effects);
}

static void
raise_document (struct script_run *run)
{
  char *path = g_build_filename (run->folder, run->words[3], NULL);
  char *text = NULL;
  gsize size = 0;
  g_assert_true (g_file_get_contents (path, &text, &size, NULL));
  struct hf_str document = { .data = text, .len = size };
  struct hf_manifest manifest
      = { .generation = parse_number (run, 2), .digest = hf_hash (document, 0), .document = document };
  char *json = hf_manifest_to_json (parse_number (run, 2), &manifest);
  char *line = g_strdup_printf ("{\"type\":\"MODIFIED\",\"object\":%s}", json);
  raise_event (run, (struct hf_event){
                        .kind = HF_EVENT_WATCH_LINE,
                        .platform = { .purpose = HF_PURPOSE_CONFIG, .op = HF_PLATFORM_WATCH, .data = hf_str (line) } });
  g_free (line);
  g_free (json);
  g_free (text);
  g_free (path);
}

static void
raise_request (struct script_run *run)
{
  struct hf_event event = { .kind = HF_EVENT_REQUEST, .call = parse_number (run, 2) };
  event.request.method = hf_str (run->words[3]);
  char **target = g_strsplit (run->words[4], "?", 2);
  event.request.path = hf_str (target[0]);
  event.request.query = hf_str (target[1]);
  event.request.host = hf_str ("example");
  event.request.idempotency_key = hf_str (find_option (run, "key"));
  event.request.body_digest = hf_hash (hf_str (find_option (run, "body")), 0);
  event.request.body_streamed = find_option (run, "streamed") != NULL;
  if (find_option (run, "deadline"))
    event.request.deadline_ms = atoi (find_option (run, "deadline"));
  event.request.organisation_key = hf_str (find_option (run, "organisation-key"));
  if (event.request.organisation_key.data)
    event.request.credential = HF_CREDENTIAL_KEY;
  else if (find_option (run, "malformed"))
    event.request.credential = HF_CREDENTIAL_MALFORMED;
  else if (find_option (run, "several"))
    event.request.credential = HF_CREDENTIAL_SEVERAL;
  raise_event (run, event);
  g_strfreev (target);
}

static struct hf_response_hints
make_hints (const struct script_run *run)
{
  struct hf_response_hints hints = { .status = 200, .load = -1, .retry_after_ms = -1 };
  if (find_option (run, "status"))
    hints.status = (unsigned) atoi (find_option (run, "status"));
  if (find_option (run, "load"))
    hints.load = atoi (find_option (run, "load"));
  if (find_option (run, "retry"))
    hints.retry_after_ms = atoi (find_option (run, "retry"));
  hints.draining = find_option (run, "leaving") != NULL;
  hints.not_run = find_option (run, "not-run") != NULL;
  return hints;
}

static void
raise_attempt_head (struct script_run *run)
{
  struct hf_event event = { .kind = HF_EVENT_ATTEMPT_HEAD,
                            .call = parse_number (run, 2),
                            .attempt = (unsigned) parse_number (run, 3),
                            .hints = make_hints (run) };
  event.hints.status = (unsigned) parse_number (run, 4);
  raise_event (run, event);
}

static void
raise_attempt_end (struct script_run *run)
{
  static const char *const names[] = { "answered", "connect-failed", "broken", "short", "timeout", "cancelled", NULL };
  struct hf_event event = { .kind = HF_EVENT_ATTEMPT_END,
                            .call = parse_number (run, 2),
                            .attempt = (unsigned) parse_number (run, 3),
                            .hints = make_hints (run) };
  for (int i = 0; names[i]; i++)
    if (strcmp (names[i], run->words[4]) == 0)
      event.result = i;
  event.bytes_sent = find_option (run, "handed") != NULL || event.result == HF_ATTEMPT_ANSWERED;
  raise_event (run, event);
}

static uint64_t
find_server_id (const struct script_run *run, const char *name)
{
  const char *slash = strchr (name, '/');
  char *service = g_strndup (name, slash ? (gsize) (slash - name) : 0);
  uint64_t id = slash ? hf_server_id (hf_str (service), hf_str (slash + 1)) : 0;
  (void) run;
  g_free (service);
  return id;
}

static void
raise_server_hints (struct script_run *run)
{
  struct hf_event event
      = { .kind = HF_EVENT_SERVER_HINTS, .server = find_server_id (run, run->words[2]), .hints = make_hints (run) };
  event.hints.leaving = find_option (run, "leaves") != NULL;
  event.request.id = hf_str (find_option (run, "id"));
  raise_event (run, event);
}

static void
raise_peer_message (struct script_run *run)
{
  struct hf_rpc_message message = { .boot_id = parse_number (run, 2) };
  const char *kind = run->words[3];
  char address[32];
  if (strcmp (kind, "heartbeat") == 0)
    {
      message.body.kind = HF_RPC_HEARTBEAT;
      if (find_option (run, "generation"))
        message.body.hf_rpc_body_u.heartbeat.generation = (uint64_t) atoi (find_option (run, "generation"));
      message.body.hf_rpc_body_u.heartbeat.leaving = find_option (run, "leaving") != NULL;
    }
  else if (strcmp (kind, "decision") == 0)
    {
      static const char *const kinds[] = { "queued", "granted", "refused" };
      message.body.kind = HF_RPC_DECISION;
      message.body.hf_rpc_body_u.decision
          = (struct hf_rpc_decision){ .service = hf_hash (hf_str ("a"), 0),
                                      .ticket = parse_number (run, 4) * HF_ATTEMPTS_MAX + parse_number (run, 5),
                                      .server = find_server_id (run, run->words[7]) };
      for (unsigned i = 0; i < G_N_ELEMENTS (kinds); i++)
        if (strcmp (kinds[i], run->words[6]) == 0)
          message.body.hf_rpc_body_u.decision.kind = i;
    }
  else if (strcmp (kind, "acquire") == 0)
    {
      message.body.kind = HF_RPC_ACQUIRE;
      message.body.hf_rpc_body_u.acquire = (struct hf_rpc_acquire){ .service = hf_hash (hf_str (run->words[4]), 0),
                                                                    .ticket = parse_number (run, 5),
                                                                    .worth = (unsigned) parse_number (run, 6),
                                                                    .remaining_ms = (unsigned) parse_number (run, 7) };
    }
  else
    {
      message.body.kind = HF_RPC_RELEASE;
      message.body.hf_rpc_body_u.release = (struct hf_rpc_release){ .service = hf_hash (hf_str (run->words[4]), 0),
                                                                    .ticket = parse_number (run, 5),
                                                                    .result = (unsigned) parse_number (run, 6),
                                                                    .latency_us = (unsigned) parse_number (run, 7) };
    }
  g_snprintf (address, sizeof address, "10.0.0.%d:1", (int) parse_number (run, 2));
  raise_event (run, (struct hf_event){ .kind = HF_EVENT_PEER_MESSAGE,
                                       .peer = { .message = &message, .address = hf_str (address) } });
}

static void
raise_claims_result (struct script_run *run)
{
  const char *keys = find_option (run, "keys");
  const char *version = find_option (run, "version");
  struct hf_event event = { .kind = HF_EVENT_PLATFORM_RESULT,
                            .platform = { .purpose = HF_PURPOSE_CLAIMS,
                                          .arg = parse_number (run, 3),
                                          .status = (unsigned) parse_number (run, 5) } };
  event.platform.op = strcmp (run->words[4], "put") == 0 ? HF_PLATFORM_PUT : HF_PLATFORM_GET;
  char *json = g_strdup_printf ("{\"metadata\":{\"name\":\"x\",\"resourceVersion\":\"%"
                                "s\"},\"data\":{\"keys\":\"%s\"}}",
                                version ? version : "0", keys ? keys : "");
  event.platform.data = hf_str (json);
  raise_event (run, event);
  g_free (json);
}

static void
raise_probes_result (struct script_run *run)
{
  const char *version = find_option (run, "version");
  const char *epoch = find_option (run, "epoch");
  const char *left = find_option (run, "left");
  struct hf_event event = { .kind = HF_EVENT_PLATFORM_RESULT,
                            .platform = { .purpose = HF_PURPOSE_PROBES,
                                          .arg = hf_hash (hf_str (run->words[3]), 0),
                                          .status = (unsigned) parse_number (run, 5) } };
  event.platform.op = strcmp (run->words[4], "put") == 0 ? HF_PLATFORM_PUT : HF_PLATFORM_GET;
  char *json = g_strdup_printf ("{\"metadata\":{\"name\":\"x\",\"resourceVersion\":\"%s\"},"
                                "\"data\":{\"epoch\":%s,\"left\":%s}}",
                                version ? version : "0", epoch ? epoch : "0", left ? left : "0");
  event.platform.data = hf_str (json);
  raise_event (run, event);
  g_free (json);
}

static void
run_line (struct script_run *run)
{
  const char *event_name = run->words[1];
  if (strcmp (event_name, "start") == 0)
    raise_event (run, (struct hf_event){ .kind = HF_EVENT_START });
  else if (strcmp (event_name, "silent-hold") == 0)
    run->state->silent_hold_us = g_ascii_strtoll (run->words[2], NULL, 10) * HF_MS;
  else if (strcmp (event_name, "tick") == 0)
    raise_event (run, (struct hf_event){ .kind = HF_EVENT_TICK });
  else if (strcmp (event_name, "shutdown") == 0)
    raise_event (run, (struct hf_event){ .kind = HF_EVENT_SHUTDOWN });
  else if (strcmp (event_name, "document") == 0)
    raise_document (run);
  else if (strcmp (event_name, "request") == 0)
    raise_request (run);
  else if (strcmp (event_name, "strict-revoke") == 0)
    run->state->revoke_us = (int64_t) parse_number (run, 2) * HF_MS;
  else if (strcmp (event_name, "gone") == 0)
    raise_event (run, (struct hf_event){ .kind = HF_EVENT_CALLER_GONE, .call = parse_number (run, 2) });
  else if (strcmp (event_name, "head") == 0)
    raise_attempt_head (run);
  else if (strcmp (event_name, "hints") == 0)
    raise_server_hints (run);
  else if (strcmp (event_name, "end") == 0)
    raise_attempt_end (run);
  else if (strcmp (event_name, "peer") == 0)
    raise_peer_message (run);
  else if (strcmp (event_name, "platform") == 0 && strcmp (run->words[2], "probes") == 0)
    raise_probes_result (run);
  else if (strcmp (event_name, "platform") == 0)
    raise_claims_result (run);
  else if (strcmp (event_name, "watch-end") == 0)
    raise_event (run, (struct hf_event){ .kind = HF_EVENT_WATCH_LINE,
                                         .platform = { .purpose = parse_number (run, 2),
                                                       .status = (unsigned) parse_number (run, 3) } });
  else
    g_error ("unknown event %s in the script; the test stops", event_name);
}

static void
run_script (gconstpointer data)
{
  const char *path = data;
  struct hf_settings settings
      = { .name = hf_str ("e1"), .failure_domain = hf_str ("d1"), .drain_wait_ms = 100, .shutdown_timeout_ms = 5000 };
  struct script_run run
      = { .state = hf_state_new (&settings, 1), .output = g_string_new (NULL), .folder = g_path_get_dirname (path) };
  char *text = NULL;
  g_assert_true (g_file_get_contents (path, &text, NULL, NULL));
  char **lines = g_strsplit (text, "\n", -1);
  for (int i = 0; lines[i]; i++)
    {
      if (lines[i][0] == 0 || lines[i][0] == '#')
        continue;
      g_string_append_printf (run.output, "%s\n", lines[i]);
      g_assert_true (g_shell_parse_argv (lines[i], NULL, &run.words, NULL));
      run_line (&run);
      g_strfreev (run.words);
    }
  char *stem = g_strndup (path, strlen (path) - strlen (".script"));
  char *expected_path = g_strconcat (stem, ".expected", NULL);
  char *expected = NULL;
  if (g_getenv ("HF_UPDATE"))
    g_file_set_contents (expected_path, run.output->str, -1, NULL);
  if (!g_file_get_contents (expected_path, &expected, NULL, NULL))
    expected = g_strdup ("");
  g_assert_cmpstr (run.output->str, ==, expected);
  g_free (expected);
  g_free (expected_path);
  g_free (stem);
  g_strfreev (lines);
  g_free (text);
  g_free (run.folder);
  g_string_free (run.output, TRUE);
  hf_state_free (run.state);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  GDir *folder = g_dir_open (HF_SCRIPTS, 0, NULL);
  for (const char *name = g_dir_read_name (folder); name; name = g_dir_read_name (folder))
    {
      if (!g_str_has_suffix (name, ".script"))
        continue;
      char *test = g_strdup_printf ("/scripts/%.*s", (int) (strlen (name) - strlen (".script")), name);
      g_test_add_data_func_full (test, g_build_filename (HF_SCRIPTS, name, NULL), run_script, g_free);
      g_free (test);
    }
  g_dir_close (folder);
  return g_test_run ();
}
