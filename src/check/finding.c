#include "finding.h"

#include <string.h>

/* Returns a copy of TEXT that is valid UTF-8, has no control characters, which a terminal might
 * interpret, and is cut to CF_FINDING_TEXT_MAX bytes. */
static char *
clean_text (const char *text)
{
  size_t len = strnlen (text, CF_FINDING_TEXT_MAX + 1);
  char *valid = g_utf8_make_valid (text, (gssize) MIN (len, CF_FINDING_TEXT_MAX));
  GString *result = g_string_new (NULL);

  for (const char *at = valid; *at; at = g_utf8_next_char (at))
    {
      gunichar c = g_utf8_get_char (at);

      g_string_append_unichar (result, g_unichar_iscntrl (c) ? '?' : c);
    }
  if (len > CF_FINDING_TEXT_MAX)
    g_string_append (result, "...");
  g_free (valid);
  return g_string_free (result, FALSE);
}

static char *
clean_optional (const char *text)
{
  return text ? clean_text (text) : NULL;
}

static void
clear_finding (gpointer data)
{
  struct CfFinding *finding = data;

  g_free (finding->file);
  g_free (finding->key);
  g_free (finding->value);
  g_free (finding->old);
  g_free (finding->text);
}

void
cf_findings_init (struct CfFindings *findings)
{
  *findings = (struct CfFindings){ .list = g_array_new (FALSE, TRUE, sizeof (struct CfFinding)) };
  g_array_set_clear_func (findings->list, clear_finding);
}

void
cf_findings_clear (struct CfFindings *findings)
{
  g_array_unref (findings->list);
  *findings = (struct CfFindings){ 0 };
}

/* Adds FINDING, whose texts are borrowed.  Errors and warnings are kept in front of changes:
 * each sort has its own bound. */
static void
add (struct CfFindings *findings, const struct CfFinding *finding)
{
  struct CfFinding copy = *finding;

  if (findings->counts[finding->severity]++ >= CF_FINDINGS_MAX)
    {
      findings->left_out++;
      return;
    }
  copy.file = clean_text (finding->file);
  copy.key = clean_text (finding->key ? finding->key : "");
  copy.value = clean_optional (finding->value);
  copy.old = clean_optional (finding->old);
  copy.text = clean_text (finding->text);
  g_array_append_val (findings->list, copy);
}

void
cf_findings_add (struct CfFindings *findings,
                 enum CfSeverity severity,
                 const char *code,
                 const char *file,
                 const char *key,
                 const char *format,
                 ...)
{
  va_list args;
  char *text;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  add (findings, &(struct CfFinding){ .severity = severity,
                                      .code = code,
                                      .file = (char *) file,
                                      .key = (char *) key,
                                      .text = text });
  g_free (text);
}

void
cf_findings_add_fault (struct CfFindings *findings,
                       const char *code,
                       const char *file,
                       const char *key,
                       const char *value,
                       const char *allowed)
{
  char *shown = clean_optional (value);
  char *text = shown ? g_strdup_printf ("%s is not allowed; allowed is %s", shown, allowed)
                     : g_strdup_printf ("is missing; allowed is %s", allowed);

  add (findings, &(struct CfFinding){ .severity = CF_SEVERITY_ERROR,
                                      .code = code,
                                      .file = (char *) file,
                                      .key = (char *) key,
                                      .value = (char *) value,
                                      .text = text });
  g_free (text);
  g_free (shown);
}

void
cf_findings_add_change (struct CfFindings *findings,
                        const char *file,
                        const char *key,
                        const char *old,
                        const char *value)
{
  char *from;
  char *to;
  char *text;

  if (g_strcmp0 (old, value) == 0)
    return;
  from = clean_optional (old);
  to = clean_optional (value);
  if (!old)
    text = g_strdup_printf ("added: %s", to);
  else if (!value)
    text = g_strdup_printf ("removed: %s", from);
  else
    text = g_strdup_printf ("changed from %s to %s", from, to);
  add (findings, &(struct CfFinding){ .severity = CF_SEVERITY_CHANGE,
                                      .code = !old    ? "added"
                                              : value ? "changed"
                                                      : "removed",
                                      .file = (char *) file,
                                      .key = (char *) key,
                                      .value = (char *) value,
                                      .old = (char *) old,
                                      .text = text });
  g_free (text);
  g_free (from);
  g_free (to);
}
