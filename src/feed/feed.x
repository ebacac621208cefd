/* What an entry VM that reads the store tells those that follow it: the answer to
 * "GET /feed", whose query holds the revision that the follower has of each kind. */

/* Bounds: a value of the store has a megabyte at most, and 16,000 upstreams are the size
 * that decides.  They also bound what a reader allocates for a message that lies. */
const FEED_NAME_MAX = 1024;
const FEED_TEXT_MAX = 1048576;
const FEED_RECORDS_MAX = 65536;

struct feed_record {
  string name<FEED_NAME_MAX>;
  unsigned hyper revision;
  bool deleted;
  string text<FEED_TEXT_MAX>;  /* empty if deleted */
};

/* News of one kind of records, in the order of enum CfFeedKind. */
struct feed_part {
  unsigned hyper revision;  /* all changes up to it are told */
  bool whole;               /* these are all records, not only what has changed */
  feed_record records<FEED_RECORDS_MAX>;
};

struct feed_parts {
  feed_part parts<8>;
};

/* Many followers are told the same: only what stands before the parts differs. */
const FEED_PARTS_MAX = 67108864;  /* bytes */

struct feed_news {
  string reader<FEED_NAME_MAX>;  /* the VM that heard it from the store */
  unsigned hyper age_ms;  /* since the store said so */
  bool settled;           /* announcements that lapsed with the store would be back */
  unsigned int size;      /* bytes of the parts; more than "parts" has if these are deflated */
  opaque parts<FEED_PARTS_MAX>;  /* a feed_parts */
};

/* A VM tells the others of its failure domain that it leaves the fabric's rotation, or
 * that it has returned.  Sent as a datagram, several times. */
struct feed_hello {
  string name<255>;
  string domain<255>;
  bool leaving;
};

/* What a VM saw of one upstream's answers of late, in thousandths. */
struct feed_quality {
  string upstream<255>;
  unsigned int answers;
  unsigned int failed;  /* of these */
  bool avoided;         /* the VM avoids it */
};

const FEED_QUALITIES_MAX = 12;

/* A VM tells others of its failure domain of upstreams whose requests fail. */
struct feed_qualities {
  string name<255>;  /* of the VM */
  string domain<255>;
  feed_quality upstreams<FEED_QUALITIES_MAX>;
};

enum feed_datagram_kind { FEED_HELLO = 1, FEED_QUALITIES = 2 };

/* All that VMs send each other as datagrams. */
union feed_datagram switch (feed_datagram_kind kind) {
case FEED_HELLO:
  feed_hello hello;
case FEED_QUALITIES:
  feed_qualities qualities;
};
