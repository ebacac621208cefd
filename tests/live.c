#include "fleet_internal.h"

#include <fcntl.h>
#include <gio/gio.h>
#include <glib-unix.h>
#include <libsoup/soup.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "runtime/clock.h"
#include "runtime/udp.h"

/* Simulates the callers, fabric and upstreams of running entry VMs, on loopback, in
 * one process.  It reads commands from standard input, one a line:
 *
 *   vms IP...      the entry VMs that the fabric uses from now on
 *   rate N         new flows a second
 *   drain NAME     the upstream must get no new flow from a few seconds later on
 *   undrain NAME
 *   restart NAME   the upstream loses its flows and starts cold
 *   hush NAME      the health endpoint of the upstream accepts requests and never responds
 *   quit           let the open flows end and print the report
 *
 * The exit status is 1 if a flow was broken, a packet was misdelivered, a flow was at two
 * upstreams or no flow completed.  Figures that depend on the speed of the machine are only
 * printed. */

#define FABRIC_PORT 6080
#define STEP_MS 2
#define DRAIN_CHECK_MS 4500
#define LONGEST_RUN_MS 300000 /* on a busy machine a script takes minutes */

struct Live
{
  struct Fleet *fleet;
  struct CfConfig *config;
  GSocket *fabric;
  GSocketAddress *vm_address[FLEET_VMS];
  GSocket *tunnels[FLEET_UPSTREAMS];
  uint32_t index_of[FLEET_UPSTREAMS]; /* configuration index to upstream number */
  SoupServer *health;
  bool unresponsive[FLEET_UPSTREAMS];
  CfMillis began;
  CfMillis base;
  bool quitting;
  GMainLoop *loop;
  GString *line;
};

static void
send_to_vm (void *context, uint32_t vm, const uint8_t *data, size_t len)
{
  struct Live *live = context;
  uint8_t datagram[CF_GUE_HEADER_LEN + FLEET_PACKET_MAX];

  cf_gue_header (datagram, data[0], 0);
  memcpy (datagram + CF_GUE_HEADER_LEN, data, len);
  g_socket_send_to (live->fabric, live->vm_address[vm], (const gchar *) datagram,
                    CF_GUE_HEADER_LEN + len, NULL, NULL);
}

/* Reads one GUE datagram from SOCKET.  Returns false if there is none. */
static bool
receive (GSocket *socket, struct FleetPacket *packet)
{
  uint8_t datagram[CF_PACKET_MAX];
  gssize n = g_socket_receive (socket, (gchar *) datagram, sizeof datagram, NULL, NULL);
  size_t offset;

  packet->len = 0;
  if (n < 0)
    return false;
  offset = cf_gue_inner (datagram, (size_t) n);
  if (offset > 0 && (size_t) n - offset <= sizeof packet->data)
    {
      packet->len = (size_t) n - offset;
      memcpy (packet->data, datagram + offset, packet->len);
    }
  return true;
}

/* A refusal returns through the fabric with the caller as its destination. */
static void
receive_refusal (struct Live *live, const struct FleetPacket *bytes)
{
  struct CfPacket packet = { 0 };
  struct CfAddress service;

  if (cf_packet_parse (bytes->data, bytes->len, &packet) != CF_DROP_NONE)
    return;
  service = packet.caller;
  packet.caller = packet.service;
  packet.service = service;
  fleet_answer (live->fleet, fleet_flow_of (&packet), ANSWER_REFUSED, -1);
}

static void
report (const struct Live *live)
{
  const struct FleetCount *count = &live->fleet->count;

  printf ("\nflows opened        %8" G_GUINT64_FORMAT "\n"
          "flows completed     %8" G_GUINT64_FORMAT "\n"
          "flows broken        %8" G_GUINT64_FORMAT "\n"
          "flows lost          %8" G_GUINT64_FORMAT "   (their upstream restarted)\n"
          "first packets refused    %3" G_GUINT64_FORMAT ", unanswered %" G_GUINT64_FORMAT
          ", repeated %" G_GUINT64_FORMAT "\n"
          "packets misdelivered     %3" G_GUINT64_FORMAT "\n"
          "flows at two upstreams   %3" G_GUINT64_FORMAT "\n"
          "new flows at a drained upstream %3" G_GUINT64_FORMAT "\n",
          count->opened, count->done, count->broken, count->upstream_lost, count->refused,
          count->unanswered, count->delayed, count->misdelivered, count->opened_twice,
          count->late_new);
  for (uint32_t s = 0; s < live->config->service_count && s < 2; s++)
    {
      uint64_t largest = 0;
      uint64_t sum = 0;
      uint32_t used = 0;

      for (uint32_t u = s * 32; u < s * 32 + live->fleet->spec.upstreams[s]; u++)
        {
          uint64_t accepted = live->fleet->upstreams[u].accepted;

          largest = MAX (largest, accepted);
          sum += accepted;
          used++;
        }
      printf ("%-12s %2u upstreams, %6" G_GUINT64_FORMAT " flows, largest share over mean %.3f\n",
              live->config->services[s].name, used, sum,
              sum ? (double) largest * used / (double) sum : 1.0);
    }
}

