#include "balancer.h"
#include "feed/reader.h"
#include "feed/replica.h"
#include "http_call.h"
#include "platform/calls.h"
#include "platform/objects.h"
#include "server.h"

/* The feed task reads the store and tells the datapath task what is new. */

struct FeedTask;

struct Channel
{
  struct FeedTask *task;
  struct CfReader reader;
  struct CfHttpCall *call; /* NULL: none is under way */
  GPtrArray *list;         /* parts of a list so far, of struct CfRecord */
  bool lost;               /* the last call failed */
};

struct FeedTask
{
  struct CfBalancer *balancer;
  GMainContext *context;
  SoupSession *session;
  GSource *timer;
  GRand *random;
  struct CfReplica replica;
  struct Channel channels[CF_FEED_KINDS];
  bool settled; /* the datapath task was told that lapsed announcements are over */
};

static void pump (struct FeedTask *task);

static void
add_upstream (struct FeedTask *task, struct CfUpdate *update, const struct CfRecord *record)
{
  struct CfAnnouncement announcement;
  struct CfError error = { 0 };

  if (record->deleted)
    {
      g_ptr_array_add (update->withdrawn, g_strdup (record->name));
      return;
    }
  if (cf_platform_read_announcement (record, &announcement, &error))
    {
      g_array_append_val (update->announcements, announcement);
      return;
    }
  cf_event_log_write (task->balancer->log, "announcement-unreadable",
                      (struct CfField[]){
                          { .key = "upstream", .text = record->name },
                          { .key = "revision", .number = (int64_t) record->revision },
                          { .key = "fault", .text = error.text },
                          { 0 },
                      });
  g_ptr_array_add (update->withdrawn, g_strdup (record->name));
}

static void
add_manifest (struct FeedTask *task, struct CfUpdate *update, const struct CfRecord *record)
{
  struct CfError error = { 0 };

  if (record->deleted)
    return;
  g_clear_pointer (&update->manifest, cf_manifest_free);
  update->manifest = cf_platform_read_manifest (record, &error);
  if (!update->manifest)
    cf_event_log_write (task->balancer->log, "manifest-unreadable",
                        (struct CfField[]){
                            { .key = "revision", .number = (int64_t) record->revision },
                            { .key = "fault", .text = error.text },
                            { 0 },
                        });
}

/* Tells the datapath task of NEWS, an array of struct CfRecord. */
static void
pass_on (struct FeedTask *task, enum CfFeedKind kind, GPtrArray *news, bool trusted)
{
  struct CfUpdate *update = cf_update_new (kind, trusted);

  for (guint i = 0; i < news->len; i++)
    {
      const struct CfRecord *record = news->pdata[i];

      switch (kind)
        {
        case CF_FEED_MANIFEST:
          add_manifest (task, update, record);
          break;
        case CF_FEED_UPSTREAMS:
          add_upstream (task, update, record);
          break;
        case CF_FEED_EVACUATIONS:
          g_ptr_array_add (record->deleted ? update->returned : update->evacuated,
                           g_strdup (record->name));
          break;
        case CF_FEED_VMS:
        case CF_FEED_KINDS:
          break;
        }
    }
  if (kind == CF_FEED_VMS)
    update->vms = cf_replica_count (&task->replica, kind);
  cf_send_update (task->balancer, update);
}

static bool
all_trusted (const struct FeedTask *task, CfMillis now)
{
  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    if (!cf_reader_trusted (&task->channels[kind].reader, now))
      return false;
  return true;
}

static void
note_path (struct Channel *channel, enum CfReadOutcome outcome, CfMillis now)
{
  bool lost = outcome != CF_READ_ANSWERED && outcome != CF_READ_HISTORY_GONE;

  if (lost != channel->lost)
    cf_event_log_write (
        channel->task->balancer->log, lost ? "store-lost" : "store-regained",
        (struct CfField[]){
            { .key = "kind", .text = cf_feed_kind_name (channel->reader.kind) },
            { .key = "outcome", .text = cf_read_outcome_name (outcome) },
            { .key = "revision", .number = (int64_t) channel->reader.revision },
            { .key = "answered_ago_ms", .number = now - channel->reader.answered_at },
            { 0 },
        });
  channel->lost = lost;
}

static void
take_records (struct Channel *channel, struct CfFeedAnswer *answer, bool whole, CfMillis now)
{
  struct FeedTask *task = channel->task;
  GPtrArray *records = whole ? channel->list : answer->records;
  GPtrArray *news = cf_replica_apply (&task->replica, channel->reader.kind, records,
                                      channel->reader.revision, whole);

  if (news->len > 0)
    pass_on (task, channel->reader.kind, news, cf_reader_trusted (&channel->reader, now));
  g_ptr_array_unref (news);
}

