/*
 * Responses without end, with the real hickoryd: whatever a backend server
 * sends, or sends no more, at any phase, size and framing, the caller has a
 * final answer soon after the timeout of its route, and the backend server's
 * connection is closed.
 */
#include <string.h>

#include "platform-setup.h"

#include "config.h"

/* --- constants --- */

#define READ_TIMEOUT_MS  1000 /* of the routes of the setup */
#define WRITE_TIMEOUT_MS 800
#define LATE_MS          400 /* after the timeout; the users' bound is 500 */
#define CALLERS          4
#define REQUEST_GAP_MS   50
#define REQUESTS_MAX     200 /* until the entry trusts the servers again */
#define SERVED_REQUESTS  10  /* in a row */

#define HEAD    "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n"
#define CLOSE   HEAD "Connection: close\r\n\r\n"
#define LENGTH  HEAD "Content-Length: 1000000000000\r\n\r\n"
#define CHUNKED HEAD "Transfer-Encoding: chunked\r\n\r\n"
#define TEXT_50 "12345678901234567890123456789012345678901234567890"

/* --- types --- */

struct endless_case
{
  const char *path;
  const char *begin;  /* {id}: of the request */
  gsize body_bytes;   /* that follow at once, in one chunk if the body is chunked */
  const char *behind; /* follows these */
  const char *piece;  /* comes again and again; empty: nothing follows */
  gboolean slowly;
};

static const struct endless_case cases[] = {
  { "/endless/close", CLOSE, 0, "", TEXT_50, FALSE },
  { "/endless/length", LENGTH, 0, "", TEXT_50, FALSE },
  { "/endless/chunked", CHUNKED, 0, "", "32\r\n" TEXT_50 "\r\n", FALSE },
  { "/endless/close-slow", CLOSE, 0, "", TEXT_50, TRUE },
  { "/endless/chunked-slow", CHUNKED, 0, "", "32\r\n" TEXT_50 "\r\n", TRUE },
  { "/endless/long-slow", CLOSE, LONG_BODY_BYTES, "", TEXT_50, TRUE },
  { "/endless/long-chunked-slow", CHUNKED, LONG_BODY_BYTES, "", "32\r\n" TEXT_50 "\r\n", TRUE },
  { "/endless/long-silent", LENGTH, LONG_BODY_BYTES, "", "", FALSE },
  { "/endless/long-close-silent", CLOSE, LONG_BODY_BYTES, "", "", FALSE },
  { "/endless/short-silent", LENGTH, 5, "", "", FALSE },
  { "/endless/trailers", CHUNKED, 5, "0\r\n", "X-T: 1\r\n", FALSE },
  { "/endless/long-trailers", CHUNKED, LONG_BODY_BYTES, "0\r\n", "X-T: 1\r\n", TRUE },
  { "/endless/extension", CHUNKED, 5, "5;", "x", TRUE },
  { "/endless/long-extension", CHUNKED, LONG_BODY_BYTES, "5;", TEXT_50, FALSE },
  { "/endless/head-slow", HEAD, 0, "", "X-T: 1\r\n", TRUE },
  { "/endless/head-silent", "HTTP/1.1 200 O", 0, "", "", FALSE },
  { "/endless/informational", "", 0, "", "HTTP/1.1 102 Processing\r\n\r\n", TRUE },
  { "/endless/foreign", "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n\r\n", 0, "", TEXT_50, TRUE },
  { "/endless/failure", "HTTP/1.1 500 Failed\r\nX-Attempt-Id: {id}\r\n\r\n", 0, "", TEXT_50, FALSE },
  { "/endless/empty-status", "HTTP/1.1 204 No Content\r\nX-Attempt-Id: {id}\r\n\r\n", 0, "", TEXT_50, FALSE },
};

/* --- internal functions --- */

static char *
make_text (const struct endless_case *endless)
{
  GString *text = g_string_new (endless->begin);
  char *body = g_strnfill (endless->body_bytes, 'b');
  if (endless->body_bytes > 0 && strstr (endless->begin, "chunked"))
    g_string_append_printf (text, "%zx\r\n%s\r\n", endless->body_bytes, body);
  else
    g_string_append (text, body);
  g_string_append (text, endless->behind);
  g_free (body);
  return g_string_free (text, FALSE);
}

static gboolean
is_final (const struct raw_client *client)
{
  return client->ended || raw_client_has_response (client);
}

/* A response that was cut must not look complete: its connection ends by a reset, or before its declared length. */
static void
check_not_complete (const struct endless_case *endless, const struct raw_client *client)
{
  bool has_end = strstr (endless->begin, " 204 ") != NULL;
  if (raw_client_status (client) != 200 || has_end)
    return;
  g_assert_true (client->reset);
  g_assert_false (g_str_has_suffix (client->received->str, "\r\n0\r\n\r\n"));
}

/* One caller of each route reads what comes, one reads nothing until the time is over. Requests that differ from
 * theirs, which may be in quarantine, are served in the end: no slot is left taken. */
static void
test_end (gconstpointer data)
{
  const struct endless_case *endless = data;
  struct setup *setup = open_setup ();
  struct raw_client *callers[CALLERS];
  char *text = make_text (endless);
  setup->endless_piece = endless->piece;
  setup->endless_slowly = endless->slowly;
  for (guint i = 0; i < SERVERS; i++)
    setup->servers[i].text = text;
  set_behaviour (setup, SENDS_TEXT_ENDLESS);
  for (guint i = 0; i < CALLERS; i++)
    {
      char *request = i % 2 ? format_request (setup, "POST", "/w/x", "b") : format_request (setup, "GET", "/r/x", "");
      callers[i] = raw_client_connect (setup->net, setup->caller_address, request);
      hf_stream_pause (callers[i]->stream, i >= 2);
      g_free (request);
    }
  harness_pause (READ_TIMEOUT_MS + LATE_MS);
  guint open = 0;
  for (guint i = 0; i < setup->endless->len; i++)
    open += raw_connection_is_open (g_ptr_array_index (setup->endless, i));
  g_assert_cmpuint (setup->endless->len, >, 0);
  g_assert_cmpuint (open, ==, 0);
  for (guint i = 0; i < CALLERS; i++)
    {
      hf_stream_pause (callers[i]->stream, FALSE);
      harness_pause (10);
      g_assert_true (is_final (callers[i]));
      check_not_complete (endless, callers[i]);
      raw_client_close (callers[i]);
    }
  set_behaviour (setup, SENDS_RESPONSE);
  guint served = 0;
  for (guint i = 0; i < REQUESTS_MAX && served < SERVED_REQUESTS; i++)
    {
      served = request_status (setup, "POST", "/w/other", "b") == 200 ? served + 1 : 0;
      harness_pause (REQUEST_GAP_MS);
    }
  g_assert_cmpuint (served, ==, SERVED_REQUESTS);
  close_setup (setup);
  g_free (text);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_set_prgname (argv[0]);
  g_test_set_nonfatal_assertions ();
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    g_test_add_data_func (cases[i].path, &cases[i], test_end);
  return g_test_run ();
}
