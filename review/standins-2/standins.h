/* Stand-ins for the review: the platform's store, backend servers, callers and the platform that starts hickoryd.
 * All of them run as threads of the case's own process and share one clock. */
#ifndef REVIEW_STANDINS_H
#define REVIEW_STANDINS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* --- clock and record --- */

int64_t now_ms (void); /* since the start of the case */
void sleep_ms (int64_t ms);
void sleep_until (int64_t at_ms);
void record_open (const char *path);
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

/* --- HTTP messages --- */

struct message
{
  char head[16384];
  char *body;
  size_t body_len;
  bool body_complete;
};

int listen_on (const char *ip, int *port); /* a free port if *port is 0 */
int connect_to (const char *ip, int port, int timeout_ms);
bool send_all (int fd, const void *bytes, size_t len);
/* Reads one message, with its body; false: the connection ended before, or the time was over. */
bool read_message (int fd, struct message *message, bool is_response, int64_t until_ms);
void message_free (struct message *message);
bool head_field (const char *head, const char *name, char *value, size_t size);
int head_status (const char *head);

/* --- the platform's store --- */

/* Listens on one port for each entry, so that it can tell which entry calls. */
void store_start (int entries);
int store_port (int entry);
/* Writes spec and returns the time at which the store accepted it. */
int64_t store_put (const char *kind, const char *name, const char *spec);
int64_t store_delete (const char *kind, const char *name);
/* Whether the entry has a watch of the kind in progress. */
bool store_is_watched_by (int entry, const char *kind);
extern volatile bool store_is_down[64]; /* by entry: responds to nothing */

/* --- backend servers --- */

struct backend
{
  char id[192];
  char service[32];
  char zone[32];
  int port;
  int slots;
  int work_ms;
  int64_t born;
  volatile int sequence;
  volatile bool draining;
  volatile bool stopped;
  /* Called for each request other than health checks; false: the default answer is sent. */
  bool (*answer) (struct backend *backend, int fd, const struct message *request, const char *id);
  void *context;
  int listener;
};

void backend_start (struct backend *backend);     /* listens */
int64_t backend_report (struct backend *backend); /* writes its entry to the store; returns the time of the ack */

void backend_answer (int fd, const char *id, const char *stamp, const char *body); /* a 200 */

/* --- hickoryd --- */

struct entry
{
  char name[32];
  char zone[32];
  int index;
  int front, ready, peers, metrics;
  int pid;
  char settings[256];
  char log[256];
  bool first_start;
  const char *more_settings; /* further lines */
};

void folder_open (void); /* a temporary folder */
void folder_remove (void);
void entry_prepare (struct entry *entry); /* chooses ports */
void entry_start (struct entry *entry);
bool entry_is_ready (const struct entry *entry);
void entry_signal (struct entry *entry, int signal);
int entry_wait (struct entry *entry, int64_t timeout_ms); /* wait status; -1: still running */
void end_all (void);                                      /* kills every process that was started */
void end_on_signals (void); /* SIGTERM and SIGINT end the case with 2, and all its processes */

/* --- callers --- */

struct outcome
{
  int status; /* 0: no complete answer */
  bool connected;
  bool got_bytes; /* a part of an answer came */
  int64_t sent_at;
  int64_t ended_at;
  char head[4096];
  char *body;
  size_t body_len;
};

/* Sends one request on a new connection and waits for its answer until the deadline, then leaves. */
struct outcome call (int port,
                     const char *method,
                     const char *host,
                     const char *path,
                     const char *id,
                     const char *more_fields,
                     const char *body,
                     size_t body_len,
                     int deadline_ms);
void start_thread (void *(*function) (void *), void *context);

#endif
