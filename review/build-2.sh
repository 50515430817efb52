#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. The build of the deploy
# file comes before and builds the proxies.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standins2 ./review/standins2
