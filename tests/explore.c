/*
 * hf-explore: searches all orders of events that one request of a caller may
 * meet, up to a depth, for one that breaks an invariant.
 *
 * Orders that lead to the same state are followed once, and the search goes
 * event by event, so the first order found is a shortest one. A state is kept as
 * a copy of the reducer's memory, and the next event is applied to that copy. The
 * events come from a model of what is outside, written from the pages:
 * a caller that may leave, backend servers that refuse connections, lose them,
 * answer with each kind of status, in short or long, and the clock.
 *
 * An order that breaks an invariant is printed in the form of tests/scripts.
 */
#include <errno.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <unistd.h>

#include "hf-reduce.h"
#include "hf-state.h"

#include "config.h"

/* --- constants --- */

#define CALL            1
#define DEPTH_DEFAULT   6
#define QUIET_MS        10000 /* longer than each deadline and timeout of the document */
#define QUIET_DEPTH     6     /* states up to this depth are followed for all of QUIET_MS */
#define REGION_BYTES    (1 << 20)
#define PAGE_BYTES      4096
#define REGION_PAGES    (sizeof (struct region) / PAGE_BYTES)
#define LINES_PER_PAGE  (PAGE_BYTES / LINE_BYTES)
#define LINE_BYTES      64 /* of the region; those that differ from the first state are kept */
#define BLOCK_POWERS    20
#define BLOCK_BYTES_MIN 32
#define REPLAY_EVERY    64 /* states of which one is also reached by its events from the start */

/* --- types: the model --- */

