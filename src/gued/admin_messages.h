#ifndef CF_GUED_ADMIN_MESSAGES_H
#define CF_GUED_ADMIN_MESSAGES_H

/* Messages to the admin task, which owns the content from then on. */
enum CfAdminMessage
{
  CF_TO_ADMIN_REPORT, /* struct CfCoreReport (packet_messages.h) with its text */
  CF_TO_ADMIN_KINDS,
};

#endif
