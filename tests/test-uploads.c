/*
 * Tests of request bodies around and above HF_BODY_BUFFER_BYTES with the real
 * hickoryd: whatever happens to an attempt, a backend server gets the caller's
 * whole body or no complete request, and a request that must run once is
 * never run twice.
 */
#include <string.h>

#include "input.h"
#include "platform-setup.h"

#include "config.h"

/* --- constants --- */

#define UPLOADS            6 /* of one kind, so that each server gets some first */
#define UPLOAD_TIMEOUT_S   4
#define HOLD_MS            700 /* how long slots are kept busy */
#define ARRIVAL_MS         200 /* until a request on loopback has arrived */
#define UPLOAD_REQUEST_ID  "upload"
#define RESET_UPLOADS      100
#define RESET_UPLOAD_BYTES (2 * 1024 * 1024)

/* --- types --- */

/** struct body - what a caller sends */
struct body
{
  gsize size;
  gboolean chunked;
};

static const struct body bodies[] = {
  { HF_BODY_BUFFER_BYTES - 1, FALSE },      { HF_BODY_BUFFER_BYTES - 1, TRUE },
  { HF_BODY_BUFFER_BYTES, FALSE },          { HF_BODY_BUFFER_BYTES, TRUE },
  { HF_BODY_BUFFER_BYTES + 1, FALSE },      { HF_BODY_BUFFER_BYTES + 1, TRUE },
  { HF_BODY_BUFFER_BYTES + 40000, FALSE },  { HF_BODY_BUFFER_BYTES + 40000, TRUE },
  { 4 * HF_BODY_BUFFER_BYTES + 77, FALSE }, { 4 * HF_BODY_BUFFER_BYTES + 77, TRUE },
};

/* --- internal functions: bodies --- */

/* The caller frees it. */
static char *
make_upload (struct setup *setup, const struct body *body, const char *content)
{
  GString *request = g_string_new (NULL);
  g_string_printf (request, "POST /u/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s%u\r\nX-Deadline-Ms: 2000\r\n",
                   UPLOAD_REQUEST_ID, ++setup->next_id);
  if (body->chunked)
    g_string_append (request, "Transfer-Encoding: chunked\r\n\r\n");
  else
    g_string_append_printf (request, "Content-Length: %zu\r\n\r\n", body->size);
  if (body->chunked)
    append_chunks (request, content);
  else
    g_string_append (request, content);
  return g_string_free (request, FALSE);
}

/* --- internal functions: uploads --- */

static void
put_upload_config (struct setup *setup, guint version)
{
  char *spec = g_strdup_printf (
      "{\"version\":\"r%u\",\"routes\":["
      "{\"name\":\"up\",\"host\":\"h.example\",\"path_prefix\":\"/u/"
      "\",\"route_kind\":\"upload\",\"timeout\":\"2000ms\","
      "\"target_latency\":\"300ms\",\"priority\":1,\"service\":\"alpha\",\"max_attempts\":3}],"
      "\"services\":[{\"name\":\"alpha\",\"health_path\":\"/health\",\"max_conns\":10}],"
      "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":64000000,\"header_timeout\":\"500ms\","
      "\"idle_timeout\":\"15000ms\"}}",
      version);
  fake_store_put (setup->store, "config", "main", spec);
  g_free (spec);
}

static struct setup *
open_uploads (void)
{
  struct setup *setup = open_setup ();
  put_upload_config (setup, 8);
  harness_pause (DIRECTORY_UPDATE_MS);
  return setup;
}

/* Every complete request that a server received has the whole body. */
static void
assert_whole (const struct setup *setup, const char *content)
{
  for (guint i = 0; i < SERVERS; i++)
    {
      const GString *request = setup->servers[i].last_request;
      if (request->len == 0)
        continue;
      char *received = read_body (request->str);
      g_assert_cmpuint (strlen (received), ==, strlen (content));
      g_assert_cmpstr (received, ==, content);
      g_free (received);
    }
}

/* Returns the status of the response. */
static guint
send_upload (struct setup *setup, const struct body *body, const char *content)
{
  char *request = make_upload (setup, body, content);
  for (guint i = 0; i < SERVERS; i++)
    g_string_truncate (setup->servers[i].last_request, 0);
  struct raw_client *client = raw_client_connect (setup->net, setup->caller_address, request);
  g_assert_true (harness_wait_until (has_response, client, UPLOAD_TIMEOUT_S));
  guint status = raw_client_status (client);
  raw_client_close (client);
  g_free (request);
  return status;
}

/* The same; each server that has received the request has the whole body. */
static guint
upload (struct setup *setup, const struct body *body)
{
  char *content = make_content (body->size);
  guint status = send_upload (setup, body, content);
  assert_whole (setup, content);
  g_free (content);
  return status;
}

/* --- tests --- */

static void
test_whole (void)
{
  struct setup *setup = open_uploads ();
  for (gsize i = 0; i < G_N_ELEMENTS (bodies); i++)
    g_assert_cmpuint (upload (setup, &bodies[i]), ==, 200);
  close_setup (setup);
}

/* Guards against review/1: an upload that one server sheds, and of which bytes were sent and not kept, must not be sent
 * to another server without them. It has not run, so the caller is told so at once. */
static void
test_shed (void)
{
  struct setup *setup = open_uploads ();
  setup->servers[0].behaviour = SENDS_NOT_RUN;
  for (gsize i = 0; i < G_N_ELEMENTS (bodies); i++)
    for (guint n = 0; n < UPLOADS; n++)
      {
        guint status = upload (setup, &bodies[i]);
        g_assert_true (status == 200 || status == 503);
      }
  close_setup (setup);
}

