#include "lab-2.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum
{
  WATCHES_MAX = 512,
  VMS_MAX = 16,
};

struct Watch
{
  int fd;
  WatchFunc *func;
  void *data;
};

struct Timer
{
  int64_t at;
  uint64_t order;
  TimerFunc *func;
  void *data;
};

static struct Watch watches[WATCHES_MAX];
static size_t watch_count;
static struct Timer *timers; /* a heap, the soonest first */
static size_t timer_count, timer_room;
static uint64_t timer_order;
static bool quitting;
static int64_t origin;
static FILE *record_file;
static unsigned network;
static const char *work_folder;
static const char *program = "target/cyclamenferry";
static bool trouble = true;
static struct Vm *vms[VMS_MAX];
static size_t vm_count;

static int64_t
clock_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t) now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t
lab_now (void)
{
  return clock_ms () - origin;
}

void
lab_watch (int fd, WatchFunc *readable, void *data)
{
  if (watch_count == WATCHES_MAX)
    lab_cannot_run ("too many descriptors");
  watches[watch_count++] = (struct Watch){ fd, readable, data };
}

void
lab_unwatch (int fd)
{
  for (size_t i = 0; i < watch_count; i++)
    if (watches[i].fd == fd)
      {
        watches[i] = watches[--watch_count];
        return;
      }
}

static bool
before (const struct Timer *a, const struct Timer *b)
{
  return a->at != b->at ? a->at < b->at : a->order < b->order;
}

static void
swap_timers (size_t a, size_t b)
{
  struct Timer kept = timers[a];

  timers[a] = timers[b];
  timers[b] = kept;
}

void
lab_after (int64_t delay, TimerFunc *func, void *data)
{
  size_t i = timer_count++;

  if (timer_count > timer_room)
    {
      timer_room = timer_room ? 2 * timer_room : 1024;
      timers = realloc (timers, timer_room * sizeof *timers);
      if (!timers)
        abort ();
    }
  timers[i] = (struct Timer){ lab_now () + delay, timer_order++, func, data };
  for (; i > 0 && before (&timers[i], &timers[(i - 1) / 2]); i = (i - 1) / 2)
    swap_timers (i, (i - 1) / 2);
}

static struct Timer
take_timer (void)
{
  struct Timer first = timers[0];
  size_t i = 0;

  timers[0] = timers[--timer_count];
  for (;;)
    {
      size_t least = i;

      for (size_t child = 2 * i + 1; child <= 2 * i + 2 && child < timer_count; child++)
        if (before (&timers[child], &timers[least]))
          least = child;
      if (least == i)
        return first;
      swap_timers (i, least);
      i = least;
    }
}

void
lab_quit (void)
{
  quitting = true;
}

void
lab_run (int64_t ms)
{
  int64_t end = lab_now () + ms;

  quitting = false;
  while (!quitting && lab_now () < end)
    {
      struct pollfd fds[WATCHES_MAX];
      struct Watch called[WATCHES_MAX];
      size_t count = watch_count;
      int64_t now;
      int64_t wait;

      while (timer_count > 0 && timers[0].at <= lab_now () && !quitting)
        {
          struct Timer timer = take_timer ();

          timer.func (timer.data);
        }
      now = lab_now ();
      wait = end - now;
      if (timer_count > 0 && timers[0].at - now < wait)
        wait = timers[0].at - now;
      count = watch_count;
      memcpy (called, watches, count * sizeof *called);
      for (size_t i = 0; i < count; i++)
        fds[i] = (struct pollfd){ .fd = called[i].fd, .events = POLLIN };
      if (poll (fds, count, wait > 0 ? (int) wait : 0) <= 0)
        continue;
      for (size_t i = 0; i < count; i++)
        if (fds[i].revents)
          for (size_t j = 0; j < watch_count; j++)
            if (watches[j].fd == called[i].fd && watches[j].data == called[i].data)
              {
                called[i].func (called[i].data);
                break;
              }
    }
}

void
record (const char *format, ...)
{
  va_list args;

