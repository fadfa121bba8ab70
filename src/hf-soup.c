/* Helpers over libsoup. */
#include "hf-soup.h"

#include <string.h>

#include "config.h"

/* --- constants --- */

#define IDLE_TIMEOUT_SEC 10 /* idle connections are dropped before middleboxes forget them */

/* --- public functions --- */

SoupSession *
hf_http_session (unsigned connections, unsigned timeout_sec)
{
  SoupSession *session = soup_session_new_with_options ("max-conns", (int) MAX (connections, 1), "max-conns-per-host",
                                                        (int) MAX (connections, 1), "timeout", timeout_sec,
                                                        "idle-timeout", IDLE_TIMEOUT_SEC, "proxy-resolver", NULL, NULL);
  soup_session_remove_feature_by_type (session, SOUP_TYPE_CONTENT_DECODER);
  soup_session_remove_feature_by_type (session, SOUP_TYPE_AUTH_MANAGER);
  return session;
}

bool
hf_http_listen (SoupServer *server, struct hf_str address, char *actual, size_t size, struct hf_error *error)
{
  GError *problem = NULL;
  char *text = g_strndup (address.data, address.len);
  char *colon = strrchr (text, ':');
  *colon = 0;
  GSocketAddress *where = g_inet_socket_address_new_from_string (text, (guint) g_ascii_strtoull (colon + 1, NULL, 10));
  g_free (text);
  if (!where || !soup_server_listen (server, where, 0, &problem))
    {
      hf_error_set (error, HF_ERROR_IO, "cannot listen on " HF_STR_FMT ": %s", HF_STR_ARG (address),
                    problem ? problem->message : "bad address");
      g_clear_error (&problem);
      g_clear_object (&where);
      return false;
    }
  g_object_unref (where);
  GSList *listeners = soup_server_get_listeners (server);
  GSocketAddress *local = g_socket_get_local_address (listeners->data, NULL);
  char *found = g_socket_connectable_to_string (G_SOCKET_CONNECTABLE (local));
  g_strlcpy (actual, found, size);
  g_free (found);
  g_object_unref (local);
  g_slist_free (listeners);
  return true;
}

SoupMessage *
hf_http_message (const char *method, struct hf_str address, const char *path, const char *query)
{
  char *text = g_strndup (address.data, address.len);
  char *colon = strrchr (text, ':');
  if (!colon)
    {
      g_free (text);
      return NULL;
    }
  *colon = 0;
  GUri *uri = g_uri_build (SOUP_HTTP_URI_FLAGS, "http", NULL, text, (int) g_ascii_strtoull (colon + 1, NULL, 10), path,
                           query, NULL);
  SoupMessage *message = soup_message_new_from_uri (method, uri);
  soup_message_add_flags (message, SOUP_MESSAGE_NO_REDIRECT);
  g_uri_unref (uri);
  g_free (text);
  return message;
}
