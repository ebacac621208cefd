#include "crash_report.h"

#include <glib.h>
#include <poll.h>
#include <signal.h>
#include <stdint.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define STACK_BYTES 65536
#define NAME_MAX_BYTES 120
#define LINE_BYTES 1024
#define MS_PER_S 1000
#define NS_PER_MS 1000000

struct Context
{
  const char *task;
  const char *input;
  char input_name[NAME_MAX_BYTES + 1];
  void *stack;
};

static const char *vm_name;
static _Thread_local struct Context context;

/* Only functions that are safe in a signal handler are used from here on to handle_signal. */

struct Line
{
  char text[LINE_BYTES];
  size_t len;
};

static void
add_text (struct Line *line, const char *text)
{
  for (; *text && line->len < LINE_BYTES; text++)
    line->text[line->len++] = *text;
}

/* Adds TEXT from outside: characters that JSON would have escaped become '?'. */
static void
add_untrusted (struct Line *line, const char *text)
{
  for (; *text; text++)
    {
      char c[2] = { *text, 0 };

      if ((unsigned char) c[0] < ' ' || c[0] == '"' || c[0] == '\\' || (c[0] & 0x80))
        c[0] = '?';
      add_text (line, c);
    }
}

static void
add_field (struct Line *line, const char *key, const char *value)
{
  add_text (line, ",\"");
  add_text (line, key);
  add_text (line, "\":\"");
  add_untrusted (line, value ? value : "");
  add_text (line, "\"");
}

static void
add_number (struct Line *line, uint64_t number)
{
  char digits[24];
  size_t at = sizeof digits;

  digits[--at] = 0;
  do
    digits[--at] = (char) ('0' + number % 10);
  while (number /= 10);
  add_text (line, digits + at);
}

static void
add_clock (struct Line *line, clockid_t clock)
{
  struct timespec now = { 0 };

  clock_gettime (clock, &now);
  add_number (line, (uint64_t) now.tv_sec * MS_PER_S + (uint64_t) now.tv_nsec / NS_PER_MS);
}

static const char *
signal_name (int signal)
{
  switch (signal)
    {
    case SIGSEGV:
      return "SIGSEGV";
    case SIGBUS:
      return "SIGBUS";
    case SIGFPE:
      return "SIGFPE";
    case SIGILL:
      return "SIGILL";
    case SIGABRT:
      return "SIGABRT";
    default:
      return "SIGTRAP";
    }
}

static void
handle_signal (int signal)
{
  struct Line line = { 0 };
  struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };

  add_text (&line, "{\"time_ms\":");
  add_clock (&line, CLOCK_REALTIME);
  add_text (&line, ",\"clock_ms\":");
  add_clock (&line, CLOCK_MONOTONIC);
  add_field (&line, "vm", vm_name);
  add_field (&line, "event", "crashed");
  add_field (&line, "signal", signal_name (signal));
  add_field (&line, "task", context.task);
  add_field (&line, "last_input", context.input);
  add_field (&line, "input_name", context.input_name);
  add_text (&line, "}\n");
  /* A reader that does not read must not keep the process from ending. */
  if (poll (&out, 1, 0) == 1 && (out.revents & POLLOUT))
    (void) !write (STDOUT_FILENO, line.text, line.len);
  /* The handler was reset; the signal is delivered when this one returns. */
  raise (signal);
}

void
cf_crash_report_install (const char *vm)
{
#ifdef __SANITIZE_ADDRESS__
  (void) handle_signal;
  vm_name = vm;
#else
  static const int signals[] = { SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT, SIGTRAP };
  struct sigaction action = { .sa_handler = handle_signal };

  vm_name = vm;
  action.sa_flags = SA_ONSTACK | (int) SA_RESETHAND;
  sigemptyset (&action.sa_mask);
  for (size_t i = 0; i < G_N_ELEMENTS (signals); i++)
    sigaction (signals[i], &action, NULL);
#endif
}

void
cf_crash_report_enter (const char *task)
{
  stack_t stack = { .ss_size = STACK_BYTES };

  context = (struct Context){ .task = task };
#ifndef __SANITIZE_ADDRESS__
  context.stack = g_malloc (STACK_BYTES);
  stack.ss_sp = context.stack;
  sigaltstack (&stack, NULL);
#else
  (void) stack;
#endif
}

void
cf_crash_report_leave (void)
{
  stack_t none = { .ss_flags = SS_DISABLE };

  if (context.stack)
    sigaltstack (&none, NULL);
  g_clear_pointer (&context.stack, g_free);
  context.task = NULL;
}

void
cf_crash_report_input (const char *kind, const char *name)
{
  context.input = kind;
  context.input_name[0] = 0;
  if (name)
    g_strlcpy (context.input_name, name, sizeof context.input_name);
}
