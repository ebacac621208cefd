#include "datapath_messages.h"
#include "platform/objects.h"

struct CfUpdate *
cf_update_new (enum CfFeedKind kind, bool trusted)
{
  struct CfUpdate *update = g_new0 (struct CfUpdate, 1);

  update->kind = kind;
  update->trusted = trusted;
  update->announcements = g_array_new (FALSE, FALSE, sizeof (struct CfAnnouncement));
  update->withdrawn = g_ptr_array_new_with_free_func (g_free);
  update->evacuated = g_ptr_array_new_with_free_func (g_free);
  update->returned = g_ptr_array_new_with_free_func (g_free);
  return update;
}

void
cf_update_free (void *data)
{
  struct CfUpdate *update = data;

  for (guint i = 0; i < update->announcements->len; i++)
    cf_platform_announcement_clear (
        &g_array_index (update->announcements, struct CfAnnouncement, i));
  g_array_unref (update->announcements);
  g_ptr_array_unref (update->withdrawn);
  g_ptr_array_unref (update->evacuated);
  g_ptr_array_unref (update->returned);
  cf_manifest_free (update->manifest);
  if (update->peers)
    g_array_unref (update->peers);
  g_free (update);
}
