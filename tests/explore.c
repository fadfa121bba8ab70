/*
 * hf-explore: searches all orders of events that one request of a caller may
 * meet, up to a depth, for one that breaks an invariant.
 *
 * The reducer is a function of its events, so a run is repeated from the start
 * for each order; orders that lead to the same state are followed once. The
 * events come from a model of what is outside, written from the pages:
 * a caller that may leave, backend servers that refuse connections, lose them,
 * answer with each kind of status, in short or long, and the clock.
 *
 * An order that breaks an invariant is printed in the form of tests/scripts.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "hf-reduce.h"
#include "hf-state.h"

#include "config.h"

/* --- constants --- */

#define CALL          1
#define DEPTH_DEFAULT 6
#define QUIET_MS      10000 /* longer than each deadline and timeout of the document */

/* --- types: the model --- */

/** enum move_kind - what may happen next */
enum move_kind
{
  MOVE_WAIT,      /* time passes */
  MOVE_GONE,      /* the caller leaves */
  MOVE_SHUTDOWN,  /* SIGTERM */
  MOVE_NOT_SENT,  /* the connection is refused, or lost before a byte was sent */
  MOVE_LOST,      /* it is lost after bytes were sent */
  MOVE_ANSWER,    /* a whole answer, short enough to be buffered */
  MOVE_LONG_HEAD, /* the head of one that is not */
  MOVE_LONG_END,  /* its end */
  MOVE_LONG_CUT,  /* it breaks off */
};

/** struct answer - status of an answer, and whether it states that the request has not run */
struct answer
{
  unsigned status;
  bool not_run;
};

static const struct answer answers[]
    = { { 200, false }, { 500, false }, { 503, false }, { 429, false }, { 503, true }, { 421, true }, { 400, true } };
static const int waits_ms[] = { 15, 520, 1100 };

struct move
{
  enum move_kind kind;
  unsigned attempt;
  unsigned choice; /* index in answers or waits_ms */
};

/** struct request_kind - the request that a search is about */
struct request_kind
{
  const char *method;
  bool streamed;
  bool repeatable;
};

static const struct request_kind request_kinds[]
    = { { "GET", false, true }, { "POST", false, false }, { "POST", true, false } };

/** struct model_attempt - an attempt as its backend server and the entry's sockets see it */
struct model_attempt
{
  bool running;
  bool long_head; /* the head of a long answer has been reported */
  bool started;   /* bytes were sent: it may have run, unless the server states otherwise */
  bool not_run;   /* the server states so */
};

/** struct run - one order of events, as far as it has been applied */
struct run
{
  const struct request_kind *kind;
  struct hf_state *state;
  int64_t now;       /* us */
  int64_t wakeup_at; /* when the entry wants a TICK; 0: not known */
  struct model_attempt attempts[HF_ATTEMPTS_MAX];
  unsigned n_attempts;
  unsigned ends; /* error or relayed answer */
  bool gone;
  bool shutting_down;
  bool refused;    /* told as not run */
  GString *script; /* receives the events; NULL: they are not recorded */
  const char *violation;
};

/** struct search - a search in progress */
struct search
{
  struct hf_str document; /* YAML */
  const struct request_kind *kind;
  GHashTable *known; /* by the hash of a state, the lowest depth at which it was met, and one */
  struct move path[32];
  unsigned depth_max;
  guint64 states;
  guint64 violations;
};

/* --- invariants --- */

/* Whether attempt i may have run, or may still do so. */
static bool
may_run (const struct run *run, unsigned i)
{
  const struct model_attempt *attempt = &run->attempts[i];
  return attempt->started && !attempt->not_run;
}

static bool
any_may_run (const struct run *run)
{
  for (unsigned i = 0; i < run->n_attempts; i++)
    if (may_run (run, i))
      return true;
  return false;
}

/* Each is checked when an attempt begins; @i: the new attempt. */
static bool
starts_once (const struct run *run, unsigned i)
{
  for (unsigned earlier = 0; earlier < i; earlier++)
    if (!run->kind->repeatable && may_run (run, earlier))
      return false;
  return true;
}

