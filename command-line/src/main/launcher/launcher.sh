#!/bin/sh
exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=4 -Xshare:auto ${NUTMEGSPRING_JAVA_OPTIONS:-} -jar "$0" "$@"
