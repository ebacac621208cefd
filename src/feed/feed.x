/* The store's records as an entry VM sends them to the VMs that follow it: the response to
 * "GET /feed", whose query holds the follower's revision of each kind. */

/* Bounds: a value of the store has a megabyte at most, and the target size is 16,000
 * upstreams.  They also bound what a receiver allocates for a forged message. */
const FEED_NAME_MAX = 1024;
const FEED_TEXT_MAX = 1048576;
const FEED_RECORDS_MAX = 65536;

struct feed_record {
  string name<FEED_NAME_MAX>;
  unsigned hyper revision;
  bool deleted;
  string text<FEED_TEXT_MAX>;  /* empty if deleted */
};

/* Changes of one kind of records, in the order of enum CfFeedKind. */
struct feed_part {
  unsigned hyper revision;  /* all changes up to it are included */
  bool whole;               /* these are all records, not only what has changed */
  feed_record records<FEED_RECORDS_MAX>;
};

struct feed_parts {
  feed_part parts<8>;
};

const FEED_CHECKSUM_BYTES = 32;      /* of SHA-256 */
const FEED_DIFFERENCES_MAX = 1024;   /* a sender has no more earlier texts: 4 MB, 4 KB each */
const FEED_FRAME_MAX = 524288;       /* less than half of the text */

/* A record whose text changed, for a follower that has the earlier text. */
struct feed_difference {
  unsigned int kind;        /* of the record, as in the order of feed_parts */
  string name<FEED_NAME_MAX>;
  unsigned hyper base;      /* revision of the earlier text */
  unsigned hyper revision;
  unsigned int size;        /* bytes of the text, up to FEED_TEXT_MAX */
  opaque checksum[FEED_CHECKSUM_BYTES];  /* of the text */
  opaque frame<FEED_FRAME_MAX>;  /* Zstandard, with the earlier text as prefix */
};

/* May follow a feed_parts, whose records it adds to, for a follower that asks for it. */
struct feed_differences {
  feed_difference list<FEED_DIFFERENCES_MAX>;
};

/* Many followers get the same parts, encoded once: only the fields before them differ. */
const FEED_PARTS_MAX = 16777216;  /* bytes; 16,000 upstreams take 4 MB, a manifest 1 MB */

struct feed_news {
  string reader<FEED_NAME_MAX>;  /* the VM that read it from the store */
  unsigned hyper age_ms;  /* since the store sent it */
  bool settled;           /* announcements that expired in a store outage have been renewed */
  unsigned int size;      /* bytes before compression, up to FEED_PARTS_MAX; the length of "parts" if not deflated */
  opaque parts<FEED_PARTS_MAX>;  /* a feed_parts, and a feed_differences if there are any */
};

const FEED_REFERRAL_MAX = 3;

typedef string feed_ip<15>;  /* IPv4, as text */

/* The body of a response with status 503: VMs that the follower may ask instead. */
struct feed_referral {
  feed_ip ips<FEED_REFERRAL_MAX>;
};

/* A VM tells the others of its failure domain that it leaves the fabric's rotation, or
 * that it has returned.  Sent as a datagram, several times. */
struct feed_hello {
  string name<255>;
  string domain<255>;
  bool leaving;
};

/* A VM's recent, decaying counts of one upstream's answers, in thousandths. */
struct feed_quality {
  string upstream<255>;
  unsigned int answers;
  unsigned int failed;  /* of these */
  bool avoided;         /* the VM avoids it */
};

const FEED_QUALITIES_MAX = 12;

/* A VM's report on upstreams whose requests fail, to the others of its failure domain. */
struct feed_qualities {
  string name<255>;  /* of the VM */
  string domain<255>;
  feed_quality upstreams<FEED_QUALITIES_MAX>;
};

const FEED_LOAD_PRIORITIES = 4;
const FEED_LOAD_SERVICES_MAX = 4;
const FEED_LOAD_LINES_MAX = 16;

/* A VM's counts of one service, by priority where there are several: rates per second and numbers of
 * requests, in thousandths. */
struct feed_load_service {
  string name<255>;
  unsigned int demand[FEED_LOAD_PRIORITIES];    /* new flows */
  unsigned int answered;
  unsigned int shed;         /* rejected by a busy upstream */
  unsigned int in_progress;  /* not a rate */
  unsigned int usual;        /* new flows without overload, long mean */
};

/* How quickly one upstream answers, in thousandths. */
struct feed_load_line {
  unsigned int cookie;  /* of the upstream; not in thousandths */
  unsigned int samples;
  unsigned int pace;    /* of the mean wait at the same address */
};

/* A VM's report on load, to VMs of its region.  It replaces the sender's reports with a lower
 * incarnation, or with the same and a lower sequence. */
struct feed_loads {
  string name<255>;  /* of the VM */
  string domain<255>;
  unsigned hyper incarnation;  /* start of its process, wall clock ms */
  unsigned int sequence;
  unsigned int domain_vms;     /* VMs of its failure domain, itself included */
  feed_load_service services<FEED_LOAD_SERVICES_MAX>;
  feed_load_line upstreams<FEED_LOAD_LINES_MAX>;
};

enum feed_datagram_kind { FEED_HELLO = 1, FEED_QUALITIES = 2, FEED_LOADS = 3 };

/* Any datagram between VMs. */
union feed_datagram switch (feed_datagram_kind kind) {
case FEED_HELLO:
  feed_hello hello;
case FEED_QUALITIES:
  feed_qualities qualities;
case FEED_LOADS:
  feed_loads loads;
};