static bool
has_whole_body (const struct run *run, unsigned i)
{
  for (unsigned earlier = 0; earlier < i; earlier++)
    if (run->kind->streamed && run->attempts[earlier].started)
      return false;
  return true;
}

static bool
caller_is_there (const struct run *run, unsigned i)
{
  (void) i;
  return !run->gone;
}

static bool
is_not_refused (const struct run *run, unsigned i)
{
  (void) i;
  return !run->refused && run->ends == 0;
}

/* An invariant on the begin of an attempt: one function, one line of the table; pages: the sentence it comes from. */
static const struct
{
  bool (*holds) (const struct run *run, unsigned i);
  const char *pages;
} start_invariants[] = {
  { starts_once, "TWICE: a request that isn't idempotent runs more than once" },
  { has_whole_body, "UNASKED: a backend runs a request with its body changed" },
  { caller_is_there, "GONE: a request reaches a backend after its client has closed" },
  { is_not_refused, "REFUSED: it is answered 503 and runs later" },
};

static bool
promises_not_run (unsigned status)
{
  return status == 503 || status == 429 || status == 408 || status == 421;
}

/* --- applying events --- */

static void
check_start (struct run *run, unsigned i)
{
  for (size_t n = 0; n < G_N_ELEMENTS (start_invariants); n++)
    if (!start_invariants[n].holds (run, i))
      run->violation = start_invariants[n].pages;
}

static void
check_end (struct run *run, unsigned status, bool stated_not_run)
{
  run->ends++;
  if (run->ends > 1)
    run->violation = "MIXED: a request has two answers";
  run->refused = run->refused || promises_not_run (status) || stated_not_run;
  if ((promises_not_run (status) || stated_not_run) && !run->kind->repeatable && any_may_run (run))
    run->violation = "REFUSED: it is answered 503 and has run, or may still run";
}

static void
apply_effect (struct run *run, const struct hf_effect *effect, const struct hf_event *cause)
{
  struct model_attempt *attempt = &run->attempts[MIN (effect->attempt, HF_ATTEMPTS_MAX - 1)];
  if (effect->kind == HF_EFFECT_DISPATCH)
    {
      run->n_attempts = MAX (run->n_attempts, effect->attempt + 1);
      check_start (run, effect->attempt);
      /* Until its end says otherwise, bytes of it may have been sent. */
      *attempt = (struct model_attempt){ .running = true, .started = true };
    }
  else if (effect->kind == HF_EFFECT_SET_WAKEUP)
    run->wakeup_at = effect->wakeup_at;
  else if (effect->kind == HF_EFFECT_CANCEL_ATTEMPT)
    attempt->running = false;
  else if (effect->kind == HF_EFFECT_SEND_ERROR)
    check_end (run, effect->status, effect->outcome == HF_OUTCOME_NOT_RUN);
  else if (effect->kind == HF_EFFECT_RELAY_RESPONSE)
    check_end (run,
               cause->kind == HF_EVENT_ATTEMPT_HEAD || cause->kind == HF_EVENT_ATTEMPT_END ? cause->hints.status : 0,
               effect->outcome == HF_OUTCOME_NOT_RUN);
}

static void
record (const struct run *run, const char *format, ...)
{
  va_list args;
  if (!run->script)
    return;
  g_string_append_printf (run->script, "%d ", (int) (run->now / HF_MS));
  va_start (args, format);
  g_string_append_vprintf (run->script, format, args);
  va_end (args);
  g_string_append_c (run->script, '\n');
}

static void
raise_event (struct run *run, struct hf_event event)
{
  struct hf_effects effects;
  hf_effects_init (&effects);
  event.now = run->now;
  event.wall_time = run->now;
  hf_reduce (run->state, &event, &effects);
  for (guint i = 0; i < effects.items->len && !run->violation; i++)
    apply_effect (run, &g_array_index (effects.items, struct hf_effect, i), &event);
  hf_effects_close (&effects);
}

/* The loop wakes the entry when it asked for it. */
static void
pass_time (struct run *run, int ms)
{
  int64_t until = run->now + ms * HF_MS;
  while (run->now < until && !run->violation)
    {
      bool wakes = run->wakeup_at > 0 && run->wakeup_at < until;
      run->now = wakes ? MAX (run->now + 1, run->wakeup_at) : until;
      run->wakeup_at = 0;
      record (run, "tick");
      raise_event (run, (struct hf_event){ .kind = HF_EVENT_TICK });
    }
}