  fprintf (record_file, "%8.3f  ", (double) lab_now () / 1000);
  va_start (args, format);
  vfprintf (record_file, format, args);
  va_end (args);
  fputc ('\n', record_file);
  fflush (record_file);
}

uint32_t
lab_ip (unsigned group, unsigned host)
{
  return 127U << 24 | network << 16 | group << 8 | host;
}

const char *
lab_ip_text (uint32_t ip)
{
  static char texts[8][INET_ADDRSTRLEN];
  static unsigned next;
  char *text = texts[next++ % 8];

  snprintf (text, INET_ADDRSTRLEN, "%u.%u.%u.%u", ip >> 24, ip >> 16 & 255, ip >> 8 & 255,
            ip & 255);
  return text;
}

bool
lab_trouble (void)
{
  return trouble;
}

/* Takes a network in which the store's port is free: another case may run on this machine. */
static void
pick_network (void)
{
  for (unsigned i = 0; i < 100; i++)
    {
      struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (STORE_PORT) };
      int fd = socket (AF_INET, SOCK_STREAM, 0);
      bool ok;

      network = 20 + ((unsigned) getpid () * 7 + i) % 200;
      address.sin_addr.s_addr = htonl (lab_ip (0, 1));
      ok = bind (fd, (struct sockaddr *) &address, sizeof address) == 0;
      close (fd);
      if (ok)
        return;
    }
  lab_cannot_run ("no free loopback network");
}

void
lab_begin (int argc, char **argv)
{
  const char *text = getenv ("TROUBLE");

  if (argc != 3)
    {
      fprintf (stderr, "usage: %s RECORD FOLDER\n", argv[0]);
      exit (2);
    }
  origin = clock_ms ();
  record_file = fopen (argv[1], "w");
  if (!record_file)
    exit (2);
  work_folder = argv[2];
  trouble = !text || strcmp (text, "0") != 0;
  if (getenv ("CYCLAMENFERRY"))
    program = getenv ("CYCLAMENFERRY");
  signal (SIGPIPE, SIG_IGN);
  pick_network ();
  record ("%s disruption; loopback network 127.%u.0.0/16", trouble ? "with the" : "without the",
          network);
}

void
lab_end (int status)
{
  for (size_t i = 0; i < vm_count; i++)
    if (vms[i]->pid > 0)
      {
        kill (vms[i]->pid, SIGKILL);
        kill (vms[i]->pid, SIGCONT);
        waitpid (vms[i]->pid, NULL, 0);
        vms[i]->pid = 0;
      }
  record ("exit status %d", status);
  fclose (record_file);
  exit (status);
}

void
lab_cannot_run (const char *why)
{
  record ("cannot run: %s", why);
  lab_end (2);
}

/* VMs. */

struct Vm *
vm_new (unsigned host, const char *name, const char *zone, uint32_t store)
{
  struct Vm *vm = calloc (1, sizeof *vm);

  if (!vm || vm_count == VMS_MAX)
    abort ();
  snprintf (vm->name, sizeof vm->name, "%s", name);
  vm->zone = zone;
  vm->ip = lab_ip (1, host);
  vm->store = store;
  vms[vm_count++] = vm;
  return vm;
}

/* platform/settings.template, filled in. */
static void
write_settings (const struct Vm *vm, const char *path)
{
  FILE *file = fopen (path, "w");
  const char *ip = lab_ip_text (vm->ip);

  if (!file)
    lab_cannot_run ("cannot write the settings");
  fprintf (
      file,
      "[vm]\nname=%s\naddress=%s\nfailure-domain=%s\nregion=area\nfabric-address=%s:%d\n"
      "ready-address=%s:%d\nmetrics-port=%d\npeer-port=%d\nlink-mbps=1000.0\n\n[fleet]\nseeds=",
      vm->name, ip, vm->zone, ip, DATAGRAM_PORT, ip, READY_PORT, METRICS_PORT, INTERNAL_PORT);
  for (size_t i = 0; i < vm_count && i < 3; i++)
    fprintf (file, "%s%s:%d", i ? "," : "", lab_ip_text (vms[i]->ip), CONTROL_PORT);
  fprintf (file,
           "\n\n[store]\naddress=%s:%d\n\n[overload]\nenabled=true\n\n[limits]\n"
           "flow-lifetime-s=60\ngrace-s=6\n",
           lab_ip_text (vm->store), STORE_PORT);
  fclose (file);
}

