/**
 * DOC: fleet - simulates many entries in one process
 *
 * Each entry is a reducer of its own. Datagrams pass through a queue that can
 * lose and delay them, and a fake platform reports changes of the directory and
 * of the configuration to the entries that watch it. Time is simulated.
 */
#ifndef FLEET_H
#define FLEET_H

#include <glib.h>

#include "hf-settings.h"
#include "hf-state.h"

/* --- constants --- */

#define FLEET_ENTRIES_MAX        480
#define FLEET_SERVERS_MAX        400
#define FLEET_STEP_MS            10
#define FLEET_PROPAGATION_MAX_MS 2000 /* until every entry has applied a change */
#define FLEET_QUOTA_WINDOW_MS    5000
#define FLEET_QUOTA_OVERSHOOT    0.1
#define FLEET_QUOTA_SLACK        20

#ifndef FLEET_AFFINITY
#define FLEET_AFFINITY HF_AFFINITY_OFF /* of fleet_open; a program may be built with another one */
#endif

/* --- types --- */

/** struct fleet_entry - one entry; the flags are set by tests */
struct fleet_entry
{
  struct fleet *fleet;
  struct hf_state *state;
  char name[16];
  char failure_domain[16];
  char address[32];
  enum hf_watch_mode watch_mode;
  bool is_disconnected;      /* no datagram reaches it or leaves it */
  bool is_paused;            /* the process does not run; its datagrams wait */
  bool platform_unreachable; /* the platform does not respond to it */
  bool watch_hangs;          /* its watch delivers nothing, although its checks of the platform succeed */
  int64_t watch_wait_ms;     /* how long its watches wait for a change */
  int64_t watch_lost_until;  /* its watches deliver nothing, and are renewed then */
  bool checks_now;           /* it has begun to watch and checks the platform at once */
  int64_t link_factor;       /* its link carries this many times the fleet's link_bytes_per_ms; 0: once */
  unsigned part;             /* datagrams pass between entries of one part only */
  unsigned lost_kind;        /* enum hf_rpc_kind of messages that never reach it; 0: none */
  uint64_t era;              /* of the platform, as far as the entry's client knows */
  uint64_t revision;         /* directory revision that the platform has reported to it */
  uint64_t orders_era;       /* the same of the orders to evacuate a failure domain */
  uint64_t orders_revision;
  uint64_t generation; /* configuration generation that the platform has reported to it */
  unsigned datagrams_sent;
  unsigned heartbeats_sent;
  unsigned document_reads;                  /* requests to the platform for the configuration */
  int64_t read_at;                          /* last such request that is not answered yet; 0: none */
  int64_t sent_bytes;                       /* in datagrams */
  int64_t sent_bytes_other;                 /* in datagrams to other failure domains */
  int64_t crossing_bytes[HF_TRAFFIC_KINDS]; /* in datagrams that its reducer marked as crossing, by kind */
  int64_t link_free_at;                     /* time when its datagrams so far have been sent */
};

/** struct fleet_server - a backend server in the platform's directory, and the revision of its last change */
struct fleet_server
{
  bool listed;
  bool draining;
  uint64_t incarnation; /* 0: the first one */
  uint64_t revision;
  uint64_t sequence;   /* of the server's reports */
  unsigned domain;     /* it is in the failure domain "d" with this number */
  bool warmup_unknown; /* it does not report the next */
  int64_t warmup_ms;   /* as it reports it with each change */
};

