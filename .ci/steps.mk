# The steps of .ci/run that need nothing but processors, side by side under one limit of jobs (-j).

SHELL = bash
.SHELLFLAGS = -o pipefail -c

all: lint plain sanitized

lint:
	+@.ci/step "lint" $(MAKE) -s lint \
	  2> >(grep -v 'warnings generated\|warning generated\|Suppressed\|Use -header-filter' >&2)

plain:
	+@.ci/step "build" $(MAKE) -s tests

# float-cast-overflow is not part of gcc's "undefined".
sanitized:
	+@.ci/step "build under sanitizers" $(MAKE) -s tests BUILD=build/sanitized CFLAGS='-O1 -g' \
	  SANITIZE='-fsanitize=address,undefined,float-cast-overflow -fno-sanitize-recover=undefined,float-cast-overflow'

.PHONY: all lint plain sanitized