void
vm_start (struct Vm *vm)
{
  char settings[512];
  char log[512];

  snprintf (settings, sizeof settings, "%s/%s.settings", work_folder, vm->name);
  snprintf (log, sizeof log, "%s/%s.log", work_folder, vm->name);
  write_settings (vm, settings);
  vm->pid = fork ();
  if (vm->pid < 0)
    lab_cannot_run ("cannot fork");
  if (vm->pid == 0)
    {
      /* The case's time limit may end this process first. */
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      if (!freopen (log, "a", stdout) || dup2 (STDOUT_FILENO, STDERR_FILENO) < 0)
        _exit (126);
      for (int fd = 3; fd < 1024; fd++)
        close (fd);
      signal (SIGPIPE, SIG_DFL);
      setenv ("CYCLAMENFERRY_BOOT", settings, 1);
      execl (program, program, "balance", (char *) NULL);
      _exit (127);
    }
  record ("%s starts", vm->name);
}

void
vm_signal (struct Vm *vm, int number)
{
  if (vm->pid <= 0)
    return;
  record ("%s gets %s", vm->name, strsignal (number));
  kill (vm->pid, number);
  if (number != SIGKILL)
    return;
  waitpid (vm->pid, NULL, 0);
  vm->pid = 0;
}

bool
vm_ready (const struct Vm *vm)
{
  struct sockaddr_in address = {
    .sin_family = AF_INET,
    .sin_port = htons (READY_PORT),
    .sin_addr.s_addr = htonl (vm->ip),
  };
  struct timeval limit = { .tv_usec = 200000 };
  const char request[] = "GET /-/readiness HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n";
  char answer[64] = "";
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  bool ready;

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  ready = connect (fd, (struct sockaddr *) &address, sizeof address) == 0
          && send (fd, request, sizeof request - 1, 0) > 0
          && recv (fd, answer, sizeof answer - 1, 0) > 0 && strstr (answer, " 200 ");
  close (fd);
  return ready;
}

bool
vm_has_ended (struct Vm *vm)
{
  if (vm->pid > 0 && waitpid (vm->pid, NULL, WNOHANG) == vm->pid)
    {
      record ("%s has ended", vm->name);
      vm->pid = 0;
    }
  return vm->pid == 0;
}

static void
check_rotation (void *data)
{
  (void) data;
  for (size_t i = 0; i < vm_count; i++)
    {
      struct Vm *vm = vms[i];
      bool ready = vm_ready (vm);

      vm->misses = ready ? 0 : vm->misses + 1;
      if (vm->rotated != ready && (ready || vm->misses >= 2))
        {
          vm->rotated = ready;
          record ("router: %s is %s rotation", vm->name, ready ? "in" : "out of");
        }
    }
  lab_after (500, check_rotation, NULL);
}

void
router_start (void)
{
  check_rotation (NULL);
}

const struct Vm *
router_choose (const struct Vm *vm)
{
  bool any = false;

  for (size_t i = 0; i < vm_count; i++)
    any |= vms[i]->rotated;
  if (vm->rotated || !any)
    return vm;
  for (size_t i = 0; i < vm_count; i++)
    if (vms[i]->rotated && strcmp (vms[i]->zone, vm->zone) == 0)
      return vms[i];
  for (size_t i = 0; i < vm_count; i++)
    if (vms[i]->rotated)
      return vms[i];
  return vm;
}

void
vm_await_ready (struct Vm *vm)
{
  for (int i = 0; i < 200; i++)
    {
      if (vm_ready (vm))
        {
          record ("%s is ready", vm->name);
          return;
        }
      lab_run (50);
    }
  lab_cannot_run ("a VM did not become ready");
}
