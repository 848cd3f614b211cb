#!/bin/sh
# Runs the program within the memory that the configuration states (192 MB where it states none): the virtual
# machine's own pools can be set only from outside. What they leave is for threads, buffers and the machine itself.
mb=$(sed -n 's/.*"memory_mb" *: *\([0-9][0-9]*\).*/\1/p' "${BALANCER_CONFIG:-/dev/null}" 2>/dev/null | head -n 1)
mb=${mb:-192}
heap=$((mb * 3 / 8))
if [ "$heap" -gt 48 ]; then heap=48; fi
if [ "$heap" -lt 20 ]; then heap=20; fi
exec java -Xmx${heap}m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:MaxMetaspaceSize=48m \
  -XX:ReservedCodeCacheSize=24m -XX:MaxDirectMemorySize=16m -XX:-UsePerfData -Xshare:auto \
  -XX:SharedArchiveFile=target/postbeam.jsa -jar target/postbeam.jar "$@"
