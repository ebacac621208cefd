#ifndef CF_SERVE_PROCESS_SETUP_H
#define CF_SERVE_PROCESS_SETUP_H

/* Makes a process that serves independent of the state in which it was started. */

/* To be called first in main: blocks SIGHUP, SIGTERM and SIGINT, whose default action would end the
 * process until handlers are installed.  They stay pending. */
void cf_process_block_signals (void);

/* Unblocks these signals, also where the parent process had blocked them.  To be called once the
 * handlers are installed. */
void cf_process_unblock_signals (void);

#endif
