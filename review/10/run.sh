#!/bin/sh
# Runs the case after the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves the disruption out.
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run; record.txt tells what happened.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
exec java -Droot="$root" -Dcase="$here" -cp "$root/review/classes-2" review2.Case AlteredText
