#ifndef CF_BALANCER_FEED_MESSAGES_H
#define CF_BALANCER_FEED_MESSAGES_H

/* Messages to the feed task, which owns the content from then on. */
enum CfFeedMessage
{
  CF_TO_FEED_SEEDS,   /* strings, NULL at the end: IPs of VMs from which the list of VMs can be read
                       */
  CF_TO_FEED_QUALITY, /* struct CfQualityReport of this VM, for others of its failure domain */
  CF_TO_FEED_LOAD, /* struct CfLoadReport of this VM, for others of its region; the sender is filled
                      in by the feed task */
  CF_TO_FEED_STOP, /* NULL: this VM has to stop, and leaves the rotation once enough other VMs of
                      its failure domain are in it, or when it can wait no longer */
  CF_TO_FEED_KINDS,
};

#endif
