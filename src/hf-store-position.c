/* Order of positions in the changes of the platform's store. */
#include "hf-store-position.h"

/* --- internal functions --- */

static int
compare_numbers (uint64_t a, uint64_t b)
{
  return (a > b) - (a < b);
}

/* --- public functions --- */

int
hf_store_position_compare (struct hf_store_position a, struct hf_store_position b)
{
  int order = compare_numbers (a.era, b.era);
  return order ? order : compare_numbers (a.revision, b.revision);
}

struct hf_store_position
hf_store_position_max (struct hf_store_position a, struct hf_store_position b)
{
  return hf_store_position_compare (a, b) >= 0 ? a : b;
}
