#ifndef CF_RUNTIME_REPORT_H
#define CF_RUNTIME_REPORT_H

#include <libsoup/soup.h>

/* A request over HTTP for a text that another task writes.  The admin task posts it to that task,
 * which appends to TEXT and posts it back.  A daemon may put it first in a larger struct. */
struct CfReport
{
  SoupServerMessage *message; /* only the admin task uses it */
  GString *text;
};

/* Fills in REPORT, allocated with g_new, for MESSAGE, which waits. */
void cf_report_begin (struct CfReport *report, SoupServerMessage *message);

/* Responds with the text, of the media type TYPE. */
void cf_report_end (struct CfReport *report, const char *type);

/* Frees a struct CfReport, or a struct that begins with one. */
void cf_report_free (void *report);

/* Responds to MESSAGE with STATUS and TEXT of the media type TYPE. */
void cf_http_respond (SoupServerMessage *message, guint status, const char *type, const char *text);

#define CF_METRICS_TYPE "text/plain; version=0.0.4"

#endif
