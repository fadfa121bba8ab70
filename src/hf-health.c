/* Speed, failures and availability of a backend server. */
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
count_ejected (GArray *servers, int64_t now)
{
  size_t n = 0;
  for (size_t i = 0; i < servers->len; i++)
    n += server_at (servers, i)->ejected_until > now;
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
read_latency (const struct hf_pool_server *server)
{
  return server->latency_us;
}

static double
read_failure_rate (const struct hf_pool_server *server)
{
  return server->failure_rate;
}

/* Over the servers with enough samples; 0: there are none. @upper: which of the two in the middle of an even number. */
static double
find_median (GArray *servers, double (*read) (const struct hf_pool_server *server), bool upper)
{
  GArray *values = g_array_new (FALSE, FALSE, sizeof (double));
  double median = 0;
  for (size_t i = 0; i < servers->len; i++)
    {
      double value = read (server_at (servers, i));
      if (server_at (servers, i)->samples >= HF_EJECT_MIN_SAMPLES)
        g_array_append_val (values, value);
    }
  g_array_sort (values, compare_double);
  if (values->len > 0)
    median = g_array_index (values, double, (values->len - (upper ? 0 : 1)) / 2);
  g_array_unref (values);
  return median;
}

/* Ejects a server for a time, but never more than 1 / HF_EJECT_SERVERS_DIVISOR of the service. */
static void
eject (GArray *servers, struct hf_pool_server *server, int64_t now, enum hf_ejection_reason reason)
{
  if (server->ejected_until > now)
    return;
  if ((count_ejected (servers, now) + 1) * HF_EJECT_SERVERS_DIVISOR > servers->len)
    return;
  int64_t duration_ms = HF_EJECT_BASE_MS << MIN (server->ejections, 5U);
  server->ejected_until = now + MIN (duration_ms, HF_EJECT_MAX_MS) * HF_MS;
  server->ejections++;
  server->ejection_reason = reason;
  server->slow_start_slots = 1;
  server->slow_start_successes = 0;
  server->consecutive_failures = 0;
  server->samples = 0;
  server->failure_rate = 0;
}

/* A server that fails no more than the others is not ejected: where all of a service refuse a part of their requests,
 * ejections would only add their slots to what is missing. */
static bool
fails_more_than_others (GArray *servers, const struct hf_pool_server *server)
{
  return server->failure_rate - find_median (servers, read_failure_rate, false) >= HF_EJECT_FAILURE_RATE_EXCESS;
}

static void
record_failure (GArray *servers, struct hf_pool_server *server, int64_t now)
{
  server->failure_rate += HF_HEALTH_EWMA_WEIGHT * (1.0 - server->failure_rate);
  server->consecutive_failures++;
  server->samples++;
  bool mostly_failing = server->samples >= HF_EJECT_MIN_SAMPLES && server->failure_rate > 0.5;
  bool failing = server->consecutive_failures >= HF_EJECT_CONSECUTIVE_FAILURES || mostly_failing;
  if (failing && fails_more_than_others (servers, server))
    eject (servers, server, now, HF_EJECTED_FAILURES);
}

static void
record_latency (GArray *servers, struct hf_pool_server *server, int64_t now, int64_t latency_us)
{
  double weight = server->samples == 0 ? 1.0 : MAX (HF_HEALTH_EWMA_WEIGHT, 1.0 / (server->samples + 1));
  server->latency_us += weight * ((double) latency_us - server->latency_us);
  server->samples++;
  if (server->samples < HF_EJECT_MIN_SAMPLES || server->samples % HF_EJECT_MIN_SAMPLES != 0)
    return;
  double median = find_median (servers, read_latency, true);
  if (median > 0 && server->latency_us > HF_EJECT_LATENCY_RATIO * median)
    eject (servers, server, now, HF_EJECTED_LATENCY);
}

static void
record_success (GArray *servers, struct hf_pool_server *server, int64_t now, int64_t latency_us)
{
  server->failure_rate -= HF_HEALTH_EWMA_WEIGHT * server->failure_rate;
  server->consecutive_failures = 0;
  server->last_response_at = now;
  server->connection_lost_at = 0;
  if (server->slow_start_slots < server->slots && ++server->slow_start_successes >= HF_SLOW_START_SUCCESSES)
    {
      server->slow_start_slots++;
      server->slow_start_successes = 0;
    }
  if (server->slow_start_slots >= server->slots && server->samples > 4 * HF_EJECT_MIN_SAMPLES)
    server->ejections = 0;
  record_latency (servers, server, now, latency_us);
}

static bool
reports_speed (const struct hf_pool_server *server)
{
  return server->slowdown_percent > 0;
}

/* --- public functions --- */

void
hf_health_record_result (GArray *servers,
                         struct hf_pool_server *server,
                         int64_t now,
                         enum hf_slot_result result,
                         int64_t latency_us)
{
  switch (result)
    {
    case HF_SLOT_OK:
      record_success (servers, server, now, latency_us);
      break;
    case HF_SLOT_FAILED:
      record_failure (servers, server, now);
      break;
    case HF_SLOT_CONNECTION_LOST:
      if (server->connection_lost_at == 0)
        server->connection_lost_at = now;
      record_failure (servers, server, now);
      /* A server that reports its speed is measured, and unanswered measurements show whether it is down. */
      if (!reports_speed (server))
        eject (servers, server, now, HF_EJECTED_CONNECTION_LOST);
      break;
    case HF_SLOT_TIMED_OUT:
      record_latency (servers, server, now, latency_us);
      record_failure (servers, server, now);
      break;
    case HF_SLOT_SUPERSEDED:
      if ((double) latency_us > server->latency_us)
        record_latency (servers, server, now, latency_us);
      break;
    case HF_SLOT_REFUSED:
      if (reports_speed (server))
        {
          /* A server that reports its speed should have a free slot: its refusal counts as a failure. */
          record_failure (servers, server, now);
          break;
        }
      /* The server is full although a slot seemed free: halve its slots, then slow start. */
      server->slow_start_slots = MAX (1U, server->slow_start_slots / 2);
      server->slow_start_successes = 0;
      break;
    case HF_SLOT_UNUSED:
    case HF_SLOT_RETURNED:
      break;
    }
}

void
hf_health_record_slowdown (struct hf_pool_server *server, int64_t now, int percent)
{
  if (percent <= 0)
    return;
  server->slowdown_percent = percent;
  server->slowdown_reported_at = now;
  server->measurement_unanswered_since = 0;
  if (percent <= HF_SLOWDOWN_NORMAL_MAX_PERCENT)
    {
      server->slow_since = 0;
      return;
    }
  server->last_slow_at = now;
  if (server->slow_since == 0)
    server->slow_since = now;
}

void
hf_health_measurement_sent (struct hf_pool_server *server, int64_t now)
{
  server->measurement_sent_at = now;
  if (server->measurement_unanswered_since == 0)
    server->measurement_unanswered_since = now;
}

enum hf_speed
hf_health_speed (const struct hf_pool_server *server, int64_t now)
{
  if (server->slowdown_percent <= 0)
    return HF_SPEED_NEVER_REPORTED;
  if (now - server->slowdown_reported_at > HF_SPEED_FRESH_MS * HF_MS)
    return HF_SPEED_STALE;
  if (server->slow_since == 0)
    return HF_SPEED_NORMAL;
  return now - server->slow_since >= HF_SLOW_PERSISTENT_MS * HF_MS ? HF_SPEED_PERSISTENTLY_SLOW : HF_SPEED_SLOW;
}

/* A reported slowdown is valid for a short time only. Its weight decays, and the
 * factor approaches the one expected from the usual share of slow phases. */
double
hf_health_latency_factor (const struct hf_pool_server *server, int64_t now)
{
  double warmup_factor = server->warmup_until > now ? HF_WARMUP_LATENCY_FACTOR : 1.0;
  if (server->slowdown_percent <= 0)
    return warmup_factor;
  double reported = MIN (server->slowdown_percent / 100.0, HF_SLOWDOWN_FACTOR_MAX);
  double age = (double) (now - server->slowdown_reported_at);
  double weight = exp (-age / (HF_SLOWDOWN_DECAY_MS * HF_MS));
  return warmup_factor * (HF_SLOWDOWN_FACTOR_DEFAULT + (reported - HF_SLOWDOWN_FACTOR_DEFAULT) * weight);
}

bool
hf_health_reports_normal_speed (const struct hf_pool_server *server, int64_t now)
{
  bool fresh = now - server->slowdown_reported_at < HF_SLOWDOWN_DECAY_MS * HF_MS;
  return fresh && server->slowdown_percent > 0 && server->slowdown_percent <= HF_SLOWDOWN_NORMAL_MAX_PERCENT;
}

bool
hf_health_is_draining (const struct hf_pool_server *server, int64_t now)
{
  if (server->drain_sources
      & (HF_DRAIN_DOCUMENT | HF_DRAIN_VM_LIST | HF_DRAIN_DIRECTORY | HF_DRAIN_LEAVING | HF_DRAIN_EVACUATED))
    return true;
  return server->drain_sources != 0 && now < server->drain_until;
}

bool
hf_health_is_unresponsive (const struct hf_pool_server *server)
{
  return server->unanswered_measurements >= HF_MEASURES_UNANSWERED_LIMIT;
}

bool
hf_health_is_usable (const struct hf_pool_server *server, int64_t now)
{
  return !hf_health_is_draining (server, now) && server->ejected_until <= now && !hf_health_is_unresponsive (server);
}

unsigned
hf_health_usable_slots (const struct hf_pool_server *server)
{
  return MIN (server->slots, server->slow_start_slots);
}
