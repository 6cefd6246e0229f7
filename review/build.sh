#!/bin/sh
# Builds the programs that the scripts of the review start. The router itself is built by the command
# in deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
for n in 1 2 3; do
	if [ -f "review/$n/main.go" ]; then go build -o "target/review-$n" "./review/$n"; fi
done