/* Moves the records of ANSWER to the parts of the list so far. */
static void
gather (struct Channel *channel, struct CfFeedAnswer *answer)
{
  for (guint i = 0; i < answer->records->len; i++)
    {
      const struct CfRecord *record = answer->records->pdata[i];

      g_ptr_array_add (channel->list, cf_record_new (record->name, record->revision,
                                                     record->deleted, record->text));
    }
}

static void
answered (void *data, SoupMessage *message, GBytes *body)
{
  struct Channel *channel = data;
  struct FeedTask *task = channel->task;
  struct CfFeedAnswer answer;
  enum CfReadOutcome outcome = cf_platform_answer (message, body, &answer);
  bool listing = !channel->reader.listed;
  bool first = listing && !channel->reader.after;
  CfMillis now = cf_now ();
  bool whole;

  channel->call = NULL;
  if (first && channel->list)
    g_ptr_array_set_size (channel->list, 0);
  note_path (channel, outcome, now);
  if (outcome == CF_READ_ANSWERED && listing)
    gather (channel, &answer);
  whole = cf_reader_outcome (&channel->reader, outcome, &answer, now, task->random);
  if (outcome == CF_READ_ANSWERED && (whole || !listing))
    {
      take_records (channel, &answer, whole, now);
      cf_send_fresh (task->balancer, all_trusted (task, now));
    }
  cf_feed_answer_clear (&answer);
  pump (task);
}

static void
begin_call (struct FeedTask *task, struct Channel *channel)
{
  const struct CfReader *reader = &channel->reader;
  const char *store = task->balancer->settings.store;
  CfMillis wait = reader->listed ? CF_READER_WAIT_MS : 0;
  SoupMessage *message = reader->listed
                             ? cf_platform_watch (store, reader->kind, reader->revision, wait)
                             : cf_platform_list (store, reader->kind, reader->after);

  channel->call = cf_http_call_begin (task->session, message,
                                      (guint) (wait + CF_READER_DEADLINE_MS), reader->failures > 0,
                                      answered, channel);
}

/* Begins the calls that are due, and sets the timer for the next. */
static void
pump (struct FeedTask *task)
{
  CfMillis now = cf_now ();
  CfMillis next = now + CF_MS_PER_S;

  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    {
      struct Channel *channel = &task->channels[kind];

      if (cf_reader_due (&channel->reader, now))
        begin_call (task, channel);
      else if (!channel->reader.calling)
        next = MIN (next, channel->reader.next_at);
    }
  g_source_set_ready_time (task->timer, next * G_TIME_SPAN_MILLISECOND);
}

static gboolean
on_timer (gpointer data)
{
  pump (data);
  return G_SOURCE_CONTINUE;
}

static gboolean
dispatch_timer (GSource *source, GSourceFunc callback, gpointer data)
{
  (void) source;
  return callback (data);
}

static GSourceFuncs timer_funcs = { .dispatch = dispatch_timer };

static bool
start (struct CfTask *base, void *data, struct CfError *error)
{
  struct FeedTask *task = data;

  (void) error;
  task->context = base->context;
  task->session = soup_session_new_with_options ("proxy-resolver", NULL, "max-conns", 16,
                                                 "max-conns-per-host", 16, NULL);
  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    {
      struct Channel *channel = &task->channels[kind];

      channel->task = task;
      channel->list = g_ptr_array_new_with_free_func (cf_record_free);
      cf_reader_init (&channel->reader, (enum CfFeedKind) kind, cf_now ());
    }
  task->timer = g_source_new (&timer_funcs, sizeof (GSource));
  g_source_set_callback (task->timer, on_timer, task, NULL);
  g_source_set_ready_time (task->timer, 0);
  g_source_attach (task->timer, base->context);
  return true;
}

static void
stop (struct CfTask *base, void *data)
{
  struct FeedTask *task = data;

  (void) base;
  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    {
      struct Channel *channel = &task->channels[kind];

      if (channel->call)
        cf_http_call_abandon (channel->call);
      channel->call = NULL;
      g_clear_pointer (&channel->list, g_ptr_array_unref);
      cf_reader_clear (&channel->reader);
    }
  g_source_destroy (task->timer);
  g_clear_pointer (&task->timer, g_source_unref);
  g_clear_object (&task->session);
}

const struct CfTaskClass cf_feed_task = { .name = "feed", .start = start, .stop = stop };

void *
cf_feed_task_new (struct CfBalancer *balancer)
{
  struct FeedTask *task = g_new0 (struct FeedTask, 1);

  task->balancer = balancer;
  task->random = g_rand_new ();
  cf_replica_init (&task->replica);
  return task;
}

void
cf_feed_task_free (void *data)
{
  struct FeedTask *task = data;

  cf_replica_clear (&task->replica);
  g_rand_free (task->random);
  g_free (task);
}
