/* Helpers for libsoup. */
#include "hf-soup.h"

#include <string.h>

#include "config.h"

/* --- constants --- */

#define IDLE_TIMEOUT_SEC 10 /* closes idle connections before middleboxes drop their state */

/* --- public functions --- */

SoupSession *
hf_soup_session_new (unsigned connections_max, unsigned timeout_sec)
{
  SoupSession *session = soup_session_new_with_options (
      "max-conns", (int) MAX (connections_max, 1), "max-conns-per-host", (int) MAX (connections_max, 1), "timeout",
      timeout_sec, "idle-timeout", IDLE_TIMEOUT_SEC, "proxy-resolver", NULL, NULL);
  soup_session_remove_feature_by_type (session, SOUP_TYPE_CONTENT_DECODER);
  soup_session_remove_feature_by_type (session, SOUP_TYPE_AUTH_MANAGER);
  return session;
}

bool
hf_soup_server_listen (SoupServer *server,
                       struct hf_str address,
                       char *bound_address,
                       size_t size,
                       struct hf_error *error)
{
  GError *cause = NULL;
  char *text = g_strndup (address.data, address.len);
  char *colon = strrchr (text, ':');
  *colon = 0;
  GSocketAddress *socket_address
      = g_inet_socket_address_new_from_string (text, (guint) g_ascii_strtoull (colon + 1, NULL, 10));
  g_free (text);
  if (!socket_address || !soup_server_listen (server, socket_address, 0, &cause))
    {
      hf_error_set (error, HF_ERROR_IO, "cannot listen on " HF_STR_FMT ": %s", HF_STR_ARG (address),
                    cause ? cause->message : "not an IP:PORT address");
      g_clear_error (&cause);
      g_clear_object (&socket_address);
      return false;
    }
  g_object_unref (socket_address);
  GSList *listeners = soup_server_get_listeners (server);
  GSocketAddress *local = g_socket_get_local_address (listeners->data, NULL);
  char *local_text = g_socket_connectable_to_string (G_SOCKET_CONNECTABLE (local));
  g_strlcpy (bound_address, local_text, size);
  g_free (local_text);
  g_object_unref (local);
  g_slist_free (listeners);
  return true;
}

SoupMessage *
hf_soup_message_new (const char *method, struct hf_str address, const char *path, const char *query)
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
