#include "report.h"

#include <string.h>

void
cf_report_begin (struct CfReport *report, SoupServerMessage *message)
{
  report->message = g_object_ref (message);
  report->text = g_string_new (NULL);
  soup_server_message_pause (message);
}

void
cf_report_end (struct CfReport *report, const char *type)
{
  cf_http_respond (report->message, SOUP_STATUS_OK, type, report->text->str);
  soup_server_message_unpause (report->message);
}

void
cf_report_free (void *data)
{
  struct CfReport *report = data;

  g_object_unref (report->message);
  g_string_free (report->text, TRUE);
  g_free (report);
}

void
cf_http_respond (SoupServerMessage *message, guint status, const char *type, const char *text)
{
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, type, SOUP_MEMORY_COPY, text, strlen (text));
}
