#include "process_setup.h"

#include <pthread.h>
#include <signal.h>
#include <stddef.h>

static void
set_mask (int how)
{
  sigset_t signals;

  sigemptyset (&signals);
  sigaddset (&signals, SIGHUP);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (how, &signals, NULL);
}

void
cf_process_block_signals (void)
{
  set_mask (SIG_BLOCK);
}

void
cf_process_unblock_signals (void)
{
  set_mask (SIG_UNBLOCK);
}
