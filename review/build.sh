#!/bin/sh
# Checks what the cases need beside the build of the deploy file. The stand-ins are Python programs,
# run by the python3 that libglib2.0-dev, a package of the deploy file, depends on; no program of the
# project other than jasminehilld is used.
set -eu
cd "$(dirname "$0")/.."
test -x target/bin/jasminehilld || {
	echo "target/bin/jasminehilld is missing: run the build of deploy/system.toml first" >&2
	exit 1
}
/usr/bin/python3 - review/standin/*.py review/[1-5]/case.py review/more/*.py <<'END'
import sys

assert sys.version_info >= (3, 11), "python3 is older than 3.11"
for name in sys.argv[1:]:
    with open(name) as file:
        compile(file.read(), name, "exec")
print("%d programs of the review are valid" % (len(sys.argv) - 1))
END