/** struct fleet - entries, the datagrams between them, and the platform; @on_effect may be set by a test */
struct fleet
{
  void (*on_effect) (void *context, struct fleet_entry *entry, const struct hf_effect *effect);
  void *context;
  struct fleet_entry entries[FLEET_ENTRIES_MAX];
  unsigned entry_count;
  GHashTable *entry_by_address;
  GQueue *datagrams;
  int64_t now;
  unsigned loss_interval; /* one datagram in this many is lost; 0: none */
  unsigned loss_counter;
  bool domains_are_cut; /* no datagram crosses failure domains */
  struct fleet_server servers[FLEET_SERVERS_MAX];
  uint64_t era;      /* rises when the platform comes back from an older copy */
  uint64_t revision; /* of the last change in that era */
  struct fleet_server saved_servers[FLEET_SERVERS_MAX];
  uint64_t saved_revision;
  uint64_t sequence;           /* last one of a server's report; it does not go back with the platform */
  uint64_t generation;         /* of the operator's configuration; 0: none yet */
  char *document;              /* its text */
  struct hf_settings settings; /* of each entry, besides its names and addresses */
  const char *service_fields;  /* of the document, each after a comma; NULL: none */
  char evacuated[16];          /* failure domain that is to be evacuated; empty: none */
  char saved_evacuated[16];
  uint64_t orders_revision; /* of the last change of that */
  struct hf_str encoded_document;
  unsigned server_domains;   /* the servers are spread over so many failure domains; 0: all are in the first one */
  int64_t link_bytes_per_ms; /* bandwidth of each entry's link; 0: unlimited */
  unsigned watch_starts;     /* how often an entry began to watch the platform */
  unsigned probe_starts;     /* how often one began to check the platform, as no watcher kept it current */
};

/* --- public functions: open and close --- */

/* Entries that have exchanged heartbeats; the first @large_per_domain entries of each failure domain have five times
 * the processor time of the others. */
struct fleet *fleet_open (unsigned entries, unsigned domains, unsigned large_per_domain);
/* The same with a setting of domain affinity. A round trip takes two steps of the simulated time, so
 * automatic affinity is on after some seconds. */
struct fleet *
fleet_open_with_affinity (unsigned entries, unsigned domains, unsigned large_per_domain, enum hf_affinity_mode mode);
struct fleet *
fleet_open_with (unsigned entries, unsigned domains, unsigned large_per_domain, const struct hf_settings *settings);
/* The same with servers that are spread over failure domains. */
struct fleet *fleet_open_with_servers (unsigned entries,
                                       unsigned domains,
                                       unsigned large_per_domain,
                                       enum hf_affinity_mode mode,
                                       unsigned server_domains);
void fleet_close (struct fleet *fleet);
void fleet_restart (struct fleet *fleet, unsigned i, uint64_t boot_id); /* a new process, which was told nothing yet */

/* --- public functions: events --- */

void fleet_advance (struct fleet *fleet, int64_t ms); /* delivers what is due in that time, and ticks every entry */
void fleet_raise_event (struct fleet_entry *entry, struct hf_event event);
void fleet_change_server (struct fleet *fleet, unsigned i, struct fleet_server server);
void fleet_evacuate (struct fleet *fleet, const char *failure_domain); /* the operator's order; "": none stands */
/* The watches that the entry has just sent are lost: each is renewed once it times out, or is replaced. */
void fleet_lose_watches (struct fleet_entry *entry);
void fleet_save_platform (struct fleet *fleet);    /* keeps a copy of the directory */
void fleet_restore_platform (struct fleet *fleet); /* goes back to it: revisions are given out again in a new era */
void fleet_report_full_list (struct fleet_entry *entry);          /* the platform's response to a list call */
void fleet_report_entries (struct fleet_entry *entry);            /* the same for the list of entries */
void fleet_write_document (struct fleet *fleet, unsigned routes); /* the operator writes the next generation */
void fleet_put_document (struct fleet *fleet, const char *text);  /* the same with any text, in YAML */
char *fleet_make_document (unsigned routes);                      /* YAML text; the caller frees it */

/* --- public functions: checks --- */

unsigned fleet_count_active_watches (const struct fleet *fleet);
unsigned fleet_count_short_watches (const struct fleet *fleet); /* of those */
unsigned fleet_count_watchers (const struct fleet *fleet, unsigned domains, unsigned domain);
uint64_t fleet_generation (const struct fleet_entry *entry); /* of the configuration in force; 0: none */
/* Every entry that is not disconnected has exactly the servers that the platform lists. */
void fleet_check_directories (const struct fleet *fleet);

#endif
