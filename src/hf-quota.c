/* Credits of organisations that are limited over the whole fleet. */
#include "hf-quota.h"

#include <math.h>
#include <string.h>

/* --- constants --- */

#define IDLE_WINDOWS 2    /* a bucket or holder without requests for so many windows is dropped */
#define SLACK_PARTS  2    /* one part for entries that are not the owner, one for local reserves */
#define LEVEL_ROUND  1e-9 /* a level this little below a whole number counts as that number */

/* --- types --- */

/* Credits given by one answer that have not been returned. */
struct given
{
  uint64_t sequence;
  unsigned credits;
  int64_t given_at;
};

struct holder
{
  uint64_t boot_id;
  uint64_t sequence; /* of the last request */
  struct hf_quota_answer answer;
  GArray *given; /* struct given, by sequence */
  int64_t asked_at;
};

struct organisation
{
  uint64_t id;
  bool is_owned;             /* the bucket has been this entry's as owner since its level was set */
  int64_t disowned_at;       /* it ceased to be */
  int64_t handover_asked_at; /* 0: not asked for */
  bool handed_over;          /* the bucket has the level that a former owner gave */
  uint64_t moved_to;         /* boot id of the entry that got the bucket */
  int64_t moved_at;
  int64_t began_at; /* with less than its capacity; 0: it did not */
  struct hf_quota_bucket bucket;
  GHashTable *holders; /* struct holder by boot id */
  int64_t asked_at;
};

struct hf_quota_book
{
  GHashTable *organisations; /* struct organisation by id */
};

/* --- internal functions: bucket --- */

static int64_t
slice_us (const struct hf_quota_bucket *bucket)
{
  return MAX (bucket->limit.window_us / (HF_QUOTA_SLICES - 1), 1);
}

static void
clear_window (struct hf_quota_bucket *bucket)
{
  memset (bucket->given, 0, sizeof bucket->given);
  bucket->given_total = 0;
}

static void
advance_window (struct hf_quota_bucket *bucket, int64_t now)
{
  int64_t slice = now / slice_us (bucket);
  if (slice - bucket->slice >= HF_QUOTA_SLICES)
    {
      clear_window (bucket);
      bucket->slice = slice;
    }
  while (bucket->slice < slice)
    {
      unsigned *given = &bucket->given[++bucket->slice % HF_QUOTA_SLICES];
      bucket->given_total -= *given;
      *given = 0;
    }
}

static void
fill (struct hf_quota_bucket *bucket, int64_t now)
{
  double seconds = (double) MAX (now - bucket->filled_at, 0) / HF_SEC;
  bucket->level = MIN (bucket->level + bucket->limit.rate_per_s * seconds, bucket->limit.capacity);
  bucket->filled_at = MAX (now, bucket->filled_at);
  advance_window (bucket, now);
}

static unsigned
whole (double credits)
{
  return credits > 0 ? (unsigned) floor (credits + LEVEL_ROUND) : 0;
}

/* Time until the oldest credits leave the window. */
static int64_t
window_wait_us (const struct hf_quota_bucket *bucket, int64_t now)
{
  int64_t slice = bucket->slice - HF_QUOTA_SLICES + 1;
  while (slice < bucket->slice && bucket->given[(slice + HF_QUOTA_SLICES) % HF_QUOTA_SLICES] == 0)
    slice++;
  return MAX ((slice + HF_QUOTA_SLICES) * slice_us (bucket) - now, 0);
}

/* --- internal functions: book --- */

static void
free_holder (void *data)
{
  struct holder *holder = data;
  g_array_unref (holder->given);
  g_free (holder);
}

static void
free_organisation (void *data)
{
  struct organisation *organisation = data;
  g_hash_table_destroy (organisation->holders);
  g_free (organisation);
}

static struct organisation *
find_organisation (const struct hf_quota_book *book, uint64_t id)
{
  return g_hash_table_lookup (book->organisations, &id);
}

