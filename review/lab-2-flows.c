#include "lab-2.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/* Endpoints and requesters. */

enum
{
  TAG_BYTES = 8,
  SENDER_SUM = 0x5eed5eed, /* stands for the keyed sum: only resets of the system have 0 */
  ANSWER_BYTES = 600,
  REQUEST_BYTES = 300,
  FIRST_COPY_MS = 200,
  SECOND_COPY_MS = 600,
  OPENING_MS = 1400,
  REPEAT_MS = 200,
  REPEAT_MAX_MS = 1600,
  REPEATS_MAX = 8,
  TIME_LIMIT_MS = 3000,
  BEAT_MS = 1200,
};

/* A flow at an endpoint. */
struct Flow
{
  struct Endpoint *endpoint;
  uint32_t src, dst, echo;
  uint16_t sport, dport;
  uint32_t seq, next_seq, peer_next;
  bool open;
  bool answering; /* an answer is not acknowledged yet */
  bool finished;
  unsigned repeats;
  struct Flow *next;
};

void (*caller_event) (struct Request *request, const char *what);

static struct Endpoint *all_endpoints[64];
static size_t endpoint_count;

static void
put (uint8_t *at, uint64_t value, int bytes)
{
  for (int i = bytes; i-- > 0; value >>= 8)
    at[i] = (uint8_t) value;
}

static uint64_t
get (const uint8_t *at, int bytes)
{
  uint64_t value = 0;

  for (int i = 0; i < bytes; i++)
    value = value << 8 | at[i];
  return value;
}

static size_t
encode (const struct Packet *packet, uint8_t *out)
{
  memset (out, 0, HEAD_BYTES + packet->len);
  put (out, packet->len, 2);
  out[2] = packet->flags;
  put (out + 4, packet->dst, 4);
  put (out + 8, packet->sport, 2);
  put (out + 10, packet->src, 4);
  put (out + 14, packet->dport, 2);
  put (out + 16, packet->sum, 4);
  put (out + 20, packet->seq, 4);
  put (out + 24, packet->ack, 4);
  put (out + 28, packet->echo, 4);
  return HEAD_BYTES + (size_t) packet->len;
}

static bool
decode (const uint8_t *data, size_t len, struct Packet *packet)
{
  if (len < HEAD_BYTES)
    return false;
  *packet = (struct Packet){
    .len = (uint16_t) get (data, 2),
    .flags = data[2],
    .dst = (uint32_t) get (data + 4, 4),
    .sport = (uint16_t) get (data + 8, 2),
    .src = (uint32_t) get (data + 10, 4),
    .dport = (uint16_t) get (data + 14, 2),
    .sum = (uint32_t) get (data + 16, 4),
    .seq = (uint32_t) get (data + 20, 4),
    .ack = (uint32_t) get (data + 24, 4),
    .echo = (uint32_t) get (data + 28, 4),
  };
  return packet->len == len - HEAD_BYTES;
}

static void
send_to (int fd, uint32_t ip, uint16_t port, const struct Packet *packet)
{
  uint8_t bytes[HEAD_BYTES + DATA_MAX];
  struct sockaddr_in to = {
    .sin_family = AF_INET,
    .sin_port = htons (port),
    .sin_addr.s_addr = htonl (ip),
  };

  sendto (fd, bytes, encode (packet, bytes), 0, (struct sockaddr *) &to, sizeof to);
}

static int
open_udp (uint32_t ip, uint16_t port)
{
  struct sockaddr_in address = {
    .sin_family = AF_INET,
    .sin_port = htons (port),
    .sin_addr.s_addr = htonl (ip),
  };
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  int bytes = 1 << 20;

  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  if (bind (fd, (struct sockaddr *) &address, sizeof address) != 0)
    lab_cannot_run ("an address is taken");
  return fd;
}

static uint32_t
random_seq (void)
{
  /* Far from 0, as a reset of an opening flow has sequence number 0. */
  return 0x10000000U + (uint32_t) (rand () % 0x40000000);
}

/* Endpoints. */