static void
record_end (const struct run *run, const struct move *move, enum hf_attempt_result result, const struct answer *answer)
{
  static const char *const names[] = { "answered", "connect-failed", "broken", "short" };
  GString *options = g_string_new (move->kind == MOVE_NOT_SENT ? "" : " handed");
  if (answer)
    g_string_append_printf (options, " status=%u%s", answer->status, answer->not_run ? " not-run" : "");
  record (run, "end %d %u %s%s", CALL, move->attempt, names[result], options->str);
  g_string_free (options, TRUE);
}

static void
end_attempt (struct run *run, const struct move *move, enum hf_attempt_result result, const struct answer *answer)
{
  struct model_attempt *attempt = &run->attempts[move->attempt];
  struct hf_event event = { .kind = HF_EVENT_ATTEMPT_END,
                            .call = CALL,
                            .attempt = move->attempt,
                            .result = result,
                            .hints = { .load = -1, .retry_after_ms = -1 },
                            .bytes_sent = move->kind != MOVE_NOT_SENT };
  if (answer)
    {
      event.hints.status = answer->status;
      event.hints.not_run = answer->not_run;
      attempt->not_run = answer->not_run;
    }
  attempt->running = false;
  attempt->started = event.bytes_sent;
  record_end (run, move, result, answer);
  raise_event (run, event);
}

static void
report_long_head (struct run *run, const struct move *move)
{
  struct model_attempt *attempt = &run->attempts[move->attempt];
  const struct answer *answer = &answers[move->choice];
  attempt->long_head = true;
  attempt->not_run = answer->not_run;
  record (run, "head %d %u %u%s", CALL, move->attempt, answer->status, answer->not_run ? " not-run" : "");
  raise_event (
      run, (struct hf_event){
               .kind = HF_EVENT_ATTEMPT_HEAD,
               .call = CALL,
               .attempt = move->attempt,
               .hints = { .status = answer->status, .not_run = answer->not_run, .load = -1, .retry_after_ms = -1 } });
}

static void
apply_move (struct run *run, const struct move *move)
{
  switch (move->kind)
    {
    case MOVE_WAIT:
      pass_time (run, waits_ms[move->choice]);
      break;
    case MOVE_GONE:
      run->gone = true;
      record (run, "gone %d", CALL);
      raise_event (run, (struct hf_event){ .kind = HF_EVENT_CALLER_GONE, .call = CALL });
      break;
    case MOVE_SHUTDOWN:
      run->shutting_down = true;
      record (run, "shutdown");
      raise_event (run, (struct hf_event){ .kind = HF_EVENT_SHUTDOWN });
      break;
    case MOVE_NOT_SENT:
      end_attempt (run, move, HF_ATTEMPT_CONNECT_FAILED, NULL);
      break;
    case MOVE_LOST:
      end_attempt (run, move, HF_ATTEMPT_BROKEN, NULL);
      break;
    case MOVE_ANSWER:
      end_attempt (run, move, HF_ATTEMPT_ANSWERED, &answers[move->choice]);
      break;
    case MOVE_LONG_HEAD:
      report_long_head (run, move);
      break;
    case MOVE_LONG_END:
      end_attempt (run, move, HF_ATTEMPT_ANSWERED, &answers[0]);
      break;
    case MOVE_LONG_CUT:
      end_attempt (run, move, HF_ATTEMPT_TRUNCATED, NULL);
      break;
    }
}

