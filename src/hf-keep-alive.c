/* How long an idle connection to a server is kept. */
#include "hf-keep-alive.h"

#include <glib.h>
#include <string.h>

#include "config.h"

/* --- constants --- */

#define DIGITS "0123456789"

/* --- internal functions --- */

/* Removes blanks and one pair of quotation marks around the text; changes it. */
static char *
strip_quotes (char *text)
{
  size_t len = strlen (g_strstrip (text));
  if (len < 2 || text[0] != '"' || text[len - 1] != '"')
    return text;
  text[len - 1] = 0;
  return text + 1;
}

/* Idle time after which the connection closes, by one parameter; changes it. */
static int64_t
read_parameter (char *parameter)
{
  const int64_t idle_max_us = HF_CONNECTION_IDLE_MS * HF_MS;
  char *equals = strchr (parameter, '=');
  if (!equals)
    return idle_max_us;
  *equals = 0;
  const char *value = strip_quotes (equals + 1);
  bool is_number = *value && strspn (value, DIGITS) == strlen (value);
  if (g_ascii_strcasecmp (g_strstrip (parameter), "timeout") != 0 || !is_number)
    return idle_max_us;
  /* Bounded before it is multiplied; a number beyond the largest one is read as that one. */
  int64_t seconds = (int64_t) MIN (g_ascii_strtoull (value, NULL, 10), HF_KEEP_ALIVE_MAX_SEC);
  return CLAMP (seconds * HF_SEC - HF_CONNECTION_IDLE_MARGIN_MS * HF_MS, 0, idle_max_us);
}

/* --- public functions --- */

int64_t
hf_keep_alive_idle_us (struct hf_str field)
{
  int64_t idle_us = HF_CONNECTION_IDLE_MS * HF_MS;
  char *text = g_strndup (field.data, field.len);
  char **parameters = g_strsplit (text ? text : "", ",", -1);
  for (char **parameter = parameters; *parameter; parameter++)
    {
      int64_t stated_us = read_parameter (*parameter);
      idle_us = MIN (idle_us, stated_us);
    }
  g_strfreev (parameters);
  g_free (text);
  return idle_us;
}