static void
send_of_flow (struct Flow *flow, uint8_t flags, uint32_t seq, uint16_t len)
{
  send_to (flow->endpoint->fd, flow->src, DATAGRAM_PORT,
           &(struct Packet){
               .src = flow->dst,
               .sport = flow->dport,
               .dst = flow->src,
               .dport = flow->sport,
               .flags = flags,
               .sum = SENDER_SUM,
               .seq = seq,
               .ack = flow->peer_next,
               .echo = flow->echo,
               .len = len,
           });
}

static bool
flow_exists (const struct Endpoint *endpoint, const struct Flow *wanted)
{
  for (const struct Flow *flow = endpoint->flows; flow; flow = flow->next)
    if (flow == wanted)
      return true;
  return false;
}

struct Due
{
  struct Endpoint *endpoint;
  struct Flow *flow;
};

static struct Due *
due_new (struct Flow *flow)
{
  struct Due *due = malloc (sizeof *due);

  *due = (struct Due){ flow->endpoint, flow };
  return due;
}

static void
repeat_answer (void *data)
{
  struct Due *due = data;
  struct Flow *flow = due->flow;

  if (flow_exists (due->endpoint, flow) && flow->answering && flow->repeats < REPEATS_MAX)
    {
      int64_t delay = REPEAT_MS << ++flow->repeats;

      send_of_flow (flow, ACK, flow->next_seq - ANSWER_BYTES, ANSWER_BYTES);
      lab_after (delay < REPEAT_MAX_MS ? delay : REPEAT_MAX_MS, repeat_answer, due);
      return;
    }
  free (due);
}

static void
answer (void *data)
{
  struct Due *due = data;
  struct Flow *flow = due->flow;

  if (!flow_exists (due->endpoint, flow))
    {
      free (due);
      return;
    }
  send_of_flow (flow, ACK, flow->next_seq, ANSWER_BYTES);
  flow->next_seq += ANSWER_BYTES;
  flow->answering = true;
  flow->repeats = 0;
  lab_after (REPEAT_MS, repeat_answer, due);
  /* An endpoint that drains closes a flow after its answer. */
  if (due->endpoint->draining)
    send_of_flow (flow, ACK | FIN, flow->next_seq, 0);
}

static struct Flow *
find_flow (const struct Endpoint *endpoint, const struct Packet *packet)
{
  for (struct Flow *flow = endpoint->flows; flow; flow = flow->next)
    if (flow->src == packet->src && flow->sport == packet->sport && flow->dst == packet->dst
        && flow->dport == packet->dport)
      return flow;
  return NULL;
}

static void
remove_flow (struct Flow *flow)
{
  for (struct Flow **at = &flow->endpoint->flows; *at; at = &(*at)->next)
    if (*at == flow)
      {
        *at = flow->next;
        free (flow);
        return;
      }
}

static void
take_opening (struct Endpoint *endpoint, const struct Packet *packet)
{
  struct Flow *flow = find_flow (endpoint, packet);

  if (!flow)
    {
      endpoint->arrivals
          = realloc (endpoint->arrivals, (endpoint->arrival_count + 1) * sizeof (int64_t));
      endpoint->arrivals[endpoint->arrival_count++] = lab_now ();
      flow = calloc (1, sizeof *flow);
      *flow = (struct Flow){
        .endpoint = endpoint,
        .src = packet->src,
        .sport = packet->sport,
        .dst = packet->dst,
        .dport = packet->dport,
        .seq = random_seq (),
        .next = endpoint->flows,
      };
      flow->next_seq = flow->seq + 1;
      flow->peer_next = packet->seq + 1;
      endpoint->flows = flow;
    }
  flow->echo = packet->echo;
  send_of_flow (flow, SYN | ACK, flow->seq, 0);
}