static void
open_run (struct run *run, const struct search *search, GString *script)
{
  static const struct hf_settings settings
      = { .name = { "e1", 2 }, .failure_domain = { "d1", 2 }, .drain_wait_ms = 100, .shutdown_timeout_ms = 5000 };
  const struct request_kind *kind = search->kind;
  *run = (struct run){ .kind = kind, .state = hf_state_new (&settings, 1), .script = script };
  record (run, "start");
  raise_event (run, (struct hf_event){ .kind = HF_EVENT_START });
  struct hf_event event = { .kind = HF_EVENT_DOCUMENT };
  event.document.generation = 1;
  event.document.text = search->document;
  record (run, "document 1 explore.yaml");
  raise_event (run, event);
  event = (struct hf_event){ .kind = HF_EVENT_REQUEST, .call = CALL };
  event.request.method = hf_str (kind->method);
  event.request.host = hf_str ("example");
  event.request.path = hf_str ("/a/x");
  event.request.body_streamed = kind->streamed;
  record (run, "request %d %s /a/x%s", CALL, kind->method, kind->streamed ? " streamed" : "");
  raise_event (run, event);
}

/* --- the search --- */

static void
add_move (GArray *moves, enum move_kind kind, unsigned attempt, unsigned choices)
{
  for (unsigned choice = 0; choice < choices; choice++)
    {
      struct move move = { .kind = kind, .attempt = attempt, .choice = choice };
      g_array_append_val (moves, move);
    }
}

/* What the model allows next. */
static GArray *
list_moves (const struct run *run)
{
  GArray *moves = g_array_new (FALSE, FALSE, sizeof (struct move));
  add_move (moves, MOVE_WAIT, 0, G_N_ELEMENTS (waits_ms));
  if (!run->gone)
    add_move (moves, MOVE_GONE, 0, 1);
  if (!run->shutting_down)
    add_move (moves, MOVE_SHUTDOWN, 0, 1);
  for (unsigned i = 0; i < run->n_attempts; i++)
    {
      const struct model_attempt *attempt = &run->attempts[i];
      if (!attempt->running)
        continue;
      if (attempt->long_head)
        {
          add_move (moves, MOVE_LONG_END, i, 1);
          add_move (moves, MOVE_LONG_CUT, i, 1);
          continue;
        }
      add_move (moves, MOVE_NOT_SENT, i, 1);
      add_move (moves, MOVE_LOST, i, 1);
      add_move (moves, MOVE_ANSWER, i, G_N_ELEMENTS (answers));
      add_move (moves, MOVE_LONG_HEAD, i, G_N_ELEMENTS (answers));
    }
  return moves;
}

static uint64_t
mix (uint64_t hash, uint64_t value)
{
  return hf_hash_pair (hash, value);
}

/* Of all of the model and of the call that decides what comes next. */
static uint64_t
hash_run (const struct run *run)
{
  uint64_t id = CALL;
  const struct hf_call *call = g_hash_table_lookup (run->state->calls, &id);
  uint64_t hash = mix ((uint64_t) run->now, run->ends * 8 + run->gone * 4 + run->shutting_down * 2 + run->refused);
  hash = mix (hash, run->state->random_state);
  for (unsigned i = 0; i < run->n_attempts; i++)
    {
      const struct model_attempt *attempt = &run->attempts[i];
      hash = mix (hash, attempt->running * 8 + attempt->long_head * 4 + attempt->started * 2 + attempt->not_run);
    }
  if (!call)
    return hash;
  hash = mix (hash,
              call->may_have_run * 8 + call->bytes_sent * 4 + call->response_relayed * 2 + (call->retry_timer != NULL));
  for (unsigned i = 0; i < call->n_attempts; i++)
    {
      const struct hf_attempt *attempt = &call->attempts[i];
      hash = mix (hash, attempt->phase * 4096 + attempt->held_status * 2 + attempt->response_held);
      hash = mix (hash, attempt->server ^ attempt->excluded_server);
    }
  return hash;
}

/* Everything ends, and time passes: the request must have had its one end, and the entry nothing left of it. */
static void
settle (struct run *run)
{
  for (unsigned i = 0; i < run->n_attempts && !run->violation; i++)
    {
      struct move move = { .kind = MOVE_LOST, .attempt = i };
      if (run->attempts[i].running)
        apply_move (run, &move);
    }
  for (int waited_ms = 0; waited_ms < QUIET_MS && !run->violation; waited_ms += waits_ms[1])
    {
      struct move move = { .kind = MOVE_WAIT, .choice = 1 };
      apply_move (run, &move);
    }
  if (!run->violation && !run->gone && run->ends != 1)
    run->violation = "LOST: a request ends without an answer";
  if (!run->violation && g_hash_table_size (run->state->calls) > 0)
    run->violation = "a call is left when all is quiet";
}