static struct organisation *
add_organisation (struct hf_quota_book *book, uint64_t id, struct hf_quota_limit limit, double level, int64_t now)
{
  struct organisation *organisation = g_new0 (struct organisation, 1);
  organisation->id = id;
  organisation->is_owned = !limit.partial;
  organisation->holders = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_holder);
  organisation->began_at = level < limit.capacity ? now : 0;
  hf_quota_bucket_init (&organisation->bucket, limit, limit.partial ? 0 : level, now);
  g_hash_table_insert (book->organisations, &organisation->id, organisation);
  return organisation;
}

/* A bucket that was partial, or that another owner may have had meanwhile, begins with the new level. */
static void
update_limit (struct organisation *organisation, struct hf_quota_limit limit, double level, int64_t now)
{
  struct hf_quota_bucket *bucket = &organisation->bucket;
  bool begins = !limit.partial && !organisation->is_owned && !organisation->handed_over;
  bool ends = limit.partial && organisation->is_owned;
  hf_quota_bucket_set_limit (bucket, limit, now);
  if (begins)
    {
      bucket->level = MIN (level, limit.capacity);
      organisation->began_at = level < limit.capacity ? now : 0;
    }
  if (ends)
    bucket->level = 0;
  organisation->is_owned = !limit.partial;
  organisation->handed_over = false;
  organisation->handover_asked_at = 0;
  organisation->moved_to = 0;
}

static struct holder *
add_holder (struct organisation *organisation, uint64_t boot_id)
{
  struct holder *holder = g_new0 (struct holder, 1);
  holder->boot_id = boot_id;
  holder->given = g_array_new (FALSE, FALSE, sizeof (struct given));
  g_hash_table_insert (organisation->holders, &holder->boot_id, holder);
  return holder;
}

/* The credits of an answer that left the window need not be returned. */
static void
forget_old (struct holder *holder, int64_t window_us, int64_t now)
{
  guint n = 0;
  while (n < holder->given->len && g_array_index (holder->given, struct given, n).given_at < now - window_us)
    n++;
  if (n > 0)
    g_array_remove_range (holder->given, 0, n);
}

static struct given *
find_given (const struct holder *holder, uint64_t sequence)
{
  guint begin = 0;
  guint end = holder->given->len;
  while (begin < end)
    {
      guint middle = begin + (end - begin) / 2;
      struct given *given = &g_array_index (holder->given, struct given, middle);
      if (given->sequence == sequence)
        return given;
      if (given->sequence < sequence)
        begin = middle + 1;
      else
        end = middle;
    }
  return NULL;
}

/* Only credits that are known to have been given come back, each one once. */
static void
take_returned (struct organisation *organisation,
               struct holder *holder,
               const struct hf_quota_request *request,
               int64_t now)
{
  struct given *given = request->returned ? find_given (holder, request->returned_sequence) : NULL;
  if (!given)
    return;
  unsigned credits = MIN (request->returned, given->credits);
  given->credits -= credits;
  hf_quota_bucket_return (&organisation->bucket, now, credits, given->given_at);
}

/* Credits beyond the need come from the upper half of the bucket, and at most a fair share of it. */
static unsigned
give_expected (unsigned expected, unsigned available, double capacity, size_t entries)
{
  double spare = available - capacity / 2;
  return spare > 0 ? MIN (expected, whole (spare / (double) MAX (entries, 1))) : 0;
}

/* Credits in the lower part of the bucket are for requests that can still be answered within their target latency:
 * beyond the limit, callers that come back after a refusal would otherwise take them from those that come first. */
static unsigned
available_for_late (const struct hf_quota_bucket *bucket, unsigned available)
{
  double reserved = MIN (bucket->limit.capacity * HF_QUOTA_LATE_RESERVE_RATIO, bucket->limit.capacity - 1);
  return MIN (available, whole (bucket->level - MAX (reserved, 0)));
}