/** enum move_kind - what may happen next */
enum move_kind
{
  MOVE_WAIT,      /* time passes */
  MOVE_PAUSE,     /* the same while the process does not run */
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
static const int pauses_ms[] = { 520 };

struct move
{
  enum move_kind kind;
  unsigned attempt;
  unsigned choice; /* index in answers, waits_ms or pauses_ms */
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
  bool in_region;    /* its state can be copied */
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

/** struct node - a state that was met, and how */
struct node
{
  uint32_t parent; /* index of the state before it */
  struct move move;
};

/** struct snapshot - a state to go on from */
struct snapshot
{
  struct run run;
  uint32_t node;
  GArray *lines; /* struct line, where the region differs from that of the first state */
};

/** struct search - a search in progress */
struct search
{
  struct hf_str document; /* YAML */
  const struct request_kind *kind;
  GHashTable *known;   /* hashes of the states */
  GArray *nodes;       /* struct node; the first one is the state after the request */
  GPtrArray *frontier; /* struct snapshot, the states of the last depth */
  GPtrArray *next;     /* those found from them */
  unsigned depth_max;
  guint64 violations;
};

/* --- the reducer's memory --- */

#ifndef __SANITIZE_ADDRESS__
#define USE_REGION 1
#else
#define USE_REGION 0 /* the sanitizer needs the allocator: each state is reached by its events from the start */
#endif

/** struct line - a piece of the region */
struct line
{
  uint32_t index;
  char bytes[LINE_BYTES];
};

/** struct block - head of a piece of memory of the reducer */
struct block
{
  struct block *next; /* if it is free */
  size_t power;       /* its size is BLOCK_BYTES_MIN times two to this power */
};

/** struct region - all memory that the reducer allocates */
struct region
{
  _Alignas(PAGE_BYTES) size_t used;
  struct block *free[BLOCK_POWERS];
  _Alignas(LINE_BYTES) char bytes[REGION_BYTES];
};

static struct region region;
static struct region first_region;                /* of the state after the request */
static size_t region_used_max;                    /* what lies behind is zero */
static volatile bool changed_pages[REGION_PAGES]; /* by some state; the others are those of the first state */
static bool region_in_use;                        /* what is allocated now belongs to the reducer */

#if USE_REGION

/* The allocator of the C library, which stays behind the one below. */
void *__libc_malloc (size_t size);
void *__libc_calloc (size_t n, size_t size);
void *__libc_realloc (void *memory, size_t size);
void __libc_free (void *memory);

static bool
is_in_region (const void *memory)
{
  return (const char *) memory >= region.bytes && (const char *) memory < region.bytes + REGION_BYTES;
}

static size_t
block_size (size_t power)
{
  return (size_t) BLOCK_BYTES_MIN << power;
}

static void *
allocate_block (size_t size)
{
  size_t power = 0;
  while (block_size (power) < size + sizeof (struct block))
    power++;
  struct block *block = region.free[power];
  if (block)
    region.free[power] = block->next;
  else
    {
      block = (struct block *) (region.bytes + region.used);
      region.used += block_size (power);
      region_used_max = MAX (region_used_max, region.used);
      if (region.used > REGION_BYTES)
        abort ();
    }
  *block = (struct block){ .power = power };
  return block + 1;
}

void *
malloc (size_t size)
{
  return region_in_use ? allocate_block (size) : __libc_malloc (size);
}

void *
calloc (size_t n, size_t size)
{
  return region_in_use ? memset (allocate_block (n * size), 0, n * size) : __libc_calloc (n, size);
}

void
free (void *memory)
{
  if (!is_in_region (memory))
    {
      __libc_free (memory);
      return;
    }
  struct block *block = (struct block *) memory - 1;
  /* So that equal states are equal in what is free, too. */
  memset (memory, 0, block_size (block->power) - sizeof *block);
  block->next = region.free[block->power];
  region.free[block->power] = block;
}

void *
realloc (void *memory, size_t size)
{
  if (memory && !is_in_region (memory))
    return __libc_realloc (memory, size);
  void *moved = malloc (size);
  if (!memory)
    return moved;
  struct block *block = (struct block *) memory - 1;
  memcpy (moved, memory, MIN (size, block_size (block->power) - sizeof *block));
  free (memory);
  return moved;
}

#endif

static char *
page_at (struct region *copy, size_t page)
{
  return (char *) copy + page * PAGE_BYTES;
}

/* The pages are write-protected until they change. */
static void
handle_write (int signal_number, siginfo_t *info, void *context)
{
  size_t page = ((uintptr_t) info->si_addr - (uintptr_t) &region) / PAGE_BYTES;
  (void) context;
  if ((uintptr_t) info->si_addr < (uintptr_t) &region || page >= REGION_PAGES || changed_pages[page])
    {
      signal (signal_number, SIG_DFL);
      return;
    }
  changed_pages[page] = true;
  mprotect (page_at (&region, page), PAGE_BYTES, PROT_READ | PROT_WRITE);
}

static void
clear_region (void)
{
  mprotect (&region, sizeof region, PROT_READ | PROT_WRITE);
  memset (&region, 0, offsetof (struct region, bytes) + region_used_max);
  region_used_max = 0;
}

/* The region now holds the first state. */
static void
keep_first_region (void)
{
  const struct sigaction action = { .sa_sigaction = handle_write, .sa_flags = SA_SIGINFO };
  memcpy (&first_region, &region, sizeof region);
  memset ((void *) changed_pages, 0, sizeof changed_pages);
  sigaction (SIGSEGV, &action, NULL);
  if (mprotect (&region, sizeof region, PROT_READ) != 0)
    memset ((void *) changed_pages, true, sizeof changed_pages);
}

static void
copy_page_lines (GArray *lines, size_t page)
{
  for (size_t i = page * LINES_PER_PAGE; i < (page + 1) * LINES_PER_PAGE; i++)
    {
      const char *bytes = (const char *) &region + i * LINE_BYTES;
      struct line line = { .index = (uint32_t) i };
      if (memcmp (bytes, (const char *) &first_region + i * LINE_BYTES, LINE_BYTES) == 0)
        continue;
      memcpy (line.bytes, bytes, LINE_BYTES);
      g_array_append_val (lines, line);
    }
}

/* What differs from the first state. */
static GArray *
copy_lines (void)
{
  GArray *lines = g_array_new (FALSE, FALSE, sizeof (struct line));
  for (size_t page = 0; page < REGION_PAGES; page++)
    if (changed_pages[page])
      copy_page_lines (lines, page);
  return lines;
}

static void
restore_lines (const GArray *lines)
{
  for (size_t page = 0; page < REGION_PAGES; page++)
    if (changed_pages[page])
      memcpy (page_at (&region, page), page_at (&first_region, page), PAGE_BYTES);
  for (guint i = 0; i < lines->len; i++)
    {
      const struct line *line = &g_array_index (lines, struct line, i);
      memcpy ((char *) &region + (size_t) line->index * LINE_BYTES, line->bytes, LINE_BYTES);
    }
}

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
  region_in_use = run->in_region;
  hf_reduce (run->state, &event, &effects);
  region_in_use = false;
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
      g_assert_cmpint (run->now - run->state->now, <, HF_PAUSE_MS * HF_MS);
      run->wakeup_at = wakes ? 0 : run->wakeup_at;
      record (run, "tick");
      raise_event (run, (struct hf_event){ .kind = HF_EVENT_TICK });
    }
}