static void
take_packet (struct Endpoint *endpoint, const struct Packet *packet)
{
  struct Flow *flow = find_flow (endpoint, packet);

  if (packet->len > 0 && endpoint->lose_data > 0)
    {
      endpoint->lose_data--;
      record ("a datagram of flow %s:%u to %s is lost", lab_ip_text (packet->src), packet->sport,
              endpoint->id);
      return;
    }
  if (packet->flags & SYN)
    {
      if (!(packet->flags & ACK))
        take_opening (endpoint, packet);
      return;
    }
  if (packet->flags & RST)
    {
      if (flow)
        remove_flow (flow);
      return;
    }
  if (!flow || (!flow->open && packet->ack != flow->seq + 1))
    {
      record ("%s gets a packet of a flow that it does not hold: resets it", endpoint->id);
      send_to (endpoint->fd, packet->src, DATAGRAM_PORT,
               &(struct Packet){
                   .src = packet->dst,
                   .sport = packet->dport,
                   .dst = packet->src,
                   .dport = packet->sport,
                   .flags = RST,
                   .sum = SENDER_SUM,
                   .seq = packet->ack,
                   .echo = packet->echo,
               });
      return;
    }
  flow->open = true;
  flow->echo = packet->echo;
  if (packet->ack == flow->next_seq)
    flow->answering = false;
  if (packet->len > 0)
    {
      if (packet->seq == flow->peer_next)
        {
          flow->peer_next += packet->len;
          lab_after (endpoint->work_ms, answer, due_new (flow));
        }
      send_of_flow (flow, ACK, flow->next_seq, 0);
    }
  if (packet->flags & FIN)
    {
      flow->peer_next = packet->seq + packet->len + 1;
      send_of_flow (flow, ACK | FIN, flow->next_seq, 0);
      remove_flow (flow);
    }
}

static void
endpoint_readable (void *data)
{
  struct Endpoint *endpoint = data;
  uint8_t bytes[TAG_BYTES + HEAD_BYTES + DATA_MAX];
  struct Packet packet;
  ssize_t n;

  while (endpoint->alive && (n = recv (endpoint->fd, bytes, sizeof bytes, 0)) > 0)
    {
      uint64_t tag = n >= TAG_BYTES ? get (bytes, TAG_BYTES) : 1;

      /* It sends nothing if it is not the intended endpoint. */
      if ((tag == 0 || tag == endpoint->tag)
          && decode (bytes + TAG_BYTES, (size_t) n - TAG_BYTES, &packet))
        take_packet (endpoint, &packet);
    }
}

void
endpoint_announce (struct Endpoint *endpoint)
{
  char spec[512];
  int64_t cold = endpoint->cold_until - lab_now ();

  if (store_is_down ())
    return;
  snprintf (spec, sizeof spec,
            "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"v1\","
            "\"slots\":2,\"state\":\"%s\",\"warmup-remaining-ms\":%lld,\"sequence\":1,"
            "\"born\":%lld}",
            endpoint->service, lab_ip_text (endpoint->ip), ENDPOINT_PORT, endpoint->zone,
            endpoint->draining ? "draining" : "ready", (long long) (cold > 0 ? cold : 0),
            (long long) endpoint->born);
  store_put ("servers", endpoint->id, spec);
}

void
endpoint_become_cold (struct Endpoint *endpoint, int64_t ms)
{
  endpoint->cold_until = lab_now () + ms;
  record ("%s is cold for %lld ms", endpoint->id, (long long) ms);
}

unsigned
endpoint_most_per_s (const struct Endpoint *endpoint, int64_t from, int64_t to)
{
  unsigned most = 0;

  for (size_t i = 0, begin = 0; i < endpoint->arrival_count && endpoint->arrivals[i] <= to; i++)
    {
      while (begin < i
             && (endpoint->arrivals[begin] < from
                 || endpoint->arrivals[i] - endpoint->arrivals[begin] >= 1000))
        begin++;
      if (endpoint->arrivals[i] >= from && i - begin + 1 > most)
        most = (unsigned) (i - begin + 1);
    }
  return most;
}

struct Beat
{
  struct Endpoint *endpoint;
  unsigned beats;
};

static void
beat (void *data)
{
  struct Beat *due = data;

  if (!due->endpoint->alive || due->endpoint->beats != due->beats)
    {
      free (due);
      return;
    }
  endpoint_announce (due->endpoint);
  lab_after (BEAT_MS, beat, due);
}

void
endpoint_beat_in (struct Endpoint *endpoint, int64_t ms)
{
  struct Beat *due = malloc (sizeof *due);

  *due = (struct Beat){ endpoint, ++endpoint->beats };
  lab_after (ms, beat, due);
}

