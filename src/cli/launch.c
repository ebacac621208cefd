#include "serve/process_setup.h"

#include <dlfcn.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/auxv.h>

/* The program itself needs the C library only and loads the rest from the shared object beside it.
 * The dynamic loader maps some thirty libraries for that, in which time the default action of a
 * signal would end the process. */

#define OBJECT "cyclamenferry.so"
#define EXIT_STATUS_FAILURE 1

typedef int MainFunc (int argc, char **argv);

/* Loads OBJECT from the folder of this program, or by the run path. */
static void *
load (void)
{
  const char *program = (const char *) getauxval (AT_EXECFN);
  const char *slash = program ? strrchr (program, '/') : NULL;
  char path[PATH_MAX];
  void *object = NULL;

  if (slash
      && snprintf (path, sizeof path, "%.*s/" OBJECT, (int) (slash - program), program)
             < (int) sizeof path)
    object = dlopen (path, RTLD_LAZY | RTLD_LOCAL);
  return object ? object : dlopen (OBJECT, RTLD_LAZY | RTLD_LOCAL);
}

int
main (int argc, char **argv)
{
  void *object;
  void *symbol;
  MainFunc *cf_main;

  cf_process_block_signals ();
  cf_process_open_standard_files ();
  object = load ();
  symbol = object ? dlsym (object, "cf_main") : NULL;
  if (!symbol)
    {
      fprintf (stderr, "cyclamenferry: %s\n", dlerror ());
      return EXIT_STATUS_FAILURE;
    }
  /* ISO C has no conversion between pointers to objects and to functions. */
  memcpy (&cf_main, &symbol, sizeof cf_main);
  return cf_main (argc, argv);
}
