/* Log lines on the progress of a request. */
#include "hf-trace.h"

#include <string.h>

#include "hf-organisations.h"

/* --- constants --- */

static const char *const result_names[] = {
  [HF_ATTEMPT_ANSWERED] = "answered", [HF_ATTEMPT_CONNECT_FAILED] = "no-connection",
  [HF_ATTEMPT_BROKEN] = "broken",     [HF_ATTEMPT_TRUNCATED] = "short",
  [HF_ATTEMPT_TIMEOUT] = "timeout",   [HF_ATTEMPT_CANCELLED] = "cancelled",
};

static const char *const outcome_names[]
    = { [HF_OUTCOME_ANSWERED] = "answered", [HF_OUTCOME_NOT_RUN] = "not-run", [HF_OUTCOME_UNKNOWN] = "unknown" };

/* --- internal functions --- */

static void
add_log_line (struct hf_state *state,
              enum hf_log_event_number number,
              struct hf_str request_id,
              const struct hf_log_field *fields,
              size_t n)
{
  struct hf_log_field *copies = hf_effects_alloc (state->effects, (n + 1) * sizeof *copies);
  struct hf_effect effect
      = { .kind = HF_EFFECT_LOG, .log_number = number, .log_fields = copies, .n_log_fields = n + 1 };
  effect.name = hf_effects_copy (state->effects, request_id);
  copies[0] = HF_LOG_TEXT ("request", effect.name);
  for (size_t i = 0; i < n; i++)
    {
      copies[i + 1] = fields[i];
      if (fields[i].is_text)
        copies[i + 1].text = hf_effects_copy (state->effects, fields[i].text);
    }
  hf_effects_add (state->effects, effect);
}

static int64_t
elapsed_ms (const struct hf_state *state, int64_t at)
{
  return (state->now - at) / HF_MS;
}

static struct hf_str
slot_source (const struct hf_attempt *attempt)
{
  return hf_str (attempt->granter ? "granter" : "own pool");
}

static struct hf_str
server_name (const struct hf_state *state, const struct hf_call *call, unsigned attempt)
{
  const struct hf_service_state *service = hf_state_find_service (state, call->slice_id);
  const struct hf_pool_server *server
      = service ? hf_pool_find_server (&service->pool, call->attempts[attempt].server) : NULL;
  return server ? server->name : hf_str ("no longer listed");
}

/* --- public functions --- */

void
hf_trace_request_routed (struct hf_state *state, const struct hf_call *call)
{
  struct hf_str organisation = call->organisation ? call->organisation->name : hf_str ("");
  const struct hf_log_field fields[] = { HF_LOG_TEXT ("class", call->class->name),
                                         HF_LOG_TEXT ("service", call->service->name),
                                         HF_LOG_INT ("generation", call->document->generation),
                                         HF_LOG_INT ("deadline_ms", -elapsed_ms (state, call->deadline)),
                                         HF_LOG_INT ("aim_ms", -elapsed_ms (state, call->soft_deadline)),
                                         HF_LOG_INT ("body_bytes", call->body_bytes),
                                         HF_LOG_TEXT ("organisation", organisation) };
  size_t n = call->organisation ? G_N_ELEMENTS (fields) : G_N_ELEMENTS (fields) - 1;
  add_log_line (state, HF_LOG_REQUEST_ROUTED, call->request_id, fields, n);
}

void
hf_trace_request_queued (struct hf_state *state, const struct hf_call *call, unsigned attempt)
{
  const struct hf_log_field fields[]
      = { HF_LOG_INT ("attempt", attempt), HF_LOG_TEXT ("by", slot_source (&call->attempts[attempt])) };
  add_log_line (state, HF_LOG_REQUEST_QUEUED, call->request_id, fields, G_N_ELEMENTS (fields));
}

void
hf_trace_request_referred (struct hf_state *state, const struct hf_call *call, unsigned attempt)
{
  const struct hf_log_field fields[]
      = { HF_LOG_INT ("attempt", attempt), HF_LOG_TEXT ("by", slot_source (&call->attempts[attempt])) };
  add_log_line (state, HF_LOG_REQUEST_REFERRED, call->request_id, fields, G_N_ELEMENTS (fields));
}

void
hf_trace_slot_denied (struct hf_state *state, const struct hf_call *call, unsigned attempt, const char *reason)
{
  const struct hf_attempt *denied = &call->attempts[attempt];
  const struct hf_log_field fields[]
      = { HF_LOG_INT ("attempt", attempt), HF_LOG_TEXT ("reason", hf_str (reason)),
          HF_LOG_TEXT ("by", slot_source (denied)),
          HF_LOG_INT ("waited_ms", elapsed_ms (state, denied->slot_first_requested_at)) };
  add_log_line (state, HF_LOG_SLOT_DENIED, call->request_id, fields, G_N_ELEMENTS (fields));
}