static void
pause_process (struct run *run, int ms)
{
  run->now += ms * HF_MS;
  run->wakeup_at = 0;
  record (run, "tick");
  raise_event (run, (struct hf_event){ .kind = HF_EVENT_TICK });
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
    case MOVE_PAUSE:
      pause_process (run, pauses_ms[move->choice]);
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
open_run (struct run *run, const struct search *search, bool in_region, GString *script)
{
  static const struct hf_settings settings
      = { .name = { "e1", 2 }, .failure_domain = { "d1", 2 }, .drain_wait_ms = 100, .shutdown_timeout_ms = 5000 };
  const struct request_kind *kind = search->kind;
  *run = (struct run){ .kind = kind, .in_region = in_region, .script = script };
  if (in_region)
    clear_region ();
  region_in_use = in_region;
  run->state = hf_state_new (&settings, 1);
  region_in_use = false;
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
  add_move (moves, MOVE_PAUSE, 0, G_N_ELEMENTS (pauses_ms));
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

static uint64_t
hash_timer (uint64_t hash, GSequenceIter *timer)
{
  return mix (hash, timer ? (uint64_t) ((const struct hf_timer *) g_sequence_get (timer))->due_at : 0);
}

static uint64_t
hash_servers (uint64_t hash, const struct run *run, uint64_t slice_id)
{
  const struct hf_service_state *service = hf_state_find_service (run->state, slice_id);
  for (guint i = 0; i < service->pool.servers->len; i++)
    {
      const struct hf_pool_server *server = &g_array_index (service->pool.servers, struct hf_pool_server, i);
      hash = mix (hash, (uint64_t) server->drain_until);
      hash = mix (hash, (uint64_t) server->ejected_until);
      hash = mix (mix (hash, server->granted), mix (server->consecutive_failures, server->slow_start_slots));
    }
  return hash;
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
      hash = hash_timer (hash_timer (hash, attempt->response_timer), attempt->slot_resend_timer);
    }
  hash = hash_timer (hash_timer (hash, call->deadline_timer), call->retry_timer);
  return hash_servers (hash, run, call->slice_id);
}

/* Whether the request has had its end on both sides. The reducer acts for the calls in its table only. */
static bool
is_over (const struct run *run)
{
  for (unsigned i = 0; i < run->n_attempts; i++)
    if (run->attempts[i].running)
      return false;
  return (run->ends == 1 || run->gone) && g_hash_table_size (run->state->calls) == 0;
}

/* Everything ends, and time passes: the request must have had its one end, and the entry nothing left of it.
 * @until_over: no longer than until then. */
static void
settle (struct run *run, bool until_over)
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
      if (until_over && is_over (run))
        return;
      apply_move (run, &move);
    }
  if (!run->violation && !run->gone && run->ends != 1)
    run->violation = "LOST: a request ends without an answer";
  if (!run->violation && g_hash_table_size (run->state->calls) > 0)
    run->violation = "a call is left when all is quiet";
}

static void
close_run (struct run *run)
{
  if (!run->in_region)
    hf_state_free (run->state);
}

static GArray *
list_path (const struct search *search, uint32_t node)
{
  GArray *path = g_array_new (FALSE, FALSE, sizeof (struct move));
  for (; node > 0; node = g_array_index (search->nodes, struct node, node).parent)
    g_array_prepend_val (path, g_array_index (search->nodes, struct node, node).move);
  return path;
}

static void
replay (const struct search *search, uint32_t node, GString *script, struct run *run)
{
  GArray *path = list_path (search, node);
  open_run (run, search, false, script);
  for (guint i = 0; i < path->len && !run->violation; i++)
    apply_move (run, &g_array_index (path, struct move, i));
  g_array_unref (path);
}

/* As a script, which becomes a regression test in tests/scripts. */
static void
print_path (const struct search *search, uint32_t node, const char *violation)
{
  struct run run;
  GString *script = g_string_new (NULL);
  replay (search, node, script, &run);
  if (!run.violation)
    settle (&run, false);
  printf ("# %s\n%s", violation, script->str);
  close_run (&run);
  g_string_free (script, TRUE);
}

static void
free_snapshot (void *data)
{
  struct snapshot *snapshot = data;
  g_array_unref (snapshot->lines);
  g_free (snapshot);
}

static struct snapshot *
take_snapshot (const struct run *run, uint32_t node)
{
  struct snapshot *snapshot = g_new (struct snapshot, 1);
  *snapshot = (struct snapshot){ .run = *run, .node = node, .lines = copy_lines () };
  return snapshot;
}

static void
enter_snapshot (const struct search *search, const struct snapshot *snapshot, struct run *run)
{
  if (!USE_REGION)
    {
      replay (search, snapshot->node, NULL, run);
      return;
    }
  restore_lines (snapshot->lines);
  *run = snapshot->run;
}

/* A copied state must be the one that its events lead to. */
static void
check_replay (const struct search *search, uint32_t node, uint64_t hash)
{
  struct run run;
  if (node % REPLAY_EVERY != 0)
    return;
  replay (search, node, NULL, &run);
  if (hash_run (&run) != hash)
    g_error ("state %u is not the one that its events lead to", node);
  close_run (&run);
}

