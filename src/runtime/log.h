#ifndef CF_RUNTIME_LOG_H
#define CF_RUNTIME_LOG_H

#define G_LOG_USE_STRUCTURED
#ifndef G_LOG_DOMAIN
#define G_LOG_DOMAIN "cyclamenferry"
#endif

#include <glib.h>

/* Logs one line about a change of state, with the structured field FIELD = VALUE. */
#define cf_log_state(FIELD, VALUE, ...)                                                            \
  g_log_structured (G_LOG_DOMAIN, G_LOG_LEVEL_MESSAGE, "CYCLAMENFERRY_" FIELD, VALUE, "MESSAGE",   \
                    __VA_ARGS__)

/* The same for an error that does not end the process. */
#define cf_log_warning(FIELD, VALUE, ...)                                                          \
  g_log_structured (G_LOG_DOMAIN, G_LOG_LEVEL_WARNING, "CYCLAMENFERRY_" FIELD, VALUE, "MESSAGE",   \
                    __VA_ARGS__)

#endif