struct Endpoint *
endpoint_start (
    unsigned host, const char *id, const char *service, const char *zone, int64_t work_ms)
{
  struct Endpoint *endpoint = calloc (1, sizeof *endpoint);
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  endpoint->tag = id ? strtoull (id + 2, NULL, 16)
                     : 0x40000000ULL + (uint64_t) (rand () % 0x10000000) * 16 + host % 16;
  snprintf (endpoint->id, sizeof endpoint->id, "i-%08llx", (unsigned long long) endpoint->tag);
  endpoint->service = service;
  endpoint->zone = zone;
  endpoint->ip = lab_ip (2, host);
  endpoint->work_ms = work_ms;
  endpoint->born = (int64_t) now.tv_sec * 1000 + now.tv_nsec / 1000000;
  endpoint->alive = true;
  endpoint->fd = open_udp (endpoint->ip, ENDPOINT_PORT);
  lab_watch (endpoint->fd, endpoint_readable, endpoint);
  all_endpoints[endpoint_count++] = endpoint;
  endpoint_announce (endpoint);
  endpoint_beat_in (endpoint, rand () % BEAT_MS);
  return endpoint;
}

void
endpoint_end (struct Endpoint *endpoint)
{
  record ("%s ends", endpoint->id);
  endpoint->alive = false;
  lab_unwatch (endpoint->fd);
  close (endpoint->fd);
  while (endpoint->flows)
    remove_flow (endpoint->flows);
}

/* Returns the endpoint at which REQUEST's flow is open, NULL if there is none. */
static struct Endpoint *
find_endpoint (const struct Request *request)
{
  for (size_t i = 0; i < endpoint_count; i++)
    for (struct Flow *flow = all_endpoints[i]->flows; flow; flow = flow->next)
      if (flow->src == request->caller->ip && flow->sport == request->sport
          && flow->dport == request->dport && flow->dst == request->dst
          && flow->seq + 1 == request->peer_next)
        return all_endpoints[i];
  return NULL;
}

/* Requesters. */

static void
send_of_request (struct Request *request, uint8_t flags, uint32_t seq, uint32_t ack, uint16_t len)
{
  send_to (request->caller->fd, router_choose (request->caller->vm)->ip, DATAGRAM_PORT,
           &(struct Packet){
               .src = request->caller->ip,
               .sport = request->sport,
               .dst = request->dst,
               .dport = request->dport,
               .flags = flags,
               .sum = SENDER_SUM,
               .seq = seq,
               .ack = ack,
               .echo = request->echo,
               .len = len,
           });
}

static void
tell (struct Request *request, const char *what)
{
  if (caller_event)
    caller_event (request, what);
}

struct Repeat
{
  struct Request *request;
  unsigned generation; /* of the request when the timer was set */
};

static void
set_timer (struct Request *request, int64_t delay, TimerFunc *func)
{
  struct Repeat *repeat = malloc (sizeof *repeat);

  *repeat = (struct Repeat){ request, request->generation };
  lab_after (delay, func, repeat);
}

static bool
is_current (struct Repeat *repeat)
{
  bool current = repeat->request->generation == repeat->generation;

  free (repeat);
  return current;
}

static void
end_request (struct Request *request, const char *what)
{
  request->generation++;
  request->state = ENDED;
  request->waiting = false;
  tell (request, what);
}

static void
copy_opening (void *data)
{
  struct Request *request = ((struct Repeat *) data)->request;

  if (!is_current (data))
    return;
  send_of_request (request, SYN, request->seq, ++request->copies, 0);
  if (request->copies == 1)
    set_timer (request, SECOND_COPY_MS - FIRST_COPY_MS, copy_opening);
}

static void
give_up_opening (void *data)
{
  struct Request *request = ((struct Repeat *) data)->request;

  if (is_current (data))
    end_request (request, "did not open");
}

static void
repeat_data (void *data)
{
  struct Request *request = ((struct Repeat *) data)->request;
  int64_t delay;

  if (!is_current (data))
    return;
  delay = REPEAT_MS << ++request->copies;
  send_of_request (request, ACK, request->next_seq - REQUEST_BYTES, request->peer_next,
                   REQUEST_BYTES);
  set_timer (request, delay < REPEAT_MAX_MS ? delay : REPEAT_MAX_MS, repeat_data);
}

static void
pass_time_limit (void *data)
{
  struct Request *request = ((struct Repeat *) data)->request;
  unsigned answers = ((struct Repeat *) data)->generation;

  free (data);
  if (request->state == OPEN && request->waiting && request->answers == answers)
    {
      request->timed_out = true;
      end_request (request, "passed its time limit");
    }
}

