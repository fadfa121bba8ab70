/*
 * Tests of responses that are malformed: a table of cases, and random mutations
 * of responses against a naive strict reader. Guards against a malformed
 * response that counts as complete, and a valid one that does not.
 */
#include <glib.h>
#include <string.h>

#include "hf-http-parser.h"
#include "naive-response.h"
#include "response-reader.h"

/* --- constants --- */

#define MUTATIONS    20000 /* responses that are tried */
#define CHANGES_MAX  3     /* of one response */
#define FRAMED       "Content-Length: 2\r\n\r\nok"
#define AFTER_STATUS "HTTP/1.1 200 OK\r\n"

/* --- internal functions --- */

static void
check_against_naive (struct hf_str bytes, guint piece)
{
  struct naive_response expected = naive_response_read (bytes);
  struct naive_response found = response_reader_read (bytes, piece);
  if (expected.complete != found.complete)
    {
      char *text = g_strndup (bytes.data, bytes.len);
      char *escaped = g_strescape (text, NULL);
      g_test_message ("naive reader: %d, parser: %d: %s", expected.complete, found.complete, escaped);
      g_free (escaped);
      g_free (text);
    }
  g_assert_cmpint (found.complete, ==, expected.complete);
  if (expected.complete)
    {
      g_assert_cmpuint (found.status, ==, expected.status);
      g_assert_cmpmem (found.body->str, found.body->len, expected.body->str, expected.body->len);
    }
  g_string_free (expected.body, TRUE);
  g_string_free (found.body, TRUE);
}

static void
check_table (const char *const *responses, gsize n, gboolean valid)
{
  for (gsize i = 0; i < n; i++)
    {
      struct naive_response found = response_reader_read (hf_str (responses[i]), 1);
      if (found.complete != valid)
        g_test_message ("case %u: %s", (guint) i, responses[i]);
      g_assert_cmpint (found.complete, ==, valid);
      g_string_free (found.body, TRUE);
      check_against_naive (hf_str (responses[i]), 7);
    }
}

/* --- tests --- */

static void
test_malformed (void)
{
  static const char *const responses[] = {
    /* status lines */
    "HTTP/1.1 000 None\r\n" FRAMED,
    "HTTP/1.1 099 Low\r\n" FRAMED,
    "HTTP/1.1 600 High\r\n" FRAMED,
    "HTTP/1.1 2000 Long\r\n" FRAMED,
    "HTTP/1.1 20 Short\r\n" FRAMED,
    "HTTP/1.1\r\n" FRAMED,
    "HTTP/1.1 \r\n" FRAMED,
    "HTTP/1.1 OK\r\n" FRAMED,
    "HTTP/1.1 -200 Sign\r\n" FRAMED,
    "HTTP/1.1 +20 Sign\r\n" FRAMED,
    "HTTP/1.1  200 Blanks\r\n" FRAMED,
    " HTTP/1.1 200 Blank\r\n" FRAMED,
    "HTTP/1.1\t200 Tab\r\n" FRAMED,
    "HTTP/1.1 200\tTab\r\n" FRAMED,
    "HTTP/1.1 200 Bell\a\r\n" FRAMED,
    "HTTP/11 200 OK\r\n" FRAMED,
    "HTTP/2.0 200 OK\r\n" FRAMED,
    "\r\n" AFTER_STATUS FRAMED,
    /* names of fields */
    AFTER_STATUS "X-A : b\r\n" FRAMED,
    AFTER_STATUS "X-A\t: b\r\n" FRAMED,
    AFTER_STATUS "X A: b\r\n" FRAMED,
    AFTER_STATUS " X-A: b\r\n" FRAMED,
    AFTER_STATUS "X\001A: b\r\n" FRAMED,
    AFTER_STATUS "X\177A: b\r\n" FRAMED,
    AFTER_STATUS "X-\303\204: b\r\n" FRAMED,
    AFTER_STATUS "X(A): b\r\n" FRAMED,
    AFTER_STATUS ": b\r\n" FRAMED,
    AFTER_STATUS "X-A\r\n" FRAMED,
    AFTER_STATUS "X-A: b\r\n folded\r\n" FRAMED,
    AFTER_STATUS "X-A: b\r\n\tfolded\r\n" FRAMED,
    AFTER_STATUS "X-A: b\r\n \r\n" FRAMED,
    /* values */
    AFTER_STATUS "X-A: \001\r\n" FRAMED,
    AFTER_STATUS "X-A: b\033c\r\n" FRAMED,
    AFTER_STATUS "X-A: b\177\r\n" FRAMED,
    AFTER_STATUS "X-A: b\rc\r\n" FRAMED,
    AFTER_STATUS "X-A: b\r\r\n" FRAMED,
    AFTER_STATUS "X-A: b\n" FRAMED,
    /* lengths */
    AFTER_STATUS "Content-Length: 2\r\n" FRAMED,
    AFTER_STATUS "Content-Length: 3\r\n" FRAMED,
    AFTER_STATUS "Content-Length: +2\r\n\r\nok",
    AFTER_STATUS "Content-Length: -2\r\n\r\nok",
    AFTER_STATUS "Content-Length: 0x2\r\n\r\nok",
    AFTER_STATUS "Content-Length: 2, 2\r\n\r\nok",
    AFTER_STATUS "Content-Length: 2 2\r\n\r\nok",
    AFTER_STATUS "Content-Length: two\r\n\r\nok",
    AFTER_STATUS "Content-Length:\r\n\r\nok",
    AFTER_STATUS "Content-Length: 99999999999999999999\r\n\r\nok",
    AFTER_STATUS "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    AFTER_STATUS "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    AFTER_STATUS "Transfer-Encoding: gzip\r\n\r\nok",
    AFTER_STATUS "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    AFTER_STATUS "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    /* chunks */
    AFTER_STATUS "Transfer-Encoding: chunked\r\n\r\n+2\r\nok\r\n0\r\n\r\n",
    AFTER_STATUS "Transfer-Encoding: chunked\r\n\r\n0x2\r\nok\r\n0\r\n\r\n",
    AFTER_STATUS "Transfer-Encoding: chunked\r\n\r\n\r\nok\r\n0\r\n\r\n",
    AFTER_STATUS "Transfer-Encoding: chunked\r\n\r\n2\r\nokxx0\r\n\r\n",
    AFTER_STATUS "Transfer-Encoding: chunked\r\n\r\n2\rxok\r\n0\r\n\r\n",
    AFTER_STATUS "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX A: b\r\n\r\n",
  };
  check_table (responses, G_N_ELEMENTS (responses), FALSE);
}