/* Guards against review/2: an upload whose first connection is refused must reach the next server without a hole. Once
 * the retry budget is spent, the caller is told that it has not run. */
static void
test_refused (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (bodies); i++)
    {
      struct setup *setup = open_uploads ();
      guint served = 0;
      raw_server_set_refusing (setup->servers[0].raw_server);
      for (guint n = 0; n < UPLOADS; n++)
        {
          guint status = upload (setup, &bodies[i]);
          g_assert_true (status == 200 || status == 503);
          served += status == 200;
        }
      g_assert_cmpuint (served, >=, UPLOADS / 2);
      close_setup (setup);
    }
}

/* A request that keeps a slot until its deadline; the servers do not answer. */
static struct raw_client *
hold_slot (struct setup *setup)
{
  char *request = g_strdup_printf ("POST /u/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: hold%u\r\n"
                                   "X-Deadline-Ms: %d\r\nContent-Length: 1\r\n\r\nx",
                                   ++setup->next_id, HOLD_MS);
  struct raw_client *client = raw_client_connect (setup->net, setup->caller_address, request);
  g_free (request);
  return client;
}

/* Sends an upload that waits for a slot and is given up; it must not reach a server once slots are free. */
static void
check_given_up (const struct body *body)
{
  struct setup *setup = open_uploads ();
  struct raw_client *holders[SERVERS * SERVER_SLOTS];
  char *content = make_content (body->size);
  g_test_message ("%zu bytes, %s", body->size, body->chunked ? "in chunks" : "with a length");
  set_behaviour (setup, SENDS_NOTHING);
  for (guint n = 0; n < G_N_ELEMENTS (holders); n++)
    holders[n] = hold_slot (setup);
  harness_pause (ARRIVAL_MS);
  char *request = make_upload (setup, body, content);
  char *id = g_strdup_printf (UPLOAD_REQUEST_ID "%u", setup->next_id);
  struct raw_client *client = raw_client_connect (setup->net, setup->caller_address, request);
  harness_pause (ARRIVAL_MS);
  g_assert_false (g_hash_table_contains (setup->ids, id));
  raw_client_close (client);
  harness_pause (HOLD_MS + ARRIVAL_MS);
  g_assert_false (g_hash_table_contains (setup->ids, id));
  for (guint n = 0; n < G_N_ELEMENTS (holders); n++)
    raw_client_close (holders[n]);
  g_free (id);
  g_free (request);
  g_free (content);
  close_setup (setup);
}

/* Guards against the finding GONE of the review: the entry does not read the connection of a long upload that waits,
 * and notices its close nevertheless. */
static void
test_gone (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (bodies); i++)
    check_given_up (&bodies[i]);
}

/* Guards against "not run" for an upload that a server works at, where the rest of its body is malformed. */
static void
test_malformed_rest (void)
{
  struct setup *setup = open_uploads ();
  char *content = make_content (HF_BODY_BUFFER_BYTES + 40000);
  char *request = g_strdup_printf ("POST /u/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: malformed\r\n"
                                   "X-Deadline-Ms: 2000\r\nTransfer-Encoding: chunked\r\n\r\n%zx\r\n%s\r\n",
                                   strlen (content), content);
  for (guint i = 0; i < SERVERS; i++)
    raw_server_set_head_only (setup->servers[i].raw_server, TRUE);
  set_behaviour (setup, SENDS_NOTHING);
  struct raw_client *client = raw_client_connect (setup->net, setup->caller_address, request);
  harness_pause (ARRIVAL_MS);
  g_assert_true (g_hash_table_contains (setup->ids, "malformed"));
  raw_client_send (client, "zz\r\n");
  g_assert_true (harness_wait_until (has_response, client, UPLOAD_TIMEOUT_S));
  g_assert_cmpuint (raw_client_status (client), ==, 400);
  g_assert_nonnull (strstr (client->received->str, "Hickory-Outcome: unknown"));
  raw_client_close (client);
  g_free (request);
  g_free (content);
  close_setup (setup);
}

/* Guards against a partial response that counts as complete: the server responds at once without a length and resets
 * the connection while the upload is still written to it. */
static void
test_reset (void)
{
  const struct body body = { RESET_UPLOAD_BYTES, FALSE };
  struct setup *setup = open_uploads ();
  for (guint i = 0; i < SERVERS; i++)
    {
      raw_server_set_head_only (setup->servers[i].raw_server, TRUE);
      setup->servers[i].behaviour = SENDS_TEXT;
      setup->servers[i].text = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n\r\npart";
      setup->servers[i].cuts_by_reset = TRUE;
    }
  char *content = make_content (body.size);
  guint before = count_requests (setup);
  for (guint i = 0; i < RESET_UPLOADS; i++)
    g_assert_cmpuint (send_upload (setup, &body, content), !=, 200);
  g_assert_cmpuint (count_requests (setup), >, before);
  g_free (content);
  close_setup (setup);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/uploads/whole", test_whole);
  g_test_add_func ("/uploads/shed", test_shed);
  g_test_add_func ("/uploads/refused", test_refused);
  g_test_add_func ("/uploads/gone", test_gone);
  g_test_add_func ("/uploads/malformed-rest", test_malformed_rest);
  g_test_add_func ("/uploads/reset", test_reset);
  return g_test_run ();
}
