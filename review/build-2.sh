#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. It runs after the build of deploy/system.toml and needs no network.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2/fleet2 ./review/_fleet2
