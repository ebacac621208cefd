#ifndef CF_SERVE_EVENT_LOG_H
#define CF_SERVE_EVENT_LOG_H

#include "cf_types.h"

#include <glib.h>

/* The event log: one JSON object a line on standard output.  Writers never wait: lines
 * go to a bounded queue that a thread of its own empties, and what does not fit is
 * counted.  The next line says how many were left out. */

struct CfEventLog;

/* A field of a line: TEXT if it is not NULL, else NUMBER. */
struct CfField
{
  const char *key; /* NULL ends a list of fields */
  const char *text;
  int64_t number;
};

/* Starts the log of the VM called NAME. */
struct CfEventLog *cf_event_log_new (const char *name);

/* Writes what is queued and ends the log. */
void cf_event_log_free (struct CfEventLog *log);

/* Adds a line for EVENT with FIELDS. */
void cf_event_log_write (struct CfEventLog *log, const char *event, const struct CfField *fields);

/* Bounds the lines of one sort. */
struct CfEventRate
{
  double per_s;
  double burst;
  double tokens;
  CfMillis at;
  uint64_t left_out; /* since the last line of this sort */
};

/* As cf_event_log_write, within RATE. */
void cf_event_log_write_limited (struct CfEventLog *log,
                                 struct CfEventRate *rate,
                                 const char *event,
                                 const struct CfField *fields,
                                 CfMillis now);

/* Makes lines of GLib's logging events of the log, too. */
void cf_event_log_capture_glib (struct CfEventLog *log);

#endif
