#include "finding.h"

#include <json-glib/json-glib.h>

static const char *const severity_names[CF_SEVERITIES] = {
  [CF_SEVERITY_ERROR] = "error",
  [CF_SEVERITY_WARNING] = "warning",
  [CF_SEVERITY_CHANGE] = "change",
};

char *
cf_findings_text (const struct CfFindings *findings)
{
  GString *text = g_string_new (NULL);

  for (int severity = 0; severity < CF_SEVERITIES; severity++)
    for (guint i = 0; i < findings->list->len; i++)
      {
        const struct CfFinding *finding = &g_array_index (findings->list, struct CfFinding, i);

        if ((int) finding->severity == severity)
          g_string_append_printf (text, "%s: %s: %s%s%s [%s]\n", severity_names[severity],
                                  finding->file, finding->key, *finding->key ? ": " : "",
                                  finding->text, finding->code);
      }
  if (findings->left_out)
    g_string_append_printf (text, "%u more are left out\n", findings->left_out);
  return g_string_free (text, FALSE);
}

static void
add_member (JsonBuilder *builder, const char *name, const char *value)
{
  if (!value)
    return;
  json_builder_set_member_name (builder, name);
  json_builder_add_string_value (builder, value);
}

static void
add_count (JsonBuilder *builder, const char *name, guint count)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_int_value (builder, count);
}

static void
add_finding (JsonBuilder *builder, const struct CfFinding *finding)
{
  json_builder_begin_object (builder);
  add_member (builder, "severity", severity_names[finding->severity]);
  add_member (builder, "code", finding->code);
  add_member (builder, "file", finding->file);
  add_member (builder, "key", finding->key);
  add_member (builder, "value", finding->value);
  add_member (builder, "old", finding->old);
  add_member (builder, "text", finding->text);
  json_builder_end_object (builder);
}

char *
cf_findings_json (const struct CfFindings *findings)
{
  JsonBuilder *builder = json_builder_new ();
  JsonNode *root;
  char *text;

  json_builder_begin_object (builder);
  add_count (builder, "errors", findings->counts[CF_SEVERITY_ERROR]);
  add_count (builder, "warnings", findings->counts[CF_SEVERITY_WARNING]);
  add_count (builder, "changes", findings->counts[CF_SEVERITY_CHANGE]);
  add_count (builder, "left-out", findings->left_out);
  json_builder_set_member_name (builder, "findings");
  json_builder_begin_array (builder);
  for (int severity = 0; severity < CF_SEVERITIES; severity++)
    for (guint i = 0; i < findings->list->len; i++)
      if ((int) g_array_index (findings->list, struct CfFinding, i).severity == severity)
        add_finding (builder, &g_array_index (findings->list, struct CfFinding, i));
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  root = json_builder_get_root (builder);
  text = json_to_string (root, TRUE);
  json_node_unref (root);
  g_object_unref (builder);
  return text;
}
