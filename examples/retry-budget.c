/* Limits retries to about 10% of the first attempts. */
#include <hickoryfield.h>
#include <stdio.h>

int
main (void)
{
  struct hf_retry_budget budget;
  hf_retry_budget_init (&budget, 2.0, 10.0);
  for (int i = 0; i < 100; i++)
    {
      hf_retry_budget_deposit (&budget);
      /* Every first attempt fails and needs a retry. */
      hf_retry_budget_withdraw (&budget);
    }
  printf ("%d retries allowed, %d refused\n", (int) budget.allowed, (int) budget.denied);
  return 0;
}
