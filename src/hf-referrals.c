/* Slot requests that go to another failure domain. */
#include "hf-referrals.h"

#include "hf-admission.h"
#include "hf-placement.h"
#include "hf-roles.h"
#include "hf-slices.h"

/* --- internal functions: reports --- */

static bool
is_granted_here (const struct hf_state *state, const struct hf_service_state *slice)
{
  return slice->has_domain && slice->pool.servers->len > 0 && hf_roles_slice_granter (state, slice) == state->boot_id;
}

/* Updates the forecasts of the slices that this entry grants. Returns whether one differs from its last report. */
static bool
update_forecasts (struct hf_state *state)
{
  GHashTableIter iter;
  struct hf_service_state *slice;
  bool differs = false;
  g_hash_table_iter_init (&iter, state->services);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &slice))
    {
      if (!is_granted_here (state, slice))
        continue;
      slice->forecast = hf_admission_forecast (&slice->pool, state->now);
      slice->forecast_at = state->now;
      differs = differs || hf_affinity_differs (&slice->forecast, &slice->reported_forecast);
    }
  return differs;
}

/* Lists the forecasts of the slices that this entry grants. Returns whether one is of another failure domain, which has
 * no granter then. */
static bool
list_forecasts (struct hf_state *state, hf_rpc_load_report *report)
{
  GHashTableIter iter;
  struct hf_service_state *slice;
  bool has_foreign = false;
  hf_rpc_forecast *list = hf_effects_alloc (state->effects, HF_RPC_FORECASTS_MAX * sizeof *list);
  report->forecasts.forecasts_val = list;
  g_hash_table_iter_init (&iter, state->services);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &slice))
    {
      if (!is_granted_here (state, slice) || report->forecasts.forecasts_len >= HF_RPC_FORECASTS_MAX)
        continue;
      has_foreign = has_foreign || hf_state_crosses_domain (state, slice->failure_domain);
      slice->reported_forecast = slice->forecast;
      list[report->forecasts.forecasts_len++] = (hf_rpc_forecast){ .slice = slice->id,
                                                                   .free_slots = slice->forecast.free_slots,
                                                                   .wait_us = (unsigned) slice->forecast.wait_us,
                                                                   .slot_us = (unsigned) slice->forecast.slot_us };
    }
  return has_foreign;
}

static void
send_report (struct hf_state *state)
{
  struct hf_rpc_message message = { .body = { .kind = HF_RPC_LOAD_REPORT } };
  hf_rpc_load_report *report = &message.body.hf_rpc_body_u.load_report;
  bool has_foreign = list_forecasts (state, report);
  for (guint i = 0; report->forecasts.forecasts_len > 0 && i < state->roles.granters->len; i++)
    {
      const struct hf_granter *granter = &g_array_index (state->roles.granters, struct hf_granter, i);
      if (has_foreign || hf_state_crosses_domain (state, granter->failure_domain))
        hf_state_send_to_member (state, granter->boot_id, message);
    }
}

/* --- internal functions: referrals --- */

static bool
is_better (const struct hf_forecast *a, const struct hf_forecast *b)
{
  if (a->wait_us != b->wait_us)
    return a->wait_us < b->wait_us;
  return a->free_slots > b->free_slots;
}

/* The slice of another failure domain with the best forecast; NULL: no forecast is recent. */
static struct hf_service_state *
find_best (const struct hf_state *state, const struct hf_service_state *home)
{
  const struct hf_service_state *first = hf_state_find_service (state, home->service_id);
  struct hf_service_state *best = NULL;
  for (unsigned i = 0; first && i < hf_slices_total (first); i++)
    {
      struct hf_service_state *slice = hf_slices_find (state, first->id, i);
      bool is_other = slice && slice->has_domain && slice->failure_domain != home->failure_domain;
      if (!is_other || slice->forecast_at == 0 || state->now - slice->forecast_at > HF_AFFINITY_REPORT_VALID_MS * HF_MS)
        continue;
      if (!best || is_better (&slice->forecast, &best->forecast))
        best = slice;
    }
  return best;
}

/* --- public functions --- */

void
hf_referrals_tick (struct hf_state *state)
{
  if (!hf_affinity_is_on (&state->affinity) || state->starting)
    return;
  bool differs = update_forecasts (state);
  if (!differs && state->now - state->load_reported_at < HF_AFFINITY_REPORT_MS * HF_MS)
    return;
  state->load_reported_at = state->now;
  send_report (state);
}

void
hf_referrals_handle_message (struct hf_state *state, const struct hf_event *event)
{
  const hf_rpc_load_report *report = &event->peer.message->body.hf_rpc_body_u.load_report;
  if (!hf_state_find_member (state, event->peer.message->boot_id))
    return;
  for (u_int i = 0; i < report->forecasts.forecasts_len; i++)
    {
      const hf_rpc_forecast *forecast = &report->forecasts.forecasts_val[i];
      struct hf_service_state *slice = hf_state_find_service (state, forecast->slice);
      if (!slice || !slice->has_domain)
        continue;
      slice->forecast = (struct hf_forecast){ .free_slots = forecast->free_slots,
                                              .wait_us = forecast->wait_us,
                                              .slot_us = forecast->slot_us };
      slice->forecast_at = state->now;
    }
}

uint64_t
hf_referrals_choose (struct hf_state *state, struct hf_service_state *home, const struct hf_slot_request *request)
{
  bool has_room = hf_pool_queue_length (&home->pool) == 0 && hf_placement_has_free_slot (&home->pool, state->now);
  if (!home->has_domain || has_room || hf_roles_slice_granter (state, home) != state->boot_id)
    return 0;
  struct hf_service_state *best = find_best (state, home);
  struct hf_forecast forecast = hf_admission_forecast (&home->pool, state->now);
  int64_t spare_us = hf_admission_spare_us (&home->pool, state->now, request);
  int64_t rtt_us = hf_affinity_rtt_us (&state->affinity, state->now);
  if (!best || !hf_affinity_should_cross (&forecast, &best->forecast, spare_us, rtt_us))
    return 0;
  hf_affinity_count_referral (&best->forecast);
  return best->id;
}
