#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -d review/classes ] && [ -f target/postbeam.jar ] || { echo "build first: the deploy file's build, review/build.sh"; exit 2; }
exec java -Xmx256m -Droot="$PWD" -cp review/classes UnknownEnd review/3
