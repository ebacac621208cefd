#include "versions.h"

#include <string.h>

static bool
is_of (const struct CfVersion *version, enum CfFeedKind kind, const char *name)
{
  return version->kind == kind && strcmp (version->name, name) == 0;
}

static void
drop (struct CfVersions *versions, struct CfVersion *version)
{
  g_queue_unlink (&versions->list, &version->link);
  versions->bytes -= version->len;
  g_free (version->name);
  g_free (version->text);
  g_free (version);
}

void
cf_versions_clear (struct CfVersions *versions)
{
  while (versions->list.head)
    drop (versions, versions->list.head->data);
}

/* Drops the oldest texts beyond the bounds, and of the record NAME of KIND, so that there is room
 * for one more. */
static void
make_room (struct CfVersions *versions, enum CfFeedKind kind, const char *name, size_t len)
{
  struct CfVersion *oldest = NULL;
  int count = 0;

  for (GList *link = versions->list.tail; link; link = link->prev)
    if (is_of (link->data, kind, name))
      {
        oldest = link->data;
        count++;
      }
  if (count >= CF_VERSIONS_OF_RECORD)
    drop (versions, oldest);
  while (versions->bytes + len > CF_VERSIONS_MAX_BYTES && versions->list.head)
    drop (versions, versions->list.head->data);
}

/* Returns the latest earlier text of the record NAME of KIND, NULL if there is none. */
static struct CfVersion *
latest (const struct CfVersions *versions, enum CfFeedKind kind, const char *name)
{
  for (GList *link = versions->list.tail; link; link = link->prev)
    if (is_of (link->data, kind, name))
      return link->data;
  return NULL;
}

/* Keeps the text of RECORD of KIND, which it has at least until UNTIL. */
static void
keep (struct CfVersions *versions,
      enum CfFeedKind kind,
      const struct CfRecord *record,
      uint64_t until)
{
  size_t len = strlen (record->text);
  struct CfVersion *version;

  if (len < CF_VERSIONS_TEXT_MIN_BYTES || len > CF_VERSIONS_MAX_BYTES)
    return;
  /* A response may hold several changes of one record, and an outdated one may not be applied. */
  version = latest (versions, kind, record->name);
  if (version && version->from == record->revision)
    {
      version->until = MAX (version->until, until);
      return;
    }
  make_room (versions, kind, record->name, len);
  version = g_new0 (struct CfVersion, 1);
  version->link.data = version;
  version->kind = kind;
  version->name = g_strdup (record->name);
  version->text = g_strdup (record->text);
  version->len = len;
  version->from = record->revision;
  version->until = until;
  versions->bytes += len;
  g_queue_push_tail_link (&versions->list, &version->link);
}

void
cf_versions_keep (struct CfVersions *versions,
                  const struct CfReplica *replica,
                  enum CfFeedKind kind,
                  GPtrArray *records)
{
  if (versions->eras != replica->eras)
    cf_versions_clear (versions);
  versions->eras = replica->eras;
  for (guint i = 0; i < records->len; i++)
    {
      const struct CfRecord *record = records->pdata[i];
      const struct CfRecord *stored = cf_replica_stored (replica, kind, record->name);

      if (stored && record->revision > stored->revision)
        keep (versions, kind, stored, replica->revision[kind]);
    }
}

const struct CfVersion *
cf_versions_find (const struct CfVersions *versions,
                  const struct CfReplica *replica,
                  enum CfFeedKind kind,
                  const char *name,
                  uint64_t revision)
{
  if (versions->eras != replica->eras)
    return NULL;
  for (GList *link = versions->list.tail; link; link = link->prev)
    {
      const struct CfVersion *version = link->data;

      if (is_of (version, kind, name) && version->from <= revision && revision <= version->until)
        return version;
    }
  return NULL;
}
