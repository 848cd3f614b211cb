#!/bin/sh
# Runs the program within the memory that the configuration states (192 MB where it states none): the virtual
# machine's own pools can be set only from outside. What they leave is for threads, buffers and the machine itself.
# No other program is started on the way: the shell reads the file itself and then becomes the virtual machine.
# A router without heap could neither answer nor end: the virtual machine ends itself with status 3 and says why.
# Sockets are IPv4 only, as the platform's are.
mb=192
if [ -r "${BALANCER_CONFIG:-}" ]; then
  while IFS= read -r line || [ -n "$line" ]; do
    case $line in *'"memory_mb"'*)
      told=${line#*\"memory_mb\"}
      told=${told#"${told%%[!	 ]*}"}
      told=${told#:}
      told=${told#"${told%%[!	 ]*}"}
      told=${told%%[!0-9]*}
      mb=${told:-192}
      break
    esac
  done <"$BALANCER_CONFIG"
fi
heap=$((mb * 3 / 8))
if [ "$heap" -gt 48 ]; then heap=48; fi
if [ "$heap" -lt 20 ]; then heap=20; fi
exec java -Xmx${heap}m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:MaxMetaspaceSize=48m \
  -XX:ReservedCodeCacheSize=24m -XX:MaxDirectMemorySize=16m -XX:+ExitOnOutOfMemoryError -XX:-UsePerfData -Xshare:auto \
  -XX:SharedArchiveFile=target/postbeam.jsa -Djava.net.preferIPv4Stack=true -jar target/postbeam.jar "$@"