/* Follows @run unless its state is known. */
static void
visit (struct search *search, struct run *run, const struct node *node, unsigned depth)
{
  uint64_t hash = hash_run (run);
  bool is_new = !run->violation && g_hash_table_add (search->known, GSIZE_TO_POINTER (hash));
  uint32_t index = search->nodes->len;
  if (is_new || run->violation)
    g_array_append_val (search->nodes, *node);
  if (is_new && depth < search->depth_max)
    g_ptr_array_add (search->next, take_snapshot (run, index));
  if (is_new)
    settle (run, depth > QUIET_DEPTH);
  if (run->violation)
    {
      search->violations++;
      print_path (search, index, run->violation);
    }
  else if (is_new)
    check_replay (search, index, hash);
}

static void
expand (struct search *search, const struct snapshot *snapshot, unsigned depth)
{
  GArray *moves = list_moves (&snapshot->run);
  for (guint i = 0; i < moves->len && search->violations == 0; i++)
    {
      struct run run;
      struct node node = { .parent = snapshot->node, .move = g_array_index (moves, struct move, i) };
      enter_snapshot (search, snapshot, &run);
      apply_move (&run, &node.move);
      visit (search, &run, &node, depth);
      close_run (&run);
    }
  g_array_unref (moves);
}

static void
print_progress (const struct search *search, unsigned depth)
{
  if (isatty (STDERR_FILENO))
    fprintf (stderr, "%s%s: depth %u, %u states\n", search->kind->method, search->kind->streamed ? " streamed" : "",
             depth, g_hash_table_size (search->known));
}

/* All states of one depth after those of the one before it. */
static void
search_deeper (struct search *search)
{
  struct run run;
  struct node request = { 0 };
  open_run (&run, search, USE_REGION, NULL);
  if (run.in_region)
    keep_first_region ();
  visit (search, &run, &request, 0);
  close_run (&run);
  for (unsigned depth = 1; depth <= search->depth_max && search->violations == 0; depth++)
    {
      g_ptr_array_unref (search->frontier);
      search->frontier = search->next;
      search->next = g_ptr_array_new_with_free_func (free_snapshot);
      for (guint i = 0; i < search->frontier->len && search->violations == 0; i++)
        expand (search, g_ptr_array_index (search->frontier, i), depth);
      print_progress (search, depth);
    }
}

static void
open_search (struct search *search)
{
  search->known = g_hash_table_new (g_direct_hash, g_direct_equal);
  search->nodes = g_array_new (FALSE, FALSE, sizeof (struct node));
  search->frontier = g_ptr_array_new_with_free_func (free_snapshot);
  search->next = g_ptr_array_new_with_free_func (free_snapshot);
}

static void
close_search (struct search *search)
{
  g_hash_table_destroy (search->known);
  g_array_unref (search->nodes);
  g_ptr_array_unref (search->frontier);
  g_ptr_array_unref (search->next);
}

/* What GLib registers once, such as types, must lie outside of the region: each first move is made without it first. */
static void
register_types (const struct search *search)
{
  struct run run;
  open_run (&run, search, false, NULL);
  GArray *moves = list_moves (&run);
  close_run (&run);
  for (guint i = 0; i < moves->len; i++)
    {
      open_run (&run, search, false, NULL);
      apply_move (&run, &g_array_index (moves, struct move, i));
      settle (&run, false);
      close_run (&run);
    }
  g_array_unref (moves);
}

/* GLib has an allocator of its own unless this is set before it starts. */
static void
restart_without_slices (char **argv)
{
  if (!USE_REGION || g_strcmp0 (g_getenv ("G_SLICE"), "always-malloc") == 0)
    return;
  g_setenv ("G_SLICE", "always-malloc", TRUE);
  execv ("/proc/self/exe", argv);
  g_error ("cannot restart: %s", g_strerror (errno));
}

int
main (int argc, char **argv)
{
  gint depth = DEPTH_DEFAULT;
  restart_without_slices (argv);
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
      struct search search = { .document = { text, size }, .kind = &request_kinds[i], .depth_max = (unsigned) depth };
      gint64 started_at = g_get_monotonic_time ();
      open_search (&search);
      register_types (&search);
      search_deeper (&search);
      printf ("%s%s: depth %d, %u states, %" G_GUINT64_FORMAT " violations, %.1f s\n", search.kind->method,
              search.kind->streamed ? " streamed" : "", depth, g_hash_table_size (search.known), search.violations,
              (double) (g_get_monotonic_time () - started_at) / G_USEC_PER_SEC);
      violations += search.violations;
      close_search (&search);
    }
  g_free (text);
  return violations > 0;
}