static void
replay (const struct search *search, unsigned depth, GString *script, struct run *run)
{
  open_run (run, search, script);
  for (unsigned i = 0; i < depth && !run->violation; i++)
    apply_move (run, &search->path[i]);
}

/* As a script, which becomes a regression test in tests/scripts. */
static void
print_path (const struct search *search, unsigned depth, const char *violation)
{
  struct run run;
  GString *script = g_string_new (NULL);
  replay (search, depth, script, &run);
  if (!run.violation)
    settle (&run);
  printf ("# %s\n%s", violation, script->str);
  hf_state_free (run.state);
  g_string_free (script, TRUE);
}

static void explore (struct search *search, unsigned depth);

static void
visit (struct search *search, unsigned depth)
{
  struct run run;
  replay (search, depth, NULL, &run);
  uint64_t hash = hash_run (&run);
  guint known_depth = GPOINTER_TO_UINT (g_hash_table_lookup (search->known, &hash));
  bool is_new = !run.violation && (known_depth == 0 || depth + 1 < known_depth);
  search->states += is_new && known_depth == 0;
  if (is_new)
    g_hash_table_insert (search->known, g_memdup2 (&hash, sizeof hash), GUINT_TO_POINTER (depth + 1));
  if (is_new)
    settle (&run);
  if (run.violation)
    {
      search->violations++;
      print_path (search, depth, run.violation);
    }
  hf_state_free (run.state);
  if (is_new && depth < search->depth_max && search->violations == 0)
    explore (search, depth);
}

static void
explore (struct search *search, unsigned depth)
{
  struct run run;
  replay (search, depth, NULL, &run);
  GArray *moves = list_moves (&run);
  hf_state_free (run.state);
  for (guint i = 0; i < moves->len && search->violations == 0; i++)
    {
      search->path[depth] = g_array_index (moves, struct move, i);
      visit (search, depth + 1);
    }
  g_array_unref (moves);
}

/* Each depth after the one before it, so that the first order found is a shortest one. A state that is met again at a
 * lower depth is followed again, as more events may come after it. */
static void
search_deeper (struct search *search, unsigned depth)
{
  for (search->depth_max = 1; search->depth_max <= depth && search->violations == 0; search->depth_max++)
    {
      g_hash_table_remove_all (search->known);
      search->states = 0;
      visit (search, 0);
    }
}

int
main (int argc, char **argv)
{
  gint depth = DEPTH_DEFAULT;
  const GOptionEntry options[]
      = { { "depth", 0, 0, G_OPTION_ARG_INT, &depth, "Events after the request", "N" }, { 0 } };
  GOptionContext *context = g_option_context_new (NULL);
  g_option_context_set_summary (context, "Searches all orders of the events of one request for a broken invariant.");
  g_option_context_add_main_entries (context, options, NULL);
  bool parsed = g_option_context_parse (context, &argc, &argv, NULL);
  g_option_context_free (context);
  if (!parsed || depth < 1 || depth >= 32)
    return 2;
  guint64 violations = 0;
  char *text = NULL;
  gsize size = 0;
  g_assert_true (g_file_get_contents (HF_SCRIPTS "/explore.yaml", &text, &size, NULL));
  hf_log_open ("hf-explore", (struct hf_str){ 0 }, HF_LOG_LEVEL_ERR);
  for (size_t i = 0; i < G_N_ELEMENTS (request_kinds); i++)
    {
      struct search search = { .document = { text, size }, .kind = &request_kinds[i] };
      gint64 started_at = g_get_monotonic_time ();
      search.known = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
      search_deeper (&search, (unsigned) depth);
      printf ("%s%s: depth %d, %" G_GUINT64_FORMAT " states, %" G_GUINT64_FORMAT " violations, %.1f s\n",
              search.kind->method, search.kind->streamed ? " streamed" : "", depth, search.states, search.violations,
              (double) (g_get_monotonic_time () - started_at) / G_USEC_PER_SEC);
      violations += search.violations;
      g_hash_table_destroy (search.known);
    }
  g_free (text);
  return violations > 0;
}
