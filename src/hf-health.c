/* What is known of a backend server. */
#include "hf-health.h"

#include <math.h>

#include "config.h"

/* --- internal functions --- */

static struct hf_pool_server *
server_at (GArray *servers, size_t i)
{
  return &g_array_index (servers, struct hf_pool_server, i);
}

static size_t
count_out (GArray *servers, int64_t now)
{
  size_t n = 0;
  for (size_t i = 0; i < servers->len; i++)
    n += server_at (servers, i)->out_until > now;
  return n;
}

static int
compare_double (gconstpointer a, gconstpointer b)
{
  double left = *(const double *) a;
  double right = *(const double *) b;
  return left < right ? -1 : left > right;
}

static double
median_latency (GArray *servers)
{
  GArray *values = g_array_new (FALSE, FALSE, sizeof (double));
  double median = 0;
  for (size_t i = 0; i < servers->len; i++)
    if (server_at (servers, i)->samples >= HF_STRAGGLER_SAMPLES)
      g_array_append_val (values, server_at (servers, i)->latency_us);
  g_array_sort (values, compare_double);
  if (values->len > 0)
    median = g_array_index (values, double, values->len / 2);
  g_array_unref (values);
  return median;
}

/* Takes a server out for a time, but never more than a share of the service. */
static void
take_out (GArray *servers, struct hf_pool_server *server, int64_t now, enum hf_out_reason reason)
{
  if (server->out_until > now)
    return;
  if ((count_out (servers, now) + 1) * HF_OUT_SHARE_MAX > servers->len)
    return;
  int64_t time = HF_OUT_BASE_MS << MIN (server->out_times, 5U);
  server->out_until = now + MIN (time, HF_OUT_MAX_MS) * HF_MS;
  server->out_times++;
  server->out_reason = reason;
  server->ramp = 1;
  server->ramp_ok = 0;
  server->failures_in_row = 0;
  server->samples = 0;
  server->failure = 0;
}

static void
learn_failure (GArray *servers, struct hf_pool_server *server, int64_t now)
{
  server->failure += HF_EWMA_WEIGHT * (1.0 - server->failure);
  server->failures_in_row++;
  server->samples++;
  bool often = server->samples >= HF_STRAGGLER_SAMPLES && server->failure > 0.5;
  if (server->failures_in_row >= HF_FAILURES_TO_OUT || often)
    take_out (servers, server, now, HF_OUT_FAILURES);
}

static void
learn_latency (GArray *servers, struct hf_pool_server *server, int64_t now, int64_t latency_us)
{
  double weight = server->samples == 0 ? 1.0 : MAX (HF_EWMA_WEIGHT, 1.0 / (server->samples + 1));
  server->latency_us += weight * ((double) latency_us - server->latency_us);
  server->samples++;
  if (server->samples < HF_STRAGGLER_SAMPLES || server->samples % HF_STRAGGLER_SAMPLES != 0)
    return;
  double median = median_latency (servers);
  if (median > 0 && server->latency_us > HF_STRAGGLER_RATIO * median)
    take_out (servers, server, now, HF_OUT_SLOW);
}

static void
learn_success (GArray *servers, struct hf_pool_server *server, int64_t now, int64_t latency_us)
{
  server->failure -= HF_EWMA_WEIGHT * server->failure;
  server->failures_in_row = 0;
  server->answered_at = now;
  server->broken_at = 0;
  if (server->ramp < server->slots && ++server->ramp_ok >= HF_RAMP_SUCCESSES)
    {
      server->ramp++;
      server->ramp_ok = 0;
    }
  if (server->ramp >= server->slots && server->samples > 4 * HF_STRAGGLER_SAMPLES)
    server->out_times = 0;
  learn_latency (servers, server, now, latency_us);
}

static bool
is_measured (const struct hf_pool_server *server)
{
  return server->slowdown_percent > 0;
}

/* --- public functions --- */

