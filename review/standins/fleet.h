/**
 * DOC: fleet - a small deployment: three entries, one service of uploads, one of reads
 */
#ifndef FLEET_H
#define FLEET_H

#include "standins.h"

#define FLEET_ENTRIES 3
#define FLEET_UPLOADS 7 /* backend servers of the upload service: one of them is a share of 0.143 */
#define FLEET_READS   3
#define FLEET_HOST    "review.example"

/** struct fleet - the deployment */
struct fleet
{
  struct store *store;
  struct entry entries[FLEET_ENTRIES];
  struct backend uploads[FLEET_UPLOADS];
  struct backend reads[FLEET_READS];
  unsigned idle_routes; /* further routes of the configuration */
};

/* Starts all and waits until every entry is ready. */
void fleet_start (struct fleet *fleet);
/* Writes a configuration with routes /up/ (upload), /un/ (unsafe), /ur/ (safe) to the uploads, /re/ (safe) to the
 * reads. */
void fleet_configure (struct fleet *fleet, unsigned version);

/* --- bodies that were sent, and what the backend servers ran --- */

void sent_add (const char *id, const GByteArray *body);
/* Whether the body is that which was sent under the id; records it if not. */
bool sent_matches (const struct backend *backend, const struct message *request);

#endif