void
hf_trace_slot_returned (struct hf_state *state,
                        const struct hf_call *call,
                        unsigned attempt,
                        const struct hf_pool_server *server)
{
  bool draining = hf_health_is_draining (server, state->now);
  bool evacuated = (server->drain_sources & HF_DRAIN_EVACUATED) != 0;
  const char *drains = evacuated ? "its failure domain is evacuated" : "it is draining";
  const struct hf_log_field fields[]
      = { HF_LOG_INT ("attempt", attempt), HF_LOG_TEXT ("server", server->name),
          HF_LOG_TEXT ("by", slot_source (&call->attempts[attempt])),
          HF_LOG_TEXT ("reason", hf_str (draining ? drains : "it wants no requests for a time")) };
  add_log_line (state, HF_LOG_SLOT_RETURNED, call->request_id, fields, G_N_ELEMENTS (fields));
}

void
hf_trace_request_sent (struct hf_state *state,
                       const struct hf_call *call,
                       unsigned attempt,
                       const struct hf_pool_server *server)
{
  const struct hf_attempt *sent = &call->attempts[attempt];
  const struct hf_log_field fields[] = {
    HF_LOG_INT ("attempt", attempt),
    HF_LOG_TEXT ("server", server->name),
    HF_LOG_TEXT ("by", slot_source (sent)),
    HF_LOG_INT ("waited_ms", elapsed_ms (state, sent->slot_first_requested_at)),
    HF_LOG_INT ("remaining_ms", -elapsed_ms (state, call->deadline)),
    HF_LOG_INT ("slowdown_percent", server->slowdown_percent),
    HF_LOG_INT ("slowdown_age_ms", server->slowdown_percent ? elapsed_ms (state, server->slowdown_reported_at) : -1),
    HF_LOG_INT ("server_latency_ms", server->latency_us / HF_MS),
  };
  add_log_line (state, HF_LOG_REQUEST_SENT, call->request_id, fields, G_N_ELEMENTS (fields));
}

void
hf_trace_attempt_ended (struct hf_state *state,
                        const struct hf_call *call,
                        unsigned attempt,
                        const struct hf_event *event)
{
  const struct hf_attempt *ended = &call->attempts[attempt];
  bool succeeded = event->result == HF_ATTEMPT_ANSWERED && event->hints.status < 500;
  const struct hf_log_field fields[]
      = { HF_LOG_INT ("attempt", attempt),
          HF_LOG_TEXT ("server", server_name (state, call, attempt)),
          HF_LOG_TEXT ("result", hf_str (result_names[event->result])),
          HF_LOG_INT ("status", event->hints.status),
          HF_LOG_INT ("not_run", event->hints.not_run),
          HF_LOG_INT ("handed", event->bytes_sent),
          HF_LOG_INT ("latency_ms", elapsed_ms (state, ended->started_at)),
          HF_LOG_INT ("slowdown_percent", event->hints.slowdown_percent),
          HF_LOG_INT ("connection", event->connection.number),
          HF_LOG_INT ("earlier_requests", event->connection.earlier_requests),
          HF_LOG_TEXT ("connection_end", hf_str (hf_stream_end_name (event->connection_end))) };
  bool tells_end = !succeeded && event->connection_end != HF_STREAM_OPEN;
  add_log_line (state, succeeded ? HF_LOG_ATTEMPT_ENDED : HF_LOG_ATTEMPT_FAILED, call->request_id, fields,
                G_N_ELEMENTS (fields) - (tells_end ? 0 : 1));
}

void
hf_trace_retry (struct hf_state *state, const struct hf_call *call, const char *reason)
{
  const struct hf_log_field fields[]
      = { HF_LOG_INT ("attempt", call->n_attempts - 1), HF_LOG_TEXT ("why", hf_str (reason)),
          HF_LOG_INT ("remaining_ms", -elapsed_ms (state, call->deadline)),
          HF_LOG_INT ("aim_ms", -elapsed_ms (state, call->soft_deadline)) };
  add_log_line (state, HF_LOG_REQUEST_AGAIN, call->request_id, fields, G_N_ELEMENTS (fields));
}

void
hf_trace_request_refused (struct hf_state *state, const struct hf_event *event, unsigned status, const char *reason)
{
  const struct hf_log_field fields[] = { HF_LOG_INT ("status", status), HF_LOG_TEXT ("reason", hf_str (reason)),
                                         HF_LOG_INT ("generation", hf_state_generation (state)) };
  add_log_line (state, HF_LOG_REQUEST_REFUSED, event->request.id, fields, G_N_ELEMENTS (fields));
}

