/**
 * DOC: harness - runs the real programs on loopback
 *
 * Starts hickoryd entries, hickoryctl, the fake platform and fake backend
 * servers for the demo, the tests and the benchmarks, and ends them by process
 * id. A program that cannot be started, or that does not report within 20
 * seconds that it is ready, aborts the caller by g_error.
 */
#ifndef HARNESS_H
#define HARNESS_H

#include <gio/gio.h>

/* --- types --- */

/** struct process - a running program */
struct process
{
  GSubprocess *subprocess;
  GDataInputStream *output; /* standard output; of hickoryd with standard error */
  GString *log;             /* all lines of the output so far */
  GCancellable *read_cancellable;
  gboolean ended; /* the output was closed */
};

/** struct entry - one hickoryd process; addresses are IP:PORT */
struct entry
{
  struct process *process;
  char name[32];
  char domain[16];         /* failure domain */
  char listen_address[64]; /* for callers */
  char admin_address[64];
  char peer_address[64]; /* for messages between entries */
};

/** struct backend - one fake-backend process, which runs several fake backend servers */
struct backend
{
  struct process *process;
  char control_address[64];    /* IP:PORT of its control requests */
  GPtrArray *server_addresses; /* char *, IP:PORT by server number */
};

/** struct harness - a fake platform with its entries and fake backend servers */
struct harness
{
  char *build_dir; /* directory of the programs */
  char *temp_dir;  /* settings and documents, removed by harness_close */
  struct process *platform_process;
  char platform_address[64]; /* IP:PORT */
  GPtrArray *entries;        /* struct entry */
  GPtrArray *backends;       /* struct backend */
  int drain_wait_ms;         /* setting of entries started later, milliseconds */
  const char *more_settings; /* lines of YAML in theirs; NULL: none */
};

/* --- public functions: init and close --- */

struct harness *harness_open (const char *program); /* starts the fake platform from the directory of argv[0] */
void harness_close (struct harness *harness);       /* kills all processes, frees everything */
void harness_parse_options (int *argc, char ***argv, const char *summary); /* --help; exits on other arguments */

/* --- public functions: processes --- */

/* Starts one fake-backend process. Service times are random; server means vary by +- spread (share of mean_ms). */
struct backend *
harness_add_backend (struct harness *harness, int server_count, int slots, double mean_ms, double spread, int seed);
/* The same with constant service times. */
struct backend *harness_add_backend_constant (struct harness *harness, int server_count, int slots, double mean_ms);
struct entry *harness_add_entry (struct harness *harness, const char *domain); /* starts a hickoryd, phase "Live" */
/* Writes the phase of an entry or a backend server ("Live", "Leaving") to the platform's VM list. */
void harness_set_entry_phase (struct harness *harness, const struct entry *entry, const char *phase);
void harness_set_backend_phase (struct harness *harness, const char *address, const char *phase);
void harness_delete_entry_vm (struct harness *harness, const struct entry *entry); /* from the VM list */
void process_send_signal (struct process *process, int signal);                    /* to its process id */
gboolean process_wait_for_exit (struct process *process, int seconds);             /* FALSE: timeout */

/* --- public functions: requests and files --- */

char *harness_http_get (const char *address, const char *path, guint *status); /* body, or NULL with status 0 */
void harness_send_control (const char *address, const char *format, ...) G_GNUC_PRINTF (2, 3); /* GET to a fake */
/* Runs hickoryctl. Returns its exit code, or -1 if a signal ended it. output: NULL, or receives all it printed. */
int harness_run_hickoryctl (struct harness *harness, char **output, const char *const *arguments);
gboolean harness_apply_document (struct harness *harness, const char *document); /* hickoryctl apply --wait */
char *harness_write_file (struct harness *harness, const char *file_name, const char *text); /* returns the path */

/* --- public functions: main loop --- */

/* Runs the main loop until the condition is met; FALSE: timeout. */
gboolean harness_wait_until (gboolean (*condition) (void *context), void *context, int seconds);
void harness_pause (int ms); /* runs the main loop for this time */

#endif