static bool
all_ended (const struct Live *live)
{
  for (guint i = 0; i < live->fleet->flows->len; i++)
    {
      const struct FleetFlow *flow = live->fleet->flows->pdata[i];

      if (flow->state == FLOW_OPEN || flow->state == FLOW_OPENING)
        return false;
    }
  return true;
}

static gboolean
step (gpointer data)
{
  struct Live *live = data;
  struct FleetPacket packet;
  CfMillis elapsed = cf_now () - live->began;

  test_network_run (live->fleet->network, live->base + elapsed);
  for (uint32_t u = 0; u < FLEET_UPSTREAMS; u++)
    while (live->tunnels[u] && receive (live->tunnels[u], &packet))
      if (packet.len > 0)
        fleet_upstream_receive (live->fleet, u, &packet);
  while (receive (live->fabric, &packet))
    receive_refusal (live, &packet);
  if ((live->quitting && all_ended (live)) || elapsed > LONGEST_RUN_MS)
    g_main_loop_quit (live->loop);
  return G_SOURCE_CONTINUE;
}

static struct FleetUpstream *
upstream_named (struct Live *live, const char *name)
{
  uint32_t index = name ? cf_config_find_upstream (live->config, cf_name_id (name)) : CF_NO_INDEX;

  return index == CF_NO_INDEX ? NULL : &live->fleet->upstreams[live->index_of[index]];
}

static void
set_vms (struct Live *live, char **ips)
{
  for (uint32_t i = 0; i < live->fleet->spec.vms; i++)
    live->fleet->vms[i].in_fabric = false;
  for (int n = 0; ips[n]; n++)
    for (uint32_t i = 0; i < live->config->vm_count; i++)
      if (strcmp (live->config->vms[i].ip, ips[n]) == 0)
        live->fleet->vms[i].in_fabric = true;
}

static void
command (struct Live *live, const char *line)
{
  char **words = g_strsplit (line, " ", -1);
  const char *verb = words[0] ? words[0] : "";
  struct FleetUpstream *upstream = upstream_named (live, words[0] ? words[1] : NULL);

  printf ("%5.1f s  %s\n", (double) (cf_now () - live->began) / CF_MS_PER_S, line);
  fflush (stdout);
  if (strcmp (verb, "vms") == 0)
    set_vms (live, words + 1);
  else if (strcmp (verb, "rate") == 0 && words[1])
    live->fleet->traffic.flows_per_s = atof (words[1]);
  else if (strcmp (verb, "drain") == 0 && upstream)
    upstream->closed_at = test_network_now (live->fleet->network) + DRAIN_CHECK_MS;
  else if (strcmp (verb, "undrain") == 0 && upstream)
    upstream->closed_at = -1;
  else if (strcmp (verb, "restart") == 0 && upstream)
    fleet_restart_upstream (live->fleet, upstream->index);
  else if (strcmp (verb, "hush") == 0 && upstream)
    live->unresponsive[upstream->index] = true;
  else if (strcmp (verb, "quit") == 0)
    {
      live->fleet->traffic.flows_per_s = 0;
      live->quitting = true;
    }
  else
    printf ("unknown command\n");
  g_strfreev (words);
}

static gboolean
read_commands (gint fd, GIOCondition condition, gpointer data)
{
  struct Live *live = data;
  char buffer[512];
  ssize_t n = read (fd, buffer, sizeof buffer);

  (void) condition;
  if (n == 0)
    {
      command (live, "quit");
      return G_SOURCE_REMOVE;
    }
  for (ssize_t i = 0; i < n; i++)
    {
      if (buffer[i] != '\n')
        {
          g_string_append_c (live->line, buffer[i]);
          continue;
        }
      command (live, live->line->str);
      g_string_truncate (live->line, 0);
    }
  return G_SOURCE_CONTINUE;
}

