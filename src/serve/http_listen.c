#include "http_listen.h"
#include "server.h"

SoupServer *
cf_http_listen (const struct CfAddress *address,
                SoupServerCallback answer,
                void *data,
                struct CfError *error)
{
  SoupServer *soup = soup_server_new ("server-header", "cyclamenferry ", NULL);
  GSocketAddress *local = cf_socket_address (address);
  GError *gerror = NULL;

  soup_server_add_handler (soup, NULL, answer, data, NULL);
  if (!soup_server_listen (soup, local, 0, &gerror))
    {
      char text[CF_ADDRESS_TEXT_MAX];

      cf_address_format (address, text, sizeof text);
      cf_error_set (error, CF_ERROR_IO, "TCP %s: %s", text, gerror->message);
      g_error_free (gerror);
      g_clear_object (&soup);
    }
  g_object_unref (local);
  return soup;
}

void
cf_http_close (SoupServer **soup)
{
  if (*soup)
    soup_server_disconnect (*soup);
  g_clear_object (soup);
}