static struct hf_quota_answer
give (struct organisation *organisation,
      struct holder *holder,
      const struct hf_quota_request *request,
      size_t entries,
      int64_t now)
{
  struct hf_quota_bucket *bucket = &organisation->bucket;
  struct hf_quota_answer answer = { 0 };
  unsigned available = hf_quota_bucket_available (bucket, now);
  if (request->late)
    available = available_for_late (bucket, available);
  answer.credits = MIN (request->needed, available);
  if (answer.credits == request->needed)
    answer.credits += give_expected (request->expected, available - answer.credits, bucket->limit.capacity, entries);
  if (answer.credits > 0)
    {
      struct given given = { .sequence = request->sequence, .credits = answer.credits, .given_at = now };
      hf_quota_bucket_take (bucket, now, answer.credits);
      g_array_append_val (holder->given, given);
    }
  answer.is_filling = organisation->began_at > 0 && now - organisation->began_at < HF_QUOTA_FILLING_MS * HF_MS;
  if (answer.credits < request->needed)
    answer.retry_after_us
        = hf_quota_bucket_forecast (bucket, now, answer.is_filling ? 0 : request->needed - answer.credits);
  return answer;
}

static gboolean
holder_is_idle (gpointer key, gpointer value, gpointer context)
{
  const struct holder *holder = value;
  (void) key;
  return holder->asked_at < *(const int64_t *) context;
}

/* --- internal functions: account --- */

static double
decayed_use (const struct hf_quota_account *account, int64_t now)
{
  return account->use * exp (-(double) (now - account->use_at) / HF_SEC);
}

static struct hf_quota_lease *
find_lease (struct hf_quota_account *account, uint64_t owner, uint64_t sequence)
{
  for (unsigned i = 0; i < HF_QUOTA_LEASES_MAX; i++)
    if (account->leases[i].credits && account->leases[i].owner == owner && account->leases[i].sequence == sequence)
      return &account->leases[i];
  return NULL;
}

/* If there is no room, the credits that expire first are given up: their owner counts them as used. */
static struct hf_quota_lease *
find_room (struct hf_quota_account *account)
{
  struct hf_quota_lease *first = &account->leases[0];
  for (unsigned i = 0; i < HF_QUOTA_LEASES_MAX; i++)
    {
      struct hf_quota_lease *lease = &account->leases[i];
      if (lease->credits == 0)
        return lease;
      if (lease->expires_at < first->expires_at)
        first = lease;
    }
  return first;
}

static void
add_credits (struct hf_quota_account *account, struct hf_quota_credit credit, unsigned credits)
{
  struct hf_quota_lease *lease = find_lease (account, credit.owner, credit.sequence);
  if (lease)
    {
      lease->credits += credits;
      return;
    }
  *find_room (account) = (struct hf_quota_lease){
    .owner = credit.owner, .sequence = credit.sequence, .credits = credits, .expires_at = credit.expires_at
  };
}

static unsigned
count_valid (const struct hf_quota_account *account, int64_t now)
{
  unsigned n = 0;
  for (unsigned i = 0; i < HF_QUOTA_LEASES_MAX; i++)
    if (account->leases[i].expires_at > now)
      n += account->leases[i].credits;
  return n;
}

/* --- public functions: limits --- */

int64_t
hf_quota_lease_us (const struct hf_quota_rule *rule)
{
  return (int64_t) ((double) rule->window_us * rule->overshoot * HF_QUOTA_LEASE_RATIO);
}

struct hf_quota_limit
hf_quota_limit_full (const struct hf_quota_rule *rule, double rate_per_s, double burst)
{
  double window_s = (double) rule->window_us / HF_SEC;
  return (struct hf_quota_limit){
    .rate_per_s = rate_per_s,
    .capacity = MAX (burst * (1 + rule->overshoot), 1),
    .window_max = (rate_per_s * window_s + burst) * (1 + rule->overshoot),
    .window_us = rule->window_us + hf_quota_lease_us (rule),
  };
}

struct hf_quota_limit
hf_quota_limit_partial (const struct hf_quota_rule *rule, size_t reached, size_t entries)
{
  double credits = floor (rule->slack / SLACK_PARTS * (double) reached / (double) MAX (entries, 1));
  return (struct hf_quota_limit){
    .rate_per_s = credits * HF_SEC / (double) rule->window_us,
    .capacity = credits,
    .window_max = credits,
    .window_us = rule->window_us + hf_quota_lease_us (rule),
    .partial = true,
  };
}

