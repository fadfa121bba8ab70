/**
 * DOC: harness - starts the real processes on loopback
 *
 * Spawns fakes, entries and the tool for demo, tests and benchmarks, and
 * ends them by pid.
 */
#ifndef HARNESS_H
#define HARNESS_H

#include <gio/gio.h>

/* --- types --- */

/** struct process - a program that was started */
struct process
{
  GSubprocess *subprocess;
  GDataInputStream *lines; /* its standard error or output */
  GString *log;            /* what it wrote so far */
  GCancellable *reading;
  gboolean ended;
};

/** struct entry - one hickoryd */
struct entry
{
  struct process *process;
  char name[32];
  char domain[16];
  char listen[64];
  char admin[64];
  char peers[64];
};

/** struct backend - one process of fake backend servers */
struct backend
{
  struct process *process;
  char control[64];
  GPtrArray *servers; /* addresses */
};

/** struct harness - one setup */
struct harness
{
  char *build;  /* folder of the programs */
  char *folder; /* temporary files */
  struct process *platform_process;
  char platform[64];
  GPtrArray *entries;  /* struct entry */
  GPtrArray *backends; /* struct backend */
  int drain_wait_ms;
};

/* --- public functions: init and close --- */

struct harness *harness_open (const char *program); /* starts the platform; program finds the folder */
void harness_close (struct harness *harness);       /* ends all, frees all */

void harness_options (int *argc, char ***argv, const char *summary); /* --help; ends the program on wrong use */

/* --- public functions: processes --- */

struct backend *harness_add_backend (struct harness *harness,
                                     int servers,
                                     int slots,
                                     double mean_ms,
                                     double spread,
                                     int seed); /* fake backend servers */
struct backend *harness_add_backend_constant (struct harness *harness,
                                              int servers,
                                              int slots,
                                              double mean_ms);                 /* the same, constant service times */
struct entry *harness_add_entry (struct harness *harness, const char *domain); /* a hickoryd, listed as VM */
void harness_list_entry (struct harness *harness,
                         const struct entry *entry,
                         const char *phase);                                    /* its line in the VM list */
void harness_unlist_entry (struct harness *harness, const struct entry *entry); /* takes it out of the VM list */
void harness_list_backend (struct harness *harness, const char *address, const char *phase); /* line of a backend VM */
void process_signal (struct process *process, int signal);                                   /* kill by pid */
gboolean process_wait (struct process *process, int seconds);                                /* ended in time */

/* --- public functions: talking --- */

char *harness_get (const char *address, const char *path, guint *status);               /* text, or NULL */
void harness_set (const char *address, const char *format, ...) G_GNUC_PRINTF (2, 3);   /* a switch of a fake */
int harness_ctl (struct harness *harness, char **output, const char *const *arguments); /* runs hickoryctl, exit code */
gboolean harness_apply (struct harness *harness, const char *document);                 /* apply --wait */
char *harness_write (struct harness *harness, const char *name, const char *text);      /* a temporary file's path */
gboolean harness_wait (gboolean (*test) (void *context), void *context, int seconds);   /* polls a condition */
void harness_pause (int ms);                                                            /* runs the main loop */

#endif
