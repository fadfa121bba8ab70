/* Requests started at cold backend servers. */
#include "hf-cold.h"

#include <math.h>

#include "hf-base.h"

#include "config.h"

/* --- internal functions --- */

static unsigned
count_recent (const struct hf_cold *cold, int64_t now)
{
  unsigned n = 0;
  guint length = cold->recent_starts ? cold->recent_starts->len : 0;
  while (n < length && now - g_array_index (cold->recent_starts, int64_t, length - 1 - n) < HF_COLD_WINDOW_MS * HF_MS)
    n++;
  return n;
}

static unsigned
round_down (double number)
{
  return (unsigned) CLAMP (floor (number), 0, HF_COLD_STARTS_MAX);
}

/* --- public functions --- */

struct hf_cold_limits
hf_cold_make_limits (double per_s, double overshoot, double slack, int64_t cold_us)
{
  double rate = per_s * overshoot;
  if (!(rate > 0))
    return (struct hf_cold_limits){ 0 };
  struct hf_cold_limits limits = { .enabled = true, .cold_us = cold_us };
  limits.starts = round_down (rate + slack / 2);
  limits.other_starts = round_down (rate + slack) - limits.starts;
  return limits;
}

bool
hf_cold_is_limited (const struct hf_cold_limits *limits, const struct hf_cold *cold, int64_t now)
{
  return limits->enabled && cold->until > now;
}

bool
hf_cold_allows_start (const struct hf_cold_limits *limits, const struct hf_cold *cold, int64_t now)
{
  return !hf_cold_is_limited (limits, cold, now) || count_recent (cold, now) < limits->allowed;
}

/* Starts at a server that is not cold count, too: it may become cold within the window. More than the limit need not be
 * known. */
void
hf_cold_count_start (const struct hf_cold_limits *limits, struct hf_cold *cold, int64_t now)
{
  if (!limits->enabled || limits->starts == 0)
    return;
  if (!cold->recent_starts)
    cold->recent_starts = g_array_new (FALSE, FALSE, sizeof (int64_t));
  if (cold->recent_starts->len >= limits->starts)
    g_array_remove_range (cold->recent_starts, 0, cold->recent_starts->len + 1 - limits->starts);
  g_array_append_val (cold->recent_starts, now);
}

double
hf_cold_busy_slots (const struct hf_cold_limits *limits, double latency_us)
{
  return limits->allowed * latency_us / (HF_COLD_WINDOW_MS * HF_MS);
}

void
hf_cold_record_response (struct hf_cold *cold, int64_t now, int64_t remaining_us)
{
  cold->response_at = now;
  cold->until = remaining_us > 0 ? MAX (cold->until, now + remaining_us) : 0;
}

void
hf_cold_record_listing (struct hf_cold *cold, int64_t now, int64_t remaining_us)
{
  bool told_lately = cold->response_at > 0 && now - cold->response_at < HF_COLD_RESPONSE_FRESH_MS * HF_MS;
  if (remaining_us > 0)
    hf_cold_assume (cold, now, remaining_us);
  else if (!told_lately)
    cold->until = 0;
}

void
hf_cold_assume (struct hf_cold *cold, int64_t now, int64_t remaining_us)
{
  cold->until = MAX (cold->until, now + remaining_us);
  cold->shared_until = MAX (cold->shared_until, now + remaining_us);
}

bool
hf_cold_is_known_here_only (const struct hf_cold *cold, int64_t now)
{
  return cold->until > now && cold->until > cold->shared_until + HF_COLD_SHARED_MS * HF_MS;
}

void
hf_cold_close (struct hf_cold *cold)
{
  g_clear_pointer (&cold->recent_starts, g_array_unref);
}
