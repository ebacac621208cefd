#ifndef CF_RUNTIME_PROCESS_SETUP_H
#define CF_RUNTIME_PROCESS_SETUP_H

/* Makes a process that serves independent of the state in which it was started. */

/* To be called before a file is opened: opens the null device for those of standard input, output
 * and error that are closed.  Otherwise a socket would get their number and receive what is written
 * there. */
void cf_process_open_standard_files (void);

/* Ignores the signals that a write to a pipe without a reader or beyond the limit on the size of a
 * file raises: the write fails instead. */
void cf_process_ignore_write_signals (void);

/* Gives threads that are created from now on a stack of the usual size, whatever RLIMIT_STACK is.
 */
void cf_process_set_thread_stack (void);

/* To be called first in main: blocks SIGHUP, SIGTERM and SIGINT, whose default action would end the
 * process until handlers are installed.  They stay pending. */
void cf_process_block_signals (void);

/* Unblocks these signals, also where the parent process had blocked them.  To be called once the
 * handlers are installed. */
void cf_process_unblock_signals (void);

#endif
