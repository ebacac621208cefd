#ifndef CF_TEST_FEED_PLAY_H
#define CF_TEST_FEED_PLAY_H

#include "balancer/feed_internal.h"

/* The feed task of a VM, "vm-2", on the test's thread.  The loopback network is the test process's
 * own: host 1 is for "vm-1", which precedes it in the order of the failure domain, host 2 is the VM
 * itself. */

#define FEED_PLAY_WAIT_S 10

struct FeedPlay
{
  struct CfBalancer balancer;
  struct FeedTask *task;
};

/* Sets up the VM with the store at the address STORE, which the play takes over. */
void feed_play_prepare (struct FeedPlay *play, char *store);
/* Starts its feed task.  What it listens to has to be there. */
void feed_play_start (struct FeedPlay *play);
/* Stops the task and frees what belongs to it. */
void feed_play_stop (struct FeedPlay *play);

/* Runs the task until REACHED returns true of DATA.  WHAT names that state. */
void feed_play_await (struct FeedPlay *play,
                      bool (*reached) (const void *data),
                      const void *data,
                      const char *what);

/* Returns the content of the record of the VM called NAME at IP. */
char *feed_play_vm_record (const char *name, const char *ip);

#endif
