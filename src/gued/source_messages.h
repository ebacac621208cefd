#ifndef CF_GUED_SOURCE_MESSAGES_H
#define CF_GUED_SOURCE_MESSAGES_H

/* Messages to the source of configurations, the folder task or the platform task, which owns the
 * content from then on.  Each ignores what is for the other. */
enum CfSourceMessage
{
  CF_TO_SOURCE_RELOAD, /* NULL: the folder is read again */
  CF_TO_SOURCE_WATCH,  /* GINT_TO_POINTER: whether this VM watches the platform */
  CF_TO_SOURCE_STATUS, /* the JSON text of this VM's status object on the platform */
  CF_TO_SOURCE_KINDS,
};

#endif
