#include "process_usage.h"
#include "metrics_text.h"

#include <sys/resource.h>
#include <unistd.h>

static bool
count_entries (const char *path, uint64_t *count)
{
  GDir *folder = g_dir_open (path, 0, NULL);

  *count = 0;
  if (!folder)
    return false;
  while (g_dir_read_name (folder))
    (*count)++;
  g_dir_close (folder);
  return true;
}

/* The second field of /proc/self/statm is the resident set in pages. */
static bool
read_resident (uint64_t *bytes)
{
  char *text = NULL;
  char *end = NULL;
  bool ok = g_file_get_contents ("/proc/self/statm", &text, NULL, NULL);

  if (ok)
    {
      g_ascii_strtoull (text, &end, 10);
      *bytes = g_ascii_strtoull (end, NULL, 10) * (uint64_t) sysconf (_SC_PAGESIZE);
    }
  g_free (text);
  return ok;
}

bool
cf_process_usage_read (struct CfProcessUsage *usage)
{
  struct rlimit limit = { 0 };

  *usage = (struct CfProcessUsage){ 0 };
  if (getrlimit (RLIMIT_NOFILE, &limit) == 0)
    usage->descriptors_max = limit.rlim_cur;
  if (!read_resident (&usage->resident_bytes) || !count_entries ("/proc/self/task", &usage->threads)
      || !count_entries ("/proc/self/fd", &usage->descriptors))
    return false;
  usage->descriptors--; /* the one that the count itself used */
  return true;
}

void
cf_process_usage_write (const struct CfProcessUsage *usage, GString *text)
{
  cf_metrics_value (text, usage->resident_bytes, "resident_bytes");
  cf_metrics_value (text, usage->threads, "threads");
  cf_metrics_value (text, usage->descriptors, "descriptors");
  cf_metrics_value (text, usage->descriptors_max, "descriptors_max");
}
