#!/bin/sh
# Builds the stand-ins of the review's cases. They use the JDK alone; no network is needed.
cd "$(dirname "$0")/.." || exit 2
rm -rf review/classes
mkdir -p review/classes
exec javac -Xlint:all -d review/classes review/support/*.java
