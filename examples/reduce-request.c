/* Passes one request to the reducer and prints the first effect that it returns. */
#include <hickoryfield.h>
#include <stdio.h>

int
main (void)
{
  struct hf_settings settings = { .name = hf_str ("vm-1"), .failure_domain = hf_str ("d1") };
  struct hf_state *state = hf_state_new (&settings, 1);
  struct hf_effects effects;
  struct hf_event event = { .kind = HF_EVENT_REQUEST, .now = 1000, .call = 1 };
  event.request.method = hf_str ("GET");
  event.request.path = hf_str ("/");
  event.request.host = hf_str ("example");
  hf_effects_init (&effects);
  hf_reduce (state, &event, &effects);
  const struct hf_effect *effect = &g_array_index (effects.items, struct hf_effect, 0);
  printf ("response %u: " HF_STR_FMT "\n", effect->status, HF_STR_ARG (effect->text));
  hf_effects_close (&effects);
  hf_state_free (state);
  return 0;
}