static void
answer_health (SoupServer *server,
               SoupServerMessage *message,
               const char *path,
               GHashTable *query,
               gpointer data)
{
  struct Live *live = data;
  struct CfAddress local;
  char *text = NULL;

  (void) server;
  (void) path;
  (void) query;
  cf_from_socket_address (soup_server_message_get_local_address (message), &local);
  for (uint32_t i = 0; i < live->config->upstream_count; i++)
    if (cf_address_equal (&live->config->upstreams[i].health, &local))
      {
        const struct FleetUpstream *upstream = &live->fleet->upstreams[live->index_of[i]];

        if (live->unresponsive[upstream->index])
          {
            soup_server_message_pause (message);
            return;
          }
        text = g_strdup_printf ("{\"serving\":%s,\"start\":%" G_GINT64_FORMAT ",\"open\":%u}",
                                upstream->down ? "false" : "true", upstream->start_time,
                                g_hash_table_size (upstream->open));
      }
  soup_server_message_set_status (message, text ? SOUP_STATUS_OK : SOUP_STATUS_NOT_FOUND, NULL);
  if (text)
    soup_server_message_set_response (message, "application/json", SOUP_MEMORY_TAKE, text,
                                      strlen (text));
}

static GSocket *
open_udp (const struct CfAddress *address)
{
  char text[CF_ADDRESS_TEXT_MAX];
  struct CfError error = { 0 };
  GSocket *socket;

  cf_address_format (address, text, sizeof text);
  *strrchr (text, ':') = '\0';
  socket = cf_udp_open (text, address->port, &error);
  if (!socket)
    {
      fprintf (stderr, "live: %s\n", error.text);
      exit (EXIT_FAILURE);
    }
  return socket;
}

static void
open_upstreams (struct Live *live)
{
  uint32_t counts[2] = { 0 };

  live->health = soup_server_new (NULL, NULL);
  soup_server_add_handler (live->health, "/health", answer_health, live, NULL);
  for (uint32_t i = 0; i < live->config->upstream_count; i++)
    {
      const struct CfUpstream *upstream = &live->config->upstreams[i];
      uint32_t number = upstream->service * 32 + counts[upstream->service]++;
      GSocketAddress *health = cf_socket_address (&upstream->health);

      live->index_of[i] = number;
      live->tunnels[number] = open_udp (&upstream->tunnel);
      soup_server_listen (live->health, health, 0, NULL);
      g_object_unref (health);
    }
}

static void
open_fleet (struct Live *live)
{
  struct FleetSpec spec = { .seed = 1, .vms = live->config->vm_count, .domains = 4 };
  struct CfAddress any;

  for (uint32_t i = 0; i < live->config->upstream_count; i++)
    spec.upstreams[live->config->upstreams[i].service]++;
  live->fleet = fleet_new (&spec);
  live->fleet->send = send_to_vm;
  live->fleet->send_context = live;
  for (uint32_t s = 0; s < 2; s++)
    live->fleet->services[s] = live->config->services[s].address;
  for (uint32_t i = 0; i < live->config->vm_count; i++)
    {
      struct CfAddress address;

      cf_address_parse (live->config->vms[i].ip, FABRIC_PORT, &address);
      live->vm_address[i] = cf_socket_address (&address);
    }
  fleet_set_traffic (live->fleet,
                     &(struct FleetTraffic){ .life_min = 300, .life_max = 6000, .gap = 200 });
  cf_address_parse ("127.0.0.1", 0, &any);
  live->fabric = open_udp (&any);
}

int
main (int argc, char **argv)
{
  struct Live live = { .line = g_string_new (NULL) };
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  const struct FleetCount *count;

  if (argc != 2 || !(live.config = cf_config_read_folder (argv[1], faults)))
    {
      fprintf (stderr, "usage: live FOLDER (a valid configuration of two services)\n");
      return EXIT_FAILURE;
    }
  open_fleet (&live);
  open_upstreams (&live);
  live.loop = g_main_loop_new (NULL, FALSE);
  live.began = cf_now ();
  live.base = test_network_now (live.fleet->network);
  fcntl (STDIN_FILENO, F_SETFL, O_NONBLOCK);
  g_unix_fd_add (STDIN_FILENO, G_IO_IN | G_IO_HUP, read_commands, &live);
  g_timeout_add (STEP_MS, step, &live);
  g_main_loop_run (live.loop);
  report (&live);
  count = &live.fleet->count;
  return count->broken || count->misdelivered || count->opened_twice || !count->done ? EXIT_FAILURE
                                                                                     : EXIT_SUCCESS;
}
