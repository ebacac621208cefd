#ifndef CF_CHECK_FINDING_H
#define CF_CHECK_FINDING_H

#include <glib.h>

/* What a check of a configuration has found, in the order of the configuration. */

/* Findings that are kept; more are only counted, so that a hostile file costs bounded memory. */
#define CF_FINDINGS_MAX 1000
/* Bytes kept of each text of a finding. */
#define CF_FINDING_TEXT_MAX 400

enum CfSeverity
{
  CF_SEVERITY_ERROR,   /* a value that is not allowed */
  CF_SEVERITY_WARNING, /* an entry without effect, or two that contradict each other */
  CF_SEVERITY_CHANGE,  /* a difference from the version in force */
  CF_SEVERITIES,
};

/* All texts are valid UTF-8 without control characters. */
struct CfFinding
{
  enum CfSeverity severity;
  const char *code; /* a constant name of this sort of finding */
  char *file;
  char *key;   /* where in the file; "" if it is about the whole file */
  char *value; /* the value in question, NULL: none */
  char *old;   /* of a change: the value in force, NULL: none */
  char *text;
};

struct CfFindings
{
  GArray *list; /* of struct CfFinding */
  guint counts[CF_SEVERITIES];
  guint left_out; /* of the counts, those that are not in the list */
};

void cf_findings_init (struct CfFindings *findings);
void cf_findings_clear (struct CfFindings *findings);

/* Adds a finding about KEY of FILE with the printf-style text FORMAT. */
void cf_findings_add (struct CfFindings *findings,
                      enum CfSeverity severity,
                      const char *code,
                      const char *file,
                      const char *key,
                      const char *format,
                      ...) __attribute__ ((format (printf, 6, 7)));

/* Adds the error CODE: VALUE (NULL: missing) of KEY is not ALLOWED. */
void cf_findings_add_fault (struct CfFindings *findings,
                            const char *code,
                            const char *file,
                            const char *key,
                            const char *value,
                            const char *allowed);

/* Adds the change of KEY from OLD to VALUE, NULL for none, if they differ. */
void cf_findings_add_change (struct CfFindings *findings,
                             const char *file,
                             const char *key,
                             const char *old,
                             const char *value);

/* Returns the findings for people, one a line, errors first, to be freed. */
char *cf_findings_text (const struct CfFindings *findings);

/* Returns them as one JSON object, to be freed. */
char *cf_findings_json (const struct CfFindings *findings);

#endif
