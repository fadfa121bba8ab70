/*
 * Clock of a process whose time of day steps: linked into a hickoryd in place of
 * the C library's functions. The other clocks are the real ones.
 */
#define _GNU_SOURCE
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

/* --- constants --- */

#define STEP_INTERVAL_MS 300
#define DAY_SEC          86400L

/* Added to the time of day, in turn. */
static const long offsets_sec[] = { 0, 2, -2, 30 * DAY_SEC, -30 * DAY_SEC, 3600, -50 * 365 * DAY_SEC };

/* --- internal functions --- */

static long
current_offset_sec (void)
{
  struct timespec now = { 0 };
  syscall (SYS_clock_gettime, CLOCK_MONOTONIC, &now);
  long ms = now.tv_sec * 1000 + now.tv_nsec / 1000000;
  return offsets_sec[ms / STEP_INTERVAL_MS % (long) (sizeof offsets_sec / sizeof *offsets_sec)];
}

/* --- public functions: as in the C library --- */

int
clock_gettime (clockid_t clock, struct timespec *now)
{
  long result = syscall (SYS_clock_gettime, clock, now);
  if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE))
    now->tv_sec += current_offset_sec ();
  return (int) result;
}

int
gettimeofday (struct timeval *restrict now, void *restrict zone)
{
  struct timespec precise = { 0 };
  (void) zone;
  clock_gettime (CLOCK_REALTIME, &precise);
  *now = (struct timeval){ .tv_sec = precise.tv_sec, .tv_usec = precise.tv_nsec / 1000 };
  return 0;
}

time_t
time (time_t *now)
{
  struct timespec precise = { 0 };
  clock_gettime (CLOCK_REALTIME, &precise);
  if (now)
    *now = precise.tv_sec;
  return precise.tv_sec;
}
