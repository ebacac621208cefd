#ifndef CF_BALANCER_ADMIN_MESSAGES_H
#define CF_BALANCER_ADMIN_MESSAGES_H

/* Messages to the admin task, which owns the content from then on. */
enum CfAdminMessage
{
  CF_TO_ADMIN_METRICS, /* struct CfReport with the metrics of the datapath task */
  CF_TO_ADMIN_KINDS,
};

#endif