static void
send_request (struct Request *request)
{
  struct Repeat *limit = malloc (sizeof *limit);

  request->generation++;
  request->copies = 0;
  request->waiting = true;
  send_of_request (request, ACK, request->next_seq, request->peer_next, REQUEST_BYTES);
  request->next_seq += REQUEST_BYTES;
  set_timer (request, REPEAT_MS, repeat_data);
  /* Its generation holds the number of answers instead. */
  *limit = (struct Repeat){ request, request->answers };
  lab_after (TIME_LIMIT_MS, pass_time_limit, limit);
}

static void
take_answer_packet (struct Request *request, const struct Packet *packet)
{
  if ((packet->flags & (SYN | ACK)) == (SYN | ACK))
    {
      if (request->state != OPENING)
        return; /* of another endpoint, or repeated */
      request->state = OPEN;
      request->peer_next = packet->seq + 1;
      request->echo = packet->echo;
      request->endpoint = find_endpoint (request);
      send_request (request);
      return;
    }
  if (packet->flags & RST)
    {
      if (packet->sum == 0)
        request->reset_by_system = true;
      else
        request->reset_by_endpoint = true;
      end_request (request,
                   packet->sum == 0 ? "was reset by the system" : "was reset by an endpoint");
      return;
    }
  if (request->state != OPEN)
    return;
  request->echo = packet->echo;
  if (packet->ack == request->next_seq && request->waiting)
    request->generation++; /* nothing is to be repeated */
  if (packet->len > 0 && packet->seq == request->peer_next)
    {
      request->peer_next += packet->len;
      request->answers++;
      request->waiting = false;
      if (!request->keep)
        {
          send_of_request (request, ACK | FIN, request->next_seq, request->peer_next, 0);
          end_request (request, "was answered");
          return;
        }
      tell (request, "was answered");
    }
  if (packet->len > 0)
    send_of_request (request, ACK, request->next_seq, request->peer_next, 0);
}

static void
caller_readable (void *data)
{
  struct Caller *caller = data;
  uint8_t bytes[HEAD_BYTES + DATA_MAX];
  struct Packet packet;
  ssize_t n;

  while ((n = recv (caller->fd, bytes, sizeof bytes, 0)) > 0)
    {
      if (!decode (bytes, (size_t) n, &packet))
        continue;
      for (struct Request *request = caller->requests; request; request = request->next)
        if (request->sport == packet.dport && request->dst == packet.src
            && request->dport == packet.sport && request->state != ENDED)
          {
            take_answer_packet (request, &packet);
            break;
          }
    }
}

struct Caller *
caller_new (unsigned host, struct Vm *vm)
{
  struct Caller *caller = calloc (1, sizeof *caller);

  caller->ip = lab_ip (3, host);
  caller->vm = vm;
  caller->next_port = 40000;
  caller->fd = open_udp (caller->ip, DATAGRAM_PORT);
  lab_watch (caller->fd, caller_readable, caller);
  return caller;
}

/* Frees the flows of CALLER that ended a while ago. */
static void
forget_ended (struct Caller *caller)
{
  struct Request **at = &caller->requests;

  while (*at)
    {
      struct Request *request = *at;

      if (request->state == ENDED && lab_now () - request->sent_at > 2 * TIME_LIMIT_MS + 2000
          && !request->keep)
        {
          *at = request->next;
          free (request);
        }
      else
        at = &request->next;
    }
}

struct Request *
caller_request (struct Caller *caller, uint32_t dst, uint16_t dport, bool keep)
{
  struct Request *request = calloc (1, sizeof *request);

  forget_ended (caller);
  *request = (struct Request){
    .caller = caller,
    .sport = caller->next_port++,
    .dst = dst,
    .dport = dport,
    .keep = keep,
    .state = OPENING,
    .sent_at = lab_now (),
    .seq = random_seq (),
    .next = caller->requests,
  };
  request->next_seq = request->seq + 1;
  caller->requests = request;
  send_of_request (request, SYN, request->seq, 0, 0);
  set_timer (request, FIRST_COPY_MS, copy_opening);
  set_timer (request, OPENING_MS, give_up_opening);
  return request;
}

void
caller_again (struct Request *request)
{
  send_request (request);
}
