#ifndef CF_TYPES_H
#define CF_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Types that every subsystem shares: time, addresses, verdicts and errors. */

/* A point in time or a span, in milliseconds.  The origin is up to the source
 * of the value; the core only ever compares and subtracts. */
typedef int64_t CfMillis;

#define CF_MS_PER_S 1000

/* An IP address and port.  IPv4 is held in its IPv4-mapped IPv6 form, in
 * network byte order; the port is in host byte order. */
struct CfAddress
{
  uint8_t ip[16];
  uint16_t port;
};

/* What was done with a packet, and for a refusal whether its request may have run. */
enum CfVerdict
{
  CF_VERDICT_NOT_RUN,      /* no packet of the flow reached an upstream */
  CF_VERDICT_MAY_HAVE_RUN, /* an upstream may have seen the flow */
  CF_VERDICT_FORWARDED,    /* the packet was sent on to an upstream */
  CF_VERDICT_TRANSFERRED,  /* the packet was sent on to another entry VM */
  CF_VERDICT_DELAYED,      /* held or dropped on purpose; the caller retransmits */
};

/* Returns the name of VERDICT in lower case, for status output. */
const char *cf_verdict_name (enum CfVerdict verdict);

#define CF_ERROR_TEXT_MAX 512

/* The kind of an error decides the exit status of a command. */
enum CfErrorCode
{
  CF_ERROR_NONE,
  CF_ERROR_INPUT,    /* the operator's files or flags are wrong */
  CF_ERROR_IO,       /* a socket or file operation failed */
  CF_ERROR_CONFLICT, /* another writer won a conditional update */
  CF_ERROR_UNKNOWN,  /* the outcome of a remote call is not known */
};

/* An error: allocated by the calling function, filled in by the called one. */
struct CfError
{
  enum CfErrorCode code;
  char text[CF_ERROR_TEXT_MAX];
};

/* Fills in ERROR with CODE and the printf-style FORMAT.  ERROR may be NULL.
 * Always returns false, so that a function can fail in one statement. */
bool cf_error_set (struct CfError *error, enum CfErrorCode code, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Parses TEXT, an IPv4 or IPv6 address without a port, into ADDRESS and sets
 * its port to PORT.  Returns false if TEXT is not an address. */
bool cf_address_parse (const char *text, uint16_t port, struct CfAddress *address);

/* Returns true if A and B name the same address and port. */
bool cf_address_equal (const struct CfAddress *a, const struct CfAddress *b);

/* Returns a hash of ADDRESS for look-up tables. */
uint32_t cf_address_hash (const struct CfAddress *address);

/* Returns true if ADDRESS holds an IPv4 address. */
bool cf_address_is_ipv4 (const struct CfAddress *address);

#define CF_ADDRESS_TEXT_MAX 64

/* Writes ADDRESS as "ip:port", or "[ip]:port" for IPv6, to TEXT of LEN bytes. */
void cf_address_format (const struct CfAddress *address, char *text, size_t len);

#endif