bool
hf_quota_limit_by_rank (const struct hf_quota_rule *rule,
                        double rate_per_s,
                        double burst,
                        size_t rank,
                        size_t reached,
                        size_t entries,
                        struct hf_quota_limit *limit)
{
  if (rank > 1)
    return false;
  if (rank == 0 && 2 * reached > entries)
    *limit = hf_quota_limit_full (rule, rate_per_s, burst);
  else if (rank == 0 && 2 * reached == entries)
    *limit = hf_quota_limit_full (rule, rate_per_s / 2, burst / 2);
  else
    *limit = hf_quota_limit_partial (rule, reached, entries);
  return true;
}

unsigned
hf_quota_reserve (const struct hf_quota_rule *rule, size_t rank, size_t entries)
{
  size_t credits = (size_t) (rule->slack / SLACK_PARTS);
  entries = MAX (entries, 1);
  return (unsigned) (credits / entries + (rank < credits % entries));
}

/* --- public functions: bucket --- */

void
hf_quota_bucket_init (struct hf_quota_bucket *bucket, struct hf_quota_limit limit, double level, int64_t now)
{
  *bucket = (struct hf_quota_bucket){ .limit = limit, .level = MIN (level, limit.capacity), .filled_at = now };
  bucket->slice = now / slice_us (bucket);
}

void
hf_quota_bucket_set_limit (struct hf_quota_bucket *bucket, struct hf_quota_limit limit, int64_t now)
{
  fill (bucket, now);
  if (limit.rate_per_s == bucket->limit.rate_per_s && limit.capacity == bucket->limit.capacity
      && limit.partial == bucket->limit.partial)
    return;
  /* A lowered limit binds one window later: what was given by the former one would block it. */
  if (!limit.partial && !bucket->limit.partial)
    clear_window (bucket);
  bucket->limit = limit;
  bucket->level = MIN (bucket->level, limit.capacity);
  bucket->forecast_at = 0;
}

unsigned
hf_quota_bucket_available (struct hf_quota_bucket *bucket, int64_t now)
{
  fill (bucket, now);
  return whole (MIN (bucket->level, bucket->limit.window_max - bucket->given_total));
}

void
hf_quota_bucket_take (struct hf_quota_bucket *bucket, int64_t now, unsigned credits)
{
  fill (bucket, now);
  bucket->level -= MIN (credits, MAX (bucket->level, 0));
  bucket->given[bucket->slice % HF_QUOTA_SLICES] += credits;
  bucket->given_total += credits;
}

void
hf_quota_bucket_return (struct hf_quota_bucket *bucket, int64_t now, unsigned credits, int64_t given_at)
{
  int64_t slice = given_at / slice_us (bucket);
  fill (bucket, now);
  if (slice <= bucket->slice - HF_QUOTA_SLICES)
    return;
  unsigned *given = &bucket->given[slice % HF_QUOTA_SLICES];
  credits = MIN (credits, *given);
  *given -= credits;
  bucket->given_total -= credits;
  bucket->level = MIN (bucket->level + credits, bucket->limit.capacity);
}

int64_t
hf_quota_bucket_forecast (struct hf_quota_bucket *bucket, int64_t now, unsigned refused)
{
  fill (bucket, now);
  double rate = bucket->limit.rate_per_s;
  if (rate <= 0)
    return bucket->limit.window_us;
  int64_t next = now + (int64_t) (MAX (1 - bucket->level, 0) / rate * HF_SEC);
  if (bucket->limit.window_max - bucket->given_total < 1)
    next = MAX (next, now + window_wait_us (bucket, now));
  /* Later than a window from now, other requests will have taken the credit: the places start anew. */
  if (bucket->forecast_at < next || bucket->forecast_at > now + bucket->limit.window_us)
    bucket->forecast_at = next;
  int64_t wait_us = bucket->forecast_at - now;
  bucket->forecast_at += (int64_t) (refused / rate * HF_SEC);
  return wait_us;
}

/* --- public functions: the owner's book of leases --- */

struct hf_quota_book *
hf_quota_book_open (void)
{
  struct hf_quota_book *book = g_new0 (struct hf_quota_book, 1);
  book->organisations = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_organisation);
  return book;
}

