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
  GDataInputStream *output; /* its standard error or output */
  GString *log;             /* what it wrote so far */
  GCancellable *read_cancellable;
  gboolean ended;
};

/** struct entry - one hickoryd */
struct entry
{
  struct process *process;
  char name[32];
  char domain[16];
  char listen_address[64];
  char admin_address[64];
  char peer_address[64];
};

/** struct backend - one process of fake backend servers */
struct backend
{
  struct process *process;
  char control_address[64];
  GPtrArray *server_addresses; /* addresses */
};

/** struct harness - one setup */
struct harness
{
  char *build_dir; /* folder of the programs */
  char *temp_dir;  /* temporary files */
  struct process *platform_process;
  char platform_address[64];
  GPtrArray *entries;  /* struct entry */
  GPtrArray *backends; /* struct backend */
  int drain_wait_ms;
};

/* --- public functions: init and close --- */

struct harness *harness_open (const char *program); /* starts the platform; program finds the folder */
void harness_close (struct harness *harness);       /* ends all, frees all */

void harness_parse_options (int *argc, char ***argv, const char *summary); /* --help; ends the program on wrong use */

/* --- public functions: processes --- */

struct backend *harness_add_backend (struct harness *harness,
                                     int server_count,
                                     int slots,
                                     double mean_ms,
                                     double spread,
                                     int seed); /* fake backend servers */
struct backend *harness_add_backend_constant (struct harness *harness,
                                              int server_count,
                                              int slots,
                                              double mean_ms);                 /* the same, constant service times */
struct entry *harness_add_entry (struct harness *harness, const char *domain); /* a hickoryd, listed as VM */
void harness_set_entry_phase (struct harness *harness,
                              const struct entry *entry,
                              const char *phase);                                  /* its line in the VM list */
void harness_delete_entry_vm (struct harness *harness, const struct entry *entry); /* takes it out of the VM list */
void
harness_set_backend_phase (struct harness *harness, const char *address, const char *phase); /* line of a backend VM */
void process_send_signal (struct process *process, int signal);                              /* kill by pid */
gboolean process_wait_for_exit (struct process *process, int seconds);                       /* ended in time */

/* --- public functions: talking --- */

char *harness_http_get (const char *address, const char *path, guint *status);                 /* text, or NULL */
void harness_send_control (const char *address, const char *format, ...) G_GNUC_PRINTF (2, 3); /* a switch of a fake */
int harness_run_hickoryctl (struct harness *harness,
                            char **output,
                            const char *const *arguments);                       /* runs hickoryctl, exit code */
gboolean harness_apply_document (struct harness *harness, const char *document); /* apply --wait */
char *
harness_write_file (struct harness *harness, const char *file_name, const char *text); /* a temporary file's path */
gboolean harness_wait_until (gboolean (*condition) (void *context), void *context, int seconds); /* polls a condition */
void harness_pause (int ms); /* runs the main loop */

#endif