void
hf_health_learn (GArray *servers,
                 struct hf_pool_server *server,
                 int64_t now,
                 enum hf_pool_result result,
                 int64_t latency_us)
{
  switch (result)
    {
    case HF_POOL_OK:
      learn_success (servers, server, now, latency_us);
      break;
    case HF_POOL_FAILED:
      learn_failure (servers, server, now);
      break;
    case HF_POOL_BROKEN:
      if (server->broken_at == 0)
        server->broken_at = now;
      learn_failure (servers, server, now);
      /* One that is measured shows by itself whether it lives. */
      if (!is_measured (server))
        take_out (servers, server, now, HF_OUT_BROKEN);
      break;
    case HF_POOL_SLOW:
      learn_latency (servers, server, now, latency_us);
      learn_failure (servers, server, now);
      break;
    case HF_POOL_LATE:
      if ((double) latency_us > server->latency_us)
        learn_latency (servers, server, now, latency_us);
      break;
    case HF_POOL_REFUSED:
      if (is_measured (server))
        {
          /* It refuses although it says that it has room. */
          learn_failure (servers, server, now);
          break;
        }
      /* No room there although a slot seemed free: step down, then ramp up. */
      server->ramp = MAX (1U, server->ramp / 2);
      server->ramp_ok = 0;
      break;
    case HF_POOL_UNUSED:
      break;
    }
}

void
hf_health_note_slowdown (struct hf_pool_server *server, int64_t now, int percent)
{
  if (percent <= 0)
    return;
  server->slowdown_percent = percent;
  server->slowdown_at = now;
  server->unanswered_since = 0;
  if (percent <= HF_CROWDING_CALM)
    {
      server->slow_since = 0;
      return;
    }
  server->slow_at = now;
  if (server->slow_since == 0)
    server->slow_since = now;
}

void
hf_health_note_asked (struct hf_pool_server *server, int64_t now)
{
  server->asked_at = now;
  if (server->unanswered_since == 0)
    server->unanswered_since = now;
}

enum hf_speed
hf_health_speed (const struct hf_pool_server *server, int64_t now)
{
  if (server->slowdown_percent <= 0)
    return HF_SPEED_UNTOLD;
  if (now - server->slowdown_at > HF_SPEED_FRESH_MS * HF_MS)
    return HF_SPEED_OLD;
  if (server->slow_since == 0)
    return HF_SPEED_USUAL;
  return now - server->slow_since >= HF_SLOW_LASTING_MS * HF_MS ? HF_SPEED_LASTING : HF_SPEED_SLOW;
}

/* What a server says of its speed holds for a short time only; then the usual
 * share of slow times is expected. */
double
hf_health_factor (const struct hf_pool_server *server, int64_t now)
{
  double cold = server->cold_until > now ? HF_COLD_FACTOR : 1.0;
  if (server->slowdown_percent <= 0)
    return cold;
  double said = MIN (server->slowdown_percent / 100.0, HF_SLOWDOWN_FACTOR_MAX);
  double age = (double) (now - server->slowdown_at);
  double trust = exp (-age / (HF_SLOWDOWN_LIFE_MS * HF_MS));
  return cold * (HF_SLOWDOWN_FACTOR_USUAL + (said - HF_SLOWDOWN_FACTOR_USUAL) * trust);
}

bool
hf_health_is_leaving (const struct hf_pool_server *server, int64_t now)
{
  if (server->leaving & (HF_LEAVING_DOCUMENT | HF_LEAVING_VM_LIST | HF_LEAVING_DIRECTORY))
    return true;
  return server->leaving != 0 && now < server->leaving_until;
}

bool
hf_health_is_usable (const struct hf_pool_server *server, int64_t now)
{
  bool silent = server->silent_measures >= HF_MEASURES_SILENT;
  return !hf_health_is_leaving (server, now) && server->out_until <= now && !silent;
}

unsigned
hf_health_slots (const struct hf_pool_server *server)
{
  return MIN (server->slots, server->ramp);
}