void
hf_quota_book_close (struct hf_quota_book *book)
{
  g_hash_table_destroy (book->organisations);
  g_free (book);
}

bool
hf_quota_book_answer (struct hf_quota_book *book,
                      const struct hf_quota_request *request,
                      struct hf_quota_limit limit,
                      double level,
                      size_t entries,
                      int64_t now,
                      struct hf_quota_answer *answer)
{
  struct organisation *organisation = find_organisation (book, request->organisation);
  if (!organisation)
    organisation = add_organisation (book, request->organisation, limit, level, now);
  struct holder *holder = g_hash_table_lookup (organisation->holders, &request->holder);
  if (!holder)
    holder = add_holder (organisation, request->holder);
  if (request->sequence < holder->sequence)
    return false;
  bool is_repeated = request->sequence == holder->sequence;
  if (!is_repeated)
    {
      update_limit (organisation, limit, level, now);
      forget_old (holder, limit.window_us, now);
      take_returned (organisation, holder, request, now);
      holder->answer = give (organisation, holder, request, entries, now);
      holder->sequence = request->sequence;
      holder->asked_at = now;
      organisation->asked_at = now;
    }
  *answer = holder->answer;
  answer->is_repeated = is_repeated;
  return true;
}

int64_t
hf_quota_book_await_handover (struct hf_quota_book *book, uint64_t id, struct hf_quota_limit limit, int64_t now)
{
  struct organisation *organisation = find_organisation (book, id);
  if (!organisation)
    {
      organisation = add_organisation (book, id, limit, 0, now);
      organisation->is_owned = false;
    }
  if (organisation->is_owned || organisation->handed_over)
    return -1;
  /* The level that is handed over is that of a full bucket. */
  hf_quota_bucket_set_limit (&organisation->bucket, limit, now);
  if (organisation->handover_asked_at == 0)
    organisation->handover_asked_at = now;
  return now - organisation->handover_asked_at;
}

void
hf_quota_book_receive_handover (struct hf_quota_book *book, uint64_t id, double level, int64_t now)
{
  struct organisation *organisation = find_organisation (book, id);
  if (!organisation || organisation->is_owned || organisation->handover_asked_at == 0)
    return;
  fill (&organisation->bucket, now);
  organisation->bucket.level = MIN (level, organisation->bucket.limit.capacity);
  organisation->handed_over = true;
  organisation->began_at = level < organisation->bucket.limit.capacity ? now : 0;
}

double
hf_quota_book_hand_over (struct hf_quota_book *book,
                         uint64_t id,
                         struct hf_quota_limit limit,
                         double level,
                         uint64_t owner,
                         int64_t now)
{
  struct organisation *organisation = find_organisation (book, id);
  if (!organisation)
    organisation = add_organisation (book, id, limit, level, now);
  /* The answer to the first request may have been lost: the level is the same, less what was filled since. */
  bool was_moved = organisation->moved_to == owner && now - organisation->moved_at < HF_QUOTA_MOVED_MS * HF_MS;
  bool was_owner = organisation->is_owned || now - organisation->disowned_at < HF_QUOTA_MOVED_MS * HF_MS;
  fill (&organisation->bucket, was_moved ? organisation->moved_at : now);
  if (!was_owner && !was_moved)
    organisation->bucket.level = 0;
  organisation->is_owned = false;
  organisation->moved_to = owner;
  organisation->moved_at = now;
  return MAX (organisation->bucket.level, 0);
}

uint64_t
hf_quota_book_moved_to (const struct hf_quota_book *book, uint64_t id, int64_t owner_since, int64_t now)
{
  const struct organisation *organisation = find_organisation (book, id);
  if (!organisation || organisation->moved_at < owner_since)
    return 0;
  return now - organisation->moved_at < HF_QUOTA_MOVED_MS * HF_MS ? organisation->moved_to : 0;
}

void
hf_quota_book_disown (struct hf_quota_book *book,
                      int64_t now,
                      bool (*is_owner) (const void *context, uint64_t organisation),
                      const void *context)
{
  GHashTableIter iter;
  struct organisation *organisation;
  g_hash_table_iter_init (&iter, book->organisations);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &organisation))
    if (organisation->is_owned && !is_owner (context, organisation->id))
      {
        organisation->is_owned = false;
        organisation->disowned_at = now;
      }
}

