#ifndef CF_BALANCE_OUTAGE_H
#define CF_BALANCE_OUTAGE_H

#include "cf_types.h"

#include <glib.h>

/* Tells which failure domains' upstreams seem to be out of reach together.
 *
 * A failure domain that loses power, is cut off or restarts its upstreams takes all of them
 * away at once.  Judged one by one, each costs a first packet on each VM, and then trials
 * without end.  No I/O. */

/* Upstreams of a failure domain that a first packet was lost at, each in good standing before,
 * with none that answered in between: from then on the domain is avoided as a whole.  Where a
 * quarter of its upstreams are dark, three flows in a row meet these in 1.6% of cases. */
#define CF_OUTAGE_LOST 3

struct CfOutages;

struct CfOutages *cf_outages_new (void);
void cf_outages_free (struct CfOutages *outages);

/* A first packet was lost at an upstream of DOMAIN that was in good standing.  Returns true if
 * the domain is avoided from now on and was not before. */
bool cf_outages_record_loss (struct CfOutages *outages, GQuark domain);

/* An upstream of DOMAIN has answered.  Returns true if the domain was avoided until now. */
bool cf_outages_record_answer (struct CfOutages *outages, GQuark domain);

/* Returns true if DOMAIN is to be avoided. */
bool cf_outages_suspects (const struct CfOutages *outages, GQuark domain);

#endif