/* NUL bytes end a string of the table above. */
static void
test_nul (void)
{
  static const char name[] = AFTER_STATUS "X\0A: b\r\n" FRAMED;
  static const char value[] = AFTER_STATUS "X-A: b\0c\r\n" FRAMED;
  static const char reason[] = "HTTP/1.1 200 O\0K\r\n" FRAMED;
  const struct hf_str responses[]
      = { { name, sizeof name - 1 }, { value, sizeof value - 1 }, { reason, sizeof reason - 1 } };
  for (guint i = 0; i < G_N_ELEMENTS (responses); i++)
    {
      struct naive_response found = response_reader_read (responses[i], 1);
      g_assert_false (found.complete);
      g_string_free (found.body, TRUE);
      check_against_naive (responses[i], 5);
    }
}

static const char *const valid_responses[] = {
  AFTER_STATUS FRAMED,
  "HTTP/1.0 599 Last\r\n" FRAMED,
  "HTTP/1.1 200\r\n" FRAMED,
  "HTTP/1.1 200 \r\n" FRAMED,
  "HTTP/1.1 200 \303\204 \t ok\r\n" FRAMED,
  AFTER_STATUS "X-A:b\r\nX-B:\r\nX-C: \t b c \t\r\nX-D: \303\204\r\n" FRAMED,
  AFTER_STATUS "!#$%&'*+-.^_`|~09AZaz: b\r\n" FRAMED,
  AFTER_STATUS "Content-Length:  2 \r\n\r\nok",
  AFTER_STATUS "X-A: b\r\n\r\nwhole",
  AFTER_STATUS "Transfer-Encoding: Chunked \r\n\r\n1;a=b\r\no\r\n01\r\nk\r\n0\r\nX: y\r\n\r\n",
  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nContent-Length: 4\r\n\r\n" AFTER_STATUS FRAMED,
  "HTTP/1.1 204 None\r\nContent-Length: 5\r\n\r\n",
};

static void
test_valid (void)
{
  check_table (valid_responses, G_N_ELEMENTS (valid_responses), TRUE);
}

static void
mutate (GRand *rand, GString *text)
{
  static const char bytes[] = " \t\r\n:;,+-0123456789aAfF\001\177\200xX\0";
  gsize at = (gsize) g_rand_int_range (rand, 0, (gint32) text->len);
  char byte = bytes[g_rand_int_range (rand, 0, sizeof bytes)];
  switch (g_rand_int_range (rand, 0, 4))
    {
    case 0:
      text->str[at] = byte;
      break;
    case 1:
      g_string_insert_c (text, (gssize) at, byte);
      break;
    case 2:
      g_string_erase (text, (gssize) at, 1);
      break;
    default:
      g_string_truncate (text, at + 1);
    }
}

static void
test_mutations (void)
{
  GRand *rand = g_rand_new_with_seed (1);
  for (guint i = 0; i < MUTATIONS; i++)
    {
      const char *response = valid_responses[g_rand_int_range (rand, 0, G_N_ELEMENTS (valid_responses))];
      GString *text = g_string_new (response);
      for (gint n = g_rand_int_range (rand, 1, CHANGES_MAX + 1); n > 0 && text->len > 0; n--)
        mutate (rand, text);
      check_against_naive ((struct hf_str){ text->str, text->len }, 1 + i % 11);
      g_string_free (text, TRUE);
    }
  g_rand_free (rand);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/http-syntax/malformed", test_malformed);
  g_test_add_func ("/http-syntax/nul", test_nul);
  g_test_add_func ("/http-syntax/valid", test_valid);
  g_test_add_func ("/http-syntax/mutations", test_mutations);
  return g_test_run ();
}