void
hf_trace_request_unauthorised (struct hf_state *state,
                               const struct hf_event *event,
                               const struct hf_request_class *class,
                               const char *reason)
{
  char digest[HF_KEY_DIGEST_CHARS + 1] = "";
  if (event->request.organisation_key.len > 0)
    hf_organisations_key_digest (event->request.organisation_key, digest);
  const struct hf_log_field fields[]
      = { HF_LOG_INT ("status", 401), HF_LOG_TEXT ("reason", hf_str (reason)), HF_LOG_TEXT ("class", class->name),
          HF_LOG_TEXT ("key_digest", hf_str (digest)), HF_LOG_INT ("generation", hf_state_generation (state)) };
  add_log_line (state, HF_LOG_REQUEST_UNAUTHORISED, event->request.id, fields, G_N_ELEMENTS (fields));
}

void
hf_trace_request_over_quota (struct hf_state *state, const struct hf_call *call, int64_t retry_after_ms)
{
  uint64_t owner = call->quota.credit.owner;
  const struct hf_member *member = hf_state_find_member (state, owner);
  struct hf_str name = owner == state->boot_id ? state->name : member ? member->name : hf_str ("");
  const char *reason
      = owner ? "the organisation is beyond its limit" : "no entry that may give credits to the organisation responds";
  const struct hf_log_field fields[] = { HF_LOG_INT ("status", 429),
                                         HF_LOG_TEXT ("outcome", hf_str (outcome_names[HF_OUTCOME_NOT_RUN])),
                                         HF_LOG_TEXT ("reason", hf_str (reason)),
                                         HF_LOG_TEXT ("organisation", call->organisation->name),
                                         HF_LOG_INT ("rate_per_s", call->organisation->rate_per_s),
                                         HF_LOG_INT ("burst", call->organisation->burst),
                                         HF_LOG_TEXT ("by", name),
                                         HF_LOG_INT ("retry_after_ms", retry_after_ms),
                                         HF_LOG_INT ("total_ms", elapsed_ms (state, call->arrived_at)) };
  add_log_line (state, HF_LOG_REQUEST_REFUSED, call->request_id, fields, G_N_ELEMENTS (fields));
}

void
hf_trace_request_failed (struct hf_state *state,
                         const struct hf_call *call,
                         unsigned status,
                         enum hf_outcome outcome,
                         int64_t retry_after_ms,
                         const char *reason)
{
  const struct hf_log_field fields[] = { HF_LOG_INT ("status", status),
                                         HF_LOG_TEXT ("outcome", hf_str (outcome_names[outcome])),
                                         HF_LOG_TEXT ("reason", hf_str (reason)),
                                         HF_LOG_INT ("retry_after_ms", retry_after_ms),
                                         HF_LOG_INT ("attempts", call->n_attempts),
                                         HF_LOG_INT ("total_ms", elapsed_ms (state, call->arrived_at)) };
  enum hf_log_event_number number = outcome == HF_OUTCOME_NOT_RUN ? HF_LOG_REQUEST_REFUSED : HF_LOG_REQUEST_FAILED;
  add_log_line (state, number, call->request_id, fields, G_N_ELEMENTS (fields));
}

void
hf_trace_request_answered (struct hf_state *state, const struct hf_call *call, unsigned attempt)
{
  const struct hf_log_field fields[]
      = { HF_LOG_INT ("attempt", attempt), HF_LOG_TEXT ("server", server_name (state, call, attempt)),
          HF_LOG_INT ("attempts", call->n_attempts), HF_LOG_INT ("total_ms", elapsed_ms (state, call->arrived_at)),
          HF_LOG_INT ("aim_ms", -elapsed_ms (state, call->soft_deadline)) };
  add_log_line (state, HF_LOG_REQUEST_ANSWERED, call->request_id, fields, G_N_ELEMENTS (fields));
}

void
hf_trace_response_aborted (struct hf_state *state, const struct hf_call *call)
{
  const struct hf_log_field fields[]
      = { HF_LOG_INT ("attempts", call->n_attempts), HF_LOG_INT ("total_ms", elapsed_ms (state, call->arrived_at)) };
  add_log_line (state, HF_LOG_REQUEST_CUT, call->request_id, fields, G_N_ELEMENTS (fields));
}

void
hf_trace_caller_disconnected (struct hf_state *state, const struct hf_call *call)
{
  const struct hf_log_field fields[]
      = { HF_LOG_INT ("attempts", call->n_attempts), HF_LOG_INT ("total_ms", elapsed_ms (state, call->arrived_at)),
          HF_LOG_INT ("remaining_ms", -elapsed_ms (state, call->deadline)) };
  add_log_line (state, HF_LOG_CALLER_GONE, call->request_id, fields, G_N_ELEMENTS (fields));
}
