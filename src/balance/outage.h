#ifndef CF_BALANCE_OUTAGE_H
#define CF_BALANCE_OUTAGE_H

#include "directory.h"

/* Detects failure domains whose upstreams are unreachable together.
 *
 * If a failure domain loses power, is cut off or restarts its upstreams, all of them become
 * unreachable at once.  Detecting them one by one would cost each VM a first packet for each of
 * them, and repeated trials afterwards.  Upstreams that have ended say nothing of the others.  No
 * I/O. */

/* A domain is avoided as a whole after this many consecutive first packets were lost at upstreams
 * without earlier failures.  If a quarter of its upstreams do not respond, three flows in a row
 * meet only these in 1.6% of cases. */
#define CF_OUTAGE_LOST 3

struct CfOutages;

struct CfOutages *cf_outages_new (void);
void cf_outages_free (struct CfOutages *outages);

/* Records that a first packet was lost at TARGET, which had no failures before.  Returns true if
 * its domain is avoided from now on and was not before. */
bool cf_outages_record_loss (struct CfOutages *outages, struct CfTarget *target);

/* Drops the loss at TARGET.  Returns true if that ends an outage: there is no loss left.  In a
 * domain that is cut off some announcements expire before others. */
bool cf_outages_forget (struct CfOutages *outages, struct CfTarget *target);

/* Records that an upstream of DOMAIN has answered.  Returns true if that ends an outage. */
bool cf_outages_record_answer (struct CfOutages *outages, GQuark domain);

/* Returns true if any domain is to be avoided. */
bool cf_outages_any (const struct CfOutages *outages);

/* Returns true if DOMAIN is to be avoided. */
bool cf_outages_suspects (const struct CfOutages *outages, GQuark domain);

#endif
