#include "vm_record.h"
#include "base/json_text.h"

#include <string.h>

struct CfVmRecordHolder
{
  JsonNode *root;
};

char *
cf_vm_record_format (const struct CfVmRecord *vm)
{
  JsonObject *object = json_object_new ();
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);
  char *text;

  json_object_set_string_member (object, "address", vm->ip);
  json_object_set_string_member (object, "domain", vm->domain);
  json_object_set_string_member (object, "region", vm->region);
  json_object_set_int_member (object, "link_mbps", (gint64) vm->link_mbps);
  json_object_set_int_member (object, "hour", vm->hour);
  json_node_take_object (node, object);
  text = json_to_string (node, FALSE);
  json_node_unref (node);
  return text;
}

static JsonNode *
get_value (JsonObject *object, const char *name, GType type)
{
  JsonNode *node = json_object_get_member (object, name);

  return node && JSON_NODE_HOLDS_VALUE (node) && json_node_get_value_type (node) == type ? node
                                                                                         : NULL;
}

static bool
parse_vm (JsonObject *object, struct CfVmRecord *vm)
{
  JsonNode *ip = get_value (object, "address", G_TYPE_STRING);
  JsonNode *domain = get_value (object, "domain", G_TYPE_STRING);
  JsonNode *region = get_value (object, "region", G_TYPE_STRING);
  JsonNode *link_mbps = get_value (object, "link_mbps", G_TYPE_INT64);
  JsonNode *hour = get_value (object, "hour", G_TYPE_INT64);

  if (!ip || !domain || !region || !link_mbps || !hour)
    return false;
  *vm = (struct CfVmRecord){
    .ip = json_node_get_string (ip),
    .domain = json_node_get_string (domain),
    .region = json_node_get_string (region),
    .link_mbps = (double) json_node_get_int (link_mbps),
    .hour = json_node_get_int (hour),
  };
  return true;
}

struct CfVmRecordHolder *
cf_vm_record_parse (const char *content, struct CfVmRecord *vm)
{
  JsonNode *root
      = content ? cf_json_parse_object ("VM record", content, strlen (content), NULL) : NULL;
  struct CfVmRecordHolder *holder;

  if (!root || !parse_vm (json_node_get_object (root), vm))
    {
      g_clear_pointer (&root, json_node_unref);
      return NULL;
    }
  holder = g_new0 (struct CfVmRecordHolder, 1);
  holder->root = root;
  return holder;
}

void
cf_vm_record_release (struct CfVmRecordHolder *holder)
{
  if (!holder)
    return;
  json_node_unref (holder->root);
  g_free (holder);
}

bool
cf_vm_record_equal (const char *a, const char *b)
{
  JsonNode *x = cf_json_parse ("VM record", a, strlen (a), NULL);
  JsonNode *y = cf_json_parse ("VM record", b, strlen (b), NULL);
  bool same = x && y && json_node_equal (x, y);

  g_clear_pointer (&x, json_node_unref);
  g_clear_pointer (&y, json_node_unref);
  return same;
}
