#ifndef CF_RUNTIME_CRASH_REPORT_H
#define CF_RUNTIME_CRASH_REPORT_H

/* Reports the end of the process by a fault of its own (SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT,
 * SIGTRAP): one line of the event log, written by the signal handler, after which the signal takes
 * its default action.  The line holds the signal, the task of the thread and the last input that
 * the task took.  Lines that the event log still queues are lost.
 *
 * Builds with the address sanitizer, which has a report of its own, leave the handlers out. */

/* Installs the handlers.  VM, the name in the line, must not be freed before the process ends. */
void cf_crash_report_install (const char *vm);

/* Names the calling thread TASK, a string that is not freed, in a report, and gives it a stack of
 * its own for the handler, so that the end of its usual stack is reported, too. */
void cf_crash_report_enter (const char *task);

/* Releases what cf_crash_report_enter allocated; to be called by the same thread. */
void cf_crash_report_leave (void);

/* Records that the calling thread begins to handle an input of KIND, a string that is not freed.
 * NAME (NULL: none) is copied and cut off after 120 bytes. */
void cf_crash_report_input (const char *kind, const char *name);

#endif
