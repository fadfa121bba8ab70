/**
 * DOC: hf-cold - requests started at cold backend servers
 *
 * A backend server is cold for a time after its start and may become cold again.
 * While it is, it tolerates few requests a second. The granter of a service counts
 * the starts at each server in a sliding window and grants no more than a limit.
 * The limit of all entries together is divided: the granter of most entries has
 * one share, and one that may not be the only granter has the other. It has no
 * clock and no I/O: the time is a parameter (microseconds).
 */
#ifndef HF_COLD_H
#define HF_COLD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* --- types --- */

/**
 * struct hf_cold_limits - limits of one pool
 * @enabled: cold servers are limited
 * @starts: in HF_COLD_WINDOW_MS, by the granter of more than half of the entries
 * @other_starts: the same, by a granter besides which there may be that one, or three others like it
 * @allowed: starts that this pool may grant now: one of these, or 0
 * @cold_us: how long a server is taken as cold of which nothing is known
 */
struct hf_cold_limits
{
  bool enabled;
  unsigned starts;
  unsigned other_starts;
  unsigned allowed;
  int64_t cold_us;
};

/** struct hf_cold - one backend server; may be set to zero, is closed by hf_cold_close */
struct hf_cold
{
  int64_t until;         /* it is cold until then; 0: it is not */
  int64_t shared_until;  /* the other entries know that it is cold until then; 0: they know nothing */
  int64_t response_at;   /* its last response that told; 0: none */
  GArray *recent_starts; /* int64_t, times of the last ones, the newest at the end; NULL: none */
};

/* --- public functions: limits --- */

/* per_s: starts a second that a cold server tolerates; overshoot: factor on them; slack: starts beyond that in a
 * second. One of the first two is 0: not enabled. */
struct hf_cold_limits hf_cold_make_limits (double per_s, double overshoot, double slack, int64_t cold_us);

/* --- public functions: starts --- */

bool hf_cold_is_limited (const struct hf_cold_limits *limits, const struct hf_cold *cold, int64_t now); /* and cold */
bool hf_cold_allows_start (const struct hf_cold_limits *limits, const struct hf_cold *cold, int64_t now);
void hf_cold_count_start (const struct hf_cold_limits *limits, struct hf_cold *cold, int64_t now);

/* Slots that the limit keeps busy: the allowed rate of starts times the latency. */
double hf_cold_busy_slots (const struct hf_cold_limits *limits, double latency_us);

/* --- public functions: state of a server --- */

/* The server told in a response how long it stays cold. The latest end that is known counts; 0 ends the cold time. */
void hf_cold_record_response (struct hf_cold *cold, int64_t now, int64_t remaining_us);

/* The same from the directory, whose copies are older: 0 does not end a cold time that a response told lately. */
void hf_cold_record_listing (struct hf_cold *cold, int64_t now, int64_t remaining_us);
/* It is cold at least for that time, as all entries know. */
void hf_cold_assume (struct hf_cold *cold, int64_t now, int64_t remaining_us);
bool hf_cold_is_known_here_only (const struct hf_cold *cold, int64_t now); /* it is cold, and the others do not know */
void hf_cold_close (struct hf_cold *cold);

#endif
