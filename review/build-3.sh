#!/bin/sh
# Builds the stand-ins and the cases 11 to 15 of this review, with the JDK alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -encoding UTF-8 -nowarn -d target/review-3 review/rig-3/*.java review/1[1-5]/*.java
