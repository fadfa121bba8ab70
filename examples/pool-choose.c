/* Requests a slot for each of three requests while two slots are free. The third is queued until a slot is released. */
#include <hickoryfield.h>
#include <stdio.h>

static const char document_text[] = "version: 1\n"
                                    "services:\n"
                                    "  - name: a\n"
                                    "    servers:\n"
                                    "      - {name: s1, address: \"10.0.0.1:80\", slots: 1}\n"
                                    "      - {name: s2, address: \"10.0.0.2:80\", slots: 1}\n"
                                    "    classes: [{name: c}]\n";

int
main (void)
{
  static const char *const kinds[] = { "queued", "granted", "refused" };
  struct hf_document *document = hf_document_load (hf_str (document_text), NULL);
  struct hf_pool pool;
  GArray *decisions = g_array_new (FALSE, FALSE, sizeof (struct hf_decision));
  hf_pool_init (&pool, 1);
  hf_pool_configure (&pool, hf_document_get_service (document, 0));
  for (uint64_t ticket = 1; ticket <= 3; ticket++)
    hf_pool_acquire_slot (&pool, 0, (struct hf_slot_request){ .ticket = ticket, .worth = 1, .deadline = 1000000 },
                          decisions);
  hf_pool_release_slot (&pool, 5000, 0, 1, HF_SLOT_OK, 5000, decisions);
  for (guint i = 0; i < decisions->len; i++)
    {
      const struct hf_decision *decision = &g_array_index (decisions, struct hf_decision, i);
      printf ("ticket %d %s\n", (int) decision->ticket, kinds[decision->kind]);
    }
  g_array_unref (decisions);
  hf_pool_close (&pool);
  hf_document_unref (document);
  return 0;
}
