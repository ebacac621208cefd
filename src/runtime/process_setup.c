#include "process_setup.h"

#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <stddef.h>
#include <unistd.h>

#define THREAD_STACK_BYTES (8 << 20)

void
cf_process_open_standard_files (void)
{
  for (int fd = STDIN_FILENO; fd <= STDERR_FILENO; fd++)
    if (fcntl (fd, F_GETFD) < 0)
      open ("/dev/null", O_RDWR); /* gets the lowest free number */
}

void
cf_process_ignore_write_signals (void)
{
  signal (SIGPIPE, SIG_IGN);
  signal (SIGXFSZ, SIG_IGN);
}

void
cf_process_set_thread_stack (void)
{
  pthread_attr_t attributes;

  if (pthread_attr_init (&attributes) != 0)
    return;
  if (pthread_attr_setstacksize (&attributes, THREAD_STACK_BYTES) == 0)
    pthread_setattr_default_np (&attributes);
  pthread_attr_destroy (&attributes);
}

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
