#include "soak.h"

#include <string.h>

/* The fabric's readiness checks: each on a connection of its own, twice a second. */

#define INTERVAL_MS 500
#define TIMEOUT_MS 400
#define MISSES_MAX 2 /* until a VM is out of rotation */

static const char request[] = "GET /-/readiness HTTP/1.1\r\nHost: vm\r\n\r\n";

static void
end_check (struct SoakVm *vm, bool ready)
{
  if (!vm->check)
    return;
  soak_unwatch (vm->check_watch);
  g_socket_close (vm->check, NULL);
  g_clear_object (&vm->check);
  vm->failed_checks = ready ? 0 : vm->failed_checks + 1;
  if (ready)
    {
      vm->in_rotation = true;
      vm->ready_at = soak_now ();
    }
  else if (vm->failed_checks >= MISSES_MAX)
    vm->in_rotation = false;
}

static gboolean
on_answer (gpointer data)
{
  struct SoakVm *vm = data;
  char buffer[1024];
  gssize len = g_socket_receive (vm->check, buffer, sizeof buffer - 1, NULL, NULL);

  buffer[MAX (len, 0)] = 0;
  end_check (vm, strstr (buffer, " 200 ") != NULL);
  return G_SOURCE_REMOVE;
}

static gboolean
end_checks (gpointer data)
{
  struct Soak *soak = data;

  soak->checks_timer = 0;
  for (int i = 0; i < soak->vm_count; i++)
    end_check (&soak->vms[i], false);
  return G_SOURCE_REMOVE;
}

/* The connection is there at once, unless the VM is not, or too busy to accept it. */
static void
begin_check (struct SoakVm *vm)
{
  GSocketAddress *address
      = g_inet_socket_address_new_from_string (vm->ready_ip, SOAK_READY_PORT (vm->soak));

  vm->check
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  g_socket_set_blocking (vm->check, FALSE);
  g_socket_connect (vm->check, address, NULL, NULL);
  g_socket_send (vm->check, request, strlen (request), NULL, NULL);
  vm->check_watch = soak_watch (g_socket_get_fd (vm->check), on_answer, vm);
  g_object_unref (address);
}

static gboolean
begin_checks (gpointer data)
{
  struct Soak *soak = data;

  /* Both timers may be late. */
  if (soak->checks_timer)
    g_source_remove (soak->checks_timer);
  end_checks (soak);
  for (int i = 0; i < soak->vm_count; i++)
    begin_check (&soak->vms[i]);
  soak->checks_timer = g_timeout_add (TIMEOUT_MS, end_checks, soak);
  return G_SOURCE_CONTINUE;
}

void
soak_readiness_start (struct Soak *soak)
{
  g_timeout_add (INTERVAL_MS, begin_checks, soak);
}
