#include "vm_record.h"
#include "base/json_text.h"

#include <string.h>

#define LINK_MAX_MBPS 1000000000 /* a petabit/s */
#define HOUR_MAX 1139544         /* the year 2100 */
#define NAME_MAX_BYTES 255       /* of a failure domain or region */

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

static bool
is_name (const char *text)
{
  return text && strlen (text) <= NAME_MAX_BYTES;
}

static bool
parse_vm (JsonObject *object, struct CfVmRecord *vm)
{
  const char *ip = cf_json_string (object, "address");
  const char *domain = cf_json_string (object, "domain");
  const char *region = cf_json_string (object, "region");
  struct CfAddress address;
  int64_t link_mbps;
  int64_t hour;

  if (!ip || !cf_address_parse (ip, 0, &address) || !cf_address_is_ipv4 (&address)
      || !is_name (domain) || !is_name (region)
      || !cf_json_integer (object, "link_mbps", 0, LINK_MAX_MBPS, &link_mbps)
      || !cf_json_integer (object, "hour", 0, HOUR_MAX, &hour))
    return false;
  *vm = (struct CfVmRecord){
    .ip = ip,
    .domain = domain,
    .region = region,
    .link_mbps = (double) link_mbps,
    .hour = hour,
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