/* A bucket that is not full again is kept: a new one would have more in it. */
void
hf_quota_book_expire (struct hf_quota_book *book, int64_t now)
{
  GHashTableIter iter;
  struct organisation *organisation;
  g_hash_table_iter_init (&iter, book->organisations);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &organisation))
    {
      struct hf_quota_bucket *bucket = &organisation->bucket;
      int64_t idle_since = now - IDLE_WINDOWS * bucket->limit.window_us;
      fill (bucket, now);
      if (organisation->asked_at < idle_since && bucket->level >= bucket->limit.capacity)
        g_hash_table_iter_remove (&iter);
      else
        g_hash_table_foreach_remove (organisation->holders, holder_is_idle, &idle_since);
    }
}

/* --- public functions: a holder's account --- */

bool
hf_quota_account_take (struct hf_quota_account *account, int64_t now, struct hf_quota_credit *credit)
{
  struct hf_quota_lease *first = NULL;
  for (unsigned i = 0; i < HF_QUOTA_LEASES_MAX; i++)
    {
      struct hf_quota_lease *lease = &account->leases[i];
      if (lease->credits && lease->expires_at > now && (!first || lease->expires_at < first->expires_at))
        first = lease;
    }
  if (!first)
    return false;
  first->credits--;
  *credit = (struct hf_quota_credit){ first->owner, first->sequence, first->expires_at };
  return true;
}

void
hf_quota_account_put_back (struct hf_quota_account *account, struct hf_quota_credit credit)
{
  if (credit.sequence)
    add_credits (account, credit, 1);
}

void
hf_quota_account_count_use (struct hf_quota_account *account, int64_t now)
{
  account->use = decayed_use (account, now) + 1;
  account->use_at = now;
}

void
hf_quota_account_request (struct hf_quota_account *account,
                          int64_t now,
                          const struct hf_quota_rule *rule,
                          uint64_t owner,
                          uint64_t sequence,
                          unsigned needed)
{
  double expected = decayed_use (account, now) * (double) hf_quota_lease_us (rule) / HF_SEC;
  unsigned held = count_valid (account, now);
  account->owner = owner;
  account->sent_at = now;
  account->request.sequence = sequence;
  account->request.needed = needed;
  account->request.expected = needed ? (unsigned) MAX (floor (expected) - held, 0) : 0;
  account->request.returned = 0;
  account->request.returned_sequence = 0;
  for (unsigned i = 0; i < HF_QUOTA_LEASES_MAX; i++)
    {
      struct hf_quota_lease *lease = &account->leases[i];
      if (lease->credits == 0 || lease->expires_at > now || lease->owner != owner)
        continue;
      account->request.returned = lease->credits;
      account->request.returned_sequence = lease->sequence;
      lease->credits = 0;
      return;
    }
}

bool
hf_quota_account_receive (struct hf_quota_account *account,
                          uint64_t owner,
                          uint64_t sequence,
                          unsigned credits,
                          int64_t valid_us)
{
  if (sequence == 0 || account->request.sequence != sequence || account->owner != owner)
    return false;
  struct hf_quota_credit credit = { owner, sequence, account->sent_at + valid_us };
  account->request.sequence = 0;
  if (credits > 0)
    add_credits (account, credit, credits);
  return true;
}

int64_t
hf_quota_account_next_expiry (const struct hf_quota_account *account)
{
  int64_t next = -1;
  for (unsigned i = 0; i < HF_QUOTA_LEASES_MAX; i++)
    {
      const struct hf_quota_lease *lease = &account->leases[i];
      if (lease->credits && (next < 0 || lease->expires_at < next))
        next = lease->expires_at;
    }
  return next;
}

uint64_t
hf_quota_account_return_to (const struct hf_quota_account *account, int64_t now)
{
  for (unsigned i = 0; i < HF_QUOTA_LEASES_MAX; i++)
    if (account->leases[i].credits && account->leases[i].expires_at <= now)
      return account->leases[i].owner;
  return 0;
}
