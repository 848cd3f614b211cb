#!/bin/sh
# Runs a probe that is no case of its own: probe.sh FencedForGood | HalfRequests | SlowDiscovery. It leaves review/probe/record.txt.
# Exit status as for the cases; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/.." || exit 2
[ -d review/classes ] && [ -f target/postbeam.jar ] || { echo "build first: the deploy file's build, review/build.sh"; exit 2; }
case $1 in FencedForGood | HalfRequests | SlowDiscovery) ;; *) echo "probe.sh FencedForGood | HalfRequests | SlowDiscovery"; exit 2 ;; esac
mkdir -p review/probe
exec java -Xmx256m -Droot="$PWD" -cp review/classes "$1" review/probe
