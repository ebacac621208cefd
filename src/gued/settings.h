#ifndef CF_GUED_SETTINGS_H
#define CF_GUED_SETTINGS_H

#include "cf_types.h"
#include "peer/codec.h"

/* Settings of "cyclamenferry serve".  Each comes from a flag, or else from the
 * environment variable of the same name with the prefix CYCLAMENFERRY_. */
struct CfSettings
{
  const char *name;
  const char *failure_domain;
  const char *ip;
  uint16_t fabric_port;
  uint16_t transfer_port;
  uint16_t peer_port;
  const char *admin_ip;
  uint16_t admin_port; /* 0: no admin endpoint */
  const char *config_dir;
  const char *platform; /* base URL of the object API */
  uint8_t fleet_key[CF_FLEET_KEY_BYTES];
  CfMillis linger_ms;
  CfMillis health_interval_ms;
};

/* Reads the arguments of "serve" into SETTINGS.  Returns false with ERROR filled in
 * if a value is missing or not valid.  --help prints and exits. */
bool cf_settings_parse (struct CfSettings *settings, int argc, char **argv, struct CfError *error);

#endif
