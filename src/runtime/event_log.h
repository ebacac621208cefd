#ifndef CF_RUNTIME_EVENT_LOG_H
#define CF_RUNTIME_EVENT_LOG_H

#include "cf_types.h"

#include <glib.h>

/* The event log: one JSON object a line on standard output.  Writers never block: lines
 * go to a bounded queue that a separate thread writes out.  Lines that do not fit, or cannot be
 * written, are dropped, and the next line holds their number.  Without a thread, if none can be
 * created, writers do block. */

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

/* Writes the queued lines, for 300 ms at most if they are not read, and frees the log. */
void cf_event_log_free (struct CfEventLog *log);

/* Adds a line for EVENT with FIELDS. */
void cf_event_log_write (struct CfEventLog *log, const char *event, const struct CfField *fields);

/* Writes a line for EVENT with FIELDS at once, for a process whose log has not been started.  VM is
 * its name, "" if it is not known. */
void cf_event_log_write_early (const char *vm, const char *event, const struct CfField *fields);

/* A token bucket that limits the lines of one kind. */
struct CfEventRate
{
  double per_s;
  double burst;
  double tokens;
  CfMillis refilled_at;
  uint64_t left_out; /* lines dropped since the last one of this kind */
};

/* Like cf_event_log_write, but drops and counts the line if RATE is exceeded. */
void cf_event_log_write_limited (struct CfEventLog *log,
                                 struct CfEventRate *rate,
                                 const char *event,
                                 const struct CfField *fields,
                                 CfMillis now);

/* Has GLib write its log messages to LOG as events. */
void cf_event_log_capture_glib (struct CfEventLog *log);

#endif
