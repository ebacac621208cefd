#ifndef CF_BALANCER_BALANCE_SETTINGS_H
#define CF_BALANCER_BALANCE_SETTINGS_H

#include "balance/admission.h"

#include <glib.h>

/* The groups [overload] and [slow-answers], which a file need not have. */
struct CfOverloadSettings
{
  struct CfAdmissionOptions admission;
  double extra_openings; /* as a share of the usual ones, 0: none */
  bool has_other_keys;   /* the file has a key of [overload] other than "enabled" */
};

/* Settings of "cyclamenferry balance", read from a key file whose path comes from the flag
 * --boot or the variable CYCLAMENFERRY_BOOT.  A machine need not have all values: those without
 * which a VM cannot serve are required, the others have a default. */
struct CfBalanceSettings
{
  char *path; /* of the file */
  char *name;
  char *ip;
  char *failure_domain;
  char *region;            /* of the failure domain */
  struct CfAddress fabric; /* UDP, packets from the fabric */
  struct CfAddress ready;  /* TCP, for the fabric's readiness checks */
  uint16_t metrics_port;   /* TCP at the VM's address, 0: none */
  uint16_t peer_port;      /* TCP and UDP, the same on all VMs */
  double link_mbps;
  char **seeds; /* IPs of VMs from which the list of VMs can be read */
  char *store;  /* IP:port */
  CfMillis max_flow_lifetime_ms;
  CfMillis grace_ms; /* from SIGTERM until the process is killed */
  struct CfOverloadSettings overload;
  GPtrArray *notes; /* of char *: defaults that are used and entries that were left out */
  bool complete;    /* the file has all keys, if without a value, and its last line has an end */
};

/* Reads SETTINGS from TEXT, LEN bytes and a 0, the content of the file PATH.  Returns false with
 * ERROR, which names the file and the key, if a required value is missing or a value is not valid.
 */
bool cf_balance_settings_parse (struct CfBalanceSettings *settings,
                                const char *path,
                                const char *text,
                                size_t len,
                                struct CfError *error);

/* Receives a fault: KEY of GROUP (both NULL: the whole file) with VALUE (NULL: none) is wrong for
 * REASON. */
typedef void CfSettingsFault (
    void *context, const char *group, const char *key, const char *value, const char *reason);

/* The same for a check before the file is used: FAULT gets each fault, keys that do not exist
 * included. */
bool cf_balance_settings_check (struct CfBalanceSettings *settings,
                                const char *path,
                                const char *text,
                                size_t len,
                                CfSettingsFault *fault,
                                void *context);
void cf_balance_settings_clear (struct CfBalanceSettings *settings);

#endif
