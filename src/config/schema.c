#include "schema.h"

#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

static const struct CfKeySpec specs[] = {
  { .kind = "fleet",
    .key = "version",
    .type = CF_KEY_INTEGER,
    .min = 0,
    .max = 1e15,
    .fallback = "1" },
  { .kind = "fleet", .key = "apply-id", .type = CF_KEY_NAME, .fallback = "", .internal = true },

  { .kind = "limits",
    .key = "imbalance",
    .type = CF_KEY_REAL,
    .min = 0.05,
    .max = 10,
    .fallback = "0.25" },
  { .kind = "limits",
    .key = "flow-idle",
    .type = CF_KEY_INTEGER,
    .min = 60,
    .max = 86400,
    .fallback = "3900" },
  { .kind = "limits",
    .key = "retain",
    .type = CF_KEY_INTEGER,
    .min = 60,
    .max = 604800,
    .fallback = "7200" },
  { .kind = "limits",
    .key = "peer-bytes",
    .type = CF_KEY_INTEGER,
    .min = 1000,
    .max = 1e9,
    .fallback = "12000" },
  { .kind = "limits",
    .key = "new-flows",
    .type = CF_KEY_INTEGER,
    .min = 0,
    .max = 1e7,
    .fallback = "0" },

  { .kind = "failure-domain", .key = "region", .type = CF_KEY_NAME, .fallback = "default" },
  { .kind = "failure-domain",
    .key = "state",
    .type = CF_KEY_CHOICE,
    .choices = "in|out",
    .fallback = "in" },

  { .kind = "vm", .key = "address", .type = CF_KEY_ADDRESS },
  { .kind = "vm", .key = "failure-domain", .type = CF_KEY_NAME },

  { .kind = "service", .key = "address", .type = CF_KEY_ADDRESS },
  { .kind = "service",
    .key = "protocol",
    .type = CF_KEY_CHOICE,
    .choices = "tcp|udp",
    .fallback = "tcp" },
  { .kind = "service", .key = "port", .type = CF_KEY_INTEGER, .min = 1, .max = 65535 },
  { .kind = "service", .key = "tenant", .type = CF_KEY_NAME, .fallback = "default" },
  { .kind = "service",
    .key = "changed-at",
    .type = CF_KEY_INTEGER,
    .min = 0,
    .max = 1e12,
    .fallback = "0",
    .internal = true },

  { .kind = "upstream", .key = "service", .type = CF_KEY_NAME },
  { .kind = "upstream", .key = "failure-domain", .type = CF_KEY_NAME },
  { .kind = "upstream", .key = "tunnel", .type = CF_KEY_ADDRESS },
  { .kind = "upstream",
    .key = "tunnel-port",
    .type = CF_KEY_INTEGER,
    .min = 1,
    .max = 65535,
    .fallback = "6080" },
  { .kind = "upstream",
    .key = "health-port",
    .type = CF_KEY_INTEGER,
    .min = 0,
    .max = 65535,
    .fallback = "0" },
  { .kind = "upstream",
    .key = "weight",
    .type = CF_KEY_INTEGER,
    .min = 1,
    .max = CF_WEIGHT_MAX,
    .fallback = "100" },
  { .kind = "upstream",
    .key = "bears",
    .type = CF_KEY_INTEGER,
    .min = 1,
    .max = 1e6,
    .fallback = "10" },
  { .kind = "upstream",
    .key = "slots",
    .type = CF_KEY_INTEGER,
    .min = 1,
    .max = 1e6,
    .fallback = "2" },
  { .kind = "upstream",
    .key = "connections",
    .type = CF_KEY_INTEGER,
    .min = 1,
    .max = 1e7,
    .fallback = "2000" },
  { .kind = "upstream",
    .key = "state",
    .type = CF_KEY_CHOICE,
    .choices = "active|draining",
    .fallback = "active" },
  { .kind = "upstream",
    .key = "baseline-weight",
    .type = CF_KEY_INTEGER,
    .min = 0,
    .max = CF_WEIGHT_MAX,
    .fallback = "",
    .internal = true },
  { .kind = "upstream",
    .key = "removed-at",
    .type = CF_KEY_INTEGER,
    .min = 0,
    .max = 1e12,
    .fallback = "0",
    .internal = true },
};

const struct CfKeySpec *
cf_schema_find (const char *kind, const char *key)
{
  for (size_t i = 0; i < G_N_ELEMENTS (specs); i++)
    if (strcmp (specs[i].kind, kind) == 0 && strcmp (specs[i].key, key) == 0)
      return &specs[i];
  return NULL;
}

const struct CfKeySpec *
cf_schema_next (const char *kind, const struct CfKeySpec *previous)
{
  const struct CfKeySpec *spec = previous ? previous + 1 : specs;

  for (; spec < specs + G_N_ELEMENTS (specs); spec++)
    if (strcmp (spec->kind, kind) == 0)
      return spec;
  return NULL;
}

bool
cf_schema_has_kind (const char *kind, bool *named)
{
  *named = strcmp (kind, "fleet") != 0 && strcmp (kind, "limits") != 0;
  return cf_schema_next (kind, NULL) != NULL;
}

static char *
check_number (const struct CfKeySpec *spec, const char *value)
{
  char *end;
  double number;

  errno = 0;
  if (spec->type == CF_KEY_INTEGER)
    number = (double) strtoll (value, &end, 10);
  else
    number = g_ascii_strtod (value, &end);
  if (end == value || *end || errno || !isfinite (number))
    return g_strdup_printf ("'%s' is not %s", value,
                            spec->type == CF_KEY_INTEGER ? "a whole number" : "a number");
  if (number < spec->min || number > spec->max)
    return g_strdup_printf ("%s is outside %.15g to %.15g", value, spec->min, spec->max);
  return NULL;
}

static char *
check_choice (const struct CfKeySpec *spec, const char *value)
{
  char **words = g_strsplit (spec->choices, "|", -1);
  bool found = g_strv_contains ((const char *const *) words, value);

  g_strfreev (words);
  return found ? NULL : g_strdup_printf ("'%s' is not one of %s", value, spec->choices);
}

char *
cf_schema_check (const struct CfKeySpec *spec, const char *value)
{
  struct CfAddress address;

  switch (spec->type)
    {
    case CF_KEY_INTEGER:
    case CF_KEY_REAL:
      return check_number (spec, value);
    case CF_KEY_ADDRESS:
      if (cf_address_parse (value, 0, &address))
        return NULL;
      return g_strdup_printf ("'%s' is not an IPv4 or IPv6 address", value);
    case CF_KEY_NAME:
      return *value ? NULL : g_strdup ("the name is empty");
    case CF_KEY_CHOICE:
      return check_choice (spec, value);
    }
  return NULL;
}
